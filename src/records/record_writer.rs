//! Writes of job records by the leader: pending changes, gathered per job, and the transactions that carry them.
//!
//! A transaction is built only when the store can take it at once. Until then further changes of the same job join the
//! pending one, so that a burst costs one write per job and not one per task.

use crate::controller::Controller;
use crate::messages::{PendingRequest, StoreRequestPurpose};
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{
    LEADER_KEY, NEWEST_PLACEMENT_BATCH_KEY, TaskEntry, job_key, placement_batch_number,
};
use crate::protocol::{Clock, Micros};
pub use crate::records::pending_write::PendingWrite;
use crate::records::record_update::{RecordUpdate, WriteLimits};
use crate::state::record_cache::{Job, RecordCache};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};
use std::collections::{BTreeMap, BTreeSet};

/// Transactions in flight at once.
const MAX_WRITES_IN_FLIGHT: usize = 3;
/// The limit of changes per transaction is never lowered below this.
const LEAST_MAX_CHANGES: usize = 2;

/// A transaction of job records in flight.
#[derive(Debug, Clone)]
struct WriteInFlight {
    jobs: Vec<String>,
    transaction: Transaction,
}

/// The jobs whose writes are due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DueWrites {
    /// How many are due.
    pub count: usize,
    /// When the next one will be.
    pub next_at: Micros,
}

impl DueWrites {
    const NONE: DueWrites = DueWrites {
        count: 0,
        next_at: Micros::FAR_FUTURE,
    };
}

/// Pending changes of job records and the transactions in flight.
#[derive(Debug, Default)]
pub struct RecordWriter {
    /// Pending changes, by job.
    pending: BTreeMap<String, PendingWrite>,
    writes_in_flight: BTreeMap<u64, WriteInFlight>,
    /// Jobs in transactions in flight, with the places that these carry. A job is in one transaction at a time.
    places_in_flight: BTreeMap<String, Vec<TaskEntry>>,
    last_write_id: u64,
    /// Whether due writes have to be counted again: something has changed since, or some were due.
    recount_due: bool,
    /// Otherwise no write is due before this.
    next_due_at: Micros,
    /// The store has rejected larger transactions than this.
    max_changes: Option<usize>,
    /// Whether the store has rejected a placement batch.
    pub batch_rejected: bool,
}

impl RecordWriter {
    /// The pending write of a job, to be added to.
    pub fn pending_write_mut(&mut self, id: &str, now: Micros) -> &mut PendingWrite {
        self.recount_due = true;
        self.pending
            .entry(id.to_string())
            .or_insert_with(|| PendingWrite::empty_since(now))
    }

    /// The pending write of a job.
    pub fn pending_write(&self, id: &str) -> Option<&PendingWrite> {
        self.pending.get(id)
    }

    /// Whether the job's record is in a transaction in flight.
    pub fn in_flight(&self, id: &str) -> bool {
        self.places_in_flight.contains_key(id)
    }

    /// Jobs with pending changes or changes in flight; some appear twice.
    pub fn jobs(&self) -> impl Iterator<Item = &str> {
        let jobs = self.pending.keys().chain(self.places_in_flight.keys());
        jobs.map(String::as_str)
    }

    /// Places of a job that are not on record yet: they take capacity from the moment they are chosen.
    pub fn unrecorded_places(&self, id: &str) -> impl Iterator<Item = &TaskEntry> {
        let in_flight = self.places_in_flight.get(id).into_iter().flatten();
        let pending = self.pending.get(id).into_iter();
        in_flight.chain(pending.flat_map(|write| &write.places))
    }

    /// Whether a task's place is chosen and not on record yet. The task must not be started meanwhile, since the
    /// attempt on record may be about to be replaced.
    pub fn is_placing(&self, id: &str, task: u32) -> bool {
        self.unrecorded_places(id).any(|place| place.task() == task)
    }

    /// Whether a task's completion is about to be recorded.
    pub fn is_recording_completion(&self, id: &str, task: u32) -> bool {
        let pending = self.pending.get(id);
        pending.is_some_and(|write| write.done.contains(&task))
    }

    /// Whether no change is pending.
    pub fn idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether places of a job are pending.
    pub fn has_pending_places(&self, id: &str) -> bool {
        let pending = self.pending.get(id);
        pending.is_some_and(|write| !write.places.is_empty())
    }

    /// Numbers of the placement batches in flight.
    pub fn batches_in_flight(&self) -> BTreeSet<u32> {
        let writes = self.writes_in_flight.values();
        let changes = writes.flat_map(|write| &write.transaction.changes);
        let batch_number = |change: &Change| match change {
            Change::Put { key, .. } => placement_batch_number(key),
            Change::Delete { .. } => None,
        };
        changes.filter_map(batch_number).collect()
    }

