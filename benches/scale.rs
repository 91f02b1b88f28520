//! What a leader's work costs as the fleet and the queue grow: a pass, the reading of all records at a
//! takeover, the pass after half the machines are lost, and passes while thousands of jobs wait, beside
//! the plain pass of before. `cargo bench --bench scale -- FILTER`; figures in `docs/measured/limits.md`.

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
    BASE, JobRecord, JobStage, LEAD, LeaderRecord, TYPES, TaskChunk, TaskEntry, job_key,
};
use walnuttrestle::protocol::{JobKind, JobSpec, Micros, Priority, Settings};
use walnuttrestle::scheduling::job_queue::JobQueue;
use walnuttrestle::scheduling::pass;
use walnuttrestle::state::agent::{Agent, ReportedTask};
use walnuttrestle::state::record_cache::RecordCache;

const FLEETS: [usize; 3] = [300, 1_200, 5_000];
/// Tasks of one job, and places of one machine.
const TASKS: usize = 4;
const PLACES: usize = 8;

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
        tasks: TASKS as u32,
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
        needs: Vec::new(),
    }
}

fn name(machine: usize) -> String {
    format!("n-{machine:06}")
}

/// Seven of eight places of each machine are taken by tasks of jobs of four, in turns of a service and
/// an array, spread over the machines.
fn records(machines: usize) -> Vec<(String, JobRecord)> {
    let jobs = machines * (PLACES - 1) / TASKS;
    let job = |j: usize| {
        let kind = if j.is_multiple_of(2) {
            JobKind::Service
        } else {
            JobKind::Array
        };
        let entries = (0..TASKS)
            .map(|t| {
                // Neighbours in number are in different zones.
                let m = (j * TASKS + t) % machines;
                TaskEntry(t as u32, 1, name(m), 1, 1, false)
            })
            .collect();
        let rec = JobRecord {
            spec: spec(kind, j),
            at: Micros(j as u64),
            stage: JobStage::Active,
            end: Micros::ZERO,
            first: TaskChunk { entries, done: 0 },
            cleaned: false,
        };
        (format!("req-{j:06}"), rec)
    };
    (0..jobs).map(job).collect()
}

fn types() -> MachineTypes {
    let t = MachineType {
        name: "box".into(),
        cpus: 64.0,
        gpus: PLACES as f64,
        memory_gb: 256.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.4,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    };
    MachineTypes { types: vec![t] }
}

fn pages(machines: usize) -> Vec<ItemPage> {
    let mut items: Vec<Item> = records(machines)
        .into_iter()
        .map(|(id, rec)| (job_key(&id), to_value(&rec)))
        .chain([
            (TYPES.to_string(), to_value(&types())),
            (BASE.to_string(), to_value(&1u64)),
        ])
        .map(|(key, value)| Item {
            key,
            value,
            version: 1,
        })
        .collect();
    let lead = LeaderRecord {
        node: "kernel-0".into(),
        incarnation: 1,
        term: 1,
    };
    items.push(Item {
        key: LEAD.into(),
        value: to_value(&lead),
        version: 2,
    });
    items.sort_by(|a, b| a.key.cmp(&b.key));
    let chunks: Vec<Vec<Item>> = items.chunks(500).map(<[Item]>::to_vec).collect();
    let n = chunks.len();
    let page = |(i, items)| ItemPage {
        items,
        more: i + 1 < n,
        revision: 2,
    };
    chunks.into_iter().enumerate().map(page).collect()
}

