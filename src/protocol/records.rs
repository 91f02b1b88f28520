//! Keys and values of the records in the key-value store.
//!
//! | key | constant or function | content |
//! | --- | --- | --- |
//! | `wt/lead` | [`LEADER_KEY`] | [`LeaderRecord`] |
//! | `wt/live` | [`LEADER_LEASE_KEY`] | name of the leader, attached to its lease |
//! | `wt/types` | [`MACHINE_TYPES_KEY`] | `cloud_api::MachineTypes` |
//! | `wt/base` | [`BASELINE_MACHINES_KEY`] | number of machines |
//! | `wt/j/{job}` | [`job_key`] | [`JobRecord`] |
//! | `wt/t/{job}/{number}` | [`chunk_key`] | [`TaskChunk`] |
//! | `wt/b/{number}` | [`placement_batch_key`] | [`PlacementBatch`] |
//! | `wt/bundled` | [`NEWEST_PLACEMENT_BATCH_KEY`] | number of the newest placement batch |
//! | `wt/r/{node}`, `wt/r/{node}/{number}` | [`renewals_key`] | [`RenewalsRecord`] |
//! | `wt/f/{node}` | [`format_key`] | a number of [`format`](super::format) |
//! | `wt/parts` | [`BUDGET_SHARES_KEY`] | [`BudgetSharesRecord`] |
//!
//! Values are stored as MessagePack with short field names, since the store limits their size.

mod budget_shares;
mod jobs;
mod renewals;

pub use budget_shares::BudgetSharesRecord;
pub use jobs::{JobRecord, JobStage, PlacementBatch, TASKS_PER_CHUNK, TaskChunk, TaskEntry};
pub use renewals::RenewalsRecord;

use serde::{Deserialize, Serialize};

/// Prefix of all keys of the scheduler.
pub const KEY_PREFIX: &str = "wt/";
/// Key of the leader record. Every write of the leader is conditional on its version, which fences earlier leaders.
pub const LEADER_KEY: &str = "wt/lead";
/// Key attached to the leader's lease; the store deletes it when the lease expires.
pub const LEADER_LEASE_KEY: &str = "wt/live";
/// Key of the machine types most recently listed by the cloud.
pub const MACHINE_TYPES_KEY: &str = "wt/types";
/// Key of the number of machines that existed before the scheduler rented any.
pub const BASELINE_MACHINES_KEY: &str = "wt/base";
/// Prefix of job records.
pub const JOBS_PREFIX: &str = "wt/j/";
/// Prefix of the chunks of large jobs after chunk 0.
pub const CHUNKS_PREFIX: &str = "wt/t/";
/// Prefix of the lists of machines whose leases a follower renews.
pub const RENEWALS_PREFIX: &str = "wt/r/";
/// Prefix of the records of the newest format that each controller reads.
pub const FORMATS_PREFIX: &str = "wt/f/";
/// Prefix of placement batches (format `PLACEMENT_BATCHES`). It sorts before [`JOBS_PREFIX`], so a listing
/// returns batches first.
pub const PLACEMENT_BATCHES_PREFIX: &str = "wt/b/";
/// Key that is rewritten with every placement batch, so that its version reveals whether another batch was
/// written in the meantime.
pub const NEWEST_PLACEMENT_BATCH_KEY: &str = "wt/bundled";
/// Key of the shares of the write budget (format `BUDGET_SHARES`).
pub const BUDGET_SHARES_KEY: &str = "wt/parts";

/// Returns the key of a job record.
pub fn job_key(id: &str) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Returns the key of chunk `number` of a job, from 1 upwards; chunk 0 is part of the job's own record.
pub fn chunk_key(id: &str, number: u32) -> String {
    format!("{CHUNKS_PREFIX}{id}/{number}")
}

/// Returns the key of placement batch `number`.
pub fn placement_batch_key(number: u32) -> String {
    format!("{PLACEMENT_BATCHES_PREFIX}{number}")
}

/// Returns the number of the placement batch with this key; `None` if it is not the key of a placement batch.
pub fn placement_batch_number(key: &str) -> Option<u32> {
    key.strip_prefix(PLACEMENT_BATCHES_PREFIX)?.parse().ok()
}

/// Returns the key of the record of the newest format that a controller reads.
pub fn format_key(node: &str) -> String {
    format!("{FORMATS_PREFIX}{node}")
}

/// Returns the key of record `number` of a follower's renewals.
///
/// A controller of the first version writes only record 0. As leader it interprets the other records as those of
/// additional followers, which has the same effect.
pub fn renewals_key(node: &str, number: usize) -> String {
    match number {
        0 => format!("{RENEWALS_PREFIX}{node}"),
        _ => format!("{RENEWALS_PREFIX}{node}/{number}"),
    }
}

/// The current leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller.
    pub node: String,
    /// Incarnation of the controller, which identifies a run of its process.
    #[serde(rename = "inc")]
    pub incarnation: u64,
    /// Term of the leadership, which agents treat as a fencing token.
    pub term: u64,
}
