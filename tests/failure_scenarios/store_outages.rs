//! Store outages. Leases are renewed without the store while all peers respond, under a renewal grant of the leader, or in
//! reliance on silence pledges (see crates/lease-delegation).

use crate::partition_from_agents;
use crate::simulation::{Endpoint, PartitionMode, SECOND, Simulation, job, simulation_with_leader};
use rand::RngExt;
use walnuttrestle::protocol::JobKind;

#[test]
fn store_outage_across_a_crash_loses_no_accepted_job() {
    let mut sim = simulation_with_leader(10, 3);
    sim.spawn_client("req-1", job(JobKind::Array, 3, 1.0), 8 * SECOND);
    sim.run_seconds(2);
    sim.store.outage = true;
    let leader = sim.leader().unwrap();
    sim.crash_controller(leader, 5 * SECOND);
    sim.spawn_client("req-2", job(JobKind::Array, 1, 1.0), 3 * SECOND);
    sim.run_seconds(15);
    let now = sim.now;
    sim.store.end_outage(now);
    sim.run_seconds(90);
    assert!(
        sim.job_done("req-1") && sim.job_done("req-2"),
        "{}",
        sim.dump()
    );
}

#[test]
fn short_store_outage_kills_no_task() {
    let mut sim = simulation_with_leader(11, 3);
    sim.spawn_client("req-1", job(JobKind::Service, 3, 1.0), 0);
    sim.run_seconds(10);
    sim.store.outage = true;
    sim.run_seconds(14);
    let now = sim.now;
    sim.store.end_outage(now);
    sim.run_seconds(20);
    assert!(
        sim.start_counts.values().all(|n| *n == 1),
        "{:?}",
        sim.start_counts
    );
}

#[test]
fn long_store_outage_kills_no_task_while_all_peers_confirm() {
    let mut sim = simulation_with_leader(31, 3);
    sim.spawn_client("req-1", job(JobKind::Service, 3, 1.0), 0);
    sim.spawn_client("req-2", job(JobKind::Service, 1, 1.0), 0);
    sim.run_seconds(10);
    sim.cancel_until_answered("req-2");
    sim.run_seconds(3);
    sim.store.outage = true;
    sim.run_seconds(50);
    let now = sim.now;
    sim.store.end_outage(now);
    sim.run_seconds(20);
    assert!(sim.machines_running("req-2/0").is_empty(), "{}", sim.dump());
    assert!(
        sim.start_counts.values().all(|n| *n == 1),
        "{:?}",
        sim.start_counts
    );
}

#[test]
fn missing_peer_ends_renewals_in_a_long_store_outage() {
    let mut sim = simulation_with_leader(32, 3);
    sim.spawn_client("req-1", job(JobKind::Service, 3, 1.0), 0);
    sim.run_seconds(10);
    sim.store.outage = true;
    // After the crash, what this controller last told its clients cannot be confirmed; its peers have to end renewals.
    let follower = (0..3).find(|i| Some(*i) != sim.leader()).unwrap();
    sim.crash_controller(follower, 4 * SECOND);
    sim.run_seconds(45);
    assert!(
        (0..3).all(|task| sim.machines_running(&format!("req-1/{task}")).is_empty()),
        "{}",
        sim.dump()
    );
    let now = sim.now;
    sim.store.end_outage(now);
    sim.run_seconds(60);
    assert!(
        (0..3).all(|task| sim.machines_running(&format!("req-1/{task}")).len() == 1),
        "{}",
        sim.dump()
    );
}

#[test]
fn polls_fail_fast_in_a_store_outage_and_final_states_are_still_served() {
    let mut sim = simulation_with_leader(17, 2);
    sim.spawn_client("req-1", job(JobKind::Array, 1, 1.0), 2 * SECOND);
    sim.declare_job("req-2", job(JobKind::Service, 1, 1.0), 0);
    sim.submit(0, "req-2");
    sim.run_seconds(20);
    sim.store.outage = true;
    let first_answer = sim.client_answers.len();
    sim.poll(1, "req-1");
    sim.poll(1, "req-2");
    sim.run_seconds(1);
    let answers: Vec<(u16, &str)> = sim.client_answers[first_answer..]
        .iter()
        .map(|answer| (answer.status, answer.state.as_str()))
        .collect();
    assert!(
        answers.contains(&(200, "done")) && answers.contains(&(503, "")),
        "{answers:?}"
    );
}

