//! Handling of agent heartbeats on the leader: which heartbeats are answered, and how the reported task states are
//! applied.

use crate::agents::leader_state::LeaderState;
use crate::controller::Controller;
use crate::leadership::peers::recorded_or_reported_cancelled;
use crate::protocol::agent_api::{
    AgentHeartbeat, AgentHeartbeatResponse, ExitReason, Misdirected, TaskPhase,
};
use crate::protocol::{Clock, JobKind, Micros};
use crate::state::agent::{Agent, AttemptKey, HeartbeatEffect, ReportedTask, TaskError};
use crate::state::image_caches::ImageCaches;
use crate::state::record_cache::{Job, RecordCache};
use std::collections::BTreeMap;

/// An agent epoch that has lasted for this many lease durations must have been renewed, which proves that our responses
/// reach the agent.
const RENEWAL_PROVEN_AFTER_LEASES: f64 = 1.5;
/// Delay of the lease check that an agent's first heartbeat requests. After a change of leader hundreds of agents share
/// one check.
const NEW_AGENT_LEASE_CHECK: Micros = Micros::millis(1_000);
/// Backoff of a job after an agent refused one of its tasks for lack of capacity. The next heartbeats show how much
/// capacity there is.
const NO_ROOM_BACKOFF: Micros = Micros::millis(1_000);
/// Base backoff of a job that is at fault itself, doubled for each machine on which it failed.
const JOB_FAULT_BACKOFF_MS: u64 = 1_000;
/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

impl Controller {
    /// Handles an agent's heartbeat on the leader and answers it. `relayed`: a peer forwarded it.
    pub fn leader_heartbeat(
        &mut self,
        clock: Clock,
        conn: u64,
        heartbeat: AgentHeartbeat,
        relayed: bool,
    ) {
        let staleness_bound = self.staleness_bound();
        let Some(leader) = &mut self.leader else {
            return;
        };
        if clock.now >= leader.peers_confirmed_at.max(leader.last_confirmed_read) + staleness_bound
        {
            // Renewing the lease could keep a task running that has been cancelled in the meantime.
            self.refuse(conn, 503, "the state service is silent for too long");
            return;
        }
        let machine = heartbeat.machine.clone();
        if leader.inventory.is_gone(&machine) {
            // The heartbeat is a late duplicate: the machine has been deleted or has failed permanently.
            self.respond(conn, 421, &Misdirected::default());
            return;
        }
        if !self.apply_heartbeat(clock, &heartbeat) {
            // A duplicate, or a heartbeat that was overtaken by the response to a direct command. A response with our
            // term could renew the lease, so its time would have to be recorded; duplicates of old heartbeats of a dead
            // machine would then delay the expiry of its lease.
            log::debug!("heartbeat outdated machine={machine} seq={}", heartbeat.seq);
            self.answer_without_renewal(conn);
            return;
        }
        self.record_contact(clock, &heartbeat, relayed);
        if !self.store_available() && self.may_start_cancelled(&machine) {
            // Without the store we can neither fence that start by raising our term nor delete the machine. The start
            // is harmless only once the agent epoch has ended, so the lease has to expire.
            log::info!("lease not renewed machine={machine} reason=cancelled_task_may_start");
            self.answer_without_renewal(conn);
            return;
        }
        if self.epoch_has_ended(&machine) {
            // Its tasks may have been started elsewhere. Without renewals the agent soon stops them and begins another
            // epoch, in which it gets tasks again.
            log::warn!(
                "lease not renewed machine={machine} agent_epoch={} reason=epoch_ended",
                heartbeat.agent_epoch
            );
            self.answer_without_renewal(conn);
            return;
        }
        let commands = self.commands_for(clock, &heartbeat, relayed);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        if let Some(agent) = leader.agents.get_mut(&machine) {
            agent.last_answered_at = Some(clock.now);
        }
        self.respond(conn, 200, &AgentHeartbeatResponse { term, commands });
    }

    /// Answers a heartbeat without a term. The agent discards such a response, so its lease is not renewed.
    fn answer_without_renewal(&mut self, conn: u64) {
        self.respond(conn, 200, &BTreeMap::<&str, u64>::new());
    }

