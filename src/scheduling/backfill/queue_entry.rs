//! Jobs in the queue of a scheduling pass.

use crate::protocol::{JobSpec, Micros, Priority};
use crate::scheduling::job_queue::JobSummary;
use crate::scheduling::pending_jobs::{BackfillOrder, QueuePosition};
use crate::scheduling::placement::{TaskRequirements, ZoneLimits};

/// A job with tasks to start.
#[derive(Debug)]
pub struct QueueEntry<'a> {
    /// Job id.
    pub id: &'a str,
    /// Time of day at which the job was accepted.
    pub accepted_at: Micros,
    /// The submitted specification of the job.
    pub spec: &'a JobSpec,
    /// Resources and constraints of one task.
    pub requirements: TaskRequirements,
    /// Team, as an id of the `NameTable`.
    pub team: u32,
    /// Jobs of the same feasibility class have the same constraints, so a request that is infeasible for one
    /// of them is infeasible for the others.
    pub feasibility_class: u32,
    /// Number of tasks that have to be placed again because their machine was lost.
    pub lost_tasks: u32,
    /// Tasks that may start. A gang starts all of them or none.
    pub tasks: Vec<u32>,
    /// Locations of the tasks that are presumed to run: the zone, and the index of the machine if it takes
    /// part in the pass.
    pub task_locations: Vec<(u32, Option<usize>)>,
    /// Time that a machine takes to fetch the image, in seconds.
    pub fetch_s: f64,
    /// Estimated run time in seconds, corrected by observed run times.
    pub estimate_s: f64,
    /// Highest priority of the job and of the jobs that depend on it.
    pub priority: Priority,
    /// The job is within its team's guarantee: it fits together with the team's earlier unfinished jobs.
    pub guaranteed: bool,
    /// The job has waited so long that gangs beyond another team's guarantee may be preempted for it.
    pub overdue: bool,
    /// The job has waited so long that, if it is a gang, tasks without checkpoints may be preempted for it.
    pub aged: bool,
    /// The job has waited so long that it is backfilled ahead of shorter jobs.
    pub starved: bool,
}

impl<'a> QueueEntry<'a> {
    /// Position of the job in the queue.
    pub(super) fn position(&self) -> QueuePosition<'a> {
        (self.accepted_at, self.id)
    }

    /// Zones in which further tasks may be placed.
    pub(crate) fn zone_limits(&self) -> ZoneLimits {
        let occupied = self.task_locations.iter().map(|(zone, _)| *zone).collect();
        ZoneLimits::new(self.spec, occupied)
    }

    /// Sort key of the job in the order of backfilling.
    pub(super) fn backfill_order(&self) -> BackfillOrder<'a> {
        BackfillOrder::new(self.starved, self.estimate_s, self.position())
    }
}

/// A job that a pass has reached in the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QueueCandidate<'a> {
    /// Index into the active jobs of the pass.
    Active(usize),
    /// A pending job: it has no placed tasks and no record changes that are not written yet.
    Pending(&'a JobSummary),
}
