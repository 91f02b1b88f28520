//! Writing of placement batches: records that each hold the placements of many jobs.
//!
//! Writing a job's record costs one change, and the store accepts a few dozen changes per second. When hundreds of jobs
//! lose tasks at once, recording the new placements job by job would delay most of them for longer than their tasks
//! take to start. The leader therefore writes the placements as a batch: one change covers as many jobs as a
//! transaction may have conditions. Later it merges them into the jobs' own records with spare write budget.
//! `docs/safety.md` argues why that is safe.

use crate::agents::leader_state::LeaderState;
use crate::controller::Controller;
use crate::messages::StoreRequestPurpose;
use crate::protocol::codec::json_len;
use crate::protocol::format::PLACEMENT_BATCHES;
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{
    LEADER_KEY, NEWEST_PLACEMENT_BATCH_KEY, PlacementBatch, TaskEntry, job_key, placement_batch_key,
};
use crate::protocol::{Clock, JobKind, Micros};
use crate::records::pending_write::PendingWrite;
use crate::records::record_update::{RecordUpdate, WriteLimits};
use crate::records::record_writer::RecordWriter;
use crate::state::record_cache::{Job, RecordCache};
use crate::state::store_client::{RequestPriority, StoreRequest};

/// A batch is written only if writing the waiting jobs one by one would take at least this many seconds.
const MIN_BACKLOG_S: f64 = 0.5;
/// Minimum number of jobs in a batch: for fewer, the second change that a batch costs saves too little.
const MIN_JOBS_PER_BATCH: usize = 6;
/// Interval at which placements are merged into the jobs' own records.
const MERGE_INTERVAL: Micros = Micros::millis(1_000);
/// Number of jobs merged per interval, as a share of our write budget per second. Merging yields to pending writes.
const MERGE_BUDGET_SHARE: f64 = 0.25;
/// A transaction may have this many times as many conditions as changes (PROTOCOL, "POST /multi").
const CONDITIONS_PER_CHANGE: usize = 4;
/// Size of the comma between two elements of a JSON array.
const SEPARATOR_BYTES: usize = 1;

/// A job in a batch.
#[derive(Debug)]
struct BatchedJob {
    id: String,
    /// Placements that do not go into the batch and stay pending.
    still_pending: Vec<TaskEntry>,
}

/// A batch being assembled. The placements of `jobs[i]` are `batch.places[i]`.
#[derive(Debug, Default)]
struct BatchDraft {
    jobs: Vec<BatchedJob>,
    batch: PlacementBatch,
    /// Conditions on the versions of the jobs' records.
    conditions: Vec<VersionCondition>,
}

impl BatchDraft {
    /// Collects the pending placements of jobs until the batch is full or has `max_conditions` conditions.
    fn gather(
        due_jobs: &[String],
        writer: &RecordWriter,
        cache: &RecordCache,
        clock: Clock,
        limits: WriteLimits,
        max_conditions: usize,
    ) -> BatchDraft {
        let mut draft = BatchDraft::default();
        let mut bytes = json_len(&draft.batch);
        for id in due_jobs {
            let (Some(pending), Some(job)) = (writer.pending_write(id), cache.jobs.get(id)) else {
                continue;
            };
            // The tasks of a gang end together, so their completions are written first, into the job's own record.
            let gang_has_completions =
                job.record.spec.kind == JobKind::Gang && !pending.done.is_empty();
            if pending.placements.is_empty() || gang_has_completions {
                continue;
            }
            let pending_placements = PendingWrite::of_placements(pending.placements.clone());
            let update = RecordUpdate::new(id, job, &pending_placements, false, clock, limits);
            if update.placements.is_empty() {
                continue;
            }
            let placements: (String, Vec<TaskEntry>) = (id.clone(), update.placements);
            let added_bytes = json_len(&placements) + SEPARATOR_BYTES;
            if bytes + added_bytes > limits.max_value_bytes {
                if draft.jobs.is_empty() {
                    continue;
                }
                break;
            }
            bytes += added_bytes;
            draft.add(id, job, placements, update.still_pending.placements);
            if draft.conditions.len() >= max_conditions {
                break;
            }
        }
        draft
    }

    fn add(
        &mut self,
        id: &str,
        job: &Job,
        placements: (String, Vec<TaskEntry>),
        still_pending: Vec<TaskEntry>,
    ) {
        // Fails the transaction if the job has been cancelled since.
        let unchanged = VersionCondition::new(&job_key(id), job.version);
        self.conditions.push(unchanged);
        self.batch.placements.push(placements);
        self.jobs.push(BatchedJob {
            id: id.to_string(),
            still_pending,
        });
    }
}

