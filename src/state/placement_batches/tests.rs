//! Tests.

use super::*;

fn entry(task: u32, attempt: u64) -> TaskEntry {
    TaskEntry::new(task, attempt, format!("n-{attempt}"), 1, 1, false)
}

fn bundle(job: &str, places: Vec<TaskEntry>) -> PlacementBatch {
    PlacementBatch {
        places: vec![(job.to_string(), places)],
    }
}

#[test]
fn the_later_attempt_counts_and_what_is_done_does_not() {
    let mut b = PlacementBatches::default();
    b.put(
        0,
        bundle("j", vec![entry(0, 2), entry(1, 2), entry(3, 1)]),
        5,
    );
    b.put(1, bundle("j", vec![entry(0, 3), entry(50, 1)]), 6);
    let mut chunk = TaskChunk::default();
    chunk.set(entry(0, 1));
    chunk.set(entry(1, 4));
    chunk.finish(3);
    let mut counting = Vec::new();
    b.lay("j", 0, &mut chunk, &mut counting);
    assert_eq!(chunk.entries, [entry(0, 3), entry(1, 4)]);
    assert_eq!(counting, [entry(0, 3)]);
    assert_eq!(b.chunks("j"), BTreeSet::from([0, 1]));
    // Once the job's own record holds the place, it no longer counts.
    b.lay("j", 0, &mut chunk, &mut counting);
    assert!(counting.is_empty());
}

#[test]
fn older_bundles_change_nothing_and_numbers_are_used_again() {
    let mut b = PlacementBatches::default();
    assert!(b.put(0, bundle("j", vec![entry(0, 1)]), 5));
    assert!(!b.put(0, bundle("k", vec![entry(0, 1)]), 4));
    assert!(b.name("j") && !b.name("k"));
    assert_eq!(b.free(&BTreeSet::from([1])), 2);
    b.delete(0, 4);
    assert!(b.name("j"));
    b.delete(0, 6);
    assert!(b.is_empty() && !b.name("j"));
    assert_eq!(b.free(&BTreeSet::new()), 0);
}
