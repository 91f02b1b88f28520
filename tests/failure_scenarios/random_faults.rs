//! Random faults, several at a time; the run of a seed is reproducible.

use crate::simulation::{Endpoint, PartitionMode, SECOND, Simulation, job, simulation_with_leader};
use rand::RngExt;
use walnuttrestle::protocol::agent_api::TaskPhase;
use walnuttrestle::protocol::{JobKind, JobSpec};

/// A job that is submitted at a random time, and perhaps cancelled later.
struct RandomJob {
    spec: JobSpec,
    submitted_at: u64,
    run_time: u64,
    /// Time from the submission to the cancellation.
    cancelled_after: Option<u64>,
}

impl RandomJob {
    fn schedule(self, sim: &mut Simulation, index: usize) {
        sim.after(self.submitted_at, move |sim| {
            let id = format!("req-{index}");
            sim.spawn_client(&id, self.spec, self.run_time);
            if let Some(delay) = self.cancelled_after {
                sim.after(delay, move |sim| sim.cancel_until_answered(&id));
            }
        });
    }
}

/// A random job for whole machines or parts of them, of a team with a quota (red) or without one (blue).
fn draw_job_of_either_team(sim: &mut Simulation, index: usize) -> RandomJob {
    let submitted_at = sim.rng.random_range(0..60 * SECOND);
    let (kind, tasks) = match index % 4 {
        0 => (JobKind::Service, sim.rng.random_range(1..3)),
        1 => (JobKind::Gang, sim.rng.random_range(1..4)),
        _ => (JobKind::Array, sim.rng.random_range(1..6)),
    };
    let mut spec = job(
        kind,
        tasks,
        [1.0, 2.0, 8.0][sim.rng.random_range(0..3usize)],
    );
    // A service never completes, so it would hold its share of the team's quota for the whole run.
    let is_red_team = kind != JobKind::Service && sim.rng.random_bool(0.4);
    spec.team = if is_red_team { "red" } else { "blue" }.into();
    spec.spread = kind != JobKind::Gang && sim.rng.random_bool(0.3);
    if is_red_team && kind != JobKind::Array && spec.gpus * f64::from(tasks) > 12.0 {
        spec.gpus = 2.0;
        spec.cpus = 2.0;
    }
    if sim.rng.random_bool(0.5) && kind != JobKind::Service {
        spec.checkpoint_s = 4.0;
        spec.save_s = 2.0;
    }
    let run_time = sim.rng.random_range(2..30) * SECOND;
    let is_cancelled = sim.rng.random_bool(0.3);
    RandomJob {
        spec,
        submitted_at,
        run_time,
        cancelled_after: is_cancelled.then(|| sim.rng.random_range(SECOND..40 * SECOND)),
    }
}

fn start_store_outage(sim: &mut Simulation, duration: u64) {
    sim.store.outage = true;
    sim.after(duration, |sim| {
        let now = sim.now;
        sim.store.end_outage(now);
    });
}

/// Partitions a controller from an agent; messages are delayed.
fn delay_between(sim: &mut Simulation, controller: usize, machine: &str, duration: u64) {
    let agent = Endpoint::Agent(machine.to_string());
    let mode = PartitionMode::Delay;
    sim.partition(Endpoint::Controller(controller), agent, mode, duration);
}

fn schedule_random_fault(sim: &mut Simulation) {
    let at = sim.rng.random_range(0..90 * SECOND);
    let kind = sim.rng.random_range(0..10);
    let duration = sim.rng.random_range(2..30) * SECOND;
    let controller = sim.rng.random_range(0..3usize);
    let machine = format!("n-{:06}", sim.rng.random_range(1..8u32));
    sim.after(at, move |sim| match kind {
        0 => sim.crash_controller(controller, 4 * SECOND),
        1 => (0..3).for_each(|each| sim.crash_controller(each, 4 * SECOND)),
        2 => start_store_outage(sim, duration),
        3 => sim.partition(
            Endpoint::Controller(controller),
            Endpoint::Store,
            PartitionMode::Delay,
            duration,
        ),
        4 => (0..3).for_each(|each| delay_between(sim, each, &machine, duration)),
        5 => {
            let until = sim.now + duration;
            if let Some(agent) = sim.agents.get_mut(&machine) {
                agent.hung_until = until;
            }
        }
        6 => {
            if let Some(agent) = sim.agents.get_mut(&machine) {
                agent.alive = false;
            }
        }
        7 => sim.partition_zones(duration),
        8 => {
            for machine in sim.machine_names() {
                delay_between(sim, controller, &machine, duration);
            }
        }
        _ => {
            sim.command_delay = Some(duration.min(5 * SECOND));
            sim.after(duration, |sim| sim.command_delay = None);
        }
    });
}

