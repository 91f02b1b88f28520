//! A peer's side of renewal grants: the grant that it holds, and its use.

use crate::Time;

/// A grant as received from a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ReceivedGrant {
    /// The leader's term.
    term: u64,
    /// The run of the leader's process.
    incarnation: u64,
    /// When the heartbeat was sent whose response carried the grant.
    sent: Time,
}

/// The renewal grant that a controller holds, and when it last renewed a lease without a record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LeaseGrantee {
    grant: Option<ReceivedGrant>,
    last_used: Option<Time>,
}

/// The leadership that a controller knows of.
#[derive(Debug, Clone, Copy)]
pub struct KnownLeader {
    /// The leader's term.
    pub term: u64,
    /// The run of the leader's process.
    pub incarnation: u64,
    /// That process has ended: another run of it has responded to a heartbeat sent after this leadership was known.
    pub process_ended: bool,
}

impl LeaseGrantee {
    /// A peer has responded to the heartbeat sent at `asked`. `term`: it grants renewal under this term; none: a grant
    /// that the same run gave earlier is withdrawn.
    pub fn on_response(&mut self, term: Option<u64>, incarnation: u64, sent: Time) {
        let Some(term) = term else {
            self.grant = self.grant.filter(|grant| grant.incarnation != incarnation);
            return;
        };
        let repeated = self
            .grant
            .filter(|grant| grant.term == term && grant.incarnation == incarnation);
        let sent = repeated.map_or(sent, |grant| grant.sent.max(sent));
        self.grant = Some(ReceivedGrant {
            term,
            incarnation,
            sent,
        });
    }

    /// Whether a lease may be renewed now, under this leadership and without a record.
    ///
    /// `covered_until` is the time until which everything is known that clients were told, and every leadership change;
    /// a renewal may be at most `staleness_bound` later.
    ///
    /// While the leader's process may be alive, it must have given a grant: it decides by itself that leases have
    /// expired, and has to know that this controller may renew them. Once that process has ended, nobody decides so
    /// under its term, and the next leader waits for all renewals that are possible under older terms.
    pub fn may_renew(
        &self,
        leader: &KnownLeader,
        covered_until: Time,
        now: Time,
        staleness_bound: Time,
    ) -> bool {
        let granted = self.grant.is_some_and(|grant| {
            grant.term == leader.term
                && grant.incarnation == leader.incarnation
                && now < grant.sent + staleness_bound
        });
        // Clocks start with the process: zero means that nothing is covered yet, not that the start is covered.
        let covered = covered_until > 0 && now < covered_until.saturating_add(staleness_bound);
        (granted || leader.process_ended) && covered
    }

    /// A lease is renewed without a record.
    pub fn record_use(&mut self, now: Time) {
        self.last_used = self.last_used.max(Some(now));
    }

    /// Time since a lease was last renewed without a record; none: never by this run.
    pub fn time_since_use(&self, now: Time) -> Option<Time> {
        self.last_used.map(|used| now.saturating_sub(used))
    }
}

#[cfg(test)]
mod tests;
