//! Scale-in: decides which machines are deleted, and why.

use crate::cloud::autoscaler::FleetSnapshot;
use crate::cloud::inventory::Machine;
use crate::protocol::Micros;
use crate::protocol::records::JobStage;
use crate::state::agent::Agent;
use std::collections::BTreeSet;

/// Minimum time for which a machine has to seem unreachable before it is deleted.
const MIN_UNREACHABLE: Micros = Micros::millis(30_000);
/// Multiple of the agents' lease for which a machine has to seem unreachable before it is deleted: longer than a
/// one-way network partition lasts.
const UNREACHABLE_LEASES: f64 = 2.0;
/// Boot time that is assumed for an unknown machine type.
const DEFAULT_BOOT_TIME: Micros = Micros::millis(120_000);
/// A machine with an expired lease is deleted after this time without a heartbeat.
const SILENT_MACHINE_GRACE: Micros = Micros::millis(5_000);
/// The same in a zone that seems partitioned, unless the machine's boot time is longer.
const SILENT_ZONE_GRACE: Micros = Micros::millis(30_000);
/// Multiple of the lag of the cloud's list after which a new leader has seen all machines that earlier leaders
/// requested.
const TAKEOVER_LIST_LAGS: f64 = 3.0;
/// Multiple of the cancellation deadline after which all running machines have sent a new leader a heartbeat.
const TAKEOVER_CANCEL_DEADLINES: f64 = 1.2;
/// Time in seconds that is reserved before the cancellation deadline for the cloud calls that delete a machine.
const DELETION_TIME_S: f64 = 8.0;
/// Minimum share of the cancellation deadline that is left to the tasks to stop by themselves.
const MIN_CANCEL_SHARE: f64 = 0.6;

/// Why a machine is deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeletionReason {
    /// It sent no heartbeat within the boot timeout after it was requested.
    NeverReported,
    /// It sends heartbeats, but seems to receive nothing.
    Unreachable,
    /// Its agent is silent, and its lease has expired.
    LeaseExpired,
    /// Tasks of several jobs failed on it in a row.
    TasksFail,
    /// It has been idle for longer than the idle timeout.
    Idle,
    /// A cancelled task on it cannot be confirmed gone by the deadline.
    CancelledTaskUnconfirmed,
}

/// A machine to delete.
#[derive(Debug, PartialEq)]
pub struct MachineDeletion {
    /// Name of the machine.
    pub machine: String,
    /// Why it is deleted.
    pub reason: DeletionReason,
}

/// Returns the machines to delete. `capacity_missing`: some demand found no capacity, so idle machines are kept.
pub(super) fn plan_scale_in(
    snapshot: &FleetSnapshot<'_>,
    silent_zones: &BTreeSet<String>,
    capacity_missing: bool,
) -> Vec<MachineDeletion> {
    let mut planner = ScaleInPlanner {
        snapshot,
        silent_zones,
        capacity_missing,
        leadership_age: snapshot.clock.now.since(snapshot.leader.leadership_since),
        term_age: snapshot.clock.now.since(snapshot.leader.term_since),
        idle_machines: 0,
    };
    let mut deletions = Vec::new();
    for (name, machine) in &snapshot.leader.inventory.machines {
        if machine.marked_for_deletion || machine.failed {
            continue;
        }
        if let Some(reason) = planner.deletion_reason(name, machine) {
            deletions.push(MachineDeletion {
                machine: name.clone(),
                reason,
            });
        }
    }
    deletions.extend(planner.unconfirmed_cancellations());
    deletions
}

struct ScaleInPlanner<'a> {
    snapshot: &'a FleetSnapshot<'a>,
    silent_zones: &'a BTreeSet<String>,
    capacity_missing: bool,
    /// Time since we acquired leadership, which a raised term does not change: the longest time for which we have known the
    /// machines.
    leadership_age: Micros,
    /// Age of our term.
    term_age: Micros,
    /// Number of idle machines found so far.
    idle_machines: usize,
}

