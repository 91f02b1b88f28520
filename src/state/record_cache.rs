//! A copy of our records in the state service, fed by listings, watches and own commits.

use crate::protocol::cloud_api::{MachineType, MachineTypes};
use crate::protocol::codec::from_value;
use crate::protocol::key_value_api::{ItemPage, WatchResponse};
use crate::protocol::records::{
    BASE, BUNDLED, BUNDLES, BudgetSharesRecord, CHUNK, CHUNKS, FORMATS, JOBS, JobRecord, JobStage,
    LEAD, LIVE, LeaderRecord, PARTS, PlacementBatch, RENEWALS, RenewalsRecord, TYPES, TaskChunk,
    TaskEntry, bundle_key, bundle_number, renew_key,
};
use crate::protocol::{JobKind, Micros, format};
pub use crate::state::cached_job::{FinishedJob, Job, JobLookup};
use crate::state::image_caches::ImageCaches;
use crate::state::placement_batches::{PlacementBatches, lay_one};
use admission_control::parts::Grant;
use rmpv::Value;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};

/// The copy.
#[derive(Default)]
pub struct RecordCache {
    /// Complete up to this revision.
    pub revision: u64,
    /// The records have been read once.
    pub synced: bool,
    /// Who leads, and the version of that record.
    pub lead: Option<(LeaderRecord, u64)>,
    /// Version of the key on the leader's lease.
    pub live: Option<u64>,
    /// Machine types.
    pub types: Option<Vec<MachineType>>,
    /// How many machines were up before we rented any, once that has been seen.
    pub base: Option<u64>,
    /// Which images machines probably hold, from the places on record.
    pub images: ImageCaches,
    /// Places of many jobs in one record each; they are laid over `jobs`.
    pub bundles: PlacementBatches,
    /// Parts of the budget of changes, with the record's version.
    pub parts: Option<(Grant, u64)>,
    /// Jobs that matter.
    pub jobs: BTreeMap<String, Job>,
    /// What followers renew, by node, with the record's version.
    pub renewals: BTreeMap<String, (RenewalsRecord, u64)>,
    over: BTreeMap<String, FinishedJob>,
    /// Jobs that wait for a job, by the job they wait for, which need not be in the copy yet.
    dependents: BTreeMap<String, Vec<String>>,
    /// Newest format that each controller reads, with the version of that record.
    formats: BTreeMap<String, (u32, u64)>,
    orphans: BTreeMap<String, BTreeMap<u32, (TaskChunk, u64)>>,
    /// Keys met during a rereading, to find those deleted meanwhile.
    met: Option<(BTreeSet<String>, u64)>,
    /// Revision of the newest cancellation or change of the lead in the copy.
    pub newest: u64,
    /// Jobs newly shown to be cancelled since somebody last took the list, with their records' versions. Not those
    /// that are so only because of a job that they need: nothing of these ever started.
    cancelled: Vec<(String, u64)>,
    /// Counts changes of the renewals.
    pub renewals_changed: u64,
    /// Jobs whose records have changed since somebody last took the list.
    changed: BTreeSet<String>,
    /// Live jobs that are over, with tasks that may still be somewhere.
    ending: BTreeSet<String>,
    /// Tasks with an attempt on record, by machine.
    placed: BTreeMap<String, BTreeSet<(String, u32)>>,
    /// Job records, chunks and bundles that cannot be read, with their versions: of these jobs nothing is said and
    /// nothing started.
    unreadable: BTreeMap<String, u64>,
}

impl RecordCache {
    /// Whether a record of a job cannot be read: whatever else the copy holds of it may be older.
    pub fn is_unreadable(&self, id: &str) -> bool {
        let of = |key: &String| {
            let chunk = key.strip_prefix(CHUNKS).and_then(|k| k.split_once('/'));
            key.strip_prefix(JOBS) == Some(id) || chunk.is_some_and(|(job, _)| job == id)
        };
        !self.unreadable.is_empty() && self.unreadable.keys().any(of)
    }

    /// Whether a bundle cannot be read: it may hold places of any job.
    pub fn is_blind(&self) -> bool {
        let first = self.unreadable.range(BUNDLES.to_string()..).next();
        first.is_some_and(|(k, _)| k.starts_with(BUNDLES))
    }

