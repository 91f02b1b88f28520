//! Jobs as submitted by clients.
//!
//! The wire names are in the serde renames; the table in [`super`] lists them.

mod submission;

pub use submission::{InvalidSubmission, MAX_TASKS, is_valid_job_id, parse};

use serde::{Deserialize, Serialize};

/// How the tasks of a job run together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that each run to completion.
    #[serde(rename = "sweep")]
    Array,
    /// All tasks run at the same time or not at all.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Below normal work.
    #[serde(rename = "best_effort")]
    Low,
    /// Normal work.
    #[serde(rename = "standard")]
    Normal,
    /// Above normal work.
    #[serde(rename = "urgent")]
    High,
    /// Production work, the highest priority.
    #[serde(rename = "prod")]
    Production,
}

/// A job as submitted. Amounts are per task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Job class, referenced by the objectives in the settings.
    #[serde(rename = "docket")]
    pub class: String,
    /// Team whose guarantee and quota apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// How the tasks run together.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    #[serde(rename = "sheets")]
    pub tasks: u32,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory, in gigabytes.
    pub memory_gb: f64,
    /// Image that a machine must have before the task can run.
    #[serde(rename = "plate")]
    pub image: String,
    /// Size of the image, in gigabytes.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Allowed machine types; `None`: any.
    #[serde(rename = "presses", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None`: any.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The client's estimate of the run time in seconds, without the image fetch; often inaccurate. 0 for services.
    #[serde(rename = "expected_s")]
    pub estimate_s: f64,
    /// Seconds of progress between checkpoints; 0: the task never saves its progress.
    #[serde(rename = "proof_s")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save its progress when it is stopped.
    #[serde(rename = "stash_s")]
    pub save_s: f64,
    /// Deadline, in seconds after submission.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Ids of jobs that must be done before any task of this one starts, sorted (format `PIPELINES`).
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

impl JobSpec {
    /// Returns whether tasks save checkpoints, so that a stop loses little progress.
    pub fn saves_checkpoints(&self) -> bool {
        self.checkpoint_s > 0.0
    }

    /// Returns whether tasks start one by one and the zones of started tasks restrict those of the others.
    pub fn has_zone_constraint(&self) -> bool {
        self.kind != JobKind::Gang && (self.one_zone || self.spread)
    }

    /// Returns a job of one task, for tests to modify.
    #[cfg(test)]
    pub fn sample(kind: JobKind) -> JobSpec {
        JobSpec {
            class: "c".into(),
            team: "t".into(),
            kind,
            priority: Priority::Normal,
            tasks: 1,
            cpus: 1.0,
            gpus: 1.0,
            memory_gb: 1.0,
            image: "img".into(),
            image_gb: 1.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 0.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            dependencies: Vec::new(),
        }
    }
}
