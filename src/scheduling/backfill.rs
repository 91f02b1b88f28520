//! One scheduling pass: BgMBFSDF (algorithm 2 of "Bandwidth-Guaranteed Parallel Job Scheduling in the
//! Cloud", as docs/design.md adapts it) over the queue in order of arrival.
//!
//! A pass meets two sorts of jobs. *Active* jobs have tasks that are placed, being written or in trouble;
//! each of them has a `QueueEntry`. *Pending* jobs have none, and their number is not bounded; the pass
//! walks past their summaries and builds an entry only if a machine may have room. A request that was
//! found infeasible for one pending job is not searched for again for the next.

mod plan;
mod preempt;
mod preemptible_task;
mod queue_entry;
mod queue_walk;
mod start;
mod wide_arrays;

pub use plan::{SchedulingPlan, TaskPlacement, UnmetDemand};
pub use preemptible_task::{PreemptibleTask, mark_exempt_tasks};
pub use queue_entry::{QueueCandidate, QueueEntry};
pub use start::max_startable_tasks;

use crate::protocol::JobKind;
use crate::scheduling::capacity_index::{CapacityIndex, InfeasibleRequests};
use crate::scheduling::pending_jobs::PendingJobs;
use crate::scheduling::placement::{self, Resources};
use crate::scheduling::preemption::PreemptionRequest;
use crate::scheduling::quota::QuotaTracker;
use wide_arrays::{DeferredWideArray, WIDE_ARRAY_BUDGET};

/// A pass ends when it has placed this many tasks. A gang may exceed it.
pub const MAX_PLACEMENTS: usize = 128;

/// A pass that continues with wide arrays places no more tasks than this.
pub const MAX_PLACEMENTS_WITH_WIDE_ARRAYS: usize = 2 * MAX_PLACEMENTS;

/// Number of blocked jobs for which a pass looks for tasks to preempt, in queue order: the work of a pass
/// must not grow with the length of the queue times the size of the cluster.
const MAX_PREEMPTION_ATTEMPTS: usize = 8;

/// Lower limit of `largest_demand`, which is a divisor.
const MIN_LARGEST_DEMAND: f64 = 1e-9;

/// State of a pass.
struct SchedulingPass<'p, 'a> {
    /// Jobs with an entry, in the order of `Recovery::order`.
    active: &'p [QueueEntry<'a>],
    pending: &'p PendingJobs<'a>,
    hosts: &'p mut CapacityIndex,
    preemptible: &'p [PreemptibleTask<'a>],
    /// Preemptible tasks that stop alone and write a checkpoint.
    checkpointing_singles: Vec<&'p PreemptibleTask<'a>>,
    quotas: &'p mut QuotaTracker,
    /// Resources of an empty machine; demands are measured in machines of this size.
    typical_host: Resources,
    /// Bmax of the paper, in typical machines.
    largest_demand: f64,
    preemption_attempts_left: usize,
    /// Requests for which no machine had room, by `QueueEntry::reach`.
    infeasible: Vec<InfeasibleRequests>,
    /// Requests for which no task may be preempted.
    refused_requests: Vec<PreemptionRequest>,
    /// Number of tasks that wide arrays may still start in their turn.
    wide_array_budget: u32,
    deferred_wide_arrays: Vec<DeferredWideArray<'a>>,
    plan: SchedulingPlan<'a>,
}

/// Runs one pass: starts what fits, in order, and preempts tasks for blocked jobs.
///
/// `active`: in the order of `Recovery::order`. `largest_demand`: Bmax of the paper, the largest demand of
/// any job seen so far, including all jobs of this pass, in typical machines.
pub fn run_pass<'a>(
    active: &[QueueEntry<'a>],
    pending: &PendingJobs<'a>,
    hosts: &mut CapacityIndex,
    preemptible: &[PreemptibleTask<'a>],
    quotas: &mut QuotaTracker,
    largest_demand: f64,
) -> SchedulingPlan<'a> {
    let checkpointing_singles = preemptible
        .iter()
        .filter(|task| task.stops_alone && task.saves)
        .collect();
    let mut pass = SchedulingPass {
        active,
        pending,
        typical_host: hosts.first().map_or([1.0; 3], |host| host.total),
        hosts,
        preemptible,
        checkpointing_singles,
        quotas,
        largest_demand: largest_demand.max(MIN_LARGEST_DEMAND),
        preemption_attempts_left: MAX_PREEMPTION_ATTEMPTS,
        infeasible: vec![InfeasibleRequests::default(); pending.feasibility_class_count()],
        refused_requests: Vec::new(),
        wide_array_budget: WIDE_ARRAY_BUDGET,
        deferred_wide_arrays: Vec::new(),
        plan: SchedulingPlan::default(),
    };
    pass.walk_queue();
    pass.continue_wide_arrays();
    pass.plan
}

impl<'p, 'a> SchedulingPass<'p, 'a> {
    /// Whether the pass has placed its limit of tasks.
    fn is_full(&self) -> bool {
        self.plan.placements.len() >= MAX_PLACEMENTS
    }

    /// B/Bmax of the paper: the job's demand in proportion to the largest one.
    fn demand_ratio(&self, entry: &QueueEntry<'_>) -> f64 {
        let task_size = placement::dominant_share(&self.typical_host, &entry.requirements.need);
        entry.spec.tasks as f64 * task_size / self.largest_demand
    }

    /// Kind of a job.
    fn kind_of(&self, candidate: QueueCandidate<'a>) -> JobKind {
        match candidate {
            QueueCandidate::Active(index) => self.active[index].spec.kind,
            QueueCandidate::Pending(summary) => self.pending.profile_of(summary).kind,
        }
    }

    /// The queue entry of a job; that of a pending job is `built` for the call.
    fn entry<'e>(
        &self,
        candidate: QueueCandidate<'a>,
        built: &'e mut Option<QueueEntry<'a>>,
    ) -> Option<&'e QueueEntry<'a>>
    where
        'p: 'e,
    {
        match candidate {
            QueueCandidate::Active(index) => Some(&self.active[index]),
            QueueCandidate::Pending(summary) => {
                *built = self.pending.queue_entry(summary);
                built.as_ref()
            }
        }
    }
}

#[cfg(test)]
mod tests;
