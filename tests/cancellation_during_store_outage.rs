//! The store refuses only the leader while a follower confirms cancellations; then the store is unavailable to all
//! controllers for longer than the cancellation deadline, and agents still send their heartbeats to the old leader. The
//! leader must stop the cancelled tasks although it cannot read the records.

mod simulation;

use rand::RngExt;
use simulation::fault_injection::{DroppedDelivery, StoreDelay};
use simulation::{
    CANCEL_DEADLINE_S, Endpoint, PartitionMode, SECOND, Simulation, job, simulation_with_leader,
};
use walnuttrestle::protocol::{JobKind, JobSpec, Priority};

/// How long the store refuses only the leader before the outage for all controllers, in microseconds.
const LEADER_REFUSED_US: u64 = 2 * SECOND;
/// Duration of the store outage in seconds, longer than the cancellation deadline.
const OUTAGE_S: u64 = CANCEL_DEADLINE_S + 12;

/// A simulation with a service whose replicas have to survive, and arrays for the tests to cancel.
fn simulation_with_jobs(seed: u64) -> Simulation {
    let mut sim = simulation_with_leader(seed, 5);
    sim.spawn_client("req-1", job(JobKind::Service, 5, 1.0), 0);
    for n in 2..5 {
        sim.spawn_client(
            &format!("req-{n}"),
            job(JobKind::Array, 4, 1.0),
            300 * SECOND,
        );
    }
    sim.run_seconds(12);
    assert_eq!(
        sim.start_counts.len(),
        17,
        "seed {seed}: started tasks\n{}",
        sim.dump()
    );
    sim
}

/// Makes the store refuse only the leader, then starts the outage; calls `cancel` halfway between the two and again
/// shortly before the outage.
fn refuse_leader_then_stop_store(sim: &mut Simulation, cancel: impl Fn(&mut Simulation, &str)) {
    let (leader, ..) = sim.controllers_by_role();
    sim.store.refused_controllers.push(leader);
    sim.run_micros(LEADER_REFUSED_US / 2);
    cancel(sim, "req-2");
    sim.run_micros(LEADER_REFUSED_US / 2 - SECOND / 10);
    cancel(sim, "req-3");
    sim.run_micros(SECOND / 10);
    sim.store.outage = true;
}

fn end_outage_and_run(sim: &mut Simulation) {
    let now = sim.now;
    sim.store.refused_controllers.clear();
    sim.store.end_outage(now);
    sim.run_seconds(40);
}

/// Asserts that no task of the cancelled jobs is active; then lets the outage pass and asserts that no replica of the
/// service was started again.
fn assert_cancelled_jobs_stopped_and_replicas_survived(sim: &mut Simulation, seed: u64) {
    let running = sim.running_instances("req-2") + sim.running_instances("req-3");
    assert_eq!(
        running,
        0,
        "seed {seed}: instances of the cancelled jobs\n{}",
        sim.dump()
    );
    sim.run_seconds(OUTAGE_S);
    end_outage_and_run(sim);
    assert_replicas_survived(sim, seed);
}

fn assert_replicas_survived(sim: &Simulation, seed: u64) {
    for task in 0..5 {
        assert_eq!(
            sim.start_counts[&format!("req-1/{task}")],
            1,
            "seed {seed}: starts of req-1/{task}\n{}",
            sim.dump()
        );
    }
}

/// Fails if the leader learns of cancellations only from the records: it then stops renewing all leases 18 s after its last
/// read, and every task ends when its lease expires. Fails as well if it keeps renewing leases without having learned of
/// the cancellations.
#[test]
fn cancellation_confirmed_by_a_follower_is_enforced_and_other_tasks_survive() {
    for seed in 0..12 {
        let mut sim = simulation_with_jobs(2000 + seed);
        let (_, follower, _) = sim.controllers_by_role();
        refuse_leader_then_stop_store(&mut sim, |sim, id| sim.cancel(follower, id));
        for id in ["req-2", "req-3"] {
            assert_eq!(
                sim.last_status(id),
                "cancelled",
                "seed {seed}: last status of {id}"
            );
        }
        // One heartbeat interval and the latency of messages.
        sim.run_micros(900_000);
        assert_eq!(
            sim.running_instances("req-2") + sim.running_instances("req-3"),
            0,
            "seed {seed}: running instances of req-2 and req-3\n{}",
            sim.dump()
        );
        sim.run_seconds(OUTAGE_S);
        assert_eq!(
            sim.running_instances("req-4"),
            4,
            "seed {seed}: running instances of req-4\n{}",
            sim.dump()
        );
        end_outage_and_run(&mut sim);
        assert_replicas_survived(&sim, seed);
        sim.spawn_client("req-9", job(JobKind::Array, 2, 1.0), 2 * SECOND);
        sim.run_seconds(20);
        assert!(
            sim.job_done("req-9"),
            "seed {seed}: req-9 is not done\n{}",
            sim.dump()
        );
    }
}

