//! Clusters of 1,900 machines, the size that the operators have announced: 1.5 times that of their present clusters.
//! Controllers restart within a fraction of a second.

mod simulation;

use simulation::{CallCounts, SECOND, Simulation, job};
use walnuttrestle::protocol::JobKind;

const MACHINES: usize = 1_900;
const TASKS: u32 = 1_800;

/// A cluster with a task on nearly every machine.
fn full_fleet(seed: u64) -> Simulation {
    let mut sim = Simulation::with_write_rate(seed, 3, MACHINES, 150.0);
    sim.run_seconds(10);
    for n in 0..TASKS / 15 {
        sim.spawn_client(
            &format!("req-{n}"),
            job(JobKind::Array, 15, 8.0),
            600 * SECOND,
        );
    }
    sim.run_seconds(40);
    assert_eq!(
        sim.start_counts.values().sum::<u32>(),
        TASKS,
        "task starts after 40 s"
    );
    sim
}

#[test]
fn all_agents_arriving_in_one_second_are_served() {
    let mut sim = full_fleet(1);
    sim.call_counts = CallCounts::default();
    // All agents send heartbeats to the leader. The leader and one follower crash for a minute, the other follower for
    // 0.2 s, so that all agents turn to the latter at once.
    let leader = sim.leader().expect("a leader");
    let survivor = (leader + 1) % 3;
    sim.crash_controller(leader, 60 * SECOND);
    sim.crash_controller((leader + 2) % 3, 60 * SECOND);
    sim.crash_controller(survivor, 200_000);
    sim.run_seconds(30);
    assert_eq!(
        sim.leader(),
        Some(survivor),
        "the controller that restarted does not lead"
    );
    assert_eq!(
        sim.start_counts.values().sum::<u32>(),
        TASKS,
        "tasks were started a second time"
    );
    assert!(
        sim.agents.values().all(|agent| agent.agent_epoch == 1),
        "leases of agents expired"
    );
    // Expected store requests: one listing of the records, renewals of the controllers' leases in the store, and the reads
    // that confirm the answers to polls. Each agent gets at most one command, with the new term.
    assert!(
        sim.call_counts.store_requests < 30 * 60,
        "too many store requests, expected fewer than 60 per second: {:?}",
        sim.call_counts
    );
    assert!(
        sim.call_counts.store_changes < 30,
        "too many store changes, expected fewer than 30: {:?}",
        sim.call_counts
    );
    assert!(
        sim.call_counts.agent_commands <= MACHINES,
        "too many agent commands, expected at most {MACHINES}: {:?}",
        sim.call_counts
    );
}

/// Each incarnation of a controller starts with a full share of the write budget. Frequent restarts must not exceed the
/// budget by spending that share once per incarnation.
#[test]
fn restart_storm_stays_within_the_store_budget() {
    for crash_interval in [150_000, 400_000, 1_000_000] {
        let mut sim = full_fleet(2);
        sim.call_counts = CallCounts::default();
        for step in 0..6 * SECOND / crash_interval {
            sim.after(step * crash_interval, |sim| {
                (0..3).for_each(|i| sim.crash_controller(i, 50_000))
            });
        }
        sim.run_seconds(6);
        let call_counts = sim.call_counts;
        assert!(
            call_counts.store_requests < 6 * 200,
            "crash interval {crash_interval} us: 1,200 store requests or more: {call_counts:?}"
        );
        assert!(
            call_counts.store_changes < 6 * 150,
            "crash interval {crash_interval} us: 900 store changes or more: {call_counts:?}"
        );
        sim.run_seconds(40);
        let running_tasks: usize = sim
            .agents
            .values()
            .map(|agent| agent.active_tasks().count())
            .sum();
        assert_eq!(
            running_tasks as u32, TASKS,
            "crash interval {crash_interval} us: running tasks 40 s after the last crash"
        );
    }
}
