//! Model of the exchange of cancellations, explored exhaustively.
//!
//! The store does not serve controller L, which renews the lease of one agent with tasks of two jobs. Controller F
//! confirms cancellations to clients, and controller T forwards them to L. F and T may read the records at any time, or
//! never again. F crashes and restarts. Reports to L are delayed, lost or duplicated, and carry one job each. Each step
//! of the safety argument is also left out, and the exploration must then find a violation.

use lease_delegation::Time;
use lease_delegation::cancellations::{CancellationLog, LogBatch, ReportedCancellations};
use lease_delegation::peer_coverage::{AnswerCompleteness, PeerCoverage, PeerResponse};
use model_checker::{CheckResult, Model, explore};

const LEASE: Time = 2;
const STALENESS_BOUND: Time = 1;
const CANCELLATION_DEADLINE: Time = LEASE + STALENESS_BOUND;
const TIMEOUT: Time = 1;
const START: Time = 10;
/// Indices of the peers of L. The only peer of T is F.
const F: usize = 0;
const T: usize = 1;

/// The step of the safety argument that an exploration leaves out.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Omission {
    Nothing,
    /// A reported cancellation stops no task.
    StopTask,
    /// A batch counts as the whole log although the log has more entries.
    HasMore,
    /// The log of another incarnation counts as the same log.
    IncarnationCheck,
    /// T does not forward a reported cancellation.
    Forwarding,
    /// T's coverage of F counts although T has not yet reported its whole log.
    CompleteReport,
    /// A controller that has not read the records since it started counts as complete.
    RecordsRead,
    /// Coverage never expires.
    StalenessBound,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Response {
    incarnation: u64,
    has_records: bool,
    batch: LogBatch,
    /// Age of the sender's coverage of F.
    coverage_age_of_f: Time,
}

/// A response in flight, to a request sent at `sent`. Requests are answered at once: a later answer would report more,
/// but its coverage would still count from the time of the request.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Message {
    sent: Time,
    response: Response,
}

/// F or T.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Peer {
    incarnation: u64,
    /// Number of recorded cancellations in its cache; `None` if it has not read the records since it started.
    cached: Option<u64>,
    log: CancellationLog,
    reported: ReportedCancellations,
    /// T's coverage of F, from the records or from F's reports.
    coverage: PeerCoverage,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    now: Time,
    /// Number of recorded cancellations; the first is of job 0, the second of job 1.
    recorded: u64,
    /// Per job: when its cancellation was confirmed to the client.
    confirmed_at: [Option<Time>; 2],
    f: Peer,
    t: Peer,
    f_crashed: bool,
    /// Cancellations reported to L.
    reported: ReportedCancellations,
    /// Coverage of F and T by L.
    coverage: PeerCoverage,
    /// The message in flight to L, and its sender. One message at a time is enough, because reports of one peer do not
    /// affect the coverage of the other. Messages from F to T arrive at once.
    in_flight: Option<(usize, Message)>,
    /// When the agent's lease was last renewed.
    renewed_at: Time,
    /// Per job: whether its task runs at the agent.
    running: [bool; 2],
}

/// A connection over which one controller requests cancellations from another.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Link {
    /// L sends requests to F.
    LToF,
    /// L sends requests to T.
    LToT,
    /// T sends requests to F.
    TToF,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Tick,
    Confirm,
    CrashF,
    ReadF,
    ReadT,
    Renew,
    Request(Link),
    Receive,
    /// The message is received, and will arrive once more.
    ReceiveDuplicate,
}

/// The peers that L can reach.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Reachable {
    /// F alone; L covers T during the whole exploration.
    F,
    /// T alone.
    T,
    Both,
}

struct CancellationModel {
    omission: Omission,
    end: Time,
    crashes: bool,
    reachable: Reachable,
}

fn job_name(job: u64) -> String {
    ["a", "b"][job as usize].to_string()
}

impl Peer {
    fn new(incarnation: u64, cached: Option<u64>) -> Peer {
        Peer {
            incarnation,
            cached,
            log: CancellationLog::default(),
            reported: ReportedCancellations::new(1),
            coverage: PeerCoverage::new(1, 0),
        }
    }

    /// Reads all records, the newest first, since a listing does not return them in order of time. `covers_f_at` is the
    /// current time if this is T, whose coverage of F is extended.
    fn read(&mut self, recorded: u64, covers_f_at: Option<Time>) {
        for job in (self.cached.unwrap_or(0)..recorded).rev() {
            self.log.append(&job_name(job), job + 1);
        }
        self.cached = Some(recorded);
        if let Some(now) = covers_f_at {
            self.coverage.extend(0, now);
        }
    }
}

impl CancellationModel {
    fn omits(&self, omission: Omission) -> bool {
        self.omission == omission
    }

