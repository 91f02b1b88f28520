//! Passes over the queue that is kept decide what a pass decides that looks at every job and every
//! machine anew: the same starts in the same order, the same stops, the same room made.

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
use walnuttrestle::protocol::records::{JobRecord, JobStage, TYPES, TaskChunk, TaskEntry};
use walnuttrestle::protocol::settings::Team;
use walnuttrestle::protocol::{JobKind, JobSpec, Micros, Priority, Settings};
use walnuttrestle::records::record_writer::PendingWrite;
use walnuttrestle::scheduling::pass::{self, PassDecision};
use walnuttrestle::state::agent::Agent;
use walnuttrestle::state::record_cache::RecordCache;

const SETTINGS: &str = include_str!("../examples/settings.toml");

/// A leader's state that changes at random, with what it keeps from pass to pass.
struct Chaos {
    rng: ChaCha8Rng,
    settings: Settings,
    cache: RecordCache,
    leader: LeaderState,
    kept: pass::PassState,
    clock: Clock,
    version: u64,
    seqs: BTreeMap<String, u64>,
    jobs: u32,
    /// Nobody's limit may bind: then what lacks room is compared, too.
    unlimited: bool,
}

fn types() -> MachineTypes {
    let t = |name: &str, cpus: f64, gpus: f64| MachineType {
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
    };
    MachineTypes {
        types: vec![t("big", 64.0, 8.0), t("small", 24.0, 4.0)],
    }
}

impl Chaos {
    fn new(seed: u64) -> Chaos {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut settings = Settings::parse("passes.toml", SETTINGS).expect("settings");
        settings.params.teams.clear();
        let unlimited = rng.random_bool(0.5);
        for name in ["red", "blue"] {
            let limit = |rng: &mut ChaCha8Rng| rng.random_range(10..80) as f64;
            settings.params.teams.push(Team {
                name: name.into(),
                cpus: 0.0,
                cpus_max: 0.0,
                gpus: [0.0, limit(&mut rng)][rng.random_range(0..2)],
                gpus_max: if unlimited { 0.0 } else { limit(&mut rng) },
            });
        }
        let clock = Clock {
            now: Micros::millis(1_000_000),
            wall: Micros::millis(9_000_000),
        };
        let begun = Clock {
            now: Micros::millis(rng.random_range(900_000..1_000_000)),
            ..clock
        };
        let mut leader = LeaderState::new(rng.random_range(1..3), 1, begun);
        leader.strangers_over = rng.random_bool(0.5);
        let mut cache = RecordCache::default();
        cache.put(TYPES, to_value(&types()), 1);
        let mut c = Chaos {
            rng,
            settings,
            cache,
            leader,
            kept: pass::PassState::default(),
            clock,
            version: 1,
            seqs: BTreeMap::new(),
            jobs: 0,
            unlimited,
        };
        for m in 0..c.rng.random_range(1..25) {
            c.report(m);
        }
        for _ in 0..c.rng.random_range(3..60) {
            c.job();
        }
        c
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    fn spec(&mut self) -> JobSpec {
        let rng = &mut self.rng;
        let kind = [
            JobKind::Array,
            JobKind::Array,
            JobKind::Gang,
            JobKind::Service,
        ][rng.random_range(0..4)];
        let priorities = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ];
        JobSpec {
            class: ["c", "d", "e"][rng.random_range(0..3)].into(),
            team: ["red", "blue"][rng.random_range(0..2)].into(),
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
            needs: Vec::new(),
        }
    }

    /// A new job, or another state of one that is there.
    fn job(&mut self) {
        let spec = match self.chance(0.3) && self.jobs > 0 {
            true => {
                let id = format!("req-{}", self.rng.random_range(0..self.jobs));
                match self.cache.jobs.get(&id) {
                    Some(j) => (id, j.rec.spec.clone(), j.rec.at),
                    None => return,
                }
            }
            false => {
                self.jobs += 1;
                let at = Micros::millis(9_000_000 - self.rng.random_range(0..200_000));
                (format!("req-{}", self.jobs - 1), self.spec(), at)
            }
        };
        let (id, spec, at) = spec;
        let mut first = TaskChunk::default();
        let machines: Vec<String> = self.leader.agents.keys().cloned().collect();
        // Most jobs of a long queue have nothing anywhere.
        let placed = self.chance(0.35) && !machines.is_empty();
        for t in 0..spec.tasks.min(48) {
            if placed && self.chance(0.6) {
                let at = self.rng.random_range(0..machines.len() + 1);
                let machine = machines.get(at).cloned().unwrap_or_default();
                let attempt = self.rng.random_range(1..3);
                let agent_epoch = self.rng.random_range(1..3);
                let backfilled = self.chance(0.4);
                first.set(TaskEntry(t, attempt, machine, agent_epoch, 1, backfilled));
            } else if spec.kind != JobKind::Service && self.chance(0.1) {
                first.finish(t);
            }
        }
        let stage = [JobStage::Active, JobStage::Cancelled][usize::from(self.chance(0.05))];
        let rec = JobRecord {
            spec,
            at,
            stage,
            end: self.clock.wall,
            first,
            cleaned: false,
        };
        self.version += 1;
        self.cache.put_job(&id, rec, self.version);
    }

