//! The jobs that a pass walks past: those in the queue of which nothing is anywhere.

use crate::protocol::{JobKind, Micros, Priority};
use crate::scheduling::backfill::{QueueEntry, far_tasks};
use crate::scheduling::job_queue::{
    Arrival, GuaranteeWindow, JobProfile, JobQueue, JobSummary, QueueState, QueuedJob, Slot,
};
use crate::scheduling::priority_inheritance::InheritedPriorities;
use crate::state::record_cache::Job;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Work within a guarantee that has waited this long, longer than machines usually take to boot, is
/// given room at the cost of other teams' surplus gangs, too.
const OVERDUE: Micros = Micros::millis(60_000);

/// Behind a blocked job the shortest come first; who has waited this long comes before them, in order of arrival.
/// Else the largest of a class wait for as long as shorter ones keep coming.
const STARVED: Micros = Micros::millis(120_000);

/// A gang that has waited this long does not wait for others to end any more: about as long as a place
/// takes to become free by itself where tasks are short.
const AGED: Micros = Micros::millis(20_000);

/// What a pass has to know of any job besides its record.
pub struct SchedulingContext<'a> {
    /// The queue.
    pub backlog: &'a JobQueue,
    /// All live jobs.
    pub jobs: &'a BTreeMap<String, Job>,
    /// How far guarantees reach.
    pub within: GuaranteeWindow,
    /// Priorities of jobs that others need.
    pub lifted: InheritedPriorities<'a>,
    /// The slowest fetch of any machine type, in GB a second.
    pub fetch_rate: f64,
    /// Time of day.
    pub wall: Micros,
}

impl<'a> SchedulingContext<'a> {
    /// Whether a job is within its team's guarantee.
    pub fn guaranteed(&self, row: &QueuedJob) -> bool {
        let team = self.backlog.form_of(row).team;
        self.within.covers(team, row.at, &row.id)
    }

    /// Whether a job has waited for long.
    pub fn overdue(&self, row: &QueuedJob) -> bool {
        self.wall.since(row.released) > OVERDUE
    }

    /// Whether a gang has waited for long enough to take the place of what cannot save.
    pub fn aged(&self, row: &QueuedJob) -> bool {
        self.wall.since(row.released) > AGED
    }

    /// Whether a job has waited for so long that shorter ones no longer come first.
    pub fn starved(&self, row: &QueuedJob) -> bool {
        self.wall.since(row.released) > STARVED
    }

    /// An item for a job with these tasks to start; where its others are is to be filled in.
    pub fn item(
        &self,
        id: &'a str,
        job: &'a Job,
        row: &QueuedJob,
        tasks: Vec<u32>,
    ) -> QueueEntry<'a> {
        let spec = &job.rec.spec;
        QueueEntry {
            id,
            at: row.at,
            spec,
            shape: self.backlog.shape(row),
            team: self.backlog.form_of(row).team,
            reach: self.backlog.form_of(row).reach,
            lost: 0,
            tasks,
            present: Vec::new(),
            fetch_s: spec.image_gb / self.fetch_rate,
            estimate_s: spec.estimate_s,
            priority: self.lifted.of(id, job),
            guaranteed: self.guaranteed(row),
            overdue: self.overdue(row),
            aged: self.aged(row),
            starved: self.starved(row),
        }
    }
}

/// A place in the queue: time of day of the acceptance, then the id.
pub type QueuePosition<'a> = (Micros, &'a str);

fn place((at, id): &Arrival) -> QueuePosition<'_> {
    (*at, id)
}

/// The order of backfilling.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackfillOrder<'a> {
    /// It has waited for very long.
    pub starved: bool,
    estimate: f64,
    /// Place in the queue.
    pub at: QueuePosition<'a>,
}

/// A job's rank there.
pub fn rank(starved: bool, estimate: f64, at: QueuePosition<'_>) -> BackfillOrder<'_> {
    BackfillOrder {
        starved,
        estimate: if starved { 0.0 } else { estimate },
        at,
    }
}

impl BackfillOrder<'_> {
    /// Who comes first.
    pub fn order(&self, o: &BackfillOrder<'_>) -> Ordering {
        let starved = o.starved.cmp(&self.starved);
        let shorter = starved.then(self.estimate.total_cmp(&o.estimate));
        shorter.then(self.at.cmp(&o.at))
    }
}

/// Those jobs, without the ones that a pass has looked into for other reasons.
pub struct PendingJobs<'a> {
    scene: &'a SchedulingContext<'a>,
    near: Vec<bool>,
    count: usize,
}

