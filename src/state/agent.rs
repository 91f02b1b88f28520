//! The last reported state of each agent, and what it implies for the tasks recorded on the agent's machine.

use crate::protocol::Micros;
use crate::protocol::agent_api::{AgentHeartbeat, ExitReason, TaskPhase, TaskStatus};
use crate::protocol::codec::decode;
use crate::state::agent_reachability::AgentReachability;
use std::collections::{BTreeMap, BTreeSet};

/// A task as an agent last reported it.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportedTask {
    /// Job id.
    pub job: String,
    /// Task number.
    pub task: u32,
    /// Attempt.
    pub attempt: u64,
    /// Phase.
    pub phase: TaskPhase,
    /// Why the task exited.
    pub exit_reason: Option<ExitReason>,
}

impl ReportedTask {
    /// Converts a task of a heartbeat; `None` if its name cannot be parsed.
    fn parse(reported: &TaskStatus) -> Option<ReportedTask> {
        let (job, task) = parse_task_name(&reported.task)?;
        Some(ReportedTask {
            job: job.to_string(),
            task,
            attempt: reported.attempt,
            phase: reported.phase,
            exit_reason: reported.exit_reason,
        })
    }

    /// Whether a task of a heartbeat is the same attempt in the same state.
    fn matches(&self, reported: &TaskStatus) -> bool {
        (self.attempt, self.phase, self.exit_reason)
            == (reported.attempt, reported.phase, reported.exit_reason)
            && parse_task_name(&reported.task) == Some((self.job.as_str(), self.task))
    }
}

/// Splits a task's name `job/number` into job id and task number.
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}

/// Decodes an agent's heartbeat, from a request or a response to commands. If any part cannot be decoded, the whole
/// heartbeat is dropped: a task left out of it would seem not to be running.
pub fn parse_agent_heartbeat(body: &[u8]) -> Option<AgentHeartbeat> {
    let Some(heartbeat) = decode::<AgentHeartbeat>(body) else {
        log::warn!("heartbeat dropped reason=undecodable");
        return None;
    };
    let malformed = heartbeat
        .tasks
        .iter()
        .find(|t| parse_task_name(&t.task).is_none());
    if let Some(malformed) = malformed {
        log::warn!(
            "heartbeat dropped reason=malformed-task machine={} task={:?}",
            heartbeat.machine,
            malformed.task
        );
        return None;
    }
    Some(heartbeat)
}

/// State of the start commands that we sent for one attempt. A start may be repeated, so several flags may be set.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StartState {
    /// Sent as a direct command whose response is awaited.
    pub in_flight: bool,
    /// Answered with status 200: the start was carried out, or had no effect.
    pub acknowledged: bool,
    /// Sent at least once without a response. It may still be carried out as long as the agent's term and epoch match,
    /// so the attempt must not be forgotten.
    pub unresolved: bool,
    /// The term it was sent with.
    pub term: u64,
    /// Sent with the response to the heartbeat with this sequence number. Any later heartbeat shows whether the start
    /// was carried out, because the agent sends one heartbeat at a time and drops late responses.
    pub sent_with_response_to: Option<u64>,
}

/// Effect of a heartbeat on an agent's state.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatEffect {
    /// Ignored, since it is not newer than the last one.
    Stale,
    /// Nothing that matters has changed except the time of the last heartbeat.
    Unchanged,
    /// The agent's state has changed. Contains the previous tasks.
    Changed(Vec<ReportedTask>),
}

/// Identifies an attempt of a task on an agent: job id, task number, attempt.
pub type AttemptKey = (String, u32, u64);

/// A task that ended with an error.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskError {
    /// When the error was reported.
    pub at: Micros,
    /// The task's job.
    pub job: String,
}

/// An agent, according to its last heartbeat.
#[derive(Debug, Clone)]
pub struct Agent {
    /// Where direct commands are sent; `None` if the reported address cannot be parsed.
    pub address: Option<std::net::SocketAddr>,
    reported_address: String,
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// The agent's epoch; 0 before its first heartbeat.
    pub agent_epoch: u64,
    /// When the first heartbeat of that epoch arrived. The epoch's lease began shortly before, regardless of earlier
    /// epochs.
    pub epoch_began_at: Micros,
    /// Sequence number of the newest heartbeat.
    pub last_seq: u64,
    /// Highest term that the agent had seen when it sent its newest heartbeat.
    pub term: u64,
    /// When the agent first reported that term. Until then other leaders may have renewed its lease.
    pub term_seen_at: Micros,
    /// When the cloud will preempt the machine, if it has announced that.
    pub preemption_at: Option<Micros>,
    /// Tasks in the newest heartbeat.
    pub tasks: Vec<ReportedTask>,
    /// When the newest heartbeat arrived.
    pub last_heartbeat_at: Micros,
    /// Whether our messages reach the agent.
    pub reachability: AgentReachability,
    /// When we last answered a heartbeat. The answer renews the agent's lease.
    pub last_answered_at: Option<Micros>,
    /// All epochs up to this one have provably ended.
    pub ended_epoch: Option<u64>,
    /// Starts sent in the current epoch, by attempt.
    pub starts: BTreeMap<AttemptKey, StartState>,
    /// When a stop was last sent, by attempt.
    pub stops: BTreeMap<AttemptKey, Micros>,
    /// Whether direct commands are in flight.
    pub commands_in_flight: bool,
    /// Earliest time for the next direct commands.
    pub next_commands_at: Micros,
    /// Recent task errors on this machine.
    pub errors: Vec<TaskError>,
    /// Tasks that have begun to run here since the last error. Only their completion shows that the machine works
    /// again: a machine that fails every new task still completes tasks that were running before.
    pub running_since_error: BTreeSet<AttemptKey>,
    /// Since when the agent has had no tasks.
    pub idle_since: Option<Micros>,
}

