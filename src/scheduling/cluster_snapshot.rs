//! The snapshot that a pass works on: free resources, quotas, preemptible tasks and queue entries.
//!
//! It inspects each job that has a placed task, a pending record change, failures or a reservation.
//! Building it changes nothing: `apply_decision` acts on what it finds.

use crate::agents::leader_state::{LeaderState, grace};
use crate::protocol::agent_api::{ExitReason, TaskPhase};
use crate::protocol::records::{CHUNK, TaskEntry};
use crate::protocol::{Clock, JobKind, JobSpec, Micros, Priority};
use crate::scheduling::backfill::{PreemptibleTask, QueueEntry, WIDE_MOST};
use crate::scheduling::job_profile::JobProfile;
use crate::scheduling::job_queue::{QueueState, QueuedJob, Slot};
use crate::scheduling::pass::PassInputs;
use crate::scheduling::pending_jobs::SchedulingContext;
use crate::scheduling::placement::{Resources, add, size};
use crate::scheduling::quota::QuotaTracker;
use crate::scheduling::recovery::LostTasks;
use crate::state::agent::TaskLiveness;
use crate::state::record_cache::Job;
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

pub use crate::scheduling::host_table::HostTable;

/// Number of a zone that is not known.
const UNKNOWN_ZONE: u32 = u32::MAX;

/// A task of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRef {
    /// Job id.
    pub job: String,
    /// Index of the task in its job.
    pub task: u32,
}

/// A task that is to be stopped.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStop {
    /// Job id.
    pub job: String,
    /// Index of the task in its job.
    pub task: u32,
    /// Seconds that the task gets to save a checkpoint.
    pub grace_s: f64,
}

/// A gang that has lost a member.
#[derive(Debug, Clone, PartialEq)]
pub struct BrokenGang {
    /// Job id.
    pub job: String,
    /// The latest attempt that is known to be affected.
    pub attempt: u64,
}

/// What inspecting the jobs has found besides their queue entries.
#[derive(Debug, Default)]
pub struct JobFindings {
    /// Jobs that have ended and have no task on any machine: their records can be cleaned.
    pub cleanable_jobs: Vec<String>,
    /// Tasks that agents have reported as done, but whose records do not say so yet.
    pub done_tasks: Vec<TaskRef>,
    /// Tasks to stop.
    pub stops: Vec<TaskStop>,
    /// Gangs that have lost a member.
    pub broken_gangs: Vec<BrokenGang>,
    /// A job waits for its retry backoff, so another pass is needed.
    pub has_backoff: bool,
    /// Tasks that have lost their machine and are waiting for a new one.
    pub lost_tasks: LostTasks,
    /// Number of tasks that are placed on record.
    pub placed_tasks: usize,
}

/// The cluster and the queue at the time of a pass.
pub struct ClusterSnapshot<'a> {
    /// The machines, with their free resources.
    pub host_table: HostTable<'a>,
    /// Resources that each team may still take.
    pub quotas: QuotaTracker,
    /// By job class: the sum over its tasks of the fraction of the cluster that each takes.
    pub usage_by_class: HashMap<u32, f64>,
    /// Tasks that may be preempted.
    pub preemptible: Vec<PreemptibleTask<'a>>,
    /// Inspected jobs with tasks to start.
    pub entries: Vec<QueueEntry<'a>>,
    /// Slots of all inspected jobs.
    pub inspected: Vec<Slot>,
    /// What else was found.
    pub findings: JobFindings,
}

/// Builds a `ClusterSnapshot`.
pub struct SnapshotBuilder<'s, 'a> {
    leader: &'a LeaderState,
    context: &'s SchedulingContext<'a>,
    clock: Clock,
    /// Resources of all machines together.
    cluster_total: Resources,
    snapshot: ClusterSnapshot<'a>,
}