/// A client cancels through the old leader, which forwards the request to a controller that the store still serves.
#[test]
fn cancellation_forwarded_by_the_old_leader_is_enforced() {
    for seed in 0..8 {
        let mut sim = simulation_with_jobs(2020 + seed);
        let (leader, ..) = sim.controllers_by_role();
        sim.store.refused_controllers.push(leader);
        // The leader has to notice the refusal first.
        sim.run_seconds(3);
        sim.cancel(leader, "req-2");
        sim.run_micros(SECOND / 5);
        sim.store.outage = true;
        assert_eq!(
            sim.last_status("req-2"),
            "cancelled",
            "seed {seed}: last status of req-2"
        );
        sim.run_seconds(3);
        assert_eq!(
            sim.running_instances("req-2"),
            0,
            "seed {seed}: running instances of req-2\n{}",
            sim.dump()
        );
        sim.run_seconds(OUTAGE_S);
        end_outage_and_run(&mut sim);
        assert_replicas_survived(&sim, seed);
    }
}

/// Each follower confirms one cancellation, so the leader has to learn of both.
#[test]
fn cancellations_confirmed_by_both_followers_are_enforced() {
    for seed in 0..8 {
        let mut sim = simulation_with_jobs(2040 + seed);
        let (_, follower, third) = sim.controllers_by_role();
        refuse_leader_then_stop_store(&mut sim, |sim, id| {
            sim.cancel(if id == "req-2" { follower } else { third }, id)
        });
        sim.run_seconds(3);
        assert_cancelled_jobs_stopped_and_replicas_survived(&mut sim, seed);
    }
}

/// The confirming controller crashes at once or two seconds later; it stays down, or restarts at once with its in-memory
/// state lost. No other controller may have learned which cancellations it had confirmed, so leases must not be renewed
/// for long.
#[test]
fn cancellation_is_enforced_when_the_confirming_controller_crashes() {
    for seed in 0..8 {
        for (crash_delay, down_time) in
            [(1_000, 200 * SECOND), (1_000, 50_000), (2 * SECOND, 50_000)]
        {
            let mut sim = simulation_with_jobs(2060 + seed);
            let (_, follower, _) = sim.controllers_by_role();
            refuse_leader_then_stop_store(&mut sim, |sim, id| sim.cancel(follower, id));
            sim.run_micros(crash_delay);
            sim.crash_controller(follower, down_time);
            sim.run_seconds(OUTAGE_S);
            end_outage_and_run(&mut sim);
            sim.run_seconds(40);
            for id in ["req-2", "req-3"] {
                assert_eq!(
                    sim.running_instances(id),
                    0,
                    "seed {seed}, crash after {crash_delay} us for {down_time} us: running instances of {id}"
                );
            }
            assert_eq!(
                sim.running_instances("req-1"),
                5,
                "seed {seed}: running instances of req-1\n{}",
                sim.dump()
            );
        }
    }
}

/// Messages between the leader and the confirming follower are lost, in both directions or in one. The third controller
/// relays the cancellations.
#[test]
fn third_controller_relays_cancellations() {
    for seed in 0..8 {
        for direction in 0..3 {
            let mut sim = simulation_with_jobs(2080 + seed);
            let (leader, follower, _) = sim.controllers_by_role();
            let (from, to, until) = (
                Endpoint::Controller(leader),
                Endpoint::Controller(follower),
                sim.now + 90 * SECOND,
            );
            match direction {
                0 => sim.partition(from, to, PartitionMode::Drop, 90 * SECOND),
                1 => sim.faults.partition_one_way(from, to, until),
                _ => sim.faults.partition_one_way(to, from, until),
            }
            sim.run_seconds(4);
            assert_eq!(
                sim.leader(),
                Some(leader),
                "seed {seed}, direction {direction}: leader after the partition"
            );
            refuse_leader_then_stop_store(&mut sim, |sim, id| sim.cancel(follower, id));
            sim.run_seconds(4);
            assert_cancelled_jobs_stopped_and_replicas_survived(&mut sim, seed);
        }
    }
}

