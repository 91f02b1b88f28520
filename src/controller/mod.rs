//! One controller: wires the actors together. `handle` takes one message and returns what is to
//! be done; no I/O, no clock, no global randomness.

pub mod runtime;
pub mod store_responses;

use crate::agents::leader_state::LeaderState;
use crate::api::client_api::{ClientApi, PendingRequest};
use crate::api::request_scheduler::{RequestScheduler, ScheduledRequest};
use crate::leadership::budget_shares::BudgetShares;
use crate::leadership::connectivity::Connectivity;
use crate::leadership::delegated_renewal::DelegatedRenewals;
use crate::leadership::election::{ElectionState, LEADER_LEASE_TTL, room_for_two_vain};
use crate::leadership::peers::Peers;
use crate::policy::Policy;
use crate::protocol::peer_messages::Heartbeat;
use crate::protocol::wire::{
    Change, Misdirected, Problem, Report, VersionCondition, encode, to_value,
};
use crate::protocol::{Micros, Settings};
use crate::state::agent::read_report;
use crate::state::record_cache::RecordCache;
use crate::state::store_client::{RequestPriority, StoreClient, StoreRequest, StoreResponse};
use crate::transport::{Call, NetworkCommand, NetworkEvent, Outcome};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// The steady clock and the time of day.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Steady.
    pub now: Micros,
    /// Time of day since 1970.
    pub wall: Micros,
}

/// Why the store was asked.
#[derive(Debug, Clone)]
pub enum StoreRequestPurpose {
    /// A page of a reading of all records.
    Load,
    /// The standing watch.
    Follow,
    /// Catching up.
    Barrier,
    /// Acceptance of these jobs.
    Accept(Vec<String>),
    /// Cancellation of a job.
    Cancel(String),
    /// A lease to lead with.
    ClaimLease,
    /// Taking the lead.
    Claim,
    /// Renewal of the leader's lease.
    Renew,
    /// Hanging the leader's key on a new lease: getting the lease.
    RelieveLease,
    /// Hanging the leader's key on a new lease.
    Relieve,
    /// A new term for the leader itself.
    Raise,
    /// The leader's job records.
    RecordWriter(u64),
    /// Machine types.
    Types,
    /// Parts of the budget of changes.
    Parts,
    /// Giving the lead away.
    Yield,
    /// What we renew on the leader's behalf: these machines.
    DelegatedRenewals(Vec<String>),
    /// The newest format that we read, or that a peer no longer reads what it did.
    Format,
}

/// Calls to others than the store.
#[derive(Debug, Clone)]
pub enum PendingCall {
    /// Commands to a agent.
    Orders {
        /// Machine.
        machine: String,
        /// Starts among them.
        starts: Vec<(String, u32, u64)>,
        /// Term they were sent with.
        term: u64,
        /// Session they were meant for.
        session: u64,
    },
    /// The cloud.
    Cloud(crate::cloud::inventory::CloudRequest),
    /// A heartbeat: to which peer, and when.
    Heartbeat(usize, Micros),
    /// A user's request handed on to a peer that the state service serves.
    User(u64),
    /// A agent's report handed on to the leader.
    Relay(u64, Box<Report>),
}

/// Path under which peers take users' requests from one another.
pub const FORWARD_PREFIX: &str = "/user";
/// A follower that has heard nothing of the state service for this long asks it. Without users it would not
/// notice an outage, since its watch stays open, and pledge nothing.
const PROBE_AFTER: Micros = Micros::millis(2000);
const PROBE_EVERY: Micros = Micros::millis(1000);
/// A leader catches up with the store at least this often.
const PROOF_EVERY: Micros = Micros::millis(1000);

