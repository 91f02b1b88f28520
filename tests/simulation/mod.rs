//! A deterministic in-memory simulation of controllers, key-value store, cloud, agents, clients and the network between
//! them, on one simulated clock and with one seed. Its invariant checker depends on the protocol's rules only, not on
//! the scheduler's implementation.

// Each test target uses only some of the items.
#![allow(dead_code)]

mod agent_behavior;
mod client_probes;
mod clients;
mod controllers;
mod event_loop;
pub mod fake_agent;
mod fake_cloud;
pub mod fake_store;
pub mod fault_injection;
pub mod first_version;
mod inspection;
mod invariants;
mod load_balancer;
mod network;
mod setup;
mod starvation;
mod trace;
mod violation_injection;

use event_loop::Event;
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
use walnuttrestle::protocol::settings::FutureStoreLimits;
use walnuttrestle::protocol::{JobKind, JobSpec, Micros, Settings};
use walnuttrestle::transport::{Call, NetworkCommand, NetworkEvent, Outcome};

// Each test target uses only some of these.
#[allow(unused_imports)]
pub use setup::{job, seeds, settings, simulation_with_leader, with_dependencies};

/// Simulated time is in microseconds.
pub const SECOND: u64 = 1_000_000;
/// Deadline for stopping all tasks of a cancelled job after the cancellation was confirmed to a client, in seconds.
pub const CANCEL_DEADLINE_S: u64 = 30;
/// Default duration of an agent's lease, in seconds.
pub const LEASE_S: u64 = 10;
/// Time within which members of a gang detect the loss of another member, in seconds.
const GANG_PEER_TIMEOUT_S: u64 = 5;
const IMAGE_FETCH_TIME: u64 = 2 * SECOND;
const MACHINE_BOOT_TIME: u64 = 5 * SECOND;
/// GPU limit of team `red`, the only team that has one.
const RED_TEAM_GPU_LIMIT: f64 = 12.0;

/// A participant in the simulated network.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Endpoint {
    Controller(usize),
    Store,
    Cloud,
    Agent(String),
}

/// A controller's process with the simulation's state for it.
#[derive(Default)]
struct ControllerSlot {
    /// `None` while the controller is down.
    process: Option<Controller>,
    /// Number of starts; events of earlier incarnations are ignored.
    incarnation: u64,
    next_wake_at: u64,
    /// The controller behaves like the first released version.
    first_version: bool,
    /// The process is paused until this time; events that arrive before it are queued.
    paused_until: u64,
    queued_events: Vec<NetworkEvent>,
}

/// Identifies a call made by a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallKey {
    controller: usize,
    incarnation: u64,
    call_id: u64,
}

/// What a partition does to messages sent across it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PartitionMode {
    /// Messages are delivered when the partition ends.
    Delay,
    /// Messages are lost.
    Drop,
}

/// A link between two endpoints that is interrupted in both directions.
#[derive(Debug)]
struct Partition {
    ends: (Endpoint, Endpoint),
    mode: PartitionMode,
    until: u64,
}

/// Ground truth about a job: the requests of its client, the answers that it received, and the tasks that completed.
#[derive(Debug, Clone)]
pub struct JobGroundTruth {
    pub spec: JobSpec,
    /// Run time of task 0, in microseconds.
    pub run_time: u64,
    /// Additional run time of each further task, in microseconds.
    pub run_time_step: u64,
    /// Indices of the tasks that have completed.
    pub done: BTreeSet<u32>,
    /// A client has received an answer that the job is accepted.
    pub accepted: bool,
    /// A client has requested the cancellation.
    pub cancel_requested: bool,
    /// When a client first received the state `cancelled`.
    pub cancellation_seen_at: Option<u64>,
    /// When a client first received the state `done`.
    pub completion_seen_at: Option<u64>,
    /// A client has sent the submission at least once.
    pub submitted: bool,
}

/// The kinds of requests that clients make about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientRequest {
    Submit,
    Poll,
    Cancel,
}

/// A request to a controller that has not been answered yet.
enum PendingResponse {
    Client {
        request: ClientRequest,
        job: String,
        sent_at: u64,
    },
    HealthCheck,
    /// An invalid request; it must be refused with `expected_status`.
    Invalid {
        description: &'static str,
        expected_status: u16,
    },
    AgentHeartbeat {
        machine: String,
        seq: u64,
    },
    /// A call from another controller.
    Peer {
        caller: CallKey,
        is_heartbeat: bool,
    },
}

