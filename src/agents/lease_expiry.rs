//! Lease expiry: when an agent's lease has run out in the worst case, so that none of its tasks can be running, and
//! which leases followers renew for the leader.

use crate::agents::leader_state::LeaderState;
use crate::controller::Controller;
use crate::leadership::delegated_renewal::RECORD_REFRESH_INTERVAL;
use crate::protocol::{Clock, Micros, Settings};
use crate::state::agent::Agent;
use crate::state::record_cache::RecordCache;
use lease_delegation::lease_grantor;

/// Leases are checked for expiry no more often than this: they last seconds.
const LEASE_CHECK_INTERVAL: Micros = Micros::millis(200);
/// A lease that a follower keeps alive is checked again after this.
const RENEWED_LEASE_RECHECK: Micros = Micros::millis(500);
/// Worst-case ratio between the clocks of two machines: each drifts by 0.05% either way, rounded up.
const MAX_CLOCK_RATIO: f64 = 1.002;
/// Allowance in seconds for timers that fire late.
const TIMER_SLACK_S: f64 = 0.3;
/// The renewals of a follower that wrote no record for this many of its write intervals are revoked.
const MISSED_RENEWAL_RECORDS: f64 = 2.5;

/// The newest renewal record of a follower.
pub(super) struct LastSeenRenewal {
    /// Version of the record.
    version: u64,
    /// When this version was first seen, or the renewals were last revoked.
    at: Micros,
}

/// Worst-case durations of leases, and the end of all leases renewed under earlier terms.
struct LeaseBounds {
    /// How long a lease lasts after the answer that renewed it.
    lease: Micros,
    /// How long after the end of a term a lease renewed under it may last.
    cancel: Micros,
    /// When all leases renewed by earlier leaders have expired.
    earlier_terms_end: Micros,
}

impl LeaseBounds {
    /// `term_began`: since when no controller renews leases under an earlier term of another leader.
    fn new(settings: &Settings, term_began: Micros) -> LeaseBounds {
        let agents = &settings.params.agents;
        let worst_case = |seconds: f64| Micros::secs(seconds * MAX_CLOCK_RATIO + TIMER_SLACK_S);
        let cancel = worst_case(agents.cancel_s);
        LeaseBounds {
            lease: worst_case(agents.lease_s),
            cancel,
            earlier_terms_end: term_began + cancel,
        }
    }

    /// When a lease has expired, as far as our own answers and those of earlier leaders may have renewed it.
    fn lease_end(&self, agent: &Agent, our_term: u64) -> Micros {
        // A direct answer may have shown an agent epoch that began after our last answer, which then renewed the
        // epoch before it. Were the new epoch taken to end with that answer, its tasks would be started twice.
        let answered = agent
            .last_answered_at
            .unwrap_or(Micros::ZERO)
            .max(agent.epoch_began_at);
        if agent.term == our_term {
            // Until the agent has seen our term, an older leader may have renewed its lease. Direct commands show it
            // our term as well, and renew nothing: the last answer under an older term (or, after we raised our own,
            // a follower's) may then be as recent as the moment when the agent showed our term.
            answered.max(agent.term_seen_at) + self.lease
        } else {
            (answered + self.lease).max(self.earlier_terms_end)
        }
    }

    fn grant_bounds(&self) -> lease_grantor::LeaseBounds {
        lease_grantor::LeaseBounds {
            lease_duration: self.lease.0,
            expiry_after_grant: self.cancel.0,
        }
    }
}

/// Result of checking one lease.
enum LeaseCheck {
    /// It may be valid; it is checked again at this time.
    MayHold(Micros),
    /// It has expired.
    Expired,
}

