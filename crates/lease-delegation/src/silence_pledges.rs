//! Silence pledges given by a controller that the store does not serve.
//!
//! From the first pledge on, the controller confirms to clients only cancellations that its peers have received. This
//! ends when the peers have acknowledged that the store serves it again, or when the pledges have expired. While a
//! pledge is active, its recipient can therefore rely on no further cancellation being confirmed, even if the
//! controller crashes.

use crate::Time;

/// The pledges of one controller, by peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SilencePledges {
    /// How long a pledge is kept if it is not released earlier.
    duration: Time,
    pledges: Vec<Pledge>,
    /// Newest revision of the pledging controller when it gave the first of the active pledges; 0 if it had none.
    revision_at_first_pledge: u64,
}

/// The last pledge given to one peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pledge {
    given_at: Time,
    /// When the peer acknowledged the release of the pledge; `None` if it has not.
    released_at: Option<Time>,
}

impl Pledge {
    fn given(given_at: Time) -> Pledge {
        Pledge {
            given_at,
            released_at: None,
        }
    }
}

impl SilencePledges {
    /// Creates the pledges of a process that starts at `now`. The pledges of an earlier incarnation are not known, so
    /// each peer is assumed to hold a pledge given at `now`.
    pub fn new(peers: usize, duration: Time, now: Time) -> SilencePledges {
        SilencePledges {
            duration,
            pledges: vec![Pledge::given(now); peers],
            revision_at_first_pledge: 0,
        }
    }

    /// Records that a pledge is sent to a peer. `newest_revision` is the newest revision of which clients may have been
    /// informed.
    pub fn record_pledge(&mut self, peer: usize, newest_revision: u64, now: Time) {
        if self.none_active(now) {
            self.revision_at_first_pledge = newest_revision;
        }
        self.pledges[peer] = Pledge::given(now);
    }

    /// Handles a peer's response to the heartbeat sent at `sent`, which reported that no pledge is active.
    pub fn on_release_acknowledged(&mut self, peer: usize, sent: Time, now: Time) {
        let pledge = &mut self.pledges[peer];
        if pledge.released_at.is_none() && sent >= pledge.given_at {
            pledge.released_at = Some(now);
        }
    }

    /// Returns whether no pledge is active.
    pub fn none_active(&self, now: Time) -> bool {
        self.pledges
            .iter()
            .all(|pledge| pledge.released_at.is_some() || now >= pledge.given_at + self.duration)
    }

    /// Returns whether cancellations up to `newest_revision` may be confirmed to clients.
    pub fn may_confirm(&self, newest_revision: u64, now: Time) -> bool {
        newest_revision <= self.revision_at_first_pledge && self.revision_at_first_pledge > 0
            || self.none_active(now)
    }

    /// Returns the time until which peers may rely on a pledge. A leadership that was acquired earlier counts as
    /// acquired at that time.
    pub fn relied_on_until(&self) -> Time {
        let ends = self.pledges.iter().map(|pledge| {
            pledge
                .released_at
                .unwrap_or(pledge.given_at + self.duration)
        });
        ends.max().unwrap_or(0)
    }
}
