//! The job records that the leader writes: wanted changes, gathered per job, and the transactions
//! that carry them.
//!
//! A change is fixed only when the store can take it at once. Until then further news of the same
//! job join it, so that a burst costs a write per job and not one per task.

use crate::api::client_api::put_job;
use crate::controller::Controller;
use crate::messages::PendingRequest;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::codec::json_len;
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{
    BUNDLED, CHUNK, JobRecord, JobStage, LEAD, TaskChunk, TaskEntry, bundle_number, chunk_key,
    job_key,
};
use crate::protocol::{JobKind, Micros};
use crate::state::record_cache::Job;
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};
use std::collections::{BTreeMap, BTreeSet};

/// Changes wanted of a job's record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PendingWrite {
    /// Tasks that are done.
    pub done: BTreeSet<u32>,
    /// New attempts.
    pub places: Vec<TaskEntry>,
    /// The job is over and nothing of it is anywhere: drop its entries.
    pub clean: bool,
    /// What only bundles hold is to be written into the job's own record.
    pub fold: bool,
    /// When the first of these changes was wanted.
    since: Micros,
}

/// A transaction of job records on its way.
#[derive(Debug, Clone)]
struct Batch {
    jobs: Vec<String>,
    txn: Transaction,
}

/// Wanted and flying changes.
#[derive(Debug, Default)]
pub struct RecordWriter {
    wanted: BTreeMap<String, PendingWrite>,
    batches: BTreeMap<u64, Batch>,
    /// Jobs in batches, with the places on their way. A job is in one batch at a time.
    flying: BTreeMap<String, Vec<TaskEntry>>,
    next_batch: u64,
    /// Something has changed since it was last counted what is due, or something was.
    stirred: bool,
    /// Else nothing is before this.
    due_at: Micros,
    /// The state service has rejected larger transactions than this.
    most: Option<usize>,
    /// It has rejected a bundle.
    pub unbundled: bool,
}

/// Some tasks of a job that are done wait this long for others; the agent keeps the result. A
/// completed job does not wait, since its user may ask 3 s later.
const MERGE_DONES: Micros = Micros::millis(4_000);
/// Nobody waits for the entries of a job that is over.
const CLEAN_LATER: Micros = Micros::millis(4_000);
/// What bundles hold is on record already.
const FOLD_LATER: Micros = Micros::millis(30_000);
/// Replicas and gangs are waited for by the second, arrays by the minute.
const ARRAYS_LATER: Micros = Micros::millis(500);
/// Transactions in flight at once.
const BATCHES: usize = 3;

impl PendingWrite {
    /// Nothing but these places.
    pub fn of_places(places: Vec<TaskEntry>) -> PendingWrite {
        PendingWrite {
            places,
            ..PendingWrite::default()
        }
    }

    fn is_empty(&self) -> bool {
        self.done.is_empty() && self.places.is_empty() && !self.clean && !self.fold
    }
}

impl RecordWriter {
    /// The change wanted of a job, to be added to.
    pub fn want(&mut self, id: &str, now: Micros) -> &mut PendingWrite {
        self.stirred = true;
        if !self.wanted.contains_key(id) {
            let edit = PendingWrite {
                since: now,
                ..PendingWrite::default()
            };
            self.wanted.insert(id.to_string(), edit);
        }
        self.wanted.entry(id.to_string()).or_default()
    }

    /// The job's record is in a transaction that has not come back.
    pub fn in_flight(&self, id: &str) -> bool {
        self.flying.contains_key(id)
    }

    /// Jobs of which changes are wanted or on their way; some may come twice.
    pub fn jobs(&self) -> impl Iterator<Item = &str> {
        let all = self.wanted.keys().chain(self.flying.keys());
        all.map(String::as_str)
    }

    /// Places of a job that are not on record yet: they take room from the moment they are chosen.
    pub fn places(&self, id: &str) -> impl Iterator<Item = &TaskEntry> {
        let flying = self.flying.get(id).into_iter().flatten();
        flying.chain(self.wanted.get(id).into_iter().flat_map(|e| &e.places))
    }

    /// Whether a task's place is chosen and not on record yet: it is not started meanwhile, since
    /// the attempt on record may just be replaced.
    pub fn placing(&self, id: &str, task: u32) -> bool {
        self.places(id).any(|e| e.task() == task)
    }

    /// Whether a task's end is about to be recorded.
    pub fn finishing(&self, id: &str, task: u32) -> bool {
        self.wanted.get(id).is_some_and(|e| e.done.contains(&task))
    }

