//! Failures of tasks: which jobs and machines fail, and whether the job or the machine is at fault.

use crate::agents::leader_state::LeaderState;
use crate::policy::Policy;
use crate::protocol::Micros;
use crate::state::agent::Agent;
use std::collections::BTreeMap;

/// A job is kept off a machine on which it failed, and an unhealthy machine gets no new tasks, for this long. If that
/// machine alone has room, no task may be left waiting for 90 s.
const MACHINE_AVOIDANCE: Micros = Micros::millis(70_000);
/// A machine on which a job failed gets no new tasks for this long: if the machine is at fault, the next job there, a
/// gang perhaps, would fail as well.
const MACHINE_COOLDOWN: Micros = Micros::millis(30_000);
/// An unhealthy machine is deleted no sooner than this after its first failure.
const MIN_UNHEALTHY_BEFORE_DELETION: Micros = Micros::millis(15_000);
/// A job that failed on more machines than this in a row is at fault itself.
const MAX_FAILED_MACHINES: u32 = 2;

/// Failures of a job's tasks.
#[derive(Debug, Clone, Default)]
pub struct FailureHistory {
    /// Machines on which the job failed, and when last: it is not tried there again for a while.
    pub machines: BTreeMap<String, Micros>,
    /// Number of different machines on which it failed since a task of it last succeeded.
    pub failed_machines: u32,
    /// The job is not tried before this, unless some of its tasks run.
    pub retry_at: Micros,
}

impl FailureHistory {
    /// Whether the job failed on so many machines in a row that it is at fault itself.
    pub fn is_at_fault(&self) -> bool {
        self.failed_machines > MAX_FAILED_MACHINES
    }

    /// Whether the job has not failed for a while.
    pub fn has_not_failed_recently(&self, now: Micros) -> bool {
        self.machines
            .values()
            .all(|failed_at| now.since(*failed_at) > MACHINE_COOLDOWN)
    }
}

impl LeaderState {
    /// Times of the failures for which a machine may be at fault: not those of jobs that fail on any machine.
    fn attributed_failures<'a>(&'a self, agent: &'a Agent) -> impl Iterator<Item = Micros> + 'a {
        let is_job_at_fault = |job: &String| {
            self.failure_histories
                .get(job)
                .is_some_and(FailureHistory::is_at_fault)
        };
        agent
            .errors
            .iter()
            .filter(move |error| !is_job_at_fault(&error.job))
            .map(|error| error.at)
    }

    /// Whether tasks of several jobs failed in a row on a machine, so that the machine is at fault.
    pub fn is_unhealthy(&self, agent: &Agent, policy: &Policy) -> bool {
        agent.errors.len() as f64 >= policy.unhealthy_after_errors
            && self.attributed_failures(agent).count() as f64 >= policy.unhealthy_after_errors
    }

    /// Whether a machine has been at fault for a while: by then jobs at fault are known, also to a new leader.
    pub fn stays_unhealthy(&self, agent: &Agent, policy: &Policy, now: Micros) -> bool {
        self.is_unhealthy(agent, policy)
            && self
                .attributed_failures(agent)
                .any(|failed_at| now.since(failed_at) > MIN_UNHEALTHY_BEFORE_DELETION)
    }

    /// Whether a task failed recently on a machine, and the machine may be at fault.
    pub fn failed_recently(&self, agent: &Agent, now: Micros) -> bool {
        self.attributed_failures(agent)
            .any(|failed_at| now < failed_at + MACHINE_COOLDOWN)
    }

    /// Drops failures that are older than the time for which a machine is avoided.
    pub fn expire_failures(&mut self, now: Micros) {
        let is_recent = |failed_at: &Micros| now < *failed_at + MACHINE_AVOIDANCE;
        self.failure_histories.retain(|_, history| {
            history.machines.retain(|_, failed_at| is_recent(failed_at));
            !history.machines.is_empty() || now < history.retry_at
        });
        for agent in self.agents.values_mut() {
            agent.errors.retain(|error| is_recent(&error.at));
        }
    }
}
