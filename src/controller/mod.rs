//! One controller: wires the actors together. `handle` takes one message and returns what is to
//! be done; no I/O, no clock, no global randomness.

pub mod runtime;
pub mod store_responses;

use crate::agents::leader_state::LeaderState;
use crate::api::client_api::ClientApi;
use crate::api::request_scheduler::{RequestScheduler, ScheduledRequest};
use crate::leadership::budget_shares::BudgetShares;
use crate::leadership::connectivity::Connectivity;
use crate::leadership::delegated_renewal::DelegatedRenewals;
use crate::leadership::election::{ElectionState, LEADER_LEASE_TTL, room_for_two_vain};
use crate::leadership::peers::Peers;
use crate::messages::PendingCall;
use crate::messages::PendingRequest;
use crate::messages::StoreRequestPurpose;
use crate::policy::Policy;
use crate::protocol::Clock;
use crate::protocol::agent_api::Misdirected;
use crate::protocol::client_api::Problem;
use crate::protocol::codec::encode;
use crate::protocol::peer_messages::FORWARD_PREFIX;
use crate::protocol::peer_messages::PeerHeartbeat;
use crate::protocol::{Micros, Settings};
use crate::state::agent::parse_agent_heartbeat;
use crate::state::record_cache::RecordCache;
use crate::state::store_client::{RequestPriority, StoreClient, StoreRequest, StoreResponse};
use crate::transport::{Call, NetworkCommand, NetworkEvent, Outcome};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// A follower that has heard nothing of the state service for this long asks it. Without users it would not
/// notice an outage, since its watch stays open, and pledge nothing.
const STORE_PROBE_AFTER: Micros = Micros::millis(2000);
const STORE_PROBE_INTERVAL: Micros = Micros::millis(1000);
/// A leader catches up with the store at least this often.
const CONFIRMATION_INTERVAL: Micros = Micros::millis(1000);

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
    pub client_api: ClientApi,
    /// The leader, while we lead.
    pub leader: Option<LeaderState>,
    /// Leases renewed on the leader's behalf.
    pub renewals: DelegatedRenewals,
    /// Users' requests that wait for the processor.
    pub request_scheduler: RequestScheduler,
    /// Effects gathered in this step.
    pub out: Vec<NetworkCommand>,
    /// Number of the last call.
    pub last_call_id: u64,
    pub(crate) pending_calls: BTreeMap<u64, PendingCall>,
    pub(crate) election: ElectionState,
    pub(crate) leader_lease: Option<u64>,
    pub(crate) lease_renewal_due: Micros,
    pub(crate) lease_renewal_in_flight: bool,
    pub(crate) listing_cursor: String,
    pub(crate) listing_due: Option<Micros>,
    /// All records are being read, one page at a time.
    pub(crate) listing: bool,
    pub(crate) watch_due: Option<Micros>,
    /// The standing watch is open.
    pub(crate) watch_open: bool,
    pub(crate) barrier_sent_at: Option<Micros>,
    pub(crate) barrier_in_flight: Vec<PendingRequest>,
    pub(crate) barrier_waiting: Vec<PendingRequest>,
    /// Whose turn it is to write: job records, or acceptances.
    pub(crate) turn: bool,
    pub(crate) barrier_at: Micros,
    /// What peers have told, and what we have told them.
    pub(crate) peers: Peers,
    /// Start of the last read of all changes.
    pub(crate) confirmed_read_at: Micros,
    /// When the state service last answered us, and when we last asked for nothing but a sign of life.
    pub(crate) store_heard_at: Micros,
    pub(crate) store_probed_at: Micros,
    /// Whom we still reach.
    pub(crate) connectivity: Connectivity,
    /// Highest term that anybody has shown us; below it we never lead, whatever an old copy says.
    pub(crate) highest_term_seen: u64,
    /// Our share of the store's budgets.
    pub(crate) budget: BudgetShares,
    /// When we last gave the lead away.
    pub(crate) transferred_at: Option<Micros>,
    /// When we started.
    pub(crate) started_at: Micros,
    /// Version of the record of the lead, and since when we know it.
    pub(crate) leader_record_seen: (u64, Micros),
    /// When our record of the format we read is looked at again; none: it is being written.
    pub(crate) format_record_due: Option<Micros>,
    /// It has been logged that all controllers read our format.
    pub(crate) format_rollout_logged: bool,
}

