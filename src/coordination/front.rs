//! Users: submissions, polls and cancellations, on any controller.

use super::node::{CallTag, Clock, HANDED_ON, Node, Tag, cond, put};
use super::placement;
use crate::bookkeeping::mirror::{Job, Known};
use crate::bookkeeping::store::{Ask, Rank, Reply};
use crate::protocol::format::PIPELINES;
use crate::protocol::job::{Malformed, parse, valid_id};
use crate::protocol::records::{BUNDLED, CHUNK, Chunk, JobRec, Stage, job_key};
use crate::protocol::wire::{Change, JobState, MachineType, Txn, json_len};
use crate::protocol::{Kind, Micros, Settings, Spec};
use crate::transport::{NetCmd, Outcome};
use std::collections::BTreeMap;

/// What waits for the copy to catch up.
#[derive(Debug, Clone)]
pub enum Waiter {
    /// A poll.
    Poll {
        /// Request.
        conn: u64,
        /// Job.
        id: String,
    },
    /// A repeated submission of a known job.
    Resubmit {
        /// Request.
        conn: u64,
        /// Job.
        id: String,
        /// The acceptance had failed on the job's key: it must exist, so 404 is no answer.
        status: u16,
    },
    /// A submission that names a job which the copy does not hold.
    Submit {
        /// Request.
        conn: u64,
        /// Job.
        id: String,
        /// What was submitted.
        spec: Box<Spec>,
    },
    /// A cancellation.
    Cancel {
        /// Request.
        conn: u64,
        /// Job.
        id: String,
    },
    /// The leader's proof that its term holds.
    Proof,
    /// Job records whose transaction failed or got no answer.
    Edits(u64),
}

struct Accepting {
    nth: u64,
    conns: Vec<u64>,
    rec: JobRec,
    since: Micros,
    flying: bool,
    tried: bool,
    /// The state service has rejected it together with others: they may have been too many.
    alone: bool,
    again: Micros,
}

/// Users' requests in progress.
#[derive(Default)]
pub struct Front {
    accepting: BTreeMap<String, Accepting>,
    /// The same in the order in which they came.
    order: BTreeMap<u64, String>,
    came: u64,
    /// Nothing of them is due before this.
    look_at: Micros,
    batches: usize,
    cancelling: BTreeMap<String, Vec<u64>>,
}

/// A submission is given up after this long; its user waits 5 s.
const SUBMIT_PATIENCE: Micros = Micros::millis(4000);
/// Submissions are queued up to what the store takes in this many seconds.
const QUEUE_S: f64 = 2.5;
/// How long a sibling may take over a request of ours; users wait 2 s for a poll, 5 s else.
const POLL_HANDED_ON: Micros = Micros::millis(1500);
const SUBMIT_HANDED_ON: Micros = Micros::millis(4500);
/// After a lost answer the same transaction is tried again this much later.
const AGAIN: Micros = Micros::millis(150);
/// Transactions of acceptance in flight at once.
const BATCHES: usize = 2;

/// What a task's entry in a record takes, as JSON, with numbers of some age.
const ENTRY_BYTES: usize = 27;

/// What the record takes besides description and entries, as JSON.
const REST_BYTES: usize = 100;

/// What a job's record must have room for besides the description: all tasks of the first chunk that
/// have to be there together; of an array, so many that it gets on.
fn room_of_tasks(spec: &Spec) -> usize {
    let most = match spec.kind {
        Kind::Array => CHUNK / 4,
        Kind::Gang | Kind::Service => CHUNK,
    };
    REST_BYTES + spec.tasks.min(most) as usize * ENTRY_BYTES
}

/// Why a job can never run.
pub fn impossible(s: &Settings, types: &[MachineType], spec: &Spec) -> Option<&'static str> {
    let Some(team) = s.team(&spec.team) else {
        return Some("unknown team");
    };
    let need = placement::need(spec);
    let fits = types.iter().any(|t| {
        let zone = spec
            .zone
            .as_ref()
            .is_none_or(|z| t.zones.is_empty() || t.zones.contains(z));
        let kind = spec.types.as_ref().is_none_or(|l| l.contains(&t.name));
        zone && kind && placement::slots(&[t.cpus, t.gpus, t.memory_gb], &need) > 0
    });
    if !fits {
        return Some("a task fits no allowed machine type");
    }
    let n = match spec.kind {
        Kind::Array => 1.0,
        _ => spec.tasks as f64,
    };
    let over = |most: f64, each: f64| most > 0.0 && each * n > most + 1e-6;
    if over(team.cpus_max, spec.cpus) || over(team.gpus_max, spec.gpus) {
        return Some("the job needs more than its team's limit");
    }
    None
}

