//! The recorded and pending attempts of a job: whether each still runs, and the resources that it uses.

use super::{InspectedJob, SnapshotBuilder};
use crate::agents::leader_state::stop_grace_s;
use crate::protocol::agent_api::{ExitReason, TaskPhase};
use crate::protocol::records::TaskEntry;
use crate::protocol::{JobKind, Micros};
use crate::scheduling::backfill::PreemptibleTask;
use crate::scheduling::findings::{TaskRef, tasks_stopped_with};
use crate::scheduling::placement::{add_resources, dominant_share};
use crate::state::agent::TaskLiveness;

/// Stands for the id of a zone that is not known.
const UNKNOWN_ZONE: u32 = u32::MAX;

/// The machine and the liveness of an attempt.
struct LocatedAttempt {
    liveness: TaskLiveness,
    /// Index of its machine in the host table, if listed.
    host: Option<usize>,
}

/// Summary of the attempts of a job.
#[derive(Default)]
pub(super) struct AttemptTally {
    /// Zone id and host index of each attempt that is presumed to run.
    pub(super) present: Vec<(u32, Option<usize>)>,
    /// Tasks that must not be started because they are done or presumed to run. Sorted.
    pub(super) occupied: Vec<u32>,
    /// Tasks that were lost with their machine or because their gang lost a member. Sorted.
    pub(super) lost_tasks: Vec<u32>,
    /// Number of attempts that are not presumed to run.
    pub(super) ended_attempts: usize,
    /// The highest attempt number among those presumed to run.
    pub(super) latest_attempt: u64,
    /// An attempt runs on a machine whose zone is unknown.
    pub(super) has_unknown_zone: bool,
    /// The job is a gang, and a member is reported done.
    pub(super) gang_is_done: bool,
    /// A task is running.
    pub(super) has_running_task: bool,
    /// Members of a gang that are presumed to run.
    pub(super) gang_members: Vec<(u32, TaskLiveness)>,
}

impl AttemptTally {
    /// Adds an attempt that is on record.
    fn add_recorded(&mut self, task: u32, liveness: TaskLiveness, presumed_running: bool) {
        if presumed_running || liveness == TaskLiveness::Ended(ExitReason::Done) {
            self.occupied.push(task);
            return;
        }
        // A task that was stopped or has failed does not count as lost.
        let is_lost = matches!(
            liveness,
            TaskLiveness::Gone | TaskLiveness::Ended(ExitReason::GangMemberGone)
        );
        if is_lost {
            self.lost_tasks.push(task);
        }
    }
}

