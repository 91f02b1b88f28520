//! Combinations of two faults that operators have seen (docs/fault-combinations.md), except for those in
//! tests/cancellation_during_store_outage.rs.

mod simulation;

use rand::RngExt;
use simulation::fault_injection::{DroppedDelivery, Duplication};
use simulation::{Endpoint, PartitionMode, SECOND, Simulation, job, simulation_with_leader};
use walnuttrestle::protocol::{JobKind, JobSpec, Priority};

/// Submits a job whose tasks end one after the other, the first after `run_time` and the others `run_time_step` apart.
fn submit_with_staggered_ends(
    sim: &mut Simulation,
    id: &str,
    kind: JobKind,
    tasks: u32,
    run_time: u64,
    run_time_step: u64,
) {
    sim.spawn_client(id, job(kind, tasks, 1.0), run_time);
    if let Some(truth) = sim.jobs.get_mut(id) {
        truth.run_time_step = run_time_step;
    }
}

/// The store keeps a short history of changes. A controller that it has refused for a while therefore has to list all records
/// again, page by page, while clients poll it. Fails with `forgotten` if such a listing is restarted while its pages are
/// in flight: late pages of the first listing make the second one skip keys that it has not read.
#[test]
fn controller_behind_a_compacted_log_relists_and_forgets_no_job() {
    let mut relisting_runs = 0;
    for seed in 0..12 {
        let mut sim = simulation_with_leader(2400 + seed, 5);
        for n in 0..16 {
            sim.spawn_client(
                &format!("req-{}", 100 + n),
                job(JobKind::Array, 1, 1.0),
                300 * SECOND,
            );
        }
        sim.run_seconds(10);
        let leader = sim.leader().expect("no leader");
        // The store refuses the leader for less than its lease, or a follower for longer.
        let (refused, refused_s) = match seed % 2 {
            0 => (leader, 3),
            _ => ((leader + 1) % 3, 12),
        };
        sim.store.history_limit = Some(6);
        sim.store.refused_controllers.push(refused);
        let others: Vec<usize> = (0..3).filter(|n| *n != refused).collect();
        for n in 0..12 {
            sim.spawn_client_at(
                &others,
                &format!("req-{}", 200 + n),
                job(JobKind::Array, 1, 1.0),
                300 * SECOND,
            );
        }
        sim.run_seconds(refused_s);
        sim.store.refused_controllers.clear();
        sim.store_delay = 60_000;
        let compacted_reads_before = sim.store.compacted_reads;
        for step in 0..60 {
            sim.after(step * 50_000, move |sim: &mut Simulation| {
                for n in 0..16 {
                    sim.poll(refused, &format!("req-{}", 100 + n));
                }
            });
        }
        sim.run_micros(2_500_000);
        // The polls must not restart the listing, which would then never finish.
        assert_eq!(
            sim.cached_jobs(refused),
            28,
            "seed {seed}: controller {refused} has not cached all jobs while clients poll\n{}",
            sim.dump()
        );
        sim.run_seconds(6);
        relisting_runs += usize::from(sim.store.compacted_reads > compacted_reads_before);
        sim.store_delay = 0;
        sim.store.history_limit = None;
        sim.run_seconds(5);
        for n in 0..3 {
            assert_eq!(
                sim.cached_jobs(n),
                28,
                "seed {seed}: controller {n} has not cached all jobs\n{}",
                sim.dump()
            );
        }
    }
    assert!(
        relisting_runs >= 6,
        "only {relisting_runs} of 12 runs listed the records again, expected at least 6"
    );
}

