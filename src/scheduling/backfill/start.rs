//! Starts the tasks of one job: gangs as a whole, arrays and services task by task.

use crate::protocol::JobKind;
use crate::scheduling::backfill::{
    MAX_PLACEMENTS_WITH_WIDE_ARRAYS, QueueCandidate, QueueEntry, SchedulingPass, TaskPlacement,
    wide_arrays,
};
use crate::scheduling::job_queue::JobSummary;
use crate::scheduling::placement::{self, Host, HostPicker, ZoneLimits, slots};
use crate::scheduling::preemption::{ClearedHost, find_victim_with_image};

/// Upper limit of the number of tasks of a pending job that one pass starts.
pub fn max_startable_tasks(gang: bool, summary: &JobSummary) -> u32 {
    if gang {
        summary.unfinished
    } else {
        summary
            .unfinished
            .min(MAX_PLACEMENTS_WITH_WIDE_ARRAYS as u32)
    }
}

impl<'p, 'a> SchedulingPass<'p, 'a> {
    /// Starts the tasks of a job that fit. Returns the number of tasks that found no machine; tasks that
    /// exceed the team's quota are not counted.
    pub(super) fn start_candidate(
        &mut self,
        candidate: QueueCandidate<'a>,
        backfilled: bool,
    ) -> u32 {
        match candidate {
            QueueCandidate::Active(index) => {
                let active = self.active;
                self.start_job(candidate, &active[index], backfilled)
            }
            QueueCandidate::Pending(summary) => self.start_pending(summary, backfilled),
        }
    }

    /// `start_candidate` for a pending job. Builds the queue entry only if a machine may have room, or if the
    /// job may be a wide array.
    fn start_pending(&mut self, summary: &'a JobSummary, backfilled: bool) -> u32 {
        let profile = self.pending.profile_of(summary);
        let gang = profile.kind == JobKind::Gang;
        let requested = max_startable_tasks(gang, summary);
        let permitted = self.quotas.max_tasks(profile.team, &summary.need);
        let permitted = permitted.min(requested);
        if permitted == 0 || (gang && permitted < requested) {
            return 0;
        }
        // The tasks of arrays and services are placed one by one, so room for a single task suffices.
        let min_tasks = if gang { requested } else { 1 };
        let infeasible = &mut self.infeasible[profile.feasibility_class as usize];
        let mut no_room = infeasible.covers(&summary.need, min_tasks);
        if !no_room && !self.hosts.has_room(&summary.need, &profile.constraints) {
            infeasible.add(&summary.need, 1);
            no_room = true;
        }
        let may_be_wide =
            profile.kind == JobKind::Array && requested >= wide_arrays::MIN_WIDE_TASKS;
        if no_room && !may_be_wide {
            return permitted;
        }
        let Some(entry) = self.pending.queue_entry(summary) else {
            return 0;
        };
        let candidate = QueueCandidate::Pending(summary);
        let unplaced = self.start_job(candidate, &entry, backfilled);
        if gang && unplaced > 0 {
            self.infeasible[profile.feasibility_class as usize].add(&summary.need, requested);
        }
        unplaced
    }

    /// `start_candidate` for a job with a queue entry.
    fn start_job(
        &mut self,
        candidate: QueueCandidate<'a>,
        entry: &QueueEntry<'_>,
        backfilled: bool,
    ) -> u32 {
        let requested = entry.tasks.len() as u32;
        let permitted = self.quotas.max_tasks(entry.team, &entry.requirements.need);
        let permitted = permitted.min(requested);
        if wide_arrays::is_wide(entry) {
            return self.start_wide_array(candidate, entry, permitted, backfilled);
        }
        if entry.spec.kind != JobKind::Gang {
            return self.start_tasks_one_by_one(
                entry,
                &entry.tasks[..permitted as usize],
                backfilled,
            );
        }
        if permitted < requested {
            return 0;
        }
        self.start_gang(entry, requested, backfilled)
    }