impl Controller {
    /// A controller that has just started.
    pub fn new(settings: Settings, policy: Policy, seed: u64, clock: Clock) -> Controller {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let incarnation = rng.random::<u64>() >> 1;
        let peers = Peers::new(settings.peers.len(), &policy, clock.now);
        let budget = BudgetShares::new(&settings);
        let connectivity = Connectivity::new(clock.now, room_for_two_vain(&settings));
        let (rps, wps, burst) = budget.rates(&settings);
        let store = StoreClient::new(settings.external.state, rps, wps, burst);
        Controller {
            settings,
            policy,
            incarnation,
            rng,
            store,
            cache: RecordCache::default(),
            client_api: ClientApi::default(),
            leader: None,
            renewals: DelegatedRenewals::default(),
            request_scheduler: RequestScheduler::default(),
            out: Vec::new(),
            last_call_id: 0,
            pending_calls: BTreeMap::new(),
            election: ElectionState::Idle,
            leader_lease: None,
            lease_renewal_due: Micros::FAR,
            lease_renewal_in_flight: false,
            listing_cursor: String::new(),
            listing_due: Some(clock.now),
            listing: true,
            watch_due: None,
            watch_open: false,
            barrier_sent_at: None,
            barrier_in_flight: Vec::new(),
            barrier_waiting: Vec::new(),
            turn: false,
            barrier_at: Micros::ZERO,
            peers,
            confirmed_read_at: Micros::ZERO,
            store_heard_at: clock.now,
            store_probed_at: clock.now,
            connectivity,
            highest_term_seen: 0,
            budget,
            transferred_at: None,
            started_at: clock.now,
            leader_record_seen: (0, clock.now),
            format_record_due: Some(clock.now),
            format_rollout_logged: false,
        }
    }

