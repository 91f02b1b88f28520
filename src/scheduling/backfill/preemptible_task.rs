//! Running tasks that a scheduling pass may preempt.

use crate::protocol::{Micros, Priority};
use crate::scheduling::placement::Resources;
use foldhash::HashMap;

/// The tasks of a job class are exempt from preemption for long-waiting gangs while the class uses at most
/// this share of the cluster.
const MAX_EXEMPT_CLASS_SHARE: f64 = 0.1;

/// A running task that may be preempted.
#[derive(Debug, Clone, PartialEq)]
pub struct PreemptibleTask<'a> {
    /// Job id.
    pub job: &'a str,
    /// Task number.
    pub task: u32,
    /// Index of the machine in the `CapacityIndex` of the pass.
    pub host: usize,
    /// Resources that the task holds.
    pub need: Resources,
    /// Sequence number of the task's start; tasks that started later have larger numbers.
    pub start_order: u64,
    /// The task started ahead of an earlier job that was blocked.
    pub backfilled: bool,
    /// Time of day at which the task's job was accepted.
    pub accepted_at: Micros,
    /// Highest priority of the task's job and of the jobs that depend on it.
    pub priority: Priority,
    /// The task writes a checkpoint when it is stopped, so that little work is lost.
    pub saves_checkpoints: bool,
    /// Time that the checkpoint takes, in seconds.
    pub save_s: f64,
    /// Team, as an id of the `NameTable`.
    pub team: u32,
    /// The task's job is beyond its team's guarantee.
    pub beyond_guarantee: bool,
    /// Stopping the task stops no other task of its job.
    pub stops_alone: bool,
    /// Class of the task's job, as an id of the `NameTable`.
    pub class: u32,
    /// The class uses so little of the cluster that the task is not preempted for a gang merely because the
    /// gang has waited long.
    pub exempt: bool,
}

/// Sets `exempt` on the tasks of classes that use at most `MAX_EXEMPT_CLASS_SHARE` of the cluster.
///
/// `class_shares` holds, by class, the sum of the dominant shares of its tasks in the whole cluster.
pub fn mark_exempt_tasks(tasks: &mut [PreemptibleTask<'_>], class_shares: &HashMap<u32, f64>) {
    for task in tasks {
        let share = class_shares.get(&task.class);
        task.exempt = share.is_none_or(|share| *share <= MAX_EXEMPT_CLASS_SHARE);
    }
}
