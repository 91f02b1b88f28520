//! The settings file that the platform hands over, checked.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Why a settings file is refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It cannot be read.
    #[error("{file}: {source}")]
    Read {
        /// File.
        file: String,
        /// Reason.
        source: std::io::Error,
    },
    /// Not TOML, or a field is missing or of the wrong type.
    #[error("{file}: {reason}")]
    Parse {
        /// File.
        file: String,
        /// Reason, which names the field.
        reason: String,
    },
    /// A field is out of range.
    #[error("{file}: {field}: {reason}")]
    Field {
        /// File.
        file: String,
        /// Field.
        field: String,
        /// Reason.
        reason: String,
    },
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct PeerSettings {
    /// Its name.
    #[serde(rename = "member")]
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Its internal address.
    pub address: SocketAddr,
}

/// Where the services are.
#[derive(Clone, Debug, Deserialize)]
pub struct External {
    /// Cloud.
    pub cloud: SocketAddr,
    /// State service.
    pub state: SocketAddr,
}

/// A team.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs; 0: no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs; 0: no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim of the users.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// `wait`, `deadline`, `finished`, `guarantee`, ...
    pub kind: String,
    /// Class of jobs.
    #[serde(default)]
    pub class: Option<String>,
    /// Within how long.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Which share.
    #[serde(default)]
    pub share: Option<f64>,
}

/// How agents behave.
#[derive(Clone, Debug, Deserialize)]
pub struct AgentParams {
    /// Report interval.
    pub report_s: f64,
    /// Lease.
    pub lease_s: f64,
    /// How long a gang task waits for the others.
    pub gang_wait_s: f64,
    /// How fast gang tasks notice a loss.
    pub gang_peer_s: f64,
    /// How soon cancelled tasks must be gone.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StateParams {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Largest value.
    pub value_kb: f64,
    /// Most changes of a transaction.
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextStateParams>,
}

/// Limits that the state service will have later; what is not named does not change.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextStateParams {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Most changes of a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Part of a value's limit that we use: how exactly the service counts is its own business.
const VALUE_USED: f64 = 0.9;

impl StateParams {
    /// The lower of a present and a coming limit. Nobody tells when the coming ones begin, so we
    /// keep to the lower from the start.
    fn lower(&self, now: f64, later: impl Fn(&NextStateParams) -> Option<f64>) -> f64 {
        let later = self.next.as_ref().and_then(later);
        later.map_or(now, |l| now.min(l))
    }

    /// Requests a second that we may count on.
    pub fn least_rps(&self) -> f64 {
        self.lower(self.rps, |n| n.rps)
    }

    /// Changes a second that we may count on.
    pub fn least_write_rps(&self) -> f64 {
        self.lower(self.write_rps, |n| n.write_rps)
    }

    /// How long a value may be, as JSON.
    pub fn least_value_bytes(&self) -> usize {
        (self.lower(self.value_kb, |n| n.value_kb) * 1024.0 * VALUE_USED) as usize
    }

    /// How many changes a transaction may have.
    pub fn least_txn_ops(&self) -> usize {
        let later = self.next.as_ref().and_then(|n| n.txn_ops);
        later.map_or(self.txn_ops, |l| self.txn_ops.min(l))
    }
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudParams {
    /// Requests a second.
    pub rps: f64,
    /// How late lists are.
    pub list_lag_s: f64,
}

/// What the process may use.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Share of a core.
    pub core_share: f64,
    /// Memory.
    pub mem_mb: f64,
    /// Sockets.
    pub sockets: usize,
}

/// Parameters of the deployment.
#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    /// Zones.
    pub zones: Vec<String>,
    /// Bound on the error of the time of day.
    #[serde(default)]
    pub clock_off_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Agents.
    #[serde(rename = "workers")]
    pub agents: AgentParams,
    /// State service.
    pub state: StateParams,
    /// Cloud.
    pub cloud: CloudParams,
    /// Limits.
    pub limits: Limits,
}

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Our name.
    #[serde(rename = "member")]
    pub node: String,
    /// Our zone.
    pub zone: String,
    /// Where users and agents reach us.
    pub serve_on: SocketAddr,
    /// Where peers reach us.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<PeerSettings>,
    /// Services.
    pub external: External,
    /// Parameters.
    pub params: Params,
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            file: file.clone(),
            source,
        })?;
        Settings::parse(&file, &text)
    }

    /// Parses and checks; `file` is only for messages.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let s: Settings = toml::from_str(text).map_err(|e| SettingsError::Parse {
            file: file.to_string(),
            reason: e.to_string(),
        })?;
        s.check().map_err(|(field, reason)| SettingsError::Field {
            file: file.to_string(),
            field,
            reason,
        })?;
        Ok(s)
    }

    fn check(&self) -> Result<(), (String, String)> {
        let bad = |field: &str, reason: &str| Err((field.to_string(), reason.to_string()));
        if self.node.is_empty() || self.node.contains(' ') || self.node.len() > 60 {
            return bad("member", "must be a name without spaces");
        }
        if self.peers.iter().any(|s| s.node == self.node) {
            return bad("siblings", "must not name this member itself");
        }
        let p = &self.params;
        let positive = [
            ("params.workers.report_s", p.agents.report_s),
            ("params.workers.lease_s", p.agents.lease_s),
            ("params.workers.gang_wait_s", p.agents.gang_wait_s),
            ("params.workers.gang_peer_s", p.agents.gang_peer_s),
            ("params.workers.cancel_s", p.agents.cancel_s),
            ("params.state.rps", p.state.rps),
            ("params.state.write_rps", p.state.write_rps),
            ("params.state.value_kb", p.state.value_kb),
            ("params.cloud.rps", p.cloud.rps),
            ("params.limits.core_share", p.limits.core_share),
            ("params.limits.mem_mb", p.limits.mem_mb),
        ];
        let next = p.state.next.clone().unwrap_or_default();
        let later = [
            ("params.state.next.rps", next.rps),
            ("params.state.next.write_rps", next.write_rps),
            ("params.state.next.value_kb", next.value_kb),
        ];
        let later = later.into_iter().filter_map(|(f, v)| Some((f, v?)));
        for (field, v) in positive.into_iter().chain(later) {
            if !(v.is_finite() && v > 0.0) {
                return bad(field, "must be above 0");
            }
        }
        let w = &p.agents;
        if w.cancel_s <= w.lease_s {
            return bad(
                "params.workers.cancel_s",
                "must exceed lease_s: a cut-off worker keeps its tasks that long",
            );
        }
        if p.state.txn_ops < 2 {
            return bad("params.state.txn_ops", "must be at least 2");
        }
        if next.txn_ops.is_some_and(|n| n < 2) {
            return bad("params.state.next.txn_ops", "must be at least 2");
        }
        if p.limits.sockets < 32 {
            return bad("params.limits.sockets", "must be at least 32");
        }
        for t in &p.teams {
            let amounts = [t.cpus, t.cpus_max, t.gpus, t.gpus_max];
            if amounts.iter().any(|v| !(v.is_finite() && *v >= 0.0)) {
                return bad(
                    &format!("params.teams.{}", t.name),
                    "amounts must be 0 or more",
                );
            }
        }
        Ok(())
    }

    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|t| t.name == name)
    }
}
