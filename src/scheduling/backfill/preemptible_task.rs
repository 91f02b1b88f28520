//! Running tasks that a pass may preempt.

use crate::protocol::Priority;
use crate::scheduling::placement::Resources;
use foldhash::HashMap;

/// A class is exempt from preemption by age while it uses at most this share of the cluster.
const EXEMPT_CLASS_SHARE: f64 = 0.1;

/// A running task that may be preempted.
#[derive(Debug, Clone, PartialEq)]
pub struct PreemptibleTask<'a> {
    /// Job id.
    pub job: &'a str,
    /// Task number.
    pub task: u32,
    /// Index of the machine among the hosts of the pass.
    pub host: usize,
    /// Resources that the task holds.
    pub need: Resources,
    /// Sequence number of its start; a later start has a larger one.
    pub start_order: u64,
    /// The task started ahead of an earlier job that was blocked.
    pub backfilled: bool,
    /// Highest priority of its job and of the jobs that depend on it.
    pub priority: Priority,
    /// The task writes a checkpoint when it is stopped, so that little work is lost.
    pub saves: bool,
    /// Time that the checkpoint takes, in seconds.
    pub save_s: f64,
    /// Team, as a number of the `NameTable`.
    pub team: u32,
    /// The task runs beyond its team's guarantee.
    pub beyond_guarantee: bool,
    /// Stopping the task stops no other task of its job.
    pub stops_alone: bool,
    /// Class of its job, as a number of the `NameTable`.
    pub class: u32,
    /// Its class uses so little of the cluster that a job's waiting time alone does not preempt it.
    pub exempt: bool,
}

/// Marks the tasks of classes that use little of the cluster.
///
/// `class_shares`: by class, the sum of its tasks' dominant shares of the whole cluster.
pub fn mark_exempt_tasks(tasks: &mut [PreemptibleTask<'_>], class_shares: &HashMap<u32, f64>) {
    for task in tasks {
        let share = class_shares.get(&task.class);
        task.exempt = share.is_none_or(|share| *share <= EXEMPT_CLASS_SHARE);
    }
}
