//! Exhaustively explores a small model of when a lease that a follower has recorded ends (docs/safety.md, line 84): the leader
//! may raise its term, the follower may fail, and the agent's machine may be lost. Whatever happens, the
//! controllers alone bring it about that the epoch of a lost machine ends. Removing any one of the rules produces a violation.

use model_checker::{CheckResult, Model, explore, undetected_removals};

/// How often the leader raises its term for reasons of its own.
const MAX_RAISES: u8 = 2;
/// How often the follower renews the lease for the first time under a term.
const MAX_RECORDINGS: u8 = 2;
/// Upper bound for the exploration; the model has fewer states.
const MAX_STATES: usize = 1_000_000;

/// The follower's record in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    version: u8,
    term: u8,
    names_machine: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Follower {
    running: bool,
    /// The term that it knows.
    term: u8,
    renewing: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Leader {
    term: u8,
    cached: Record,
    /// Term and version of the record from which `defers_end` was derived.
    derived_from: (u8, u8),
    /// The end of the lease is deferred, because a follower renews it.
    defers_end: bool,
    epoch_ended: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    machine_lost: bool,
    record: Record,
    follower: Follower,
    leader: Leader,
    raises_left: u8,
    recordings_left: u8,
}

/// Steps of the model. The fields are only read through `Debug`, in the output of a failed test.
#[derive(Debug, Clone, Copy)]
enum Step {
    MachineLost,
    FollowerFailed,
    FollowerRecorded,
    FollowerCleared,
    FollowerReadTerm,
    TermRaised,
    RenewalsRevoked,
    LeaderRead,
    LeaseChecked,
}

/// The rules that end the wait for a follower; the model can drop each of them.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    /// The leader derives the renewed leases again after its term was raised.
    DerivedAgainUnderNewTerm,
    /// The leader raises its term if a follower that renews leases has failed.
    FailedFollowerRevoked,
    /// The follower clears its record once it renews the lease no longer, under the term of the record.
    RecordCleared,
}

struct TermModel {
    /// The rule that the model drops, if any.
    removed_rule: Option<Rule>,
}

impl State {
    fn write_record(&mut self, names_machine: bool) {
        self.record = Record {
            version: self.record.version + 1,
            term: self.follower.term,
            names_machine,
        };
    }

    /// The store accepts a record of the follower only under the leader's term.
    fn follower_may_write(&self) -> bool {
        self.follower.running && self.follower.term == self.leader.term
    }
}

/// Collects the steps from a state that change it.
struct Steps<'a> {
    state: &'a State,
    next: Vec<(Step, State)>,
}

impl Steps<'_> {
    fn of(state: &State) -> Steps<'_> {
        Steps {
            state,
            next: Vec::new(),
        }
    }

    fn add(&mut self, step: Step, change: impl FnOnce(&mut State)) {
        let mut next = self.state.clone();
        change(&mut next);
        if next != *self.state {
            self.next.push((step, next));
        }
    }
}

impl TermModel {
    fn holds(&self, rule: Rule) -> bool {
        self.removed_rule != Some(rule)
    }

    fn may_clear(&self, state: &State) -> bool {
        self.holds(Rule::RecordCleared)
            && state.follower_may_write()
            && state.machine_lost
            && state.record.names_machine
            && state.record.term == state.leader.term
    }

    fn may_revoke(&self, state: &State) -> bool {
        self.holds(Rule::FailedFollowerRevoked)
            && !state.follower.running
            && state.leader.cached.names_machine
            && state.leader.cached.term == state.leader.term
    }

    /// Derives whether a follower renews the lease, and ends the epoch of a lost machine if none does.
    fn check_lease(&self, leader: &mut Leader, machine_lost: bool) {
        let outdated_record = leader.derived_from.1 != leader.cached.version;
        let outdated_term = leader.derived_from.0 != leader.term;
        if outdated_record || (outdated_term && self.holds(Rule::DerivedAgainUnderNewTerm)) {
            leader.derived_from = (leader.term, leader.cached.version);
            leader.defers_end = leader.cached.names_machine && leader.cached.term == leader.term;
        }
        leader.epoch_ended |= machine_lost && !leader.defers_end;
    }

    /// Steps that may happen or not: nothing may depend on them.
    fn steps_of_environment(state: &State) -> Vec<(Step, State)> {
        let mut steps = Steps::of(state);
        steps.add(Step::MachineLost, |next| next.machine_lost = true);
        steps.add(Step::FollowerFailed, |next| {
            next.follower.running = false;
            next.follower.renewing = false;
        });
        let may_record = state.follower_may_write() && !state.machine_lost;
        if may_record && !state.follower.renewing && state.recordings_left > 0 {
            steps.add(Step::FollowerRecorded, |next| {
                next.recordings_left -= 1;
                next.follower.renewing = true;
                next.write_record(true);
            });
        }
        if state.raises_left > 0 {
            steps.add(Step::TermRaised, |next| {
                next.raises_left -= 1;
                next.leader.term += 1;
            });
        }
        steps.next
    }

    /// Steps that the controllers take sooner or later.
    fn steps_of_controllers(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Steps::of(state);
        if self.may_clear(state) {
            steps.add(Step::FollowerCleared, |next| {
                next.follower.renewing = false;
                next.write_record(false);
            });
        }
        if state.follower.running && state.follower.term != state.leader.term {
            steps.add(Step::FollowerReadTerm, |next| {
                next.follower.term = next.leader.term;
                next.follower.renewing = false;
            });
        }
        if self.may_revoke(state) {
            steps.add(Step::RenewalsRevoked, |next| next.leader.term += 1);
        }
        steps.add(Step::LeaderRead, |next| next.leader.cached = next.record);
        steps.add(Step::LeaseChecked, |next| {
            self.check_lease(&mut next.leader, next.machine_lost)
        });
        steps.next
    }
}

impl Model for TermModel {
    type State = State;
    type Step = Step;

    fn initial_states(&self) -> Vec<State> {
        let record = Record {
            version: 0,
            term: 1,
            names_machine: false,
        };
        vec![State {
            machine_lost: false,
            record,
            follower: Follower {
                running: true,
                term: 1,
                renewing: false,
            },
            leader: Leader {
                term: 1,
                cached: record,
                derived_from: (1, 0),
                defers_end: false,
                epoch_ended: false,
            },
            raises_left: MAX_RAISES,
            recordings_left: MAX_RECORDINGS,
        }]
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Self::steps_of_environment(state);
        steps.extend(self.steps_of_controllers(state));
        steps
    }

    /// A wait is endless if the controllers alone cannot change anything any more.
    fn violation(&self, state: &State) -> Option<String> {
        let waits = state.machine_lost && !state.leader.epoch_ended;
        let is_endless = waits && self.steps_of_controllers(state).is_empty();
        is_endless.then(|| "the epoch of the lost machine never ends".into())
    }
}

#[test]
fn recorded_lease_of_a_lost_machine_always_ends() {
    let result = explore(&TermModel { removed_rule: None }, MAX_STATES);
    assert!(
        matches!(result, CheckResult::Verified { states, .. } if states > 500),
        "{}",
        result.describe()
    );
}

#[test]
fn removing_any_rule_that_ends_the_wait_is_detected() {
    let rules = [
        Rule::DerivedAgainUnderNewTerm,
        Rule::FailedFollowerRevoked,
        Rule::RecordCleared,
    ];
    let undetected = undetected_removals(&rules, MAX_STATES, |rule| TermModel {
        removed_rule: Some(rule),
    });
    assert!(undetected.is_empty(), "{undetected:?}");
}