/// The leader receives no messages from the followers. They may have confirmed cancellations, so it has to stop renewing
/// leases before the cancellation deadline.
#[test]
fn isolated_leader_stops_renewing_leases_in_time() {
    for seed in 0..8 {
        let mut sim = simulation_with_jobs(2100 + seed);
        let (leader, follower, third) = sim.controllers_by_role();
        for other in [follower, third] {
            sim.partition(
                Endpoint::Controller(leader),
                Endpoint::Controller(other),
                PartitionMode::Delay,
                OUTAGE_S * SECOND,
            );
        }
        refuse_leader_then_stop_store(&mut sim, |sim, id| sim.cancel(follower, id));
        sim.run_seconds(OUTAGE_S);
        assert_eq!(
            sim.running_instances("req-2") + sim.running_instances("req-3"),
            0,
            "seed {seed}: running instances of req-2 and req-3"
        );
        end_outage_and_run(&mut sim);
        sim.run_seconds(20);
        assert_eq!(
            sim.running_instances("req-1"),
            5,
            "seed {seed}: running instances of req-1\n{}",
            sim.dump()
        );
    }
}

/// The store commits a cancellation, but its answer is lost or more than a second late. The client gets a confirmation in
/// time or none at all.
#[test]
fn lost_or_late_cancellation_answer_is_handled() {
    for seed in 0..8 {
        for delayed in [false, true] {
            let mut sim = simulation_with_jobs(2120 + seed);
            let (_, follower, _) = sim.controllers_by_role();
            if delayed {
                sim.store_delay = 1_200_000;
            } else {
                let until = sim.now + LEADER_REFUSED_US + SECOND / 2;
                sim.lost_answers_from.push((Endpoint::Store, until));
            }
            refuse_leader_then_stop_store(&mut sim, |sim, id| sim.cancel(follower, id));
            sim.run_seconds(OUTAGE_S);
            sim.store_delay = 0;
            end_outage_and_run(&mut sim);
            for id in ["req-2", "req-3"] {
                sim.cancel_until_answered(id);
            }
            sim.run_seconds(40);
            for id in ["req-2", "req-3"] {
                assert_eq!(
                    (sim.last_status(id).as_str(), sim.running_instances(id)),
                    ("cancelled", 0),
                    "seed {seed}: last status and running instances of {id}"
                );
            }
        }
    }
}

/// Machines hang when starts have been sent to them but not answered yet; they resume before or after their leases expire.
#[test]
fn start_delayed_by_a_hung_machine_runs_no_cancelled_task() {
    for seed in 0..8 {
        for hang in [6 * SECOND, 9 * SECOND, 20 * SECOND] {
            let mut sim = simulation_with_jobs(2140 + seed);
            let (_, follower, _) = sim.controllers_by_role();
            sim.spawn_client("req-5", job(JobKind::Array, 12, 1.0), 300 * SECOND);
            sim.command_delay = Some(300_000);
            sim.run_micros(900_000);
            let until = sim.now + hang;
            for machine in sim.machine_names() {
                sim.agents.get_mut(&machine).unwrap().hung_until = until;
            }
            sim.command_delay = None;
            refuse_leader_then_stop_store(&mut sim, |sim, id| {
                sim.cancel(follower, id);
                sim.cancel(follower, "req-5");
            });
            sim.run_seconds(OUTAGE_S);
            assert_eq!(
                sim.running_instances("req-5"),
                0,
                "seed {seed}, hang of {hang} us: running instances of req-5"
            );
            end_outage_and_run(&mut sim);
        }
    }
}

/// A start gets no answer and arrives long after its job was cancelled. During the store outage no higher term can fence it.
/// Fails (ran_cancelled) if the agent's lease is still renewed.
#[test]
fn unanswered_start_that_arrives_after_cancellation_is_harmless() {
    for seed in 0..8 {
        let mut sim = simulation_with_jobs(2160 + seed);
        let (_, follower, _) = sim.controllers_by_role();
        let delay = (LEADER_REFUSED_US / SECOND + CANCEL_DEADLINE_S + 8) * SECOND;
        sim.command_delay = Some(delay);
        sim.spawn_client("req-5", job(JobKind::Array, 12, 1.0), 300 * SECOND);
        sim.run_seconds(4);
        refuse_leader_then_stop_store(&mut sim, |sim, id| {
            sim.cancel(follower, id);
            sim.cancel(follower, "req-5");
        });
        assert_eq!(
            sim.last_status("req-5"),
            "cancelled",
            "seed {seed}: last status of req-5"
        );
        sim.run_seconds(OUTAGE_S + 10);
        sim.command_delay = None;
        end_outage_and_run(&mut sim);
        sim.run_seconds(30);
    }
}