    /// A machine tells of itself; most of what is on record there runs.
    fn report(&mut self, m: u32) {
        let machine = format!("n-{m:03}");
        let rng = &mut self.rng;
        let seq = self.seqs.entry(machine.clone()).or_default();
        *seq += 1;
        let mut tasks = Vec::new();
        for (job, t) in self.cache.placed(&machine) {
            let entry = self.cache.jobs.get(job).and_then(|j| j.entry(*t));
            if rng.random_bool(0.8)
                && let Some(e) = entry
            {
                let phases = [
                    TaskPhase::Running,
                    TaskPhase::Running,
                    TaskPhase::Fetching,
                    TaskPhase::Saving,
                    TaskPhase::Exited,
                ];
                let phase = phases[rng.random_range(0..phases.len())];
                let whys = [
                    ExitReason::Done,
                    ExitReason::Error,
                    ExitReason::Peers,
                    ExitReason::Stopped,
                ];
                tasks.push(TaskStatus {
                    task: format!("{job}/{t}"),
                    attempt: e.attempt(),
                    phase,
                    why: (phase == TaskPhase::Exited).then(|| whys[rng.random_range(0..4)]),
                    saved: None,
                });
            }
        }
        if rng.random_bool(0.03) {
            tasks.push(TaskStatus {
                task: "req-7/0".into(),
                attempt: 9,
                phase: TaskPhase::Running,
                why: None,
                saved: None,
            });
        }
        let report = AgentHeartbeat {
            machine: machine.clone(),
            address: "127.0.0.1:9".into(),
            kind: ["big", "small"][m as usize % 2].into(),
            zone: ["a", "b"][m as usize / 2 % 2].into(),
            spot: m % 5 == 4,
            agent_epoch: 1 + u64::from(*seq > 6),
            seq: *seq,
            term: if rng.random_bool(0.9) {
                self.leader.term
            } else {
                0
            },
            notice_s: rng.random_bool(0.05).then_some(12.0),
            tasks,
        };
        let new = || Agent::new(&report);
        let w = self.leader.agents.entry(machine.clone());
        let w = w.or_insert_with(new);
        w.update(&report, self.clock.now);
        w.answered = Some(self.clock.now);
        self.leader.fleet.met(&machine, &report, self.clock.now);
    }

    /// Something happens.
    fn happens(&mut self) {
        let machines: Vec<String> = self.leader.agents.keys().cloned().collect();
        let jobs: Vec<String> = self.cache.jobs.keys().cloned().collect();
        let any = |rng: &mut ChaCha8Rng, of: &[String]| match of.len() {
            0 => "req-0".to_string(),
            n => of[rng.random_range(0..n)].clone(),
        };
        let (id, machine) = (any(&mut self.rng, &jobs), any(&mut self.rng, &machines));
        let now = self.clock.now;
        match self.rng.random_range(0..9) {
            0..3 => self.job(),
            3 | 4 => {
                let m = self.rng.random_range(0..25);
                self.report(m);
            }
            5 => {
                if let Some(w) = self.leader.agents.get_mut(&machine) {
                    w.ended_epoch = Some(w.agent_epoch);
                }
            }
            6 => {
                let of = self.leader.stopping.entry(id).or_default();
                of.insert(self.rng.random_range(0..5), (1.0, now));
            }
            7 => {
                let trouble = FailureHistory {
                    machines: BTreeMap::from([(machine, now)]),
                    row: self.rng.random_range(1..5),
                    again: Micros::millis(self.rng.random_range(999_000..1_002_000)),
                };
                self.leader.troubles.insert(id, trouble);
            }
            _ => {
                let until = Micros::millis(1_001_000);
                self.leader.reserved.insert(machine, (id, until));
            }
        }
    }

