//! A seeded world in memory: controllers, state service, cloud, agents, users and the network
//! peer_duplication them, on one simulated clock, with a checker that knows nothing of the scheduler.

#![allow(dead_code)]

mod agent_behavior;
mod client_probes;
mod clients;
pub mod fake_agent;
pub mod fake_store;
pub mod fault_injection;
pub mod first_version;
mod inspection;
mod invariants;
mod load_balancer;
mod network;
mod starvation;
mod trace;
mod violation_injection;

use fake_agent::{FakeAgent, FakeTask};
use fake_store::{FakeStore, StoreLimits};
use fault_injection::{DroppedDelivery, FaultInjection};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use walnuttrestle::controller::Controller;
use walnuttrestle::policy::Policy;
use walnuttrestle::protocol::Clock;
use walnuttrestle::protocol::agent_api::*;
use walnuttrestle::protocol::client_api::*;
use walnuttrestle::protocol::cloud_api::*;
use walnuttrestle::protocol::codec::*;
use walnuttrestle::protocol::key_value_api::*;
use walnuttrestle::protocol::settings::NextStateParams;
use walnuttrestle::protocol::{JobKind, JobSpec, Micros, Settings};
use walnuttrestle::transport::{Call, NetworkCommand, NetworkEvent, Outcome};

pub const SECOND: u64 = 1_000_000;
pub const CANCEL_DEADLINE_S: u64 = 30;
pub const LEASE_S: u64 = 10;
const GANG_PEER_TIMEOUT_S: u64 = 5;
const IMAGE_FETCH_TIME: u64 = 2 * SECOND;
const MACHINE_BOOT_TIME: u64 = 5 * SECOND;

/// Who talks over the network.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Endpoint {
    Controller(usize),
    Store,
    Cloud,
    Agent(String),
}

enum Event {
    Wake(usize, u64),
    /// A node's call arrives where it was sent.
    Arrive(usize, u64, u64, Call),
    /// The answer to a node's call arrives.
    Return(usize, u64, u64, Outcome),
    Timeout(usize, u64, u64),
    Restart(usize),
    /// An agent's report arrives at a node; the number names the report.
    AgentHeartbeat(String, usize, u64, Vec<u8>),
    AgentHeartbeatResponse(String, u64, u16, Vec<u8>),
    Tick,
    Do(Box<dyn FnOnce(&mut Simulation)>),
}

struct ControllerSlot {
    node: Option<Controller>,
    run: u64,
    wake: u64,
    /// Runs the first version.
    old: bool,
    /// Stands still until then; what comes meanwhile waits.
    frozen: u64,
    held: Vec<NetworkEvent>,
}

/// How a cut treats what is sent partition_between it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PartitionMode {
    /// Held back and delivered when the cut ends.
    Delay,
    /// Never sent.
    Drop,
}

#[derive(Debug, Clone)]
pub struct JobGroundTruth {
    pub spec: JobSpec,
    pub run: u64,
    /// Each task runs for so much longer than the one dependencies.
    pub apart: u64,
    pub done: BTreeSet<u32>,
    pub accepted: bool,
    pub cancel_requested: bool,
    pub cancellation_seen_at: Option<u64>,
    pub completion_seen_at: Option<u64>,
    pub submitted: bool,
}

