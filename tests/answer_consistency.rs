//! Clients poll all controllers within milliseconds, repeat submissions and cancel jobs at the moment of their completion.
//! No controller answers with a job state older than one that any controller has already reported
//! (docs/fault-combinations.md).

mod simulation;

use rand::RngExt;
use simulation::fault_injection::StoreDelay;
use simulation::{Endpoint, PartitionMode, SECOND, Simulation, job, simulation_with_leader};
use walnuttrestle::protocol::{JobKind, JobSpec};

/// Picks a controller by seed: the leader and the two followers in turn.
fn controller_for_seed(sim: &Simulation, seed: u64) -> usize {
    (sim.leader().expect("a leader") + seed as usize % 3) % 3
}

/// The store commits an acceptance at once but answers it after more than a second. Meanwhile the job is accepted and
/// cancelled through another controller, and the client repeats its submission at the first one, whose cache lags. Fails
/// (went_back: pending after cancelled) if a request that joins the pending acceptance is answered with the state written
/// by it.
#[test]
fn delayed_acceptance_answer_does_not_report_an_older_state() {
    for seed in 0..24 {
        let mut sim = simulation_with_leader(4000 + seed, 4);
        let lagging = controller_for_seed(&sim, seed);
        let other = (lagging + 1) % 3;
        sim.watch_delays.insert(lagging, 6 * SECOND);
        sim.faults.store_write_delay = Some(StoreDelay {
            controller: lagging,
            delay: 1_200_000,
        });
        sim.faults.store_read_delay = Some(StoreDelay {
            controller: lagging,
            delay: 1_400_000,
        });
        sim.declare_job("req-1", job(JobKind::Array, 2, 1.0), 60 * SECOND);
        sim.submit(lagging, "req-1");
        sim.run_micros(60_000);
        sim.submit(other, "req-1");
        sim.run_micros(100_000);
        assert!(
            sim.jobs["req-1"].accepted,
            "seed {seed}: req-1 is not accepted by the other controller"
        );
        sim.cancel(other, "req-1");
        sim.run_micros(100_000);
        assert_eq!(
            sim.last_status("req-1"),
            "cancelled",
            "seed {seed}: last status of req-1"
        );
        for _ in 0..5 {
            sim.submit(lagging, "req-1");
            sim.run_micros(50_000);
        }
        sim.run_seconds(4);
        assert_eq!(
            sim.last_status("req-1"),
            "cancelled",
            "seed {seed}: last status of req-1"
        );
    }
}

/// A job is accepted while its machine type is offered. A controller with a lagging cache has the newer list of types,
/// without that type, but not the job. Fails (forgotten: 422) if it rejects the submission without first reading the
/// records.
#[test]
fn job_accepted_elsewhere_is_not_refused_when_its_machine_type_is_gone() {
    for seed in 0..6 {
        let mut sim = simulation_with_leader(4040 + seed, 4);
        let lagging = controller_for_seed(&sim, seed);
        let other = (lagging + 1) % 3;
        // The controller has the types from its initial listing; its watch has not delivered the job yet.
        let spec = JobSpec {
            types: Some(vec!["box".into()]),
            ..job(JobKind::Array, 2, 1.0)
        };
        sim.watch_delays.insert(lagging, 5 * SECOND);
        sim.declare_job("req-1", spec, 30 * SECOND);
        sim.submit(other, "req-1");
        sim.run_micros(100_000);
        assert!(
            sim.jobs["req-1"].accepted,
            "seed {seed}: req-1 is not accepted"
        );
        sim.clear_machine_types(lagging);
        for _ in 0..3 {
            sim.submit(lagging, "req-1");
            sim.run_micros(200_000);
        }
        sim.run_seconds(2);
        assert!(
            sim.client_answers
                .iter()
                .any(|answer| answer.at + 3 * SECOND > sim.now),
            "seed {seed}: no request was answered in the last 3 s"
        );
    }
}

