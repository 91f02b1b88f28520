//! Faults while the queue is much longer than the capacity of the cluster.
//!
//! The simulation checks its invariants after every step. Debug builds compare the incrementally updated queue with a
//! rebuilt one in every pass. `assert_started_in_order` asserts that equal jobs started in order of submission.

mod simulation;

use simulation::{Endpoint, PartitionMode, SECOND, Simulation, job};
use walnuttrestle::protocol::{JobKind, Priority};

/// Number of machines; each has room for eight tasks with one GPU.
const MACHINES: usize = 4;

fn id(n: usize) -> String {
    format!("req-{n:06}")
}

/// A simulation in which no further machines can be rented and in which this number of arrays, each of two tasks, are
/// submitted evenly over this number of seconds.
fn simulation_with_queue(seed: u64, jobs: usize, seconds: u64) -> Simulation {
    let mut sim = Simulation::with_write_rate(seed, 3, MACHINES, 200.0);
    sim.no_capacity = true;
    sim.run_seconds(6);
    for number in 0..jobs {
        let delay = number as u64 * seconds * SECOND / jobs as u64;
        sim.after(delay, move |sim| {
            sim.spawn_client(&id(number), job(JobKind::Array, 2, 1.0), 3 * SECOND)
        });
    }
    sim.run_seconds(seconds);
    sim
}

fn done(sim: &Simulation, range: std::ops::Range<usize>) -> usize {
    range.filter(|n| sim.job_done(&id(*n))).count()
}

fn accepted(sim: &Simulation) -> usize {
    sim.jobs.values().filter(|j| j.accepted).count()
}

/// Length of the leader's queue; 0 without a leader.
fn queue_length(sim: &Simulation) -> usize {
    let controller = sim.leader().and_then(|i| sim.controller(i));
    let leader = controller.and_then(|controller| controller.leader.as_ref());
    leader.map_or(0, |leader| leader.pass_state.job_queue.queued_count())
}

/// Asserts that no job started after a job that was submitted more than `max_overtaking` positions behind it. Jobs that
/// were submitted at about the same time may change places, because clients repeat submissions that are not answered.
fn assert_started_in_order(sim: &Simulation, max_overtaking: usize) {
    let mut first_starts: Vec<(u64, usize)> = Vec::new();
    for start in &sim.task_starts {
        let (job, _) = start.task.rsplit_once('/').expect("a task's name");
        let n: usize = job[4..].parse().expect("a number");
        if first_starts.iter().all(|(_, m)| *m != n) {
            first_starts.push((start.at, n));
        }
    }
    for (index, (_, n)) in first_starts.iter().enumerate() {
        let late = first_starts[..index]
            .iter()
            .filter(|(_, m)| *m > n + max_overtaking)
            .count();
        assert_eq!(
            late, 0,
            "req-{n} started after {late} jobs that were submitted more than {max_overtaking} positions behind it"
        );
    }
}

#[test]
fn new_leader_continues_a_queue_of_hundreds() {
    let mut sim = simulation_with_queue(1, 500, 8);
    assert!(
        queue_length(&sim) > 300,
        "only {} jobs are queued, expected more than 300",
        queue_length(&sim)
    );
    let before = done(&sim, 0..500);
    for _ in 0..3 {
        let i = sim.leader().expect("a leader");
        sim.crash_controller(i, 4 * SECOND);
        sim.run_seconds(12);
        assert!(
            sim.leader().is_some(),
            "no leader 12 s after the crash of controller {i}"
        );
    }
    sim.run_seconds(20);
    assert!(
        done(&sim, 0..500) > before + 60,
        "{} jobs are done, expected more than 60 beyond the {before} before the crashes",
        done(&sim, 0..500)
    );
    assert_started_in_order(&sim, 60);
}

