//! The leader's side of renewal grants: the grants that it has given, and the leases that may have been renewed under
//! them.

use crate::Time;
use std::collections::BTreeMap;

/// Interval in microseconds at which a lease that a grantee may have renewed is checked again. Grantees report their
/// use of grants about this often.
const RECHECK_INTERVAL: Time = 200_000;

/// Upper bounds of durations in microseconds, including a margin for clock drift and late timers.
#[derive(Debug, Clone, Copy)]
pub struct LeaseBounds {
    /// How long an agent keeps its tasks running after its last answered heartbeat.
    pub lease_duration: Time,
    /// Time from the last sending of a grant until all leases that were renewed under it have expired.
    pub expiry_after_grant: Time,
}

/// The grant given to one peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Grant {
    /// Incarnation of the grantee's process.
    incarnation: u64,
    /// When the grant was last sent to the grantee.
    last_given: Time,
    /// Upper bound on the time of the grantee's last use of the grant; `None` if it has not reported a use.
    last_used: Option<Time>,
    /// When the heartbeat was sent whose response carried the latest use report. Later uses are not known.
    reported_as_of: Time,
}

/// Renewal grants that a leader has given under its current term.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    grants: BTreeMap<String, Grant>,
}

impl LeaseGrantor {
    /// Records that a grant is sent to this incarnation of a peer.
    pub fn record_grant(&mut self, grantee: &str, incarnation: u64, now: Time) {
        self.observe_incarnation(grantee, incarnation, now);
        let grant = self.grants.entry(grantee.to_string()).or_insert(Grant {
            incarnation,
            last_given: now,
            last_used: None,
            reported_as_of: 0,
        });
        grant.last_given = grant.last_given.max(now);
    }

    /// Handles a restart of a grantee: its earlier incarnation may have used the grant until now, since its last uses
    /// were not reported.
    fn observe_incarnation(&mut self, grantee: &str, incarnation: u64, now: Time) {
        if let Some(grant) = self.grants.get_mut(grantee)
            && grant.incarnation != incarnation
        {
            grant.incarnation = incarnation;
            grant.last_used = Some(now);
        }
    }

    /// Handles the use report in a peer's response to the heartbeat sent at `sent`. `time_since_use` is the time since
    /// the peer last used a grant; `None` if this incarnation has not used any.
    pub fn on_use_report(
        &mut self,
        grantee: &str,
        incarnation: u64,
        sent: Time,
        now: Time,
        time_since_use: Option<Time>,
    ) {
        self.observe_incarnation(grantee, incarnation, now);
        let Some(grant) = self.grants.get_mut(grantee) else {
            return;
        };
        grant.reported_as_of = grant.reported_as_of.max(sent);
        let last_used = time_since_use.map(|age| now.saturating_sub(age));
        grant.last_used = grant.last_used.max(last_used);
    }

    /// Returns when to check a lease again that expires at `lease_end` by our own answers to the agent's heartbeats;
    /// `None` if it has expired, whatever heartbeats grantees may have answered.
    pub fn recheck_at(&self, lease_end: Time, now: Time, bounds: &LeaseBounds) -> Option<Time> {
        let rechecks = self.grants.values().filter_map(|grant| {
            let grant_end = grant.last_given + bounds.expiry_after_grant;
            if grant_end <= now {
                return None;
            }
            // The grantee may have renewed the lease at its last reported use, or after its last report.
            let lease_end = grant.last_used.map_or(lease_end, |used| {
                lease_end.max(used + bounds.lease_duration)
            });
            let recheck = grant_end.min(lease_end.max(now + RECHECK_INTERVAL));
            (grant.reported_as_of < lease_end).then_some(recheck)
        });
        rechecks.max()
    }
}
