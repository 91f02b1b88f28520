//! Exhaustively explores a small model of agent epochs, sequence numbers, duplicate messages and a leader takeover: one
//! agent, one task and two successive leaders, with the real `Agent` as the leader's view. A task that the leader has given
//! up on this agent never runs on it again. Removing any one of the rules produces a violation.

use model_checker::{CheckResult, Model, explore, undetected_removals};
use std::collections::BTreeSet;
use walnuttrestle::protocol::Micros;
use walnuttrestle::protocol::agent_api::{AgentHeartbeat, ExitReason, TaskPhase, TaskStatus};
use walnuttrestle::state::agent::{Agent, StartState, TaskLiveness};

/// Maximum number of heartbeats that the agent sends. It determines the size of the state space.
const MAX_HEARTBEATS: u64 = 6;
/// Upper bound for the exploration; the model has fewer states.
const MAX_STATES: usize = 2_000_000;
const FIRST_EPOCH: u64 = 1;
const FIRST_TERM: u64 = 1;

/// State of the task attempt on the agent's machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Attempt {
    Running,
    Stopped,
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Heartbeat {
    agent_epoch: u64,
    seq: u64,
    /// The highest term that the agent has seen.
    term: u64,
    attempt: Option<Attempt>,
}

/// A start command that a leader has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SentStart {
    term: u64,
    agent_epoch: u64,
}

/// The leader's record of a start command that it has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct TrackedStart {
    in_flight: bool,
    acknowledged: bool,
    /// The command may still reach the agent.
    unresolved: bool,
    term: u64,
}

/// The leader's view of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct LeaderView {
    heartbeat: Heartbeat,
    start: Option<TrackedStart>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    agent_epoch: u64,
    seq: u64,
    term: u64,
    attempt: Option<Attempt>,
    /// All heartbeats and starts sent so far. Each may be delivered at any time, and more than once.
    heartbeats: BTreeSet<Heartbeat>,
    starts: BTreeSet<SentStart>,
    /// Term of the current leader.
    leader_term: u64,
    view: Option<LeaderView>,
    /// The leader has given up the task on this agent and may start it on another machine.
    given_up: bool,
}

/// Steps of the model. The fields are only read through `Debug`, in the output of a failed test.
#[derive(Debug, Clone, Copy)]
#[allow(dead_code)]
enum Step {
    HeartbeatSent,
    HeartbeatReceived(Heartbeat),
    TermAnnounced,
    StartSent,
    StartExecuted { start: SentStart, answered: bool },
    StartTimedOut,
    AttemptEnded(Attempt),
    NewEpoch,
    Takeover,
    TaskGivenUp,
    AttemptForgotten,
}

/// The rules that keep a given-up task from running; the model can drop each of them.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    /// An agent's messages are ordered by epoch and sequence number; older ones are ignored.
    MessageOrder,
    /// A task that is missing from a heartbeat counts as absent only if the agent has seen the leader's term.
    TermSeen,
    /// A start that was not answered may still arrive later.
    UnresolvedStart,
    /// The agent retains an ended attempt until a higher term fences it, even if its start was answered.
    RetainedUntilFenced,
}

struct SessionModel {
    /// The rule that the model drops, if any.
    removed_rule: Option<Rule>,
}

fn agent_heartbeat(heartbeat: Heartbeat) -> AgentHeartbeat {
    let status = |attempt| TaskStatus {
        task: "j/0".into(),
        attempt: 1,
        phase: match attempt {
            Attempt::Running => TaskPhase::Running,
            Attempt::Stopped | Attempt::Done => TaskPhase::Exited,
        },
        exit_reason: match attempt {
            Attempt::Running => None,
            Attempt::Stopped => Some(ExitReason::Stopped),
            Attempt::Done => Some(ExitReason::Done),
        },
        saved: None,
    };
    AgentHeartbeat {
        machine: "n-1".into(),
        address: "127.0.0.1:9".into(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: heartbeat.agent_epoch,
        seq: heartbeat.seq,
        term: heartbeat.term,
        notice_s: None,
        tasks: heartbeat.attempt.into_iter().map(status).collect(),
    }
}

/// Builds the real `Agent` from a view: its last heartbeat and the tracked start.
fn agent_from_view(view: &LeaderView) -> Agent {
    let heartbeat = agent_heartbeat(view.heartbeat);
    let mut agent = Agent::new(&heartbeat);
    agent.update(&heartbeat, Micros::ZERO);
    if let Some(start) = view.start {
        let start = StartState {
            in_flight: start.in_flight,
            acknowledged: start.acknowledged,
            unresolved: start.unresolved,
            term: start.term,
            sent_with_response_to: None,
        };
        agent.starts.insert(("j".into(), 0, 1), start);
    }
    agent
}

/// Collects the possible steps from a state.
struct Steps<'a> {
    state: &'a State,
    next: Vec<(Step, State)>,
}

