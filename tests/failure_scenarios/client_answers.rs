//! Answers to clients: cancellations, unknown and finished jobs, requests to a controller without the store.

use crate::simulation::{SECOND, job, simulation_with_leader};
use rand::RngExt;
use walnuttrestle::protocol::JobKind;

#[test]
fn cancellation_is_visible_on_all_controllers() {
    let mut sim = simulation_with_leader(8, 2);
    sim.spawn_client("req-1", job(JobKind::Array, 2, 1.0), 100 * SECOND);
    sim.run_seconds(6);
    sim.cancel(0, "req-1");
    sim.run_seconds(1);
    for i in 0..sim.controller_count() {
        sim.poll(i, "req-1");
    }
    sim.run_seconds(2);
    let cancelled_answers = sim
        .client_answers
        .iter()
        .filter(|answer| answer.state == "cancelled")
        .count();
    assert!(cancelled_answers >= 4, "{:?}", sim.client_answers);
    sim.run_seconds(30);
    assert!(sim.machines_running("req-1/0").is_empty(), "{}", sim.dump());
}

#[test]
fn cancel_racing_with_completion_has_one_outcome() {
    for seed in 20..28 {
        let mut sim = simulation_with_leader(seed, 2);
        sim.spawn_client("req-1", job(JobKind::Array, 1, 1.0), 4 * SECOND);
        let cancel_delay = sim.rng.random_range(5_500_000..8_500_000);
        sim.after(cancel_delay, |sim| sim.cancel_until_answered("req-1"));
        sim.run_seconds(40);
        for i in 0..sim.controller_count() {
            sim.poll(i, "req-1");
        }
        sim.run_seconds(2);
        let status = sim.last_status("req-1");
        assert!(
            ["done", "cancelled"].contains(&status.as_str()),
            "seed {seed}: {status}"
        );
    }
}

#[test]
fn unknown_jobs_are_not_found_and_finished_jobs_stay_known() {
    let mut sim = simulation_with_leader(16, 1);
    sim.poll(0, "req-99");
    sim.poll(1, "nonsense");
    sim.run_seconds(1);
    assert!(
        sim.client_answers.iter().all(|answer| answer.status == 404),
        "{:?}",
        sim.client_answers
    );
    sim.spawn_client("req-1", job(JobKind::Array, 1, 1.0), 2 * SECOND);
    sim.run_seconds(20);
    sim.submit(2, "req-1");
    sim.run_seconds(1);
    let last = sim.client_answers.last().unwrap();
    assert_eq!((last.status, last.state.as_str()), (200, "done"));
}

#[test]
fn clients_of_a_controller_refused_by_the_store_are_served_by_another() {
    let mut sim = simulation_with_leader(36, 2);
    sim.spawn_client("req-1", job(JobKind::Service, 1, 1.0), 0);
    sim.run_seconds(10);
    let follower = (0..3).find(|i| Some(*i) != sim.leader()).unwrap();
    sim.store.refused_controllers.push(follower);
    sim.run_seconds(3);
    let first_answer = sim.client_answers.len();
    sim.declare_job("req-2", job(JobKind::Array, 1, 1.0), 2 * SECOND);
    sim.submit(follower, "req-2");
    sim.poll(follower, "req-1");
    sim.poll(follower, "req-99");
    sim.cancel(follower, "req-1");
    sim.run_seconds(1);
    let mut answers: Vec<(u16, &str)> = sim.client_answers[first_answer..]
        .iter()
        .map(|answer| (answer.status, answer.state.as_str()))
        .collect();
    answers.sort_unstable();
    assert_eq!(
        answers.iter().map(|answer| answer.0).collect::<Vec<_>>(),
        [200, 200, 201, 404],
        "{answers:?}"
    );
    sim.run_seconds(40);
    assert!(sim.machines_running("req-1/0").is_empty(), "{}", sim.dump());
    sim.poll(follower, "req-2");
    sim.run_seconds(1);
    assert_eq!(sim.last_status("req-2"), "done");
}