/// A job is placed and recorded, but its starts do not reach the agents before the leader learns that the job is cancelled.
/// Fails if the leader sends the starts after that.
#[test]
fn job_known_to_be_cancelled_is_not_started() {
    for seed in 0..12 {
        let mut sim = simulation_with_jobs(2380 + seed);
        let (_, follower, _) = sim.controllers_by_role();
        let until = sim.now + 1_900_000;
        for machine in sim.machine_names() {
            sim.faults
                .drop_deliveries(&machine, None, &[DroppedDelivery::Commands], until);
        }
        sim.spawn_client("req-2000", job(JobKind::Array, 8, 1.0), 300 * SECOND);
        sim.run_seconds(1);
        let leader = sim.leader().expect("a leader");
        sim.store.refused_controllers.push(leader);
        sim.cancel(follower, "req-2000");
        sim.run_micros(900_000);
        assert_eq!(
            sim.last_status("req-2000"),
            "cancelled",
            "seed {seed}: last status of req-2000"
        );
        let starts_before = sim.task_starts.len();
        sim.run_seconds(5);
        let late_starts: Vec<_> = sim.task_starts[starts_before..]
            .iter()
            .filter(|start| start.task.starts_with("req-2000/"))
            .collect();
        assert!(
            late_starts.is_empty(),
            "seed {seed}: starts after the cancellation: {late_starts:?}"
        );
    }
}

/// Two store outages in succession; in each, the store first refuses the controller that leads at that time.
#[test]
fn two_store_outages_in_a_row_are_survived() {
    for seed in 0..6 {
        let mut sim = simulation_with_jobs(2180 + seed);
        for (round, ids) in [["req-2", "req-3"], ["req-4", "req-6"]].iter().enumerate() {
            let (leader, follower, third) = sim.controllers_by_role();
            sim.store.refused_controllers.push(leader);
            sim.run_micros(LEADER_REFUSED_US / 2);
            sim.cancel(follower, ids[0]);
            sim.cancel(third, ids[1]);
            sim.run_micros(LEADER_REFUSED_US / 2);
            sim.store.outage = true;
            sim.run_seconds(OUTAGE_S);
            for id in ids {
                assert_eq!(
                    sim.running_instances(id),
                    0,
                    "seed {seed}, round {round}: instances of {id}"
                );
            }
            end_outage_and_run(&mut sim);
            assert_replicas_survived(&sim, seed);
            if round == 0 {
                sim.spawn_client("req-6", job(JobKind::Array, 4, 1.0), 300 * SECOND);
                sim.run_seconds(10);
            }
        }
    }
}

/// Controllers of the first version do not support the peer messages that carry cancellations: they receive none, and
/// confirm cancellations without them. No invariant is violated, and leases expire in time.
#[test]
fn first_version_controllers_among_ours_break_no_invariant() {
    for seed in 0..4 {
        for role in 0..3 {
            let mut sim = simulation_with_leader(2200 + seed, 5);
            let (leader, follower, third) = sim.controllers_by_role();
            let old_controller = [leader, follower, third][role];
            sim.set_first_version(old_controller, true);
            sim.crash_controller(old_controller, 50_000);
            sim.run_seconds(10);
            sim.spawn_client("req-1", job(JobKind::Service, 5, 1.0), 0);
            sim.spawn_client("req-2", job(JobKind::Array, 4, 1.0), 300 * SECOND);
            sim.spawn_client("req-3", job(JobKind::Array, 4, 1.0), 300 * SECOND);
            sim.run_seconds(12);
            let (leader, follower, _) = sim.controllers_by_role();
            let confirming = if leader == old_controller {
                follower
            } else {
                old_controller
            };
            refuse_leader_then_stop_store(&mut sim, |sim, id| sim.cancel(confirming, id));
            sim.run_seconds(OUTAGE_S);
            assert_eq!(
                sim.running_instances("req-2") + sim.running_instances("req-3"),
                0,
                "seed {seed}: running instances of req-2 and req-3"
            );
            end_outage_and_run(&mut sim);
            sim.run_seconds(20);
            assert_eq!(
                sim.running_instances("req-1"),
                5,
                "seed {seed}: running instances of req-1\n{}",
                sim.dump()
            );
        }
    }
}

