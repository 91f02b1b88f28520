//! Selection of the tasks of a job that may start.

use super::attempts::AttemptTally;
use super::{InspectedJob, SnapshotBuilder};
use crate::protocol::JobKind;
use crate::protocol::records::TASKS_PER_CHUNK;
use crate::scheduling::backfill::MAX_PLACEMENTS_WITH_WIDE_ARRAYS;
use crate::state::record_cache::Job;

impl<'a> SnapshotBuilder<'_, 'a> {
    /// The tasks of a job that may start now. A failing array runs at most one task at a time.
    pub(super) fn startable_tasks(
        &self,
        inspected: &InspectedJob<'a>,
        tally: &AttemptTally,
    ) -> Vec<u32> {
        let leader = self.leader;
        let is_taken = |task: u32| {
            tally.occupied.binary_search(&task).is_ok()
                || inspected.has_pending_placement(task)
                || leader
                    .record_writer
                    .is_recording_completion(inspected.id, task)
        };
        let mut tasks = unfinished_tasks(inspected.job, is_taken);
        let failures = leader.failure_histories.get(inspected.id);
        let is_failing = failures.is_some_and(|failures| {
            let recovered =
                tally.has_running_task && failures.has_not_failed_recently(self.clock.now);
            failures.is_at_fault() && !recovered
        });
        if inspected.kind() == JobKind::Array && is_failing {
            // A single task is enough to find out whether the job still fails. Starting a hundred would
            // use the capacity for a hundred tasks and cost as many writes to the store.
            tasks.truncate(usize::from(tally.present.is_empty()));
        }
        tasks
    }
}

/// Tasks of a job that are neither done nor taken: all of a gang, otherwise at most as many as one pass
/// starts.
fn unfinished_tasks(job: &Job, is_taken: impl Fn(u32) -> bool) -> Vec<u32> {
    let spec = &job.record.spec;
    let limit = match spec.kind {
        JobKind::Gang => spec.tasks as usize,
        JobKind::Array | JobKind::Service => MAX_PLACEMENTS_WITH_WIDE_ARRAYS,
    };
    let mut tasks = Vec::new();
    for chunk in 0..spec.tasks.div_ceil(TASKS_PER_CHUNK) {
        let first = chunk * TASKS_PER_CHUNK;
        let done = job.chunk_of(first).map_or(0, |chunk| chunk.done);
        let chunk_tasks = first..spec.tasks.min(first + TASKS_PER_CHUNK);
        let is_startable =
            |task: &u32| done & (1 << (task % TASKS_PER_CHUNK)) == 0 && !is_taken(*task);
        tasks.extend(chunk_tasks.filter(is_startable).take(limit - tasks.len()));
        if tasks.len() >= limit {
            break;
        }
    }
    tasks
}
