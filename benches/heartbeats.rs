//! Cost of passing cancellations to peers: a heartbeat and its response between two of three controllers.
//!
//! There are 1,900 machines and 1,000 cancellations a minute, with the store available to both (`calm`) and while it
//! refuses one of them (`refused`). A heartbeat of the previous format is measured for comparison.
//! `cargo bench --bench heartbeats`; figures in `docs/measured/limits.md`.

use criterion::{Criterion, criterion_group, criterion_main};
use lease_delegation::cancellations::{CancellationLog, ReportedCancellations};
use std::time::Duration;
use walnuttrestle::protocol::format;
use walnuttrestle::protocol::peer_messages::{
    CancellationCursor, CancellationUpdate, LeaseDelegationStatus, MAX_CANCELLATIONS, PeerHeartbeat,
};

/// Cancellations between two heartbeats.
const NEW_CANCELLATIONS: u64 = 12;
/// Cancellations that a controller has ever logged, more than the log keeps.
const LOGGED: u64 = 20_000;

/// Returns a heartbeat of this format without cancellations.
fn heartbeat(format: u32) -> PeerHeartbeat {
    PeerHeartbeat {
        node: "kernel-1".into(),
        leading_term: Some(7),
        leader_silent_ms: Some(300),
        newest_revision: Some(LOGGED),
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
    (0..LOGGED).for_each(|number| log.append(&format!("req-{number:06}"), number + 1));
    log
}

/// Encodes and decodes a heartbeat and its response, which carries entries of `log`; returns the bytes of both.
fn exchange(log: &CancellationLog, heard: &mut ReportedCancellations, complete: u64) -> usize {
    let cursor = heard.cursor(0);
    let request = PeerHeartbeat {
        cancellation_cursor: Some(CancellationCursor {
            complete_revision: complete,
            log_position: cursor.into(),
        }),
        ..heartbeat(format::NEWEST)
    };
    let request_bytes = request.encode();
    let knows = PeerHeartbeat::decode(&request_bytes)
        .ok()
        .and_then(|heartbeat| heartbeat.cancellation_cursor);
    let from = knows.map_or(0, |cursor| cursor.first_entry(1));
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
        cancellation_update: Some(news),
        ..
    }) = PeerHeartbeat::decode(&response_bytes)
    {
        heard.apply(0, 1, &news.batch(), 1);
    }
    request_bytes.len() + response_bytes.len()
}

/// Returns the state of a peer that has received all but the newest entries.
fn almost_up_to_date(log: &CancellationLog) -> ReportedCancellations {
    let mut heard = ReportedCancellations::new(1);
    let mut batch = log.batch(0, LOGGED, 1).unwrap_or_default();
    batch.next -= NEW_CANCELLATIONS;
    heard.apply(0, 1, &batch, 0);
    heard
}

fn heartbeats(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("heartbeats");
    group
        .measurement_time(Duration::from_secs(2))
        .sample_size(30);
    let log = full_log();
    // Each controller sends heartbeats to two peers every 0.7 s, and responds to theirs.
    let bytes_a_second = |bytes: usize| bytes as f64 * 4.0 / 0.7;
    group.bench_function("format before", |bencher| {
        bencher.iter(|| {
            let bytes = heartbeat(format::LEASE_DELEGATION).encode();
            PeerHeartbeat::decode(&bytes).is_ok()
        })
    });
    for (name, complete) in [("calm", LOGGED), ("refused", LOGGED - NEW_CANCELLATIONS)] {
        let bytes = exchange(&log, &mut almost_up_to_date(&log), complete);
        println!(
            "{name}: {bytes} bytes, {:.0} a second",
            bytes_a_second(bytes)
        );
        group.bench_function(name, |bencher| {
            bencher.iter_batched(
                || almost_up_to_date(&log),
                |mut heard| exchange(&log, &mut heard, complete),
                criterion::BatchSize::SmallInput,
            )
        });
    }
    let known = postcard::to_stdvec(&heartbeat(format::LEASE_DELEGATION))
        .unwrap_or_default()
        .len();
    println!(
        "before: about {} bytes, {:.0} a second",
        2 * (known + 22),
        bytes_a_second(2 * (known + 22))
    );
}

criterion_group!(benches, heartbeats);
criterion_main!(benches);
