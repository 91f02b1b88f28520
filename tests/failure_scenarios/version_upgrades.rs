//! Two versions at once, and store limits that change.

use crate::simulation::fake_store::StoreLimits;
use crate::simulation::first_version;
use crate::simulation::{SECOND, Simulation, job, simulation_with_leader, with_dependencies};
use walnuttrestle::protocol::codec::{decode, encode};
use walnuttrestle::protocol::peer_messages::PeerHeartbeat;
use walnuttrestle::protocol::records::JobRecord;
use walnuttrestle::protocol::{JobKind, JobSpec};

/// Large arrays, a full queue and a takeover while the store lowers its limits.
#[test]
fn lowered_store_limits_without_notice_are_handled() {
    let low = StoreLimits {
        value_kb: 2.0,
        txn_ops: 4,
        write_rps: 9.0,
    };
    for seed in 180..184 {
        let mut sim = Simulation::with_store_limits(seed, 3, 10, 60.0, Some(low));
        sim.run_seconds(8);
        for n in 0..6 {
            let spec = JobSpec {
                class: "bleed-trim".into(),
                types: Some(vec!["box".into(), "l".repeat(190), "m".repeat(190)]),
                deadline_s: Some(712.123_456_789),
                ..job(JobKind::Array, 240, 0.25)
            };
            sim.spawn_client(&format!("req-{n}"), spec, 8 * SECOND);
        }
        sim.run_seconds(3);
        sim.store.limits = Some(low);
        sim.run_seconds(4);
        let leader = sim.leader().unwrap();
        sim.crash_controller(leader, 3 * SECOND);
        sim.spawn_client("req-77", job(JobKind::Array, 1, 1.0), SECOND);
        sim.run_seconds(200);
        assert_eq!(sim.store.rejected_for_size, 0);
        assert_eq!(sim.store.rejected_for_rate, 0);
        assert!(
            (0..6).all(|n| sim.job_done(&format!("req-{n}"))),
            "seed {seed}"
        );
        assert!(sim.job_done("req-77"));
    }
}

/// The new version is rolled out controller by controller, in every order, while jobs run; one of the controllers that are
/// still old crashes before its turn and returns with the old version; one is rolled back for a while. Clients submit
/// pipelines to the new controllers from the start.
#[test]
fn rolling_upgrade_from_the_first_version_keeps_jobs() {
    let orders = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    for (n, order) in orders.into_iter().enumerate() {
        let low = StoreLimits {
            value_kb: 2.0,
            txn_ops: 4,
            write_rps: 20.0,
        };
        let mut sim = Simulation::with_first_version(200 + n as u64, 5, Some(low));
        sim.run_seconds(8);
        sim.spawn_client("req-1", job(JobKind::Array, 130, 0.5), 6 * SECOND);
        sim.spawn_client("req-2", job(JobKind::Service, 2, 1.0), 0);
        sim.spawn_client("req-3", job(JobKind::Array, 2, 1.0), 200 * SECOND);
        sim.run_seconds(6);
        let upgrade = |sim: &mut Simulation, i: usize| {
            sim.crash_controller(i, 3 * SECOND);
            sim.set_first_version(i, false);
            sim.run_seconds(6);
            // It works on records of the old controllers and asks for features that they do not know.
            let id = format!("req-9{i}");
            let spec = with_dependencies(&["req-1", "req-3"], job(JobKind::Array, 1, 1.0));
            sim.declare_job(&id, spec, SECOND);
            sim.submit(i, &id);
            sim.run_seconds(3);
        };
        upgrade(&mut sim, order[0]);
        assert!(
            !sim.jobs
                .values()
                .any(|t| t.accepted && !t.spec.dependencies.is_empty())
        );
        sim.crash_controller(order[2], 2 * SECOND);
        sim.run_seconds(6);
        if n % 2 == 0 {
            // Back to the old version, and then to the new one again, though its record says so.
            sim.crash_controller(order[0], 2 * SECOND);
            sim.set_first_version(order[0], true);
            sim.run_seconds(5);
            upgrade(&mut sim, order[1]);
            upgrade(&mut sim, order[2]);
            assert!(
                !sim.jobs
                    .values()
                    .any(|t| t.accepted && !t.spec.dependencies.is_empty())
            );
            upgrade(&mut sim, order[0]);
        } else {
            upgrade(&mut sim, order[1]);
            upgrade(&mut sim, order[2]);
        }
        // The store lowers its limits as soon as the new version is everywhere.
        sim.store.limits = Some(low);
        let last = if n % 2 == 0 { order[0] } else { order[2] };
        assert!(sim.jobs[&format!("req-9{last}")].accepted, "{order:?}");
        sim.spawn_client(
            "req-4",
            with_dependencies(&["req-1"], job(JobKind::Array, 3, 1.0)),
            SECOND,
        );
        // Restarts need no new agreement.
        sim.run_seconds(4);
        sim.crash_controller(order[1], 2 * SECOND);
        sim.run_seconds(40);
        assert!(sim.job_done("req-1") && sim.job_done("req-4"), "{order:?}");
        sim.cancel_until_answered("req-3");
        sim.run_seconds(30);
        sim.poll(0, &format!("req-9{last}"));
        sim.run_seconds(2);
        assert_eq!(sim.last_status(&format!("req-9{last}")), "cancelled");
        assert_eq!(sim.last_status("req-2"), "running");
        assert_eq!(
            (sim.store.rejected_for_size, sim.store.rejected_for_rate),
            (0, 0)
        );
    }
}

