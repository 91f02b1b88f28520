//! Messages that arrive after their version number was used again, and duplicates that reach a controller which never saw
//! the original (docs/fault-combinations.md, "Every transaction, carried out late").

mod simulation;

use rand::RngExt;
use simulation::fault_injection::{DelayedKey, Duplication};
use simulation::{
    Endpoint, LEASE_S, PartitionMode, SECOND, Simulation, job, simulation_with_leader,
};
use walnuttrestle::protocol::format::NEWEST;
use walnuttrestle::protocol::{JobKind, JobSpec};

/// A controller starts with the new version, the first write of its format number gets no answer, and it is rolled back;
/// the write is carried out after that. Fails if the number was deleted: its version is 0 again then.
#[test]
fn format_number_does_not_return_after_a_rollback() {
    let mut went_back = 0;
    for seed in 0..6 {
        let mut sim = Simulation::with_first_version(6100 + seed, 4, None);
        sim.run_seconds(8);
        for i in [1, 2] {
            sim.set_first_version(i, false);
            sim.crash_controller(i, 50_000);
            sim.run_seconds(4);
        }
        sim.faults.delayed_key = Some(DelayedKey {
            prefix: "wt/f/kernel-0",
            remaining: 1,
            delay: 11 * SECOND,
        });
        sim.set_first_version(0, false);
        sim.crash_controller(0, 50_000);
        sim.run_seconds(5);
        let of = |sim: &Simulation| {
            sim.controller(1)
                .map_or(0, |n| n.cache.format_of("kernel-0").0)
        };
        assert_eq!(
            of(&sim),
            NEWEST,
            "seed {seed}: written again after the first answer was lost"
        );
        sim.set_first_version(0, true);
        sim.crash_controller(0, 50_000);
        let mut back = false;
        for _ in 0..400 {
            sim.run_micros(SECOND / 20);
            back |= of(&sim) < NEWEST;
            assert!(
                !back || of(&sim) < NEWEST,
                "seed {seed}: it has come back at {}",
                sim.now
            );
        }
        went_back += usize::from(back);
        sim.spawn_client("req-1", job(JobKind::Array, 2, 1.0), 2 * SECOND);
        sim.run_seconds(30);
        assert!(sim.job_done("req-1"), "seed {seed}");
    }
    assert_eq!(went_back, 6);
}

/// A placement batch gets no answer, is written again or differently, is merged and deleted, and is then carried out late.
/// Removing one guard alone does not make this test fail; the late batch never counts, and it is deleted again.
#[test]
fn late_placement_batch_with_a_reused_number_has_no_effect() {
    let mut batches = 0;
    for seed in 0..24 {
        let mut sim = Simulation::with_write_rate(6140 + seed, 3, 6, 9.0);
        sim.run_seconds(8);
        sim.faults.delayed_key = Some(DelayedKey {
            prefix: "wt/b/",
            remaining: 2,
            delay: sim.rng.random_range(2..12) * SECOND,
        });
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        for n in 0..24u64 {
            let at = (n / 8) * 3 * SECOND;
            let run = sim.rng.random_range(SECOND / 2..2 * SECOND);
            sim.after(at, move |sim| {
                sim.spawn_client(
                    &format!("req-{}", 100 + n),
                    job(JobKind::Array, 2, 1.0),
                    run,
                );
            });
        }
        if seed % 2 == 0 {
            sim.after(4 * SECOND, |sim| {
                let leader = sim.leader().unwrap_or(0);
                sim.crash_controller(leader, 100_000);
            });
        }
        for _ in 0..40 {
            sim.run_seconds(1);
            batches += sim.store.count_keys_under("wt/b/");
        }
        sim.run_seconds(60);
        for n in 0..24 {
            assert!(
                sim.job_done(&format!("req-{}", 100 + n)),
                "seed {seed}: {n}\n{}",
                sim.dump()
            );
        }
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: {}",
            sim.dump()
        );
        assert_eq!(
            sim.store.count_keys_under("wt/b/"),
            0,
            "seed {seed}: all are spent"
        );
    }
    assert!(batches > 20, "{batches}");
}

