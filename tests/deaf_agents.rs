//! Degraded communication, after the operators' incidents of 2026-12: jobs that always fail, late duplicates of heartbeats,
//! controllers that reach only their agents, and deaf machines, whose agents send heartbeats but receive no responses or
//! commands.

mod simulation;

use rand::RngExt;
use simulation::fault_injection::{DroppedDelivery, Duplication};
use simulation::{
    Endpoint, LEASE_S, PartitionMode, SECOND, Simulation, job, simulation_with_leader,
};
use walnuttrestle::protocol::{JobKind, JobSpec, Priority};

/// Fails if a machine is marked faulty because of jobs that fail on every machine: it was drained and deleted once it had run
/// two of them (inc-944e: 28 healthy machines). Fails as well if all tasks of such a job are retried repeatedly.
#[test]
fn failing_jobs_do_not_mark_machines_faulty() {
    for seed in 0..6 {
        let mut sim = simulation_with_leader(700 + seed, 5);
        sim.spawn_client("req-90", job(JobKind::Service, 5, 1.0), 0);
        sim.run_seconds(6);
        for i in 0..4 {
            let id = format!("req-{i}");
            sim.spawn_client(&id, job(JobKind::Array, 12, 1.0), 2 * SECOND);
            sim.failing_jobs.insert(id);
        }
        sim.run_seconds(120);
        assert!(
            sim.deleted_machines.is_empty(),
            "seed {seed}: deleted machines {:?}, expected none",
            sim.deleted_machines
        );
        let failed_attempts = |sim: &Simulation| sim.failed_task_count();
        let failures_before = failed_attempts(&sim);
        sim.run_seconds(60);
        // Each of the four jobs is retried with a single task, with a backoff of up to a minute.
        assert!(
            failed_attempts(&sim) - failures_before <= 16,
            "seed {seed}: {} new failed attempts in 60 s, expected at most 16",
            failed_attempts(&sim) - failures_before
        );
        for i in 0..4 {
            sim.cancel_until_answered(&format!("req-{i}"));
        }
        sim.spawn_client("req-91", job(JobKind::Array, 8, 1.0), 2 * SECOND);
        sim.run_seconds(20);
        assert!(sim.job_done("req-91"), "seed {seed}: req-91 is not done");
    }
}

/// Fails if a new leader restarts all tasks of jobs that always fail, or deletes machines that have run them. Failed attempts
/// stay in the agents' heartbeats until a higher term fences them, and the new leader learns of them from there. Until it
/// has, it must not mark any machine faulty because of them.
#[test]
fn takeover_does_not_restart_all_failing_tasks() {
    for seed in 0..6 {
        let mut sim = simulation_with_leader(1500 + seed, 5);
        for i in 0..4 {
            let id = format!("req-{i}");
            sim.spawn_client(&id, job(JobKind::Array, 20, 1.0), 2 * SECOND);
            sim.failing_jobs.insert(id);
        }
        sim.run_seconds(90);
        let failures_before = sim.failed_task_count();
        let leader = sim.leader().unwrap();
        sim.crash_controller(leader, 2 * SECOND);
        sim.run_seconds(40);
        let new_failures = sim.failed_task_count() - failures_before;
        assert!(
            new_failures <= 32,
            "seed {seed}: {new_failures} failures in 40 s, expected at most 32"
        );
        assert!(
            sim.deleted_machines.is_empty(),
            "seed {seed}: deleted machines {:?}, expected none",
            sim.deleted_machines
        );
    }
}

/// The machines that run a service's replicas.
fn replica_machines(sim: &Simulation, id: &str, tasks: u32) -> Vec<String> {
    let machines = (0..tasks).flat_map(|t| sim.machines_running(&format!("{id}/{t}")));
    machines.collect()
}

