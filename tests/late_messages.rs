//! Writes that the store carries out after the version number in their condition has come into use again, and duplicate
//! messages that reach a controller which never received the original (docs/fault-combinations.md, "Every transaction,
//! carried out late").

mod simulation;

use rand::RngExt;
use simulation::fault_injection::{DelayedKey, Duplication};
use simulation::{
    Endpoint, LEASE_S, PartitionMode, SECOND, Simulation, job, simulation_with_leader,
};
use walnuttrestle::protocol::format::NEWEST;
use walnuttrestle::protocol::{JobKind, JobSpec};

/// A controller starts with the new software version, and the first write of its format number gets no answer. The controller
/// is then rolled back, and the store carries out the write only after that. Fails if the rollback deletes the key of the
/// format number: the key's version is then 0 again, so the condition of the late write holds.
#[test]
fn format_number_does_not_return_after_a_rollback() {
    let mut downgrades = 0;
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
            skipped: 0,
            remaining: 1,
            delay: 11 * SECOND,
        });
        sim.set_first_version(0, false);
        sim.crash_controller(0, 50_000);
        sim.run_seconds(5);
        let format_seen = |sim: &Simulation| {
            sim.controller(1)
                .map_or(0, |n| n.cache.format_of("kernel-0").0)
        };
        assert_eq!(
            format_seen(&sim),
            NEWEST,
            "seed {seed}: the format number must be written again after the first answer was lost"
        );
        sim.set_first_version(0, true);
        sim.crash_controller(0, 50_000);
        let mut downgraded = false;
        for _ in 0..400 {
            sim.run_micros(SECOND / 20);
            downgraded |= format_seen(&sim) < NEWEST;
            assert!(
                !downgraded || format_seen(&sim) < NEWEST,
                "seed {seed}: the newer format number has reappeared after the rollback, at {} us",
                sim.now
            );
        }
        downgrades += usize::from(downgraded);
        sim.spawn_client("req-1", job(JobKind::Array, 2, 1.0), 2 * SECOND);
        sim.run_seconds(30);
        assert!(sim.job_done("req-1"), "seed {seed}: req-1 is not done");
    }
    assert_eq!(downgrades, 6, "seeds in which the format was downgraded");
}

/// The write of a placement batch gets no answer. The batch is written again, or a different batch under the same number, and
/// is merged into the job records and deleted. Then the store carries out the first write. The late batch must have no
/// effect, and is deleted again. Removing a single guard does not make this test fail.
#[test]
fn late_placement_batch_with_a_reused_number_has_no_effect() {
    let mut batches = 0;
    for seed in 0..24 {
        let mut sim = Simulation::with_write_rate(6140 + seed, 3, 6, 9.0);
        sim.run_seconds(8);
        sim.faults.delayed_key = Some(DelayedKey {
            prefix: "wt/b/",
            skipped: 0,
            remaining: 2,
            delay: sim.rng.random_range(2..12) * SECOND,
        });
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        for n in 0..24u64 {
            let at = (n / 8) * 3 * SECOND;
            let run_time = sim.rng.random_range(SECOND / 2..2 * SECOND);
            sim.after(at, move |sim| {
                sim.spawn_client(
                    &format!("req-{}", 100 + n),
                    job(JobKind::Array, 2, 1.0),
                    run_time,
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
                "seed {seed}: req-{} is not done\n{}",
                100 + n,
                sim.dump()
            );
        }
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: running instances of req-1\n{}",
            sim.dump()
        );
        assert_eq!(
            sim.store.count_keys_under("wt/b/"),
            0,
            "seed {seed}: all placement batches must be merged and deleted"
        );
    }
    assert!(
        batches > 20,
        "{batches} placement batches counted, expected more than 20"
    );
}

/// Messages between controllers are duplicated, with delays from half a second to more than a lease, while the leader changes,
/// the store is unavailable and jobs are cancelled. A duplicate may delay an action, but must not make it happen too early.
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
        assert!(
            sim.job_done("req-3"),
            "seed {seed}: req-3 is not done\n{}",
            sim.dump()
        );
        assert_eq!(
            sim.running_instances("req-1"),
            5,
            "seed {seed}: running instances of req-1\n{}",
            sim.dump()
        );
    }
}

/// A partition separates machines from the leader, and a follower renews their leases. The follower receives duplicates of
/// heartbeats whose originals were sent to the leader before the partition. It may report a dead machine as alive for at
/// most one more lease; no task runs twice, and the quota holds.
#[test]
fn duplicates_to_a_renewing_follower_without_the_original_are_harmless() {
    for seed in 0..32 {
        let mut sim = simulation_with_leader(6220 + seed, 6);
        let red_team_job = |tasks| JobSpec {
            team: "red".into(),
            ..job(JobKind::Array, tasks, 2.0)
        };
        sim.faults.heartbeat_duplication = Some(Duplication {
            probability: 0.7,
            max_delay: (LEASE_S + 4) * SECOND,
        });
        sim.spawn_client("req-1", red_team_job(6), 60 * SECOND);
        sim.spawn_client("req-2", job(JobKind::Service, 6, 1.0), 0);
        sim.run_seconds(12);
        let leader = sim.leader().expect("a leader");
        let machines = sim.machine_names();
        for machine in &machines {
            sim.partition(
                Endpoint::Controller(leader),
                Endpoint::Agent(machine.clone()),
                PartitionMode::Drop,
                30 * SECOND,
            );
        }
        // In the first seconds of the partition, one machine dies and the heartbeats of another are lost.
        let at = sim.rng.random_range(0..4 * SECOND);
        sim.after(at, move |sim| {
            let until = sim.now + 25 * SECOND;
            sim.failed_machines.insert(machines[0].clone());
            if let Some(agent) = sim.agents.get_mut(&machines[0]) {
                agent.alive = false;
            }
            sim.faults.drop_heartbeats(&machines[1], until);
        });
        sim.spawn_client("req-3", red_team_job(3), 5 * SECOND);
        if seed % 2 == 0 {
            let at = sim.rng.random_range(5..20) * SECOND;
            sim.after(at, move |sim| sim.crash_controller(leader, 60_000));
        }
        sim.run_seconds(40);
        sim.faults.clear();
        sim.run_seconds(150);
        for id in ["req-1", "req-3"] {
            assert!(
                sim.job_done(id),
                "seed {seed}: {id} is not done\n{}",
                sim.dump()
            );
        }
        assert_eq!(
            sim.running_instances("req-2"),
            6,
            "seed {seed}: running instances of req-2\n{}",
            sim.dump()
        );
    }
}