    /// Starts all `members` of a gang or none. Returns the number of members that found no machine.
    fn start_gang(&mut self, entry: &QueueEntry<'_>, members: u32, backfilled: bool) -> u32 {
        let requirements = &entry.requirements;
        let demand_ratio = self.demand_ratio(entry);
        let candidates = self.candidates(entry);
        let chosen = placement::place_gang(
            self.hosts,
            candidates.into_iter(),
            entry.id,
            entry.spec,
            requirements,
            members,
            demand_ratio,
        );
        let Some(chosen) = chosen else {
            return members;
        };
        for (task, host) in entry.tasks.iter().zip(chosen) {
            self.place(entry, *task, host, backfilled);
        }
        0
    }

    /// Starts tasks one by one. Returns the number of tasks that found no machine.
    pub(super) fn start_tasks_one_by_one(
        &mut self,
        entry: &QueueEntry<'_>,
        tasks: &[u32],
        backfilled: bool,
    ) -> u32 {
        let requirements = &entry.requirements;
        let service = entry.spec.kind == JobKind::Service;
        let mut zones = entry.zone_limits();
        let runs_on = |host: usize| {
            entry
                .task_locations
                .iter()
                .any(|(_, host_index)| *host_index == Some(host))
        };
        let candidates = self.candidates(entry);
        let mut picker = HostPicker::new(
            self.hosts,
            candidates.into_iter(),
            entry.id,
            requirements,
            self.demand_ratio(entry),
            service,
            runs_on,
        );
        let mut hosts_being_cleared = None;
        for (index, task) in tasks.iter().enumerate() {
            let Some(host) = picker.pick(self.hosts, |zone| zones.allow(zone)) else {
                return (tasks.len() - index) as u32;
            };
            if service
                && !self.hosts[host].has_image(requirements.image)
                && self.waits_for_host_with_image(entry, &mut zones, &mut hosts_being_cleared)
            {
                picker.put_back(self.hosts, host);
                continue;
            }
            self.place(entry, *task, host, backfilled && !service);
            picker.task_placed(self.hosts, host);
            zones.occupy(self.hosts[host].zone);
        }
        0
    }

    /// Whether a replica waits for a machine that has its image instead of fetching the image elsewhere.
    /// Preempts a task on such a machine if no machine is being cleared for this replica already.
    ///
    /// `hosts_being_cleared` is the number of machines that are being cleared for further replicas of the
    /// service. It is computed on the first call and decreases with each replica that waits.
    fn waits_for_host_with_image(
        &mut self,
        entry: &QueueEntry<'_>,
        zones: &mut ZoneLimits,
        hosts_being_cleared: &mut Option<usize>,
    ) -> bool {
        let being_cleared =
            hosts_being_cleared.get_or_insert_with(|| self.count_hosts_being_cleared(entry));
        if *being_cleared > 0 {
            *being_cleared -= 1;
            return true;
        }
        let victim = find_victim_with_image(
            entry,
            self.hosts,
            &self.independent_checkpointing_tasks,
            zones,
        );
        let Some(victim) = victim else {
            return false;
        };
        let cleared = ClearedHost {
            host: victim.host,
            victims: vec![victim],
        };
        self.clear_host(&cleared, entry.id);
        zones.occupy(self.hosts[victim.host].zone);
        true
    }

    /// Number of machines reserved for the job that are full now but have room once the tasks that are being
    /// stopped have ended. Machines that are filled by the job's own tasks do not count.
    fn count_hosts_being_cleared(&self, entry: &QueueEntry<'_>) -> usize {
        let need = &entry.requirements.need;
        let being_cleared = |host: &&Host| {
            host.reserved.as_deref() == Some(entry.id)
                && slots(&host.free, need) == 0
                && slots(&host.free_after_stops(), need) > 0
        };
        self.hosts.iter().filter(being_cleared).count()
    }

    /// Machines that accept a task of the job.
    pub(super) fn candidates(&self, entry: &QueueEntry<'_>) -> Vec<usize> {
        let requirements = &entry.requirements;
        self.hosts
            .candidates(entry.id, &requirements.need, &requirements.constraints)
    }

    /// Starts one task on a machine.
    fn place(&mut self, entry: &QueueEntry<'_>, task: u32, host: usize, backfilled: bool) {
        let requirements = &entry.requirements;
        self.hosts.allocate(host, &requirements.need);
        self.quotas.deduct(entry.team, &requirements.need);
        self.hosts.add_image(host, requirements.image);
        self.plan.placements.push(TaskPlacement {
            job: entry.id.to_string(),
            task,
            host,
            backfilled,
        });
    }
}
