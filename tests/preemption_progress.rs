//! Random queues on few machines, without faults: jobs of all kinds, priorities and teams preempt each other, and all of them
//! end. Machines are reserved long enough for the checkpoints of preempted tasks, and preemption never goes in circles.
//! `SEEDS_FROM=17 SEEDS=1 cargo test --test preemption_progress` repeats one seed; a long run is started by hand with more
//! `SEEDS`.

mod simulation;

use rand::RngExt;
use simulation::{SECOND, Simulation, job, seeds, simulation_with_leader};
use walnuttrestle::protocol::{JobKind, JobSpec, Priority};

const FIRST_SEED: u64 = 15_000;
const SEED_COUNT: u64 = 60;
/// Number of arrays and gangs of a run.
const JOB_COUNT: u64 = 10;
/// Jobs arrive during this time.
const ARRIVALS_S: u64 = 40;
/// Even the largest jobs begin within this time (the operators' letters).
const MAX_WAIT_S: u64 = 240;
/// Upper bound of the run time of a task, with the fetch of its image and the time to report its end.
const MAX_RUN_S: u64 = 40;

const PRIORITIES: [Priority; 3] = [Priority::Low, Priority::Normal, Priority::High];
/// `green` has a guarantee of one machine, `red` a limit.
const TEAMS: [&str; 3] = ["blue", "green", "red"];
/// Checkpoint interval and duration of a checkpoint, in seconds.
const CHECKPOINTS: [(f64, f64); 3] = [(0.0, 0.0), (5.0, 1.0), (5.0, 25.0)];

/// A random array or gang that fits on two machines.
fn random_job(sim: &mut Simulation) -> JobSpec {
    let (kind, tasks, gpus) = match sim.rng.random_range(0..4) {
        0 => (JobKind::Gang, 1, 8.0),
        1 => (JobKind::Gang, 2, 4.0),
        2 => (JobKind::Array, sim.rng.random_range(1..10), 1.0),
        _ => (JobKind::Array, sim.rng.random_range(1..5), 2.0),
    };
    let (checkpoint_s, save_s) = CHECKPOINTS[sim.rng.random_range(0..CHECKPOINTS.len())];
    JobSpec {
        priority: PRIORITIES[sim.rng.random_range(0..PRIORITIES.len())],
        team: TEAMS[sim.rng.random_range(0..TEAMS.len())].into(),
        checkpoint_s,
        save_s,
        ..job(kind, tasks, gpus)
    }
}

/// Submits the jobs, and a service that takes a part of a machine for a while; returns the ids of the jobs.
fn submit_jobs(sim: &mut Simulation) -> Vec<String> {
    sim.spawn_client("req-1", job(JobKind::Service, 1, 1.0), 0);
    let cancel_at = sim.rng.random_range(10..ARRIVALS_S) * SECOND;
    sim.after(cancel_at, |sim| sim.cancel_until_answered("req-1"));
    let mut ids = Vec::new();
    for number in 0..JOB_COUNT {
        let id = format!("req-{}", 100 + number);
        let spec = random_job(sim);
        let at = sim.rng.random_range(0..ARRIVALS_S * SECOND);
        let run_time = sim.rng.random_range(2..20) * SECOND;
        let submitted = id.clone();
        sim.after(at, move |sim| sim.spawn_client(&submitted, spec, run_time));
        ids.push(id);
    }
    ids
}

fn run_queue(seed: u64) -> usize {
    let mut sim = simulation_with_leader(seed, 2);
    sim.no_capacity = true;
    let ids = submit_jobs(&mut sim);
    sim.run_seconds(ARRIVALS_S + 10);
    sim.declare_faults_over();
    sim.run_seconds(MAX_WAIT_S + MAX_RUN_S);
    for id in ids {
        assert!(
            sim.job_done(&id),
            "seed {seed}: {id} is not done\n{}",
            sim.dump()
        );
    }
    let restarts = sim.start_counts.values().map(|starts| *starts as usize - 1);
    restarts.sum()
}

/// Guards against jobs that preempt each other in turn without end (review/6 and the second review, "Seen, not made into a
/// case"), and against room that is cleared for a job and taken by others.
#[test]
fn all_jobs_of_a_random_queue_end() {
    let mut restarts = 0;
    for seed in seeds(FIRST_SEED, SEED_COUNT) {
        restarts += run_queue(seed);
    }
    assert!(restarts > 0, "no task was preempted");
}
