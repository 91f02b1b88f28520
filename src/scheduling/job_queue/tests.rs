//! Tests.

use super::*;
use crate::protocol::records::{JobRecord, JobStage, TaskChunk, TaskEntry};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn job(rng: &mut ChaCha8Rng) -> Job {
    let kinds = [JobKind::Array, JobKind::Gang, JobKind::Service];
    let tasks = rng.random_range(1..6);
    let mut entries = Vec::new();
    for t in 0..tasks {
        let machine = ["", "n-1", "n-2"][rng.random_range(0..3)];
        if rng.random_bool(0.2) {
            entries.push(TaskEntry(t, 1, machine.into(), 1, 1, false));
        }
    }
    let ended = rng.random_bool(0.1);
    Job {
        rec: JobRecord {
            spec: JobSpec {
                tasks,
                team: ["red", "blue"][rng.random_range(0..2)].into(),
                image: format!("img-{}", rng.random_range(0..9)),
                estimate_s: rng.random_range(0..5) as f64,
                gpus: rng.random_range(1..4) as f64,
                ..JobSpec::sample(kinds[rng.random_range(0..3)])
            },
            at: Micros(rng.random_range(0..40)),
            stage: [JobStage::Active, JobStage::Cancelled][usize::from(ended)],
            end: Micros::ZERO,
            first: TaskChunk { entries, done: 0 },
            cleaned: false,
        },
        version: 1,
        chunks: BTreeMap::new(),
        unmet_dependencies: usize::from(rng.random_bool(0.1)),
        released_at: Micros::ZERO,
        batched_places: Vec::new(),
    }
}

/// What is kept through changes is what is found by looking at everything, guarantees included.
#[test]
fn whatever_changes_the_queue_is_that_of_a_new_leader() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut jobs: BTreeMap<String, Job> = BTreeMap::new();
        let mut kept = JobQueue::build(jobs.iter());
        for _ in 0..80 {
            let id = format!("req-{}", rng.random_range(0..30));
            if rng.random_bool(0.3) {
                jobs.remove(&id);
            } else {
                jobs.insert(id.clone(), job(&mut rng));
            }
            kept.update(&id, jobs.get(&id));
        }
        assert_eq!(kept.recount(jobs.iter()), Ok(()), "seed {seed}");
        let all = jobs.iter().filter(|(_, j)| j.active() && !j.waits());
        let most = all.map(|(_, j)| j.rec.spec.tasks as f64 * j.rec.spec.gpus / 8.0);
        let most = most.fold(0.0, f64::max);
        assert!(kept.largest([1e9, 8.0, 1e9]) >= most, "seed {seed}");
    }
}

/// Fails if the walk over a team's jobs goes on past the first that does not fit, or a done task
/// counts.
#[test]
fn a_guarantee_reaches_as_far_as_what_is_not_done_adds_up() {
    let team = Team {
        name: "red".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 10.0,
        gpus_max: 0.0,
    };
    let job = |at: u64, tasks: u32, done: u64| Job {
        rec: JobRecord {
            spec: JobSpec {
                tasks,
                team: "red".into(),
                ..JobSpec::sample(JobKind::Array)
            },
            at: Micros(at),
            stage: JobStage::Active,
            end: Micros::ZERO,
            first: TaskChunk {
                entries: Vec::new(),
                done,
            },
            cleaned: false,
        },
        version: 1,
        chunks: BTreeMap::new(),
        unmet_dependencies: 0,
        released_at: Micros::ZERO,
        batched_places: Vec::new(),
    };
    let jobs = BTreeMap::from([
        ("a".to_string(), job(1, 8, 0b111)),
        ("b".to_string(), job(2, 4, 0)),
        ("c".to_string(), job(3, 2, 0)),
        ("d".to_string(), job(4, 1, 0)),
    ]);
    let kept = JobQueue::build(jobs.iter());
    let within = kept.within(&[team]);
    let red = kept.names.find("red").expect("a team of a job is named");
    let covered: Vec<&String> = jobs
        .iter()
        .filter(|(id, j)| within.covers(red, j.rec.at, id))
        .map(|(id, _)| id)
        .collect();
    assert_eq!(covered, ["a", "b"]);
}
