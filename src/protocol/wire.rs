//! Messages of agents, cloud and state service.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Encodes with named maps.
pub fn encode<T: Serialize>(v: &T) -> Vec<u8> {
    // Encoding into memory fails only for types without a MessagePack form; ours all have one.
    rmp_serde::to_vec_named(v).unwrap_or_default()
}

/// Decodes; anything malformed is none.
pub fn decode<T: DeserializeOwned>(b: &[u8]) -> Option<T> {
    rmp_serde::from_slice(b).ok()
}

/// A generic value as one of our types. Through bytes: `rmpv`'s own conversion takes no enum
/// from a string.
pub fn from_value<T: DeserializeOwned>(v: &rmpv::Value) -> Option<T> {
    let mut bytes = Vec::with_capacity(256);
    rmpv::encode::write_value(&mut bytes, v).ok()?;
    decode(&bytes)
}

/// One of our types as a generic value, with named maps.
pub fn to_value<T: Serialize>(v: &T) -> rmpv::Value {
    rmpv::decode::read_value(&mut encode(v).as_slice()).unwrap_or(rmpv::Value::Nil)
}

/// How long a value is as the state service counts it, which is as JSON.
pub fn json_len<T: Serialize>(v: &T) -> usize {
    struct Count(usize);
    impl std::io::Write for Count {
        fn write(&mut self, b: &[u8]) -> std::io::Result<usize> {
            self.0 += b.len();
            Ok(b.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut n = Count(0);
    match serde_json::to_writer(&mut n, v) {
        Ok(()) => n.0,
        // Only types without a JSON form fail; ours all have one.
        Err(_) => usize::MAX,
    }
}

/// State of a task on a agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Waits for its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Saving before it exits.
    #[serde(rename = "flushing")]
    Saving,
    /// Exited.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of the gang is gone.
    #[serde(rename = "mates_gone")]
    Peers,
    /// The gang was not complete in time.
    #[serde(rename = "incomplete")]
    Alone,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: no room.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Refused: on this machine with another attempt.
    #[serde(rename = "busy")]
    Busy,
    /// Refused: no such job or task.
    #[serde(rename = "unknown")]
    Unknown,
}

/// A task in a agent's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// `job/number`.
    #[serde(rename = "sheet")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    #[serde(rename = "status")]
    pub phase: TaskPhase,
    /// Why it exited.
    #[serde(rename = "cause", default)]
    pub why: Option<ExitReason>,
    /// Progress was saved.
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// A agent's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Machine name.
    #[serde(rename = "kernel")]
    pub machine: String,
    /// Where direct commands go.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// Machine type.
    #[serde(rename = "press")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Sequence number within the session.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest term the agent has seen.
    #[serde(rename = "baton")]
    pub term: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// Tasks.
    #[serde(rename = "sheets")]
    pub tasks: Vec<TaskReport>,
}

/// A command to a agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "launch")]
    Start {
        /// Task.
        #[serde(rename = "sheet")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "stop")]
    Stop {
        /// Task.
        #[serde(rename = "sheet")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time given for saving.
        #[serde(rename = "leeway_s")]
        grace_s: f64,
    },
    /// Forget an exited task.
    #[serde(rename = "forget")]
    Forget {
        /// Task.
        #[serde(rename = "sheet")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportResponse {
    /// Our term.
    #[serde(rename = "baton")]
    pub term: u64,
    /// Commands.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Direct commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Our term.
    #[serde(rename = "baton")]
    pub term: u64,
    /// The agent's session they are meant for.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Commands.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// 421: where to report instead.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Misdirected {
    /// The node to report to.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none", default)]
    pub leader: Option<String>,
}

/// A job's state for users.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// Job id.
    pub id: String,
    /// `pending`, `running`, `done` or `cancelled`.
    pub status: String,
    /// Tasks done.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u64>,
    /// Tasks running.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u64>,
}

/// An error for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// What is wrong.
    pub error: String,
}

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory.
    pub memory_gb: f64,
    /// Image cache.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Image fetch rate.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(default)]
    pub price: f64,
    /// Spot price an hour.
    #[serde(rename = "low_price", default)]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Answer of the cloud: machine types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "presses")]
    pub types: Vec<MachineType>,
}

/// Rental request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request, never used twice.
    #[serde(rename = "hire")]
    pub request: String,
    /// Type.
    #[serde(rename = "press")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many, at most 50.
    pub count: u32,
}

/// Machine names: a rental's answer, and a deletion's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names.
    #[serde(rename = "kernels")]
    pub machines: Vec<String>,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Not up yet.
    Booting,
    /// Up.
    Running,
    /// Stopped by itself.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    pub id: String,
    /// Where direct commands go.
    #[serde(rename = "endpoint", default)]
    pub address: Option<String>,
    /// Type.
    #[serde(rename = "press")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Age since the rental request.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in the order of their names.
    #[serde(rename = "kernels")]
    pub machines: Vec<ListedMachine>,
    /// There is more.
    pub more: bool,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionCondition {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its version, 0: does not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Put a value.
    Put {
        /// Key.
        put: String,
        /// Value.
        value: rmpv::Value,
        /// Lease the key hangs on.
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    #[serde(rename = "if")]
    pub conds: Vec<VersionCondition>,
    /// Changes.
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Revision.
    #[serde(rename = "edition", default)]
    pub revision: u64,
    /// Keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A change in a watch's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was put.
    #[serde(default)]
    pub put: Option<String>,
    /// Its value.
    #[serde(default)]
    pub value: Option<rmpv::Value>,
    /// Key that was deleted.
    #[serde(rename = "drop", default)]
    pub deleted: Option<String>,
    /// Revision.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Answer of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the answer is complete.
    #[serde(rename = "edition")]
    pub revision: u64,
    /// Changes.
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// A key in a listing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value.
    pub value: rmpv::Value,
    /// Version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemPage {
    /// Keys in order.
    pub items: Vec<Item>,
    /// There is more.
    pub more: bool,
    /// Revision.
    #[serde(rename = "edition")]
    pub revision: u64,
}

/// Request for a lease of the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long it lives unrenewed.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A lease of the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Its number.
    #[serde(rename = "tenure")]
    pub lease: u64,
}
