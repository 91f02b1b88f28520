//! Demand that found no capacity in a scheduling pass, as the autoscaler sees it.

use crate::scheduling::backfill::QueueCandidate;
use crate::scheduling::placement::{PlacementConstraints, Resources, TaskRequirements};
use crate::state::record_cache::Job;
use std::sync::Arc;

/// Image of no machine: a machine that is still being provisioned has fetched none.
const NO_IMAGE: u32 = u32::MAX;

/// What a job needs that found no capacity.
pub struct CapacityDemand<'a> {
    /// All of the job's tasks have to be placed, or none.
    pub gang: bool,
    /// Jobs with the same number may use the same machines.
    pub feasibility_class: u32,
    /// Resources of one task.
    pub need: &'a Resources,
    /// Which machines the job may use.
    pub allow: &'a Arc<PlacementConstraints>,
    /// The only zones in which further tasks may be, because of the tasks placed already; none: any.
    pub zones: Option<Vec<u32>>,
}

/// Access to the demand behind queue entries. The job itself is looked up only if a machine may be requested for it.
pub trait DemandSource<'a> {
    /// What a job needs.
    fn need<'n>(&'n self, of: QueueCandidate<'n>) -> CapacityDemand<'n>;
    /// The job, by its id.
    fn job(&self, of: QueueCandidate<'_>) -> Option<(&'a String, &'a Job)>;
}

/// Demands of one class may be placed on the same machines.
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

    /// Whether a further task may be in a zone.
    pub(super) fn allows_zone(&self, zone: Option<u32>) -> bool {
        let Some(zones) = &self.zones else {
            return true;
        };
        zone.is_some_and(|zone| zones.contains(&zone))
    }

    /// The job's placement constraints: one for each zone where it is bound to zones.
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
