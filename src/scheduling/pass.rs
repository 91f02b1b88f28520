//! One scheduling pass: takes a snapshot of the cluster and the queue, runs the pure algorithm
//! `backfill::run_pass` on it, and returns the decision. `decide` modifies only the `PassState` that is
//! cached between passes; `apply_decision` applies the decision.

use crate::agents::leader_state::LeaderState;
use crate::cloud::autoscaler::{self, ScalingPlan};
use crate::policy::Policy;
use crate::protocol::{Clock, Settings};
use crate::scheduling::backfill::{self, QueueEntry, SchedulingPlan, TaskPlacement};
use crate::scheduling::capacity_index::CapacityIndex;
use crate::scheduling::cluster_snapshot::{ClusterSnapshot, SnapshotBuilder};
use crate::scheduling::findings::{JobFindings, TaskRef};
use crate::scheduling::host_table::{HostTable, ImageIdCache};
use crate::scheduling::job_queue::JobQueue;
use crate::scheduling::pending_jobs::{PendingJobs, SchedulingContext};
use crate::scheduling::placement::NameTable;
use crate::scheduling::priority_inheritance::InheritedPriorities;
use crate::scheduling::quota::QuotaTracker;
use crate::scheduling::recovery::Recovery;
use crate::scheduling::unmet_demand::{QueueDemand, UnplacedJob, placed_zones};
use crate::state::record_cache::RecordCache;
use std::collections::HashSet;

/// Lower bound of the image fetch rate, by which image sizes are divided.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// A task that is to be started.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStart {
    /// Job id.
    pub job: String,
    /// Index of the task in its job.
    pub task: u32,
    /// Name of the machine.
    pub machine: String,
    /// Epoch of the agent that is to start the task.
    pub agent_epoch: u64,
    /// The task starts ahead of a job that arrived earlier.
    pub backfilled: bool,
}

/// A machine that is reserved for a job while tasks on it are being stopped.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// Name of the machine.
    pub machine: String,
    /// Id of the job.
    pub job: String,
}

/// The result of a pass.
#[derive(Debug, Default)]
pub struct PassDecision {
    /// Tasks to start, in the order in which they were placed.
    pub starts: Vec<TaskStart>,
    /// Tasks to preempt.
    pub preemptions: Vec<TaskRef>,
    /// Machines to reserve for jobs while preempted tasks on them are being stopped.
    pub reservations: Vec<Reservation>,
    /// Number of jobs with tasks that could not be placed.
    pub unplaced_jobs: usize,
    /// The largest demand of any job so far, as a multiple of `HostTable::typical_host`.
    pub largest_demand: f64,
    /// Results of inspecting the jobs.
    pub findings: JobFindings,
    /// Machines to rent and to release.
    pub scaling: ScalingPlan,
    /// Number of jobs with tasks to start.
    pub waiting_jobs: usize,
    /// Number of machines that the pass considered.
    pub machine_count: usize,
}

/// Read-only inputs of a pass.
#[derive(Clone, Copy)]
pub struct PassInputs<'a> {
    /// State of the leader.
    pub leader: &'a LeaderState,
    /// Cached records of the store.
    pub cache: &'a RecordCache,
    /// Settings of the cluster.
    pub settings: &'a Settings,
    /// The operators' policy.
    pub policy: &'a Policy,
    /// Current time.
    pub clock: Clock,
}

/// State that the leader caches between passes. It can be rebuilt from records and heartbeats.
#[derive(Default)]
pub struct PassState {
    /// All live jobs.
    pub job_queue: JobQueue,
    images: ImageIdCache,
}

impl PassState {
    /// Rebuilds the state from the records if it was never built or its name table has grown too far.
    fn refresh(&mut self, cache: &RecordCache) {
        if self.job_queue.needs_rebuild() {
            self.job_queue = JobQueue::build(cache.jobs.iter());
            self.images.clear();
        }
    }