fn state_of(id: &str, known: &Known<'_>) -> (bool, JobState) {
    let word = |s: Stage| match s {
        Stage::Done => "done",
        Stage::Cancelled => "cancelled",
        Stage::Active => "pending",
    };
    match known {
        Known::Over(f) => {
            let done = (f.stage == Stage::Done).then_some(f.tasks as u64);
            let state = JobState {
                id: id.to_string(),
                status: word(f.stage).to_string(),
                done,
                running: Some(0),
            };
            (true, state)
        }
        Known::Live(job) => {
            let running = job.entries().filter(|e| e.machine().is_some()).count() as u64;
            let stage = job.rec.stage;
            let status = match stage {
                Stage::Active if running > 0 => "running",
                s => word(s),
            };
            let state = JobState {
                id: id.to_string(),
                status: status.to_string(),
                done: Some(job.done_count()),
                running: Some(if stage == Stage::Active { running } else { 0 }),
            };
            (stage != Stage::Active, state)
        }
    }
}

impl Node {
    /// Hands a user's request on to a sibling if the state service serves that one and not us;
    /// tells whether it did. What memory can answer for good is answered here.
    pub fn hand_on(
        &mut self,
        clock: Clock,
        conn: u64,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> bool {
        let Some(rest) = path.strip_prefix("/submissions") else {
            return false;
        };
        if let Some(Known::Over(_)) = self.mirror.job(rest.trim_start_matches('/')) {
            return false;
        }
        if method == "POST"
            && rest.is_empty()
            && !self.all_read(PIPELINES)
            && parse(body).is_ok_and(|(_, spec)| !spec.needs.is_empty())
        {
            // A sibling of the first version would accept it without the jobs that it needs.
            return false;
        }
        let (method, timeout) = match method {
            "GET" => ("GET", POLL_HANDED_ON),
            "POST" => ("POST", SUBMIT_HANDED_ON),
            _ => return false,
        };
        let Some(addr) = self.better_placed(clock) else {
            return false;
        };
        let path = format!("{HANDED_ON}{path}");
        let tag = CallTag::User(conn);
        self.call(tag, addr, method, &path, body.to_vec(), timeout);
        true
    }

    /// The sibling has answered, or not.
    pub fn on_handed_on(&mut self, conn: u64, outcome: Outcome) {
        match outcome {
            Outcome::Reply { status, body } => self.out.push(NetCmd::Respond {
                conn,
                status,
                body,
                retry_after: (status == 503).then_some(1),
            }),
            _ => self.refuse(conn, 503, "the state service does not answer"),
        }
    }

    /// POST /submissions.
    pub fn on_submit(&mut self, clock: Clock, conn: u64, body: &[u8]) {
        let (id, spec) = match parse(body) {
            Ok(x) => x,
            Err(e @ (Malformed::NotMsgPack | Malformed::NotMap | Malformed::Field(_))) => {
                log::debug!("submission refused: {e}");
                self.refuse(conn, 400, &e.to_string());
                return;
            }
        };
        self.on_job(clock, conn, id, spec, true);
    }

    /// A submission that is well formed; `catch_up`: the copy may be behind.
    fn on_job(&mut self, clock: Clock, conn: u64, id: String, spec: Spec, catch_up: bool) {
        if let Some(known) = self.mirror.job(&id) {
            let (over, state) = state_of(&id, &known);
            if over || !catch_up {
                self.respond(conn, 200, &state);
            } else {
                let w = Waiter::Resubmit {
                    conn,
                    id,
                    status: 200,
                };
                self.want_barrier(clock, w);
            }
            return;
        }
        let verdict = match &self.mirror.types {
            _ if !self.mirror.synced => Err("still reading the records"),
            None => Err("machine types are not known yet"),
            Some(types) => Ok(impossible(&self.settings, types, &spec)),
        };
        match verdict {
            Err(why) => self.refuse(conn, 503, why),
            Ok(Some(why)) => self.refuse(conn, 422, why),
            Ok(None) if !catch_up && self.too_long(&spec) => {
                let why = "the job fits into no record: its description or awaits is too long, \
                           or the gang is too wide";
                self.refuse(conn, 400, why);
            }
            Ok(None) if !spec.needs.is_empty() && !self.all_read(PIPELINES) => {
                // A controller of the first version drops what it does not know from a record.
                let why = "jobs can wait for jobs once all controllers run this version";
                self.refuse(conn, 503, why);
            }
            Ok(None) => match self.needs_known(&spec) {
                Ok(true) if !self.too_long(&spec) => self.accept(clock, conn, id, spec),
                Ok(_) if catch_up => {
                    let spec = Box::new(spec);
                    self.want_barrier(clock, Waiter::Submit { conn, id, spec });
                }
                Ok(_) => self.refuse(conn, 422, "awaits names a job that was never accepted"),
                Err(why) => self.refuse(conn, 422, why),
            },
        }
    }

    /// Whether a job's record would not fit into a value. The first version took longer ones: whether
    /// this job is one of them is looked up before it is refused.
    fn too_long(&self, spec: &Spec) -> bool {
        let state = &self.settings.params.state;
        // A gang's places go into one transaction.
        let wide =
            spec.kind == Kind::Gang && spec.tasks.div_ceil(CHUNK) as usize > state.least_txn_ops();
        wide || json_len(spec) + room_of_tasks(spec) > state.least_value_bytes()
    }

    /// Whether the copy holds all the jobs that a submission needs.
    fn needs_known(&self, spec: &Spec) -> Result<bool, &'static str> {
        let mut all = true;
        for need in &spec.needs {
            let service = match self.mirror.job(need) {
                None => {
                    all = false;
                    false
                }
                Some(Known::Over(f)) => f.service,
                Some(Known::Live(j)) => j.rec.spec.kind == Kind::Service,
            };
            if service {
                return Err("awaits names a service, which is never done");
            }
        }
        Ok(all)
    }

