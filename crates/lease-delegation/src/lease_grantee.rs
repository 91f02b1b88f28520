//! The grantee's side of renewal grants: the grant that a peer of the leader holds, and its use.

use crate::Time;

/// A grant as received from a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ReceivedGrant {
    /// The leader's term.
    term: u64,
    /// Incarnation of the leader's process.
    incarnation: u64,
    /// When the heartbeat that the grant responds to was sent.
    sent: Time,
}

/// The renewal grant that a controller holds, and the time of its last unrecorded renewal of a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LeaseGrantee {
    grant: Option<ReceivedGrant>,
    last_used: Option<Time>,
}

/// The current leader, as a controller has last observed it.
#[derive(Debug, Clone, Copy)]
pub struct KnownLeader {
    /// The leader's term.
    pub term: u64,
    /// Incarnation of the leader's process.
    pub incarnation: u64,
    /// Whether that process has ended: a later incarnation has responded to a heartbeat that was sent after this
    /// leadership was observed.
    pub process_ended: bool,
}

impl LeaseGrantee {
    /// Handles a peer's response to the heartbeat sent at `sent`. `term` is the term under which the peer grants
    /// renewal; `None` withdraws an earlier grant of the same incarnation.
    pub fn on_response(&mut self, term: Option<u64>, incarnation: u64, sent: Time) {
        let Some(term) = term else {
            self.grant = self.grant.filter(|grant| grant.incarnation != incarnation);
            return;
        };
        let repeated_grant = self
            .grant
            .filter(|grant| grant.term == term && grant.incarnation == incarnation);
        let sent = repeated_grant.map_or(sent, |grant| grant.sent.max(sent));
        self.grant = Some(ReceivedGrant {
            term,
            incarnation,
            sent,
        });
    }

    /// Returns whether a lease may be renewed now under this leader without a record that this controller renews leases
    /// (an unrecorded renewal).
    ///
    /// `covered_until` is the time until which this controller has received all answers to clients and all leadership
    /// changes. A renewal may be at most `staleness_bound` later.
    ///
    /// While the leader's process may be alive, a grant from it is required: the leader decides on its own when leases
    /// have expired, and must take renewals by this controller into account. Once that process has ended, no lease is
    /// considered expired under its term, and the next leader waits for all renewals that are possible under older
    /// terms.
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
        // 0 means that nothing is covered yet, not that the start of the process, where its clock is 0, is covered.
        let covered = covered_until > 0 && now < covered_until.saturating_add(staleness_bound);
        (granted || leader.process_ended) && covered
    }

    /// Notes an unrecorded renewal of a lease.
    pub fn record_use(&mut self, now: Time) {
        self.last_used = self.last_used.max(Some(now));
    }

    /// Returns the time since the last unrecorded renewal of a lease; `None` if this incarnation has made none.
    pub fn time_since_use(&self, now: Time) -> Option<Time> {
        self.last_used.map(|used| now.saturating_sub(used))
    }
}

#[cfg(test)]
mod tests;