/// The leader is partitioned from the store and its peers, while agents and clients still reach it. Through the new leader a
/// job is cancelled, and others run within their team's quota. The old leader must not answer its clients with states older
/// than those that other controllers have reported, and none of its tasks may run in addition to those that the new leader
/// starts.
#[test]
fn old_leader_still_reached_by_agents_and_clients_breaks_no_invariant() {
    for seed in 0..24 {
        let mut sim = simulation_with_leader(2500 + seed, 5);
        let red_team_array = |tasks| JobSpec {
            team: "red".into(),
            ..job(JobKind::Array, tasks, 2.0)
        };
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Array, 4, 1.0), 300 * SECOND);
        sim.spawn_client("req-3", red_team_array(6), 40 * SECOND);
        sim.spawn_client("req-4", red_team_array(4), 30 * SECOND);
        submit_with_staggered_ends(
            &mut sim,
            "req-5",
            JobKind::Array,
            3,
            12 * SECOND,
            8 * SECOND,
        );
        sim.run_seconds(10);
        let leader = sim.leader().expect("no leader");
        let others = [(leader + 1) % 3, (leader + 2) % 3];
        let mode = [PartitionMode::Drop, PartitionMode::Delay][seed as usize % 2];
        let duration = sim.rng.random_range(12..55) * SECOND;
        sim.partition(
            Endpoint::Controller(leader),
            Endpoint::Store,
            mode,
            duration,
        );
        for other in others {
            sim.partition(
                Endpoint::Controller(leader),
                Endpoint::Controller(other),
                mode,
                duration,
            );
        }
        let cancelled_at = sim.rng.random_range(4 * SECOND..9 * SECOND);
        sim.after(cancelled_at, move |sim| sim.cancel(others[0], "req-2"));
        sim.after(cancelled_at + 4 * SECOND, move |sim| {
            sim.cancel(others[1], "req-2")
        });
        for second in 0..80 {
            sim.after(second * SECOND, move |sim| {
                for n in 1..6 {
                    sim.poll(leader, &format!("req-{n}"));
                }
                // The old leader gets repeated submissions and cancellations as well.
                sim.submit(leader, "req-2");
                if second > 30 {
                    sim.cancel(leader, "req-2");
                }
            });
        }
        sim.spawn_client_at(&others, "req-6", red_team_array(3), 10 * SECOND);
        sim.run_seconds(150);
        sim.assert_cancelled(seed, &["req-2"]);
        for id in ["req-3", "req-4", "req-5", "req-6"] {
            assert!(sim.job_done(id), "seed {seed}: {id}\n{}", sim.dump());
        }
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: {}",
            sim.dump()
        );
    }
}

/// Two or three tasks of a job end far apart, while the leader changes once or several times and some answers of the store
/// are lost. Fails if a job is reported done too early or never.
#[test]
fn tasks_ending_far_apart_survive_leader_changes() {
    for seed in 0..32 {
        let mut sim = simulation_with_leader(2540 + seed, 5);
        for n in 0..6 {
            let (tasks, run_time_step) = (2 + n % 2, sim.rng.random_range(4..14) * SECOND);
            let run_time = sim.rng.random_range(2..6) * SECOND;
            submit_with_staggered_ends(
                &mut sim,
                &format!("req-{n}"),
                JobKind::Array,
                tasks,
                run_time,
                run_time_step,
            );
        }
        let gang = JobSpec {
            one_zone: false,
            ..job(JobKind::Gang, 3, 2.0)
        };
        sim.spawn_client("req-8", gang, 14 * SECOND);
        sim.run_seconds(4);
        for step in 0..sim.rng.random_range(1..5u64) {
            let at = step * 7 * SECOND + sim.rng.random_range(0..7 * SECOND);
            let down_time = [20_000, 400_000, 5 * SECOND][sim.rng.random_range(0..3)];
            sim.after(at, move |sim| {
                let leader = sim.leader().unwrap_or(0);
                sim.crash_controller(leader, down_time);
            });
            if sim.rng.random_bool(0.5) {
                let loss_duration = sim.rng.random_range(200_000..2 * SECOND);
                sim.after(at.saturating_sub(loss_duration / 2), move |sim| {
                    let until = sim.now + loss_duration;
                    sim.lost_answers_from.push((Endpoint::Store, until));
                });
            }
        }
        sim.run_seconds(130);
        for id in sim.jobs.keys().cloned().collect::<Vec<_>>() {
            assert!(sim.job_done(&id), "seed {seed}: {id}\n{}", sim.dump());
        }
    }
}

