//! The job queue, which is updated from pass to pass instead of being rebuilt for each.
//!
//! It stores the job data that a pass needs in compact form, and maintains the ordered indexes over which
//! passes iterate: by arrival, by estimate, and by arrival within a team. A change of a job's record
//! updates the index entries of that job only. Jobs with a placed task have a separate index: their number
//! is bounded by the size of the fleet, while the number of the other jobs is unbounded. A pass therefore
//! inspects every job with a placed task, but only iterates over the others.
//!
//! The queue is derived from the records. A new leader builds it from them, and in debug builds each pass
//! compares it with a newly built one.

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

pub use crate::scheduling::guarantee::GuaranteeCutoffs;
pub use crate::scheduling::job_profile::JobProfile;

mod consistency;

/// Position in the queue: wall-clock time of acceptance, then the job id.
pub type Arrival = (Micros, Arc<str>);
/// Index of a job in the slot table of the queue. Slots are reused.
pub type Slot = u32;

/// The fields of a job that iteration over the queue reads. The indexes store a copy, because looking up
/// each job in the slot table would cost more than the rest of the iteration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobSummary {
    /// Slot of the job.
    pub slot: Slot,
    /// Id of its profile.
    pub profile_id: u32,
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

/// Whether a live job is in the queue, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueState {
    /// Depends on jobs that are not done: not in the queue.
    AwaitingDependencies,
    /// In the queue, and none of its tasks is placed on record.
    Queued,
    /// Has a task that is placed on record, or has ended or been cancelled.
    Placed,
}

/// One live job.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedJob {
    /// Job id.
    pub id: Arc<str>,
    /// Wall-clock time of acceptance.
    pub accepted_at: Micros,
    /// Wall-clock time at which the last job that it depends on was done; without dependencies, that of
    /// acceptance.
    pub released_at: Micros,
    /// The owner's estimate of the run time.
    pub estimate: Estimate,
    /// Resources that one task needs.
    pub need: Resources,
    /// Id of its profile.
    pub profile_id: u32,
    /// Id of the image in the name table.
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
            profile_id: self.profile_id,
            need: self.need,
            unfinished: self.unfinished,
        }
    }

    /// Whether the job counts towards its team's guarantee.
    fn counts_towards_guarantee(&self) -> bool {
        self.active && self.state != QueueState::AwaitingDependencies
    }

    /// Resources of all tasks, as a multiple of `typical_host`.
    fn demand(&self, typical_host: &Resources) -> f64 {
        f64::from(self.tasks) * dominant_share(typical_host, &self.need)
    }
}

/// All live jobs, indexed in the orders in which passes iterate.
#[derive(Debug, Default)]
pub struct JobQueue {
    /// Ids of the names that the queued jobs refer to.
    pub names: NameTable,
    /// Size of the name table after the first pass.
    initial_name_count: Option<usize>,
    is_built: bool,
    slots: Vec<Option<QueuedJob>>,
    unused_slots: Vec<Slot>,
    // Job ids are chosen by clients. The standard hasher resists deliberate collisions, foldhash does not.
    by_id: std::collections::HashMap<Arc<str>, Slot>,
    profiles: ProfileTable,
    /// Queued services.
    services: BTreeMap<Arrival, JobSummary>,
    /// Queued gangs and arrays.
    batch_jobs: BTreeMap<Arrival, JobSummary>,
    /// Queued gangs and arrays by estimate.
    batch_by_estimate: BTreeMap<(Estimate, Arrival), JobSummary>,
    /// Jobs in the state `Placed`, by id.
    placed: BTreeMap<Arc<str>, Slot>,
    /// Active jobs without open dependencies, by team id and arrival.
    by_team: HashMap<u32, BTreeMap<Arrival, Slot>>,
    /// Total resources of the machine in units of which demand is expressed.
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

    /// Whether the queue must be rebuilt: it was never built, or its name table has grown so far that most
    /// names are probably unused.
    pub fn needs_rebuild(&self) -> bool {
        let has_grown =
            |initial_count: usize| self.names.len() > 2 * initial_count + MAX_NAME_GROWTH;
        !self.is_built || self.initial_name_count.is_some_and(has_grown)
    }