#[test]
fn zone_loss_with_a_full_queue_is_survived() {
    let mut sim = simulation_with_queue(2, 300, 6);
    let service = "req-900000";
    let mut spec = job(JobKind::Service, 4, 1.0);
    spec.priority = Priority::Production;
    sim.spawn_client(service, spec, 0);
    sim.run_seconds(12);
    for machine in ["n-000002", "n-000004"] {
        for i in 0..3 {
            sim.partition(
                Endpoint::Controller(i),
                Endpoint::Agent(machine.into()),
                PartitionMode::Drop,
                60 * SECOND,
            );
        }
    }
    sim.run_seconds(75);
    // The lost replicas were replaced ahead of hundreds of queued arrays, and the arrays continued, too.
    let running_replicas =
        (0..4).filter(|t| !sim.machines_running(&format!("{service}/{t}")).is_empty());
    assert_eq!(
        running_replicas.count(),
        4,
        "running replicas of {service} after the zone loss"
    );
    assert!(
        done(&sim, 0..300) > 60,
        "only {} arrays are done, expected more than 60",
        done(&sim, 0..300)
    );
}

#[test]
fn queue_growth_during_a_store_outage_is_handled() {
    let mut sim = simulation_with_queue(3, 60, 3);
    sim.run_seconds(4);
    let (before, accepted_before) = (done(&sim, 0..60), accepted(&sim));
    sim.store.outage = true;
    sim.after(20 * SECOND, |sim| {
        let now = sim.now;
        sim.store.end_outage(now);
    });
    for i in 60..260 {
        sim.after((i as u64 - 60) * SECOND / 10, move |sim| {
            sim.spawn_client(&id(i), job(JobKind::Array, 2, 1.0), 2 * SECOND);
        });
    }
    sim.run_seconds(19);
    assert_eq!(
        accepted(&sim),
        accepted_before,
        "jobs were accepted during the store outage, which cannot be on record"
    );
    sim.run_seconds(90);
    assert!(
        accepted(&sim) > 240,
        "only {} jobs were accepted, expected more than 240",
        accepted(&sim)
    );
    assert!(
        done(&sim, 0..260) > before + 100,
        "{} jobs are done, expected more than 100 beyond the {before} before the outage",
        done(&sim, 0..260)
    );
}

#[test]
fn hundreds_of_cancellations_keep_the_queue_order() {
    let mut sim = simulation_with_queue(4, 400, 6);
    sim.run_seconds(6);
    for n in (0..400).filter(|n| n % 4 != 0) {
        sim.cancel_until_answered(&id(n));
    }
    sim.run_seconds(110);
    let uncancelled = (0..400).filter(|n| n % 4 == 0);
    let finished = uncancelled
        .clone()
        .filter(|n| sim.job_done(&id(*n)))
        .count();
    assert_eq!(
        finished,
        uncancelled.count(),
        "jobs that were not cancelled are not done\n{}",
        sim.dump()
    );
    assert_eq!(queue_length(&sim), 0, "jobs are still queued");
}

/// The queued jobs of a team that has used up its quota do not block other teams. They start, oldest first, when its
/// quota becomes free.
#[test]
fn team_at_its_quota_waits_without_blocking_others() {
    let mut sim = Simulation::with_write_rate(5, 3, MACHINES, 200.0);
    sim.no_capacity = true;
    sim.run_seconds(6);
    let red = |tasks: u32, gpus: f64| {
        let mut spec = job(JobKind::Array, tasks, gpus);
        spec.team = "red".into();
        spec
    };
    // This job uses the red team's whole quota of twelve GPUs.
    sim.spawn_client("req-100000", red(6, 2.0), 40 * SECOND);
    sim.run_seconds(4);
    for n in 0..150 {
        sim.spawn_client(&id(n), red(2, 1.0), 2 * SECOND);
    }
    for n in 500..520 {
        sim.spawn_client(&id(n), job(JobKind::Array, 2, 1.0), 2 * SECOND);
    }
    sim.run_seconds(22);
    assert_eq!(
        done(&sim, 500..520),
        20,
        "jobs of the other team that are done"
    );
    assert_eq!(
        done(&sim, 0..150),
        0,
        "jobs that ran beyond their team's quota"
    );
    sim.run_seconds(60);
    assert!(
        done(&sim, 0..150) > 50,
        "only {} jobs of the red team are done, expected more than 50",
        done(&sim, 0..150)
    );
}

