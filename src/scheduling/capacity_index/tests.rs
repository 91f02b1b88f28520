//! Compares the results of the index with those of a scan of all machines.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

/// Sizes of the two machine types.
const SIZES: [Resources; 2] = [[64.0, 8.0, 256.0], [24.0, 0.0, 10.0]];

fn random_host(rng: &mut ChaCha8Rng) -> Host {
    let machine_type = rng.random_range(0..2);
    let total = SIZES[machine_type as usize];
    Host {
        machine_type,
        zone: rng.random_range(10..12),
        spot: rng.random_bool(0.3),
        agent_epoch: 1,
        total,
        free: total.map(|amount| (amount * rng.random_range(0.0..1.05)).round()),
        schedulable: rng.random_bool(0.8),
        images: Arc::default(),
        stopping: [0.0; 3],
        reserved: rng.random_bool(0.1).then(|| "req-9".into()),
    }
}

fn random_hosts(rng: &mut ChaCha8Rng) -> Vec<Host> {
    let count = rng.random_range(1..60);
    (0..count).map(|_| random_host(rng)).collect()
}

/// The same machines in the index and in a plain list.
struct Cluster {
    seed: u64,
    plain: Vec<Host>,
    index: CapacityIndex,
    constraints: PlacementConstraints,
}

impl Cluster {
    /// Machines that accept a task, found by a scan of the plain list.
    fn scan(&self, id: &str, need: &Resources) -> Vec<usize> {
        let fits = |host: &Host| {
            host.schedulable
                && slots(&host.free, need) > 0
                && host.reserved.as_deref().is_none_or(|job| job == id)
                && self
                    .constraints
                    .permit(host.machine_type, host.zone, host.spot)
        };
        let hosts = self.plain.iter().enumerate();
        hosts
            .filter(|(_, host)| fits(host))
            .map(|(index, _)| index)
            .collect()
    }

    fn slots_on(&self, hosts: &[usize], need: &Resources) -> u32 {
        let free = hosts.iter().map(|host| &self.plain[*host].free);
        free.map(|free| slots(free, need)).sum()
    }

    fn check_hosts_for(&self, need: &Resources, tasks: u32, all: &[usize]) {
        let seed = self.seed;
        let found = self.index.hosts_for(need, &self.constraints, tasks);
        let expected = tasks.min(self.slots_on(all, need));
        let slots_found = self.slots_on(&found, need);
        assert!(
            slots_found >= expected,
            "seed {seed}: hosts_for() found {slots_found} slots, expected at least {expected}"
        );
        assert!(
            found.iter().all(|host| all.contains(host)),
            "seed {seed}: hosts_for() found {found:?}, but only {all:?} accept the task"
        );
        let has_room = self.index.has_room(need, &self.constraints);
        assert_eq!(
            has_room,
            !all.is_empty(),
            "seed {seed}: has_room() differs from the scan, which found {all:?}"
        );
    }
}

#[test]
fn the_index_finds_the_same_machines_as_a_scan() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let plain = random_hosts(&mut rng);
        let mut cluster = Cluster {
            seed,
            index: CapacityIndex::new(plain.clone()),
            plain,
            constraints: PlacementConstraints {
                machine_types: rng.random_bool(0.3).then(|| vec![0]),
                zone: rng.random_bool(0.3).then_some(10),
                spot: rng.random_bool(0.5),
            },
        };
        for step in 0..30 {
            let need: Resources = [
                rng.random_range(0.0..30.0),
                [0.0, 1.0, 8.0][rng.random_range(0..3)],
                rng.random_range(0..90) as f64,
            ];
            for id in ["", "req-9"] {
                let all = cluster.scan(id, &need);
                let mut found = cluster.index.candidates(id, &need, &cluster.constraints);
                found.sort_unstable();
                assert_eq!(
                    found, all,
                    "seed {seed}, step {step}: the index and the scan found different machines"
                );
                if id.is_empty() {
                    cluster.check_hosts_for(&need, rng.random_range(1..40), &all);
                }
                if let Some(host) = all.first() {
                    cluster.plain[*host].allocate(&need);
                    cluster.index.allocate(*host, &need);
                }
            }
            if rng.random_bool(0.1) {
                let host = rng.random_range(0..cluster.plain.len());
                cluster.plain[host].reserved = Some("req-9".into());
                cluster.index.reserve(host, "req-9");
            }
        }
    }
}
