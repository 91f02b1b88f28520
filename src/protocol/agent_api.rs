//! Messages between agents and controllers: heartbeats with task status, commands and their results.
//!
//! The wire names are in the serde renames; the table in [`super`] lists them.

use serde::{Deserialize, Serialize};

/// State of a task on an agent's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// The machine is still fetching the image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Gang task that is waiting for the other tasks of its attempt.
    #[serde(rename = "gathering")]
    Waiting,
    /// Running; also reported for gang tasks that are about to exit.
    #[serde(rename = "running")]
    Running,
    /// Saving its progress after a stop command, before it exits.
    #[serde(rename = "flushing")]
    Saving,
    /// Exited; reported until a `Forget` command removes it.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// Completed; the agent keeps the result.
    #[serde(rename = "done")]
    Done,
    /// Stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Gang task that lost another task of its gang.
    #[serde(rename = "mates_gone")]
    GangMemberGone,
    /// Gang task whose gang was not complete within `gang_wait_s`.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// The task itself failed.
    #[serde(rename = "error")]
    Error,
    /// Start refused: not enough free resources on the machine.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Start refused: another attempt of the task is on this machine.
    #[serde(rename = "busy")]
    Busy,
    /// Start refused: the agent does not recognize the job or task.
    #[serde(rename = "unknown")]
    Unknown,
}

/// A task in an agent's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Task id: the job id, a slash and the task number.
    #[serde(rename = "sheet")]
    pub task: String,
    /// Attempt number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "status")]
    pub phase: TaskPhase,
    /// Reason for the exit; present only for an exited task.
    #[serde(rename = "cause", default)]
    pub exit_reason: Option<ExitReason>,
    /// Whether the progress was saved; present only for a stopped task.
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// An agent's heartbeat, which reports all tasks on its machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// Machine name.
    #[serde(rename = "kernel")]
    pub machine: String,
    /// Host and port at which the agent accepts direct commands.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// Machine type.
    #[serde(rename = "press")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Epoch of the agent: starts at 1 and increases each time its lease expires.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Sequence number, which increases with every message within an epoch.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest term that the agent has seen.
    #[serde(rename = "baton")]
    pub term: u64,
    /// Seconds until the cloud reclaims the spot instance; absent if no notice was given.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, including exited ones until a `Forget` command removes them.
    #[serde(rename = "sheets")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts a task; has no effect if the agent already has this attempt.
    #[serde(rename = "launch")]
    Start {
        /// Task id.
        #[serde(rename = "sheet")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "stop")]
    Stop {
        /// Task id.
        #[serde(rename = "sheet")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that the task may take to save its progress; 0 kills it immediately.
        #[serde(rename = "leeway_s")]
        grace_s: f64,
    },
    /// Removes an exited task from the heartbeats.
    #[serde(rename = "forget")]
    Forget {
        /// Task id.
        #[serde(rename = "sheet")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to an agent's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentHeartbeatResponse {
    /// The controller's term, which fences commands of earlier leaders.
    #[serde(rename = "baton")]
    pub term: u64,
    /// Commands, which the agent executes in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent directly to an agent's address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentCommands {
    /// The controller's term, which fences commands of earlier leaders.
    #[serde(rename = "baton")]
    pub term: u64,
    /// Epoch of the agent for which the commands are valid.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Commands, which the agent executes in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of a 421 response to an agent's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Misdirected {
    /// Name of the controller that accepts heartbeats of this agent; absent if unknown.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none", default)]
    pub leader: Option<String>,
}
