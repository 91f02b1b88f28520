//! Reference implementation of a scheduling pass, without an incrementally updated queue: it inspects every
//! job, sorts all of them, and tries each against every machine. Tests compare the decisions of the
//! scheduler with those of this pass, and benchmarks compare the run times.
//!
//! The code is that of commit 8b93c06 except for four rules that follow the scheduler: the largest demand is
//! determined before jobs are placed, a gang that has waited long may preempt tasks that cannot save
//! checkpoints, a machine that is cleared for a job is reserved for it from that moment of the pass on, and only jobs
//! with a prior claim preempt.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use walnuttrestle::agents::failure_history::FailureHistory;
use walnuttrestle::agents::leader_state::{FRESH_HEARTBEAT_INTERVALS, LeaderState, stop_grace_s};
use walnuttrestle::policy::Policy;
use walnuttrestle::protocol::Clock;
use walnuttrestle::protocol::agent_api::{ExitReason, TaskPhase};
use walnuttrestle::protocol::records::{TASKS_PER_CHUNK, TaskEntry};
use walnuttrestle::protocol::{JobKind, JobSpec, Micros, Settings};
use walnuttrestle::scheduling::backfill::{PreemptibleTask, QueueEntry};
use walnuttrestle::scheduling::findings::{IncompleteGang, TaskRef, TaskStop};
use walnuttrestle::scheduling::pass::{PassInputs, Reservation, TaskStart};
use walnuttrestle::scheduling::placement::{
    self, Host, HostPicker, NameTable, PlacementConstraints, TaskRequirements, accepts_task, slots,
};
use walnuttrestle::scheduling::priority_inheritance::InheritedPriorities;
use walnuttrestle::scheduling::unmet_demand::UnplacedJob;
use walnuttrestle::state::agent::TaskLiveness;
use walnuttrestle::state::record_cache::{Job, RecordCache};

/// A pass ends when it has placed this many tasks.
const MAX_PLACEMENTS: usize = 128;
/// A guaranteed job that has waited this long may preempt gangs that other teams run beyond their
/// guarantees.
const OVERDUE_AFTER: Micros = Micros::millis(60_000);
/// A job that has waited this long is backfilled before shorter ones.
const STARVED_AFTER: Micros = Micros::millis(120_000);
/// A gang that has waited this long may preempt tasks that cannot save checkpoints.
const AGED_AFTER: Micros = Micros::millis(20_000);
/// The tasks of a job class that uses at most this share of the cluster are exempt from preemption for gangs
/// that have waited long.
const MAX_EXEMPT_CLASS_SHARE: f64 = 0.1;
/// Tolerance for rounding errors in sums of resource amounts.
const TOLERANCE: f64 = 1e-6;
/// Lower bound of the image fetch rate, by which image sizes are divided.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;
/// Lower bound of the largest demand, which is a divisor.
const MIN_LARGEST_DEMAND: f64 = 1e-9;

/// The result of a pass, in the types of `pass::PassDecision`.
#[derive(Debug, Default)]
pub struct ReferenceDecision {
    /// Tasks to start, in the order in which they were placed.
    pub starts: Vec<TaskStart>,
    /// Tasks to preempt.
    pub preemptions: Vec<TaskRef>,
    /// Machines to reserve for jobs while preempted tasks on them are being stopped.
    pub reservations: Vec<Reservation>,
    /// Jobs with tasks that could not be placed.
    pub unplaced: Vec<UnplacedJob>,
    /// The largest demand of any job so far, as a multiple of the first machine.
    pub largest_demand: f64,
    /// Jobs that have ended and have no task left on any machine.
    pub cleanable_jobs: Vec<String>,
    /// Tasks that agents have reported as done but that are not yet recorded as done.
    pub done_tasks: Vec<TaskRef>,
    /// Tasks to stop for reasons other than preemption.
    pub stops: Vec<TaskStop>,
    /// Gangs that have lost a member.
    pub incomplete_gangs: Vec<IncompleteGang>,
}

/// The machines that a pass considers. All lists are in the same order.
struct HostTable {
    hosts: Vec<Host>,
    names: Vec<String>,
    index: HashMap<String, usize>,
}

impl HostTable {
    fn find(&self, machine: &str) -> Option<usize> {
        self.index.get(machine).copied()
    }
}

/// By team: CPUs and GPUs that it may still allocate.
type Quotas = BTreeMap<String, [f64; 2]>;

#[derive(Default)]
struct SchedulingPlan {
    placements: Vec<TaskPlacement>,
    preemptions: Vec<TaskRef>,
    /// Machines on which tasks are preempted: index of the machine, and id of the job for which it is
    /// reserved.
    reservations: Vec<(usize, String)>,
    unplaced: Vec<UnplacedJob>,
    /// Number of tasks that wide arrays may still start before all other jobs have been considered.
    wide_array_budget: u32,
    /// Wide arrays that continue after all other jobs have been considered.
    deferred_wide_arrays: Vec<DeferredWideArray>,
}

struct TaskPlacement {
    job: String,
    task: u32,
    host: usize,
    backfilled: bool,
}

/// A wide array that continues after all other jobs have been considered.
struct DeferredWideArray {
    job: String,
    /// Number of its tasks that were placed before all other jobs had been considered.
    placed: u32,
    demand_ratio: f64,
    backfilled: bool,
}

