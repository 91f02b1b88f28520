//! Cost of a leader's work as the cluster and the queue grow: a scheduling pass, reading all records at a
//! takeover, the pass after half of the machines are lost, and passes while thousands of jobs wait. The
//! benchmarks `kept` run passes over the incrementally updated queue, those called `plain` run passes of the
//! reference implementation. `cargo bench --bench scale -- FILTER`; results are in `docs/measured/limits.md`.

#[path = "../tests/plain/mod.rs"]
mod plain;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use std::time::Duration;
use walnuttrestle::agents::leader_state::LeaderState;
use walnuttrestle::controller::Controller;
use walnuttrestle::policy::Policy;
use walnuttrestle::protocol::Clock;
use walnuttrestle::protocol::agent_api::{AgentHeartbeat, TaskPhase, TaskStatus};
use walnuttrestle::protocol::cloud_api::{MachineType, MachineTypes};
use walnuttrestle::protocol::codec::to_value;
use walnuttrestle::protocol::key_value_api::{Item, ItemPage};
use walnuttrestle::protocol::records::{
    BASELINE_MACHINES_KEY, JobRecord, JobStage, LEADER_KEY, LeaderRecord, MACHINE_TYPES_KEY,
    TaskChunk, TaskEntry, job_key,
};
use walnuttrestle::protocol::{JobKind, JobSpec, Micros, Priority, Settings};
use walnuttrestle::scheduling::job_queue::JobQueue;
use walnuttrestle::scheduling::pass::{self, PassInputs, PassState};
use walnuttrestle::state::agent::{Agent, ReportedTask};
use walnuttrestle::state::record_cache::RecordCache;

/// Numbers of machines.
const FLEET_SIZES: [usize; 3] = [300, 1_200, 5_000];
/// Number of tasks of a running job.
const TASKS_PER_JOB: usize = 4;
/// Number of tasks that fit on a machine.
const SLOTS_PER_HOST: usize = 8;
/// Number of tasks that run on a machine.
const TASKS_PER_HOST: usize = SLOTS_PER_HOST - 1;

fn settings() -> Settings {
    let text = r#"
member="kernel-0"
zone="a"
serve_on="127.0.0.1:1"
internal_addr="127.0.0.1:2"
[external]
cloud="127.0.0.1:3"
state="127.0.0.1:4"
[params]
zones=["a","b"]
[[params.teams]]
name="blue"
gpus=100.0
[params.workers]
report_s=5.0
lease_s=26.5
gang_wait_s=45.0
gang_peer_s=5.0
cancel_s=46.5
[params.state]
rps=250.0
write_rps=60.0
value_kb=4.0
txn_ops=8
[params.cloud]
rps=12.0
list_lag_s=8.0
[params.limits]
core_share=0.4
mem_mb=208.0
sockets=3744
"#;
    Settings::parse("bench.toml", text).expect("settings")
}