impl<'a> PendingJobs<'a> {
    /// All but those in these slots.
    pub fn new(
        scene: &'a SchedulingContext<'a>,
        near: impl Iterator<Item = Slot>,
    ) -> PendingJobs<'a> {
        let mut marks = vec![false; scene.backlog.slots()];
        let mut count = scene.backlog.queued();
        for slot in near {
            if let Some(m) = marks.get_mut(slot as usize) {
                *m = true;
            }
            let row = scene.backlog.row(slot);
            count -= usize::from(row.is_some_and(|r| r.stand == QueueState::Queued));
        }
        PendingJobs {
            scene,
            near: marks,
            count,
        }
    }

    fn row_is(
        &self,
        b: &JobSummary,
        is: impl Fn(&SchedulingContext<'a>, &QueuedJob) -> bool,
    ) -> bool {
        let row = self.scene.backlog.row(b.slot);
        row.is_some_and(|r| is(self.scene, r))
    }

    fn far(&self, b: &JobSummary) -> bool {
        !self.near[b.slot as usize]
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Services in order of arrival.
    pub fn replicas(&self) -> impl Iterator<Item = (QueuePosition<'a>, &'a JobSummary)> + '_ {
        let all = self.scene.backlog.replicas();
        all.filter(|(_, b)| self.far(b)).map(|(a, b)| (place(a), b))
    }

    /// Gangs and arrays in order of arrival.
    pub fn others(&self) -> impl Iterator<Item = (QueuePosition<'a>, &'a JobSummary)> + '_ {
        let all = self.scene.backlog.others();
        all.filter(|(_, b)| self.far(b)).map(|(a, b)| (place(a), b))
    }

    fn starved(&self, b: &JobSummary) -> bool {
        self.row_is(b, SchedulingContext::starved)
    }

    /// Gangs and arrays in the order in which they are backfilled: those that have waited for very long by
    /// arrival, then the shortest first.
    pub fn backfilled(&self) -> impl Iterator<Item = (BackfillOrder<'a>, &'a JobSummary)> + '_ {
        let starved = self.others().filter(|(_, b)| self.starved(b));
        let starved = starved.map(|(at, b)| (rank(true, 0.0, at), b));
        let all = self.scene.backlog.shortest();
        let all = all.filter(|(_, b)| self.far(b) && !self.starved(b));
        starved.chain(all.map(|((e, a), b)| (rank(false, e.0, place(a)), b)))
    }

    /// What a job has in common with others.
    pub fn form_of(&self, b: &JobSummary) -> &'a JobProfile {
        self.scene.backlog.form_at(b.form)
    }

    /// How many different searches for room there are.
    pub fn reaches(&self) -> usize {
        self.scene.backlog.reaches()
    }

    /// Whether a job is within its team's guarantee.
    pub fn guaranteed(&self, team: u32, (at, id): QueuePosition<'_>) -> bool {
        self.scene.within.covers(team, at, id)
    }

    /// Whether a job has waited for long.
    pub fn overdue(&self, b: &JobSummary) -> bool {
        self.row_is(b, SchedulingContext::overdue)
    }

    /// Whether a gang has waited for long enough to take the place of what cannot save.
    pub fn aged(&self, b: &JobSummary) -> bool {
        self.row_is(b, SchedulingContext::aged)
    }

    /// The highest priority of a job and of those that need it.
    pub fn priority(&self, form: &JobProfile, id: &str) -> Priority {
        self.scene.lifted.over(id, form.priority)
    }

    /// The job with this id.
    pub fn job(&self, id: &str) -> Option<(&'a String, &'a Job)> {
        self.scene.jobs.get_key_value(id)
    }

    /// The job behind a row.
    pub fn job_of(&self, b: &JobSummary) -> Option<(&'a String, &'a Job)> {
        self.job(&self.scene.backlog.row(b.slot)?.id)
    }

    /// The job as a pass handles it.
    pub fn item(&self, b: &JobSummary) -> Option<QueueEntry<'a>> {
        let row = self.scene.backlog.row(b.slot)?;
        let (id, job) = self.job(&row.id)?;
        debug_assert!(self.far(b));
        let most = far_tasks(self.form_of(b).kind == JobKind::Gang, b) as usize;
        let open = (0..job.rec.spec.tasks).filter(|t| !job.is_done(*t));
        Some(self.scene.item(id, job, row, open.take(most).collect()))
    }
}