    /// Updates the state of earlier starts and the reachability of the agent from a new heartbeat.
    fn record_contact(&mut self, clock: Clock, heartbeat: &AgentHeartbeat, relayed: bool) {
        let lease = Micros::secs(self.settings.params.agents.lease_s);
        let leader = self.leader.as_mut();
        let Some(agent) = leader.and_then(|leader| leader.agents.get_mut(&heartbeat.machine))
        else {
            return;
        };
        agent.settle_starts_before(heartbeat.agent_epoch, heartbeat.seq);
        if !relayed {
            agent.reachability.on_direct_heartbeat(clock.now);
        }
        if clock.now.since(agent.epoch_began_at) > lease.scale(RENEWAL_PROVEN_AFTER_LEASES) {
            agent.reachability.on_confirmation(clock.now);
        }
    }

    /// Whether the present epoch of a machine's agent has ended according to the leader.
    fn epoch_has_ended(&self, machine: &str) -> bool {
        let leader = self.leader.as_ref();
        let agent = leader.and_then(|leader| leader.agents.get(machine));
        agent.is_some_and(Agent::epoch_ended)
    }

    /// Whether a start of a task of a cancelled job may still be in flight to a machine.
    fn may_start_cancelled(&self, machine: &str) -> bool {
        let leader = self.leader.as_ref();
        let Some(agent) = leader.and_then(|leader| leader.agents.get(machine)) else {
            return false;
        };
        let cancellations = &self.peers.reported_cancellations;
        agent
            .unresolved_starts()
            .any(|(job, ..)| recorded_or_reported_cancelled(&self.cache, cancellations, job))
    }

    /// Applies the state of an agent from a heartbeat or from the response to direct commands. Returns false if it is
    /// not newer than the state that we have.
    pub fn apply_heartbeat(&mut self, clock: Clock, heartbeat: &AgentHeartbeat) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let machine = &heartbeat.machine;
        let existing = leader.agents.get(machine);
        if existing.is_none_or(|agent| agent.agent_epoch == 0) {
            // Its lease may expire long before the bound for machines that never sent a heartbeat.
            let check_at = clock.now + NEW_AGENT_LEASE_CHECK;
            leader.next_lease_check = leader.next_lease_check.min(check_at);
        }
        let agent = match leader.agents.get_mut(machine) {
            Some(agent) => agent,
            None => leader
                .agents
                .entry(machine.clone())
                .or_insert_with(|| Agent::new(heartbeat)),
        };
        let effect = agent.update(heartbeat, clock.now);
        if effect == HeartbeatEffect::Stale {
            return false;
        }
        if agent
            .tasks
            .iter()
            .all(|task| task.phase == TaskPhase::Exited)
        {
            agent.idle_since = agent.idle_since.or(Some(clock.now));
        } else {
            agent.idle_since = None;
        }
        leader
            .inventory
            .record_heartbeat(machine, heartbeat, clock.now);
        if let HeartbeatEffect::Changed(previous) = effect {
            leader.dirty = true;
            leader.machines_to_check.insert(machine.clone());
            leader.apply_task_changes(&mut self.cache, clock, machine, &previous);
        }
        true
    }
}

impl LeaderState {
    /// Applies the task states that differ between an agent's newest message and its `previous` one.
    fn apply_task_changes(
        &mut self,
        cache: &mut RecordCache,
        clock: Clock,
        machine: &str,
        previous: &[ReportedTask],
    ) {
        let Some(agent) = self.agents.get(machine) else {
            return;
        };
        let is_new = |task: &&ReportedTask| !previous.iter().any(|old| same_state(old, task));
        let changed: Vec<ReportedTask> = agent.tasks.iter().filter(is_new).cloned().collect();
        for task in changed {
            self.apply_task_change(cache, clock, machine, &task, previous);
        }
    }

    fn apply_task_change(
        &mut self,
        cache: &mut RecordCache,
        clock: Clock,
        machine: &str,
        task: &ReportedTask,
        previous: &[ReportedTask],
    ) {
        let Some(agent) = self.agents.get_mut(machine) else {
            return;
        };
        let Some(job) = cache.jobs.get(&task.job) else {
            return;
        };
        let spec = &job.record.spec;
        if task.task >= spec.tasks {
            return;
        }
        log::debug!(
            "task state changed machine={machine} task={}/{} attempt={} phase={:?} reason={:?}",
            task.job,
            task.task,
            task.attempt,
            task.phase,
            task.exit_reason
        );
        match task.phase {
            TaskPhase::Waiting => {
                cache
                    .image_caches
                    .record_use(machine, &spec.image, spec.image_gb)
            }
            TaskPhase::Running => {
                cache
                    .image_caches
                    .record_use(machine, &spec.image, spec.image_gb);
                if !agent.errors.is_empty() {
                    agent.running_since_error.insert(attempt_key(task));
                }
            }
            TaskPhase::Exited => {
                if fetch_abandoned(task, previous) {
                    drop_unused_image(&mut cache.image_caches, &cache.jobs, agent, machine, job);
                }
                self.apply_task_exit(job, clock, machine, task);
            }
            TaskPhase::Fetching | TaskPhase::Saving => {}
        }
    }

