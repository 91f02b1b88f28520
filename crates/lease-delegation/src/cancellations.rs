//! Exchange of cancellations between controllers without the key-value store.
//!
//! A controller may renew an agent's lease only while it has received every cancellation that was confirmed to a
//! client. It normally reads cancellations from the records; while the store does not serve it, its peers report them.
//! Each controller keeps a log of the cancellations that it has received, in the order of their arrival. The only
//! effect of a reported cancellation is that tasks are stopped: it is not part of the cache of the records, and never
//! lets a task start.

use crate::Time;
use std::collections::BTreeMap;

/// Minimum number of entries that a log keeps. A peer that needs an older entry, because it has received it neither
/// from the log nor with its cache of the records, cannot be brought up to date.
const MIN_KEPT_ENTRIES: usize = 8_192;

/// The cancellations that a controller has received. A cancellation is logged before it is confirmed to a client.
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

/// Summary of the entries that a log has dropped.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct DroppedEntries {
    /// Highest version among them.
    max_version: u64,
    /// One more than the highest entry number among them.
    end: u64,
}

/// Position in a peer's log up to which a controller has received it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct LogCursor {
    /// Incarnation of the peer's process; each incarnation has its own log.
    pub incarnation: u64,
    /// Number of the first entry that has not been received.
    pub next: u64,
}

/// A range of a log, as sent in one message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LogBatch {
    /// Number of the first entry of the range.
    pub from: u64,
    /// Number of the first entry after the range.
    pub next: u64,
    /// Whether the log has entries after the range that the peer needs.
    pub has_more: bool,
    /// Cancelled jobs, with the versions of the records that show the cancellations.
    pub jobs: Vec<(String, u64)>,
}

impl CancellationLog {
    /// Appends the cancellation of a job; `version` is that of the record that shows it.
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

    /// Drops the entries with the lowest versions. These are not always the first entries: a controller that starts
    /// reads all cancellations in the order of their keys.
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

    /// Returns the next batch, of at most `max_jobs` jobs, for a peer that has received the log up to `from` and whose
    /// cache of the records is complete up to `cached_revision`; `None` if the log has dropped an entry that the peer
    /// needs or `from` is after its end.
    pub fn batch(&self, from: u64, cached_revision: u64, max_jobs: usize) -> Option<LogBatch> {
        let needs_dropped_entry =
            self.dropped.max_version > cached_revision && self.dropped.end > from;
        if needs_dropped_entry || from > self.next {
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

/// Result of applying a batch of a peer's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedBatch {
    /// Jobs that were not reported before, with the versions of their records.
    pub new_jobs: Vec<(String, u64)>,
    /// Whether the whole log has been received, as it was when the batch was taken from it.
    pub log_complete: bool,
}

/// The cancellations that peers have reported.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReportedCancellations {
    /// Per peer: the position up to which its log has been received.
    cursors: Vec<LogCursor>,
    /// When each job was first reported as cancelled. Only jobs that the cache may not show as cancelled yet.
    jobs: BTreeMap<String, Time>,
}

impl ReportedCancellations {
    /// Creates the state of a controller to which nothing has been reported yet.
    pub fn new(peers: usize) -> ReportedCancellations {
        ReportedCancellations {
            cursors: vec![LogCursor::default(); peers],
            jobs: BTreeMap::new(),
        }
    }

    /// Returns the position up to which a peer's log has been received.
    pub fn cursor(&self, peer: usize) -> LogCursor {
        self.cursors[peer]
    }

    /// Applies a batch of the log of this incarnation of a peer.
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
        // The cursor does not move past a gap, since the entries in the gap would then never be requested.
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

    /// Drops the reports from before `read`, when the cache shows all records as of that time: the cache now shows
    /// those cancellations, or they were reported wrongly.
    pub fn on_records_read(&mut self, read: Time) {
        if !self.jobs.is_empty() {
            self.jobs.retain(|_, reported_at| *reported_at >= read);
        }
    }

    /// Returns the jobs that were reported as cancelled.
    pub fn jobs(&self) -> impl Iterator<Item = &String> {
        self.jobs.keys()
    }

    /// Returns whether a job was reported as cancelled.
    pub fn contains(&self, job: &str) -> bool {
        !self.jobs.is_empty() && self.jobs.contains_key(job)
    }
}
