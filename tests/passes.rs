//! Scheduling passes over the incrementally updated queue must decide the same as the reference
//! implementation, which inspects every job and every machine in each pass: the same starts in the same
//! order, the same stops and the same reservations.

mod plain;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use walnuttrestle::agents::failure_history::FailureHistory;
use walnuttrestle::agents::leader_state::LeaderState;
use walnuttrestle::policy::Policy;
use walnuttrestle::protocol::Clock;
use walnuttrestle::protocol::agent_api::{AgentHeartbeat, ExitReason, TaskPhase, TaskStatus};
use walnuttrestle::protocol::cloud_api::{MachineType, MachineTypes};
use walnuttrestle::protocol::codec::to_value;
use walnuttrestle::protocol::records::{
    JobRecord, JobStage, MACHINE_TYPES_KEY, TaskChunk, TaskEntry,
};
use walnuttrestle::protocol::settings::Team;
use walnuttrestle::protocol::{JobKind, JobSpec, Micros, Priority, Settings};
use walnuttrestle::records::record_writer::PendingWrite;
use walnuttrestle::scheduling::findings::TaskRef;
use walnuttrestle::scheduling::pass::{
    self, PassDecision, PassInputs, PassState, Reservation, TaskStart,
};
use walnuttrestle::state::agent::Agent;
use walnuttrestle::state::record_cache::RecordCache;

const SETTINGS: &str = include_str!("../examples/settings.toml");

/// Classes of random jobs.
const CLASSES: [&str; 3] = ["c", "d", "e"];
/// Teams of random jobs.
const TEAMS: [&str; 2] = ["red", "blue"];

/// The state of a leader that changes at random, and the `PassState` that it caches between passes.
struct RandomCluster {
    rng: ChaCha8Rng,
    settings: Settings,
    cache: RecordCache,
    leader: LeaderState,
    pass_state: PassState,
    clock: Clock,
    /// Version of the last record.
    version: u64,
    /// By machine: sequence number of its last heartbeat.
    heartbeat_seqs: BTreeMap<String, u64>,
    /// Number of jobs accepted so far.
    job_count: u32,
    /// No team has a limit. The unplaced jobs are compared only in this case.
    is_unlimited: bool,
}

