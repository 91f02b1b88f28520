//! Explores every state of a small model of agent epochs, message numbers, duplicates and a takeover: one agent, one task,
//! two leaders, and the real `Agent` as the leader's view. A task that was given up as gone never runs there again. The
//! removal of any one rule is detected.

use model_checker::{Model, Seen, explore};
use std::collections::{BTreeMap, BTreeSet};
use walnuttrestle::protocol::Micros;
use walnuttrestle::protocol::agent_api::{AgentHeartbeat, ExitReason, TaskPhase, TaskStatus};
use walnuttrestle::state::agent::{Agent, DirectStart, TaskLiveness};

/// Number of heartbeats that the agent sends: they alone make the model large.
const MOST: u64 = 6;

/// A heartbeat: epoch, number, highest term, and the attempt if it is present (true: it has ended).
type Said = (u64, u64, u64, Option<bool>);

/// A start that was sent: its term and epoch.
type Sent = (u64, u64);

/// A start as the leader remembers it: awaits an answer, answered, loose (may still arrive), and its term.
type JobLookup = (bool, bool, bool, u64);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    agent_epoch: u64,
    seq: u64,
    term: u64,
    task: Option<bool>,
    /// All that was ever said or sent may come (again) at any time.
    said: BTreeSet<Said>,
    sent: BTreeSet<Sent>,
    leader: u64,
    view: Option<(Said, Option<JobLookup>)>,
    /// The attempt is on record there, or has been given up and is started elsewhere.
    given_up: bool,
}

#[derive(Debug, Clone, Copy)]
#[allow(dead_code)]
enum Step {
    Reports,
    Hears(Said),
    ShowsTerm,
    Starts,
    CarriesOut(Sent, bool),
    NoAnswer,
    Ends,
    NewSession,
    Takeover,
    GivesUp,
    Forgets,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Line {
    /// (session, tally) orders what an agent sends.
    Order,
    /// An agent that has not shown our term proves nothing absent.
    Term,
    /// A start without an answer may come late.
    Loose,
    /// An attempt that ended is kept until fenced, though its start was answered.
    Kept,
}

struct Small {
    without: Option<Line>,
    /// How much the agent says.
    most: u64,
}

fn report((agent_epoch, seq, term, task): Said) -> AgentHeartbeat {
    let tasks = task.map(|ended| TaskStatus {
        task: "j/0".into(),
        attempt: 1,
        phase: if ended {
            TaskPhase::Exited
        } else {
            TaskPhase::Running
        },
        why: ended.then_some(ExitReason::Stopped),
        saved: None,
    });
    AgentHeartbeat {
        machine: "n-1".into(),
        address: "127.0.0.1:9".into(),
        kind: "box".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch,
        seq,
        term,
        notice_s: None,
        tasks: tasks.into_iter().collect(),
    }
}

/// The real view after a heartbeat, with the start that is remembered.
fn agent((said, known): &(Said, Option<JobLookup>)) -> Agent {
    let r = report(*said);
    let mut w = Agent::new(&r);
    w.update(&r, Micros::ZERO);
    if let Some((direct, answered, loose, term)) = *known {
        let start = DirectStart {
            direct,
            answered,
            loose,
            term,
            answer_to: None,
        };
        w.starts.insert(("j".into(), 0, 1), start);
    }
    w
}

impl Small {
    fn without(&self, line: Line) -> bool {
        self.without == Some(line)
    }

    fn standing(&self, s: &State) -> TaskLiveness {
        let Some(view) = &s.view else {
            return TaskLiveness::Unknown;
        };
        let w = agent(view);
        let ours = if self.without(Line::Term) {
            w.term
        } else {
            s.leader
        };
        w.standing(ours, "j", 0, 1, 1)
    }

    /// The leader takes in what was said.
    fn hears(&self, s: &mut State, said: Said) {
        let Some(view) = &s.view else {
            s.view = Some((said, None));
            return;
        };
        let mut w = agent(view);
        if self.without(Line::Order) {
            (w.agent_epoch, w.seq) = (said.0, 0);
        }
        w.update(&report(said), Micros::ZERO);
        if (w.agent_epoch, w.seq) == (said.0, said.1) {
            let known = w.starts.values().next();
            let known = known.map(|k| (k.direct, k.answered, k.loose, k.term));
            s.view = Some((said, known));
        }
    }

    fn say(&self, s: &mut State) -> Said {
        s.seq += 1;
        let said = (s.agent_epoch, s.seq, s.term, s.task);
        s.said.insert(said);
        said
    }
}

impl Model for Small {
    type State = State;
    type Step = Step;

