//! Behaviour of the simulated agents: execution of commands, task phases, gangs, leases and heartbeats.

use super::*;
use fake_agent::{InFlightHeartbeat, TaskKey, split_task_name};
use fault_injection::StaleHeartbeat;

const HEARTBEAT_INTERVAL: u64 = 2 * SECOND;
/// An agent sends a heartbeat at most this long after it has executed a start command.
const HEARTBEAT_DELAY_AFTER_START: u64 = SECOND / 2;

impl Simulation {
    /// When a machine stops hanging; `None` if it does not hang.
    pub(super) fn hung_until(&self, machine: &str) -> Option<u64> {
        let agent = self.agents.get(machine)?;
        Some(agent.hung_until).filter(|until| *until > self.now)
    }

    pub(super) fn execute(&mut self, machine: &str, commands: Vec<Command>) {
        for command in commands {
            if !self.agents.contains_key(machine) {
                return;
            }
            match command {
                Command::Start { task, attempt } => self.execute_start(machine, (task, attempt)),
                Command::Stop {
                    task,
                    attempt,
                    grace_s,
                } => self.execute_stop(machine, (task, attempt), grace_s),
                Command::Forget { task, attempt } => self.execute_forget(machine, (task, attempt)),
            }
        }
    }

    fn execute_start(&mut self, machine: &str, key: TaskKey) {
        let now = self.now;
        let agent = self.agents.get_mut(machine).expect("machine exists");
        if agent.tasks.contains_key(&key) {
            return;
        }
        let (job, _) = split_task_name(&key.0);
        let has_other_attempt = agent
            .tasks
            .iter()
            .any(|((task, _), state)| *task == key.0 && state.phase != TaskPhase::Exited);
        let new_task = match self.jobs.get(job) {
            _ if has_other_attempt => FakeTask::exited(ExitReason::Busy),
            None => FakeTask::exited(ExitReason::Unknown),
            Some(truth) if agent.cached_images.contains(&truth.spec.image) => {
                FakeTask::fetching(now)
            }
            Some(_) => FakeTask::fetching(now + IMAGE_FETCH_TIME),
        };
        agent.tasks.insert(key, new_task);
        agent.next_heartbeat_at = agent
            .next_heartbeat_at
            .min(now + HEARTBEAT_DELAY_AFTER_START);
    }

    fn execute_stop(&mut self, machine: &str, key: TaskKey, grace_s: f64) {
        let (job, _) = split_task_name(&key.0);
        let save_s = self.jobs.get(job).map_or(0.0, |truth| truth.spec.save_s);
        let agent = self.agents.get_mut(machine).expect("machine exists");
        let Some(task) = agent.tasks.get_mut(&key) else {
            return;
        };
        match task.phase {
            TaskPhase::Exited => {}
            TaskPhase::Running if save_s > 0.0 && grace_s >= save_s => {
                task.phase = TaskPhase::Saving;
                task.phase_ends_at = self.now + (save_s * 1e6) as u64;
            }
            TaskPhase::Saving if grace_s > 0.0 => {}
            _ => agent.exit_task(&key, ExitReason::Stopped, false),
        }
    }

    fn execute_forget(&mut self, machine: &str, key: TaskKey) {
        let agent = self.agents.get_mut(machine).expect("machine exists");
        let exited = |task: &FakeTask| task.phase == TaskPhase::Exited;
        if agent.tasks.get(&key).is_some_and(exited) {
            agent.tasks.remove(&key);
        }
    }