/// Fails if a machine counts as usable because of its heartbeats alone: each task placed on a deaf machine would wait for a
/// whole lease before it is placed again.
#[test]
fn deaf_machine_gets_no_new_task_until_it_recovers() {
    for seed in 0..8 {
        let mut sim = simulation_with_leader(720 + seed, 4);
        sim.no_capacity = true;
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.run_seconds(10);
        let deaf = replica_machines(&sim, "req-1", 4)[0].clone();
        let until = sim.now + 28 * SECOND;
        sim.faults.drop_all_deliveries(&deaf, until);
        // The agent's lease expires without renewal; within two heartbeats its replicas run on other machines.
        sim.run_seconds(LEASE_S + 7);
        for task in 0..4 {
            let machines = sim.machines_running(&format!("req-1/{task}"));
            assert_eq!(
                machines.len(),
                1,
                "seed {seed}: machines of req-1/{task}\n{}",
                sim.dump()
            );
            assert!(
                !machines.contains(&deaf),
                "seed {seed}: req-1/{task} still runs on the deaf machine {deaf}"
            );
        }
        // These tasks have to run on the other three machines.
        for i in 2..8 {
            sim.spawn_client(&format!("req-{i}"), job(JobKind::Array, 3, 1.0), SECOND);
        }
        sim.run_seconds(8);
        assert!(
            (2..8).all(|i| sim.job_done(&format!("req-{i}"))),
            "seed {seed}: not all of req-2 to req-7 are done"
        );
        sim.run_seconds(8);
        // The machine receives messages again, and its capacity is needed for these jobs, whose tasks are large.
        sim.spawn_client("req-20", job(JobKind::Array, 4, 4.0), 12 * SECOND);
        sim.spawn_client("req-21", job(JobKind::Array, 4, 4.0), 12 * SECOND);
        sim.run_seconds(9);
        assert!(
            sim.agents[&deaf].active_tasks().next().is_some(),
            "seed {seed}: no task on the recovered machine {deaf}\n{}",
            sim.dump()
        );
        assert!(
            sim.deleted_machines.is_empty(),
            "seed {seed}: deleted machines {:?}, expected none",
            sim.deleted_machines
        );
    }
}

#[test]
fn permanently_deaf_machine_is_replaced() {
    let mut sim = simulation_with_leader(730, 2);
    sim.spawn_client("req-1", job(JobKind::Service, 2, 6.0), 0);
    sim.run_seconds(10);
    let deaf = replica_machines(&sim, "req-1", 2)[0].clone();
    sim.faults.drop_all_deliveries(&deaf, u64::MAX);
    sim.run_seconds(90);
    assert!(
        sim.deleted_machines.contains(&deaf),
        "the deaf machine {deaf} is not deleted\n{}",
        sim.dump()
    );
    assert_eq!(replica_machines(&sim, "req-1", 2).len(), 2);
}

/// Most machines of the fleet or of one zone become deaf: to all controllers or only to the leader, for heartbeat responses,
/// commands or both. No invariant is violated, and afterwards all jobs run or complete.
#[test]
fn deaf_racks_and_zones_break_no_invariant() {
    let mut deaf_machines = 0;
    for seed in 0..60 {
        let mut sim = simulation_with_leader(800 + seed, 6);
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Gang, 2, 6.0), 40 * SECOND);
        sim.spawn_client("req-3", job(JobKind::Array, 6, 1.0), 9 * SECOND);
        sim.run_seconds(10);
        let zone = sim.rng.random_bool(0.5).then_some("b");
        let sender = [None, None, sim.leader()][sim.rng.random_range(0..3)];
        let both = [
            DroppedDelivery::HeartbeatResponses,
            DroppedDelivery::Commands,
        ];
        let kinds = [&both[..], &both[..1], &both[1..]][sim.rng.random_range(0..3)];
        let until = sim.now + sim.rng.random_range(5..50) * SECOND;
        for machine in sim.machine_names() {
            if zone.is_none_or(|z| sim.agents[&machine].zone == z) && sim.rng.random_bool(0.8) {
                sim.faults.drop_deliveries(&machine, sender, kinds, until);
                deaf_machines += 1;
            }
        }
        sim.run_seconds(4);
        sim.spawn_client("req-4", job(JobKind::Array, 6, 1.0), 5 * SECOND);
        sim.spawn_client("req-5", job(JobKind::Array, 2, 1.0), 90 * SECOND);
        sim.run_seconds(6);
        sim.cancel_until_answered("req-5");
        if sim.rng.random_bool(0.4) {
            let (leader, down_time) = (
                sim.leader().unwrap_or(0),
                sim.rng.random_range(50_000..SECOND),
            );
            sim.crash_controller(leader, down_time);
        }
        sim.run_seconds(150);
        for i in [2, 3, 4] {
            assert!(
                sim.job_done(&format!("req-{i}")),
                "seed {seed}: req-{i} is not done\n{}",
                sim.dump()
            );
        }
        assert_eq!(
            replica_machines(&sim, "req-1", 4).len(),
            4,
            "seed {seed}: running replicas of req-1\n{}",
            sim.dump()
        );
    }
    assert!(
        deaf_machines > 100,
        "{deaf_machines} machines were made deaf, expected more than 100"
    );
}

