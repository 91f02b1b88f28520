//! Preemption: which running tasks may be stopped for a blocked job, and on which machines.

use crate::protocol::{JobKind, Priority};
use crate::scheduling::backfill::{PreemptibleTask, QueueEntry};
use crate::scheduling::pending_jobs::QueuePosition;
use crate::scheduling::placement::{self, Host, Resources, ZoneLimits, accepts_task, slots};
use std::cmp::{Ordering, Reverse};
use std::collections::BTreeMap;

/// For a job within its team's guarantee, tasks are preempted on up to this many machines at once.
const MAX_HOSTS_FOR_GUARANTEE: usize = 16;

/// For other jobs, tasks are preempted on one machine at a time, because preempted tasks may have to start
/// from scratch.
const MAX_HOSTS_WITHOUT_GUARANTEE: usize = 1;

/// Time in seconds from the decision to preempt a task until a task of another job starts in its place,
/// without the time for the checkpoint: stop, report by the agent, scheduling pass, write to the store,
/// and start.
const PREEMPTION_OVERHEAD_S: f64 = 2.0;

/// A replica waits for a machine that has its image if fetching the image takes more than this many times as
/// long as clearing such a machine.
const MIN_FETCH_FACTOR: f64 = 2.0;

/// Demand ratio used to rank machines for a gang that preempts: that of the largest demand, so that the weight
/// favours machines with much free room.
const GANG_DEMAND_RATIO: f64 = 1.0;

/// Index of GPUs in `Resources`.
const GPUS: usize = 1;

/// Number of tasks for which room is made on each machine, by index of the machine.
type TasksByHost = BTreeMap<usize, u32>;

/// The properties of a blocked job that decide which tasks may be preempted for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct PreemptionRequest<'a> {
    pub(crate) kind: JobKind,
    pub(crate) priority: Priority,
    pub(crate) team: u32,
    /// The job is within its team's guarantee.
    pub(crate) guaranteed: bool,
    /// The job is `guaranteed` and has waited so long that gangs beyond another team's guarantee may be
    /// preempted.
    pub(crate) overdue: bool,
    /// The job is a gang and has waited so long that tasks without checkpoints may be preempted.
    pub(crate) aged: bool,
    /// The job's position in the queue if it counts as the head of the queue.
    pub(crate) at_head: Option<QueuePosition<'a>>,
}

impl<'a> PreemptionRequest<'a> {
    /// The request of a job with a queue entry.
    pub(crate) fn of(
        entry: &QueueEntry<'_>,
        at_head: Option<QueuePosition<'a>>,
    ) -> PreemptionRequest<'a> {
        PreemptionRequest {
            kind: entry.spec.kind,
            priority: entry.priority,
            team: entry.team,
            guaranteed: entry.guaranteed,
            overdue: entry.guaranteed && entry.overdue,
            aged: entry.aged && entry.spec.kind == JobKind::Gang,
            at_head,
        }
    }

    /// Whether a task may be preempted for the job.
    fn may_preempt(&self, task: &PreemptibleTask<'_>) -> bool {
        let has_reason = self.may_preempt_by_backfill(task)
            || self.may_preempt_by_priority(task)
            || self.may_preempt_by_guarantee(task)
            || self.may_preempt_by_age(task);
        has_reason && self.has_prior_claim(task)
    }

    /// Whether the job's claim to resources comes before that of the task's job: by guarantee, then by priority, then by
    /// arrival. No reason for preemption goes against this order. Otherwise two jobs with different reasons would preempt
    /// each other in turn, and neither would ever end. A service needs no prior claim, since no job preempts its tasks.
    fn has_prior_claim(&self, task: &PreemptibleTask<'_>) -> bool {
        if self.kind == JobKind::Service {
            return true;
        }
        let claim = (self.guaranteed, self.priority);
        let claim_of_task = (!task.beyond_guarantee, task.priority);
        match claim.cmp(&claim_of_task) {
            Ordering::Greater => true,
            Ordering::Less => false,
            Ordering::Equal => self
                .at_head
                .is_some_and(|position| position < (task.accepted_at, task.job)),
        }
    }

    /// Whether the task may be preempted because it started ahead of a gang that is at the head of the queue now.
    fn may_preempt_by_backfill(&self, task: &PreemptibleTask<'_>) -> bool {
        self.at_head.is_some() && self.kind == JobKind::Gang && task.backfilled
    }

    /// Whether the task may be preempted because its priority is lower. It has to write a checkpoint, unless
    /// the job is a service. Arrays do not preempt by priority.
    fn may_preempt_by_priority(&self, task: &PreemptibleTask<'_>) -> bool {
        let service = self.kind == JobKind::Service;
        let array = self.kind == JobKind::Array;
        task.priority < self.priority && (task.saves_checkpoints || service) && !array
    }

    /// Whether the task may be preempted because the job is within its team's guarantee and the task is beyond
    /// the guarantee of another team. Tasks that stop alone lose little work and may be preempted at once. A
    /// gang stops as a whole, so its members may be preempted only when the job is overdue.
    fn may_preempt_by_guarantee(&self, task: &PreemptibleTask<'_>) -> bool {
        let beyond_guarantee = task.beyond_guarantee && task.team != self.team;
        self.guaranteed && beyond_guarantee && (task.stops_alone || self.overdue)
    }

    /// Whether the task may be preempted because the job is a gang that has waited long. While many single
    /// tasks are queued, backfilling takes each slot that becomes free, so that no machine ever becomes empty.
    /// Such a gang therefore preempts tasks that write no checkpoint, too.
    fn may_preempt_by_age(&self, task: &PreemptibleTask<'_>) -> bool {
        self.aged && task.stops_alone && !task.exempt && task.priority < self.priority
    }
}

