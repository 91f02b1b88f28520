//! The leader's side of renewal grants: which grants it has given, and which leases they may have kept alive.

use crate::Time;
use std::collections::BTreeMap;

/// How soon a lease is checked again that a grantee may have renewed: grantees report their use about this often.
const RECHECK_INTERVAL: Time = 200_000;

/// Upper bounds of durations, in microseconds, including the allowance for clock drift and late timers.
#[derive(Debug, Clone, Copy)]
pub struct LeaseBounds {
    /// How long an agent keeps its tasks after its last answered heartbeat.
    pub lease_duration: Time,
    /// How long after a grant was last given every lease that was renewed under it has expired.
    pub expiry_after_grant: Time,
}

/// The grant given to one peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Grant {
    /// The run of the grantee's process.
    incarnation: u64,
    /// When the grant was last given.
    last_given: Time,
    /// Latest time at which the grantee may have last used it; none: it has not reported a use.
    last_used: Option<Time>,
    /// When the heartbeat was sent whose response last reported the use; later uses are unknown.
    reported_as_of: Time,
}

/// Renewal grants that a leader has given under its current term.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    grants: BTreeMap<String, Grant>,
}

impl LeaseGrantor {
    /// A grant is sent to this run of a peer's process.
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

    /// If a grantee's process has restarted, nothing is known of the use by its earlier run, except that it was
    /// before now.
    fn observe_incarnation(&mut self, grantee: &str, incarnation: u64, now: Time) {
        if let Some(grant) = self.grants.get_mut(grantee)
            && grant.incarnation != incarnation
        {
            grant.incarnation = incarnation;
            grant.last_used = Some(now);
        }
    }

    /// A peer has responded to the heartbeat sent at `asked`: its last use of a grant was `use_age` ago; none: this
    /// run has used no grant.
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

    /// When to check again whether a lease has expired that, by our own answers alone, expired at `lease_end`; none:
    /// it has expired, whatever grantees may have answered.
    pub fn recheck_at(&self, lease_end: Time, now: Time, bounds: &LeaseBounds) -> Option<Time> {
        let rechecks = self.grants.values().filter_map(|grant| {
            let grant_end = grant.last_given + bounds.expiry_after_grant;
            if grant_end <= now {
                return None;
            }
            // The grantee may have renewed the lease until its last reported use, and after the last report.
            let lease_end = grant.last_used.map_or(lease_end, |used| {
                lease_end.max(used + bounds.lease_duration)
            });
            let recheck = grant_end.min(lease_end.max(now + RECHECK_INTERVAL));
            (grant.reported_as_of < lease_end).then_some(recheck)
        });
        rechecks.max()
    }
}
