//! The queued jobs without a placed task, over which a pass iterates without inspecting them.

use crate::protocol::{JobKind, Micros, Priority};
use crate::scheduling::backfill::{QueueEntry, max_startable_tasks};
use crate::scheduling::job_queue::{
    Arrival, GuaranteeCutoffs, JobProfile, JobQueue, JobSummary, QueueState, QueuedJob, Slot,
};
use crate::scheduling::priority_inheritance::InheritedPriorities;
use crate::state::record_cache::Job;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A guaranteed job that has waited this long may also preempt gangs that other teams run beyond their
/// guarantees. Longer than machines usually take to boot.
const OVERDUE_AFTER: Micros = Micros::millis(60_000);

/// Behind a blocked job the shortest jobs are backfilled first, except that jobs that have waited this long
/// come before them, in order of arrival. Otherwise the longest jobs would starve while shorter ones keep
/// arriving.
const STARVED_AFTER: Micros = Micros::millis(120_000);

/// A gang that has waited this long may preempt tasks that cannot save checkpoints instead of waiting for
/// them to end. About the time in which capacity becomes free without preemption where tasks are short.
const AGED_AFTER: Micros = Micros::millis(20_000);

/// The data, besides job records, that queue entries are built from.
pub struct SchedulingContext<'a> {
    /// Queue state of all live jobs.
    pub job_queue: &'a JobQueue,
    /// All live jobs.
    pub jobs: &'a BTreeMap<String, Job>,
    /// By team: the last job that its guarantee covers.
    pub guarantee_cutoffs: GuaranteeCutoffs,
    /// Priorities that jobs inherit from the jobs that depend on them.
    pub inherited_priorities: InheritedPriorities<'a>,
    /// The lowest image fetch rate of any machine type, in GB per second.
    pub slowest_fetch_gb_per_s: f64,
    /// Wall-clock time.
    pub wall_clock: Micros,
}

impl<'a> SchedulingContext<'a> {
    /// Whether a job fits into its team's guarantee.
    pub fn guaranteed(&self, queued: &QueuedJob) -> bool {
        let team = self.job_queue.profile_of(queued).team;
        self.guarantee_cutoffs
            .covers(team, queued.accepted_at, &queued.id)
    }

    /// Whether a job has waited long enough to preempt gangs beyond another team's guarantee.
    pub fn overdue(&self, queued: &QueuedJob) -> bool {
        self.waited(queued) > OVERDUE_AFTER
    }

    /// Whether a gang has waited long enough to preempt tasks that cannot save checkpoints.
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

    /// The queue entry of a job with the given tasks to start. The caller sets the placed tasks, the lost
    /// tasks and the machines to avoid.
    pub fn queue_entry(
        &self,
        id: &'a str,
        job: &'a Job,
        queued: &QueuedJob,
        tasks: Vec<u32>,
    ) -> QueueEntry<'a> {
        let spec = &job.record.spec;
        let profile = self.job_queue.profile_of(queued);
        QueueEntry {
            id,
            accepted_at: queued.accepted_at,
            spec,
            requirements: self.job_queue.requirements(queued),
            team: profile.team,
            feasibility_class: profile.feasibility_class,
            lost_tasks: 0,
            tasks,
            task_locations: Vec::new(),
            fetch_s: spec.image_gb / self.slowest_fetch_gb_per_s,
            estimate_s: spec.estimate_s,
            priority: self.inherited_priorities.effective_priority(id, job),
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

/// Sort key for backfilling: starved jobs by arrival, then the others by estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackfillOrder<'a> {
    /// The job has waited long enough to come before shorter ones.
    pub starved: bool,
    /// Estimated run time in seconds; 0 for starved jobs.
    estimate_s: f64,
    /// Position in the queue.
    pub position: QueuePosition<'a>,
}

impl<'a> BackfillOrder<'a> {
    /// The sort key of a job.
    pub fn new(starved: bool, estimate_s: f64, position: QueuePosition<'a>) -> BackfillOrder<'a> {
        BackfillOrder {
            starved,
            estimate_s: if starved { 0.0 } else { estimate_s },
            position,
        }
    }

    /// Compares two jobs; the lesser one is backfilled first.
    pub fn compare(&self, other: &BackfillOrder<'_>) -> Ordering {
        let starved_first = other.starved.cmp(&self.starved);
        let shorter_first = self.estimate_s.total_cmp(&other.estimate_s);
        starved_first
            .then(shorter_first)
            .then(self.position.cmp(&other.position))
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
        let job_queue = context.job_queue;
        let mut is_inspected = vec![false; job_queue.slot_count()];
        let mut count = job_queue.queued_count();
        for slot in inspected {
            if let Some(is_inspected) = is_inspected.get_mut(slot as usize) {
                *is_inspected = true;
            }
            let queued = job_queue.job(slot);
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
        self.context.job_queue.job(summary.slot)
    }

    /// Number of jobs.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Services in order of arrival.
    pub fn services(&self) -> impl Iterator<Item = (QueuePosition<'a>, &'a JobSummary)> + '_ {
        self.in_order_of_arrival(self.context.job_queue.services())
    }

    /// Gangs and arrays in order of arrival.
    pub fn batch_jobs(&self) -> impl Iterator<Item = (QueuePosition<'a>, &'a JobSummary)> + '_ {
        self.in_order_of_arrival(self.context.job_queue.batch_jobs())
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
        let by_estimate = self.context.job_queue.batch_by_estimate();
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
        self.context.job_queue.profile(summary.profile_id)
    }

    /// Number of feasibility classes. Their ids count from 0.
    pub fn feasibility_class_count(&self) -> usize {
        self.context.job_queue.feasibility_class_count()
    }

    /// Whether a job fits into its team's guarantee.
    pub fn guaranteed(&self, team: u32, (accepted_at, id): QueuePosition<'_>) -> bool {
        self.context.guarantee_cutoffs.covers(team, accepted_at, id)
    }

    /// Whether a job has waited long enough to preempt gangs beyond another team's guarantee.
    pub fn overdue(&self, summary: &JobSummary) -> bool {
        let queued = self.queued_job(summary);
        queued.is_some_and(|queued| self.context.overdue(queued))
    }

    /// Whether a gang has waited long enough to preempt tasks that cannot save checkpoints.
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
            .effective_priority_from(id, profile.priority)
    }

    /// The job with this id.
    pub fn job(&self, id: &str) -> Option<(&'a String, &'a Job)> {
        self.context.jobs.get_key_value(id)
    }

    /// The id and the record of a job.
    pub fn job_of(&self, summary: &JobSummary) -> Option<(&'a String, &'a Job)> {
        self.job(&self.queued_job(summary)?.id)
    }

    /// The queue entry of a job, with at most as many of its tasks as one pass starts.
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
