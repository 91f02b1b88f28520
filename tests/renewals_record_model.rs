//! Exhaustively explores a small model of delegated lease renewal (docs/safety.md, lines 13, 79 and 80): a leader that has
//! answered an agent once, a follower that takes over the renewals, and a store whose answers may be lost and whose writes
//! may be carried out late. The leader never ends the epoch of an agent that still runs its tasks. Removing any one of the
//! rules produces a violation.

use model_checker::{CheckResult, Model, explore, undetected_removals};
use std::collections::BTreeSet;

/// Duration of a lease in steps of the clock, which all parties share.
const LEASE: u8 = 3;
/// The exploration ends at this time. It determines the size of the state space.
const END: u8 = 12;
/// Maximum version of the record that the exploration reaches.
const MAX_VERSION: u8 = 8;
/// Maximum number of writes that the store may still carry out.
const MAX_OUTSTANDING_WRITES: usize = 2;
/// Upper bound for the exploration; the model has fewer states.
const MAX_STATES: usize = 2_000_000;

/// The follower's record in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Record {
    version: u8,
    names_agent: bool,
}

/// A write of the record, conditional on its present version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Write {
    expected_version: u8,
    names_agent: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Follower {
    /// Version of the record that the follower knows of.
    record_version: u8,
    /// The record names the agent whichever outstanding write is carried out.
    recorded: bool,
    /// When the follower last renewed the lease, if it names the agent for that reason.
    renewed_at: Option<u8>,
    in_flight: Option<Write>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Leader {
    /// The cached record names the agent.
    agent_named: bool,
    read_at: u8,
    epoch_ended: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    /// End of the agent's lease. The agent runs its tasks until then.
    lease_end: u8,
    record: Record,
    /// Writes that the store may still carry out, in flight or given up.
    outstanding: BTreeSet<Write>,
    follower: Follower,
    leader: Leader,
}

/// Steps of the model. The fields are only read through `Debug`, in the output of a failed test.
#[derive(Debug, Clone, Copy)]
#[allow(dead_code)]
enum Step {
    TimePassed,
    HeartbeatToFollower,
    RecordRewritten,
    RenewalExpired,
    WriteExecuted { write: Write, answered: bool },
    WriteTimedOut,
    FollowerRead,
    LeaderRead,
    EpochEnded,
}

/// The rules that keep a renewed lease from being ended; the model can drop each of them.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    /// The leader ends an epoch only by records that it has read since the lease ended by its own answers.
    ReadAfterLeaseEnd,
    /// The follower takes a record with another version for its own write.
    OwnWriteRecognized,
    /// The follower renews the lease only once the record names the agent.
    RecordBeforeRenewal,
    /// The follower names the agent until the lease that it last renewed has expired.
    NamedUntilExpiry,
    /// The follower renews no lease of an agent that an outstanding write omits.
    OutstandingWritesCount,
}

struct RenewalModel {
    /// The rule that the model drops, if any.
    removed_rule: Option<Rule>,
}

impl State {
    fn agent_runs(&self) -> bool {
        self.now < self.lease_end
    }

    fn renew(&mut self) {
        self.lease_end = self.now + LEASE;
        self.follower.renewed_at = Some(self.now);
    }

    fn can_write(&self) -> bool {
        self.follower.in_flight.is_none()
            && self.outstanding.len() < MAX_OUTSTANDING_WRITES
            && self.follower.record_version < MAX_VERSION
    }
}

impl RenewalModel {
    fn holds(&self, rule: Rule) -> bool {
        self.removed_rule != Some(rule)
    }

    fn write_record(&self, state: &mut State, names_agent: bool) {
        let write = Write {
            expected_version: state.follower.record_version,
            names_agent,
        };
        state.follower.in_flight = Some(write);
        state.outstanding.insert(write);
        if self.holds(Rule::OutstandingWritesCount) {
            state.follower.recorded &= names_agent;
        }
    }

    fn after_heartbeat(&self, state: &State) -> Option<State> {
        let mut next = state.clone();
        if state.follower.recorded || !self.holds(Rule::RecordBeforeRenewal) {
            next.renew();
        }
        if !state.follower.recorded {
            if !state.can_write() {
                return None;
            }
            self.write_record(&mut next, true);
        }
        Some(next)
    }

    /// The follower rewrites its record: to show that it is alive, or because the record names an agent whose lease the
    /// follower does not renew.
    fn after_rewrite(&self, state: &State) -> Option<State> {
        let follower = state.follower;
        if !state.can_write() || !(follower.recorded || follower.renewed_at.is_some()) {
            return None;
        }
        let mut next = state.clone();
        self.write_record(&mut next, follower.renewed_at.is_some());
        Some(next)
    }

