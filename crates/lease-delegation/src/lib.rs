//! Renewal of agents' leases by controllers while the key-value store is unreachable.
//!
//! The crate consists of state machines without clocks or I/O; times are microseconds of the caller's monotonic clock.
//! Their purpose and the safety argument are in `docs/partial-partitions.md` and `docs/safety.md`. Terms:
//!
//! - A *renewal grant* is a permission that a leader without access to the store gives to a peer in a heartbeat
//!   response: the peer may renew leases under the leader's term without recording that it does so.
//!   [`lease_grantor::LeaseGrantor`] is the leader's side: it considers no lease expired that a peer may have renewed
//!   under a grant. [`lease_grantee::LeaseGrantee`] is the peer's side; it also decides whether the peer may renew
//!   leases once the leader's process has ended.
//! - A *silence pledge* is given by a controller that the store does not serve. The controller promises to confirm to
//!   clients only cancellations that its peers have received. The pledge ends when the peers have acknowledged that the
//!   store serves the controller again, or when it expires ([`silence_pledges::SilencePledges`]). Peers rely on the
//!   pledge even after the controller has crashed.
//! - *Coverage* is the time until which a controller has received the content of all answers that a peer has sent to
//!   clients ([`peer_coverage::PeerCoverage`]). A lease may be renewed only for a bounded time after it.
//! - Controllers exchange cancellations as logs: [`cancellations::CancellationLog`] holds the cancellations that a
//!   controller has received, and [`cancellations::ReportedCancellations`] those that its peers have reported.

#![deny(missing_docs)]

pub mod cancellations;
pub mod lease_grantee;
pub mod lease_grantor;
pub mod peer_coverage;
pub mod silence_pledges;

/// A time on the caller's monotonic clock, or a duration, in microseconds.
pub type Time = u64;