/// A simulation of a store outage in which the leader crashes after 6 s and returns after `down_time`. The job `req-3` is
/// cancelled during the outage.
fn simulation_with_leader_crash_in_an_outage(
    seed: u64,
    down_time: u64,
    pledges: bool,
) -> Simulation {
    let mut sim = simulation_with_leader(seed, 5);
    if pledges {
        sim.restart_with_pledges();
    }
    sim.spawn_client("req-1", job(JobKind::Service, 5, 1.0), 0);
    sim.spawn_client("req-2", job(JobKind::Array, 4, 1.0), 20 * SECOND);
    sim.spawn_client("req-3", job(JobKind::Array, 4, 1.0), 300 * SECOND);
    sim.run_seconds(10);
    let cancel_delay = sim.rng.random_range(3 * SECOND..8 * SECOND);
    sim.after(cancel_delay, |sim| sim.cancel_until_answered("req-3"));
    sim.store.outage = true;
    sim.run_seconds(6);
    let leader = sim.leader().expect("no leader");
    sim.crash_controller(leader, down_time);
    sim
}

#[test]
fn leader_loss_in_a_store_outage_kills_no_task() {
    for seed in 720..740 {
        for (down_time, pledges) in [
            (50_000, true),
            (300_000, false),
            (4 * SECOND, true),
            (4 * SECOND, false),
        ] {
            let mut sim = simulation_with_leader_crash_in_an_outage(seed, down_time, pledges);
            // With pledges, tasks survive outages longer than a lease and than the cancellation deadline (cancel_s).
            sim.run_seconds(if pledges { 40 } else { 20 });
            let now = sim.now;
            sim.store.end_outage(now);
            sim.run_seconds(60);
            for task in (0..5).map(|t| format!("req-1/{t}")) {
                assert_eq!(
                    sim.start_counts[&task],
                    1,
                    "seed {seed}, down time {down_time} us: {task}\n{}",
                    sim.dump()
                );
            }
            assert!(sim.job_done("req-2"), "seed {seed}");
            assert_eq!(sim.last_status("req-3"), "cancelled", "seed {seed}");
        }
    }
}

/// The leader does not return during the outage. The renewal grant expires, as no peer has proof that the process of the
/// leader has ended.
#[test]
fn renewal_grant_expires_while_the_leader_may_be_alive() {
    let mut sim = simulation_with_leader_crash_in_an_outage(745, 200 * SECOND, false);
    sim.run_seconds(16);
    let running_replicas = |sim: &Simulation| {
        (0..5)
            .filter(|task| !sim.machines_running(&format!("req-1/{task}")).is_empty())
            .count()
    };
    assert_eq!(
        running_replicas(&sim),
        5,
        "not all replicas survived for more than a lease"
    );
    sim.run_seconds(30);
    assert_eq!(
        running_replicas(&sim),
        0,
        "replicas still run after the grant has expired"
    );
    let now = sim.now;
    sim.store.end_outage(now);
    sim.run_seconds(60);
    assert_eq!(running_replicas(&sim), 5);
}

/// Followers renew leases under the leader's grant on machines that the leader cannot reach. The leader must not consider
/// these leases expired.
#[test]
fn leader_waits_for_leases_renewed_under_its_grant() {
    for seed in 760..772 {
        let mut sim = simulation_with_leader(seed, 4);
        sim.spawn_client("req-1", job(JobKind::Service, 4, 4.0), 0);
        sim.run_seconds(12);
        let (leader, follower, third) = sim.controllers_by_role();
        sim.store.outage = true;
        sim.run_seconds(4);
        let unreachable_machines: Vec<String> = sim
            .machines_running("req-1/0")
            .into_iter()
            .chain(sim.machines_running("req-1/1"))
            .collect();
        assert!(!unreachable_machines.is_empty());
        for i in [follower, third] {
            sim.partition(
                Endpoint::Controller(leader),
                Endpoint::Controller(i),
                PartitionMode::Drop,
                60 * SECOND,
            );
        }
        partition_from_agents(&mut sim, leader, &unreachable_machines, 60 * SECOND);
        sim.run_seconds(13);
        // Only the leader can use the store again; without the cloud it cannot delete machines.
        sim.cloud_unavailable = true;
        sim.store.refused_controllers = vec![follower, third];
        let now = sim.now;
        sim.store.end_outage(now);
        sim.run_seconds(8);
        assert_eq!(
            sim.machines_running("req-1/0").len(),
            1,
            "seed {seed}: the replica did not keep its lease under the grant\n{}",
            sim.dump()
        );
        sim.run_seconds(60);
        sim.cloud_unavailable = false;
        sim.store.refused_controllers.clear();
        sim.run_seconds(60);
        assert!((0..4).all(|task| sim.machines_running(&format!("req-1/{task}")).len() == 1));
    }
}

