//! A follower that renews agents' leases on behalf of a leader that cannot reach the agents obeys the same limits as
//! the leader, and knows its own record whatever happens to its writes (docs/safety.md, lines 14 and 79). The cloud is unavailable in these tests, because otherwise the machines would be
//! deleted in time (line 17).

mod simulation;

use simulation::fault_injection::{DelayedKey, DroppedDelivery};
use simulation::{
    CANCEL_DEADLINE_S, Endpoint, PartitionMode, SECOND, Simulation, job, simulation_with_leader,
};
use walnuttrestle::protocol::JobKind;

/// A simulation in which, from now on, only one follower reaches half of the machines, and in which the cloud is
/// unavailable. The leader still reaches the other half, because otherwise it would transfer leadership. Also returns the
/// indices of the leader, of that follower and of the third controller.
fn simulation_with_partitioned_machines(seed: u64) -> (Simulation, [usize; 3]) {
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
    (sim, [leader, follower, third])
}

/// The same after that follower has recorded that it renews the leases of these machines. Also returns the indices of the
/// follower and of the third controller.
fn simulation_with_renewing_follower(seed: u64) -> (Simulation, usize, usize) {
    let (mut sim, [_, follower, third]) = simulation_with_partitioned_machines(seed);
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

fn assert_started_once(sim: &Simulation, seed: u64) {
    assert!(
        sim.start_counts.values().all(|starts| *starts == 1),
        "seed {seed}: {:?}\n{}",
        sim.start_counts,
        sim.dump()
    );
}

/// Guards against a follower taking its own record, the answer to whose write was lost, for that of another and giving up
/// all leases that it has just renewed (review/2).
#[test]
fn renewing_follower_recognizes_its_record_after_lost_answers() {
    for seed in 0..8 {
        let (mut sim, ..) = simulation_with_renewing_follower(6340 + seed);
        sim.run_seconds(seed);
        sim.faults.lost_write_answer_probability = 1.0;
        sim.run_seconds(11);
        sim.faults.lost_write_answer_probability = 0.0;
        sim.run_seconds(40);
        assert_started_once(&sim, seed);
    }
}

/// Guards against the same with a record that is carried out late, after newer ones were sent, while machines come and go.
#[test]
fn renewing_follower_recognizes_its_record_when_it_is_written_late() {
    for seed in 0..16 {
        let (mut sim, follower, _) = simulation_with_renewing_follower(6360 + seed);
        sim.faults.delayed_key = Some(DelayedKey {
            prefix: "wt/r/",
            skipped: 0,
            remaining: 3,
            delay: (3 + seed % 9) * SECOND,
        });
        sim.faults.lost_write_answer_probability = [0.0, 0.5][seed as usize % 2];
        // One machine stays away for almost a lease, so that it is about to be left out of the record.
        sim.partition(
            Endpoint::Controller(follower),
            Endpoint::Agent("n-000001".into()),
            PartitionMode::Drop,
            (4 + seed % 5) * SECOND,
        );
        sim.run_seconds(30);
        sim.faults.clear();
        // The partitions end as well: until then the leader does not learn that an agent has begun a new epoch.
        sim.run_seconds(100);
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: running instances of req-1\n{}",
            sim.dump()
        );
    }
}

/// The machines whose leases the follower renews.
const PARTITIONED_MACHINES: [&str; 2] = ["n-000001", "n-000002"];
/// After this time without a new record of a follower, the leader revokes its renewals.
const REVOCATION_DELAY_S: u64 = 25;
/// Time for a pass, a write, a start command and the fetch of an image, after a lease has expired.
const RESTART_TIME_S: u64 = 8;

/// Asserts that the tasks of the partitioned machines, which have died, run on the other machines.
fn assert_tasks_restarted(sim: &Simulation, seed: u64) {
    for (job, tasks) in [("req-1", 4), ("req-2", 4)] {
        assert_eq!(
            sim.running_instances(job),
            tasks,
            "seed {seed}: running tasks of {job}\n{}",
            sim.dump()
        );
    }
}

/// Lets the machines whose leases the follower renews die. The cloud, which would show it, is unavailable.
fn kill_partitioned_machines(sim: &mut Simulation) {
    for machine in PARTITIONED_MACHINES {
        sim.agents.get_mut(machine).expect("a machine").alive = false;
    }
}

/// Guards against leases that never end because the leader has raised its term while a follower's record named their
/// machines (review/4): the record of the earlier term counts no longer, and nobody clears it.
#[test]
fn leases_recorded_by_a_follower_end_after_the_term_was_raised() {
    for seed in 0..8 {
        let (mut sim, ..) = simulation_with_renewing_follower(6400 + seed);
        let term = sim.term();
        // A start without an answer, whose job is then cancelled, makes the leader raise its term.
        let until = sim.now + 30 * SECOND;
        for machine in ["n-000003", "n-000004"] {
            let kinds = [DroppedDelivery::Commands];
            sim.faults.drop_deliveries(machine, None, &kinds, until);
        }
        sim.spawn_client("req-3", job(JobKind::Array, 2, 1.0), 300 * SECOND);
        sim.run_seconds(4);
        kill_partitioned_machines(&mut sim);
        sim.cancel_until_answered("req-3");
        sim.run_seconds(6);
        assert!(sim.term() > term, "seed {seed}: the term was not raised");
        sim.run_seconds(CANCEL_DEADLINE_S + RESTART_TIME_S);
        assert_tasks_restarted(&sim, seed);
    }
}

/// Guards against a revocation without effect: a follower that renews leases has failed, the leader raises its term
/// because of that, and its record of the earlier term still counts.
#[test]
fn leases_recorded_by_a_failed_follower_end_after_their_revocation() {
    for seed in 0..8 {
        let (mut sim, follower, _) = simulation_with_renewing_follower(6420 + seed);
        kill_partitioned_machines(&mut sim);
        sim.crash_controller(follower, 300 * SECOND);
        sim.run_seconds(REVOCATION_DELAY_S + CANCEL_DEADLINE_S + RESTART_TIME_S);
        assert_tasks_restarted(&sim, seed);
    }
}

/// Guards against a leader that cannot read the records ending leases because its cache names nobody who renews them: a
/// follower has recorded that it does, and the store was refusing the leader by then (review/3).
#[test]
fn leader_that_cannot_read_the_records_ends_no_lease() {
    let mut undisturbed = 0;
    for seed in 0..16 {
        let (mut sim, [leader, ..]) = simulation_with_partitioned_machines(6400 + seed);
        // The first agents come to the follower after 4 s without a response and a pause of 1 s.
        sim.run_micros((4_600 + 50 * seed) * SECOND / 1_000);
        sim.store.refused_controllers.push(leader);
        sim.run_seconds(3);
        sim.store.refused_controllers.clear();
        sim.store.outage = true;
        sim.run_seconds(10);
        let now = sim.now;
        sim.store.end_outage(now);
        sim.run_seconds(40);
        undisturbed += u32::from(sim.start_counts.values().all(|starts| *starts == 1));
    }
    // The agents whose follower cannot record them before the outage lose their leases.
    assert!(
        undisturbed >= 8,
        "in {undisturbed} of 16 runs, every task was started once"
    );
}
