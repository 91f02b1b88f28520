//! The snapshot that a pass works on: free resources, quotas, preemptible tasks and queue entries.
//!
//! It inspects each job that has a placed task, a pending record change, failures or a reservation.
//! Building it changes no state of the leader: `apply_decision` acts on its findings.

use self::attempts::AttemptTally;
use crate::agents::leader_state::LeaderState;
use crate::protocol::agent_api::TaskPhase;
use crate::protocol::records::TaskEntry;
use crate::protocol::{Clock, JobKind, JobSpec, Micros, Priority};
use crate::scheduling::backfill::{PreemptibleTask, QueueEntry};
use crate::scheduling::findings::{IncompleteGang, JobFindings, TaskStop};
use crate::scheduling::job_profile::JobProfile;
use crate::scheduling::job_queue::{QueueState, QueuedJob, Slot};
use crate::scheduling::pass::PassInputs;
use crate::scheduling::pending_jobs::SchedulingContext;
use crate::scheduling::placement::{Resources, add_resources};
use crate::scheduling::quota::QuotaTracker;
use crate::state::agent::TaskLiveness;
use crate::state::record_cache::Job;
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, BTreeSet};

pub use crate::scheduling::host_table::HostTable;

mod attempts;
mod startable;

/// The cluster and the queue at the time of a pass.
pub struct ClusterSnapshot<'a> {
    /// The machines, with their free resources.
    pub host_table: HostTable<'a>,
    /// Resources that each team may still allocate.
    pub quotas: QuotaTracker,
    /// By job class: the sum of the dominant shares of its tasks, as fractions of the cluster.
    pub usage_by_class: HashMap<u32, f64>,
    /// Tasks that may be preempted.
    pub preemptible: Vec<PreemptibleTask<'a>>,
    /// Inspected jobs with tasks to start.
    pub entries: Vec<QueueEntry<'a>>,
    /// Slots of all inspected jobs.
    pub inspected: Vec<Slot>,
    /// Other results of inspecting the jobs.
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

/// A job under inspection, with the leader's state for it.
struct InspectedJob<'a> {
    id: &'a str,
    job: &'a Job,
    queued: &'a QueuedJob,
    profile: &'a JobProfile,
    /// Placements that are not on record yet.
    pending_placements: Vec<&'a TaskEntry>,
    /// A write of its record is in flight.
    in_flight: bool,
    /// By task: requested stops, with grace period in seconds and request time.
    stops: Option<&'a BTreeMap<u32, (f64, Micros)>>,
    /// By task: its position in the order of all task starts.
    start_order: Option<&'a BTreeMap<u32, u64>>,
    guaranteed: bool,
    priority: Priority,
}