/// The store slows down to seconds per answer, then refuses only the leader, then all controllers for longer than the
/// cancellation deadline. Meanwhile clients cancel and poll jobs at every controller.
#[test]
fn store_that_slows_then_refuses_one_then_all_breaks_no_invariant() {
    for seed in 0..24 {
        let mut sim = simulation_with_leader(2580 + seed, 5);
        sim.enable_load_balancer();
        sim.run_seconds(3);
        sim.spawn_balanced_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        for n in 2..8 {
            sim.spawn_balanced_client(
                &format!("req-{n}"),
                job(JobKind::Array, 2, 1.0),
                300 * SECOND,
            );
        }
        sim.spawn_balanced_client("req-9", job(JobKind::Array, 2, 1.0), 20 * SECOND);
        sim.run_seconds(10);
        sim.store_delay = sim.rng.random_range(300_000..2_500_000);
        for n in 2..8u64 {
            let at = sim.rng.random_range(0..40 * SECOND);
            sim.after(at, move |sim| {
                sim.cancel_until_answered(&format!("req-{n}"))
            });
        }
        let pause = sim.rng.random_range(2 * SECOND..9 * SECOND);
        sim.run_micros(pause);
        let leader = sim.leader().unwrap_or(0);
        sim.store.refused_controllers.push(leader);
        let pause = sim.rng.random_range(SECOND / 5..6 * SECOND);
        sim.run_micros(pause);
        sim.store.outage = true;
        if sim.rng.random_bool(0.5) {
            sim.store_delay = 0;
        }
        sim.run_seconds(42);
        sim.store_delay = 0;
        sim.store.refused_controllers.clear();
        let now = sim.now;
        sim.store.end_outage(now);
        sim.declare_faults_over();
        sim.run_seconds(100);
        for n in 2..8 {
            let id = format!("req-{n}");
            assert_eq!(
                (sim.last_status(&id).as_str(), sim.running_instances(&id)),
                ("cancelled", 0),
                "seed {seed}"
            );
        }
        assert!(sim.job_done("req-9"), "seed {seed}: {}", sim.dump());
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: {}",
            sim.dump()
        );
    }
}

/// The leader crashes while machines with long tasks are unreachable or do not get the new leader's responses. Their tasks
/// have to count as running until there is proof that they have ended; jobs cancelled meanwhile have to end in time.
#[test]
fn leader_crash_with_unreachable_machines_loses_no_long_task() {
    for seed in 0..32 {
        let mut sim = simulation_with_leader(2620 + seed, 6);
        sim.spawn_client("req-1", job(JobKind::Service, 6, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Array, 6, 1.0), 70 * SECOND);
        sim.spawn_client("req-3", job(JobKind::Array, 6, 1.0), 300 * SECOND);
        sim.spawn_client("req-4", job(JobKind::Gang, 2, 2.0), 60 * SECOND);
        sim.run_seconds(10);
        let leader = sim.leader().expect("no leader");
        let followers = [(leader + 1) % 3, (leader + 2) % 3];
        let duration = sim.rng.random_range(6..50) * SECOND;
        let until = sim.now + duration;
        for machine in sim.machine_names().into_iter().take(3) {
            match seed % 4 {
                0 => sim.agents.get_mut(&machine).unwrap().hung_until = until,
                1 => sim.faults.drop_all_deliveries(&machine, until),
                2 => followers.iter().for_each(|follower| {
                    sim.partition(
                        Endpoint::Controller(*follower),
                        Endpoint::Agent(machine.clone()),
                        PartitionMode::Delay,
                        duration,
                    );
                }),
                _ => followers.iter().for_each(|follower| {
                    let dropped = [
                        DroppedDelivery::HeartbeatResponses,
                        DroppedDelivery::Commands,
                    ];
                    sim.faults
                        .drop_deliveries(&machine, Some(*follower), &dropped, until);
                }),
            }
        }
        let at = sim.rng.random_range(0..4 * SECOND);
        let down_time = [30_000, 9 * SECOND, 40 * SECOND][seed as usize / 4 % 3];
        sim.after(at, move |sim| sim.crash_controller(leader, down_time));
        let at = sim.rng.random_range(0..12 * SECOND);
        sim.after(at, |sim| sim.cancel_until_answered("req-3"));
        sim.run_seconds(220);
        sim.assert_cancelled(seed, &["req-3"]);
        assert!(
            sim.job_done("req-2") && sim.job_done("req-4"),
            "seed {seed}: {}",
            sim.dump()
        );
        assert_eq!(
            sim.running_instances("req-1"),
            6,
            "seed {seed}: {}",
            sim.dump()
        );
    }
}