#[test]
fn overlapping_faults_break_no_invariant() {
    for seed in (100..240).chain([1159]) {
        let mut sim = simulation_with_leader(seed, 5);
        for index in 0..14 {
            draw_job_of_either_team(&mut sim, index).schedule(&mut sim, index);
        }
        for _ in 0..7 {
            schedule_random_fault(&mut sim);
        }
        sim.run_seconds(400);
        for (id, truth) in &sim.jobs {
            if truth.spec.kind != JobKind::Service {
                let finished =
                    truth.completion_seen_at.is_some() || truth.cancellation_seen_at.is_some();
                assert!(finished, "seed {seed}: {id} never ended\n{}", sim.dump());
            } else if truth.cancellation_seen_at.is_none() {
                let running = running_replicas(&sim, id);
                assert!(
                    running as u32 == truth.spec.tasks,
                    "seed {seed}: {id}: {running} of {} replicas run\n{}",
                    truth.spec.tasks,
                    sim.dump()
                );
            }
        }
    }
}

/// Number of replicas of a service that run on any machine.
fn running_replicas(sim: &Simulation, id: &str) -> usize {
    sim.agents
        .values()
        .flat_map(|agent| agent.active_tasks())
        .filter(|((task, _), state)| {
            task.starts_with(&format!("{id}/")) && state.phase == TaskPhase::Running
        })
        .count()
}

/// A random job whose tasks need half a machine at most.
fn draw_small_job(sim: &mut Simulation, index: usize) -> RandomJob {
    let submitted_at = sim.rng.random_range(0..40 * SECOND);
    let kind = [
        JobKind::Service,
        JobKind::Gang,
        JobKind::Array,
        JobKind::Array,
    ][index % 4];
    let tasks = sim.rng.random_range(1..4);
    let mut spec = job(
        kind,
        tasks,
        [1.0, 2.0, 4.0][sim.rng.random_range(0..3usize)],
    );
    spec.spread = kind != JobKind::Gang && sim.rng.random_bool(0.3);
    let run_time = sim.rng.random_range(2..60) * SECOND;
    let is_cancelled = sim.rng.random_bool(0.5);
    RandomJob {
        spec,
        submitted_at,
        run_time,
        cancelled_after: is_cancelled.then(|| sim.rng.random_range(SECOND..80 * SECOND)),
    }
}

fn schedule_random_partition_or_restart(sim: &mut Simulation) {
    let at = sim.rng.random_range(0..70 * SECOND);
    let kind = sim.rng.random_range(0..7);
    let duration = sim.rng.random_range(3..40) * SECOND;
    let mode = [PartitionMode::Delay, PartitionMode::Drop][sim.rng.random_range(0..2usize)];
    let controller = sim.rng.random_range(0..3usize);
    let offset = sim.rng.random_range(1..3usize);
    let down_times = [50_000, 400_000, 4 * SECOND, 20 * SECOND];
    let down_time = down_times[sim.rng.random_range(0..4usize)];
    let endpoint = Endpoint::Controller(controller);
    sim.after(at, move |sim| match kind {
        0 => sim.crash_controller(controller, down_time),
        1 => (0..12).for_each(|step| {
            sim.after(step * 700_000, move |sim| {
                sim.crash_controller(controller, 50_000)
            })
        }),
        2 => {
            let peer = Endpoint::Controller((controller + offset) % 3);
            sim.partition(endpoint, peer, mode, duration);
        }
        3 => sim.partition(endpoint, Endpoint::Store, mode, duration),
        4 => {
            let machines = sim.machine_names().into_iter();
            for machine in machines.skip(offset - 1).step_by(offset) {
                let agent = Endpoint::Agent(machine);
                sim.partition(endpoint.clone(), agent, mode, duration);
            }
        }
        5 => {
            sim.store.refused_controllers.push(controller);
            sim.after(duration, move |sim| {
                let refused = &mut sim.store.refused_controllers;
                refused.retain(|other| *other != controller);
            });
        }
        _ => {
            let machine = sim.machine_names().into_iter().nth(controller * 2);
            if let Some(agent) = machine.and_then(|machine| sim.agents.get_mut(&machine)) {
                agent.alive = false;
            }
        }
    });
}

/// Partitions that leave some links up, overlapping with crashes and quick restarts.
#[test]
fn partial_partitions_and_quick_restarts_break_no_invariant() {
    for seed in 800..900 {
        let mut sim = simulation_with_leader(seed, 6);
        if seed % 2 == 0 {
            sim.restart_with_pledges();
        }
        for index in 0..10 {
            draw_small_job(&mut sim, index).schedule(&mut sim, index);
        }
        let outage_at = sim.rng.random_range(5..30) * SECOND;
        let outage = sim.rng.random_range(10..50) * SECOND;
        sim.after(outage_at, move |sim| start_store_outage(sim, outage));
        for _ in 0..6 {
            schedule_random_partition_or_restart(&mut sim);
        }
        sim.run_seconds(300);
        for (id, truth) in &sim.jobs {
            if truth.spec.kind == JobKind::Service && truth.cancellation_seen_at.is_none() {
                let running = (0..truth.spec.tasks)
                    .filter(|n| sim.machines_running(&format!("{id}/{n}")).len() == 1);
                assert_eq!(
                    running.count() as u32,
                    truth.spec.tasks,
                    "seed {seed}: {id}\n{}",
                    sim.dump()
                );
            } else {
                let finished =
                    truth.completion_seen_at.is_some() || truth.cancellation_seen_at.is_some();
                assert!(finished, "seed {seed}: {id} never ended\n{}", sim.dump());
            }
        }
    }
}
