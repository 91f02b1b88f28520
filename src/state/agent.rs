//! What each agent last said, and what follows from it about tasks recorded on it.

use crate::protocol::Micros;
use crate::protocol::agent_api::{AgentHeartbeat, ExitReason, TaskPhase};
use crate::protocol::codec::decode;
use crate::state::agent_reachability::AgentReachability;
use std::collections::{BTreeMap, BTreeSet};

/// A task as an agent last reported it.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportedTask {
    /// Job.
    pub job: String,
    /// Task number.
    pub task: u32,
    /// Attempt.
    pub attempt: u64,
    /// State.
    pub phase: TaskPhase,
    /// Why it exited.
    pub why: Option<ExitReason>,
}

/// Splits `job/number`.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, n) = name.rsplit_once('/')?;
    Some((job, n.parse().ok()?))
}

/// An agent's report, from a request or from an answer to commands. One that cannot be read as a whole is dropped as a
/// whole: a task left out of it would look as if it were not there.
pub fn parse_agent_heartbeat(body: &[u8]) -> Option<AgentHeartbeat> {
    let Some(report) = decode::<AgentHeartbeat>(body) else {
        log::warn!("a report is dropped: it cannot be read");
        return None;
    };
    if let Some(t) = report.tasks.iter().find(|t| split_task(&t.task).is_none()) {
        log::warn!(
            "{}: a report is dropped: {:?} is no task",
            report.machine,
            t.task
        );
        return None;
    }
    Some(report)
}

/// A start of ours that was sent directly.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DirectStart {
    /// Sent directly, and the answer is awaited.
    pub direct: bool,
    /// Answered with 200: carried out (or without effect).
    pub answered: bool,
    /// Sent once without any answer: it may be carried out late, as long as term and session
    /// of the agent match. Such an attempt must never be forgotten.
    pub loose: bool,
    /// The term it was sent with.
    pub term: u64,
    /// Sent with the answer to the report of this number. Whether it was carried out is shown by
    /// any later report: the agent sends one at a time, and drops answers that come late.
    pub answer_to: Option<u64>,
}

/// What a message from an agent brought.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// It is older than what we have.
    Old,
    /// Nothing but a sign of life.
    None,
    /// A change; these were the tasks before.
    Changed(Vec<ReportedTask>),
}

/// Names an attempt of a task on an agent.
pub type AttemptKey = (String, u32, u64);

/// One agent.
#[derive(Debug, Clone)]
pub struct Agent {
    /// Where direct commands go.
    pub address: Option<std::net::SocketAddr>,
    /// The same as the agent wrote it.
    shown_address: String,
    /// Machine type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// Session.
    pub agent_epoch: u64,
    /// When we first heard of that session: its lease runs from a moment before, whatever became of the
    /// one before it.
    pub began: Micros,
    /// Sequence number of the newest message.
    pub seq: u64,
    /// Highest term the agent had seen by its newest message.
    pub term: u64,
    /// When we learnt that it has seen that term: until then others may have renewed its lease.
    pub termed: Micros,
    /// When the cloud takes the machine, if it has said so.
    pub notice: Option<Micros>,
    /// Tasks in the newest message.
    pub tasks: Vec<ReportedTask>,
    /// When we last heard from it.
    pub heard: Micros,
    /// Whether it hears us.
    pub reachability: AgentReachability,
    /// When we last answered a report, which renews its lease.
    pub answered: Option<Micros>,
    /// Sessions up to this one are proven over.
    pub over: Option<u64>,
    /// Direct starts of the present session and term.
    pub starts: BTreeMap<AttemptKey, DirectStart>,
    /// When a stop was last sent.
    pub stops: BTreeMap<AttemptKey, Micros>,
    /// Direct commands are on their way.
    pub ordering: bool,
    /// Direct commands are not tried before this.
    pub order_again: Micros,
    /// Recent task errors: when, and of which job.
    pub errors: Vec<(Micros, String)>,
    /// Tasks that have come to run here since the last error. Only these can show that the machine is
    /// well again: one that fails every new task still completes those that ran before.
    pub ran_since: BTreeSet<AttemptKey>,
    /// Has no tasks since.
    pub idle_since: Option<Micros>,
}

