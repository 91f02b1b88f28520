//! The jobs over which a pass iterates without inspecting them: those in the queue that have no placed
//! task.

use crate::protocol::{JobKind, Micros, Priority};
use crate::scheduling::backfill::{QueueEntry, max_startable_tasks};
use crate::scheduling::job_queue::{
    Arrival, GuaranteeWindow, JobProfile, JobQueue, JobSummary, QueueState, QueuedJob, Slot,
};
use crate::scheduling::priority_inheritance::InheritedPriorities;
use crate::state::record_cache::Job;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A guaranteed job that has waited this long may also preempt gangs that other teams run beyond their
/// guarantees. Longer than machines usually take to boot.
const OVERDUE_AFTER: Micros = Micros::millis(60_000);

/// Behind a blocked job the shortest jobs are backfilled first, but jobs that have waited this long come
/// before them, in order of arrival. Otherwise the longest jobs would wait as long as shorter ones keep
/// arriving.
const STARVED_AFTER: Micros = Micros::millis(120_000);

/// A gang that has waited this long no longer waits for other tasks to end. About as long as it takes
/// for a place to become free by itself where tasks are short.
const AGED_AFTER: Micros = Micros::millis(20_000);

/// What a pass has to know about any job besides its record.
pub struct SchedulingContext<'a> {
    /// The queue.
    pub backlog: &'a JobQueue,
    /// All live jobs.
    pub jobs: &'a BTreeMap<String, Job>,
    /// How far the guarantee of each team reaches.
    pub guarantees: GuaranteeWindow,
    /// Priorities of jobs that other jobs depend on.
    pub inherited_priorities: InheritedPriorities<'a>,
    /// The slowest image fetch of any machine type, in GB a second.
    pub fetch_rate: f64,
    /// Wall-clock time.
    pub wall_clock: Micros,
}

impl<'a> SchedulingContext<'a> {
    /// Whether a job fits into its team's guarantee.
    pub fn guaranteed(&self, queued: &QueuedJob) -> bool {
        let team = self.backlog.profile_of(queued).team;
        self.guarantees.covers(team, queued.accepted_at, &queued.id)
    }

    /// Whether a job has waited long enough to preempt gangs beyond another team's guarantee.
    pub fn overdue(&self, queued: &QueuedJob) -> bool {
        self.waited(queued) > OVERDUE_AFTER
    }

    /// Whether a gang has waited long enough to preempt tasks that cannot save.
    pub fn aged(&self, queued: &QueuedJob) -> bool {
        self.waited(queued) > AGED_AFTER
    }

    /// Whether a job has waited long enough to be backfilled before shorter jobs.
    pub fn starved(&self, queued: &QueuedJob) -> bool {
        self.waited(queued) > STARVED_AFTER
    }

    fn waited(&self, queued: &QueuedJob) -> Micros {
        self.wall_clock.since(queued.released_at)
    }

    /// The queue entry of a job with the given tasks to start. The caller fills in the tasks that are
    /// placed or lost, and the machines to avoid.
    pub fn queue_entry(
        &self,
        id: &'a str,
        job: &'a Job,
        queued: &QueuedJob,
        tasks: Vec<u32>,
    ) -> QueueEntry<'a> {
        let spec = &job.record.spec;
        let profile = self.backlog.profile_of(queued);
        QueueEntry {
            id,
            accepted_at: queued.accepted_at,
            spec,
            requirements: self.backlog.requirements(queued),
            team: profile.team,
            feasibility_class: profile.feasibility_class,
            lost_tasks: 0,
            tasks,
            task_locations: Vec::new(),
            fetch_s: spec.image_gb / self.fetch_rate,
            estimate_s: spec.estimate_s,
            priority: self.inherited_priorities.of(id, job),
            guaranteed: self.guaranteed(queued),
            overdue: self.overdue(queued),
            aged: self.aged(queued),
            starved: self.starved(queued),
        }
    }
}

/// Position in the queue: wall-clock time of acceptance, then the job id.
pub type QueuePosition<'a> = (Micros, &'a str);

fn position((accepted_at, id): &Arrival) -> QueuePosition<'_> {
    (*accepted_at, id)
}

/// The sort key of backfilling: starved jobs by arrival, then the others by estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackfillOrder<'a> {
    /// The job has waited long enough to come before shorter ones.
    pub starved: bool,
    /// Estimated run time in seconds; 0 for starved jobs.
    estimate_s: f64,
    /// Position in the queue.
    pub at: QueuePosition<'a>,
}

impl<'a> BackfillOrder<'a> {
    /// The sort key of a job.
    pub fn new(starved: bool, estimate_s: f64, at: QueuePosition<'a>) -> BackfillOrder<'a> {
        BackfillOrder {
            starved,
            estimate_s: if starved { 0.0 } else { estimate_s },
            at,
        }
    }

    /// Compares two jobs; the lesser one is backfilled first.
    pub fn compare(&self, other: &BackfillOrder<'_>) -> Ordering {
        let starved_first = other.starved.cmp(&self.starved);
        let shorter_first = self.estimate_s.total_cmp(&other.estimate_s);
        starved_first
            .then(shorter_first)
            .then(self.at.cmp(&other.at))
    }
}

/// The queued jobs without a placed task, except for those that the pass has inspected.
pub struct PendingJobs<'a> {
    context: &'a SchedulingContext<'a>,
    /// By slot: the pass has inspected the job.
    is_inspected: Vec<bool>,
    count: usize,
}