    /// When a change may be written, and how it is ranked among those that may: who waits for it
    /// decides. Waiting makes every change more urgent, so none waits for ever.
    fn due(edit: &PendingWrite, job: &Job) -> (Micros, Micros) {
        let spec = &job.rec.spec;
        let complete = job.done_count() + edit.done.len() as u64 >= spec.tasks as u64;
        let at = edit.since;
        if !edit.places.is_empty() {
            let later = if spec.kind == JobKind::Array {
                ARRAYS_LATER
            } else {
                Micros::ZERO
            };
            (at, at + later)
        } else if complete && !edit.done.is_empty() {
            (at, at)
        } else if !edit.done.is_empty() {
            (at + MERGE_DONES, at + MERGE_DONES.times(2.0))
        } else if edit.clean {
            (at + CLEAN_LATER, at + CLEAN_LATER.times(3.0))
        } else {
            (at, at + FOLD_LATER)
        }
    }

    /// Nothing waits to be written.
    pub fn idle(&self) -> bool {
        self.wanted.is_empty()
    }

    /// What is wanted of a job.
    pub fn wanted_of(&self, id: &str) -> Option<&PendingWrite> {
        self.wanted.get(id)
    }

    /// Whether places of a job wait to be written.
    pub fn wants_places(&self, id: &str) -> bool {
        self.wanted.get(id).is_some_and(|e| !e.places.is_empty())
    }

    /// Numbers of the bundles on their way.
    pub fn bundles_flying(&self) -> BTreeSet<u32> {
        let changes = self.batches.values().flat_map(|b| &b.txn.changes);
        let number = |c: &Change| match c {
            Change::Put { put, .. } => bundle_number(put),
            Change::Delete { .. } => None,
        };
        changes.filter_map(number).collect()
    }

    /// These places of a job are on their way; `rest` stays wanted, with whatever else is.
    pub fn fly_places(&mut self, id: &str, rest: Vec<TaskEntry>, places: Vec<TaskEntry>) {
        if let Some(e) = self.wanted.get_mut(id) {
            e.places = rest;
            if e.is_empty() {
                self.wanted.remove(id);
            }
        }
        self.flying.insert(id.to_string(), places);
    }

    /// A transaction that brings changes of these jobs is on its way.
    pub fn begin(&mut self, jobs: Vec<String>, txn: Transaction) -> u64 {
        self.next_batch += 1;
        self.batches.insert(self.next_batch, Batch { jobs, txn });
        self.next_batch
    }

    /// Forgets a transaction: what it brought is in the copy now, or is all found out again.
    fn end(&mut self, n: u64) -> bool {
        let Some(b) = self.batches.remove(&n) else {
            return false;
        };
        for id in b.jobs {
            self.flying.remove(&id);
        }
        self.stirred = true;
        true
    }
}

impl Controller {
    /// How many changes of job records are due, and when the next one will be.
    pub fn edits_due(&mut self, now: Micros) -> (usize, Micros) {
        let Some(l) = &mut self.leader else {
            return (0, Micros::FAR);
        };
        if l.edits.batches.len() >= BATCHES || !l.caught_up(&self.cache) {
            return (0, Micros::FAR);
        }
        if !l.edits.stirred && now < l.edits.due_at {
            return (0, l.edits.due_at);
        }
        let jobs = &self.cache.jobs;
        l.edits.wanted.retain(|id, _| jobs.contains_key(id));
        let mut due = 0;
        let mut next = Micros::FAR;
        for (id, e) in &l.edits.wanted {
            if l.edits.flying.contains_key(id) {
                continue;
            }
            if let Some(job) = jobs.get(id) {
                let (at, _) = RecordWriter::due(e, job);
                if at <= now {
                    due += 1;
                } else {
                    next = next.min(at);
                }
            }
        }
        l.edits.stirred = due > 0;
        l.edits.due_at = next;
        (due, next)
    }

