//! Rolling upgrades from the first version, and store limits that change.

use crate::simulation::fake_store::StoreLimits;
use crate::simulation::first_version;
use crate::simulation::{SECOND, Simulation, job, simulation_with_leader, with_dependencies};
use walnuttrestle::protocol::codec::{decode, encode};
use walnuttrestle::protocol::peer_messages::PeerHeartbeat;
use walnuttrestle::protocol::records::JobRecord;
use walnuttrestle::protocol::{JobKind, JobSpec};

/// The store lowers its limits, without notice, to values that it has announced as possible, while large arrays wait and
/// the leader changes. No transaction may exceed the lower limits.
#[test]
fn lowered_store_limits_without_notice_are_handled() {
    let lowered_limits = StoreLimits {
        value_kb: 2.0,
        txn_ops: 4,
        write_rps: 9.0,
    };
    for seed in 180..184 {
        let mut sim = Simulation::with_store_limits(seed, 3, 10, 60.0, Some(lowered_limits));
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
        sim.store.limits = Some(lowered_limits);
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
        assert!(sim.job_done("req-77"), "seed {seed}: {}", sim.dump());
    }
}

/// The controllers are upgraded one by one, in every order, while jobs run. One that still has the first version crashes
/// before its turn and returns with it; in half of the runs one is rolled back for a while. Clients submit jobs with
/// dependencies to upgraded controllers from the start; these are accepted only once all controllers are upgraded.
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
    for (run, order) in orders.into_iter().enumerate() {
        let lowered_limits = StoreLimits {
            value_kb: 2.0,
            txn_ops: 4,
            write_rps: 20.0,
        };
        let mut sim = Simulation::with_first_version(200 + run as u64, 5, Some(lowered_limits));
        sim.run_seconds(8);
        sim.spawn_client("req-1", job(JobKind::Array, 130, 0.5), 6 * SECOND);
        sim.spawn_client("req-2", job(JobKind::Service, 2, 1.0), 0);
        sim.spawn_client("req-3", job(JobKind::Array, 2, 1.0), 200 * SECOND);
        sim.run_seconds(6);
        let upgrade = |sim: &mut Simulation, controller: usize| {
            sim.crash_controller(controller, 3 * SECOND);
            sim.set_first_version(controller, false);
            sim.run_seconds(6);
            // The upgraded controller convert_store_response records of the first version and gets a job with dependencies, which the first
            // version cannot read.
            let id = format!("req-9{controller}");
            let spec = with_dependencies(&["req-1", "req-3"], job(JobKind::Array, 1, 1.0));
            sim.declare_job(&id, spec, SECOND);
            sim.submit(controller, &id);
            sim.run_seconds(3);
        };
        upgrade(&mut sim, order[0]);
        assert!(
            !sim.jobs
                .values()
                .any(|truth| truth.accepted && !truth.spec.dependencies.is_empty()),
            "{order:?}: a job with dependencies was accepted before all controllers were upgraded"
        );
        sim.crash_controller(order[2], 2 * SECOND);
        sim.run_seconds(6);
        if run % 2 == 0 {
            // A rollback to the first version although the controller has recorded that it reads newer formats, and later a
            // second upgrade.
            sim.crash_controller(order[0], 2 * SECOND);
            sim.set_first_version(order[0], true);
            sim.run_seconds(5);
            upgrade(&mut sim, order[1]);
            upgrade(&mut sim, order[2]);
            assert!(
                !sim.jobs
                    .values()
                    .any(|truth| truth.accepted && !truth.spec.dependencies.is_empty()),
                "{order:?}: a job with dependencies was accepted before all controllers were upgraded"
            );
            upgrade(&mut sim, order[0]);
        } else {
            upgrade(&mut sim, order[1]);
            upgrade(&mut sim, order[2]);
        }
        // The store lowers its limits as soon as all controllers run the new version.
        sim.store.limits = Some(lowered_limits);
        let last_upgraded = if run % 2 == 0 { order[0] } else { order[2] };
        assert!(
            sim.jobs[&format!("req-9{last_upgraded}")].accepted,
            "{order:?}"
        );
        sim.spawn_client(
            "req-4",
            with_dependencies(&["req-1"], job(JobKind::Array, 3, 1.0)),
            SECOND,
        );
        // A restart needs no new format negotiation.
        sim.run_seconds(4);
        sim.crash_controller(order[1], 2 * SECOND);
        sim.run_seconds(40);
        assert!(sim.job_done("req-1") && sim.job_done("req-4"), "{order:?}");
        sim.cancel_until_answered("req-3");
        sim.run_seconds(30);
        sim.poll(0, &format!("req-9{last_upgraded}"));
        sim.run_seconds(2);
        assert_eq!(
            sim.last_status(&format!("req-9{last_upgraded}")),
            "cancelled"
        );
        assert_eq!(sim.last_status("req-2"), "running");
        assert_eq!(
            (sim.store.rejected_for_size, sim.store.rejected_for_rate),
            (0, 0)
        );
    }
}

