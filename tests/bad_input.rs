//! Broken records, messages and reports are refused as a whole, and nobody falls over them.

mod world;

use rand::RngExt;
use walnuttrestle::protocol::JobKind;
use walnuttrestle::protocol::agent_api::AgentHeartbeat;
use walnuttrestle::protocol::codec::encode;
use world::{SEC, World, job, settled};

/// A body with some bytes changed, or cut short.
fn bent(w: &mut World, body: &[u8]) -> Vec<u8> {
    let mut body = body.to_vec();
    for _ in 0..w.rng.random_range(1..4) {
        if body.is_empty() {
            break;
        }
        let at = w.rng.random_range(0..body.len());
        match w.rng.random_range(0..3) {
            0 => body.truncate(at),
            1 => body[at] = w.rng.random(),
            _ => _ = body.remove(at),
        }
    }
    body
}

#[test]
fn bytes_of_any_kind_harm_nobody() {
    for seed in 0..4 {
        let mut w = settled(6000 + seed, 4);
        w.user("req-1", job(JobKind::Service, 4, 1.0), 0);
        w.user("req-2", job(JobKind::Array, 3, 1.0), 40 * SEC);
        w.run(8);
        // A machine of which nobody else speaks, so that a report of it that can still be read is no lie about others.
        let report = AgentHeartbeat {
            machine: "n-000900".into(),
            address: "10.1.4.100:9000".into(),
            ..w.report_of("n-000001")
        };
        let report = encode(&report);
        for n in 0..1500u64 {
            let (node, internal) = (w.rng.random_range(0..3), w.rng.random_bool(0.4));
            let body = match n % 3 {
                0 => (0..w.rng.random_range(0..80))
                    .map(|_| w.rng.random())
                    .collect(),
                _ => bent(&mut w, &report),
            };
            let path = ["/hello", "/heartbeat", "/user/submissions"][w.rng.random_range(0..3)];
            w.send_bytes(node, internal, path, body);
        }
        w.run(50);
        assert!(w.job_done("req-2"), "seed {seed}: {}", w.dump());
        assert_eq!(w.there("req-1"), 4, "seed {seed}: {}", w.dump());
    }
}

/// A report of which one task cannot be read: were the rest believed, that task would look as if it were not there, and
/// be started elsewhere.
#[test]
fn a_report_with_a_broken_task_is_not_believed_in_part() {
    let mut w = settled(6010, 4);
    w.user("req-1", job(JobKind::Array, 4, 1.0), 60 * SEC);
    w.run(8);
    let l = w.leader().expect("a leader");
    let m = w.on("req-1/0").pop_first().expect("a machine");
    for _ in 0..3 {
        let mut report = w.report_of(&m);
        let spoilt = report.tasks.iter_mut().find(|t| t.task == "req-1/0");
        spoilt.expect("its task").task = "req-1".into();
        // Its machine is about to go, so it would be started elsewhere.
        report.notice_s = Some(30.0);
        w.send_bytes(l, false, "/hello", encode(&report));
        w.run(2);
    }
    w.run(80);
    assert!(w.job_done("req-1"), "{}", w.dump());
    assert!(w.starts.values().all(|n| *n == 1), "{:?}", w.starts);
}

/// The record of a job cannot be read by anybody: it is not forgotten, nothing of it is started again, and all others go on.
#[test]
fn a_job_whose_record_cannot_be_read_is_not_forgotten() {
    for seed in 0..6 {
        let mut w = settled(6020 + seed, 4);
        w.user("req-1", job(JobKind::Array, 2, 1.0), 300 * SEC);
        w.user("req-2", job(JobKind::Array, 2, 1.0), 30 * SEC);
        w.run(8);
        let key = w
            .store
            .keys_under("")
            .into_iter()
            .find(|k| k.ends_with("req-1"));
        w.store.spoil(&key.expect("its record"));
        if seed % 2 == 0 {
            // Those that start now have never read it.
            (0..3).for_each(|i| w.crash(i, 200_000));
        }
        w.run(15);
        let before = w.said.len();
        for node in 0..3 {
            w.poll(node, "req-1");
            w.submit_once(node, "req-1");
            w.cancel(node, "req-1");
        }
        w.run(3);
        let said: Vec<u16> = w.said[before..]
            .iter()
            .filter(|s| s.1 == "req-1")
            .map(|s| s.2)
            .collect();
        assert!(
            said.len() >= 9 && said.iter().all(|s| *s == 503),
            "seed {seed}: {said:?}"
        );
        w.run(50);
        assert!(w.job_done("req-2"), "seed {seed}: {}", w.dump());
        assert!(
            w.starts.iter().all(|(_, n)| *n == 1),
            "seed {seed}: {:?}",
            w.starts
        );
    }
}
