//! Judges from the cache whether a transaction whose response was lost may still be carried out.

use super::RecordCache;
use crate::protocol::key_value_api::Transaction;
use crate::state::record_key::RecordKey;

impl RecordCache {
    /// Whether the store may still carry out a transaction, because the cache contradicts none of its conditions. A
    /// record never gets an earlier version again, so a transaction that is conditional on one can no longer be carried
    /// out, whatever has replaced the record: this transaction itself or another write.
    pub fn may_commit(&self, transaction: &Transaction) -> bool {
        transaction.conditions.iter().all(|condition| {
            self.version_of(&condition.key)
                .is_none_or(|version| version == condition.version)
        })
    }

    /// Version of the newest known record with this key, readable or not; 0 if there is none. `None` if the cache does
    /// not keep the versions of such records.
    fn version_of(&self, key: &str) -> Option<u64> {
        let version = match RecordKey::parse(key) {
            RecordKey::Leader => version_in(self.leader.as_ref()),
            RecordKey::LeaderLease => self.leader_lease_version.unwrap_or(0),
            RecordKey::Renewals(node) => version_in(self.renewals.get(node)),
            RecordKey::Format(node) => self.format_of(node).1,
            RecordKey::BudgetShares => version_in(self.budget_shares.as_ref()),
            RecordKey::NewestBatch => self.placement_batches.newest_version(),
            RecordKey::Batch(Some(number)) => self.placement_batches.version(number),
            RecordKey::Job(id) => self.job_version(id),
            RecordKey::Chunk { job, number } => self.chunk_version(job, number)?,
            RecordKey::MachineTypes
            | RecordKey::InitialMachines
            | RecordKey::Batch(None)
            | RecordKey::Unknown => return None,
        };
        let unreadable = self.unreadable.get(key).copied().unwrap_or(0);
        Some(version.max(unreadable))
    }

    /// Version of a chunk other than the first. `None` if its job has ended, because the chunks of such jobs are not
    /// kept.
    fn chunk_version(&self, job: &str, number: u32) -> Option<u64> {
        if self.finished.contains_key(job) {
            return None;
        }
        let chunks = match self.jobs.get(job) {
            Some(job) => Some(&job.chunks),
            None => self.chunks_without_job.get(job),
        };
        let stored = chunks.and_then(|chunks| chunks.get(&number));
        Some(stored.map_or(0, |stored| stored.version))
    }
}

fn version_in<T>(cached: Option<&(T, u64)>) -> u64 {
    cached.map_or(0, |(_, version)| *version)
}
