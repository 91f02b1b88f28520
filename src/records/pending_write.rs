//! Changes of a job's record that are not written yet, and when they have to be.

use crate::protocol::records::TaskEntry;
use crate::protocol::{JobKind, Micros};
use crate::state::record_cache::Job;
use std::collections::BTreeSet;

/// Completions of some of a job's tasks wait this long for others; the agent keeps the results. The completion of the
/// last task does not wait, since its client may ask 3 s later.
const MERGE_COMPLETIONS_FOR: Micros = Micros::millis(4_000);
/// No client waits for the removal of an ended job's entries.
const CLEANUP_DELAY: Micros = Micros::millis(4_000);
/// The content of placement batches is on record already.
const MERGE_BATCHED_PATIENCE: Micros = Micros::millis(30_000);
/// Clients wait for services and gangs by the second, for arrays by the minute.
const ARRAY_PATIENCE: Micros = Micros::millis(500);

/// Changes of a job's record that are not written yet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PendingWrite {
    /// Tasks that are done.
    pub done: BTreeSet<u32>,
    /// New attempts.
    pub places: Vec<TaskEntry>,
    /// The job has ended and none of its tasks is left anywhere: drop its entries.
    pub clean: bool,
    /// Write the places that only placement batches hold into the job's own record.
    pub merge_batched: bool,
    /// When the first of these changes came up.
    pub(super) pending_since: Micros,
}

/// When a write may be sent, and how it ranks among those that may.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct WriteSchedule {
    /// The write is held back until then, so that others can join it.
    pub due_at: Micros,
    /// Among due writes those with the earliest deadline are sent first. A deadline never moves, so no write starves.
    pub deadline: Micros,
}

impl PendingWrite {
    /// No change yet.
    pub(super) fn empty_since(pending_since: Micros) -> PendingWrite {
        PendingWrite {
            pending_since,
            ..PendingWrite::default()
        }
    }

    /// Only these places.
    pub fn of_places(places: Vec<TaskEntry>) -> PendingWrite {
        PendingWrite {
            places,
            ..PendingWrite::default()
        }
    }

    /// Whether there is nothing to write.
    pub(super) fn is_empty(&self) -> bool {
        self.done.is_empty() && self.places.is_empty() && !self.clean && !self.merge_batched
    }

    /// When the write is due and how urgent it is, depending on what waits for it.
    pub(super) fn schedule(&self, job: &Job) -> WriteSchedule {
        let since = self.pending_since;
        let schedule = |delay: Micros, patience: Micros| WriteSchedule {
            due_at: since + delay,
            deadline: since + patience,
        };
        if !self.places.is_empty() {
            let is_array = job.record.spec.kind == JobKind::Array;
            let patience = if is_array {
                ARRAY_PATIENCE
            } else {
                Micros::ZERO
            };
            return schedule(Micros::ZERO, patience);
        }
        if !self.done.is_empty() {
            let done_count = job.done_count() + self.done.len() as u64;
            if done_count >= job.record.spec.tasks as u64 {
                return schedule(Micros::ZERO, Micros::ZERO);
            }
            return schedule(MERGE_COMPLETIONS_FOR, MERGE_COMPLETIONS_FOR.scale(2.0));
        }
        if self.clean {
            return schedule(CLEANUP_DELAY, CLEANUP_DELAY.scale(3.0));
        }
        schedule(Micros::ZERO, MERGE_BATCHED_PATIENCE)
    }
}
