//! Compares an incrementally updated queue with one that is rebuilt from the records.

use super::{JobQueue, QueuedJob, Slot};
use crate::state::record_cache::Job;
use std::collections::BTreeMap;

impl JobQueue {
    /// Compares the queue with one that is built from `jobs`. The error describes the first index that
    /// differs.
    pub fn check_consistency<'a>(
        &self,
        jobs: impl Iterator<Item = (&'a String, &'a Job)>,
    ) -> Result<(), String> {
        let actual = self.describe_indexes();
        let expected = JobQueue::build(jobs).describe_indexes();
        for index in actual.keys().chain(expected.keys()) {
            let (actual, expected) = (actual.get(index), expected.get(index));
            if actual != expected {
                return Err(format!(
                    "index {index}: the queue has {actual:?}, a queue rebuilt from the records has {expected:?}"
                ));
            }
        }
        Ok(())
    }

    /// All indexes that are not empty, by name, with a description of each job.
    fn describe_indexes(&self) -> BTreeMap<String, Vec<String>> {
        let services = self.services().map(|(_, summary)| summary.slot);
        let batch_jobs = self.batch_jobs().map(|(_, summary)| summary.slot);
        let by_estimate = self.batch_by_estimate().map(|(_, summary)| summary.slot);
        let placed = self.placed().map(|(_, slot)| slot);
        let mut indexes = BTreeMap::from([
            ("services".to_string(), self.describe(services)),
            ("batch jobs".to_string(), self.describe(batch_jobs)),
            (
                "batch jobs by estimate".to_string(),
                self.describe(by_estimate),
            ),
            ("placed".to_string(), self.describe(placed)),
        ]);
        for (team, jobs) in &self.by_team {
            let index = format!("team {}", self.names.name(*team));
            indexes.insert(index, self.describe(jobs.values().copied()));
        }
        indexes.retain(|_, jobs| !jobs.is_empty());
        indexes
    }

    fn describe(&self, slots: impl Iterator<Item = Slot>) -> Vec<String> {
        let jobs = slots.filter_map(|slot| self.job(slot));
        jobs.map(|queued| self.describe_job(queued)).collect()
    }

    fn describe_job(&self, queued: &QueuedJob) -> String {
        let profile = self.profile_of(queued);
        let team = self.names.name(profile.team);
        let image = self.names.name(queued.image);
        format!(
            "{} {team:?} {image:?} {:?} {:?} {} {:?} {}",
            queued.id,
            queued.need,
            queued.state,
            queued.unfinished,
            profile.priority,
            queued.released_at
        )
    }
}
