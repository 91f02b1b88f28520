//! One controller: wires the actors together. `handle` takes one message and returns what is to
//! be done; no I/O, no clock, no global randomness.

use super::budget::Budget;
use super::front::{Front, Waiter};
use super::leader::Leader;
use super::policy::Policy;
use super::reach::Reach;
use super::renewal::Renewals;
use super::siblings::{SiblingView, Siblings};
use super::turns::{Turn, Turns};
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::store::{Ask, Rank, Reply, Store};
use crate::bookkeeping::workers::read_report;
use crate::protocol::format;
use crate::protocol::peer::Heartbeat;
use crate::protocol::records::{LEAD, LIVE, LeadRec, format_key};
use crate::protocol::wire::{Change, Cond, Misdirected, Problem, Report, Txn, encode, to_value};
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

/// The leader's lease in the store lives this long unrenewed. Only liveness hangs on it.
const LEAD_TTL: Micros = Micros::millis(4000);
/// Renewed at this pace.
const RENEW_EVERY: Micros = Micros::millis(1200);
/// A leader silent for this long on all links of all siblings is taken for dead.
pub(super) const LEADER_SILENT: Micros = Micros::millis(2500);
/// A worker waits 4 s for an answer, and 1 s more before it tries the next controller.
const VAIN_TRY: Micros = Micros::millis(5000);
/// Reports come up to a quarter of their interval late.
const LATEST_REPORT: f64 = 1.25;
/// A leader is relieved only this long after the last change of the lead.
const CALM: Micros = Micros::millis(10_000);
/// How often a leader asks itself whether it should lead, and how long it has to have been of no use.
const YIELD_LOOK: Micros = Micros::millis(1_000);
const YIELD_AFTER: Micros = Micros::millis(2_000);
/// Who has given the lead away leaves it to others for this long.
const YIELDED: Micros = Micros::millis(6_000);
/// The standing watch is opened anew after this many of our requests' time at the soonest, and
/// barriers of users' questions are as far apart: the rest of the budget is for what users wait for longer.
const FOLLOW_SHARE: f64 = 5.0;
const BARRIER_SHARE: f64 = 3.0;
/// Path under which siblings take users' requests from one another.
pub const HANDED_ON: &str = "/user";
/// The record of the format we read is looked at again this long after it was written.
const FORMAT_AGAIN: Micros = Micros::millis(1000);
/// A follower that has heard nothing of the state service for this long asks it. Without users it would not
/// notice an outage, since its watch stays open, and pledge nothing.
const PROBE_AFTER: Micros = Micros::millis(2000);
const PROBE_EVERY: Micros = Micros::millis(1000);
/// A leader catches up with the store at least this often.
const PROOF_EVERY: Micros = Micros::millis(1000);

