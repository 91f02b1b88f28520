//! Model of lease renewal without the key-value store, explored exhaustively.
//!
//! Leader A can reach the store some of the time, peer B never, and one agent may be reachable from either. A confirms
//! the cancellation of the agent's job to a client, crashes, restarts, and becomes leader again. B renews the lease
//! under a grant, and crashes. Messages are delayed, lost, or reordered. Each step of the safety argument is also left
//! out, and the exploration must then find a violation.

mod state;

use lease_delegation::Time;
use lease_delegation::lease_grantee::{KnownLeader, LeaseGrantee};
use lease_delegation::lease_grantor::{LeaseBounds, LeaseGrantor};
use lease_delegation::peer_coverage::{AnswerCompleteness, PeerCoverage, PeerResponse};
use lease_delegation::silence_pledges::SilencePledges;
use model_checker::{CheckResult, Model, explore};
use state::{ControllerA, ControllerB, Leadership, RequestOfA, RequestOfB, Response, State};

const LEASE: Time = 2;
const STALENESS_BOUND: Time = 2;
const CANCELLATION_DEADLINE: Time = LEASE + STALENESS_BOUND;
/// Longer than `PLEDGE_RELIANCE`: a pledge must be kept for as long as peers rely on it.
const PLEDGE_DURATION: Time = 3;
const PLEDGE_RELIANCE: Time = 2;
/// A response that arrives later is ignored.
const TIMEOUT: Time = 2;
const START: Time = 10;
const FIRST_TERM: u64 = 1;
const BOUNDS: LeaseBounds = LeaseBounds {
    lease_duration: LEASE + 1,
    expiry_after_grant: CANCELLATION_DEADLINE + 1,
};

/// The step of the safety argument that an exploration leaves out.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Omission {
    Nothing,
    /// The leader considers a lease expired without checking whether a grantee may have renewed it.
    GranteeCheck,
    /// The restart of a grantee is not detected, so it counts as never having used its grant.
    GranteeRestart,
    /// A pledge is not kept.
    Pledge,
    /// A new incarnation does not keep the pledges of its earlier incarnation.
    PledgeOfEarlierIncarnation,
    /// A pledge that arrives after its release counts.
    OvertakenPledge,
    /// A new leader counts waiting times from its claim, although pledges may expire later.
    PledgeBeforeClaim,
    /// Coverage never expires.
    StalenessBound,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Tick,
    ChangeStore,
    CrashA,
    CrashB,
    ReadRecords,
    Claim,
    ConfirmCancellation,
    RenewByB,
    ConsiderExpired,
    BSendsHeartbeat,
    AResponds,
    BReceives,
    ASendsHeartbeat,
    BResponds,
    AReceives,
}

struct DelegationModel {
    omission: Omission,
    end: Time,
    store_changes: u8,
    a_crashes: bool,
    b_crashes: bool,
}

impl DelegationModel {
    fn omits(&self, omission: Omission) -> bool {
        self.omission == omission
    }

    fn tick(&self, mut next: State) -> Option<State> {
        next.now += 1;
        next.expired |= next.now > next.renewed_at + LEASE;
        Some(next)
    }

    fn change_store(&self, mut next: State) -> Option<State> {
        next.store_changes_left = next.store_changes_left.checked_sub(1)?;
        next.a.store_reachable = !next.a.store_reachable;
        Some(next)
    }

    fn crash_a(&self, mut next: State) -> Option<State> {
        if next.a.crashed {
            return None;
        }
        let restarted_at = if self.omits(Omission::PledgeOfEarlierIncarnation) {
            0
        } else {
            next.now
        };
        next.a.crashed = true;
        next.a.incarnation += 1;
        next.a.has_records = false;
        next.a.leadership = None;
        next.a.grantor = LeaseGrantor::default();
        next.a.pledges = SilencePledges::new(1, PLEDGE_DURATION, restarted_at);
        next.request_of_a = None;
        Some(next)
    }