/// Decodes bytes that the first version has written, and lets it decode ours.
#[test]
fn first_version_records_and_heartbeats_stay_compatible() {
    let decode_hex = |hex: &str| -> Vec<u8> {
        let digits = hex.as_bytes().chunks(2);
        digits
            .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
            .collect()
    };
    let job_bytes = decode_hex(FIRST_VERSION_JOB_RECORD);
    let record: JobRecord = decode(&job_bytes).unwrap();
    assert!(record.spec.dependencies.is_empty() && record.spec.tasks == 130);
    assert_eq!(
        record.first_chunk.entry(3).unwrap().machine(),
        Some("n-000231")
    );
    // The same record encodes to the same bytes again, and the first version convert_store_response a record without dependencies.
    assert_eq!(encode(&record), job_bytes);
    assert!(decode::<first_version::FirstJobRecord>(&job_bytes).is_some());
    let heartbeat_bytes = decode_hex("086b65726e656c2d31012901ac02014d01");
    let mut decoded = PeerHeartbeat::decode(&heartbeat_bytes).unwrap();
    assert_eq!((decoded.format, decoded.newest_revision), (1, Some(77)));
    decoded.format = 2;
    let encoded = decoded.encode();
    assert_eq!(PeerHeartbeat::decode(&encoded).unwrap().format, 2);
    let first_version_heartbeat: first_version::FirstPeerHeartbeat =
        postcard::from_bytes(&encoded).unwrap();
    assert_eq!(first_version_heartbeat.node, "kernel-1");
    assert_eq!(
        first_version::convert_peer_heartbeat(encoded),
        heartbeat_bytes
    );
}

/// A job record as written by the first version, in hexadecimal.
const FIRST_VERSION_JOB_RECORD: &str = "85a173de0012a6646f636b6574ac636f6c6f75722d7377656570a463726577ad706c6174666f726d2d63726577a57368617065a57377656570a472616e6ba87374616e64617264a6736865657473cc82a463707573cb4018000000000000a56361726473cb3ff0000000000000a96d656d6f72795f6762cb4038000000000000a5706c617465a6696d672d3037a773697a655f6762cb4011000000000000a77072657373657391aa6d656e6869722d626f78a8746f676574686572c2a773636174746572c2a76c6f616e657273c3aa65787065637465645f73cb404ec00000000000a770726f6f665f73cb0000000000000000a773746173685f73cb0000000000000000a56475655f73cb406e000000000000a26174cf000644e4f42bb000a27374a161a3656e6400a16382a16591960302a86e2d3030303233310129c3a164cc80";

/// A gang whose tasks span several records is placed by one transaction, as otherwise some members could start without the
/// others. A gang that does not fit into one transaction is refused.
#[test]
fn wide_gang_is_placed_as_a_whole_under_lower_limits() {
    let lowered_limits = StoreLimits {
        value_kb: 2.0,
        txn_ops: 3,
        write_rps: 30.0,
    };
    let mut sim = Simulation::with_store_limits(195, 3, 6, 60.0, Some(lowered_limits));
    sim.store.limits = Some(lowered_limits);
    sim.run_seconds(8);
    sim.spawn_client("req-1", job(JobKind::Gang, 130, 0.125), 6 * SECOND);
    sim.declare_job("req-2", job(JobKind::Gang, 145, 0.125), SECOND);
    sim.submit(1, "req-2");
    sim.run_seconds(40);
    assert!(sim.job_done("req-1"), "{}", sim.dump());
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

/// The store applies limits that it has not announced. Rejected transactions are retried as smaller ones, and all jobs
/// complete.
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
    assert!(sim.jobs.keys().all(|id| sim.job_done(id)), "{}", sim.dump());
}