/// What is known about a recorded attempt on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskLiveness {
    /// Reported there, not exited.
    Present(TaskPhase),
    /// Exited there.
    Ended(ExitReason),
    /// Proven not to be there any more.
    Gone,
    /// No start of ours was ever sent, and nobody else's can still be carried out.
    NotStarted,
    /// Cannot be told: presumed there.
    Unknown,
}

impl TaskLiveness {
    /// Whether the attempt must be presumed on its machine. One that nobody has started counts while it
    /// is still `wanted`, since its start may be sent at any moment.
    pub fn presumed(self, wanted: impl FnOnce() -> bool) -> bool {
        match self {
            TaskLiveness::Present(_) | TaskLiveness::Unknown => true,
            TaskLiveness::NotStarted => wanted(),
            TaskLiveness::Gone | TaskLiveness::Ended(_) => false,
        }
    }
}

impl Agent {
    /// Takes over a report if it is newer than the last one, and tells what it changed. Most
    /// reports change nothing: those copy nothing either.
    pub fn update(&mut self, r: &AgentHeartbeat, now: Micros) -> News {
        if (r.agent_epoch, r.seq) <= (self.agent_epoch, self.seq) {
            return News::Old;
        }
        let before = (self.agent_epoch, self.term, self.notice.is_some());
        if r.agent_epoch > self.agent_epoch {
            // A new session has none of the old tasks, and no command for the old one counts.
            if self.agent_epoch > 0 {
                self.reachability.on_new_epoch(now);
            }
            self.began = now;
            self.starts.clear();
            self.stops.clear();
        }
        self.agent_epoch = r.agent_epoch;
        self.seq = r.seq;
        if r.term > self.term {
            self.term = r.term;
            self.termed = now;
            self.reachability.on_confirmation(now);
        }
        if self.shown_address != r.address {
            self.shown_address.clone_from(&r.address);
            self.address = r.address.parse().ok();
        }
        if self.kind != r.kind || self.zone != r.zone {
            self.kind.clone_from(&r.kind);
            self.zone.clone_from(&r.zone);
        }
        self.spot = r.spot;
        self.notice = r.notice_s.map(|s| now + Micros::secs(s));
        self.heard = now;
        let same = self.tasks.len() == r.tasks.len()
            && self.tasks.iter().zip(&r.tasks).all(|(s, t)| {
                (s.attempt, s.phase, s.why) == (t.attempt, t.phase, t.why)
                    && split_task(&t.task).is_some_and(|(j, n)| s.task == n && s.job == j)
            });
        if same {
            return if before == (self.agent_epoch, self.term, self.notice.is_some()) {
                News::None
            } else {
                News::Changed(self.tasks.clone())
            };
        }
        let tasks = r.tasks.iter().filter_map(|t| {
            let (job, task) = split_task(&t.task)?;
            Some(ReportedTask {
                job: job.to_string(),
                task,
                attempt: t.attempt,
                phase: t.phase,
                why: t.why,
            })
        });
        News::Changed(std::mem::replace(&mut self.tasks, tasks.collect()))
    }

    /// A report (not an answer to commands) with this number has come: starts sent with earlier
    /// answers have been carried out by now, or never will be.
    pub fn settle_answers(&mut self, agent_epoch: u64, seq: u64) {
        if agent_epoch != self.agent_epoch {
            return;
        }
        self.starts.retain(|_, s| {
            if s.answer_to.is_some_and(|n| n < seq) {
                s.answer_to = None;
                return s.answered || s.loose || s.direct;
            }
            true
        });
    }