/// Fails if a late duplicate of an old heartbeat makes a dead machine count as alive.
#[test]
fn duplicate_heartbeats_do_not_keep_a_dead_machine_alive() {
    for seed in 0..8 {
        let mut sim = simulation_with_leader(740 + seed, 4);
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.run_seconds(10);
        sim.faults.heartbeat_duplication = Some(Duplication {
            probability: 1.0,
            max_delay: 3 * LEASE_S * SECOND,
        });
        sim.run_seconds(20);
        let dead = replica_machines(&sim, "req-1", 4)[0].clone();
        sim.agents.get_mut(&dead).unwrap().alive = false;
        // One lease, and the time to place and start a task again.
        sim.run_seconds(LEASE_S + 6);
        assert_eq!(
            replica_machines(&sim, "req-1", 4).len(),
            4,
            "seed {seed}: running replicas of req-1\n{}",
            sim.dump()
        );
    }
}

/// A command's answer overtakes a heartbeat, so the leader discards the heartbeat as outdated. Fails if the leader still
/// answers it with its term: the agent then renews its lease, while the leader considers the lease expired too early.
#[test]
fn overtaken_heartbeat_does_not_renew_a_lease_silently() {
    for seed in 0..80 {
        let mut sim = simulation_with_leader(900 + seed, 4);
        sim.faults.max_heartbeat_delay = 1_500_000;
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        // Starts are sent continuously, so that their answers overtake heartbeats.
        for i in 0..40 {
            let delay = sim.rng.random_range(SECOND..30 * SECOND);
            sim.after(delay, move |sim| {
                sim.spawn_client(
                    &format!("req-{}", 10 + i),
                    job(JobKind::Array, 4, 1.0),
                    SECOND,
                )
            });
        }
        let duration = sim.rng.random_range(5_000_000..25_000_000);
        sim.run_micros(duration);
        for machine in sim.machine_names() {
            if sim.rng.random_bool(0.5) {
                for i in 0..3 {
                    sim.partition(
                        Endpoint::Controller(i),
                        Endpoint::Agent(machine.clone()),
                        PartitionMode::Drop,
                        25 * SECOND,
                    );
                }
            }
        }
        sim.run_seconds(60);
        assert_eq!(
            replica_machines(&sim, "req-1", 4).len(),
            4,
            "seed {seed}: running replicas of req-1"
        );
    }
}

/// Fails if an agent discards a stopped attempt while a duplicate of its start command may still arrive.
#[test]
fn duplicate_commands_do_not_restart_a_task() {
    let mut restarted_tasks = 0;
    for seed in 0..40 {
        let mut sim = simulation_with_leader(1000 + seed, 3);
        sim.faults.request_duplication = Some(Duplication {
            probability: 0.7,
            max_delay: 60 * SECOND,
        });
        sim.spawn_client("req-1", job(JobKind::Service, 2, 1.0), 0);
        for i in 0..6 {
            let spec = JobSpec {
                checkpoint_s: 5.0,
                save_s: 1.0,
                priority: Priority::Low,
                ..job(JobKind::Array, 3, 2.0)
            };
            sim.spawn_client(&format!("req-{}", 10 + i), spec, 30 * SECOND);
        }
        sim.run_seconds(12);
        for i in 0..2 {
            sim.cancel_until_answered(&format!("req-{}", 10 + i));
        }
        // A gang of a higher priority preempts some tasks, which are started again later.
        let spec = JobSpec {
            priority: Priority::High,
            ..job(JobKind::Gang, 1, 8.0)
        };
        sim.spawn_client("req-30", spec, 10 * SECOND);
        sim.run_seconds(140);
        for i in 2..6 {
            assert!(
                sim.job_done(&format!("req-{}", 10 + i)),
                "seed {seed}: req-{} is not done\n{}",
                10 + i,
                sim.dump()
            );
        }
        restarted_tasks += sim.start_counts.values().filter(|n| **n > 1).count();
    }
    assert!(
        restarted_tasks > 10,
        "{restarted_tasks} tasks were started more than once, expected more than 10"
    );
}