impl Steps<'_> {
    fn add(&mut self, step: Step, change: impl FnOnce(&mut State)) {
        let mut next = self.state.clone();
        change(&mut next);
        self.next.push((step, next));
    }
}

impl State {
    fn send_heartbeat(&mut self) -> Heartbeat {
        self.seq += 1;
        let heartbeat = Heartbeat {
            agent_epoch: self.agent_epoch,
            seq: self.seq,
            term: self.term,
            attempt: self.attempt,
        };
        self.heartbeats.insert(heartbeat);
        heartbeat
    }

    fn may_send_heartbeat(&self) -> bool {
        self.seq < MAX_HEARTBEATS
    }

    fn accepts(&self, start: &SentStart) -> bool {
        start.term >= self.term && start.agent_epoch == self.agent_epoch
    }

    fn execute(&mut self, start: &SentStart) {
        if self.accepts(start) {
            self.term = start.term;
            self.attempt = self.attempt.or(Some(Attempt::Running));
        }
    }
}

impl SessionModel {
    fn is_removed(&self, rule: Rule) -> bool {
        self.removed_rule == Some(rule)
    }

    fn liveness(&self, state: &State) -> TaskLiveness {
        let Some(view) = &state.view else {
            return TaskLiveness::Unknown;
        };
        let agent = agent_from_view(view);
        let term = if self.is_removed(Rule::TermSeen) {
            agent.term
        } else {
            state.leader_term
        };
        agent.liveness(term, "j", 0, 1, 1)
    }

    /// Applies a heartbeat to the leader's view.
    fn receive(&self, state: &mut State, heartbeat: Heartbeat) {
        let Some(view) = &state.view else {
            state.view = Some(LeaderView {
                heartbeat,
                start: None,
            });
            return;
        };
        let mut agent = agent_from_view(view);
        if self.is_removed(Rule::MessageOrder) {
            (agent.agent_epoch, agent.last_seq) = (heartbeat.agent_epoch, 0);
        }
        agent.update(&agent_heartbeat(heartbeat), Micros::ZERO);
        if (agent.agent_epoch, agent.last_seq) == (heartbeat.agent_epoch, heartbeat.seq) {
            let start = agent.starts.values().next().map(|start| TrackedStart {
                in_flight: start.in_flight,
                acknowledged: start.acknowledged,
                unresolved: start.unresolved,
                term: start.term,
            });
            state.view = Some(LeaderView { heartbeat, start });
        }
    }

    /// The leader's record of a start after the agent's answer; `accepted` means that the agent has executed it.
    fn after_answer(start: TrackedStart, accepted: bool) -> Option<TrackedStart> {
        let acknowledged = accepted || start.acknowledged;
        (acknowledged || start.unresolved).then_some(TrackedStart {
            in_flight: false,
            acknowledged,
            ..start
        })
    }

    fn add_message_steps(&self, steps: &mut Steps) {
        let state = steps.state;
        if state.may_send_heartbeat() {
            steps.add(Step::HeartbeatSent, |next| _ = next.send_heartbeat());
        }
        for heartbeat in &state.heartbeats {
            steps.add(Step::HeartbeatReceived(*heartbeat), |next| {
                self.receive(next, *heartbeat)
            });
        }
    }

    fn add_failure_steps(&self, steps: &mut Steps) {
        let state = steps.state;
        if state.attempt == Some(Attempt::Running) {
            for ended in [Attempt::Stopped, Attempt::Done] {
                steps.add(Step::AttemptEnded(ended), |next| next.attempt = Some(ended));
            }
        }
        if state.agent_epoch == FIRST_EPOCH {
            steps.add(Step::NewEpoch, |next| {
                next.agent_epoch += 1;
                next.attempt = None;
            });
        }
        if state.leader_term == FIRST_TERM {
            steps.add(Step::Takeover, |next| {
                next.leader_term += 1;
                next.view = None;
            });
        }
    }

    fn add_execution_steps(&self, steps: &mut Steps) {
        let state = steps.state;
        for sent in &state.starts {
            let start = *sent;
            let executed = |answered| Step::StartExecuted { start, answered };
            steps.add(executed(false), |next| next.execute(&start));
            let tracked = state.view.and_then(|view| view.start);
            let is_in_flight = tracked.is_some_and(|tracked| {
                tracked.in_flight && tracked.term == start.term && start.term == state.leader_term
            });
            if is_in_flight && state.may_send_heartbeat() {
                steps.add(executed(true), |next| {
                    let accepted = next.accepts(&start);
                    next.execute(&start);
                    if let Some(view) = &mut next.view {
                        let tracked = view.start;
                        view.start =
                            tracked.and_then(|tracked| Self::after_answer(tracked, accepted));
                    }
                    let answer = next.send_heartbeat();
                    self.receive(next, answer);
                });
            }
        }
    }