/// A controller has given a silence pledge and is then the only one that the store serves. Clients cancel through it and
/// machines become free, while its peers still rely on the pledge: it must not confirm the cancellation before the
/// pledge has ended.
#[test]
fn pledge_is_kept_by_the_controller_alone_with_the_store() {
    for seed in 780..792 {
        let mut sim = simulation_with_leader(seed, 6);
        sim.restart_with_pledges();
        sim.spawn_client("req-1", job(JobKind::Service, 6, 4.0), 0);
        sim.spawn_client("req-2", job(JobKind::Array, 6, 4.0), 300 * SECOND);
        sim.run_seconds(12);
        let (leader, follower, third) = sim.controllers_by_role();
        sim.store.outage = true;
        sim.run_seconds(12);
        // Two machines report to the controller that will be alone, the other machines to its peers.
        let machines: Vec<String> = sim.agents.keys().cloned().collect();
        for i in [leader, third] {
            sim.partition(
                Endpoint::Controller(follower),
                Endpoint::Controller(i),
                PartitionMode::Drop,
                90 * SECOND,
            );
            partition_from_agents(&mut sim, i, &machines[..2], 90 * SECOND);
        }
        partition_from_agents(&mut sim, follower, &machines[2..], 90 * SECOND);
        sim.store.refused_controllers = vec![leader, third];
        sim.cloud_unavailable = true;
        let now = sim.now;
        sim.store.end_outage(now);
        for _ in 0..60 {
            sim.cancel(follower, "req-2");
            sim.run_seconds(1);
        }
        sim.cloud_unavailable = false;
        assert_eq!(sim.leader(), Some(follower), "seed {seed}");
        assert_eq!(
            sim.last_status("req-2"),
            "cancelled",
            "seed {seed}: the cancellation was not confirmed"
        );
        sim.store.refused_controllers.clear();
        sim.run_seconds(90);
        assert!(
            (0..6).all(|task| sim.machines_running(&format!("req-1/{task}")).len() == 1),
            "seed {seed}\n{}",
            sim.dump()
        );
    }
}

/// Controllers restart one after the other in a store outage, so that at every moment some controller holds the records
/// and the restarted one can recover them from it.
#[test]
fn controllers_restarted_in_an_outage_recover_state_from_peers() {
    for seed in 950..970 {
        let mut sim = simulation_with_leader(seed, 5);
        sim.restart_with_pledges();
        sim.spawn_client("req-1", job(JobKind::Service, 5, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Array, 5, 1.0), 300 * SECOND);
        sim.run_seconds(10);
        sim.after(2 * SECOND, |sim| sim.cancel_until_answered("req-2"));
        sim.run_seconds(4);
        sim.store.outage = true;
        sim.run_seconds(4);
        let (leader, follower, third) = sim.controllers_by_role();
        for (step, controller) in [leader, follower, third, leader, follower]
            .into_iter()
            .enumerate()
        {
            let down_time = sim.rng.random_range(50_000..400_000);
            sim.after(step as u64 * 7 * SECOND, move |sim| {
                sim.crash_controller(controller, down_time)
            });
        }
        sim.run_seconds(42);
        let now = sim.now;
        sim.store.end_outage(now);
        sim.run_seconds(60);
        for task in (0..5).map(|t| format!("req-1/{t}")) {
            assert_eq!(
                sim.start_counts[&task],
                1,
                "seed {seed}: {task}\n{}",
                sim.dump()
            );
        }
        assert_eq!(sim.last_status("req-2"), "cancelled", "seed {seed}");
    }
}
