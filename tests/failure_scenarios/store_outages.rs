//! Store outages: leases are renewed by peers' confirmations, under a delegated right, and by pledge.

use crate::controllers_by_role;
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
    assert!(sim.job_done("req-1") && sim.job_done("req-2"));
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
    assert!(sim.machines_running("req-2/0").is_empty());
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
    // No controller can confirm what it last told its clients.
    let other = (0..3).find(|i| Some(*i) != sim.leader()).unwrap();
    sim.crash_controller(other, 4 * SECOND);
    sim.run_seconds(45);
    assert!((0..3).all(|t| sim.machines_running(&format!("req-1/{t}")).is_empty()));
    let now = sim.now;
    sim.store.end_outage(now);
    sim.run_seconds(60);
    assert!((0..3).all(|t| sim.machines_running(&format!("req-1/{t}")).len() == 1));
}

#[test]
fn silent_store_refuses_polls_at_once_and_final_states_are_still_served() {
    let mut sim = simulation_with_leader(17, 2);
    sim.spawn_client("req-1", job(JobKind::Array, 1, 1.0), 2 * SECOND);
    sim.declare_job("req-2", job(JobKind::Service, 1, 1.0), 0);
    sim.submit(0, "req-2");
    sim.run_seconds(20);
    sim.store.outage = true;
    let from = sim.client_answers.len();
    sim.poll(1, "req-1");
    sim.poll(1, "req-2");
    sim.run_seconds(1);
    let said: Vec<(u16, &str)> = sim.client_answers[from..]
        .iter()
        .map(|answer| (answer.status, answer.state.as_str()))
        .collect();
    assert!(
        said.contains(&(200, "done")) && said.contains(&(503, "")),
        "{said:?}"
    );
}

/// The leader crashes in a store outage; the remaining controllers keep the agents alive.
fn leader_lost_in_an_outage(seed: u64, back: u64, pledges: bool) -> Simulation {
    let mut sim = simulation_with_leader(seed, 5);
    if pledges {
        sim.restart_with_pledges();
    }
    sim.spawn_client("req-1", job(JobKind::Service, 5, 1.0), 0);
    sim.spawn_client("req-2", job(JobKind::Array, 4, 1.0), 20 * SECOND);
    sim.spawn_client("req-3", job(JobKind::Array, 4, 1.0), 300 * SECOND);
    sim.run_seconds(10);
    let early = sim.rng.random_range(3 * SECOND..8 * SECOND);
    sim.after(early, |sim| sim.cancel_until_answered("req-3"));
    sim.store.outage = true;
    sim.run_seconds(6);
    let leader = sim.leader().expect("a leader");
    sim.crash_controller(leader, back);
    sim
}

#[test]
fn leader_loss_in_a_store_outage_kills_no_task() {
    for seed in 720..740 {
        for (back, pledges) in [
            (50_000, true),
            (300_000, false),
            (4 * SECOND, true),
            (4 * SECOND, false),
        ] {
            let mut sim = leader_lost_in_an_outage(seed, back, pledges);
            // With pledges longer than a lease, and than cancel_s.
            sim.run_seconds(if pledges { 40 } else { 20 });
            let now = sim.now;
            sim.store.end_outage(now);
            sim.run_seconds(60);
            for task in (0..5).map(|t| format!("req-1/{t}")) {
                assert_eq!(
                    sim.start_counts[&task],
                    1,
                    "seed {seed} {back}: {task}\n{}",
                    sim.dump()
                );
            }
            assert!(sim.job_done("req-2"), "seed {seed}");
            assert_eq!(sim.last_status("req-3"), "cancelled", "seed {seed}");
        }
    }
}

