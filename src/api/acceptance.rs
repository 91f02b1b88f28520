//! Acceptances: submissions that wait in their lanes, are written, and are answered.

use crate::api::client_api::state_of;
use crate::controller::Controller;
use crate::messages::PendingRequest;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::key_value_api::Change;
use crate::protocol::key_value_api::Transaction;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::records::{JobRecord, JobStage, TaskChunk, job_key};
use crate::protocol::settings::Team;
use crate::protocol::{JobSpec, Micros, Settings};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};
use admission_control::lanes::{Taken, Ticket};

/// A submission is given up after this long; its user waits 5 s.
const SUBMIT_PATIENCE: Micros = Micros::millis(4000);
/// Submissions are queued up to what the store takes in this many seconds.
const QUEUE_S: f64 = 2.5;
/// After a lost answer the same transaction is tried again this much later.
const AGAIN: Micros = Micros::millis(150);
/// Transactions of acceptance in flight at once.
const BATCHES: usize = 2;

/// Where an acceptance stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Stand {
    /// Waits in its lane.
    Waits(Ticket),
    /// Is being written.
    Flying(Ticket),
    /// Its transaction got no answer, or came too early: waits for another try.
    Rests(Ticket, Micros),
}

pub(crate) struct Accepting {
    /// Who asked before the record was sent: once it is written, they are told what it says.
    conns: Vec<u64>,
    /// Who asked while it was on its way. It may have been carried out before that, and its answer be late: the job
    /// may be over by the time of the question, and whoever asked has to be told what holds then.
    joined: Vec<u64>,
    rec: JobRecord,
    since: Micros,
    /// When its user tried first, as far as we know.
    first: Micros,
    stand: Stand,
    tried: bool,
    /// The state service has rejected it together with others: they may have been too many.
    alone: bool,
}

impl Accepting {
    /// Takes all who wait for it.
    fn everybody(&mut self) -> Vec<u64> {
        let mut all = std::mem::take(&mut self.conns);
        all.append(&mut self.joined);
        all
    }
}

/// What a team counts where it has to share: more, the more of the room it is guaranteed.
fn weight_of(s: &Settings, team: &str) -> f64 {
    let part = |of: fn(&Team) -> f64| {
        let all: f64 = s.params.teams.iter().map(of).sum();
        let own = s.team(team).map_or(0.0, of);
        if all > 0.0 { own / all } else { 0.0 }
    };
    1.0 + part(|t| t.cpus).max(part(|t| t.gpus))
}

impl Controller {
    pub(crate) fn accept(&mut self, clock: Clock, conn: u64, id: String, spec: JobSpec) {
        if let Some(a) = self.client_api.accepting.get_mut(&id) {
            match a.stand {
                Stand::Flying(_) => a.joined.push(conn),
                Stand::Waits(_) | Stand::Rests(..) => a.conns.push(conn),
            }
            return;
        }
        // More than can be written while its user waits is refused at once: whoever came last in the
        // lane that holds most, so that no class is refused on account of another.
        let most = (self.store.write_rate() * QUEUE_S) as usize + 1;
        let f = &mut self.client_api;
        let busy = f.accepting.len() - f.lanes.len();
        f.lanes.limit(most.saturating_sub(busy).max(1));
        let first = Micros(f.refusals.first(&id, clock.now.0));
        let weight = weight_of(&self.settings, &spec.team);
        let (team, class) = (spec.team.clone(), spec.class.clone());
        let ticket = match f.lanes.push(team, weight, class, first.0, id.clone()) {
            Taken::Waits(t) => t,
            Taken::Instead(t, other) => {
                self.give_up(clock, &other);
                t
            }
            Taken::Refused(_) => {
                let after = self.come_again(clock, &id, first, &spec);
                self.refuse_until(conn, "too many submissions at once", after);
                return;
            }
        };
        let rec = JobRecord {
            spec,
            at: clock.wall,
            stage: JobStage::Active,
            end: Micros::ZERO,
            first: TaskChunk::default(),
            cleaned: false,
        };
        let a = Accepting {
            conns: vec![conn],
            joined: Vec::new(),
            rec,
            since: clock.now,
            first,
            stand: Stand::Waits(ticket),
            tried: false,
            alone: false,
        };
        self.client_api.accepting.insert(id, a);
        self.client_api.look_at = Micros::ZERO;
    }

