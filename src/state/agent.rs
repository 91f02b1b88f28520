//! What each agent last reported, and what follows from it about the tasks recorded on its machine.

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
    /// Why it exited.
    pub why: Option<ExitReason>,
}

impl ReportedTask {
    /// A task of a heartbeat; `None` if its name cannot be parsed.
    fn parse(reported: &TaskStatus) -> Option<ReportedTask> {
        let (job, task) = parse_task_name(&reported.task)?;
        Some(ReportedTask {
            job: job.to_string(),
            task,
            attempt: reported.attempt,
            phase: reported.phase,
            why: reported.exit_reason,
        })
    }

    /// Whether a heartbeat's task is the same, in the same phase.
    fn is_same(&self, reported: &TaskStatus) -> bool {
        (self.attempt, self.phase, self.why)
            == (reported.attempt, reported.phase, reported.exit_reason)
            && parse_task_name(&reported.task) == Some((self.job.as_str(), self.task))
    }
}

/// Splits a task's name `job/number` into job id and task number.
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}

/// Decodes an agent's heartbeat, from a request or a response to commands. One that cannot be decoded completely is
/// dropped completely: a task left out of it would look as if it were not running.
pub fn parse_agent_heartbeat(body: &[u8]) -> Option<AgentHeartbeat> {
    let Some(report) = decode::<AgentHeartbeat>(body) else {
        log::warn!("heartbeat dropped reason=undecodable");
        return None;
    };
    let malformed = report
        .tasks
        .iter()
        .find(|t| parse_task_name(&t.task).is_none());
    if let Some(malformed) = malformed {
        log::warn!(
            "heartbeat dropped reason=malformed-task machine={} task={:?}",
            report.machine,
            malformed.task
        );
        return None;
    }
    Some(report)
}

/// The starts of one attempt that we sent. A start may be repeated, so several of the flags may be set.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DirectStart {
    /// Sent as a direct command whose response is awaited.
    pub in_flight: bool,
    /// Answered with 200: carried out, or without effect.
    pub acknowledged: bool,
    /// Sent at least once without getting a response: it may still be carried out, as long as the agent's term and
    /// epoch match. Such an attempt must never be forgotten.
    pub unresolved: bool,
    /// The term it was sent with.
    pub term: u64,
    /// Sent with the response to the heartbeat of this sequence number. Any later heartbeat shows whether it was
    /// carried out: the agent sends one heartbeat at a time, and drops late responses.
    pub sent_with_response_to: Option<u64>,
}

/// What a heartbeat has changed.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatEffect {
    /// Nothing: we have a newer one.
    Stale,
    /// Nothing but the time of the last heartbeat.
    Unchanged,
    /// Something else; contains the previous tasks.
    Changed(Vec<ReportedTask>),
}

/// Identifies an attempt of a task on an agent: job id, task number, attempt.
pub type AttemptKey = (String, u32, u64);

/// A task that ended with an error.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskError {
    /// When we heard of it.
    pub at: Micros,
    /// The task's job.
    pub job: String,
}

/// An agent as it last reported.
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
    /// The agent's epoch; 0: it has not sent a heartbeat yet.
    pub agent_epoch: u64,
    /// When we first heard of that epoch. Its lease runs from a moment before, whatever happened to earlier epochs.
    pub epoch_began_at: Micros,
    /// Sequence number of the newest heartbeat.
    pub last_seq: u64,
    /// Highest term that the agent had seen at its newest heartbeat.
    pub term: u64,
    /// When we learnt that it has seen that term: until then other leaders may have renewed its lease.
    pub term_seen_at: Micros,
    /// When the cloud will preempt the machine, if it has announced that.
    pub preemption_at: Option<Micros>,
    /// Tasks in the newest heartbeat.
    pub tasks: Vec<ReportedTask>,
    /// When the newest heartbeat arrived.
    pub last_heard_at: Micros,
    /// Whether the agent receives what we send.
    pub reachability: AgentReachability,
    /// When we last answered a heartbeat, which renews the agent's lease.
    pub last_answered_at: Option<Micros>,
    /// Epochs up to this one have provably ended.
    pub ended_epoch: Option<u64>,
    /// Starts sent in the present epoch.
    pub starts: BTreeMap<AttemptKey, DirectStart>,
    /// When a stop was last sent, by attempt.
    pub stops: BTreeMap<AttemptKey, Micros>,
    /// Whether direct commands are in flight.
    pub commands_in_flight: bool,
    /// Direct commands are not sent before this.
    pub next_commands_at: Micros,
    /// Recent errors of tasks.
    pub errors: Vec<TaskError>,
    /// Tasks that have begun to run here since the last error. Only their completion shows that the machine works
    /// again: one that fails every new task still completes those that ran before.
    pub running_since_error: BTreeSet<AttemptKey>,
    /// Since when the agent has had no tasks.
    pub idle_since: Option<Micros>,
}

/// What is known about a recorded attempt on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskLiveness {
    /// Reported and not exited.
    Present(TaskPhase),
    /// Reported as exited.
    Ended(ExitReason),
    /// Provably not on the machine any more.
    Gone,
    /// We have not sent a start, and no other leader's start can still be carried out.
    NotStarted,
    /// Unknown: has to be treated as present.
    Unknown,
}

impl TaskLiveness {
    /// Whether the attempt has to be treated as present on its machine. One that was not started counts while it is
    /// `wanted`, since its start may be sent at any moment.
    pub fn may_be_running(self, wanted: impl FnOnce() -> bool) -> bool {
        match self {
            TaskLiveness::Present(_) | TaskLiveness::Unknown => true,
            TaskLiveness::NotStarted => wanted(),
            TaskLiveness::Gone | TaskLiveness::Ended(_) => false,
        }
    }
}

