//! Jobs as users submit them, checked field by field.

use rmpv::Value;
use serde::{Deserialize, Serialize};

/// What a job's tasks do together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// All tasks run at the same time or none does.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority, highest last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Lowest.
    #[serde(rename = "best_effort")]
    Low,
    /// Normal.
    #[serde(rename = "standard")]
    Normal,
    /// High.
    #[serde(rename = "urgent")]
    High,
    /// Production.
    #[serde(rename = "prod")]
    Production,
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of jobs, see the objectives in the settings.
    #[serde(rename = "docket")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of job.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "sheets")]
    pub tasks: u32,
    /// CPUs a task takes.
    pub cpus: f64,
    /// GPUs a task takes.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory a task takes.
    pub memory_gb: f64,
    /// Image that a machine needs.
    #[serde(rename = "plate")]
    pub image: String,
    /// Its size.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Allowed machine types; none: any.
    #[serde(rename = "presses", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Owner's estimate of the run time.
    #[serde(rename = "expected_s")]
    pub estimate_s: f64,
    /// Checkpoint interval, 0: never saves.
    #[serde(rename = "proof_s")]
    pub checkpoint_s: f64,
    /// Time needed to save.
    #[serde(rename = "stash_s")]
    pub save_s: f64,
    /// Deadline from submission.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts (format `PIPELINES`).
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<String>,
}

impl JobSpec {
    /// Saves by itself while it runs, so that little is lost when it is stopped.
    pub fn saves(&self) -> bool {
        self.checkpoint_s > 0.0
    }

    /// Its tasks start one by one, and where some are limits the zones of the others.
    pub fn zoned(&self) -> bool {
        self.kind != JobKind::Gang && (self.one_zone || self.spread)
    }

    /// A job of one task, for tests to vary.
    #[cfg(test)]
    pub fn sample(kind: JobKind) -> JobSpec {
        JobSpec {
            class: "c".into(),
            team: "t".into(),
            kind,
            priority: Priority::Normal,
            tasks: 1,
            cpus: 1.0,
            gpus: 1.0,
            memory_gb: 1.0,
            image: "img".into(),
            image_gb: 1.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 0.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            needs: Vec::new(),
        }
    }
}

/// Most tasks a job may have.
pub const MAX_TASKS: u64 = 100_000;

/// Why a submission is malformed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Malformed {
    /// The body is not MessagePack.
    #[error("not MessagePack")]
    NotMsgPack,
    /// The body is not a map.
    #[error("not a map")]
    NotMap,
    /// A field is missing or invalid.
    #[error("field {0} is missing or invalid")]
    Field(&'static str),
}

/// Whether `id` has the form that users give job ids.
pub fn valid_id(id: &str) -> bool {
    id.len() <= 64
        && id
            .strip_prefix("req-")
            .is_some_and(|r| !r.is_empty() && r.bytes().all(|b| b.is_ascii_digit()))
}

struct Fields(Vec<(Value, Value)>);

impl Fields {
    fn get(&self, name: &str) -> Option<&Value> {
        self.0
            .iter()
            .find(|(k, _)| k.as_str() == Some(name))
            .map(|(_, v)| v)
            .filter(|v| !v.is_nil())
    }

    fn text(&self, name: &'static str) -> Result<String, Malformed> {
        match self.get(name).and_then(Value::as_str) {
            Some(s) if !s.is_empty() && s.len() <= 200 => Ok(s.to_string()),
            _ => Err(Malformed::Field(name)),
        }
    }

    fn amount(&self, name: &'static str, most: f64) -> Result<f64, Malformed> {
        match self.get(name).and_then(Value::as_f64) {
            Some(n) if n.is_finite() && (0.0..=most).contains(&n) => Ok(n),
            _ => Err(Malformed::Field(name)),
        }
    }

    fn flag(&self, name: &'static str) -> Result<bool, Malformed> {
        self.get(name)
            .and_then(Value::as_bool)
            .ok_or(Malformed::Field(name))
    }

    fn word<T: for<'a> Deserialize<'a>>(&self, name: &'static str) -> Result<T, Malformed> {
        self.get(name)
            .filter(|v| v.is_str())
            .and_then(super::codec::from_value)
            .ok_or(Malformed::Field(name))
    }
}

/// Largest amount taken for sane; jobs above it are malformed rather than merely too big.
const ABSURD: f64 = 1e9;

/// Reads and checks a submission; returns the id and the job.
pub fn parse(body: &[u8]) -> Result<(String, JobSpec), Malformed> {
    let mut rest = body;
    let value = rmpv::decode::read_value_with_max_depth(&mut rest, 16)
        .map_err(|_| Malformed::NotMsgPack)?;
    if !rest.is_empty() {
        return Err(Malformed::NotMsgPack);
    }
    let Value::Map(map) = value else {
        return Err(Malformed::NotMap);
    };
    let f = Fields(map);
    let id = f.text("id")?;
    if !valid_id(&id) {
        return Err(Malformed::Field("id"));
    }
    let tasks = f
        .get("sheets")
        .and_then(Value::as_u64)
        .filter(|n| (1..=MAX_TASKS).contains(n))
        .ok_or(Malformed::Field("sheets"))? as u32;
    let types = match f.get("presses") {
        None => None,
        Some(Value::Array(list)) if !list.is_empty() && list.len() <= 64 => Some(
            list.iter()
                .map(|v| v.as_str().map(str::to_string))
                .collect::<Option<Vec<_>>>()
                .ok_or(Malformed::Field("presses"))?,
        ),
        Some(_) => return Err(Malformed::Field("presses")),
    };
    let zone = match f.get("yard") {
        None => None,
        Some(_) => Some(f.text("yard")?),
    };
    let deadline_s = match f.get("due_s") {
        None => None,
        Some(_) => Some(f.amount("due_s", ABSURD)?),
    };
    let mut needs = Vec::new();
    match f.get("awaits") {
        None => {}
        Some(Value::Array(list)) => {
            for v in list {
                let need = v.as_str().filter(|n| valid_id(n));
                let need = need.ok_or(Malformed::Field("awaits"))?;
                needs.push(need.to_string());
            }
        }
        Some(_) => return Err(Malformed::Field("awaits")),
    }
    // One that is named twice counts once.
    needs.sort_unstable();
    needs.dedup();
    let spec = JobSpec {
        class: f.text("docket")?,
        team: f.text("crew")?,
        kind: f.word("shape")?,
        priority: f.word("rank")?,
        tasks,
        cpus: f.amount("cpus", ABSURD)?,
        gpus: f.amount("cards", ABSURD)?,
        memory_gb: f.amount("memory_gb", ABSURD)?,
        image: f.text("plate")?,
        image_gb: f.amount("size_gb", ABSURD)?,
        types,
        zone,
        one_zone: f.flag("together")?,
        spread: f.flag("scatter")?,
        spot: f.flag("loaners")?,
        estimate_s: f.amount("expected_s", ABSURD)?,
        checkpoint_s: f.amount("proof_s", ABSURD)?,
        save_s: f.amount("stash_s", ABSURD)?,
        deadline_s,
        needs,
    };
    Ok((id, spec))
}