/// Finds a task to preempt for a replica of a service: its machine has the service's image, and preempting it
/// takes less than half as long as fetching the image on another machine. Of all such tasks, returns the one
/// that started last.
///
/// `independent_checkpointing_tasks` are the preemptible tasks that stop alone and write a checkpoint.
pub(crate) fn find_victim_with_image<'t, 'a>(
    entry: &QueueEntry<'_>,
    hosts: &[Host],
    independent_checkpointing_tasks: &[&'t PreemptibleTask<'a>],
    zones: &ZoneLimits,
) -> Option<&'t PreemptibleTask<'a>> {
    let requirements = &entry.requirements;
    let suitable = |task: &&'t PreemptibleTask<'a>| {
        let host = &hosts[task.host];
        let free_without_task = || {
            let mut free = host.free;
            placement::add_resources(&mut free, &task.need);
            free
        };
        let runs_here = |(_, host_index): &(u32, Option<usize>)| *host_index == Some(task.host);
        task.priority < entry.priority
            && entry.fetch_s > MIN_FETCH_FACTOR * (task.save_s + PREEMPTION_OVERHEAD_S)
            && host.schedulable
            && host.reserved.is_none()
            && host.has_image(requirements.image)
            && slots(&free_without_task(), &requirements.need) > 0
            && host.is_permitted_by(&requirements.constraints)
            && !requirements.avoided_hosts.contains(&task.host)
            && !entry.task_locations.iter().any(runs_here)
            && zones.allow(host.zone)
    };
    independent_checkpointing_tasks
        .iter()
        .copied()
        .filter(suitable)
        .max_by_key(|task| task.start_order)
}

/// A machine that is cleared for a job.
pub(crate) struct ClearedHost<'t, 'a> {
    /// Index of the machine.
    pub(crate) host: usize,
    /// Tasks to preempt on it; none if the machine already has room.
    pub(crate) victims: Vec<&'t PreemptibleTask<'a>>,
}

/// Result of looking for tasks to preempt.
pub(crate) enum PreemptionOutcome<'t, 'a> {
    /// Machines are reserved for the job already.
    AlreadyReserved,
    /// No task may be preempted for such a job.
    NoCandidates,
    /// Candidates were considered. Contains the machines to clear, none if that would make no room for the job.
    Considered(Vec<ClearedHost<'t, 'a>>),
}

/// Chooses the tasks to preempt to make room for a blocked job, as far as its `request` permits. On each machine, the
/// tasks that started last are preempted first.
///
/// `unplaced` is the number of the job's tasks that found no machine.
pub(crate) fn preempt<'t, 'a>(
    entry: &QueueEntry<'_>,
    unplaced: u32,
    request: &PreemptionRequest<'_>,
    hosts: &[Host],
    preemptible: &'t [PreemptibleTask<'a>],
) -> PreemptionOutcome<'t, 'a> {
    let Some(tasks) = tasks_without_reservation(entry, unplaced, request, hosts) else {
        return PreemptionOutcome::AlreadyReserved;
    };
    let candidates = preemption_candidates(request, hosts, preemptible);
    if candidates.is_empty() {
        return PreemptionOutcome::NoCandidates;
    }
    let hosts_without_candidates = hosts_without(&candidates, hosts);
    let chosen = if entry.spec.kind == JobKind::Gang && unplaced > 1 {
        choose_hosts_for_gang(entry, unplaced, &hosts_without_candidates)
    } else {
        let max_hosts = if request.guaranteed {
            MAX_HOSTS_FOR_GUARANTEE
        } else {
            MAX_HOSTS_WITHOUT_GUARANTEE
        };
        choose_hosts_one_by_one(entry, tasks, max_hosts, hosts, &hosts_without_candidates)
    };
    let need = &entry.requirements.need;
    let cleared = chosen.into_iter().map(|(host, tasks)| ClearedHost {
        host,
        victims: victims_on(host, hosts[host].free, need, tasks, &candidates),
    });
    PreemptionOutcome::Considered(cleared.collect())
}

/// Number of unplaced tasks that do not fit on the machines reserved for the job. `None` if there are no such
/// tasks, or if any machine is reserved for a gang or for a job that is not within its team's guarantee: their
/// preemption in progress has to end first.
fn tasks_without_reservation(
    entry: &QueueEntry<'_>,
    unplaced: u32,
    request: &PreemptionRequest<'_>,
    hosts: &[Host],
) -> Option<u32> {
    let gang = entry.spec.kind == JobKind::Gang;
    let mut tasks = unplaced;
    for host in hosts {
        if host.reserved.as_deref() != Some(entry.id) {
            continue;
        }
        if gang || !request.guaranteed {
            return None;
        }
        // Only room that is free or becomes free counts, not reserved machines that the job's own tasks
        // have filled. Counting those would restore a team's guarantee at a rate of only one machine every
        // 20 seconds.
        tasks = tasks.saturating_sub(slots(&host.free_after_stops(), &entry.requirements.need));
    }
    (tasks > 0).then_some(tasks)
}

