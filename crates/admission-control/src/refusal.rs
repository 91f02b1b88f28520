//! Retry delays for refused clients, and the time of each client's first attempt.

use crate::Micros;
use foldhash::fast::FixedState;
use std::hash::BuildHasher;

const SECOND: Micros = 1_000_000;
/// How long a refused id is remembered. Clients retry a submission for 60 s in total; a later attempt is a new
/// submission.
const RETENTION_PERIOD: Micros = 70 * SECOND;
/// Maximum retry delay in seconds, before jitter. A longer one would leave a client only a few attempts in its 60 s.
const MAX_RETRY_AFTER_S: f64 = 12.0;
/// Smallest rate, in entries per second, that is used in a division.
const MIN_RATE: f64 = 1e-3;
/// Entries in one bucket of the table.
const BUCKET_ENTRIES: usize = 4;

/// The first attempt of a refused id.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Part of the id's hash; 0 if the entry is free.
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

/// The hash of an id: its bucket in the table, and the fingerprint that identifies it there.
struct HashedId {
    bucket: usize,
    fingerprint: u32,
}

/// Times of the first attempts of refused ids, in a hash table of fixed size. The cost of an operation does not depend
/// on the number of refused ids. When a bucket is full, the ids with the latest first attempts are not remembered.
#[derive(Debug)]
pub struct Refusals {
    buckets: Vec<[Refusal; BUCKET_ENTRIES]>,
    hasher: FixedState,
}

impl Refusals {
    /// Creates a table with about `entries` entries.
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

    /// Returns the time of the id's first attempt: `now`, unless the table holds an earlier refusal of the id.
    pub fn first_attempt(&self, id: &str, now: Micros) -> Micros {
        let hashed = self.hash_id(id);
        let mut entries = self.buckets[hashed.bucket].iter();
        let found = entries.find(|entry| entry.fingerprint == hashed.fingerprint);
        match found {
            Some(entry) if now < entry.first_attempt + RETENTION_PERIOD => entry.first_attempt,
            _ => now,
        }
    }

    /// Records the refusal of an id whose first attempt was at `first_attempt`.
    pub fn record(&mut self, id: &str, first_attempt: Micros, now: Micros) {
        let hashed = self.hash_id(id);
        let entries = &mut self.buckets[hashed.bucket];
        let refusal = Refusal {
            fingerprint: hashed.fingerprint,
            first_attempt,
        };
        let same_id = entries
            .iter()
            .position(|entry| entry.fingerprint == hashed.fingerprint);
        if let Some(index) = same_id.or_else(|| entries.iter().position(|entry| entry.is_free(now)))
        {
            entries[index] = refusal;
            return;
        }
        // The bucket is full of ids that have not expired. The one with the latest first attempt is replaced if the new
        // id has waited longer.
        let latest = entries.iter_mut().max_by_key(|entry| entry.first_attempt);
        if let Some(latest) = latest
            && latest.first_attempt > first_attempt
        {
            *latest = refusal;
        }
    }

    /// Returns the number of seconds after which a refused client should retry. `ahead` is the number of entries
    /// before it in its lane, and `rate` is the number of them that are served per second.
    ///
    /// The delay has a jitter of half in either direction, by id and by time, so that clients do not retry all at once.
    pub fn retry_after(&self, id: &str, ahead: usize, rate: f64, now: Micros) -> u32 {
        let delay = (ahead as f64 / rate.max(MIN_RATE)).clamp(1.0, MAX_RETRY_AFTER_S);
        let hash = self.hasher.hash_one((id, now / SECOND));
        let jitter = 0.5 + unit_interval(hash);
        (delay * jitter).round().max(1.0) as u32
    }
}

/// Maps a hash to a number from 0 up to, but not including, 1.
fn unit_interval(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (hash >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

#[cfg(test)]
mod tests;
