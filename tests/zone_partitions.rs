//! Zones that are cut from each other for one or two leases, while the store loses answers, carries out writes late,
//! refuses the leader, or is out. Followers renew the leases of the agents that cannot reach the leader, and a long array
//! has its tasks in several records. The invariants are checked throughout; in the end, every job is served.
//! `SEEDS_FROM=17 SEEDS=1 cargo test --test zone_partitions` repeats one seed.

mod simulation;

use rand::RngExt;
use simulation::fault_injection::DroppedDelivery;
use simulation::{SECOND, Simulation, job, seeds, simulation_with_leader};
use walnuttrestle::protocol::{JobKind, JobSpec};

const FIRST_SEED: u64 = 12_000;
const SEED_COUNT: u64 = 96;
const LOSS_SEED_COUNT: u64 = 48;
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
    MachineLost,
    CancelledStartUnanswered,
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

/// Troubles that make leases end: a machine is lost and the cloud still lists it, or the leader raises its term because the
/// start of a cancelled task was not answered.
const LOSSES: [Trouble; 2] = [Trouble::MachineLost, Trouble::CancelledStartUnanswered];
/// At most this many of the six machines are lost in a run.
const MAX_LOST_MACHINES: usize = 2;
/// How long direct commands are lost, until the job that they start is cancelled.
const UNANSWERED: u64 = 4 * SECOND;

fn lose_machine(sim: &mut Simulation) {
    let lost = sim.agents.values().filter(|agent| !agent.alive).count();
    let machines = sim.machine_names();
    let machine = &machines[sim.rng.random_range(0..machines.len())];
    if lost < MAX_LOST_MACHINES {
        sim.agents.get_mut(machine).expect("a machine").alive = false;
    }
}

fn cancel_unanswered_start(sim: &mut Simulation) {
    let until = sim.now + UNANSWERED;
    for machine in sim.machine_names() {
        let kinds = [DroppedDelivery::Commands];
        sim.faults.drop_deliveries(&machine, None, &kinds, until);
    }
    let id = format!("req-{}", 100 + sim.jobs.len());
    sim.spawn_client(&id, job(JobKind::Array, 2, 0.1), 300 * SECOND);
    sim.after(UNANSWERED, move |sim| sim.cancel_until_answered(&id));
}

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
        Trouble::MachineLost => lose_machine(sim),
        Trouble::CancelledStartUnanswered => cancel_unanswered_start(sim),
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

/// Cuts the zones from each other several times, each time with some of these troubles, and after that with all of `then`.
fn run_day(seed: u64, troubles: &[Trouble], then: &[Trouble]) {
    let mut sim = simulation_with_leader(seed, 6);
    sim.no_capacity = true;
    submit_jobs(&mut sim);
    sim.run_seconds(8);
    for _ in 0..PARTITIONS {
        let duration = sim.rng.random_range(10 * SECOND..22 * SECOND);
        sim.partition_zones(duration);
        for _ in 0..sim.rng.random_range(1..3) {
            let trouble = troubles[sim.rng.random_range(0..troubles.len())];
            let delay = sim.rng.random_range(0..duration);
            println!("seed {seed}: {trouble:?} {} s after a cut", delay / SECOND);
            sim.after(delay, move |sim| start_trouble(sim, trouble));
        }
        for trouble in then.iter().copied() {
            let delay = duration - SECOND + sim.rng.random_range(0..4 * SECOND);
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
        run_day(seed, &TROUBLES, &[]);
    }
}

/// Guards against leases that never end (review/4): machines are lost and terms are raised just when the zones reach each
/// other again, while followers' records still name the machines whose leases they have renewed.
#[test]
fn machines_lost_after_zone_partitions_are_replaced() {
    for seed in seeds(FIRST_SEED + 1_000, LOSS_SEED_COUNT) {
        run_day(seed, &TROUBLES, &LOSSES);
    }
}