    /// Writes the changes that have been due longest, several jobs a transaction, at most `most`
    /// changes unless a single job needs more.
    pub fn write_edits(&mut self, clock: Clock, most: usize) {
        let state = &self.settings.params.state;
        let Some(l) = &mut self.leader else { return };
        let rejected = l.edits.most.unwrap_or(usize::MAX);
        let most = most.min(rejected);
        let limits = Limits {
            ops: state.least_txn_ops().min(rejected),
            bytes: state.least_value_bytes(),
        };
        let mut ready: Vec<(Micros, String)> = Vec::new();
        for (id, e) in &l.edits.wanted {
            if !l.edits.flying.contains_key(id)
                && let Some(job) = self.cache.jobs.get(id)
            {
                let (at, rank) = RecordWriter::due(e, job);
                if at <= clock.now {
                    ready.push((rank, id.clone()));
                }
            }
        }
        ready.sort_unstable();
        let ready: Vec<String> = ready.into_iter().map(|(_, id)| id).collect();
        if most >= 2 && self.write_bundle(clock, &ready, limits) {
            return;
        }
        let Some(l) = &mut self.leader else { return };
        let mut conds = vec![VersionCondition::new(LEAD, l.version)];
        let mut changes = Vec::new();
        let mut jobs = Vec::new();
        for id in ready {
            let (Some(edit), Some(job)) = (l.edits.wanted.get(&id), self.cache.jobs.get(&id))
            else {
                continue;
            };
            let named = self.cache.bundles.name(&id);
            let w = edited(&id, job, edit, named, clock, limits);
            if !changes.is_empty() && changes.len() + w.changes.len() > most {
                break;
            }
            if w.rest.is_empty() {
                l.edits.wanted.remove(&id);
            } else {
                l.edits.wanted.insert(id.clone(), w.rest);
            }
            if w.changes.is_empty() {
                continue;
            }
            conds.extend(w.conds);
            changes.extend(w.changes);
            l.edits.flying.insert(id.clone(), w.places);
            jobs.push(id);
            if changes.len() >= most {
                break;
            }
        }
        if changes.is_empty() {
            return;
        }
        let txn = Transaction { conds, changes };
        let n = l.edits.begin(jobs, txn.clone());
        self.store.ask(
            RequestPriority::Normal,
            StoreRequestPurpose::WriteJobs(n),
            StoreRequest::Transaction(txn),
        );
    }

    /// Job records came back.
    pub fn on_job_writes_result(
        &mut self,
        clock: Clock,
        n: u64,
        ask: StoreRequest,
        reply: StoreResponse,
    ) {
        if self
            .leader
            .as_ref()
            .is_none_or(|l| !l.edits.batches.contains_key(&n))
        {
            return;
        }
        match reply {
            StoreResponse::Committed(rev) => {
                if let StoreRequest::Transaction(t) = &ask {
                    self.apply_own_commit(t, rev);
                }
                self.end_batch(n);
                self.on_changed_jobs();
                self.send_commands(clock);
            }
            StoreResponse::Rejected => {
                if let (Some(l), StoreRequest::Transaction(t)) = (&mut self.leader, &ask) {
                    // What was rejected decides, not what else is on its way.
                    if t.conds.iter().any(|c| bundle_number(&c.key).is_some()) {
                        l.edits.unbundled = true;
                    } else {
                        l.edits.most = Some((t.changes.len() / 2).max(2));
                    }
                }
                self.end_batch(n);
            }
            StoreResponse::Refused | StoreResponse::TooFast => {
                // Certainly not written; it is all found out again.
                self.end_batch(n);
            }
            _ => self.request_read_barrier(clock, PendingRequest::SettleJobWrites(n)),
        }
    }

    fn end_batch(&mut self, n: u64) {
        if let Some(l) = &mut self.leader
            && l.edits.end(n)
        {
            l.dirty = true;
        }
    }

    /// The copy has caught up after a failed or lost transaction. If what it changes still
    /// stands at the old versions, it may yet be carried out: it is sent again as it was.
    pub fn settle_edits(&mut self, n: u64) {
        let Some(l) = &mut self.leader else { return };
        let Some(batch) = l.edits.batches.get(&n) else {
            return;
        };
        // A bundle changes no record of a job: only its own shows whether it was written.
        let bundles = &self.cache.bundles;
        let unwritten = batch.txn.conds.iter().all(|c| {
            bundle_number(&c.key).is_none_or(|n| bundles.version(n) == c.version)
                && (c.key != BUNDLED || bundles.head() == c.version)
        });
        let holds = l.version == batch.txn.conds[0].version
            && unwritten
            && batch.jobs.iter().all(|id| {
                let key = job_key(id);
                let wanted = batch.txn.conds.iter().find(|c| c.key == key);
                match (wanted, self.cache.jobs.get(id)) {
                    (Some(c), Some(j)) => c.version == j.version,
                    (None, Some(_)) => true,
                    _ => false,
                }
            });
        if holds {
            let txn = batch.txn.clone();
            self.store.ask(
                RequestPriority::Normal,
                StoreRequestPurpose::WriteJobs(n),
                StoreRequest::Transaction(txn),
            );
        } else {
            self.end_batch(n);
        }
    }

    /// The copy cannot catch up either; ask again later.
    pub fn unsettled_edits(&mut self, n: u64) {
        if let Some(l) = &self.leader
            && let Some(b) = l.edits.batches.get(&n)
        {
            let txn = b.txn.clone();
            self.store.ask(
                RequestPriority::Background,
                StoreRequestPurpose::WriteJobs(n),
                StoreRequest::Transaction(txn),
            );
        }
    }
}

/// What a transaction and a value may hold.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    pub ops: usize,
    pub bytes: usize,
}

/// What is written of an edit now, and what stays wanted.
pub(crate) struct Written {
    conds: Vec<VersionCondition>,
    changes: Vec<Change>,
    pub places: Vec<TaskEntry>,
    pub rest: PendingWrite,
}

