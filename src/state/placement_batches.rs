//! Bundles as they are in the store: places of many jobs in one record, laid over what the jobs' own
//! records say. See `records::PlacementBatch` for which of the two counts.

use crate::protocol::records::{CHUNK, PlacementBatch, TaskChunk, TaskEntry};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// All bundles.
#[derive(Debug, Default)]
pub struct PlacementBatches {
    all: BTreeMap<u32, (PlacementBatch, u64)>,
    /// Bundles that name a job.
    of: HashMap<String, BTreeSet<u32>>,
    head: u64,
}

impl PlacementBatches {
    /// Version of the record that changes with every bundle; 0: none was ever written.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// A bundle has been written.
    pub fn moved(&mut self, version: u64) {
        self.head = self.head.max(version);
    }

    /// No bundle is there.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Version of a bundle, 0: there is none.
    pub fn version(&self, n: u32) -> u64 {
        self.all.get(&n).map_or(0, |(_, v)| *v)
    }

    /// Numbers of all bundles, with their versions.
    pub fn numbers(&self) -> impl Iterator<Item = (u32, u64)> {
        self.all.iter().map(|(n, (_, v))| (*n, *v))
    }

    /// Jobs that a bundle names, with their places.
    pub fn places(&self, n: u32) -> &[(String, Vec<TaskEntry>)] {
        self.all.get(&n).map_or(&[], |(b, _)| &b.places)
    }

    /// Whether any bundle names the job.
    pub fn name(&self, id: &str) -> bool {
        self.of.contains_key(id)
    }

    /// All places of a job.
    fn rows<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a TaskEntry> {
        let numbers = self.of.get(id).into_iter().flatten();
        numbers
            .flat_map(|n| self.places(*n))
            .filter(move |(job, _)| job == id)
            .flat_map(|(_, places)| places)
    }

    /// Chunks of a job that its places are in.
    pub fn chunks(&self, id: &str) -> BTreeSet<u32> {
        self.rows(id).map(|e| e.task() / CHUNK).collect()
    }

    /// The lowest number that no bundle and none of these has.
    pub fn free(&self, taken: &BTreeSet<u32>) -> u32 {
        let used = |n: &u32| self.all.contains_key(n) || taken.contains(n);
        (0..).find(|n| !used(n)).unwrap_or(u32::MAX)
    }

    /// Keeps a bundle; false if it is no newer than the one held.
    pub fn put(&mut self, n: u32, bundle: PlacementBatch, version: u64) -> bool {
        if self.version(n) >= version {
            return false;
        }
        self.forget(n);
        for (id, _) in &bundle.places {
            self.of.entry(id.clone()).or_default().insert(n);
        }
        self.all.insert(n, (bundle, version));
        true
    }

    /// A bundle has been deleted at this revision.
    pub fn delete(&mut self, n: u32, version: u64) {
        if self.version(n) < version {
            self.forget(n);
        }
    }

    fn forget(&mut self, n: u32) {
        for (id, _) in self.all.remove(&n).into_iter().flat_map(|(b, _)| b.places) {
            if let Some(set) = self.of.get_mut(&id) {
                set.remove(&n);
                if set.is_empty() {
                    self.of.remove(&id);
                }
            }
        }
    }

    /// Lays a job's places over a chunk as its own record has it, and notes in `counting` which of
    /// them count.
    pub fn lay(&self, id: &str, n: u32, chunk: &mut TaskChunk, counting: &mut Vec<TaskEntry>) {
        counting.retain(|e| e.task() / CHUNK != n);
        for e in self.rows(id).filter(|e| e.task() / CHUNK == n) {
            lay_one(chunk, e, counting);
        }
    }
}

/// Lays one place over a chunk; tells whether it counts.
pub fn lay_one(chunk: &mut TaskChunk, e: &TaskEntry, counting: &mut Vec<TaskEntry>) -> bool {
    let held = chunk.entry(e.task());
    if chunk.is_done(e.task()) || held.is_some_and(|h| h.attempt() >= e.attempt()) {
        return false;
    }
    chunk.set(e.clone());
    counting.retain(|c| c.task() != e.task());
    counting.push(e.clone());
    true
}

#[cfg(test)]
mod tests;
