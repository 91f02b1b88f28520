//! Copies of direct commands that were carried out and answered, and that reach their machine once more, up to two minutes
//! late: after the job was cancelled, after the task was moved away and back, after starts through a follower, and on
//! machines with very many short tasks. The invariants are checked throughout.
//! `SEEDS_FROM=17 SEEDS=1 cargo test --test late_copies` repeats one seed.

mod simulation;

use rand::RngExt;
use simulation::fault_injection::Duplication;
use simulation::{
    CANCEL_DEADLINE_S, Endpoint, LEASE_S, PartitionMode, SECOND, Simulation, job, seeds,
    simulation_with_leader,
};
use std::ops::Range;
use walnuttrestle::protocol::{JobKind, JobSpec, Priority};

const FIRST_SEED: u64 = 14_000;
const SEED_COUNT: u64 = 20;
/// Delay of the last copies.
const MAX_COPY_DELAY_S: u64 = 120;

/// From now on, nearly every direct command arrives once more.
fn duplicate_commands(sim: &mut Simulation) {
    sim.faults.command_duplication = Some(Duplication {
        probability: 0.9,
        max_delay: MAX_COPY_DELAY_S * SECOND,
    });
}

/// Cancels jobs after a random time, in seconds.
fn cancel_after(sim: &mut Simulation, seconds: Range<u64>, jobs: &[&str]) {
    let delay_s = sim.rng.random_range(seconds);
    sim.run_seconds(delay_s);
    for job in jobs {
        sim.cancel_until_answered(job);
    }
}

/// Runs until no copy can arrive any more and everything that a copy has started is past its deadline.
fn run_until_copies_have_arrived(sim: &mut Simulation) {
    sim.faults.command_duplication = None;
    sim.run_seconds(MAX_COPY_DELAY_S + CANCEL_DEADLINE_S);
}

/// Guards against a task of a cancelled job that runs once more (late copy of a start command): the agent was told to
/// forget a done attempt while a copy of its start could still arrive.
#[test]
fn copies_of_starts_run_no_task_of_a_cancelled_array() {
    for seed in seeds(FIRST_SEED, SEED_COUNT) {
        let mut sim = simulation_with_leader(seed, 5);
        duplicate_commands(&mut sim);
        for id in ["req-1", "req-2"] {
            let run_time = sim.rng.random_range(2..6) * SECOND;
            sim.spawn_client(id, job(JobKind::Array, 40, 1.0), run_time);
            let step = sim.rng.random_range(0..2) * SECOND;
            sim.jobs.get_mut(id).expect("declared").run_time_step = step;
        }
        cancel_after(&mut sim, 8..30, &["req-1", "req-2"]);
        run_until_copies_have_arrived(&mut sim);
    }
}

/// Guards against a copy that starts an earlier attempt of a task which was stopped for another job, started elsewhere,
/// and came back to the machine.
#[test]
fn copies_of_starts_run_no_task_that_was_moved_away_and_back() {
    let mut moved_tasks = 0;
    for seed in seeds(FIRST_SEED + 100, SEED_COUNT) {
        let mut sim = simulation_with_leader(seed, 2);
        sim.no_capacity = true;
        duplicate_commands(&mut sim);
        let low = JobSpec {
            priority: Priority::Low,
            checkpoint_s: 2.0,
            save_s: 1.0,
            ..job(JobKind::Array, 8, 2.0)
        };
        sim.spawn_client("req-1", low, 30 * SECOND);
        sim.run_seconds(6);
        for gang in 0..4 {
            let spec = JobSpec {
                priority: Priority::High,
                ..job(JobKind::Gang, 1, 8.0)
            };
            let run_time = sim.rng.random_range(3..9) * SECOND;
            sim.spawn_client(&format!("req-{}", 10 + gang), spec, run_time);
            let pause_s = sim.rng.random_range(4..14);
            sim.run_seconds(pause_s);
        }
        if seed % 2 == 0 {
            sim.cancel_until_answered("req-1");
        }
        run_until_copies_have_arrived(&mut sim);
        moved_tasks += sim
            .start_counts
            .values()
            .filter(|starts| **starts > 1)
            .count();
    }
    assert!(moved_tasks > 20, "only {moved_tasks} tasks were moved");
}

/// Guards against starts that are sent through a follower, in the response to a relayed heartbeat, and that a copy of an
/// earlier direct command repeats.
#[test]
fn copies_of_starts_run_no_task_that_a_follower_relayed() {
    for seed in seeds(FIRST_SEED + 200, SEED_COUNT) {
        let mut sim = simulation_with_leader(seed, 4);
        duplicate_commands(&mut sim);
        sim.faults.peer_duplication = Some(Duplication {
            probability: 0.5,
            max_delay: MAX_COPY_DELAY_S * SECOND,
        });
        sim.spawn_client("req-1", job(JobKind::Array, 40, 1.0), 3 * SECOND);
        sim.run_seconds(5);
        let leader = sim.leader().expect("a leader");
        for machine in sim.machine_names() {
            let until_s = sim.rng.random_range(5..25);
            let (controller, agent) = (Endpoint::Controller(leader), Endpoint::Agent(machine));
            sim.partition(controller, agent, PartitionMode::Drop, until_s * SECOND);
        }
        sim.spawn_client("req-2", job(JobKind::Array, 40, 1.0), 3 * SECOND);
        cancel_after(&mut sim, 8..30, &["req-1", "req-2"]);
        run_until_copies_have_arrived(&mut sim);
    }
}