    /// Marks places of a job as in flight. `rest` stays pending, with the job's other changes.
    pub fn mark_places_in_flight(
        &mut self,
        id: &str,
        rest: Vec<TaskEntry>,
        places: Vec<TaskEntry>,
    ) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.places = rest;
            if pending.is_empty() {
                self.pending.remove(id);
            }
        }
        self.places_in_flight.insert(id.to_string(), places);
    }

    /// Notes a transaction in flight that changes these jobs; returns the number of the write.
    pub fn begin_write(&mut self, jobs: Vec<String>, transaction: Transaction) -> u64 {
        self.last_write_id += 1;
        let write = WriteInFlight { jobs, transaction };
        self.writes_in_flight.insert(self.last_write_id, write);
        self.last_write_id
    }

    /// Forgets a transaction in flight; returns whether it was known. Its changes are in the cache now, or will be
    /// derived again from what the agents report and the next scheduling pass decides.
    fn end_write(&mut self, write_id: u64) -> bool {
        let Some(write) = self.writes_in_flight.remove(&write_id) else {
            return false;
        };
        for id in write.jobs {
            self.places_in_flight.remove(&id);
        }
        self.recount_due = true;
        true
    }

    /// Counts the writes that are due. Pending changes of jobs that the cache does not have are dropped.
    fn count_due(&mut self, jobs: &BTreeMap<String, Job>, now: Micros) -> DueWrites {
        if self.writes_in_flight.len() >= MAX_WRITES_IN_FLIGHT {
            return DueWrites::NONE;
        }
        if !self.recount_due && now < self.next_due_at {
            return DueWrites {
                count: 0,
                next_at: self.next_due_at,
            };
        }
        self.pending.retain(|id, _| jobs.contains_key(id));
        let mut due = DueWrites::NONE;
        for (id, pending) in &self.pending {
            let Some(job) = jobs.get(id).filter(|_| !self.in_flight(id)) else {
                continue;
            };
            let due_at = pending.schedule(job).due_at;
            if due_at <= now {
                due.count += 1;
            } else {
                due.next_at = due.next_at.min(due_at);
            }
        }
        self.recount_due = due.count > 0;
        self.next_due_at = due.next_at;
        due
    }

    /// Jobs whose writes are due, earliest deadline first.
    fn due_jobs(&self, jobs: &BTreeMap<String, Job>, now: Micros) -> Vec<String> {
        let mut due: Vec<(Micros, &String)> = Vec::new();
        for (id, pending) in &self.pending {
            let Some(job) = jobs.get(id).filter(|_| !self.in_flight(id)) else {
                continue;
            };
            let schedule = pending.schedule(job);
            if schedule.due_at <= now {
                due.push((schedule.deadline, id));
            }
        }
        due.sort_unstable();
        due.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Builds a transaction from the writes of these jobs, with at most `max_changes` changes unless the first job
    /// needs more, and marks them as in flight. `None` if there is nothing to change.
    fn take_transaction(
        &mut self,
        leader_version: u64,
        due_jobs: Vec<String>,
        cache: &RecordCache,
        clock: Clock,
        max_changes: usize,
        limits: WriteLimits,
    ) -> Option<(u64, Transaction)> {
        let mut conditions = vec![VersionCondition::new(LEADER_KEY, leader_version)];
        let mut changes = Vec::new();
        let mut jobs = Vec::new();
        for id in due_jobs {
            let (Some(pending), Some(job)) = (self.pending.get(&id), cache.jobs.get(&id)) else {
                continue;
            };
            let in_batches = cache.placement_batches.has_job(&id);
            let update = RecordUpdate::new(&id, job, pending, in_batches, clock, limits);
            if !changes.is_empty() && changes.len() + update.changes.len() > max_changes {
                break;
            }
            if update.rest.is_empty() {
                self.pending.remove(&id);
            } else {
                self.pending.insert(id.clone(), update.rest);
            }
            if update.changes.is_empty() {
                continue;
            }
            conditions.extend(update.conditions);
            changes.extend(update.changes);
            self.places_in_flight.insert(id.clone(), update.places);
            jobs.push(id);
            if changes.len() >= max_changes {
                break;
            }
        }
        if changes.is_empty() {
            return None;
        }
        let transaction = Transaction {
            conditions,
            changes,
        };
        let write_id = self.begin_write(jobs, transaction.clone());
        Some((write_id, transaction))
    }

    /// The store has rejected a transaction: makes later ones smaller. What was rejected decides, not what else is in
    /// flight.
    fn on_rejected(&mut self, transaction: &Transaction) {
        let mut conditions = transaction.conditions.iter();
        if conditions.any(|c| placement_batch_number(&c.key).is_some()) {
            self.batch_rejected = true;
        } else {
            let halved = transaction.changes.len() / 2;
            self.max_changes = Some(halved.max(LEAST_MAX_CHANGES));
        }
    }
}

impl WriteInFlight {
    /// Whether the store may still carry out the transaction: its conditions hold according to the cache.
    fn may_be_carried_out(&self, leader_version: u64, cache: &RecordCache) -> bool {
        leader_version == self.transaction.conditions[0].version
            && self.batch_is_unwritten(cache)
            && self.jobs.iter().all(|id| self.job_is_unchanged(id, cache))
    }

