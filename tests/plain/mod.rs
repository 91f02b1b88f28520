//! The reference implementation of a scheduling pass: the one of 2026-12-01 (commit 8b93c06), before the
//! queue was updated incrementally. It inspects every job, sorts all of them, and tries each against
//! every machine. The scheduler's passes are compared with it, and measured against it. Only two rules
//! have followed later changes: the largest demand is determined before jobs are placed, and a gang that
//! has waited long preempts tasks that cannot save.

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

/// Most placements of one pass.
const MAX_PLACEMENTS: usize = 128;
/// A guaranteed job that has waited this long may preempt gangs of other teams.
const OVERDUE_AFTER: Micros = Micros::millis(60_000);
/// A job that has waited this long is backfilled before shorter ones.
const STARVED_AFTER: Micros = Micros::millis(120_000);
/// A gang that has waited this long may preempt tasks that cannot save.
const AGED_AFTER: Micros = Micros::millis(20_000);
/// A job class that takes no more than this fraction of the cluster is spared from aged gangs.
const SPARED_FRACTION: f64 = 0.1;
/// Sums of resource amounts may be off by this much.
const TOLERANCE: f64 = 1e-6;
/// Lower bound of the image fetch rate, in GB a second.
const MIN_FETCH_RATE: f64 = 1e-3;
/// Lower bound of the largest demand, which demands are divided by.
const MIN_LARGEST_DEMAND: f64 = 1e-9;

/// The result of a pass, in the types of `pass::PassDecision`.
#[derive(Debug, Default)]
pub struct ReferenceDecision {
    /// Tasks to start, in the order in which they were placed.
    pub starts: Vec<TaskStart>,
    /// Tasks to preempt.
    pub preemptions: Vec<TaskRef>,
    /// Machines to hold for jobs whose room is being cleared.
    pub reservations: Vec<Reservation>,
    /// Jobs with tasks that could not be placed.
    pub unplaced: Vec<UnplacedJob>,
    /// The largest demand of any job so far.
    pub largest_demand: f64,
    /// Ended jobs without any task on a machine.
    pub cleanable_jobs: Vec<String>,
    /// Tasks that were reported as done, and are not recorded so yet.
    pub done_tasks: Vec<TaskRef>,
    /// Tasks to stop for other reasons than preemption.
    pub stops: Vec<TaskStop>,
    /// Gangs that have lost a member.
    pub incomplete_gangs: Vec<IncompleteGang>,
}

/// The machines. All lists are in the same order.
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

/// By team: CPUs and GPUs that it may still take.
type Quotas = BTreeMap<String, [f64; 2]>;

#[derive(Default)]
struct SchedulingPlan {
    placements: Vec<Placement>,
    preemptions: Vec<TaskRef>,
    /// Machines, by index, that are held for a job.
    reservations: Vec<(usize, String)>,
    unplaced: Vec<UnplacedJob>,
    /// Number of tasks that wide arrays may still start before all other jobs have been considered.
    wide_budget: u32,
    /// Wide arrays that were cut short.
    cut_arrays: Vec<CutArray>,
}

struct Placement {
    job: String,
    task: u32,
    host: usize,
    backfilled: bool,
}

/// A wide array that continues after all other jobs have been considered.
struct CutArray {
    job: String,
    /// Number of its startable tasks that have been placed.
    placed: u32,
    demand_ratio: f64,
    backfill: bool,
}

