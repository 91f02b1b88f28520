//! Pledges: a controller that the state service does not serve says so, and from then on tells no user of a
//! cancellation that its peers may not know of, until they have heard that it is served again or a while
//! has passed. Then they know, for as long as the pledge holds, that nothing has been told behind their
//! backs, even if it crashes.

use crate::Time;

/// The pledges of one controller, by peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SilencePledges {
    /// How long a pledge holds.
    life: Time,
    /// When a pledge was last given to each peer, and whether it has heard since that it is over, and when.
    given: Vec<(Time, Option<Time>)>,
    /// What is not newer than this was known when the first of the standing pledges was given.
    known: u64,
}

impl SilencePledges {
    /// Of a process that starts now. What its earlier run has pledged it does not know, so it takes all its
    /// peers for holders of a pledge of this moment.
    pub fn new(peers: usize, life: Time, now: Time) -> SilencePledges {
        SilencePledges {
            life,
            given: vec![(now, None); peers],
            known: 0,
        }
    }

    /// A pledge goes out to a peer; `newest` is the newest that users may have been told.
    pub fn pledge(&mut self, peer: usize, newest: u64, now: Time) {
        if self.free(now) {
            self.known = newest;
        }
        self.given[peer] = (now, None);
    }

    /// A peer has answered what was sent to it at `sent`, and which said that nothing is pledged.
    pub fn heard(&mut self, peer: usize, sent: Time, now: Time) {
        let (given, heard) = &mut self.given[peer];
        if heard.is_none() && sent >= *given {
            *heard = Some(now);
        }
    }

    fn stands(&self, peer: usize, now: Time) -> bool {
        let (given, heard) = self.given[peer];
        heard.is_none() && now < given + self.life
    }

    /// No pledge stands.
    pub fn free(&self, now: Time) -> bool {
        (0..self.given.len()).all(|i| !self.stands(i, now))
    }

    /// Whether users may be told what has come up to `newest`.
    pub fn may_tell(&self, newest: u64, now: Time) -> bool {
        newest <= self.known && self.known > 0 || self.free(now)
    }

    /// Up to when peers may go by a pledge: a lead that we have taken before counts for them as taken then.
    pub fn until(&self) -> Time {
        let of = |(given, heard): &(Time, Option<Time>)| heard.unwrap_or(given + self.life);
        self.given.iter().map(of).max().unwrap_or(0)
    }
}

/// Up to when each peer is known to have told users nothing that we do not know.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerFreshness {
    life: Time,
    until: Vec<Time>,
    /// When each peer last told that it has pledged nothing.
    lifted: Vec<Time>,
    /// Since when pledges of each peer have followed one another without a gap, and when the last one ends:
    /// in between it has told nothing, whatever it told before.
    chain: Vec<Option<(Time, Time)>>,
}

/// How much we know of what a peer may have told users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerKnowledge {
    /// It has not read the records since it started, so it does not know what its earlier run has told.
    Unread,
    /// It may have told something that we do not know.
    Some,
    /// Everything that it had told when it answered.
    All,
}

/// What a peer answered.
#[derive(Debug, Clone, Copy)]
pub struct PeerAnswer {
    /// What follows from it.
    pub known: PeerKnowledge,
    /// It gives a pledge.
    pub quiet: bool,
}

impl PeerFreshness {
    /// Nobody has vouched yet. A pledge counts for `life`, a little less than it is kept.
    pub fn new(peers: usize, life: Time) -> PeerFreshness {
        PeerFreshness {
            life,
            until: vec![0; peers],
            lifted: vec![0; peers],
            chain: vec![None; peers],
        }
    }

    /// A peer asked at `asked` has answered.
    pub fn answered(&mut self, peer: usize, a: PeerAnswer, asked: Time, now: Time) {
        let u = &mut self.until[peer];
        let known = a.known == PeerKnowledge::All;
        if !a.quiet {
            *u = (*u).min(now);
        }
        // One that has just started knows nothing; but if its earlier run's pledge still held when it was
        // there already, that run has told nothing, and it has itself told nothing since.
        let goes_on = a.quiet && a.known == PeerKnowledge::Unread && now < *u;
        // A pledge may be overtaken by the message that lifts it.
        let holds = a.quiet && asked > self.lifted[peer];
        self.chain[peer] = match self.chain[peer] {
            _ if !holds => None,
            Some((since, end)) if now < end => Some((since, end.max(asked + self.life))),
            // It was given before now.
            _ => Some((now, asked + self.life)),
        };
        if known || goes_on {
            let until = asked + if holds { self.life } else { 0 };
            *u = (*u).max(until);
        }
    }

    /// A peer has told by itself that it has pledged nothing any more.
    pub fn lifted(&mut self, peer: usize, now: Time) {
        let u = &mut self.until[peer];
        *u = (*u).min(now);
        self.lifted[peer] = now;
        self.chain[peer] = None;
    }

    /// Another peer has told that up to `until` it knew of everything that this one had told users, and we know
    /// what it knew. It is no pledge, so nothing later follows from it.
    pub fn learnt(&mut self, peer: usize, until: Time) {
        let u = &mut self.until[peer];
        *u = (*u).max(until);
        if let Some((since, end)) = self.chain[peer]
            && *u >= since
        {
            *u = (*u).max(end);
        }
    }

    /// Up to when one peer is known to have told nothing that we do not know.
    pub fn of(&self, peer: usize) -> Time {
        self.until[peer]
    }

    /// Up to when all peers are known to have told nothing that we do not know; none: there are none.
    pub fn all(&self) -> Option<Time> {
        self.until.iter().copied().min()
    }
}
