//! Application of job records, chunks and placement batches to the cache, and resolution of job dependencies.

use super::RecordCache;
use crate::protocol::records::{
    JobRecord, JobStage, PlacementBatch, TASKS_PER_CHUNK, TaskChunk, TaskEntry,
};
use crate::protocol::{JobKind, Micros};
use crate::state::cached_job::{FinishedJob, Job, StoredChunk};
use crate::state::placed_tasks::JobImage;
use crate::state::placement_batches::overlay_placement;

/// How a job ended.
#[derive(Debug, Clone, Copy)]
struct JobOutcome {
    /// Done or cancelled.
    stage: JobStage,
    /// Time of day of the end.
    end: Micros,
}

impl RecordCache {
    /// Version of the cached record of a job; 0 if there is none.
    pub(super) fn job_version(&self, id: &str) -> u64 {
        let live = self.jobs.get(id).map(|j| j.version);
        live.or_else(|| self.finished.get(id).map(|f| f.version))
            .unwrap_or(0)
    }

    /// Inserts a job's record, unless the cache has this version or a newer one. A watch may still return versions from
    /// before the controller's own last commit, and these must not make a finished job active again.
    pub fn put_job(&mut self, id: &str, record: JobRecord, version: u64) {
        if self.job_version(id) >= version {
            return;
        }
        if record.stage == JobStage::Cancelled {
            self.record_cancellation(id, version);
        }
        self.changed.insert(id.to_string());
        if self.job_version(id) == 0 && record.stage == JobStage::Active {
            self.register_dependencies(id, &record.spec.dependencies);
        }
        let previous = self.jobs.remove(id);
        let is_new = previous.is_none();
        let (old_entries, chunks, batched_placements) = match previous {
            Some(job) => (
                job.record.first_chunk.entries,
                job.chunks,
                job.batched_placements,
            ),
            None => Default::default(),
        };
        let mut job = Job {
            record,
            version,
            chunks,
            unmet_dependencies: 0,
            released_at: Micros::ZERO,
            batched_placements,
        };
        if job.record.cleaned {
            job.batched_placements.clear();
        } else {
            let first = &mut job.record.first_chunk;
            self.placement_batches
                .overlay(id, 0, first, &mut job.batched_placements);
        }
        let image = JobImage::from_spec(&job.record.spec);
        self.index_placements(
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

    fn record_cancellation(&mut self, id: &str, version: u64) {
        self.last_cancellation_or_leader_change =
            self.last_cancellation_or_leader_change.max(version);
        if !self.is_cancelled(id) {
            self.cancelled.push((id.to_string(), version));
        }
    }

    fn register_dependencies(&mut self, id: &str, needs: &[String]) {
        for dependency in needs {
            if self.outcome_of(dependency).is_none() {
                let dependents = self.dependents.entry(dependency.clone()).or_default();
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
                .overlay(id, number, chunk, &mut job.batched_placements);
            let image = JobImage::from_spec(&job.record.spec);
            self.index_placements(id, &before, &chunk.entries, Some(image));
        }
    }

    /// Inserts a chunk of a large job other than the first, unless the cache has this version or a newer one.
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

    /// Replaces a chunk. `job` is the chunk's job, or `None` while the cache does not have its record.
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
            self.index_placements(id, &old.chunk.entries, &new_entries, None);
            return;
        };
        if !job.record.cleaned {
            let batched_placements = &mut job.batched_placements;
            self.placement_batches
                .overlay(id, number, &mut stored.chunk, batched_placements);
        }
        let new_entries = stored.chunk.entries.clone();
        let old = job.chunks.insert(number, stored).unwrap_or_default();
        let image = JobImage::from_spec(&job.record.spec);
        self.index_placements(id, &old.chunk.entries, &new_entries, Some(image));
    }

    /// Inserts a placement batch and overlays it on the jobs that it contains.
    pub(super) fn put_batch(&mut self, number: u32, batch: PlacementBatch, version: u64) {
        if !self.placement_batches.put(number, batch.clone(), version) {
            return;
        }
        for (id, placements) in batch.placements {
            let Some(mut job) = self.jobs.remove(&id) else {
                continue;
            };
            if !job.record.cleaned {
                for placement in placements {
                    self.overlay_on_job(&id, &mut job, placement);
                }
                self.changed.insert(id.clone());
            }
            self.insert_job(&id, job);
        }
    }

    fn overlay_on_job(&mut self, id: &str, job: &mut Job, placement: TaskEntry) {
        let chunk = match placement.task() / TASKS_PER_CHUNK {
            0 => &mut job.record.first_chunk,
            number => &mut job.chunks.entry(number).or_default().chunk,
        };
        let old: Vec<TaskEntry> = chunk.entry(placement.task()).cloned().into_iter().collect();
        if overlay_placement(chunk, &placement, &mut job.batched_placements) {
            let image = JobImage::from_spec(&job.record.spec);
            self.index_placements(id, &old, &[placement], Some(image));
        }
    }

    /// Whether every placement of a placement batch has been superseded or merged into the job's own records. Not as long
    /// as a record of a job in the batch cannot be read, since the job is missing from the cache then.
    pub fn is_batch_superseded(&self, number: u32) -> bool {
        let is_needed = |id: &String, placement: &TaskEntry| {
            let job = self.jobs.get(id);
            job.is_some_and(|j| j.batched_placements.contains(placement))
        };
        let placements = self.placement_batches.placements(number);
        !placements.iter().any(|(id, of_job)| {
            self.is_unreadable(id) || of_job.iter().any(|placement| is_needed(id, placement))
        })
    }

    fn index_placements(
        &mut self,
        id: &str,
        old: &[TaskEntry],
        new: &[TaskEntry],
        image: Option<JobImage<'_>>,
    ) {
        self.placed_tasks
            .update(id, old, new, image, &mut self.image_caches);
    }

    /// Inserts a job by its stage. If it has ended, resolves the dependencies of its direct and indirect dependents. An
    /// end is final, so this never has to be undone.
    fn insert_job(&mut self, id: &str, mut job: Job) {
        self.resolve_dependencies(&mut job);
        let mut ended: Vec<String> = Vec::new();
        if self.insert_by_stage(id, job) {
            ended.push(id.to_string());
        }
        while let Some(dependency) = ended.pop() {
            let dependents = self.dependents.remove(&dependency).unwrap_or_default();
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

    /// Derives the number of unmet dependencies, the release time, and whether a cancelled dependency cancels the job.
    fn resolve_dependencies(&self, job: &mut Job) {
        job.released_at = job.record.accepted_at;
        job.unmet_dependencies = 0;
        if !job.active() {
            return;
        }
        for dependency in &job.record.spec.dependencies {
            let Some(outcome) = self.outcome_of(dependency) else {
                job.unmet_dependencies += 1;
                continue;
            };
            if outcome.stage == JobStage::Done {
                job.released_at = job.released_at.max(outcome.end);
                continue;
            }
            // A job starts only after all its dependencies are done. A cancelled dependency is never done, so this job
            // has no tasks on machines and never will.
            job.record.stage = JobStage::Cancelled;
            job.record.ended_at = outcome.end.max(job.record.accepted_at);
            return;
        }
    }

    /// How a job has ended; `None` while it is active or not in the cache.
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

    /// Inserts a job into `jobs` or `finished`; returns whether it has ended. An ended job stays in `jobs` while some
    /// of its tasks may still run.
    fn insert_by_stage(&mut self, id: &str, job: Job) -> bool {
        let has_ended = !job.active();
        let has_placements = job.entries().any(|e| e.machine().is_some());
        // Further records of a job that is done hold no placements.
        let placements_may_follow = job.record.stage == JobStage::Cancelled
            && (self.listing.is_some() || self.applying_watch_response);
        if has_ended && !has_placements && placements_may_follow {
            self.cancelled_without_placements.insert(id.to_string());
        } else if has_ended && !has_placements {
            self.jobs.remove(id);
            self.ended_with_tasks.remove(id);
            self.finished.insert(id.to_string(), finished_job(&job));
            return true;
        }
        self.finished.remove(id);
        if has_ended {
            self.ended_with_tasks.insert(id.to_string());
        }
        self.jobs.insert(id.to_string(), job);
        has_ended
    }

    /// Moves cancelled jobs without placements to `finished`, after all records of a listing or a watch response have
    /// been put into the cache: a job's record may come before its chunks and batches. A job with an unreadable record stays in
    /// `jobs`, since its placements are not known.
    pub(super) fn finish_cancelled_jobs(&mut self) {
        if self.listing.is_some() {
            return;
        }
        for id in std::mem::take(&mut self.cancelled_without_placements) {
            let Some(job) = self.jobs.get(&id).filter(|job| !job.active()) else {
                continue;
            };
            if self.is_unreadable(&id) {
                self.cancelled_without_placements.insert(id);
            } else if job.entries().all(|entry| entry.machine().is_none()) {
                self.finished.insert(id.clone(), finished_job(job));
                self.jobs.remove(&id);
                self.ended_with_tasks.remove(&id);
                self.changed.insert(id);
            }
        }
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
        self.index_placements(id, &job.record.first_chunk.entries, &[], None);
        for stored in job.chunks.values() {
            self.index_placements(id, &stored.chunk.entries, &[], None);
        }
        self.changed.insert(id.to_string());
    }
}

/// The summary that is kept of a job once it has ended and has no tasks left.
fn finished_job(job: &Job) -> FinishedJob {
    FinishedJob {
        stage: job.record.stage,
        tasks: job.record.spec.tasks,
        version: job.version,
        end: job.record.ended_at,
        service: job.record.spec.kind == JobKind::Service,
    }
}