enum PendingResponse {
    /// A user's request about a job, and when it was asked.
    Submit(String, u64),
    Poll(String, u64),
    Cancel(String, u64),
    Health,
    /// Something that must be refused: what, and with which status.
    Odd(&'static str, u16),
    AgentHeartbeat(String, u64),
    Peer(usize, u64, u64, bool),
}

/// A task was on a machine with its image.
#[derive(Debug, Clone)]
pub struct TaskStart {
    pub at: u64,
    pub task: String,
    pub machine: String,
}

/// Calls made by controllers.
#[derive(Debug, Default, Clone, Copy)]
pub struct CallCounts {
    pub store_requests: usize,
    pub store_changes: usize,
    pub agent_commands: usize,
}

pub struct Simulation {
    pub now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    controllers: Vec<ControllerSlot>,
    pub store: FakeStore,
    watchers: BTreeMap<u64, (usize, u64, u64)>,
    pub agents: BTreeMap<String, FakeAgent>,
    booting: Vec<(u64, String, String, bool)>,
    pub cloud_unavailable: bool,
    pub failed_machines: BTreeSet<String>,
    rented: BTreeMap<String, Vec<String>>,
    rented_at: BTreeMap<String, u64>,
    machine_count: u64,
    pub deleted_machines: BTreeSet<String>,
    open: BTreeMap<(usize, u64, u64), ()>,
    cuts: Vec<(Endpoint, Endpoint, PartitionMode, u64)>,
    pub lost_answers_from: Vec<(Endpoint, u64)>,
    write_rps: f64,
    /// StoreLimits that the settings announce for later.
    next: Option<StoreLimits>,
    /// What the controllers have asked of others since this was last reset.
    pub call_counts: CallCounts,
    /// Controllers pledge, as the operators' policy may ask.
    pub pledges: bool,
    /// The cloud has no machine to rent.
    pub no_capacity: bool,
    /// Jobs submitted with a mistake: their tasks fail on every machine.
    pub failing_jobs: BTreeSet<String>,
    pub command_delay: Option<u64>,
    /// The state service takes this much longer to answer.
    pub store_delay: u64,
    /// Watches of these controllers are answered this much later; other requests are not.
    pub watch_delays: BTreeMap<usize, u64>,
    conns: BTreeMap<(usize, u64), PendingResponse>,
    pub jobs: BTreeMap<String, JobGroundTruth>,
    pub client_answers: Vec<(u64, String, u16, String)>,
    pub rng: ChaCha8Rng,
    pub start_counts: BTreeMap<String, u32>,
    /// When tasks were there with their images, one after the other.
    pub task_starts: Vec<TaskStart>,
    pub limits: BTreeMap<String, f64>,
    /// Final states that users were told, and when.
    final_statuses: BTreeMap<String, (String, u64)>,
    pub violation: Option<String>,
    load_balancer: load_balancer::LoadBalancer,
    /// How many tasks have failed on machines that are gone.
    failed_task_total: u32,
    /// How long a lease lasts, in seconds.
    pub lease_s: u64,
    /// The last answer to a health check.
    health: u16,
    /// FaultInjection beyond cuts.
    pub faults: FaultInjection,
    /// How long a machine takes to come up.
    pub machine_boot_time: u64,
    /// Since when jobs have waited though there is room.
    pub starvation: starvation::StarvationChecker,
    /// Digest of what the controllers send.
    trace: trace::Trace,
}

pub fn settings(i: usize, nodes: usize) -> Settings {
    let zone = |i: usize| if i.is_multiple_of(2) { "a" } else { "b" };
    let peers: String = (0..nodes)
        .filter(|j| *j != i)
        .map(|j| {
            format!(
                "[[siblings]]\nmember=\"kernel-{j}\"\nzone=\"{}\"\naddress=\"10.0.0.{}:8081\"\n",
                zone(j),
                j + 1
            )
        })
        .collect();
    let text = format!(
        r#"member="kernel-{i}"
zone="{}"
serve_on="10.0.0.{n}:8080"
internal_addr="10.0.0.{n}:8081"
{peers}
[external]
cloud="10.2.0.2:8443"
state="10.2.0.1:2379"
[params]
zones=["a","b"]
clock_off_ms=20.0
[[params.teams]]
name="red"
gpus_max=12.0
[[params.teams]]
name="blue"
[[params.teams]]
name="green"
gpus=8.0
[params.workers]
report_s=2.0
lease_s={LEASE_S}.0
gang_wait_s=30.0
gang_peer_s={GANG_PEER_TIMEOUT_S}.0
cancel_s={CANCEL_DEADLINE_S}.0
[params.state]
rps=200.0
write_rps=60.0
value_kb=8.0
txn_ops=8
[params.cloud]
rps=8.0
list_lag_s=2.0
[params.limits]
core_share=0.5
mem_mb=100.0
sockets=500
"#,
        zone(i),
        n = i + 1
    );
    Settings::parse("test.toml", &text).expect("settings")
}

/// A world in which somebody leads.
///
/// `LOG_LEVEL=debug cargo test -- --nocapture NAME` shows what the controllers log.
pub fn simulation_with_leader(seed: u64, machines: usize) -> Simulation {
    let _ = env_logger::Builder::from_env(env_logger::Env::default().filter("LOG_LEVEL"))
        .is_test(true)
        .try_init();
    let mut w = Simulation::new(seed, 3, machines);
    w.run_seconds(8);
    assert!(w.leader().is_some(), "nobody leads");
    w
}

pub fn job(kind: JobKind, tasks: u32, gpus: f64) -> JobSpec {
    JobSpec {
        class: "c".into(),
        team: "blue".into(),
        kind,
        priority: walnuttrestle::protocol::Priority::Normal,
        tasks,
        cpus: gpus,
        gpus,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: kind == JobKind::Gang,
        spread: false,
        spot: false,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        needs: Vec::new(),
    }
}

/// The same job, waiting for others.
pub fn after(needs: &[&str], spec: JobSpec) -> JobSpec {
    JobSpec {
        needs: needs.iter().map(|n| n.to_string()).collect(),
        ..spec
    }
}

impl Simulation {
    pub fn new(seed: u64, nodes: usize, machines: usize) -> Simulation {
        Simulation::with_write_rate(seed, nodes, machines, 60.0)
    }

