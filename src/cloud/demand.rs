//! The demand that found no capacity in a scheduling pass, in the form that the autoscaler uses.

use crate::scheduling::backfill::QueueCandidate;
use crate::scheduling::placement::{PlacementConstraints, Resources, TaskRequirements};
use crate::state::record_cache::Job;
use std::sync::Arc;

/// Image id that no machine has: a machine that is being provisioned has fetched no image yet.
const NO_IMAGE: u32 = u32::MAX;

/// Demand of a job that found no capacity.
pub struct CapacityDemand<'a> {
    /// Whether the job's tasks have to be placed either all together or not at all.
    pub gang: bool,
    /// Jobs with equal values may use the same machines.
    pub feasibility_class: u32,
    /// Resources of one task.
    pub need: &'a Resources,
    /// The machines that the job may use.
    pub allow: &'a Arc<PlacementConstraints>,
    /// The only zones in which further tasks may be placed, given the tasks that are placed already; None: any zone.
    pub zones: Option<Vec<u32>>,
}

/// Looks up the demand of queue entries. The job itself is looked up only if a machine may be requested for it.
pub trait DemandSource<'a> {
    /// Demand of a queue entry.
    fn demand<'n>(&'n self, candidate: QueueCandidate<'n>) -> CapacityDemand<'n>;
    /// The job of a queue entry, with its id.
    fn job(&self, candidate: QueueCandidate<'_>) -> Option<(&'a String, &'a Job)>;
}

/// Demands of the same class may be placed on the same machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct DemandClass {
    feasibility_class: u32,
    zones: Option<Vec<u32>>,
}

impl CapacityDemand<'_> {
    pub(super) fn class(&self) -> DemandClass {
        DemandClass {
            feasibility_class: self.feasibility_class,
            zones: self.zones.clone(),
        }
    }

    /// Whether a further task may be placed in a zone.
    pub(super) fn allows_zone(&self, zone: Option<u32>) -> bool {
        let Some(zones) = &self.zones else {
            return true;
        };
        zone.is_some_and(|zone| zones.contains(&zone))
    }

    /// The job's placement constraints: one set, or one for each zone if the zones are restricted.
    pub(super) fn constraints(&self) -> Vec<PlacementConstraints> {
        let Some(zones) = &self.zones else {
            return vec![PlacementConstraints::clone(self.allow)];
        };
        zones
            .iter()
            .filter(|zone| self.allow.zone.is_none_or(|only| only == **zone))
            .map(|zone| PlacementConstraints {
                zone: Some(*zone),
                ..PlacementConstraints::clone(self.allow)
            })
            .collect()
    }

    pub(super) fn task_requirements(&self) -> TaskRequirements {
        TaskRequirements {
            need: *self.need,
            constraints: self.allow.clone(),
            saves_checkpoints: false,
            image: NO_IMAGE,
            avoided_hosts: Vec::new(),
        }
    }
}