    /// Both ways decide the same.
    fn compare(&mut self, at: &str) -> PassDecision {
        for id in self.cache.take_changed() {
            let job = self.cache.jobs.get(&id);
            self.kept.backlog.update(&id, job);
        }
        let policy = Policy::default();
        let mut lacks = Vec::new();
        let new = pass::decide(
            &self.leader,
            &mut self.kept,
            &self.cache,
            &self.settings,
            &policy,
            self.clock,
            Some(&mut lacks),
        );
        let old = plain::decide(
            &self.leader,
            &self.cache,
            &self.settings,
            &policy,
            self.clock,
        );
        assert_eq!(new.starts, old.starts, "{at}");
        assert_eq!(new.stops, old.stops, "{at}");
        assert_eq!(new.reserved, old.reserved, "{at}");
        assert_eq!(new.b_max, old.b_max, "{at}");
        assert_eq!(new.found.cleans, old.cleans, "{at}");
        assert_eq!(new.found.dones, old.dones, "{at}");
        assert_eq!(new.found.stops, old.ordered_stops, "{at}");
        assert_eq!(new.found.broken, old.broken, "{at}");
        if self.unlimited {
            assert_eq!(lacks, old.lacks, "{at}");
        }
        new
    }

    /// What was decided is on its way to the records, partly.
    fn follow(&mut self, d: PassDecision) {
        let now = self.clock.now;
        self.leader.b_max = d.b_max;
        for (machine, id) in d.reserved {
            let until = Micros::millis(1_001_000);
            self.leader.reserved.insert(machine, (id, until));
        }
        for (id, task) in d.stops {
            let of = self.leader.stopping.entry(id).or_default();
            of.insert(task, (1.0, now));
        }
        for s in d.starts {
            self.leader.started += 1;
            let order = self.leader.order_of.entry(s.job.clone()).or_default();
            order.insert(s.task, self.leader.started);
            let entry = TaskEntry(s.task, 5, s.machine, s.agent_epoch, 1, s.backfilled);
            if self.rng.random_bool(0.5) {
                self.leader
                    .edits
                    .pending_write_mut(&s.job, now)
                    .places
                    .push(entry);
            } else if self.rng.random_bool(0.5) {
                let Some(job) = self.cache.jobs.get(&s.job) else {
                    continue;
                };
                let mut rec = job.rec.clone();
                if s.task < 48 {
                    rec.first.set(entry);
                }
                self.version += 1;
                self.cache.put_job(&s.job, rec, self.version);
            }
        }
        let wanted: Vec<String> = self.leader.edits.jobs().map(str::to_string).collect();
        for id in wanted {
            let places = self
                .leader
                .edits
                .pending_write(&id)
                .map(|e: &PendingWrite| e.places.clone());
            if let Some(places) = places.filter(|p| !p.is_empty())
                && self.rng.random_bool(0.3)
            {
                self.leader
                    .edits
                    .mark_places_in_flight(&id, Vec::new(), places);
            }
        }
    }
}

#[test]
fn passes_over_the_kept_queue_decide_as_plain_ones_do() {
    let mut starts = 0;
    let mut stops = 0;
    for seed in 0..1_200 {
        let mut c = Chaos::new(seed);
        for step in 0..6 {
            let d = c.compare(&format!("seed {seed}, step {step}"));
            starts += d.starts.len();
            stops += d.stops.len();
            c.follow(d);
            for _ in 0..c.rng.random_range(0..8) {
                c.happens();
            }
        }
    }
    // Else the comparison would say nothing.
    assert!(starts > 20_000 && stops > 300, "{starts} {stops}");
}

/// A leader that has kept its queue through ten thousand arrivals and a thousand changes, and one that has
/// just read the records, decide the same.
#[test]
fn a_takeover_with_ten_thousand_jobs_waiting_changes_no_decision() {
    let mut c = Chaos::new(5);
    for n in 0..10_000 {
        c.job();
        if n % 10 == 0 {
            c.happens();
        }
        if n % 2_500 == 0 {
            c.compare(&format!("after {n} jobs"));
        }
    }
    let old = c.compare("the old leader");
    c.kept = pass::PassState::default();
    let new = c.compare("the new leader");
    assert!(old.waiting > 4_000, "{} wait", old.waiting);
    assert_eq!((old.starts, old.stops), (new.starts, new.stops));
}
