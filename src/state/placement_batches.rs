//! Cache of the placement batches: records that each hold the places of many jobs and are overlaid on the jobs' own
//! records. See `records::PlacementBatch` for which of the two counts.

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
    /// Numbers of the batches that name a job, by job.
    batches_by_job: HashMap<String, BTreeSet<u32>>,
    head_version: u64,
}

impl PlacementBatches {
    /// Version of the record that changes with every batch; 0: no batch was ever written.
    pub fn head(&self) -> u64 {
        self.head_version
    }

    /// The record that changes with every batch has been written.
    pub fn note_head(&mut self, version: u64) {
        self.head_version = self.head_version.max(version);
    }

    /// Whether there is no batch.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Version of a batch; 0: there is none with this number.
    pub fn version(&self, number: u32) -> u64 {
        self.batches.get(&number).map_or(0, |b| b.version)
    }

    /// Numbers of all batches, with their versions.
    pub fn numbers(&self) -> impl Iterator<Item = (u32, u64)> {
        let batches = self.batches.iter();
        batches.map(|(number, stored)| (*number, stored.version))
    }

    /// Jobs that a batch names, with their places.
    pub fn places(&self, number: u32) -> &[(String, Vec<TaskEntry>)] {
        let stored = self.batches.get(&number);
        stored.map_or(&[], |b| &b.batch.placements)
    }

    /// Whether any batch names the job.
    pub fn has_job(&self, id: &str) -> bool {
        self.batches_by_job.contains_key(id)
    }

    /// The job's places in all batches, in the order of the batches' numbers.
    fn places_of<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a TaskEntry> {
        let numbers = self.batches_by_job.get(id).into_iter().flatten();
        numbers
            .flat_map(|number| self.places(*number))
            .filter(move |(job, _)| job == id)
            .flat_map(|(_, places)| places)
    }

    /// Numbers of the job's chunks that have places in batches.
    pub fn chunks(&self, id: &str) -> BTreeSet<u32> {
        self.places_of(id)
            .map(|p| p.task() / TASKS_PER_CHUNK)
            .collect()
    }

    /// The lowest number that neither a batch nor `taken` has.
    pub fn free_number(&self, taken: &BTreeSet<u32>) -> u32 {
        let is_used = |n: &u32| self.batches.contains_key(n) || taken.contains(n);
        (0..).find(|n| !is_used(n)).unwrap_or(u32::MAX)
    }

    /// Puts a batch; returns false if the cache has this version or a newer one.
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

    /// Overlays the job's places on chunk `number` as its own record has it, and updates `effective`: the places of the
    /// job that only batches hold.
    pub fn overlay(
        &self,
        id: &str,
        number: u32,
        chunk: &mut TaskChunk,
        effective: &mut Vec<TaskEntry>,
    ) {
        effective.retain(|place| place.task() / TASKS_PER_CHUNK != number);
        let places = self.places_of(id);
        for place in places.filter(|p| p.task() / TASKS_PER_CHUNK == number) {
            overlay_place(chunk, place, effective);
        }
    }
}

/// Overlays one place on its chunk; returns whether it counts. It does not if its task is done or has a later attempt.
pub fn overlay_place(
    chunk: &mut TaskChunk,
    place: &TaskEntry,
    effective: &mut Vec<TaskEntry>,
) -> bool {
    let task = place.task();
    let recorded = chunk.entry(task);
    if chunk.is_done(task) || recorded.is_some_and(|r| r.attempt() >= place.attempt()) {
        return false;
    }
    chunk.set(place.clone());
    effective.retain(|other| other.task() != task);
    effective.push(place.clone());
    true
}

#[cfg(test)]
mod tests;
