//! What telling peers of cancellations costs: a heartbeat and its answer between two controllers of three, with 1,900
//! machines and 1,000 cancellations a minute, in calm times and while one is refused; beside a peer of the format
//! before. `cargo bench --bench heartbeats`; figures in `docs/measured/limits.md`.

use criterion::{Criterion, criterion_group, criterion_main};
use lease_delegation::cancellations::{Heard, Log};
use std::time::Duration;
use walnuttrestle::protocol::format;
use walnuttrestle::protocol::peer_messages::{
    CancellationCursor, CancellationNews, HeartbeatExtension, MOST_CANCELLATIONS, PeerHeartbeat,
};

/// Cancellations in the time between two heartbeats.
const NEW: u64 = 12;
/// What a controller has learnt in its time, more than it keeps.
const LEARNT: u64 = 20_000;

fn beat(format: u32) -> PeerHeartbeat {
    PeerHeartbeat {
        node: "kernel-1".into(),
        leading: Some(7),
        leader_silent_ms: Some(300),
        newest: Some(LEARNT),
        served: true,
        format,
        asks: 30_000,
        epoch: 4,
        more: Some(HeartbeatExtension {
            run: u64::MAX / 3,
            right: None,
            used_ago: None,
            quiet: false,
        }),
        record_summary: None,
        knows: None,
        news: None,
    }
}

fn log() -> Log {
    let mut log = Log::default();
    (0..LEARNT).for_each(|n| log.learn(&format!("req-{n:06}"), n + 1));
    log
}

/// A question and its answer, from one's log to what the other has heard; returns the bytes of both.
fn exchange(log: &Log, heard: &mut Heard, complete: u64) -> usize {
    let cursor = heard.cursor(0);
    let question = PeerHeartbeat {
        knows: Some(CancellationCursor {
            complete,
            heard: cursor.into(),
        }),
        ..beat(format::NEWEST)
    };
    let asked = question.encode();
    let knows = PeerHeartbeat::decode(&asked).ok().and_then(|h| h.knows);
    let from = knows.map_or(0, |k| k.from(1));
    let batch = log
        .batch(from, complete, MOST_CANCELLATIONS)
        .unwrap_or_default();
    let answer = PeerHeartbeat {
        news: Some(CancellationNews {
            lead: 12,
            from: batch.from,
            next: batch.next,
            more: batch.more,
            jobs: batch.jobs,
            known: vec![("kernel-0".into(), 40_000), ("kernel-2".into(), 700_000)],
        }),
        ..beat(format::NEWEST)
    };
    let answered = answer.encode();
    if let Ok(PeerHeartbeat {
        news: Some(news), ..
    }) = PeerHeartbeat::decode(&answered)
    {
        heard.take(0, 1, &news.batch(), 1);
    }
    asked.len() + answered.len()
}

/// Has heard of all but the newest.
fn behind(log: &Log) -> Heard {
    let mut heard = Heard::new(1);
    let mut batch = log.batch(0, LEARNT, 1).unwrap_or_default();
    batch.next -= NEW;
    heard.take(0, 1, &batch, 0);
    heard
}

fn heartbeats(c: &mut Criterion) {
    let mut g = c.benchmark_group("heartbeats");
    g.measurement_time(Duration::from_secs(2)).sample_size(30);
    let log = log();
    // Each controller asks two peers every 0.7 s, and answers them.
    let a_second = |bytes: usize| bytes as f64 * 4.0 / 0.7;
    g.bench_function("format before", |b| {
        b.iter(|| {
            let bytes = beat(format::RIGHTS).encode();
            PeerHeartbeat::decode(&bytes).is_ok()
        })
    });
    for (name, complete) in [("calm", LEARNT), ("refused", LEARNT - NEW)] {
        let bytes = exchange(&log, &mut behind(&log), complete);
        println!("{name}: {bytes} bytes, {:.0} a second", a_second(bytes));
        g.bench_function(name, |b| {
            b.iter_batched(
                || behind(&log),
                |mut heard| exchange(&log, &mut heard, complete),
                criterion::BatchSize::SmallInput,
            )
        });
    }
    let known = postcard::to_stdvec(&beat(format::RIGHTS))
        .unwrap_or_default()
        .len();
    println!(
        "before: about {} bytes, {:.0} a second",
        2 * (known + 22),
        a_second(2 * (known + 22))
    );
}

criterion_group!(benches, heartbeats);
criterion_main!(benches);
