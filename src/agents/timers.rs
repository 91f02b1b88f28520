//! Periodic work of the leader: lease expiry, scheduling passes, and the timers of its components.

use crate::agents::leader_state::MAX_START_STALENESS;
use crate::controller::Controller;
use crate::messages::PendingCall;
use crate::protocol::records::TaskEntry;
use crate::protocol::{Clock, Micros};
use crate::transport::Outcome;

/// Maximum interval between scheduling passes. They run even without changes, since machines are deleted after
/// timeouts.
const MAX_PASS_INTERVAL: Micros = Micros::millis(5_000);
/// Delay before a pass that is due but not possible yet is tried again.
const PASS_RETRY: Micros = Micros::millis(20);

impl Controller {
    /// Runs the work that is due on the leader; returns when further work is due.
    pub fn drive_leader(&mut self, clock: Clock) -> Micros {
        let mut next = self.drive_leases(clock);
        next = next.min(self.drive_pass(clock));
        self.revoke_stalled_renewals(clock);
        next = next.min(self.merge_placement_batches(clock));
        next = next.min(self.drive_inventory(clock));
        next.min(self.send_commands(clock))
    }

    fn drive_leases(&mut self, clock: Clock) -> Micros {
        let pledges_relied_on_until = Micros(self.peers.silence_pledges.relied_on_until());
        let Some(leader) = &mut self.leader else {
            return Micros::FAR_FUTURE;
        };
        let check_is_due = leader.next_lease_check <= clock.now;
        let next = leader.expire_leases(
            &self.settings,
            &self.cache,
            pledges_relied_on_until,
            clock.now,
        );
        if check_is_due && leader.lease_check_awaits_read {
            self.request_confirmation(clock);
        }
        next
    }

    /// Runs a scheduling pass if one is due and allowed; returns when to try again.
    fn drive_pass(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let pass_interval = self
            .policy
            .pass_interval(self.settings.params.limits.core_share)
            .scale(self.request_scheduler.pass_interval_factor(now));
        let Some(leader) = &mut self.leader else {
            return Micros::FAR_FUTURE;
        };
        if now.since(leader.last_pass) > MAX_PASS_INTERVAL {
            leader.dirty = true;
        }
        if !leader.dirty {
            return Micros::FAR_FUTURE;
        }
        let due_at = leader.last_pass + pass_interval;
        let term_confirmed = now < leader.last_confirmed_read + MAX_START_STALENESS;
        if now < due_at || !term_confirmed || !leader.has_complete_cache(&self.cache) {
            return due_at.max(now + PASS_RETRY);
        }
        leader.dirty = false;
        leader.last_pass = now;
        self.run_scheduling_pass(clock);
        Micros::FAR_FUTURE
    }

    /// Updates the queue from changed job records, and adds the machines of these jobs to `machines_to_check`.
    pub fn on_changed_jobs(&mut self) {
        let changed = self.cache.take_changed();
        let Some(leader) = &mut self.leader else {
            return;
        };
        for id in changed {
            leader.dirty = true;
            let job = self.cache.jobs.get(&id);
            leader.pass_state.job_queue.update(&id, job);
            let Some(job) = job else { continue };
            for machine in job.entries().filter_map(TaskEntry::machine) {
                if !leader.machines_to_check.contains(machine) {
                    leader.machines_to_check.insert(machine.to_string());
                }
            }
        }
    }

    /// Dispatches the response to a call that only the leader makes: to an agent, or to the cloud.
    pub fn on_leader_call_response(&mut self, clock: Clock, tag: PendingCall, outcome: Outcome) {
        match tag {
            PendingCall::AgentCommands {
                machine,
                starts,
                term,
                agent_epoch,
            } => self.on_commands_response(clock, &machine, starts, term, agent_epoch, outcome),
            PendingCall::Cloud(request) => self.on_cloud_response(clock, request, outcome),
            PendingCall::PeerHeartbeat { .. }
            | PendingCall::RelayedHeartbeat { .. }
            | PendingCall::ForwardedRequest { .. } => {}
        }
    }
}
