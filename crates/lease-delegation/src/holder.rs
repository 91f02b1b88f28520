//! A peer's side: the right that it holds, and what it has used of it.

use crate::Time;

/// The right to renew leases under a leader's term without a record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LeaseGrantee {
    /// Under which term it was given, by which run of the leader's process, and when the leader was asked
    /// that gave it with its answer.
    held: Option<(u64, u64, Time)>,
    used: Option<Time>,
}

/// The lead that a controller knows of.
#[derive(Debug, Clone, Copy)]
pub struct KnownLeader {
    /// Its term.
    pub term: u64,
    /// Which run of the leader's process leads.
    pub run: u64,
    /// That process has ended: another run of it has answered what was asked after this lead was known.
    pub ended: bool,
}

impl LeaseGrantee {
    /// The leader, asked at `asked`, has given the right with its answer, or has not: then what it gave
    /// before is no longer used.
    pub fn take(&mut self, term: Option<u64>, run: u64, asked: Time) {
        match (term, self.held) {
            (Some(term), Some((t, r, at))) if (t, r) == (term, run) => {
                self.held = Some((t, r, at.max(asked)));
            }
            (Some(term), _) => self.held = Some((term, run, asked)),
            (None, Some((_, r, _))) if r == run => self.held = None,
            (None, _) => {}
        }
    }

    /// Whether a lease may be renewed under that lead now. `known` is the moment up to which everything is
    /// known that users were told, and every change of the lead; a renewal may come `grace` later.
    ///
    /// While the leader's process may live it has to have given the right: it takes leases for run out by
    /// itself, and has to know that we may renew them. Once that process has ended nobody does so under its
    /// term, and whoever leads next waits for whatever may have been renewed under older terms.
    pub fn may(&self, lead: &KnownLeader, known: Time, now: Time, grace: Time) -> bool {
        let given = self
            .held
            .is_some_and(|(t, r, at)| (t, r) == (lead.term, lead.run) && now < at + grace);
        // Clocks begin with the process: that nothing is known yet must not be taken for all being known as of then.
        (given || lead.ended) && known > 0 && now < known.saturating_add(grace)
    }

    /// A lease is being renewed by it.
    pub fn note_use(&mut self, now: Time) {
        self.used = self.used.max(Some(now));
    }

    /// How long ago it was last used; none: never by this run.
    pub fn used_ago(&self, now: Time) -> Option<Time> {
        self.used.map(|u| now.saturating_sub(u))
    }
}

#[cfg(test)]
mod tests;