    /// An agent that has just been met.
    pub fn new(r: &AgentHeartbeat) -> Agent {
        Agent {
            address: None,
            shown_address: String::new(),
            kind: r.kind.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
            agent_epoch: 0,
            began: Micros::ZERO,
            seq: 0,
            term: 0,
            termed: Micros::ZERO,
            notice: None,
            tasks: Vec::new(),
            heard: Micros::ZERO,
            reachability: AgentReachability::default(),
            answered: None,
            over: None,
            starts: BTreeMap::new(),
            stops: BTreeMap::new(),
            ordering: false,
            order_again: Micros::ZERO,
            errors: Vec::new(),
            ran_since: BTreeSet::new(),
            idle_since: None,
        }
    }

    /// The task in the newest message.
    pub fn find(&self, job: &str, task: u32, attempt: u64) -> Option<&ReportedTask> {
        self.tasks
            .iter()
            .find(|s| s.task == task && s.attempt == attempt && s.job == job)
    }

    /// Whether the session is proven over.
    pub fn is_over(&self) -> bool {
        self.over.is_some_and(|o| self.agent_epoch <= o)
    }

    fn start_of(&self, job: &str, task: u32, attempt: u64) -> Option<&DirectStart> {
        if self.starts.is_empty() {
            return None;
        }
        self.starts.get(&(job.to_string(), task, attempt))
    }

    /// A start that may still be carried out although nobody waits for its answer.
    pub fn has_loose(&self, job: &str, task: u32, attempt: u64) -> bool {
        self.start_of(job, task, attempt)
            .is_some_and(|s| s.loose && s.term >= self.term)
    }

    /// All such starts.
    pub fn loose(&self) -> impl Iterator<Item = &AttemptKey> {
        let starts = self.starts.iter();
        let loose = starts.filter(|(_, s)| s.loose && s.term >= self.term);
        loose.map(|(key, _)| key)
    }

    /// Whether a start of ours may still bring back an attempt that has ended, were it forgotten: one that got no
    /// answer and comes late, or a copy of one that was carried out. Only a higher term or another session fences
    /// those. What is done is no harm: it ends with the same result at once.
    pub fn may_start_again(&self, t: &ReportedTask) -> bool {
        let start = self.start_of(&t.job, t.task, t.attempt);
        start.is_some_and(|s| s.term >= self.term && (s.loose || t.why != Some(ExitReason::Done)))
    }

    /// How many attempts have ended here and are kept for that reason.
    pub fn kept(&self) -> usize {
        let ended = self.tasks.iter().filter(|t| t.phase == TaskPhase::Exited);
        ended.filter(|t| self.may_start_again(t)).count()
    }

    /// Where a recorded attempt stands, for a leader with this term.
    pub fn standing(
        &self,
        our_term: u64,
        job: &str,
        task: u32,
        attempt: u64,
        agent_epoch: u64,
    ) -> TaskLiveness {
        if self.over.is_some_and(|o| agent_epoch <= o) || agent_epoch < self.agent_epoch {
            return TaskLiveness::Gone;
        }
        if agent_epoch > self.agent_epoch {
            return TaskLiveness::Unknown;
        }
        if let Some(s) = self.find(job, task, attempt) {
            return match (s.phase, s.why) {
                (TaskPhase::Exited, why) => TaskLiveness::Ended(why.unwrap_or(ExitReason::Error)),
                (phase, _) => TaskLiveness::Present(phase),
            };
        }
        if self.term != our_term {
            // An older term's start may still be on its way.
            return TaskLiveness::Unknown;
        }
        match self.start_of(job, task, attempt) {
            None => TaskLiveness::NotStarted,
            // Sent with an older term of ours, which the agent no longer accepts.
            Some(s) if s.term < self.term => TaskLiveness::NotStarted,
            Some(s) if s.answered && !s.loose && s.answer_to.is_none() => TaskLiveness::Gone,
            Some(_) => TaskLiveness::Unknown,
        }
    }
}