/// Messages between controllers are duplicated, seconds to a lease later, while the leader changes, the store is out and
/// jobs are cancelled. A duplicate may delay an action, but must not bring it forward.
#[test]
fn duplicate_peer_heartbeats_prove_nothing() {
    for seed in 0..32 {
        let mut sim = simulation_with_leader(6180 + seed, 5);
        sim.faults.peer_duplication = Some(Duplication {
            probability: 0.3,
            max_delay: (LEASE_S + 10) * SECOND,
        });
        sim.spawn_client("req-1", job(JobKind::Service, 5, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Array, 5, 1.0), 300 * SECOND);
        sim.spawn_client("req-3", job(JobKind::Array, 2, 1.0), 30 * SECOND);
        sim.run_seconds(10);
        for step in 0..4u64 {
            let at = step * 8 * SECOND + sim.rng.random_range(0..3 * SECOND);
            match (seed + step) % 4 {
                0 => sim.after(at, |sim| {
                    let leader = sim.leader().unwrap_or(0);
                    sim.crash_controller(leader, 30_000);
                }),
                1 => sim.after(at, |sim| {
                    let leader = sim.leader().unwrap_or(0);
                    sim.store.refused_controllers.push(leader);
                    sim.after(6 * SECOND, |sim| sim.store.refused_controllers.clear());
                }),
                2 => sim.after(at, |sim| {
                    sim.store.outage = true;
                    sim.after(9 * SECOND, |sim| {
                        let now = sim.now;
                        sim.store.end_outage(now);
                    });
                }),
                _ => sim.after(at, |sim| {
                    let leader = sim.leader().unwrap_or(0);
                    sim.partition(
                        Endpoint::Controller(leader),
                        Endpoint::Controller((leader + 1) % 3),
                        PartitionMode::Delay,
                        7 * SECOND,
                    );
                }),
            }
        }
        sim.after(9 * SECOND, |sim| sim.cancel_until_answered("req-2"));
        sim.run_seconds(60);
        sim.faults.clear();
        sim.run_seconds(60);
        sim.assert_cancelled(seed, &["req-2"]);
        assert!(sim.job_done("req-3"), "seed {seed}: {}", sim.dump());
        assert_eq!(
            sim.running_instances("req-1"),
            5,
            "seed {seed}: {}",
            sim.dump()
        );
    }
}

/// A follower renews machines that a partition separates from the leader, and gets duplicates of heartbeats whose
/// originals went to the leader before. It reports a dead machine alive for at most one more lease; nothing runs twice,
/// and the quota holds.
#[test]
fn duplicates_to_a_renewing_follower_without_the_original_are_harmless() {
    for seed in 0..32 {
        let mut sim = simulation_with_leader(6220 + seed, 6);
        let red = |tasks| JobSpec {
            team: "red".into(),
            ..job(JobKind::Array, tasks, 2.0)
        };
        sim.faults.heartbeat_duplication = Some(Duplication {
            probability: 0.7,
            max_delay: (LEASE_S + 4) * SECOND,
        });
        sim.spawn_client("req-1", red(6), 60 * SECOND);
        sim.spawn_client("req-2", job(JobKind::Service, 6, 1.0), 0);
        sim.run_seconds(12);
        let leader = sim.leader().expect("a leader");
        let all = sim.machine_names();
        for machine in &all {
            sim.partition(
                Endpoint::Controller(leader),
                Endpoint::Agent(machine.clone()),
                PartitionMode::Drop,
                30 * SECOND,
            );
        }
        // One machine dies and one goes silent in the first seconds of the partition.
        let at = sim.rng.random_range(0..4 * SECOND);
        sim.after(at, move |sim| {
            let until = sim.now + 25 * SECOND;
            sim.failed_machines.insert(all[0].clone());
            if let Some(x) = sim.agents.get_mut(&all[0]) {
                x.alive = false;
            }
            sim.faults.drop_heartbeats(&all[1], until);
        });
        sim.spawn_client("req-3", red(3), 5 * SECOND);
        if seed % 2 == 0 {
            let at = sim.rng.random_range(5..20) * SECOND;
            sim.after(at, move |sim| sim.crash_controller(leader, 60_000));
        }
        sim.run_seconds(40);
        sim.faults.clear();
        sim.run_seconds(150);
        for id in ["req-1", "req-3"] {
            assert!(sim.job_done(id), "seed {seed}: {id}\n{}", sim.dump());
        }
        assert_eq!(
            sim.running_instances("req-2"),
            6,
            "seed {seed}: {}",
            sim.dump()
        );
    }
}
