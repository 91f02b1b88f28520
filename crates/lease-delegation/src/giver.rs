//! The leader's side: rights that it has given, and leases that they may have kept alive.

use crate::Time;
use std::collections::BTreeMap;

/// How long things last, in microseconds, with whatever is to spare for drift and late timers.
#[derive(Debug, Clone, Copy)]
pub struct GrantTerms {
    /// An agent keeps its tasks for so long after its last answered report.
    pub lease: Time,
    /// Whatever a holder has renewed by a right is over this long after the right was last given.
    pub bound: Time,
}

/// What is known of one holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Given {
    /// The run of its process that the rest is about.
    run: u64,
    /// When the right was last given.
    given: Time,
    /// Its last use, at the latest.
    used: Option<Time>,
    /// When it was asked that then told of its use; what it used later is not known.
    asked: Time,
}

/// Rights that a leader has given under its present term.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    holders: BTreeMap<String, Given>,
}

impl LeaseGrantor {
    /// The right goes out with an answer to this process.
    pub fn give(&mut self, holder: &str, run: u64, now: Time) {
        self.meet(holder, run, now);
        let g = self.holders.entry(holder.to_string()).or_insert(Given {
            run,
            given: now,
            used: None,
            asked: 0,
        });
        g.given = g.given.max(now);
    }

    /// A holder has ended and started again: what its earlier run used, and when, nobody can tell any more,
    /// but it was before now.
    fn meet(&mut self, holder: &str, run: u64, now: Time) {
        if let Some(g) = self.holders.get_mut(holder).filter(|g| g.run != run) {
            g.run = run;
            g.used = Some(now);
        }
    }

    /// A peer, asked at `asked`, has told how long ago it last used a right; none: never.
    pub fn told(&mut self, holder: &str, run: u64, asked: Time, now: Time, used_ago: Option<Time>) {
        self.meet(holder, run, now);
        let Some(g) = self.holders.get_mut(holder) else {
            return;
        };
        g.asked = g.asked.max(asked);
        g.used = g.used.max(used_ago.map(|ago| now.saturating_sub(ago)));
    }

    /// Whether a lease that has run out at `end` as far as we answered has run out for all that others may
    /// have answered; else when to look again.
    pub fn over(&self, end: Time, now: Time, terms: &GrantTerms) -> Result<(), Time> {
        let mut again: Option<Time> = None;
        for g in self.holders.values() {
            let bound = g.given + terms.bound;
            if bound <= now {
                continue;
            }
            // It may have renewed the lease until its last use; and what it has used since it was last
            // asked is not known.
            let end = g.used.map_or(end, |u| end.max(u + terms.lease));
            if g.asked < end {
                let at = bound.min(end.max(now + SOON));
                again = Some(again.map_or(at, |a| a.max(at)));
            }
        }
        again.map_or(Ok(()), Err)
    }
}

/// Holders tell of their use about this often.
const SOON: Time = 200_000;
