//! Ranking of machines for the tasks of one job.

use crate::scheduling::placement::{Host, TaskRequirements, accepts_task, slots};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Weight of a machine (equation 7 of the paper): -0.5a² + L·(B/Bmax)·a.
///
/// `free_slots` is a, `total_slots` is L, and `demand_ratio` is B/Bmax.
pub fn weight(free_slots: f64, total_slots: f64, demand_ratio: f64) -> f64 {
    -0.5 * free_slots * free_slots + total_slots * demand_ratio * free_slots
}

/// Suitability of a machine for a task; the greatest is the best.
///
/// Spot instances come first for tasks that write checkpoints, then machines that have the image, because the
/// task starts there without a fetch. The weight decides only among machines that are equal in both. If the
/// weights are equal, too, the machine with the smallest index is the best.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct HostScore {
    preferred_spot: bool,
    has_image: bool,
    weight: f64,
    pub(super) host: usize,
}

impl HostScore {
    /// Score of the machine with this index.
    pub(super) fn of(
        index: usize,
        host: &Host,
        requirements: &TaskRequirements,
        demand_ratio: f64,
    ) -> HostScore {
        let free_slots = slots(&host.free, &requirements.need) as f64;
        let total_slots = slots(&host.total, &requirements.need) as f64;
        HostScore {
            preferred_spot: host.spot && requirements.saves_checkpoints,
            has_image: host.has_image(requirements.image),
            weight: weight(free_slots, total_slots, demand_ratio),
            host: index,
        }
    }
}

impl Eq for HostScore {}

impl Ord for HostScore {
    fn cmp(&self, other: &HostScore) -> Ordering {
        (self.preferred_spot.cmp(&other.preferred_spot))
            .then(self.has_image.cmp(&other.has_image))
            .then(self.weight.total_cmp(&other.weight))
            .then(other.host.cmp(&self.host))
    }
}

impl PartialOrd for HostScore {
    fn partial_cmp(&self, other: &HostScore) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Picks machines for the tasks of one job one by one. Each pick is the machine that a scan of all machines
/// would find to be the best.
pub struct HostPicker<'a> {
    id: &'a str,
    requirements: &'a TaskRequirements,
    demand_ratio: f64,
    /// Machines that are picked first.
    preferred: BinaryHeap<HostScore>,
    /// Machines that run a task of the job already; used only with `keep_apart`.
    shared: BinaryHeap<HostScore>,
    keep_apart: bool,
}

impl<'a> HostPicker<'a> {
    /// A picker for the job `id`.
    ///
    /// `candidates` has to include all machines that accept a task of the job. With `keep_apart`, machines
    /// that run a task of the job (`runs_on`) are picked last.
    pub fn new(
        hosts: &[Host],
        candidates: impl Iterator<Item = usize>,
        id: &'a str,
        requirements: &'a TaskRequirements,
        demand_ratio: f64,
        keep_apart: bool,
        runs_on: impl Fn(usize) -> bool,
    ) -> HostPicker<'a> {
        let mut preferred = Vec::new();
        let mut shared = Vec::new();
        for index in candidates {
            let host = &hosts[index];
            if requirements.avoided_hosts.contains(&index)
                || !accepts_task(host, id, &requirements.need, &requirements.constraints)
            {
                continue;
            }
            let scores = if keep_apart && runs_on(index) {
                &mut shared
            } else {
                &mut preferred
            };
            scores.push(HostScore::of(index, host, requirements, demand_ratio));
        }
        HostPicker {
            id,
            requirements,
            demand_ratio,
            preferred: preferred.into(),
            shared: shared.into(),
            keep_apart,
        }
    }

    /// Removes and returns the best machine for the next task. `zone_allowed` checks the job's zone
    /// constraints. A zone that is not allowed must stay so, because its machines are dropped for good.
    pub fn pick(&mut self, hosts: &[Host], zone_allowed: impl Fn(u32) -> bool) -> Option<usize> {
        for scores in [&mut self.preferred, &mut self.shared] {
            while let Some(score) = scores.pop() {
                if zone_allowed(hosts[score.host].zone) {
                    return Some(score.host);
                }
            }
        }
        None
    }

    /// Returns the machine picked last to the picker, because the task was not placed on it.
    pub fn put_back(&mut self, hosts: &[Host], host: usize) {
        let score = self.score(hosts, host);
        self.preferred.push(score);
    }

    /// Ranks the machine picked last again, because the task was placed on it.
    pub fn task_placed(&mut self, hosts: &[Host], host: usize) {
        let requirements = self.requirements;
        if !accepts_task(
            &hosts[host],
            self.id,
            &requirements.need,
            &requirements.constraints,
        ) {
            return;
        }
        let score = self.score(hosts, host);
        if self.keep_apart {
            self.shared.push(score);
        } else {
            self.preferred.push(score);
        }
    }

    /// Score of a machine with its current free room.
    fn score(&self, hosts: &[Host], host: usize) -> HostScore {
        HostScore::of(host, &hosts[host], self.requirements, self.demand_ratio)
    }
}