    /// After a crash B cannot read the records again, so it renews no lease afterwards.
    fn crash_b(&self, mut next: State) -> Option<State> {
        if next.b.incarnation != 1 || !self.b_crashes {
            return None;
        }
        next.b.incarnation = 2;
        next.b.grantee = LeaseGrantee::default();
        next.request_of_b = None;
        Some(next)
    }

    fn read_records(&self, mut next: State) -> Option<State> {
        if next.a.has_records || !next.a.store_reachable {
            return None;
        }
        next.a.has_records = true;
        Some(next)
    }

    fn claim(&self, mut next: State) -> Option<State> {
        if !next.a.is_served() || next.a.leadership.is_some() {
            return None;
        }
        next.a.leadership = Some(Leadership {
            since: next.now,
            first_term: false,
        });
        Some(next)
    }

    fn confirm_cancellation(&self, mut next: State) -> Option<State> {
        if !next.a.is_served() || next.a.confirmed_at.is_some() {
            return None;
        }
        let revision = next.a.newest_revision() + 1;
        if !next.a.pledges.may_confirm(revision, next.now) && !self.omits(Omission::Pledge) {
            return None;
        }
        next.a.confirmed_at = Some(next.now);
        Some(next)
    }

    fn renew_by_b(&self, mut next: State) -> Option<State> {
        if next.expired || next.b.incarnation != 1 {
            return None;
        }
        let leader = KnownLeader {
            term: FIRST_TERM,
            incarnation: 1,
            process_ended: next.b.observed_incarnation > 1,
        };
        let covered_until = if self.omits(Omission::StalenessBound) {
            Time::MAX / 2
        } else {
            next.b.coverage.all_covered_until()?
        };
        let grantee = &mut next.b.grantee;
        if !grantee.may_renew(&leader, covered_until, next.now, STALENESS_BOUND) {
            return None;
        }
        grantee.record_use(next.now);
        next.renewed_at = next.now;
        Some(next)
    }

    fn consider_expired(&self, mut next: State) -> Option<State> {
        let now = next.now;
        let a = &mut next.a;
        if a.considers_expired || !a.store_reachable {
            return None;
        }
        let leadership = a.leadership?;
        let expired = if leadership.first_term {
            let lease_end = a.answered_at + BOUNDS.lease_duration;
            let by_grantees = a.grantor.recheck_at(lease_end, now, &BOUNDS).is_none();
            lease_end <= now && (by_grantees || self.omits(Omission::GranteeCheck))
        } else {
            let relied_on_until = if self.omits(Omission::PledgeBeforeClaim) {
                0
            } else {
                a.pledges.relied_on_until()
            };
            leadership.since.max(relied_on_until) + CANCELLATION_DEADLINE <= now
        };
        if !expired {
            return None;
        }
        a.considers_expired = true;
        Some(next)
    }

    fn b_sends_heartbeat(&self, mut next: State) -> Option<State> {
        if next.request_of_b.is_some() || next.b.incarnation != 1 || next.b_last_sent_at >= next.now
        {
            return None;
        }
        next.request_of_b = Some(RequestOfB {
            sent: next.now,
            response: None,
        });
        next.b_last_sent_at = next.now;
        Some(next)
    }

    fn a_responds(&self, mut next: State) -> Option<State> {
        let now = next.now;
        let request = next.request_of_b.as_mut()?;
        if request.response.is_some() {
            return None;
        }
        let a = &mut next.a;
        let newest_revision = a.has_records.then(|| a.newest_revision());
        let pledges_silence = !a.is_served();
        if pledges_silence {
            a.pledges
                .record_pledge(0, newest_revision.unwrap_or(0), now);
        }
        let first_term = a.leadership.is_some_and(|leader| leader.first_term);
        let grants = pledges_silence && first_term;
        if grants {
            a.grantor.record_grant("b", next.b.incarnation, now);
        }
        request.response = Some(Response {
            incarnation: a.incarnation,
            grants,
            pledges_silence,
            newest_revision,
            time_since_use: None,
        });
        Some(next)
    }