    fn add_leader_steps(&self, steps: &mut Steps, view: &LeaderView) {
        let state = steps.state;
        let heartbeat = view.heartbeat;
        let liveness = self.liveness(state);
        let has_current_term = heartbeat.term == state.leader_term;
        let is_current_epoch = heartbeat.agent_epoch == state.agent_epoch;
        if !has_current_term && state.may_send_heartbeat() && is_current_epoch {
            steps.add(Step::TermAnnounced, |next| {
                next.term = next.term.max(next.leader_term);
                _ = next.send_heartbeat();
            });
        }
        let in_flight = view.start.is_some_and(|start| start.in_flight);
        let may_be_started = matches!(liveness, TaskLiveness::NotStarted | TaskLiveness::Unknown);
        if has_current_term
            && heartbeat.agent_epoch == FIRST_EPOCH
            && may_be_started
            && !state.given_up
            && !in_flight
        {
            steps.add(Step::StartSent, Self::send_start);
        }
        if in_flight {
            steps.add(Step::StartTimedOut, |next| self.time_out_start(next));
        }
        // An attempt that was never started can be given up, too, when its job or its gang is.
        let is_gone = matches!(
            liveness,
            TaskLiveness::Gone | TaskLiveness::Ended(_) | TaskLiveness::NotStarted
        );
        if !state.given_up && is_gone {
            steps.add(Step::TaskGivenUp, |next| next.given_up = true);
        }
        let has_ended = heartbeat.attempt == state.attempt
            && matches!(state.attempt, Some(Attempt::Stopped | Attempt::Done))
            && has_current_term;
        if state.given_up && has_ended && is_current_epoch && !self.retains_ended_attempt(view) {
            steps.add(Step::AttemptForgotten, |next| next.attempt = None);
        }
    }

    fn send_start(state: &mut State) {
        let term = state.leader_term;
        state.starts.insert(SentStart {
            term,
            agent_epoch: FIRST_EPOCH,
        });
        if let Some(view) = &mut state.view {
            let earlier = view.start.filter(|start| start.term == term);
            view.start = Some(TrackedStart {
                in_flight: true,
                acknowledged: earlier.is_some_and(|start| start.acknowledged),
                unresolved: earlier.is_some_and(|start| start.unresolved),
                term,
            });
        }
    }

    fn time_out_start(&self, state: &mut State) {
        let Some(view) = &mut state.view else { return };
        let Some(start) = &mut view.start else { return };
        start.in_flight = false;
        start.unresolved = true;
        if self.is_removed(Rule::UnresolvedStart) {
            start.acknowledged = true;
            start.unresolved = false;
        }
    }

    /// Whether the leader makes the agent retain its ended attempt.
    fn retains_ended_attempt(&self, view: &LeaderView) -> bool {
        let agent = agent_from_view(view);
        agent.tasks.first().is_none_or(|task| {
            if self.is_removed(Rule::RetainedUntilFenced) {
                agent.has_unresolved_start(&task.job, task.task, task.attempt)
            } else {
                agent.may_start_again(task)
            }
        })
    }
}

impl Model for SessionModel {
    type State = State;
    type Step = Step;

    fn initial_states(&self) -> Vec<State> {
        vec![State {
            agent_epoch: FIRST_EPOCH,
            seq: 0,
            term: FIRST_TERM,
            attempt: None,
            heartbeats: BTreeSet::new(),
            starts: BTreeSet::new(),
            leader_term: FIRST_TERM,
            view: None,
            given_up: false,
        }]
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Steps {
            state,
            next: Vec::new(),
        };
        self.add_message_steps(&mut steps);
        self.add_failure_steps(&mut steps);
        self.add_execution_steps(&mut steps);
        if let Some(view) = &state.view {
            self.add_leader_steps(&mut steps, view);
        }
        steps.next
    }

    fn violation(&self, state: &State) -> Option<String> {
        let is_violated = state.given_up && state.attempt == Some(Attempt::Running);
        is_violated.then(|| "the task was given up on this agent but runs on it".to_string())
    }
}

#[test]
fn given_up_task_never_runs_again_on_its_machine() {
    let result = explore(&SessionModel { removed_rule: None }, MAX_STATES);
    assert!(
        matches!(result, CheckResult::Verified { states, .. } if states > 10_000),
        "{}",
        result.describe()
    );
}

#[test]
fn removing_any_rule_of_the_model_is_detected() {
    let rules = [
        Rule::MessageOrder,
        Rule::TermSeen,
        Rule::UnresolvedStart,
        Rule::RetainedUntilFenced,
    ];
    let undetected = undetected_removals(&rules, MAX_STATES, |rule| SessionModel {
        removed_rule: Some(rule),
    });
    assert!(undetected.is_empty(), "{undetected:?}");
}