/// The start of a task on a machine: its image had been fetched and it was ready to run.
#[derive(Debug, Clone)]
pub struct TaskStart {
    pub at: u64,
    pub task: String,
    pub machine: String,
}

/// Counters of the calls that controllers make.
#[derive(Debug, Default, Clone, Copy)]
pub struct CallCounts {
    pub store_requests: usize,
    /// Changes in transactions sent to the store.
    pub store_changes: usize,
    /// Direct commands sent to agents.
    pub agent_commands: usize,
}

/// A rented machine that is not up yet.
struct BootingMachine {
    ready_at: u64,
    name: String,
    zone: String,
    spot: bool,
}

/// The outcome of a rental, kept so that a repeated request gets the same machines.
struct Rental {
    machines: Vec<String>,
    requested_at: u64,
}

/// An answer to a client.
#[derive(Debug, Clone)]
pub struct ClientAnswer {
    pub at: u64,
    pub job: String,
    /// HTTP status.
    pub status: u16,
    /// State of the job; empty if the answer contains none.
    pub state: String,
}

/// The first final state of a job that a client received.
struct FinalState {
    state: String,
    reported_at: u64,
}

/// The simulated cluster. The same seed and calls give the same run.
pub struct Simulation {
    /// Simulated time in microseconds.
    pub now: u64,
    /// Times and serial numbers of scheduled events, the earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    /// Last number given to an event, a connection or a watch.
    serial: u64,
    controllers: Vec<ControllerSlot>,
    pub store: FakeStore,
    /// Calls of open watches by ticket.
    watch_calls: BTreeMap<u64, CallKey>,
    pub agents: BTreeMap<String, FakeAgent>,
    booting: Vec<BootingMachine>,
    pub cloud_unavailable: bool,
    /// Machines that the cloud lists as failed.
    pub failed_machines: BTreeSet<String>,
    /// Rentals by request identifier.
    rentals: BTreeMap<String, Rental>,
    /// Number of machines created so far, which determines the next name.
    machine_count: u64,
    /// Machines that controllers have deleted in the cloud.
    pub deleted_machines: BTreeSet<String>,
    /// Calls by controllers that have neither been answered nor timed out.
    pending_calls: BTreeSet<CallKey>,
    partitions: Vec<Partition>,
    /// Endpoints whose answers to controllers are dropped, each with the end of the fault.
    pub lost_answers_from: Vec<(Endpoint, u64)>,
    /// The store's rate limit in the controllers' settings, in changes per second.
    write_rps: f64,
    /// Future limits of the store that the settings announce.
    announced_limits: Option<StoreLimits>,
    /// Calls by controllers since this was last reset.
    pub call_counts: CallCounts,
    /// Controllers run with the policy setting `pledges`.
    pub pledges: bool,
    /// The cloud has no machine to rent.
    pub no_capacity: bool,
    /// Jobs whose tasks fail on every machine.
    pub failing_jobs: BTreeSet<String>,
    /// Additional latency of direct commands, in microseconds.
    pub command_delay: Option<u64>,
    /// Additional latency of the store's answers, in microseconds.
    pub store_delay: u64,
    /// Additional latency of the store's answers to watches, by controller, in microseconds.
    pub watch_delays: BTreeMap<usize, u64>,
    /// Requests without an answer, by controller and connection number.
    pending_responses: BTreeMap<(usize, u64), PendingResponse>,
    pub jobs: BTreeMap<String, JobGroundTruth>,
    pub client_answers: Vec<ClientAnswer>,
    pub rng: ChaCha8Rng,
    /// Number of starts by task.
    pub start_counts: BTreeMap<String, u32>,
    pub task_starts: Vec<TaskStart>,
    /// GPU limits by team.
    pub limits: BTreeMap<String, f64>,
    final_states: BTreeMap<String, FinalState>,
    /// The first violation of an invariant.
    pub violation: Option<String>,
    load_balancer: load_balancer::LoadBalancer,
    /// Number of tasks that failed on machines that have been deleted.
    failed_tasks_on_deleted_machines: u32,
    /// Duration of an agent's lease in seconds.
    pub lease_s: u64,
    /// Status of the last health check.
    last_health_status: u16,
    /// Faults other than partitions.
    pub faults: FaultInjection,
    /// Time from the rental of a machine to its start, in microseconds.
    pub machine_boot_time: u64,
    pub starvation: starvation::StarvationChecker,
    /// Digest of what the controllers send.
    trace: trace::Trace,
}