/// Clients poll every controller after each acceptance, completion and cancellation, while the store is slow, loses
/// answers, refuses one controller, and the leader changes.
#[test]
fn rapid_polls_never_return_an_older_state() {
    for seed in 0..32 {
        let mut sim = simulation_with_leader(4060 + seed, 5);
        sim.faults.client_probes = true;
        sim.faults.lost_write_answer_probability = [0.0, 0.2][seed as usize % 2];
        sim.faults.delayed_write_probability = [0.0, 0.1][seed as usize / 2 % 2];
        sim.store_delay = [0, 300_000][seed as usize / 4 % 2];
        let controller = controller_for_seed(&sim, 1);
        match seed % 5 {
            0 => _ = sim.watch_delays.insert(controller, 3 * SECOND),
            1 => sim.store.refused_controllers.push(controller),
            2 => sim.after(9 * SECOND, |sim| {
                let leader = sim.leader().unwrap_or(0);
                sim.crash_controller(leader, 50_000);
            }),
            3 => {
                let (leader, dt) = (controller_for_seed(&sim, 0), 12 * SECOND);
                sim.partition(
                    Endpoint::Controller(leader),
                    Endpoint::Store,
                    PartitionMode::Delay,
                    dt,
                );
            }
            _ => sim.pause_controller(controller, 8 * SECOND),
        }
        for n in 0..16u64 {
            let run_time = sim.rng.random_range(SECOND..6 * SECOND);
            let at = n * SECOND;
            sim.after(at, move |sim| {
                let id = format!("req-{}", 100 + n);
                sim.spawn_client(&id, job(JobKind::Array, 1 + n as u32 % 3, 1.0), run_time);
                if n % 4 == 0 {
                    let at = sim.rng.random_range(0..4 * SECOND);
                    sim.after(at, move |sim| sim.cancel_until_answered(&id));
                }
            });
        }
        sim.run_seconds(30);
        sim.store.refused_controllers.clear();
        sim.faults.clear();
        sim.store_delay = 0;
        sim.run_seconds(60);
        for (id, truth) in &sim.jobs {
            let outcome_seen =
                truth.completion_seen_at.is_some() || truth.cancellation_seen_at.is_some();
            assert!(
                outcome_seen,
                "seed {seed}: the client of {id} has seen neither its completion nor its cancellation\n{}",
                sim.dump()
            );
        }
        let pending = sim
            .client_answers
            .iter()
            .filter(|answer| answer.state == "pending")
            .count();
        assert!(
            pending > 10 && sim.client_answers.len() > 300,
            "seed {seed}: {pending} pending answers of {}, expected more than 10 of more than 300",
            sim.client_answers.len()
        );
    }
}

/// A cancellation, polls and repeated submissions race with the completion of a job's last task, without other faults. The
/// job ends up either done or cancelled, and every controller reports that state from then on.
#[test]
fn cancellation_racing_with_completion_has_one_outcome() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in 0..24 {
        let mut sim = simulation_with_leader(4100 + seed, 5);
        sim.faults.client_probes = true;
        sim.faults.cancel_at_completion_probability = 1.0;
        for n in 0..12u64 {
            let run_time = sim.rng.random_range(SECOND..5 * SECOND);
            let kind = [JobKind::Array, JobKind::Gang][n as usize % 2];
            sim.spawn_client(
                &format!("req-{}", 100 + n),
                job(kind, 1 + n as u32 % 3, 1.0),
                run_time,
            );
        }
        sim.run_seconds(40);
        for truth in sim.jobs.values() {
            done += usize::from(truth.completion_seen_at.is_some());
            cancelled += usize::from(truth.cancellation_seen_at.is_some());
            assert!(
                truth.completion_seen_at.is_some() != truth.cancellation_seen_at.is_some(),
                "seed {seed}: completion seen at {:?}, cancellation seen at {:?}; expected exactly one",
                truth.completion_seen_at,
                truth.cancellation_seen_at
            );
        }
    }
    assert!(
        done > 10 && cancelled > 10,
        "{done} jobs done and {cancelled} cancelled, expected more than 10 of each"
    );
}

/// For every kind of transaction (acceptance, cancellation, placement, completion, leadership), some are committed at once
/// but their answer is lost, while other controllers read the written records.
#[test]
fn lost_transaction_answers_break_no_invariant() {
    for seed in 0..32 {
        let mut sim =
            Simulation::with_write_rate(4140 + seed, 3, 6, [60.0, 9.0][seed as usize % 2]);
        sim.run_seconds(8);
        sim.faults.lost_write_answer_probability = [0.1, 0.3, 0.5][seed as usize % 3];
        sim.faults.client_probes = seed % 2 == 0;
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Array, 4, 1.0), 300 * SECOND);
        for n in 0..12u64 {
            let id = format!("req-{}", 100 + n);
            sim.after(n * 2 * SECOND, move |sim| {
                sim.spawn_client(&id, job(JobKind::Array, 2, 1.0), 3 * SECOND);
            });
        }
        for step in 0..4u64 {
            let at = 6 * SECOND * step + sim.rng.random_range(0..6 * SECOND);
            sim.after(at, move |sim| {
                let leader = sim.leader().unwrap_or(0);
                match step % 3 {
                    0 => sim.crash_controller(leader, 60_000),
                    1 => {
                        // Followers renew the leases and record the renewals.
                        for machine in sim.machine_names().into_iter().take(3) {
                            sim.partition(
                                Endpoint::Controller(leader),
                                Endpoint::Agent(machine),
                                PartitionMode::Drop,
                                12 * SECOND,
                            );
                        }
                    }
                    _ => (0..3).for_each(|i| sim.crash_controller(i, 100_000)),
                }
            });
        }
        sim.after(14 * SECOND, |sim| sim.cancel_until_answered("req-2"));
        sim.run_seconds(40);
        sim.faults.clear();
        sim.run_seconds(100);
        sim.assert_cancelled(seed, &["req-2"]);
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: running instances of req-1\n{}",
            sim.dump()
        );
        for n in 0..12 {
            let id = format!("req-{}", 100 + n);
            assert!(
                sim.job_done(&id),
                "seed {seed}: {id} is not done\n{}",
                sim.dump()
            );
        }
    }
}