impl<'a> PendingJobs<'a> {
    /// All queued jobs except those in the `inspected` slots.
    pub fn new(
        context: &'a SchedulingContext<'a>,
        inspected: impl Iterator<Item = Slot>,
    ) -> PendingJobs<'a> {
        let backlog = context.backlog;
        let mut is_inspected = vec![false; backlog.slot_count()];
        let mut count = backlog.queued();
        for slot in inspected {
            if let Some(mark) = is_inspected.get_mut(slot as usize) {
                *mark = true;
            }
            let queued = backlog.job(slot);
            let is_queued = queued.is_some_and(|queued| queued.state == QueueState::Queued);
            count -= usize::from(is_queued);
        }
        PendingJobs {
            context,
            is_inspected,
            count,
        }
    }

    fn is_pending(&self, summary: &JobSummary) -> bool {
        !self.is_inspected[summary.slot as usize]
    }

    fn queued_job(&self, summary: &JobSummary) -> Option<&'a QueuedJob> {
        self.context.backlog.job(summary.slot)
    }

    /// Number of jobs.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Services in order of arrival.
    pub fn services(&self) -> impl Iterator<Item = (QueuePosition<'a>, &'a JobSummary)> + '_ {
        self.in_order_of_arrival(self.context.backlog.services())
    }

    /// Gangs and arrays in order of arrival.
    pub fn batch_jobs(&self) -> impl Iterator<Item = (QueuePosition<'a>, &'a JobSummary)> + '_ {
        self.in_order_of_arrival(self.context.backlog.batch_jobs())
    }

    fn in_order_of_arrival(
        &self,
        jobs: impl Iterator<Item = (&'a Arrival, &'a JobSummary)>,
    ) -> impl Iterator<Item = (QueuePosition<'a>, &'a JobSummary)> {
        jobs.filter(|(_, summary)| self.is_pending(summary))
            .map(|(arrival, summary)| (position(arrival), summary))
    }

    /// Gangs and arrays in the order in which they are backfilled: starved jobs by arrival, then the
    /// shortest first.
    pub fn in_backfill_order(
        &self,
    ) -> impl Iterator<Item = (BackfillOrder<'a>, &'a JobSummary)> + '_ {
        let starved = self
            .batch_jobs()
            .filter(|(_, summary)| self.starved(summary))
            .map(|(position, summary)| (BackfillOrder::new(true, 0.0, position), summary));
        let by_estimate = self.context.backlog.batch_by_estimate();
        let not_starved = by_estimate
            .filter(|(_, summary)| self.is_pending(summary) && !self.starved(summary))
            .map(|((estimate, arrival), summary)| {
                (
                    BackfillOrder::new(false, estimate.0, position(arrival)),
                    summary,
                )
            });
        starved.chain(not_starved)
    }

    /// The profile of a job.
    pub fn profile_of(&self, summary: &JobSummary) -> &'a JobProfile {
        self.context.backlog.profile(summary.profile)
    }

    /// How many different searches for free resources there are. Profiles number them from 0.
    pub fn feasibility_classes(&self) -> usize {
        self.context.backlog.feasibility_classes()
    }

    /// Whether a job fits into its team's guarantee.
    pub fn guaranteed(&self, team: u32, (accepted_at, id): QueuePosition<'_>) -> bool {
        self.context.guarantees.covers(team, accepted_at, id)
    }

    /// Whether a job has waited long enough to preempt gangs beyond another team's guarantee.
    pub fn overdue(&self, summary: &JobSummary) -> bool {
        let queued = self.queued_job(summary);
        queued.is_some_and(|queued| self.context.overdue(queued))
    }

    /// Whether a gang has waited long enough to preempt tasks that cannot save.
    pub fn aged(&self, summary: &JobSummary) -> bool {
        let queued = self.queued_job(summary);
        queued.is_some_and(|queued| self.context.aged(queued))
    }

    fn starved(&self, summary: &JobSummary) -> bool {
        let queued = self.queued_job(summary);
        queued.is_some_and(|queued| self.context.starved(queued))
    }

    /// The highest priority of a job and of the jobs that depend on it.
    pub fn priority(&self, profile: &JobProfile, id: &str) -> Priority {
        self.context
            .inherited_priorities
            .highest(id, profile.priority)
    }

    /// The job with this id.
    pub fn job(&self, id: &str) -> Option<(&'a String, &'a Job)> {
        self.context.jobs.get_key_value(id)
    }

    /// The id and the record of a job.
    pub fn job_of(&self, summary: &JobSummary) -> Option<(&'a String, &'a Job)> {
        self.job(&self.queued_job(summary)?.id)
    }

    /// The queue entry of a job, with as many of its tasks as one pass would start.
    pub fn queue_entry(&self, summary: &JobSummary) -> Option<QueueEntry<'a>> {
        debug_assert!(self.is_pending(summary));
        let queued = self.queued_job(summary)?;
        let (id, job) = self.job(&queued.id)?;
        let is_gang = self.profile_of(summary).kind == JobKind::Gang;
        let limit = max_startable_tasks(is_gang, summary) as usize;
        let unfinished = (0..job.record.spec.tasks).filter(|task| !job.is_done(*task));
        let tasks = unfinished.take(limit).collect();
        Some(self.context.queue_entry(id, job, queued, tasks))
    }
}