impl InspectedJob<'_> {
    fn spec(&self) -> &JobSpec {
        &self.job.record.spec
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

impl<'s, 'a> SnapshotBuilder<'s, 'a> {
    /// Starts from machines with all resources free and quotas of which nothing is used.
    pub fn new(
        inputs: &PassInputs<'a>,
        context: &'s SchedulingContext<'a>,
        host_table: HostTable<'a>,
        quotas: QuotaTracker,
    ) -> SnapshotBuilder<'s, 'a> {
        let mut cluster_total = [0.0; 3];
        for host in &host_table.hosts {
            add_resources(&mut cluster_total, &host.total);
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
        let job_queue = self.context.job_queue;
        let mut unplaced = self.unplaced_jobs_to_inspect().peekable();
        let mut placed = job_queue.placed().peekable();
        // Merges both lists in the order of ids, so that the order in which jobs are inspected does not
        // depend on which list they come from.
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
                && let Some(queued) = job_queue.job(slot)
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
        let mut ids: BTreeSet<&str> = leader.record_writer.jobs().collect();
        ids.extend(leader.failure_histories.keys().map(String::as_str));
        ids.extend(leader.reserved.values().map(|(job, _)| job.as_str()));
        let job_queue = self.context.job_queue;
        let find_unplaced = move |id: &str| {
            let (slot, queued) = job_queue.find(id)?;
            (queued.state != QueueState::Placed).then_some((&*queued.id, slot))
        };
        ids.into_iter().filter_map(find_unplaced)
    }

    /// Inspects one job: deducts the resources of its tasks, adds findings that need an action, and
    /// returns its queue entry if it has tasks to start.
    fn inspect(
        &mut self,
        id: &'a str,
        job: &'a Job,
        queued: &'a QueuedJob,
    ) -> Option<QueueEntry<'a>> {
        if queued.state == QueueState::AwaitingDependencies {
            // Its tasks start only after the jobs that it depends on are recorded as done. Until then it
            // uses no resources, has no position in the queue and blocks no other job.
            return None;
        }
        let inspected = self.inspected_job(id, job, queued);
        let tally = self.tally_attempts(&inspected);
        let findings = &mut self.snapshot.findings;
        findings.placed_tasks += tally.present.len() + tally.ended_attempts;
        if !queued.active {
            if tally.present.is_empty() && !inspected.in_flight {
                findings.cleanable_jobs.push(id.to_string());
            }
            return None;
        }
        // The members of a gang complete together: once one of them is reported done, missing members
        // do not make the gang incomplete.
        if tally.gang_is_done {
            return None;
        }
        if inspected.kind() == JobKind::Gang && !tally.present.is_empty() {
            if tally.ended_attempts > 0 {
                self.add_incomplete_gang(id, &tally);
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
            profile: self.context.job_queue.profile_of(queued),
            pending_placements: leader.record_writer.unrecorded_placements(id).collect(),
            in_flight: leader.record_writer.in_flight(id),
            stops: leader.stopping.get(id),
            start_order: leader.start_order.get(id),
            guaranteed: self.context.guaranteed(queued),
            priority: self
                .context
                .inherited_priorities
                .effective_priority(id, job),
        }
    }

    /// Adds stops of some tasks of a job to the findings.
    fn add_stops(&mut self, id: &str, tasks: impl Iterator<Item = u32>, grace_s: f64) {
        let stops = tasks.map(|task| TaskStop {
            job: id.to_string(),
            task,
            grace_s,
        });
        self.snapshot.findings.stops.extend(stops);
    }

    /// Adds a gang that has lost a member to the findings, and stops the other members at once unless one
    /// of them is saving a checkpoint.
    fn add_incomplete_gang(&mut self, id: &str, tally: &AttemptTally) {
        self.snapshot
            .findings
            .incomplete_gangs
            .push(IncompleteGang {
                job: id.to_string(),
                attempt: tally.latest_attempt,
            });
        let saving = TaskLiveness::Present(TaskPhase::Saving);
        let mut members = tally.gang_members.iter();
        if members.all(|(_, liveness)| *liveness != saving) {
            let tasks = tally.gang_members.iter().map(|(task, _)| *task);
            self.add_stops(id, tasks, 0.0);
        }
    }

    /// Whether all tasks of a job have to wait in this pass.
    fn must_wait(&mut self, inspected: &InspectedJob<'a>, tally: &AttemptTally) -> bool {
        let queued = inspected.queued;
        let spec = inspected.spec();
        // The retry backoff applies only while the job runs no task and has completed none.
        let failures = self.leader.failure_histories.get(inspected.id);
        let in_backoff = failures.is_some_and(|failures| failures.retry_at > self.clock.now)
            && !tally.has_running_task
            && queued.unfinished == queued.tasks;
        // A service may place replicas while a write of its record is in flight: if they had to wait,
        // jobs that arrived later would take the resources. For other jobs the write may record
        // completion.
        if (inspected.in_flight && spec.kind != JobKind::Service) || in_backoff {
            self.snapshot.findings.has_backoff |= in_backoff;
            return true;
        }
        // A zone constraint cannot be checked while the zone of a placed task is unknown.
        spec.has_zone_constraint() && tally.has_unknown_zone
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
        let is_lost = |task: &&u32| tally.lost_tasks.binary_search(task).is_ok();
        let lost_count = tasks.iter().filter(is_lost).count();
        let lost_tasks = &mut self.snapshot.findings.lost_tasks;
        lost_tasks.add(inspected.kind(), lost_count);
        let mut entry =
            self.context
                .queue_entry(inspected.id, inspected.job, inspected.queued, tasks);
        entry.task_locations = tally.present;
        entry.lost_tasks = lost_count as u32;
        if let Some(failures) = self.leader.failure_histories.get(inspected.id) {
            let machines = failures.machines.keys();
            let host_table = &self.snapshot.host_table;
            entry.requirements.avoided_hosts = machines
                .filter_map(|machine| host_table.find(machine))
                .collect();
        }
        Some(entry)
    }

    /// Deducts the resources of tasks that agents report but that have no placement on record or pending,
    /// both on their machines and from the quotas of their teams. A machine with a task of an unknown job
    /// accepts no new tasks.
    fn add_unrecorded_tasks(&mut self) {
        let context = self.context;
        let leader = self.leader;
        let host_table = &mut self.snapshot.host_table;
        let quotas = &mut self.snapshot.quotas;
        for (agent, host) in host_table.agents.iter().zip(&mut host_table.hosts) {
            let reported = agent.tasks.iter();
            for status in reported.filter(|status| status.phase != TaskPhase::Exited) {
                let Some(job) = context.jobs.get(&status.job) else {
                    host.schedulable = false;
                    continue;
                };
                let matches_placement = |entry: &TaskEntry| {
                    let attempt = (entry.task(), entry.attempt());
                    attempt == (status.task, status.attempt) && entry.machine().is_some()
                };
                if !job.entry(status.task).is_some_and(matches_placement)
                    && !leader
                        .record_writer
                        .unrecorded_placements(&status.job)
                        .any(matches_placement)
                    && let Some((_, queued)) = context.job_queue.find(&status.job)
                {
                    host.allocate(&queued.need);
                    let team = context.job_queue.profile_of(queued).team;
                    quotas.deduct(team, &queued.need);
                }
            }
        }
    }
}