/// Runs one pass.
pub fn decide(inputs: &PassInputs<'_>) -> ReferenceDecision {
    let PassInputs {
        leader,
        cache,
        settings,
        policy,
        clock,
    } = *inputs;
    let now = clock.now;
    let mut names = NameTable::default();
    let mut host_table = host_table(leader, settings, policy, cache, &mut names, now);
    let mut quotas: Quotas = Quotas::new();
    for team in &settings.params.teams {
        let or_unlimited = |amount: f64| if amount > 0.0 { amount } else { f64::INFINITY };
        quotas.insert(
            team.name.clone(),
            [or_unlimited(team.cpus_max), or_unlimited(team.gpus_max)],
        );
    }
    let mut preemptible: Vec<PreemptibleTask<'_>> = Vec::new();
    let mut entries: Vec<QueueEntry<'_>> = Vec::new();
    let mut decision = ReferenceDecision::default();
    let guaranteed_jobs = guaranteed_jobs(settings, cache);
    let inherited = InheritedPriorities::new(cache);
    let rates = cache
        .machine_types
        .iter()
        .flatten()
        .map(|kind| kind.fetch_gb_per_s);
    let slowest_fetch_gb_per_s = rates.fold(f64::INFINITY, f64::min).max(MIN_FETCH_GB_PER_S);
    let mut cluster_total = [0.0; 3];
    for host in &host_table.hosts {
        placement::add_resources(&mut cluster_total, &host.total);
    }
    let mut usage_by_class: HashMap<&str, f64> = HashMap::new();
    for (id, job) in &cache.jobs {
        let entry = inspect(
            leader,
            id,
            job,
            &mut host_table,
            &mut names,
            &mut quotas,
            (&cluster_total, &mut usage_by_class),
            &mut preemptible,
            &mut decision,
            guaranteed_jobs.contains(id.as_str()),
            &inherited,
            slowest_fetch_gb_per_s,
            clock,
        );
        entries.extend(entry);
    }
    add_unrecorded_tasks(leader, cache, &mut host_table, &mut quotas);
    let has_lost_replicas =
        |entry: &QueueEntry<'_>| entry.lost_tasks > 0 && entry.spec.kind == JobKind::Service;
    entries.sort_by_key(|entry| (!has_lost_replicas(entry), entry.accepted_at, entry.id));
    for host in &mut host_table.hosts {
        let reserved = host.reserved.as_deref();
        if reserved.is_some_and(|job| entries.iter().all(|entry| entry.id != job)) {
            host.reserved = None;
        }
    }
    if !leader.takeover_grace_elapsed(settings, now) {
        preemptible.clear();
    }
    let class_of = |id: &str| cache.jobs[id].record.spec.class.as_str();
    for task in &mut preemptible {
        let usage = usage_by_class
            .get(class_of(task.job))
            .copied()
            .unwrap_or(0.0);
        task.exempt = usage <= MAX_EXEMPT_CLASS_SHARE;
    }
    let typical_host = host_table.hosts.first().map_or([1.0; 3], |host| host.total);
    let queued = cache
        .jobs
        .values()
        .filter(|job| job.active() && !job.waits_for_dependencies());
    let demands = queued.map(|job| {
        let spec = &job.record.spec;
        spec.tasks as f64
            * placement::dominant_share(&typical_host, &placement::task_resources(spec))
    });
    let largest_demand = demands.fold(leader.max_demand, f64::max);
    decision.largest_demand = largest_demand;
    let plan = run_pass(
        &entries,
        &mut host_table.hosts,
        &preemptible,
        &mut quotas,
        largest_demand,
    );
    let task_start = |placement: TaskPlacement| TaskStart {
        job: placement.job,
        task: placement.task,
        machine: host_table.names[placement.host].clone(),
        agent_epoch: host_table.hosts[placement.host].agent_epoch,
        backfilled: placement.backfilled,
    };
    decision.starts = plan.placements.into_iter().map(task_start).collect();
    decision.preemptions = plan.preemptions;
    decision.reservations = plan
        .reservations
        .into_iter()
        .map(|(host, job)| Reservation {
            machine: host_table.names[host].clone(),
            job,
        })
        .collect();
    decision.unplaced = plan.unplaced;
    decision
}

/// Builds the table of all machines whose agents may still run tasks, with all resources free.
fn host_table(
    leader: &LeaderState,
    settings: &Settings,
    policy: &Policy,
    cache: &RecordCache,
    names: &mut NameTable,
    now: Micros,
) -> HostTable {
    let max_answer_age = Micros::secs(settings.params.agents.report_s * FRESH_HEARTBEAT_INTERVALS);
    let count = leader.agents.len();
    let mut host_table = HostTable {
        hosts: Vec::with_capacity(count),
        names: Vec::with_capacity(count),
        index: HashMap::with_capacity(count),
    };
    for (name, agent) in &leader.agents {
        let mut types = cache.machine_types.iter().flatten();
        let Some(machine_type) = types.find(|candidate| candidate.name == agent.machine_type)
        else {
            continue;
        };
        if agent.epoch_ended() || leader.inventory.is_gone(name) {
            continue;
        }
        let schedulable = agent.term == leader.term
            && agent
                .last_answered_at
                .is_some_and(|at| now < at + max_answer_age)
            && agent.preemption_at.is_none()
            && agent.reachability.is_reachable()
            && !leader.inventory.is_marked_for_deletion(name)
            && !leader.is_unhealthy(agent, policy)
            && !leader.failed_recently(agent, now);
        let total = [machine_type.cpus, machine_type.gpus, machine_type.memory_gb];
        host_table
            .index
            .insert(name.clone(), host_table.hosts.len());
        host_table.names.push(name.clone());
        host_table.hosts.push(Host {
            machine_type: names.id(&agent.machine_type),
            zone: names.id(&agent.zone),
            spot: agent.spot,
            agent_epoch: agent.agent_epoch,
            total,
            free: total,
            stopping: [0.0; 3],
            schedulable,
            images: cache
                .image_caches
                .images_of(name, machine_type.cache_gb)
                .map(|image| names.id(image))
                .collect::<Vec<u32>>()
                .into(),
            reserved: leader
                .reserved
                .get(name)
                .filter(|(_, until)| *until > now)
                .map(|(job, _)| job.as_str().into()),
        });
    }
    host_table
}

