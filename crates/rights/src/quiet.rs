//! Pledges: a controller that the state service does not serve says so, and from then on tells no user of a
//! cancellation that its siblings may not know of, until they have heard that it is served again or a while
//! has passed. Then they know, for as long as the pledge holds, that nothing has been told behind their
//! backs, even if it crashes.

use crate::Time;

/// The pledges of one controller, by sibling.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Quiet {
    /// How long a pledge holds.
    life: Time,
    /// When a pledge was last given to each sibling, and whether it has heard since that it is over, and when.
    given: Vec<(Time, Option<Time>)>,
    /// What is not newer than this was known when the first of the standing pledges was given.
    known: u64,
}

impl Quiet {
    /// Of a process that starts now. What its earlier run has pledged it does not know, so it takes all its
    /// siblings for holders of a pledge of this moment.
    pub fn new(siblings: usize, life: Time, now: Time) -> Quiet {
        Quiet {
            life,
            given: vec![(now, None); siblings],
            known: 0,
        }
    }

    /// A pledge goes out to a sibling; `newest` is the newest that users may have been told.
    pub fn pledge(&mut self, sibling: usize, newest: u64, now: Time) {
        if self.free(now) {
            self.known = newest;
        }
        self.given[sibling] = (now, None);
    }

    /// A sibling has answered what was sent to it at `sent`, and which said that nothing is pledged.
    pub fn heard(&mut self, sibling: usize, sent: Time, now: Time) {
        let (given, heard) = &mut self.given[sibling];
        if heard.is_none() && sent >= *given {
            *heard = Some(now);
        }
    }

    fn stands(&self, sibling: usize, now: Time) -> bool {
        let (given, heard) = self.given[sibling];
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

    /// Up to when siblings may go by a pledge: a lead that we have taken before counts for them as taken then.
    pub fn until(&self) -> Time {
        let of = |(given, heard): &(Time, Option<Time>)| heard.unwrap_or(given + self.life);
        self.given.iter().map(of).max().unwrap_or(0)
    }
}

/// Up to when each sibling is known to have told users nothing that we do not know.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Vouched {
    life: Time,
    until: Vec<Time>,
    /// When each sibling last told that it has pledged nothing.
    lifted: Vec<Time>,
    /// Since when pledges of each sibling have followed one another without a gap, and when the last one ends:
    /// in between it has told nothing, whatever it told before.
    chain: Vec<Option<(Time, Time)>>,
}

/// How much we know of what a sibling may have told users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    /// It has not read the records since it started, so it does not know what its earlier run has told.
    Unread,
    /// It may have told something that we do not know.
    Some,
    /// Everything that it had told when it answered.
    All,
}

/// What a sibling answered.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// What follows from it.
    pub known: Known,
    /// It gives a pledge.
    pub quiet: bool,
}

impl Vouched {
    /// Nobody has vouched yet. A pledge counts for `life`, a little less than it is kept.
    pub fn new(siblings: usize, life: Time) -> Vouched {
        Vouched {
            life,
            until: vec![0; siblings],
            lifted: vec![0; siblings],
            chain: vec![None; siblings],
        }
    }

    /// A sibling asked at `asked` has answered.
    pub fn answered(&mut self, sibling: usize, a: Answer, asked: Time, now: Time) {
        let u = &mut self.until[sibling];
        let known = a.known == Known::All;
        if !a.quiet {
            *u = (*u).min(now);
        }
        // One that has just started knows nothing; but if its earlier run's pledge still held when it was
        // there already, that run has told nothing, and it has itself told nothing since.
        let goes_on = a.quiet && a.known == Known::Unread && now < *u;
        // A pledge may be overtaken by the message that lifts it.
        let holds = a.quiet && asked > self.lifted[sibling];
        self.chain[sibling] = match self.chain[sibling] {
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

    /// A sibling has told by itself that it has pledged nothing any more.
    pub fn lifted(&mut self, sibling: usize, now: Time) {
        let u = &mut self.until[sibling];
        *u = (*u).min(now);
        self.lifted[sibling] = now;
        self.chain[sibling] = None;
    }

    /// Another sibling has told that up to `until` it knew of everything that this one had told users, and we know
    /// what it knew. It is no pledge, so nothing later follows from it.
    pub fn learnt(&mut self, sibling: usize, until: Time) {
        let u = &mut self.until[sibling];
        *u = (*u).max(until);
        if let Some((since, end)) = self.chain[sibling]
            && *u >= since
        {
            *u = (*u).max(end);
        }
    }

    /// Up to when one sibling is known to have told nothing that we do not know.
    pub fn of(&self, sibling: usize) -> Time {
        self.until[sibling]
    }

    /// Up to when all siblings are known to have told nothing that we do not know; none: there are none.
    pub fn all(&self) -> Option<Time> {
        self.until.iter().copied().min()
    }
}
