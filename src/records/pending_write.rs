//! Pending changes of a job's record and the schedule for writing them.

use crate::protocol::records::TaskEntry;
use crate::protocol::{JobKind, Micros};
use crate::state::record_cache::Job;
use std::collections::BTreeSet;

/// Completions are held back this long so that one write records several; the agent keeps the results meanwhile. The
/// completion of a job's last task is written at once, since a client may query the job 3 s later.
const COMPLETION_MERGE_DELAY: Micros = Micros::millis(4_000);
/// Delay before the entries of an ended job are removed. No client waits for the removal.
const CLEANUP_DELAY: Micros = Micros::millis(4_000);
/// Deadline for merging batched placements into a job's record. It is long because the placements are on record
/// already.
const BATCH_MERGE_DEADLINE: Micros = Micros::millis(30_000);
/// Write deadline for placements of arrays, whose latency clients measure in minutes. Placements of services and gangs,
/// whose latency they measure in seconds, have no slack.
const ARRAY_PLACEMENT_DEADLINE: Micros = Micros::millis(500);

/// Changes of one job's record that have not been written yet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PendingWrite {
    /// Tasks whose completion is to be recorded.
    pub done: BTreeSet<u32>,
    /// New attempts to be recorded.
    pub placements: Vec<TaskEntry>,
    /// Remove the job's task entries: the job has ended and none of its tasks is left on a machine.
    pub remove_entries: bool,
    /// Write the placements that only placement batches hold into the job's own record.
    pub merge_batched: bool,
    /// When the first of these changes was requested.
    pub(super) pending_since: Micros,
}

/// When a pending write may be sent, and its order among the writes that are due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct WriteSchedule {
    /// The write is held back until then, so that further changes can join it.
    pub due_at: Micros,
    /// Due writes are sent by earliest deadline first. A deadline never moves, so no write starves.
    pub deadline: Micros,
}

impl PendingWrite {
    /// A pending write without changes.
    pub(super) fn empty_since(pending_since: Micros) -> PendingWrite {
        PendingWrite {
            pending_since,
            ..PendingWrite::default()
        }
    }

    /// A pending write that consists of these placements.
    pub fn of_placements(placements: Vec<TaskEntry>) -> PendingWrite {
        PendingWrite {
            placements,
            ..PendingWrite::default()
        }
    }

    /// Whether there is nothing to write.
    pub(super) fn is_empty(&self) -> bool {
        self.done.is_empty()
            && self.placements.is_empty()
            && !self.remove_entries
            && !self.merge_batched
    }

    /// Schedules the write by the most urgent kind of change in it.
    pub(super) fn schedule(&self, job: &Job) -> WriteSchedule {
        let since = self.pending_since;
        let schedule = |delay: Micros, max_delay: Micros| WriteSchedule {
            due_at: since + delay,
            deadline: since + max_delay,
        };
        if !self.placements.is_empty() {
            let is_array = job.record.spec.kind == JobKind::Array;
            let max_delay = if is_array {
                ARRAY_PLACEMENT_DEADLINE
            } else {
                Micros::ZERO
            };
            return schedule(Micros::ZERO, max_delay);
        }
        if !self.done.is_empty() {
            let done_count = job.done_count() + self.done.len() as u64;
            if done_count >= job.record.spec.tasks as u64 {
                return schedule(Micros::ZERO, Micros::ZERO);
            }
            return schedule(COMPLETION_MERGE_DELAY, COMPLETION_MERGE_DELAY.scale(2.0));
        }
        if self.remove_entries {
            return schedule(CLEANUP_DELAY, CLEANUP_DELAY.scale(3.0));
        }
        schedule(Micros::ZERO, BATCH_MERGE_DEADLINE)
    }
}
