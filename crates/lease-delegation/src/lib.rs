//! Who may keep agents alive while the state service is out of reach.
//!
//! Pure machines, without clocks and I/O of their own; times are microseconds of the caller's steady
//! clock. What they are for, and why they are safe, is in `docs/links.md` and `docs/safety.md`:
//!
//! - [`giver::LeaseGrantor`]: a leader that the state service does not serve gives its peers the right to renew
//!   leases under its term, and takes no lease for run out that one of them may have renewed;
//! - [`holder::LeaseGrantee`]: a peer that holds such a right, and knows when the leader's process has ended;
//! - [`quiet::SilencePledges`] and [`quiet::PeerFreshness`]: a controller that is not served pledges to tell nothing new
//!   for a while, so that it can be vouched for after it has crashed;
//! - [`cancellations::Log`] and [`cancellations::Heard`]: what is cancelled, passed on among peers.

pub mod cancellations;
pub mod giver;
pub mod holder;
pub mod quiet;

/// Microseconds of the caller's steady clock.
pub type Time = u64;
