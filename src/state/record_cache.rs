//! Cache of the records in the key-value store, updated by listings, watches and the controller's own commits.

mod conditions;
mod job_records;
mod listing;

use crate::protocol::cloud_api::{MachineType, MachineTypes};
use crate::protocol::codec::from_value;
use crate::protocol::format;
use crate::protocol::key_value_api::WatchResponse;
use crate::protocol::records::{
    BudgetSharesRecord, JobRecord, JobStage, LeaderRecord, PLACEMENT_BATCHES_PREFIX,
    PlacementBatch, RENEWALS_PREFIX, RenewalsRecord, TaskChunk, renewals_key,
};
use crate::state::cached_job::TaskChunks;
pub use crate::state::cached_job::{FinishedJob, Job, JobLookup};
use crate::state::image_caches::ImageCaches;
use crate::state::placed_tasks::PlacedTasks;
use crate::state::placement_batches::PlacementBatches;
use crate::state::record_key::RecordKey;
use admission_control::parts::Grant;
use listing::Listing;
use rmpv::Value;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};

/// The cached records. A `u64` next to a record is its version: the revision of the store at which it was written.
#[derive(Default)]
pub struct RecordCache {
    /// The cache contains every change up to this revision.
    pub revision: u64,
    /// Whether all records have been listed once.
    pub synced: bool,
    /// Whether pages of a listing were applied since the last watch response, so that the records come from different
    /// revisions.
    mixed_revisions: bool,
    /// The leader's record.
    pub leader: Option<(LeaderRecord, u64)>,
    /// Version of the key that is attached to the leader's lease.
    pub leader_lease_version: Option<u64>,
    /// The cloud's machine types.
    pub machine_types: Option<Vec<MachineType>>,
    /// Number of machines that were up before the service rented any; `None` until it is on record.
    pub initial_machines: Option<u64>,
    /// Images that machines have probably cached, according to the recorded placements.
    pub image_caches: ImageCaches,
    /// Records that each hold the placements of many jobs. They are overlaid on `jobs`.
    pub placement_batches: PlacementBatches,
    /// The controllers' shares of the write budget.
    pub budget_shares: Option<(Grant, u64)>,
    /// Jobs that have not ended, or whose tasks may still run.
    pub jobs: BTreeMap<String, Job>,
    /// Lease renewals delegated to followers, by node; further parts of a node's renewals have the key `node/n`.
    pub renewals: BTreeMap<String, (RenewalsRecord, u64)>,
    /// Revision of the newest cancellation or change of leadership in the cache.
    pub last_cancellation_or_leader_change: u64,
    /// Counts the changes of `renewals`.
    pub renewals_generation: u64,
    finished: BTreeMap<String, FinishedJob>,
    /// Ids of dependent jobs, by the job that they depend on. The cache may not contain that job yet.
    dependents: BTreeMap<String, Vec<String>>,
    /// Newest format that each node reads, with the version of the node's record.
    formats: BTreeMap<String, (u32, u64)>,
    /// Chunks that arrived before the record of their job.
    chunks_without_job: BTreeMap<String, TaskChunks>,
    /// The listing in progress, if any.
    listing: Option<Listing>,
    /// Jobs whose cancellation was read since the last call of `take_cancelled`, with their records' versions. Excludes
    /// jobs that are cancelled only because of a dependency, since none of their tasks was ever started.
    cancelled: Vec<(String, u64)>,
    /// Jobs whose records have changed since `take_changed` was last called.
    changed: BTreeSet<String>,
    /// Ended jobs that stay in `jobs` because some of their tasks may still run.
    ended_with_tasks: BTreeSet<String>,
    /// Cancelled jobs that stay in `jobs` until all records of the present listing or watch response are in the cache:
    /// chunks and batches that come after the job's record may hold placements.
    cancelled_without_placements: BTreeSet<String>,
    /// The events of a watch response are being applied.
    applying_watch_response: bool,
    placed_tasks: PlacedTasks,
    /// Keys of job records, chunks and placement batches that cannot be decoded, with their versions. Requests about
    /// the jobs in them are not answered, and none of their tasks is started.
    unreadable: BTreeMap<String, u64>,
}

impl RecordCache {
    /// Whether a record of the job cannot be decoded. In that case all other cached data of the job may be outdated.
    pub fn is_unreadable(&self, id: &str) -> bool {
        let belongs_to_job = |key: &String| match RecordKey::parse(key) {
            RecordKey::Job(job) | RecordKey::Chunk { job, .. } => job == id,
            _ => false,
        };
        self.unreadable.keys().any(belongs_to_job)
    }

