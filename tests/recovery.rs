//! Recovery after many tasks are lost at once.
//!
//! `assert_recovered_in_order` asserts that no job recovers ahead of an earlier one because its machines were available
//! again sooner. The simulation checks the rules of PROTOCOL after every step.

mod simulation;

use rand::RngExt;
use simulation::{Endpoint, LEASE_S, PartitionMode, SECOND, Simulation, job};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use walnuttrestle::protocol::JobKind;

const SERVICES: usize = 16;
const ARRAYS: usize = 8;
const GANGS: usize = 4;

/// Write limit of the store, in changes per second. It is so low that a write of its own for each lost job would take
/// seconds.
const WRITE_RPS: f64 = 12.0;

fn id(n: usize) -> String {
    format!("req-{n:04}")
}

/// `LOG_LEVEL=debug cargo test --test recovery -- --nocapture NAME` prints the logs of the controllers.
fn simulation_with_write_rate(seed: u64, machines: usize, write_rps: f64) -> Simulation {
    let _ = env_logger::Builder::from_env(env_logger::Env::default().filter("LOG_LEVEL"))
        .is_test(true)
        .try_init();
    let mut sim = Simulation::with_store_limits(seed, 3, machines, write_rps, None);
    sim.run_seconds(6);
    sim
}

/// A simulation in which services, arrays and gangs fill most of the machines. Jobs of these kinds are submitted
/// alternately, so that the jobs of one kind are not all older than those of another.
fn busy_simulation(seed: u64, machines: usize) -> Simulation {
    let mut sim = simulation_with_write_rate(seed, machines, WRITE_RPS);
    submit_filling_jobs(&mut sim);
    sim
}

fn submit_filling_jobs(sim: &mut Simulation) {
    for n in 0..SERVICES + ARRAYS + GANGS {
        let (spec, run) = match n % 7 {
            0 | 2 | 4 | 6 => (job(JobKind::Service, 2, 1.0), 0),
            1 | 3 => (job(JobKind::Array, 3, 1.0), 45 * SECOND),
            _ => (job(JobKind::Gang, 2, 2.0), 45 * SECOND),
        };
        sim.spawn_client(&id(n), spec, run);
        sim.run_seconds(1);
    }
    sim.run_seconds(6);
    assert!(
        sim.leader().is_some(),
        "no leader after all jobs were submitted"
    );
}

fn kind_of(sim: &Simulation, task: &str) -> JobKind {
    sim.jobs[job_of(task)].spec.kind
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap()
}

/// Tasks that started before `since` and again at or after it: by the machine of the earlier start, the time of the
/// later start of each task.
fn task_returns(sim: &Simulation, since: u64) -> BTreeMap<String, BTreeMap<String, u64>> {
    let mut machine_of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut returns: BTreeMap<String, BTreeMap<String, u64>> = BTreeMap::new();
    for start in &sim.task_starts {
        if start.at < since {
            machine_of.insert(&start.task, &start.machine);
        } else if let Some(machine) = machine_of.remove(start.task.as_str()) {
            let tasks = returns.entry(machine.to_string()).or_default();
            tasks.insert(start.task.clone(), start.at);
        }
    }
    returns
}

/// Asserts the order in which tasks that were lost on the same machine start again. Of two jobs of one kind, the tasks
/// of the job that was accepted first start at most `slack` after those of the other. Replicas of services start at
/// most `slack` after tasks of other kinds. The slack covers a scheduling pass, a write and the fetch of an image.
fn assert_recovered_in_order(sim: &Simulation, since: u64) {
    let slack = 4 * SECOND;
    let mut compared = 0;
    for (machine, tasks) in task_returns(sim, since) {
        for (a, at_a) in &tasks {
            for (b, at_b) in &tasks {
                let (kind_a, kind_b) = (kind_of(sim, a), kind_of(sim, b));
                let accepted_first = job_of(a) < job_of(b) && kind_a == kind_b;
                let replica_first = kind_a == JobKind::Service && kind_b != JobKind::Service;
                if !(accepted_first || replica_first) {
                    continue;
                }
                compared += 1;
                assert!(
                    *at_a <= at_b + slack,
                    "{machine}: {a} ({kind_a:?}) restarted at {at_a} us, more than {slack} us after {b} \
                     ({kind_b:?}) at {at_b} us"
                );
            }
        }
    }
    assert!(
        compared > 10,
        "only {compared} pairs of lost tasks were compared, expected more than 10"
    );
}