    fn start(&self) -> Vec<State> {
        vec![State {
            agent_epoch: 1,
            seq: 0,
            term: 1,
            task: None,
            said: BTreeSet::new(),
            sent: BTreeSet::new(),
            leader: 1,
            view: None,
            given_up: false,
        }]
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        let mut all = Vec::new();
        let mut add = |step: Step, change: &dyn Fn(&mut State)| {
            let mut next = s.clone();
            change(&mut next);
            all.push((step, next));
        };
        let may_say = s.seq < self.most;
        if may_say {
            add(Step::Reports, &|n| _ = self.say(n));
        }
        for said in &s.said {
            add(Step::Hears(*said), &|n| self.hears(n, *said));
        }
        if s.task == Some(false) {
            add(Step::Ends, &|n| n.task = Some(true));
        }
        if s.agent_epoch == 1 {
            add(Step::NewSession, &|n| (n.agent_epoch, n.task) = (2, None));
        }
        if s.leader == 1 {
            add(Step::Takeover, &|n| (n.leader, n.view) = (2, None));
        }
        for sent in &s.sent {
            let taken = sent.0 >= s.term && sent.1 == s.agent_epoch;
            let carry = |n: &mut State| {
                if taken {
                    n.term = sent.0;
                    n.task = n.task.or(Some(false));
                }
            };
            add(Step::CarriesOut(*sent, false), &carry);
            let awaited = |k: &JobLookup| k.0 && k.3 == sent.0 && sent.0 == s.leader;
            let known = s.view.as_ref().and_then(|v| v.1);
            if known.as_ref().is_some_and(awaited) && may_say {
                add(Step::CarriesOut(*sent, true), &|n| {
                    carry(n);
                    if let Some((_, known)) = &mut n.view {
                        *known = match (*known, taken) {
                            (Some((_, _, loose, t)), true) => Some((false, true, loose, t)),
                            (Some((_, true, loose, t)), _) => Some((false, true, loose, t)),
                            (Some((_, _, true, t)), _) => Some((false, false, true, t)),
                            _ => None,
                        };
                    }
                    let said = self.say(n);
                    self.hears(n, said);
                });
            }
        }
        let Some(view) = &s.view else {
            return all;
        };
        let (said, known) = view;
        let standing = self.standing(s);
        if said.2 != s.leader && may_say && said.0 == s.agent_epoch {
            add(Step::ShowsTerm, &|n| {
                n.term = n.term.max(n.leader);
                _ = self.say(n);
            });
        }
        let waits = known.is_some_and(|k| k.0);
        let unsure = matches!(standing, TaskLiveness::NotStarted | TaskLiveness::Unknown);
        if said.2 == s.leader && said.0 == 1 && unsure && !s.given_up && !waits {
            add(Step::Starts, &|n| {
                n.sent.insert((n.leader, 1));
                if let Some((_, known)) = &mut n.view {
                    let before = known.filter(|k| k.3 == n.leader);
                    let (answered, loose) = before.map_or((false, false), |k| (k.1, k.2));
                    *known = Some((true, answered, loose, n.leader));
                }
            });
        }
        if waits {
            add(Step::NoAnswer, &|n| {
                if let Some((_, Some(k))) = &mut n.view {
                    (k.0, k.2) = (false, true);
                    if self.without(Line::Loose) {
                        (k.1, k.2) = (true, false);
                    }
                }
            });
        }
        // An attempt that no leader has started is given up with its job, or with its gang.
        let gone = matches!(
            standing,
            TaskLiveness::Gone | TaskLiveness::Ended(_) | TaskLiveness::NotStarted
        );
        if !s.given_up && gone {
            add(Step::GivesUp, &|n| n.given_up = true);
        }
        let w = agent(view);
        let kept = w.tasks.first().is_none_or(|t| {
            let loose = w.has_loose(&t.job, t.task, t.attempt);
            match self.without(Line::Kept) {
                true => loose,
                false => w.may_start_again(t),
            }
        });
        let ended = said.3 == Some(true) && s.task == Some(true) && said.2 == s.leader;
        if s.given_up && ended && said.0 == s.agent_epoch && !kept {
            add(Step::Forgets, &|n| n.task = None);
        }
        all
    }

    fn broken(&self, s: &State) -> Option<String> {
        let runs = s.given_up && s.task == Some(false);
        runs.then(|| "given up, started elsewhere, and running here".to_string())
    }
}

#[test]
fn task_presumed_gone_never_runs_there_again() {
    let all = explore(
        &Small {
            without: None,
            most: MOST,
        },
        2_000_000,
    );
    assert!(
        matches!(all, Seen::All { states, .. } if states > 10_000),
        "{}",
        all.story()
    );
}

#[test]
fn removing_any_rule_of_the_model_is_detected() {
    let mut stories = BTreeMap::new();
    for line in [Line::Order, Line::Term, Line::Loose, Line::Kept] {
        let small = Small {
            without: Some(line),
            most: MOST,
        };
        let seen = explore(&small, 2_000_000);
        stories.insert(format!("{line:?}"), matches!(seen, Seen::Broken { .. }));
    }
    assert!(stories.values().all(|missed| *missed), "{stories:?}");
}