/// A controller.
pub struct Controller {
    /// Settings.
    pub settings: Settings,
    /// Operators' policy.
    pub policy: Policy,
    /// Names this run of the process.
    pub incarnation: u64,
    /// Seeded randomness.
    pub rng: ChaCha8Rng,
    /// The store.
    pub store: StoreClient<StoreRequestPurpose>,
    /// Copy of its records.
    pub cache: RecordCache,
    /// Users.
    pub front: ClientApi,
    /// The leader, while we lead.
    pub leader: Option<LeaderState>,
    /// Leases renewed on the leader's behalf.
    pub renewals: DelegatedRenewals,
    /// Users' requests that wait for the processor.
    pub turns: RequestScheduler,
    /// Effects gathered in this step.
    pub out: Vec<NetworkCommand>,
    /// Number of the last call.
    pub next_id: u64,
    pub(crate) calls: BTreeMap<u64, PendingCall>,
    pub(crate) claim: ElectionState,
    pub(crate) lease: Option<u64>,
    pub(crate) renew_at: Micros,
    pub(crate) renewing: bool,
    pub(crate) load_after: String,
    pub(crate) load_at: Option<Micros>,
    /// All records are being read, one page at a time.
    pub(crate) loading: bool,
    pub(crate) follow_at: Option<Micros>,
    /// The standing watch is open.
    pub(crate) following: bool,
    pub(crate) barrier_sent: Option<Micros>,
    pub(crate) barrier_flying: Vec<PendingRequest>,
    pub(crate) barrier_next: Vec<PendingRequest>,
    /// Whose turn it is to write: job records, or acceptances.
    pub(crate) turn: bool,
    pub(crate) barrier_at: Micros,
    /// What peers have told, and what we have told them.
    pub(crate) peers: Peers,
    /// Start of the last read of all changes.
    pub(crate) read_at: Micros,
    /// When the state service last answered us, and when we last asked for nothing but a sign of life.
    pub(crate) store_heard: Micros,
    pub(crate) probed: Micros,
    /// Whom we still reach.
    pub(crate) reach: Connectivity,
    /// Highest term that anybody has shown us; below it we never lead, whatever an old copy says.
    pub(crate) highest: u64,
    /// Our share of the store's budgets.
    pub(crate) budget: BudgetShares,
    /// When we last gave the lead away.
    pub(crate) yielded: Option<Micros>,
    /// When we started.
    pub(crate) born: Micros,
    /// Version of the record of the lead, and since when we know it.
    pub(crate) lead_seen: (u64, Micros),
    /// When our record of the format we read is looked at again; none: it is being written.
    pub(crate) format_at: Option<Micros>,
    /// It has been logged that all controllers read our format.
    pub(crate) rolled_out: bool,
}

impl Controller {
    /// A controller that has just started.
    pub fn new(settings: Settings, policy: Policy, seed: u64, clock: Clock) -> Controller {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let incarnation = rng.random::<u64>() >> 1;
        let peers = Peers::new(settings.peers.len(), &policy, clock.now);
        let budget = BudgetShares::new(&settings);
        let reach = Connectivity::new(clock.now, room_for_two_vain(&settings));
        let (rps, wps, burst) = budget.rates(&settings);
        let store = StoreClient::new(settings.external.state, rps, wps, burst);
        Controller {
            settings,
            policy,
            incarnation,
            rng,
            store,
            cache: RecordCache::default(),
            front: ClientApi::default(),
            leader: None,
            renewals: DelegatedRenewals::default(),
            turns: RequestScheduler::default(),
            out: Vec::new(),
            next_id: 0,
            calls: BTreeMap::new(),
            claim: ElectionState::Idle,
            lease: None,
            renew_at: Micros::FAR,
            renewing: false,
            load_after: String::new(),
            load_at: Some(clock.now),
            loading: true,
            follow_at: None,
            following: false,
            barrier_sent: None,
            barrier_flying: Vec::new(),
            barrier_next: Vec::new(),
            turn: false,
            barrier_at: Micros::ZERO,
            peers,
            read_at: Micros::ZERO,
            store_heard: clock.now,
            probed: clock.now,
            reach,
            highest: 0,
            budget,
            yielded: None,
            born: clock.now,
            lead_seen: (0, clock.now),
            format_at: Some(clock.now),
            rolled_out: false,
        }
    }

