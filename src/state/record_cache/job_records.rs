//! Application of job records, chunks and placement batches, and what follows from them for dependent jobs.

use super::RecordCache;
use crate::protocol::records::{
    JobRecord, JobStage, PlacementBatch, TASKS_PER_CHUNK, TaskChunk, TaskEntry,
};
use crate::protocol::{JobKind, Micros};
use crate::state::cached_job::{FinishedJob, Job, StoredChunk};
use crate::state::placed_tasks::JobImage;
use crate::state::placement_batches::overlay_place;

/// How a job ended.
#[derive(Debug, Clone, Copy)]
struct JobOutcome {
    /// Done or cancelled.
    stage: JobStage,
    /// Time of day of the end.
    end: Micros,
}

impl RecordCache {
    /// Version of the cached record of a job; 0: there is none.
    pub(super) fn job_version(&self, id: &str) -> u64 {
        let live = self.jobs.get(id).map(|j| j.version);
        live.or_else(|| self.finished.get(id).map(|f| f.version))
            .unwrap_or(0)
    }

    /// Puts a job's record, unless the cache has this version or a newer one. A watch may still bring versions from
    /// before the controller's own last commit: a finished job must not become active again through them.
    pub fn put_job(&mut self, id: &str, record: JobRecord, version: u64) {
        if self.job_version(id) >= version {
            return;
        }
        if record.stage == JobStage::Cancelled {
            self.note_cancellation(id, version);
        }
        self.changed.insert(id.to_string());
        if self.job_version(id) == 0 && record.stage == JobStage::Active {
            self.register_dependencies(id, &record.spec.dependencies);
        }
        let previous = self.jobs.remove(id);
        let is_new = previous.is_none();
        let (old_entries, chunks, batched_places) = match previous {
            Some(job) => (
                job.record.first_chunk.entries,
                job.chunks,
                job.batched_places,
            ),
            None => Default::default(),
        };
        let mut job = Job {
            record,
            version,
            chunks,
            unmet_dependencies: 0,
            released_at: Micros::ZERO,
            batched_places,
        };
        if job.record.cleaned {
            job.batched_places.clear();
        } else {
            let first = &mut job.record.first_chunk;
            self.placement_batches
                .overlay(id, 0, first, &mut job.batched_places);
        }
        let image = JobImage::of(&job.record.spec);
        self.index_places(
            id,
            &old_entries,
            &job.record.first_chunk.entries,
            Some(image),
        );
        if let Some(chunks) = self.chunks_without_job.remove(id) {
            job.chunks.extend(chunks);
        }
        if is_new && !job.record.cleaned {
            self.overlay_further_chunks(id, &mut job);
        }
        self.insert_job(id, job);
    }

    fn note_cancellation(&mut self, id: &str, version: u64) {
        self.last_cancellation_or_claim = self.last_cancellation_or_claim.max(version);
        if !self.is_cancelled(id) {
            self.cancelled.push((id.to_string(), version));
        }
    }

    fn register_dependencies(&mut self, id: &str, needs: &[String]) {
        for need in needs {
            if self.outcome_of(need).is_none() {
                let dependents = self.dependents.entry(need.clone()).or_default();
                dependents.push(id.to_string());
            }
        }
    }

    /// Overlays placement batches on the chunks of a new job, except the first.
    fn overlay_further_chunks(&mut self, id: &str, job: &mut Job) {
        let numbers = self.placement_batches.chunks(id);
        for number in numbers.into_iter().filter(|n| *n > 0) {
            let chunk = &mut job.chunks.entry(number).or_default().chunk;
            let before = chunk.entries.clone();
            self.placement_batches
                .overlay(id, number, chunk, &mut job.batched_places);
            let image = JobImage::of(&job.record.spec);
            self.index_places(id, &before, &chunk.entries, Some(image));
        }
    }

    /// Puts a further chunk of a large job, unless the cache has this version or a newer one.
    pub fn put_chunk(&mut self, id: &str, number: u32, chunk: TaskChunk, version: u64) {
        if self.finished.contains_key(id) {
            return;
        }
        self.changed.insert(id.to_string());
        let mut job = self.jobs.remove(id);
        let cached = match &job {
            Some(job) => Some(&job.chunks),
            None => self.chunks_without_job.get(id),
        };
        let cached = cached.and_then(|chunks| chunks.get(&number));
        if cached.is_none_or(|stored| stored.version < version) {
            self.replace_chunk(id, job.as_mut(), number, StoredChunk { chunk, version });
        }
        if let Some(job) = job {
            self.insert_job(id, job);
        }
    }

    /// `job`: the chunk's job, if its record is known yet.
    fn replace_chunk(
        &mut self,
        id: &str,
        job: Option<&mut Job>,
        number: u32,
        mut stored: StoredChunk,
    ) {
        let Some(job) = job else {
            let new_entries = stored.chunk.entries.clone();
            let chunks = self.chunks_without_job.entry(id.to_string()).or_default();
            let old = chunks.insert(number, stored).unwrap_or_default();
            self.index_places(id, &old.chunk.entries, &new_entries, None);
            return;
        };
        if !job.record.cleaned {
            let batched_places = &mut job.batched_places;
            self.placement_batches
                .overlay(id, number, &mut stored.chunk, batched_places);
        }
        let new_entries = stored.chunk.entries.clone();
        let old = job.chunks.insert(number, stored).unwrap_or_default();
        let image = JobImage::of(&job.record.spec);
        self.index_places(id, &old.chunk.entries, &new_entries, Some(image));
    }

