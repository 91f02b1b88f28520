//! Corrupt records, messages and heartbeats are rejected as a whole and crash no controller.

mod simulation;

use rand::RngExt;
use simulation::{SECOND, Simulation, job, simulation_with_leader};
use walnuttrestle::protocol::JobKind;
use walnuttrestle::protocol::agent_api::AgentHeartbeat;
use walnuttrestle::protocol::codec::encode;

/// A body with some bytes changed, or truncated.
fn corrupted(sim: &mut Simulation, body: &[u8]) -> Vec<u8> {
    let mut body = body.to_vec();
    for _ in 0..sim.rng.random_range(1..4) {
        if body.is_empty() {
            break;
        }
        let at = sim.rng.random_range(0..body.len());
        match sim.rng.random_range(0..3) {
            0 => body.truncate(at),
            1 => body[at] = sim.rng.random(),
            _ => _ = body.remove(at),
        }
    }
    body
}

#[test]
fn arbitrary_bytes_crash_no_controller() {
    for seed in 0..4 {
        let mut sim = simulation_with_leader(6000 + seed, 4);
        sim.spawn_client("req-1", job(JobKind::Service, 4, 1.0), 0);
        sim.spawn_client("req-2", job(JobKind::Array, 3, 1.0), 40 * SECOND);
        sim.run_seconds(8);
        // A machine that exists nowhere else, so that a readable heartbeat of it is no lie about other machines.
        let heartbeat = AgentHeartbeat {
            machine: "n-000900".into(),
            address: "10.1.4.100:9000".into(),
            ..sim.heartbeat_of("n-000001")
        };
        let encoded_heartbeat = encode(&heartbeat);
        for n in 0..1500u64 {
            let (node, internal) = (sim.rng.random_range(0..3), sim.rng.random_bool(0.4));
            let body = match n % 3 {
                0 => (0..sim.rng.random_range(0..80))
                    .map(|_| sim.rng.random())
                    .collect(),
                _ => corrupted(&mut sim, &encoded_heartbeat),
            };
            let path = ["/hello", "/heartbeat", "/user/submissions"][sim.rng.random_range(0..3)];
            sim.send_bytes(node, internal, path, body);
        }
        sim.run_seconds(50);
        assert!(sim.job_done("req-2"), "seed {seed}: {}", sim.dump());
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: {}",
            sim.dump()
        );
    }
}

/// A heartbeat with one unreadable task: were the rest accepted, that task would look absent and be started elsewhere.
#[test]
fn heartbeat_with_an_invalid_task_is_rejected_as_a_whole() {
    let mut sim = simulation_with_leader(6010, 4);
    sim.spawn_client("req-1", job(JobKind::Array, 4, 1.0), 60 * SECOND);
    sim.run_seconds(8);
    let leader = sim.leader().expect("a leader");
    let machine = sim
        .machines_running("req-1/0")
        .pop_first()
        .expect("a machine");
    for _ in 0..3 {
        let mut heartbeat = sim.heartbeat_of(&machine);
        let invalid_task = heartbeat.tasks.iter_mut().find(|t| t.task == "req-1/0");
        invalid_task.expect("its task").task = "req-1".into();
        // Its machine is about to be preempted, so it would be started elsewhere.
        heartbeat.notice_s = Some(30.0);
        sim.send_bytes(leader, false, "/hello", encode(&heartbeat));
        sim.run_seconds(2);
    }
    sim.run_seconds(80);
    assert!(sim.job_done("req-1"), "{}", sim.dump());
    assert!(
        sim.start_counts.values().all(|n| *n == 1),
        "{:?}",
        sim.start_counts
    );
}

/// No controller can read a job's record: the job is not forgotten, none of its tasks is started again, and all other
/// jobs continue.
#[test]
fn job_with_an_unreadable_record_is_not_forgotten() {
    for seed in 0..6 {
        let mut sim = simulation_with_leader(6020 + seed, 4);
        sim.spawn_client("req-1", job(JobKind::Array, 2, 1.0), 300 * SECOND);
        sim.spawn_client("req-2", job(JobKind::Array, 2, 1.0), 30 * SECOND);
        sim.run_seconds(8);
        let key = sim
            .store
            .keys_under("")
            .into_iter()
            .find(|k| k.ends_with("req-1"));
        sim.store.corrupt(&key.expect("its record"));
        if seed % 2 == 0 {
            // Controllers that start now have never read it.
            (0..3).for_each(|i| sim.crash_controller(i, 200_000));
        }
        sim.run_seconds(15);
        let answers_before = sim.client_answers.len();
        for node in 0..3 {
            sim.poll(node, "req-1");
            sim.submit(node, "req-1");
            sim.cancel(node, "req-1");
        }
        sim.run_seconds(3);
        let statuses: Vec<u16> = sim.client_answers[answers_before..]
            .iter()
            .filter(|answer| answer.job == "req-1")
            .map(|answer| answer.status)
            .collect();
        assert!(
            statuses.len() >= 9 && statuses.iter().all(|status| *status == 503),
            "seed {seed}: {statuses:?}"
        );
        sim.run_seconds(50);
        assert!(sim.job_done("req-2"), "seed {seed}: {}", sim.dump());
        assert!(
            sim.start_counts.iter().all(|(_, n)| *n == 1),
            "seed {seed}: {:?}",
            sim.start_counts
        );
    }
}
