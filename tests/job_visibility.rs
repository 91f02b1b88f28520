//! After random overlapping faults have ended, every accepted job is visible to its client, which polls through a load
//! balancer, and every job runs or is done. The largest jobs start in time despite a stream of smaller ones.

mod simulation;

use rand::RngExt;
use simulation::fault_injection::Duplication;
use simulation::{Endpoint, PartitionMode, SECOND, Simulation, job, seeds, simulation_with_leader};
use walnuttrestle::protocol::{JobKind, JobSpec, Priority};

/// A simulation whose clients use a load balancer.
fn simulation_with_load_balancer(seed: u64, machines: usize) -> Simulation {
    let mut sim = simulation_with_leader(seed, machines);
    sim.enable_load_balancer();
    sim.run_seconds(3);
    sim
}

/// Starts one random fault. It ends after at most `max_duration` microseconds, except that heartbeat duplication stays on
/// until the caller turns it off.
fn start_random_fault(sim: &mut Simulation, max_duration: u64) {
    let duration = sim.rng.random_range(2 * SECOND..max_duration);
    let i = sim.rng.random_range(0..3);
    let leader = sim.leader().unwrap_or(i);
    let others = |i: usize| (0..3).filter(move |j| *j != i);
    match sim.rng.random_range(0..11) {
        0 => {
            let down_time = sim.rng.random_range(20_000..8 * SECOND);
            sim.crash_controller(i, down_time);
        }
        1 => {
            for step in 0..sim.rng.random_range(2..4) {
                let down_time = sim.rng.random_range(20_000..8 * SECOND);
                sim.crash_controller((i + step) % 3, down_time);
            }
        }
        2 => sim.pause_controller(leader, duration),
        3 => sim.pause_controller(i, duration),
        4 => {
            sim.store.outage = true;
            sim.after(duration, |sim| {
                let now = sim.now;
                sim.store.end_outage(now);
            });
        }
        5 => {
            sim.store.refused_controllers.push(i);
            sim.after(duration, |sim| sim.store.refused_controllers.clear());
        }
        6 => {
            sim.partition(
                Endpoint::Controller(i),
                Endpoint::Store,
                PartitionMode::Drop,
                duration,
            );
            for j in others(i) {
                sim.partition(
                    Endpoint::Controller(i),
                    Endpoint::Controller(j),
                    PartitionMode::Drop,
                    duration,
                );
            }
        }
        7 => {
            let mode = [PartitionMode::Drop, PartitionMode::Delay][sim.rng.random_range(0..2)];
            for j in others(leader) {
                sim.partition(
                    Endpoint::Controller(leader),
                    Endpoint::Controller(j),
                    mode,
                    duration,
                );
            }
        }
        8 => {
            let (probability, until) = (sim.rng.random_range(0.1..0.6), sim.now + duration);
            for machine in sim.machine_names() {
                if sim.rng.random_bool(probability) {
                    sim.faults.drop_all_deliveries(&machine, until);
                }
            }
        }
        9 => {
            sim.faults.heartbeat_duplication = Some(Duplication {
                probability: 0.3,
                max_delay: 30 * SECOND,
            });
        }
        _ => {
            let machine = sim.machine_names();
            let machine = &machine[sim.rng.random_range(0..machine.len())];
            let until = sim.now + duration;
            sim.agents.get_mut(machine).expect("a machine").hung_until = until;
        }
    }
}

/// Runs several overlapping random faults; returns the simulation with its jobs when all faults are over.
fn run_random_faults(seed: u64) -> Simulation {
    let mut sim = simulation_with_load_balancer(seed, 6);
    sim.spawn_balanced_client("req-1", job(JobKind::Service, 4, 1.0), 0);
    sim.spawn_balanced_client("req-2", job(JobKind::Gang, 2, 5.0), 15 * SECOND);
    sim.spawn_balanced_client("req-3", job(JobKind::Array, 10, 1.0), 6 * SECOND);
    sim.spawn_balanced_client("req-4", job(JobKind::Array, 3, 1.0), 500 * SECOND);
    sim.run_seconds(6);
    for _ in 0..sim.rng.random_range(2..7) {
        start_random_fault(&mut sim, 45 * SECOND);
        let id = format!("req-{}", 10 + sim.now / SECOND);
        sim.spawn_balanced_client(&id, job(JobKind::Array, 2, 1.0), 3 * SECOND);
        let pause = sim.rng.random_range(0..8 * SECOND);
        sim.run_micros(pause);
    }
    sim.run_seconds(46);
    sim.faults.heartbeat_duplication = None;
    let now = sim.now;
    if sim.store.outage {
        sim.store.end_outage(now);
    }
    sim.store.refused_controllers.clear();
    sim.declare_faults_over();
    sim
}

/// Fails if a job stays unknown to its client for 75 s after all faults, if an accepted job does not run although there is
/// capacity for it, or if any rule of PROTOCOL is violated.
fn assert_jobs_visible_after_faults(seed: u64) {
    let mut sim = run_random_faults(seed);
    sim.run_seconds(150);
    for (id, truth) in &sim.jobs {
        let is_finite = truth.spec.kind != JobKind::Service && truth.run_time < 100 * SECOND;
        assert!(
            truth.accepted,
            "seed {seed}: {id} was never accepted\n{}",
            sim.dump()
        );
        assert!(
            !is_finite || truth.completion_seen_at.is_some(),
            "seed {seed}: {id} is not done\n{}",
            sim.dump()
        );
    }
    let replicas: usize = (0..4)
        .map(|task| sim.machines_running(&format!("req-1/{task}")).len())
        .sum();
    assert_eq!(
        replicas,
        4,
        "seed {seed}: running replicas of req-1\n{}",
        sim.dump()
    );
}

