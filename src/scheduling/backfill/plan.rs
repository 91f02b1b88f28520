//! Result of a scheduling pass.

use crate::scheduling::backfill::QueueCandidate;

/// A task that the pass starts.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskPlacement {
    /// Job id.
    pub job: String,
    /// Task number.
    pub task: u32,
    /// Index of the machine in the `CapacityIndex` of the pass.
    pub host: usize,
    /// The task starts ahead of an earlier job that is blocked.
    pub backfilled: bool,
}

/// Tasks of a job for which the pass found no machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnmetDemand<'a> {
    /// The job whose tasks found no machine.
    pub candidate: QueueCandidate<'a>,
    /// Number of tasks that found no machine.
    pub tasks: u32,
}

/// What a pass decided.
#[derive(Debug, Default)]
pub struct SchedulingPlan<'a> {
    /// Tasks to start.
    pub placements: Vec<TaskPlacement>,
    /// Tasks to preempt: job id and task number.
    pub preemptions: Vec<(String, u32)>,
    /// Machines on which tasks are preempted: index of the machine, and id of the job for which it is
    /// reserved.
    pub reservations: Vec<(usize, String)>,
    /// Tasks that found no machine, in the order in which the pass considered their jobs.
    pub unmet_demands: Vec<UnmetDemand<'a>>,
}
