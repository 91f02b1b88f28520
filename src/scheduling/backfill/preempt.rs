//! Preemption on behalf of blocked jobs, within the limits of one pass.

use crate::protocol::JobKind;
use crate::scheduling::backfill::{QueueCandidate, SchedulingPass};
use crate::scheduling::pending_jobs::QueuePosition;
use crate::scheduling::preemption::{ClearedHost, PreemptionOutcome, PreemptionRequest, preempt};

/// A job with tasks that found no machine.
pub(super) struct BlockedJob<'a> {
    pub(super) candidate: QueueCandidate<'a>,
    pub(super) position: QueuePosition<'a>,
    /// Number of tasks that found no machine.
    pub(super) unplaced: u32,
    /// The job counts as the head of the queue. Backfilled tasks may be preempted for it if it is a gang.
    pub(super) at_head: bool,
    /// The pass reached the job while backfilling.
    pub(super) backfilling: bool,
}

impl BlockedJob<'_> {
    /// Whether any tasks may be preempted for a job of this kind.
    fn may_preempt(&self, kind: JobKind, guaranteed: bool) -> bool {
        match kind {
            JobKind::Gang => true,
            JobKind::Service => !self.backfilling || guaranteed,
            JobKind::Array => guaranteed,
        }
    }
}

impl<'p, 'a> SchedulingPass<'p, 'a> {
    /// Preempts tasks for a blocked job, if its kind and its team's guarantee permit that and there are tasks
    /// that may be preempted for it.
    pub(super) fn preempt_for(&mut self, blocked: &BlockedJob<'a>) {
        if self.preemption_attempts_left == 0 || self.preemptible.is_empty() {
            return;
        }
        let kind = self.kind_of(blocked.candidate);
        let guaranteed = self.is_guaranteed(blocked);
        if !blocked.may_preempt(kind, guaranteed) {
            return;
        }
        let request = self.preemption_request(blocked, guaranteed);
        if self.refused_requests.contains(&request) {
            return;
        }
        let mut pending_entry = None;
        let Some(entry) = self.entry(blocked.candidate, &mut pending_entry) else {
            return;
        };
        let outcome = preempt(
            entry,
            blocked.unplaced,
            &request,
            self.hosts,
            self.preemptible,
        );
        match outcome {
            PreemptionOutcome::AlreadyReserved => {}
            // The set of preemptible tasks does not grow during a pass, so an equal request fails again.
            PreemptionOutcome::NoCandidates => self.refused_requests.push(request),
            PreemptionOutcome::Considered(cleared_hosts) => {
                self.preemption_attempts_left -= 1;
                for cleared in cleared_hosts {
                    self.clear_host(&cleared, entry.id);
                }
            }
        }
    }

    /// Preempts tasks on a machine and reserves it for a job until the job has started. This takes effect within the
    /// pass: jobs that the pass considers later get no room on the machine, or it would never be clear.
    pub(super) fn clear_host(&mut self, cleared: &ClearedHost<'_, '_>, job: &str) {
        let host = cleared.host;
        for victim in &cleared.victims {
            self.hosts.mark_stopping(host, &victim.need);
            let task = (victim.job.to_string(), victim.task);
            self.plan.preemptions.push(task);
        }
        self.hosts.reserve(host, job);
        self.plan.reservations.push((host, job.to_string()));
    }

    /// Whether a blocked job is within its team's guarantee.
    fn is_guaranteed(&self, blocked: &BlockedJob<'a>) -> bool {
        match blocked.candidate {
            QueueCandidate::Active(index) => self.active[index].guaranteed,
            QueueCandidate::Pending(summary) => {
                let team = self.pending.profile_of(summary).team;
                self.pending.guaranteed(team, blocked.position)
            }
        }
    }

    /// The properties of a blocked job that decide which tasks may be preempted for it.
    fn preemption_request(
        &self,
        blocked: &BlockedJob<'a>,
        guaranteed: bool,
    ) -> PreemptionRequest<'a> {
        let at_head = blocked.at_head.then_some(blocked.position);
        let summary = match blocked.candidate {
            QueueCandidate::Active(index) => {
                return PreemptionRequest::of(&self.active[index], at_head);
            }
            QueueCandidate::Pending(summary) => summary,
        };
        let profile = self.pending.profile_of(summary);
        let (_, id) = blocked.position;
        PreemptionRequest {
            kind: profile.kind,
            priority: self.pending.priority(profile, id),
            team: profile.team,
            guaranteed,
            overdue: guaranteed && self.pending.overdue(summary),
            aged: profile.kind == JobKind::Gang && self.pending.aged(summary),
            at_head,
        }
    }
}