/// The tasks that stop, and are recorded as done, together with one: all of a gang, else itself.
pub(crate) fn tasks_stopped_with(spec: &JobSpec, task: u32) -> Range<u32> {
    match spec.kind {
        JobKind::Gang => 0..spec.tasks,
        JobKind::Array | JobKind::Service => task..task + 1,
    }
}

/// A job under inspection, with what the leader knows about it.
struct InspectedJob<'a> {
    id: &'a str,
    job: &'a Job,
    queued: &'a QueuedJob,
    profile: &'a JobProfile,
    /// Placements that are not on record yet.
    pending_placements: Vec<&'a TaskEntry>,
    /// A change of its record is being written.
    in_flight: bool,
    /// By task: requested stops, with their grace and time of request.
    stops: Option<&'a BTreeMap<u32, (f64, Micros)>>,
    /// By task: its position in the order of all task starts.
    start_order: Option<&'a BTreeMap<u32, u64>>,
    guaranteed: bool,
    priority: Priority,
}

impl InspectedJob<'_> {
    fn spec(&self) -> &JobSpec {
        &self.job.rec.spec
    }

    fn kind(&self) -> JobKind {
        self.spec().kind
    }

    fn is_stopping(&self, task: u32) -> bool {
        self.stops.is_some_and(|stops| stops.contains_key(&task))
    }

    fn has_pending_placement(&self, task: u32) -> bool {
        let mut placements = self.pending_placements.iter();
        placements.any(|placement| placement.task() == task)
    }

    fn is_preemptible(&self, task: u32) -> bool {
        self.kind() != JobKind::Service
            && self.queued.active
            && self.pending_placements.is_empty()
            && !self.in_flight
            && !self.is_stopping(task)
    }
}

/// Where an attempt runs, and whether it does.
struct LocatedAttempt {
    liveness: TaskLiveness,
    /// Index of its machine, if it is in the host table.
    host: Option<usize>,
}

/// What the attempts of a job add up to.
#[derive(Default)]
struct AttemptTally {
    /// Zone and host of each attempt that must be presumed to run.
    present: Vec<(u32, Option<usize>)>,
    /// Tasks that must not be started: they are presumed to run, or done. Sorted.
    occupied: Vec<u32>,
    /// Tasks that were lost with their machine or with their gang. Sorted.
    displaced: Vec<u32>,
    /// Number of attempts that have ended or are gone.
    lost: usize,
    latest_attempt: u64,
    /// An attempt runs on a machine whose zone is unknown.
    has_unknown_zone: bool,
    /// A gang of which a member has reported that it is done.
    gang_is_done: bool,
    /// A task is running.
    is_running: bool,
    /// Members of a gang that must be presumed to run.
    members: Vec<(u32, TaskLiveness)>,
}

impl AttemptTally {
    /// Takes note of an attempt that is on record.
    fn add_recorded(&mut self, task: u32, liveness: TaskLiveness, presumed: bool) {
        if presumed || liveness == TaskLiveness::Ended(ExitReason::Done) {
            self.occupied.push(task);
            return;
        }
        // A task that was stopped or has failed does not count as displaced.
        let displaced = matches!(
            liveness,
            TaskLiveness::Gone | TaskLiveness::Ended(ExitReason::Peers)
        );
        if displaced {
            self.displaced.push(task);
        }
    }
}

impl<'s, 'a> SnapshotBuilder<'s, 'a> {
    /// Starts with machines on which all resources are free, and quotas from which nothing is taken.
    pub fn new(
        inputs: &PassInputs<'a>,
        context: &'s SchedulingContext<'a>,
        host_table: HostTable<'a>,
        quotas: QuotaTracker,
    ) -> SnapshotBuilder<'s, 'a> {
        let mut cluster_total = [0.0; 3];
        for host in &host_table.hosts {
            add(&mut cluster_total, &host.total);
        }
        SnapshotBuilder {
            leader: inputs.leader,
            context,
            clock: inputs.clock,
            cluster_total,
            snapshot: ClusterSnapshot {
                host_table,
                quotas,
                usage_by_class: HashMap::new(),
                preemptible: Vec::new(),
                entries: Vec::new(),
                inspected: Vec::new(),
                findings: JobFindings::default(),
            },
        }
    }

