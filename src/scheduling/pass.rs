//! One scheduling pass: takes a snapshot of the cluster and the queue, runs the pure algorithm of
//! `backfill::run_pass` on it, and returns the decision. `decide` changes nothing but the state that is
//! cached between passes; `apply_decision` carries the decision out.

use crate::agents::leader_state::LeaderState;
use crate::cloud::autoscaler::{self, ScalingPlan};
use crate::policy::Policy;
use crate::protocol::{Clock, Settings};
use crate::scheduling::backfill::{self, QueueEntry, SchedulingPlan, TaskPlacement};
use crate::scheduling::capacity_index::CapacityIndex;
use crate::scheduling::cluster_snapshot::{ClusterSnapshot, SnapshotBuilder};
use crate::scheduling::findings::{JobFindings, TaskRef};
use crate::scheduling::host_table::{HostTable, ImageAvailability};
use crate::scheduling::job_queue::JobQueue;
use crate::scheduling::pending_jobs::{PendingJobs, SchedulingContext};
use crate::scheduling::placement::NameTable;
use crate::scheduling::priority_inheritance::InheritedPriorities;
use crate::scheduling::quota::QuotaTracker;
use crate::scheduling::recovery::Recovery;
use crate::scheduling::unmet_demand::{QueueDemand, UnplacedJob, placed_zones};
use crate::state::record_cache::RecordCache;
use std::collections::HashSet;

/// Lower bound of the image fetch rate, in GB a second: fetch times are divided by it.
const MIN_FETCH_RATE: f64 = 1e-3;

/// A task that is to be started.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStart {
    /// Job id.
    pub job: String,
    /// Index of the task in its job.
    pub task: u32,
    /// Name of the machine.
    pub machine: String,
    /// Epoch of the agent that the start is addressed to.
    pub agent_epoch: u64,
    /// The task was started ahead of a job that had arrived earlier.
    pub backfilled: bool,
}

/// A machine that is held for a job while tasks on it are stopped.
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
    /// Machines to hold for jobs whose room is being cleared.
    pub reservations: Vec<Reservation>,
    /// Number of jobs with tasks that could not be placed.
    pub unplaced_jobs: usize,
    /// The largest demand of any job so far, in machines of the typical size.
    pub largest_demand: f64,
    /// What inspecting placed jobs has found.
    pub findings: JobFindings,
    /// Machines to rent and to return.
    pub scaling: ScalingPlan,
    /// Number of jobs with tasks to start.
    pub waiting_jobs: usize,
    /// Number of machines that the pass considered.
    pub machine_count: usize,
}

/// What a pass reads. None of it is changed.
#[derive(Clone, Copy)]
pub struct PassInputs<'a> {
    /// State of the leader.
    pub leader: &'a LeaderState,
    /// Records of the store.
    pub cache: &'a RecordCache,
    /// Settings of the cluster.
    pub settings: &'a Settings,
    /// Policy set by the operators.
    pub policy: &'a Policy,
    /// Current time.
    pub clock: Clock,
}

/// State that the leader caches between passes. It can be rebuilt from records and heartbeats.
#[derive(Default)]
pub struct PassState {
    /// The queue of jobs.
    pub backlog: JobQueue,
    images: ImageAvailability,
}

impl PassState {
    /// Rebuilds the state from the records if it was never built or its name table has grown too far.
    fn refresh(&mut self, cache: &RecordCache) {
        if self.backlog.needs_rebuild() {
            self.backlog = JobQueue::build(cache.jobs.iter());
            self.images.clear();
        }
    }

    /// The limits of all teams, with nothing taken from them.
    fn team_quotas(&mut self, settings: &Settings) -> QuotaTracker {
        let limit = |amount: f64| if amount > 0.0 { amount } else { f64::INFINITY };
        let mut quotas = QuotaTracker::default();
        for team in &settings.params.teams {
            let team_id = self.backlog.names.id(&team.name);
            quotas.set_limit(team_id, [limit(team.cpus_max), limit(team.gpus_max)]);
        }
        quotas
    }
}

