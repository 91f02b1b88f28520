//! Findings of a pass besides its placements: tasks to stop or to record as done, and records to clean.

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
    /// Grace period in seconds in which the task can save a checkpoint.
    pub grace_s: f64,
}

/// A gang that has lost a member.
#[derive(Debug, Clone, PartialEq)]
pub struct IncompleteGang {
    /// Job id.
    pub job: String,
    /// The latest attempt that is affected.
    pub attempt: u64,
}

/// Results of inspecting the jobs besides their queue entries.
#[derive(Debug, Default)]
pub struct JobFindings {
    /// Jobs that have ended and have no task left on any machine: their records can be cleaned.
    pub cleanable_jobs: Vec<String>,
    /// Tasks that agents have reported as done but that are not yet recorded as done.
    pub done_tasks: Vec<TaskRef>,
    /// Tasks to stop.
    pub stops: Vec<TaskStop>,
    /// Gangs that have lost a member.
    pub incomplete_gangs: Vec<IncompleteGang>,
    /// A job is in retry backoff, so another pass is needed.
    pub has_backoff: bool,
    /// Tasks that have lost their machine and are waiting for a new one.
    pub lost_tasks: LostTasks,
    /// Number of placed tasks, whether or not they still run.
    pub placed_tasks: usize,
}

/// The tasks that are stopped, or recorded as done, together with a task: all members of a gang,
/// otherwise the task alone.
pub(crate) fn tasks_stopped_with(spec: &JobSpec, task: u32) -> Range<u32> {
    match spec.kind {
        JobKind::Gang => 0..spec.tasks,
        JobKind::Array | JobKind::Service => task..task + 1,
    }
}
