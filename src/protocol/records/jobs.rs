//! The stored state of jobs and their tasks.

use crate::protocol::{JobSpec, Micros};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Number of tasks per chunk: small enough for one value of the store and for a `u64` of done marks.
pub const TASKS_PER_CHUNK: u32 = 48;

/// Lifecycle stage of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStage {
    /// Accepted, and neither done nor cancelled.
    #[serde(rename = "a")]
    Active,
    /// All tasks are done.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by its client.
    #[serde(rename = "c")]
    Cancelled,
}

/// The newest attempt of a task that has been started and is not done.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskEntry {
    task: u32,
    attempt: u64,
    /// Empty: the attempt has no machine.
    machine: String,
    agent_epoch: u64,
    term: u64,
    backfilled: bool,
}

impl TaskEntry {
    /// Creates the entry of an attempt; an empty `machine` means that it has none.
    pub fn new(
        task: u32,
        attempt: u64,
        machine: String,
        agent_epoch: u64,
        term: u64,
        backfilled: bool,
    ) -> TaskEntry {
        TaskEntry {
            task,
            attempt,
            machine,
            agent_epoch,
            term,
            backfilled,
        }
    }

    /// Task number.
    pub fn task(&self) -> u32 {
        self.task
    }

    /// Attempt number, which increases with every placement of the task.
    pub fn attempt(&self) -> u64 {
        self.attempt
    }

    /// Machine of the attempt, if it has one.
    pub fn machine(&self) -> Option<&str> {
        Some(self.machine.as_str()).filter(|name| !name.is_empty())
    }

    /// Epoch of the agent for which the attempt was placed.
    pub fn agent_epoch(&self) -> u64 {
        self.agent_epoch
    }

    /// Term of the leader that placed the attempt.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Whether the task was backfilled, that is, placed ahead of a job that is earlier in the queue.
    pub fn backfilled(&self) -> bool {
        self.backfilled
    }
}

/// Stored as an array in the order of the fields.
impl Serialize for TaskEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let fields = (
            self.task,
            self.attempt,
            &self.machine,
            self.agent_epoch,
            self.term,
            self.backfilled,
        );
        fields.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for TaskEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<TaskEntry, D::Error> {
        let (task, attempt, machine, agent_epoch, term, backfilled) =
            Deserialize::deserialize(deserializer)?;
        Ok(TaskEntry {
            task,
            attempt,
            machine,
            agent_epoch,
            term,
            backfilled,
        })
    }
}

/// The state of up to [`TASKS_PER_CHUNK`] consecutive tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskChunk {
    /// Tasks that have been started and are not done, sorted by task number.
    #[serde(rename = "e", default)]
    pub entries: Vec<TaskEntry>,
    /// Done marks: bit `task % TASKS_PER_CHUNK` is set if the task is done.
    #[serde(rename = "d", default)]
    pub done: u64,
}

impl TaskChunk {
    fn position(&self, task: u32) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&task, TaskEntry::task)
    }

    fn done_mark(task: u32) -> u64 {
        1 << (task % TASKS_PER_CHUNK)
    }

    /// Returns the entry of a task, if it has one.
    pub fn entry(&self, task: u32) -> Option<&TaskEntry> {
        let index = self.position(task).ok()?;
        self.entries.get(index)
    }

    /// Inserts the entry of a task, or replaces it.
    pub fn set(&mut self, entry: TaskEntry) {
        match self.position(entry.task) {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }

    /// Marks a task as done and removes its entry.
    pub fn finish(&mut self, task: u32) {
        self.done |= TaskChunk::done_mark(task);
        self.entries.retain(|entry| entry.task != task);
    }

    /// Returns whether a task is done.
    pub fn is_done(&self, task: u32) -> bool {
        self.done & TaskChunk::done_mark(task) != 0
    }
}

/// The record of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as submitted.
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// Wall-clock time of acceptance, which also determines the order of the queue.
    #[serde(rename = "at")]
    pub accepted_at: Micros,
    /// Lifecycle stage.
    #[serde(rename = "st")]
    pub stage: JobStage,
    /// Wall-clock time at which the job was done or cancelled; 0 before that.
    #[serde(rename = "end", default)]
    pub ended_at: Micros,
    /// Chunk 0: the tasks 0 to `TASKS_PER_CHUNK` - 1.
    #[serde(rename = "c", default)]
    pub first_chunk: TaskChunk,
    /// The job has ended and none of its tasks is on a machine. Entries in placement batches no longer count.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub cleaned: bool,
}

/// Placements of many jobs that are not in the jobs' own records yet.
///
/// After the loss of many machines at once, one write per job would take many times as long as starting the tasks.
///
/// If a batch and the job's own records both hold a placement of a task, the higher attempt number takes precedence. A
/// placement in a batch is ignored if the job's records mark the task as done, or if the job's record is `cleaned`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementBatch {
    /// Placements of tasks, by job id.
    #[serde(rename = "p")]
    pub placements: Vec<(String, Vec<TaskEntry>)>,
}