#[test]
fn every_accepted_job_stays_visible_and_runs_after_random_faults() {
    for seed in seeds(3_000, 150) {
        assert_jobs_visible_after_faults(seed);
    }
}

/// Time from a job's submission until each of its tasks has been started at least once; `None` if a task never was.
fn time_to_full_start(sim: &Simulation, id: &str, submitted_at: u64) -> Option<u64> {
    let tasks = sim.jobs[id].spec.tasks;
    let first_start = |task: u32| {
        let name = format!("{id}/{task}");
        sim.task_starts
            .iter()
            .find(|start| start.task == name)
            .map(|start| start.at - submitted_at)
    };
    (0..tasks)
        .map(first_start)
        .try_fold(0, |max, t| Some(max.max(t?)))
}

/// Kind of the smaller jobs that fill the fleet.
#[derive(Debug, Clone, Copy)]
enum SmallJobs {
    /// Gangs that take one whole machine, of high priority.
    Gangs,
    /// Single tasks of normal priority without checkpoints, which take an eighth of a machine each.
    SingleTasks,
    /// Both, after a very wide array of low priority that never completes.
    BehindLowPriorityArray,
}

/// How long a large job waits on twelve full machines while smaller jobs are submitted continuously and no machine can be
/// rented.
fn large_job_wait(seed: u64, small_jobs: SmallJobs, large: JobSpec, crash: bool) -> Option<u64> {
    let mut sim = simulation_with_load_balancer(seed, 12);
    sim.no_capacity = true;
    let submit_gang = |sim: &mut Simulation, n: u64, run_time: u64| {
        let spec = JobSpec {
            estimate_s: 5.0,
            priority: Priority::High,
            ..job(JobKind::Gang, 1, 8.0)
        };
        sim.spawn_client(&format!("req-9{n}"), spec, run_time);
    };
    let submit_single_tasks = |sim: &mut Simulation, n: u64, run_time: u64| {
        sim.spawn_client(&format!("req-8{n}"), job(JobKind::Array, 4, 1.0), run_time);
    };
    if matches!(small_jobs, SmallJobs::BehindLowPriorityArray) {
        let low_priority_array = JobSpec {
            priority: Priority::Low,
            ..job(JobKind::Array, 2_000, 1.0)
        };
        sim.spawn_client("req-70", low_priority_array, 30 * SECOND);
        sim.run_seconds(3);
    }
    // Continuously more demand than the fleet has capacity for.
    for n in 0..14 {
        submit_gang(&mut sim, n, (10 + n % 7) * SECOND);
    }
    sim.run_seconds(10);
    let submitted_at = sim.now;
    sim.spawn_client("req-1", large, 10 * SECOND);
    for second in 0..260u64 {
        let run_time = sim.rng.random_range(8..25) * SECOND;
        match small_jobs {
            SmallJobs::Gangs => submit_gang(&mut sim, 100 + second, run_time),
            SmallJobs::SingleTasks => {
                (0..4).for_each(|k| submit_single_tasks(&mut sim, 1000 + second * 4 + k, run_time))
            }
            SmallJobs::BehindLowPriorityArray if second % 2 == 0 => {
                submit_gang(&mut sim, 100 + second, run_time)
            }
            SmallJobs::BehindLowPriorityArray => {
                submit_single_tasks(&mut sim, 1000 + second, run_time)
            }
        }
        sim.run_seconds(1);
        if crash && second == 40 {
            let leader = sim.leader().unwrap_or(0);
            sim.crash_controller(leader, 2 * SECOND);
        }
        if let Some(t) = time_to_full_start(&sim, "req-1", submitted_at) {
            return Some(t);
        }
    }
    None
}

/// Fails if the widest gang, service or array of a class waits for more than four minutes while smaller jobs of the same
/// priority are submitted continuously.
#[test]
fn largest_job_starts_within_four_minutes_despite_smaller_jobs() {
    let spec = |kind, tasks, gpus, priority| JobSpec {
        priority,
        estimate_s: 60.0,
        ..job(kind, tasks, gpus)
    };
    let large_jobs = [
        ("gang", spec(JobKind::Gang, 5, 8.0, Priority::High)),
        (
            "service",
            JobSpec {
                spread: true,
                ..spec(JobKind::Service, 8, 2.0, Priority::Production)
            },
        ),
        ("array", spec(JobKind::Array, 48, 1.0, Priority::Normal)),
    ];
    let mut table = Vec::new();
    for small_jobs in [
        SmallJobs::Gangs,
        SmallJobs::SingleTasks,
        SmallJobs::BehindLowPriorityArray,
    ] {
        for (name, large) in &large_jobs {
            for crash in [false, true] {
                let t = large_job_wait(7, small_jobs, large.clone(), crash);
                table.push(format!(
                    "{small_jobs:?}, the widest {name}, leader crash {crash}: {:?} s",
                    t.map(|t| t / SECOND)
                ));
            }
        }
    }
    let never_started = table.iter().filter(|l| l.contains("None"));
    assert_eq!(
        never_started.count(),
        0,
        "large jobs that did not start in time:\n{}",
        table.join("\n")
    );
    println!("{}", table.join("\n"));
}