/// A job's record with an edit applied, as far as one transaction can take it. `named`: bundles name
/// the job.
pub(crate) fn edited(
    id: &str,
    job: &Job,
    edit: &PendingWrite,
    named: bool,
    clock: Clock,
    limits: Limits,
) -> Written {
    let mut rec: JobRecord = job.rec.clone();
    let mut chunks: BTreeMap<u32, TaskChunk> = BTreeMap::new();
    let mut rest = PendingWrite {
        since: edit.since,
        ..PendingWrite::default()
    };
    let mut places = Vec::new();
    // One change is kept for the job's own record.
    let most = limits.ops.saturating_sub(1).max(1);
    if edit.clean {
        // The job is over: what is left in further chunks no longer matters to anybody.
        rec.first.entries.clear();
        rec.cleaned |= named;
        for (n, (c, _)) in &job.chunks {
            if !c.entries.is_empty() && chunks.len() < most {
                let c = TaskChunk {
                    entries: Vec::new(),
                    done: c.done,
                };
                chunks.insert(*n, c);
            }
        }
    }
    let in_bundles: BTreeSet<u32> = job.bundled.iter().map(|e| e.task() / CHUNK).collect();
    if edit.fold {
        for n in in_bundles.iter().filter(|n| **n > 0) {
            if chunks.len() >= most {
                rest.fold = true;
                break;
            }
            if let Some((c, _)) = job.chunks.get(n) {
                chunks.entry(*n).or_insert_with(|| c.clone());
            }
        }
    }
    if job.active() {
        // A gang is placed as a whole, or its members would start without the others.
        let whole = job.rec.spec.kind == JobKind::Gang;
        let open = |n: u32, chunks: &mut BTreeMap<u32, TaskChunk>| {
            if n == 0 || chunks.contains_key(&n) {
                return true;
            }
            if chunks.len() >= most && !whole {
                return false;
            }
            let old = job.chunk_of(n * CHUNK).cloned();
            chunks.insert(n, old.unwrap_or_default());
            true
        };
        for task in &edit.done {
            if !open(task / CHUNK, &mut chunks) {
                rest.done.insert(*task);
                continue;
            }
            chunk(&mut rec, &mut chunks, *task).finish(*task);
        }
        for e in &edit.places {
            if edit.done.contains(&e.task()) {
                continue;
            }
            if !open(e.task() / CHUNK, &mut chunks) {
                rest.places.push(e.clone());
                continue;
            }
            let n = e.task() / CHUNK;
            let at = chunk(&mut rec, &mut chunks, e.task());
            let old = at.entry(e.task()).cloned();
            at.set(e.clone());
            // What makes a value too long is not placed: the next pass finds it again, when others
            // of its chunk have ended perhaps.
            let len = match chunks.get(&n) {
                Some(c) => json_len(c),
                None => json_len(&rec),
            };
            if len > limits.bytes && !whole {
                let at = chunk(&mut rec, &mut chunks, e.task());
                match old {
                    Some(o) => at.set(o),
                    None => at.entries.retain(|x| x.task() != e.task()),
                }
                continue;
            }
            places.push(e.clone());
        }
        let done = rec.first.done.count_ones()
            + job
                .chunks
                .iter()
                .filter(|(n, _)| !chunks.contains_key(n))
                .map(|(_, (c, _))| c.done.count_ones())
                .sum::<u32>()
            + chunks.values().map(|c| c.done.count_ones()).sum::<u32>();
        if done >= rec.spec.tasks && rec.spec.kind != JobKind::Service {
            rec.stage = JobStage::Done;
            rec.end = clock.wall;
        }
    }
    // The record's own version is a condition in any case: it shows that nobody cancelled.
    let (c, p) = put_job(id, job, &rec);
    let mut conds = vec![c];
    let mut changes = Vec::new();
    if rec != job.rec || (edit.fold && in_bundles.contains(&0)) {
        changes.push(p);
    }
    for (n, c) in chunks {
        let held = job.chunks.get(&n);
        if held.is_some_and(|(h, _)| *h == c) && !(edit.fold && in_bundles.contains(&n)) {
            continue;
        }
        let key = chunk_key(id, n);
        conds.push(VersionCondition::new(&key, held.map_or(0, |(_, v)| *v)));
        changes.push(Change::put(&key, &c, None));
    }
    Written {
        conds,
        changes,
        places,
        rest,
    }
}

/// The chunk of a task among those that are being written.
fn chunk<'a>(
    rec: &'a mut JobRecord,
    chunks: &'a mut BTreeMap<u32, TaskChunk>,
    task: u32,
) -> &'a mut TaskChunk {
    match chunks.get_mut(&(task / CHUNK)) {
        Some(c) => c,
        None => &mut rec.first,
    }
}