fn spec(kind: JobKind, image: usize) -> JobSpec {
    JobSpec {
        class: "c".into(),
        team: "blue".into(),
        kind,
        priority: Priority::Normal,
        tasks: TASKS_PER_JOB as u32,
        cpus: 5.0,
        gpus: 1.0,
        memory_gb: 20.0,
        image: format!("image-{}", image % 20),
        image_gb: 4.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: kind == JobKind::Service,
        spot: false,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn machine_name(machine: usize) -> String {
    format!("n-{machine:06}")
}

/// A record of an active job without any placed task.
fn record(spec: JobSpec, accepted_at: Micros) -> JobRecord {
    JobRecord {
        spec,
        accepted_at,
        stage: JobStage::Active,
        ended_at: Micros::ZERO,
        first_chunk: TaskChunk::default(),
        cleaned: false,
    }
}

/// Running jobs, alternately a service and an array, which leave one slot of each machine free.
fn running_jobs(machines: usize) -> Vec<(String, JobRecord)> {
    let jobs = machines * TASKS_PER_HOST / TASKS_PER_JOB;
    let running_job = |number: usize| {
        let kind = if number.is_multiple_of(2) {
            JobKind::Service
        } else {
            JobKind::Array
        };
        let mut rec = record(spec(kind, number), Micros(number as u64));
        for task in 0..TASKS_PER_JOB {
            // Machines with consecutive numbers are in different zones.
            let machine = machine_name((number * TASKS_PER_JOB + task) % machines);
            rec.first_chunk
                .entries
                .push(TaskEntry::new(task as u32, 1, machine, 1, 1, false));
        }
        (format!("req-{number:06}"), rec)
    };
    (0..jobs).map(running_job).collect()
}

fn machine_types() -> MachineTypes {
    let machine_type = MachineType {
        name: "box".into(),
        cpus: 64.0,
        gpus: SLOTS_PER_HOST as f64,
        memory_gb: 256.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.4,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    };
    MachineTypes {
        types: vec![machine_type],
    }
}

/// The pages in which the store returns all records.
fn record_pages(machines: usize) -> Vec<ItemPage> {
    let mut items: Vec<Item> = running_jobs(machines)
        .into_iter()
        .map(|(id, rec)| (job_key(&id), to_value(&rec)))
        .chain([
            (MACHINE_TYPES_KEY.to_string(), to_value(&machine_types())),
            (BASELINE_MACHINES_KEY.to_string(), to_value(&1u64)),
        ])
        .map(|(key, value)| Item {
            key,
            value,
            version: 1,
        })
        .collect();
    let leader_record = LeaderRecord {
        node: "kernel-0".into(),
        incarnation: 1,
        term: 1,
    };
    items.push(Item {
        key: LEADER_KEY.into(),
        value: to_value(&leader_record),
        version: 2,
    });
    items.sort_by(|one, other| one.key.cmp(&other.key));
    let chunks: Vec<Vec<Item>> = items.chunks(500).map(<[Item]>::to_vec).collect();
    let count = chunks.len();
    let page = |(index, items)| ItemPage {
        items,
        has_more: index + 1 < count,
        revision: 2,
    };
    chunks.into_iter().enumerate().map(page).collect()
}

fn read_records(pages: &[ItemPage]) -> RecordCache {
    let mut cache = RecordCache::default();
    for page in pages {
        cache.apply_listing_page(page.clone());
    }
    assert!(cache.synced);
    cache
}

fn clock() -> Clock {
    Clock {
        now: Micros::millis(100_000),
        wall: Micros::millis(1_000_000),
    }
}

/// The heartbeat of an agent on which all recorded tasks of its machine are running.
fn heartbeat(machine: usize, machines: usize) -> AgentHeartbeat {
    let recorded_tasks = machines * TASKS_PER_HOST / TASKS_PER_JOB * TASKS_PER_JOB;
    let tasks = (0..TASKS_PER_HOST)
        .map(|round| round * machines + machine)
        .filter(|task| *task < recorded_tasks)
        .map(|task| TaskStatus {
            task: format!("req-{:06}/{}", task / TASKS_PER_JOB, task % TASKS_PER_JOB),
            attempt: 1,
            phase: TaskPhase::Running,
            exit_reason: None,
            saved: None,
        });
    AgentHeartbeat {
        machine: machine_name(machine),
        address: "127.0.0.1:9".into(),
        machine_type: "box".into(),
        zone: if machine.is_multiple_of(2) { "a" } else { "b" }.into(),
        spot: false,
        agent_epoch: 1,
        seq: 1,
        term: 1,
        notice_s: None,
        tasks: tasks.collect(),
    }
}

/// A leader that has received heartbeats of all agents. The epochs of the agents for which `is_lost` is true
/// have ended.
fn leading_controller(
    machines: usize,
    pages: &[ItemPage],
    is_lost: impl Fn(usize) -> bool,
) -> Controller {
    let clock = clock();
    let start = Clock {
        now: Micros::millis(1),
        wall: Micros::millis(1),
    };
    let mut controller = Controller::new(settings(), Policy::default(), 1, start);
    controller.cache = read_records(pages);
    let mut leader = LeaderState::new(1, 2, start);
    leader.last_confirmed_read = clock.now;
    for machine in 0..machines {
        let heartbeat = heartbeat(machine, machines);
        let mut agent = Agent::new(&heartbeat);
        agent.update(&heartbeat, clock.now);
        agent.last_answered_at = Some(clock.now);
        if is_lost(machine) {
            agent.ended_epoch = Some(1);
        }
        leader.agents.insert(machine_name(machine), agent);
    }
    controller.leader = Some(leader);
    controller
}

fn scale(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("scale");
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(3));
    for machines in FLEET_SIZES {
        let pages = record_pages(machines);
        group.bench_function(BenchmarkId::new("takeover", machines), |bencher| {
            bencher.iter(|| read_records(&pages).jobs.len());
        });
        let mut controller = leading_controller(machines, &pages, |_| false);
        group.bench_function(BenchmarkId::new("quiet pass", machines), |bencher| {
            bencher.iter(|| controller.run_scheduling_pass(clock()));
        });
        group.bench_function(BenchmarkId::new("pass after a loss", machines), |bencher| {
            bencher.iter_batched(
                || leading_controller(machines, &pages, |machine| machine % 4 < 2),
                |mut controller| {
                    controller.run_scheduling_pass(clock());
                    controller
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

/// Waiting jobs: arrays, gangs that take whole machines, and one service in fifty.
fn waiting_jobs(jobs: usize, tasks: u32) -> impl Iterator<Item = (String, JobRecord)> {
    (0..jobs).map(move |number| {
        let kind = match number % 50 {
            0 => JobKind::Service,
            remainder if remainder % 10 == 1 => JobKind::Gang,
            _ => JobKind::Array,
        };
        let mut spec = spec(kind, number);
        spec.tasks = if kind == JobKind::Array { tasks } else { 2 };
        // Jobs need similar amounts, but not the same.
        spec.cpus = 4.0 + (number * 7 % 30) as f64 / 10.0;
        spec.estimate_s = 30.0 + (number * 31 % 97) as f64;
        if kind == JobKind::Gang {
            spec.gpus = SLOTS_PER_HOST as f64;
            spec.priority = Priority::High;
        }
        let accepted_at = Micros(1_000_000 + number as u64);
        (format!("wait-{number:06}"), record(spec, accepted_at))
    })
}

/// Fills the free slots of all machines with running services of one replica each.
fn fill_machines(controller: &mut Controller, machines: usize) {
    let Some(leader) = &mut controller.leader else {
        return;
    };
    for machine in 0..machines {
        let name = machine_name(machine);
        let Some(agent) = leader.agents.get_mut(&name) else {
            continue;
        };
        for slot in agent.tasks.len()..SLOTS_PER_HOST {
            let id = format!("full-{machine:06}-{slot}");
            let mut rec = record(spec(JobKind::Service, machine), Micros(900_000));
            rec.spec.tasks = 1;
            rec.first_chunk
                .set(TaskEntry::new(0, 1, name.clone(), 1, 1, false));
            controller.cache.put_job(&id, rec, 3);
            agent.tasks.push(ReportedTask {
                job: id,
                task: 0,
                attempt: 1,
                phase: TaskPhase::Running,
                exit_reason: None,
            });
        }
    }
}

/// A leader with a queue of waiting jobs. Its machines are full, or have a free slot each.
fn controller_with_queue(
    machines: usize,
    jobs: usize,
    tasks: u32,
    has_free_slots: bool,
) -> Controller {
    let mut controller = leading_controller(machines, &record_pages(machines), |_| false);
    if !has_free_slots {
        fill_machines(&mut controller, machines);
    }
    for (id, rec) in waiting_jobs(jobs, tasks) {
        controller.cache.put_job(&id, rec, 3);
    }
    controller.cache.take_changed();
    controller
}

fn queues(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(2));
    for machines in [300, 1_250, 5_000] {
        for jobs in [1_000, 10_000, 100_000] {
            for (machine_state, has_free_slots) in [("full", false), ("with room", true)] {
                let controller = controller_with_queue(machines, jobs, 10, has_free_slots);
                let Some(leader) = &controller.leader else {
                    continue;
                };
                let inputs = PassInputs {
                    leader,
                    cache: &controller.cache,
                    settings: &controller.settings,
                    policy: &controller.policy,
                    clock: clock(),
                };
                let mut state = PassState::default();
                let name = format!("{machine_state}, {machines} machines, {jobs} jobs");
                let mut decide = || pass::decide(&inputs, &mut state, None);
                let starts = decide().starts.len();
                assert_eq!(starts > 0, has_free_slots, "{name}: {starts} starts");
                group.bench_function(BenchmarkId::new("kept", &name), |bencher| {
                    bencher.iter(&mut decide);
                });
                // A pass of the reference implementation over the longest queues takes seconds.
                if jobs <= 10_000 && machines < 5_000 {
                    group.bench_function(BenchmarkId::new("plain", &name), |bencher| {
                        bencher.iter(|| plain::decide(&inputs));
                    });
                }
            }
        }
    }
    let pages = record_pages(1_250);
    for jobs in [1_000, 10_000, 100_000] {
        let controller = controller_with_queue(1_250, jobs, 10, true);
        group.bench_function(BenchmarkId::new("kept from records", jobs), |bencher| {
            bencher.iter(|| JobQueue::build(controller.cache.jobs.iter()).queued_count());
        });
        let items: Vec<Item> = waiting_jobs(jobs, 10)
            .map(|(id, rec)| Item {
                key: job_key(&id),
                value: to_value(&rec),
                version: 3,
            })
            .collect();
        group.bench_function(BenchmarkId::new("records read", jobs), |bencher| {
            bencher.iter(|| {
                let mut cache = read_records(&pages);
                for item in &items {
                    cache.put(&item.key, item.value.clone(), item.version);
                }
                cache.jobs.len()
            });
        });
    }
    group.finish();
}

/// Resident memory of the process in bytes.
fn resident_bytes() -> u64 {
    const PAGE_SIZE: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident = statm.split(' ').nth(1);
    let pages = resident.and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_SIZE
}

/// Prints the memory that a waiting job uses in a controller: its record in the cache, and its entries in the
/// queue.
fn memory(_: &mut Criterion) {
    const JOBS: usize = 50_000;
    let before = resident_bytes();
    let mut cache = RecordCache::default();
    for (id, rec) in waiting_jobs(JOBS, 10) {
        cache.put_job(&id, rec, 3);
    }
    cache.take_changed();
    let with_cache = resident_bytes();
    let queue = JobQueue::build(cache.jobs.iter());
    let with_queue = resident_bytes();
    assert_eq!(queue.queued_count(), JOBS);
    let per_job = |bytes: u64| bytes / JOBS as u64;
    println!(
        "memory per waiting job: {} bytes in the cache and {} bytes in the queue",
        per_job(with_cache.saturating_sub(before)),
        per_job(with_queue.saturating_sub(with_cache))
    );
}

criterion_group!(benches, memory, scale, queues);
criterion_main!(benches);
