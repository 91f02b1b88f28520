//! Placement batches: places of many jobs in one record.
//!
//! A job's record is one change of the store, and the store takes a few dozen a second. When hundreds of jobs lose
//! tasks at once, writing each job's record would keep most of them waiting for longer than starting their tasks
//! takes. So the leader writes their places as a batch, one change for as many jobs as a transaction may have
//! conditions, and merges them into the jobs' own records later, with what the write budget leaves. `docs/safety.md`
//! argues why that is safe.

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

/// A batch is written once writing the waiting jobs one by one would take this many seconds.
const WORTHWHILE_BACKLOG_S: f64 = 0.5;
/// A batch has at least this many jobs: fewer are not worth the second change that it costs.
const MIN_JOBS: usize = 6;
/// Interval at which places are merged into the jobs' own records.
const MERGE_INTERVAL: Micros = Micros::millis(1_000);
/// Jobs merged at a time, as a share of our write budget for a second, while no other write waits.
const MERGE_SHARE: f64 = 0.25;
/// A transaction may have this many times as many conditions as changes (PROTOCOL, "POST /multi").
const CONDITIONS_PER_CHANGE: usize = 4;
/// Between two elements of a JSON list.
const SEPARATOR_BYTES: usize = 1;

/// A job's part of a batch.
#[derive(Debug)]
struct BatchedJob {
    id: String,
    /// Places that the batch does not take.
    rest: Vec<TaskEntry>,
}

/// A batch being assembled. The places of `jobs[i]` are `batch.places[i]`.
#[derive(Debug, Default)]
struct BatchDraft {
    jobs: Vec<BatchedJob>,
    batch: PlacementBatch,
    /// Conditions on the versions of the jobs' records.
    conditions: Vec<VersionCondition>,
}

impl BatchDraft {
    /// Gathers the pending places of jobs, with at most `max_conditions` conditions.
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
            // The members of a gang end together: their completions are written first.
            let gang_ends = job.record.spec.kind == JobKind::Gang && !pending.done.is_empty();
            if pending.places.is_empty() || gang_ends {
                continue;
            }
            let only_places = PendingWrite::of_places(pending.places.clone());
            let update = RecordUpdate::new(id, job, &only_places, false, clock, limits);
            if update.places.is_empty() {
                continue;
            }
            let places: (String, Vec<TaskEntry>) = (id.clone(), update.places);
            let added_bytes = json_len(&places) + SEPARATOR_BYTES;
            if bytes + added_bytes > limits.max_value_bytes {
                if draft.jobs.is_empty() {
                    continue;
                }
                break;
            }
            bytes += added_bytes;
            draft.add(id, job, places, update.rest.places);
            if draft.conditions.len() >= max_conditions {
                break;
            }
        }
        draft
    }

    fn add(&mut self, id: &str, job: &Job, places: (String, Vec<TaskEntry>), rest: Vec<TaskEntry>) {
        // The version of the job's record shows that nobody has cancelled the job meanwhile.
        let unchanged = VersionCondition::new(&job_key(id), job.version);
        self.conditions.push(unchanged);
        self.batch.placements.push(places);
        self.jobs.push(BatchedJob {
            id: id.to_string(),
            rest,
        });
    }
}

impl Controller {
    /// Writes the places of many jobs as one batch if enough of them wait; returns whether it did. `due_jobs`: jobs
    /// whose writes are due, most urgent first.
    pub(crate) fn write_placement_batch(
        &mut self,
        clock: Clock,
        due_jobs: &[String],
        limits: WriteLimits,
    ) -> bool {
        if !self.batch_is_worthwhile(due_jobs, limits) {
            return false;
        }
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let in_flight = leader.record_writer.batches_in_flight();
        let number = self.cache.placement_batches.free_number(&in_flight);
        let key = placement_batch_key(number);
        // A number is reused once its batch is superseded. A transaction whose response was lost must not be carried
        // out after that, so the newest batch is a condition, too.
        let newest = VersionCondition::new(
            NEWEST_PLACEMENT_BATCH_KEY,
            self.cache.placement_batches.head(),
        );
        let mut conditions = vec![
            VersionCondition::new(LEADER_KEY, leader.version),
            VersionCondition::new(&key, 0),
            newest,
        ];
        let max_conditions = limits.max_changes * CONDITIONS_PER_CHANGE;
        let for_jobs = max_conditions.saturating_sub(conditions.len());
        let edits = &mut leader.record_writer;
        let draft = BatchDraft::gather(due_jobs, edits, &self.cache, clock, limits, for_jobs);
        if draft.jobs.len() < MIN_JOBS {
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
        for (job, (_, places)) in draft.jobs.into_iter().zip(draft.batch.placements) {
            edits.mark_places_in_flight(&job.id, job.rest, places);
            ids.push(job.id);
        }
        let write_id = edits.begin_write(ids, transaction.clone());
        self.send_job_write(RequestPriority::Normal, write_id, transaction);
        true
    }

    /// Whether enough jobs wait for a batch, and one may be written now.
    fn batch_is_worthwhile(&self, due_jobs: &[String], limits: WriteLimits) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        if !self.all_controllers_read(PLACEMENT_BATCHES)
            || leader.record_writer.batch_rejected
            || limits.max_changes < 2
        {
            return false;
        }
        // One batch at a time: each has the one before it as a condition.
        if !leader.record_writer.batches_in_flight().is_empty() {
            return false;
        }
        let backlog = (self.store.write_rate() * WORTHWHILE_BACKLOG_S) as usize;
        let waiting = due_jobs.iter();
        let waiting = waiting.filter(|id| leader.record_writer.has_pending_places(id));
        waiting.count() >= backlog.max(MIN_JOBS)
    }

    /// Merges placement batches into the jobs' own records, a few jobs at a time, and deletes batches that are
    /// superseded; returns when to call it again.
    pub(crate) fn merge_placement_batches(&mut self, clock: Clock) -> Micros {
        if self.cache.placement_batches.is_empty() {
            return Micros::FAR_FUTURE;
        }
        match &self.leader {
            None => return Micros::FAR_FUTURE,
            Some(leader) if clock.now < leader.batch_merge_due => return leader.batch_merge_due,
            Some(_) => {}
        }
        // A controller that has been downgraded does not see batches: then everything is merged at once.
        let merge_all = !self.all_controllers_read(PLACEMENT_BATCHES);
        let share = (self.store.write_rate() * MERGE_SHARE).max(1.0) as usize;
        let Some(leader) = &mut self.leader else {
            return Micros::FAR_FUTURE;
        };
        leader.batch_merge_due = clock.now + MERGE_INTERVAL;
        if !merge_all && !leader.record_writer.idle() {
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
            for (id, _) in self.cache.placement_batches.places(number) {
                let job = self.cache.jobs.get(id);
                if remaining_jobs > 0 && job.is_some_and(|j| !j.batched_places.is_empty()) {
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

/// The transaction that deletes a batch with this version.
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
    /// Whether the cache contains everything that earlier leaders wrote. The versions of job records alone do not show
    /// that, because a placement batch changes none of them.
    pub fn has_complete_cache(&self, cache: &RecordCache) -> bool {
        cache.revision >= self.leadership_version && !cache.has_unreadable_batch()
    }
}
