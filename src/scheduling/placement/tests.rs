//! Compares the machines that `HostPicker` picks with those that a scan finds for each task.

use super::host_picker::HostScore;
use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

const JOB: &str = "j";
const IMAGE: u32 = 21;
const TASKS: usize = 30;

/// The machine with the best score of all machines that accept the task.
fn scan(
    hosts: &[Host],
    requirements: &TaskRequirements,
    demand_ratio: f64,
    fits: impl Fn(usize, &Host) -> bool,
) -> Option<usize> {
    let accepts = |index: usize, host: &Host| {
        accepts_task(host, JOB, &requirements.need, &requirements.constraints) && fits(index, host)
    };
    hosts
        .iter()
        .enumerate()
        .filter(|(index, host)| accepts(*index, host))
        .map(|(index, host)| HostScore::of(index, host, requirements, demand_ratio))
        .max()
        .map(|score| score.host)
}

fn random_host(rng: &mut ChaCha8Rng) -> Host {
    Host {
        machine_type: rng.random_range(0..2),
        zone: rng.random_range(10..12),
        spot: rng.random_bool(0.3),
        agent_epoch: 1,
        total: [64.0, 8.0, 256.0],
        free: [64.0, rng.random_range(0..9) as f64, 256.0],
        schedulable: rng.random_bool(0.9),
        images: Arc::new((20..24).filter(|_| rng.random_bool(0.4)).collect()),
        stopping: [0.0; 3],
        reserved: rng.random_bool(0.1).then(|| "other".into()),
    }
}

fn random_requirements(rng: &mut ChaCha8Rng) -> TaskRequirements {
    TaskRequirements {
        need: [rng.random_range(1..20) as f64, 1.0, 10.0],
        constraints: Arc::new(PlacementConstraints {
            machine_types: rng.random_bool(0.3).then(|| vec![1]),
            zone: rng.random_bool(0.2).then_some(10),
            spot: rng.random_bool(0.5),
        }),
        saves_checkpoints: rng.random_bool(0.5),
        image: IMAGE,
        avoided_hosts: Vec::new(),
    }
}

/// A job whose tasks are placed one by one.
struct Scenario {
    requirements: TaskRequirements,
    demand_ratio: f64,
    keep_apart: bool,
    max_per_zone: u32,
    /// By machine, whether a task of the job runs on it.
    runs_on: Vec<bool>,
}

impl Scenario {
    fn place(&self, host: &mut Host, tasks_in_zone: &mut [u32; 32]) {
        host.allocate(&self.requirements.need);
        host.add_image(IMAGE);
        tasks_in_zone[host.zone as usize] += 1;
    }

    fn choose_by_scans(&self, mut hosts: Vec<Host>) -> Vec<usize> {
        let mut runs_on = self.runs_on.clone();
        let mut tasks_in_zone = [0; 32];
        let mut chosen = Vec::new();
        for _ in 0..TASKS {
            let zone_allowed = |host: &Host| tasks_in_zone[host.zone as usize] < self.max_per_zone;
            let scan = |fits: &dyn Fn(usize, &Host) -> bool| {
                scan(&hosts, &self.requirements, self.demand_ratio, fits)
            };
            let found =
                scan(&|index, host| zone_allowed(host) && !(self.keep_apart && runs_on[index]))
                    .or_else(|| scan(&|_, host| zone_allowed(host)));
            let Some(host) = found else { break };
            self.place(&mut hosts[host], &mut tasks_in_zone);
            runs_on[host] = true;
            chosen.push(host);
        }
        chosen
    }

    fn choose_by_picker(&self, mut hosts: Vec<Host>) -> Vec<usize> {
        let mut picker = HostPicker::new(
            &hosts,
            0..hosts.len(),
            JOB,
            &self.requirements,
            self.demand_ratio,
            self.keep_apart,
            |host| self.runs_on[host],
        );
        let mut tasks_in_zone = [0; 32];
        let mut chosen = Vec::new();
        for _ in 0..TASKS {
            let zone_allowed = |zone| tasks_in_zone[zone as usize] < self.max_per_zone;
            let Some(host) = picker.pick(&hosts, zone_allowed) else {
                break;
            };
            self.place(&mut hosts[host], &mut tasks_in_zone);
            picker.task_placed(&hosts, host);
            chosen.push(host);
        }
        chosen
    }
}

#[test]
fn the_picker_chooses_as_a_scan_for_each_task_would() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(1..40);
        let hosts: Vec<Host> = (0..count).map(|_| random_host(&mut rng)).collect();
        let scenario = Scenario {
            requirements: random_requirements(&mut rng),
            demand_ratio: rng.random_range(0.0..1.0),
            keep_apart: rng.random_bool(0.5),
            max_per_zone: rng.random_range(1..20),
            runs_on: hosts.iter().map(|_| rng.random_bool(0.2)).collect(),
        };
        let expected = scenario.choose_by_scans(hosts.clone());
        assert_eq!(
            scenario.choose_by_picker(hosts),
            expected,
            "seed {seed}: the picker and the scan chose different machines"
        );
    }
}
