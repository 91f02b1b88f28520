//! When refused clients should retry, and which of them tried first.

use crate::Micros;
use foldhash::fast::FixedState;
use std::hash::BuildHasher;

const SECOND: Micros = 1_000_000;
/// Clients retry a submission for 60 s in total; a later one is a new submission.
const RETENTION_PERIOD: Micros = 70 * SECOND;
/// Longest wait between two tries, in seconds. With a longer one a client would have few tries left.
const MAX_RETRY_AFTER_S: f64 = 12.0;
/// Smallest rate, in entries a second, that is used in a division.
const MIN_RATE: f64 = 1e-3;
/// Entries in one bucket of the table.
const BUCKET_ENTRIES: usize = 4;

/// The first try of a refused id.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Part of the id's hash; 0: the entry is free.
    fingerprint: u32,
    first_attempt: Micros,
}

impl Refusal {
    const FREE: Refusal = Refusal {
        fingerprint: 0,
        first_attempt: 0,
    };

    fn is_free(&self, now: Micros) -> bool {
        self.fingerprint == 0 || now >= self.first_attempt + RETENTION_PERIOD
    }
}

/// Where an id belongs in the table.
struct HashedId {
    bucket: usize,
    fingerprint: u32,
}

/// First tries of refused ids, as far as there is room: a table of fixed size, whose cost does not depend on the
/// number of refused ids.
#[derive(Debug)]
pub struct Refusals {
    buckets: Vec<[Refusal; BUCKET_ENTRIES]>,
    hasher: FixedState,
}

impl Refusals {
    /// Creates a table with room for at least `entries` ids, if their hashes are spread evenly.
    pub fn new(entries: usize) -> Refusals {
        let buckets = (entries / BUCKET_ENTRIES).next_power_of_two().max(1);
        Refusals {
            buckets: vec![[Refusal::FREE; BUCKET_ENTRIES]; buckets],
            hasher: FixedState::default(),
        }
    }

    fn hash_id(&self, id: &str) -> HashedId {
        let hash = self.hasher.hash_one(id);
        HashedId {
            bucket: hash as usize & (self.buckets.len() - 1),
            fingerprint: ((hash >> 32) as u32).max(1),
        }
    }

    /// Returns when the id was tried first: `now`, unless it was refused before.
    pub fn first_attempt(&self, id: &str, now: Micros) -> Micros {
        let hashed = self.hash_id(id);
        let mut entries = self.buckets[hashed.bucket].iter();
        let found = entries.find(|entry| entry.fingerprint == hashed.fingerprint);
        match found {
            Some(entry) if now < entry.first_attempt + RETENTION_PERIOD => entry.first_attempt,
            _ => now,
        }
    }

    /// Records that the id, first tried at `first`, is refused.
    pub fn record(&mut self, id: &str, first_attempt: Micros, now: Micros) {
        let hashed = self.hash_id(id);
        let entries = &mut self.buckets[hashed.bucket];
        let refusal = Refusal {
            fingerprint: hashed.fingerprint,
            first_attempt,
        };
        let same = entries
            .iter()
            .position(|entry| entry.fingerprint == hashed.fingerprint);
        if let Some(index) = same.or_else(|| entries.iter().position(|entry| entry.is_free(now))) {
            entries[index] = refusal;
            return;
        }
        // The bucket is full of ids that still count. The one that has waited least gives way.
        let youngest = entries.iter_mut().max_by_key(|entry| entry.first_attempt);
        if let Some(youngest) = youngest
            && youngest.first_attempt > first_attempt
        {
            *youngest = refusal;
        }
    }

    /// Returns after how many seconds a refused client should retry. `ahead` is the number of entries before it in its
    /// lane, `rate` how many of them are served a second.
    ///
    /// The wait varies by half in either direction, by id and by time, so that clients do not return all at once.
    pub fn retry_after(&self, id: &str, ahead: usize, rate: f64, now: Micros) -> u32 {
        let wait = (ahead as f64 / rate.max(MIN_RATE)).clamp(1.0, MAX_RETRY_AFTER_S);
        let hash = self.hasher.hash_one((id, now / SECOND));
        let jitter = 0.5 + unit_interval(hash);
        (wait * jitter).round().max(1.0) as u32
    }
}

/// Maps a hash to a number from 0 up to, but not including, 1.
fn unit_interval(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (hash >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

#[cfg(test)]
mod tests;
