//! One controller: wires the actors together. `handle` takes one message and returns what is to
//! be done; no I/O, no clock, no global randomness.

use super::budget::Budget;
use super::front::{Front, Waiter};
use super::lead::{ClaimState, LEAD_TTL, room_for_two_vain};
use super::leader::Leader;
use super::policy::Policy;
use super::reach::Reach;
use super::renewal::Renewals;
use super::siblings::Siblings;
use super::turns::{Turn, Turns};
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::store::{Ask, Rank, Reply, Store};
use crate::bookkeeping::workers::read_report;
use crate::protocol::peer::Heartbeat;
use crate::protocol::wire::{Change, Cond, Misdirected, Problem, Report, encode, to_value};
use crate::protocol::{Micros, Settings};
use crate::transport::{Call, NetCmd, NetEvent, Outcome};
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
pub enum Tag {
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
    Edits(u64),
    /// Machine types.
    Types,
    /// Parts of the budget of changes.
    Parts,
    /// Giving the lead away.
    Yield,
    /// What we renew on the leader's behalf: these machines.
    Renewals(Vec<String>),
    /// The newest format that we read, or that a sibling no longer reads what it did.
    Format,
}

/// Calls to others than the store.
#[derive(Debug, Clone)]
pub enum CallTag {
    /// Commands to a worker.
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
    Cloud(super::fleet::CloudAsk),
    /// A heartbeat: to which sibling, and when.
    Heartbeat(usize, Micros),
    /// A user's request handed on to a sibling that the state service serves.
    User(u64),
    /// A worker's report handed on to the leader.
    Relay(u64, Box<Report>),
}

/// Path under which siblings take users' requests from one another.
pub const HANDED_ON: &str = "/user";
/// A follower that has heard nothing of the state service for this long asks it. Without users it would not
/// notice an outage, since its watch stays open, and pledge nothing.
const PROBE_AFTER: Micros = Micros::millis(2000);
const PROBE_EVERY: Micros = Micros::millis(1000);
/// A leader catches up with the store at least this often.
const PROOF_EVERY: Micros = Micros::millis(1000);

/// A controller.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Operators' policy.
    pub policy: Policy,
    /// Names this run of the process.
    pub inc: u64,
    /// Seeded randomness.
    pub rng: ChaCha8Rng,
    /// The store.
    pub store: Store<Tag>,
    /// Copy of its records.
    pub mirror: Mirror,
    /// Users.
    pub front: Front,
    /// The leader, while we lead.
    pub leader: Option<Leader>,
    /// Leases renewed on the leader's behalf.
    pub renewals: Renewals,
    /// Users' requests that wait for the processor.
    pub turns: Turns,
    /// Effects gathered in this step.
    pub out: Vec<NetCmd>,
    /// Number of the last call.
    pub next_id: u64,
    pub(super) calls: BTreeMap<u64, CallTag>,
    pub(super) claim: ClaimState,
    pub(super) lease: Option<u64>,
    pub(super) renew_at: Micros,
    pub(super) renewing: bool,
    pub(super) load_after: String,
    pub(super) load_at: Option<Micros>,
    /// All records are being read, one page at a time.
    pub(super) loading: bool,
    pub(super) follow_at: Option<Micros>,
    /// The standing watch is open.
    pub(super) following: bool,
    pub(super) barrier_sent: Option<Micros>,
    pub(super) barrier_flying: Vec<Waiter>,
    pub(super) barrier_next: Vec<Waiter>,
    /// Whose turn it is to write: job records, or acceptances.
    pub(super) turn: bool,
    pub(super) barrier_at: Micros,
    /// What siblings have told, and what we have told them.
    pub(super) siblings: Siblings,
    /// Start of the last read of all changes.
    pub(super) read_at: Micros,
    /// When the state service last answered us, and when we last asked for nothing but a sign of life.
    pub(super) store_heard: Micros,
    pub(super) probed: Micros,
    /// Whom we still reach.
    pub(super) reach: Reach,
    /// Highest term that anybody has shown us; below it we never lead, whatever an old copy says.
    pub(super) highest: u64,
    /// Our share of the store's budgets.
    pub(super) budget: Budget,
    /// When we last gave the lead away.
    pub(super) yielded: Option<Micros>,
    /// When we started.
    pub(super) born: Micros,
    /// Version of the record of the lead, and since when we know it.
    pub(super) lead_seen: (u64, Micros),
    /// When our record of the format we read is looked at again; none: it is being written.
    pub(super) format_at: Option<Micros>,
    /// It has been logged that all controllers read our format.
    pub(super) rolled_out: bool,
}