    /// Takes a batch of messages; returns what to do and when to be called next at the latest.
    pub fn handle(
        &mut self,
        clock: Clock,
        events: Vec<NetworkEvent>,
    ) -> (Vec<NetworkCommand>, Micros) {
        self.reach.look(clock.now);
        for turn in self.turns.step(clock.now, events) {
            match turn {
                ScheduledRequest::Handle(NetworkEvent::Request {
                    conn,
                    internal,
                    method,
                    path,
                    body,
                }) => self.on_request(clock, conn, internal, &method, &path, &body),
                ScheduledRequest::Handle(NetworkEvent::Answer { id, outcome }) => {
                    self.on_response(clock, id, outcome)
                }
                ScheduledRequest::Refuse(conn) => {
                    self.refuse_until(conn, "too many requests at once", 2)
                }
            }
        }
        let mut next = self.on_time(clock);
        if self.turns.waiting() {
            next = clock.now;
        }
        let next = next.min(self.write_turns(clock));
        self.store.pump(clock.now, &mut self.next_id, &mut self.out);
        let next = self.store.wake(clock.now).map_or(next, |t| t.min(next));
        (std::mem::take(&mut self.out), next)
    }

    /// Answers a request.
    pub fn respond<T: serde::Serialize>(&mut self, conn: u64, status: u16, body: &T) {
        self.out.push(NetworkCommand::Respond {
            conn,
            status,
            body: encode(body),
            retry_after: None,
        });
    }

    /// Answers a request with an error for people; 503 says when to come back.
    pub fn refuse(&mut self, conn: u64, status: u16, error: &str) {
        self.refuse_with(conn, status, error, (status == 503).then_some(1));
    }

    /// Refuses for now, and says in how many seconds to come back.
    pub fn refuse_until(&mut self, conn: u64, error: &str, seconds: u32) {
        self.refuse_with(conn, 503, error, Some(seconds));
    }

    fn refuse_with(&mut self, conn: u64, status: u16, error: &str, retry_after: Option<u32>) {
        let body = encode(&Problem {
            error: error.to_string(),
        });
        self.out.push(NetworkCommand::Respond {
            conn,
            status,
            body,
            retry_after,
        });
    }

    /// Makes a call to somebody other than the store.
    pub fn call(
        &mut self,
        tag: PendingCall,
        addr: std::net::SocketAddr,
        method: &'static str,
        path: &str,
        body: Vec<u8>,
        timeout: Micros,
    ) {
        self.next_id += 1;
        self.calls.insert(self.next_id, tag);
        self.out.push(NetworkCommand::Call(Call {
            id: self.next_id,
            addr,
            method,
            path: path.to_string(),
            body,
            timeout,
        }));
    }

    fn on_request(
        &mut self,
        clock: Clock,
        conn: u64,
        internal: bool,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        if internal {
            match path {
                "/heartbeat" => match Heartbeat::decode(body) {
                    Ok(h) => {
                        let body = self.respond_to_heartbeat(clock, h).encode();
                        self.out.push(NetworkCommand::Respond {
                            conn,
                            status: 200,
                            body,
                            retry_after: None,
                        });
                    }
                    Err(e) => {
                        log::warn!("a heartbeat is dropped: {e}");
                        self.refuse(conn, 400, "not a heartbeat");
                    }
                },
                "/hello" => match read_report(body) {
                    Some(r) if self.leader.as_ref().is_some_and(|l| r.term <= l.term) => {
                        self.leader_report(clock, conn, r, true);
                    }
                    _ => self.refuse(conn, 503, "not leading"),
                },
                _ => match path.strip_prefix(FORWARD_PREFIX) {
                    Some(path) => self.on_user(clock, conn, method, path, body),
                    None => self.refuse(conn, 404, "no such path"),
                },
            }
            return;
        }
        if self.forward_to_peer(clock, conn, method, path, body) {
            return;
        }
        self.on_user(clock, conn, method, path, body);
    }