/// Leadership alternates between controllers; then all crash and return at different times, some within a second. Requests
/// that they sent earlier are executed late or twice.
#[test]
fn alternating_leaders_then_a_full_crash_break_no_invariant() {
    for seed in 0..32 {
        let mut sim = simulation_with_leader(2660 + seed, 5);
        sim.spawn_client("req-1", job(JobKind::Service, 5, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Array, 6, 1.0), 25 * SECOND);
        sim.spawn_client("req-3", job(JobKind::Array, 4, 1.0), 300 * SECOND);
        sim.run_seconds(10);
        if seed % 2 == 0 {
            sim.faults.delayed_write_probability = 0.15;
        } else {
            sim.faults.request_duplication = Some(Duplication {
                probability: 0.2,
                max_delay: 25 * SECOND,
            });
        }
        for step in 0..3 {
            let at = step * 6 * SECOND + sim.rng.random_range(0..3 * SECOND);
            let down_time = sim.rng.random_range(20_000..900_000);
            // The leader crashes and its successor is paused, so that leadership can return to the first one.
            sim.after(at, move |sim| {
                let leader = sim.leader().unwrap_or(1);
                sim.crash_controller(leader, down_time);
            });
            sim.after(at + 2 * SECOND, |sim| {
                let leader = sim.leader().unwrap_or(0);
                sim.pause_controller(leader, 3 * SECOND);
            });
        }
        let down_times: Vec<u64> = (0..3)
            .map(|_| sim.rng.random_range(20_000..9 * SECOND))
            .collect();
        sim.after(19 * SECOND, move |sim| {
            down_times
                .iter()
                .enumerate()
                .for_each(|(i, down_time)| sim.crash_controller(i, *down_time));
        });
        let at = sim.rng.random_range(2..24) * SECOND;
        sim.after(at, |sim| sim.cancel_until_answered("req-3"));
        sim.run_seconds(45);
        sim.faults.clear();
        sim.run_seconds(110);
        sim.assert_cancelled(seed, &["req-3"]);
        assert!(sim.job_done("req-2"), "seed {seed}: {}", sim.dump());
        assert_eq!(
            sim.running_instances("req-1"),
            5,
            "seed {seed}: {}",
            sim.dump()
        );
    }
}

/// Commands or their answers are delayed for seconds and then executed: a start after the stop of the same attempt, a stop of
/// an older attempt, a start of an attempt that the machine was told to forget.
#[test]
fn delayed_commands_and_answers_break_no_invariant() {
    for seed in 0..32 {
        let mut sim = simulation_with_leader(2700 + seed, 3);
        sim.no_capacity = true;
        let low_priority_array = JobSpec {
            checkpoint_s: 5.0,
            save_s: 2.0,
            priority: Priority::Low,
            ..job(JobKind::Array, 9, 2.0)
        };
        sim.spawn_client("req-2", low_priority_array.clone(), 25 * SECOND);
        sim.spawn_client("req-3", low_priority_array, 25 * SECOND);
        for step in 0..10u64 {
            let delay = sim.rng.random_range(SECOND..9 * SECOND);
            let duration = sim.rng.random_range(SECOND..5 * SECOND);
            sim.after(step * 5 * SECOND, move |sim| {
                sim.command_delay = Some(delay)
            });
            sim.after(step * 5 * SECOND + duration, |sim| sim.command_delay = None);
            if step % 3 == 1 {
                sim.after(step * 5 * SECOND + duration / 2, |sim| {
                    for i in 0..3 {
                        for machine in sim.machine_names().into_iter().take(2) {
                            sim.partition(
                                Endpoint::Controller(i),
                                Endpoint::Agent(machine),
                                PartitionMode::Delay,
                                3 * SECOND,
                            );
                        }
                    }
                });
            }
        }
        for n in 0..4 {
            // The gang preempts some tasks of req-2 and req-3, which start again later.
            let high_priority_gang = JobSpec {
                priority: Priority::High,
                ..job(JobKind::Gang, 1, 8.0)
            };
            let id = format!("req-{}", 10 + n);
            sim.after(n * 11 * SECOND + 6 * SECOND, move |sim| {
                sim.spawn_client(&id, high_priority_gang, 6 * SECOND)
            });
        }
        let at = sim.rng.random_range(8..40) * SECOND;
        sim.after(at, |sim| sim.cancel_until_answered("req-3"));
        sim.run_seconds(260);
        assert_eq!(sim.running_instances("req-3"), 0, "seed {seed}");
        for id in ["req-2", "req-10", "req-11", "req-12", "req-13"] {
            assert!(sim.job_done(id), "seed {seed}: {id}\n{}", sim.dump());
        }
    }
}

