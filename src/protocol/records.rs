//! What we keep in the state service.

use super::codec::json_len;
use super::{JobSpec, Micros};
use admission_control::parts::{Grant, Part};
use serde::{Deserialize, Serialize};

/// Everything of ours is below this.
pub const ROOT: &str = "wt/";
/// Who leads, with which term.
pub const LEAD: &str = "wt/lead";
/// Hangs on the leader's lease.
pub const LIVE: &str = "wt/live";
/// Machine types as last seen.
pub const TYPES: &str = "wt/types";
/// How many machines were up before we rented any.
pub const BASE: &str = "wt/base";
/// Jobs.
pub const JOBS: &str = "wt/j/";
/// Chunks of large jobs.
pub const CHUNKS: &str = "wt/t/";

/// Machines whose leases a follower renews.
pub const RENEWALS: &str = "wt/r/";

/// Newest format that each controller reads.
pub const FORMATS: &str = "wt/f/";

/// Places of many jobs in one record each (format `BUNDLES`). A listing brings them before the jobs.
pub const BUNDLES: &str = "wt/b/";
/// Parts of the budget of changes (format `PARTS`).
pub const PARTS: &str = "wt/parts";

/// A part on record: amount in thousandths of changes a second, the time of day of its end, its epoch.
type PartRec = (u64, Micros, u64);

/// Parts of the budget of changes that controllers may use (`admission_control::parts`).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BudgetSharesRecord {
    #[serde(rename = "e")]
    epoch: u64,
    #[serde(rename = "p")]
    parts: Vec<(String, PartRec)>,
    #[serde(rename = "o")]
    owed: Vec<(String, Vec<PartRec>)>,
}

impl BudgetSharesRecord {
    /// Of a grant.
    pub fn of(g: &Grant) -> BudgetSharesRecord {
        let rec = |p: &Part| (p.amount, Micros(p.until), p.epoch);
        let parts = g.parts.iter().map(|(h, p)| (h.clone(), rec(p)));
        let owed = g.owed.iter();
        let owed = owed.map(|(h, l)| (h.clone(), l.iter().map(rec).collect()));
        BudgetSharesRecord {
            epoch: g.epoch,
            parts: parts.collect(),
            owed: owed.collect(),
        }
    }

    /// The grant.
    pub fn grant(self) -> Grant {
        let part = |(amount, until, epoch): PartRec| Part {
            amount,
            until: until.0,
            epoch,
        };
        let owed = self.owed.into_iter();
        let owed = owed.map(|(h, l)| (h, l.into_iter().map(part).collect()));
        Grant {
            epoch: self.epoch,
            parts: self.parts.into_iter().map(|(h, p)| (h, part(p))).collect(),
            owed: owed.collect(),
        }
    }
}

/// Changes with every bundle that is written.
pub const BUNDLED: &str = "wt/bundled";

/// Key of bundle `n`.
pub fn bundle_key(n: u32) -> String {
    format!("{BUNDLES}{n}")
}

/// The number of the bundle that a key names.
pub fn bundle_number(key: &str) -> Option<u32> {
    key.strip_prefix(BUNDLES)?.parse().ok()
}

/// Places that are not in their jobs' own records yet. After a loss there are so many that a change of
/// the store for each job would take many times as long as starting the tasks.
///
/// Of a place here and an entry in the job's records the later attempt counts. A place does not count
/// if its task is done there, or the job's record is `cleaned`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementBatch {
    /// Jobs with their places.
    #[serde(rename = "p")]
    pub places: Vec<(String, Vec<TaskEntry>)>,
}

/// Key of the newest format that a controller reads.
pub fn format_key(node: &str) -> String {
    format!("{FORMATS}{node}")
}

/// Key of part `n` of a follower's renewals. The first version knows part 0 only as a writer; as a
/// leader it takes further parts for those of further followers, which comes to the same.
pub fn renew_key(node: &str, n: usize) -> String {
    match n {
        0 => format!("{RENEWALS}{node}"),
        n => format!("{RENEWALS}{node}/{n}"),
    }
}

/// Machines whose leases a follower renews on behalf of the leader with this term.
///
/// Hundreds of names must fit into one value, so each name is written as the number of characters
/// it shares with the one before it, and the rest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewalsRecord {
    /// Term.
    pub term: u64,
    /// Names in order, as shared length and rest.
    names: Vec<(u16, String)>,
}

