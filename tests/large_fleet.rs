//! Fleets of the announced size: half as many machines again as the operators' fleets have today, and controllers that
//! restart within a fraction of a second.

mod simulation;

use simulation::{CallCounts, SECOND, Simulation, job};
use walnuttrestle::protocol::JobKind;

const MACHINES: usize = 1_900;
const TASKS: u32 = 1_800;

/// A fleet with a task on nearly every machine.
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
    assert_eq!(sim.start_counts.values().sum::<u32>(), TASKS);
    sim
}

#[test]
fn all_agents_arriving_in_one_second_are_served() {
    let mut sim = full_fleet(1);
    sim.call_counts = CallCounts::default();
    // All agents report to the leader; its process ends, and that of one peer.
    let leader = sim.leader().expect("a leader");
    let survivor = (leader + 1) % 3;
    sim.crash_controller(leader, 60 * SECOND);
    sim.crash_controller((leader + 2) % 3, 60 * SECOND);
    sim.crash_controller(survivor, 200_000);
    sim.run_seconds(30);
    assert_eq!(sim.leader(), Some(survivor));
    assert_eq!(
        sim.start_counts.values().sum::<u32>(),
        TASKS,
        "nothing starts twice"
    );
    assert!(
        sim.agents.values().all(|agent| agent.agent_epoch == 1),
        "no lease ran out"
    );
    // One listing of the records, heartbeats, barriers of polls; each agent is told the term at most once.
    assert!(
        sim.call_counts.store_requests < 30 * 60,
        "{:?}",
        sim.call_counts
    );
    assert!(sim.call_counts.store_changes < 30, "{:?}", sim.call_counts);
    assert!(
        sim.call_counts.agent_commands <= MACHINES,
        "{:?}",
        sim.call_counts
    );
}

/// Each incarnation starts with a full share of the write budget; a restart storm must not spend it anew with every
/// incarnation.
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
            "interval {crash_interval}: {call_counts:?}"
        );
        assert!(
            call_counts.store_changes < 6 * 150,
            "interval {crash_interval}: {call_counts:?}"
        );
        sim.run_seconds(40);
        let running_tasks: usize = sim
            .agents
            .values()
            .map(|agent| agent.active_tasks().count())
            .sum();
        assert_eq!(
            running_tasks as u32, TASKS,
            "interval {crash_interval}: all are there again"
        );
    }
}
