//! Writing of job records by the leader: collects pending changes per job and sends them in transactions.
//!
//! A transaction is built only when the write budget allows it to be sent at once. Until then further changes of a job
//! are added to its pending write, so that a burst of changes costs one write per job instead of one per task.

use crate::controller::Controller;
use crate::messages::WriteId;
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{LEADER_KEY, TaskEntry, placement_batch_number};
use crate::protocol::{Clock, Micros};
pub use crate::records::pending_write::PendingWrite;
use crate::records::record_update::{RecordUpdate, WriteLimits};
use crate::records::write_settlement::WriteInFlight;
use crate::state::record_cache::{Job, RecordCache};
use crate::state::store_client::RequestPriority;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of transactions in flight.
const MAX_WRITES_IN_FLIGHT: usize = 3;
/// Rejected transactions never lower the limit of changes per transaction below this.
const MIN_CHANGE_LIMIT: usize = 2;

/// How many writes are due, and when the next one will be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DueWrites {
    /// Number of jobs whose writes are due.
    pub count: usize,
    /// When the next write will be due.
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
    pub(super) writes_in_flight: BTreeMap<WriteId, WriteInFlight>,
    /// Jobs in transactions in flight, with the placements in these transactions. A job is in at most one at a time.
    placements_in_flight: BTreeMap<String, Vec<TaskEntry>>,
    last_write_number: u64,
    /// Whether the due writes must be counted again, because pending writes have changed or some were due.
    recount_due: bool,
    /// Unless `recount_due` is set, no write is due before this.
    next_due_at: Micros,
    /// Limit of changes per transaction, set once the store has rejected a larger one.
    max_changes: Option<usize>,
    /// Whether the store has rejected a placement batch.
    pub batch_rejected: bool,
}