    /// The quotas of all teams, of which nothing is used yet.
    fn team_quotas(&mut self, settings: &Settings) -> QuotaTracker {
        let or_unlimited = |amount: f64| if amount > 0.0 { amount } else { f64::INFINITY };
        let mut quotas = QuotaTracker::default();
        for team in &settings.params.teams {
            let team_id = self.job_queue.names.id(&team.name);
            quotas.set_limit(
                team_id,
                [or_unlimited(team.cpus_max), or_unlimited(team.gpus_max)],
            );
        }
        quotas
    }
}

/// Runs a pass and returns its decision. `unplaced` receives the jobs with tasks that could not be placed,
/// in the order in which the pass considered them.
pub fn decide(
    inputs: &PassInputs<'_>,
    state: &mut PassState,
    unplaced: Option<&mut Vec<UnplacedJob>>,
) -> PassDecision {
    let PassInputs { leader, cache, .. } = *inputs;
    state.refresh(cache);
    let host_table = HostTable::build(inputs, &mut state.job_queue.names, &mut state.images);
    let quotas = state.team_quotas(inputs.settings);
    autoscaler::assign_name_ids(leader, cache, &mut state.job_queue.names);
    let queue_demand = state.job_queue.largest_demand(host_table.typical_host());
    let largest_demand = leader.max_demand.max(queue_demand);
    let context = scheduling_context(inputs, &state.job_queue);
    let mut snapshot = SnapshotBuilder::new(inputs, &context, host_table, quotas).build();
    let agents_known = leader.takeover_grace_elapsed(inputs.settings, inputs.clock.now);
    prepare_snapshot(&mut snapshot, agents_known);
    let ClusterSnapshot {
        mut host_table,
        mut quotas,
        preemptible,
        entries,
        inspected,
        findings,
        ..
    } = snapshot;
    let mut capacity = CapacityIndex::new(std::mem::take(&mut host_table.hosts));
    let pending = PendingJobs::new(&context, inspected.into_iter());
    let plan = backfill::run_pass(
        &entries,
        &pending,
        &mut capacity,
        &preemptible,
        &mut quotas,
        largest_demand,
    );
    let outcome = PlacementOutcome {
        entries: &entries,
        pending: &pending,
        host_table: &host_table,
        capacity: &capacity,
        plan: &plan,
        agents_known,
    };
    let scaling = outcome.scaling_plan(inputs, &context.job_queue.names, unplaced);
    let decision = PassDecision {
        starts: task_starts(plan.placements, &host_table, &capacity, cache),
        preemptions: task_refs(plan.preemptions),
        reservations: reservations(plan.reservations, &host_table),
        unplaced_jobs: plan.unmet_demands.len(),
        largest_demand,
        findings,
        scaling,
        waiting_jobs: entries.len() + pending.count(),
        machine_count: capacity.len(),
    };
    state.job_queue.mark_names_complete();
    decision
}

/// The queue and the machines after the pass has placed tasks.
struct PlacementOutcome<'p, 'a> {
    /// Entries of the inspected jobs.
    entries: &'p [QueueEntry<'a>],
    /// Queued jobs that were not inspected.
    pending: &'p PendingJobs<'a>,
    host_table: &'p HostTable<'a>,
    /// The machines, with the resources that are free after the pass.
    capacity: &'p CapacityIndex,
    plan: &'p SchedulingPlan<'a>,
    /// The leader has had time to receive a heartbeat from every reachable agent.
    agents_known: bool,
}

impl PlacementOutcome<'_, '_> {
    /// Plans which machines to rent and to release. `unplaced` receives the jobs with unmet demand.
    fn scaling_plan(
        &self,
        inputs: &PassInputs<'_>,
        names: &NameTable,
        unplaced: Option<&mut Vec<UnplacedJob>>,
    ) -> ScalingPlan {
        let zones = offered_zones(inputs.cache, names);
        let demand = QueueDemand {
            entries: self.entries,
            pending: self.pending,
            placed_zones: placed_zones(self.plan, self.capacity),
            zones: &zones,
        };
        if let Some(unplaced) = unplaced {
            unplaced.extend(demand.unplaced_jobs(&self.plan.unmet_demands));
        }
        let fleet_snapshot = autoscaler::FleetSnapshot {
            leader: inputs.leader,
            cache: inputs.cache,
            settings: inputs.settings,
            policy: inputs.policy,
            clock: inputs.clock,
            hosts: self.host_table,
            hosts_after_pass: self.capacity,
            takeover_grace_elapsed: self.agents_known,
        };
        autoscaler::plan(&fleet_snapshot, names, &demand, &self.plan.unmet_demands)
    }
}

