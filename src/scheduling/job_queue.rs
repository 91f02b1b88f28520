//! The job queue, which is updated from pass to pass instead of being rebuilt for each.
//!
//! For every live job it stores what a pass needs, in numbers, and keeps the orders in which passes
//! iterate: by arrival, by estimate, and by arrival within a team. A change of a job's record moves that
//! job alone. Jobs with a task on a machine are listed separately: the size of the fleet bounds their
//! number, while nothing bounds the number of the others. So a pass inspects the former, and only
//! iterates over the latter.
//!
//! All of it follows from the records. A new leader builds the queue from them, and in debug builds each
//! pass compares the queue with one that is built anew.

use crate::protocol::{JobKind, Micros};
use crate::scheduling::job_profile::ProfileTable;
use crate::scheduling::placement::{
    NameTable, Resources, TaskRequirements, dominant_share, task_resources,
};
use crate::state::record_cache::Job;
use foldhash::HashMap;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

pub use crate::scheduling::guarantee::GuaranteeWindow;
pub use crate::scheduling::job_profile::JobProfile;

mod consistency;

/// Position in the queue: wall-clock time of acceptance, then the job id.
pub type Arrival = (Micros, Arc<str>);
/// Index of a job in the queue's table. Slots are reused.
pub type Slot = u32;

/// The part of a job that iterating over it needs. The orders store it themselves: looking up each job
/// in the table would cost more than the rest of the iteration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobSummary {
    /// Slot of the job.
    pub slot: Slot,
    /// Number of its profile.
    pub profile: u32,
    /// Resources that one task needs.
    pub need: Resources,
    /// Number of tasks that are not done.
    pub unfinished: u32,
}

/// An estimated run time in seconds, with a total order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate(pub f64);

impl Eq for Estimate {}

impl Ord for Estimate {
    fn cmp(&self, other: &Estimate) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Estimate {
    fn partial_cmp(&self, other: &Estimate) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Why a live job is, or is not, in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueState {
    /// Depends on jobs that are not done: not in the queue.
    AwaitingDependencies,
    /// In the queue, and none of its tasks is placed on record.
    Queued,
    /// A task of it is placed on record, whether or not the job has ended.
    Placed,
}

/// One live job.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedJob {
    /// Job id.
    pub id: Arc<str>,
    /// Wall-clock time of acceptance.
    pub accepted_at: Micros,
    /// Wall-clock time when the last job that it depends on was done, or its acceptance.
    pub released_at: Micros,
    /// The owner's estimate of the run time.
    pub estimate: Estimate,
    /// Resources that one task needs.
    pub need: Resources,
    /// Number of its profile.
    pub profile: u32,
    /// Image, as the number of its name.
    pub image: u32,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of tasks that are not done.
    pub unfinished: u32,
    /// Whether it is in the queue.
    pub state: QueueState,
    /// The job has neither ended nor been cancelled.
    pub active: bool,
}

impl QueuedJob {
    fn arrival(&self) -> Arrival {
        (self.accepted_at, self.id.clone())
    }

    fn summary(&self, slot: Slot) -> JobSummary {
        JobSummary {
            slot,
            profile: self.profile,
            need: self.need,
            unfinished: self.unfinished,
        }
    }

    /// Whether the job counts towards its team's guarantee.
    fn counts_for_team(&self) -> bool {
        self.active && self.state != QueueState::AwaitingDependencies
    }

