//! Wide arrays: arrays with enough startable tasks to use up a whole pass.
//!
//! An array of 25,000 short tasks delayed all other jobs for minutes. At its position in the queue, a wide
//! array therefore gets only a share of the pass and of the free room. After all other jobs have been
//! considered, it continues with the remaining room.

use crate::protocol::JobKind;
use crate::scheduling::backfill::{
    MAX_PLACEMENTS, MAX_PLACEMENTS_WITH_WIDE_ARRAYS, QueueCandidate, QueueEntry, SchedulingPass,
};
use crate::scheduling::placement::slots;

/// An array with at least this many tasks to start is wide.
pub(super) const MIN_WIDE_TASKS: u32 = MAX_PLACEMENTS as u32;

/// Total number of tasks that all wide arrays may start before all other jobs have been considered.
pub(super) const WIDE_ARRAY_BUDGET: u32 = MAX_PLACEMENTS as u32 / 2;

/// A wide array that continues after all other jobs have been considered.
pub(super) struct DeferredWideArray<'a> {
    candidate: QueueCandidate<'a>,
    /// Number of its tasks that were started before all other jobs had been considered.
    started: u32,
    /// The pass reached the array while backfilling.
    backfilled: bool,
}

/// Free room for a wide array, in tasks.
struct WideArrayRoom {
    free: u32,
    /// Part of `free` that the array may use before all other jobs have been considered.
    first_share: u32,
}

/// Whether a job is a wide array. Arrays with zone constraints are not treated as wide.
pub(super) fn is_wide(entry: &QueueEntry<'_>) -> bool {
    let spec = entry.spec;
    let zone_conditions = spec.one_zone || spec.spread;
    let tasks = entry.tasks.len() as u32;
    spec.kind == JobKind::Array && !zone_conditions && tasks >= MIN_WIDE_TASKS
}

impl<'p, 'a> SchedulingPass<'p, 'a> {
    /// Starts the first share of a wide array. Returns the number of `permitted` tasks that do not fit into
    /// the free room.
    pub(super) fn start_wide_array(
        &mut self,
        candidate: QueueCandidate<'a>,
        entry: &QueueEntry<'_>,
        permitted: u32,
        backfilled: bool,
    ) -> u32 {
        let room = self.wide_array_room(entry);
        let first = permitted.min(self.wide_array_budget).min(room.first_share);
        let unplaced =
            self.start_tasks_one_by_one(entry, &entry.tasks[..first as usize], backfilled);
        let started = first - unplaced;
        self.wide_array_budget -= started;
        self.deferred_wide_arrays.push(DeferredWideArray {
            candidate,
            started,
            backfilled,
        });
        permitted.saturating_sub(room.free)
    }

    /// Free room for a wide array.
    ///
    /// The first share is half of the free room. With a larger share, the array would take each machine that
    /// becomes free ahead of all other jobs for as long as it runs. If no task of the array runs yet, the
    /// share is at least one task, so that the array can begin.
    fn wide_array_room(&self, entry: &QueueEntry<'_>) -> WideArrayRoom {
        let need = &entry.requirements.need;
        let candidates = self.candidates(entry);
        let free = candidates
            .into_iter()
            .map(|host| slots(&self.hosts[host].free, need))
            .sum();
        let min_share = u32::from(entry.task_locations.is_empty()).min(free);
        WideArrayRoom {
            free,
            first_share: (free / 2).max(min_share),
        }
    }

    /// Continues with wide arrays after all other jobs have been considered.
    pub(super) fn continue_wide_arrays(&mut self) {
        for deferred in std::mem::take(&mut self.deferred_wide_arrays) {
            let mut pending_entry = None;
            let Some(entry) = self.entry(deferred.candidate, &mut pending_entry) else {
                continue;
            };
            let remaining_tasks = &entry.tasks[deferred.started as usize..];
            let permitted = self.quotas.max_tasks(entry.team, &entry.requirements.need);
            let placed = self.plan.placements.len();
            let remaining_in_pass = MAX_PLACEMENTS_WITH_WIDE_ARRAYS.saturating_sub(placed) as u32;
            let tasks = permitted
                .min(remaining_in_pass)
                .min(remaining_tasks.len() as u32);
            self.start_tasks_one_by_one(
                entry,
                &remaining_tasks[..tasks as usize],
                deferred.backfilled,
            );
        }
    }
}
