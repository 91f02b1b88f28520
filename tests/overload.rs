//! Long queues: many more jobs wait than there is room for, and then something fails. The simulation checks the rules
//! after every step, debug builds compare the kept queue with a new one in every pass, and `assert_started_in_order` asserts that
//! equal jobs started in order.

mod simulation;

use simulation::{Endpoint, PartitionMode, SECOND, Simulation, job};
use walnuttrestle::protocol::{JobKind, Priority};

/// Number of machines; each has room for eight of the tasks below.
const MACHINES: usize = 4;

fn id(n: usize) -> String {
    format!("req-{n:06}")
}

/// A simulation that rents no more machines, in which `n` arrays of two tasks each are submitted within `s` seconds.
fn simulation_with_queue(seed: u64, n: usize, seconds: u64) -> Simulation {
    let mut sim = Simulation::with_write_rate(seed, 3, MACHINES, 200.0);
    sim.no_capacity = true;
    sim.run_seconds(6);
    for i in 0..n {
        let at = i as u64 * seconds * SECOND / n as u64;
        sim.after(at, move |sim| {
            sim.spawn_client(&id(i), job(JobKind::Array, 2, 1.0), 3 * SECOND)
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
    let leads = sim.leader().and_then(|i| sim.controller(i));
    let leader = leads.and_then(|n| n.leader.as_ref());
    leader.map_or(0, |l| l.pass_state.job_queue.queued_count())
}

/// Asserts that jobs started in the order of their submission, except for jobs submitted at about the same time: up to
/// `apart` clients may have repeated their submissions meanwhile.
fn assert_started_in_order(sim: &Simulation, apart: usize) {
    let mut first: Vec<(u64, usize)> = Vec::new();
    for start in &sim.task_starts {
        let (job, _) = start.task.rsplit_once('/').expect("a task's name");
        let n: usize = job[4..].parse().expect("a number");
        if first.iter().all(|(_, m)| *m != n) {
            first.push((start.at, n));
        }
    }
    for (at, (_, n)) in first.iter().enumerate() {
        let late = first[..at].iter().filter(|(_, m)| *m > n + apart).count();
        assert_eq!(
            late, 0,
            "req-{n} began behind {late} that came long after it"
        );
    }
}

#[test]
fn new_leader_continues_a_queue_of_hundreds() {
    let mut sim = simulation_with_queue(1, 500, 8);
    assert!(queue_length(&sim) > 300, "{} wait", queue_length(&sim));
    let before = done(&sim, 0..500);
    for _ in 0..3 {
        let i = sim.leader().expect("a leader");
        sim.crash_controller(i, 4 * SECOND);
        sim.run_seconds(12);
        assert!(sim.leader().is_some(), "nobody leads");
    }
    sim.run_seconds(20);
    assert!(done(&sim, 0..500) > before + 60, "{}", done(&sim, 0..500));
    assert_started_in_order(&sim, 60);
}

#[test]
fn zone_loss_with_a_full_queue_is_survived() {
    let mut sim = simulation_with_queue(2, 300, 6);
    let replicas = "req-900000";
    let mut spec = job(JobKind::Service, 4, 1.0);
    spec.priority = Priority::Production;
    sim.spawn_client(replicas, spec, 0);
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
    // The replicas did not queue up behind hundreds of arrays, and the arrays went on.
    let up = (0..4).filter(|t| !sim.machines_running(&format!("{replicas}/{t}")).is_empty());
    assert_eq!(up.count(), 4);
    assert!(done(&sim, 0..300) > 60, "{}", done(&sim, 0..300));
}

#[test]
fn queue_growth_during_a_store_outage_is_handled() {
    let mut sim = simulation_with_queue(3, 60, 3);
    sim.run_seconds(4);
    let (before, waited) = (done(&sim, 0..60), accepted(&sim));
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
        waited,
        "nothing is accepted that is not on record"
    );
    sim.run_seconds(90);
    assert!(accepted(&sim) > 240, "{}", accepted(&sim));
    assert!(done(&sim, 0..260) > before + 100);
}

#[test]
fn hundreds_of_cancellations_keep_the_queue_order() {
    let mut sim = simulation_with_queue(4, 400, 6);
    sim.run_seconds(6);
    for n in (0..400).filter(|n| n % 4 != 0) {
        sim.cancel_until_answered(&id(n));
    }
    sim.run_seconds(110);
    let kept = (0..400).filter(|n| n % 4 == 0);
    let over = kept.clone().filter(|n| sim.job_done(&id(*n))).count();
    assert_eq!(over, kept.count(), "{}", sim.dump());
    assert_eq!(queue_length(&sim), 0);
}

/// A team at its quota does not block other teams, and when room frees its oldest job starts first.
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
    // Twelve GPUs are the red team's limit.
    sim.spawn_client("req-100000", red(6, 2.0), 40 * SECOND);
    sim.run_seconds(4);
    for n in 0..150 {
        sim.spawn_client(&id(n), red(2, 1.0), 2 * SECOND);
    }
    for n in 500..520 {
        sim.spawn_client(&id(n), job(JobKind::Array, 2, 1.0), 2 * SECOND);
    }
    sim.run_seconds(22);
    assert_eq!(done(&sim, 500..520), 20);
    assert_eq!(done(&sim, 0..150), 0);
    sim.run_seconds(60);
    assert!(done(&sim, 0..150) > 50, "{}", done(&sim, 0..150));
}

/// The first job needs more than there is; all jobs that fit pass it, for as long as it waits.
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
    assert_eq!(done(&sim, 0..200), 200);
    assert!(sim.machines_running("req-100000/0").is_empty());
}