    /// Handles a response at the requesting side of a link.
    fn receive(&self, next: &mut State, link: Link, message: &Message) {
        let now = next.now;
        let response = &message.response;
        let incarnation = if self.omits(Omission::IncarnationCheck) {
            1
        } else {
            response.incarnation
        };
        let (reported, coverage, sender) = match link {
            Link::LToF => (&mut next.reported, &mut next.coverage, F),
            Link::LToT => (&mut next.reported, &mut next.coverage, T),
            Link::TToF => (&mut next.t.reported, &mut next.t.coverage, 0),
        };
        let applied = reported.apply(sender, incarnation, &response.batch, 0);
        if link == Link::TToF && !self.omits(Omission::Forwarding) {
            for (job, version) in &applied.new_jobs {
                next.t.log.append(job, *version);
            }
        }
        let log_complete = applied.log_complete || self.omits(Omission::HasMore);
        let completeness = if !response.has_records && !self.omits(Omission::RecordsRead) {
            AnswerCompleteness::RecordsUnread
        } else if log_complete {
            AnswerCompleteness::Complete
        } else {
            AnswerCompleteness::Partial
        };
        let peer_response = PeerResponse {
            completeness,
            pledges_silence: false,
        };
        coverage.on_response(sender, peer_response, message.sent, now);
        let complete =
            completeness == AnswerCompleteness::Complete || self.omits(Omission::CompleteReport);
        if link == Link::LToT && complete {
            let covered_until = message.sent.saturating_sub(response.coverage_age_of_f);
            next.coverage.extend(F, covered_until);
        }
    }

    /// F confirms the next cancellation to its client.
    fn confirm(&self, state: &State) -> Option<State> {
        if state.f.cached != Some(state.recorded) || state.recorded == 2 {
            return None;
        }
        let mut next = state.clone();
        next.recorded += 1;
        next.f.read(next.recorded, None);
        next.confirmed_at[state.recorded as usize] = Some(state.now);
        Some(next)
    }

    fn crash_f(&self, state: &State) -> Option<State> {
        if !self.crashes || state.f_crashed {
            return None;
        }
        let mut next = state.clone();
        next.f_crashed = true;
        next.f = Peer::new(2, None);
        Some(next)
    }

    fn read_f(&self, state: &State) -> Option<State> {
        if state.f.cached == Some(state.recorded) {
            return None;
        }
        let mut next = state.clone();
        next.f.read(state.recorded, None);
        Some(next)
    }

    fn read_t(&self, state: &State) -> Option<State> {
        if self.reachable == Reachable::F || state.t.cached == Some(state.recorded) {
            return None;
        }
        let mut next = state.clone();
        next.t.read(state.recorded, Some(state.now));
        Some(next)
    }

    /// L renews the agent's lease and stops the tasks whose cancellation was reported.
    fn renew(&self, state: &State) -> Option<State> {
        let covered_until = if self.omits(Omission::StalenessBound) {
            Time::MAX / 2
        } else {
            state.coverage.all_covered_until()?
        };
        if state.renewed_at >= state.now || state.now >= covered_until + STALENESS_BOUND {
            return None;
        }
        let mut next = state.clone();
        next.renewed_at = state.now;
        for job in 0..2 {
            let stop = state.reported.contains(&job_name(job as u64));
            next.running[job] &= !stop || self.omits(Omission::StopTask);
        }
        Some(next)
    }

    fn request(&self, state: &State, link: Link) -> Option<State> {
        let from_l = link != Link::TToF;
        if from_l && state.in_flight.is_some() {
            return None;
        }
        let (sender, cursor, complete) = match link {
            Link::LToF if self.reachable == Reachable::T => return None,
            Link::LToT | Link::TToF if self.reachable == Reachable::F => return None,
            Link::LToF => (&state.f, state.reported.cursor(F), 0),
            Link::LToT => (&state.t, state.reported.cursor(T), 0),
            Link::TToF => (&state.f, state.t.reported.cursor(0), state.t.cached?),
        };
        let same_incarnation =
            cursor.incarnation == sender.incarnation || self.omits(Omission::IncarnationCheck);
        let from = if same_incarnation { cursor.next } else { 0 };
        let response = Response {
            incarnation: sender.incarnation,
            has_records: sender.cached.is_some(),
            batch: sender.log.batch(from, complete, 1).unwrap_or_default(),
            coverage_age_of_f: if link == Link::LToT {
                state.now - sender.coverage.covered_until(0)
            } else {
                0
            },
        };
        let message = Message {
            sent: state.now,
            response,
        };
        let mut next = state.clone();
        match link {
            Link::LToF => next.in_flight = Some((F, message)),
            Link::LToT => next.in_flight = Some((T, message)),
            Link::TToF => self.receive(&mut next, link, &message),
        }
        Some(next)
    }