/// Whether a recorded attempt runs on its machine, as far as that can be proved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskLiveness {
    /// Reported and not exited.
    Present(TaskPhase),
    /// Reported as exited.
    Ended(ExitReason),
    /// Provably no longer on the machine.
    Gone,
    /// We have sent no start, and no other leader's start can still be carried out.
    NotStarted,
    /// Not known, so the attempt must be treated as present.
    Unknown,
}

impl TaskLiveness {
    /// Whether the attempt must be treated as present on its machine. An attempt that was not started counts as present
    /// while it is `wanted`, since its start may be sent at any moment.
    pub fn may_be_running(self, wanted: impl FnOnce() -> bool) -> bool {
        match self {
            TaskLiveness::Present(_) | TaskLiveness::Unknown => true,
            TaskLiveness::NotStarted => wanted(),
            TaskLiveness::Gone | TaskLiveness::Ended(_) => false,
        }
    }
}

impl Agent {
    /// Creates the agent that sent this first heartbeat. The caller then applies the heartbeat with `update`.
    pub fn new(heartbeat: &AgentHeartbeat) -> Agent {
        Agent {
            address: None,
            reported_address: String::new(),
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            agent_epoch: 0,
            epoch_began_at: Micros::ZERO,
            last_seq: 0,
            term: 0,
            term_seen_at: Micros::ZERO,
            preemption_at: None,
            tasks: Vec::new(),
            last_heartbeat_at: Micros::ZERO,
            reachability: AgentReachability::default(),
            last_answered_at: None,
            ended_epoch: None,
            starts: BTreeMap::new(),
            stops: BTreeMap::new(),
            commands_in_flight: false,
            next_commands_at: Micros::ZERO,
            errors: Vec::new(),
            running_since_error: BTreeSet::new(),
            idle_since: None,
        }
    }

    /// Applies a heartbeat if it is newer than the last one. Strings and tasks are copied only if they differ, since
    /// most heartbeats change nothing.
    pub fn update(&mut self, heartbeat: &AgentHeartbeat, now: Micros) -> HeartbeatEffect {
        if (heartbeat.agent_epoch, heartbeat.seq) <= (self.agent_epoch, self.last_seq) {
            return HeartbeatEffect::Stale;
        }
        let before = (self.agent_epoch, self.term, self.preemption_at.is_some());
        if heartbeat.agent_epoch > self.agent_epoch {
            self.begin_epoch(now);
        }
        self.agent_epoch = heartbeat.agent_epoch;
        self.last_seq = heartbeat.seq;
        if heartbeat.term > self.term {
            self.term = heartbeat.term;
            self.term_seen_at = now;
            // The agent rejects starts of earlier terms.
            self.starts.retain(|_, start| start.term >= heartbeat.term);
            self.reachability.on_confirmation(now);
        }
        self.update_machine(heartbeat, now);
        self.last_heartbeat_at = now;
        let reported = &heartbeat.tasks;
        let same_tasks = self.tasks.len() == reported.len()
            && self.tasks.iter().zip(reported).all(|(t, r)| t.matches(r));
        if !same_tasks {
            let tasks = reported.iter().filter_map(ReportedTask::parse).collect();
            return HeartbeatEffect::Changed(std::mem::replace(&mut self.tasks, tasks));
        }
        if before == (self.agent_epoch, self.term, self.preemption_at.is_some()) {
            return HeartbeatEffect::Unchanged;
        }
        HeartbeatEffect::Changed(self.tasks.clone())
    }

    /// Begins a new epoch, which has none of the old tasks. Commands for the old epoch have no effect any more.
    fn begin_epoch(&mut self, now: Micros) {
        if self.agent_epoch > 0 {
            self.reachability.on_new_epoch(now);
        }
        self.epoch_began_at = now;
        self.starts.clear();
        self.stops.clear();
    }