/// Guards against copies that survive a restart: controllers come back within a second, machines hang for up to two leases, so
/// that some of their agents begin new epochs, while tasks end, are cancelled and are started again elsewhere.
#[test]
fn copies_of_starts_run_no_task_after_quick_restarts_and_hangs() {
    for seed in seeds(FIRST_SEED + 500, SEED_COUNT) {
        let mut sim = simulation_with_leader(seed, 4);
        duplicate_commands(&mut sim);
        for (id, run_time_s) in [("req-1", 3), ("req-2", 12)] {
            sim.spawn_client(id, job(JobKind::Array, 20, 1.0), run_time_s * SECOND);
        }
        sim.spawn_client("req-3", job(JobKind::Gang, 2, 4.0), 15 * SECOND);
        for _ in 0..4 {
            let at = sim.rng.random_range(0..30 * SECOND);
            let down_time = sim.rng.random_range(20_000..SECOND);
            sim.after(at, move |sim| {
                let leader = sim.leader().unwrap_or(0);
                sim.crash_controller(leader, down_time);
            });
        }
        for machine in sim.machine_names().into_iter().take(2) {
            let at = sim.rng.random_range(0..30 * SECOND);
            let hang_time = sim.rng.random_range(SECOND..2 * LEASE_S * SECOND);
            sim.after(at, move |sim| {
                let until = sim.now + hang_time;
                sim.agents.get_mut(&machine).expect("a machine").hung_until = until;
            });
        }
        cancel_after(&mut sim, 6..40, &["req-1", "req-2", "req-3"]);
        run_until_copies_have_arrived(&mut sim);
    }
}

/// The largest body of a heartbeat that a controller accepts, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;
/// Length of an exited task in a heartbeat, in bytes.
const EXITED_TASK_BYTES: usize = 80;

/// Guards against heartbeats that grow without bound on machines with very many short tasks, since exited attempts are kept
/// while copies of their starts could run them again.
#[test]
fn agents_with_many_short_tasks_keep_a_bounded_number_of_exited_attempts() {
    for seed in seeds(FIRST_SEED + 300, 2) {
        let mut sim = simulation_with_leader(seed, 2);
        sim.no_capacity = true;
        duplicate_commands(&mut sim);
        let tiny = job(JobKind::Array, 4_000, 0.1);
        sim.spawn_client("req-1", tiny, SECOND / 2);
        let mut most_tasks = 0;
        for _ in 0..150 {
            sim.run_seconds(1);
            let tasks = sim.agents.values().map(|agent| agent.tasks.len());
            most_tasks = most_tasks.max(tasks.max().unwrap_or(0));
        }
        assert!(
            most_tasks * EXITED_TASK_BYTES < MAX_HEARTBEAT_BYTES,
            "seed {seed}: {most_tasks} tasks in one heartbeat"
        );
        assert!(
            sim.job_done("req-1"),
            "seed {seed}: req-1 is not done\n{}",
            sim.dump()
        );
    }
}

/// An idle machine of a cluster that had machines before its first job is returned after this time.
const IDLE_TIMEOUT_S: u64 = 300;
/// Time for passes, which run at least every five seconds, and for the call to the cloud.
const RETURN_TIME_S: u64 = 30;

/// Guards against idle machines that are never returned because the leader raises its term again and again: the age of the
/// term tells nothing about how long the leader has known the machines.
#[test]
fn idle_machine_is_returned_although_the_term_is_raised_often() {
    let mut sim = simulation_with_leader(FIRST_SEED + 400, 4);
    let first_term = sim.term();
    let (busy_zone, idle_zone) = ("a", "b");
    for number in 0..(IDLE_TIMEOUT_S + RETURN_TIME_S) / 3 {
        sim.after(number * 3 * SECOND, move |sim| {
            let spec = JobSpec {
                zone: Some(busy_zone.into()),
                ..job(JobKind::Array, 8, 1.0)
            };
            sim.spawn_client(&format!("req-{}", 100 + number), spec, SECOND);
        });
    }
    sim.run_seconds(IDLE_TIMEOUT_S + RETURN_TIME_S);
    let raised = sim.term() - first_term;
    assert!(raised > 2, "the term was raised {raised} times");
    let agents = sim.agents.values();
    let idle_machines = agents.filter(|agent| agent.zone == idle_zone && agent.alive);
    assert_eq!(idle_machines.count(), 0, "idle machines\n{}", sim.dump());
}