    /// Inspects all jobs with placed tasks, pending record changes, failures or reservations.
    pub fn build(mut self) -> ClusterSnapshot<'a> {
        let backlog = self.context.backlog;
        let mut unplaced = self.unplaced_jobs_to_inspect().peekable();
        let mut placed = backlog.placed().peekable();
        // Both are merged in the order of ids, so that which job takes resources first does not depend
        // on why it is inspected.
        loop {
            let next = match (placed.peek(), unplaced.peek()) {
                (Some((placed_id, _)), Some((unplaced_id, _))) if unplaced_id < placed_id => {
                    unplaced.next()
                }
                (None, _) => unplaced.next(),
                _ => placed.next(),
            };
            let Some((id, slot)) = next else { break };
            if let Some((id, job)) = self.context.jobs.get_key_value(id)
                && let Some(queued) = backlog.job(slot)
            {
                self.snapshot.inspected.push(slot);
                let entry = self.inspect(id, job, queued);
                self.snapshot.entries.extend(entry);
            }
        }
        self.add_unrecorded_tasks();
        self.snapshot
    }

    /// Jobs to inspect that have no placed task, in the order of their ids.
    fn unplaced_jobs_to_inspect(&self) -> impl Iterator<Item = (&'a str, Slot)> + use<'s, 'a> {
        let leader = self.leader;
        let mut ids: BTreeSet<&str> = leader.edits.jobs().collect();
        ids.extend(leader.troubles.keys().map(String::as_str));
        ids.extend(leader.reserved.values().map(|(job, _)| job.as_str()));
        let backlog = self.context.backlog;
        let find_unplaced = move |id: &str| {
            let (slot, queued) = backlog.find(id)?;
            (queued.state != QueueState::Placed).then_some((&*queued.id, slot))
        };
        ids.into_iter().filter_map(find_unplaced)
    }

    /// Inspects one job: takes the resources of its tasks, takes note of what is to be done about it,
    /// and returns its queue entry if it has tasks to start.
    fn inspect(
        &mut self,
        id: &'a str,
        job: &'a Job,
        queued: &'a QueuedJob,
    ) -> Option<QueueEntry<'a>> {
        if queued.state == QueueState::Needs {
            // None of its tasks starts before the jobs that it depends on are recorded as done, so it
            // takes no resources and no position in the queue, and blocks no other job.
            return None;
        }
        let inspected = self.inspected_job(id, job, queued);
        let tally = self.tally_attempts(&inspected);
        let findings = &mut self.snapshot.findings;
        findings.placed_tasks += tally.present.len() + tally.lost;
        if !queued.active {
            if tally.present.is_empty() && !inspected.in_flight {
                findings.cleanable_jobs.push(id.to_string());
            }
            return None;
        }
        // The members of a gang complete together: when one has reported that it is done, the others
        // are not lost.
        if tally.gang_is_done {
            return None;
        }
        if inspected.kind() == JobKind::Gang && !tally.present.is_empty() {
            if tally.lost > 0 {
                self.add_broken_gang(id, &tally);
            }
            return None;
        }
        if self.must_wait(&inspected, &tally) {
            return None;
        }
        self.queue_entry(&inspected, tally)
    }

    fn inspected_job(&self, id: &'a str, job: &'a Job, queued: &'a QueuedJob) -> InspectedJob<'a> {
        let leader = self.leader;
        InspectedJob {
            id,
            job,
            queued,
            profile: self.context.backlog.profile_of(queued),
            pending_placements: leader.edits.places(id).collect(),
            in_flight: leader.edits.in_flight(id),
            stops: leader.stopping.get(id),
            start_order: leader.order_of.get(id),
            guaranteed: self.context.guaranteed(queued),
            priority: self.context.lifted.of(id, job),
        }
    }

    /// Adds up all attempts of a job, and takes their resources.
    fn tally_attempts(&mut self, inspected: &InspectedJob<'a>) -> AttemptTally {
        let mut tally = AttemptTally::default();
        // A task with a pending placement has been proven gone from its recorded machine. If the
        // recorded attempt counted as lost beside the new one, a gang would be taken for broken before
        // it has started.
        for attempt in inspected.job.entries() {
            if !inspected.has_pending_placement(attempt.task()) {
                self.tally_attempt(inspected, attempt, true, &mut tally);
            }
        }
        for attempt in &inspected.pending_placements {
            self.tally_attempt(inspected, attempt, false, &mut tally);
        }
        tally
    }

    fn tally_attempt(
        &mut self,
        inspected: &InspectedJob<'a>,
        attempt: &'a TaskEntry,
        is_recorded: bool,
        tally: &mut AttemptTally,
    ) {
        let Some(machine) = attempt.machine() else {
            return;
        };
        let task = attempt.task();
        let active = inspected.queued.active;
        let LocatedAttempt { liveness, host } = self.locate(inspected.id, attempt, machine);
        let presumed = liveness.presumed(|| active && self.leader.wanted(inspected.id, attempt));
        if is_recorded {
            tally.add_recorded(task, liveness, presumed);
        }
        if !presumed {
            tally.lost += 1;
            let is_done = liveness == TaskLiveness::Ended(ExitReason::Done);
            if is_done && active && !inspected.in_flight {
                tally.gang_is_done = inspected.kind() == JobKind::Gang;
                self.snapshot.findings.done_tasks.push(TaskRef {
                    job: inspected.id.to_string(),
                    task,
                });
            }
            return;
        }
        tally.latest_attempt = tally.latest_attempt.max(attempt.attempt());
        tally.is_running |= liveness == TaskLiveness::Present(TaskPhase::Running);
        if inspected.kind() == JobKind::Gang {
            tally.members.push((task, liveness));
        }
        let zone = match host {
            Some(host) => Some(self.occupy_host(inspected, attempt, host, liveness)),
            None => self.zone_off_table(machine),
        };
        tally.has_unknown_zone |= zone.is_none();
        tally.present.push((zone.unwrap_or(UNKNOWN_ZONE), host));
        let need = &inspected.queued.need;
        let class = inspected.profile.class;
        self.snapshot.quotas.take(inspected.profile.team, need);
        *self.snapshot.usage_by_class.entry(class).or_default() += size(&self.cluster_total, need);
    }

    /// Finds out whether an attempt runs, with a single lookup of its machine.
    fn locate(&self, id: &str, attempt: &'a TaskEntry, machine: &str) -> LocatedAttempt {
        let host = self.snapshot.host_table.find(machine);
        let liveness = match host {
            Some(index) => self.snapshot.host_table.agents[index].standing(
                self.leader.term,
                id,
                attempt.task(),
                attempt.attempt(),
                attempt.agent_epoch(),
            ),
            None => self.leader.standing(id, attempt),
        };
        LocatedAttempt { liveness, host }
    }

    /// Takes the resources of an attempt on its host, and returns the host's zone.
    fn occupy_host(
        &mut self,
        inspected: &InspectedJob<'a>,
        attempt: &TaskEntry,
        host_index: usize,
        liveness: TaskLiveness,
    ) -> u32 {
        let task = attempt.task();
        let need = &inspected.queued.need;
        let host = &mut self.snapshot.host_table.hosts[host_index];
        host.take(need);
        host.gets(inspected.queued.image);
        if inspected.is_stopping(task) {
            add(&mut host.leaving, need);
        }
        let zone = host.zone;
        if liveness == TaskLiveness::Present(TaskPhase::Running) {
            self.save_before_reclaim(inspected, task, host_index);
        }
        if inspected.is_preemptible(task) {
            let preemptible = preemptible_task(inspected, attempt, host_index);
            self.snapshot.preemptible.push(preemptible);
        }
        zone
    }

    /// Stops a running task that can save if its spot instance is about to be reclaimed and enough time
    /// for that is left. A gang stops as a whole.
    fn save_before_reclaim(&mut self, inspected: &InspectedJob<'a>, task: u32, host: usize) {
        let spec = inspected.spec();
        let grace_s = grace(inspected.job);
        let reclaimed_at = self.snapshot.host_table.agents[host].notice;
        let saved_at = self.clock.now + Micros::secs(spec.save_s);
        if grace_s > 0.0 && reclaimed_at.is_some_and(|at| at > saved_at) {
            let tasks = tasks_stopped_with(spec, task);
            self.add_stops(inspected.id, tasks, grace_s);
        }
    }

    fn add_stops(&mut self, id: &str, tasks: impl Iterator<Item = u32>, grace_s: f64) {
        let stops = tasks.map(|task| TaskStop {
            job: id.to_string(),
            task,
            grace_s,
        });
        self.snapshot.findings.stops.extend(stops);
    }

    /// The zone of a machine that is not in the host table, if it is known.
    fn zone_off_table(&self, machine: &str) -> Option<u32> {
        let zone = self.leader.zone_of(machine)?;
        self.context.backlog.names.find(&zone)
    }

    /// Takes note of a gang that has lost a member, and stops the other members at once, unless one of
    /// them is saving a checkpoint.
    fn add_broken_gang(&mut self, id: &str, tally: &AttemptTally) {
        self.snapshot.findings.broken_gangs.push(BrokenGang {
            job: id.to_string(),
            attempt: tally.latest_attempt,
        });
        let saving = TaskLiveness::Present(TaskPhase::Saving);
        let mut members = tally.members.iter();
        if members.all(|(_, liveness)| *liveness != saving) {
            let tasks = tally.members.iter().map(|(task, _)| *task);
            self.add_stops(id, tasks, 0.0);
        }
    }

    /// Whether no task of a job may start now.
    fn must_wait(&mut self, inspected: &InspectedJob<'a>, tally: &AttemptTally) -> bool {
        let queued = inspected.queued;
        let spec = inspected.spec();
        // The retry backoff of a failing job does not apply while tasks of it are running.
        let failures = self.leader.troubles.get(inspected.id);
        let in_backoff = failures.is_some_and(|failures| failures.again > self.clock.now)
            && !tally.is_running
            && queued.unfinished == queued.tasks;
        // Replicas of a service may be placed while others are being written: if they had to wait, jobs
        // that arrived later would take their resources. For other jobs the pending change may be an
        // end.
        if (inspected.in_flight && spec.kind != JobKind::Service) || in_backoff {
            self.snapshot.findings.has_backoff |= in_backoff;
            return true;
        }
        // Zone constraints cannot be checked against tasks whose zones are unknown.
        spec.zoned() && tally.has_unknown_zone
    }

    /// The queue entry of a job, if it has tasks to start.
    fn queue_entry(
        &mut self,
        inspected: &InspectedJob<'a>,
        tally: AttemptTally,
    ) -> Option<QueueEntry<'a>> {
        let tasks = self.startable_tasks(inspected, &tally);
        if tasks.is_empty() {
            return None;
        }
        let is_displaced = |task: &&u32| tally.displaced.binary_search(task).is_ok();
        let lost = tasks.iter().filter(is_displaced).count();
        let lost_tasks = &mut self.snapshot.findings.lost_tasks;
        lost_tasks.add(inspected.kind(), lost);
        let mut entry =
            self.context
                .queue_entry(inspected.id, inspected.job, inspected.queued, tasks);
        entry.present = tally.present;
        entry.lost = lost as u32;
        if let Some(failures) = self.leader.troubles.get(inspected.id) {
            let machines = failures.machines.keys();
            let host_table = &self.snapshot.host_table;
            entry.shape.avoid = machines
                .filter_map(|machine| host_table.find(machine))
                .collect();
        }
        Some(entry)
    }

    /// The tasks of a job that may start now. A failing array starts a single task.
    fn startable_tasks(&self, inspected: &InspectedJob<'a>, tally: &AttemptTally) -> Vec<u32> {
        let leader = self.leader;
        let is_taken = |task: u32| {
            tally.occupied.binary_search(&task).is_ok()
                || inspected.has_pending_placement(task)
                || leader.edits.finishing(inspected.id, task)
        };
        let mut tasks = unfinished_tasks(inspected.job, is_taken);
        let failures = leader.troubles.get(inspected.id);
        let is_failing = failures.is_some_and(|failures| {
            let recovered = tally.is_running && failures.quiet(self.clock.now);
            failures.jobs_fault() && !recovered
        });
        if inspected.kind() == JobKind::Array && is_failing {
            // One task shows whether the job still fails. A hundred would take a hundred places, and as
            // many writes to the store.
            tasks.truncate(usize::from(tally.present.is_empty()));
        }
        tasks
    }

    /// Takes the resources of tasks that agents report but no record places, on their machines and from
    /// the quotas of their teams. Nothing is placed on a machine with a task of an unknown job.
    fn add_unrecorded_tasks(&mut self) {
        let context = self.context;
        let leader = self.leader;
        let host_table = &mut self.snapshot.host_table;
        let quotas = &mut self.snapshot.quotas;
        for (agent, host) in host_table.agents.iter().zip(&mut host_table.hosts) {
            let reported = agent.tasks.iter();
            for status in reported.filter(|status| status.phase != TaskPhase::Exited) {
                let Some(job) = context.jobs.get(&status.job) else {
                    host.open = false;
                    continue;
                };
                let places_it = |entry: &TaskEntry| {
                    let attempt = (entry.task(), entry.attempt());
                    attempt == (status.task, status.attempt) && entry.machine().is_some()
                };
                if !job.entry(status.task).is_some_and(places_it)
                    && !leader.edits.places(&status.job).any(places_it)
                    && let Some((_, queued)) = context.backlog.find(&status.job)
                {
                    host.take(&queued.need);
                    let team = context.backlog.profile_of(queued).team;
                    quotas.take(team, &queued.need);
                }
            }
        }
    }
}

