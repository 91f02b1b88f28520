//! What a pass finds out about jobs besides what it places: tasks to stop, to record as done, to clean.

use crate::protocol::{JobKind, JobSpec};
use crate::scheduling::recovery::LostTasks;
use std::ops::Range;

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
pub struct IncompleteGang {
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
    pub incomplete_gangs: Vec<IncompleteGang>,
    /// A job waits for its retry backoff, so another pass is needed.
    pub has_backoff: bool,
    /// Tasks that have lost their machine and are waiting for a new one.
    pub lost_tasks: LostTasks,
    /// Number of tasks that are placed on record.
    pub placed_tasks: usize,
}

/// The tasks that stop, and are recorded as done, together with one: all of a gang, else itself.
pub(crate) fn tasks_stopped_with(spec: &JobSpec, task: u32) -> Range<u32> {
    match spec.kind {
        JobKind::Gang => 0..spec.tasks,
        JobKind::Array | JobKind::Service => task..task + 1,
    }
}