/// Inspects a job: deducts the resources of its tasks, adds the actions that they need to the decision, and
/// returns its queue entry if it has tasks to start.
#[allow(clippy::too_many_arguments)]
fn inspect<'a>(
    leader: &LeaderState,
    id: &'a str,
    job: &'a Job,
    host_table: &mut HostTable,
    names: &mut NameTable,
    quotas: &mut Quotas,
    (cluster_total, usage_by_class): (&[f64; 3], &mut HashMap<&'a str, f64>),
    preemptible: &mut Vec<PreemptibleTask<'a>>,
    decision: &mut ReferenceDecision,
    guaranteed: bool,
    inherited: &InheritedPriorities<'_>,
    slowest_fetch_gb_per_s: f64,
    clock: Clock,
) -> Option<QueueEntry<'a>> {
    if job.waits_for_dependencies() {
        // Its tasks start only after the jobs that it depends on are recorded as done. Until then it
        // uses no resources, has no position in the queue and blocks no other job.
        return None;
    }
    let priority = inherited.effective_priority(id, job);
    let team = names.id(&job.record.spec.team);
    let now = clock.now;
    let spec = &job.record.spec;
    let requirements = TaskRequirements {
        need: placement::task_resources(spec),
        constraints: Arc::new(PlacementConstraints::of(spec, names)),
        saves_checkpoints: spec.saves_checkpoints(),
        image: names.id(&spec.image),
        avoided_hosts: Vec::new(),
    };
    let in_flight = leader.record_writer.in_flight(id);
    let pending_placements: Vec<TaskEntry> = leader
        .record_writer
        .unrecorded_placements(id)
        .cloned()
        .collect();
    let mut present: Vec<(u32, Option<usize>)> = Vec::new();
    let mut ended_attempts = 0;
    let mut latest_attempt = 0;
    let mut has_unknown_zone = false;
    let mut gang_is_done = false;
    let mut is_running = false;
    let mut members: Vec<(u32, TaskLiveness)> = Vec::new();
    // A pending placement is written only after the recorded attempt of the task is proven to have ended.
    // If that attempt counted as ended next to the new one, a gang would be treated as incomplete before it
    // has started.
    let is_replaced = |entry: &&TaskEntry| {
        pending_placements
            .iter()
            .any(|placement| placement.task() == entry.task())
    };
    let recorded = job.entries().filter(|entry| !is_replaced(entry));
    for attempt in recorded.chain(&pending_placements) {
        let Some(machine) = attempt.machine() else {
            continue;
        };
        let liveness = leader.attempt_liveness(id, attempt);
        if !leader.may_be_running(id, attempt, job.active()) {
            ended_attempts += 1;
            if liveness == TaskLiveness::Ended(ExitReason::Done) && job.active() && !in_flight {
                gang_is_done = spec.kind == JobKind::Gang;
                decision.done_tasks.push(TaskRef {
                    job: id.to_string(),
                    task: attempt.task(),
                });
            }
            continue;
        }
        latest_attempt = latest_attempt.max(attempt.attempt());
        is_running |= liveness == TaskLiveness::Present(TaskPhase::Running);
        if spec.kind == JobKind::Gang {
            members.push((attempt.task(), liveness));
        }
        let host_index = host_table.find(machine);
        let zone = match host_index {
            Some(index) => {
                let host = &mut host_table.hosts[index];
                host.allocate(&requirements.need);
                host.add_image(requirements.image);
                if leader.due_stop(id, attempt.task()).is_some() {
                    placement::add_resources(&mut host.stopping, &requirements.need);
                }
                // The spot instance is about to be reclaimed. A task that can save a checkpoint is stopped
                // now so that it saves one; a gang is stopped as a whole.
                let reclaimed_at = leader
                    .agents
                    .get(machine)
                    .and_then(|agent| agent.preemption_at);
                let grace_s = stop_grace_s(job);
                if grace_s > 0.0
                    && reclaimed_at.is_some_and(|at| at > now + Micros::secs(spec.save_s))
                    && liveness == TaskLiveness::Present(TaskPhase::Running)
                {
                    let tasks = match spec.kind {
                        JobKind::Gang => 0..spec.tasks,
                        _ => attempt.task()..attempt.task() + 1,
                    };
                    let stops = tasks.map(|task| TaskStop {
                        job: id.to_string(),
                        task,
                        grace_s,
                    });
                    decision.stops.extend(stops);
                }
                let stops_alone = spec.kind == JobKind::Array || spec.tasks == 1;
                if spec.kind != JobKind::Service
                    && job.active()
                    && pending_placements.is_empty()
                    && !in_flight
                    && leader.due_stop(id, attempt.task()).is_none()
                {
                    let start_orders = leader.start_order.get(id);
                    let start_order =
                        start_orders.and_then(|start_orders| start_orders.get(&attempt.task()));
                    preemptible.push(PreemptibleTask {
                        job: id,
                        task: attempt.task(),
                        host: index,
                        need: requirements.need,
                        start_order: start_order.copied().unwrap_or(0),
                        backfilled: attempt.backfilled(),
                        accepted_at: job.record.accepted_at,
                        priority,
                        saves_checkpoints: stops_alone && spec.saves_checkpoints(),
                        save_s: spec.save_s,
                        team,
                        beyond_guarantee: !guaranteed,
                        stops_alone: spec.kind == JobKind::Array,
                        class: 0,
                        exempt: false,
                    });
                }
                host.zone
            }
            None => match leader.zone_of(machine) {
                Some(zone) => names.id(&zone),
                None => {
                    has_unknown_zone = true;
                    u32::MAX
                }
            },
        };
        if let Some([cpus, gpus]) = quotas.get_mut(&spec.team) {
            *cpus -= spec.cpus;
            *gpus -= spec.gpus;
        }
        *usage_by_class.entry(&spec.class).or_default() +=
            placement::dominant_share(cluster_total, &requirements.need);
        present.push((zone, host_index));
    }
    if !job.active() {
        if present.is_empty() && !in_flight {
            decision.cleanable_jobs.push(id.to_string());
        }
        return None;
    }
    // The members of a gang complete together: once one of them is reported done, missing members do not
    // make the gang incomplete.
    if gang_is_done {
        return None;
    }
    if spec.kind == JobKind::Gang && !present.is_empty() {
        if ended_attempts > 0 {
            decision.incomplete_gangs.push(IncompleteGang {
                job: id.to_string(),
                attempt: latest_attempt,
            });
            // Members that are saving a checkpoint are allowed to finish that.
            let saving = TaskLiveness::Present(TaskPhase::Saving);
            if members.iter().all(|(_, liveness)| *liveness != saving) {
                let stops = members.iter().map(|(task, _)| TaskStop {
                    job: id.to_string(),
                    task: *task,
                    grace_s: 0.0,
                });
                decision.stops.extend(stops);
            }
        }
        return None;
    }
    // The retry backoff of a failing job does not apply while any of its tasks is running.
    let failures = leader.failure_histories.get(id);
    let in_backoff = failures.is_some_and(|failures| failures.retry_at > now)
        && !is_running
        && job.done_count() == 0;
    // Replicas of a service may be placed while records of other replicas are being written: if they had to
    // wait, jobs that arrived later would take their resources. For jobs of other kinds, the change that is
    // being written may be the end of the job.
    if (in_flight && spec.kind != JobKind::Service) || in_backoff {
        return None;
    }
    let failed_hosts = |failures: &FailureHistory| {
        let machines = failures.machines.keys();
        machines
            .filter_map(|machine| host_table.find(machine))
            .collect()
    };
    let requirements = TaskRequirements {
        avoided_hosts: failures.map(failed_hosts).unwrap_or_default(),
        ..requirements
    };
    // Zone constraints cannot be checked against tasks whose zones are unknown.
    if (spec.one_zone || spec.spread) && has_unknown_zone {
        return None;
    }
    let mut tasks = startable_tasks(leader, id, job, 2 * MAX_PLACEMENTS);
    let is_failing = |failures: &FailureHistory| {
        failures.is_at_fault() && !(is_running && failures.has_not_failed_recently(now))
    };
    if spec.kind == JobKind::Array && failures.is_some_and(is_failing) {
        tasks.truncate(usize::from(present.is_empty()));
    }
    if tasks.is_empty() {
        return None;
    }
    // A task counts as lost if it ended with its machine or its gang, but not if it was stopped or failed.
    let is_displaced = |task: &&u32| {
        job.entry(**task).is_some_and(|entry| {
            let liveness = leader.attempt_liveness(id, entry);
            let displaced = matches!(
                liveness,
                TaskLiveness::Gone | TaskLiveness::Ended(ExitReason::GangMemberGone)
            );
            entry.machine().is_some() && displaced
        })
    };
    let lost_tasks = tasks.iter().filter(is_displaced).count();
    Some(QueueEntry {
        id,
        accepted_at: job.record.accepted_at,
        lost_tasks: lost_tasks as u32,
        spec,
        requirements,
        team,
        feasibility_class: 0,
        tasks,
        task_locations: present,
        fetch_s: spec.image_gb / slowest_fetch_gb_per_s,
        estimate_s: spec.estimate_s,
        priority,
        guaranteed,
        overdue: clock.wall.since(job.released_at) > OVERDUE_AFTER,
        aged: clock.wall.since(job.released_at) > AGED_AFTER,
        starved: clock.wall.since(job.released_at) > STARVED_AFTER,
    })
}

