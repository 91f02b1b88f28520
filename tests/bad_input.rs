//! Corrupt records, requests and heartbeats are rejected as a whole and do not crash any controller.

mod simulation;

use rand::RngExt;
use simulation::{SECOND, Simulation, job, simulation_with_leader};
use walnuttrestle::protocol::JobKind;
use walnuttrestle::protocol::agent_api::AgentHeartbeat;
use walnuttrestle::protocol::codec::encode;

/// Returns the body with up to three random modifications: a truncation, a changed byte or a removed byte.
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
        // No agent has this machine name, so a heartbeat that stays decodable cannot misreport a real machine.
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
        assert!(
            sim.job_done("req-2"),
            "seed {seed}: req-2 is not done\n{}",
            sim.dump()
        );
        assert_eq!(
            sim.running_instances("req-1"),
            4,
            "seed {seed}: running instances of req-1\n{}",
            sim.dump()
        );
    }
}

/// A heartbeat contains one task with an invalid name. If the rest were accepted, that task would appear to be absent and
/// would be started on another machine.
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
        invalid_task.expect("req-1/0 in the heartbeat").task = "req-1".into();
        // The preemption notice makes the leader move the machine's tasks to other machines.
        heartbeat.notice_s = Some(30.0);
        sim.send_bytes(leader, false, "/hello", encode(&heartbeat));
        sim.run_seconds(2);
    }
    sim.run_seconds(80);
    assert!(sim.job_done("req-1"), "req-1 is not done\n{}", sim.dump());
    assert!(
        sim.start_counts.values().all(|n| *n == 1),
        "a task was started more than once: {:?}",
        sim.start_counts
    );
}

/// A job's record is corrupt and no controller can decode it. Requests for the job are answered with 503 instead of being
/// treated as requests for an unknown job, none of its tasks is started again, and all other jobs continue.
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
        sim.store.corrupt(&key.expect("the record of req-1"));
        if seed % 2 == 0 {
            // After the restart, no controller has the record in its cache.
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
            "seed {seed}: expected at least 9 answers, all with status 503, found {statuses:?}"
        );
        sim.run_seconds(50);
        assert!(
            sim.job_done("req-2"),
            "seed {seed}: req-2 is not done\n{}",
            sim.dump()
        );
        assert!(
            sim.start_counts.iter().all(|(_, n)| *n == 1),
            "seed {seed}: a task was started more than once: {:?}",
            sim.start_counts
        );
    }
}