    /// Seconds after which a refused submission had better come again; its first try is remembered.
    pub(crate) fn come_again(
        &mut self,
        clock: Clock,
        id: &str,
        first: Micros,
        spec: &JobSpec,
    ) -> u32 {
        let f = &mut self.client_api;
        f.count_refusal(clock.now);
        f.refusals.refuse(id, first.0, clock.now.0);
        let ahead = f.lanes.waiting(&spec.team, &spec.class);
        let rate = self.store.write_rate() / f.lanes.busy().max(1) as f64;
        f.refusals.retry_after(id, ahead, rate, clock.now.0)
    }

    /// Refuses an acceptance that is not being written.
    pub(crate) fn give_up(&mut self, clock: Clock, id: &str) {
        let Some(mut a) = self.forget_accepting(id) else {
            return;
        };
        let after = self.come_again(clock, id, a.first, &a.rec.spec);
        for conn in a.everybody() {
            self.refuse_until(conn, "too many submissions at once", after);
        }
    }

    /// How many acceptances wait to be written.
    pub fn accepts_due(&mut self, now: Micros) -> usize {
        let settings = &self.settings;
        let f = &mut self.client_api;
        while let Some((at, id)) = f.resting.pop_first() {
            if at > now {
                f.resting.insert((at, id));
                break;
            }
            if let Some(a) = f.accepting.get_mut(&id)
                && let Stand::Rests(ticket, _) = a.stand
            {
                a.stand = Stand::Waits(ticket);
                let s = &a.rec.spec;
                let weight = weight_of(settings, &s.team);
                f.lanes
                    .back(s.team.clone(), weight, s.class.clone(), ticket, id);
            }
        }
        if f.batches >= BATCHES {
            return 0;
        }
        f.lanes.len()
    }

    /// Writes acceptances, each lane in its turn, at most `most` in a transaction.
    pub fn write_accepts(&mut self, most: usize) {
        let mut ids = Vec::new();
        let mut changes = Vec::new();
        let mut conds = Vec::new();
        while ids.len() < most
            && let Some((team, class, ticket, id)) = self.client_api.lanes.pop()
        {
            let Some(a) = self.client_api.accepting.get_mut(&id) else {
                continue;
            };
            if a.alone && !ids.is_empty() {
                let weight = weight_of(&self.settings, &team);
                self.client_api.lanes.back(team, weight, class, ticket, id);
                break;
            }
            a.stand = Stand::Flying(ticket);
            let key = job_key(&id);
            changes.push(Change::put(&key, &a.rec, None));
            conds.push(VersionCondition::new(&key, 0));
            ids.push(id);
            if a.alone {
                break;
            }
        }
        if ids.is_empty() {
            return;
        }
        self.client_api.batches += 1;
        let txn = Transaction { conds, changes };
        self.store.ask(
            RequestPriority::Normal,
            StoreRequestPurpose::AcceptJobs(ids),
            StoreRequest::Transaction(txn),
        );
    }

