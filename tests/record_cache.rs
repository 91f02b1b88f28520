//! The record cache: listings, watches, placement batches that are applied to jobs, new cancellations, and unreadable
//! records.

mod simulation;

use rmpv::Value;
use walnuttrestle::protocol::codec::to_value;
use walnuttrestle::protocol::key_value_api::{Item, ItemPage, Transaction, VersionCondition};
use walnuttrestle::protocol::records::{
    JobRecord, JobStage, PlacementBatch, TaskChunk, TaskEntry, chunk_key, job_key,
    placement_batch_key,
};
use walnuttrestle::protocol::{JobKind, Micros};
use walnuttrestle::state::record_cache::{Job, JobLookup, RecordCache};

fn record(stage: JobStage, entries: Vec<TaskEntry>) -> JobRecord {
    let spec = simulation::job(JobKind::Service, 60, 1.0);
    JobRecord {
        spec,
        accepted_at: Micros::ZERO,
        stage,
        ended_at: Micros::ZERO,
        first_chunk: TaskChunk { entries, done: 0 },
        cleaned: false,
    }
}

fn entry(task: u32, attempt: u64) -> TaskEntry {
    TaskEntry::new(task, attempt, format!("n-{attempt}"), 1, 1, false)
}

fn placement_batch(entries: Vec<TaskEntry>) -> PlacementBatch {
    PlacementBatch {
        placements: vec![("req-1".into(), entries)],
    }
}

fn placements(cache: &RecordCache) -> Vec<(u32, u64)> {
    let job = cache.jobs.get("req-1").into_iter();
    job.flat_map(Job::entries)
        .map(|e| (e.task(), e.attempt()))
        .collect()
}

/// A listing returns placement batches before jobs, a watch delivers them after the jobs. Both must result in the same
/// placements.
#[test]
fn listing_and_watch_apply_placement_batches_alike() {
    let job = record(JobStage::Active, vec![entry(0, 1), entry(1, 1)]);
    let second_chunk = TaskChunk {
        entries: vec![entry(50, 1)],
        done: 0,
    };
    let records = [
        (
            placement_batch_key(0),
            to_value(&placement_batch(vec![
                entry(0, 2),
                entry(49, 1),
                entry(50, 2),
            ])),
            9,
        ),
        (job_key("req-1"), to_value(&job), 3),
        (chunk_key("req-1", 1), to_value(&second_chunk), 4),
    ];
    let expected = vec![(0, 2), (1, 1), (49, 1), (50, 2)];
    let mut listed = RecordCache::default();
    let items = records.iter().map(|(key, value, version)| Item {
        key: key.clone(),
        value: value.clone(),
        version: *version,
    });
    let page = ItemPage {
        items: items.collect(),
        has_more: false,
        revision: 9,
    };
    assert!(
        listed.apply_listing_page(page),
        "the listing is not complete after its last page"
    );
    assert_eq!(
        placements(&listed),
        expected,
        "placements after the listing"
    );
    let mut watched = RecordCache::default();
    for i in [1, 2, 0] {
        let (key, value, version) = &records[i];
        watched.put(key, value.clone(), *version);
    }
    assert_eq!(placements(&watched), expected, "placements after the watch");
    assert_eq!(
        watched.tasks_placed_on("n-2").count(),
        2,
        "tasks placed on n-2"
    );
    assert!(
        !watched.is_batch_superseded(0),
        "the batch is superseded before its placements are in the job's records"
    );
    // The placements are now in the records of the job itself, so the batch is superseded and may be deleted.
    watched.put_job(
        "req-1",
        record(JobStage::Active, vec![entry(0, 2), entry(1, 1)]),
        10,
    );
    let merged_chunk = TaskChunk {
        entries: vec![entry(49, 1), entry(50, 2)],
        done: 0,
    };
    watched.put_chunk("req-1", 1, merged_chunk, 11);
    assert_eq!(
        placements(&watched),
        expected,
        "placements after the merge into the job's records"
    );
    assert!(
        watched.is_batch_superseded(0),
        "the batch is not superseded after the merge"
    );
    watched.delete(&placement_batch_key(0), 12);
    assert_eq!(
        placements(&watched),
        expected,
        "placements after the deletion of the batch"
    );
}

/// The controller that cancels a job may not have read the batch yet, so its record may lack the batch's placements. A
/// batch may also still exist after the cleanup of the job.
#[test]
fn cancelled_job_keeps_its_batched_placements_until_cleanup() {
    let mut cache = RecordCache::default();
    cache.put_job("req-1", record(JobStage::Active, vec![entry(0, 1)]), 3);
    cache.put(
        &placement_batch_key(4),
        to_value(&placement_batch(vec![entry(0, 2)])),
        5,
    );
    cache.put_job("req-1", record(JobStage::Cancelled, vec![entry(0, 1)]), 6);
    assert_eq!(
        placements(&cache),
        [(0, 2)],
        "placements of the cancelled job"
    );
    let cleaned = JobRecord {
        cleaned: true,
        ..record(JobStage::Cancelled, Vec::new())
    };
    cache.put_job("req-1", cleaned, 7);
    assert!(
        matches!(cache.job("req-1"), Some(JobLookup::Finished(f)) if f.stage == JobStage::Cancelled),
        "req-1 is not found as a finished job in stage Cancelled"
    );
    assert!(
        cache.is_batch_superseded(4),
        "the batch is not superseded after the cleanup"
    );
}