/// Guards against requests being forgotten that wait for the read by which a controller learns that it leads: its claim was
/// carried out, but the answer was lost.
#[test]
fn requests_are_answered_across_a_claim_without_an_answer() {
    for seed in 0..8 {
        let mut sim = simulation_with_leader(4180 + seed, 2);
        sim.spawn_client("req-1", job(JobKind::Service, 2, 1.0), 0);
        sim.run_seconds(6);
        let leader = sim.leader().expect("a leader");
        sim.crash_controller(leader, 20 * SECOND);
        sim.faults.lost_write_answer_probability = 1.0;
        for _ in 0..300 {
            for controller in (0..3).filter(|i| *i != leader) {
                sim.poll(controller, "req-1");
            }
            sim.run_micros(SECOND / 40);
        }
        sim.faults.clear();
        sim.run_seconds(4);
        assert!(sim.leader().is_some_and(|new_leader| new_leader != leader));
        for controller in (0..3).filter(|i| *i != leader) {
            assert_eq!(
                sim.unanswered_client_requests(controller),
                0,
                "seed {seed}: requests to controller {controller} without an answer"
            );
        }
    }
}

/// Clients send invalid requests, repeat accepted submissions, cancel completed jobs and poll unknown ones, while the leader
/// changes and all controllers restart. Every controller must refuse an invalid request in the same way.
#[test]
fn invalid_requests_are_refused_alike_by_every_controller() {
    for seed in 0..12 {
        let mut sim = simulation_with_leader(4180 + seed, 4);
        for n in 0..6 {
            sim.spawn_client(&format!("req-{n}"), job(JobKind::Array, 2, 1.0), 8 * SECOND);
        }
        sim.send_invalid_requests(30 * SECOND);
        sim.after(4 * SECOND, |sim| {
            let leader = sim.leader().unwrap_or(0);
            sim.crash_controller(leader, 50_000);
        });
        sim.after(15 * SECOND, |sim| {
            (0..3).for_each(|i| sim.crash_controller(i, 80_000))
        });
        sim.run_seconds(60);
        for n in 0..6 {
            assert!(
                sim.job_done(&format!("req-{n}")),
                "seed {seed}: req-{n} is not done"
            );
        }
    }
}

/// Thousands of requests per minute reach every controller: polls, repeated submissions of running jobs, and submissions
/// that can never run. One read of the records must serve many requests, so that the rest of the request rate to the store
/// is left for the leader and for acceptances. Fails if each kind of request reads separately.
#[test]
fn thousands_of_polls_a_minute_share_their_store_reads() {
    let mut sim = simulation_with_leader(4220, 5);
    for n in 0..8 {
        sim.spawn_client(
            &format!("req-{n}"),
            job(JobKind::Array, 1, 1.0),
            300 * SECOND,
        );
    }
    sim.declare_job("req-99", job(JobKind::Array, 1, 9.0), SECOND);
    sim.run_seconds(10);
    sim.call_counts = Default::default();
    let answers_before = sim.client_answers.len();
    for step in 0..20 * 50u64 {
        sim.after(step * SECOND / 50, move |sim| {
            for node in 0..3 {
                let id = format!("req-{}", step % 8);
                sim.poll(node, &id);
                sim.submit(node, &id);
                sim.submit(node, "req-99");
            }
        });
    }
    for n in 0..10u64 {
        let id = format!("req-{}", 100 + n);
        sim.after(n * 2 * SECOND, move |sim| {
            sim.spawn_client(&id, job(JobKind::Array, 1, 1.0), SECOND)
        });
    }
    sim.run_seconds(20);
    let (client_requests, store_requests) = (9 * 1000, sim.call_counts.store_requests);
    println!(
        "{store_requests} store requests for {client_requests} client requests, {} answers",
        sim.client_answers.len() - answers_before
    );
    assert!(
        store_requests < 20 * 90,
        "{store_requests} store requests in 20 s, expected fewer than {}",
        20 * 90
    );
    assert!(
        sim.client_answers.len() - answers_before > client_requests * 9 / 10,
        "{} answers to {client_requests} client requests, expected more than 9 of 10",
        sim.client_answers.len() - answers_before
    );
    sim.run_seconds(8);
    for n in 0..10 {
        assert!(
            sim.job_done(&format!("req-{}", 100 + n)),
            "req-{} is not done\n{}",
            100 + n,
            sim.dump()
        );
    }
}