    /// An acceptance came back.
    pub fn on_acceptance_result(&mut self, clock: Clock, ids: Vec<String>, reply: StoreResponse) {
        self.client_api.batches -= 1;
        self.client_api.look_at = Micros::ZERO;
        let alone = ids.len() == 1;
        for id in ids {
            let key = job_key(&id);
            let Some(a) = self.client_api.accepting.get_mut(&id) else {
                continue;
            };
            match &reply {
                StoreResponse::Committed(rev) => {
                    let (rec, conns) = (a.rec.clone(), std::mem::take(&mut a.conns));
                    let joined = std::mem::take(&mut a.joined);
                    let took = clock.now.since(a.since);
                    self.forget_accepting(&id);
                    log::debug!(
                        "{id} accepted: {} of {}, {took} after it came",
                        rec.spec.tasks,
                        rec.spec.class
                    );
                    self.cache.put_job(&id, rec, *rev);
                    if let Some(l) = &mut self.leader {
                        l.dirty = true;
                    }
                    for conn in joined {
                        let (id, status) = (id.clone(), 201);
                        self.request_read_barrier(
                            clock,
                            PendingRequest::Resubmit { conn, id, status },
                        );
                    }
                    // It may be over already: a job that it needs may be cancelled.
                    let Some(known) = self.cache.job(&id) else {
                        continue;
                    };
                    let (_, state) = state_of(&id, &known);
                    for conn in conns {
                        self.tell(clock, conn, 201, &state);
                    }
                }
                StoreResponse::Conflict(failed) if failed.contains(&key) => {
                    // Known already; or our own earlier try was carried out after all.
                    let status = if a.tried { 201 } else { 200 };
                    let conns = a.everybody();
                    self.forget_accepting(&id);
                    for conn in conns {
                        let id = id.clone();
                        self.request_read_barrier(
                            clock,
                            PendingRequest::Resubmit { conn, id, status },
                        );
                    }
                }
                StoreResponse::Conflict(_) => self.rest(&id, clock.now),
                StoreResponse::Rejected if alone => {
                    let conns = a.everybody();
                    self.forget_accepting(&id);
                    for conn in conns {
                        self.refuse(conn, 503, "the state service does not take the record");
                    }
                }
                StoreResponse::Rejected => {
                    a.alone = true;
                    self.rest(&id, clock.now);
                }
                StoreResponse::Lost | StoreResponse::TooFast
                    if clock.now < a.since + SUBMIT_PATIENCE =>
                {
                    a.tried |= reply == StoreResponse::Lost;
                    self.rest(&id, clock.now + AGAIN);
                }
                _ => {
                    let conns = a.everybody();
                    self.forget_accepting(&id);
                    for conn in conns {
                        self.refuse(conn, 503, "the state service does not answer");
                    }
                }
            }
        }
    }

    /// An acceptance was not written; it is tried again from then on.
    pub(crate) fn rest(&mut self, id: &str, again: Micros) {
        let f = &mut self.client_api;
        if let Some(a) = f.accepting.get_mut(id)
            && let Stand::Flying(ticket) = a.stand
        {
            a.stand = Stand::Rests(ticket, again);
            // The next try is sent after they have asked.
            let joined = std::mem::take(&mut a.joined);
            a.conns.extend(joined);
            f.resting.insert((again, id.to_string()));
        }
    }

    pub(crate) fn forget_accepting(&mut self, id: &str) -> Option<Accepting> {
        let f = &mut self.client_api;
        let a = f.accepting.remove(id)?;
        match a.stand {
            Stand::Waits(ticket) => {
                let s = &a.rec.spec;
                f.lanes.remove(&s.team, &s.class, ticket);
            }
            Stand::Rests(_, at) => _ = f.resting.remove(&(at, id.to_string())),
            Stand::Flying(_) => {}
        }
        Some(a)
    }

    /// Refuses what has waited for its turn in vain; returns when to look again.
    pub fn drive_acceptances(&mut self, clock: Clock) -> Micros {
        if clock.now < self.client_api.look_at {
            return self.client_api.look_at;
        }
        let mut late = Vec::new();
        let mut next = Micros::FAR;
        for (id, a) in &self.client_api.accepting {
            match a.stand {
                Stand::Flying(_) => {}
                _ if a.since + SUBMIT_PATIENCE <= clock.now => late.push(id.clone()),
                Stand::Rests(_, at) if at > clock.now => next = next.min(at),
                _ => next = next.min(a.since + SUBMIT_PATIENCE),
            }
        }
        for id in late {
            self.give_up(clock, &id);
        }
        self.client_api.look_at = next;
        next
    }

    /// Hands acceptances and job records to the store in turn, as far as it can take them at
    /// once; what must wait goes on gathering. Returns when to look again.
    pub(crate) fn write_due_records(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let most = self.settings.params.state.least_txn_ops();
        loop {
            // Under a flood hundreds of changes wait, and news comes hundreds of times a second: what is
            // due is only looked for when the store can take something.
            let at = self.store.changes_sendable_at(now, 1);
            if at > now {
                return at;
            }
            let accepts = self.accepts_due(now);
            let due = self.due_job_writes(now);
            let (edits, next) = (due.count, due.next_at);
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
            let room = self.store.sendable_changes(now, wanted.min(most));
            if room < least && self.store.changes_sendable_at(now, least) > now {
                return self.store.changes_sendable_at(now, least).min(next);
            }
            if room == 0 {
                // Something is queued already: `send_queued` says when it can go.
                return next;
            }
            if self.turn {
                self.write_job_records(clock, room);
            } else {
                self.write_accepts(room);
            }
            self.store
                .send_queued(now, &mut self.last_call_id, &mut self.out);
        }
    }
}