    fn accept(&mut self, clock: Clock, conn: u64, id: String, spec: Spec) {
        if let Some(a) = self.front.accepting.get_mut(&id) {
            a.conns.push(conn);
            return;
        }
        // More than can be written while its user waits is refused at once.
        let wait = self.front.accepting.len() as f64 / self.store.write_rate();
        if wait > QUEUE_S {
            self.refuse_until(conn, "too many submissions at once", wait.ceil() as u32);
            return;
        }
        let rec = JobRec {
            spec,
            at: clock.wall,
            stage: Stage::Active,
            end: Micros::ZERO,
            first: Chunk::default(),
            cleaned: false,
        };
        self.front.came += 1;
        let a = Accepting {
            nth: self.front.came,
            conns: vec![conn],
            rec,
            since: clock.now,
            flying: false,
            tried: false,
            alone: false,
            again: clock.now,
        };
        self.front.accepting.insert(id.clone(), a);
        self.front.order.insert(self.front.came, id);
        self.front.look_at = Micros::ZERO;
    }

    /// How many acceptances wait to be written.
    pub fn accepts_due(&self, now: Micros) -> usize {
        if self.front.batches >= BATCHES {
            return 0;
        }
        let waiting = self.front.accepting.values();
        waiting.filter(|a| !a.flying && a.again <= now).count()
    }

    /// Writes acceptances, first come first, at most `most` in a transaction.
    pub fn write_accepts(&mut self, clock: Clock, most: usize) {
        let mut ids = Vec::new();
        let mut changes = Vec::new();
        let mut conds = Vec::new();
        for id in self.front.order.values() {
            let Some(a) = self.front.accepting.get_mut(id) else {
                continue;
            };
            if a.flying || a.again > clock.now || (a.alone && !ids.is_empty()) {
                continue;
            }
            a.flying = true;
            let key = job_key(id);
            changes.push(put(&key, &a.rec, None));
            conds.push(cond(&key, 0));
            ids.push(id.clone());
            if ids.len() >= most || a.alone {
                break;
            }
        }
        if ids.is_empty() {
            return;
        }
        self.front.batches += 1;
        let txn = Txn { conds, changes };
        self.store.ask(Rank::Usual, Tag::Accept(ids), Ask::Txn(txn));
    }

