//! Index of recorded task attempts by machine.

use crate::protocol::JobSpec;
use crate::protocol::records::TaskEntry;
use crate::state::image_caches::ImageCaches;
use std::collections::{BTreeMap, BTreeSet};

/// The image that a job's tasks run.
#[derive(Debug, Clone, Copy)]
pub struct JobImage<'a> {
    /// Name.
    pub name: &'a str,
    /// Size in GB.
    pub size_gb: f64,
}

impl<'a> JobImage<'a> {
    /// The image in a job's specification.
    pub fn from_spec(spec: &'a JobSpec) -> JobImage<'a> {
        JobImage {
            name: &spec.image,
            size_gb: spec.image_gb,
        }
    }
}

/// Tasks with an attempt on record, by machine.
///
/// The index is updated with every record, so that a query for one machine does not have to visit all jobs.
#[derive(Debug, Default)]
pub struct PlacedTasks {
    by_machine: BTreeMap<String, BTreeSet<(String, u32)>>,
}

impl PlacedTasks {
    /// Tasks with an attempt on record on a machine, as job id and task number.
    pub fn tasks_on(&self, machine: &str) -> impl Iterator<Item = &(String, u32)> {
        self.by_machine.get(machine).into_iter().flatten()
    }

    /// Replaces a job's old entries by its new ones; both are sorted by task. If the job's image is known, its use is
    /// recorded in `image_caches` for each machine that a task is newly placed on.
    pub fn update(
        &mut self,
        job: &str,
        old: &[TaskEntry],
        new: &[TaskEntry],
        image: Option<JobImage<'_>>,
        image_caches: &mut ImageCaches,
    ) {
        for entry in old {
            if let Some(machine) = entry.machine()
                && !stays_on_machine(entry, new)
            {
                self.remove(machine, job, entry.task());
            }
        }
        for entry in new {
            let Some(machine) = entry.machine() else {
                continue;
            };
            if stays_on_machine(entry, old) {
                continue;
            }
            let tasks = self.by_machine.entry(machine.to_string()).or_default();
            tasks.insert((job.to_string(), entry.task()));
            if let Some(image) = image {
                image_caches.record_use(machine, image.name, image.size_gb);
            }
        }
    }

    fn remove(&mut self, machine: &str, job: &str, task: u32) {
        let Some(tasks) = self.by_machine.get_mut(machine) else {
            return;
        };
        tasks.remove(&(job.to_string(), task));
        if tasks.is_empty() {
            self.by_machine.remove(machine);
        }
    }
}

/// Whether a list that is sorted by task has the entry's task on the same machine.
fn stays_on_machine(entry: &TaskEntry, list: &[TaskEntry]) -> bool {
    list.binary_search_by_key(&entry.task(), TaskEntry::task)
        .is_ok_and(|index| list[index].machine() == entry.machine())
}
