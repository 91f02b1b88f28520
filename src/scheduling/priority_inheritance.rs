//! Priority inheritance: a job runs at no lower a priority than the jobs that depend on it.

use crate::protocol::Priority;
use crate::state::record_cache::{Job, RecordCache};
use std::collections::HashMap;

/// By job id: the priorities of jobs that other jobs depend on, directly or transitively.
///
/// Recomputed in each pass from the jobs that wait for dependencies, so that no update is needed when a
/// job arrives, completes or is cancelled.
#[derive(Debug, Default)]
pub struct InheritedPriorities<'a>(HashMap<&'a str, Priority>);

impl<'a> InheritedPriorities<'a> {
    /// Computes the priorities of all jobs in the cache.
    pub fn new(cache: &'a RecordCache) -> InheritedPriorities<'a> {
        let mut inherited: HashMap<&str, Priority> = HashMap::new();
        if !cache.has_waiting_jobs() {
            return InheritedPriorities(inherited);
        }
        // Propagates priorities along the dependencies while they raise the priority of a job. There are
        // only four priorities, so this terminates even if the dependencies contain a cycle.
        let mut worklist: Vec<(&Job, Priority)> = cache
            .waiting_jobs()
            .map(|job| (job, job.record.spec.priority))
            .collect();
        while let Some((job, priority)) = worklist.pop() {
            for dependency in &job.record.spec.dependencies {
                let Some((id, needed_job)) = cache.jobs.get_key_value(dependency) else {
                    continue;
                };
                let current = inherited
                    .entry(id)
                    .or_insert(needed_job.record.spec.priority);
                if needed_job.active() && *current < priority {
                    *current = priority;
                    worklist.push((needed_job, priority));
                }
            }
        }
        InheritedPriorities(inherited)
    }

    /// The effective priority of a job: the highest of its own and those of all jobs that depend on it.
    pub fn effective_priority(&self, id: &str, job: &Job) -> Priority {
        self.effective_priority_from(id, job.record.spec.priority)
    }

    /// Like `effective_priority`, for a caller that has no record of the job but its own priority.
    pub fn effective_priority_from(&self, id: &str, own_priority: Priority) -> Priority {
        if self.0.is_empty() {
            return own_priority;
        }
        let inherited = self.0.get(id);
        inherited.map_or(own_priority, |inherited| own_priority.max(*inherited))
    }
}