    /// Puts a placement batch and overlays it on the jobs that it names.
    pub(super) fn put_batch(&mut self, number: u32, batch: PlacementBatch, version: u64) {
        if !self.placement_batches.put(number, batch.clone(), version) {
            return;
        }
        for (id, places) in batch.placements {
            let Some(mut job) = self.jobs.remove(&id) else {
                continue;
            };
            if !job.record.cleaned {
                for place in places {
                    self.overlay_on_job(&id, &mut job, place);
                }
                self.changed.insert(id.clone());
            }
            self.insert_job(&id, job);
        }
    }

    fn overlay_on_job(&mut self, id: &str, job: &mut Job, place: TaskEntry) {
        let chunk = match place.task() / TASKS_PER_CHUNK {
            0 => &mut job.record.first_chunk,
            number => &mut job.chunks.entry(number).or_default().chunk,
        };
        let old: Vec<TaskEntry> = chunk.entry(place.task()).cloned().into_iter().collect();
        if overlay_place(chunk, &place, &mut job.batched_places) {
            let image = JobImage::of(&job.record.spec);
            self.index_places(id, &old, &[place], Some(image));
        }
    }

    /// Whether every place of a placement batch has been superseded or merged into the job's own records.
    pub fn is_batch_superseded(&self, number: u32) -> bool {
        let is_needed = |id: &String, place: &TaskEntry| {
            let job = self.jobs.get(id);
            job.is_some_and(|j| j.batched_places.contains(place))
        };
        let places = self.placement_batches.places(number);
        !places
            .iter()
            .any(|(id, of_job)| of_job.iter().any(|place| is_needed(id, place)))
    }

    fn index_places(
        &mut self,
        id: &str,
        old: &[TaskEntry],
        new: &[TaskEntry],
        image: Option<JobImage<'_>>,
    ) {
        self.placed_tasks
            .update(id, old, new, image, &mut self.image_caches);
    }

    /// Inserts a job by its stage. If it has ended, the jobs that depend on it are resolved as well, and so on. An end
    /// is final, so nothing of this is ever undone.
    fn insert_job(&mut self, id: &str, mut job: Job) {
        self.resolve_dependencies(&mut job);
        let mut ended: Vec<String> = Vec::new();
        if self.insert_by_stage(id, job) {
            ended.push(id.to_string());
        }
        while let Some(need) = ended.pop() {
            let dependents = self.dependents.remove(&need).unwrap_or_default();
            for dependent in dependents {
                let Some(mut job) = self.jobs.remove(&dependent) else {
                    continue;
                };
                self.resolve_dependencies(&mut job);
                self.changed.insert(dependent.clone());
                if self.insert_by_stage(&dependent, job) {
                    ended.push(dependent);
                }
            }
        }
    }

    /// Derives from a job's dependencies how many are unmet, since when the job may run, and whether it is cancelled.
    fn resolve_dependencies(&self, job: &mut Job) {
        job.released_at = job.record.accepted_at;
        job.unmet_dependencies = 0;
        if !job.active() {
            return;
        }
        for need in &job.record.spec.dependencies {
            let Some(outcome) = self.outcome_of(need) else {
                job.unmet_dependencies += 1;
                continue;
            };
            if outcome.stage == JobStage::Done {
                job.released_at = job.released_at.max(outcome.end);
                continue;
            }
            // No job starts before its dependencies are done, and a cancelled one never will be: this job has no
            // task anywhere and never gets one.
            job.record.stage = JobStage::Cancelled;
            job.record.ended_at = outcome.end.max(job.record.accepted_at);
            return;
        }
    }

    /// How a job has ended; `None` while it is active or unknown.
    fn outcome_of(&self, id: &str) -> Option<JobOutcome> {
        if let Some(job) = self.finished.get(id) {
            return Some(JobOutcome {
                stage: job.stage,
                end: job.end,
            });
        }
        let job = self.jobs.get(id).filter(|j| !j.active())?;
        Some(JobOutcome {
            stage: job.record.stage,
            end: job.record.ended_at,
        })
    }

    /// Inserts a job into `jobs` or `finished`; returns whether it has ended. An ended job stays in `jobs` while tasks
    /// of it may still run.
    fn insert_by_stage(&mut self, id: &str, job: Job) -> bool {
        let has_ended = !job.active();
        let has_places = job.entries().any(|e| e.machine().is_some());
        if has_ended && !has_places {
            self.jobs.remove(id);
            self.ended_with_tasks.remove(id);
            self.finished.insert(id.to_string(), finished(&job));
            return true;
        }
        self.finished.remove(id);
        if has_ended {
            self.ended_with_tasks.insert(id.to_string());
        }
        self.jobs.insert(id.to_string(), job);
        has_ended
    }

    /// Removes a job whose record has been deleted, unless the cached version is newer.
    pub(super) fn delete_job(&mut self, id: &str, version: u64) {
        if self.jobs.get(id).is_none_or(|j| j.version >= version) {
            return;
        }
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        self.ended_with_tasks.remove(id);
        self.index_places(id, &job.record.first_chunk.entries, &[], None);
        for stored in job.chunks.values() {
            self.index_places(id, &stored.chunk.entries, &[], None);
        }
        self.changed.insert(id.to_string());
    }
}

/// What is kept of a job once it has ended and has no tasks left.
fn finished(job: &Job) -> FinishedJob {
    FinishedJob {
        stage: job.record.stage,
        tasks: job.record.spec.tasks,
        version: job.version,
        end: job.record.ended_at,
        service: job.record.spec.kind == JobKind::Service,
    }
}