/// Partitions a controller from the store and its peers, but not from its agents.
fn partition_from_all_but_agents(sim: &mut Simulation, i: usize, duration: u64) {
    sim.partition(
        Endpoint::Controller(i),
        Endpoint::Store,
        PartitionMode::Drop,
        duration,
    );
    for j in (0..3).filter(|j| *j != i) {
        sim.partition(
            Endpoint::Controller(i),
            Endpoint::Controller(j),
            PartitionMode::Drop,
            duration,
        );
    }
}

/// A leader reaches only its agents. Fails if it keeps their leases renewed as long as it is allowed to: another controller
/// leads by then, and has no machine to start tasks on.
#[test]
fn leader_reaching_only_its_agents_releases_them_in_time() {
    for seed in 0..12 {
        let mut sim = simulation_with_leader(1100 + seed, 4);
        sim.restart_with_lease(16);
        sim.no_capacity = true;
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.run_seconds(12);
        let leader = sim.leader().unwrap();
        partition_from_all_but_agents(&mut sim, leader, 60 * SECOND);
        sim.run_seconds(7);
        assert_ne!(
            sim.health_status(leader),
            200,
            "seed {seed}: /healthz of the partitioned leader must not be 200"
        );
        sim.spawn_client_at(
            &[(leader + 1) % 3, (leader + 2) % 3],
            "req-2",
            job(JobKind::Array, 4, 1.0),
            2 * SECOND,
        );
        sim.spawn_client_at(
            &[(leader + 1) % 3, (leader + 2) % 3],
            "req-3",
            job(JobKind::Array, 2, 1.0),
            99 * SECOND,
        );
        sim.run_seconds(6);
        // The client polls every 1 to 3 s, so it may receive the final state that much later.
        assert_eq!(
            sim.jobs["req-2"].done.len(),
            4,
            "seed {seed}: completed tasks of req-2\n{}",
            sim.dump()
        );
        sim.run_seconds(3);
        assert!(
            sim.job_done("req-2"),
            "seed {seed}: req-2 is not done\n{}",
            sim.dump()
        );
        sim.cancel((leader + 1) % 3, "req-3");
        sim.run_seconds(80);
        assert_eq!(
            sim.health_status(leader),
            200,
            "seed {seed}: /healthz after the partition"
        );
        let restarted: Vec<_> = sim.start_counts.iter().filter(|(_, n)| **n > 1).collect();
        assert!(
            restarted.is_empty(),
            "seed {seed}: tasks started more than once: {restarted:?}"
        );
    }
}

/// A leader reaches only its agents, and the agents reach no other controller: it keeps their leases renewed, so that no task
/// has to be started again.
#[test]
fn only_reachable_leader_keeps_its_agents_as_long_as_allowed() {
    for seed in 0..6 {
        let mut sim = simulation_with_leader(1120 + seed, 4);
        sim.restart_with_lease(16);
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.run_seconds(12);
        let leader = sim.leader().unwrap();
        partition_from_all_but_agents(&mut sim, leader, 17 * SECOND);
        for i in (0..3).filter(|i| *i != leader) {
            sim.store.refused_controllers.push(i);
            for machine in sim.machine_names() {
                sim.partition(
                    Endpoint::Controller(i),
                    Endpoint::Agent(machine),
                    PartitionMode::Drop,
                    17 * SECOND,
                );
            }
        }
        sim.run_seconds(17);
        sim.store.refused_controllers.clear();
        sim.run_seconds(40);
        assert!(
            sim.start_counts.values().all(|n| *n == 1),
            "seed {seed}: a task was started more than once: {:?}",
            sim.start_counts
        );
    }
}

