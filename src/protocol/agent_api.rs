//! Messages between agents and controllers: heartbeats with status, commands and their results.

use serde::{Deserialize, Serialize};

/// State of a task on an agent.
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

/// A task in an agent's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
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

/// An agent's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
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
    pub agent_epoch: u64,
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
    pub tasks: Vec<TaskStatus>,
}

/// A command to an agent.
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
pub struct AgentHeartbeatResponse {
    /// Our term.
    #[serde(rename = "baton")]
    pub term: u64,
    /// Commands.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Direct commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentCommands {
    /// Our term.
    #[serde(rename = "baton")]
    pub term: u64,
    /// The agent's session they are meant for.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
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