impl LeaderState {
    /// Marks the agent epochs whose lease has expired in the worst case as over; returns the time of the next check.
    /// `pledged`: peers may take our leadership for one that began then.
    pub fn expire_leases(
        &mut self,
        settings: &Settings,
        cache: &RecordCache,
        pledged: Micros,
        now: Micros,
    ) -> Micros {
        if now < self.next_lease_check {
            return self.next_lease_check;
        }
        let bounds = LeaseBounds::new(settings, self.since.max(pledged));
        self.update_renewed(cache);
        let mut next = self.expire_unmet_machines(bounds.earlier_terms_end, now);
        let mut expired = Vec::new();
        for (machine, agent) in &self.agents {
            if agent.epoch_ended() {
                continue;
            }
            match self.check_lease(machine, agent, &bounds, now) {
                LeaseCheck::MayHold(recheck_at) => next = next.min(recheck_at),
                LeaseCheck::Expired => expired.push(machine.clone()),
            }
        }
        for machine in expired {
            self.end_epoch(&machine);
        }
        self.next_lease_check = next.max(now + LEASE_CHECK_INTERVAL);
        self.next_lease_check
    }

    /// Notes when the leases of machines that never sent us a heartbeat have expired; returns the time of the next
    /// check.
    fn expire_unmet_machines(&mut self, earlier_terms_end: Micros, now: Micros) -> Micros {
        if self.unmet_leases_expired {
            return Micros::FAR;
        }
        if now < earlier_terms_end {
            return earlier_terms_end;
        }
        self.unmet_leases_expired = true;
        self.dirty = true;
        Micros::FAR
    }

    fn check_lease(
        &self,
        machine: &str,
        agent: &Agent,
        bounds: &LeaseBounds,
        now: Micros,
    ) -> LeaseCheck {
        let end = bounds.lease_end(agent, self.term);
        if now < end {
            return LeaseCheck::MayHold(end);
        }
        if self.renewed.contains(machine) {
            // A follower keeps the lease alive, and will record when it no longer does.
            return LeaseCheck::MayHold(now + RENEWED_LEASE_RECHECK);
        }
        match self
            .lease_grants
            .recheck_at(end.0, now.0, &bounds.grant_bounds())
        {
            None => LeaseCheck::Expired,
            // A peer may have renewed it by a grant of ours, and has not reported that yet.
            Some(recheck_at) => LeaseCheck::MayHold(Micros(recheck_at)),
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

    /// Recomputes which machines followers renew if a renewal record has changed.
    pub fn update_renewed(&mut self, cache: &RecordCache) {
        if self.seen_renewals_revision == cache.renewals_generation {
            return;
        }
        self.seen_renewals_revision = cache.renewals_generation;
        let renewed = cache
            .renewals
            .values()
            .filter(|(record, _)| record.term == self.term)
            .flat_map(|(record, _)| record.machines())
            .collect();
        if renewed != self.renewed {
            // A lease that no follower renews any more may have expired by that alone.
            self.renewed = renewed;
            self.dirty = true;
            self.next_lease_check = Micros::ZERO;
        }
    }

    /// Whether a follower that renews leases for our term has written no record for too long. Its clock starts anew
    /// with that, as its renewals are about to be revoked.
    fn renewals_stalled(&mut self, cache: &RecordCache, now: Micros) -> bool {
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
                        at: now,
                    });
            if last_seen.version != *version {
                last_seen.version = *version;
                last_seen.at = now;
            } else if now.since(last_seen.at)
                > RECORD_REFRESH_INTERVAL.times(MISSED_RENEWAL_RECORDS)
                && !self.term_raise_pending
            {
                log::info!("delegated renewals revoked follower={node} reason=no_record");
                last_seen.at = now;
                stalled = true;
            }
        }
        stalled
    }
}

impl Controller {
    /// Raises our term if a follower that renews leases for us stopped writing its record. A new term ends all that
    /// is done under the old one: the bound on what the follower may still answer runs from now, as it does for an
    /// older leader.
    pub(super) fn revoke_stalled_renewals(&mut self, clock: Clock) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader.renewals_stalled(&self.cache, clock.now) {
            self.raise_term();
        }
    }
}
