//! The cache must not depend on the order in which records come: chunks before or after the record of their job, by a
//! listing in pages or by a watch.
//! `SEEDS_FROM=17 SEEDS=1 cargo test --test record_order` repeats one seed.

mod simulation;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rmpv::Value;
use simulation::{SECOND, Simulation, job, seeds, simulation_with_leader};
use walnuttrestle::protocol::codec::to_value;
use walnuttrestle::protocol::key_value_api::{Item, ItemPage, WatchEvent, WatchResponse};
use walnuttrestle::protocol::records::{
    JobRecord, JobStage, PlacementBatch, TASKS_PER_CHUNK, TaskChunk, TaskEntry, chunk_key, job_key,
    placement_batch_key,
};
use walnuttrestle::protocol::{JobKind, JobSpec, Micros};
use walnuttrestle::state::record_cache::{JobLookup, RecordCache};

const FIRST_SEED: u64 = 15_000;
const SEED_COUNT: u64 = 400;
const MACHINES: u32 = 4;

/// A record as it is stored.
#[derive(Clone)]
struct Record {
    key: String,
    value: Value,
    version: u64,
}

fn draw_entry(rng: &mut ChaCha8Rng, task: u32, attempt: u64) -> TaskEntry {
    let machine = format!("n-{}", rng.random_range(0..MACHINES));
    TaskEntry::new(task, attempt, machine, 1, 1, false)
}

/// Draws the placements and completions of the tasks of a chunk.
fn draw_chunk(rng: &mut ChaCha8Rng, number: u32, tasks: u32) -> TaskChunk {
    let mut chunk = TaskChunk::default();
    let first = number * TASKS_PER_CHUNK;
    let is_used = rng.random_bool(0.6);
    for task in (first..tasks.min(first + TASKS_PER_CHUNK)).filter(|_| is_used) {
        match rng.random_range(0..6) {
            0 => chunk.finish(task),
            1 => chunk.set(draw_entry(rng, task, 2)),
            _ => {}
        }
    }
    chunk
}

/// Draws the records of a few jobs of one or several chunks, and placement batches of these jobs.
fn draw_records(rng: &mut ChaCha8Rng) -> Vec<Record> {
    let mut records = Vec::new();
    let mut add = |key: String, value: Value| {
        let version = records.len() as u64 + 1;
        records.push(Record {
            key,
            value,
            version,
        });
    };
    for number in 0..rng.random_range(1..5) {
        let id = format!("req-{number}");
        let tasks = [3, TASKS_PER_CHUNK, 2 * TASKS_PER_CHUNK + 5][rng.random_range(0..3)];
        for chunk in 1..tasks.div_ceil(TASKS_PER_CHUNK) {
            add(
                chunk_key(&id, chunk),
                to_value(&draw_chunk(rng, chunk, tasks)),
            );
        }
        let attempt = rng.random_range(1..4);
        let batch = PlacementBatch {
            placements: vec![(id.clone(), vec![draw_entry(rng, tasks - 1, attempt)])],
        };
        if rng.random_bool(0.3) {
            add(placement_batch_key(number), to_value(&batch));
        }
        let record = JobRecord {
            spec: job(JobKind::Array, tasks, 1.0),
            accepted_at: Micros::ZERO,
            stage: [JobStage::Active, JobStage::Cancelled][rng.random_range(0..2)],
            ended_at: Micros::ZERO,
            first_chunk: draw_chunk(rng, 0, tasks),
            cleaned: false,
        };
        add(job_key(&id), to_value(&record));
    }
    records
}

fn by_listing(mut records: Vec<Record>, page_size: usize) -> RecordCache {
    records.sort_by(|a, b| a.key.cmp(&b.key));
    let revision = records.len() as u64;
    let mut cache = RecordCache::default();
    let pages = records.len().div_ceil(page_size);
    for (number, page) in records.chunks(page_size).enumerate() {
        let items = page.iter().map(|record| Item {
            key: record.key.clone(),
            value: record.value.clone(),
            version: record.version,
        });
        cache.apply_listing_page(ItemPage {
            items: items.collect(),
            has_more: number + 1 < pages,
            revision,
        });
    }
    cache
}