    /// Its demand, in machines of the typical size.
    fn demand(&self, typical_host: &Resources) -> f64 {
        f64::from(self.tasks) * dominant_share(typical_host, &self.need)
    }
}

/// The queue.
#[derive(Debug, Default)]
pub struct JobQueue {
    /// Numbers of names that the queued jobs refer to.
    pub names: NameTable,
    /// Size of the name table after the first pass.
    initial_names: Option<usize>,
    is_built: bool,
    jobs: Vec<Option<QueuedJob>>,
    unused_slots: Vec<Slot>,
    // Clients choose the ids: unlike the others, the standard hasher resists deliberate collisions.
    by_id: std::collections::HashMap<Arc<str>, Slot>,
    profiles: ProfileTable,
    /// Queued services.
    services: BTreeMap<Arrival, JobSummary>,
    /// Queued gangs and arrays.
    batch_jobs: BTreeMap<Arrival, JobSummary>,
    /// Queued gangs and arrays by estimate.
    batch_by_estimate: BTreeMap<(Estimate, Arrival), JobSummary>,
    placed: BTreeMap<Arc<str>, Slot>,
    by_team: HashMap<u32, BTreeMap<Arrival, Slot>>,
    /// Resources of the machine in which demands are measured.
    typical_host: Resources,
    largest_demand: f64,
}

/// The queue is rebuilt when its name table has doubled and grown by this many names.
const MAX_NAME_GROWTH: usize = 10_000;

impl JobQueue {
    /// Builds the queue from all live jobs.
    pub fn build<'a>(jobs: impl Iterator<Item = (&'a String, &'a Job)>) -> JobQueue {
        let mut queue = JobQueue {
            is_built: true,
            typical_host: [1.0; 3],
            ..JobQueue::default()
        };
        for (id, job) in jobs {
            queue.insert(id, job);
        }
        queue
    }

    /// Whether the queue must be rebuilt: it was never built, or most of its names are probably no
    /// longer in use.
    pub fn needs_rebuild(&self) -> bool {
        let has_grown = |initial: usize| self.names.len() > 2 * initial + MAX_NAME_GROWTH;
        !self.is_built || self.initial_names.is_some_and(has_grown)
    }

    /// Notes that a pass has added the names of machines, teams and images.
    pub fn mark_names_complete(&mut self) {
        self.initial_names = self.initial_names.or(Some(self.names.len()));
    }

    /// Replaces a job whose record has changed. `None` removes it.
    pub fn update(&mut self, id: &str, job: Option<&Job>) {
        if !self.is_built {
            return;
        }
        self.remove(id);
        if let Some(job) = job {
            self.insert(id, job);
        }
    }

    fn remove(&mut self, id: &str) {
        let Some(slot) = self.by_id.remove(id) else {
            return;
        };
        let Some(queued) = self.jobs[slot as usize].take() else {
            return;
        };
        self.unused_slots.push(slot);
        let profile = self.profiles.get(queued.profile);
        let arrival = queued.arrival();
        if queued.counts_for_team()
            && let Some(team_jobs) = self.by_team.get_mut(&profile.team)
        {
            team_jobs.remove(&arrival);
        }
        match queued.state {
            QueueState::AwaitingDependencies => {}
            QueueState::Placed => {
                self.placed.remove(id);
            }
            QueueState::Queued if profile.kind == JobKind::Service => {
                self.services.remove(&arrival);
            }
            QueueState::Queued => {
                self.batch_jobs.remove(&arrival);
                self.batch_by_estimate.remove(&(queued.estimate, arrival));
            }
        }
    }

    fn insert(&mut self, id: &str, job: &Job) {
        let spec = &job.record.spec;
        let profile = self.profiles.number(spec, &mut self.names);
        let queued = QueuedJob {
            id: id.into(),
            accepted_at: job.record.at,
            released_at: job.released_at,
            estimate: Estimate(spec.estimate_s),
            need: task_resources(spec),
            profile,
            image: self.names.id(&spec.image),
            tasks: spec.tasks,
            unfinished: u64::from(spec.tasks).saturating_sub(job.done_count()) as u32,
            state: queue_state(job),
            active: job.active(),
        };
        let next_slot = self.jobs.len() as Slot;
        let slot = self.unused_slots.pop().unwrap_or(next_slot);
        self.add_to_orders(&queued, slot);
        self.by_id.insert(queued.id.clone(), slot);
        match self.jobs.get_mut(slot as usize) {
            Some(unused) => *unused = Some(queued),
            None => self.jobs.push(Some(queued)),
        }
    }