    /// Takes a batch of messages; returns what to do and when to be called next at the latest.
    pub fn handle(
        &mut self,
        clock: Clock,
        events: Vec<NetworkEvent>,
    ) -> (Vec<NetworkCommand>, Micros) {
        self.connectivity.look(clock.now);
        for turn in self.request_scheduler.step(clock.now, events) {
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
        let mut next = self.run_timers(clock);
        if self.request_scheduler.waiting() {
            next = clock.now;
        }
        let next = next.min(self.write_due_records(clock));
        self.store
            .send_queued(clock.now, &mut self.last_call_id, &mut self.out);
        let next = self
            .store
            .next_send_at(clock.now)
            .map_or(next, |t| t.min(next));
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
        self.last_call_id += 1;
        self.pending_calls.insert(self.last_call_id, tag);
        self.out.push(NetworkCommand::Call(Call {
            id: self.last_call_id,
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
                "/heartbeat" => match PeerHeartbeat::decode(body) {
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
                "/hello" => match parse_agent_heartbeat(body) {
                    Some(r) if self.leader.as_ref().is_some_and(|l| r.term <= l.term) => {
                        self.leader_heartbeat(clock, conn, r, true);
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
                } else if self.connectivity.sends_users_away() {
                    self.refuse(conn, 503, "neither the state service nor a sibling answers");
                } else {
                    self.respond(conn, 200, &());
                }
            }
            ("POST", "/hello", _) => self.on_agent_heartbeat(clock, conn, body),
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

    fn on_agent_heartbeat(&mut self, clock: Clock, conn: u64, body: &[u8]) {
        let Some(report) = parse_agent_heartbeat(body) else {
            self.refuse(conn, 400, "not a report");
            return;
        };
        if report.zone != self.settings.zone {
            self.connectivity.elsewhere(clock.now);
        }
        if self.leader.is_some() && self.connectivity.sends_on(&report.machine, clock.now) {
            log::info!("{}: sent on, we hear nobody", report.machine);
            self.respond(conn, 421, &Misdirected::default());
            return;
        }
        if let Some(leader) = &self.leader
            && report.term > leader.term
        {
            // Somebody has led after us.
            self.highest_term_seen = self.highest_term_seen.max(report.term);
            self.step_down("a worker has seen a higher term");
            let none = Misdirected::default();
            self.respond(conn, 421, &none);
            return;
        }
        if self.leader.is_some() {
            self.leader_heartbeat(clock, conn, report, false);
            return;
        }
        self.follower_heartbeat(clock, conn, report);
    }

    fn on_response(&mut self, clock: Clock, id: u64, outcome: Outcome) {
        if let Some(done) = self.store.on_response(id, &outcome) {
            if !matches!(done.response, StoreResponse::Refused | StoreResponse::Lost) {
                self.store_heard_at = clock.now;
                self.connectivity.store(clock.now);
            }
            self.on_store_response(
                clock,
                done.purpose,
                done.request,
                done.sent_at,
                done.response,
            );
            return;
        }
        match self.pending_calls.remove(&id) {
            Some(PendingCall::PeerHeartbeat {
                peer: i,
                sent_at: sent,
            }) => self.on_heartbeat_response(clock, i, sent, outcome),
            Some(PendingCall::ForwardedRequest { conn }) => {
                self.on_forwarded_response(conn, outcome)
            }
            Some(PendingCall::RelayedHeartbeat { conn, report }) => {
                self.on_relay(clock, conn, *report, outcome)
            }
            Some(tag) => self.on_leader_call_response(clock, tag, outcome),
            None => {}
        }
    }

    /// The copy has changed: look who leads.
    pub(crate) fn on_cache_updated(&mut self, clock: Clock) {
        let version = self.cache.lead.as_ref().map_or(0, |(_, v)| *v);
        if self.leader_record_seen.0 != version {
            self.leader_record_seen = (version, clock.now);
        }
        let ours = self
            .cache
            .lead
            .as_ref()
            .filter(|(l, _)| l.node == self.settings.node && l.incarnation == self.incarnation)
            .filter(|(l, _)| l.term >= self.highest_term_seen)
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
                self.lease_renewal_due = clock.now;
                self.apply_budget_share(clock);
                self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
            }
            (None, None) => {}
        }
        self.on_changed_jobs();
    }

    pub(crate) fn step_down(&mut self, why: &str) {
        if let Some(l) = self.leader.take() {
            log::info!("standing down from term {}: {why}", l.term);
        }
        self.lease_renewal_due = Micros::FAR;
    }

    fn run_timers(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let mut next = now + Micros::millis(1000);
        if let Some(at) = self.listing_due {
            if at <= now {
                self.listing_due = None;
                let after = self.listing_cursor.clone();
                self.store.ask(
                    RequestPriority::Urgent,
                    StoreRequestPurpose::ListRecords,
                    StoreRequest::List { after },
                );
            } else {
                next = next.min(at);
            }
        }
        if let Some(at) = self.watch_due {
            if at <= now {
                self.watch_due = None;
                let ask = StoreRequest::Watch {
                    after: self.cache.revision,
                    block_ms: 10_000,
                };
                self.watch_open = true;
                self.store
                    .ask(RequestPriority::Urgent, StoreRequestPurpose::Watch, ask);
            } else {
                next = next.min(at);
            }
        }
        if self.barrier_sent_at.is_none() && !self.barrier_waiting.is_empty() {
            self.send_read_barrier(clock);
            if self.barrier_sent_at.is_none() {
                next = next.min(self.barrier_at + self.barrier_gap());
            }
        }
        self.apply_budget_share(clock);
        next = next.min(self.grant_budget_shares(clock));
        next = next.min(self.negotiate_format(clock));
        next = next.min(self.send_peer_heartbeats(clock));
        next = next.min(self.consider_candidacy(clock));
        next = next.min(self.drive_acceptances(clock));
        if self.leader.is_none() {
            next = next.min(self.drive_renewals(clock));
        }
        if self.leader.is_none() && self.cache.synced {
            let at = (self.store_heard_at + STORE_PROBE_AFTER)
                .max(self.store_probed_at + STORE_PROBE_INTERVAL);
            if at <= now {
                self.store_probed_at = now;
                if self.barrier_sent_at.is_none() {
                    self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
                }
            }
            next = next.min(at.max(now + STORE_PROBE_INTERVAL));
        }
        if self.leader.is_none() && self.renewals.active() {
            let last_confirmed_read = self.renewals.last_confirmed_read();
            if last_confirmed_read + CONFIRMATION_INTERVAL <= now {
                if self.barrier_sent_at.is_none() {
                    self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
                }
            } else {
                next = next.min(last_confirmed_read + CONFIRMATION_INTERVAL);
            }
        }
        if self.leader.is_some() {
            if self.lease_renewal_due <= now && !self.lease_renewal_in_flight {
                if let Some(l) = self.leader_lease {
                    self.lease_renewal_in_flight = true;
                    self.store.ask(
                        RequestPriority::Urgent,
                        StoreRequestPurpose::RenewLeaderLease,
                        StoreRequest::Renew(l),
                    );
                } else {
                    self.lease_renewal_in_flight = true;
                    self.store.ask(
                        RequestPriority::Urgent,
                        StoreRequestPurpose::ReplacementLease,
                        StoreRequest::NewLease(LEADER_LEASE_TTL),
                    );
                }
            }
            if !self.lease_renewal_in_flight {
                next = next.min(self.lease_renewal_due);
            }
            let last_confirmed_read = self.leader.as_ref().map_or(now, |l| l.last_confirmed_read);
            if last_confirmed_read + CONFIRMATION_INTERVAL <= now {
                if self.barrier_sent_at.is_none() {
                    self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
                }
            } else {
                next = next.min(last_confirmed_read + CONFIRMATION_INTERVAL);
            }
            next = next.min(self.drive_leader(clock));
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