impl RenewalsRecord {
    /// Names the machines, which come in order.
    pub fn new<'a>(term: u64, machines: impl Iterator<Item = &'a String>) -> RenewalsRecord {
        let mut last = "";
        let mut names = Vec::new();
        for m in machines {
            let both = m.char_indices().zip(last.chars());
            let differs = both.into_iter().find(|((_, a), b)| a != b);
            let end = m.len().min(last.len());
            let shared = differs.map_or(end, |((i, _), _)| i).min(u16::MAX as usize);
            let shared = if m.is_char_boundary(shared) {
                shared
            } else {
                0
            };
            names.push((shared as u16, m[shared..].to_string()));
            last = m;
        }
        RenewalsRecord { term, names }
    }

    /// The same in as many records as a value's length asks for; at least one.
    pub fn split<'a>(
        term: u64,
        machines: impl Iterator<Item = &'a String>,
        most_bytes: usize,
    ) -> Vec<RenewalsRecord> {
        let all: Vec<&String> = machines.collect();
        let mut whole = vec![all.as_slice()];
        let mut parts = Vec::new();
        while let Some(some) = whole.pop() {
            let rec = RenewalsRecord::new(term, some.iter().copied());
            if some.len() < 2 || json_len(&rec) <= most_bytes {
                parts.push(rec);
            } else {
                let (a, b) = some.split_at(some.len() / 2);
                whole.push(b);
                whole.push(a);
            }
        }
        parts
    }

    /// The machines.
    pub fn machines(&self) -> Vec<String> {
        let mut last = String::new();
        let mut all = Vec::with_capacity(self.names.len());
        for (shared, rest) in &self.names {
            let kept = last.get(..*shared as usize).unwrap_or("");
            last = format!("{kept}{rest}");
            all.push(last.clone());
        }
        all
    }

    /// Names none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// Key of a job.
pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Key of chunk `n` (1 and up; chunk 0 lives in the job's own record).
pub fn chunk_key(id: &str, n: u32) -> String {
    format!("{CHUNKS}{id}/{n}")
}

/// Tasks in one chunk; small enough for a value, and for one word of done marks.
pub const CHUNK: u32 = 48;

/// Who leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Node.
    pub node: String,
    /// Its incarnation.
    #[serde(rename = "inc")]
    pub incarnation: u64,
    /// Term, which is the token that agents see.
    pub term: u64,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStage {
    /// Accepted and not over.
    #[serde(rename = "a")]
    Active,
    /// All tasks done.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "c")]
    Cancelled,
}

/// A task's newest attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskEntry(
    /// Task number.
    pub u32,
    /// Attempt.
    pub u64,
    /// Machine; empty: on none.
    pub String,
    /// The agent's session.
    pub u64,
    /// Term that placed it.
    pub u64,
    /// Started ahead of an earlier job.
    pub bool,
);

impl TaskEntry {
    /// Task number.
    pub fn task(&self) -> u32 {
        self.0
    }
    /// Attempt.
    pub fn attempt(&self) -> u64 {
        self.1
    }
    /// Machine, if any.
    pub fn machine(&self) -> Option<&str> {
        Some(self.2.as_str()).filter(|m| !m.is_empty())
    }
    /// The agent's session.
    pub fn agent_epoch(&self) -> u64 {
        self.3
    }
    /// Term that placed it.
    pub fn term(&self) -> u64 {
        self.4
    }
    /// Started ahead of an earlier job.
    pub fn backfilled(&self) -> bool {
        self.5
    }
}

/// The tasks of one chunk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskChunk {
    /// Tasks that have been started and are not done, by number.
    #[serde(rename = "e", default)]
    pub entries: Vec<TaskEntry>,
    /// Done marks, one bit a task.
    #[serde(rename = "d", default)]
    pub done: u64,
}

impl TaskChunk {
    /// Entry of a task.
    pub fn entry(&self, task: u32) -> Option<&TaskEntry> {
        self.entries
            .binary_search_by_key(&task, TaskEntry::task)
            .ok()
            .map(|i| &self.entries[i])
    }

    /// Sets a task's entry.
    pub fn set(&mut self, e: TaskEntry) {
        match self.entries.binary_search_by_key(&e.0, TaskEntry::task) {
            Ok(i) => self.entries[i] = e,
            Err(i) => self.entries.insert(i, e),
        }
    }

    /// Marks a task done.
    pub fn finish(&mut self, task: u32) {
        self.done |= 1 << (task % CHUNK);
        self.entries.retain(|e| e.0 != task);
    }

    /// Whether a task is done.
    pub fn is_done(&self, task: u32) -> bool {
        self.done & (1 << (task % CHUNK)) != 0
    }
}

/// A job's record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// Time of day of its acceptance; also its place in the queue.
    #[serde(rename = "at")]
    pub at: Micros,
    /// Stage.
    #[serde(rename = "st")]
    pub stage: JobStage,
    /// Time of day of the end.
    #[serde(rename = "end", default)]
    pub end: Micros,
    /// Tasks 0 to `CHUNK` - 1.
    #[serde(rename = "c", default)]
    pub first: TaskChunk,
    /// The job is over and nothing of it is anywhere, whatever bundles still say.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub cleaned: bool,
}

#[cfg(test)]
mod tests;