/// Agents change to the followers during the outage. The followers renew leases by delegation and have to stop cancelled
/// tasks, too. This includes the third controller, which has learned of the cancellation only from a peer's message.
#[test]
fn agents_that_change_controllers_stop_cancelled_tasks() {
    for seed in 0..12 {
        let mut sim = simulation_with_jobs(2220 + seed);
        let (leader, follower, third) = sim.controllers_by_role();
        let cancellation_from_peer = seed % 2 == 1;
        if cancellation_from_peer {
            sim.store.refused_controllers.push(third);
            // Without messages from the follower, the leader cannot learn of the cancellation and stop the task itself.
            sim.partition(
                Endpoint::Controller(leader),
                Endpoint::Controller(follower),
                PartitionMode::Drop,
                12 * SECOND,
            );
        }
        refuse_leader_then_stop_store(&mut sim, |sim, id| sim.cancel(follower, id));
        for (n, machine) in sim.machine_names().into_iter().enumerate() {
            let at = sim.rng.random_range(0..12 * SECOND);
            let duration = sim.rng.random_range(5 * SECOND..15 * SECOND);
            let agent = Endpoint::Agent(machine);
            if cancellation_from_peer {
                // From the beginning of the outage, the agent reaches only the third controller.
                sim.partition(
                    Endpoint::Controller(leader),
                    agent.clone(),
                    PartitionMode::Drop,
                    OUTAGE_S * SECOND,
                );
                sim.partition(
                    Endpoint::Controller(follower),
                    agent,
                    PartitionMode::Drop,
                    OUTAGE_S * SECOND,
                );
            } else if n % 2 == 0 {
                sim.after(at, move |sim| {
                    sim.partition(
                        Endpoint::Controller(leader),
                        agent,
                        PartitionMode::Drop,
                        duration,
                    )
                });
            }
        }
        sim.run_seconds(OUTAGE_S);
        assert_eq!(
            sim.running_instances("req-2") + sim.running_instances("req-3"),
            0,
            "seed {seed}: running instances of req-2 and req-3"
        );
        end_outage_and_run(&mut sim);
        if !cancellation_from_peer {
            assert_replicas_survived(&sim, seed);
        }
    }
}

/// Tasks are still saving their state after a preemption when their job is cancelled; they have to end by the deadline.
#[test]
fn cancelled_task_that_is_saving_ends_in_time() {
    for seed in 0..8 {
        let mut sim = simulation_with_leader(2240 + seed, 3);
        sim.no_capacity = true;
        let spec = JobSpec {
            checkpoint_s: 5.0,
            save_s: 25.0,
            priority: Priority::Low,
            ..job(JobKind::Array, 12, 2.0)
        };
        sim.spawn_client("req-2", spec.clone(), 300 * SECOND);
        sim.spawn_client("req-3", spec, 300 * SECOND);
        sim.run_seconds(8);
        let high = JobSpec {
            priority: Priority::High,
            ..job(JobKind::Gang, 1, 8.0)
        };
        sim.spawn_client("req-7", high, 200 * SECOND);
        sim.run_seconds(3);
        let (_, follower, _) = sim.controllers_by_role();
        refuse_leader_then_stop_store(&mut sim, |sim, id| sim.cancel(follower, id));
        sim.run_seconds(OUTAGE_S);
        assert_eq!(
            sim.running_instances("req-2") + sim.running_instances("req-3"),
            0,
            "seed {seed}: running instances of req-2 and req-3"
        );
        end_outage_and_run(&mut sim);
    }
}

/// Machines hang during the outage, or are deaf: they send heartbeats but receive neither responses nor commands.
#[test]
fn unreachable_machines_run_no_cancelled_task_past_the_deadline() {
    for seed in 0..8 {
        for (deaf, duration) in [
            (true, 40 * SECOND),
            (false, 8 * SECOND),
            (false, 15 * SECOND),
        ] {
            let mut sim = simulation_with_jobs(2260 + seed);
            let (_, follower, _) = sim.controllers_by_role();
            refuse_leader_then_stop_store(&mut sim, |sim, id| sim.cancel(follower, id));
            let until = sim.now + duration;
            for machine in sim.machine_names().into_iter().take(3) {
                if deaf {
                    sim.faults.drop_all_deliveries(&machine, until);
                } else {
                    sim.agents.get_mut(&machine).unwrap().hung_until = until;
                }
            }
            sim.run_seconds(OUTAGE_S);
            assert_eq!(
                sim.running_instances("req-2") + sim.running_instances("req-3"),
                0,
                "seed {seed}: running instances of req-2 and req-3"
            );
            end_outage_and_run(&mut sim);
        }
    }
}