/// Bytes written by the first version.
#[test]
fn first_version_records_keep_their_meaning() {
    let bytes = |hex: &str| -> Vec<u8> {
        let digits = hex.as_bytes().chunks(2);
        digits
            .map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap())
            .collect()
    };
    let job = bytes(OLD_JOB);
    let rec: JobRecord = decode(&job).unwrap();
    assert!(rec.spec.dependencies.is_empty() && rec.spec.tasks == 130);
    assert_eq!(
        rec.first_chunk.entry(3).unwrap().machine(),
        Some("n-000231")
    );
    // A record that we write without dependencies is the same to the byte, and the first version reads it.
    assert_eq!(encode(&rec), job);
    assert!(decode::<first_version::FirstJobRecord>(&job).is_some());
    let beat = bytes("086b65726e656c2d31012901ac02014d01");
    let mut heard = PeerHeartbeat::decode(&beat).unwrap();
    assert_eq!((heard.format, heard.newest_revision), (1, Some(77)));
    heard.format = 2;
    let sent = heard.encode();
    assert_eq!(PeerHeartbeat::decode(&sent).unwrap().format, 2);
    let heartbeat: first_version::FirstPeerHeartbeat = postcard::from_bytes(&sent).unwrap();
    assert_eq!(heartbeat.node, "kernel-1");
    assert_eq!(first_version::convert_peer_heartbeat(sent), beat);
}

const OLD_JOB: &str = "85a173de0012a6646f636b6574ac636f6c6f75722d7377656570a463726577ad706c6174666f726d2d63726577a57368617065a57377656570a472616e6ba87374616e64617264a6736865657473cc82a463707573cb4018000000000000a56361726473cb3ff0000000000000a96d656d6f72795f6762cb4038000000000000a5706c617465a6696d672d3037a773697a655f6762cb4011000000000000a77072657373657391aa6d656e6869722d626f78a8746f676574686572c2a773636174746572c2a76c6f616e657273c3aa65787065637465645f73cb404ec00000000000a770726f6f665f73cb0000000000000000a773746173685f73cb0000000000000000a56475655f73cb406e000000000000a26174cf000644e4f42bb000a27374a161a3656e6400a16382a16591960302a86e2d3030303233310129c3a164cc80";

/// A gang over several records is placed by one transaction, or its members would start without the others; a gang that no
/// transaction can place is refused.
#[test]
fn wide_gang_is_placed_as_a_whole_under_lower_limits() {
    let low = StoreLimits {
        value_kb: 2.0,
        txn_ops: 3,
        write_rps: 30.0,
    };
    let mut sim = Simulation::with_store_limits(195, 3, 6, 60.0, Some(low));
    sim.store.limits = Some(low);
    sim.run_seconds(8);
    sim.spawn_client("req-1", job(JobKind::Gang, 130, 0.125), 6 * SECOND);
    sim.declare_job("req-2", job(JobKind::Gang, 145, 0.125), SECOND);
    sim.submit(1, "req-2");
    sim.run_seconds(40);
    assert!(sim.job_done("req-1"));
    assert!(
        sim.start_counts.values().all(|n| *n == 1),
        "{:?}",
        sim.start_counts
    );
    assert!(
        sim.client_answers
            .iter()
            .any(|answer| answer.job == "req-2" && answer.status == 400)
    );
    assert_eq!(sim.store.rejected_for_size, 0);
}

/// Limits that were not announced: smaller transactions are tried, and no job is harmed.
#[test]
fn rejected_transaction_does_not_reject_the_job() {
    let mut sim = simulation_with_leader(190, 10);
    for n in 0..4 {
        sim.spawn_client(
            &format!("req-{n}"),
            job(JobKind::Array, 240, 0.25),
            8 * SECOND,
        );
    }
    sim.run_seconds(3);
    sim.store.limits = Some(StoreLimits {
        value_kb: 8.0,
        txn_ops: 2,
        write_rps: 60.0,
    });
    for n in 10..40 {
        sim.spawn_client(&format!("req-{n}"), job(JobKind::Array, 1, 0.25), SECOND);
    }
    sim.run_seconds(120);
    assert!(sim.store.rejected_for_size > 0);
    assert!(sim.jobs.keys().all(|id| sim.job_done(id)));
}