/// Transactions get no answer and are executed 2 to 12 s later, after newer transactions of the same controller and of
/// others, also after leader changes.
#[test]
fn reordered_transactions_break_no_invariant() {
    for seed in 0..48 {
        let mut sim = simulation_with_leader(2740 + seed, 5);
        sim.faults.delayed_write_probability = [0.05, 0.2, 0.5][seed as usize % 3];
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Gang, 2, 5.0), 12 * SECOND);
        sim.spawn_client("req-3", job(JobKind::Array, 60, 1.0), 8 * SECOND);
        sim.spawn_client("req-4", job(JobKind::Array, 4, 1.0), 300 * SECOND);
        for n in 10..18 {
            submit_with_staggered_ends(
                &mut sim,
                &format!("req-{n}"),
                JobKind::Array,
                3,
                3 * SECOND,
                5 * SECOND,
            );
        }
        sim.run_seconds(20);
        sim.cancel_until_answered("req-4");
        for step in 0..sim.rng.random_range(0..4u64) {
            let (at, down_time) = (step * 8 * SECOND, sim.rng.random_range(20_000..4 * SECOND));
            sim.after(at, move |sim| {
                let leader = sim.leader().unwrap_or(0);
                sim.crash_controller(leader, down_time);
            });
        }
        if seed % 4 == 0 {
            // A follower renews leases for the leader and records this by delayed writes.
            let leader = sim.leader().unwrap_or(0);
            let follower = (leader + 1) % 3;
            sim.partition(
                Endpoint::Controller(leader),
                Endpoint::Controller(follower),
                PartitionMode::Drop,
                25 * SECOND,
            );
            for machine in sim.machine_names().into_iter().take(3) {
                sim.partition(
                    Endpoint::Controller(leader),
                    Endpoint::Agent(machine),
                    PartitionMode::Drop,
                    25 * SECOND,
                );
            }
        }
        sim.run_seconds(60);
        sim.faults.clear();
        sim.run_seconds(150);
        sim.assert_cancelled(seed, &["req-4"]);
        for (id, truth) in sim
            .jobs
            .iter()
            .filter(|(id, _)| !["req-1", "req-4"].contains(&id.as_str()))
        {
            assert!(
                truth.completion_seen_at.is_some(),
                "seed {seed}: {id}\n{}",
                sim.dump()
            );
        }
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: {}",
            sim.dump()
        );
    }
}

/// A follower renews the leases of machines that the leader cannot reach, and restarts within a second or stays down. Fails
/// with `ran_twice` if the first record of its new incarnation names only the machines that reported to that incarnation.
#[test]
fn restart_of_a_renewing_follower_breaks_no_invariant() {
    for seed in 0..24 {
        let mut sim = simulation_with_leader(2840 + seed, 5);
        sim.spawn_client("req-1", job(JobKind::Service, 5, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Array, 5, 1.0), 60 * SECOND);
        sim.run_seconds(10);
        let leader = sim.leader().expect("no leader");
        let follower = (leader + 1) % 3;
        sim.partition(
            Endpoint::Controller(leader),
            Endpoint::Controller(follower),
            PartitionMode::Drop,
            50 * SECOND,
        );
        for machine in sim.machine_names().into_iter().take(3) {
            sim.partition(
                Endpoint::Controller(leader),
                Endpoint::Agent(machine.clone()),
                PartitionMode::Drop,
                50 * SECOND,
            );
            sim.partition(
                Endpoint::Controller((leader + 2) % 3),
                Endpoint::Agent(machine),
                PartitionMode::Drop,
                50 * SECOND,
            );
        }
        sim.run_seconds(12);
        let at = sim.rng.random_range(0..4 * SECOND);
        let down_time = [20_000, 300_000, 900_000, 100 * SECOND][seed as usize % 4];
        sim.after(at, move |sim| sim.crash_controller(follower, down_time));
        if seed % 3 == 0 {
            sim.after(at + 3 * SECOND, move |sim| {
                sim.crash_controller(follower, down_time)
            });
        }
        sim.run_seconds(150);
        assert!(sim.job_done("req-2"), "seed {seed}: {}", sim.dump());
        assert_eq!(
            sim.running_instances("req-1"),
            5,
            "seed {seed}: {}",
            sim.dump()
        );
    }
}