    /// A placement batch changes no record of a job: only its own record shows whether it was written.
    fn batch_is_unwritten(&self, cache: &RecordCache) -> bool {
        let batches = &cache.placement_batches;
        self.transaction.conditions.iter().all(|condition| {
            let number = placement_batch_number(&condition.key);
            number.is_none_or(|n| batches.version(n) == condition.version)
                && (condition.key != NEWEST_PLACEMENT_BATCH_KEY
                    || batches.head() == condition.version)
        })
    }

    fn job_is_unchanged(&self, id: &str, cache: &RecordCache) -> bool {
        let Some(job) = cache.jobs.get(id) else {
            return false;
        };
        let key = job_key(id);
        let condition = self.transaction.conditions.iter().find(|c| c.key == key);
        condition.is_none_or(|c| c.version == job.version)
    }
}

impl Controller {
    /// Counts the writes of job records that are due.
    pub fn due_job_writes(&mut self, now: Micros) -> DueWrites {
        match &mut self.leader {
            Some(leader) if leader.has_complete_cache(&self.cache) => {
                leader.record_writer.count_due(&self.cache.jobs, now)
            }
            _ => DueWrites::NONE,
        }
    }

    /// Writes the job records that are due, several jobs per transaction, with at most `max_changes` changes unless a
    /// single job needs more.
    pub fn write_job_records(&mut self, clock: Clock, max_changes: usize) {
        let Some(leader) = &self.leader else { return };
        let params = &self.settings.params.state;
        let accepted = leader.record_writer.max_changes.unwrap_or(usize::MAX);
        let max_changes = max_changes.min(accepted);
        let limits = WriteLimits {
            max_changes: params.effective_txn_ops().min(accepted),
            max_value_bytes: params.effective_value_bytes(),
        };
        let due_jobs = leader.record_writer.due_jobs(&self.cache.jobs, clock.now);
        // A batch takes two changes.
        if max_changes >= 2 && self.write_placement_batch(clock, &due_jobs, limits) {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let version = leader.version;
        let edits = &mut leader.record_writer;
        let taken =
            edits.take_transaction(version, due_jobs, &self.cache, clock, max_changes, limits);
        if let Some((write_id, transaction)) = taken {
            self.send_job_write(RequestPriority::Normal, write_id, transaction);
        }
    }

    /// Sends a transaction of job records to the store.
    pub(super) fn send_job_write(
        &mut self,
        priority: RequestPriority,
        write_id: u64,
        transaction: Transaction,
    ) {
        self.store.enqueue(
            priority,
            StoreRequestPurpose::WriteJobs(write_id),
            StoreRequest::Transaction(transaction),
        );
    }

    /// The store has responded to a transaction of job records, or has not.
    pub fn on_job_writes_result(
        &mut self,
        clock: Clock,
        write_id: u64,
        request: StoreRequest,
        response: StoreResponse,
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if !leader
            .record_writer
            .writes_in_flight
            .contains_key(&write_id)
        {
            return;
        }
        let StoreRequest::Transaction(transaction) = &request else {
            return;
        };
        match response {
            StoreResponse::Committed(revision) => {
                self.apply_own_commit(transaction, revision);
                self.end_job_write(write_id);
                self.on_changed_jobs();
                self.send_commands(clock);
            }
            StoreResponse::Rejected => {
                leader.record_writer.on_rejected(transaction);
                self.end_job_write(write_id);
            }
            // Certainly not carried out: the changes will be derived again.
            StoreResponse::Refused | StoreResponse::TooFast => self.end_job_write(write_id),
            _ => self.request_read_barrier(clock, PendingRequest::SettleJobWrites(write_id)),
        }
    }

    fn end_job_write(&mut self, write_id: u64) {
        if let Some(leader) = &mut self.leader
            && leader.record_writer.end_write(write_id)
        {
            leader.dirty = true;
        }
    }

    /// The cache has caught up after a failed or unanswered transaction. If all conditions of the transaction still
    /// hold, it may yet be carried out, so it is sent again unchanged.
    pub fn settle_job_write(&mut self, write_id: u64) {
        let Some(leader) = &self.leader else { return };
        let Some(write) = leader.record_writer.writes_in_flight.get(&write_id) else {
            return;
        };
        if write.may_be_carried_out(leader.version, &self.cache) {
            let transaction = write.transaction.clone();
            self.send_job_write(RequestPriority::Normal, write_id, transaction);
        } else {
            self.end_job_write(write_id);
        }
    }

    /// The cache could not catch up either after a failed or unanswered transaction: sends it again with low priority.
    pub fn retry_job_write(&mut self, write_id: u64) {
        if let Some(leader) = &self.leader
            && let Some(write) = leader.record_writer.writes_in_flight.get(&write_id)
        {
            let transaction = write.transaction.clone();
            self.send_job_write(RequestPriority::Background, write_id, transaction);
        }
    }
}