/// Decides on one pass. `unplaced` receives the jobs with tasks that could not be placed, in the
/// order in which the pass considered them.
pub fn decide(
    inputs: &PassInputs<'_>,
    state: &mut PassState,
    unplaced: Option<&mut Vec<UnplacedJob>>,
) -> PassDecision {
    let PassInputs { leader, cache, .. } = *inputs;
    state.refresh(cache);
    let host_table = HostTable::build(inputs, &mut state.backlog.names, &mut state.images);
    let quotas = state.team_quotas(inputs.settings);
    autoscaler::assign_name_ids(leader, cache, &mut state.backlog.names);
    let queue_demand = state.backlog.largest_demand(host_table.typical_host());
    let largest_demand = leader.max_demand.max(queue_demand);
    let context = scheduling_context(inputs, &state.backlog);
    let mut snapshot = SnapshotBuilder::new(inputs, &context, host_table, quotas).build();
    let knows_agents = leader.takeover_grace_elapsed(inputs.settings, inputs.clock.now);
    prepare_snapshot(&mut snapshot, knows_agents);
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
    let placed = PlacedQueue {
        entries: &entries,
        pending: &pending,
        host_table: &host_table,
        capacity: &capacity,
        plan: &plan,
        knows_agents,
    };
    let scaling = placed.scaling_plan(inputs, &context.backlog.names, unplaced);
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
    state.backlog.mark_names_complete();
    decision
}

/// The queue and the machines after tasks have been placed.
struct PlacedQueue<'p, 'a> {
    /// Entries of the inspected jobs.
    entries: &'p [QueueEntry<'a>],
    /// All other queued jobs.
    pending: &'p PendingJobs<'a>,
    host_table: &'p HostTable<'a>,
    /// The machines, with the resources that are free after the pass.
    capacity: &'p CapacityIndex,
    plan: &'p SchedulingPlan<'a>,
    /// The leader has been in office long enough to know all agents.
    knows_agents: bool,
}

impl PlacedQueue<'_, '_> {
    /// Plans which machines to rent and to return. `unplaced` receives the jobs with unmet demand.
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
            takeover_grace_elapsed: self.knows_agents,
        };
        autoscaler::plan(&fleet_snapshot, names, &demand, &self.plan.unmet_demands)
    }
}

/// What a pass has to know about any job besides its record.
fn scheduling_context<'a>(inputs: &PassInputs<'a>, backlog: &'a JobQueue) -> SchedulingContext<'a> {
    let types = inputs.cache.machine_types.iter().flatten();
    let slowest_fetch = types
        .map(|machine_type| machine_type.fetch_gb_per_s)
        .fold(f64::INFINITY, f64::min);
    SchedulingContext {
        backlog,
        jobs: &inputs.cache.jobs,
        guarantees: backlog.guarantee_window(&inputs.settings.params.teams),
        inherited_priorities: InheritedPriorities::new(inputs.cache),
        fetch_rate: slowest_fetch.max(MIN_FETCH_RATE),
        wall_clock: inputs.clock.wall,
    }
}

/// Sorts the queue entries, releases reservations of jobs that no longer wait, and determines which
/// tasks may be preempted: none while the leader does not know all agents yet.
fn prepare_snapshot(snapshot: &mut ClusterSnapshot<'_>, knows_agents: bool) {
    Recovery::sort_entries(&mut snapshot.entries);
    let waiting: HashSet<&str> = snapshot.entries.iter().map(|entry| entry.id).collect();
    for host in &mut snapshot.host_table.hosts {
        // Every job that holds a reservation has been inspected, so it is among the entries if it waits.
        let reserved = host.reserved.as_deref();
        if reserved.is_some_and(|job| !waiting.contains(job)) {
            host.reserved = None;
        }
    }
    if !knows_agents {
        snapshot.preemptible.clear();
    }
    backfill::mark_exempt_tasks(&mut snapshot.preemptible, &snapshot.usage_by_class);
}

/// The numbers of all zones in which machines are offered, sorted.
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

/// Resolves host indexes to machine names and agent epochs.
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
    // A record that cannot be decoded may hold other placements or the end of the job, and the
    // controller could not write a new placement beside it.
    let readable = |placement: &TaskPlacement| !cache.is_unreadable(&placement.job);
    placements.into_iter().filter(readable).map(start).collect()
}

/// Names the fields of the tasks that a plan preempts.
fn task_refs(stops: Vec<(String, u32)>) -> Vec<TaskRef> {
    stops
        .into_iter()
        .map(|(job, task)| TaskRef { job, task })
        .collect()
}

/// Resolves host indexes to machine names.
fn reservations(reserved: Vec<(usize, String)>, host_table: &HostTable<'_>) -> Vec<Reservation> {
    reserved
        .into_iter()
        .map(|(host, job)| Reservation {
            machine: host_table.names[host].to_string(),
            job,
        })
        .collect()
}