impl Node {
    /// A controller that has just started.
    pub fn new(settings: Settings, policy: Policy, seed: u64, clock: Clock) -> Node {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let inc = rng.random::<u64>() >> 1;
        let siblings = Siblings::new(settings.siblings.len(), &policy, clock.now);
        let budget = Budget::new(&settings);
        let reach = Reach::new(clock.now, room_for_two_vain(&settings));
        let (rps, wps, burst) = budget.rates(&settings);
        let store = Store::new(settings.external.state, rps, wps, burst);
        Node {
            settings,
            policy,
            inc,
            rng,
            store,
            mirror: Mirror::default(),
            front: Front::default(),
            leader: None,
            renewals: Renewals::default(),
            turns: Turns::default(),
            out: Vec::new(),
            next_id: 0,
            calls: BTreeMap::new(),
            claim: ClaimState::Idle,
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
            siblings,
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
    pub fn handle(&mut self, clock: Clock, events: Vec<NetEvent>) -> (Vec<NetCmd>, Micros) {
        self.reach.look(clock.now);
        for turn in self.turns.step(clock.now, events) {
            match turn {
                Turn::Handle(NetEvent::Request {
                    conn,
                    internal,
                    method,
                    path,
                    body,
                }) => self.on_request(clock, conn, internal, &method, &path, &body),
                Turn::Handle(NetEvent::Answer { id, outcome }) => {
                    self.on_answer(clock, id, outcome)
                }
                Turn::Refuse(conn) => self.refuse_until(conn, "too many requests at once", 2),
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
        self.out.push(NetCmd::Respond {
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
        self.out.push(NetCmd::Respond {
            conn,
            status,
            body,
            retry_after,
        });
    }

    /// Makes a call to somebody other than the store.
    pub fn call(
        &mut self,
        tag: CallTag,
        addr: std::net::SocketAddr,
        method: &'static str,
        path: &str,
        body: Vec<u8>,
        timeout: Micros,
    ) {
        self.next_id += 1;
        self.calls.insert(self.next_id, tag);
        self.out.push(NetCmd::Call(Call {
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
                        let body = self.answer_heartbeat(clock, h).encode();
                        self.out.push(NetCmd::Respond {
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
                _ => match path.strip_prefix(HANDED_ON) {
                    Some(path) => self.on_user(clock, conn, method, path, body),
                    None => self.refuse(conn, 404, "no such path"),
                },
            }
            return;
        }
        if self.hand_on(clock, conn, method, path, body) {
            return;
        }
        self.on_user(clock, conn, method, path, body);
    }

    fn on_user(&mut self, clock: Clock, conn: u64, method: &str, path: &str, body: &[u8]) {
        let path = path.split('?').next().unwrap_or("");
        let job = path.strip_prefix("/submissions/");
        match (method, path, job) {
            ("GET", "/healthz", _) => {
                if !self.mirror.synced {
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
            self.stand_down("a worker has seen a higher term");
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

    fn on_answer(&mut self, clock: Clock, id: u64, outcome: Outcome) {
        if let Some((tag, ask, sent, reply)) = self.store.on_answer(id, &outcome) {
            if !matches!(reply, Reply::Refused | Reply::Lost) {
                self.store_heard = clock.now;
                self.reach.store(clock.now);
            }
            self.on_store(clock, tag, ask, sent, reply);
            return;
        }
        match self.calls.remove(&id) {
            Some(CallTag::Heartbeat(i, sent)) => self.on_heartbeat_answer(clock, i, sent, outcome),
            Some(CallTag::User(conn)) => self.on_handed_on(conn, outcome),
            Some(CallTag::Relay(conn, report)) => self.on_relay(clock, conn, *report, outcome),
            Some(tag) => self.leader_answer(clock, tag, outcome),
            None => {}
        }
    }

    /// The copy has changed: look who leads.
    pub(super) fn on_news(&mut self, clock: Clock) {
        let version = self.mirror.lead.as_ref().map_or(0, |(_, v)| *v);
        if self.lead_seen.0 != version {
            self.lead_seen = (version, clock.now);
        }
        let ours = self
            .mirror
            .lead
            .as_ref()
            .filter(|(l, _)| l.node == self.settings.node && l.inc == self.inc)
            .filter(|(l, _)| l.term >= self.highest)
            .map(|(l, v)| (l.term, *v));
        match (ours, &mut self.leader) {
            (None, Some(_)) => self.stand_down("another controller leads"),
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
                self.leader = Some(Leader::new(term, version, clock));
                self.renew_at = clock.now;
                self.take_share(clock);
                self.want_barrier(clock, Waiter::Proof);
            }
            (None, None) => {}
        }
        self.on_changed_jobs();
    }

    pub(super) fn stand_down(&mut self, why: &str) {
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
                self.store.ask(Rank::First, Tag::Load, Ask::List { after });
            } else {
                next = next.min(at);
            }
        }
        if let Some(at) = self.follow_at {
            if at <= now {
                self.follow_at = None;
                let ask = Ask::Watch {
                    after: self.mirror.revision,
                    block_ms: 10_000,
                };
                self.following = true;
                self.store.ask(Rank::First, Tag::Follow, ask);
            } else {
                next = next.min(at);
            }
        }
        if self.barrier_sent.is_none() && !self.barrier_next.is_empty() {
            self.send_barrier(clock);
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
        if self.leader.is_none() && self.mirror.synced {
            let at = (self.store_heard + PROBE_AFTER).max(self.probed + PROBE_EVERY);
            if at <= now {
                self.probed = now;
                if self.barrier_sent.is_none() {
                    self.want_barrier(clock, Waiter::Proof);
                }
            }
            next = next.min(at.max(now + PROBE_EVERY));
        }
        if self.leader.is_none() && self.renewals.active() {
            let proof = self.renewals.proof();
            if proof + PROOF_EVERY <= now {
                if self.barrier_sent.is_none() {
                    self.want_barrier(clock, Waiter::Proof);
                }
            } else {
                next = next.min(proof + PROOF_EVERY);
            }
        }
        if self.leader.is_some() {
            if self.renew_at <= now && !self.renewing {
                if let Some(l) = self.lease {
                    self.renewing = true;
                    self.store.ask(Rank::First, Tag::Renew, Ask::Renew(l));
                } else {
                    self.renewing = true;
                    self.store
                        .ask(Rank::First, Tag::RelieveLease, Ask::NewLease(LEAD_TTL));
                }
            }
            if !self.renewing {
                next = next.min(self.renew_at);
            }
            let proof = self.leader.as_ref().map_or(now, |l| l.proof);
            if proof + PROOF_EVERY <= now {
                if self.barrier_sent.is_none() {
                    self.want_barrier(clock, Waiter::Proof);
                }
            } else {
                next = next.min(proof + PROOF_EVERY);
            }
            next = next.min(self.leader_time(clock));
            next = next.min(self.give_way(clock));
        }
        next
    }

    /// How long after the start of the last proof reports may still be answered: whatever was
    /// cancelled since must be gone in time, and a renewed worker keeps its tasks for a lease.
    pub fn proof_grace(&self) -> Micros {
        let w = &self.settings.params.workers;
        let margin = 2.0 + 0.002 * w.cancel_s;
        Micros::secs(w.cancel_s - w.lease_s - margin)
    }
}

/// A condition on a key's version.
pub fn cond(key: &str, version: u64) -> Cond {
    Cond {
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