    /// Must be called after each pass. The first call stores the size of the name table, which by then
    /// holds the names of machines, teams and images.
    pub fn mark_names_complete(&mut self) {
        self.initial_name_count = self.initial_name_count.or(Some(self.names.len()));
    }

    /// Updates a job whose record has changed. `None` removes the job.
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
        let Some(queued) = self.slots[slot as usize].take() else {
            return;
        };
        self.unused_slots.push(slot);
        let profile = self.profiles.get(queued.profile_id);
        let arrival = queued.arrival();
        if queued.counts_towards_guarantee()
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
        let profile_id = self.profiles.id_of(spec, &mut self.names);
        let queued = QueuedJob {
            id: id.into(),
            accepted_at: job.record.accepted_at,
            released_at: job.released_at,
            estimate: Estimate(spec.estimate_s),
            need: task_resources(spec),
            profile_id,
            image: self.names.id(&spec.image),
            tasks: spec.tasks,
            unfinished: u64::from(spec.tasks).saturating_sub(job.done_count()) as u32,
            state: queue_state(job),
            active: job.active(),
        };
        let next_slot = self.slots.len() as Slot;
        let slot = self.unused_slots.pop().unwrap_or(next_slot);
        self.add_to_indexes(&queued, slot);
        self.by_id.insert(queued.id.clone(), slot);
        match self.slots.get_mut(slot as usize) {
            Some(unused) => *unused = Some(queued),
            None => self.slots.push(Some(queued)),
        }
    }

    fn add_to_indexes(&mut self, queued: &QueuedJob, slot: Slot) {
        let profile = self.profiles.get(queued.profile_id);
        let arrival = queued.arrival();
        let summary = queued.summary(slot);
        if queued.counts_towards_guarantee() {
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
        self.slots.get(slot as usize)?.as_ref()
    }

    /// The job with this id, and its slot.
    pub fn find(&self, id: &str) -> Option<(Slot, &QueuedJob)> {
        let slot = *self.by_id.get(id)?;
        Some((slot, self.job(slot)?))
    }

    /// The profile of a job.
    pub fn profile_of(&self, queued: &QueuedJob) -> &JobProfile {
        self.profiles.get(queued.profile_id)
    }

    /// The profile with this id.
    pub fn profile(&self, id: u32) -> &JobProfile {
        self.profiles.get(id)
    }

    /// The requirements that decide where the tasks of a job can be placed.
    pub fn requirements(&self, queued: &QueuedJob) -> TaskRequirements {
        let profile = self.profile_of(queued);
        TaskRequirements {
            need: queued.need,
            constraints: profile.constraints.clone(),
            saves_checkpoints: profile.saves_checkpoints,
            image: queued.image,
            avoided_hosts: Vec::new(),
        }
    }

    /// Number of feasibility classes. Their ids count from 0.
    pub fn feasibility_class_count(&self) -> usize {
        self.profiles.feasibility_class_count()
    }

    /// Size of the slot table: all slots are less than this.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Number of jobs in the queue that have no placed task.
    pub fn queued_count(&self) -> usize {
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

    /// Jobs in the state `Placed`, by id.
    pub fn placed(&self) -> impl Iterator<Item = (&str, Slot)> {
        self.placed.iter().map(|(id, slot)| (&**id, *slot))
    }

    /// Active jobs of a team without open dependencies, in order of arrival.
    pub(crate) fn jobs_of_team(&self, team: u32) -> impl Iterator<Item = (&Arrival, Slot)> {
        let jobs = self.by_team.get(&team).into_iter().flatten();
        jobs.map(|(arrival, slot)| (arrival, *slot))
    }

    /// The largest demand of any job that has been in the queue, as a multiple of `typical_host`. When
    /// `typical_host` changes, the value is recomputed from the current jobs.
    pub fn largest_demand(&mut self, typical_host: Resources) -> f64 {
        if self.typical_host != typical_host {
            self.typical_host = typical_host;
            let jobs = self.slots.iter().flatten();
            self.largest_demand = jobs
                .filter(|queued| queued.counts_towards_guarantee())
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