/// The first job needs more machines than the cluster has. All jobs that fit are started ahead of it while it waits.
#[test]
fn gang_that_cannot_fit_blocks_no_other_job() {
    let mut sim = Simulation::with_write_rate(6, 3, MACHINES, 200.0);
    sim.no_capacity = true;
    sim.run_seconds(6);
    sim.spawn_client("req-100000", job(JobKind::Gang, 6, 8.0), 5 * SECOND);
    sim.run_seconds(3);
    for n in 0..200 {
        sim.spawn_client(&id(n), job(JobKind::Array, 2, 1.0), 2 * SECOND);
    }
    sim.run_seconds(80);
    assert_eq!(
        done(&sim, 0..200),
        200,
        "arrays behind the blocked gang that are done"
    );
    assert!(
        sim.machines_running("req-100000/0").is_empty(),
        "req-100000/0 runs although its gang does not fit"
    );
}

/// A controller of the first version leads in between. That version has no incrementally updated queue.
#[test]
fn first_version_leader_handles_a_queue_of_hundreds() {
    let mut sim = simulation_with_queue(7, 300, 6);
    let i = sim.leader().expect("a leader");
    for n in (0..3).filter(|n| *n != i) {
        sim.set_first_version(n, true);
        sim.crash_controller(n, 2 * SECOND);
        sim.run_seconds(5);
    }
    sim.crash_controller(i, 20 * SECOND);
    sim.run_seconds(15);
    assert!(
        sim.leader().is_some_and(|l| l != i),
        "leader is {:?}, expected one other than controller {i}",
        sim.leader()
    );
    for n in (0..3).filter(|n| *n != i) {
        sim.set_first_version(n, false);
        sim.crash_controller(n, 2 * SECOND);
        sim.run_seconds(8);
    }
    sim.run_seconds(60);
    assert!(
        done(&sim, 0..300) > 150,
        "only {} jobs are done, expected more than 150",
        done(&sim, 0..300)
    );
    assert_started_in_order(&sim, 60);
}

/// Submits jobs of one class at several times the write rate of the store, and a job of another class about every three
/// seconds to any controller. Returns the times from submission to acceptance of the latter, in seconds.
fn acceptance_times_beside_flood(
    seed: u64,
    inject_fault: impl FnOnce(&mut Simulation) + 'static,
) -> Vec<f64> {
    let mut sim = Simulation::with_write_rate(seed, 3, MACHINES, 12.0);
    sim.no_capacity = true;
    sim.run_seconds(6);
    for n in 0..900 {
        let at = n as u64 * SECOND / 30;
        sim.after(at, move |sim| {
            sim.spawn_client(&id(n), job(JobKind::Array, 1, 1.0), SECOND)
        });
    }
    sim.after(8 * SECOND, inject_fault);
    let mut acceptance_times = Vec::new();
    for n in 0..9 {
        let rare_job = id(800_000 + n);
        let mut spec = job(JobKind::Array, 1, 1.0);
        spec.class = "rare".into();
        sim.spawn_client(&rare_job, spec, SECOND);
        let submitted_at = sim.now;
        while !sim.jobs[&rare_job].accepted && sim.now < submitted_at + 40 * SECOND {
            sim.run_micros(SECOND / 10);
        }
        acceptance_times.push((sim.now - submitted_at) as f64 / SECOND as f64);
        sim.run_seconds(3);
    }
    acceptance_times
}

#[test]
fn flooding_class_does_not_block_other_classes() {
    let acceptance_times = acceptance_times_beside_flood(11, |_| {});
    assert!(
        acceptance_times.iter().all(|s| *s < 4.0),
        "acceptance took 4 s or longer: {acceptance_times:?}"
    );
}

#[test]
fn flooding_class_does_not_block_other_classes_during_controller_loss() {
    let acceptance_times = acceptance_times_beside_flood(12, |sim| {
        let i = sim.leader().expect("a leader");
        sim.crash_controller(i, 6 * SECOND);
        sim.partition(
            Endpoint::Controller((i + 1) % 3),
            Endpoint::Store,
            PartitionMode::Delay,
            8 * SECOND,
        );
    });
    let late = acceptance_times.iter().filter(|s| **s > 4.0).count();
    // Jobs cannot be recorded while there is no leader or while the store is unreachable.
    assert!(
        late <= 3 && acceptance_times.iter().all(|s| *s < 15.0),
        "{late} jobs took longer than 4 s to be accepted, expected at most 3 and none above 15 s: {acceptance_times:?}"
    );
}