/// A random controller repeatedly loses the store and its peers, sometimes restarts, and a job is cancelled meanwhile. No
/// invariant is violated.
#[test]
fn controllers_reaching_only_agents_break_no_invariant() {
    for seed in 0..60 {
        let mut sim = simulation_with_leader(1200 + seed, 4);
        if seed % 2 == 0 {
            sim.restart_with_lease(16);
        }
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Array, 8, 1.0), 80 * SECOND);
        sim.run_seconds(12);
        let i = sim.rng.random_range(0..3);
        for n in 0..sim.rng.random_range(1..4u64) {
            let duration = sim.rng.random_range(3..40) * SECOND;
            let at = n * 20 * SECOND + sim.rng.random_range(0..9 * SECOND);
            sim.after(at, move |sim| {
                partition_from_all_but_agents(sim, i, duration)
            });
        }
        if sim.rng.random_bool(0.4) {
            let (at, down_time) = (
                sim.rng.random_range(0..30) * SECOND,
                sim.rng.random_range(20_000..3 * SECOND),
            );
            sim.after(at, move |sim| sim.crash_controller(i, down_time));
        }
        let at = sim.rng.random_range(3..30) * SECOND;
        sim.after(at, |sim| sim.cancel_until_answered("req-2"));
        sim.run_seconds(160);
        assert_eq!(
            sim.last_status("req-2"),
            "cancelled",
            "seed {seed}: last status of req-2"
        );
        assert_eq!(
            replica_machines(&sim, "req-1", 4).len(),
            4,
            "seed {seed}: running replicas of req-1\n{}",
            sim.dump()
        );
    }
}

/// One, two or all controllers crash at any step of an election and restart within 20 to 500 ms, while late duplicates of
/// their earlier requests arrive. Each job is completed once, and no client receives a wrong state.
#[test]
fn quick_restarts_during_elections_break_no_invariant() {
    for seed in 0..80 {
        let mut sim = simulation_with_leader(1300 + seed, 4);
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Gang, 2, 5.0), 20 * SECOND);
        sim.run_seconds(10);
        sim.faults.request_duplication = Some(Duplication {
            probability: 0.3,
            max_delay: 20 * SECOND,
        });
        sim.faults.heartbeat_duplication = Some(Duplication {
            probability: 0.3,
            max_delay: 30 * SECOND,
        });
        for _ in 0..sim.rng.random_range(1..6) {
            // An election takes about 30 ms from the expiry of the leader's key to the first command.
            let at = sim.rng.random_range(0..6 * SECOND);
            let count = sim.rng.random_range(1..4);
            let down_times: Vec<u64> = (0..count)
                .map(|_| sim.rng.random_range(20_000..500_000))
                .collect();
            sim.after(at, move |sim| {
                let first = sim.leader().unwrap_or(0);
                for (k, down_time) in down_times.iter().enumerate() {
                    sim.crash_controller((first + k) % 3, *down_time);
                }
            });
            let step = sim.rng.random_range(0..60_000);
            sim.after(at + 2_600_000 + step, |sim| {
                let leader = sim.leader().unwrap_or(1);
                sim.crash_controller(leader, 40_000);
            });
        }
        sim.spawn_client("req-3", job(JobKind::Array, 6, 1.0), 4 * SECOND);
        sim.spawn_client("req-4", job(JobKind::Array, 2, 1.0), 99 * SECOND);
        sim.run_seconds(9);
        sim.cancel_until_answered("req-4");
        sim.run_seconds(150);
        assert!(
            sim.job_done("req-2") && sim.job_done("req-3"),
            "seed {seed}: req-2 or req-3 is not done\n{}",
            sim.dump()
        );
        assert_eq!(
            sim.last_status("req-4"),
            "cancelled",
            "seed {seed}: last status of req-4"
        );
    }
}