#[derive(Debug, Clone, Copy, PartialEq)]
enum ClaimState {
    Idle,
    Waiting(Micros),
    Asking,
}

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
    calls: BTreeMap<u64, CallTag>,
    claim: ClaimState,
    lease: Option<u64>,
    renew_at: Micros,
    renewing: bool,
    load_after: String,
    load_at: Option<Micros>,
    /// All records are being read, one page at a time.
    loading: bool,
    follow_at: Option<Micros>,
    /// The standing watch is open.
    following: bool,
    barrier_sent: Option<Micros>,
    barrier_flying: Vec<Waiter>,
    barrier_next: Vec<Waiter>,
    /// Whose turn it is to write: job records, or acceptances.
    turn: bool,
    barrier_at: Micros,
    /// What siblings have told, and what we have told them.
    pub(super) siblings: Siblings,
    /// Start of the last read of all changes.
    pub(super) read_at: Micros,
    /// When the state service last answered us, and when we last asked for nothing but a sign of life.
    store_heard: Micros,
    probed: Micros,
    /// Whom we still reach.
    pub(super) reach: Reach,
    /// Highest term that anybody has shown us; below it we never lead, whatever an old copy says.
    pub(super) highest: u64,
    /// Our share of the store's budgets.
    pub(super) budget: Budget,
    /// When we last gave the lead away.
    yielded: Option<Micros>,
    /// When we started.
    pub(super) born: Micros,
    /// Version of the record of the lead, and since when we know it.
    pub(super) lead_seen: (u64, Micros),
    /// When our record of the format we read is looked at again; none: it is being written.
    format_at: Option<Micros>,
    /// It has been logged that all controllers read our format.
    rolled_out: bool,
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

    /// Hands acceptances and job records to the store in turn, as far as it can take them at
    /// once; what must wait goes on gathering. Returns when to look again.
    fn write_turns(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let most = self.settings.params.state.least_txn_ops();
        loop {
            // Under a flood hundreds of changes wait, and news comes hundreds of times a second: what is
            // due is only looked for when the store can take something.
            let at = self.store.room_at(now, 1);
            if at > now {
                return at;
            }
            let accepts = self.accepts_due(now);
            let (edits, next) = self.edits_due(now);
            if accepts + edits == 0 {
                return next;
            }
            self.turn = match (accepts, edits) {
                (0, _) => true,
                (_, 0) => false,
                _ => !self.turn,
            };
            let wanted = if self.turn { edits } else { accepts };
            // Half a transaction is worth sending; less only if there is no more.
            let least = wanted.min(most / 2).max(1);
            let room = self.store.room_for(now, wanted.min(most));
            if room < least && self.store.room_at(now, least) > now {
                return self.store.room_at(now, least).min(next);
            }
            if room == 0 {
                // Something is queued already: `pump` says when it can go.
                return next;
            }
            if self.turn {
                self.write_edits(clock, room);
            } else {
                self.write_accepts(room);
            }
            self.store.pump(now, &mut self.next_id, &mut self.out);
        }
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

    fn on_store(&mut self, clock: Clock, tag: Tag, ask: Ask, sent: Micros, reply: Reply) {
        match (tag, reply) {
            (Tag::Load, Reply::Page(page)) => {
                let last = page.items.last().map(|i| i.key.clone());
                if self.mirror.apply_page(page) {
                    log::info!("records read up to revision {}", self.mirror.revision);
                    self.load_after.clear();
                    self.siblings.gist = None;
                    self.loading = false;
                    self.follow_at = (!self.following).then_some(clock.now);
                    self.on_news(clock);
                } else {
                    self.load_after = last.unwrap_or_default();
                    self.load_at = Some(clock.now);
                }
            }
            (Tag::Load, _) => self.load_at = Some(clock.now + Micros::millis(250)),
            (Tag::Follow, reply) => {
                self.following = false;
                match reply {
                    Reply::Events(a) => {
                        self.mirror.apply(a);
                        self.note_read(sent);
                        let gap = (FOLLOW_SHARE / self.store.request_rate()).clamp(0.04, 0.4);
                        self.follow_at = Some(clock.now.max(sent + Micros::secs(gap)));
                        self.on_news(clock);
                    }
                    Reply::TooOld => self.reload(clock),
                    _ => self.follow_at = Some(clock.now + Micros::millis(300)),
                }
            }
            (Tag::Barrier, Reply::Events(a)) => {
                self.mirror.apply(a);
                self.barrier_sent = None;
                self.note_read(sent);
                self.on_news(clock);
                for w in std::mem::take(&mut self.barrier_flying) {
                    self.resume(clock, w);
                }
                self.send_barrier(clock);
            }
            (Tag::Barrier, reply) => {
                if reply == Reply::TooOld {
                    self.reload(clock);
                }
                self.barrier_sent = None;
                for w in std::mem::take(&mut self.barrier_flying) {
                    self.cannot_catch_up(w);
                }
                self.send_barrier(clock);
            }
            (Tag::Accept(ids), reply) => self.on_accepted(clock, ids, reply),
            (Tag::Cancel(id), reply) => self.on_cancelled(clock, id, ask, reply),
            (Tag::ClaimLease, Reply::Lease(l)) => {
                self.lease = Some(l);
                // Somebody else may have claimed while the lease was asked for.
                if self.vacant(clock) || self.relieves(clock) {
                    self.send_claim();
                } else {
                    self.claim = ClaimState::Idle;
                }
            }
            (Tag::ClaimLease, _) => self.claim = ClaimState::Idle,
            (Tag::Claim, Reply::Committed(rev)) => {
                if let Ask::Txn(t) = ask {
                    self.apply_own(&t, rev);
                }
                self.claim = ClaimState::Idle;
                self.on_news(clock);
                // The commit shows that the term is ours, and not what was cancelled before it.
                if let Some(l) = &mut self.leader {
                    l.proof = l.proof.max(self.read_at);
                }
                self.want_barrier(clock, Waiter::Proof);
            }
            (Tag::Claim, _) => {
                // After a lost answer the records tell, and a second claim fails if the first
                // was carried out.
                self.claim = ClaimState::Idle;
                self.want_barrier(clock, Waiter::Proof);
            }
            (Tag::Renew, reply) => {
                self.renewing = false;
                match reply {
                    Reply::Lease(_) => self.renew_at = sent + RENEW_EVERY,
                    Reply::LeaseGone => {
                        self.renewing = true;
                        self.store
                            .ask(Rank::First, Tag::RelieveLease, Ask::NewLease(LEAD_TTL));
                    }
                    _ => self.renew_at = clock.now + Micros::millis(300),
                }
            }
            (Tag::RelieveLease, Reply::Lease(l)) => {
                self.lease = Some(l);
                match &self.leader {
                    Some(leader) => {
                        let txn = Txn {
                            conds: vec![cond(LEAD, leader.version)],
                            changes: vec![put(LIVE, &self.settings.node, Some(l))],
                        };
                        self.store.ask(Rank::First, Tag::Relieve, Ask::Txn(txn));
                    }
                    None => self.renewing = false,
                }
            }
            (Tag::RelieveLease, _) => {
                self.renewing = false;
                self.renew_at = clock.now + Micros::millis(300);
            }
            (Tag::Relieve, reply) => {
                self.renewing = false;
                self.renew_at = clock.now + Micros::millis(300);
                if let (Reply::Committed(rev), Ask::Txn(t)) = (&reply, &ask) {
                    self.apply_own(t, *rev);
                }
                if matches!(reply, Reply::Conflict(_)) {
                    self.want_barrier(clock, Waiter::Proof);
                }
            }
            (Tag::Raise, reply) => {
                if let (Reply::Committed(rev), Ask::Txn(t)) = (&reply, &ask) {
                    self.apply_own(t, *rev);
                    self.on_news(clock);
                } else {
                    self.want_barrier(clock, Waiter::Proof);
                }
                if let Some(l) = &mut self.leader {
                    l.raising = false;
                }
            }
            (Tag::Edits(n), reply) => self.on_edits(clock, n, ask, reply),
            (Tag::Types, Reply::Committed(rev)) => {
                if let Ask::Txn(t) = ask {
                    self.apply_own(&t, rev);
                }
            }
            (Tag::Types, _) => {}
            (Tag::Parts, reply) => self.on_parts(clock, ask, reply),
            (Tag::Yield, Reply::Committed(rev)) => {
                if let Ask::Txn(t) = ask {
                    self.apply_own(&t, rev);
                }
                self.yielded = Some(clock.now);
                self.stand_down("others reach the workers");
            }
            (Tag::Yield, _) => {
                if let Some(l) = &mut self.leader {
                    l.yielding = None;
                }
            }
            (Tag::Renewals(named), reply) => self.on_renewals(clock, named, ask, sent, reply),
            (Tag::Format, reply) => {
                self.format_at = Some(clock.now + FORMAT_AGAIN);
                if let (Reply::Committed(rev), Ask::Txn(t)) = (reply, ask) {
                    self.apply_own(&t, rev);
                }
            }
        }
    }

    /// Whether every controller named in the settings has recorded that it reads this format, so that
    /// what the format adds may be written.
    pub fn all_read(&self, format: u32) -> bool {
        let s = &self.settings;
        let names = s.siblings.iter().map(|x| &x.node);
        names
            .chain([&s.node])
            .all(|n| self.mirror.format_of(n).0 >= format)
    }

    /// Records which format we read, once per start; a sibling that has gone back to an older version
    /// loses the record of its newer one.
    fn formats(&mut self, clock: Clock) -> Micros {
        let Some(at) = self.format_at else {
            return Micros::FAR;
        };
        if !self.mirror.synced {
            return Micros::FAR;
        }
        if !self.rolled_out && self.all_read(format::NEWEST) {
            self.rolled_out = true;
            log::info!("all controllers read format {}", format::NEWEST);
        }
        let (ours, version) = self.mirror.format_of(&self.settings.node);
        let key = format_key(&self.settings.node);
        let txn = if ours != format::NEWEST {
            Txn {
                conds: vec![cond(&key, version)],
                changes: vec![put(&key, &format::NEWEST, None)],
            }
        } else {
            let view = &self.siblings.view;
            let recent = |v: &SiblingView| clock.now.since(v.heard) < LEADER_SILENT;
            let back = view
                .iter()
                .filter(|(_, v)| recent(v))
                .find_map(|(node, v)| {
                    let (recorded, version) = self.mirror.format_of(node);
                    let older = v.went_back.filter(|f| *f < recorded)?;
                    Some((node.clone(), older, version))
                });
            let Some((node, older, version)) = back else {
                return Micros::FAR;
            };
            if at <= clock.now {
                log::warn!("{node} has gone back to format {older}");
            }
            self.rolled_out = false;
            // Not deleted: its version would come again, and with it a first write that was late.
            let key = format_key(&node);
            Txn {
                conds: vec![cond(&key, version)],
                changes: vec![put(&key, &older, None)],
            }
        };
        if clock.now < at {
            return at;
        }
        self.format_at = None;
        self.store.ask(Rank::Usual, Tag::Format, Ask::Txn(txn));
        Micros::FAR
    }

    /// Takes a committed transaction of ours into the copy. Watching continues from where it
    /// was, so changes of others before this revision are not skipped.
    pub fn apply_own(&mut self, txn: &Txn, revision: u64) {
        for c in &txn.changes {
            match c {
                Change::Put { put, value, .. } => self.mirror.put(put, value.clone(), revision),
                Change::Delete { key } => self.mirror.delete(key, revision),
            }
        }
    }

    /// Reads all records anew, unless that is being done already: pages of the reading before would lead the new one
    /// past keys that it has not met, and these would be taken for deleted.
    fn reload(&mut self, clock: Clock) {
        if self.loading {
            return;
        }
        log::info!("rereading the records");
        self.loading = true;
        self.follow_at = None;
        self.load_after.clear();
        self.load_at = Some(clock.now);
    }

    /// The copy holds all changes up to a moment not before `sent`.
    fn note_read(&mut self, sent: Micros) {
        self.read_at = self.read_at.max(sent);
        self.siblings.heard.read(sent.0);
        let lead = self.mirror.lead.as_ref().map(|(_, v)| *v);
        if let Some(l) = self.leader.as_mut().filter(|l| lead == Some(l.version)) {
            l.proof = l.proof.max(sent);
        }
        self.prove_renewals(sent);
    }

    /// Asks for a read barrier; the waiter goes on once the copy is at least as new as now.
    pub fn want_barrier(&mut self, clock: Clock, w: Waiter) {
        self.barrier_next.push(w);
        self.send_barrier(clock);
    }

    /// How far apart barriers are that only users want.
    fn barrier_gap(&self) -> Micros {
        Micros::secs((BARRIER_SHARE / self.store.request_rate()).clamp(0.03, 0.3))
    }

    fn send_barrier(&mut self, clock: Clock) {
        if self.barrier_sent.is_some() || self.barrier_next.is_empty() {
            return;
        }
        // Users' questions can share a barrier; they must not use up the budget that the leader's work and acceptances
        // need.
        let ours = |w: &Waiter| matches!(w, Waiter::Proof | Waiter::Edits(_));
        if clock.now < self.barrier_at + self.barrier_gap() && !self.barrier_next.iter().any(ours) {
            return;
        }
        self.barrier_at = clock.now;
        if !self.mirror.synced {
            for w in std::mem::take(&mut self.barrier_next) {
                self.cannot_catch_up(w);
            }
            return;
        }
        self.barrier_sent = Some(clock.now);
        self.barrier_flying = std::mem::take(&mut self.barrier_next);
        let ask = Ask::Watch {
            after: self.mirror.revision,
            block_ms: 0,
        };
        self.store.ask(Rank::First, Tag::Barrier, ask);
    }

    /// The copy has changed: look who leads.
    fn on_news(&mut self, clock: Clock) {
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

    /// The leader on record is an earlier run of our own process.
    fn own_past(&self) -> bool {
        self.mirror
            .lead
            .as_ref()
            .is_some_and(|(l, _)| l.node == self.settings.node && l.inc != self.inc)
    }

    /// Nobody seems to lead.
    fn vacant(&self, clock: Clock) -> bool {
        match &self.mirror.lead {
            Some((l, _)) => {
                self.own_past()
                    || self.mirror.live.is_none()
                    || self.leader_ended()
                    || self.leader_lost(clock, &l.node)
            }
            None => true,
        }
    }

    /// Whether the controller after this one, by name, is in another zone. A worker that cannot reach
    /// the leader tries the next one, and a lease may have room for one vain try only: if a cut between
    /// zones is the reason, the next one should be on its side.
    fn next_is_elsewhere(&self, node: &str) -> bool {
        let s = &self.settings;
        let others = s.siblings.iter().map(|x| (&x.node, &x.zone));
        let all: Vec<_> = others.chain([(&s.node, &s.zone)]).collect();
        let zone = all.iter().find(|(n, _)| *n == node).map(|(_, z)| *z);
        let after = all.iter().filter(|(n, _)| n.as_str() > node).min();
        after.or(all.iter().min()).map(|(_, z)| *z) != zone
    }

    /// Whether we had better lead in place of a leader that is alive: workers that a cut between zones
    /// keeps from it would try another controller of its zone next, in vain, and lose their leases,
    /// while from us they would come to one of theirs. Only in calm times; a takeover costs a moment.
    fn relieves(&self, clock: Clock) -> bool {
        let s = &self.settings;
        let Some((lead, _)) = &self.mirror.lead else {
            return false;
        };
        let calm = |v: &SiblingView| v.served && clock.now.since(v.heard) < LEADER_SILENT;
        let first = s
            .siblings
            .iter()
            .all(|x| x.node > s.node || !self.next_is_elsewhere(&x.node));
        lead.node != s.node
            && self.mirror.live.is_some()
            && !room_for_two_vain(s)
            && !self.next_is_elsewhere(&lead.node)
            && self.next_is_elsewhere(&s.node)
            && first
            && clock.now.since(self.lead_seen.1) >= CALM
            && self.served()
            && s.siblings
                .iter()
                .all(|x| self.siblings.view.get(&x.node).is_some_and(calm))
    }

    /// A sibling has put on record that it renews workers under the present lead: they come to it.
    fn others_renew(&self) -> bool {
        let term = self.mirror.lead.as_ref().map(|(l, _)| l.term);
        let mut all = self.mirror.renewals.values();
        all.any(|(r, _)| Some(r.term) == term && !r.is_empty())
    }

    fn candidacy(&mut self, clock: Clock) -> Micros {
        if self.leader.is_some() || !self.mirror.synced {
            return Micros::FAR;
        }
        if let Some(at) = self.yielded.filter(|at| clock.now < *at + YIELDED) {
            return at + YIELDED;
        }
        let own_past = self.own_past();
        match self.claim {
            ClaimState::Idle if self.vacant(clock) => {
                // A little apart, so that not all claim at once; first whoever has workers with it.
                let apart = if own_past {
                    0
                } else if self.renewals.active() {
                    self.rng.random_range(0..100)
                } else if self.others_renew() {
                    self.rng.random_range(400..550)
                } else if self.next_is_elsewhere(&self.settings.node) {
                    self.rng.random_range(0..150)
                } else {
                    self.rng.random_range(250..400)
                };
                let at = clock.now + Micros::millis(apart);
                self.claim = ClaimState::Waiting(at);
                if apart == 0 {
                    return self.candidacy(clock);
                }
                at
            }
            ClaimState::Idle if self.relieves(clock) => {
                log::info!("taking the lead over from a controller that cuts would hide");
                self.claim = ClaimState::Asking;
                self.store
                    .ask(Rank::First, Tag::ClaimLease, Ask::NewLease(LEAD_TTL));
                Micros::FAR
            }
            ClaimState::Waiting(at) if at <= clock.now => {
                if self.vacant(clock) {
                    self.claim = ClaimState::Asking;
                    self.store
                        .ask(Rank::First, Tag::ClaimLease, Ask::NewLease(LEAD_TTL));
                } else {
                    self.claim = ClaimState::Idle;
                }
                Micros::FAR
            }
            ClaimState::Waiting(at) => at,
            _ => Micros::FAR,
        }
    }

    /// Gives the lead away if others reach the workers and we do not. A leader that keeps the store and its
    /// siblings has reports handed on to it; but where controllers cannot reach one another either, it would
    /// keep a lead that it cannot use. Returns when to look again.
    fn give_way(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let Some(l) = &mut self.leader else {
            return Micros::FAR;
        };
        l.see_renewals(&self.mirror);
        if !l.cannot_serve(&self.settings, now) || !l.caught_up(&self.mirror) {
            l.yielding = None;
            return now + YIELD_LOOK;
        }
        let since = *l.yielding.get_or_insert(now);
        if now < since + YIELD_AFTER {
            return since + YIELD_AFTER;
        }
        l.yielding = Some(Micros::FAR);
        log::info!("giving the lead away: others reach the workers");
        let txn = Txn {
            conds: vec![cond(LEAD, l.version)],
            changes: vec![Change::Delete {
                key: LIVE.to_string(),
            }],
        };
        self.store.ask(Rank::First, Tag::Yield, Ask::Txn(txn));
        Micros::FAR
    }

    fn send_claim(&mut self) {
        let (term, version) = self
            .mirror
            .lead
            .as_ref()
            .map_or((0, 0), |(l, v)| (l.term, *v));
        let rec = LeadRec {
            node: self.settings.node.clone(),
            inc: self.inc,
            term: term + 1,
        };
        let txn = Txn {
            conds: vec![
                cond(LEAD, version),
                cond(LIVE, self.mirror.live.unwrap_or(0)),
            ],
            changes: vec![
                put(LEAD, &rec, None),
                put(LIVE, &self.settings.node, self.lease),
            ],
        };
        self.store.ask(Rank::First, Tag::Claim, Ask::Txn(txn));
    }

    /// How long after the start of the last proof reports may still be answered: whatever was
    /// cancelled since must be gone in time, and a renewed worker keeps its tasks for a lease.
    pub fn proof_grace(&self) -> Micros {
        let w = &self.settings.params.workers;
        let margin = 2.0 + 0.002 * w.cancel_s;
        Micros::secs(w.cancel_s - w.lease_s - margin)
    }
}

/// Whether a lease outlasts a worker's trying two controllers in vain.
fn room_for_two_vain(s: &Settings) -> bool {
    let w = &s.params.workers;
    (VAIN_TRY + VAIN_TRY).as_secs() + w.report_s * LATEST_REPORT <= w.lease_s
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