/// Deducts the resources of tasks that agents report but that have no placement on record. A machine that
/// runs a task of an unknown job accepts no tasks.
fn add_unrecorded_tasks(
    leader: &LeaderState,
    cache: &RecordCache,
    host_table: &mut HostTable,
    quotas: &mut Quotas,
) {
    for (name, host) in host_table.names.iter().zip(&mut host_table.hosts) {
        let Some(agent) = leader.agents.get(name) else {
            continue;
        };
        let reported = agent.tasks.iter();
        for status in reported.filter(|status| status.phase != TaskPhase::Exited) {
            let Some(job) = cache.jobs.get(&status.job) else {
                host.schedulable = false;
                continue;
            };
            let places_attempt = |entry: &TaskEntry| {
                let attempt = (entry.task(), entry.attempt());
                attempt == (status.task, status.attempt) && entry.machine().is_some()
            };
            let is_placed = job.entry(status.task).is_some_and(places_attempt)
                || leader
                    .record_writer
                    .unrecorded_placements(&status.job)
                    .any(places_attempt);
            if !is_placed {
                let spec = &job.record.spec;
                host.allocate(&[spec.cpus, spec.gpus, spec.memory_gb]);
                if let Some([cpus, gpus]) = quotas.get_mut(&spec.team) {
                    *cpus -= spec.cpus;
                    *gpus -= spec.gpus;
                }
            }
        }
    }
}

