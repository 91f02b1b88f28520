//! Silence pledges given by a controller that the store does not serve.
//!
//! From the first pledge on, the controller tells clients of no cancellation that its peers may not know, until they
//! have acknowledged that the store serves it again, or the pledges have expired. While a pledge is active, its
//! recipient therefore knows that clients were told nothing else, even if the controller crashes.

use crate::Time;

/// The pledges of one controller, by peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SilencePledges {
    /// How long a pledge is kept.
    duration: Time,
    pledges: Vec<Pledge>,
    /// Newest revision that was known when the first of the active pledges was given.
    revision_at_first_pledge: u64,
}

/// The last pledge given to one peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pledge {
    given_at: Time,
    /// When the peer acknowledged that the pledge is over.
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
    /// The pledges of a process that starts now. It does not know what an earlier run has pledged, so it assumes that
    /// each peer holds a pledge given now.
    pub fn new(peers: usize, duration: Time, now: Time) -> SilencePledges {
        SilencePledges {
            duration,
            pledges: vec![Pledge::given(now); peers],
            revision_at_first_pledge: 0,
        }
    }

    /// A pledge is sent to a peer; `newest` is the newest revision of which clients may have been told.
    pub fn record_pledge(&mut self, peer: usize, newest_revision: u64, now: Time) {
        if self.none_active(now) {
            self.revision_at_first_pledge = newest_revision;
        }
        self.pledges[peer] = Pledge::given(now);
    }

    /// A peer has responded to the heartbeat sent at `sent`, which said that nothing is pledged.
    pub fn on_release_acknowledged(&mut self, peer: usize, sent: Time, now: Time) {
        let pledge = &mut self.pledges[peer];
        if pledge.released_at.is_none() && sent >= pledge.given_at {
            pledge.released_at = Some(now);
        }
    }

    /// Whether no pledge is active.
    pub fn none_active(&self, now: Time) -> bool {
        self.pledges
            .iter()
            .all(|pledge| pledge.released_at.is_some() || now >= pledge.given_at + self.duration)
    }

    /// Whether clients may be told of cancellations up to the revision `newest`.
    pub fn may_confirm(&self, newest_revision: u64, now: Time) -> bool {
        newest_revision <= self.revision_at_first_pledge && self.revision_at_first_pledge > 0
            || self.none_active(now)
    }

    /// Time until which peers may rely on a pledge: a leadership that was acquired before counts for them as acquired
    /// then.
    pub fn relied_on_until(&self) -> Time {
        let ends = self.pledges.iter().map(|pledge| {
            pledge
                .released_at
                .unwrap_or(pledge.given_at + self.duration)
        });
        ends.max().unwrap_or(0)
    }
}
