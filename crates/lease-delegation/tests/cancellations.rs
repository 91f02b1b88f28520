//! Tests of the cancellation log and of the cancellations reported by peers.

use lease_delegation::cancellations::{
    AppliedBatch, CancellationLog, LogBatch, LogCursor, ReportedCancellations,
};

fn job(number: u64) -> String {
    format!("req-{number}")
}

fn log_with(entries: u64) -> CancellationLog {
    let mut log = CancellationLog::default();
    (0..entries).for_each(|number| log.append(&job(number), number + 1));
    log
}

#[test]
fn consecutive_batches_transfer_the_whole_log() {
    let log = log_with(5);
    let mut reported = ReportedCancellations::new(2);
    let mut new_jobs = Vec::new();
    loop {
        let next = reported.cursor(1).next;
        let batch = log.batch(next, 0, 2).expect("no entry was dropped");
        let applied = reported.apply(1, 7, &batch, 100);
        new_jobs.extend(applied.new_jobs.into_iter().map(|(job, _)| job));
        assert_eq!(applied.log_complete, new_jobs.len() == 5, "{new_jobs:?}");
        if applied.log_complete {
            break;
        }
    }
    assert_eq!(new_jobs, (0..5).map(job).collect::<Vec<_>>());
    assert_eq!(
        reported.cursor(1),
        LogCursor {
            incarnation: 7,
            next: 5
        }
    );
    assert_eq!(reported.cursor(0), LogCursor::default());
    // The log has no further entries, and no job is reported twice.
    let batch = log.batch(5, 0, 2).expect("no entry was dropped");
    let nothing_new = AppliedBatch {
        new_jobs: Vec::new(),
        log_complete: true,
    };
    assert_eq!(reported.apply(1, 7, &batch, 101), nothing_new);
}

#[test]
fn a_batch_omits_cancellations_in_the_peers_cache() {
    let mut log = log_with(5);
    // Received last, but recorded second.
    log.append("req-77", 2);
    let batch = log.batch(0, 3, 10).expect("no entry was dropped");
    let versions: Vec<u64> = batch.jobs.iter().map(|(_, version)| *version).collect();
    assert_eq!(
        (versions, batch.next, batch.has_more),
        (vec![4, 5], 6, false)
    );
}

/// Each incarnation of a process has its own log. If the cursor of an earlier incarnation's log were kept, the
/// beginning of the new log would never be requested.
#[test]
fn a_batch_after_a_gap_does_not_move_the_cursor() {
    let mut reported = ReportedCancellations::new(1);
    let batch = LogBatch {
        from: 3,
        next: 4,
        has_more: false,
        jobs: vec![(job(9), 9)],
    };
    let applied = reported.apply(0, 7, &batch, 100);
    // The cancellation itself is valid despite the gap.
    assert_eq!((applied.new_jobs.len(), applied.log_complete), (1, false));
    assert!(reported.contains("req-9"));
    assert_eq!(reported.cursor(0), LogCursor::default());
    let whole_log = log_with(4).batch(0, 0, 10).expect("no entry was dropped");
    assert!(reported.apply(0, 7, &whole_log, 100).log_complete);
    let other_incarnation = LogBatch {
        from: 4,
        next: 4,
        ..LogBatch::default()
    };
    let applied = reported.apply(0, 8, &other_incarnation, 100);
    assert!(
        !applied.log_complete,
        "a batch after a gap completes the log of a new incarnation"
    );
    // A duplicate batch changes nothing.
    assert!(reported.apply(0, 7, &whole_log, 101).log_complete);
    assert_eq!(
        reported.cursor(0),
        LogCursor {
            incarnation: 7,
            next: 4
        }
    );
}

/// Once the records have been read, they replace earlier reports: a wrong report does not stop tasks forever.
#[test]
fn a_report_from_before_a_read_of_the_records_is_dropped() {
    let mut reported = ReportedCancellations::new(1);
    let batch = log_with(1).batch(0, 0, 10).expect("no entry was dropped");
    reported.apply(0, 7, &batch, 100);
    reported.on_records_read(100);
    assert!(
        reported.contains("req-0"),
        "a report is dropped by a read that may have begun before the cancellation was recorded"
    );
    reported.on_records_read(101);
    assert!(
        !reported.contains("req-0"),
        "a report from before the read is kept"
    );
}

/// A controller that starts reads all past cancellations in an order unrelated to time. Its log drops those that were
/// recorded first.
#[test]
fn a_log_keeps_the_newest_records_and_refuses_peers_that_need_older_ones() {
    let mut log = CancellationLog::default();
    let count = 20_000;
    for index in 0..count {
        // The even versions come first.
        let version = if index < count / 2 {
            2 * index
        } else {
            2 * (index - count / 2) + 1
        };
        log.append(&job(version), version + 1);
    }
    assert_eq!(log.batch(0, 0, 10), None);
    assert_eq!(log.batch(5, count / 4, 10), None);
    let batch = log
        .batch(0, count - 3, 10)
        .expect("the newest entries are kept");
    let mut versions: Vec<u64> = batch.jobs.iter().map(|(_, version)| *version).collect();
    versions.sort_unstable();
    assert_eq!(versions, [count - 2, count - 1, count]);
    // A peer that has received the log from the beginning needs none of the dropped entries.
    let batch = log.batch(count, 0, 10);
    assert!(batch.is_some_and(|batch| batch.jobs.is_empty()));
    // A position after the end of the log is invalid.
    assert_eq!(log.batch(count + 1, count, 10), None);
}
