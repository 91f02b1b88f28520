//! Tests of the overlay of placement batches.

use super::*;

fn entry(task: u32, attempt: u64) -> TaskEntry {
    TaskEntry::new(task, attempt, format!("n-{attempt}"), 1, 1, false)
}

fn batch(job: &str, placements: Vec<TaskEntry>) -> PlacementBatch {
    PlacementBatch {
        placements: vec![(job.to_string(), placements)],
    }
}

#[test]
fn the_latest_attempt_takes_precedence_and_done_tasks_are_unchanged() {
    let mut batches = PlacementBatches::default();
    batches.put(
        0,
        batch("j", vec![entry(0, 2), entry(1, 2), entry(3, 1)]),
        5,
    );
    batches.put(1, batch("j", vec![entry(0, 3), entry(50, 1)]), 6);
    let mut chunk = TaskChunk::default();
    chunk.set(entry(0, 1));
    chunk.set(entry(1, 4));
    chunk.finish(3);
    let mut batched_placements = Vec::new();
    batches.overlay("j", 0, &mut chunk, &mut batched_placements);
    assert_eq!(chunk.entries, [entry(0, 3), entry(1, 4)]);
    assert_eq!(batched_placements, [entry(0, 3)]);
    assert_eq!(batches.chunks("j"), BTreeSet::from([0, 1]));
    // Once the job's own record contains the placement, the batch has no effect.
    batches.overlay("j", 0, &mut chunk, &mut batched_placements);
    assert!(batched_placements.is_empty());
}

#[test]
fn older_batches_are_ignored_and_numbers_are_reused() {
    let mut batches = PlacementBatches::default();
    assert!(batches.put(0, batch("j", vec![entry(0, 1)]), 5));
    assert!(!batches.put(0, batch("k", vec![entry(0, 1)]), 4));
    assert!(batches.has_job("j") && !batches.has_job("k"));
    assert_eq!(batches.free_number(&BTreeSet::from([1])), 2);
    batches.delete(0, 4);
    assert!(batches.has_job("j"));
    batches.delete(0, 6);
    assert!(batches.is_empty() && !batches.has_job("j"));
    assert_eq!(batches.free_number(&BTreeSet::new()), 0);
}