fn machine_type(name: &str, cpus: f64, gpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: 4.0 * cpus,
        cache_gb: 20.0,
        fetch_gb_per_s: 0.4,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn machine_types() -> MachineTypes {
    MachineTypes {
        types: vec![
            machine_type("big", 64.0, 8.0),
            machine_type("small", 24.0, 4.0),
        ],
    }
}

/// Two teams with random guarantees, and with random limits unless `is_unlimited`.
fn random_teams(rng: &mut ChaCha8Rng, is_unlimited: bool) -> Vec<Team> {
    let amount = |rng: &mut ChaCha8Rng| rng.random_range(10..80) as f64;
    let mut teams = Vec::new();
    for name in TEAMS {
        teams.push(Team {
            name: name.into(),
            cpus: 0.0,
            cpus_max: 0.0,
            gpus: [0.0, amount(rng)][rng.random_range(0..2)],
            gpus_max: if is_unlimited { 0.0 } else { amount(rng) },
        });
    }
    teams
}

fn random_spec(rng: &mut ChaCha8Rng) -> JobSpec {
    let kinds = [
        JobKind::Array,
        JobKind::Array,
        JobKind::Gang,
        JobKind::Service,
    ];
    let kind = kinds[rng.random_range(0..4)];
    let priorities = [
        Priority::Low,
        Priority::Normal,
        Priority::High,
        Priority::Production,
    ];
    JobSpec {
        class: CLASSES[rng.random_range(0..3)].into(),
        team: TEAMS[rng.random_range(0..2)].into(),
        kind,
        priority: priorities[rng.random_range(0..4)],
        tasks: match kind {
            JobKind::Array if rng.random_bool(0.1) => rng.random_range(128..400),
            JobKind::Array => rng.random_range(1..70),
            _ => rng.random_range(1..9),
        },
        cpus: rng.random_range(1..12) as f64 * 0.7,
        gpus: [0.0, 1.0, 1.0, 4.0, 8.0][rng.random_range(0..5)],
        memory_gb: rng.random_range(1..40) as f64,
        image: format!("img-{}", rng.random_range(0..6)),
        image_gb: rng.random_range(1..12) as f64,
        types: rng.random_bool(0.1).then(|| vec!["small".into()]),
        zone: rng.random_bool(0.1).then(|| "b".into()),
        one_zone: rng.random_bool(0.3),
        spread: rng.random_bool(0.2),
        spot: rng.random_bool(0.5),
        estimate_s: rng.random_range(1..12) as f64,
        checkpoint_s: [0.0, 20.0][rng.random_range(0..2)],
        save_s: rng.random_range(0..4) as f64,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// The status of a recorded attempt, in a random phase.
fn random_status(rng: &mut ChaCha8Rng, job: &str, entry: &TaskEntry) -> TaskStatus {
    let phases = [
        TaskPhase::Running,
        TaskPhase::Running,
        TaskPhase::Fetching,
        TaskPhase::Saving,
        TaskPhase::Exited,
    ];
    let phase = phases[rng.random_range(0..phases.len())];
    let reasons = [
        ExitReason::Done,
        ExitReason::Error,
        ExitReason::GangMemberGone,
        ExitReason::Stopped,
    ];
    let is_exited = phase == TaskPhase::Exited;
    TaskStatus {
        task: format!("{job}/{}", entry.task()),
        attempt: entry.attempt(),
        phase,
        exit_reason: is_exited.then(|| reasons[rng.random_range(0..4)]),
        saved: None,
    }
}

fn choose(rng: &mut ChaCha8Rng, names: &[String]) -> String {
    match names.len() {
        0 => "req-0".to_string(),
        count => names[rng.random_range(0..count)].clone(),
    }
}

impl RandomCluster {
    fn new(seed: u64) -> RandomCluster {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut settings = Settings::parse("passes.toml", SETTINGS).expect("settings");
        let is_unlimited = rng.random_bool(0.5);
        settings.params.teams = random_teams(&mut rng, is_unlimited);
        let clock = Clock {
            now: Micros::millis(1_000_000),
            wall: Micros::millis(9_000_000),
        };
        let elected_at = Clock {
            now: Micros::millis(rng.random_range(900_000..1_000_000)),
            ..clock
        };
        let mut leader = LeaderState::new(rng.random_range(1..3), 1, elected_at);
        leader.unseen_agent_leases_expired = rng.random_bool(0.5);
        let mut cache = RecordCache::default();
        cache.put(MACHINE_TYPES_KEY, to_value(&machine_types()), 1);
        let mut cluster = RandomCluster {
            rng,
            settings,
            cache,
            leader,
            pass_state: PassState::default(),
            clock,
            version: 1,
            heartbeat_seqs: BTreeMap::new(),
            job_count: 0,
            is_unlimited,
        };
        for machine in 0..cluster.rng.random_range(1..25) {
            cluster.add_heartbeat(machine);
        }
        for _ in 0..cluster.rng.random_range(3..60) {
            cluster.put_random_job();
        }
        cluster
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// Records a new job, or a new state of an existing one.
    fn put_random_job(&mut self) {
        let updates_existing = self.chance(0.3) && self.job_count > 0;
        let (id, spec, accepted_at) = if updates_existing {
            let id = format!("req-{}", self.rng.random_range(0..self.job_count));
            let Some(job) = self.cache.jobs.get(&id) else {
                return;
            };
            (id, job.record.spec.clone(), job.record.accepted_at)
        } else {
            let id = format!("req-{}", self.job_count);
            self.job_count += 1;
            let accepted_at = Micros::millis(9_000_000 - self.rng.random_range(0..200_000));
            (id, random_spec(&mut self.rng), accepted_at)
        };
        let first = self.random_chunk(&spec);
        let is_cancelled = self.chance(0.05);
        let rec = JobRecord {
            spec,
            accepted_at,
            stage: [JobStage::Active, JobStage::Cancelled][usize::from(is_cancelled)],
            ended_at: self.clock.wall,
            first_chunk: first,
            cleaned: false,
        };
        self.version += 1;
        self.cache.put_job(&id, rec, self.version);
    }

    /// Random states of a job's first tasks. Most jobs of a long queue have no placed task.
    fn random_chunk(&mut self, spec: &JobSpec) -> TaskChunk {
        let mut chunk = TaskChunk::default();
        let machines: Vec<String> = self.leader.agents.keys().cloned().collect();
        let is_placed = self.chance(0.35) && !machines.is_empty();
        for task in 0..spec.tasks.min(48) {
            if is_placed && self.chance(0.6) {
                let index = self.rng.random_range(0..machines.len() + 1);
                let machine = machines.get(index).cloned().unwrap_or_default();
                let attempt = self.rng.random_range(1..3);
                let agent_epoch = self.rng.random_range(1..3);
                let backfilled = self.chance(0.4);
                chunk.set(TaskEntry::new(
                    task,
                    attempt,
                    machine,
                    agent_epoch,
                    1,
                    backfilled,
                ));
            } else if spec.kind != JobKind::Service && self.chance(0.1) {
                chunk.finish(task);
            }
        }
        chunk
    }

    /// A heartbeat of an agent, which reports most of the tasks that are recorded on its machine.
    fn add_heartbeat(&mut self, machine_number: u32) {
        let machine = format!("n-{machine_number:03}");
        let rng = &mut self.rng;
        let seq = self.heartbeat_seqs.entry(machine.clone()).or_default();
        *seq += 1;
        let mut tasks = Vec::new();
        for (job, task) in self.cache.tasks_placed_on(&machine) {
            let entry = self.cache.jobs.get(job).and_then(|job| job.entry(*task));
            if rng.random_bool(0.8)
                && let Some(entry) = entry
            {
                tasks.push(random_status(rng, job, entry));
            }
        }
        if rng.random_bool(0.03) {
            tasks.push(TaskStatus {
                task: "req-7/0".into(),
                attempt: 9,
                phase: TaskPhase::Running,
                exit_reason: None,
                saved: None,
            });
        }
        let has_current_term = rng.random_bool(0.9);
        let heartbeat = AgentHeartbeat {
            machine: machine.clone(),
            address: "127.0.0.1:9".into(),
            machine_type: ["big", "small"][machine_number as usize % 2].into(),
            zone: ["a", "b"][machine_number as usize / 2 % 2].into(),
            spot: machine_number % 5 == 4,
            agent_epoch: 1 + u64::from(*seq > 6),
            seq: *seq,
            term: if has_current_term {
                self.leader.term
            } else {
                0
            },
            notice_s: rng.random_bool(0.05).then_some(12.0),
            tasks,
        };
        let now = self.clock.now;
        let agents = &mut self.leader.agents;
        let agent = agents
            .entry(machine.clone())
            .or_insert_with(|| Agent::new(&heartbeat));
        agent.update(&heartbeat, now);
        agent.last_answered_at = Some(now);
        self.leader
            .inventory
            .record_heartbeat(&machine, &heartbeat, now);
    }

    /// Applies a random change to a job, to an agent, or to the leader's state of a job.
    fn change(&mut self) {
        let machines: Vec<String> = self.leader.agents.keys().cloned().collect();
        let jobs: Vec<String> = self.cache.jobs.keys().cloned().collect();
        let id = choose(&mut self.rng, &jobs);
        let machine = choose(&mut self.rng, &machines);
        let now = self.clock.now;
        match self.rng.random_range(0..9) {
            0..3 => self.put_random_job(),
            3 | 4 => {
                let machine_number = self.rng.random_range(0..25);
                self.add_heartbeat(machine_number);
            }
            5 => {
                if let Some(agent) = self.leader.agents.get_mut(&machine) {
                    agent.ended_epoch = Some(agent.agent_epoch);
                }
            }
            6 => {
                let task = self.rng.random_range(0..5);
                let stops = self.leader.stopping.entry(id).or_default();
                stops.insert(task, (1.0, now));
            }
            7 => {
                let failures = FailureHistory {
                    machines: BTreeMap::from([(machine, now)]),
                    failed_machines: self.rng.random_range(1..5),
                    retry_at: Micros::millis(self.rng.random_range(999_000..1_002_000)),
                };
                self.leader.failure_histories.insert(id, failures);
            }
            _ => self.reserve(machine, id),
        }
    }

    fn reserve(&mut self, machine: String, job: String) {
        let until = Micros::millis(1_001_000);
        self.leader.reserved.insert(machine, (job, until));
    }

    /// Runs a pass, and asserts that the reference implementation decides the same.
    fn compare_with_reference(&mut self, step: &str) -> PassDecision {
        for id in self.cache.take_changed() {
            let job = self.cache.jobs.get(&id);
            self.pass_state.job_queue.update(&id, job);
        }
        let policy = Policy::default();
        let inputs = PassInputs {
            leader: &self.leader,
            cache: &self.cache,
            settings: &self.settings,
            policy: &policy,
            clock: self.clock,
        };
        let mut unplaced = Vec::new();
        let actual = pass::decide(&inputs, &mut self.pass_state, Some(&mut unplaced));
        let expected = plain::decide(&inputs);
        let findings = &actual.findings;
        assert_eq!(actual.starts, expected.starts, "{step}: starts");
        assert_eq!(
            actual.preemptions, expected.preemptions,
            "{step}: preemptions"
        );
        assert_eq!(
            actual.reservations, expected.reservations,
            "{step}: reservations"
        );
        assert_eq!(
            actual.largest_demand, expected.largest_demand,
            "{step}: largest demand"
        );
        assert_eq!(
            findings.cleanable_jobs, expected.cleanable_jobs,
            "{step}: cleanable jobs"
        );
        assert_eq!(
            findings.done_tasks, expected.done_tasks,
            "{step}: done tasks"
        );
        assert_eq!(findings.stops, expected.stops, "{step}: stops");
        assert_eq!(
            findings.incomplete_gangs, expected.incomplete_gangs,
            "{step}: incomplete gangs"
        );
        if self.is_unlimited {
            assert_eq!(unplaced, expected.unplaced, "{step}: unplaced jobs");
        }
        actual
    }

    /// Applies a decision. Of its starts, some are recorded, some are being written, and some are dropped.
    fn apply(&mut self, decision: PassDecision) {
        let now = self.clock.now;
        self.leader.max_demand = decision.largest_demand;
        for Reservation { machine, job } in decision.reservations {
            self.reserve(machine, job);
        }
        for TaskRef { job, task } in decision.preemptions {
            let stops = self.leader.stopping.entry(job).or_default();
            stops.insert(task, (1.0, now));
        }
        for start in decision.starts {
            self.apply_start(start);
        }
        let jobs_with_pending_writes: Vec<String> = self
            .leader
            .record_writer
            .jobs()
            .map(str::to_string)
            .collect();
        for id in jobs_with_pending_writes {
            let placements = self
                .leader
                .record_writer
                .pending_write(&id)
                .map(|write: &PendingWrite| write.placements.clone());
            if let Some(placements) = placements.filter(|placements| !placements.is_empty())
                && self.rng.random_bool(0.3)
            {
                self.leader
                    .record_writer
                    .mark_placements_in_flight(&id, Vec::new(), placements);
            }
        }
    }

    fn apply_start(&mut self, start: TaskStart) {
        let now = self.clock.now;
        self.leader.start_count += 1;
        let order = self
            .leader
            .start_order
            .entry(start.job.clone())
            .or_default();
        order.insert(start.task, self.leader.start_count);
        let entry = TaskEntry::new(
            start.task,
            5,
            start.machine,
            start.agent_epoch,
            1,
            start.backfilled,
        );
        if self.rng.random_bool(0.5) {
            self.leader
                .record_writer
                .pending_write_mut(&start.job, now)
                .placements
                .push(entry);
        } else if self.rng.random_bool(0.5) {
            let Some(job) = self.cache.jobs.get(&start.job) else {
                return;
            };
            let mut rec = job.record.clone();
            if start.task < 48 {
                rec.first_chunk.set(entry);
            }
            self.version += 1;
            self.cache.put_job(&start.job, rec, self.version);
        }
    }
}

#[test]
fn passes_over_the_incremental_queue_decide_as_the_reference_does() {
    let mut starts = 0;
    let mut preemptions = 0;
    for seed in 0..1_200 {
        let mut cluster = RandomCluster::new(seed);
        for step in 0..6 {
            let decision = cluster.compare_with_reference(&format!("seed {seed}, step {step}"));
            starts += decision.starts.len();
            preemptions += decision.preemptions.len();
            cluster.apply(decision);
            for _ in 0..cluster.rng.random_range(0..8) {
                cluster.change();
            }
        }
    }
    // The comparison shows little unless the passes make many decisions.
    assert!(
        starts > 20_000 && preemptions > 300,
        "only {starts} starts and {preemptions} preemptions were compared"
    );
}

/// A leader that has updated its queue incrementally for ten thousand jobs and a thousand changes must decide
/// the same as a leader that has just built its queue from the records.
#[test]
fn a_takeover_with_ten_thousand_jobs_waiting_changes_no_decision() {
    let mut cluster = RandomCluster::new(5);
    for job in 0..10_000 {
        cluster.put_random_job();
        if job % 10 == 0 {
            cluster.change();
        }
        if job % 2_500 == 0 {
            cluster.compare_with_reference(&format!("after {job} jobs"));
        }
    }
    let old = cluster.compare_with_reference("the old leader");
    cluster.pass_state = PassState::default();
    let new = cluster.compare_with_reference("the new leader");
    assert!(
        old.waiting_jobs > 4_000,
        "only {} jobs wait, expected more than 4,000",
        old.waiting_jobs
    );
    assert_eq!(
        (old.starts, old.preemptions),
        (new.starts, new.preemptions),
        "starts and preemptions of the old leader and of the new one"
    );
}
