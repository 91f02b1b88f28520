//! The demand that a pass could not place, in the form in which the autoscaler reads it.

use crate::cloud::autoscaler::{CapacityDemand, DemandSource};
use crate::protocol::{JobKind, JobSpec};
use crate::scheduling::backfill::{QueueCandidate, QueueEntry, SchedulingPlan, UnmetDemand};
use crate::scheduling::capacity_index::CapacityIndex;
use crate::scheduling::pending_jobs::PendingJobs;
use crate::state::record_cache::Job;
use foldhash::{HashMap, HashMapExt};

/// A job with tasks that a pass could not place.
#[derive(Debug, Clone, PartialEq)]
pub struct UnplacedJob {
    /// Job id.
    pub job: String,
    /// Number of tasks that could not be placed.
    pub tasks: u32,
}

/// Resolves queue candidates to the capacity that their tasks require.
pub(crate) struct QueueDemand<'p, 'a> {
    /// Entries of the jobs that the pass has inspected.
    pub(crate) entries: &'p [QueueEntry<'a>],
    /// Queued jobs that the pass has not inspected.
    pub(crate) pending: &'p PendingJobs<'a>,
    /// By job: the zones of the tasks that this pass has placed.
    pub(crate) placed_zones: HashMap<&'p str, Vec<u32>>,
    /// All zones in which machines are offered.
    pub(crate) zones: &'p [u32],
}

/// By job: the zones of the tasks in a plan. Empty if the plan leaves no demand unmet, since only the
/// autoscaler reads it.
pub(crate) fn placed_zones<'p>(
    plan: &'p SchedulingPlan<'_>,
    capacity: &CapacityIndex,
) -> HashMap<&'p str, Vec<u32>> {
    let mut zones: HashMap<&str, Vec<u32>> = HashMap::new();
    if plan.unmet_demands.is_empty() {
        return zones;
    }
    for placement in &plan.placements {
        let zone = capacity[placement.host].zone;
        zones.entry(&placement.job).or_default().push(zone);
    }
    zones
}

impl<'a> QueueDemand<'_, 'a> {
    /// The jobs of the unmet demands, in the same order.
    pub(crate) fn unplaced_jobs(
        &self,
        unmet: &[UnmetDemand<'_>],
    ) -> impl Iterator<Item = UnplacedJob> {
        unmet.iter().filter_map(|demand| {
            let (id, _) = self.job(demand.candidate)?;
            Some(UnplacedJob {
                job: id.clone(),
                tasks: demand.tasks,
            })
        })
    }

    /// The zones in which further tasks of a job may run, or `None` if its placed tasks do not restrict the
    /// choice. Machines rented in other zones could never run the tasks, but would count as capacity for
    /// them, so that machines in the allowed zones would not be rented.
    fn allowed_zones(
        &self,
        id: &str,
        spec: &JobSpec,
        present: &[(u32, Option<usize>)],
    ) -> Option<Vec<u32>> {
        if !spec.has_zone_constraint() {
            return None;
        }
        let placed = self.placed_zones.get(id).into_iter().flatten();
        let occupied_zones: Vec<u32> = present
            .iter()
            .map(|(zone, _)| zone)
            .chain(placed)
            .copied()
            .collect();
        if occupied_zones.is_empty() {
            return None;
        }
        let max_per_zone = spec.tasks.div_ceil(2) as usize;
        let is_allowed = |zone: &u32| {
            let tasks_in_zone = occupied_zones.iter().filter(|other| *other == zone).count();
            let runs_elsewhere = tasks_in_zone < occupied_zones.len();
            (!spec.one_zone || !runs_elsewhere) && (!spec.spread || tasks_in_zone < max_per_zone)
        };
        Some(self.zones.iter().copied().filter(is_allowed).collect())
    }

    fn demand_of_entry(&self, index: usize) -> CapacityDemand<'_> {
        let entry = &self.entries[index];
        CapacityDemand {
            gang: entry.spec.kind == JobKind::Gang,
            feasibility_class: entry.feasibility_class,
            need: &entry.requirements.need,
            allow: &entry.requirements.constraints,
            zones: self.allowed_zones(entry.id, entry.spec, &entry.task_locations),
        }
    }
}

impl<'a> DemandSource<'a> for QueueDemand<'_, 'a> {
    fn demand<'n>(&'n self, of: QueueCandidate<'n>) -> CapacityDemand<'n> {
        let summary = match of {
            QueueCandidate::Active(index) => return self.demand_of_entry(index),
            QueueCandidate::Pending(summary) => summary,
        };
        let profile = self.pending.profile_of(summary);
        let constrained_job = if profile.has_zone_constraint {
            self.pending.job_of(summary)
        } else {
            None
        };
        CapacityDemand {
            gang: profile.kind == JobKind::Gang,
            feasibility_class: profile.feasibility_class,
            need: &summary.need,
            allow: &profile.constraints,
            zones: constrained_job
                .and_then(|(id, job)| self.allowed_zones(id, &job.record.spec, &[])),
        }
    }

    fn job(&self, of: QueueCandidate<'_>) -> Option<(&'a String, &'a Job)> {
        match of {
            QueueCandidate::Active(index) => self.pending.job(self.entries[index].id),
            QueueCandidate::Pending(summary) => self.pending.job_of(summary),
        }
    }
}
