//! Which controllers may keep agents' leases alive while the key-value store is out of reach.
//!
//! Pure state machines without clocks or I/O of their own; times are microseconds of the caller's monotonic clock.
//! Their purpose and the argument for their safety are in `docs/partial-partitions.md` and `docs/safety.md`. Terms:
//!
//! - A *renewal grant* is the permission that a leader without the store gives to a peer in a heartbeat response: the
//!   peer may renew leases under the leader's term without recording that it does so. [`lease_grantor::LeaseGrantor`]
//!   is the leader's side: it considers no lease expired that a peer may have renewed under a grant.
//!   [`lease_grantee::LeaseGrantee`] is the peer's side; it also decides what holds once the leader's process has
//!   ended.
//! - A *silence pledge* is the promise of a controller that the store does not serve to tell clients of no cancellation
//!   that its peers may not know, until they know that the store serves it again or until the pledge has expired
//!   ([`silence_pledges::SilencePledges`]). Peers rely on the pledge even after the controller has crashed.
//! - *Coverage* is the time until which a controller knows of everything that a peer has told clients
//!   ([`peer_coverage::PeerCoverage`]). A lease may be renewed only for a bounded time after it.
//! - Cancellations are exchanged between controllers by logs: [`cancellations::CancellationLog`] holds what a controller
//!   knows, [`cancellations::ReportedCancellations`] what its peers have reported.

#![deny(missing_docs)]

pub mod cancellations;
pub mod lease_grantee;
pub mod lease_grantor;
pub mod peer_coverage;
pub mod silence_pledges;

/// Microseconds of the caller's monotonic clock.
pub type Time = u64;
