//! Tests of the job queue.

use super::*;
use crate::protocol::JobSpec;
use crate::protocol::records::{JobRecord, JobStage, TaskChunk, TaskEntry};
use crate::protocol::settings::Team;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// An active job without any placed task.
fn job(spec: JobSpec, accepted_at: Micros) -> Job {
    Job {
        record: JobRecord {
            spec,
            accepted_at,
            stage: JobStage::Active,
            ended_at: Micros::ZERO,
            first_chunk: TaskChunk::default(),
            cleaned: false,
        },
        version: 1,
        chunks: BTreeMap::new(),
        unmet_dependencies: 0,
        released_at: Micros::ZERO,
        batched_placements: Vec::new(),
    }
}

fn random_job(rng: &mut ChaCha8Rng) -> Job {
    let kinds = [JobKind::Array, JobKind::Gang, JobKind::Service];
    let tasks = rng.random_range(1..6);
    let mut entries = Vec::new();
    for task in 0..tasks {
        let machine = ["", "n-1", "n-2"][rng.random_range(0..3)];
        if rng.random_bool(0.2) {
            entries.push(TaskEntry::new(task, 1, machine.into(), 1, 1, false));
        }
    }
    let is_cancelled = rng.random_bool(0.1);
    let spec = JobSpec {
        tasks,
        team: ["red", "blue"][rng.random_range(0..2)].into(),
        image: format!("img-{}", rng.random_range(0..9)),
        estimate_s: rng.random_range(0..5) as f64,
        gpus: rng.random_range(1..4) as f64,
        ..JobSpec::sample(kinds[rng.random_range(0..3)])
    };
    let mut job = job(spec, Micros(rng.random_range(0..40)));
    job.record.stage = [JobStage::Active, JobStage::Cancelled][usize::from(is_cancelled)];
    job.record.first_chunk.entries = entries;
    job.unmet_dependencies = usize::from(rng.random_bool(0.1));
    job
}

#[test]
fn a_queue_after_random_updates_equals_a_rebuilt_one() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut jobs: BTreeMap<String, Job> = BTreeMap::new();
        let mut queue = JobQueue::build(jobs.iter());
        for _ in 0..80 {
            let id = format!("req-{}", rng.random_range(0..30));
            if rng.random_bool(0.3) {
                jobs.remove(&id);
            } else {
                jobs.insert(id.clone(), random_job(&mut rng));
            }
            queue.update(&id, jobs.get(&id));
        }
        assert_eq!(queue.check_consistency(jobs.iter()), Ok(()), "seed {seed}");
        let active_jobs = jobs
            .values()
            .filter(|job| job.active() && !job.waits_for_dependencies());
        let largest = active_jobs
            .map(|job| job.record.spec.tasks as f64 * job.record.spec.gpus / 8.0)
            .fold(0.0, f64::max);
        let largest_demand = queue.largest_demand([1e9, 8.0, 1e9]);
        assert!(
            largest_demand >= largest,
            "seed {seed}: the queue has a largest demand of {largest_demand}, its jobs {largest}"
        );
    }
}

/// Guards against covering jobs after the first one that does not fit, and against counting tasks that are
/// done.
#[test]
fn a_guarantee_covers_unfinished_tasks_up_to_the_first_job_that_does_not_fit() {
    let team = Team {
        name: "red".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 10.0,
        gpus_max: 0.0,
    };
    let red_job = |accepted_at: u64, tasks: u32, done: u64| {
        let spec = JobSpec {
            tasks,
            team: "red".into(),
            ..JobSpec::sample(JobKind::Array)
        };
        let mut job = job(spec, Micros(accepted_at));
        job.record.first_chunk.done = done;
        job
    };
    let jobs = BTreeMap::from([
        ("a".to_string(), red_job(1, 8, 0b111)),
        ("b".to_string(), red_job(2, 4, 0)),
        ("c".to_string(), red_job(3, 2, 0)),
        ("d".to_string(), red_job(4, 1, 0)),
    ]);
    let queue = JobQueue::build(jobs.iter());
    let cutoffs = queue.guarantee_cutoffs(&[team]);
    let red = queue
        .names
        .find("red")
        .expect("the name table holds the teams of all queued jobs");
    let covered: Vec<&String> = jobs
        .iter()
        .filter(|(id, job)| cutoffs.covers(red, job.record.accepted_at, id))
        .map(|(id, _)| id)
        .collect();
    assert_eq!(covered, ["a", "b"], "jobs that the guarantee covers");
}
