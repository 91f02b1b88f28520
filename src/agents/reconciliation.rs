//! Reconciliation of one agent: compares the job records with the tasks that the agent reported, and determines which
//! commands are due. Modifies no state.

use crate::agents::leader_state::{LeaderState, MAX_START_STALENESS};
use crate::leadership::peers::recorded_or_reported_cancelled;
use crate::protocol::Micros;
use crate::protocol::agent_api::{Command, ExitReason, TaskPhase};
use crate::protocol::records::{JobStage, TaskEntry};
use crate::state::agent::{Agent, AttemptKey, ReportedTask, TaskLiveness};
use crate::state::record_cache::{Job, RecordCache};
use lease_delegation::cancellations::ReportedCancellations;

/// Interval at which a stop is repeated until the task has exited.
const STOP_RETRY: Micros = Micros::millis(1500);
/// Grace period in seconds of a stop that does not let the task save a checkpoint.
const NO_GRACE: f64 = 0.0;

/// How commands are delivered to the agent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    /// In the response to its heartbeat, which renews its lease.
    HeartbeatResponse,
    /// In a direct call.
    Direct,
}

/// Commands that are due to an agent.
#[derive(Default)]
pub(super) struct DueCommands {
    /// The commands, in the order in which they are sent.
    pub commands: Vec<Command>,
    /// Attempts that they start.
    pub starts: Vec<AttemptKey>,
    /// Attempts that they stop.
    pub stops: Vec<AttemptKey>,
    /// An earlier start that is no longer wanted may still be delivered; only a higher term fences it.
    pub needs_fence: bool,
}

/// Returns the commands due to an agent. `reported_cancellations`: cancellations that peers have reported to us.
pub(super) fn due_commands(
    leader: &LeaderState,
    cache: &RecordCache,
    reported_cancellations: &ReportedCancellations,
    machine: &str,
    now: Micros,
    delivery: Delivery,
) -> DueCommands {
    let Some(agent) = leader.agents.get(machine) else {
        return DueCommands::default();
    };
    if agent.epoch_ended() {
        return DueCommands::default();
    }
    let mut reconciliation = Reconciliation {
        leader,
        cache,
        reported_cancellations,
        machine,
        agent,
        now,
        delivery,
        due: DueCommands::default(),
    };
    if agent.term != leader.term || !leader.has_complete_cache(cache) {
        reconciliation.stop_cancelled_tasks();
    } else {
        reconciliation.reconcile_reported_tasks();
        reconciliation.start_recorded_tasks();
    }
    reconciliation.due
}

struct Reconciliation<'a> {
    leader: &'a LeaderState,
    cache: &'a RecordCache,
    reported_cancellations: &'a ReportedCancellations,
    machine: &'a str,
    agent: &'a Agent,
    now: Micros,
    delivery: Delivery,
    due: DueCommands,
}

