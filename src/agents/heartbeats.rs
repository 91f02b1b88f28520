//! Agent heartbeats on the leader: which are answered, and what follows from the task states they report.

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

/// An agent epoch that has lasted this many lease durations has been renewed, so our answers reach its agent.
const RENEWED_FOR_CERTAIN: f64 = 1.5;
/// Leases are checked this soon after the first heartbeat of an agent; after a change of leader hundreds come at once.
const NEW_AGENT_LEASE_CHECK: Micros = Micros::millis(1_000);
/// A task that was refused for want of room is not tried before this: the next heartbeats will show the room.
const NO_ROOM_BACKOFF: Micros = Micros::millis(1_000);
/// Backoff of a job that is at fault itself: this, doubled with each further machine on which it fails.
const JOB_FAULT_BACKOFF_MS: u64 = 1_000;
/// The backoff is doubled at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

impl Controller {
    /// Handles an agent's heartbeat on the leader and answers it. `relayed`: a peer forwarded it.
    pub fn leader_heartbeat(
        &mut self,
        clock: Clock,
        conn: u64,
        report: AgentHeartbeat,
        relayed: bool,
    ) {
        let staleness_bound = self.staleness_bound();
        let Some(leader) = &mut self.leader else {
            return;
        };
        if clock.now >= leader.peers_confirmed_at.max(leader.last_confirmed_read) + staleness_bound
        {
            // A renewal could keep a task alive that has been cancelled meanwhile.
            self.refuse(conn, 503, "the state service is silent for too long");
            return;
        }
        let machine = report.machine.clone();
        if leader.fleet.is_gone(&machine) {
            // A late duplicate: the machine has been deleted, or has failed for good.
            self.respond(conn, 421, &Misdirected::default());
            return;
        }
        if !self.apply_heartbeat(clock, &report) {
            // A duplicate, or overtaken by the answer to a direct command: the agent has sent something newer. An
            // answer with our term might renew its lease without our counting on it; nor may a duplicate of an old
            // heartbeat of a dead machine keep us waiting.
            log::debug!("heartbeat outdated machine={machine} seq={}", report.seq);
            self.answer_without_renewal(conn);
            return;
        }
        self.record_contact(clock, &report, relayed);
        if !self.store_available() && self.may_start_cancelled(&machine) {
            // We can neither fence that start with a higher term now nor give its machine up: it is harmless only
            // if the agent epoch ends.
            log::info!("lease not renewed machine={machine} reason=cancelled_task_may_start");
            self.answer_without_renewal(conn);
            return;
        }
        let commands = self.commands_for(clock, &report, relayed);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        if let Some(agent) = leader.agents.get_mut(&machine) {
            agent.last_answered_at = Some(clock.now);
        }
        self.respond(conn, 200, &AgentHeartbeatResponse { term, commands });
    }

    /// Answers a heartbeat without a term: the agent drops such an answer, so it renews no lease.
    fn answer_without_renewal(&mut self, conn: u64) {
        self.respond(conn, 200, &BTreeMap::<&str, u64>::new());
    }

    /// Records what a new heartbeat shows about earlier answers and about whether the agent receives them.
    fn record_contact(&mut self, clock: Clock, report: &AgentHeartbeat, relayed: bool) {
        let lease = Micros::secs(self.settings.params.agents.lease_s);
        let leader = self.leader.as_mut();
        let Some(agent) = leader.and_then(|leader| leader.agents.get_mut(&report.machine)) else {
            return;
        };
        agent.settle_starts_before(report.agent_epoch, report.seq);
        if !relayed {
            agent.reachability.on_direct_heartbeat(clock.now);
        }
        if clock.now.since(agent.epoch_began_at) > lease.scale(RENEWED_FOR_CERTAIN) {
            agent.reachability.on_confirmation(clock.now);
        }
    }

    /// Whether a start of a task whose job is cancelled may still be in flight to a machine.
    fn may_start_cancelled(&self, machine: &str) -> bool {
        let leader = self.leader.as_ref();
        let Some(agent) = leader.and_then(|leader| leader.agents.get(machine)) else {
            return false;
        };
        let heard = &self.peers.reported_cancellations;
        agent
            .unresolved_starts()
            .any(|(job, ..)| recorded_or_reported_cancelled(&self.cache, heard, job))
    }

    /// Applies an agent's message, from a heartbeat or from the answer to a direct command. Returns false if it is
    /// no newer than what we know.
    pub fn apply_heartbeat(&mut self, clock: Clock, report: &AgentHeartbeat) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let machine = &report.machine;
        let known = leader.agents.get(machine);
        if known.is_none_or(|agent| agent.agent_epoch == 0) {
            // Its lease may expire long before the bound for machines that never sent a heartbeat.
            let check_at = clock.now + NEW_AGENT_LEASE_CHECK;
            leader.next_lease_check = leader.next_lease_check.min(check_at);
        }
        let agent = match leader.agents.get_mut(machine) {
            Some(agent) => agent,
            None => leader
                .agents
                .entry(machine.clone())
                .or_insert_with(|| Agent::new(report)),
        };
        let effect = agent.update(report, clock.now);
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
        leader.fleet.record_heartbeat(machine, report, clock.now);
        if let HeartbeatEffect::Changed(previous) = effect {
            leader.dirty = true;
            leader.machines_to_check.insert(machine.clone());
            leader.apply_task_changes(&mut self.cache, clock, machine, &previous);
        }
        true
    }
}

impl LeaderState {
    /// Acts on the task states in an agent's newest message that were not in its `previous` one.
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
            task.why
        );
        match task.phase {
            TaskPhase::Waiting => cache.image_caches.used(machine, &spec.image, spec.image_gb),
            TaskPhase::Running => {
                cache.image_caches.used(machine, &spec.image, spec.image_gb);
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

    /// Records the result of a task that exited.
    fn apply_task_exit(&mut self, job: &Job, clock: Clock, machine: &str, task: &ReportedTask) {
        let Some(agent) = self.agents.get_mut(machine) else {
            return;
        };
        let ran_after_errors = agent.running_since_error.remove(&attempt_key(task));
        match task.why {
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
        task.why
    );
}

fn attempt_key(task: &ReportedTask) -> AttemptKey {
    (task.job.clone(), task.task, task.attempt)
}

fn same_attempt(one: &ReportedTask, other: &ReportedTask) -> bool {
    (one.task, one.attempt) == (other.task, other.attempt) && one.job == other.job
}

fn same_state(one: &ReportedTask, other: &ReportedTask) -> bool {
    one.phase == other.phase && same_attempt(one, other)
}

/// Whether a task that exited without being done was still fetching its image before.
fn fetch_abandoned(task: &ReportedTask, previous: &[ReportedTask]) -> bool {
    let was_fetching =
        |old: &ReportedTask| old.phase == TaskPhase::Fetching && same_attempt(old, task);
    task.why != Some(ExitReason::Done) && previous.iter().any(was_fetching)
}

/// Notes that a machine no longer fetches the image of a job, unless another of its tasks uses that image.
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
        images.given_up(machine, image);
    }
}
