//! Arrays with a full pass of tasks to start and more.
//!
//! An array of 25,000 short tasks once held up all other jobs for minutes. In its turn a wide array gets a
//! part of the pass and of the free room only; after all other jobs it continues with what is left.

use crate::protocol::JobKind;
use crate::scheduling::backfill::{
    MAX_PLACEMENTS, MAX_PLACEMENTS_WITH_WIDE_ARRAYS, QueueCandidate, QueueEntry, SchedulingPass,
};
use crate::scheduling::placement::slots;

/// An array with at least this many tasks to start is wide.
pub(super) const MIN_WIDE_TASKS: u32 = MAX_PLACEMENTS as u32;

/// Number of tasks that wide arrays start together before all other jobs have been considered.
pub(super) const WIDE_ARRAY_BUDGET: u32 = MAX_PLACEMENTS as u32 / 2;

/// A wide array that continues after all other jobs have been considered.
pub(super) struct DeferredWideArray<'a> {
    candidate: QueueCandidate<'a>,
    /// Number of its tasks that have been started in its turn.
    started: u32,
    /// It was reached while backfilling.
    backfilled: bool,
}

/// Free room for a wide array, in tasks.
struct WideArrayRoom {
    free: u32,
    /// Part of `free` that the array may use in its turn.
    first_share: u32,
}

/// Whether an array is wide. Arrays with conditions on zones are not treated as wide.
pub(super) fn is_wide(entry: &QueueEntry<'_>) -> bool {
    let spec = entry.spec;
    let zone_conditions = spec.one_zone || spec.spread;
    let tasks = entry.tasks.len() as u32;
    spec.kind == JobKind::Array && !zone_conditions && tasks >= MIN_WIDE_TASKS
}

impl<'p, 'a> SchedulingPass<'p, 'a> {
    /// Starts the first share of a wide array. Returns by how many tasks the `permitted` ones exceed the
    /// free room.
    pub(super) fn start_wide_array(
        &mut self,
        candidate: QueueCandidate<'a>,
        entry: &QueueEntry<'_>,
        permitted: u32,
        backfilled: bool,
    ) -> u32 {
        let room = self.wide_array_room(entry);
        let first = permitted.min(self.wide_array_budget).min(room.first_share);
        let unplaced = self.start_each(entry, &entry.tasks[..first as usize], backfilled);
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
    /// The first share is half of the free room: with more, the array would take each machine that
    /// becomes free ahead of all other jobs for as long as it runs. It is at least one task, so that an
    /// array of which nothing runs can begin.
    fn wide_array_room(&self, entry: &QueueEntry<'_>) -> WideArrayRoom {
        let need = &entry.requirements.need;
        let candidates = self.candidates(entry);
        let free = candidates
            .into_iter()
            .map(|host| slots(&self.hosts[host].free, need))
            .sum();
        let at_least = u32::from(entry.present.is_empty()).min(free);
        WideArrayRoom {
            free,
            first_share: (free / 2).max(at_least),
        }
    }

    /// Continues with wide arrays after all other jobs have been considered.
    pub(super) fn continue_wide_arrays(&mut self) {
        for deferred in std::mem::take(&mut self.deferred_wide_arrays) {
            let mut built = None;
            let Some(entry) = self.entry(deferred.candidate, &mut built) else {
                continue;
            };
            let rest = &entry.tasks[deferred.started as usize..];
            let permitted = self.quotas.max_tasks(entry.team, &entry.requirements.need);
            let placed = self.plan.placements.len();
            let left_in_pass = MAX_PLACEMENTS_WITH_WIDE_ARRAYS.saturating_sub(placed) as u32;
            let tasks = permitted.min(left_in_pass).min(rest.len() as u32);
            self.start_each(entry, &rest[..tasks as usize], deferred.backfilled);
        }
    }
}
