//! Cancellations, passed from controller to controller without the state service.
//!
//! A controller may keep an agent alive only while it knows of every cancellation that a user was told of. The
//! records show them; while the state service does not serve a controller, its peers do, each with a log of
//! what it knows, in the order in which it has learnt it. What is known this way stops tasks and does nothing
//! else: it is no part of the copy of the records, and never lets anything start.

use crate::Time;
use std::collections::BTreeMap;

/// Entries kept at least. A peer that has heard of none of the older ones, and whose copy does not show them
/// either, cannot be brought up to date.
const KEPT: usize = 8_192;

/// What a controller knows to be cancelled. Whatever it tells a user was in here before.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Log {
    /// Number, job, and version of the record that shows it.
    entries: Vec<(u64, String, u64)>,
    next: u64,
    /// Highest version, and number after the last, of the entries that were dropped.
    dropped: (u64, u64),
}

/// How much of a log somebody knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Cursor {
    /// The run of the process whose log it is: another run has another log.
    pub run: u64,
    /// Number of the first entry that is not known.
    pub next: u64,
}

/// A stretch of a log, told at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Batch {
    /// Where it begins.
    pub from: u64,
    /// Where it ends.
    pub next: u64,
    /// There is more after it.
    pub more: bool,
    /// Jobs, with the versions of the records that show them cancelled.
    pub jobs: Vec<(String, u64)>,
}

impl Log {
    /// A job is cancelled, as a record of this version shows.
    pub fn learn(&mut self, job: &str, version: u64) {
        self.entries.push((self.next, job.to_string(), version));
        self.next += 1;
        if self.entries.len() > 2 * KEPT {
            self.drop_oldest();
        }
    }

    /// Drops what was recorded first. What was learnt first may be newer: a controller that starts learns all
    /// in the order of the keys.
    fn drop_oldest(&mut self) {
        let mut versions: Vec<u64> = self.entries.iter().map(|(_, _, v)| *v).collect();
        versions.sort_unstable();
        let most = versions[versions.len() - KEPT];
        let dropped = &mut self.dropped;
        self.entries.retain(|(n, _, v)| {
            if *v <= most {
                *dropped = (dropped.0.max(*v), dropped.1.max(n + 1));
            }
            *v > most
        });
    }

    /// The next batch, of at most so many jobs, for somebody who knows the log up to `from`, and whose copy of
    /// the records is complete up to a revision; none: it was dropped.
    pub fn batch(&self, from: u64, complete: u64, most: usize) -> Option<Batch> {
        let (version, next) = self.dropped;
        if version > complete && next > from || from > self.next {
            return None;
        }
        let mut batch = Batch {
            from,
            next: self.next,
            ..Batch::default()
        };
        let start = self.entries.partition_point(|(n, ..)| *n < from);
        let missing = self.entries[start..].iter();
        for (n, job, version) in missing.filter(|(_, _, v)| *v > complete) {
            if batch.jobs.len() == most {
                (batch.next, batch.more) = (*n, true);
                break;
            }
            batch.jobs.push((job.clone(), *version));
        }
        Some(batch)
    }
}

/// What a controller has heard of its peers' logs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Heard {
    cursors: Vec<Cursor>,
    /// When each job was first heard of that the copy may not show as cancelled yet.
    jobs: BTreeMap<String, Time>,
}

impl Heard {
    /// Nothing yet.
    pub fn new(peers: usize) -> Heard {
        Heard {
            cursors: vec![Cursor::default(); peers],
            jobs: BTreeMap::new(),
        }
    }

    /// How much of a peer's log is known.
    pub fn cursor(&self, peer: usize) -> Cursor {
        self.cursors[peer]
    }

    /// A batch of the log of this run of a peer has come. Returns the jobs that are new, and whether all of the
    /// log is known now, as it was when that batch was taken from it.
    pub fn take(
        &mut self,
        peer: usize,
        run: u64,
        batch: &Batch,
        now: Time,
    ) -> (Vec<(String, u64)>, bool) {
        let mut new = Vec::new();
        for (job, version) in &batch.jobs {
            if !self.jobs.contains_key(job) {
                self.jobs.insert(job.clone(), now);
                new.push((job.clone(), *version));
            }
        }
        let cursor = &mut self.cursors[peer];
        let known = if cursor.run == run { cursor.next } else { 0 };
        // What is missing in between would never be asked for again.
        if batch.from > known {
            return (new, false);
        }
        *cursor = Cursor {
            run,
            next: known.max(batch.next),
        };
        (new, !batch.more)
    }

    /// All records as of `read` have been seen, so what was heard before is in them, or was never true.
    pub fn read(&mut self, read: Time) {
        if !self.jobs.is_empty() {
            self.jobs.retain(|_, heard| *heard >= read);
        }
    }

    /// Jobs that were heard to be cancelled.
    pub fn jobs(&self) -> impl Iterator<Item = &String> {
        self.jobs.keys()
    }

    /// Whether a job was heard to be cancelled.
    pub fn contains(&self, job: &str) -> bool {
        !self.jobs.is_empty() && self.jobs.contains_key(job)
    }
}
