//! Users: submissions, polls and cancellations, on any controller.

use crate::api::acceptance::Accepting;
use crate::controller::Controller;
use crate::messages::PendingCall;
use crate::messages::PendingRequest;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::client_api::JobState;
use crate::protocol::cloud_api::MachineType;
use crate::protocol::codec::json_len;
use crate::protocol::format::PIPELINES;
use crate::protocol::job::{Malformed, parse, valid_id};
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::key_value_api::{Change, Transaction};
use crate::protocol::peer_messages::FORWARD_PREFIX;
use crate::protocol::records::{BUNDLED, CHUNK, JobRecord, JobStage, job_key};
use crate::protocol::{JobKind, JobSpec, Micros, Settings};
use crate::scheduling::placement;
use crate::state::record_cache::{Job, JobLookup};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};
use crate::transport::{NetworkCommand, Outcome};
use admission_control::lanes::Lanes;
use admission_control::refusal::Refusals;
use std::collections::{BTreeMap, BTreeSet};

/// Users' requests in progress.
pub struct ClientApi {
    pub(crate) accepting: BTreeMap<String, Accepting>,
    /// Those of them that wait to be written, by team and class.
    pub(crate) lanes: Lanes<String, String, String>,
    /// Those that rest, by the time of their next try.
    pub(crate) resting: BTreeSet<(Micros, String)>,
    pub(crate) refusals: Refusals,
    /// Submissions refused in the present second and in the one before.
    pub(crate) refused: (u64, u32, u32),
    /// Nothing of them is due before this.
    pub(crate) look_at: Micros,
    pub(crate) batches: usize,
    pub(crate) cancelling: BTreeMap<String, Vec<u64>>,
}

impl ClientApi {
    /// Acceptances that wait to be written.
    pub fn waiting(&self) -> usize {
        self.lanes.len()
    }