    /// A value as one of our records; none, with a line in the log, if it cannot be read.
    fn read<T: DeserializeOwned>(&mut self, key: &str, value: &Value, version: u64) -> Option<T> {
        let rec = from_value(value);
        if rec.is_some() {
            self.readable(key, version);
        } else {
            log::error!("the record {key} cannot be read");
            if [JOBS, CHUNKS, BUNDLES].iter().any(|p| key.starts_with(p)) {
                self.unreadable.insert(key.to_string(), version);
            }
        }
        rec
    }

    /// A record is not what it was any more, unless this is older.
    fn readable(&mut self, key: &str, version: u64) {
        if self.unreadable.get(key).is_some_and(|v| *v < version) {
            self.unreadable.remove(key);
        }
    }

    /// Whether a job is known to be cancelled.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.stage(id) == Some(JobStage::Cancelled)
    }

    /// Whether a job is known to be done.
    pub fn is_done(&self, id: &str) -> bool {
        self.stage(id) == Some(JobStage::Done)
    }

    fn stage(&self, id: &str) -> Option<JobStage> {
        Some(match self.job(id)? {
            JobLookup::Live(j) => j.rec.stage,
            JobLookup::Over(f) => f.stage,
        })
    }

    /// Looks up a job.
    pub fn job(&self, id: &str) -> Option<JobLookup<'_>> {
        if let Some(f) = self.over.get(id) {
            return Some(JobLookup::Over(*f));
        }
        self.jobs.get(id).map(JobLookup::Live)
    }

    /// Live jobs that wait for this one directly.
    pub fn dependents(&self, id: &str) -> impl Iterator<Item = (&str, &Job)> {
        let names = self.dependents.get(id).into_iter().flatten();
        names.filter_map(|d| {
            let job = self.jobs.get(d).filter(|j| j.active())?;
            Some((d.as_str(), job))
        })
    }

    /// Live jobs that are over, with tasks that may still be somewhere.
    pub fn ending(&self) -> impl Iterator<Item = &String> {
        self.ending.iter()
    }

    /// Live jobs that wait for others; one that waits for several comes as often.
    pub fn waiting(&self) -> impl Iterator<Item = &Job> {
        let names = self.dependents.values().flatten();
        let jobs = names.filter_map(|id| self.jobs.get(id));
        jobs.filter(|j| j.active() && j.waits())
    }

    /// Whether any job waits for others.
    pub fn any_wait(&self) -> bool {
        !self.dependents.is_empty()
    }

    /// The newest format that a controller reads, with the version of the record that says so (0:
    /// none, it is of the first version).
    pub fn format_of(&self, node: &str) -> (u32, u64) {
        *self.formats.get(node).unwrap_or(&(format::FIRST, 0))
    }

    /// The parts of a follower's record of renewals with their versions; part 0 is always there.
    pub fn renewals_of(&self, node: &str) -> Vec<Option<&(RenewalsRecord, u64)>> {
        let part = |n: usize| {
            let key = renew_key(node, n);
            self.renewals.get(key.trim_start_matches(RENEWALS))
        };
        let more = (1..).map(part).take_while(Option::is_some);
        [part(0)].into_iter().chain(more).collect()
    }

    /// Jobs whose records have changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed)
    }

    /// Jobs newly shown to be cancelled since the last call.
    pub fn take_cancelled(&mut self) -> Vec<(String, u64)> {
        std::mem::take(&mut self.cancelled)
    }

    /// Tasks that have an attempt on record on this machine. Kept up with every record, so that
    /// looking at one machine does not cost a walk over all jobs.
    pub fn placed(&self, machine: &str) -> impl Iterator<Item = &(String, u32)> {
        self.placed.get(machine).into_iter().flatten()
    }

    /// Brings the index by machine from a chunk's old entries to its new ones. `image`: of the job,
    /// if it is known yet.
    fn relink(
        &mut self,
        id: &str,
        old: &[TaskEntry],
        new: &[TaskEntry],
        image: Option<(&str, f64)>,
    ) {
        let at = |list: &[TaskEntry], e: &TaskEntry| {
            list.binary_search_by_key(&e.task(), TaskEntry::task)
                .is_ok_and(|i| list[i].machine() == e.machine())
        };
        for e in old {
            if let Some(m) = e.machine()
                && !at(new, e)
                && let Some(set) = self.placed.get_mut(m)
            {
                set.remove(&(id.to_string(), e.task()));
                if set.is_empty() {
                    self.placed.remove(m);
                }
            }
        }
        for e in new {
            if let Some(m) = e.machine()
                && !at(old, e)
            {
                let set = self.placed.entry(m.to_string()).or_default();
                set.insert((id.to_string(), e.task()));
                if let Some((image, gb)) = image {
                    self.images.used(m, image, gb);
                }
            }
        }
    }

    /// Applies a watch's answer.
    pub fn apply(&mut self, answer: WatchResponse) {
        for e in answer.events {
            if e.version <= self.revision {
                continue;
            }
            match (e.put, e.value, e.deleted) {
                (Some(key), Some(value), _) => self.put(&key, value, e.version),
                (_, _, Some(key)) => self.delete(&key, e.version),
                _ => {}
            }
        }
        self.revision = self.revision.max(answer.revision);
    }

    /// Applies a page of a listing; true when it was the last. The first page's revision is
    /// where watching must begin.
    pub fn apply_page(&mut self, page: ItemPage) -> bool {
        let (met, _) = self
            .met
            .get_or_insert_with(|| (BTreeSet::new(), page.revision));
        for i in &page.items {
            met.insert(i.key.clone());
        }
        for i in page.items {
            self.put(&i.key, i.value, i.version);
        }
        if page.more {
            return false;
        }
        if let Some((met, revision)) = self.met.take() {
            let lost: Vec<String> = self
                .jobs
                .keys()
                .map(|id| format!("{JOBS}{id}"))
                .chain(self.renewals.keys().map(|n| format!("{RENEWALS}{n}")))
                .chain(self.formats.keys().map(|n| format!("{FORMATS}{n}")))
                .chain(self.bundles.numbers().map(|(n, _)| bundle_key(n)))
                .chain([LEAD.to_string(), LIVE.to_string()])
                .filter(|k| !met.contains(k))
                .collect();
            // Keys of ours younger than the listing survive: their version exceeds it.
            for key in lost {
                self.delete(&key, revision);
            }
            self.revision = self.revision.max(revision);
            self.synced = true;
        }
        true
    }

    /// Puts one record; older versions than the one held are ignored.
    pub fn put(&mut self, key: &str, value: Value, version: u64) {
        if key == LEAD {
            if self.lead.as_ref().is_none_or(|(_, v)| *v < version)
                && let Some(rec) = self.read::<LeaderRecord>(key, &value, version)
            {
                self.lead = Some((rec, version));
                self.newest = self.newest.max(version);
            }
        } else if key == LIVE {
            self.live = self.live.max(Some(version));
        } else if key == TYPES {
            if let Some(t) = self.read::<MachineTypes>(key, &value, version) {
                self.types = Some(t.types);
            }
        } else if key == BASE {
            self.base = self.read::<u64>(key, &value, version);
        } else if let Some(node) = key.strip_prefix(RENEWALS) {
            if self.renewals.get(node).is_none_or(|(_, v)| *v < version)
                && let Some(rec) = self.read::<RenewalsRecord>(key, &value, version)
            {
                self.renewals.insert(node.to_string(), (rec, version));
                self.renewals_changed += 1;
            }
        } else if let Some(node) = key.strip_prefix(FORMATS) {
            if self.format_of(node).1 < version
                && let Some(n) = self.read::<u32>(key, &value, version)
            {
                self.formats.insert(node.to_string(), (n, version));
            }
        } else if key == PARTS {
            if self.parts.as_ref().is_none_or(|(_, v)| *v < version)
                && let Some(rec) = self.read::<BudgetSharesRecord>(key, &value, version)
            {
                self.parts = Some((rec.grant(), version));
            }
        } else if key == BUNDLED {
            self.bundles.moved(version);
        } else if key.starts_with(BUNDLES) {
            if let (Some(n), Some(b)) = (
                bundle_number(key),
                self.read::<PlacementBatch>(key, &value, version),
            ) {
                self.put_bundle(n, b, version);
            }
        } else if let Some(id) = key.strip_prefix(JOBS) {
            if self.newest(id) >= version {
                // Our own commit, come back by the watch: not worth reading.
                return;
            }
            if let Some(rec) = self.read::<JobRecord>(key, &value, version) {
                self.put_job(id, rec, version);
            }
        } else if let Some(rest) = key.strip_prefix(CHUNKS)
            && let Some((id, n)) = rest.split_once('/')
            && let Ok(n) = n.parse::<u32>()
            && let Some(chunk) = self.read::<TaskChunk>(key, &value, version)
        {
            self.put_chunk(id, n, chunk, version);
        }
    }

    /// Version of the job's record that we hold, 0: none.
    fn newest(&self, id: &str) -> u64 {
        let live = self.jobs.get(id).map(|j| j.version);
        live.or_else(|| self.over.get(id).map(|f| f.version))
            .unwrap_or(0)
    }

    /// Puts a job's record.
    pub fn put_job(&mut self, id: &str, rec: JobRecord, version: u64) {
        // A watch may still bring what came before our own last commit: a job that is over must
        // not come back to life by it.
        if self.newest(id) >= version {
            return;
        }
        if rec.stage == JobStage::Cancelled {
            self.newest = self.newest.max(version);
            if !self.is_cancelled(id) {
                self.cancelled.push((id.to_string(), version));
            }
        }
        self.changed.insert(id.to_string());
        if self.newest(id) == 0 && rec.stage == JobStage::Active {
            for need in &rec.spec.needs {
                if self.end_of(need).is_none() {
                    let waiting = self.dependents.entry(need.clone()).or_default();
                    waiting.push(id.to_string());
                }
            }
        }
        let mut rec = rec;
        let held = self.jobs.remove(id);
        let known = held.is_some();
        let (old, mut chunks, mut bundled) = match held {
            Some(j) => (j.rec.first.entries, j.chunks, j.bundled),
            None => Default::default(),
        };
        if rec.cleaned {
            bundled.clear();
        } else {
            self.bundles.lay(id, 0, &mut rec.first, &mut bundled);
        }
        let image = Some((rec.spec.image.as_str(), rec.spec.image_gb));
        self.relink(id, &old, &rec.first.entries, image);
        if let Some(o) = self.orphans.remove(id) {
            chunks.extend(o);
        }
        if !known && !rec.cleaned {
            for n in self.bundles.chunks(id).into_iter().filter(|n| *n > 0) {
                let (chunk, _) = chunks.entry(n).or_default();
                let before = chunk.entries.clone();
                self.bundles.lay(id, n, chunk, &mut bundled);
                let after = chunk.entries.clone();
                self.relink(id, &before, &after, image);
            }
        }
        let job = Job {
            rec,
            version,
            chunks,
            unmet: 0,
            released: Micros::ZERO,
            bundled,
        };
        self.keep(id, job);
    }

    /// Puts a further chunk of a large job.
    pub fn put_chunk(&mut self, id: &str, n: u32, mut chunk: TaskChunk, version: u64) {
        if self.over.contains_key(id) {
            return;
        }
        self.changed.insert(id.to_string());
        let mut job = self.jobs.remove(id);
        let held = match &job {
            Some(j) => Some(&j.chunks),
            None => self.orphans.get(id),
        };
        let held = held.and_then(|c| c.get(&n));
        if held.is_none_or(|(_, v)| *v < version) {
            if let Some(j) = job.as_mut().filter(|j| !j.rec.cleaned) {
                self.bundles.lay(id, n, &mut chunk, &mut j.bundled);
            }
            let new = chunk.entries.clone();
            let chunks = match &mut job {
                Some(j) => &mut j.chunks,
                None => self.orphans.entry(id.to_string()).or_default(),
            };
            let old = chunks.insert(n, (chunk, version));
            let old = old.map(|(c, _)| c.entries).unwrap_or_default();
            let spec = job.as_ref().map(|j| &j.rec.spec);
            self.relink(id, &old, &new, spec.map(|s| (s.image.as_str(), s.image_gb)));
        }
        if let Some(job) = job {
            self.keep(id, job);
        }
    }

    /// Puts a bundle, and lays it over the jobs that it names.
    fn put_bundle(&mut self, n: u32, bundle: PlacementBatch, version: u64) {
        if !self.bundles.put(n, bundle.clone(), version) {
            return;
        }
        for (id, places) in bundle.places {
            let Some(mut job) = self.jobs.remove(&id) else {
                continue;
            };
            if !job.rec.cleaned {
                let image = Some((job.rec.spec.image.as_str(), job.rec.spec.image_gb));
                for e in places {
                    let (chunk, bundled) = match e.task() / CHUNK {
                        0 => (&mut job.rec.first, &mut job.bundled),
                        n => (&mut job.chunks.entry(n).or_default().0, &mut job.bundled),
                    };
                    let old: Vec<TaskEntry> = chunk.entry(e.task()).cloned().into_iter().collect();
                    if lay_one(chunk, &e, bundled) {
                        self.relink(&id, &old, &[e], image);
                    }
                }
                self.changed.insert(id.clone());
            }
            self.keep(&id, job);
        }
    }

    /// Whether a bundle holds nothing any more that only it holds.
    pub fn is_spent(&self, n: u32) -> bool {
        let counts = |id: &String, e: &TaskEntry| {
            let job = self.jobs.get(id);
            job.is_some_and(|j| j.bundled.contains(e))
        };
        let places = self.bundles.places(n);
        !places.iter().any(|(id, p)| p.iter().any(|e| counts(id, e)))
    }

    /// Keeps a job as what it is now, and tells the jobs that wait for it if it is over, those that
    /// wait for them, and so on. An end is final, so none of it is ever taken back.
    fn keep(&mut self, id: &str, mut job: Job) {
        self.weigh_needs(&mut job);
        let mut ended: Vec<String> = Vec::new();
        if self.sort_in(id, job) {
            ended.push(id.to_string());
        }
        while let Some(need) = ended.pop() {
            for d in self.dependents.remove(&need).into_iter().flatten() {
                let Some(mut job) = self.jobs.remove(&d) else {
                    continue;
                };
                self.weigh_needs(&mut job);
                self.changed.insert(d.clone());
                if self.sort_in(&d, job) {
                    ended.push(d);
                }
            }
        }
    }

    /// What follows for a job from the jobs that it needs.
    fn weigh_needs(&self, job: &mut Job) {
        job.released = job.rec.at;
        job.unmet = 0;
        if !job.active() {
            return;
        }
        for need in &job.rec.spec.needs {
            match self.end_of(need) {
                Some((JobStage::Done, end)) => job.released = job.released.max(end),
                Some((_, end)) => {
                    // Nothing that needs a job starts before that job is done, and one that is
                    // cancelled never will be: this job has no task anywhere and never gets one.
                    job.rec.stage = JobStage::Cancelled;
                    job.rec.end = end.max(job.rec.at);
                    return;
                }
                None => job.unmet += 1,
            }
        }
    }

    /// How and when a job has ended.
    fn end_of(&self, id: &str) -> Option<(JobStage, Micros)> {
        if let Some(f) = self.over.get(id) {
            return Some((f.stage, f.end));
        }
        let job = self.jobs.get(id).filter(|j| !j.active())?;
        Some((job.rec.stage, job.rec.end))
    }

    /// Puts a job among the live ones or those that are over; tells whether it has ended.
    fn sort_in(&mut self, id: &str, job: Job) -> bool {
        let ended = !job.active();
        // A job that is over stays among the live ones while tasks of it may be somewhere.
        if ended && job.entries().all(|e| e.machine().is_none()) {
            self.jobs.remove(id);
            self.ending.remove(id);
            let f = FinishedJob {
                stage: job.rec.stage,
                tasks: job.rec.spec.tasks,
                version: job.version,
                end: job.rec.end,
                service: job.rec.spec.kind == JobKind::Service,
            };
            self.over.insert(id.to_string(), f);
        } else {
            self.over.remove(id);
            if ended {
                self.ending.insert(id.to_string());
            }
            self.jobs.insert(id.to_string(), job);
        }
        ended
    }

    /// Deletes one record, unless it is younger.
    pub fn delete(&mut self, key: &str, version: u64) {
        self.readable(key, version);
        if key == LIVE {
            self.live = self.live.filter(|v| *v > version);
        } else if key == LEAD {
            self.lead = self.lead.take().filter(|(_, v)| *v > version);
        } else if let Some(node) = key.strip_prefix(RENEWALS) {
            if self.renewals.get(node).is_some_and(|(_, v)| *v < version) {
                self.renewals.remove(node);
                self.renewals_changed += 1;
            }
        } else if let Some(n) = bundle_number(key) {
            // Only what no longer counts is ever deleted, so the jobs stay as they are.
            self.bundles.delete(n, version);
        } else if let Some(node) = key.strip_prefix(FORMATS) {
            if self.format_of(node).1 < version {
                self.formats.remove(node);
            }
        } else if let Some(id) = key.strip_prefix(JOBS)
            && self.jobs.get(id).is_some_and(|j| j.version < version)
            && let Some(job) = self.jobs.remove(id)
        {
            self.ending.remove(id);
            self.relink(id, &job.rec.first.entries, &[], None);
            for (c, _) in job.chunks.values() {
                self.relink(id, &c.entries, &[], None);
            }
            self.changed.insert(id.to_string());
        }
    }
}