    /// An acceptance came back.
    pub fn on_accepted(&mut self, clock: Clock, ids: Vec<String>, reply: Reply) {
        self.front.batches -= 1;
        self.front.look_at = Micros::ZERO;
        let alone = ids.len() == 1;
        for id in ids {
            let key = job_key(&id);
            let Some(a) = self.front.accepting.get_mut(&id) else {
                continue;
            };
            match &reply {
                Reply::Committed(rev) => {
                    let (rec, conns) = (a.rec.clone(), std::mem::take(&mut a.conns));
                    let took = clock.now.since(a.since);
                    self.forget_accepting(&id);
                    log::debug!(
                        "{id} accepted: {} of {}, {took} after it came",
                        rec.spec.tasks,
                        rec.spec.class
                    );
                    self.mirror.put_job(&id, rec, *rev);
                    if let Some(l) = &mut self.leader {
                        l.dirty = true;
                    }
                    // It may be over already: a job that it needs may be cancelled.
                    let Some(known) = self.mirror.job(&id) else {
                        continue;
                    };
                    let (_, state) = state_of(&id, &known);
                    for conn in conns {
                        self.respond(conn, 201, &state);
                    }
                }
                Reply::Conflict(failed) if failed.contains(&key) => {
                    // Known already; or our own earlier try was carried out after all.
                    let status = if a.tried { 201 } else { 200 };
                    let conns = std::mem::take(&mut a.conns);
                    self.forget_accepting(&id);
                    for conn in conns {
                        let id = id.clone();
                        self.want_barrier(clock, Waiter::Resubmit { conn, id, status });
                    }
                }
                Reply::Conflict(_) => a.flying = false,
                Reply::Rejected if alone => {
                    let conns = std::mem::take(&mut a.conns);
                    self.forget_accepting(&id);
                    for conn in conns {
                        self.refuse(conn, 503, "the state service does not take the record");
                    }
                }
                Reply::Rejected => {
                    a.flying = false;
                    a.alone = true;
                }
                Reply::Lost | Reply::TooFast if clock.now < a.since + SUBMIT_PATIENCE => {
                    a.flying = false;
                    a.tried |= reply == Reply::Lost;
                    a.again = clock.now + AGAIN;
                }
                _ => {
                    let conns = std::mem::take(&mut a.conns);
                    self.forget_accepting(&id);
                    for conn in conns {
                        self.refuse(conn, 503, "the state service does not answer");
                    }
                }
            }
        }
    }

    fn forget_accepting(&mut self, id: &str) {
        if let Some(a) = self.front.accepting.remove(id) {
            self.front.order.remove(&a.nth);
        }
    }

    /// GET /submissions/{id}; `catch_up`: the copy may be behind.
    pub fn on_poll(&mut self, clock: Clock, conn: u64, id: String, catch_up: bool) {
        if !valid_id(&id) {
            self.refuse(conn, 404, "no such job");
            return;
        }
        match self.mirror.job(&id) {
            Some(known) => {
                let (over, state) = state_of(&id, &known);
                if over || !catch_up {
                    self.respond(conn, 200, &state);
                } else {
                    self.want_barrier(clock, Waiter::Poll { conn, id });
                }
            }
            None if catch_up => self.want_barrier(clock, Waiter::Poll { conn, id }),
            None => self.refuse(conn, 404, "no such job"),
        }
    }