/// Jobs that fit into their team's guarantee together with all unfinished jobs of the team that arrived
/// earlier.
fn guaranteed_jobs<'a>(settings: &Settings, cache: &'a RecordCache) -> HashSet<&'a str> {
    let mut remaining_by_team: HashMap<&str, [f64; 2]> = HashMap::new();
    for team in &settings.params.teams {
        if team.cpus > 0.0 || team.gpus > 0.0 {
            let or_unlimited = |amount: f64| if amount > 0.0 { amount } else { f64::INFINITY };
            remaining_by_team.insert(
                &team.name,
                [or_unlimited(team.cpus), or_unlimited(team.gpus)],
            );
        }
    }
    let mut guaranteed = HashSet::new();
    if remaining_by_team.is_empty() {
        return guaranteed;
    }
    let queued = cache
        .jobs
        .iter()
        .filter(|(_, job)| job.active() && !job.waits_for_dependencies());
    let mut jobs: Vec<(&String, &Job)> = queued.collect();
    jobs.sort_by_key(|(id, job)| (job.record.accepted_at, *id));
    for (id, job) in jobs {
        let spec = &job.record.spec;
        let Some([cpus, gpus]) = remaining_by_team.get_mut(spec.team.as_str()) else {
            continue;
        };
        let unfinished = (spec.tasks as u64).saturating_sub(job.done_count()) as f64;
        *cpus -= spec.cpus * unfinished;
        *gpus -= spec.gpus * unfinished;
        if *cpus >= -TOLERANCE && *gpus >= -TOLERANCE {
            guaranteed.insert(id.as_str());
        }
    }
    guaranteed
}

/// Tasks of a job that may start because they are neither done nor on a machine. Returns at most `limit`
/// tasks, but all members of a gang.
fn startable_tasks(leader: &LeaderState, id: &str, job: &Job, limit: usize) -> Vec<u32> {
    let spec = &job.record.spec;
    let limit = if spec.kind == JobKind::Gang {
        spec.tasks as usize
    } else {
        limit
    };
    let mut tasks = Vec::new();
    let is_occupied = |entry: &TaskEntry| {
        // A task that was reported as done is about to be recorded as done.
        leader.may_be_running(id, entry, true)
            || leader.attempt_liveness(id, entry) == TaskLiveness::Ended(ExitReason::Done)
    };
    for first_task in (0..spec.tasks).step_by(TASKS_PER_CHUNK as usize) {
        let chunk = job.chunk_of(first_task);
        for task in first_task..spec.tasks.min(first_task + TASKS_PER_CHUNK) {
            let is_startable = match chunk {
                None => true,
                Some(chunk) => !chunk.is_done(task) && !chunk.entry(task).is_some_and(is_occupied),
            };
            if is_startable
                && !leader.record_writer.is_recording_completion(id, task)
                && !leader.record_writer.is_placing(id, task)
            {
                tasks.push(task);
                if tasks.len() >= limit {
                    return tasks;
                }
            }
        }
    }
    tasks
}

/// Number of blocked jobs for which a pass looks for tasks to preempt, in queue order. Without this limit the
/// work of a pass would grow with the length of the queue times the size of the cluster.
const MAX_PREEMPTION_ATTEMPTS: usize = 8;
/// For a job within its team's guarantee, tasks are preempted on up to this many machines at once.
const MAX_HOSTS_FOR_GUARANTEE: usize = 16;
/// Time in seconds from the decision to preempt a task until a task of another job starts in its place,
/// without the time for the checkpoint: stop, report by the agent, scheduling pass, write to the store,
/// and start.
const PREEMPTION_OVERHEAD_S: f64 = 2.0;

/// Maximum number of tasks of a job that the remaining quota of its team permits.
fn max_tasks_in_quota(quotas: &Quotas, spec: &JobSpec) -> u32 {
    let Some([cpus, gpus]) = quotas.get(&spec.team) else {
        return u32::MAX;
    };
    slots(&[*cpus, *gpus, f64::INFINITY], &[spec.cpus, spec.gpus, 0.0])
}

/// Allocates the resources of one task of a job on a machine and deducts them from the team's quota.
fn allocate_task(host: &mut Host, quotas: &mut Quotas, entry: &QueueEntry<'_>) {
    host.allocate(&entry.requirements.need);
    if let Some([cpus, gpus]) = quotas.get_mut(&entry.spec.team) {
        *cpus -= entry.spec.cpus;
        *gpus -= entry.spec.gpus;
    }
    host.add_image(entry.requirements.image);
}

