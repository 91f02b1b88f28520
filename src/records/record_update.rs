//! Translates a job's pending write into the conditions and changes of a transaction.

use crate::api::client_api::conditional_job_update;
use crate::protocol::codec::json_len;
use crate::protocol::key_value_api::{Change, VersionCondition};
use crate::protocol::records::{
    JobRecord, JobStage, TASKS_PER_CHUNK, TaskChunk, TaskEntry, chunk_key,
};
use crate::protocol::{Clock, JobKind};
use crate::records::pending_write::PendingWrite;
use crate::state::record_cache::Job;
use std::collections::{BTreeMap, BTreeSet};

/// Limits of the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteLimits {
    /// Maximum number of changes in a transaction.
    pub max_changes: usize,
    /// Maximum size of a value.
    pub max_value_bytes: usize,
}

/// The part of a pending write that fits into one transaction.
pub(crate) struct RecordUpdate {
    /// Conditions on the versions of the records that the transaction changes. The first is on the job's own record.
    pub conditions: Vec<VersionCondition>,
    /// Changes of the job's record and chunks.
    pub changes: Vec<Change>,
    /// The placements that these changes record.
    pub placements: Vec<TaskEntry>,
    /// The part that does not fit and stays pending.
    pub still_pending: PendingWrite,
}

impl RecordUpdate {
    /// Applies a pending write to a job's records. `in_batches` is set if a placement batch contains the job.
    pub fn new(
        id: &str,
        job: &Job,
        pending: &PendingWrite,
        in_batches: bool,
        clock: Clock,
        limits: WriteLimits,
    ) -> RecordUpdate {
        let mut draft = Draft::new(job, pending, limits);
        if pending.remove_entries {
            draft.remove_entries(in_batches);
        }
        if pending.merge_batched {
            draft.include_batched_chunks();
        }
        if job.active() {
            draft.record_completions(&pending.done);
            draft.record_placements(pending);
            draft.end_job_if_complete(clock);
        }
        draft.into_update(id, pending.merge_batched)
    }
}

/// A job's records while the pending changes are being applied.
struct Draft<'a> {
    job: &'a Job,
    record: JobRecord,
    /// Further chunks that the transaction may write.
    chunks: BTreeMap<u32, TaskChunk>,
    /// Numbers of the chunks with placements that only placement batches hold.
    batched_chunks: BTreeSet<u32>,
    max_chunks: usize,
    max_value_bytes: usize,
    placements: Vec<TaskEntry>,
    still_pending: PendingWrite,
}