    /// Whether a placement batch cannot be decoded. Such a batch may contain placements of any job.
    pub fn has_unreadable_batch(&self) -> bool {
        let first = self
            .unreadable
            .range(PLACEMENT_BATCHES_PREFIX.to_string()..)
            .next();
        first.is_some_and(|(key, _)| key.starts_with(PLACEMENT_BATCHES_PREFIX))
    }

    /// Whether a job is cancelled according to the cache.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.stage(id) == Some(JobStage::Cancelled)
    }

    /// Whether a job is done according to the cache.
    pub fn is_done(&self, id: &str) -> bool {
        self.stage(id) == Some(JobStage::Done)
    }

    fn stage(&self, id: &str) -> Option<JobStage> {
        match self.job(id)? {
            JobLookup::Live(job) => Some(job.record.stage),
            JobLookup::Finished(job) => Some(job.stage),
        }
    }

    /// Looks up a job.
    pub fn job(&self, id: &str) -> Option<JobLookup<'_>> {
        if let Some(job) = self.finished.get(id) {
            return Some(JobLookup::Finished(*job));
        }
        self.jobs.get(id).map(JobLookup::Live)
    }

    /// Active jobs that depend on this one directly.
    pub fn dependents(&self, id: &str) -> impl Iterator<Item = (&str, &Job)> {
        let ids = self.dependents.get(id).into_iter().flatten();
        ids.filter_map(|dependent| {
            let job = self.jobs.get(dependent).filter(|j| j.active())?;
            Some((dependent.as_str(), job))
        })
    }

    /// Ended jobs whose tasks may still run.
    pub fn ended_with_tasks(&self) -> impl Iterator<Item = &String> {
        self.ended_with_tasks.iter()
    }

    /// Active jobs that wait for dependencies; a job appears once per dependency that it waits for.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = &Job> {
        let ids = self.dependents.values().flatten();
        let jobs = ids.filter_map(|id| self.jobs.get(id));
        jobs.filter(|j| j.active() && j.waits_for_dependencies())
    }

    /// Whether any job waits for a dependency.
    pub fn has_waiting_jobs(&self) -> bool {
        !self.dependents.is_empty()
    }

    /// The newest format that a node reads, with the version of the node's record. A node without a record reads the
    /// first format; its version is 0.
    pub fn format_of(&self, node: &str) -> (u32, u64) {
        *self.formats.get(node).unwrap_or(&(format::FIRST, 0))
    }

    /// The parts of a follower's renewals. The result always has an element for part 0, which may be `None`.
    pub fn renewals_of(&self, node: &str) -> Vec<Option<&(RenewalsRecord, u64)>> {
        let part = |number: usize| {
            let key = renewals_key(node, number);
            self.renewals.get(key.trim_start_matches(RENEWALS_PREFIX))
        };
        let further = (1..).map(part).take_while(Option::is_some);
        [part(0)].into_iter().chain(further).collect()
    }

    /// Jobs whose records have changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed)
    }

    /// Jobs whose cancellation was read since the last call, with their records' versions.
    pub fn take_cancelled(&mut self) -> Vec<(String, u64)> {
        std::mem::take(&mut self.cancelled)
    }

    /// Tasks with an attempt on record on this machine, as job id and task number.
    pub fn tasks_placed_on(&self, machine: &str) -> impl Iterator<Item = &(String, u32)> {
        self.placed_tasks.tasks_on(machine)
    }

    /// Whether all records are as of one revision of the store, except for newer own commits.
    pub fn is_consistent(&self) -> bool {
        !self.mixed_revisions
    }

    /// Applies the changes that a watch has returned.
    pub fn apply_watch_response(&mut self, response: WatchResponse) {
        self.applying_watch_response = true;
        for event in response.events {
            if event.version <= self.revision {
                continue;
            }
            match (event.put, event.value, event.deleted) {
                (Some(key), Some(value), _) => self.put(&key, value, event.version),
                (_, _, Some(key)) => self.delete(&key, event.version),
                _ => {}
            }
        }
        self.revision = self.revision.max(response.revision);
        self.applying_watch_response = false;
        self.mixed_revisions = self.listing.is_some();
        self.finish_cancelled_jobs();
    }

    /// Puts a record into the cache, unless the cache has a newer version of it.
    pub fn put(&mut self, key: &str, value: Value, version: u64) {
        match RecordKey::parse(key) {
            RecordKey::Leader => self.put_leader(key, &value, version),
            RecordKey::LeaderLease => {
                self.leader_lease_version = self.leader_lease_version.max(Some(version));
            }
            RecordKey::MachineTypes => {
                if let Some(types) = self.read::<MachineTypes>(key, &value, version) {
                    self.machine_types = Some(types.types);
                }
            }
            RecordKey::InitialMachines => {
                self.initial_machines = self.read::<u64>(key, &value, version);
            }
            RecordKey::Renewals(node) => self.put_renewals(key, node, &value, version),
            RecordKey::Format(node) => self.put_format(key, node, &value, version),
            RecordKey::BudgetShares => self.put_budget_shares(key, &value, version),
            RecordKey::NewestBatch => self.placement_batches.on_newest_batch_written(version),
            RecordKey::Batch(number) => {
                // The value is decoded even if the number is malformed, since an unreadable batch blocks all jobs.
                let batch = self.read::<PlacementBatch>(key, &value, version);
                if let (Some(number), Some(batch)) = (number, batch) {
                    self.put_batch(number, batch, version);
                }
            }
            RecordKey::Job(id) => {
                // Avoids decoding the controller's own commits again when the watch returns them.
                if self.job_version(id) < version
                    && let Some(record) = self.read::<JobRecord>(key, &value, version)
                {
                    self.put_job(id, record, version);
                }
            }
            RecordKey::Chunk { job, number } => {
                if let Some(chunk) = self.read::<TaskChunk>(key, &value, version) {
                    self.put_chunk(job, number, chunk, version);
                }
            }
            RecordKey::Unknown => {}
        }
    }

    fn put_leader(&mut self, key: &str, value: &Value, version: u64) {
        if is_newer(self.leader.as_ref(), version)
            && let Some(record) = self.read::<LeaderRecord>(key, value, version)
        {
            self.leader = Some((record, version));
            self.last_cancellation_or_leader_change =
                self.last_cancellation_or_leader_change.max(version);
        }
    }

    fn put_renewals(&mut self, key: &str, node: &str, value: &Value, version: u64) {
        if is_newer(self.renewals.get(node), version)
            && let Some(record) = self.read::<RenewalsRecord>(key, value, version)
        {
            self.renewals.insert(node.to_string(), (record, version));
            self.renewals_generation += 1;
        }
    }

    fn put_format(&mut self, key: &str, node: &str, value: &Value, version: u64) {
        if self.format_of(node).1 < version
            && let Some(format) = self.read::<u32>(key, value, version)
        {
            self.formats.insert(node.to_string(), (format, version));
        }
    }

    fn put_budget_shares(&mut self, key: &str, value: &Value, version: u64) {
        if is_newer(self.budget_shares.as_ref(), version)
            && let Some(record) = self.read::<BudgetSharesRecord>(key, value, version)
        {
            self.budget_shares = Some((record.into_grant(), version));
        }
    }

    /// Removes a record from the cache, unless the cache has a version newer than the deletion's `version`.
    pub fn delete(&mut self, key: &str, version: u64) {
        self.clear_unreadable(key, version);
        match RecordKey::parse(key) {
            RecordKey::LeaderLease => {
                self.leader_lease_version = self.leader_lease_version.filter(|v| *v > version);
            }
            RecordKey::Leader => self.leader = self.leader.take().filter(|(_, v)| *v > version),
            RecordKey::Renewals(node) => {
                if self.renewals.get(node).is_some_and(|(_, v)| *v < version) {
                    self.renewals.remove(node);
                    self.renewals_generation += 1;
                }
            }
            RecordKey::Batch(Some(number)) => {
                // A batch is only deleted once it is superseded, so the jobs stay as they are.
                self.placement_batches.delete(number, version);
            }
            RecordKey::Format(node) => {
                if self.format_of(node).1 < version {
                    self.formats.remove(node);
                }
            }
            RecordKey::Job(id) => self.delete_job(id, version),
            RecordKey::MachineTypes
            | RecordKey::InitialMachines
            | RecordKey::BudgetShares
            | RecordKey::NewestBatch
            | RecordKey::Batch(None)
            | RecordKey::Chunk { .. }
            | RecordKey::Unknown => {}
        }
    }

    /// Decodes a record. If that fails, logs an error and, if the record describes tasks, marks its key as unreadable.
    fn read<T: DeserializeOwned>(&mut self, key: &str, value: &Value, version: u64) -> Option<T> {
        let record = from_value(value);
        if record.is_some() {
            self.clear_unreadable(key, version);
        } else {
            log::error!("record unreadable key={key} version={version}");
            if RecordKey::parse(key).describes_tasks() {
                self.unreadable.insert(key.to_string(), version);
            }
        }
        record
    }

    /// Clears the unreadable mark of a key if the record has been replaced or deleted at a later `version`.
    fn clear_unreadable(&mut self, key: &str, version: u64) {
        if self.unreadable.get(key).is_some_and(|v| *v < version) {
            self.unreadable.remove(key);
        }
    }
}

/// Whether `version` is newer than the cached record, if there is one.
fn is_newer<T>(cached: Option<&(T, u64)>, version: u64) -> bool {
    cached.is_none_or(|(_, v)| *v < version)
}