/// The confirming controller restarts at once, while the store still serves it: it reads the records and confirms with a new,
/// empty cancellation log. Fails if peers mistake this log for that of its earlier incarnation.
#[test]
fn restarted_confirming_controller_relays_its_cancellations() {
    for seed in 0..12 {
        let mut sim = simulation_with_jobs(2280 + seed);
        let (leader, follower, third) = sim.controllers_by_role();
        // The leader receives messages from the confirming follower only, not through the third controller.
        sim.partition(
            Endpoint::Controller(leader),
            Endpoint::Controller(third),
            PartitionMode::Drop,
            3 * SECOND,
        );
        for n in 10..13 {
            sim.spawn_client(
                &format!("req-{n}"),
                job(JobKind::Array, 1, 1.0),
                300 * SECOND,
            );
        }
        sim.run_seconds(4);
        for n in 10..13 {
            sim.cancel(follower, &format!("req-{n}"));
        }
        sim.run_seconds(3);
        sim.store.refused_controllers.push(leader);
        sim.partition(
            Endpoint::Controller(leader),
            Endpoint::Controller(follower),
            PartitionMode::Drop,
            2 * SECOND,
        );
        sim.partition(
            Endpoint::Controller(leader),
            Endpoint::Controller(third),
            PartitionMode::Drop,
            2 * SECOND,
        );
        sim.run_micros(SECOND / 5);
        sim.cancel(follower, "req-2");
        sim.run_micros(SECOND / 20);
        sim.crash_controller(follower, 50_000);
        sim.run_micros(SECOND);
        assert_eq!(
            sim.last_status("req-2"),
            "cancelled",
            "seed {seed}: last status of req-2"
        );
        sim.store.outage = true;
        // Otherwise the third controller would relay the cancellation, too.
        sim.partition(
            Endpoint::Controller(leader),
            Endpoint::Controller(third),
            PartitionMode::Drop,
            200 * SECOND,
        );
        sim.run_seconds(6);
        assert_eq!(
            sim.running_instances("req-2"),
            0,
            "seed {seed}: running instances of req-2\n{}",
            sim.dump()
        );
        sim.run_seconds(OUTAGE_S);
        end_outage_and_run(&mut sim);
        assert_replicas_survived(&sim, seed);
    }
}

/// The store refuses the leader and the third controller, and the leader cannot exchange messages with the confirming one.
/// The leader learns of the cancellation from the third controller, which has learned of it from a peer's message, too.
#[test]
fn cancellations_learned_from_a_peer_are_relayed() {
    for seed in 0..8 {
        let mut sim = simulation_with_jobs(2300 + seed);
        let (leader, follower, third) = sim.controllers_by_role();
        sim.partition(
            Endpoint::Controller(leader),
            Endpoint::Controller(follower),
            PartitionMode::Drop,
            90 * SECOND,
        );
        sim.run_seconds(3);
        assert_eq!(
            sim.leader(),
            Some(leader),
            "seed {seed}: leader after the partition"
        );
        sim.store.refused_controllers.push(third);
        refuse_leader_then_stop_store(&mut sim, |sim, id| sim.cancel(follower, id));
        sim.run_seconds(5);
        assert_cancelled_jobs_stopped_and_replicas_survived(&mut sim, seed);
    }
}