    fn on_user(&mut self, clock: Clock, conn: u64, method: &str, path: &str, body: &[u8]) {
        let path = path.split('?').next().unwrap_or("");
        let job = path.strip_prefix("/submissions/");
        match (method, path, job) {
            ("GET", "/healthz", _) => {
                if !self.cache.synced {
                    self.refuse(conn, 503, "still reading the records");
                } else if self.reach.sends_users_away() {
                    self.refuse(conn, 503, "neither the state service nor a sibling answers");
                } else {
                    self.respond(conn, 200, &());
                }
            }
            ("POST", "/hello", _) => self.on_report(clock, conn, body),
            ("POST", "/submissions", _) => self.on_submit(clock, conn, body),
            ("GET", _, Some(id)) if !id.contains('/') => {
                let id = id.to_string();
                self.on_poll(clock, conn, id, true);
            }
            ("POST", _, Some(rest)) if rest.ends_with("/cancel") => {
                let id = rest.trim_end_matches("/cancel").to_string();
                self.on_cancel(clock, conn, id, true);
            }
            (_, "/healthz" | "/hello" | "/submissions", _) => {
                self.refuse(conn, 405, "method not allowed")
            }
            (_, _, Some(rest)) if !rest.contains('/') || rest.ends_with("/cancel") => {
                self.refuse(conn, 405, "method not allowed")
            }
            _ => self.refuse(conn, 404, "no such path"),
        }
    }

    fn on_report(&mut self, clock: Clock, conn: u64, body: &[u8]) {
        let Some(report) = read_report(body) else {
            self.refuse(conn, 400, "not a report");
            return;
        };
        if report.zone != self.settings.zone {
            self.reach.elsewhere(clock.now);
        }
        if self.leader.is_some() && self.reach.sends_on(&report.machine, clock.now) {
            log::info!("{}: sent on, we hear nobody", report.machine);
            self.respond(conn, 421, &Misdirected::default());
            return;
        }
        if let Some(leader) = &self.leader
            && report.term > leader.term
        {
            // Somebody has led after us.
            self.highest = self.highest.max(report.term);
            self.step_down("a worker has seen a higher term");
            let none = Misdirected::default();
            self.respond(conn, 421, &none);
            return;
        }
        if self.leader.is_some() {
            self.leader_report(clock, conn, report, false);
            return;
        }
        self.follower_report(clock, conn, report);
    }

    fn on_response(&mut self, clock: Clock, id: u64, outcome: Outcome) {
        if let Some((tag, ask, sent, reply)) = self.store.on_response(id, &outcome) {
            if !matches!(reply, StoreResponse::Refused | StoreResponse::Lost) {
                self.store_heard = clock.now;
                self.reach.store(clock.now);
            }
            self.on_store_response(clock, tag, ask, sent, reply);
            return;
        }
        match self.calls.remove(&id) {
            Some(PendingCall::Heartbeat(i, sent)) => {
                self.on_heartbeat_response(clock, i, sent, outcome)
            }
            Some(PendingCall::User(conn)) => self.on_forwarded_response(conn, outcome),
            Some(PendingCall::Relay(conn, report)) => self.on_relay(clock, conn, *report, outcome),
            Some(tag) => self.on_leader_call_response(clock, tag, outcome),
            None => {}
        }
    }

    /// The copy has changed: look who leads.
    pub(crate) fn on_cache_updated(&mut self, clock: Clock) {
        let version = self.cache.lead.as_ref().map_or(0, |(_, v)| *v);
        if self.lead_seen.0 != version {
            self.lead_seen = (version, clock.now);
        }
        let ours = self
            .cache
            .lead
            .as_ref()
            .filter(|(l, _)| l.node == self.settings.node && l.incarnation == self.incarnation)
            .filter(|(l, _)| l.term >= self.highest)
            .map(|(l, v)| (l.term, *v));
        match (ours, &mut self.leader) {
            (None, Some(_)) => self.step_down("another controller leads"),
            (Some((term, version)), Some(l)) => {
                if term != l.term {
                    log::info!("term raised from {} to {term}", l.term);
                    // Followers may go on under the old term as long as after a takeover.
                    l.since = clock.now;
                    l.strangers_over = false;
                }
                if term != l.term {
                    l.sweep_at = clock.now;
                }
                l.term = term;
                l.version = version;
            }
            (Some((term, version)), None) => {
                log::info!("leading with term {term}");
                self.leader = Some(LeaderState::new(term, version, clock));
                self.renew_at = clock.now;
                self.take_share(clock);
                self.request_read_barrier(clock, PendingRequest::Proof);
            }
            (None, None) => {}
        }
        self.on_changed_jobs();
    }