impl ScaleInPlanner<'_> {
    fn deletion_reason(&mut self, name: &str, machine: &Machine) -> Option<DeletionReason> {
        if !machine.reported {
            return self
                .boot_overdue(machine)
                .then_some(DeletionReason::NeverReported);
        }
        let snapshot = self.snapshot;
        let leader = snapshot.leader;
        let now = snapshot.clock.now;
        let agent = leader.agents.get(name)?;
        let silence_limit = if self.silent_zones.contains(&agent.zone) {
            self.boot_time(machine).max(SILENT_ZONE_GRACE)
        } else {
            SILENT_MACHINE_GRACE
        };
        if let Some(since) = agent.reachability.suspected_since() {
            return self
                .unreachable_for_long(since, silence_limit)
                .then_some(DeletionReason::Unreachable);
        }
        if agent.epoch_ended() && now.since(agent.last_heartbeat_at) > silence_limit {
            return Some(DeletionReason::LeaseExpired);
        }
        let host = snapshot.hosts.find(name);
        if !host.is_some_and(|host| snapshot.hosts_after_pass[host].is_empty()) {
            return None;
        }
        if leader.is_unhealthy(agent, snapshot.policy) {
            return leader
                .stays_unhealthy(agent, snapshot.policy, now)
                .then_some(DeletionReason::TasksFail);
        }
        self.idle_machines += 1;
        self.is_surplus(agent).then_some(DeletionReason::Idle)
    }

    fn boot_time(&self, machine: &Machine) -> Micros {
        self.snapshot
            .machine_types()
            .iter()
            .find(|machine_type| machine_type.name == machine.kind)
            .map_or(DEFAULT_BOOT_TIME, |machine_type| {
                Micros::secs(machine_type.boot_s)
            })
    }

    /// Whether a machine that never sent a heartbeat should have sent one by now.
    fn boot_overdue(&self, machine: &Machine) -> bool {
        let params = &self.snapshot.settings.params;
        let boot_timeout = self
            .boot_time(machine)
            .scale(self.snapshot.policy.boot_timeout_factor);
        // A new leader does not know all machines yet: a running one may still send its heartbeats to an earlier
        // leader.
        let takeover = if machine.running {
            Micros::secs(params.agents.cancel_s * TAKEOVER_CANCEL_DEADLINES)
        } else {
            Micros::secs(params.cloud.list_lag_s * TAKEOVER_LIST_LAGS)
        };
        let age = self.snapshot.clock.now.since(machine.requested_at);
        age > boot_timeout && self.leadership_age > takeover
    }

    /// Whether a machine has seemed unreachable for so long that it is deleted. The time is long enough for a one-way
    /// network partition to end.
    fn unreachable_for_long(&self, since: Micros, silence_limit: Micros) -> bool {
        let lease_s = self.snapshot.settings.params.agents.lease_s;
        let min_unreachable = Micros::secs(lease_s * UNREACHABLE_LEASES).max(MIN_UNREACHABLE);
        self.snapshot.clock.now.since(since) > silence_limit + min_unreachable
            && self.leadership_age > min_unreachable
    }

    /// Whether an idle machine is no longer worth its cost.
    fn is_surplus(&self, agent: &Agent) -> bool {
        let policy = self.snapshot.policy;
        // An operator who keeps machines running before there are any jobs wants spare capacity, so the longer timeout
        // applies.
        let idle_timeout = if self.snapshot.cache.initial_machines.unwrap_or(0) > 0 {
            Micros::secs(policy.idle_timeout_with_initial_machines_s)
        } else {
            Micros::secs(policy.idle_timeout_s)
        };
        let now = self.snapshot.clock.now;
        let idle_for_long = agent
            .idle_since
            .is_some_and(|since| now.since(since) > idle_timeout);
        idle_for_long
            && self.leadership_age > idle_timeout
            && !self.capacity_missing
            && self.idle_machines as f64 > policy.min_idle_machines
    }

    /// Deletes machines on which tasks of cancelled jobs cannot be confirmed gone in time. A controller that renews
    /// such a machine's lease across a network partition also commands it to stop these tasks, so the deletion waits
    /// until the remaining time is just enough for a few calls to the cloud.
    fn unconfirmed_cancellations(&self) -> Vec<MachineDeletion> {
        let leader = self.snapshot.leader;
        let cache = self.snapshot.cache;
        let agents = &self.snapshot.settings.params.agents;
        let delay_s = (agents.cancel_s - DELETION_TIME_S).max(agents.cancel_s * MIN_CANCEL_SHARE);
        let delay = Micros::secs(delay_s);
        let lease = Micros::secs(agents.lease_s);
        let mut deletions = Vec::new();
        // Such jobs still have recorded tasks, so `ended_with_tasks` contains them.
        let ended_jobs = cache
            .ended_with_tasks()
            .filter_map(|id| cache.jobs.get_key_value(id));
        for (id, job) in ended_jobs {
            let is_due = self.snapshot.clock.wall >= job.record.ended_at + delay;
            if job.record.stage != JobStage::Cancelled || !is_due {
                continue;
            }
            for entry in job.entries() {
                if let Some(machine) = entry.machine()
                    && leader.may_be_running(id, entry, false)
                    && self.term_age > lease
                {
                    deletions.push(MachineDeletion {
                        machine: machine.to_string(),
                        reason: DeletionReason::CancelledTaskUnconfirmed,
                    });
                }
            }
        }
        deletions
    }
}