impl Controller {
    /// Writes the placements of many jobs as one batch if enough jobs wait; returns whether a batch was written.
    /// `due_jobs` are the jobs whose writes are due, earliest deadline first.
    pub(crate) fn write_placement_batch(
        &mut self,
        clock: Clock,
        due_jobs: &[String],
        limits: WriteLimits,
    ) -> bool {
        if !self.should_write_batch(due_jobs, limits) {
            return false;
        }
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let in_flight = leader.record_writer.batches_in_flight();
        let number = self.cache.placement_batches.free_number(&in_flight);
        let key = placement_batch_key(number);
        // A batch number is free again once its batch is superseded. A transaction whose response was lost must not be
        // carried out after that, so it is also conditional on the newest batch.
        let newest = VersionCondition::new(
            NEWEST_PLACEMENT_BATCH_KEY,
            self.cache.placement_batches.newest_version(),
        );
        let mut conditions = vec![
            VersionCondition::new(LEADER_KEY, leader.version),
            VersionCondition::new(&key, 0),
            newest,
        ];
        let max_conditions = limits.max_changes * CONDITIONS_PER_CHANGE;
        let max_job_conditions = max_conditions.saturating_sub(conditions.len());
        let writer = &mut leader.record_writer;
        let draft = BatchDraft::gather(
            due_jobs,
            writer,
            &self.cache,
            clock,
            limits,
            max_job_conditions,
        );
        if draft.jobs.len() < MIN_JOBS_PER_BATCH {
            return false;
        }
        let tasks: usize = draft.batch.placements.iter().map(|(_, p)| p.len()).sum();
        let jobs = draft.jobs.len();
        log::info!("placement batch written batch={number} tasks={tasks} jobs={jobs}");
        conditions.extend(draft.conditions);
        let transaction = Transaction {
            conditions,
            changes: vec![
                Change::put(&key, &draft.batch, None),
                Change::put(NEWEST_PLACEMENT_BATCH_KEY, &number, None),
            ],
        };
        let mut ids = Vec::new();
        for (job, (_, placements)) in draft.jobs.into_iter().zip(draft.batch.placements) {
            writer.mark_placements_in_flight(&job.id, job.still_pending, placements);
            ids.push(job.id);
        }
        let write_id = writer.begin_write(ids, transaction.clone());
        self.send_job_write(RequestPriority::Normal, write_id, transaction);
        true
    }

    /// Whether enough jobs wait for a batch to pay off, and a batch may be written now.
    fn should_write_batch(&self, due_jobs: &[String], limits: WriteLimits) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        if !self.all_controllers_read(PLACEMENT_BATCHES)
            || leader.record_writer.batch_rejected
            || limits.max_changes < 2
        {
            return false;
        }
        // Only one batch is in flight at a time, since each is conditional on the previous one.
        if !leader.record_writer.batches_in_flight().is_empty() {
            return false;
        }
        let backlog = (self.store.write_rate() * MIN_BACKLOG_S) as usize;
        let waiting = due_jobs.iter();
        let waiting = waiting.filter(|id| leader.record_writer.has_pending_placements(id));
        waiting.count() >= backlog.max(MIN_JOBS_PER_BATCH)
    }

    /// Merges placement batches into the jobs' own records, a few jobs at a time, and deletes superseded batches;
    /// returns when it should be called again.
    pub(crate) fn merge_placement_batches(&mut self, clock: Clock) -> Micros {
        if self.cache.placement_batches.is_empty() {
            return Micros::FAR_FUTURE;
        }
        match &self.leader {
            None => return Micros::FAR_FUTURE,
            Some(leader) if clock.now < leader.batch_merge_due => return leader.batch_merge_due,
            Some(_) => {}
        }
        // A downgraded controller cannot read batches, so all of them are merged at once.
        let merge_all = !self.all_controllers_read(PLACEMENT_BATCHES);
        let share = (self.store.write_rate() * MERGE_BUDGET_SHARE).max(1.0) as usize;
        let Some(leader) = &mut self.leader else {
            return Micros::FAR_FUTURE;
        };
        leader.batch_merge_due = clock.now + MERGE_INTERVAL;
        if !merge_all && !leader.record_writer.has_no_pending_writes() {
            return leader.batch_merge_due;
        }
        let mut remaining_jobs = if merge_all { usize::MAX } else { share };
        for (number, version) in self.cache.placement_batches.numbers() {
            if self.cache.is_batch_superseded(number) {
                log::debug!("placement batch superseded batch={number}");
                self.store.enqueue(
                    RequestPriority::Background,
                    StoreRequestPurpose::BackgroundWrite,
                    StoreRequest::Transaction(deletion(number, version, leader.version)),
                );
                continue;
            }
            for (id, _) in self.cache.placement_batches.placements(number) {
                let job = self.cache.jobs.get(id);
                if remaining_jobs > 0 && job.is_some_and(|j| !j.batched_placements.is_empty()) {
                    leader
                        .record_writer
                        .pending_write_mut(id, clock.now)
                        .merge_batched = true;
                    remaining_jobs -= 1;
                }
            }
        }
        leader.batch_merge_due
    }
}

/// The transaction that deletes a batch, provided that the batch still has this version.
fn deletion(number: u32, version: u64, leader_version: u64) -> Transaction {
    let key = placement_batch_key(number);
    Transaction {
        conditions: vec![
            VersionCondition::new(LEADER_KEY, leader_version),
            VersionCondition::new(&key, version),
        ],
        changes: vec![Change::Delete { key }],
    }
}

impl LeaderState {
    /// Whether the cache contains every write of earlier leaders. Conditions on the versions of job records do not
    /// ensure this, because a placement batch does not change those versions.
    pub fn has_complete_cache(&self, cache: &RecordCache) -> bool {
        cache.revision >= self.leadership_version && !cache.has_unreadable_batch()
    }
}
