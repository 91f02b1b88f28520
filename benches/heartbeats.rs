//! Cost of sending cancellations to peers: a heartbeat and its response between two of three controllers.
//!
//! The load is that of 1,900 machines and 1,000 cancellations per minute. In `calm`, the store is available to both
//! controllers; in `refused`, it refuses the requests of the one that sends the heartbeat. A heartbeat of the previous
//! format is measured for comparison.
//! `cargo bench --bench heartbeats`; figures in `docs/measured/limits.md`.

use criterion::{Criterion, criterion_group, criterion_main};
use lease_delegation::cancellations::{CancellationLog, ReportedCancellations};
use std::time::Duration;
use walnuttrestle::protocol::format;
use walnuttrestle::protocol::peer_messages::{
    CancellationCursor, CancellationUpdate, LeaseDelegationStatus, MAX_CANCELLATIONS, PeerHeartbeat,
};

/// Number of cancellations between two heartbeats.
const NEW_CANCELLATIONS: u64 = 12;
/// Number of cancellations appended to a controller's log, more than the log keeps.
const LOGGED_CANCELLATIONS: u64 = 20_000;

/// Returns a heartbeat of the given format without cancellations.
fn heartbeat(format: u32) -> PeerHeartbeat {
    PeerHeartbeat {
        node: "kernel-1".into(),
        leading_term: Some(7),
        leader_silent_ms: Some(300),
        newest_revision: Some(LOGGED_CANCELLATIONS),
        store_available: true,
        format,
        requested_writes: 30_000,
        grant_epoch: 4,
        delegation: Some(LeaseDelegationStatus {
            incarnation: u64::MAX / 3,
            delegated_term: None,
            last_use_age_us: None,
            pledges_silence: false,
        }),
        record_summary: None,
        cancellation_cursor: None,
        cancellation_update: None,
    }
}

fn full_log() -> CancellationLog {
    let mut log = CancellationLog::default();
    (0..LOGGED_CANCELLATIONS)
        .for_each(|number| log.append(&format!("req-{number:06}"), number + 1));
    log
}

/// Encodes and decodes a heartbeat and its response, which contains entries of `log`. Returns the number of bytes of
/// both.
fn exchange(log: &CancellationLog, reported: &mut ReportedCancellations, complete: u64) -> usize {
    let cursor = reported.cursor(0);
    let request = PeerHeartbeat {
        cancellation_cursor: Some(CancellationCursor {
            complete_revision: complete,
            log_position: cursor.into(),
        }),
        ..heartbeat(format::NEWEST)
    };
    let request_bytes = request.encode();
    let received_cursor = PeerHeartbeat::decode(&request_bytes)
        .ok()
        .and_then(|heartbeat| heartbeat.cancellation_cursor);
    let from = received_cursor.map_or(0, |cursor| cursor.first_entry(1));
    let batch = log
        .batch(from, complete, MAX_CANCELLATIONS)
        .unwrap_or_default();
    let response = PeerHeartbeat {
        cancellation_update: Some(CancellationUpdate {
            leader_version: 12,
            first_entry: batch.from,
            next_entry: batch.next,
            has_more: batch.has_more,
            jobs: batch.jobs,
            peer_coverage_ages: vec![("kernel-0".into(), 40_000), ("kernel-2".into(), 700_000)],
        }),
        ..heartbeat(format::NEWEST)
    };
    let response_bytes = response.encode();
    if let Ok(PeerHeartbeat {
        cancellation_update: Some(update),
        ..
    }) = PeerHeartbeat::decode(&response_bytes)
    {
        reported.apply(0, 1, &update.batch(), 1);
    }
    request_bytes.len() + response_bytes.len()
}

/// Returns the cancellations of a peer that has received all log entries but the newest `NEW_CANCELLATIONS`.
fn almost_up_to_date(log: &CancellationLog) -> ReportedCancellations {
    let mut reported = ReportedCancellations::new(1);
    let mut batch = log.batch(0, LOGGED_CANCELLATIONS, 1).unwrap_or_default();
    batch.next -= NEW_CANCELLATIONS;
    reported.apply(0, 1, &batch, 0);
    reported
}

fn heartbeats(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("heartbeats");
    group
        .measurement_time(Duration::from_secs(2))
        .sample_size(30);
    let log = full_log();
    // Every 0.7 s, each controller sends a heartbeat to two peers and responds to one from each of them.
    let bytes_per_second = |bytes: usize| bytes as f64 * 4.0 / 0.7;
    group.bench_function("format before", |bencher| {
        bencher.iter(|| {
            let bytes = heartbeat(format::LEASE_DELEGATION).encode();
            PeerHeartbeat::decode(&bytes).is_ok()
        })
    });
    for (name, complete) in [
        ("calm", LOGGED_CANCELLATIONS),
        ("refused", LOGGED_CANCELLATIONS - NEW_CANCELLATIONS),
    ] {
        let bytes = exchange(&log, &mut almost_up_to_date(&log), complete);
        println!(
            "{name}: {bytes} bytes, {:.0} per second",
            bytes_per_second(bytes)
        );
        group.bench_function(name, |bencher| {
            bencher.iter_batched(
                || almost_up_to_date(&log),
                |mut reported| exchange(&log, &mut reported, complete),
                criterion::BatchSize::SmallInput,
            )
        });
    }
    // Only the fields of the first format; those of the later formats up to `LEASE_DELEGATION` take about 22 bytes.
    let first_format_bytes = postcard::to_stdvec(&heartbeat(format::LEASE_DELEGATION))
        .unwrap_or_default()
        .len();
    println!(
        "format before: about {} bytes, {:.0} per second",
        2 * (first_format_bytes + 22),
        bytes_per_second(2 * (first_format_bytes + 22))
    );
}

criterion_group!(benches, heartbeats);
criterion_main!(benches);