/// Asserts that all replicas run and that all other jobs are done.
fn assert_all_jobs_recovered(sim: &Simulation) {
    for (id, ground_truth) in &sim.jobs {
        match ground_truth.spec.kind {
            JobKind::Service => {
                for task in 0..ground_truth.spec.tasks {
                    assert_eq!(
                        sim.machines_running(&format!("{id}/{task}")).len(),
                        1,
                        "number of running instances of {id}/{task}\n{}",
                        sim.dump()
                    );
                }
            }
            _ => assert!(
                sim.job_done(id),
                "{id} is {}, expected done\n{}",
                sim.last_status(id),
                sim.dump()
            ),
        }
    }
}

/// Names and zones of all machines.
fn machines(sim: &Simulation) -> Vec<(String, String)> {
    let name_and_zone =
        |agent: &simulation::fake_agent::FakeAgent| (agent.name.clone(), agent.zone.clone());
    sim.agents.values().map(name_and_zone).collect()
}

/// Partitions the machines and controllers of a zone from everything outside it.
fn partition_zone(sim: &mut Simulation, zone: &str, duration: u64) {
    let zone_of = |i: usize| if i.is_multiple_of(2) { "a" } else { "b" };
    let machines = machines(sim);
    for i in 0..3 {
        if zone_of(i) == zone {
            sim.partition(
                Endpoint::Controller(i),
                Endpoint::Store,
                PartitionMode::Delay,
                duration,
            );
            sim.partition(
                Endpoint::Controller(i),
                Endpoint::Cloud,
                PartitionMode::Delay,
                duration,
            );
        }
        for j in i + 1..3 {
            if (zone_of(i) == zone) != (zone_of(j) == zone) {
                sim.partition(
                    Endpoint::Controller(i),
                    Endpoint::Controller(j),
                    PartitionMode::Delay,
                    duration,
                );
            }
        }
        for (machine, machine_zone) in &machines {
            if (zone_of(i) == zone) != (machine_zone == zone) {
                sim.partition(
                    Endpoint::Controller(i),
                    Endpoint::Agent(machine.clone()),
                    PartitionMode::Delay,
                    duration,
                );
            }
        }
    }
}

fn kill_machines(sim: &mut Simulation, is_lost: impl Fn(usize) -> bool) {
    for (i, agent) in sim.agents.values_mut().enumerate() {
        agent.alive &= !is_lost(i);
    }
}

/// Whether a placement batch has ever been written. Tests assert this so that they do not pass without any batch.
fn has_placement_batch(sim: &Simulation) -> bool {
    sim.store.contains_key("wt/bundled")
}

#[test]
fn partitioned_zone_recovers_in_priority_order() {
    let mut sim = busy_simulation(1, 12);
    let since = sim.now;
    partition_zone(&mut sim, "b", 35 * SECOND);
    sim.run_seconds(150);
    assert_recovered_in_order(&sim, since + LEASE_S * SECOND);
    assert_all_jobs_recovered(&sim);
    assert!(
        has_placement_batch(&sim),
        "no placement batch was written during the recovery"
    );
}

/// Injects faults into a busy simulation and asserts that tasks that start again at least `loss_delay` after the first
/// fault recover in order.
fn assert_recovery_in_order(
    seeds: Range<u64>,
    machines: usize,
    loss_delay: u64,
    inject_faults: impl Fn(&mut Simulation, u64),
) {
    for seed in seeds {
        let mut sim = busy_simulation(seed, machines);
        let since = sim.now + loss_delay;
        inject_faults(&mut sim, seed);
        assert_recovered_in_order(&sim, since);
        assert_all_jobs_recovered(&sim);
    }
}