/// A cancellation is returned only once, whatever the cache receives after it: the cleaned record or an older version.
#[test]
fn new_cancellation_is_returned_once() {
    let mut cache = RecordCache::default();
    cache.put_job("req-1", record(JobStage::Active, vec![entry(0, 1)]), 3);
    assert!(
        cache.take_cancelled().is_empty(),
        "a cancellation is returned before there is one"
    );
    cache.put_job("req-1", record(JobStage::Cancelled, vec![entry(0, 1)]), 6);
    cache.put_job("req-1", record(JobStage::Active, vec![entry(0, 1)]), 5);
    assert_eq!(cache.take_cancelled(), [("req-1".to_string(), 6)]);
    let cleaned = JobRecord {
        cleaned: true,
        ..record(JobStage::Cancelled, Vec::new())
    };
    cache.put_job("req-1", cleaned, 8);
    assert!(
        cache.take_cancelled().is_empty(),
        "the cancellation is returned again after the cleanup"
    );
    cache.put_job("req-2", record(JobStage::Done, Vec::new()), 9);
    assert!(
        cache.take_cancelled().is_empty() && cache.is_done("req-2") && cache.is_cancelled("req-1"),
        "expected no new cancellation, req-2 done and req-1 cancelled"
    );
}

/// Guards against a placement batch being deleted because a job in it is missing from the cache, whose record cannot be
/// read: its placements would be lost, and its tasks started again beside those that run.
#[test]
fn placement_batch_is_kept_while_a_job_in_it_is_unreadable() {
    let mut cache = RecordCache::default();
    let batch = to_value(&placement_batch(vec![entry(0, 1)]));
    cache.put(&placement_batch_key(4), batch, 3);
    cache.put(&job_key("req-1"), "spoilt".into(), 4);
    assert!(!cache.is_batch_superseded(4), "the job is unreadable");
    let active = to_value(&record(JobStage::Active, Vec::new()));
    cache.put(&job_key("req-1"), active, 5);
    assert!(
        !cache.is_batch_superseded(4),
        "the batch holds the placement"
    );
    assert_eq!(placements(&cache), [(0, 1)]);
    let cleaned = JobRecord {
        cleaned: true,
        ..record(JobStage::Cancelled, Vec::new())
    };
    cache.put_job("req-1", cleaned, 7);
    assert!(cache.is_batch_superseded(4), "the job was cleaned");
}

/// A record counts as unreadable until a newer version or its deletion is received. An older version that arrives late
/// has no effect.
#[test]
fn unreadable_record_is_kept_until_a_newer_version() {
    let (mut cache, key) = (RecordCache::default(), job_key("req-1"));
    let active = to_value(&record(JobStage::Active, Vec::new()));
    cache.put(&key, active.clone(), 3);
    cache.put(&key, "spoilt".into(), 7);
    assert!(
        cache.is_unreadable("req-1") && !cache.is_unreadable("req-11"),
        "expected req-1 alone to be unreadable"
    );
    cache.put(&key, active.clone(), 5);
    cache.delete(&key, 6);
    assert!(
        cache.is_unreadable("req-1"),
        "req-1 counts as readable after older versions arrived"
    );
    cache.put(&key, active, 8);
    assert!(
        !cache.is_unreadable("req-1"),
        "req-1 is still unreadable after a newer version"
    );
    cache.put(&placement_batch_key(4), "spoilt".into(), 9);
    assert!(
        cache.has_unreadable_batch(),
        "the batch does not count as unreadable"
    );
    cache.delete(&placement_batch_key(4), 10);
    assert!(
        !cache.has_unreadable_batch(),
        "the deleted batch still counts as unreadable"
    );
}

/// A transaction that changes only a chunk may be carried out until the cache holds another version of that chunk, whether
/// the record can be read or not.
#[test]
fn transaction_may_commit_only_while_no_condition_is_contradicted() {
    let mut cache = RecordCache::default();
    let active = to_value(&record(JobStage::Active, Vec::new()));
    let chunk = to_value(&TaskChunk::default());
    let key = chunk_key("req-1", 1);
    cache.put(&job_key("req-1"), active, 5);
    let write = |chunk_version: u64| Transaction {
        conditions: vec![
            VersionCondition::new(&job_key("req-1"), 5),
            VersionCondition::new(&key, chunk_version),
        ],
        changes: Vec::new(),
    };
    assert!(cache.may_commit(&write(0)), "the chunk does not exist");
    cache.put(&key, chunk, 7);
    assert!(!cache.may_commit(&write(0)), "the chunk was written");
    assert!(cache.may_commit(&write(7)));
    cache.put(&key, Value::from("spoilt"), 9);
    assert!(
        !cache.may_commit(&write(7)),
        "a newer version of the chunk is unreadable"
    );
    let cancelled = to_value(&record(JobStage::Cancelled, Vec::new()));
    cache.put(&job_key("req-1"), cancelled, 11);
    assert!(!cache.may_commit(&write(9)), "the job has ended");
}