impl<'a> SnapshotBuilder<'_, 'a> {
    /// Summarizes all attempts of a job and deducts their resources.
    pub(super) fn tally_attempts(&mut self, inspected: &InspectedJob<'a>) -> AttemptTally {
        let mut tally = AttemptTally::default();
        // A task with a pending placement is proven not to run on its recorded machine. Counting the
        // recorded attempt as ended would make a gang appear incomplete before its new attempt starts.
        for attempt in inspected.job.entries() {
            if !inspected.has_pending_placement(attempt.task()) {
                self.tally_attempt(inspected, attempt, true, &mut tally);
            }
        }
        for attempt in &inspected.pending_placements {
            self.tally_attempt(inspected, attempt, false, &mut tally);
        }
        tally
    }

    fn tally_attempt(
        &mut self,
        inspected: &InspectedJob<'a>,
        attempt: &'a TaskEntry,
        is_recorded: bool,
        tally: &mut AttemptTally,
    ) {
        let Some(machine) = attempt.machine() else {
            return;
        };
        let task = attempt.task();
        let active = inspected.queued.active;
        let LocatedAttempt { liveness, host } = self.locate(inspected.id, attempt, machine);
        let presumed_running =
            liveness.may_be_running(|| active && self.leader.may_be_started(inspected.id, attempt));
        if is_recorded {
            tally.add_recorded(task, liveness, presumed_running);
        }
        if !presumed_running {
            tally.ended_attempts += 1;
            let is_done = liveness == TaskLiveness::Ended(ExitReason::Done);
            if is_done && active && !inspected.in_flight {
                tally.gang_is_done = inspected.kind() == JobKind::Gang;
                self.snapshot.findings.done_tasks.push(TaskRef {
                    job: inspected.id.to_string(),
                    task,
                });
            }
            return;
        }
        tally.latest_attempt = tally.latest_attempt.max(attempt.attempt());
        tally.has_running_task |= liveness == TaskLiveness::Present(TaskPhase::Running);
        if inspected.kind() == JobKind::Gang {
            tally.gang_members.push((task, liveness));
        }
        let zone = match host {
            Some(host) => Some(self.occupy_host(inspected, attempt, host, liveness)),
            None => self.zone_of_unlisted_machine(machine),
        };
        tally.has_unknown_zone |= zone.is_none();
        tally.present.push((zone.unwrap_or(UNKNOWN_ZONE), host));
        let need = &inspected.queued.need;
        let class = inspected.profile.class;
        self.snapshot.quotas.deduct(inspected.profile.team, need);
        *self.snapshot.usage_by_class.entry(class).or_default() +=
            dominant_share(&self.cluster_total, need);
    }

    /// Determines the liveness of an attempt with a single lookup of its machine.
    fn locate(&self, id: &str, attempt: &'a TaskEntry, machine: &str) -> LocatedAttempt {
        let host = self.snapshot.host_table.find(machine);
        let liveness = match host {
            Some(index) => self.snapshot.host_table.agents[index].liveness(
                self.leader.term,
                id,
                attempt.task(),
                attempt.attempt(),
                attempt.agent_epoch(),
            ),
            None => self.leader.attempt_liveness(id, attempt),
        };
        LocatedAttempt { liveness, host }
    }

    /// Deducts the resources of an attempt on its host, and returns the zone id of the host.
    fn occupy_host(
        &mut self,
        inspected: &InspectedJob<'a>,
        attempt: &TaskEntry,
        host_index: usize,
        liveness: TaskLiveness,
    ) -> u32 {
        let task = attempt.task();
        let need = &inspected.queued.need;
        let host = &mut self.snapshot.host_table.hosts[host_index];
        host.allocate(need);
        host.add_image(inspected.queued.image);
        if inspected.is_stopping(task) {
            add_resources(&mut host.stopping, need);
        }
        let zone = host.zone;
        if liveness == TaskLiveness::Present(TaskPhase::Running) {
            self.checkpoint_before_reclaim(inspected, task, host_index);
        }
        if inspected.is_preemptible(task) {
            let preemptible = preemptible_task(inspected, attempt, host_index);
            self.snapshot.preemptible.push(preemptible);
        }
        zone
    }

    /// Stops a running task that can save a checkpoint if its spot instance is about to be reclaimed and
    /// there is enough time left to save. A gang stops as a whole.
    fn checkpoint_before_reclaim(&mut self, inspected: &InspectedJob<'a>, task: u32, host: usize) {
        let spec = inspected.spec();
        let grace_s = stop_grace_s(inspected.job);
        let reclaimed_at = self.snapshot.host_table.agents[host].preemption_at;
        let saved_at = self.clock.now + Micros::secs(spec.save_s);
        if grace_s > 0.0 && reclaimed_at.is_some_and(|at| at > saved_at) {
            let tasks = tasks_stopped_with(spec, task);
            self.add_stops(inspected.id, tasks, grace_s);
        }
    }

    /// Zone id of a machine that is not in the host table, if the zone is known.
    fn zone_of_unlisted_machine(&self, machine: &str) -> Option<u32> {
        let zone = self.leader.zone_of(machine)?;
        self.context.job_queue.names.find(&zone)
    }
}

fn preemptible_task<'a>(
    inspected: &InspectedJob<'a>,
    attempt: &TaskEntry,
    host: usize,
) -> PreemptibleTask<'a> {
    let spec = inspected.spec();
    let task = attempt.task();
    let stops_alone = spec.kind == JobKind::Array || spec.tasks == 1;
    let order = inspected.start_order.and_then(|order| order.get(&task));
    PreemptibleTask {
        job: inspected.id,
        task,
        host,
        need: inspected.queued.need,
        start_order: order.copied().unwrap_or(0),
        backfilled: attempt.backfilled(),
        accepted_at: inspected.queued.accepted_at,
        priority: inspected.priority,
        saves_checkpoints: stops_alone && spec.saves_checkpoints(),
        save_s: spec.save_s,
        team: inspected.profile.team,
        beyond_guarantee: !inspected.guaranteed,
        stops_alone: spec.kind == JobKind::Array,
        class: inspected.profile.class,
        exempt: false,
    }
}
