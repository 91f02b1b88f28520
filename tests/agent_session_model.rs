//! Explores every state of a small model of agent epochs, message numbers, duplicates and a takeover: one agent, one task,
//! two leaders, and the real `Agent` as the leader's view. A task that was given up as gone never runs there again. The
//! removal of any one rule is detected.

use model_checker::{CheckResult, Model, explore};
use std::collections::{BTreeMap, BTreeSet};
use walnuttrestle::protocol::Micros;
use walnuttrestle::protocol::agent_api::{AgentHeartbeat, ExitReason, TaskPhase, TaskStatus};
use walnuttrestle::state::agent::{Agent, StartState, TaskLiveness};

/// Number of heartbeats that the agent sends: they alone make the model large.
const MAX_HEARTBEATS: u64 = 6;
/// More states than the model has.
const MAX_STATES: usize = 2_000_000;
const FIRST_EPOCH: u64 = 1;
const FIRST_TERM: u64 = 1;

/// The attempt on the agent's machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Attempt {
    Running,
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Heartbeat {
    agent_epoch: u64,
    seq: u64,
    /// The highest term that the agent has seen.
    term: u64,
    attempt: Option<Attempt>,
}

/// A start that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SentStart {
    term: u64,
    agent_epoch: u64,
}

/// A start as the leader remembers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct RememberedStart {
    awaits_answer: bool,
    answered: bool,
    /// It may still arrive.
    loose: bool,
    term: u64,
}

/// What the leader knows of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct LeaderView {
    heartbeat: Heartbeat,
    start: Option<RememberedStart>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    agent_epoch: u64,
    seq: u64,
    term: u64,
    attempt: Option<Attempt>,
    /// Heartbeats and starts that were sent; each may arrive at any time, also again.
    heartbeats: BTreeSet<Heartbeat>,
    starts: BTreeSet<SentStart>,
    /// Term of the leader.
    leader: u64,
    view: Option<LeaderView>,
    /// The task has been given up here and may be started elsewhere.
    given_up: bool,
}

/// Steps of the model; what they hold only shows in the output of a failed test.
#[derive(Debug, Clone, Copy)]
#[allow(dead_code)]
enum Step {
    HeartbeatSent,
    HeartbeatReceived(Heartbeat),
    TermShown,
    StartSent,
    StartExecuted { start: SentStart, answered: bool },
    StartTimedOut,
    AttemptEnded,
    NewEpoch,
    Takeover,
    GivenUp,
    Forgotten,
}

/// Rules that the argument rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    /// Epoch and number order an agent's messages.
    MessageOrder,
    /// An agent that has not seen our term proves nothing absent.
    TermSeen,
    /// A start without an answer may arrive late.
    LooseStart,
    /// An attempt that ended is kept until fenced, though its start was answered.
    KeptUntilFenced,
}

struct SessionModel {
    /// The rule that the leader does not follow.
    without: Option<Rule>,
}