impl<'a> Draft<'a> {
    fn new(job: &'a Job, pending: &PendingWrite, limits: WriteLimits) -> Draft<'a> {
        let batched = job.batched_placements.iter();
        Draft {
            job,
            record: job.record.clone(),
            chunks: BTreeMap::new(),
            batched_chunks: batched
                .map(|placement| placement.task() / TASKS_PER_CHUNK)
                .collect(),
            // One change is reserved for the job's own record.
            max_chunks: limits.max_changes.saturating_sub(1).max(1),
            max_value_bytes: limits.max_value_bytes,
            placements: Vec::new(),
            still_pending: PendingWrite::empty_since(pending.pending_since),
        }
    }

    /// Whether all placements of the job must go into one transaction. The tasks of a gang are placed together;
    /// otherwise some would start without the others.
    fn is_indivisible(&self) -> bool {
        self.job.record.spec.kind == JobKind::Gang
    }

    /// Removes the task entries of an ended job. Entries in chunks beyond the limit stay, which is harmless.
    fn remove_entries(&mut self, in_batches: bool) {
        self.record.first_chunk.entries.clear();
        self.record.cleaned |= in_batches;
        for (number, stored) in &self.job.chunks {
            if !stored.chunk.entries.is_empty() && self.chunks.len() < self.max_chunks {
                let emptied = TaskChunk {
                    entries: Vec::new(),
                    done: stored.chunk.done,
                };
                self.chunks.insert(*number, emptied);
            }
        }
    }

    /// Includes the chunks with placements that only placement batches hold.
    fn include_batched_chunks(&mut self) {
        for number in self.batched_chunks.iter().filter(|n| **n > 0) {
            if self.chunks.len() >= self.max_chunks {
                self.still_pending.merge_batched = true;
                return;
            }
            if let Some(stored) = self.job.chunks.get(number) {
                let chunk = self.chunks.entry(*number);
                chunk.or_insert_with(|| stored.chunk.clone());
            }
        }
    }

    /// Includes the chunk of a task; returns false if the transaction has no room for another chunk.
    fn include_chunk(&mut self, task: u32) -> bool {
        let number = task / TASKS_PER_CHUNK;
        if number == 0 || self.chunks.contains_key(&number) {
            return true;
        }
        if self.chunks.len() >= self.max_chunks && !self.is_indivisible() {
            return false;
        }
        let recorded = self.job.chunk_of(number * TASKS_PER_CHUNK).cloned();
        self.chunks.insert(number, recorded.unwrap_or_default());
        true
    }

    /// The chunk of a task. It must have been included before.
    fn chunk_mut(&mut self, task: u32) -> &mut TaskChunk {
        match self.chunks.get_mut(&(task / TASKS_PER_CHUNK)) {
            Some(chunk) => chunk,
            None => &mut self.record.first_chunk,
        }
    }

    fn record_completions(&mut self, done: &BTreeSet<u32>) {
        for task in done {
            if self.include_chunk(*task) {
                self.chunk_mut(*task).finish(*task);
            } else {
                self.still_pending.done.insert(*task);
            }
        }
    }

    fn record_placements(&mut self, pending: &PendingWrite) {
        for placement in &pending.placements {
            if pending.done.contains(&placement.task()) {
                continue;
            }
            if !self.include_chunk(placement.task()) {
                self.still_pending.placements.push(placement.clone());
                continue;
            }
            if self.record_placement(placement) {
                self.placements.push(placement.clone());
            }
        }
    }

    /// Records a placement; returns false and drops it if the record would exceed the size limit. The next scheduling
    /// pass places the task again, perhaps after other tasks of the chunk have ended.
    fn record_placement(&mut self, placement: &TaskEntry) -> bool {
        let task = placement.task();
        let chunk = self.chunk_mut(task);
        let previous = chunk.entry(task).cloned();
        chunk.set(placement.clone());
        if self.value_bytes(task) <= self.max_value_bytes || self.is_indivisible() {
            return true;
        }
        let chunk = self.chunk_mut(task);
        match previous {
            Some(previous) => chunk.set(previous),
            None => chunk.entries.retain(|e| e.task() != task),
        }
        false
    }

    /// Encoded size of the record that holds a task.
    fn value_bytes(&self, task: u32) -> usize {
        match self.chunks.get(&(task / TASKS_PER_CHUNK)) {
            Some(chunk) => json_len(chunk),
            None => json_len(&self.record),
        }
    }

    fn end_job_if_complete(&mut self, clock: Clock) {
        let spec = &self.record.spec;
        if self.done_count() >= spec.tasks && spec.kind != JobKind::Service {
            self.record.stage = JobStage::Done;
            self.record.ended_at = clock.wall;
        }
    }

    fn done_count(&self) -> u32 {
        let recorded = self.job.chunks.iter();
        let untouched = recorded.filter(|(number, _)| !self.chunks.contains_key(number));
        let untouched: u32 = untouched.map(|(_, s)| s.chunk.done.count_ones()).sum();
        let written: u32 = self.chunks.values().map(|c| c.done.count_ones()).sum();
        self.record.first_chunk.done.count_ones() + untouched + written
    }

    /// With `merge_batched`, records with batched placements are written even if they equal the cached ones: the cached
    /// records include these placements already, the stored ones do not.
    fn into_update(self, id: &str, merge_batched: bool) -> RecordUpdate {
        let must_write = |number: &u32| merge_batched && self.batched_chunks.contains(number);
        // The transaction is always conditional on the job's own record, so that it fails if the job has been
        // cancelled.
        let (condition, change) = conditional_job_update(id, self.job, &self.record);
        let mut conditions = vec![condition];
        let mut changes = Vec::new();
        if self.record != self.job.record || must_write(&0) {
            changes.push(change);
        }
        for (number, chunk) in self.chunks {
            let recorded = self.job.chunks.get(&number);
            if recorded.is_some_and(|s| s.chunk == chunk) && !must_write(&number) {
                continue;
            }
            let key = chunk_key(id, number);
            let version = recorded.map_or(0, |s| s.version);
            conditions.push(VersionCondition::new(&key, version));
            changes.push(Change::put(&key, &chunk, None));
        }
        RecordUpdate {
            conditions,
            changes,
            placements: self.placements,
            still_pending: self.still_pending,
        }
    }
}