/// The leader does not return during the outage: then the right expires, as no controller knows that it is dead.
#[test]
fn renewal_right_expires_while_the_leader_is_unknown() {
    let mut sim = leader_lost_in_an_outage(745, 200 * SECOND, false);
    sim.run_seconds(16);
    let up = |sim: &Simulation| {
        (0..5)
            .filter(|t| !sim.machines_running(&format!("req-1/{t}")).is_empty())
            .count()
    };
    assert_eq!(up(&sim), 5, "kept for a lease and more");
    sim.run_seconds(30);
    assert_eq!(up(&sim), 0, "and not for ever");
    let now = sim.now;
    sim.store.end_outage(now);
    sim.run_seconds(60);
    assert_eq!(up(&sim), 5);
}

/// Others renew under the right what the leader has lost sight of. It must not consider those leases expired.
#[test]
fn leader_waits_for_leases_renewed_under_its_right() {
    for seed in 760..772 {
        let mut sim = simulation_with_leader(seed, 4);
        sim.spawn_client("req-1", job(JobKind::Service, 4, 4.0), 0);
        sim.run_seconds(12);
        let (leader, follower, third) = controllers_by_role(&sim);
        sim.store.outage = true;
        sim.run_seconds(4);
        let far: Vec<String> = sim
            .machines_running("req-1/0")
            .into_iter()
            .chain(sim.machines_running("req-1/1"))
            .collect();
        assert!(!far.is_empty());
        for i in [follower, third] {
            sim.partition(
                Endpoint::Controller(leader),
                Endpoint::Controller(i),
                PartitionMode::Drop,
                60 * SECOND,
            );
        }
        partition_from_agents(&mut sim, leader, &far, 60 * SECOND);
        sim.run_seconds(13);
        // The store is back for the leader alone, which cannot delete machines.
        sim.cloud_unavailable = true;
        sim.store.refused_controllers = vec![follower, third];
        let now = sim.now;
        sim.store.end_outage(now);
        sim.run_seconds(8);
        assert_eq!(
            sim.machines_running("req-1/0").len(),
            1,
            "seed {seed}: kept by right\n{}",
            sim.dump()
        );
        sim.run_seconds(60);
        sim.cloud_unavailable = false;
        sim.store.refused_controllers.clear();
        sim.run_seconds(60);
        assert!((0..4).all(|t| sim.machines_running(&format!("req-1/{t}")).len() == 1));
    }
}

/// One controller has pledged to tell nothing new and is then alone with the store, where clients cancel and machines become
/// free; the others rely on its pledge.
#[test]
fn pledge_is_kept_by_the_controller_alone_with_the_store() {
    for seed in 780..792 {
        let mut sim = simulation_with_leader(seed, 6);
        sim.restart_with_pledges();
        sim.spawn_client("req-1", job(JobKind::Service, 6, 4.0), 0);
        sim.spawn_client("req-2", job(JobKind::Array, 6, 4.0), 300 * SECOND);
        sim.run_seconds(12);
        let (leader, follower, third) = controllers_by_role(&sim);
        sim.store.outage = true;
        sim.run_seconds(12);
        // Some machines report to the one that will be alone, the others stay.
        let names: Vec<String> = sim.agents.keys().cloned().collect();
        for i in [leader, third] {
            sim.partition(
                Endpoint::Controller(follower),
                Endpoint::Controller(i),
                PartitionMode::Drop,
                90 * SECOND,
            );
            partition_from_agents(&mut sim, i, &names[..2], 90 * SECOND);
        }
        partition_from_agents(&mut sim, follower, &names[2..], 90 * SECOND);
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
            "seed {seed}: after all"
        );
        sim.store.refused_controllers.clear();
        sim.run_seconds(90);
        assert!(
            (0..6).all(|t| sim.machines_running(&format!("req-1/{t}")).len() == 1),
            "seed {seed}\n{}",
            sim.dump()
        );
    }
}

/// One controller after the other restarts in an outage; at every moment some controller knows the records.
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
        let (leader, follower, third) = controllers_by_role(&sim);
        for (n, i) in [leader, follower, third, leader, follower]
            .into_iter()
            .enumerate()
        {
            let back = sim.rng.random_range(50_000..400_000);
            sim.after(n as u64 * 7 * SECOND, move |sim| {
                sim.crash_controller(i, back)
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