/// Starts the tasks that fit, in the order of `entries`, and preempts tasks for blocked jobs.
/// `largest_demand` is the largest demand of any job so far, including the jobs of this pass.
fn run_pass(
    entries: &[QueueEntry<'_>],
    hosts: &mut [Host],
    preemptible: &[PreemptibleTask<'_>],
    quotas: &mut Quotas,
    largest_demand: f64,
) -> SchedulingPlan {
    let mut plan = SchedulingPlan {
        wide_array_budget: MAX_PLACEMENTS as u32 / 2,
        ..SchedulingPlan::default()
    };
    let mut is_blocked = false;
    let mut deferred: Vec<&QueueEntry<'_>> = Vec::new();
    let typical_host = hosts.first().map_or([1.0; 3], |host| host.total);
    let demand_ratio = |entry: &QueueEntry<'_>| {
        let size = placement::dominant_share(&typical_host, &entry.requirements.need);
        entry.spec.tasks as f64 * size / largest_demand.max(MIN_LARGEST_DEMAND)
    };
    let mut preemption_attempts_left = MAX_PREEMPTION_ATTEMPTS;
    for entry in entries {
        if plan.placements.len() >= MAX_PLACEMENTS {
            break;
        }
        if is_blocked && entry.spec.kind != JobKind::Service {
            deferred.push(entry);
            continue;
        }
        let before = plan.placements.len();
        let ratio = demand_ratio(entry);
        let unplaced = start_job(entry, hosts, quotas, ratio, false, preemptible, &mut plan);
        if unplaced == 0 {
            continue;
        }
        plan.unplaced.push(UnplacedJob {
            job: entry.id.to_string(),
            tasks: unplaced,
        });
        let may_preempt = entry.spec.kind != JobKind::Array || entry.guaranteed;
        let is_array = entry.spec.kind == JobKind::Array;
        let placed_none = plan.placements.len() == before;
        if may_preempt && (placed_none || is_array) && preemption_attempts_left > 0 {
            let at_head = !is_blocked;
            let considered = preempt(entry, unplaced, hosts, preemptible, at_head, &mut plan);
            preemption_attempts_left -= usize::from(considered);
        }
        is_blocked |= entry.spec.kind != JobKind::Service;
    }
    deferred.sort_by(|left, right| {
        let estimate_s = |entry: &QueueEntry<'_>| match entry.starved {
            true => 0.0,
            false => entry.estimate_s,
        };
        let starved_first = right.starved.cmp(&left.starved);
        starved_first.then(estimate_s(left).total_cmp(&estimate_s(right)))
    });
    let mut starved_gang_found = false;
    for entry in deferred {
        if plan.placements.len() >= MAX_PLACEMENTS {
            break;
        }
        let ratio = demand_ratio(entry);
        let unplaced = start_job(entry, hosts, quotas, ratio, true, preemptible, &mut plan);
        if unplaced > 0 {
            plan.unplaced.push(UnplacedJob {
                job: entry.id.to_string(),
                tasks: unplaced,
            });
            let at_head = entry.starved && !starved_gang_found && entry.spec.kind == JobKind::Gang;
            starved_gang_found |= at_head;
            let may_preempt = entry.spec.kind == JobKind::Gang || entry.guaranteed;
            if may_preempt && preemption_attempts_left > 0 {
                let considered = preempt(entry, unplaced, hosts, preemptible, at_head, &mut plan);
                preemption_attempts_left -= usize::from(considered);
            }
        }
    }
    for wide_array in std::mem::take(&mut plan.deferred_wide_arrays) {
        let Some(entry) = entries.iter().find(|entry| entry.id == wide_array.job) else {
            continue;
        };
        let remaining_in_pass = (2 * MAX_PLACEMENTS).saturating_sub(plan.placements.len());
        let remaining_tasks = &entry.tasks[wide_array.placed as usize..];
        let permitted = (max_tasks_in_quota(quotas, entry.spec) as usize).min(remaining_in_pass);
        let remaining_tasks = &remaining_tasks[..permitted.min(remaining_tasks.len())];
        start_tasks_one_by_one(
            entry,
            remaining_tasks,
            hosts,
            quotas,
            wide_array.demand_ratio,
            wide_array.backfilled,
            preemptible,
            &mut plan,
        );
    }
    plan
}