impl Agent {
    /// An agent that sends its first heartbeat, which is still to be applied by `update`.
    pub fn new(report: &AgentHeartbeat) -> Agent {
        Agent {
            address: None,
            reported_address: String::new(),
            machine_type: report.machine_type.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
            agent_epoch: 0,
            epoch_began_at: Micros::ZERO,
            last_seq: 0,
            term: 0,
            term_seen_at: Micros::ZERO,
            preemption_at: None,
            tasks: Vec::new(),
            last_heard_at: Micros::ZERO,
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

    /// Applies a heartbeat if it is newer than the last one. Most heartbeats change nothing, so the strings and tasks
    /// are copied only if they differ.
    pub fn update(&mut self, report: &AgentHeartbeat, now: Micros) -> HeartbeatEffect {
        if (report.agent_epoch, report.seq) <= (self.agent_epoch, self.last_seq) {
            return HeartbeatEffect::Stale;
        }
        let before = (self.agent_epoch, self.term, self.preemption_at.is_some());
        if report.agent_epoch > self.agent_epoch {
            self.begin_epoch(now);
        }
        self.agent_epoch = report.agent_epoch;
        self.last_seq = report.seq;
        if report.term > self.term {
            self.term = report.term;
            self.term_seen_at = now;
            self.reachability.on_confirmation(now);
        }
        self.update_machine(report, now);
        self.last_heard_at = now;
        let reported = &report.tasks;
        let same_tasks = self.tasks.len() == reported.len()
            && self.tasks.iter().zip(reported).all(|(t, r)| t.is_same(r));
        if !same_tasks {
            let tasks = reported.iter().filter_map(ReportedTask::parse).collect();
            return HeartbeatEffect::Changed(std::mem::replace(&mut self.tasks, tasks));
        }
        if before == (self.agent_epoch, self.term, self.preemption_at.is_some()) {
            return HeartbeatEffect::Unchanged;
        }
        HeartbeatEffect::Changed(self.tasks.clone())
    }

    /// A new epoch has none of the old tasks, and commands for the old one have no effect.
    fn begin_epoch(&mut self, now: Micros) {
        if self.agent_epoch > 0 {
            self.reachability.on_new_epoch(now);
        }
        self.epoch_began_at = now;
        self.starts.clear();
        self.stops.clear();
    }

    fn update_machine(&mut self, report: &AgentHeartbeat, now: Micros) {
        if self.reported_address != report.address {
            self.reported_address.clone_from(&report.address);
            self.address = report.address.parse().ok();
        }
        if self.machine_type != report.machine_type || self.zone != report.zone {
            self.machine_type.clone_from(&report.machine_type);
            self.zone.clone_from(&report.zone);
        }
        self.spot = report.spot;
        self.preemption_at = report.notice_s.map(|seconds| now + Micros::secs(seconds));
    }

    /// A heartbeat (not a response to commands) with this sequence number has arrived: starts sent with the responses
    /// to earlier ones have been carried out by now, or never will be.
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

    /// The attempt in the newest heartbeat.
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

    fn start_of(&self, job: &str, task: u32, attempt: u64) -> Option<&DirectStart> {
        // Most agents have no starts: the key need not be built.
        if self.starts.is_empty() {
            return None;
        }
        self.starts.get(&(job.to_string(), task, attempt))
    }

    /// Whether a start may still be carried out although its response is no longer awaited.
    fn is_unresolved(&self, start: &DirectStart) -> bool {
        start.unresolved && start.term >= self.term
    }

    /// Whether a start of the attempt may still be carried out although its response is no longer awaited.
    pub fn has_unresolved_start(&self, job: &str, task: u32, attempt: u64) -> bool {
        let start = self.start_of(job, task, attempt);
        start.is_some_and(|s| self.is_unresolved(s))
    }

    /// All attempts with such a start.
    pub fn unresolved_starts(&self) -> impl Iterator<Item = &AttemptKey> {
        let starts = self.starts.iter();
        let unresolved = starts.filter(|(_, start)| self.is_unresolved(start));
        unresolved.map(|(attempt, _)| attempt)
    }

    /// Whether a start of ours could run an exited attempt again if the agent forgot the attempt: a start without
    /// response that arrives late, or a duplicate of one that was carried out. Only a higher term or another epoch
    /// fences these. A done task does no harm: it ends with the same result at once.
    pub fn may_start_again(&self, exited: &ReportedTask) -> bool {
        let start = self.start_of(&exited.job, exited.task, exited.attempt);
        start.is_some_and(|s| {
            s.term >= self.term && (s.unresolved || exited.why != Some(ExitReason::Done))
        })
    }

    /// How many exited attempts the agent has to remember for that reason.
    pub fn retained_exits(&self) -> usize {
        let exited = self.tasks.iter().filter(|t| t.phase == TaskPhase::Exited);
        exited.filter(|t| self.may_start_again(t)).count()
    }

    /// What a leader with this term knows about a recorded attempt.
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
            return match (reported.phase, reported.why) {
                (TaskPhase::Exited, why) => TaskLiveness::Ended(why.unwrap_or(ExitReason::Error)),
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
            // Sent with an older term of ours, which the agent no longer accepts.
            return TaskLiveness::NotStarted;
        }
        let is_settled = !start.unresolved && start.sent_with_response_to.is_none();
        if start.acknowledged && is_settled {
            return TaskLiveness::Gone;
        }
        TaskLiveness::Unknown
    }
}