    /// A world whose state service takes so many changes a second.
    pub fn with_write_rate(seed: u64, nodes: usize, machines: usize, write_rps: f64) -> Simulation {
        Simulation::with_store_limits(seed, nodes, machines, write_rps, None)
    }

    /// A world whose settings announce other limits of the state service.
    pub fn with_store_limits(
        seed: u64,
        nodes: usize,
        machines: usize,
        write_rps: f64,
        next: Option<StoreLimits>,
    ) -> Simulation {
        let mut w = Simulation {
            write_rps,
            next,
            call_counts: CallCounts::default(),
            pledges: false,
            no_capacity: false,
            failing_jobs: BTreeSet::new(),
            now: SECOND,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            controllers: Vec::new(),
            store: FakeStore::default(),
            watchers: BTreeMap::new(),
            agents: BTreeMap::new(),
            booting: Vec::new(),
            cloud_unavailable: false,
            failed_machines: BTreeSet::new(),
            rented: BTreeMap::new(),
            rented_at: BTreeMap::new(),
            machine_count: 0,
            deleted_machines: BTreeSet::new(),
            open: BTreeMap::new(),
            cuts: Vec::new(),
            lost_answers_from: Vec::new(),
            command_delay: None,
            store_delay: 0,
            watch_delays: BTreeMap::new(),
            conns: BTreeMap::new(),
            jobs: BTreeMap::new(),
            client_answers: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            start_counts: BTreeMap::new(),
            task_starts: Vec::new(),
            limits: BTreeMap::from([("red".to_string(), 12.0)]),
            final_statuses: BTreeMap::new(),
            violation: None,
            load_balancer: Default::default(),
            failed_task_total: 0,
            lease_s: LEASE_S,
            health: 0,
            faults: FaultInjection::default(),
            machine_boot_time: MACHINE_BOOT_TIME,
            starvation: Default::default(),
            trace: Default::default(),
        };
        for i in 0..nodes {
            w.controllers.push(ControllerSlot {
                node: None,
                run: 0,
                wake: 0,
                old: false,
                frozen: 0,
                held: Vec::new(),
            });
            w.boot(i);
        }
        for i in 0..machines {
            let zone = if i % 2 == 0 { "a" } else { "b" };
            w.add_machine(zone, false);
        }
        w.schedule(SECOND, Event::Tick);
        w
    }

    /// From now on leases last so long; all controllers start again.
    pub fn restart_with_lease(&mut self, seconds: u64) {
        self.lease_s = seconds;
        (0..self.controllers.len()).for_each(|i| self.crash_controller(i, 50_000));
        self.run_seconds(18);
    }

    /// From now on the controllers pledge; all start again with that policy.
    pub fn restart_with_pledges(&mut self) {
        self.pledges = true;
        (0..self.controllers.len()).for_each(|i| self.crash_controller(i, 50_000));
        self.run_seconds(18);
    }

    /// All controllers run the first version, from the beginning.
    pub fn with_first_version(seed: u64, machines: usize, next: Option<StoreLimits>) -> Simulation {
        let mut w = Simulation::with_store_limits(seed, 3, machines, 60.0, next);
        for i in 0..3 {
            w.crash_controller(i, 0);
            w.set_first_version(i, true);
        }
        w
    }

    pub fn add_machine(&mut self, zone: &str, spot: bool) -> String {
        self.machine_count += 1;
        let name = format!("n-{:06}", self.machine_count);
        let mut agent = FakeAgent::new(&name, zone, self.machine_count as usize, self.now);
        agent.spot = spot;
        self.agents.insert(name.clone(), agent);
        name
    }

    fn schedule(&mut self, at: u64, ev: Event) {
        self.serial += 1;
        self.events.insert(self.serial, ev);
        self.queue.push(Reverse((at.max(self.now), self.serial)));
    }

    pub fn after(&mut self, dt: u64, f: impl FnOnce(&mut Simulation) + 'static) {
        self.schedule(self.now + dt, Event::Do(Box::new(f)));
    }

    fn clock(&self) -> Clock {
        Clock {
            now: Micros(self.now),
            wall: Micros(1_700_000_000 * SECOND + self.now),
        }
    }

    fn boot(&mut self, i: usize) {
        let n = self.controllers.len().max(3);
        let seed = self.rng.random();
        let clock = self.clock();
        let mut settings = settings(i, n);
        settings.params.state.write_rps = self.write_rps;
        settings.params.agents.lease_s = self.lease_s as f64;
        let next = self.next.filter(|_| !self.controllers[i].old);
        settings.params.state.next = next.map(|l| NextStateParams {
            rps: None,
            write_rps: Some(l.write_rps),
            value_kb: Some(l.value_kb),
            txn_ops: Some(l.txn_ops),
        });
        let policy = Policy {
            pledges: f64::from(u8::from(self.pledges)),
            ..Policy::default()
        };
        let node = Controller::new(settings, policy, seed, clock);
        self.controllers[i].node = Some(node);
        self.controllers[i].run += 1;
        self.controllers[i].wake = 0;
        self.deliver(i, Vec::new());
    }

