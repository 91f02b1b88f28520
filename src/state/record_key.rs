//! Classification of the keys in the key-value store by kind of record.

use crate::protocol::records::{
    BASELINE_MACHINES_KEY, BUDGET_SHARES_KEY, CHUNKS_PREFIX, FORMATS_PREFIX, JOBS_PREFIX,
    LEADER_KEY, LEADER_LEASE_KEY, MACHINE_TYPES_KEY, NEWEST_PLACEMENT_BATCH_KEY,
    PLACEMENT_BATCHES_PREFIX, RENEWALS_PREFIX, placement_batch_number,
};

/// A key of the store, by kind of record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordKey<'a> {
    /// The leader's record.
    Leader,
    /// The key attached to the leader's lease.
    LeaderLease,
    /// The machine types of the cloud.
    MachineTypes,
    /// The number of machines that were up before the service rented any.
    InitialMachines,
    /// Lease renewals delegated to a follower. Contains its node name, followed by `/n` for further parts.
    Renewals(&'a str),
    /// The newest format that a node reads.
    Format(&'a str),
    /// The controllers' shares of the write budget.
    BudgetShares,
    /// The record that is rewritten with every placement batch and contains the number of the newest one.
    NewestBatch,
    /// A placement batch; `None` if the key does not end in a number.
    Batch(Option<u32>),
    /// A job.
    Job(&'a str),
    /// A chunk of a large job other than the first.
    Chunk {
        /// The job's id.
        job: &'a str,
        /// The chunk's number, from 1.
        number: u32,
    },
    /// Not a record of this service.
    Unknown,
}

impl<'a> RecordKey<'a> {
    /// Classifies a key.
    pub fn parse(key: &'a str) -> RecordKey<'a> {
        match key {
            LEADER_KEY => return RecordKey::Leader,
            LEADER_LEASE_KEY => return RecordKey::LeaderLease,
            MACHINE_TYPES_KEY => return RecordKey::MachineTypes,
            BASELINE_MACHINES_KEY => return RecordKey::InitialMachines,
            BUDGET_SHARES_KEY => return RecordKey::BudgetShares,
            NEWEST_PLACEMENT_BATCH_KEY => return RecordKey::NewestBatch,
            _ => {}
        }
        if key.starts_with(PLACEMENT_BATCHES_PREFIX) {
            return RecordKey::Batch(placement_batch_number(key));
        }
        if let Some(node) = key.strip_prefix(RENEWALS_PREFIX) {
            return RecordKey::Renewals(node);
        }
        if let Some(node) = key.strip_prefix(FORMATS_PREFIX) {
            return RecordKey::Format(node);
        }
        if let Some(id) = key.strip_prefix(JOBS_PREFIX) {
            return RecordKey::Job(id);
        }
        Self::parse_chunk(key).unwrap_or(RecordKey::Unknown)
    }

    fn parse_chunk(key: &'a str) -> Option<RecordKey<'a>> {
        let (job, number) = key.strip_prefix(CHUNKS_PREFIX)?.split_once('/')?;
        let number = number.parse().ok()?;
        Some(RecordKey::Chunk { job, number })
    }

    /// Whether the record holds the state of tasks. If such a record cannot be decoded, the state of its jobs must be
    /// treated as unknown.
    pub fn describes_tasks(self) -> bool {
        matches!(
            self,
            RecordKey::Batch(_) | RecordKey::Job(_) | RecordKey::Chunk { .. }
        )
    }
}

#[cfg(test)]
mod tests;
