//! The settings file of a deployment: its types and their validation.
//!
//! The file is TOML; its field names are in the serde renames, and the table in [`super`] lists them.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Maximum length of a controller's name, in bytes.
const MAX_NODE_NAME_BYTES: usize = 60;
/// Minimum number of changes that a transaction of the store must allow.
const MIN_TXN_OPS: usize = 2;
/// Minimum number of open sockets that the process must be allowed.
const MIN_SOCKETS: usize = 32;
/// Fraction of the value limit of the store that is used. The margin covers differences between the size computed here
/// and the size that the store computes.
const VALUE_LIMIT_FRACTION: f64 = 0.9;
const BYTES_PER_KB: f64 = 1024.0;

/// Why a settings file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not TOML, or a field is missing or has the wrong type.
    #[error("{file}: {reason}")]
    Parse {
        /// Path of the file.
        file: String,
        /// Message of the parser, which names the field.
        reason: String,
    },
    /// A field is out of range.
    #[error("{file}: {field}: {reason}")]
    Field {
        /// Path of the file.
        file: String,
        /// Path of the field within the file.
        field: String,
        /// Requirement that the field violates.
        reason: String,
    },
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct PeerSettings {
    /// Name of the controller.
    #[serde(rename = "member")]
    pub node: String,
    /// Zone of the controller.
    pub zone: String,
    /// Address for other controllers.
    pub address: SocketAddr,
}

/// Addresses of the services that the controllers use.
#[derive(Clone, Debug, Deserialize)]
pub struct ExternalServices {
    /// Cloud API.
    pub cloud: SocketAddr,
    /// Key-value store.
    pub state: SocketAddr,
}

/// A team with its guarantees and quotas.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// CPU quota; 0: none.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// GPU quota; 0: none.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service level objective.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// Measured quantity: `wait`, `deadline`, `finished`, `guarantee`, ...
    pub kind: String,
    /// Job class to which the objective applies; `None`: all.
    #[serde(default)]
    pub class: Option<String>,
    /// Time limit, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs that must meet the objective.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Timing of the agents, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct AgentTimings {
    /// Interval between heartbeats of an agent.
    pub report_s: f64,
    /// Duration of an agent's lease. An agent that receives no response for this long kills its tasks.
    pub lease_s: f64,
    /// How long a gang task waits for the other tasks of its attempt.
    pub gang_wait_s: f64,
    /// Time within which the tasks of a gang detect that one of them is gone.
    pub gang_peer_s: f64,
    /// Time after a cancellation within which all tasks of the job must be gone.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB of JSON.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Limits that take effect at an unannounced time.
    #[serde(default)]
    pub next: Option<FutureStoreLimits>,
}

/// Future limits of the key-value store; an absent limit does not change.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct FutureStoreLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB of JSON.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// Returns the lower of a present limit and its future value. The time of the change is not announced, so the
    /// lower limit is respected from the start.
    fn lower_limit(&self, present: f64, future: impl Fn(&FutureStoreLimits) -> Option<f64>) -> f64 {
        let future = self.next.as_ref().and_then(future);
        future.map_or(present, |limit| present.min(limit))
    }

    /// Returns the requests per second that are within the present and the future limit.
    pub fn effective_rps(&self) -> f64 {
        self.lower_limit(self.rps, |future| future.rps)
    }

    /// Returns the changes per second that are within the present and the future limit.
    pub fn effective_write_rps(&self) -> f64 {
        self.lower_limit(self.write_rps, |future| future.write_rps)
    }

    /// Returns the maximum size of a written value in bytes of JSON, within the present and the future limit.
    pub fn effective_value_bytes(&self) -> usize {
        let limit_kb = self.lower_limit(self.value_kb, |future| future.value_kb);
        (limit_kb * BYTES_PER_KB * VALUE_LIMIT_FRACTION) as usize
    }

    /// Returns the number of changes of a transaction that is within the present and the future limit.
    pub fn effective_txn_ops(&self) -> usize {
        let future = self.next.as_ref().and_then(|future| future.txn_ops);
        future.map_or(self.txn_ops, |limit| self.txn_ops.min(limit))
    }
}

/// Limits of the cloud API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Usual age of the cloud's list of machines, in seconds. It is occasionally twice as old.
    pub list_lag_s: f64,
}

/// Resources that the process may use.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Share of one CPU core.
    pub core_share: f64,
    /// Memory, in megabytes.
    pub mem_mb: f64,
    /// Number of open sockets.
    pub sockets: usize,
}

