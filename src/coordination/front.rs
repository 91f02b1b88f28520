//! Users: submissions, polls and cancellations, on any controller.

use super::accepting::Accepting;
use super::node::{CallTag, Clock, HANDED_ON, Node, Tag, cond, put};
use super::placement;
use crate::bookkeeping::mirror::{Job, Known};
use crate::bookkeeping::store::{Ask, Rank, Reply};
use crate::protocol::format::PIPELINES;
use crate::protocol::job::{Malformed, parse, valid_id};
use crate::protocol::records::{BUNDLED, CHUNK, JobRec, Stage, job_key};
use crate::protocol::wire::{Change, JobState, MachineType, Txn, json_len};
use crate::protocol::{Kind, Micros, Settings, Spec};
use crate::transport::{NetCmd, Outcome};
use std::collections::{BTreeMap, BTreeSet};
use walnuttrestle_admission::lanes::Lanes;
use walnuttrestle_admission::refusal::Refusals;

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

/// Users' requests in progress.
pub struct Front {
    pub(super) accepting: BTreeMap<String, Accepting>,
    /// Those of them that wait to be written, by team and class.
    pub(super) lanes: Lanes<String, String, String>,
    /// Those that rest, by the time of their next try.
    pub(super) resting: BTreeSet<(Micros, String)>,
    pub(super) refusals: Refusals,
    /// Submissions refused in the present second and in the one before.
    pub(super) refused: (u64, u32, u32),
    /// Nothing of them is due before this.
    pub(super) look_at: Micros,
    pub(super) batches: usize,
    pub(super) cancelling: BTreeMap<String, Vec<u64>>,
}

impl Front {
    /// Acceptances that wait to be written.
    pub fn waiting(&self) -> usize {
        self.lanes.len()
    }

    pub(super) fn count_refusal(&mut self, now: Micros) {
        let second = now.0 / 1_000_000;
        self.refused = match self.refused {
            (s, n, before) if s == second => (s, n + 1, before),
            (s, n, _) if s + 1 == second => (second, 1, n),
            _ => (second, 1, 0),
        };
    }

    /// Submissions refused in the last full second.
    pub fn refused_lately(&self, now: Micros) -> f64 {
        let second = now.0 / 1_000_000;
        match self.refused {
            (s, n, before) if s == second => before.max(n) as f64,
            (s, n, _) if s + 1 == second => n as f64,
            _ => 0.0,
        }
    }
}

impl Default for Front {
    fn default() -> Front {
        Front {
            accepting: BTreeMap::new(),
            lanes: Lanes::new(1),
            resting: BTreeSet::new(),
            refusals: Refusals::new(REFUSED_KNOWN),
            refused: (0, 0, 0),
            look_at: Micros::ZERO,
            batches: 0,
            cancelling: BTreeMap::new(),
        }
    }
}

/// Refused ids whose first attempt is remembered; 16 bytes each.
const REFUSED_KNOWN: usize = 8_192;
/// How long a sibling may take over a request of ours; users wait 2 s for a poll, 5 s else.
const POLL_HANDED_ON: Micros = Micros::millis(1500);
const SUBMIT_HANDED_ON: Micros = Micros::millis(4500);

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

fn word(stage: Stage) -> &'static str {
    match stage {
        Stage::Done => "done",
        Stage::Cancelled => "cancelled",
        Stage::Active => "pending",
    }
}

pub(super) fn state_of(id: &str, known: &Known<'_>) -> (bool, JobState) {
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

    /// Tells a user the state of a job. That one is cancelled is not told while a sibling goes by our pledge to
    /// tell nothing new: it may be renewing the lease of a worker that runs the job.
    pub(super) fn tell(&mut self, clock: Clock, conn: u64, status: u16, state: &JobState) {
        let newest = self.mirror.newest;
        if state.status == word(Stage::Cancelled)
            && !self.siblings.quiet.may_tell(newest, clock.now.0)
        {
            self.refuse(conn, 503, "not all controllers have heard that we are back");
            return;
        }
        self.respond(conn, status, state);
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

    /// Refuses a question about a job whose record cannot be read; tells whether it did. It was accepted, and may be
    /// over.
    fn unreadable(&mut self, conn: u64, id: &str) -> bool {
        let is = self.mirror.is_unreadable(id);
        if is {
            self.refuse(conn, 503, "the job's record cannot be read");
        }
        is
    }

    /// A submission that is well formed; `catch_up`: the copy may be behind.
    pub(super) fn on_job(
        &mut self,
        clock: Clock,
        conn: u64,
        id: String,
        spec: Spec,
        catch_up: bool,
    ) {
        if self.unreadable(conn, &id) {
            return;
        }
        if let Some(known) = self.mirror.job(&id) {
            let (over, state) = state_of(&id, &known);
            if over || !catch_up {
                self.tell(clock, conn, 200, &state);
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
            Ok(Some(_)) if catch_up => {
                // Another controller may have accepted it under other machine types.
                let spec = Box::new(spec);
                self.want_barrier(clock, Waiter::Submit { conn, id, spec });
            }
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

    /// GET /submissions/{id}; `catch_up`: the copy may be behind.
    pub fn on_poll(&mut self, clock: Clock, conn: u64, id: String, catch_up: bool) {
        if !valid_id(&id) {
            self.refuse(conn, 404, "no such job");
            return;
        }
        if self.unreadable(conn, &id) {
            return;
        }
        match self.mirror.job(&id) {
            Some(known) => {
                let (over, state) = state_of(&id, &known);
                if over || !catch_up {
                    self.tell(clock, conn, 200, &state);
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
        if self.unreadable(conn, &id) {
            return;
        }
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
                self.tell(clock, conn, 200, &state);
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

    /// A submission of a job that is known, or whose record is there for certain.
    fn on_known(&mut self, clock: Clock, conn: u64, id: &str, status: u16) {
        if self.unreadable(conn, id) {
            return;
        }
        match self.mirror.job(id) {
            Some(known) => {
                let (_, state) = state_of(id, &known);
                self.tell(clock, conn, status, &state);
            }
            None => self.refuse(conn, 503, "the job's record cannot be read yet"),
        }
    }

    /// The copy has caught up.
    pub fn resume(&mut self, clock: Clock, w: Waiter) {
        match w {
            Waiter::Poll { conn, id } => self.on_poll(clock, conn, id, false),
            Waiter::Resubmit { conn, id, status } => self.on_known(clock, conn, &id, status),
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
}

/// A job's changes besides its record fit into one transaction with it.
pub fn put_job(id: &str, job: &Job, rec: &JobRec) -> (crate::protocol::wire::Cond, Change) {
    let key = job_key(id);
    (cond(&key, job.version), put(&key, rec, None))
}