    fn b_receives(&self, mut next: State) -> Option<State> {
        let now = next.now;
        let RequestOfB { sent, response } = next.request_of_b.take()?;
        let response = response?;
        let b = &mut next.b;
        let peer_response = PeerResponse {
            // B's cache is complete up to the leadership of the first term.
            completeness: match response.newest_revision {
                None => AnswerCompleteness::RecordsUnread,
                Some(1) => AnswerCompleteness::Complete,
                Some(_) => AnswerCompleteness::Partial,
            },
            pledges_silence: response.pledges_silence,
        };
        b.coverage.on_response(0, peer_response, sent, now);
        let term = response.grants.then_some(FIRST_TERM);
        b.grantee.on_response(term, response.incarnation, sent);
        b.observed_incarnation = response.incarnation;
        if !response.pledges_silence {
            b.coverage.on_pledge_released(0, now);
        }
        Some(next)
    }

    fn a_sends_heartbeat(&self, mut next: State) -> Option<State> {
        if next.request_of_a.is_some() || next.a_last_sent_at >= next.now {
            return None;
        }
        next.a_last_sent_at = next.now;
        next.request_of_a = Some(RequestOfA {
            sent: next.now,
            unserved: !next.a.is_served(),
            response: None,
        });
        Some(next)
    }

    fn b_responds(&self, mut next: State) -> Option<State> {
        let now = next.now;
        let request = next.request_of_a.as_mut()?;
        if request.response.is_some() {
            return None;
        }
        let b = &mut next.b;
        if !request.unserved && self.omits(Omission::OvertakenPledge) {
            // Ends the pledge like a release, but a pledge in flight still counts.
            let released = PeerResponse {
                completeness: AnswerCompleteness::RecordsUnread,
                pledges_silence: false,
            };
            b.coverage.on_response(0, released, 0, now);
        } else if !request.unserved {
            b.coverage.on_pledge_released(0, now);
        }
        request.response = Some(Response {
            incarnation: b.incarnation,
            grants: false,
            pledges_silence: true,
            newest_revision: None,
            time_since_use: b.grantee.time_since_use(now),
        });
        Some(next)
    }

    fn a_receives(&self, mut next: State) -> Option<State> {
        let now = next.now;
        let request = next.request_of_a.take()?;
        let response = request.response?;
        let a = &mut next.a;
        if !request.unserved {
            a.pledges.on_release_acknowledged(0, request.sent, now);
        }
        let incarnation = if self.omits(Omission::GranteeRestart) {
            1
        } else {
            response.incarnation
        };
        let grantor = &mut a.grantor;
        grantor.on_use_report("b", incarnation, request.sent, now, response.time_since_use);
        Some(next)
    }

    fn step(&self, state: &State, step: Step) -> Option<State> {
        let next = state.clone();
        let mut next = match step {
            Step::Tick => self.tick(next),
            Step::ChangeStore => self.change_store(next),
            Step::CrashA => self.crash_a(next),
            Step::CrashB => self.crash_b(next),
            Step::ReadRecords => self.read_records(next),
            Step::Claim => self.claim(next),
            Step::ConfirmCancellation => self.confirm_cancellation(next),
            Step::RenewByB => self.renew_by_b(next),
            Step::ConsiderExpired => self.consider_expired(next),
            Step::BSendsHeartbeat => self.b_sends_heartbeat(next),
            Step::AResponds => self.a_responds(next),
            Step::BReceives => self.b_receives(next),
            Step::ASendsHeartbeat => self.a_sends_heartbeat(next),
            Step::BResponds => self.b_responds(next),
            Step::AReceives => self.a_receives(next),
        }?;
        let now = next.now;
        next.request_of_b = next
            .request_of_b
            .filter(|request| now <= request.sent + TIMEOUT);
        next.request_of_a = next
            .request_of_a
            .filter(|request| now <= request.sent + TIMEOUT);
        Some(next)
    }
}

impl Model for DelegationModel {
    type State = State;
    type Step = Step;

