//! The recorded and pending attempts of a job: whether each still runs, and the resources that it takes.

use super::{InspectedJob, SnapshotBuilder};
use crate::agents::leader_state::stop_grace_s;
use crate::protocol::agent_api::{ExitReason, TaskPhase};
use crate::protocol::records::TaskEntry;
use crate::protocol::{JobKind, Micros};
use crate::scheduling::backfill::PreemptibleTask;
use crate::scheduling::findings::{TaskRef, tasks_stopped_with};
use crate::scheduling::placement::{add_resources, dominant_share};
use crate::state::agent::TaskLiveness;

/// Number of a zone that is not known.
const UNKNOWN_ZONE: u32 = u32::MAX;

/// Where an attempt runs, and whether it does.
struct LocatedAttempt {
    liveness: TaskLiveness,
    /// Index of its machine, if it is in the host table.
    host: Option<usize>,
}

/// What the attempts of a job add up to.
#[derive(Default)]
pub(super) struct AttemptTally {
    /// Zone and host of each attempt that must be presumed to run.
    pub(super) present: Vec<(u32, Option<usize>)>,
    /// Tasks that must not be started: they are presumed to run, or done. Sorted.
    pub(super) occupied: Vec<u32>,
    /// Tasks that were lost with their machine or with their gang. Sorted.
    pub(super) displaced: Vec<u32>,
    /// Number of attempts that have ended or are gone.
    pub(super) lost: usize,
    pub(super) latest_attempt: u64,
    /// An attempt runs on a machine whose zone is unknown.
    pub(super) has_unknown_zone: bool,
    /// A gang of which a member has reported that it is done.
    pub(super) gang_is_done: bool,
    /// A task is running.
    pub(super) is_running: bool,
    /// Members of a gang that must be presumed to run.
    pub(super) members: Vec<(u32, TaskLiveness)>,
}

impl AttemptTally {
    /// Takes note of an attempt that is on record.
    fn add_recorded(&mut self, task: u32, liveness: TaskLiveness, presumed: bool) {
        if presumed || liveness == TaskLiveness::Ended(ExitReason::Done) {
            self.occupied.push(task);
            return;
        }
        // A task that was stopped or has failed does not count as displaced.
        let displaced = matches!(
            liveness,
            TaskLiveness::Gone | TaskLiveness::Ended(ExitReason::GangMemberGone)
        );
        if displaced {
            self.displaced.push(task);
        }
    }
}

impl<'a> SnapshotBuilder<'_, 'a> {
    /// Adds up all attempts of a job, and takes their resources.
    pub(super) fn tally_attempts(&mut self, inspected: &InspectedJob<'a>) -> AttemptTally {
        let mut tally = AttemptTally::default();
        // A task with a pending placement has been proven gone from its recorded machine. If the
        // recorded attempt counted as lost beside the new one, a gang would be taken for broken before
        // it has started.
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
        let presumed =
            liveness.may_be_running(|| active && self.leader.may_be_started(inspected.id, attempt));
        if is_recorded {
            tally.add_recorded(task, liveness, presumed);
        }
        if !presumed {
            tally.lost += 1;
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
        tally.is_running |= liveness == TaskLiveness::Present(TaskPhase::Running);
        if inspected.kind() == JobKind::Gang {
            tally.members.push((task, liveness));
        }
        let zone = match host {
            Some(host) => Some(self.occupy_host(inspected, attempt, host, liveness)),
            None => self.zone_off_table(machine),
        };
        tally.has_unknown_zone |= zone.is_none();
        tally.present.push((zone.unwrap_or(UNKNOWN_ZONE), host));
        let need = &inspected.queued.need;
        let class = inspected.profile.class;
        self.snapshot.quotas.take(inspected.profile.team, need);
        *self.snapshot.usage_by_class.entry(class).or_default() +=
            dominant_share(&self.cluster_total, need);
    }

    /// Finds out whether an attempt runs, with a single lookup of its machine.
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

    /// Takes the resources of an attempt on its host, and returns the host's zone.
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
            self.save_before_reclaim(inspected, task, host_index);
        }
        if inspected.is_preemptible(task) {
            let preemptible = preemptible_task(inspected, attempt, host_index);
            self.snapshot.preemptible.push(preemptible);
        }
        zone
    }

    /// Stops a running task that can save if its spot instance is about to be reclaimed and enough time
    /// for that is left. A gang stops as a whole.
    fn save_before_reclaim(&mut self, inspected: &InspectedJob<'a>, task: u32, host: usize) {
        let spec = inspected.spec();
        let grace_s = stop_grace_s(inspected.job);
        let reclaimed_at = self.snapshot.host_table.agents[host].preemption_at;
        let saved_at = self.clock.now + Micros::secs(spec.save_s);
        if grace_s > 0.0 && reclaimed_at.is_some_and(|at| at > saved_at) {
            let tasks = tasks_stopped_with(spec, task);
            self.add_stops(inspected.id, tasks, grace_s);
        }
    }

    /// The zone of a machine that is not in the host table, if it is known.
    fn zone_off_table(&self, machine: &str) -> Option<u32> {
        let zone = self.leader.zone_of(machine)?;
        self.context.backlog.names.find(&zone)
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
        priority: inspected.priority,
        writes_checkpoints: stops_alone && spec.saves_checkpoints(),
        save_s: spec.save_s,
        team: inspected.profile.team,
        beyond_guarantee: !inspected.guaranteed,
        stops_alone: spec.kind == JobKind::Array,
        class: inspected.profile.class,
        exempt: false,
    }
}