/// The first version leads in between and knows no kept queue.
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
    assert!(sim.leader().is_some_and(|l| l != i));
    for n in (0..3).filter(|n| *n != i) {
        sim.set_first_version(n, false);
        sim.crash_controller(n, 2 * SECOND);
        sim.run_seconds(8);
    }
    sim.run_seconds(60);
    assert!(done(&sim, 0..300) > 150, "{}", done(&sim, 0..300));
    assert_started_in_order(&sim, 60);
}

/// One class submits many times what the store takes; another submits a job every three seconds, to any controller.
/// Returns the time to acceptance of each of the latter, in seconds.
fn acceptance_times_beside_flood(
    seed: u64,
    trouble: impl FnOnce(&mut Simulation) + 'static,
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
    sim.after(8 * SECOND, trouble);
    let mut took = Vec::new();
    for n in 0..9 {
        let rare = id(800_000 + n);
        let mut spec = job(JobKind::Array, 1, 1.0);
        spec.class = "rare".into();
        sim.spawn_client(&rare, spec, SECOND);
        let began = sim.now;
        while !sim.jobs[&rare].accepted && sim.now < began + 40 * SECOND {
            sim.run_micros(SECOND / 10);
        }
        took.push((sim.now - began) as f64 / SECOND as f64);
        sim.run_seconds(3);
    }
    took
}

#[test]
fn flooding_class_does_not_block_other_classes() {
    let took = acceptance_times_beside_flood(11, |_| {});
    assert!(took.iter().all(|s| *s < 4.0), "{took:?}");
}

#[test]
fn flooding_class_does_not_block_other_classes_during_controller_loss() {
    let took = acceptance_times_beside_flood(12, |sim| {
        let i = sim.leader().expect("a leader");
        sim.crash_controller(i, 6 * SECOND);
        sim.partition(
            Endpoint::Controller((i + 1) % 3),
            Endpoint::Store,
            PartitionMode::Delay,
            8 * SECOND,
        );
    });
    let late = took.iter().filter(|s| **s > 4.0).count();
    // No job can become durable without a leader or with the store out of reach.
    assert!(late <= 3 && took.iter().all(|s| *s < 15.0), "{took:?}");
}

/// Changes a second that the controllers may write, in total.
fn granted_write_rate(sim: &Simulation) -> f64 {
    let nodes = (0..sim.controller_count()).filter_map(|i| sim.controller(i));
    nodes.map(|n| n.store.write_rate()).sum()
}

/// A load balancer may send all clients to one controller, which has a sixth of the budget. Told of its demand, the leader
/// grants it what the others do not need; the sum of all grants never exceeds the budget.
#[test]
fn all_clients_at_one_follower_are_served() {
    let mut sim = Simulation::with_write_rate(21, 3, MACHINES, 30.0);
    sim.no_capacity = true;
    sim.run_seconds(6);
    let leader = sim.leader().expect("a leader");
    let one = (0..3).find(|i| *i != leader).expect("a follower");
    let before = sim.controller(one).map_or(0.0, |n| n.store.write_rate());
    for n in 0..2_000 {
        sim.declare_job(&id(n), job(JobKind::Array, 1, 1.0), SECOND);
        for again in 0..3u64 {
            let at = n as u64 * SECOND / 60 + again * 9 * SECOND;
            sim.after(at, move |sim| {
                if !sim.jobs[&id(n)].accepted {
                    sim.submit(one, &id(n));
                }
            });
        }
    }
    let mut most: f64 = 0.0;
    for _ in 0..300 {
        sim.run_micros(SECOND / 10);
        most = most.max(granted_write_rate(&sim));
    }
    let after = sim.controller(one).map_or(0.0, |n| n.store.write_rate());
    assert!(after > 1.6 * before, "{before} to {after}");
    assert!(most <= 30.0, "{most} changes a second given of 30");
    // Without demand the grant is returned.
    sim.run_seconds(75);
    let calm = sim.controller(one).map_or(0.0, |n| n.store.write_rate());
    assert!(calm < 1.3 * before, "{calm}");
}

/// Grants expire; a new leader continues from the records, and a controller of an older version keeps its fixed share.
#[test]
fn write_shares_hold_across_leader_changes_and_a_rollback() {
    let mut sim = Simulation::with_write_rate(22, 3, MACHINES, 30.0);
    sim.no_capacity = true;
    sim.run_seconds(6);
    for n in 0..1_500 {
        let at = n as u64 * SECOND / 30;
        sim.after(at, move |sim| {
            sim.spawn_client(&id(n), job(JobKind::Array, 1, 1.0), SECOND)
        });
    }
    sim.run_seconds(8);
    let epoch = |sim: &Simulation| {
        let i = sim.leader().expect("a leader");
        let parts = sim
            .controller(i)
            .and_then(|n| n.cache.budget_shares.as_ref());
        parts.map_or(0, |(g, _)| g.epoch)
    };
    assert!(epoch(&sim) > 0, "somebody asked for more");
    let mut last = epoch(&sim);
    for round in 0..4 {
        let i = sim.leader().expect("a leader");
        sim.set_first_version((i + 1) % 3, round == 1);
        sim.crash_controller((i + round) % 3, 3 * SECOND);
        // Silent controllers leave their shares to the others; all three are back by the end.
        sim.run_seconds(12);
        assert!(
            granted_write_rate(&sim) <= 30.0,
            "round {round}: {}",
            granted_write_rate(&sim)
        );
        assert!(epoch(&sim) >= last, "{} after {last}", epoch(&sim));
        last = epoch(&sim);
    }
}