/// Parameters of the deployment, the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Upper bound on the error of the wall clock, in milliseconds.
    #[serde(default)]
    pub clock_off_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the agents.
    #[serde(rename = "workers")]
    pub agents: AgentTimings,
    /// Limits of the key-value store.
    pub state: StoreLimits,
    /// Limits of the cloud API.
    pub cloud: CloudLimits,
    /// Resources that the process may use.
    pub limits: ProcessLimits,
}

/// The settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    #[serde(rename = "member")]
    pub node: String,
    /// Zone of this controller.
    pub zone: String,
    /// Address for clients and agents.
    pub serve_on: SocketAddr,
    /// Address for other controllers.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<PeerSettings>,
    /// Addresses of the services.
    pub external: ExternalServices,
    /// Parameters of the deployment.
    pub params: Params,
}

/// A field with an invalid value.
struct FieldError {
    field: String,
    reason: &'static str,
}

/// Returns an error for `field` unless `valid`.
fn require(valid: bool, field: &str, reason: &'static str) -> Result<(), FieldError> {
    if valid {
        return Ok(());
    }
    Err(FieldError {
        field: field.to_string(),
        reason,
    })
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not valid TOML, or has a field that is missing, of the wrong type or out of range.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            file: file.clone(),
            source,
        })?;
        Settings::parse(&file, &text)
    }

    /// Parses and validates the text of a settings file; `file` only appears in errors.
    ///
    /// # Errors
    ///
    /// See [`Settings::load`].
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::Parse {
            file: file.to_string(),
            reason: error.to_string(),
        })?;
        settings.validate().map_err(|error| SettingsError::Field {
            file: file.to_string(),
            field: error.field,
            reason: error.reason.to_string(),
        })?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), FieldError> {
        self.validate_names()?;
        self.params.validate_positive()?;
        require(
            self.params.agents.cancel_s > self.params.agents.lease_s,
            "params.workers.cancel_s",
            "must exceed lease_s: a cut-off worker keeps its tasks that long",
        )?;
        self.params.state.validate_txn_ops()?;
        require(
            self.params.limits.sockets >= MIN_SOCKETS,
            "params.limits.sockets",
            "must be at least 32",
        )?;
        self.params.teams.iter().try_for_each(Team::validate)
    }

    fn validate_names(&self) -> Result<(), FieldError> {
        let valid_name = !self.node.is_empty()
            && !self.node.contains(' ')
            && self.node.len() <= MAX_NODE_NAME_BYTES;
        require(valid_name, "member", "must be a name without spaces")?;
        require(
            self.peers.iter().all(|peer| peer.node != self.node),
            "siblings",
            "must not name this member itself",
        )
    }

    /// Returns the team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|team| team.name == name)
    }
}

impl Params {
    /// Checks the numbers that must be above 0.
    fn validate_positive(&self) -> Result<(), FieldError> {
        let present = [
            ("params.workers.report_s", self.agents.report_s),
            ("params.workers.lease_s", self.agents.lease_s),
            ("params.workers.gang_wait_s", self.agents.gang_wait_s),
            ("params.workers.gang_peer_s", self.agents.gang_peer_s),
            ("params.workers.cancel_s", self.agents.cancel_s),
            ("params.state.rps", self.state.rps),
            ("params.state.write_rps", self.state.write_rps),
            ("params.state.value_kb", self.state.value_kb),
            ("params.cloud.rps", self.cloud.rps),
            ("params.limits.core_share", self.limits.core_share),
            ("params.limits.mem_mb", self.limits.mem_mb),
        ];
        let next = self.state.next.clone().unwrap_or_default();
        let future = [
            ("params.state.next.rps", next.rps),
            ("params.state.next.write_rps", next.write_rps),
            ("params.state.next.value_kb", next.value_kb),
        ];
        let future = future
            .into_iter()
            .filter_map(|(field, value)| Some((field, value?)));
        for (field, value) in present.into_iter().chain(future) {
            let valid = value.is_finite() && value > 0.0;
            require(valid, field, "must be above 0")?;
        }
        Ok(())
    }
}

impl StoreLimits {
    fn validate_txn_ops(&self) -> Result<(), FieldError> {
        let reason = "must be at least 2";
        require(self.txn_ops >= MIN_TXN_OPS, "params.state.txn_ops", reason)?;
        let future = self.next.as_ref().and_then(|future| future.txn_ops);
        require(
            future.is_none_or(|limit| limit >= MIN_TXN_OPS),
            "params.state.next.txn_ops",
            reason,
        )
    }
}

impl Team {
    fn validate(&self) -> Result<(), FieldError> {
        let amounts = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
        require(
            amounts
                .iter()
                .all(|amount| amount.is_finite() && *amount >= 0.0),
            &format!("params.teams.{}", self.name),
            "amounts must be 0 or more",
        )
    }
}
