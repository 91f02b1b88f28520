//! Exchange of cancellations between controllers without the key-value store.
//!
//! A controller may keep an agent's lease alive only while it knows of every cancellation that a client was told of. The
//! records show them; while the store does not serve a controller, its peers report them. Each controller keeps a log
//! of the cancellations that it knows, in the order in which it learned of them. A reported cancellation stops tasks
//! and has no other effect: it is not part of the cache of the records, and never lets a task start.

use crate::Time;
use std::collections::BTreeMap;

/// Minimum number of entries that a log keeps. A peer that knows none of the older ones, and whose cache does not show
/// them either, cannot be brought up to date.
const MIN_KEPT_ENTRIES: usize = 8_192;

/// The cancellations that a controller knows. Every cancellation is logged before a client is told of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CancellationLog {
    entries: Vec<LogEntry>,
    /// Number of the next entry.
    next: u64,
    dropped: DroppedEntries,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LogEntry {
    number: u64,
    job: String,
    /// Version of the record that shows the cancellation.
    version: u64,
}

/// The entries that a log no longer holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct DroppedEntries {
    /// Highest version among them.
    max_version: u64,
    /// Number after the highest number among them.
    end: u64,
}

/// Position in a peer's log up to which a controller knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct LogCursor {
    /// The run of the peer's process: each run has its own log.
    pub incarnation: u64,
    /// Number of the first entry that is not known.
    pub next: u64,
}

/// A range of a log, as sent in one message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LogBatch {
    /// Number of its first entry.
    pub from: u64,
    /// Number after its last entry.
    pub next: u64,
    /// The log has more entries after it.
    pub has_more: bool,
    /// Jobs, with the versions of the records that show them cancelled.
    pub jobs: Vec<(String, u64)>,
}

impl CancellationLog {
    /// Appends the cancellation of a job, which a record of this version shows.
    pub fn append(&mut self, job: &str, version: u64) {
        self.entries.push(LogEntry {
            number: self.next,
            job: job.to_string(),
            version,
        });
        self.next += 1;
        if self.entries.len() > 2 * MIN_KEPT_ENTRIES {
            self.drop_oldest();
        }
    }

    /// Drops the entries with the lowest versions. The first entries may have higher versions: a controller that starts
    /// learns of all cancellations in the order of the keys.
    fn drop_oldest(&mut self) {
        let mut versions: Vec<u64> = self.entries.iter().map(|entry| entry.version).collect();
        versions.sort_unstable();
        let max_version = versions[versions.len() - MIN_KEPT_ENTRIES];
        let dropped = &mut self.dropped;
        self.entries.retain(|entry| {
            let keep = entry.version > max_version;
            if !keep {
                dropped.max_version = dropped.max_version.max(entry.version);
                dropped.end = dropped.end.max(entry.number + 1);
            }
            keep
        });
    }

    /// The next batch, of at most `max_jobs` jobs, for a peer that knows the log up to `from` and whose cache of the
    /// records is complete up to the revision `complete`; none if the log has dropped an entry that the peer needs.
    pub fn batch(&self, from: u64, cached_revision: u64, max_jobs: usize) -> Option<LogBatch> {
        let misses_dropped = self.dropped.max_version > cached_revision && self.dropped.end > from;
        if misses_dropped || from > self.next {
            return None;
        }
        let mut batch = LogBatch {
            from,
            next: self.next,
            ..LogBatch::default()
        };
        let start = self.entries.partition_point(|entry| entry.number < from);
        let missing = self.entries[start..]
            .iter()
            .filter(|entry| entry.version > cached_revision);
        for entry in missing {
            if batch.jobs.len() == max_jobs {
                batch.next = entry.number;
                batch.has_more = true;
                break;
            }
            batch.jobs.push((entry.job.clone(), entry.version));
        }
        Some(batch)
    }
}

/// What a batch of a peer's log has added.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedBatch {
    /// Jobs that were not reported before, with the versions of their records.
    pub new_jobs: Vec<(String, u64)>,
    /// The whole log is known, as it was when the batch was taken from it.
    pub log_complete: bool,
}

/// The cancellations that peers have reported.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReportedCancellations {
    /// Position in the log of each peer.
    cursors: Vec<LogCursor>,
    /// When each job was first reported; only jobs that the cache may not show as cancelled yet.
    jobs: BTreeMap<String, Time>,
}

impl ReportedCancellations {
    /// Nothing has been reported yet.
    pub fn new(peers: usize) -> ReportedCancellations {
        ReportedCancellations {
            cursors: vec![LogCursor::default(); peers],
            jobs: BTreeMap::new(),
        }
    }

    /// Position in a peer's log up to which it is known.
    pub fn cursor(&self, peer: usize) -> LogCursor {
        self.cursors[peer]
    }

    /// Adds a batch of the log of this run of a peer.
    pub fn apply(
        &mut self,
        peer: usize,
        incarnation: u64,
        batch: &LogBatch,
        now: Time,
    ) -> AppliedBatch {
        let mut new_jobs = Vec::new();
        for (job, version) in &batch.jobs {
            if !self.jobs.contains_key(job) {
                self.jobs.insert(job.clone(), now);
                new_jobs.push((job.clone(), *version));
            }
        }
        let cursor = &mut self.cursors[peer];
        let position = if cursor.incarnation == incarnation {
            cursor.next
        } else {
            0
        };
        // If the cursor moved over a gap, the entries in it would never be requested.
        let gap = batch.from > position;
        if !gap {
            *cursor = LogCursor {
                incarnation,
                next: position.max(batch.next),
            };
        }
        AppliedBatch {
            new_jobs,
            log_complete: !gap && !batch.has_more,
        }
    }

    /// The cache shows all records as of `read`: what was reported before is shown by them, or was not true.
    pub fn on_records_read(&mut self, read: Time) {
        if !self.jobs.is_empty() {
            self.jobs.retain(|_, reported_at| *reported_at >= read);
        }
    }

    /// Jobs that were reported to be cancelled.
    pub fn jobs(&self) -> impl Iterator<Item = &String> {
        self.jobs.keys()
    }

    /// Whether a job was reported to be cancelled.
    pub fn contains(&self, job: &str) -> bool {
        !self.jobs.is_empty() && self.jobs.contains_key(job)
    }
}