fn preemptible_task<'a>(
    inspected: &InspectedJob<'a>,
    attempt: &TaskEntry,
    host: usize,
) -> PreemptibleTask<'a> {
    let spec = inspected.spec();
    let task = attempt.task();
    let stops_alone = spec.kind == JobKind::Array || spec.tasks == 1;
    let order = inspected.start_order.and_then(|order| order.get(&task));
    PreemptibleTask {
        job: inspected.id,
        task,
        host,
        need: inspected.queued.need,
        order: order.copied().unwrap_or(0),
        backfilled: attempt.backfilled(),
        priority: inspected.priority,
        saves: stops_alone && spec.saves(),
        save_s: spec.save_s,
        team: inspected.profile.team,
        surplus: !inspected.guaranteed,
        single: spec.kind == JobKind::Array,
        class: inspected.profile.class,
        spared: false,
    }
}

/// Tasks of a job that are neither done nor taken. At most as many as one pass would start, except for
/// gangs.
fn unfinished_tasks(job: &Job, is_taken: impl Fn(u32) -> bool) -> Vec<u32> {
    let spec = &job.rec.spec;
    let limit = match spec.kind {
        JobKind::Gang => spec.tasks as usize,
        JobKind::Array | JobKind::Service => WIDE_MOST,
    };
    let mut tasks = Vec::new();
    for chunk in 0..spec.tasks.div_ceil(CHUNK) {
        let first = chunk * CHUNK;
        let done = job.chunk_of(first).map_or(0, |chunk| chunk.done);
        let chunk_tasks = first..spec.tasks.min(first + CHUNK);
        let is_open = |task: &u32| done & (1 << (task % CHUNK)) == 0 && !is_taken(*task);
        tasks.extend(chunk_tasks.filter(is_open).take(limit - tasks.len()));
        if tasks.len() >= limit {
            break;
        }
    }
    tasks
}