/// Decides on one pass.
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
        let limit = |amount: f64| if amount > 0.0 { amount } else { f64::INFINITY };
        quotas.insert(
            team.name.clone(),
            [limit(team.cpus_max), limit(team.gpus_max)],
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
    let fetch_rate = rates.fold(f64::INFINITY, f64::min).max(MIN_FETCH_RATE);
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
            fetch_rate,
            clock,
        );
        entries.extend(entry);
    }
    add_unrecorded_tasks(leader, cache, &mut host_table, &mut quotas);
    let is_urgent =
        |entry: &QueueEntry<'_>| entry.lost_tasks > 0 && entry.spec.kind == JobKind::Service;
    entries.sort_by_key(|entry| (!is_urgent(entry), entry.accepted_at, entry.id));
    for host in &mut host_table.hosts {
        let reserved = host.reserved.as_deref();
        if reserved.is_some_and(|job| entries.iter().all(|entry| entry.id != job)) {
            host.reserved = None;
        }
    }
    if !leader.takeover_grace_elapsed(settings, now) {
        preemptible.clear();
    }
    let class = |id: &str| cache.jobs[id].record.spec.class.as_str();
    for task in &mut preemptible {
        let usage = usage_by_class.get(class(task.job)).copied().unwrap_or(0.0);
        task.exempt = usage <= SPARED_FRACTION;
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
    let plan = pass(
        &entries,
        &mut host_table.hosts,
        &preemptible,
        &mut quotas,
        largest_demand,
    );
    let start = |placement: Placement| TaskStart {
        job: placement.job,
        task: placement.task,
        machine: host_table.names[placement.host].clone(),
        agent_epoch: host_table.hosts[placement.host].agent_epoch,
        backfilled: placement.backfilled,
    };
    decision.starts = plan.placements.into_iter().map(start).collect();
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

/// The machines that may run tasks, with all their resources free.
fn host_table(
    leader: &LeaderState,
    settings: &Settings,
    policy: &Policy,
    cache: &RecordCache,
    names: &mut NameTable,
    now: Micros,
) -> HostTable {
    let fresh = Micros::secs(settings.params.agents.report_s * FRESH_HEARTBEAT_INTERVALS);
    let count = leader.agents.len();
    let mut host_table = HostTable {
        hosts: Vec::with_capacity(count),
        names: Vec::with_capacity(count),
        index: HashMap::with_capacity(count),
    };
    for (name, agent) in &leader.agents {
        let mut types = cache.machine_types.iter().flatten();
        let Some(machine_type) = types.find(|known| known.name == agent.machine_type) else {
            continue;
        };
        if agent.epoch_ended() || leader.inventory.is_gone(name) {
            continue;
        }
        let open = agent.term == leader.term
            && agent.last_answered_at.is_some_and(|at| now < at + fresh)
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
            schedulable: open,
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

/// Inspects a job: takes the resources of its tasks, notes what is to be done about them, and returns
/// its queue entry if it has tasks to start.
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
    fetch_rate: f64,
    clock: Clock,
) -> Option<QueueEntry<'a>> {
    if job.waits_for_dependencies() {
        // None of its tasks starts before the jobs that it depends on are recorded as done, so it takes
        // no resources and no position in the queue, and blocks no other job.
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
    let pending: Vec<TaskEntry> = leader
        .record_writer
        .unrecorded_placements(id)
        .cloned()
        .collect();
    let mut present: Vec<(u32, Option<usize>)> = Vec::new();
    let mut lost = 0;
    let mut latest_attempt = 0;
    let mut has_unknown_zone = false;
    let mut gang_is_done = false;
    let mut is_running = false;
    let mut members: Vec<(u32, TaskLiveness)> = Vec::new();
    // A task with a pending placement has been proven gone from its recorded machine. If the recorded
    // attempt counted as lost beside the new one, a gang would be taken for broken before it has
    // started.
    let is_replaced = |entry: &&TaskEntry| pending.iter().any(|new| new.task() == entry.task());
    let recorded = job.entries().filter(|entry| !is_replaced(entry));
    for attempt in recorded.chain(&pending) {
        let Some(machine) = attempt.machine() else {
            continue;
        };
        let liveness = leader.attempt_liveness(id, attempt);
        if !leader.may_be_running(id, attempt, job.active()) {
            lost += 1;
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
                // The spot instance is about to be reclaimed: a task that can save does so now, a gang
                // as a whole.
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
                    && pending.is_empty()
                    && !in_flight
                    && leader.due_stop(id, attempt.task()).is_none()
                {
                    let orders = leader.start_order.get(id);
                    let order = orders.and_then(|orders| orders.get(&attempt.task()));
                    preemptible.push(PreemptibleTask {
                        job: id,
                        task: attempt.task(),
                        host: index,
                        need: requirements.need,
                        start_order: order.copied().unwrap_or(0),
                        backfilled: attempt.backfilled(),
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
    // The members of a gang complete together: when one has reported that it is done, the others are
    // not lost.
    if gang_is_done {
        return None;
    }
    if spec.kind == JobKind::Gang && !present.is_empty() {
        if lost > 0 {
            decision.incomplete_gangs.push(IncompleteGang {
                job: id.to_string(),
                attempt: latest_attempt,
            });
            // Members that are saving a checkpoint may finish.
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
    // The retry backoff of a failing job does not apply while tasks of it are running.
    let failures = leader.failure_histories.get(id);
    let in_backoff = failures.is_some_and(|failures| failures.retry_at > now)
        && !is_running
        && job.done_count() == 0;
    // Replicas of a service may be placed while others are being written: if they had to wait, jobs that
    // arrived later would take their resources. For other jobs the pending change may be an end.
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
    let mut tasks = startable(leader, id, job, 2 * MAX_PLACEMENTS);
    let is_failing = |failures: &FailureHistory| {
        failures.is_at_fault() && !(is_running && failures.has_not_failed_recently(now))
    };
    if spec.kind == JobKind::Array && failures.is_some_and(is_failing) {
        tasks.truncate(usize::from(present.is_empty()));
    }
    if tasks.is_empty() {
        return None;
    }
    // A task that was stopped or has failed does not count as lost; one that was lost with its machine
    // or its gang does.
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
    let lost = tasks.iter().filter(is_displaced).count();
    Some(QueueEntry {
        id,
        accepted_at: job.record.accepted_at,
        lost_tasks: lost as u32,
        spec,
        requirements,
        team,
        feasibility_class: 0,
        tasks,
        task_locations: present,
        fetch_s: spec.image_gb / fetch_rate,
        estimate_s: spec.estimate_s,
        priority,
        guaranteed,
        overdue: clock.wall.since(job.released_at) > OVERDUE_AFTER,
        aged: clock.wall.since(job.released_at) > AGED_AFTER,
        starved: clock.wall.since(job.released_at) > STARVED_AFTER,
    })
}

/// Takes the resources of tasks that agents report but no record places. Nothing is placed on a machine
/// with a task of an unknown job.
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
            let places_it = |entry: &TaskEntry| {
                let attempt = (entry.task(), entry.attempt());
                attempt == (status.task, status.attempt) && entry.machine().is_some()
            };
            let is_placed = job.entry(status.task).is_some_and(places_it)
                || leader
                    .record_writer
                    .unrecorded_placements(&status.job)
                    .any(places_it);
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

/// Jobs that fit into their team's guarantee together with all earlier unfinished jobs of the team.
fn guaranteed_jobs<'a>(settings: &Settings, cache: &'a RecordCache) -> HashSet<&'a str> {
    let mut left: HashMap<&str, [f64; 2]> = HashMap::new();
    for team in &settings.params.teams {
        if team.cpus > 0.0 || team.gpus > 0.0 {
            let amount = |amount: f64| if amount > 0.0 { amount } else { f64::INFINITY };
            left.insert(&team.name, [amount(team.cpus), amount(team.gpus)]);
        }
    }
    let mut guaranteed = HashSet::new();
    if left.is_empty() {
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
        let Some([cpus, gpus]) = left.get_mut(spec.team.as_str()) else {
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

/// Tasks of a job that may start: neither done nor on a machine. At most `limit`, except for gangs.
fn startable(leader: &LeaderState, id: &str, job: &Job, limit: usize) -> Vec<u32> {
    let spec = &job.record.spec;
    let limit = if spec.kind == JobKind::Gang {
        spec.tasks as usize
    } else {
        limit
    };
    let mut tasks = Vec::new();
    let is_occupied = |entry: &TaskEntry| {
        // A task that was reported as done is about to be recorded so.
        leader.may_be_running(id, entry, true)
            || leader.attempt_liveness(id, entry) == TaskLiveness::Ended(ExitReason::Done)
    };
    for first in (0..spec.tasks).step_by(TASKS_PER_CHUNK as usize) {
        let chunk = job.chunk_of(first);
        for task in first..spec.tasks.min(first + TASKS_PER_CHUNK) {
            let is_free = match chunk {
                None => true,
                Some(chunk) => !chunk.is_done(task) && !chunk.entry(task).is_some_and(is_occupied),
            };
            if is_free
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

/// In one pass, preemption is tried for this many blocked jobs, in their order: the work of a pass must
/// not grow with the length of the queue times the size of the fleet.
const MAX_PREEMPTION_ATTEMPTS: usize = 8;
/// Tasks that start one by one are given this many machines at once.
const MAX_CLEARED_MACHINES: usize = 16;
/// Seconds from the stop of a task to the start of the next one in its place, besides saving: a stop
/// command, a heartbeat, a pass, a record and a start.
const STOP_S: f64 = 2.0;

/// How many tasks of a job fit into its team's limit.
fn team_slots(quotas: &Quotas, spec: &JobSpec) -> u32 {
    let Some([cpus, gpus]) = quotas.get(&spec.team) else {
        return u32::MAX;
    };
    slots(&[*cpus, *gpus, f64::INFINITY], &[spec.cpus, spec.gpus, 0.0])
}

/// Takes the resources of one task of a job.
fn take(host: &mut Host, quotas: &mut Quotas, entry: &QueueEntry<'_>) {
    host.allocate(&entry.requirements.need);
    if let Some([cpus, gpus]) = quotas.get_mut(&entry.spec.team) {
        *cpus -= entry.spec.cpus;
        *gpus -= entry.spec.gpus;
    }
    host.add_image(entry.requirements.image);
}

/// Places what fits, in order. `largest_demand` is that of any job so far, these jobs included.
fn pass(
    entries: &[QueueEntry<'_>],
    hosts: &mut [Host],
    preemptible: &[PreemptibleTask<'_>],
    quotas: &mut Quotas,
    largest_demand: f64,
) -> SchedulingPlan {
    let mut plan = SchedulingPlan {
        wide_budget: MAX_PLACEMENTS as u32 / 2,
        ..SchedulingPlan::default()
    };
    let mut is_blocked = false;
    let mut later: Vec<&QueueEntry<'_>> = Vec::new();
    let typical_host = hosts.first().map_or([1.0; 3], |host| host.total);
    let demand_ratio = |entry: &QueueEntry<'_>| {
        let size = placement::dominant_share(&typical_host, &entry.requirements.need);
        entry.spec.tasks as f64 * size / largest_demand.max(MIN_LARGEST_DEMAND)
    };
    let mut attempts = MAX_PREEMPTION_ATTEMPTS;
    for entry in entries {
        if plan.placements.len() >= MAX_PLACEMENTS {
            break;
        }
        if is_blocked && entry.spec.kind != JobKind::Service {
            later.push(entry);
            continue;
        }
        let before = plan.placements.len();
        let ratio = demand_ratio(entry);
        let short = start(entry, hosts, quotas, ratio, false, preemptible, &mut plan);
        if short == 0 {
            continue;
        }
        plan.unplaced.push(UnplacedJob {
            job: entry.id.to_string(),
            tasks: short,
        });
        let may_preempt = entry.spec.kind != JobKind::Array || entry.guaranteed;
        let starts_singly = entry.spec.kind == JobKind::Array;
        let placed_none = plan.placements.len() == before;
        if may_preempt && (placed_none || starts_singly) && attempts > 0 {
            let is_top = !is_blocked;
            let tried = make_way(entry, short, hosts, preemptible, is_top, &mut plan);
            attempts -= usize::from(tried);
        }
        is_blocked |= entry.spec.kind != JobKind::Service;
    }
    later.sort_by(|left, right| {
        let estimate_s = |entry: &QueueEntry<'_>| match entry.starved {
            true => 0.0,
            false => entry.estimate_s,
        };
        let starved_first = right.starved.cmp(&left.starved);
        starved_first.then(estimate_s(left).total_cmp(&estimate_s(right)))
    });
    let mut has_top = false;
    for entry in later {
        if plan.placements.len() >= MAX_PLACEMENTS {
            break;
        }
        let ratio = demand_ratio(entry);
        let short = start(entry, hosts, quotas, ratio, true, preemptible, &mut plan);
        if short > 0 {
            plan.unplaced.push(UnplacedJob {
                job: entry.id.to_string(),
                tasks: short,
            });
            let is_top = entry.starved && !has_top && entry.spec.kind == JobKind::Gang;
            has_top |= is_top;
            let may_preempt = entry.spec.kind == JobKind::Gang || entry.guaranteed;
            if may_preempt && attempts > 0 {
                let tried = make_way(entry, short, hosts, preemptible, is_top, &mut plan);
                attempts -= usize::from(tried);
            }
        }
    }
    for cut in std::mem::take(&mut plan.cut_arrays) {
        let Some(entry) = entries.iter().find(|entry| entry.id == cut.job) else {
            continue;
        };
        let left = (2 * MAX_PLACEMENTS).saturating_sub(plan.placements.len());
        let rest = &entry.tasks[cut.placed as usize..];
        let count = (team_slots(quotas, entry.spec) as usize).min(left);
        let rest = &rest[..count.min(rest.len())];
        place_singly(
            entry,
            rest,
            hosts,
            quotas,
            cut.demand_ratio,
            cut.backfill,
            preemptible,
            &mut plan,
        );
    }
    plan
}

/// Places what fits of one job. Returns how many tasks do not fit, not counting those beyond the limit
/// of its team.
fn start(
    entry: &QueueEntry<'_>,
    hosts: &mut [Host],
    quotas: &mut Quotas,
    demand_ratio: f64,
    backfill: bool,
    preemptible: &[PreemptibleTask<'_>],
    plan: &mut SchedulingPlan,
) -> u32 {
    let spec = entry.spec;
    let wanted = entry.tasks.len() as u32;
    let allowed = team_slots(quotas, spec).min(wanted);
    if spec.kind == JobKind::Gang {
        if allowed < wanted {
            return 0;
        }
        let all_hosts = 0..hosts.len();
        let requirements = &entry.requirements;
        let found = placement::place_gang(
            hosts,
            all_hosts,
            entry.id,
            spec,
            requirements,
            wanted,
            demand_ratio,
        );
        let Some(found) = found else {
            return wanted;
        };
        for (task, host) in entry.tasks.iter().zip(found) {
            take(&mut hosts[host], quotas, entry);
            plan.placements.push(Placement {
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
        && wanted as usize >= MAX_PLACEMENTS;
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
        allowed.min(plan.wide_budget).min(share)
    } else {
        allowed
    };
    let tasks = &entry.tasks[..first as usize];
    let short = place_singly(
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
        return short;
    }
    let placed = first - short;
    plan.wide_budget -= placed;
    plan.cut_arrays.push(CutArray {
        job: entry.id.to_string(),
        placed,
        demand_ratio,
        backfill,
    });
    allowed.saturating_sub(free)
}

/// Places tasks one by one. Returns how many do not fit.
#[allow(clippy::too_many_arguments)]
fn place_singly(
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
    let most_per_zone = spec.tasks.div_ceil(2) as usize;
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
    let mut being_cleared = None;
    for (index, task) in tasks.iter().enumerate() {
        let fits_zone = |zone: u32| {
            let in_zone = zones.iter().filter(|other| **other == zone).count();
            (!spec.one_zone || in_zone == zones.len()) && (!spec.spread || in_zone < most_per_zone)
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
            let count = || hosts.iter().filter(is_being_cleared).count();
            let waiting = being_cleared.get_or_insert_with(count);
            if *waiting > 0 {
                // The replica starts as soon as its place is clear.
                *waiting -= 1;
                picker.put_back(hosts, host);
                continue;
            }
            if let Some(task) = in_the_way(entry, hosts, preemptible, fits_zone) {
                plan.preemptions.push(task_ref(task));
                plan.reservations.push((task.host, entry.id.to_string()));
                hosts[task.host].reserved = Some(entry.id.into());
                zones.push(hosts[task.host].zone);
                picker.put_back(hosts, host);
                continue;
            }
        }
        take(&mut hosts[host], quotas, entry);
        picker.task_placed(hosts, host);
        zones.push(hosts[host].zone);
        plan.placements.push(Placement {
            job: entry.id.to_string(),
            task: *task,
            host,
            backfilled: backfill && !is_service,
        });
    }
    0
}

fn task_ref(task: &PreemptibleTask<'_>) -> TaskRef {
    TaskRef {
        job: task.job.to_string(),
        task: task.task,
    }
}

/// A task of a lower priority that can save, stops alone, and keeps a replica from a machine with its
/// image, if the replica would start there in less than half the time that a fetch takes.
fn in_the_way<'a, 'b>(
    entry: &QueueEntry<'_>,
    hosts: &[Host],
    preemptible: &'a [PreemptibleTask<'b>],
    fits_zone: impl Fn(u32) -> bool,
) -> Option<&'a PreemptibleTask<'b>> {
    let serves = |task: &&PreemptibleTask<'_>| {
        let host = &hosts[task.host];
        let free_afterwards = || {
            let mut free = host.free;
            placement::add_resources(&mut free, &task.need);
            free
        };
        task.stops_alone
            && task.saves_checkpoints
            && task.priority < entry.priority
            && entry.fetch_s > 2.0 * (task.save_s + STOP_S)
            && host.schedulable
            && host.reserved.is_none()
            && host.has_image(entry.requirements.image)
            && slots(&free_afterwards(), &entry.requirements.need) > 0
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
    let candidates = preemptible.iter().filter(serves);
    candidates.max_by_key(|task| task.start_order)
}

/// If a blocked job fits once other tasks are gone, preempts those in its place, latest start first:
/// backfilled tasks, for the job at the top of the queue; tasks of a lower priority, if they can save or
/// make room for replicas; and what other teams run beyond their guarantees, for a job within its own.
/// The machines are reserved for the job until it has started. Returns whether any task could be
/// preempted.
fn make_way(
    entry: &QueueEntry<'_>,
    short: u32,
    hosts: &[Host],
    preemptible: &[PreemptibleTask<'_>],
    is_top: bool,
    plan: &mut SchedulingPlan,
) -> bool {
    let is_service = entry.spec.kind == JobKind::Service;
    let is_gang = entry.spec.kind == JobKind::Gang;
    let is_array = entry.spec.kind == JobKind::Array;
    let need = entry.requirements.need;
    let is_reserved = |host: &&Host| host.reserved.as_deref() == Some(entry.id);
    let holds_any = hosts.iter().any(|host| is_reserved(&host));
    if (is_gang || !entry.guaranteed) && holds_any {
        return false;
    }
    let reserved_slots: u32 = hosts
        .iter()
        .filter(is_reserved)
        .map(|host| slots(&host.free_after_stops(), &need))
        .sum();
    let mut left = short.saturating_sub(reserved_slots);
    if left == 0 {
        return false;
    }
    let may_preempt = |task: &&PreemptibleTask<'_>| {
        let is_lower = task.priority < entry.priority;
        let yields_to_priority = is_lower && (task.saves_checkpoints || is_service) && !is_array;
        // A team that runs beyond its guarantee gives back what others are guaranteed: single tasks, which
        // lose little, at once; gangs, which stop as a whole, when nothing else has helped.
        let is_surplus =
            task.beyond_guarantee && task.team != entry.team && (task.stops_alone || entry.overdue);
        let yields_to_guarantee = entry.guaranteed && is_surplus;
        let yields_to_age = is_gang && entry.aged && task.stops_alone && !task.exempt && is_lower;
        let yields_to_top = is_top && is_gang && task.backfilled;
        let yields = yields_to_top || yields_to_priority || yields_to_guarantee || yields_to_age;
        let is_free = hosts[task.host].reserved.is_none()
            && plan.reservations.iter().all(|(host, _)| *host != task.host);
        is_free && yields
    };
    let victims: Vec<&PreemptibleTask<'_>> = preemptible.iter().filter(may_preempt).collect();
    if victims.is_empty() {
        return false;
    }
    let mut cleared: Vec<Host> = hosts.to_vec();
    for (host, _) in &plan.reservations {
        cleared[*host].schedulable = false;
    }
    for victim in &victims {
        cleared[victim.host].release(&victim.need);
    }
    let mut tasks_by_host: BTreeMap<usize, u32> = BTreeMap::new();
    if is_gang && short > 1 {
        let all_hosts = 0..cleared.len();
        let requirements = &entry.requirements;
        let found = placement::place_gang(
            &cleared,
            all_hosts,
            entry.id,
            entry.spec,
            requirements,
            short,
            1.0,
        );
        for host in found.into_iter().flatten() {
            *tasks_by_host.entry(host).or_default() += 1;
        }
    } else {
        // The fullest machines come first, so that as few tasks as possible have to stop.
        let mut zones: Vec<u32> = entry.task_locations.iter().map(|(zone, _)| *zone).collect();
        let reserved = hosts.iter().filter(is_reserved);
        let usable = reserved.filter(|host| slots(&host.free_after_stops(), &need) > 0);
        zones.extend(usable.map(|host| host.zone));
        let max_hosts = if entry.guaranteed {
            MAX_CLEARED_MACHINES
        } else {
            1
        };
        while left > 0 && tasks_by_host.len() < max_hosts {
            let fits_zone = |host: &Host| {
                let in_zone = zones.iter().filter(|zone| **zone == host.zone).count() as u32;
                let is_apart = entry.spec.one_zone && zones.iter().any(|zone| *zone != host.zone);
                let is_crowded = entry.spec.spread && in_zone >= entry.spec.tasks.div_ceil(2);
                !is_apart && !is_crowded
            };
            let gpus_lost = |host: usize| (cleared[host].free[1] - hosts[host].free[1]).max(0.0);
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
                .min_by(|one, other| {
                    (gpus_lost(*one), lacks_image(*one))
                        .partial_cmp(&(gpus_lost(*other), lacks_image(*other)))
                        .unwrap_or(std::cmp::Ordering::Equal)
                });
            let Some(host) = best else { break };
            let limit = if is_array { left } else { 1 };
            let count = slots(&cleared[host].free, &need).min(limit);
            zones.push(cleared[host].zone);
            tasks_by_host.insert(host, count);
            left -= count;
        }
    }
    for (host, count) in tasks_by_host {
        let mut free = hosts[host].free;
        let on_host = victims.iter().filter(|victim| victim.host == host);
        let mut on_host: Vec<&&PreemptibleTask<'_>> = on_host.collect();
        on_host.sort_by_key(|victim| std::cmp::Reverse(victim.start_order));
        for victim in on_host {
            if slots(&free, &need) >= count {
                break;
            }
            placement::add_resources(&mut free, &victim.need);
            plan.preemptions.push(task_ref(victim));
        }
        plan.reservations.push((host, entry.id.to_string()));
    }
    true
}
