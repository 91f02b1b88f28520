//! What teams may still take.

use crate::scheduling::placement::{Resources, slots};

/// What teams may still take, by their names' numbers: CPUs and GPUs.
#[derive(Debug, Default, Clone)]
pub struct QuotaTracker(Vec<[f64; 2]>);

impl QuotaTracker {
    /// A team has this limit.
    pub fn limit(&mut self, team: u32, most: [f64; 2]) {
        let at = team as usize;
        if self.0.len() <= at {
            self.0.resize(at + 1, [f64::INFINITY; 2]);
        }
        self.0[at] = most;
    }

    /// A task of the team takes part of it.
    pub fn take(&mut self, team: u32, need: &Resources) {
        if let Some(r) = self.0.get_mut(team as usize) {
            r[0] -= need[0];
            r[1] -= need[1];
        }
    }

    /// How many tasks of the team it has room for.
    pub(crate) fn slots(&self, team: u32, need: &Resources) -> u32 {
        match self.0.get(team as usize) {
            Some([cpus, gpus]) => slots(&[*cpus, *gpus, f64::INFINITY], &[need[0], need[1], 0.0]),
            None => u32::MAX,
        }
    }
}
