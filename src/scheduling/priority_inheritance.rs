//! What jobs inherit from the jobs that need them.

use crate::protocol::Priority;
use crate::state::record_cache::{Job, RecordCache};
use std::collections::HashMap;

/// Priorities of jobs that others need, directly or through others.
///
/// Made anew for each pass from the jobs that wait, so that it holds whatever has arrived, been done or
/// been cancelled meanwhile.
#[derive(Debug, Default)]
pub struct InheritedPriorities<'a>(HashMap<&'a str, Priority>);

impl<'a> InheritedPriorities<'a> {
    /// Of all jobs in the copy.
    pub fn new(cache: &'a RecordCache) -> InheritedPriorities<'a> {
        let mut lifted: HashMap<&str, Priority> = HashMap::new();
        if !cache.has_waiting_jobs() {
            return InheritedPriorities(lifted);
        }
        // A priority goes up the graph as long as it lifts somebody; there are four of them, so this
        // ends however the jobs are connected.
        let mut rising: Vec<(&Job, Priority)> = cache
            .waiting_jobs()
            .map(|j| (j, j.rec.spec.priority))
            .collect();
        while let Some((job, priority)) = rising.pop() {
            for need in &job.rec.spec.needs {
                let Some((id, needed)) = cache.jobs.get_key_value(need) else {
                    continue;
                };
                let held = lifted.entry(id).or_insert(needed.rec.spec.priority);
                if needed.active() && *held < priority {
                    *held = priority;
                    rising.push((needed, priority));
                }
            }
        }
        InheritedPriorities(lifted)
    }

    /// The highest priority of a job and of all that need it.
    pub fn of(&self, id: &str, job: &Job) -> Priority {
        self.over(id, job.rec.spec.priority)
    }

    /// The same, if the job's own priority is this.
    pub fn over(&self, id: &str, own: Priority) -> Priority {
        if self.0.is_empty() {
            return own;
        }
        self.0.get(id).map_or(own, |p| own.max(*p))
    }
}