    fn update_machine(&mut self, heartbeat: &AgentHeartbeat, now: Micros) {
        if self.reported_address != heartbeat.address {
            self.reported_address.clone_from(&heartbeat.address);
            self.address = heartbeat.address.parse().ok();
        }
        if self.machine_type != heartbeat.machine_type || self.zone != heartbeat.zone {
            self.machine_type.clone_from(&heartbeat.machine_type);
            self.zone.clone_from(&heartbeat.zone);
        }
        self.spot = heartbeat.spot;
        self.preemption_at = heartbeat
            .notice_s
            .map(|seconds| now + Micros::secs(seconds));
    }

    /// Settles starts when a heartbeat request (not a response to commands) with this sequence number arrives: starts
    /// sent with the responses to earlier heartbeats have been carried out by now, or never will be.
    pub fn settle_starts_before(&mut self, agent_epoch: u64, seq: u64) {
        if agent_epoch != self.agent_epoch {
            return;
        }
        self.starts.retain(|_, start| {
            if start.sent_with_response_to.is_some_and(|sent| sent < seq) {
                start.sent_with_response_to = None;
                return start.acknowledged || start.unresolved || start.in_flight;
            }
            true
        });
    }

    /// The attempt as reported in the newest heartbeat, if it is in there.
    pub fn reported_task(&self, job: &str, task: u32, attempt: u64) -> Option<&ReportedTask> {
        let mut tasks = self.tasks.iter();
        tasks.find(|t| t.task == task && t.attempt == attempt && t.job == job)
    }

    /// Whether the agent's epoch has provably ended.
    pub fn epoch_ended(&self) -> bool {
        self.has_ended(self.agent_epoch)
    }

    fn has_ended(&self, agent_epoch: u64) -> bool {
        self.ended_epoch.is_some_and(|ended| agent_epoch <= ended)
    }

    fn start_of(&self, job: &str, task: u32, attempt: u64) -> Option<&StartState> {
        // Avoids building the key, since most agents have no starts.
        if self.starts.is_empty() {
            return None;
        }
        self.starts.get(&(job.to_string(), task, attempt))
    }

    /// Whether a start may still be carried out although its response is no longer awaited.
    fn is_unresolved(&self, start: &StartState) -> bool {
        start.unresolved && start.term >= self.term
    }

    /// Whether a start of the attempt may still be carried out although its response is no longer awaited.
    pub fn has_unresolved_start(&self, job: &str, task: u32, attempt: u64) -> bool {
        let start = self.start_of(job, task, attempt);
        start.is_some_and(|s| self.is_unresolved(s))
    }

    /// All attempts with a start that may still be carried out although its response is no longer awaited.
    pub fn unresolved_starts(&self) -> impl Iterator<Item = &AttemptKey> {
        let starts = self.starts.iter();
        let unresolved = starts.filter(|(_, start)| self.is_unresolved(start));
        unresolved.map(|(attempt, _)| attempt)
    }

    /// Whether one of our starts could run an exited attempt again if the agent forgot the attempt. That start may be
    /// an unanswered one that arrives late, or a duplicate of one that was carried out; only a higher term or another
    /// epoch fences it off. This holds for done tasks as well: although the task would end with the same result, the
    /// agent would start it first, perhaps after the cancellation of its job.
    pub fn may_start_again(&self, exited: &ReportedTask) -> bool {
        let start = self.start_of(&exited.job, exited.task, exited.attempt);
        start.is_some_and(|start| start.term >= self.term)
    }

    /// How many exited attempts the agent must keep because a start could run them again.
    pub fn retained_exits(&self) -> usize {
        let exited = self.tasks.iter().filter(|t| t.phase == TaskPhase::Exited);
        exited.filter(|t| self.may_start_again(t)).count()
    }

    /// Liveness of a recorded attempt, from the point of view of a leader with term `our_term`.
    pub fn liveness(
        &self,
        our_term: u64,
        job: &str,
        task: u32,
        attempt: u64,
        agent_epoch: u64,
    ) -> TaskLiveness {
        if self.has_ended(agent_epoch) || agent_epoch < self.agent_epoch {
            return TaskLiveness::Gone;
        }
        if agent_epoch > self.agent_epoch {
            return TaskLiveness::Unknown;
        }
        if let Some(reported) = self.reported_task(job, task, attempt) {
            return match (reported.phase, reported.exit_reason) {
                (TaskPhase::Exited, reason) => {
                    TaskLiveness::Ended(reason.unwrap_or(ExitReason::Error))
                }
                (phase, _) => TaskLiveness::Present(phase),
            };
        }
        if self.term != our_term {
            // An older leader's start may still be in transit.
            return TaskLiveness::Unknown;
        }
        let Some(start) = self.start_of(job, task, attempt) else {
            return TaskLiveness::NotStarted;
        };
        if start.term < self.term {
            // Sent under an older term of ours, which the agent no longer accepts.
            return TaskLiveness::NotStarted;
        }
        let is_settled = !start.unresolved && start.sent_with_response_to.is_none();
        if start.acknowledged && is_settled {
            return TaskLiveness::Gone;
        }
        TaskLiveness::Unknown
    }
}