    /// Applies the result of a task that exited.
    fn apply_task_exit(&mut self, job: &Job, clock: Clock, machine: &str, task: &ReportedTask) {
        let Some(agent) = self.agents.get_mut(machine) else {
            return;
        };
        let ran_after_errors = agent.running_since_error.remove(&attempt_key(task));
        match task.exit_reason {
            Some(ExitReason::Done) => {
                if ran_after_errors {
                    agent.errors.clear();
                    agent.running_since_error.clear();
                }
                if let Some(history) = self.failure_histories.get_mut(&task.job) {
                    history.failed_machines = 0;
                }
                if job.active() && !job.is_done(task.task) {
                    self.record_completion(job, clock, task);
                }
            }
            Some(ExitReason::NoRoom) => {
                log_task_failure(machine, task);
                let history = self.failure_histories.entry(task.job.clone()).or_default();
                history.retry_at = history.retry_at.max(clock.now + NO_ROOM_BACKOFF);
            }
            Some(ExitReason::Error) => {
                log_task_failure(machine, task);
                self.record_failure(clock, machine, task);
            }
            _ => {}
        }
    }

    fn record_completion(&mut self, job: &Job, clock: Clock, task: &ReportedTask) {
        let spec = &job.record.spec;
        let write = self.record_writer.pending_write_mut(&task.job, clock.now);
        if spec.kind == JobKind::Gang {
            // The tasks of a gang complete together: if one is done, all are.
            write.done.extend(0..spec.tasks);
        } else {
            write.done.insert(task.task);
        }
    }

    /// Adds a failed task to the failure history of its job and of its machine.
    fn record_failure(&mut self, clock: Clock, machine: &str, task: &ReportedTask) {
        let history = self.failure_histories.entry(task.job.clone()).or_default();
        let earlier = history.machines.insert(machine.to_string(), clock.now);
        history.failed_machines += u32::from(earlier.is_none());
        if history.is_at_fault() {
            let doublings = history.failed_machines.min(MAX_BACKOFF_DOUBLINGS);
            history.retry_at = clock.now + Micros::millis(JOB_FAULT_BACKOFF_MS << doublings);
        }
        let Some(agent) = self.agents.get_mut(machine) else {
            return;
        };
        agent.running_since_error.clear();
        if agent.errors.iter().all(|error| error.job != task.job) {
            agent.errors.push(TaskError {
                at: clock.now,
                job: task.job.clone(),
            });
        }
    }
}

fn log_task_failure(machine: &str, task: &ReportedTask) {
    log::info!(
        "task failed machine={machine} task={}/{} reason={:?}",
        task.job,
        task.task,
        task.exit_reason
    );
}

fn attempt_key(task: &ReportedTask) -> AttemptKey {
    (task.job.clone(), task.task, task.attempt)
}

fn same_attempt(a: &ReportedTask, b: &ReportedTask) -> bool {
    (a.task, a.attempt) == (b.task, b.attempt) && a.job == b.job
}

fn same_state(a: &ReportedTask, b: &ReportedTask) -> bool {
    a.phase == b.phase && same_attempt(a, b)
}

/// Whether a task exited without success while it was still fetching its image.
fn fetch_abandoned(task: &ReportedTask, previous: &[ReportedTask]) -> bool {
    let was_fetching =
        |old: &ReportedTask| old.phase == TaskPhase::Fetching && same_attempt(old, task);
    task.exit_reason != Some(ExitReason::Done) && previous.iter().any(was_fetching)
}

/// Records that a machine no longer fetches the image of a job, unless another task on it uses that image.
fn drop_unused_image(
    images: &mut ImageCaches,
    jobs: &BTreeMap<String, Job>,
    agent: &Agent,
    machine: &str,
    job: &Job,
) {
    let image = &job.record.spec.image;
    let uses_image = |task: &ReportedTask| {
        task.phase != TaskPhase::Exited
            && jobs
                .get(&task.job)
                .is_some_and(|other| other.record.spec.image == *image)
    };
    if !agent.tasks.iter().any(uses_image) {
        images.remove_image(machine, image);
    }
}