    pub(crate) fn count_refusal(&mut self, now: Micros) {
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

impl Default for ClientApi {
    fn default() -> ClientApi {
        ClientApi {
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
/// How long a peer may take over a request of ours; users wait 2 s for a poll, 5 s else.
const POLL_HANDED_ON: Micros = Micros::millis(1500);
const SUBMIT_HANDED_ON: Micros = Micros::millis(4500);

/// What a task's entry in a record takes, as JSON, with numbers of some age.
const ENTRY_BYTES: usize = 27;

/// What the record takes besides description and entries, as JSON.
const REST_BYTES: usize = 100;

/// What a job's record must have room for besides the description: all tasks of the first chunk that
/// have to be there together; of an array, so many that it gets on.
fn room_of_tasks(spec: &JobSpec) -> usize {
    let most = match spec.kind {
        JobKind::Array => CHUNK / 4,
        JobKind::Gang | JobKind::Service => CHUNK,
    };
    REST_BYTES + spec.tasks.min(most) as usize * ENTRY_BYTES
}

/// Why a job can never run.
pub fn impossible(s: &Settings, types: &[MachineType], spec: &JobSpec) -> Option<&'static str> {
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
        JobKind::Array => 1.0,
        _ => spec.tasks as f64,
    };
    let over = |most: f64, each: f64| most > 0.0 && each * n > most + 1e-6;
    if over(team.cpus_max, spec.cpus) || over(team.gpus_max, spec.gpus) {
        return Some("the job needs more than its team's limit");
    }
    None
}

fn word(stage: JobStage) -> &'static str {
    match stage {
        JobStage::Done => "done",
        JobStage::Cancelled => "cancelled",
        JobStage::Active => "pending",
    }
}

pub(crate) fn state_of(id: &str, known: &JobLookup<'_>) -> (bool, JobState) {
    match known {
        JobLookup::Finished(f) => {
            let done = (f.stage == JobStage::Done).then_some(f.tasks as u64);
            let state = JobState {
                id: id.to_string(),
                status: word(f.stage).to_string(),
                done,
                running: Some(0),
            };
            (true, state)
        }
        JobLookup::Live(job) => {
            let running = job.entries().filter(|e| e.machine().is_some()).count() as u64;
            let stage = job.rec.stage;
            let status = match stage {
                JobStage::Active if running > 0 => "running",
                s => word(s),
            };
            let state = JobState {
                id: id.to_string(),
                status: status.to_string(),
                done: Some(job.done_count()),
                running: Some(if stage == JobStage::Active {
                    running
                } else {
                    0
                }),
            };
            (stage != JobStage::Active, state)
        }
    }
}

impl Controller {
    /// Hands a user's request on to a peer if the state service serves that one and not us;
    /// tells whether it did. What memory can answer for good is answered here.
    pub fn forward_to_peer(
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
        if let Some(JobLookup::Finished(_)) = self.cache.job(rest.trim_start_matches('/')) {
            return false;
        }
        if method == "POST"
            && rest.is_empty()
            && !self.all_peers_read(PIPELINES)
            && parse(body).is_ok_and(|(_, spec)| !spec.needs.is_empty())
        {
            // A peer of the first version would accept it without the jobs that it needs.
            return false;
        }
        let (method, timeout) = match method {
            "GET" => ("GET", POLL_HANDED_ON),
            "POST" => ("POST", SUBMIT_HANDED_ON),
            _ => return false,
        };
        let Some(addr) = self.peer_with_store(clock) else {
            return false;
        };
        let path = format!("{FORWARD_PREFIX}{path}");
        let tag = PendingCall::ForwardedRequest { conn };
        self.call(tag, addr, method, &path, body.to_vec(), timeout);
        true
    }

    /// The peer has answered, or not.
    pub fn on_forwarded_response(&mut self, conn: u64, outcome: Outcome) {
        match outcome {
            Outcome::Reply { status, body } => self.out.push(NetworkCommand::Respond {
                conn,
                status,
                body,
                retry_after: (status == 503).then_some(1),
            }),
            _ => self.refuse(conn, 503, "the state service does not answer"),
        }
    }

    /// Tells a user the state of a job. That one is cancelled is not told while a peer goes by our pledge to
    /// tell nothing new: it may be renewing the lease of an agent that runs the job.
    pub(crate) fn tell(&mut self, clock: Clock, conn: u64, status: u16, state: &JobState) {
        let newest = self.cache.last_cancellation_or_claim;
        if state.status == word(JobStage::Cancelled)
            && !self.peers.quiet.may_tell(newest, clock.now.0)
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
        let is = self.cache.is_unreadable(id);
        if is {
            self.refuse(conn, 503, "the job's record cannot be read");
        }
        is
    }

    /// A submission that is well formed; `catch_up`: the copy may be behind.
    pub(crate) fn on_job(
        &mut self,
        clock: Clock,
        conn: u64,
        id: String,
        spec: JobSpec,
        catch_up: bool,
    ) {
        if self.unreadable(conn, &id) {
            return;
        }
        if let Some(known) = self.cache.job(&id) {
            let (over, state) = state_of(&id, &known);
            if over || !catch_up {
                self.tell(clock, conn, 200, &state);
            } else {
                let w = PendingRequest::Resubmit {
                    conn,
                    id,
                    status: 200,
                };
                self.request_read_barrier(clock, w);
            }
            return;
        }
        let verdict = match &self.cache.types {
            _ if !self.cache.synced => Err("still reading the records"),
            None => Err("machine types are not known yet"),
            Some(types) => Ok(impossible(&self.settings, types, &spec)),
        };
        match verdict {
            Err(why) => self.refuse(conn, 503, why),
            Ok(Some(_)) if catch_up => {
                // Another controller may have accepted it under other machine types.
                let spec = Box::new(spec);
                self.request_read_barrier(clock, PendingRequest::Submit { conn, id, spec });
            }
            Ok(Some(why)) => self.refuse(conn, 422, why),
            Ok(None) if !catch_up && self.too_long(&spec) => {
                let why = "the job fits into no record: its description or awaits is too long, \
                           or the gang is too wide";
                self.refuse(conn, 400, why);
            }
            Ok(None) if !spec.needs.is_empty() && !self.all_peers_read(PIPELINES) => {
                // A controller of the first version drops what it does not know from a record.
                let why = "jobs can wait for jobs once all controllers run this version";
                self.refuse(conn, 503, why);
            }
            Ok(None) => match self.needs_known(&spec) {
                Ok(true) if !self.too_long(&spec) => self.accept(clock, conn, id, spec),
                Ok(_) if catch_up => {
                    let spec = Box::new(spec);
                    self.request_read_barrier(clock, PendingRequest::Submit { conn, id, spec });
                }
                Ok(_) => self.refuse(conn, 422, "awaits names a job that was never accepted"),
                Err(why) => self.refuse(conn, 422, why),
            },
        }
    }

    /// Whether a job's record would not fit into a value. The first version took longer ones: whether
    /// this job is one of them is looked up before it is refused.
    fn too_long(&self, spec: &JobSpec) -> bool {
        let state = &self.settings.params.state;
        // A gang's places go into one transaction.
        let wide = spec.kind == JobKind::Gang
            && spec.tasks.div_ceil(CHUNK) as usize > state.least_txn_ops();
        wide || json_len(spec) + room_of_tasks(spec) > state.least_value_bytes()
    }

    /// Whether the copy holds all the jobs that a submission needs.
    fn needs_known(&self, spec: &JobSpec) -> Result<bool, &'static str> {
        let mut all = true;
        for need in &spec.needs {
            let service = match self.cache.job(need) {
                None => {
                    all = false;
                    false
                }
                Some(JobLookup::Finished(f)) => f.service,
                Some(JobLookup::Live(j)) => j.rec.spec.kind == JobKind::Service,
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
        match self.cache.job(&id) {
            Some(known) => {
                let (over, state) = state_of(&id, &known);
                if over || !catch_up {
                    self.tell(clock, conn, 200, &state);
                } else {
                    self.request_read_barrier(clock, PendingRequest::Status { conn, id });
                }
            }
            None if catch_up => {
                self.request_read_barrier(clock, PendingRequest::Status { conn, id })
            }
            None => self.refuse(conn, 404, "no such job"),
        }
    }

    /// POST /submissions/{id}/cancel; `catch_up`: the copy may be behind.
    pub fn on_cancel(&mut self, clock: Clock, conn: u64, id: String, catch_up: bool) {
        if self.unreadable(conn, &id) {
            return;
        }
        match self.cache.job(&id) {
            Some(JobLookup::Live(job)) if job.active() => {
                let rec = JobRecord {
                    stage: JobStage::Cancelled,
                    end: clock.wall,
                    ..job.rec.clone()
                };
                let (key, version) = (job_key(&id), job.version);
                let waiting = self.client_api.cancelling.entry(id.clone()).or_default();
                waiting.push(conn);
                if waiting.len() == 1 {
                    // The entries written here must hold what bundles say at this moment, or the
                    // job would look as if nothing of it were anywhere.
                    let bundled =
                        VersionCondition::new(BUNDLED, self.cache.placement_batches.head());
                    let txn = Transaction {
                        conds: vec![VersionCondition::new(&key, version), bundled],
                        changes: vec![Change::put(&key, &rec, None)],
                    };
                    self.store.ask(
                        RequestPriority::Urgent,
                        StoreRequestPurpose::CancelJob(id),
                        StoreRequest::Transaction(txn),
                    );
                }
            }
            Some(known) => {
                let (_, state) = state_of(&id, &known);
                self.tell(clock, conn, 200, &state);
            }
            None if catch_up && valid_id(&id) => {
                self.request_read_barrier(clock, PendingRequest::Cancel { conn, id });
            }
            None => self.refuse(conn, 404, "no such job"),
        }
    }

    /// A cancellation came back.
    pub fn on_cancellation_result(
        &mut self,
        clock: Clock,
        id: String,
        ask: StoreRequest,
        reply: StoreResponse,
    ) {
        let conns = self.client_api.cancelling.remove(&id).unwrap_or_default();
        match reply {
            StoreResponse::Committed(rev) => {
                if let StoreRequest::Transaction(t) = &ask {
                    self.apply_own_commit(t, rev);
                }
                self.on_changed_jobs();
                for conn in conns {
                    self.on_cancel(clock, conn, id.clone(), false);
                }
            }
            StoreResponse::Conflict(_) | StoreResponse::Lost => {
                // Somebody else's change, or perhaps our own: see what stands there.
                for conn in conns {
                    let id = id.clone();
                    self.request_read_barrier(clock, PendingRequest::Cancel { conn, id });
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
        match self.cache.job(id) {
            Some(known) => {
                let (_, state) = state_of(id, &known);
                self.tell(clock, conn, status, &state);
            }
            None => self.refuse(conn, 503, "the job's record cannot be read yet"),
        }
    }

    /// The copy has caught up.
    pub fn resume_request(&mut self, clock: Clock, w: PendingRequest) {
        match w {
            PendingRequest::Status { conn, id } => self.on_poll(clock, conn, id, false),
            PendingRequest::Resubmit { conn, id, status } => {
                self.on_known(clock, conn, &id, status)
            }
            PendingRequest::Submit { conn, id, spec } => self.on_job(clock, conn, id, *spec, false),
            PendingRequest::Cancel { conn, id } => self.on_cancel(clock, conn, id, false),
            PendingRequest::ConfirmLeadership => {}
            PendingRequest::SettleJobWrites(n) => self.settle_job_write(n),
        }
    }

    /// The copy could not catch up: refuse at once.
    pub fn fail_without_barrier(&mut self, w: PendingRequest) {
        match w {
            PendingRequest::Status { conn, .. }
            | PendingRequest::Resubmit { conn, .. }
            | PendingRequest::Submit { conn, .. }
            | PendingRequest::Cancel { conn, .. } => {
                self.refuse(conn, 503, "the state service does not answer");
            }
            PendingRequest::ConfirmLeadership => {}
            PendingRequest::SettleJobWrites(n) => self.retry_job_write(n),
        }
    }
}

/// A job's changes besides its record fit into one transaction with it.
pub fn put_job(
    id: &str,
    job: &Job,
    rec: &JobRecord,
) -> (crate::protocol::key_value_api::VersionCondition, Change) {
    let key = job_key(id);
    (
        VersionCondition::new(&key, job.version),
        Change::put(&key, rec, None),
    )
}