/// Transactions are reordered while a small write budget makes the leader batch placements of many jobs into one record.
/// Batches are deleted once merged, and their numbers are reused.
#[test]
fn reordered_placement_batches_break_no_invariant() {
    let mut batch_records = 0;
    for seed in 0..32 {
        let mut sim = Simulation::with_write_rate(2880 + seed, 3, 6, 9.0);
        sim.run_seconds(8);
        sim.faults.delayed_write_probability = [0.1, 0.3][seed as usize % 2];
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        for n in 0..24 {
            let at = (n / 8) * 12 * SECOND;
            let id = format!("req-{}", 100 + n);
            sim.after(at, move |sim| {
                submit_with_staggered_ends(sim, &id, JobKind::Array, 3, 3 * SECOND, 2 * SECOND)
            });
        }
        for step in 0..3u64 {
            let at = step * 14 * SECOND + sim.rng.random_range(0..9 * SECOND);
            match seed % 3 {
                0 => sim.after(at, |sim| {
                    let leader = sim.leader().unwrap_or(0);
                    sim.crash_controller(leader, 400_000);
                }),
                // Two machines, which run half of the tasks, fail: all of these tasks are placed again at once.
                1 => sim.after(at, |sim| {
                    for machine in sim.machine_names().into_iter().take(2) {
                        sim.failed_machines.insert(machine.clone());
                        sim.agents.get_mut(&machine).unwrap().alive = false;
                    }
                }),
                _ => {}
            }
        }
        for _ in 0..50 {
            sim.run_seconds(1);
            batch_records += sim.store.count_keys_under("wt/b/");
        }
        sim.faults.clear();
        sim.run_seconds(200);
        for (id, truth) in sim.jobs.iter().filter(|(id, _)| *id != "req-1") {
            assert!(
                truth.completion_seen_at.is_some(),
                "seed {seed}: {id}\n{}",
                sim.dump()
            );
        }
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: {}",
            sim.dump()
        );
    }
    assert!(
        batch_records > 100,
        "{batch_records} batch records seen, expected more than 100"
    );
}

/// Old heartbeats, also of earlier epochs and attempts, arrive after newer ones: at the leader, at a renewing follower that
/// never got the original, at a controller that has just started.
#[test]
fn reordered_heartbeats_break_no_invariant() {
    for seed in 0..32 {
        let mut sim = simulation_with_leader(2800 + seed, 5);
        sim.faults.heartbeat_duplication = Some(Duplication {
            probability: 0.5,
            max_delay: 45 * SECOND,
        });
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.spawn_client("req-3", job(JobKind::Array, 4, 1.0), 300 * SECOND);
        for n in 10..16 {
            submit_with_staggered_ends(
                &mut sim,
                &format!("req-{n}"),
                JobKind::Array,
                3,
                3 * SECOND,
                7 * SECOND,
            );
        }
        sim.run_seconds(10);
        let leader = sim.leader().expect("no leader");
        let follower = (leader + 1) % 3;
        match seed % 3 {
            0 => sim.crash_controller(leader, 50_000),
            1 => {
                for machine in sim.machine_names().into_iter().take(3) {
                    let until = sim.now + sim.rng.random_range(8..30) * SECOND;
                    sim.faults.drop_all_deliveries(&machine, until);
                }
            }
            _ => {
                sim.partition(
                    Endpoint::Controller(leader),
                    Endpoint::Controller(follower),
                    PartitionMode::Drop,
                    40 * SECOND,
                );
                for machine in sim.machine_names().into_iter().take(3) {
                    sim.partition(
                        Endpoint::Controller(leader),
                        Endpoint::Agent(machine),
                        PartitionMode::Delay,
                        40 * SECOND,
                    );
                }
            }
        }
        sim.run_seconds(6);
        sim.cancel_until_answered("req-3");
        sim.after(12 * SECOND, move |sim| {
            sim.crash_controller(follower, 60_000)
        });
        sim.run_seconds(60);
        sim.faults.clear();
        sim.run_seconds(110);
        sim.assert_cancelled(seed, &["req-3"]);
        for (id, truth) in sim
            .jobs
            .iter()
            .filter(|(id, _)| !["req-1", "req-3"].contains(&id.as_str()))
        {
            assert!(
                truth.completion_seen_at.is_some(),
                "seed {seed}: {id}\n{}",
                sim.dump()
            );
        }
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: {}",
            sim.dump()
        );
    }
}