fn read(pages: &[ItemPage]) -> RecordCache {
    let mut cache = RecordCache::default();
    for p in pages {
        cache.apply_page(p.clone());
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

/// A leader that has met all machines; those for which `dead` holds are proven gone.
fn leading(machines: usize, pages: &[ItemPage], dead: impl Fn(usize) -> bool) -> Controller {
    let clock = clock();
    let start = Clock {
        now: Micros::millis(1),
        wall: Micros::millis(1),
    };
    let mut node = Controller::new(settings(), Policy::default(), 1, start);
    node.cache = read(pages);
    let mut leader = LeaderState::new(1, 2, start);
    leader.last_confirmed_read = clock.now;
    for m in 0..machines {
        let on = (0..PLACES - 1).filter_map(|k| {
            let at = k * machines + m;
            (at < machines * (PLACES - 1) / TASKS * TASKS).then_some(at)
        });
        let tasks = on.map(|at| TaskStatus {
            task: format!("req-{:06}/{}", at / TASKS, at % TASKS),
            attempt: 1,
            phase: TaskPhase::Running,
            why: None,
            saved: None,
        });
        let report = AgentHeartbeat {
            machine: name(m),
            address: "127.0.0.1:9".into(),
            kind: "box".into(),
            zone: if m.is_multiple_of(2) { "a" } else { "b" }.into(),
            spot: false,
            agent_epoch: 1,
            seq: 1,
            term: 1,
            notice_s: None,
            tasks: tasks.collect(),
        };
        let mut agent = Agent::new(&report);
        agent.update(&report, clock.now);
        agent.answered = Some(clock.now);
        if dead(m) {
            agent.ended_epoch = Some(1);
        }
        leader.agents.insert(name(m), agent);
    }
    node.leader = Some(leader);
    node
}

fn scale(c: &mut Criterion) {
    let mut group = c.benchmark_group("scale");
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(3));
    for machines in FLEETS {
        let pages = pages(machines);
        group.bench_function(BenchmarkId::new("takeover", machines), |b| {
            b.iter(|| read(&pages).jobs.len());
        });
        let mut node = leading(machines, &pages, |_| false);
        group.bench_function(BenchmarkId::new("quiet pass", machines), |b| {
            b.iter(|| node.pass(clock()));
        });
        group.bench_function(BenchmarkId::new("pass after a loss", machines), |b| {
            b.iter_batched(
                || leading(machines, &pages, |m| m % 4 < 2),
                |mut node| {
                    node.pass(clock());
                    node
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

/// Jobs that wait: arrays of some 15 tasks, gangs of whole machines, and one service in fifty.
fn waiting(jobs: usize, tasks: u32) -> impl Iterator<Item = (String, JobRecord)> {
    (0..jobs).map(move |j| {
        let kind = match j % 50 {
            0 => JobKind::Service,
            n if n % 10 == 1 => JobKind::Gang,
            _ => JobKind::Array,
        };
        let mut spec = spec(kind, j);
        spec.tasks = if kind == JobKind::Array { tasks } else { 2 };
        // Owners ask for about as much, not the same.
        spec.cpus = 4.0 + (j * 7 % 30) as f64 / 10.0;
        spec.estimate_s = 30.0 + (j * 31 % 97) as f64;
        if kind == JobKind::Gang {
            spec.gpus = PLACES as f64;
            spec.priority = Priority::High;
        }
        let rec = JobRecord {
            spec,
            at: Micros(1_000_000 + j as u64),
            stage: JobStage::Active,
            end: Micros::ZERO,
            first: TaskChunk::default(),
            cleaned: false,
        };
        (format!("wait-{j:06}"), rec)
    })
}

/// A leader of a fleet, the last `open` places of which are free on each machine, and a queue.
fn queued(machines: usize, jobs: usize, tasks: u32, open: usize) -> Controller {
    let mut node = leading(machines, &pages(machines), |_| false);
    if open == 0 {
        // What is left of each machine is taken, too.
        for m in 0..machines {
            let Some(l) = &mut node.leader else { break };
            let Some(w) = l.agents.get_mut(&name(m)) else {
                continue;
            };
            for k in w.tasks.len()..PLACES {
                let id = format!("full-{m:06}-{k}");
                let mut rec = JobRecord {
                    spec: spec(JobKind::Service, m),
                    at: Micros(900_000),
                    stage: JobStage::Active,
                    end: Micros::ZERO,
                    first: TaskChunk::default(),
                    cleaned: false,
                };
                rec.spec.tasks = 1;
                rec.first.set(TaskEntry(0, 1, name(m), 1, 1, false));
                node.cache.put_job(&id, rec, 3);
                w.tasks.push(ReportedTask {
                    job: id,
                    task: 0,
                    attempt: 1,
                    phase: TaskPhase::Running,
                    why: None,
                });
            }
        }
    }
    for (id, rec) in waiting(jobs, tasks) {
        node.cache.put_job(&id, rec, 3);
    }
    node.cache.take_changed();
    node
}

fn queues(c: &mut Criterion) {
    let mut group = c.benchmark_group("queue");
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(2));
    for machines in [300, 1_250, 5_000] {
        for (jobs, tasks) in [(1_000, 10), (10_000, 10), (100_000, 10)] {
            for (what, open) in [("full", 0), ("with room", 1)] {
                let node = queued(machines, jobs, tasks, open);
                let Some(l) = &node.leader else { continue };
                let mut kept = pass::PassState::default();
                let at = format!("{what}, {machines} machines, {jobs} jobs");
                let now = clock();
                let mut new = || {
                    let (m, s, p) = (&node.cache, &node.settings, &node.policy);
                    pass::decide(l, &mut kept, m, s, p, now, None)
                };
                let starts = new().starts.len();
                assert_eq!(starts > 0, open > 0, "{at}: {starts} starts");
                group.bench_function(BenchmarkId::new("kept", &at), |b| b.iter(&mut new));
                // A plain pass over the longest queues takes seconds.
                if jobs <= 10_000 && machines < 5_000 {
                    group.bench_function(BenchmarkId::new("plain", &at), |b| {
                        b.iter(|| {
                            let (m, s, p) = (&node.cache, &node.settings, &node.policy);
                            plain::decide(l, m, s, p, now)
                        })
                    });
                }
            }
        }
    }
    let all: Vec<ItemPage> = pages(1_250);
    for jobs in [1_000, 10_000, 100_000] {
        let node = queued(1_250, jobs, 10, 1);
        group.bench_function(BenchmarkId::new("kept from records", jobs), |b| {
            b.iter(|| JobQueue::build(node.cache.jobs.iter()).queued());
        });
        let items: Vec<Item> = waiting(jobs, 10)
            .map(|(id, rec)| Item {
                key: job_key(&id),
                value: to_value(&rec),
                version: 3,
            })
            .collect();
        group.bench_function(BenchmarkId::new("records read", jobs), |b| {
            b.iter(|| {
                let mut cache = read(&all);
                for i in &items {
                    cache.put(&i.key, i.value.clone(), i.version);
                }
                cache.jobs.len()
            });
        });
    }
    group.finish();
}

/// What a waiting job takes of a controller's memory: its record in the copy, its row and its places in
/// the queue's orders. Told, not timed.
fn memory(_: &mut Criterion) {
    let resident = || {
        let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
        let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
        pages.unwrap_or(0) * 4096
    };
    const JOBS: usize = 50_000;
    let before = resident();
    let mut cache = RecordCache::default();
    for (id, rec) in waiting(JOBS, 10) {
        cache.put_job(&id, rec, 3);
    }
    cache.take_changed();
    let copy = resident();
    let backlog = JobQueue::build(cache.jobs.iter());
    let both = resident();
    assert_eq!(backlog.queued(), JOBS);
    let each = |bytes: u64| bytes / JOBS as u64;
    println!(
        "memory: {} bytes a waiting job in the copy, {} more in the queue",
        each(copy.saturating_sub(before)),
        each(both.saturating_sub(copy))
    );
}

criterion_group!(benches, memory, scale, queues);
criterion_main!(benches);