/// Tasks that may be preempted for the request and run on machines that are not reserved.
fn preemption_candidates<'t, 'a>(
    request: &PreemptionRequest<'_>,
    hosts: &[Host],
    preemptible: &'t [PreemptibleTask<'a>],
) -> Vec<&'t PreemptibleTask<'a>> {
    preemptible
        .iter()
        .filter(|task| request.may_preempt(task) && hosts[task.host].reserved.is_none())
        .collect()
}

/// Copies of the machines with the resources of the `candidates` released.
fn hosts_without(candidates: &[&PreemptibleTask<'_>], hosts: &[Host]) -> Vec<Host> {
    let mut cleared: Vec<Host> = hosts.to_vec();
    for task in candidates {
        cleared[task.host].release(&task.need);
    }
    cleared
}

/// The tasks to preempt on a machine, latest start first, so that `tasks` tasks of the blocked job fit.
fn victims_on<'t, 'a>(
    host: usize,
    mut free: Resources,
    need: &Resources,
    tasks: u32,
    candidates: &[&'t PreemptibleTask<'a>],
) -> Vec<&'t PreemptibleTask<'a>> {
    let on_host = candidates.iter().copied().filter(|task| task.host == host);
    let mut on_host: Vec<&PreemptibleTask<'_>> = on_host.collect();
    on_host.sort_by_key(|task| Reverse(task.start_order));
    let mut victims = Vec::new();
    for task in on_host {
        if slots(&free, need) >= tasks {
            break;
        }
        placement::add_resources(&mut free, &task.need);
        victims.push(task);
    }
    victims
}

/// Machines on which all members of a gang fit once the candidates are preempted; empty if they do not fit.
fn choose_hosts_for_gang(entry: &QueueEntry<'_>, members: u32, cleared: &[Host]) -> TasksByHost {
    let placed = placement::place_gang(
        cleared,
        0..cleared.len(),
        entry.id,
        entry.spec,
        &entry.requirements,
        members,
        GANG_DEMAND_RATIO,
    );
    let mut chosen = TasksByHost::new();
    for host in placed.into_iter().flatten() {
        *chosen.entry(host).or_default() += 1;
    }
    chosen
}

/// At most `max_hosts` machines for tasks that are placed one by one once the candidates are preempted.
fn choose_hosts_one_by_one(
    entry: &QueueEntry<'_>,
    tasks: u32,
    max_hosts: usize,
    hosts: &[Host],
    cleared: &[Host],
) -> TasksByHost {
    let need = entry.requirements.need;
    let array = entry.spec.kind == JobKind::Array;
    let reserved_with_room = |host: &&Host| {
        host.reserved.as_deref() == Some(entry.id) && slots(&host.free_after_stops(), &need) > 0
    };
    let mut zones = entry.zone_limits();
    for host in hosts.iter().filter(reserved_with_room) {
        zones.occupy(host.zone);
    }
    let mut remaining = tasks;
    let mut chosen = TasksByHost::new();
    for host in rank_by_cost(entry, hosts, cleared) {
        if remaining == 0 || chosen.len() >= max_hosts {
            break;
        }
        if !zones.allow(cleared[host].zone) {
            continue;
        }
        // An array fills the machine; the replicas of a service are kept on different machines.
        let max_tasks_on_host = if array { remaining } else { 1 };
        let tasks_on_host = slots(&cleared[host].free, &need).min(max_tasks_on_host);
        zones.occupy(cleared[host].zone);
        chosen.insert(host, tasks_on_host);
        remaining -= tasks_on_host;
    }
    chosen
}

/// Machines that accept a task once the candidates are preempted, cheapest first: by the number of GPUs that
/// preemption releases, then machines that have the image before those that do not.
fn rank_by_cost(entry: &QueueEntry<'_>, hosts: &[Host], cleared: &[Host]) -> Vec<usize> {
    let requirements = &entry.requirements;
    let cost = |host: usize| {
        let cleared_gpus = (cleared[host].free[GPUS] - hosts[host].free[GPUS]).max(0.0);
        let fetches_image = !cleared[host].has_image(requirements.image);
        (cleared_gpus, fetches_image)
    };
    let accepts = |host: &usize| {
        let host = &cleared[*host];
        accepts_task(
            host,
            entry.id,
            &requirements.need,
            &requirements.constraints,
        )
    };
    let mut ranked: Vec<usize> = (0..cleared.len()).filter(accepts).collect();
    ranked.sort_by(|left, right| {
        let by_cost = cost(*left).partial_cmp(&cost(*right));
        by_cost.unwrap_or(Ordering::Equal)
    });
    ranked
}

#[cfg(test)]
mod tests;
