//! Lease expiry: when an agent's lease has expired in the worst case, so that none of its tasks can be running, and
//! which leases followers renew on behalf of the leader.

use crate::agents::leader_state::LeaderState;
use crate::controller::Controller;
use crate::leadership::delegated_renewal::RECORD_REFRESH_INTERVAL;
use crate::protocol::{Clock, Micros, Settings};
use crate::state::agent::Agent;
use crate::state::record_cache::RecordCache;
use lease_delegation::lease_grantor;

/// Minimum interval between checks of leases, which last for seconds.
const LEASE_CHECK_INTERVAL: Micros = Micros::millis(200);
/// Delay before a lease that a follower renews is checked again.
const RENEWED_LEASE_RECHECK: Micros = Micros::millis(500);
/// Worst-case ratio between the rates of the clocks of two machines: each drifts by 0.05% either way, rounded up.
const MAX_CLOCK_RATIO: f64 = 1.002;
/// Allowance in seconds for timers that fire late.
const TIMER_SLACK_S: f64 = 0.3;
/// A follower's renewals are revoked after it has written no record for this many of its write intervals.
const MISSED_RENEWAL_RECORDS: f64 = 2.5;

/// The newest renewal record of a follower.
pub(super) struct LastSeenRenewal {
    /// Version of the record.
    version: u64,
    /// When this version was first seen, or the renewals were last revoked.
    seen_at: Micros,
}

/// Worst-case durations of leases, and the time at which all leases renewed under earlier terms have expired.
struct LeaseBounds {
    /// How long a lease lasts after the response that renewed it.
    lease: Micros,
    /// How long a lease that was renewed under a term may last after the end of that term.
    after_term_end: Micros,
    /// When all leases renewed by earlier leaders have expired.
    earlier_terms_end: Micros,
}

impl LeaseBounds {
    /// `term_began`: the latest time at which earlier terms may have ended.
    fn new(settings: &Settings, term_began: Micros) -> LeaseBounds {
        let agents = &settings.params.agents;
        let worst_case = |seconds: f64| Micros::secs(seconds * MAX_CLOCK_RATIO + TIMER_SLACK_S);
        let after_term_end = worst_case(agents.cancel_s);
        LeaseBounds {
            lease: worst_case(agents.lease_s),
            after_term_end,
            earlier_terms_end: term_began + after_term_end,
        }
    }

    /// When a lease has expired, considering the renewals by our own responses and by earlier leaders.
    fn lease_end(&self, agent: &Agent, our_term: u64) -> Micros {
        // The response to direct commands may have shown an agent epoch that began after our last heartbeat response,
        // which then renewed the previous epoch. If the lease of the new epoch were counted from that response, the
        // epoch would end too early and its tasks would be started twice.
        let answered = agent
            .last_answered_at
            .unwrap_or(Micros::ZERO)
            .max(agent.epoch_began_at);
        if agent.term == our_term {
            // Until the agent has seen our term, an earlier leader may have renewed its lease. Direct commands show it
            // our term as well, but renew nothing: the last renewal under an earlier term (by an earlier leader or,
            // after we raised our own term, by a follower) may be as recent as the time when the agent showed our term.
            answered.max(agent.term_seen_at) + self.lease
        } else {
            (answered + self.lease).max(self.earlier_terms_end)
        }
    }

    fn grant_bounds(&self) -> lease_grantor::LeaseBounds {
        lease_grantor::LeaseBounds {
            lease_duration: self.lease.0,
            expiry_after_grant: self.after_term_end.0,
        }
    }
}

/// Result of checking one lease.
enum LeaseCheck {
    /// The lease may be valid; it is checked again at this time.
    MayBeValid(Micros),
    /// The records were not read since the lease ended by our own answers, so a follower may have recorded before that
    /// moment that it renews the lease. It is checked again after the next read.
    RecordsOutdated,
    /// The lease has expired.
    Expired,
}

impl LeaderState {
    /// Ends the agent epochs whose lease has expired in the worst case; returns the time of the next check.
    /// `pledges_relied_on_until`: peers that rely on silence pledges may assume that our leadership began as late as
    /// this.
    pub fn expire_leases(
        &mut self,
        settings: &Settings,
        cache: &RecordCache,
        pledges_relied_on_until: Micros,
        now: Micros,
    ) -> Micros {
        if now < self.next_lease_check {
            return self.next_lease_check;
        }
        let bounds = LeaseBounds::new(settings, self.term_since.max(pledges_relied_on_until));
        self.lease_check_awaits_read = false;
        self.update_renewed_by_followers(cache);
        let mut next = self.expire_unseen_agents(bounds.earlier_terms_end, cache, now);
        let mut expired = Vec::new();
        let mut awaits_read = false;
        for (machine, agent) in &self.agents {
            if agent.epoch_ended() {
                continue;
            }
            match self.check_lease(machine, agent, &bounds, cache, now) {
                LeaseCheck::MayBeValid(recheck_at) => next = next.min(recheck_at),
                LeaseCheck::RecordsOutdated => awaits_read = true,
                LeaseCheck::Expired => expired.push(machine.clone()),
            }
        }
        if awaits_read {
            self.lease_check_awaits_read = true;
            next = now;
        }
        for machine in expired {
            self.end_epoch(&machine);
        }
        self.next_lease_check = next.max(now + LEASE_CHECK_INTERVAL);
        self.next_lease_check
    }

