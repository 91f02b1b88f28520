//! Task failures: on which machines jobs failed, and whether the job or the machine is at fault.

use crate::agents::leader_state::LeaderState;
use crate::policy::Policy;
use crate::protocol::Micros;
use crate::state::agent::Agent;
use std::collections::BTreeMap;

/// How long a job avoids a machine on which it failed, and how long an unhealthy machine gets no new tasks. Must stay
/// below 90 s: no task may wait that long if this is the only machine with capacity for it.
const MACHINE_AVOIDANCE: Micros = Micros::millis(70_000);
/// How long a machine on which a job failed gets no new tasks. If the machine is at fault, the next job placed on it,
/// perhaps a gang, would fail as well.
const MACHINE_COOLDOWN: Micros = Micros::millis(30_000);
/// Minimum time between the first failure on an unhealthy machine and its deletion.
const MIN_UNHEALTHY_BEFORE_DELETION: Micros = Micros::millis(15_000);
/// A job that failed on more machines than this in a row is considered at fault itself.
const MAX_FAILED_MACHINES: u32 = 2;

/// Failures of a job's tasks.
#[derive(Debug, Clone, Default)]
pub struct FailureHistory {
    /// Machines on which the job failed, with the time of the last failure. The job avoids them for a while.
    pub machines: BTreeMap<String, Micros>,
    /// Number of distinct machines on which the job failed since one of its tasks last succeeded.
    pub failed_machines: u32,
    /// The job is not retried before this time, unless some of its tasks are running.
    pub retry_at: Micros,
}

impl FailureHistory {
    /// Whether the job failed on so many machines in a row that it is considered at fault itself.
    pub fn is_at_fault(&self) -> bool {
        self.failed_machines > MAX_FAILED_MACHINES
    }

    /// Whether none of the recorded failures of the job is within `MACHINE_COOLDOWN`.
    pub fn has_not_failed_recently(&self, now: Micros) -> bool {
        self.machines
            .values()
            .all(|failed_at| now.since(*failed_at) > MACHINE_COOLDOWN)
    }
}

impl LeaderState {
    /// Times of the failures that may be the fault of a machine, which excludes failures of jobs that are at fault
    /// themselves.
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

    /// Whether tasks of several jobs failed in a row on a machine, so that the machine is considered at fault.
    pub fn is_unhealthy(&self, agent: &Agent, policy: &Policy) -> bool {
        agent.errors.len() as f64 >= policy.unhealthy_after_errors
            && self.attributed_failures(agent).count() as f64 >= policy.unhealthy_after_errors
    }

    /// Whether a machine has been unhealthy for long enough to be deleted. By then the leader, even a new one, has
    /// identified the jobs that are at fault themselves.
    pub fn stays_unhealthy(&self, agent: &Agent, policy: &Policy, now: Micros) -> bool {
        self.is_unhealthy(agent, policy)
            && self
                .attributed_failures(agent)
                .any(|failed_at| now.since(failed_at) > MIN_UNHEALTHY_BEFORE_DELETION)
    }

    /// Whether a task failed on a machine within `MACHINE_COOLDOWN` and the machine may be at fault.
    pub fn failed_recently(&self, agent: &Agent, now: Micros) -> bool {
        self.attributed_failures(agent)
            .any(|failed_at| now < failed_at + MACHINE_COOLDOWN)
    }

    /// Drops failures that are older than `MACHINE_AVOIDANCE`.
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
