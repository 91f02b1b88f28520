//! Scale-in: which machines are deleted, and why.

use crate::cloud::autoscaler::FleetSnapshot;
use crate::cloud::inventory::Machine;
use crate::protocol::Micros;
use crate::protocol::records::JobStage;
use crate::state::agent::Agent;
use std::collections::BTreeSet;

/// A machine that seems unreachable is deleted no sooner than this.
const MIN_UNREACHABLE: Micros = Micros::millis(30_000);
/// Multiple of the agents' lease for which a machine that seems unreachable is kept: longer than a network partition
/// that lets only one direction through.
const UNREACHABLE_LEASES: f64 = 2.0;
/// Boot time of a machine of an unknown type.
const DEFAULT_BOOT: Micros = Micros::millis(120_000);
/// How long a silent machine is kept after its lease has expired.
const SILENT_PATIENCE: Micros = Micros::millis(5_000);
/// The same, at least, in a zone that seems partitioned.
const SILENT_ZONE_PATIENCE: Micros = Micros::millis(30_000);
/// Multiple of the delay of the cloud's list within which a new leader has read what earlier leaders requested.
const LIST_DELAYS: f64 = 3.0;
/// Multiple of the cancellation deadline after which all running machines have sent a new leader a heartbeat.
const TAKEOVER_CANCELS: f64 = 1.2;
/// Time in seconds for the calls to the cloud that delete a machine before the cancellation deadline.
const DELETION_S: f64 = 8.0;
/// At least this share of the cancellation deadline is left to the tasks to stop by themselves.
const MIN_CANCEL_SHARE: f64 = 0.6;

/// Why a machine is deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeletionReason {
    /// It sent no heartbeat in good time after it was requested.
    NeverReported,
    /// It sends heartbeats, and seems to receive nothing.
    Unreachable,
    /// Its agent is silent, and its lease has expired.
    LeaseExpired,
    /// Tasks of several jobs fail on it.
    TasksFail,
    /// It has had no tasks for long.
    Idle,
    /// A cancelled task on it cannot be confirmed gone by the deadline.
    CancelledTaskUnconfirmed,
}

/// A machine to be deleted.
#[derive(Debug, PartialEq)]
pub struct MachineDeletion {
    /// Name of the machine.
    pub machine: String,
    /// Why it is deleted.
    pub reason: DeletionReason,
}

/// The machines to be deleted. `capacity_missing`: some demand found no capacity, so that idle machines are kept.
pub(super) fn plan_scale_in(
    snapshot: &FleetSnapshot<'_>,
    silent_zones: &BTreeSet<String>,
    capacity_missing: bool,
) -> Vec<MachineDeletion> {
    let mut planner = ScaleInPlanner {
        snapshot,
        silent_zones,
        capacity_missing,
        leader_age: snapshot.clock.now.since(snapshot.leader.since),
        idle_machines: 0,
    };
    let mut deletions = Vec::new();
    for (name, machine) in &snapshot.leader.fleet.machines {
        if machine.leaving || machine.failed {
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
    /// How long our term has lasted.
    leader_age: Micros,
    /// Idle machines so far.
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
        let silent_patience = if self.silent_zones.contains(&agent.zone) {
            self.boot_time(machine).max(SILENT_ZONE_PATIENCE)
        } else {
            SILENT_PATIENCE
        };
        if let Some(since) = agent.reachability.suspected_since() {
            return self
                .unreachable_for_long(since, silent_patience)
                .then_some(DeletionReason::Unreachable);
        }
        if agent.epoch_ended() && now.since(agent.last_heard_at) > silent_patience {
            return Some(DeletionReason::LeaseExpired);
        }
        let host = snapshot.hosts.find(name);
        if !host.is_some_and(|host| snapshot.rooms[host].is_empty()) {
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
            .map_or(DEFAULT_BOOT, |machine_type| {
                Micros::secs(machine_type.boot_s)
            })
    }

    /// Whether a machine that never sent a heartbeat should have done so by now.
    fn boot_overdue(&self, machine: &Machine) -> bool {
        let params = &self.snapshot.settings.params;
        let patience = self
            .boot_time(machine)
            .scale(self.snapshot.policy.boot_patience);
        // A running machine may report to an older leader for a while: a new leader does not know all of them yet.
        let takeover = if machine.running {
            Micros::secs(params.agents.cancel_s * TAKEOVER_CANCELS)
        } else {
            Micros::secs(params.cloud.list_lag_s * LIST_DELAYS)
        };
        let age = self.snapshot.clock.now.since(machine.requested_at);
        age > patience && self.leader_age > takeover
    }

    /// Whether a machine has seemed unreachable for so long that it is given up. Network partitions that let only one
    /// direction through end, too.
    fn unreachable_for_long(&self, since: Micros, silent_patience: Micros) -> bool {
        let lease_s = self.snapshot.settings.params.agents.lease_s;
        let patience = Micros::secs(lease_s * UNREACHABLE_LEASES).max(MIN_UNREACHABLE);
        self.snapshot.clock.now.since(since) > silent_patience + patience
            && self.leader_age > patience
    }

    /// Whether an idle machine is no longer worth its price.
    fn is_surplus(&self, agent: &Agent) -> bool {
        let policy = self.snapshot.policy;
        // An operator who keeps machines up before there is work considers spare capacity worth its price.
        let patience = if self.snapshot.cache.initial_machines.unwrap_or(0) > 0 {
            Micros::secs(policy.idle_return_kept_s)
        } else {
            Micros::secs(policy.idle_return_s)
        };
        let now = self.snapshot.clock.now;
        let idle_for_long = agent
            .idle_since
            .is_some_and(|since| now.since(since) > patience);
        idle_for_long
            && self.leader_age > patience
            && !self.capacity_missing
            && self.idle_machines as f64 > policy.keep_idle
    }

    /// Tasks of cancelled jobs that cannot be confirmed gone in time are ended by deleting their machine. A controller
    /// that renews the machine's lease across a network partition has told it to stop them, so this waits until just
    /// enough time is left for a few calls to the cloud.
    fn unconfirmed_cancellations(&self) -> Vec<MachineDeletion> {
        let leader = self.snapshot.leader;
        let cache = self.snapshot.cache;
        let agents = &self.snapshot.settings.params.agents;
        let delay_s = (agents.cancel_s - DELETION_S).max(agents.cancel_s * MIN_CANCEL_SHARE);
        let delay = Micros::secs(delay_s);
        let lease = Micros::secs(agents.lease_s);
        let mut deletions = Vec::new();
        // Such jobs still have tasks on record, so they are among the ending ones.
        let ending = cache
            .ended_with_tasks()
            .filter_map(|id| cache.jobs.get_key_value(id));
        for (id, job) in ending {
            let is_due = self.snapshot.clock.wall >= job.record.ended_at + delay;
            if job.record.stage != JobStage::Cancelled || !is_due {
                continue;
            }
            for entry in job.entries() {
                if let Some(machine) = entry.machine()
                    && leader.may_be_running(id, entry, false)
                    && self.leader_age > lease
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