/// The data, besides job records, that queue entries are built from.
fn scheduling_context<'a>(
    inputs: &PassInputs<'a>,
    job_queue: &'a JobQueue,
) -> SchedulingContext<'a> {
    let types = inputs.cache.machine_types.iter().flatten();
    let slowest_gb_per_s = types
        .map(|machine_type| machine_type.fetch_gb_per_s)
        .fold(f64::INFINITY, f64::min);
    SchedulingContext {
        job_queue,
        jobs: &inputs.cache.jobs,
        guarantee_cutoffs: job_queue.guarantee_cutoffs(&inputs.settings.params.teams),
        inherited_priorities: InheritedPriorities::new(inputs.cache),
        slowest_fetch_gb_per_s: slowest_gb_per_s.max(MIN_FETCH_GB_PER_S),
        wall_clock: inputs.clock.wall,
    }
}

/// Sorts the queue entries, releases reservations of jobs that no longer wait, and determines which
/// tasks may be preempted. None is preempted before every reachable agent has had time to send a
/// heartbeat, since machines that are not known yet may have free resources.
fn prepare_snapshot(snapshot: &mut ClusterSnapshot<'_>, agents_known: bool) {
    Recovery::sort_entries(&mut snapshot.entries);
    let waiting: HashSet<&str> = snapshot.entries.iter().map(|entry| entry.id).collect();
    for host in &mut snapshot.host_table.hosts {
        // Every job with a reservation has been inspected, so if it still waits it has an entry.
        let reserved = host.reserved.as_deref();
        if reserved.is_some_and(|job| !waiting.contains(job)) {
            host.reserved = None;
        }
    }
    if !agents_known {
        snapshot.preemptible.clear();
    }
    backfill::mark_exempt_tasks(&mut snapshot.preemptible, &snapshot.usage_by_class);
}

/// Sorted ids of all zones in which machines are offered.
fn offered_zones(cache: &RecordCache, names: &NameTable) -> Vec<u32> {
    let zone_names = cache
        .machine_types
        .iter()
        .flatten()
        .flat_map(|machine_type| &machine_type.zones);
    let mut zones: Vec<u32> = zone_names.filter_map(|zone| names.find(zone)).collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// Converts placements: resolves host indexes to machine names and agent epochs.
fn task_starts(
    placements: Vec<TaskPlacement>,
    host_table: &HostTable<'_>,
    capacity: &CapacityIndex,
    cache: &RecordCache,
) -> Vec<TaskStart> {
    let start = |placement: TaskPlacement| TaskStart {
        machine: host_table.names[placement.host].to_string(),
        agent_epoch: capacity[placement.host].agent_epoch,
        job: placement.job,
        task: placement.task,
        backfilled: placement.backfilled,
    };
    // A record that cannot be decoded may contain other placements or the end of the job, and the
    // controller could not add a placement to it.
    let readable = |placement: &TaskPlacement| !cache.is_unreadable(&placement.job);
    placements.into_iter().filter(readable).map(start).collect()
}

/// Converts the preempted tasks of a plan.
fn task_refs(stops: Vec<(String, u32)>) -> Vec<TaskRef> {
    stops
        .into_iter()
        .map(|(job, task)| TaskRef { job, task })
        .collect()
}

/// Converts reservations: resolves host indexes to machine names.
fn reservations(reserved: Vec<(usize, String)>, host_table: &HostTable<'_>) -> Vec<Reservation> {
    reserved
        .into_iter()
        .map(|(host, job)| Reservation {
            machine: host_table.names[host].to_string(),
            job,
        })
        .collect()
}
