//! One scheduling pass: BgMBFSDF (algorithm 2 of "Bandwidth-Guaranteed Parallel Job Scheduling in the
//! Cloud", as docs/design.md adapts it) over the queue in order of arrival.
//!
//! A pass handles two kinds of jobs. An *active* job has placed tasks, record changes that are not written
//! yet, failures or reserved machines; if it has tasks to start, it has a `QueueEntry`. All other jobs are
//! *pending*. Their number is not bounded, so the pass reads only their summaries and builds a `QueueEntry`
//! only if a machine may have room. If no machine has room for one pending job, the search is not repeated for other
//! pending jobs that request at least as much.

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

/// A pass ends when it has placed this many tasks. Gangs are placed as a whole, so the last one may exceed
/// the limit.
pub const MAX_PLACEMENTS: usize = 128;

/// Limit of tasks that a pass places if it continues with wide arrays.
pub const MAX_PLACEMENTS_WITH_WIDE_ARRAYS: usize = 2 * MAX_PLACEMENTS;

/// Number of blocked jobs for which a pass looks for tasks to preempt, in queue order. Without this limit the
/// work of a pass would grow with the length of the queue times the size of the cluster.
const MAX_PREEMPTION_ATTEMPTS: usize = 8;

/// Lower limit of `largest_demand`, which is a divisor.
const MIN_LARGEST_DEMAND: f64 = 1e-9;

/// State of a pass.
struct SchedulingPass<'p, 'a> {
    /// Active jobs with tasks to start, in the order of `Recovery::sort_entries`.
    active: &'p [QueueEntry<'a>],
    pending: &'p PendingJobs<'a>,
    hosts: &'p mut CapacityIndex,
    preemptible: &'p [PreemptibleTask<'a>],
    /// Preemptible tasks that stop alone and write a checkpoint.
    independent_checkpointing_tasks: Vec<&'p PreemptibleTask<'a>>,
    quotas: &'p mut QuotaTracker,
    /// Resources of an empty machine of the cluster. Demands are expressed in multiples of this machine.
    typical_host: Resources,
    /// Bmax of the paper, in typical machines.
    largest_demand: f64,
    preemption_attempts_left: usize,
    /// Requests for which no machine had room, by `QueueEntry::feasibility_class`.
    infeasible: Vec<InfeasibleRequests>,
    /// Requests for which no task may be preempted.
    refused_requests: Vec<PreemptionRequest<'a>>,
    /// Number of tasks that wide arrays may still start before all other jobs have been considered.
    wide_array_budget: u32,
    deferred_wide_arrays: Vec<DeferredWideArray<'a>>,
    plan: SchedulingPlan<'a>,
}

/// Runs one pass: starts the tasks that fit, in queue order, and preempts tasks for blocked jobs.
///
/// `active` has to be in the order of `Recovery::sort_entries`. `largest_demand` is Bmax of the paper: the largest
/// demand, in typical machines, of any job seen so far, including the jobs of this pass.
pub fn run_pass<'a>(
    active: &[QueueEntry<'a>],
    pending: &PendingJobs<'a>,
    hosts: &mut CapacityIndex,
    preemptible: &[PreemptibleTask<'a>],
    quotas: &mut QuotaTracker,
    largest_demand: f64,
) -> SchedulingPlan<'a> {
    let independent_checkpointing_tasks = preemptible
        .iter()
        .filter(|task| task.stops_alone && task.saves_checkpoints)
        .collect();
    let mut pass = SchedulingPass {
        active,
        pending,
        typical_host: hosts.first().map_or([1.0; 3], |host| host.total),
        hosts,
        preemptible,
        independent_checkpointing_tasks,
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
    /// Whether the pass has reached its limit of placed tasks.
    fn is_full(&self) -> bool {
        self.plan.placements.len() >= MAX_PLACEMENTS
    }

    /// B/Bmax of the paper: the job's demand in proportion to the largest one.
    fn demand_ratio(&self, entry: &QueueEntry<'_>) -> f64 {
        let task_size = placement::dominant_share(&self.typical_host, &entry.requirements.need);
        entry.spec.tasks as f64 * task_size / self.largest_demand
    }

    fn kind_of(&self, candidate: QueueCandidate<'a>) -> JobKind {
        match candidate {
            QueueCandidate::Active(index) => self.active[index].spec.kind,
            QueueCandidate::Pending(summary) => self.pending.profile_of(summary).kind,
        }
    }

    /// The queue entry of a job. The entry of a pending job is built by this call and stored in
    /// `pending_entry`.
    fn entry<'e>(
        &self,
        candidate: QueueCandidate<'a>,
        pending_entry: &'e mut Option<QueueEntry<'a>>,
    ) -> Option<&'e QueueEntry<'a>>
    where
        'p: 'e,
    {
        match candidate {
            QueueCandidate::Active(index) => Some(&self.active[index]),
            QueueCandidate::Pending(summary) => {
                *pending_entry = self.pending.queue_entry(summary);
                pending_entry.as_ref()
            }
        }
    }
}

#[cfg(test)]
mod tests;