fn agent_heartbeat(heartbeat: Heartbeat) -> AgentHeartbeat {
    let status = |attempt| TaskStatus {
        task: "j/0".into(),
        attempt: 1,
        phase: match attempt {
            Attempt::Ended => TaskPhase::Exited,
            Attempt::Running => TaskPhase::Running,
        },
        exit_reason: (attempt == Attempt::Ended).then_some(ExitReason::Stopped),
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

/// The real view after a heartbeat, with the start that is remembered.
fn real_view(view: &LeaderView) -> Agent {
    let heartbeat = agent_heartbeat(view.heartbeat);
    let mut agent = Agent::new(&heartbeat);
    agent.update(&heartbeat, Micros::ZERO);
    if let Some(start) = view.start {
        let start = StartState {
            in_flight: start.awaits_answer,
            acknowledged: start.answered,
            unresolved: start.loose,
            term: start.term,
            sent_with_response_to: None,
        };
        agent.starts.insert(("j".into(), 0, 1), start);
    }
    agent
}

/// Collects the steps from a state.
struct Steps<'a> {
    from: &'a State,
    all: Vec<(Step, State)>,
}

impl Steps<'_> {
    fn add(&mut self, step: Step, change: impl FnOnce(&mut State)) {
        let mut next = self.from.clone();
        change(&mut next);
        self.all.push((step, next));
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

    /// Whether the agent accepts a start.
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
    fn is_without(&self, rule: Rule) -> bool {
        self.without == Some(rule)
    }

    fn liveness(&self, state: &State) -> TaskLiveness {
        let Some(view) = &state.view else {
            return TaskLiveness::Unknown;
        };
        let agent = real_view(view);
        let term = if self.is_without(Rule::TermSeen) {
            agent.term
        } else {
            state.leader
        };
        agent.liveness(term, "j", 0, 1, 1)
    }

    /// The leader receives a heartbeat.
    fn receive(&self, state: &mut State, heartbeat: Heartbeat) {
        let Some(view) = &state.view else {
            state.view = Some(LeaderView {
                heartbeat,
                start: None,
            });
            return;
        };
        let mut agent = real_view(view);
        if self.is_without(Rule::MessageOrder) {
            (agent.agent_epoch, agent.last_seq) = (heartbeat.agent_epoch, 0);
        }
        agent.update(&agent_heartbeat(heartbeat), Micros::ZERO);
        if (agent.agent_epoch, agent.last_seq) == (heartbeat.agent_epoch, heartbeat.seq) {
            let start = agent.starts.values().next().map(|start| RememberedStart {
                awaits_answer: start.in_flight,
                answered: start.acknowledged,
                loose: start.unresolved,
                term: start.term,
            });
            state.view = Some(LeaderView { heartbeat, start });
        }
    }

    /// The start as the leader remembers it after an answer; `accepted`: the agent has executed it.
    fn after_answer(start: RememberedStart, accepted: bool) -> Option<RememberedStart> {
        let answered = accepted || start.answered;
        (answered || start.loose).then_some(RememberedStart {
            awaits_answer: false,
            answered,
            ..start
        })
    }

    fn add_message_steps(&self, steps: &mut Steps) {
        let state = steps.from;
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
        let state = steps.from;
        if state.attempt == Some(Attempt::Running) {
            steps.add(Step::AttemptEnded, |next| {
                next.attempt = Some(Attempt::Ended)
            });
        }
        if state.agent_epoch == FIRST_EPOCH {
            steps.add(Step::NewEpoch, |next| {
                next.agent_epoch += 1;
                next.attempt = None;
            });
        }
        if state.leader == FIRST_TERM {
            steps.add(Step::Takeover, |next| {
                next.leader += 1;
                next.view = None;
            });
        }
    }

    fn add_execution_steps(&self, steps: &mut Steps) {
        let state = steps.from;
        for sent in &state.starts {
            let start = *sent;
            let executed = |answered| Step::StartExecuted { start, answered };
            steps.add(executed(false), |next| next.execute(&start));
            let remembered = state.view.and_then(|view| view.start);
            let is_awaited = remembered.is_some_and(|known| {
                known.awaits_answer && known.term == start.term && start.term == state.leader
            });
            if is_awaited && state.may_send_heartbeat() {
                steps.add(executed(true), |next| {
                    let accepted = next.accepts(&start);
                    next.execute(&start);
                    if let Some(view) = &mut next.view {
                        let known = view.start;
                        view.start = known.and_then(|known| Self::after_answer(known, accepted));
                    }
                    let answer = next.send_heartbeat();
                    self.receive(next, answer);
                });
            }
        }
    }

    fn add_leader_steps(&self, steps: &mut Steps, view: &LeaderView) {
        let state = steps.from;
        let heartbeat = view.heartbeat;
        let liveness = self.liveness(state);
        let knows_term = heartbeat.term == state.leader;
        let is_present_epoch = heartbeat.agent_epoch == state.agent_epoch;
        if !knows_term && state.may_send_heartbeat() && is_present_epoch {
            steps.add(Step::TermShown, |next| {
                next.term = next.term.max(next.leader);
                _ = next.send_heartbeat();
            });
        }
        let awaits_answer = view.start.is_some_and(|start| start.awaits_answer);
        let may_run_nowhere = matches!(liveness, TaskLiveness::NotStarted | TaskLiveness::Unknown);
        if knows_term
            && heartbeat.agent_epoch == FIRST_EPOCH
            && may_run_nowhere
            && !state.given_up
            && !awaits_answer
        {
            steps.add(Step::StartSent, Self::send_start);
        }
        if awaits_answer {
            steps.add(Step::StartTimedOut, |next| self.time_out_start(next));
        }
        // An attempt that no leader has started is given up with its job, or with its gang.
        let is_gone = matches!(
            liveness,
            TaskLiveness::Gone | TaskLiveness::Ended(_) | TaskLiveness::NotStarted
        );
        if !state.given_up && is_gone {
            steps.add(Step::GivenUp, |next| next.given_up = true);
        }
        let has_ended = heartbeat.attempt == Some(Attempt::Ended)
            && state.attempt == Some(Attempt::Ended)
            && knows_term;
        if state.given_up && has_ended && is_present_epoch && !self.is_kept(view) {
            steps.add(Step::Forgotten, |next| next.attempt = None);
        }
    }

    fn send_start(state: &mut State) {
        let term = state.leader;
        state.starts.insert(SentStart {
            term,
            agent_epoch: FIRST_EPOCH,
        });
        if let Some(view) = &mut state.view {
            let earlier = view.start.filter(|start| start.term == term);
            view.start = Some(RememberedStart {
                awaits_answer: true,
                answered: earlier.is_some_and(|start| start.answered),
                loose: earlier.is_some_and(|start| start.loose),
                term,
            });
        }
    }

    fn time_out_start(&self, state: &mut State) {
        let Some(view) = &mut state.view else { return };
        let Some(start) = &mut view.start else { return };
        start.awaits_answer = false;
        start.loose = true;
        if self.is_without(Rule::LooseStart) {
            start.answered = true;
            start.loose = false;
        }
    }

    /// Whether the leader lets the agent keep its ended attempt.
    fn is_kept(&self, view: &LeaderView) -> bool {
        let agent = real_view(view);
        agent.tasks.first().is_none_or(|task| {
            if self.is_without(Rule::KeptUntilFenced) {
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
            leader: FIRST_TERM,
            view: None,
            given_up: false,
        }]
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Steps {
            from: state,
            all: Vec::new(),
        };
        self.add_message_steps(&mut steps);
        self.add_failure_steps(&mut steps);
        self.add_execution_steps(&mut steps);
        if let Some(view) = &state.view {
            self.add_leader_steps(&mut steps, view);
        }
        steps.all
    }

    fn violation(&self, state: &State) -> Option<String> {
        let runs = state.given_up && state.attempt == Some(Attempt::Running);
        runs.then(|| "given up, started elsewhere, and running here".to_string())
    }
}

#[test]
fn task_presumed_gone_never_runs_there_again() {
    let all = explore(&SessionModel { without: None }, MAX_STATES);
    assert!(
        matches!(all, CheckResult::Verified { states, .. } if states > 10_000),
        "{}",
        all.describe()
    );
}

#[test]
fn removing_any_rule_of_the_model_is_detected() {
    let rules = [
        Rule::MessageOrder,
        Rule::TermSeen,
        Rule::LooseStart,
        Rule::KeptUntilFenced,
    ];
    let mut detected = BTreeMap::new();
    for rule in rules {
        let model = SessionModel {
            without: Some(rule),
        };
        let seen = explore(&model, MAX_STATES);
        detected.insert(
            format!("{rule:?}"),
            matches!(seen, CheckResult::Violation { .. }),
        );
    }
    assert!(detected.values().all(|found| *found), "{detected:?}");
}
