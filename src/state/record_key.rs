//! Classification of the key-value store's keys by the record that they hold.

use crate::protocol::records::{
    BASE, BUNDLED, BUNDLES, CHUNKS, FORMATS, JOBS, LEAD, LIVE, PARTS, RENEWALS, TYPES,
    bundle_number,
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
    /// The number of machines that were up before any was rented.
    InitialMachines,
    /// Lease renewals delegated to a follower: its node name, with the part's number if there are several.
    Renewals(&'a str),
    /// The newest format that a node reads.
    Format(&'a str),
    /// The controllers' shares of the write budget.
    BudgetShares,
    /// The record that changes with every placement batch.
    BatchHead,
    /// A placement batch; `None` if the key does not end in a number.
    Batch(Option<u32>),
    /// A job.
    Job(&'a str),
    /// A further chunk of a large job.
    Chunk {
        /// The job's id.
        job: &'a str,
        /// The chunk's number, from 1.
        number: u32,
    },
    /// Not one of our records.
    Unknown,
}

impl<'a> RecordKey<'a> {
    /// Classifies a key.
    pub fn parse(key: &'a str) -> RecordKey<'a> {
        match key {
            LEAD => return RecordKey::Leader,
            LIVE => return RecordKey::LeaderLease,
            TYPES => return RecordKey::MachineTypes,
            BASE => return RecordKey::InitialMachines,
            PARTS => return RecordKey::BudgetShares,
            BUNDLED => return RecordKey::BatchHead,
            _ => {}
        }
        if key.starts_with(BUNDLES) {
            return RecordKey::Batch(bundle_number(key));
        }
        if let Some(node) = key.strip_prefix(RENEWALS) {
            return RecordKey::Renewals(node);
        }
        if let Some(node) = key.strip_prefix(FORMATS) {
            return RecordKey::Format(node);
        }
        if let Some(id) = key.strip_prefix(JOBS) {
            return RecordKey::Job(id);
        }
        Self::parse_chunk(key).unwrap_or(RecordKey::Unknown)
    }

    fn parse_chunk(key: &'a str) -> Option<RecordKey<'a>> {
        let (job, number) = key.strip_prefix(CHUNKS)?.split_once('/')?;
        let number = number.parse().ok()?;
        Some(RecordKey::Chunk { job, number })
    }

    /// Whether the record says something about tasks. If such a record cannot be read, its jobs must be treated as
    /// unknown.
    pub fn describes_tasks(self) -> bool {
        matches!(
            self,
            RecordKey::Batch(_) | RecordKey::Job(_) | RecordKey::Chunk { .. }
        )
    }
}

#[cfg(test)]
mod tests;