/// The leader's zone is partitioned from everything else for 24 s. Fails if the leader redirects its agents although they
/// reach no other controller: by the time they return, the leader may no longer renew their leases.
#[test]
fn agents_in_a_partitioned_zone_are_not_redirected() {
    for seed in 0..6 {
        let mut sim = simulation_with_leader(1400 + seed, 4);
        sim.restart_with_lease(16);
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.run_seconds(12);
        let leader = sim.leader().unwrap();
        let (duration, zone) = (
            24 * SECOND,
            if leader.is_multiple_of(2) { "a" } else { "b" },
        );
        let is_in_zone = |z: &str| z == zone;
        let zone_of = |i: usize| if i.is_multiple_of(2) { "a" } else { "b" };
        // Other controllers in the zone are down, so the leader is the only one in it.
        for j in (0..3).filter(|j| *j != leader) {
            sim.partition(
                Endpoint::Controller(leader),
                Endpoint::Controller(j),
                PartitionMode::Drop,
                duration,
            );
            if is_in_zone(zone_of(j)) {
                sim.crash_controller(j, duration);
            }
        }
        sim.partition(
            Endpoint::Controller(leader),
            Endpoint::Store,
            PartitionMode::Drop,
            duration,
        );
        for machine in sim.machine_names() {
            let in_zone = is_in_zone(&sim.agents[&machine].zone);
            for i in (0..3).filter(|i| (*i == leader) != in_zone) {
                sim.partition(
                    Endpoint::Controller(i),
                    Endpoint::Agent(machine.clone()),
                    PartitionMode::Drop,
                    duration,
                );
            }
        }
        sim.run_seconds(70);
        let start_count = |task: &String| {
            sim.task_starts
                .iter()
                .filter(|start| start.task == *task)
                .count()
        };
        let restarted: Vec<_> = sim
            .start_counts
            .keys()
            .filter(|task| start_count(task) > 1)
            .collect();
        assert!(
            restarted.is_empty(),
            "seed {seed}: tasks started more than once: {restarted:?}"
        );
    }
}

/// Fails if late duplicates of old heartbeats make a follower that renews a dead machine's lease count it as alive.
#[test]
fn duplicate_heartbeats_do_not_keep_a_dead_machine_alive_on_a_renewing_follower() {
    for seed in 0..6 {
        let mut sim = simulation_with_leader(1420 + seed, 4);
        sim.no_capacity = true;
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.run_seconds(10);
        let leader = sim.leader().unwrap();
        // One machine reaches only a controller that the leader does not reach.
        let machine = replica_machines(&sim, "req-1", 4)[0].clone();
        let (follower, other) = ((leader + 1) % 3, (leader + 2) % 3);
        sim.partition(
            Endpoint::Controller(leader),
            Endpoint::Controller(follower),
            PartitionMode::Drop,
            200 * SECOND,
        );
        sim.partition(
            Endpoint::Controller(leader),
            Endpoint::Agent(machine.clone()),
            PartitionMode::Drop,
            200 * SECOND,
        );
        sim.partition(
            Endpoint::Controller(other),
            Endpoint::Agent(machine.clone()),
            PartitionMode::Drop,
            200 * SECOND,
        );
        sim.run_seconds(12);
        sim.faults.duplicate_to_same_controller = true;
        sim.faults.heartbeat_duplication = Some(Duplication {
            probability: 1.0,
            max_delay: 60 * SECOND,
        });
        sim.run_seconds(25);
        assert_eq!(
            sim.start_counts.values().max(),
            Some(&1),
            "seed {seed}: tasks must not be restarted while the follower renews the lease"
        );
        sim.agents.get_mut(&machine).unwrap().alive = false;
        // The lease as seen by the follower, the renewal record, the lease as seen by the leader, and a start.
        sim.run_seconds(2 * LEASE_S + 6);
        assert_eq!(
            replica_machines(&sim, "req-1", 4).len(),
            4,
            "seed {seed}: running replicas of req-1\n{}",
            sim.dump()
        );
    }
}

/// Fails if a duplicate heartbeat that arrives after its machine was deleted adds the machine to the fleet again.
#[test]
fn duplicate_heartbeats_do_not_revive_a_deleted_machine() {
    let mut sim = simulation_with_leader(1440, 3);
    sim.spawn_client("req-1", job(JobKind::Service, 2, 1.0), 0);
    sim.run_seconds(10);
    sim.faults.heartbeat_duplication = Some(Duplication {
        probability: 1.0,
        max_delay: 30 * SECOND,
    });
    sim.run_seconds(25);
    let deleted = replica_machines(&sim, "req-1", 2)[0].clone();
    sim.failed_machines.insert(deleted.clone());
    sim.agents.get_mut(&deleted).unwrap().alive = false;
    sim.run_seconds(12);
    assert!(
        sim.deleted_machines.contains(&deleted),
        "the failed machine {deleted} is not deleted: {:?}",
        sim.deleted_machines
    );
    for _ in 0..20 {
        sim.run_seconds(1);
        let leader_state = sim
            .leader()
            .and_then(|l| sim.controller(l)?.leader.as_ref());
        assert!(
            leader_state.is_some_and(|l| !l.agents.contains_key(&deleted)),
            "there is no leader, or it lists the deleted machine {deleted} again"
        );
    }
}