    /// The periodic work of an agent: expires its lease, ends task phases that are due, and sends heartbeats.
    pub(super) fn agent_tick(&mut self, machine: &str) {
        let now = self.now;
        let lease = self.lease_s * SECOND;
        let agent = self.agents.get_mut(machine).expect("machine exists");
        if !agent.alive {
            return;
        }
        // The lease expires on a hung machine as well: after the hang, tasks may continue only under a valid lease.
        agent.expire_lease(now, lease);
        if agent.hung_until > now {
            return;
        }
        let due = |task: &FakeTask| {
            task.phase != TaskPhase::Exited && task.phase_ends_at > 0 && task.phase_ends_at <= now
        };
        let keys: Vec<TaskKey> = agent
            .tasks
            .iter()
            .filter(|(_, task)| due(task))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.end_phase(machine, &key);
        }
        self.expire_heartbeat(machine);
        self.send_heartbeat(machine);
    }

    /// Ends the current phase of a task.
    fn end_phase(&mut self, machine: &str, key: &TaskKey) {
        let (job, index) = split_task_name(&key.0);
        let truth = self.jobs[job].clone();
        let job_fails = self.failing_jobs.contains(job);
        let can_complete = truth.spec.kind != JobKind::Gang || self.gang_can_complete(key, &truth);
        let agent = self.agents.get_mut(machine).expect("machine exists");
        let fails = agent.fails_tasks || job_fails;
        match agent.tasks[key].phase {
            TaskPhase::Fetching if fails => agent.exit_task(key, ExitReason::Error, false),
            TaskPhase::Fetching => self.finish_fetch(machine, key, &truth, index),
            // Other members of the gang have exited, or the machine of one hangs.
            TaskPhase::Running if !can_complete => {
                agent.exit_task(key, ExitReason::GangMemberGone, false)
            }
            TaskPhase::Running => {
                agent.exit_task(key, ExitReason::Done, false);
                self.jobs.get_mut(job).unwrap().done.insert(index);
            }
            TaskPhase::Saving => agent.exit_task(key, ExitReason::Stopped, true),
            _ => {}
        }
    }

    /// Called when the image of a task has been fetched: the task starts to run or waits for the other members of its
    /// gang; a task that has completed in an earlier attempt exits as done.
    fn finish_fetch(&mut self, machine: &str, key: &TaskKey, truth: &JobGroundTruth, index: u32) {
        let now = self.now;
        let agent = self.agents.get_mut(machine).expect("machine exists");
        let task = agent
            .tasks
            .get_mut(key)
            .expect("task exists on the machine");
        if truth.done.contains(&index) {
            agent.exit_task(key, ExitReason::Done, false);
        } else if truth.spec.kind == JobKind::Gang {
            task.phase = TaskPhase::Waiting;
            task.phase_ends_at = 0;
        } else {
            task.phase = TaskPhase::Running;
            task.phase_ends_at = match truth.spec.kind {
                JobKind::Service => 0,
                _ => now + truth.run_time + u64::from(index) * truth.run_time_step,
            };
        }
        agent.next_heartbeat_at = agent.next_heartbeat_at.min(now);
        self.check_start(machine, &key.0);
    }

    fn send_heartbeat(&mut self, machine: &str) {
        let now = self.now;
        let controller_count = self.controllers.len();
        let agent = self.agents.get_mut(machine).expect("machine exists");
        if agent.in_flight.is_some() || agent.next_heartbeat_at > now {
            return;
        }
        let body = encode(&agent.heartbeat());
        let seq = agent.seq;
        let controller = agent.controller;
        agent.in_flight = Some(InFlightHeartbeat {
            agent_epoch: agent.agent_epoch,
            seq,
            sent_at: now,
        });
        agent.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        if self.faults.drops_heartbeat(machine, now) {
            return;
        }
        let heartbeat = StaleHeartbeat {
            machine: machine.to_string(),
            seq,
            body,
        };
        self.faults.keep_stale_heartbeat(&heartbeat, &mut self.rng);
        let at = now + self.latency() + self.faults.heartbeat_delay(&mut self.rng);
        let duplicate =
            self.faults
                .duplicate_heartbeat(controller, controller_count, &mut self.rng);
        if let Some((to, delay)) = duplicate {
            self.schedule(at + delay, heartbeat.clone().arriving_at(to));
        }
        let from = Endpoint::Agent(machine.to_string());
        if let Some(at) = self.arrival_across(&Endpoint::Controller(controller), &from, at) {
            self.schedule(at, heartbeat.arriving_at(controller));
        }
    }

    /// Whether a gang's attempt can complete: all its members are active on machines that do not hang, or one of them
    /// has completed already.
    fn gang_can_complete(&self, key: &TaskKey, truth: &JobGroundTruth) -> bool {
        let (job, _) = split_task_name(&key.0);
        let is_member =
            |(task, attempt): &TaskKey| *attempt == key.1 && split_task_name(task).0 == job;
        let members = self
            .agents
            .values()
            .flat_map(|agent| agent.active_tasks())
            .filter(|(other, _)| is_member(other))
            .count();
        // Members complete together, so none completes while the machine of one hangs.
        let any_hung = self.agents.values().any(|agent| {
            agent.hung_until > self.now && agent.active_tasks().any(|(other, _)| is_member(other))
        });
        !truth.done.is_empty() || members as u32 == truth.spec.tasks && !any_hung
    }

    /// Starts gangs whose members are all waiting, and ends the members of incomplete gangs.
    pub(super) fn update_gangs(&mut self) {
        for ((job, _), members) in self.gang_attempts() {
            let truth = self.jobs[&job].clone();
            let complete = members.len() as u32 == truth.spec.tasks;
            let any_hung = members
                .iter()
                .any(|member| self.hung_until(&member.machine).is_some());
            let all_waiting = members
                .iter()
                .all(|member| member.phase == TaskPhase::Waiting);
            if complete && !any_hung && all_waiting {
                self.start_gang(&members, truth.run_time);
            } else if !complete || any_hung {
                self.end_gang_members(&job, &members, !truth.done.is_empty());
            }
        }
    }

    /// Active members of gangs, by job and attempt.
    fn gang_attempts(&self) -> BTreeMap<(String, u64), Vec<GangMember>> {
        let mut attempts: BTreeMap<(String, u64), Vec<GangMember>> = BTreeMap::new();
        for agent in self.agents.values() {
            for (key, task) in agent.active_tasks() {
                let (job, _) = split_task_name(&key.0);
                let is_gang = |truth: &JobGroundTruth| truth.spec.kind == JobKind::Gang;
                if self.jobs.get(job).is_some_and(is_gang) {
                    let members = attempts.entry((job.to_string(), key.1)).or_default();
                    members.push(GangMember {
                        machine: agent.name.clone(),
                        key: key.clone(),
                        phase: task.phase,
                    });
                }
            }
        }
        attempts
    }

    fn start_gang(&mut self, members: &[GangMember], run_time: u64) {
        for member in members {
            let agent = self
                .agents
                .get_mut(&member.machine)
                .expect("machine exists");
            let task = agent
                .tasks
                .get_mut(&member.key)
                .expect("task exists on the machine");
            task.phase = TaskPhase::Running;
            task.phase_ends_at = self.now + run_time;
        }
    }

    fn end_gang_members(&mut self, job: &str, members: &[GangMember], completed: bool) {
        for member in members {
            let agent = self
                .agents
                .get_mut(&member.machine)
                .expect("machine exists");
            if member.phase != TaskPhase::Running || agent.hung_until > self.now {
                continue;
            }
            if completed {
                let (_, index) = split_task_name(&member.key.0);
                agent.exit_task(&member.key, ExitReason::Done, false);
                self.jobs.get_mut(job).unwrap().done.insert(index);
            } else {
                agent.exit_task(&member.key, ExitReason::GangMemberGone, false);
            }
        }
    }
}

/// A member of a gang that is active on a machine.
struct GangMember {
    machine: String,
    key: TaskKey,
    phase: TaskPhase,
}
