//! Representation of jobs in the record cache.

use crate::protocol::Micros;
use crate::protocol::records::{JobRecord, JobStage, TASKS_PER_CHUNK, TaskChunk, TaskEntry};
use std::collections::BTreeMap;

/// A chunk of a large job other than the first.
#[derive(Debug, Clone, Default)]
pub struct StoredChunk {
    /// The chunk, with placement batches overlaid.
    pub chunk: TaskChunk,
    /// Version of the chunk's record; 0 if its content comes from placement batches only.
    pub version: u64,
}

/// A job's chunks except the first, by number.
pub type TaskChunks = BTreeMap<u32, StoredChunk>;

/// A job that has not ended, or whose tasks may still run.
#[derive(Debug, Clone)]
pub struct Job {
    /// The job's record, with placement batches overlaid. A job that depends on a cancelled job is cancelled, too. Its
    /// stage here is then `Cancelled`, whether or not that is ever written to the store.
    pub record: JobRecord,
    /// The record's version.
    pub version: u64,
    /// Further chunks of large jobs.
    pub chunks: TaskChunks,
    /// Number of dependencies that are not recorded as done.
    pub unmet_dependencies: usize,
    /// Wall-clock time at which the job's time targets start: when it was accepted or its last dependency was done,
    /// whichever is later. Undefined while the job waits for dependencies.
    pub released_at: Micros,
    /// The placements in the record and the chunks that are stored in placement batches only.
    pub batched_placements: Vec<TaskEntry>,
}

impl Job {
    /// Whether the job waits for dependencies. While it does, none of its tasks may start.
    pub fn waits_for_dependencies(&self) -> bool {
        self.unmet_dependencies > 0
    }

    /// The chunk that contains a task.
    pub fn chunk_of(&self, task: u32) -> Option<&TaskChunk> {
        match task / TASKS_PER_CHUNK {
            0 => Some(&self.record.first_chunk),
            number => self.chunks.get(&number).map(|stored| &stored.chunk),
        }
    }

    /// The newest attempt of a task.
    pub fn entry(&self, task: u32) -> Option<&TaskEntry> {
        self.chunk_of(task).and_then(|chunk| chunk.entry(task))
    }

    /// Whether a task is done.
    pub fn is_done(&self, task: u32) -> bool {
        self.chunk_of(task).is_some_and(|chunk| chunk.is_done(task))
    }

    /// The newest attempts of all tasks that have any.
    pub fn entries(&self) -> impl Iterator<Item = &TaskEntry> {
        let further = self.chunks.values().flat_map(|s| s.chunk.entries.iter());
        self.record.first_chunk.entries.iter().chain(further)
    }

    /// The number of tasks that are done.
    pub fn done_count(&self) -> u64 {
        let further = self.chunks.values();
        let further: u64 = further.map(|s| s.chunk.done.count_ones() as u64).sum();
        self.record.first_chunk.done.count_ones() as u64 + further
    }

    /// Whether the job has not ended.
    pub fn active(&self) -> bool {
        self.record.stage == JobStage::Active
    }
}

/// A job that has ended, with no task left to clean up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedJob {
    /// Done or cancelled.
    pub stage: JobStage,
    /// Its number of tasks.
    pub tasks: u32,
    /// Version of its record.
    pub version: u64,
    /// Wall-clock time of the end.
    pub end: Micros,
    /// Whether it was a service.
    pub service: bool,
}

/// Result of looking up a job.
pub enum JobLookup<'a> {
    /// Not ended, or not yet cleaned up.
    Live(&'a Job),
    /// Ended and cleaned up.
    Finished(FinishedJob),
}