    pub(crate) fn step_down(&mut self, why: &str) {
        if let Some(l) = self.leader.take() {
            log::info!("standing down from term {}: {why}", l.term);
        }
        self.renew_at = Micros::FAR;
    }

    fn on_time(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let mut next = now + Micros::millis(1000);
        if let Some(at) = self.load_at {
            if at <= now {
                self.load_at = None;
                let after = self.load_after.clone();
                self.store.ask(
                    RequestPriority::First,
                    StoreRequestPurpose::Load,
                    StoreRequest::List { after },
                );
            } else {
                next = next.min(at);
            }
        }
        if let Some(at) = self.follow_at {
            if at <= now {
                self.follow_at = None;
                let ask = StoreRequest::Watch {
                    after: self.cache.revision,
                    block_ms: 10_000,
                };
                self.following = true;
                self.store
                    .ask(RequestPriority::First, StoreRequestPurpose::Follow, ask);
            } else {
                next = next.min(at);
            }
        }
        if self.barrier_sent.is_none() && !self.barrier_next.is_empty() {
            self.send_read_barrier(clock);
            if self.barrier_sent.is_none() {
                next = next.min(self.barrier_at + self.barrier_gap());
            }
        }
        self.take_share(clock);
        next = next.min(self.give_parts(clock));
        next = next.min(self.formats(clock));
        next = next.min(self.heartbeats(clock));
        next = next.min(self.candidacy(clock));
        next = next.min(self.front_time(clock));
        if self.leader.is_none() {
            next = next.min(self.renewals_time(clock));
        }
        if self.leader.is_none() && self.cache.synced {
            let at = (self.store_heard + PROBE_AFTER).max(self.probed + PROBE_EVERY);
            if at <= now {
                self.probed = now;
                if self.barrier_sent.is_none() {
                    self.request_read_barrier(clock, PendingRequest::Proof);
                }
            }
            next = next.min(at.max(now + PROBE_EVERY));
        }
        if self.leader.is_none() && self.renewals.active() {
            let last_confirmed_read = self.renewals.last_confirmed_read();
            if last_confirmed_read + PROOF_EVERY <= now {
                if self.barrier_sent.is_none() {
                    self.request_read_barrier(clock, PendingRequest::Proof);
                }
            } else {
                next = next.min(last_confirmed_read + PROOF_EVERY);
            }
        }
        if self.leader.is_some() {
            if self.renew_at <= now && !self.renewing {
                if let Some(l) = self.lease {
                    self.renewing = true;
                    self.store.ask(
                        RequestPriority::First,
                        StoreRequestPurpose::Renew,
                        StoreRequest::Renew(l),
                    );
                } else {
                    self.renewing = true;
                    self.store.ask(
                        RequestPriority::First,
                        StoreRequestPurpose::RelieveLease,
                        StoreRequest::NewLease(LEADER_LEASE_TTL),
                    );
                }
            }
            if !self.renewing {
                next = next.min(self.renew_at);
            }
            let last_confirmed_read = self.leader.as_ref().map_or(now, |l| l.last_confirmed_read);
            if last_confirmed_read + PROOF_EVERY <= now {
                if self.barrier_sent.is_none() {
                    self.request_read_barrier(clock, PendingRequest::Proof);
                }
            } else {
                next = next.min(last_confirmed_read + PROOF_EVERY);
            }
            next = next.min(self.leader_time(clock));
            next = next.min(self.consider_transfer(clock));
        }
        next
    }

    /// How long after the start of the last proof reports may still be answered: whatever was
    /// cancelled since must be gone in time, and a renewed agent keeps its tasks for a lease.
    pub fn staleness_bound(&self) -> Micros {
        let w = &self.settings.params.agents;
        let margin = 2.0 + 0.002 * w.cancel_s;
        Micros::secs(w.cancel_s - w.lease_s - margin)
    }
}

/// A condition on a key's version.
pub fn cond(key: &str, version: u64) -> VersionCondition {
    VersionCondition {
        key: key.to_string(),
        version,
    }
}

/// A put.
pub fn put<T: serde::Serialize>(key: &str, value: &T, lease: Option<u64>) -> Change {
    Change::Put {
        put: key.to_string(),
        value: to_value(value),
        lease,
    }
}
