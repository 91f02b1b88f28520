//! Zone constraints of jobs whose tasks are placed one by one.

use crate::protocol::JobSpec;

/// Zones in which further tasks of a job may be placed.
pub(crate) struct ZoneLimits {
    one_zone: bool,
    /// Limit of tasks in one zone, for a job that has to be spread over zones.
    max_per_zone: Option<usize>,
    /// Zone of each placed task, with repetitions.
    occupied: Vec<u32>,
}

impl ZoneLimits {
    /// Limits of a job whose placed tasks are in the `occupied` zones (one item per task).
    pub(crate) fn new(spec: &JobSpec, occupied: Vec<u32>) -> ZoneLimits {
        let half = spec.tasks.div_ceil(2) as usize;
        ZoneLimits {
            one_zone: spec.one_zone,
            max_per_zone: spec.spread.then_some(half),
            occupied,
        }
    }

    /// Whether the next task may be placed in the zone.
    pub(crate) fn allow(&self, zone: u32) -> bool {
        if self.one_zone && self.occupied.iter().any(|other| *other != zone) {
            return false;
        }
        let in_zone = || self.occupied.iter().filter(|other| **other == zone).count();
        self.max_per_zone.is_none_or(|max| in_zone() < max)
    }

    /// Records that a task is placed in the zone.
    pub(crate) fn occupy(&mut self, zone: u32) {
        self.occupied.push(zone);
    }
}
