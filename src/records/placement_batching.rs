//! Places of many jobs in one record.
//!
//! A job's record is one change of the store, and the store takes some dozens a second. When hundreds
//! of jobs lose tasks at once, writing each job's record would keep most of them waiting for longer
//! than starting their tasks takes. So the leader writes their places as a bundle, one change for as
//! many jobs as a transaction may have conditions, and brings them into the jobs' own records later,
//! with what the budget leaves. `docs/safety.md` argues why that is safe.

use crate::agents::leader_state::LeaderState;
use crate::controller::Controller;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::codec::json_len;
use crate::protocol::format::BUNDLES;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::key_value_api::{Change, Transaction};
use crate::protocol::records::{BUNDLED, LEAD, PlacementBatch, TaskEntry, bundle_key, job_key};
use crate::protocol::{JobKind, Micros};
use crate::records::record_writer::{Limits, PendingWrite, edited};
use crate::state::record_cache::{Job, RecordCache};
use crate::state::store_client::{RequestPriority, StoreRequest};

/// Places are bundled once those of so many jobs wait that writing them one by one would take this
/// long.
const WORTH_S: f64 = 0.5;
/// The same in jobs, at least: fewer are not worth the second change that a bundle costs.
const WORTH_JOBS: usize = 6;
/// What bundles hold is brought into the jobs' records at this pace.
const FOLD_EVERY: Micros = Micros::millis(1_000);
/// Part of our budget of changes that goes into that while nothing else waits.
const FOLD_SHARE: f64 = 0.25;
/// A transaction may have this many times as many conditions as changes (PROTOCOL, "POST /multi").
const CONDITIONS: usize = 4;

impl Controller {
    /// Writes the places of many jobs in one value if so many wait; tells whether it did. `ready`:
    /// jobs whose changes are due, most urgent first.
    pub(crate) fn write_bundle(&mut self, clock: Clock, ready: &[String], limits: Limits) -> bool {
        let worth = (self.store.write_rate() * WORTH_S) as usize;
        if !self.all_peers_read(BUNDLES) {
            return false;
        }
        let Some(l) = &mut self.leader else {
            return false;
        };
        // One at a time: each goes by the one before.
        let flying = l.edits.bundles_flying();
        if l.edits.unbundled || limits.ops < 2 || !flying.is_empty() {
            return false;
        }
        let wait = ready.iter().filter(|id| l.edits.wants_places(id)).count();
        if wait < worth.max(WORTH_JOBS) {
            return false;
        }
        let n = self.cache.bundles.free(&flying);
        let key = bundle_key(n);
        // A number comes again once its bundle is spent: one whose answer was lost must not be carried out after it.
        let newest = VersionCondition::new(BUNDLED, self.cache.bundles.head());
        let mut conds = vec![
            VersionCondition::new(LEAD, l.version),
            VersionCondition::new(&key, 0),
            newest,
        ];
        let mut bundle = PlacementBatch::default();
        let mut bytes = json_len(&bundle);
        let mut jobs = Vec::new();
        for id in ready {
            let (Some(edit), Some(job)) = (l.edits.wanted_of(id), self.cache.jobs.get(id)) else {
                continue;
            };
            // The members of a gang end together: whatever ends is written first.
            let gang = job.rec.spec.kind == JobKind::Gang;
            if edit.places.is_empty() || (gang && !edit.done.is_empty()) {
                continue;
            }
            let only = PendingWrite::of_places(edit.places.clone());
            let w = edited(id, job, &only, false, clock, limits);
            if w.places.is_empty() {
                continue;
            }
            let row: (String, Vec<TaskEntry>) = (id.clone(), w.places);
            let more = json_len(&row) + 1;
            if bytes + more > limits.bytes {
                if jobs.is_empty() {
                    continue;
                }
                break;
            }
            bytes += more;
            // Its version shows that nobody has cancelled the job meanwhile.
            conds.push(VersionCondition::new(&job_key(id), job.version));
            bundle.places.push(row);
            jobs.push((id.clone(), w.rest.places));
            if conds.len() >= limits.ops * CONDITIONS {
                break;
            }
        }
        if jobs.len() < WORTH_JOBS {
            return false;
        }
        let tasks: usize = bundle.places.iter().map(|(_, p)| p.len()).sum();
        log::info!("bundle {n}: {tasks} places of {} jobs", jobs.len());
        let txn = Transaction {
            conds,
            changes: vec![
                Change::put(&key, &bundle, None),
                Change::put(BUNDLED, &n, None),
            ],
        };
        for ((id, rest), (_, places)) in jobs.iter().zip(bundle.places) {
            l.edits.fly_places(id, rest.clone(), places);
        }
        let batch = l
            .edits
            .begin(jobs.into_iter().map(|(id, _)| id).collect(), txn.clone());
        self.store.ask(
            RequestPriority::Normal,
            StoreRequestPurpose::WriteJobs(batch),
            StoreRequest::Transaction(txn),
        );
        true
    }

    /// Brings what bundles hold into the jobs' own records, a little at a time, and deletes bundles
    /// that hold nothing any more; returns when to look again.
    pub(crate) fn fold(&mut self, clock: Clock) -> Micros {
        if self.cache.bundles.is_empty() {
            return Micros::FAR;
        }
        match &self.leader {
            None => return Micros::FAR,
            Some(l) if clock.now < l.fold_at => return l.fold_at,
            Some(_) => {}
        }
        // A controller that has gone back does not see them: then they are brought in at once.
        let hurry = !self.all_peers_read(BUNDLES);
        let each = (self.store.write_rate() * FOLD_SHARE).max(1.0) as usize;
        let Some(l) = &mut self.leader else {
            return Micros::FAR;
        };
        l.fold_at = clock.now + FOLD_EVERY;
        if !(hurry || l.edits.idle()) {
            return l.fold_at;
        }
        let mut left = if hurry { usize::MAX } else { each };
        for (n, version) in self.cache.bundles.numbers() {
            if self.cache.is_spent(n) {
                let key = bundle_key(n);
                log::debug!("bundle {n} is spent");
                let txn = Transaction {
                    conds: vec![
                        VersionCondition::new(LEAD, l.version),
                        VersionCondition::new(&key, version),
                    ],
                    changes: vec![Change::Delete { key }],
                };
                self.store.ask(
                    RequestPriority::Background,
                    StoreRequestPurpose::RecordMachineTypes,
                    StoreRequest::Transaction(txn),
                );
                continue;
            }
            for (id, _) in self.cache.bundles.places(n) {
                let counts = |j: &Job| !j.bundled.is_empty();
                if left > 0 && self.cache.jobs.get(id).is_some_and(counts) {
                    l.edits.want(id, clock.now).fold = true;
                    left -= 1;
                }
            }
        }
        l.fold_at
    }
}

impl LeaderState {
    /// The copy holds all that earlier leaders wrote. The records of jobs alone do not show whether
    /// it does: a bundle changes none of them.
    pub fn caught_up(&self, cache: &RecordCache) -> bool {
        cache.revision >= self.entered && !cache.is_blind()
    }
}