    /// Sets `unseen_agent_leases_expired` once the leases of machines that never sent us a heartbeat have expired in
    /// the worst case; returns the time of the next check.
    fn expire_unseen_agents(
        &mut self,
        earlier_terms_end: Micros,
        cache: &RecordCache,
        now: Micros,
    ) -> Micros {
        if self.unseen_agent_leases_expired {
            return Micros::FAR_FUTURE;
        }
        if now < earlier_terms_end {
            return earlier_terms_end;
        }
        if !self.records_read_since(cache, earlier_terms_end) {
            self.lease_check_awaits_read = true;
            return now;
        }
        self.unseen_agent_leases_expired = true;
        self.dirty = true;
        Micros::FAR_FUTURE
    }

    /// Whether the cache shows the renewals records as of this time or later. A follower commits its record before it
    /// renews a lease, so a record that renewed a lease which would have ended at `time` is in the cache then.
    fn records_read_since(&self, cache: &RecordCache, time: Micros) -> bool {
        self.last_confirmed_read >= time && cache.is_consistent()
    }

    fn check_lease(
        &self,
        machine: &str,
        agent: &Agent,
        bounds: &LeaseBounds,
        cache: &RecordCache,
        now: Micros,
    ) -> LeaseCheck {
        let end = bounds.lease_end(agent, self.term);
        if now < end {
            return LeaseCheck::MayBeValid(end);
        }
        if self.renewed_by_followers.contains(machine) {
            // A follower renews the lease, and will record when it stops doing so.
            log::debug!(
                "lease expiry deferred machine={machine} term={} reason=renewed_by_follower",
                self.term
            );
            return LeaseCheck::MayBeValid(now + RENEWED_LEASE_RECHECK);
        }
        match self
            .lease_grants
            .recheck_at(end.0, now.0, &bounds.grant_bounds())
        {
            None if !self.records_read_since(cache, end) => LeaseCheck::RecordsOutdated,
            None => LeaseCheck::Expired,
            // A peer may have renewed it under one of our grants and not reported that yet.
            Some(recheck_at) => LeaseCheck::MayBeValid(Micros(recheck_at)),
        }
    }

    fn end_epoch(&mut self, machine: &str) {
        let Some(agent) = self.agents.get_mut(machine) else {
            return;
        };
        log::info!(
            "agent lease expired machine={machine} agent_epoch={}",
            agent.agent_epoch
        );
        agent.ended_epoch = Some(agent.agent_epoch);
        self.dirty = true;
    }

    /// Updates which leases followers renew under our term.
    pub fn update_renewed_by_followers(&mut self, cache: &RecordCache) {
        if self.renewed_by_followers.update(self.term, cache) {
            log::info!(
                "delegated renewals observed term={} machines={}",
                self.term,
                self.renewed_by_followers.len()
            );
            // A lease that followers have stopped renewing may already have expired.
            self.dirty = true;
            self.next_lease_check = Micros::ZERO;
        }
    }

    /// Whether a follower that renews leases under our term has written no record for too long, up to our last read of
    /// the records. Restarts the timer of such a follower, because the caller revokes its renewals.
    fn renewals_stalled(&mut self, cache: &RecordCache, now: Micros) -> bool {
        let read_at = self.last_confirmed_read;
        let mut stalled = false;
        for (node, (record, version)) in &cache.renewals {
            if record.term != self.term || record.is_empty() {
                continue;
            }
            let last_seen =
                self.last_seen_renewals
                    .entry(node.clone())
                    .or_insert(LastSeenRenewal {
                        version: *version,
                        seen_at: now,
                    });
            if last_seen.version != *version {
                last_seen.version = *version;
                last_seen.seen_at = now;
            } else if read_at.since(last_seen.seen_at)
                > RECORD_REFRESH_INTERVAL.scale(MISSED_RENEWAL_RECORDS)
                && !self.term_raise_pending
            {
                log::info!("delegated renewals revoked follower={node} reason=no_record");
                last_seen.seen_at = now;
                stalled = true;
            }
        }
        stalled
    }
}

impl Controller {
    /// Raises our term if a follower that renews leases for us has stopped writing its record. The new term ends all
    /// renewals under the old one, so the bound on leases that the follower may still renew is counted from now, as it
    /// is for an earlier leader.
    pub(super) fn revoke_stalled_renewals(&mut self, clock: Clock) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader.renewals_stalled(&self.cache, clock.now) {
            self.raise_term();
        }
    }
}