    /// POST /submissions/{id}/cancel; `catch_up`: the copy may be behind.
    pub fn on_cancel(&mut self, clock: Clock, conn: u64, id: String, catch_up: bool) {
        match self.mirror.job(&id) {
            Some(Known::Live(job)) if job.active() => {
                let rec = JobRec {
                    stage: Stage::Cancelled,
                    end: clock.wall,
                    ..job.rec.clone()
                };
                let (key, version) = (job_key(&id), job.version);
                let waiting = self.front.cancelling.entry(id.clone()).or_default();
                waiting.push(conn);
                if waiting.len() == 1 {
                    // The entries written here must hold what bundles say at this moment, or the
                    // job would look as if nothing of it were anywhere.
                    let bundled = cond(BUNDLED, self.mirror.bundles.head());
                    let txn = Txn {
                        conds: vec![cond(&key, version), bundled],
                        changes: vec![put(&key, &rec, None)],
                    };
                    self.store.ask(Rank::First, Tag::Cancel(id), Ask::Txn(txn));
                }
            }
            Some(known) => {
                let (_, state) = state_of(&id, &known);
                self.respond(conn, 200, &state);
            }
            None if catch_up && valid_id(&id) => {
                self.want_barrier(clock, Waiter::Cancel { conn, id });
            }
            None => self.refuse(conn, 404, "no such job"),
        }
    }

    /// A cancellation came back.
    pub fn on_cancelled(&mut self, clock: Clock, id: String, ask: Ask, reply: Reply) {
        let conns = self.front.cancelling.remove(&id).unwrap_or_default();
        match reply {
            Reply::Committed(rev) => {
                if let Ask::Txn(t) = &ask {
                    self.apply_own(t, rev);
                }
                self.on_changed_jobs();
                for conn in conns {
                    self.on_cancel(clock, conn, id.clone(), false);
                }
            }
            Reply::Conflict(_) | Reply::Lost => {
                // Somebody else's change, or perhaps our own: see what stands there.
                for conn in conns {
                    let id = id.clone();
                    self.want_barrier(clock, Waiter::Cancel { conn, id });
                }
            }
            _ => {
                for conn in conns {
                    self.refuse(conn, 503, "the state service does not answer");
                }
            }
        }
    }

    /// The copy has caught up.
    pub fn resume(&mut self, clock: Clock, w: Waiter) {
        match w {
            Waiter::Poll { conn, id } => self.on_poll(clock, conn, id, false),
            Waiter::Resubmit { conn, id, status } => match self.mirror.job(&id) {
                Some(known) => {
                    let (_, state) = state_of(&id, &known);
                    self.respond(conn, status, &state);
                }
                None => self.refuse(conn, 503, "the job's record cannot be read yet"),
            },
            Waiter::Submit { conn, id, spec } => self.on_job(clock, conn, id, *spec, false),
            Waiter::Cancel { conn, id } => self.on_cancel(clock, conn, id, false),
            Waiter::Proof => {}
            Waiter::Edits(n) => self.settle_edits(n),
        }
    }

    /// The copy could not catch up: refuse at once.
    pub fn cannot_catch_up(&mut self, w: Waiter) {
        match w {
            Waiter::Poll { conn, .. }
            | Waiter::Resubmit { conn, .. }
            | Waiter::Submit { conn, .. }
            | Waiter::Cancel { conn, .. } => {
                self.refuse(conn, 503, "the state service does not answer");
            }
            Waiter::Proof => {}
            Waiter::Edits(n) => self.unsettled_edits(n),
        }
    }

    /// Refuses what has waited for its turn in vain; returns when to look again.
    pub fn front_time(&mut self, clock: Clock) -> Micros {
        if clock.now < self.front.look_at {
            return self.front.look_at;
        }
        let mut late = Vec::new();
        let mut next = Micros::FAR;
        for (id, a) in &self.front.accepting {
            if a.flying {
                continue;
            }
            if a.since + SUBMIT_PATIENCE <= clock.now {
                late.push(id.clone());
            } else if a.again > clock.now {
                next = next.min(a.again);
            } else {
                next = next.min(a.since + SUBMIT_PATIENCE);
            }
        }
        for id in late {
            let a = self.front.accepting.get_mut(&id);
            let conns = a.map(|a| std::mem::take(&mut a.conns)).unwrap_or_default();
            self.forget_accepting(&id);
            for conn in conns {
                self.refuse(conn, 503, "too many submissions at once");
            }
        }
        self.front.look_at = next;
        next
    }
}

/// A job's changes besides its record fit into one transaction with it.
pub fn put_job(id: &str, job: &Job, rec: &JobRec) -> (crate::protocol::wire::Cond, Change) {
    let key = job_key(id);
    (cond(&key, job.version), put(&key, rec, None))
}