#[test]
fn zone_loss_during_controller_restarts_recovers_in_order() {
    assert_recovery_in_order(10..14, 12, LEASE_S * SECOND, |sim, _| {
        partition_zone(sim, "b", 40 * SECOND);
        sim.run_seconds(2);
        (0..3).for_each(|i| sim.crash_controller(i, 4 * SECOND));
        sim.run_seconds(140);
    });
}

#[test]
fn loss_of_half_the_machines_recovers_in_order() {
    assert_recovery_in_order(20..24, 12, 0, |sim, _| {
        kill_machines(sim, |i| i % 4 < 2);
        sim.run_seconds(160);
    });
}

#[test]
fn returning_zone_during_replacement_recovers_in_order() {
    assert_recovery_in_order(30..34, 10, LEASE_S * SECOND, |sim, seed| {
        // Leases expire after 10 s and replacement machines take 5 s to boot. The partition ends in between.
        let duration = (LEASE_S + 4 + seed % 4) * SECOND;
        for (machine, _) in machines(sim).iter().filter(|(_, zone)| zone == "b") {
            for i in 0..3 {
                sim.partition(
                    Endpoint::Controller(i),
                    Endpoint::Agent(machine.clone()),
                    PartitionMode::Delay,
                    duration,
                );
            }
        }
        sim.run_seconds(120);
    });
}

#[test]
fn second_loss_during_recovery_recovers_in_order() {
    assert_recovery_in_order(40..44, 12, 0, |sim, _| {
        kill_machines(sim, |i| i % 4 == 0);
        sim.run_seconds(LEASE_S + 3);
        kill_machines(sim, |i| i % 4 == 1);
        sim.run_seconds(160);
    });
}

#[test]
fn recovery_with_a_slow_store_keeps_order() {
    assert_recovery_in_order(50..53, 12, 0, |sim, _| {
        sim.store_delay = 600_000;
        kill_machines(sim, |i| i % 4 < 2);
        sim.run_seconds(90);
        sim.store_delay = 0;
        sim.run_seconds(90);
    });
}

/// Runs until the first placement batch is written, in steps of this number of microseconds.
fn run_until_batched(sim: &mut Simulation, step: u64) {
    let since = sim.now;
    while !has_placement_batch(sim) {
        assert!(
            sim.now < since + 60 * SECOND,
            "no placement batch was written within 60 s"
        );
        sim.run_micros(step);
    }
}

#[test]
fn leader_loss_during_recovery_keeps_order() {
    assert_recovery_in_order(60..66, 12, 0, |sim, _| {
        kill_machines(sim, |i| i % 4 < 2);
        run_until_batched(sim, 20_000);
        let leader = sim.leader().unwrap();
        sim.lost_answers_from
            .push((Endpoint::Store, sim.now + SECOND / 2));
        sim.crash_controller(leader, 6 * SECOND);
        sim.run_seconds(160);
    });
}

#[test]
fn placement_batches_are_merged_into_job_records() {
    let mut sim = busy_simulation(70, 12);
    kill_machines(&mut sim, |i| i % 4 < 2);
    sim.run_seconds(200);
    assert!(has_placement_batch(&sim), "no placement batch was written");
    assert_eq!(
        sim.store.count_keys_under("wt/b/"),
        0,
        "placement batches that are not merged into job records"
    );
    // Controllers that read the records after the merge see the same placements.
    let leader = sim.leader().unwrap();
    (0..3).for_each(|i| sim.crash_controller(i, 2 * SECOND));
    sim.run_seconds(30);
    assert!(
        sim.leader().is_some(),
        "no leader after the restart of all controllers; kernel-{leader} was the leader"
    );
    assert_all_jobs_recovered(&sim);
}