/// Starts the tasks of one job that fit. Returns the number of tasks that found no machine; tasks that
/// exceed the team's quota are not counted.
fn start_job(
    entry: &QueueEntry<'_>,
    hosts: &mut [Host],
    quotas: &mut Quotas,
    demand_ratio: f64,
    backfill: bool,
    preemptible: &[PreemptibleTask<'_>],
    plan: &mut SchedulingPlan,
) -> u32 {
    let spec = entry.spec;
    let requested = entry.tasks.len() as u32;
    let permitted = max_tasks_in_quota(quotas, spec).min(requested);
    if spec.kind == JobKind::Gang {
        if permitted < requested {
            return 0;
        }
        let all_hosts = 0..hosts.len();
        let requirements = &entry.requirements;
        let chosen = placement::place_gang(
            hosts,
            all_hosts,
            entry.id,
            spec,
            requirements,
            requested,
            demand_ratio,
        );
        let Some(chosen) = chosen else {
            return requested;
        };
        for (task, host) in entry.tasks.iter().zip(chosen) {
            allocate_task(&mut hosts[host], quotas, entry);
            plan.placements.push(TaskPlacement {
                job: entry.id.to_string(),
                task: *task,
                host,
                backfilled: backfill,
            });
        }
        return 0;
    }
    let is_wide = spec.kind == JobKind::Array
        && !spec.one_zone
        && !spec.spread
        && requested as usize >= MAX_PLACEMENTS;
    let (need, constraints) = (&entry.requirements.need, &entry.requirements.constraints);
    let free: u32 = if is_wide {
        hosts
            .iter()
            .filter(|host| accepts_task(host, entry.id, need, constraints))
            .map(|host| slots(&host.free, need))
            .sum()
    } else {
        0
    };
    let first = if is_wide {
        let share = (free / 2).max(u32::from(entry.task_locations.is_empty()).min(free));
        permitted.min(plan.wide_array_budget).min(share)
    } else {
        permitted
    };
    let tasks = &entry.tasks[..first as usize];
    let unplaced = start_tasks_one_by_one(
        entry,
        tasks,
        hosts,
        quotas,
        demand_ratio,
        backfill,
        preemptible,
        plan,
    );
    if !is_wide {
        return unplaced;
    }
    let placed = first - unplaced;
    plan.wide_array_budget -= placed;
    plan.deferred_wide_arrays.push(DeferredWideArray {
        job: entry.id.to_string(),
        placed,
        demand_ratio,
        backfilled: backfill,
    });
    permitted.saturating_sub(free)
}

/// Starts tasks one by one. Returns the number of tasks that found no machine.
#[allow(clippy::too_many_arguments)]
fn start_tasks_one_by_one(
    entry: &QueueEntry<'_>,
    tasks: &[u32],
    hosts: &mut [Host],
    quotas: &mut Quotas,
    demand_ratio: f64,
    backfill: bool,
    preemptible: &[PreemptibleTask<'_>],
    plan: &mut SchedulingPlan,
) -> u32 {
    let spec = entry.spec;
    let need = &entry.requirements.need;
    let is_service = spec.kind == JobKind::Service;
    let mut zones: Vec<u32> = entry.task_locations.iter().map(|(zone, _)| *zone).collect();
    let max_tasks_per_zone = spec.tasks.div_ceil(2) as usize;
    let has_task = |host: usize| {
        entry
            .task_locations
            .iter()
            .any(|(_, other)| *other == Some(host))
    };
    let mut picker = HostPicker::new(
        hosts,
        0..hosts.len(),
        entry.id,
        &entry.requirements,
        demand_ratio,
        is_service,
        has_task,
    );
    let mut hosts_being_cleared = None;
    for (index, task) in tasks.iter().enumerate() {
        let fits_zone = |zone: u32| {
            let in_zone = zones.iter().filter(|other| **other == zone).count();
            (!spec.one_zone || in_zone == zones.len())
                && (!spec.spread || in_zone < max_tasks_per_zone)
        };
        let Some(host) = picker.pick(hosts, fits_zone) else {
            return (tasks.len() - index) as u32;
        };
        if is_service && !hosts[host].has_image(entry.requirements.image) {
            let is_being_cleared = |host: &&Host| {
                host.reserved.as_deref() == Some(entry.id)
                    && slots(&host.free, need) == 0
                    && slots(&host.free_after_stops(), need) > 0
            };
            let count_hosts = || hosts.iter().filter(is_being_cleared).count();
            let being_cleared = hosts_being_cleared.get_or_insert_with(count_hosts);
            if *being_cleared > 0 {
                // The replica waits for a machine with its image that is being cleared already.
                *being_cleared -= 1;
                picker.put_back(hosts, host);
                continue;
            }
            if let Some(task) = find_victim_with_image(entry, hosts, preemptible, fits_zone) {
                let victim_host = task.host;
                clear_host(victim_host, &[task], entry.id, hosts, plan);
                zones.push(hosts[victim_host].zone);
                picker.put_back(hosts, host);
                continue;
            }
        }
        allocate_task(&mut hosts[host], quotas, entry);
        picker.task_placed(hosts, host);
        zones.push(hosts[host].zone);
        plan.placements.push(TaskPlacement {
            job: entry.id.to_string(),
            task: *task,
            host,
            backfilled: backfill && !is_service,
        });
    }
    0
}

/// Preempts tasks on a machine and reserves the machine for a job.
fn clear_host(
    host: usize,
    victims: &[&PreemptibleTask<'_>],
    job: &str,
    hosts: &mut [Host],
    plan: &mut SchedulingPlan,
) {
    for victim in victims {
        placement::add_resources(&mut hosts[host].stopping, &victim.need);
        plan.preemptions.push(task_ref(victim));
    }
    hosts[host].reserved = Some(job.into());
    plan.reservations.push((host, job.to_string()));
}

fn task_ref(task: &PreemptibleTask<'_>) -> TaskRef {
    TaskRef {
        job: task.job.to_string(),
        task: task.task,
    }
}

/// Finds a task to preempt for a replica of a service: its machine has the service's image, and preempting it
/// takes less than half as long as fetching the image on another machine. The task has a lower priority,
/// saves checkpoints and stops alone. Of all such tasks, returns the one that started last.
fn find_victim_with_image<'a, 'b>(
    entry: &QueueEntry<'_>,
    hosts: &[Host],
    preemptible: &'a [PreemptibleTask<'b>],
    fits_zone: impl Fn(u32) -> bool,
) -> Option<&'a PreemptibleTask<'b>> {
    let is_suitable = |task: &&PreemptibleTask<'_>| {
        let host = &hosts[task.host];
        let free_without_task = || {
            let mut free = host.free;
            placement::add_resources(&mut free, &task.need);
            free
        };
        task.stops_alone
            && task.saves_checkpoints
            && task.priority < entry.priority
            && entry.fetch_s > 2.0 * (task.save_s + PREEMPTION_OVERHEAD_S)
            && host.schedulable
            && host.reserved.is_none()
            && host.has_image(entry.requirements.image)
            && slots(&free_without_task(), &entry.requirements.need) > 0
            && entry
                .requirements
                .constraints
                .permit(host.machine_type, host.zone, host.spot)
            && !entry.requirements.avoided_hosts.contains(&task.host)
            && entry
                .task_locations
                .iter()
                .all(|(_, other)| *other != Some(task.host))
            && fits_zone(host.zone)
    };
    let candidates = preemptible.iter().filter(is_suitable);
    candidates.max_by_key(|task| task.start_order)
}

/// Preempts tasks to make room for a blocked job, and reserves their machines until the job has started. On
/// each machine, the tasks that started last are preempted first. Returns whether there were tasks that may
/// be preempted for the job.
///
/// These tasks may be preempted:
/// - for a gang at the head of the queue: backfilled tasks;
/// - for a gang or a service: tasks of a lower priority; for a gang only those that save checkpoints;
/// - for a gang that has waited long: tasks of a lower priority that stop alone and are not exempt;
/// - for a job within its team's guarantee: tasks beyond the guarantees of other teams; members of gangs only
///   if the job is overdue.
///
/// Except for a service, the job needs a prior claim: by guarantee, then by priority, then (at the head of the
/// queue) by arrival.
fn preempt(
    entry: &QueueEntry<'_>,
    unplaced: u32,
    hosts: &mut [Host],
    preemptible: &[PreemptibleTask<'_>],
    at_head: bool,
    plan: &mut SchedulingPlan,
) -> bool {
    let is_service = entry.spec.kind == JobKind::Service;
    let is_gang = entry.spec.kind == JobKind::Gang;
    let is_array = entry.spec.kind == JobKind::Array;
    let need = entry.requirements.need;
    let is_reserved = |host: &&Host| host.reserved.as_deref() == Some(entry.id);
    let has_reservation = hosts.iter().any(|host| is_reserved(&host));
    if (is_gang || !entry.guaranteed) && has_reservation {
        return false;
    }
    let reserved_slots: u32 = hosts
        .iter()
        .filter(is_reserved)
        .map(|host| slots(&host.free_after_stops(), &need))
        .sum();
    let mut remaining = unplaced.saturating_sub(reserved_slots);
    if remaining == 0 {
        return false;
    }
    let may_preempt = |task: &&PreemptibleTask<'_>| {
        let is_lower = task.priority < entry.priority;
        let by_priority = is_lower && (task.saves_checkpoints || is_service) && !is_array;
        // Tasks beyond another team's guarantee that stop alone lose little work and may be preempted at
        // once. A gang stops as a whole, so its members may be preempted only when the job is overdue.
        let is_surplus =
            task.beyond_guarantee && task.team != entry.team && (task.stops_alone || entry.overdue);
        let by_guarantee = entry.guaranteed && is_surplus;
        let by_age = is_gang && entry.aged && task.stops_alone && !task.exempt && is_lower;
        let by_backfill = at_head && is_gang && task.backfilled;
        let has_reason = by_backfill || by_priority || by_guarantee || by_age;
        let claim = (entry.guaranteed, entry.priority);
        let claim_of_task = (!task.beyond_guarantee, task.priority);
        let arrived_earlier = (entry.accepted_at, entry.id) < (task.accepted_at, task.job);
        let has_prior_claim = is_service
            || claim > claim_of_task
            || (claim == claim_of_task && at_head && arrived_earlier);
        let is_permitted = has_reason && has_prior_claim;
        hosts[task.host].reserved.is_none() && is_permitted
    };
    let candidates: Vec<&PreemptibleTask<'_>> = preemptible.iter().filter(may_preempt).collect();
    if candidates.is_empty() {
        return false;
    }
    let mut cleared: Vec<Host> = hosts.to_vec();
    for candidate in &candidates {
        cleared[candidate.host].release(&candidate.need);
    }
    let mut tasks_by_host: BTreeMap<usize, u32> = BTreeMap::new();
    if is_gang && unplaced > 1 {
        let all_hosts = 0..cleared.len();
        let requirements = &entry.requirements;
        let chosen = placement::place_gang(
            &cleared,
            all_hosts,
            entry.id,
            entry.spec,
            requirements,
            unplaced,
            1.0,
        );
        for host in chosen.into_iter().flatten() {
            *tasks_by_host.entry(host).or_default() += 1;
        }
    } else {
        // Machines on which preemption releases the fewest GPUs come first, so that as little work as
        // possible is lost.
        let mut zones: Vec<u32> = entry.task_locations.iter().map(|(zone, _)| *zone).collect();
        let reserved = hosts.iter().filter(is_reserved);
        let usable = reserved.filter(|host| slots(&host.free_after_stops(), &need) > 0);
        zones.extend(usable.map(|host| host.zone));
        let max_hosts = if entry.guaranteed {
            MAX_HOSTS_FOR_GUARANTEE
        } else {
            1
        };
        while remaining > 0 && tasks_by_host.len() < max_hosts {
            let fits_zone = |host: &Host| {
                let in_zone = zones.iter().filter(|zone| **zone == host.zone).count() as u32;
                let violates_one_zone =
                    entry.spec.one_zone && zones.iter().any(|zone| *zone != host.zone);
                let violates_spread = entry.spec.spread && in_zone >= entry.spec.tasks.div_ceil(2);
                !violates_one_zone && !violates_spread
            };
            let cleared_gpus = |host: usize| (cleared[host].free[1] - hosts[host].free[1]).max(0.0);
            let lacks_image = |host: usize| !cleared[host].has_image(entry.requirements.image);
            let best = (0..cleared.len())
                .filter(|host| {
                    !tasks_by_host.contains_key(host)
                        && fits_zone(&cleared[*host])
                        && accepts_task(
                            &cleared[*host],
                            entry.id,
                            &need,
                            &entry.requirements.constraints,
                        )
                })
                .min_by(|left, right| {
                    (cleared_gpus(*left), lacks_image(*left))
                        .partial_cmp(&(cleared_gpus(*right), lacks_image(*right)))
                        .unwrap_or(std::cmp::Ordering::Equal)
                });
            let Some(host) = best else { break };
            let max_tasks_on_host = if is_array { remaining } else { 1 };
            let count = slots(&cleared[host].free, &need).min(max_tasks_on_host);
            zones.push(cleared[host].zone);
            tasks_by_host.insert(host, count);
            remaining -= count;
        }
    }
    for (host, count) in tasks_by_host {
        let mut free = hosts[host].free;
        let on_host = candidates.iter().filter(|candidate| candidate.host == host);
        let mut on_host: Vec<&&PreemptibleTask<'_>> = on_host.collect();
        on_host.sort_by_key(|candidate| std::cmp::Reverse(candidate.start_order));
        let mut victims = Vec::new();
        for candidate in on_host {
            if slots(&free, &need) >= count {
                break;
            }
            placement::add_resources(&mut free, &candidate.need);
            victims.push(*candidate);
        }
        clear_host(host, &victims, entry.id, hosts, plan);
    }
    true
}
