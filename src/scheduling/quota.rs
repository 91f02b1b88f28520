//! Tracks the remaining quotas of teams during a pass.

use crate::scheduling::placement::{Resources, slots};

/// Resources that a team may still allocate.
#[derive(Debug, Clone, Copy)]
struct RemainingQuota {
    cpus: f64,
    gpus: f64,
}

/// Quota of a team without a limit.
const UNLIMITED: RemainingQuota = RemainingQuota {
    cpus: f64::INFINITY,
    gpus: f64::INFINITY,
};

/// Resources that teams may still allocate. Teams are identified by their ids in the `NameTable`.
#[derive(Debug, Default, Clone)]
pub struct QuotaTracker {
    by_team: Vec<RemainingQuota>,
}

impl QuotaTracker {
    /// Sets the quota of a team: CPUs and GPUs.
    pub fn set_limit(&mut self, team: u32, [cpus, gpus]: [f64; 2]) {
        let index = team as usize;
        if self.by_team.len() <= index {
            self.by_team.resize(index + 1, UNLIMITED);
        }
        self.by_team[index] = RemainingQuota { cpus, gpus };
    }

    /// Deducts the resources of a task from its team's quota.
    pub fn deduct(&mut self, team: u32, need: &Resources) {
        let [cpus, gpus, _] = need;
        if let Some(remaining) = self.by_team.get_mut(team as usize) {
            remaining.cpus -= cpus;
            remaining.gpus -= gpus;
        }
    }

    /// Maximum number of tasks with these resources that the remaining quota of the team permits.
    pub(crate) fn max_tasks(&self, team: u32, need: &Resources) -> u32 {
        let Some(remaining) = self.by_team.get(team as usize) else {
            return u32::MAX;
        };
        let [cpus, gpus, _] = *need;
        slots(
            &[remaining.cpus, remaining.gpus, f64::INFINITY],
            &[cpus, gpus, 0.0],
        )
    }
}
