//! Jobs as the copy holds them.

use crate::protocol::Micros;
use crate::protocol::records::{CHUNK, JobRecord, JobStage, TaskChunk, TaskEntry};
use std::collections::BTreeMap;

/// A job that is not over, or whose tasks may still be somewhere.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its record. A job that needs a cancelled one is cancelled by that fact: its stage says so here,
    /// whether or not anybody ever writes it.
    pub rec: JobRecord,
    /// The record's version.
    pub version: u64,
    /// Further chunks of large jobs with their versions.
    pub chunks: BTreeMap<u32, (TaskChunk, u64)>,
    /// How many of the jobs that it needs are not recorded as done.
    pub unmet: usize,
    /// Time of day from which its aims count: when the last job that it needs was done, or when it
    /// was accepted. Without meaning while it waits for others.
    pub released: Micros,
    /// Places in record and chunks that only bundles hold.
    pub bundled: Vec<TaskEntry>,
}

impl Job {
    /// Waits for other jobs: nothing of it may start.
    pub fn waits(&self) -> bool {
        self.unmet > 0
    }

    /// The chunk that holds a task.
    pub fn chunk_of(&self, task: u32) -> Option<&TaskChunk> {
        match task / CHUNK {
            0 => Some(&self.rec.first),
            n => self.chunks.get(&n).map(|(c, _)| c),
        }
    }

    /// The newest attempt of a task.
    pub fn entry(&self, task: u32) -> Option<&TaskEntry> {
        self.chunk_of(task).and_then(|c| c.entry(task))
    }

    /// Whether a task is done.
    pub fn is_done(&self, task: u32) -> bool {
        self.chunk_of(task).is_some_and(|c| c.is_done(task))
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &TaskEntry> {
        let more = self.chunks.values().flat_map(|(c, _)| c.entries.iter());
        self.rec.first.entries.iter().chain(more)
    }

    /// Tasks done.
    pub fn done_count(&self) -> u64 {
        let more = self
            .chunks
            .values()
            .map(|(c, _)| c.done.count_ones() as u64);
        self.rec.first.done.count_ones() as u64 + more.sum::<u64>()
    }

    /// Not over.
    pub fn active(&self) -> bool {
        self.rec.stage == JobStage::Active
    }
}

/// A job that is over, with nothing left to clean up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedJob {
    /// Done or cancelled.
    pub stage: JobStage,
    /// Its number of tasks.
    pub tasks: u32,
    /// Version of its record.
    pub version: u64,
    /// Time of day of the end.
    pub end: Micros,
    /// It was a service.
    pub service: bool,
}

/// What is known of a job.
pub enum JobLookup<'a> {
    /// Not over, or not yet cleaned up.
    Live(&'a Job),
    /// Over.
    Over(FinishedJob),
}
