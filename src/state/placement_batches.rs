//! Cache of the placement batches: records that each hold the placements of many jobs and are overlaid on the jobs' own
//! records. `records::PlacementBatch` describes which of the two takes precedence.

use crate::protocol::records::{PlacementBatch, TASKS_PER_CHUNK, TaskChunk, TaskEntry};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A batch and the version of its record.
#[derive(Debug)]
struct StoredBatch {
    batch: PlacementBatch,
    version: u64,
}

/// All placement batches, by number.
#[derive(Debug, Default)]
pub struct PlacementBatches {
    batches: BTreeMap<u32, StoredBatch>,
    /// Numbers of the batches that contain a job, by job.
    batches_by_job: HashMap<String, BTreeSet<u32>>,
    newest_version: u64,
}

impl PlacementBatches {
    /// Version of the record that is rewritten with every batch; 0 if no batch has ever been written.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Applies a write of the record that is rewritten with every batch.
    pub fn on_newest_batch_written(&mut self, version: u64) {
        self.newest_version = self.newest_version.max(version);
    }

    /// Whether there is no batch.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Version of a batch; 0 if there is none with this number.
    pub fn version(&self, number: u32) -> u64 {
        self.batches.get(&number).map_or(0, |b| b.version)
    }

    /// Numbers of all batches, with their versions.
    pub fn numbers(&self) -> impl Iterator<Item = (u32, u64)> {
        let batches = self.batches.iter();
        batches.map(|(number, stored)| (*number, stored.version))
    }

    /// The jobs in a batch, with their placements.
    pub fn placements(&self, number: u32) -> &[(String, Vec<TaskEntry>)] {
        let stored = self.batches.get(&number);
        stored.map_or(&[], |b| &b.batch.placements)
    }

    /// Whether any batch contains the job.
    pub fn has_job(&self, id: &str) -> bool {
        self.batches_by_job.contains_key(id)
    }

    /// The job's placements in all batches, in order of batch number.
    fn placements_of<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a TaskEntry> {
        let numbers = self.batches_by_job.get(id).into_iter().flatten();
        numbers
            .flat_map(|number| self.placements(*number))
            .filter(move |(job, _)| job == id)
            .flat_map(|(_, placements)| placements)
    }

    /// Numbers of the job's chunks for which batches contain placements.
    pub fn chunks(&self, id: &str) -> BTreeSet<u32> {
        self.placements_of(id)
            .map(|p| p.task() / TASKS_PER_CHUNK)
            .collect()
    }

    /// The lowest number that is neither used by a batch nor in `taken`.
    pub fn free_number(&self, taken: &BTreeSet<u32>) -> u32 {
        let is_used = |n: &u32| self.batches.contains_key(n) || taken.contains(n);
        (0..).find(|n| !is_used(n)).unwrap_or(u32::MAX)
    }

    /// Inserts a batch; returns false if the cache has this version or a newer one.
    pub fn put(&mut self, number: u32, batch: PlacementBatch, version: u64) -> bool {
        if self.version(number) >= version {
            return false;
        }
        self.remove(number);
        for (id, _) in &batch.placements {
            let numbers = self.batches_by_job.entry(id.clone()).or_default();
            numbers.insert(number);
        }
        self.batches.insert(number, StoredBatch { batch, version });
        true
    }

    /// Removes a batch that has been deleted at this revision, unless the cached one is newer.
    pub fn delete(&mut self, number: u32, version: u64) {
        if self.version(number) < version {
            self.remove(number);
        }
    }

    fn remove(&mut self, number: u32) {
        let Some(stored) = self.batches.remove(&number) else {
            return;
        };
        for (id, _) in stored.batch.placements {
            if let Some(numbers) = self.batches_by_job.get_mut(&id) {
                numbers.remove(&number);
                if numbers.is_empty() {
                    self.batches_by_job.remove(&id);
                }
            }
        }
    }

    /// Overlays the job's placements on chunk `number`, which is given as read from the job's own records. Updates
    /// `batched_placements`, the placements of the job that are stored in batches only.
    pub fn overlay(
        &self,
        id: &str,
        number: u32,
        chunk: &mut TaskChunk,
        batched_placements: &mut Vec<TaskEntry>,
    ) {
        batched_placements.retain(|placement| placement.task() / TASKS_PER_CHUNK != number);
        let placements = self.placements_of(id);
        for placement in placements.filter(|p| p.task() / TASKS_PER_CHUNK == number) {
            overlay_placement(chunk, placement, batched_placements);
        }
    }
}

/// Overlays one placement on its chunk; returns whether it took effect. It does not if its task is done, or has the
/// same or a later attempt on record.
pub fn overlay_placement(
    chunk: &mut TaskChunk,
    placement: &TaskEntry,
    batched_placements: &mut Vec<TaskEntry>,
) -> bool {
    let task = placement.task();
    let recorded = chunk.entry(task);
    if chunk.is_done(task) || recorded.is_some_and(|r| r.attempt() >= placement.attempt()) {
        return false;
    }
    chunk.set(placement.clone());
    batched_placements.retain(|other| other.task() != task);
    batched_placements.push(placement.clone());
    true
}

#[cfg(test)]
mod tests;