#[test]
fn cancelled_jobs_with_batched_placements_end() {
    for seed in 80..90 {
        let mut sim = busy_simulation(seed, 12);
        let since = sim.now;
        kill_machines(&mut sim, |i| i % 4 < 2);
        for n in 0..SERVICES + ARRAYS + GANGS {
            if sim.rng.random_bool(0.5) {
                let delay = sim
                    .rng
                    .random_range((LEASE_S + 1) * SECOND..(LEASE_S + 5) * SECOND);
                sim.after(delay, move |sim| sim.cancel_until_answered(&id(n)));
            }
        }
        if seed % 2 == 0 {
            sim.after((LEASE_S + 4) * SECOND, |sim| {
                let leader = sim.leader().unwrap_or(0);
                sim.crash_controller(leader, 5 * SECOND);
            });
        }
        sim.run_seconds(200);
        assert!(
            sim.now > since,
            "the simulated time did not advance beyond {since}"
        );
        for (id, ground_truth) in &sim.jobs {
            if ground_truth.cancel_requested {
                let status = sim.last_status(id);
                assert!(
                    status == "cancelled" || status == "done",
                    "seed {seed}: {id} is {status}, expected cancelled or done"
                );
                assert!(
                    (0..ground_truth.spec.tasks)
                        .all(|n| sim.machines_running(&format!("{id}/{n}")).is_empty()),
                    "seed {seed}: tasks of {id} still run although it is {status}"
                );
            }
        }
    }
}

#[test]
fn takeover_prefers_machines_with_cached_images() {
    let mut sim = simulation_with_write_rate(90, 12, 60.0);
    let mut past_leaders: BTreeSet<usize> = sim.leader().into_iter().collect();
    // Six images for the six machines of one of the two zones, so that each machine caches one image.
    for n in 0..6 {
        let mut spec = job(JobKind::Array, 8, 1.0);
        spec.image = format!("img-{n}");
        spec.zone = Some("a".into());
        sim.spawn_client(&id(n), spec, 8 * SECOND);
        sim.run_seconds(1);
    }
    for _ in 0..30 {
        sim.run_seconds(1);
        past_leaders.extend(sim.leader());
    }
    assert!(
        (0..6).all(|n| sim.job_done(&id(n))) && past_leaders.len() < 3,
        "jobs are not done, or no controller is left that has not led: {past_leaders:?}"
    );
    let cached_images: BTreeMap<String, BTreeSet<String>> = sim
        .agents
        .iter()
        .map(|(machine, agent)| (machine.clone(), agent.cached_images.clone()))
        .collect();
    // The next leader has watched the records but has received no heartbeat from any agent.
    past_leaders
        .iter()
        .for_each(|i| sim.crash_controller(*i, 60 * SECOND));
    sim.run_seconds(24);
    for n in 0..6 {
        let mut spec = job(JobKind::Service, 1, 1.0);
        spec.image = format!("img-{n}");
        sim.spawn_client(&id(10 + n), spec, 0);
        while !sim.jobs[&id(10 + n)].accepted {
            sim.run_seconds(1);
        }
        sim.run_seconds(2);
        let task = format!("{}/0", id(10 + n));
        let machine = sim.recorded_machine(&task).expect("placed");
        assert!(
            cached_images[&machine].contains(&format!("img-{n}")),
            "{task} was placed on {machine}, which has not cached img-{n}"
        );
    }
}

#[test]
fn new_leader_with_a_stale_cache_starts_nothing_twice() {
    for seed in 100..106 {
        let mut sim = simulation_with_write_rate(seed, 12, WRITE_RPS);
        // No client polls, because a poll would make the caches of the controllers catch up with the store.
        for n in 0..24 {
            sim.declare_job(&id(n), job(JobKind::Service, 2, 1.0), 0);
            while !sim.jobs[&id(n)].accepted {
                let leader = sim.leader().unwrap();
                sim.submit(leader, &id(n));
                sim.run_seconds(1);
            }
        }
        sim.run_seconds(12);
        let leader = sim.leader().unwrap();
        sim.watch_delays = (0..3)
            .filter(|i| *i != leader)
            .map(|i| (i, 9 * SECOND))
            .collect();
        kill_machines(&mut sim, |i| i % 4 < 2);
        run_until_batched(&mut sim, 1_000);
        sim.crash_controller(leader, 30 * SECOND);
        sim.run_seconds(4);
        assert!(
            sim.leader().is_some_and(|n| n != leader),
            "seed {seed}: leader is {:?}, expected one other than controller {leader}",
            sim.leader()
        );
        sim.run_seconds(3);
        sim.watch_delays.clear();
        sim.run_seconds(60);
        assert_all_jobs_recovered(&sim);
    }
}