    fn after_expiry(&self, state: &State) -> Option<State> {
        let renewed_at = state.follower.renewed_at?;
        if state.now < renewed_at + LEASE && self.holds(Rule::NamedUntilExpiry) {
            return None;
        }
        let mut next = state.clone();
        next.follower.renewed_at = None;
        next.follower.recorded = false;
        if state.can_write() {
            self.write_record(&mut next, false);
        }
        Some(next)
    }

    fn after_execution(&self, state: &State, write: Write, answered: bool) -> State {
        let mut next = state.clone();
        next.outstanding.remove(&write);
        let committed = write.expected_version == state.record.version;
        if committed {
            next.record = Record {
                version: state.record.version + 1,
                names_agent: write.names_agent,
            };
        }
        if answered && state.follower.in_flight == Some(write) {
            next.follower.in_flight = None;
            if committed {
                next.follower.record_version = next.record.version;
                next.follower.recorded = write.names_agent;
            }
        }
        next
    }

    fn after_follower_read(&self, state: &State) -> Option<State> {
        if state.follower.in_flight.is_some()
            || state.follower.record_version == state.record.version
        {
            return None;
        }
        let mut next = state.clone();
        next.follower.record_version = state.record.version;
        if self.holds(Rule::OwnWriteRecognized) {
            next.follower.recorded = state.record.names_agent;
            return Some(next);
        }
        next.follower.recorded = false;
        next.follower.renewed_at = None;
        if next.can_write() {
            self.write_record(&mut next, false);
        }
        Some(next)
    }

    fn after_lease_check(&self, state: &State) -> Option<State> {
        let leader = state.leader;
        let read_in_time = leader.read_at >= LEASE || !self.holds(Rule::ReadAfterLeaseEnd);
        if state.now < LEASE || leader.agent_named || !read_in_time || leader.epoch_ended {
            return None;
        }
        let mut next = state.clone();
        next.leader.epoch_ended = true;
        Some(next)
    }
}

impl Model for RenewalModel {
    type State = State;
    type Step = Step;

    fn initial_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            lease_end: LEASE,
            record: Record {
                version: 0,
                names_agent: false,
            },
            outstanding: BTreeSet::new(),
            follower: Follower {
                record_version: 0,
                recorded: false,
                renewed_at: None,
                in_flight: None,
            },
            leader: Leader {
                agent_named: false,
                read_at: 0,
                epoch_ended: false,
            },
        }]
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        if !state.agent_runs() {
            // The epoch is over, so that its end is no violation any more.
            return steps;
        }
        let mut add = |step, next: Option<State>| steps.extend(next.map(|next| (step, next)));
        if state.now < END {
            let mut next = state.clone();
            next.now += 1;
            add(Step::TimePassed, Some(next));
        }
        add(Step::HeartbeatToFollower, self.after_heartbeat(state));
        add(Step::RecordRewritten, self.after_rewrite(state));
        add(Step::RenewalExpired, self.after_expiry(state));
        for write in &state.outstanding {
            for answered in [false, true] {
                let step = Step::WriteExecuted {
                    write: *write,
                    answered,
                };
                add(step, Some(self.after_execution(state, *write, answered)));
            }
        }
        if state.follower.in_flight.is_some() {
            let mut next = state.clone();
            next.follower.in_flight = None;
            add(Step::WriteTimedOut, Some(next));
        }
        add(Step::FollowerRead, self.after_follower_read(state));
        let mut next = state.clone();
        next.leader.agent_named = state.record.names_agent;
        next.leader.read_at = state.now;
        add(Step::LeaderRead, Some(next));
        add(Step::EpochEnded, self.after_lease_check(state));
        steps
    }

    /// A write that can no longer be carried out and is not in flight makes no difference.
    fn canonical(&self, mut state: State) -> State {
        let version = state.record.version;
        let in_flight = state.follower.in_flight;
        state
            .outstanding
            .retain(|write| write.expected_version == version || Some(*write) == in_flight);
        state
    }

    fn violation(&self, state: &State) -> Option<String> {
        let is_violated = state.leader.epoch_ended && state.agent_runs();
        is_violated.then(|| "the leader has ended the epoch, but the agent runs its tasks".into())
    }
}

#[test]
fn renewed_lease_is_never_ended() {
    let result = explore(&RenewalModel { removed_rule: None }, MAX_STATES);
    assert!(
        matches!(result, CheckResult::Verified { states, .. } if states > 10_000),
        "{}",
        result.describe()
    );
}

#[test]
fn removing_any_rule_of_renewals_is_detected() {
    let rules = [
        Rule::ReadAfterLeaseEnd,
        Rule::OwnWriteRecognized,
        Rule::RecordBeforeRenewal,
        Rule::NamedUntilExpiry,
        Rule::OutstandingWritesCount,
    ];
    let undetected = undetected_removals(&rules, MAX_STATES, |rule| RenewalModel {
        removed_rule: Some(rule),
    });
    assert!(undetected.is_empty(), "{undetected:?}");
}
