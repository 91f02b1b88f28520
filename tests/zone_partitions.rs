//! Zones that are cut from each other for one or two leases, while the store loses answers, carries out writes late,
//! refuses the leader, or is out. Followers renew the leases of the agents that cannot reach the leader, and a long array
//! has its tasks in several records. The invariants are checked throughout; in the end, every job is served.
//! `SEEDS_FROM=17 SEEDS=1 cargo test --test zone_partitions` repeats one seed.

mod simulation;

use rand::RngExt;
use simulation::{SECOND, Simulation, job, seeds, simulation_with_leader};
use walnuttrestle::protocol::{JobKind, JobSpec};

const FIRST_SEED: u64 = 12_000;
const SEED_COUNT: u64 = 96;
/// Number of times that the zones are cut from each other in a run.
const PARTITIONS: usize = 3;

/// What happens while the zones are cut from each other.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    AllAnswersLost,
    SomeAnswersLost,
    WritesLate,
    LeaderRefused,
    LeaderRefusedThenOutage,
    Outage,
    LeaderPaused,
    FollowerRestarted,
    ReadsSlow,
}

const TROUBLES: [Trouble; 9] = [
    Trouble::AllAnswersLost,
    Trouble::SomeAnswersLost,
    Trouble::WritesLate,
    Trouble::LeaderRefused,
    Trouble::LeaderRefusedThenOutage,
    Trouble::Outage,
    Trouble::LeaderPaused,
    Trouble::FollowerRestarted,
    Trouble::ReadsSlow,
];

fn start_outage(sim: &mut Simulation, duration: u64) {
    sim.store.outage = true;
    sim.after(duration, |sim| {
        let now = sim.now;
        sim.store.end_outage(now);
    });
}

fn refuse_controller(sim: &mut Simulation, controller: usize, duration: u64) {
    sim.store.refused_controllers.push(controller);
    sim.after(duration, move |sim| {
        let refused = &mut sim.store.refused_controllers;
        refused.retain(|other| *other != controller);
    });
}

fn lose_answers(sim: &mut Simulation, probability: f64, duration: u64) {
    sim.faults.lost_write_answer_probability = probability;
    sim.after(duration, |sim| {
        sim.faults.lost_write_answer_probability = 0.0;
    });
}

fn start_trouble(sim: &mut Simulation, trouble: Trouble) {
    let leader = sim.leader().unwrap_or(0);
    let follower = (leader + 1 + usize::from(sim.rng.random_bool(0.5))) % 3;
    // Shorter than the leader's lease in the store, or longer.
    let short = sim.rng.random_range(SECOND..5 * SECOND);
    let long = sim.rng.random_range(4 * SECOND..14 * SECOND);
    match trouble {
        Trouble::AllAnswersLost => lose_answers(sim, 1.0, long),
        Trouble::SomeAnswersLost => lose_answers(sim, 0.5, long),
        Trouble::WritesLate => {
            sim.faults.delayed_write_probability = sim.rng.random_range(0.2..0.8);
            sim.after(long, |sim| sim.faults.delayed_write_probability = 0.0);
        }
        Trouble::LeaderRefused => refuse_controller(sim, leader, short),
        Trouble::LeaderRefusedThenOutage => {
            refuse_controller(sim, leader, short);
            sim.after(short, move |sim| start_outage(sim, long));
        }
        Trouble::Outage => start_outage(sim, long),
        Trouble::LeaderPaused => sim.pause_controller(leader, short),
        Trouble::FollowerRestarted => sim.crash_controller(follower, short / 20),
        Trouble::ReadsSlow => {
            sim.watch_delays.insert(leader, short / 2);
            sim.after(long, move |sim| _ = sim.watch_delays.remove(&leader));
        }
    }
}

fn submit_jobs(sim: &mut Simulation) {
    let red = JobSpec {
        team: "red".into(),
        ..job(JobKind::Array, 14, 1.0)
    };
    sim.spawn_client("req-1", job(JobKind::Service, 6, 1.0), 0);
    sim.spawn_client("req-2", job(JobKind::Array, 150, 1.0), 4 * SECOND);
    sim.spawn_client("req-3", job(JobKind::Gang, 4, 1.0), 60 * SECOND);
    sim.spawn_client("req-4", red, 20 * SECOND);
}

fn run_day(seed: u64) {
    let mut sim = simulation_with_leader(seed, 6);
    sim.no_capacity = true;
    submit_jobs(&mut sim);
    sim.run_seconds(8);
    for _ in 0..PARTITIONS {
        let duration = sim.rng.random_range(10 * SECOND..22 * SECOND);
        sim.partition_zones(duration);
        for _ in 0..sim.rng.random_range(1..3) {
            let trouble = TROUBLES[sim.rng.random_range(0..TROUBLES.len())];
            let delay = sim.rng.random_range(0..duration);
            println!("seed {seed}: {trouble:?} {} s after a cut", delay / SECOND);
            sim.after(delay, move |sim| start_trouble(sim, trouble));
        }
        sim.run_micros(duration + 16 * SECOND);
    }
    sim.faults.clear();
    sim.run_seconds(10);
    sim.declare_faults_over();
    sim.run_seconds(150);
    for id in ["req-2", "req-3", "req-4"] {
        let done = sim.job_done(id);
        assert!(done, "seed {seed}: {id} is not done\n{}", sim.dump());
    }
    assert_eq!(
        sim.running_instances("req-1"),
        6,
        "seed {seed}: running instances of req-1\n{}",
        sim.dump()
    );
}

#[test]
fn zone_partitions_and_store_faults_break_no_invariant() {
    for seed in seeds(FIRST_SEED, SEED_COUNT) {
        run_day(seed);
    }
}