    fn add_to_orders(&mut self, queued: &QueuedJob, slot: Slot) {
        let profile = self.profiles.get(queued.profile);
        let arrival = queued.arrival();
        let summary = queued.summary(slot);
        if queued.counts_for_team() {
            let demand = queued.demand(&self.typical_host);
            self.largest_demand = self.largest_demand.max(demand);
            let team_jobs = self.by_team.entry(profile.team).or_default();
            team_jobs.insert(arrival.clone(), slot);
        }
        match queued.state {
            QueueState::AwaitingDependencies => {}
            QueueState::Placed => {
                self.placed.insert(queued.id.clone(), slot);
            }
            QueueState::Queued if profile.kind == JobKind::Service => {
                self.services.insert(arrival, summary);
            }
            QueueState::Queued => {
                let by_estimate = (queued.estimate, arrival.clone());
                self.batch_jobs.insert(arrival, summary);
                self.batch_by_estimate.insert(by_estimate, summary);
            }
        }
    }

    /// The job in a slot.
    pub fn job(&self, slot: Slot) -> Option<&QueuedJob> {
        self.jobs.get(slot as usize)?.as_ref()
    }

    /// The job with this id, and its slot.
    pub fn find(&self, id: &str) -> Option<(Slot, &QueuedJob)> {
        let slot = *self.by_id.get(id)?;
        Some((slot, self.job(slot)?))
    }

    /// The profile of a job.
    pub fn profile_of(&self, queued: &QueuedJob) -> &JobProfile {
        self.profiles.get(queued.profile)
    }

    /// The profile with this number.
    pub fn profile(&self, number: u32) -> &JobProfile {
        self.profiles.get(number)
    }

    /// What the placement of a job's tasks depends on.
    pub fn requirements(&self, queued: &QueuedJob) -> TaskRequirements {
        let profile = self.profile_of(queued);
        TaskRequirements {
            need: queued.need,
            constraints: profile.allow.clone(),
            writes_checkpoints: profile.saves,
            image: queued.image,
            avoided_hosts: Vec::new(),
        }
    }

    /// How many different searches for free resources there are. Profiles number them from 0.
    pub fn feasibility_classes(&self) -> usize {
        self.profiles.feasibility_classes()
    }

    /// Upper bound of all slots.
    pub fn slot_count(&self) -> usize {
        self.jobs.len()
    }

    /// Number of jobs in the queue that have no placed task.
    pub fn queued(&self) -> usize {
        self.services.len() + self.batch_jobs.len()
    }

    /// Queued services in order of arrival.
    pub fn services(&self) -> impl Iterator<Item = (&Arrival, &JobSummary)> {
        self.services.iter()
    }

    /// Queued gangs and arrays in order of arrival.
    pub fn batch_jobs(&self) -> impl Iterator<Item = (&Arrival, &JobSummary)> {
        self.batch_jobs.iter()
    }

    /// Queued gangs and arrays, shortest estimate first.
    pub fn batch_by_estimate(&self) -> impl Iterator<Item = (&(Estimate, Arrival), &JobSummary)> {
        self.batch_by_estimate.iter()
    }

    /// Jobs with a task that is placed on record, by id.
    pub fn placed(&self) -> impl Iterator<Item = (&str, Slot)> {
        self.placed.iter().map(|(id, slot)| (&**id, *slot))
    }

    /// Live jobs of a team in order of arrival, except those that depend on others.
    pub(crate) fn jobs_of_team(&self, team: u32) -> impl Iterator<Item = (&Arrival, Slot)> {
        let jobs = self.by_team.get(&team).into_iter().flatten();
        jobs.map(|(arrival, slot)| (arrival, *slot))
    }

    /// The largest demand of any job that has been in the queue, in machines of the typical size. Only
    /// current jobs count after that size has changed.
    pub fn largest_demand(&mut self, typical_host: Resources) -> f64 {
        if self.typical_host != typical_host {
            self.typical_host = typical_host;
            let jobs = self.jobs.iter().flatten();
            self.largest_demand = jobs
                .filter(|queued| queued.counts_for_team())
                .map(|queued| queued.demand(&typical_host))
                .fold(0.0, f64::max);
        }
        self.largest_demand
    }
}

fn queue_state(job: &Job) -> QueueState {
    if job.active() && job.waits_for_dependencies() {
        return QueueState::AwaitingDependencies;
    }
    let is_placed = job.entries().any(|entry| entry.machine().is_some());
    if job.active() && !is_placed {
        QueueState::Queued
    } else {
        QueueState::Placed
    }
}

#[cfg(test)]
mod tests;
