//! The log of cancellations and what is heard of others', piece by piece.

use lease_delegation::cancellations::{Batch, Cursor, Heard, Log};

fn job(n: u64) -> String {
    format!("req-{n}")
}

fn log(n: u64) -> Log {
    let mut log = Log::default();
    (0..n).for_each(|i| log.learn(&job(i), i + 1));
    log
}

#[test]
fn batches_follow_one_another_until_all_is_known() {
    let log = log(5);
    let mut heard = Heard::new(2);
    let mut told = Vec::new();
    loop {
        let batch = log.batch(heard.cursor(1).next, 0, 2).expect("all is there");
        let (new, all) = heard.take(1, 7, &batch, 100);
        told.extend(new.into_iter().map(|(job, _)| job));
        assert_eq!(all, told.len() == 5, "{told:?}");
        if all {
            break;
        }
    }
    assert_eq!(told, (0..5).map(job).collect::<Vec<_>>());
    assert_eq!(heard.cursor(1), Cursor { run: 7, next: 5 });
    assert_eq!(heard.cursor(0), Cursor::default());
    // Nothing more to tell, and nothing twice.
    let batch = log.batch(5, 0, 2).expect("all is there");
    assert_eq!(heard.take(1, 7, &batch, 101), (Vec::new(), true));
}

#[test]
fn what_the_askers_copy_shows_is_not_told() {
    let mut log = log(5);
    // Learnt late, recorded early.
    log.learn("req-77", 2);
    let batch = log.batch(0, 3, 10).expect("all is there");
    let jobs: Vec<u64> = batch.jobs.iter().map(|(_, v)| *v).collect();
    assert_eq!((jobs, batch.next, batch.more), (vec![4, 5], 6, false));
}

/// Another run of the process has another log. Taken for the same one, its beginning would never be asked for.
#[test]
fn a_batch_that_does_not_follow_makes_nothing_known() {
    let mut heard = Heard::new(1);
    let batch = Batch {
        from: 3,
        next: 4,
        more: false,
        jobs: vec![(job(9), 9)],
    };
    let (new, all) = heard.take(0, 7, &batch, 100);
    // It is true all the same.
    assert_eq!((new.len(), all), (1, false));
    assert!(heard.contains("req-9"));
    assert_eq!(heard.cursor(0), Cursor::default());
    let whole = log(4).batch(0, 0, 10).expect("all is there");
    assert!(heard.take(0, 7, &whole, 100).1);
    let other = Batch {
        from: 4,
        next: 4,
        ..Batch::default()
    };
    assert!(!heard.take(0, 8, &other, 100).1, "another run's log");
    // A batch that comes again changes nothing.
    assert!(heard.take(0, 7, &whole, 101).1);
    assert_eq!(heard.cursor(0), Cursor { run: 7, next: 4 });
}

/// Once the records have been read, they alone count: a word that was not true stops nothing for ever.
#[test]
fn what_was_heard_before_the_records_were_read_is_dropped() {
    let mut heard = Heard::new(1);
    let batch = log(1).batch(0, 0, 10).expect("all is there");
    heard.take(0, 7, &batch, 100);
    heard.read(100);
    assert!(
        heard.contains("req-0"),
        "the read may have begun before it was recorded"
    );
    heard.read(101);
    assert!(!heard.contains("req-0"));
}

/// A controller that starts learns all that was ever cancelled, in no order of time. What it drops is what was
/// recorded first.
#[test]
fn a_log_keeps_the_newest_and_says_whom_it_cannot_bring_up_to_date() {
    let mut log = Log::default();
    let n = 20_000;
    for i in 0..n {
        // Every other one first.
        let version = if i < n / 2 {
            2 * i
        } else {
            2 * (i - n / 2) + 1
        };
        log.learn(&job(version), version + 1);
    }
    assert_eq!(log.batch(0, 0, 10), None);
    assert_eq!(log.batch(5, n / 4, 10), None);
    let batch = log.batch(0, n - 3, 10).expect("the newest are there");
    let mut versions: Vec<u64> = batch.jobs.iter().map(|(_, v)| *v).collect();
    versions.sort_unstable();
    assert_eq!(versions, [n - 2, n - 1, n]);
    // Who has followed from the beginning misses nothing of what was dropped.
    assert!(log.batch(n, 0, 10).is_some_and(|p| p.jobs.is_empty()));
    // Nobody knows more of it than there is.
    assert_eq!(log.batch(n + 1, n, 10), None);
}