/// The store refuses the leader for so long that another controller takes over. The old leader receives messages only from
/// the third controller, which the store refuses, too, and which receives messages from the new leader. Fails (ran_twice)
/// if having all cancellations is enough to confirm that the old leader may renew leases.
#[test]
fn replaced_leader_stops_renewing_leases() {
    let mut replaced = 0;
    for seed in 0..4 {
        let mut sim = simulation_with_jobs(2320 + seed);
        let (leader, follower, third) = sim.controllers_by_role();
        sim.partition(
            Endpoint::Controller(leader),
            Endpoint::Controller(follower),
            PartitionMode::Drop,
            120 * SECOND,
        );
        for machine in sim.machine_names() {
            sim.partition(
                Endpoint::Controller(follower),
                Endpoint::Agent(machine.clone()),
                PartitionMode::Drop,
                120 * SECOND,
            );
            sim.partition(
                Endpoint::Controller(third),
                Endpoint::Agent(machine),
                PartitionMode::Drop,
                120 * SECOND,
            );
        }
        // New machines send heartbeats to the new leader only: they would reveal its term to the old leader.
        for machine in 6..16 {
            let machine = Endpoint::Agent(format!("n-{machine:06}"));
            sim.partition(
                Endpoint::Controller(leader),
                machine,
                PartitionMode::Drop,
                120 * SECOND,
            );
        }
        sim.store.refused_controllers.extend([leader, third]);
        sim.run_seconds(12);
        replaced += usize::from(sim.leader() == Some(follower));
        for zone in ["a", "b", "a", "b"] {
            sim.add_machine(zone, false);
        }
        sim.run_seconds(90);
        sim.store.refused_controllers.clear();
        sim.run_seconds(60);
        assert_eq!(
            sim.running_instances("req-1"),
            5,
            "seed {seed}: running instances of req-1\n{}",
            sim.dump()
        );
    }
    assert_eq!(replaced, 4, "seeds in which the leader was replaced");
}

/// Direct commands to machines are lost, heartbeat responses are not. Fails if a response omits a stop because a command with
/// that stop was sent shortly before.
#[test]
fn every_heartbeat_response_stops_cancelled_tasks() {
    for seed in 0..16 {
        let mut sim = simulation_with_jobs(2340 + seed);
        let (_, follower, _) = sim.controllers_by_role();
        let until = sim.now + 120 * SECOND;
        for machine in sim.machine_names() {
            sim.faults
                .drop_deliveries(&machine, None, &[DroppedDelivery::Commands], until);
        }
        refuse_leader_then_stop_store(&mut sim, |sim, id| sim.cancel(follower, id));
        // One heartbeat interval of the controllers, one of the agents, and the latency of messages.
        sim.run_micros(2_900_000);
        assert_eq!(
            sim.running_instances("req-2") + sim.running_instances("req-3"),
            0,
            "seed {seed}: running instances of req-2 and req-3\n{}",
            sim.dump()
        );
    }
}

/// A controller whose watch lags far behind becomes leader, and the store outage starts before it has read anything. Its
/// committed leadership record does not prove that it has the earlier cancellations. Fails (ran_cancelled) if it renews
/// leases as if it had them.
#[test]
fn winning_an_election_does_not_prove_knowledge_of_earlier_cancellations() {
    let mut elections_won = 0;
    for seed in 0..12 {
        let mut sim = simulation_with_jobs(2360 + seed);
        let (leader, lagging, confirming) = sim.controllers_by_role();
        for other in [leader, lagging] {
            sim.partition(
                Endpoint::Controller(other),
                Endpoint::Controller(confirming),
                PartitionMode::Drop,
                100 * SECOND,
            );
        }
        sim.run_seconds(3);
        sim.watch_delays.insert(lagging, 60 * SECOND);
        sim.faults.store_read_delay = Some(StoreDelay {
            controller: lagging,
            delay: 60 * SECOND,
        });
        sim.run_seconds(1);
        sim.store.refused_controllers.push(leader);
        sim.run_micros(SECOND / 10);
        sim.cancel(confirming, "req-2");
        sim.run_micros(SECOND / 5);
        assert_eq!(
            sim.last_status("req-2"),
            "cancelled",
            "seed {seed}: last status of req-2"
        );
        // After the first outage the old leader's key has not expired yet, so the record version that the leadership
        // transaction is conditional on has not changed.
        sim.store.outage = true;
        sim.run_seconds(7);
        sim.crash_controller(leader, 50_000);
        sim.run_micros(1_300_000);
        let now = sim.now;
        sim.store.end_outage(now);
        sim.store.refused_controllers = vec![confirming, leader];
        sim.run_micros(1_200_000);
        elections_won += usize::from(sim.leader() == Some(lagging));
        sim.store.outage = true;
        sim.run_seconds(OUTAGE_S);
        end_outage_and_run(&mut sim);
    }
    assert!(
        elections_won > 8,
        "the lagging controller led in {elections_won} of 12 seeds, expected more than 8"
    );
}