#[test]
fn no_batches_while_a_controller_cannot_read_them() {
    for seed in 120..123 {
        let mut sim = simulation_with_write_rate(seed, 12, WRITE_RPS);
        sim.set_first_version(2, true);
        sim.crash_controller(2, SECOND);
        sim.run_seconds(8);
        submit_filling_jobs(&mut sim);
        kill_machines(&mut sim, |i| i % 4 < 2);
        sim.run_seconds(60);
        assert!(
            !has_placement_batch(&sim),
            "seed {seed}: a placement batch was written, but kernel-2 cannot read it and would treat its tasks as lost"
        );
        sim.run_seconds(100);
        assert_all_jobs_recovered(&sim);
    }
}

#[test]
fn batches_are_merged_at_once_after_a_rollback() {
    let mut sim = busy_simulation(130, 12);
    kill_machines(&mut sim, |i| i % 4 < 2);
    run_until_batched(&mut sim, 20_000);
    let leader = sim.leader().unwrap();
    let rolled_back = (0..3).find(|i| *i != leader).unwrap();
    sim.set_first_version(rolled_back, true);
    sim.crash_controller(rolled_back, SECOND);
    sim.run_seconds(20);
    assert_eq!(
        sim.store.count_keys_under("wt/b/"),
        0,
        "placement batches are left, which kernel-{rolled_back} cannot read"
    );
    sim.run_seconds(140);
    assert_all_jobs_recovered(&sim);
}

#[test]
fn lost_answers_about_batches_break_no_invariant() {
    for seed in 110..116 {
        let mut sim = busy_simulation(seed, 12);
        let since = sim.now;
        kill_machines(&mut sim, |i| i % 4 < 2);
        for step in 0..40u64 {
            let delay = (LEASE_S - 2) * SECOND + step * SECOND / 2;
            sim.after(delay, |sim| {
                let until = sim.now + SECOND / 4;
                sim.lost_answers_from.push((Endpoint::Store, until));
            });
        }
        sim.run_seconds(180);
        assert!(
            sim.now > since && has_placement_batch(&sim),
            "seed {seed}: no placement batch was written, or the time did not advance beyond {since}"
        );
        assert_all_jobs_recovered(&sim);
    }
}

#[test]
fn overlapping_losses_break_no_invariant() {
    for seed in 200..230 {
        let mut sim = busy_simulation(seed, 10);
        for _ in 0..6 {
            let delay = sim.rng.random_range(0..70 * SECOND);
            let duration = sim.rng.random_range(3..40) * SECOND;
            let fault = sim.rng.random_range(0..8);
            let i = sim.rng.random_range(0..3usize);
            sim.after(delay, move |sim| match fault {
                0 => partition_zone(sim, if i == 1 { "b" } else { "a" }, duration),
                1 => (0..3).for_each(|i| sim.crash_controller(i, 4 * SECOND)),
                2 => sim.crash_controller(i, 5 * SECOND),
                3 => kill_machines(sim, |k| k % 5 == i),
                4 => {
                    let until = sim.now + duration;
                    let agents = sim.agents.values_mut().enumerate();
                    agents
                        .filter(|(k, _)| k % 3 == i)
                        .for_each(|(_, agent)| agent.hung_until = until);
                }
                5 => {
                    sim.store.outage = true;
                    sim.after(duration, |sim| {
                        let now = sim.now;
                        sim.store.end_outage(now);
                    });
                }
                6 => sim
                    .lost_answers_from
                    .push((Endpoint::Store, sim.now + duration / 4)),
                _ => {
                    for n in (0..SERVICES + ARRAYS + GANGS).filter(|n| n % 3 == i) {
                        sim.cancel_until_answered(&id(n));
                    }
                }
            });
        }
        sim.run_seconds(160);
        let (now, outage) = (sim.now, sim.store.outage);
        if outage {
            sim.store.end_outage(now);
        }
        sim.run_seconds(120);
        assert!(
            sim.leader().is_some(),
            "seed {seed}: no leader after all faults have ended"
        );
    }
}