    fn receive_in_flight(&self, state: &State, duplicate: bool) -> Option<State> {
        let mut next = state.clone();
        let (sender, message) = next.in_flight.take()?;
        let link = if sender == F { Link::LToF } else { Link::LToT };
        self.receive(&mut next, link, &message);
        if duplicate {
            next.in_flight = Some((sender, message));
        }
        Some(next)
    }

    fn step(&self, state: &State, step: Step) -> Option<State> {
        let mut next = match step {
            Step::Tick => {
                let now = state.now + 1;
                let state = state.clone();
                Some(State { now, ..state })
            }
            Step::Confirm => self.confirm(state),
            Step::CrashF => self.crash_f(state),
            Step::ReadF => self.read_f(state),
            Step::ReadT => self.read_t(state),
            Step::Renew => self.renew(state),
            Step::Request(link) => self.request(state, link),
            Step::Receive => self.receive_in_flight(state, false),
            Step::ReceiveDuplicate => self.receive_in_flight(state, true),
        }?;
        let now = next.now;
        next.in_flight = next
            .in_flight
            .filter(|(_, message)| now <= message.sent + TIMEOUT);
        Some(next)
    }
}

impl Model for CancellationModel {
    type State = State;
    type Step = Step;

    fn initial_states(&self) -> Vec<State> {
        let mut coverage = PeerCoverage::new(2, 0);
        coverage.extend(F, START);
        let t_covered_until = if self.reachable == Reachable::F {
            2 * START
        } else {
            START
        };
        coverage.extend(T, t_covered_until);
        let mut peer = Peer::new(1, Some(0));
        peer.coverage.extend(0, START);
        vec![State {
            now: START,
            recorded: 0,
            confirmed_at: [None; 2],
            f: peer.clone(),
            t: peer,
            f_crashed: false,
            reported: ReportedCancellations::new(2),
            coverage,
            in_flight: None,
            renewed_at: START,
            running: [true; 2],
        }]
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        // No violation is possible once the agent's lease has expired or both tasks are stopped.
        let lease_expired = state.now > state.renewed_at + LEASE;
        if state.now >= self.end || lease_expired || state.running == [false; 2] {
            return Vec::new();
        }
        let steps = [
            Step::Tick,
            Step::Confirm,
            Step::CrashF,
            Step::ReadF,
            Step::ReadT,
            Step::Renew,
            Step::Request(Link::LToF),
            Step::Request(Link::LToT),
            Step::Request(Link::TToF),
            Step::Receive,
            Step::ReceiveDuplicate,
        ];
        let successor = |step: Step| Some((step, self.step(state, step)?));
        steps.into_iter().filter_map(successor).collect()
    }

    fn violation(&self, state: &State) -> Option<String> {
        if state.now > state.renewed_at + LEASE {
            return None;
        }
        let overdue = |job: &usize| {
            let confirmed_at = state.confirmed_at[*job];
            state.running[*job]
                && confirmed_at.is_some_and(|at| state.now > at + CANCELLATION_DEADLINE)
        };
        let job = (0..2).find(overdue)?;
        Some(format!(
            "the task of job {job} runs after its cancellation deadline"
        ))
    }
}

fn model(
    omission: Omission,
    ticks: Time,
    crashes: bool,
    reachable: Reachable,
) -> CancellationModel {
    CancellationModel {
        omission,
        end: START + ticks,
        crashes,
        reachable,
    }
}

/// With both peers reachable there are 970,593 states without duplicated messages, which were all explored once
/// (2026-12-02). This test explores the first 200,000 states with duplicated messages.
#[test]
fn no_task_outlives_its_cancellation_deadline() {
    for (crashes, reachable, exhaustive) in [
        (true, Reachable::F, true),
        (true, Reachable::T, true),
        (false, Reachable::Both, false),
    ] {
        let max_states = if exhaustive { 2_000_000 } else { 200_000 };
        let result = explore(&model(Omission::Nothing, 5, crashes, reachable), max_states);
        println!("{reachable:?}, crashes {crashes}: {}", result.describe());
        let passed = match result {
            CheckResult::Verified { .. } => true,
            CheckResult::LimitReached { .. } => !exhaustive,
            CheckResult::Violation { .. } => false,
        };
        assert!(passed, "{}", result.describe());
    }
}

#[test]
fn every_omission_is_detected() {
    for (omission, crashes, reachable) in [
        (Omission::StopTask, false, Reachable::F),
        (Omission::HasMore, false, Reachable::F),
        (Omission::IncarnationCheck, true, Reachable::F),
        (Omission::Forwarding, false, Reachable::T),
        (Omission::CompleteReport, false, Reachable::T),
        (Omission::RecordsRead, true, Reachable::F),
        (Omission::StalenessBound, false, Reachable::F),
    ] {
        let result = explore(&model(omission, 6, crashes, reachable), 1_000_000);
        assert!(
            matches!(result, CheckResult::Violation { .. }),
            "{omission:?}: {}",
            result.describe()
        );
    }
}