impl Reconciliation<'_> {
    /// Stops the tasks of cancelled jobs. Nothing else may be decided before the agent has shown our term and our cache
    /// holds all earlier writes, but the response renews the agent's lease even then. If each of several leaders lost
    /// leadership before the agent showed its term, a cancelled task would otherwise keep running indefinitely.
    fn stop_cancelled_tasks(&mut self) {
        let agent = self.agent;
        for task in &agent.tasks {
            if task.phase != TaskPhase::Exited && self.is_cancelled(&task.job) {
                self.stop(task, NO_GRACE, self.renews_lease());
            }
        }
    }

    fn reconcile_reported_tasks(&mut self) {
        let agent = self.agent;
        for task in &agent.tasks {
            if task.phase == TaskPhase::Exited {
                self.forget_if_unneeded(task);
            } else {
                self.stop_if_due(task);
            }
        }
    }

    /// Lets the agent forget an exited attempt once its result is recorded and no late start can run it again.
    fn forget_if_unneeded(&mut self, task: &ReportedTask) {
        if self.delivery != Delivery::HeartbeatResponse {
            return;
        }
        let job = self.cache.jobs.get(&task.job);
        let active = job.is_some_and(Job::active);
        let unrecorded = task.exit_reason == Some(ExitReason::Done)
            && active
            && job.is_some_and(|job| !job.is_done(task.task) && task.task < job.record.spec.tasks);
        let placed = self.is_placed_here(job, task);
        // The agent has to remember an attempt whose start may still arrive, or the late start would run it again.
        let needed = unrecorded || (placed && active);
        let job_cached = job.is_some() || self.cache.job(&task.job).is_some();
        if !needed && !self.agent.may_start_again(task) && job_cached {
            self.due.commands.push(Command::Forget {
                task: task_name(&task.job, task.task),
                attempt: task.attempt,
            });
        }
    }

    /// Stops a reported task that should not run here, or whose stop is due.
    fn stop_if_due(&mut self, task: &ReportedTask) {
        let job = self.cache.jobs.get(&task.job);
        // A task whose job is not in the cache is left running: another controller may just have accepted the job.
        if job.is_none() && self.cache.job(&task.job).is_none() {
            return;
        }
        let cancelled = match job {
            Some(job) if job.active() => self.reported_cancellations.contains(&task.job),
            Some(job) => job.record.stage == JobStage::Cancelled,
            None => self.is_cancelled(&task.job),
        };
        let active = job.is_some_and(Job::active);
        if !active || cancelled || !self.is_placed_here(job, task) {
            self.stop(task, NO_GRACE, cancelled && self.renews_lease());
            return;
        }
        let Some((grace_s, _)) = self.leader.due_stop(&task.job, task.task) else {
            return;
        };
        // A task that is already saving a checkpoint needs no further stop, unless it has to exit immediately.
        if task.phase != TaskPhase::Saving || grace_s == NO_GRACE {
            self.stop(task, grace_s, false);
        }
    }

    /// Starts the tasks that are recorded on the machine and have not been started yet.
    fn start_recorded_tasks(&mut self) {
        let cache = self.cache;
        for (id, task) in cache.tasks_placed_on(self.machine) {
            let Some(job) = cache.jobs.get(id) else {
                continue;
            };
            let Some(entry) = job.entry(*task) else {
                continue;
            };
            if entry.machine() == Some(self.machine)
                && entry.agent_epoch() == self.agent.agent_epoch
            {
                self.start_if_due(id, job, entry);
            }
        }
    }

    fn start_if_due(&mut self, id: &str, job: &Job, entry: &TaskEntry) {
        let liveness = self.leader.attempt_liveness(id, entry);
        if !matches!(liveness, TaskLiveness::NotStarted | TaskLiveness::Unknown) {
            return;
        }
        let task = entry.task();
        let attempt = entry.attempt();
        // An unreadable record may contain a cancellation.
        let readable = !self.cache.is_unreadable(id);
        let wanted = job.active()
            && readable
            && !self.is_cancelled(id)
            && self.leader.may_be_started(id, entry);
        let may_start = self.now < self.leader.last_confirmed_read + MAX_START_STALENESS;
        if wanted && may_start && !self.leader.record_writer.is_placing(id, task) {
            self.due.starts.push((id.to_string(), task, attempt));
            self.due.commands.push(Command::Start {
                task: task_name(id, task),
                attempt,
            });
        } else if !wanted && self.agent.has_unresolved_start(id, task, attempt) {
            self.due.needs_fence = true;
        }
    }

    /// Adds a stop. One that was sent within the last `STOP_RETRY` is not repeated unless `repeat_now` is set.
    fn stop(&mut self, task: &ReportedTask, grace_s: f64, repeat_now: bool) {
        let key = (task.job.clone(), task.task, task.attempt);
        let last_sent = self.agent.stops.get(&key);
        let due = last_sent.is_none_or(|sent_at| self.now >= *sent_at + STOP_RETRY);
        if !repeat_now && !due {
            return;
        }
        self.due.stops.push(key);
        self.due.commands.push(Command::Stop {
            task: task_name(&task.job, task.task),
            attempt: task.attempt,
            grace_s,
        });
    }

    /// Whether the commands are sent in a response that renews the lease. Such a response always has to stop cancelled
    /// tasks, even if a stop was sent just before: that stop may have been sent by a direct call and lost.
    fn renews_lease(&self) -> bool {
        self.delivery == Delivery::HeartbeatResponse
    }

    fn is_cancelled(&self, job: &str) -> bool {
        recorded_or_reported_cancelled(self.cache, self.reported_cancellations, job)
    }

    /// Whether the job's record places this attempt on this machine in the agent's current epoch.
    fn is_placed_here(&self, job: Option<&Job>, task: &ReportedTask) -> bool {
        let Some(entry) = job.and_then(|job| job.entry(task.task)) else {
            return false;
        };
        entry.machine() == Some(self.machine)
            && entry.attempt() == task.attempt
            && entry.agent_epoch() == self.agent.agent_epoch
    }
}

fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}