impl RecordWriter {
    /// The pending write of a job, for adding changes. It is created if there is none.
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
        self.placements_in_flight.contains_key(id)
    }

    /// Jobs with pending changes or changes in flight. A job with both appears twice.
    pub fn jobs(&self) -> impl Iterator<Item = &str> {
        let jobs = self.pending.keys().chain(self.placements_in_flight.keys());
        jobs.map(String::as_str)
    }

    /// Placements of a job that are not on record yet. They occupy capacity from the moment they are chosen.
    pub fn unrecorded_placements(&self, id: &str) -> impl Iterator<Item = &TaskEntry> {
        let in_flight = self.placements_in_flight.get(id).into_iter().flatten();
        let pending = self.pending.get(id).into_iter();
        in_flight.chain(pending.flat_map(|write| &write.placements))
    }

    /// Whether a placement of the task has been chosen but is not on record yet. Until it is, the task must not be
    /// started, since the attempt on record may be about to be replaced.
    pub fn is_placing(&self, id: &str, task: u32) -> bool {
        self.unrecorded_placements(id)
            .any(|placement| placement.task() == task)
    }

    /// Whether the completion of a task is waiting to be recorded.
    pub fn is_recording_completion(&self, id: &str, task: u32) -> bool {
        let pending = self.pending.get(id);
        pending.is_some_and(|write| write.done.contains(&task))
    }

    /// Whether no write is pending. Transactions may still be in flight.
    pub fn has_no_pending_writes(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether placements of a job are pending.
    pub fn has_pending_placements(&self, id: &str) -> bool {
        let pending = self.pending.get(id);
        pending.is_some_and(|write| !write.placements.is_empty())
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

    /// Marks placements of a job as in flight. `still_pending` stays pending, with the job's other changes.
    pub fn mark_placements_in_flight(
        &mut self,
        id: &str,
        still_pending: Vec<TaskEntry>,
        placements: Vec<TaskEntry>,
    ) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.placements = still_pending;
            if pending.is_empty() {
                self.pending.remove(id);
            }
        }
        self.placements_in_flight.insert(id.to_string(), placements);
    }

    /// Registers a transaction in flight that changes these jobs; returns the id of the write.
    /// The first condition must be the one on the leader record.
    pub fn begin_write(&mut self, jobs: Vec<String>, transaction: Transaction) -> WriteId {
        self.last_write_number += 1;
        let write_id = WriteId {
            leader_version: transaction.conditions[0].version,
            number: self.last_write_number,
        };
        let write = WriteInFlight::new(jobs, transaction);
        self.writes_in_flight.insert(write_id, write);
        write_id
    }

    /// The writes that are settled by a confirmed read that was sent at `sent`.
    pub(super) fn take_writes_settled_by_read(&mut self, sent: Micros) -> Vec<WriteId> {
        let mut ids = Vec::new();
        for (id, write) in &mut self.writes_in_flight {
            if write.settled_by_read_from.is_some_and(|from| from <= sent) {
                write.settled_by_read_from = None;
                ids.push(*id);
            }
        }
        ids
    }

    /// Removes a transaction from those in flight; returns whether it was among them. Its changes are in the cache by
    /// now, or they will be derived again from the agents' heartbeats and the next scheduling pass.
    pub(super) fn end_write(&mut self, write_id: WriteId) -> bool {
        let Some(write) = self.writes_in_flight.remove(&write_id) else {
            return false;
        };
        for id in write.jobs {
            self.placements_in_flight.remove(&id);
        }
        self.recount_due = true;
        true
    }

    /// Counts the writes that are due. Drops pending writes of jobs that are not in the cache.
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

    /// Builds a transaction from the pending writes of these jobs, marks it as in flight and returns it with its write
    /// id. It has at most `max_changes` changes unless the first job needs more. `None` if there is nothing to change.
    fn take_transaction(
        &mut self,
        leader_version: u64,
        due_jobs: Vec<String>,
        cache: &RecordCache,
        clock: Clock,
        max_changes: usize,
        limits: WriteLimits,
    ) -> Option<(WriteId, Transaction)> {
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
            if update.still_pending.is_empty() {
                self.pending.remove(&id);
            } else {
                self.pending.insert(id.clone(), update.still_pending);
            }
            if update.changes.is_empty() {
                continue;
            }
            conditions.extend(update.conditions);
            changes.extend(update.changes);
            self.placements_in_flight
                .insert(id.clone(), update.placements);
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

    /// Makes later transactions smaller after the store has rejected one. After the rejection of a placement batch no
    /// further batches are written; other rejections halve the limit of changes.
    pub(super) fn on_rejected(&mut self, transaction: &Transaction) {
        let mut conditions = transaction.conditions.iter();
        if conditions.any(|c| placement_batch_number(&c.key).is_some()) {
            self.batch_rejected = true;
        } else {
            let halved = transaction.changes.len() / 2;
            self.max_changes = Some(halved.max(MIN_CHANGE_LIMIT));
        }
    }
}

impl Controller {
    /// Counts the writes of job records that are due; none are before the cache is complete.
    pub fn due_job_writes(&mut self, now: Micros) -> DueWrites {
        match &mut self.leader {
            Some(leader) if leader.has_complete_cache(&self.cache) => {
                leader.record_writer.count_due(&self.cache.jobs, now)
            }
            _ => DueWrites::NONE,
        }
    }

    /// Writes due job records in one transaction, with at most `max_changes` changes unless a single job needs more.
    pub fn write_job_records(&mut self, clock: Clock, max_changes: usize) {
        let Some(leader) = &self.leader else { return };
        let params = &self.settings.params.state;
        let change_limit = leader.record_writer.max_changes.unwrap_or(usize::MAX);
        let max_changes = max_changes.min(change_limit);
        let limits = WriteLimits {
            max_changes: params.effective_txn_ops().min(change_limit),
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
        let writer = &mut leader.record_writer;
        let taken =
            writer.take_transaction(version, due_jobs, &self.cache, clock, max_changes, limits);
        if let Some((write_id, transaction)) = taken {
            self.send_job_write(RequestPriority::Normal, write_id, transaction);
        }
    }
}
