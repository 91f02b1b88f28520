//! A follower that renews agents' leases on behalf of a leader that cannot reach the agents obeys the same limits as
//! the leader (docs/safety.md, line 14). The cloud is unavailable in these tests, because otherwise the machines would be
//! deleted in time (line 17).

mod simulation;

use simulation::{
    CANCEL_DEADLINE_S, Endpoint, PartitionMode, SECOND, Simulation, job, simulation_with_leader,
};
use walnuttrestle::protocol::JobKind;

/// A simulation in which only one follower reaches half of the machines and renews the leases of their agents by a
/// recorded delegation, and in which the cloud is unavailable. The leader still reaches the other half, because
/// otherwise it would transfer leadership. Also returns the indices of that follower and of the third controller.
fn simulation_with_renewing_follower(seed: u64) -> (Simulation, usize, usize) {
    let mut sim = simulation_with_leader(seed, 4);
    sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
    sim.spawn_client("req-2", job(JobKind::Array, 4, 1.0), 300 * SECOND);
    sim.run_seconds(10);
    let leader = sim.leader().expect("a leader");
    let (follower, third) = ((leader + 1) % 3, (leader + 2) % 3);
    for machine in sim.machine_names().into_iter().take(2) {
        for i in [leader, third] {
            sim.partition(
                Endpoint::Controller(i),
                Endpoint::Agent(machine.clone()),
                PartitionMode::Drop,
                120 * SECOND,
            );
        }
    }
    // The follower cannot forward agent heartbeats to the leader either.
    sim.partition(
        Endpoint::Controller(leader),
        Endpoint::Controller(follower),
        PartitionMode::Drop,
        120 * SECOND,
    );
    sim.cloud_unavailable = true;
    sim.run_seconds(9);
    assert_eq!(
        sim.running_instances("req-2"),
        4,
        "seed {seed}: running tasks of req-2, whose leases the follower renews\n{}",
        sim.dump()
    );
    (sim, follower, third)
}

#[test]
fn renewing_follower_stops_cancelled_tasks() {
    for seed in 0..8 {
        let (mut sim, _, third) = simulation_with_renewing_follower(6300 + seed);
        sim.cancel(third, "req-2");
        sim.run_seconds(CANCEL_DEADLINE_S + 5);
        sim.assert_cancelled(seed, &["req-2"]);
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: running tasks of req-1, whose leases are still renewed\n{}",
            sim.dump()
        );
    }
}

#[test]
fn renewing_follower_stops_renewing_without_store_and_peers() {
    for seed in 0..8 {
        let (mut sim, follower, third) = simulation_with_renewing_follower(6320 + seed);
        let mode = [PartitionMode::Drop, PartitionMode::Delay][seed as usize % 2];
        sim.partition(
            Endpoint::Controller(follower),
            Endpoint::Store,
            mode,
            70 * SECOND,
        );
        for i in (0..3).filter(|i| *i != follower) {
            sim.partition(
                Endpoint::Controller(follower),
                Endpoint::Controller(i),
                mode,
                70 * SECOND,
            );
        }
        sim.run_seconds(2);
        sim.cancel(third, "req-2");
        sim.run_seconds(CANCEL_DEADLINE_S + 5);
        sim.assert_cancelled(seed, &["req-2"]);
    }
}