    fn initial_states(&self) -> Vec<State> {
        let a = ControllerA {
            store_reachable: false,
            incarnation: 1,
            has_records: true,
            leadership: Some(Leadership {
                since: 0,
                first_term: true,
            }),
            grantor: LeaseGrantor::default(),
            pledges: SilencePledges::new(1, PLEDGE_DURATION, 0),
            answered_at: START,
            confirmed_at: None,
            crashed: !self.a_crashes,
            considers_expired: false,
        };
        let b = ControllerB {
            incarnation: 1,
            coverage: PeerCoverage::new(1, PLEDGE_RELIANCE),
            grantee: LeaseGrantee::default(),
            observed_incarnation: 1,
        };
        vec![State {
            now: START,
            store_changes_left: self.store_changes,
            a,
            b,
            request_of_b: None,
            request_of_a: None,
            b_last_sent_at: 0,
            a_last_sent_at: 0,
            renewed_at: START,
            expired: false,
        }]
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        if state.now >= self.end || state.expired {
            return Vec::new();
        }
        let steps = [
            Step::Tick,
            Step::ChangeStore,
            Step::CrashA,
            Step::CrashB,
            Step::ReadRecords,
            Step::Claim,
            Step::ConfirmCancellation,
            Step::RenewByB,
            Step::ConsiderExpired,
            Step::BSendsHeartbeat,
            Step::AResponds,
            Step::BReceives,
            Step::ASendsHeartbeat,
            Step::BResponds,
            Step::AReceives,
        ];
        let successor = |step: Step| Some((step, self.step(state, step)?));
        steps.into_iter().filter_map(successor).collect()
    }

    fn violation(&self, state: &State) -> Option<String> {
        if state.expired {
            return None;
        }
        if state.a.considers_expired {
            return Some("A considers a lease expired that has not expired".into());
        }
        let confirmed_at = state.a.confirmed_at;
        let overdue = confirmed_at.is_some_and(|at| state.now > at + CANCELLATION_DEADLINE);
        overdue.then(|| "the task runs after its cancellation deadline".into())
    }
}

fn model(
    omission: Omission,
    ticks: Time,
    store_changes: u8,
    a_crashes: bool,
    b_crashes: bool,
) -> DelegationModel {
    DelegationModel {
        omission,
        end: START + ticks,
        store_changes,
        a_crashes,
        b_crashes,
    }
}

/// Without a crash of A, all states are explored. With a crash there are too many for each test run, so only the first
/// 1,500,000 are explored. 6,000,000 states, with crashes of both controllers and two changes of the store within eight
/// ticks, were explored once (2026-12-01).
#[test]
fn no_task_outlives_its_cancellation_deadline_or_its_lease() {
    for (ticks, store_changes, a_crashes, b_crashes) in [(6, 1, false, true), (8, 1, true, false)] {
        let model = model(
            Omission::Nothing,
            ticks,
            store_changes,
            a_crashes,
            b_crashes,
        );
        let result = explore(&model, 1_500_000);
        println!("{}", result.describe());
        let passed = match result {
            CheckResult::Verified { .. } => true,
            CheckResult::LimitReached { .. } => a_crashes,
            CheckResult::Violation { .. } => false,
        };
        assert!(passed, "{}", result.describe());
    }
}

#[test]
fn every_omission_is_detected() {
    for (omission, store_changes, a_crashes, b_crashes) in [
        (Omission::GranteeCheck, 1, false, false),
        (Omission::GranteeRestart, 1, false, true),
        (Omission::Pledge, 1, true, false),
        (Omission::PledgeOfEarlierIncarnation, 1, true, false),
        (Omission::OvertakenPledge, 1, true, false),
        (Omission::PledgeBeforeClaim, 1, true, false),
        (Omission::StalenessBound, 2, false, false),
    ] {
        let model = model(omission, 9, store_changes, a_crashes, b_crashes);
        let result = explore(&model, 2_000_000);
        assert!(
            matches!(result, CheckResult::Violation { .. }),
            "{omission:?}: {}",
            result.describe()
        );
    }
}