    /// Which version a controller runs from its next start on.
    pub fn set_first_version(&mut self, i: usize, old: bool) {
        self.controllers[i].old = old;
    }

    /// A controller stands still while its clocks run on.
    pub fn pause_controller(&mut self, i: usize, dt: u64) {
        self.controllers[i].frozen = self.now + dt;
        self.after(dt + 1, move |w| w.deliver(i, Vec::new()));
    }

    pub fn crash_controller(&mut self, i: usize, back: u64) {
        self.controllers[i].node = None;
        self.controllers[i].frozen = 0;
        self.controllers[i].held.clear();
        self.reset(i);
        self.conns.retain(|(n, _), p| match p {
            PendingResponse::AgentHeartbeat(..) => *n != i,
            _ => *n != i,
        });
        self.schedule(self.now + back, Event::Restart(i));
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |s: &ControllerSlot| {
            s.node
                .as_ref()
                .and_then(|n| n.leader.as_ref().map(|l| l.term))
        };
        (0..self.controllers.len())
            .filter(|i| leads(&self.controllers[*i]).is_some())
            .max_by_key(|i| leads(&self.controllers[*i]))
    }

    pub fn term(&self) -> u64 {
        self.leader()
            .and_then(|i| {
                self.controllers[i]
                    .node
                    .as_ref()?
                    .leader
                    .as_ref()
                    .map(|l| l.term)
            })
            .unwrap_or(0)
    }

    pub fn partition(&mut self, a: Endpoint, b: Endpoint, how: PartitionMode, dt: u64) {
        self.cuts.push((a, b, how, self.now + dt));
    }

    pub fn run_seconds(&mut self, seconds: u64) {
        self.run_micros(seconds * SECOND);
    }

    /// The same, in microseconds.
    pub fn run_micros(&mut self, dt: u64) {
        let end = self.now + dt;
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(ev) = self.events.remove(&serial) {
                self.step(ev);
            }
            for (ticket, body) in self.store.answerable(self.now) {
                if let Some((i, run, id)) = self.watchers.remove(&ticket) {
                    let old = self.controllers[i].old;
                    let body = if old {
                        first_version::reads("/watch", body)
                    } else {
                        body
                    };
                    let lag = self.watch_delays.get(&i).copied().unwrap_or(0);
                    self.answer_late(Endpoint::Store, i, run, id, 200, body, lag);
                }
            }
            if let Some(b) = &self.violation {
                panic!("{b}\n{}", self.dump());
            }
        }
        self.now = end;
    }

    fn step(&mut self, ev: Event) {
        match ev {
            Event::Wake(i, run) => {
                if self.controllers[i].run == run && self.controllers[i].wake <= self.now {
                    self.deliver(i, Vec::new());
                }
            }
            Event::Restart(i) => self.boot(i),
            Event::Timeout(i, run, id) => {
                if self.open.remove(&(i, run, id)).is_some() && self.controllers[i].run == run {
                    let outcome = Outcome::Lost;
                    self.deliver(i, vec![NetworkEvent::Answer { id, outcome }]);
                }
            }
            Event::Return(i, run, id, outcome) => {
                if self.open.remove(&(i, run, id)).is_some() && self.controllers[i].run == run {
                    self.deliver(i, vec![NetworkEvent::Answer { id, outcome }]);
                }
            }
            Event::Arrive(i, run, id, call) => self.arrive(i, run, id, call),
            Event::AgentHeartbeat(name, node, number, body) => {
                if self.controllers[node].node.is_none() {
                    return;
                }
                let p = PendingResponse::AgentHeartbeat(name, number);
                self.request(node, p, "POST", "/hello".into(), body);
            }
            Event::AgentHeartbeatResponse(name, number, status, body) => {
                self.heartbeat_answered(&name, number, status, &body);
            }
            Event::Tick => self.tick(),
            Event::Do(f) => f(self),
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        self.store.expire(now);
        let up: Vec<_> = {
            let (up, rest) = std::mem::take(&mut self.booting)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.booting = rest;
            up
        };
        for (_, name, zone, spot) in up {
            let index = name.trim_start_matches("n-").parse().unwrap();
            let mut w = FakeAgent::new(&name, &zone, index, now);
            w.spot = spot;
            self.agents.insert(name, w);
        }
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for n in names {
            self.agent_tick(&n);
        }
        self.gangs();
        self.check_all();
        self.inject_client_and_heartbeat_faults();
        self.schedule(now + 50_000, Event::Tick);
    }
}