/// Sum of the write rates granted to all controllers, in changes per second.
fn granted_write_rate(sim: &Simulation) -> f64 {
    let nodes = (0..sim.controller_count()).filter_map(|i| sim.controller(i));
    nodes.map(|n| n.store.write_rate()).sum()
}

/// A load balancer may send all clients to one controller, which has a sixth of the write budget. That controller
/// reports its demand to the leader, which grants it the shares that the others do not need. The sum of all grants
/// never exceeds the budget.
#[test]
fn all_clients_at_one_follower_are_served() {
    let mut sim = Simulation::with_write_rate(21, 3, MACHINES, 30.0);
    sim.no_capacity = true;
    sim.run_seconds(6);
    let leader = sim.leader().expect("a leader");
    let follower = (0..3).find(|i| *i != leader).expect("a follower");
    let rate_before = sim
        .controller(follower)
        .map_or(0.0, |n| n.store.write_rate());
    for n in 0..2_000 {
        sim.declare_job(&id(n), job(JobKind::Array, 1, 1.0), SECOND);
        for retry in 0..3u64 {
            let delay = n as u64 * SECOND / 60 + retry * 9 * SECOND;
            sim.after(delay, move |sim| {
                if !sim.jobs[&id(n)].accepted {
                    sim.submit(follower, &id(n));
                }
            });
        }
    }
    let mut max_granted_rate: f64 = 0.0;
    for _ in 0..300 {
        sim.run_micros(SECOND / 10);
        max_granted_rate = max_granted_rate.max(granted_write_rate(&sim));
    }
    let rate_under_load = sim
        .controller(follower)
        .map_or(0.0, |n| n.store.write_rate());
    assert!(
        rate_under_load > 1.6 * rate_before,
        "the follower's write rate rose only from {rate_before} to {rate_under_load}"
    );
    assert!(
        max_granted_rate <= 30.0,
        "{max_granted_rate} changes per second were granted, the budget is 30"
    );
    // Without demand the grant is returned.
    sim.run_seconds(75);
    let rate_without_demand = sim
        .controller(follower)
        .map_or(0.0, |n| n.store.write_rate());
    assert!(
        rate_without_demand < 1.3 * rate_before,
        "the write rate is still {rate_without_demand} without demand, it was {rate_before} before"
    );
}

/// Grants expire. A new leader continues from the recorded shares, and a controller of an older version keeps its fixed
/// share.
#[test]
fn write_shares_hold_across_leader_changes_and_a_rollback() {
    let mut sim = Simulation::with_write_rate(22, 3, MACHINES, 30.0);
    sim.no_capacity = true;
    sim.run_seconds(6);
    for n in 0..1_500 {
        let delay = n as u64 * SECOND / 30;
        sim.after(delay, move |sim| {
            sim.spawn_client(&id(n), job(JobKind::Array, 1, 1.0), SECOND)
        });
    }
    sim.run_seconds(8);
    let epoch = |sim: &Simulation| {
        let i = sim.leader().expect("a leader");
        let shares = sim
            .controller(i)
            .and_then(|n| n.cache.budget_shares.as_ref());
        shares.map_or(0, |(shares, _)| shares.epoch)
    };
    assert!(epoch(&sim) > 0, "no budget shares were granted");
    let mut last = epoch(&sim);
    for round in 0..4 {
        let i = sim.leader().expect("a leader");
        sim.set_first_version((i + 1) % 3, round == 1);
        sim.crash_controller((i + round) % 3, 3 * SECOND);
        // The shares of controllers without heartbeats go to the others. All three are up again when this ends.
        sim.run_seconds(12);
        assert!(
            granted_write_rate(&sim) <= 30.0,
            "round {round}: {} changes per second are granted, the budget is 30",
            granted_write_rate(&sim)
        );
        assert!(
            epoch(&sim) >= last,
            "epoch of the budget shares fell from {last} to {}",
            epoch(&sim)
        );
        last = epoch(&sim);
    }
}