fn by_watch(records: &[Record]) -> RecordCache {
    let events = records.iter().map(|record| WatchEvent {
        put: Some(record.key.clone()),
        value: Some(record.value.clone()),
        deleted: None,
        version: record.version,
    });
    let mut cache = RecordCache::default();
    cache.apply_watch_response(WatchResponse {
        events: events.collect(),
        revision: records.len() as u64,
    });
    cache
}

/// What the cache knows of the jobs and of the tasks on the machines.
fn describe(cache: &RecordCache) -> Vec<String> {
    let mut lines = Vec::new();
    for number in 0..5 {
        let id = format!("req-{number}");
        match cache.job(&id) {
            Some(JobLookup::Live(job)) => {
                let mut entries: Vec<String> =
                    job.entries().map(|entry| format!("{entry:?}")).collect();
                entries.sort();
                let done = job.done_count();
                lines.push(format!(
                    "{id} {:?} done {done} {entries:?}",
                    job.record.stage
                ));
            }
            Some(JobLookup::Finished(job)) => lines.push(format!("{id} finished {:?}", job.stage)),
            None => lines.push(format!("{id} unknown")),
        }
    }
    for machine in 0..MACHINES {
        let machine = format!("n-{machine}");
        let mut tasks: Vec<_> = cache.tasks_placed_on(&machine).collect();
        tasks.sort();
        lines.push(format!("{machine} {tasks:?}"));
    }
    lines
}

/// Guards against a cancelled job being filed as finished before its chunks have come, which are then dropped.
#[test]
fn cache_does_not_depend_on_the_order_of_records() {
    for seed in seeds(FIRST_SEED, SEED_COUNT) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let records = draw_records(&mut rng);
        let expected = describe(&by_watch(&records));
        let page_size = rng.random_range(1..4);
        let listed = describe(&by_listing(records.clone(), page_size));
        assert_eq!(listed, expected, "seed {seed}: by listing");
        for _ in 0..4 {
            let mut shuffled = records.clone();
            shuffled.shuffle(&mut rng);
            let described = describe(&by_watch(&shuffled));
            assert_eq!(described, expected, "seed {seed}: shuffled");
        }
    }
}

/// Guards against a starting controller forgetting the placed tasks of a cancelled array none of whose first tasks is placed
/// any more: they would not count against the limit of their team (review/REPORT.md, "quota").
#[test]
fn starting_controller_counts_the_placed_tasks_of_a_cancelled_array() {
    /// GPU limit of the team; each task needs one GPU.
    const LIMIT: u32 = 12;
    let red = |tasks| JobSpec {
        team: "red".into(),
        ..job(JobKind::Array, tasks, 1.0)
    };
    for seed in 0..8 {
        let mut sim = simulation_with_leader(15_500 + seed, 4);
        sim.no_capacity = true;
        sim.spawn_client("req-1", red(TASKS_PER_CHUNK + 2 * LIMIT), SECOND);
        let has_begun = |sim: &Simulation, task: u32| {
            sim.jobs["req-1"].done.contains(&task)
                || !sim.machines_running(&format!("req-1/{task}")).is_empty()
        };
        while !(0..TASKS_PER_CHUNK).all(|task| has_begun(&sim, task)) {
            sim.run_micros(SECOND / 100);
        }
        // The tasks of the first chunk end soon, the others that start from now on do not.
        sim.jobs.get_mut("req-1").expect("declared").run_time = 300 * SECOND;
        sim.run_seconds(15 + seed % 3);
        assert_eq!(sim.running_instances("req-1"), LIMIT as usize);
        sim.spawn_client("req-2", red(LIMIT), 20 * SECOND);
        sim.run_seconds(2);
        let until = sim.now + 7 * SECOND;
        for machine in sim.machine_names().into_iter().take(2) {
            sim.agents.get_mut(&machine).expect("exists").hung_until = until;
        }
        sim.cancel_until_answered("req-1");
        sim.run_micros(SECOND / 5);
        for controller in 0..3 {
            sim.crash_controller(controller, SECOND / 2);
        }
        sim.run_seconds(100);
        assert!(sim.job_done("req-2"), "seed {seed}\n{}", sim.dump());
    }
}
