//! The leading controller: reports, passes over the queue, and the job records it writes.

use super::fleet::Fleet;
use super::front::{Waiter, put_job};
use super::node::{CallTag, Clock, Node, Tag, cond, put};
use super::placement::{self, Host};
use super::queue::{self, Item, Room, Victim};
use crate::bookkeeping::mirror::{Job, Mirror};
use crate::bookkeeping::store::{Ask, Rank, Reply};
use crate::bookkeeping::workers::{Standing, Worker};
use crate::protocol::records::{CHUNK, Chunk, Entry, JobRec, LEAD, Stage, chunk_key};
use crate::protocol::wire::{Phase, Report, ReportAnswer, Txn, Why};
use crate::protocol::{Kind, Micros, Settings};
use crate::transport::Outcome;
use std::collections::{BTreeMap, BTreeSet};

/// Changes wanted of a job's record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Edit {
    /// Tasks that are done.
    pub done: BTreeSet<u32>,
    /// New attempts.
    pub places: Vec<Entry>,
    /// The job is over and nothing of it is anywhere: drop its entries.
    pub clean: bool,
}

/// A transaction of job records on its way.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Jobs in it, with the places it records.
    pub jobs: Vec<(String, Vec<Entry>)>,
    txn: Txn,
}

/// Trouble with a job's tasks.
#[derive(Debug, Clone, Default)]
pub struct Trouble {
    /// Machines on which it has failed in a row.
    pub machines: BTreeSet<String>,
    /// Not tried before this.
    pub again: Micros,
}

/// State that exists only while we lead; rebuilt from records and reports.
pub struct Leader {
    /// Our term.
    pub term: u64,
    /// Version of the leader's record: the condition of everything we write.
    pub version: u64,
    /// When we took the lead.
    pub since: Micros,
    /// Start of the last read that showed that our term holds.
    pub proof: Micros,
    /// A new term is being asked for.
    pub raising: bool,
    /// Workers by machine.
    pub workers: BTreeMap<String, Worker>,
    /// Machines and rentals.
    pub fleet: Fleet,
    /// Wanted changes.
    pub edits: BTreeMap<String, Edit>,
    /// Transactions on their way.
    pub batches: BTreeMap<u64, Batch>,
    next_batch: u64,
    /// Tasks to be stopped, with the grace they get, and when the stop was first wanted.
    pub stopping: BTreeMap<(String, u32), (f64, Micros)>,
    /// Gangs of which a member is lost, with the attempt: the others are not started any more.
    pub broken_gangs: BTreeMap<String, u64>,
    /// Jobs that fail.
    pub troubles: BTreeMap<String, Trouble>,
    /// Something has changed that a pass should see.
    pub dirty: bool,
    /// Commands may be due.
    pub orders_dirty: bool,
    /// The copy's generation that was last seen.
    pub generation: u64,
    /// The leases of all machines that never reported to us have run out in the worst case.
    pub strangers_over: bool,
    /// Machines whose leases followers renew for us.
    pub renewed: BTreeSet<String>,
    renewed_seen: BTreeMap<String, (u64, Micros)>,
    /// Machines on which room is being made for a job, until when.
    reserved: BTreeMap<String, (String, Micros)>,
    revoking: bool,
    /// When to look for due commands again.
    pub orders_at: Micros,
    placed: BTreeMap<String, Vec<(String, u32, u64, u64)>>,
    placed_at: Option<u64>,
    last_pass: Micros,
    b_max: f64,
    started: u64,
    order_of: BTreeMap<(String, u32), u64>,
}

/// A worker unheard for this many report intervals gets no new tasks.
const FRESH_REPORTS: f64 = 2.5;
/// Starts are sent only this soon after a proof.
const START_PROOF: Micros = Micros::millis(4000);
/// A batch whose answer was lost is sent again this much later, through a barrier.
const FORGIVE: Micros = Micros::millis(60_000);
/// Room made for a job is kept for it this long; stops take a save and a report or two.
const RESERVED: Micros = Micros::millis(20_000);
/// With nothing new, a pass comes this often all the same.
const QUIET_PASS: Micros = Micros::millis(5_000);
/// Most places of one pass.
const PLACES: usize = 64;

impl Leader {
    /// A new leader.
    pub fn new(term: u64, version: u64, clock: Clock) -> Leader {
        Leader {
            term,
            version,
            since: clock.now,
            proof: Micros::ZERO,
            raising: false,
            workers: BTreeMap::new(),
            fleet: Fleet::new(clock),
            edits: BTreeMap::new(),
            batches: BTreeMap::new(),
            next_batch: 0,
            stopping: BTreeMap::new(),
            broken_gangs: BTreeMap::new(),
            troubles: BTreeMap::new(),
            dirty: true,
            orders_dirty: true,
            generation: 0,
            strangers_over: false,
            renewed: BTreeSet::new(),
            renewed_seen: BTreeMap::new(),
            reserved: BTreeMap::new(),
            revoking: false,
            orders_at: Micros::ZERO,
            placed: BTreeMap::new(),
            placed_at: None,
            last_pass: Micros::ZERO,
            b_max: 0.0,
            started: 0,
            order_of: BTreeMap::new(),
        }
    }

    /// Where a recorded attempt stands.
    pub fn standing(&self, job: &str, e: &Entry) -> Standing {
        let Some(machine) = e.machine() else {
            return Standing::Gone;
        };
        if self.fleet.is_gone(machine) {
            return Standing::Gone;
        }
        match self.workers.get(machine) {
            Some(w) => w.standing(self.term, job, e.task(), e.attempt(), e.session()),
            // Nobody has met it under our term, and nobody can still be renewing its lease.
            None if self.strangers_over && !self.renewed.contains(machine) => Standing::Gone,
            None => Standing::Unclear,
        }
    }

    /// Whether a recorded attempt must be presumed on its machine. One that nobody has started
    /// counts while it is still `wanted`, since its start may be sent at any moment.
    pub fn presumed(&self, job: &str, e: &Entry, wanted: bool) -> bool {
        match self.standing(job, e) {
            Standing::There(_) | Standing::Unclear => true,
            Standing::NotStarted => wanted && self.wanted(job, e),
            Standing::Gone | Standing::Ended(_) => false,
        }
    }

    /// Whether a recorded attempt may be started: it is not being stopped, and its gang has
    /// lost no member.
    pub fn wanted(&self, job: &str, e: &Entry) -> bool {
        self.broken_gangs.get(job).is_none_or(|a| *a < e.attempt())
            && !self.stopping.contains_key(&(job.to_string(), e.task()))
    }

    /// A change of the job's placements is on its way: nothing of it is started meanwhile, since
    /// the attempt on record may just be replaced.
    pub fn writing(&self, job: &str) -> bool {
        self.flying(job) || self.edits.get(job).is_some_and(|e| !e.places.is_empty())
    }

    fn flying(&self, job: &str) -> bool {
        self.batches
            .values()
            .any(|b| b.jobs.iter().any(|(j, _)| j == job))
    }

    /// Marks sessions as over whose lease has run out in the worst case.
    fn leases(&mut self, s: &Settings, mirror: &Mirror, now: Micros) -> Micros {
        let w = &s.params.workers;
        // Clocks drift by 0.05% each way; the rest is for timers that fire late.
        let lease = Micros::secs(w.lease_s * 1.002 + 0.3);
        let first = self.since + Micros::secs(w.cancel_s * 1.002 + 0.3);
        let mut next = Micros::FAR;
        let ours = mirror
            .renewals
            .values()
            .filter(|(r, _)| r.term == self.term);
        let renewed = ours.flat_map(|(r, _)| r.machines.iter().cloned()).collect();
        if renewed != self.renewed {
            // A machine that nobody renews any more may be proven gone by that alone.
            self.renewed = renewed;
            self.dirty = true;
        }
        if !self.strangers_over {
            if first <= now {
                self.strangers_over = true;
                self.dirty = true;
            } else {
                next = first;
            }
        }
        for (name, worker) in &mut self.workers {
            if worker.is_over() {
                continue;
            }
            // Until it has seen our term, an older leader may have renewed its lease.
            // Direct commands show it our term as well, and renew nothing: an older term's (or, after
            // we raised our own, a follower's) last answer may then be as young as that.
            let answered = worker.answered.unwrap_or(Micros::ZERO);
            let end = if worker.term == self.term {
                answered.max(worker.termed) + lease
            } else {
                (answered + lease).max(first)
            };
            if end <= now && mirror.renewed(self.term, name) {
                // A follower keeps its lease alive, and will tell when it no longer does.
                next = next.min(now + Micros::millis(500));
            } else if end <= now {
                log::info!(
                    "{name}: lease has run out, session {} is over",
                    worker.session
                );
                worker.over = Some(worker.session);
                self.dirty = true;
            } else {
                next = next.min(end);
            }
        }
        next
    }
}

/// Grace for a stop that lets the task save.
pub fn grace(job: &Job) -> f64 {
    let s = &job.rec.spec;
    if s.checkpoint_s > 0.0 || s.save_s > 0.0 {
        s.save_s + 1.0
    } else {
        0.0
    }
}

impl Node {
    /// A worker's report, while we lead.
    pub fn leader_report(&mut self, clock: Clock, conn: u64, report: Report, relayed: bool) {
        let grace = self.proof_grace();
        let Some(l) = &mut self.leader else { return };
        if clock.now >= l.proof + grace {
            // Renewing on could keep a task alive that was cancelled meanwhile.
            self.refuse(conn, 503, "the state service is silent for too long");
            return;
        }
        let name = report.machine.clone();
        let w = l
            .workers
            .entry(name.clone())
            .or_insert_with(|| Worker::new(&report));
        let current = (report.session, report.seq) >= (w.session, w.seq);
        self.take_report(clock, &report);
        if let Some(w) = self.leader.as_mut().and_then(|l| l.workers.get_mut(&name)) {
            w.settle_answers(report.session, report.seq);
        }
        let commands = if current {
            self.commands_for(clock, &report, relayed)
        } else {
            Vec::new()
        };
        let Some(l) = &mut self.leader else { return };
        let term = l.term;
        if current && let Some(w) = l.workers.get_mut(&name) {
            w.answered = Some(clock.now);
        }
        self.respond(conn, 200, &ReportAnswer { term, commands });
    }

    /// Takes in a worker's message, from a report or a direct answer.
    pub fn take_report(&mut self, clock: Clock, report: &Report) {
        let Some(l) = &mut self.leader else { return };
        let name = &report.machine;
        let w = l
            .workers
            .entry(name.clone())
            .or_insert_with(|| Worker::new(report));
        let before = (w.session, w.term, w.tasks.len(), w.notice.is_some());
        let old = std::mem::take(&mut w.tasks);
        if !w.update(report, clock.now) {
            w.tasks = old;
            return;
        }
        l.fleet.met(name, report, clock.now);
        let changed =
            before != (w.session, w.term, w.tasks.len(), w.notice.is_some()) || old != w.tasks;
        if w.tasks.iter().all(|t| t.phase == Phase::Exited) {
            w.idle_since = w.idle_since.or(Some(clock.now));
        } else {
            w.idle_since = None;
        }
        if !changed {
            return;
        }
        l.dirty = true;
        l.orders_dirty = true;
        let tasks = w.tasks.clone();
        for t in &tasks {
            let Some(job) = self.mirror.jobs.get(&t.job) else {
                continue;
            };
            let spec = &job.rec.spec;
            if t.task >= spec.tasks {
                continue;
            }
            let fresh = old.iter().all(|o| {
                (&o.job, o.task, o.attempt, o.phase) != (&t.job, t.task, t.attempt, t.phase)
            });
            if matches!(t.phase, Phase::Running | Phase::Waiting) && fresh {
                l.troubles.remove(&t.job);
                if let Some(w) = l.workers.get_mut(name) {
                    w.images.retain(|(i, _)| *i != spec.image);
                    w.images.push((spec.image.clone(), spec.image_gb));
                    w.errors.clear();
                }
            }
            if fresh {
                log::debug!(
                    "{name}: {}/{} attempt {} is {:?} {:?}",
                    t.job,
                    t.task,
                    t.attempt,
                    t.phase,
                    t.why
                );
            }
            if t.phase != Phase::Exited {
                continue;
            }
            if t.why == Some(Why::Done) && job.active() && !job.is_done(t.task) {
                let edit = l.edits.entry(t.job.clone()).or_default();
                if spec.kind == Kind::Gang {
                    // They complete together: if one is done, all are.
                    edit.done.extend(0..spec.tasks);
                } else {
                    edit.done.insert(t.task);
                }
            }
            if fresh && matches!(t.why, Some(Why::Error | Why::NoRoom)) {
                log::info!("{name}: task {}/{} ended: {:?}", t.job, t.task, t.why);
                let trouble = l.troubles.entry(t.job.clone()).or_default();
                trouble.machines.insert(name.clone());
                let n = trouble.machines.len().min(6) as u32;
                let wait = if n <= 1 { 0 } else { 1000 << n };
                trouble.again = clock.now + Micros::millis(wait);
                if t.why == Some(Why::Error)
                    && let Some(w) = l.workers.get_mut(name)
                    && w.errors.iter().all(|(_, j)| *j != t.job)
                {
                    w.errors.push((clock.now, t.job.clone()));
                }
            }
        }
        self.flush_edits(clock);
    }

    /// Writes wanted changes of job records, several jobs a transaction.
    pub fn flush_edits(&mut self, clock: Clock) {
        let most = self.settings.params.state.txn_ops;
        loop {
            let Some(l) = &mut self.leader else { return };
            let ready: Vec<String> = l.edits.keys().filter(|id| !l.flying(id)).cloned().collect();
            let mut conds = vec![cond(LEAD, l.version)];
            let mut changes = Vec::new();
            let mut jobs = Vec::new();
            for id in ready {
                let Some(edit) = l.edits.get(&id) else {
                    continue;
                };
                let Some(job) = self.mirror.jobs.get(&id) else {
                    l.edits.remove(&id);
                    continue;
                };
                let (c, ch) = edited(&id, job, edit, clock);
                if !changes.is_empty() && changes.len() + ch.len() > most {
                    break;
                }
                conds.extend(c);
                changes.extend(ch);
                let places = l.edits.remove(&id).map(|e| e.places).unwrap_or_default();
                jobs.push((id, places));
                if changes.len() >= most {
                    break;
                }
            }
            if changes.is_empty() {
                return;
            }
            let txn = Txn { conds, changes };
            l.next_batch += 1;
            let n = l.next_batch;
            l.batches.insert(
                n,
                Batch {
                    jobs,
                    txn: txn.clone(),
                },
            );
            self.store.ask(Rank::Usual, Tag::Edits(n), Ask::Txn(txn));
        }
    }

    /// Job records came back.
    pub fn on_edits(&mut self, clock: Clock, n: u64, ask: Ask, reply: Reply) {
        if self
            .leader
            .as_ref()
            .is_none_or(|l| !l.batches.contains_key(&n))
        {
            return;
        }
        match reply {
            Reply::Committed(rev) => {
                if let Ask::Txn(t) = &ask {
                    self.apply_own(t, rev);
                }
                self.end_batch(n);
                self.send_orders(clock);
            }
            Reply::Refused => {
                // Certainly not written; it is all found out again.
                self.end_batch(n);
            }
            _ => self.want_barrier(clock, Waiter::Edits(n)),
        }
    }

    fn end_batch(&mut self, n: u64) {
        if let Some(l) = &mut self.leader {
            l.batches.remove(&n);
            l.dirty = true;
            l.orders_dirty = true;
        }
    }

    /// The copy has caught up after a failed or lost transaction. If what it changes still
    /// stands at the old versions, it may yet be carried out: it is sent again as it was.
    pub fn settle_edits(&mut self, clock: Clock, n: u64) {
        let _ = clock;
        let Some(l) = &mut self.leader else { return };
        let Some(batch) = l.batches.get(&n) else {
            return;
        };
        let holds = l.version == batch.txn.conds[0].version
            && batch.jobs.iter().all(|(id, _)| {
                let key = crate::protocol::records::job_key(id);
                let wanted = batch.txn.conds.iter().find(|c| c.key == key);
                match (wanted, self.mirror.jobs.get(id)) {
                    (Some(c), Some(j)) => c.version == j.version,
                    (None, Some(_)) => true,
                    _ => false,
                }
            });
        if holds {
            let txn = batch.txn.clone();
            self.store.ask(Rank::Usual, Tag::Edits(n), Ask::Txn(txn));
        } else {
            self.end_batch(n);
        }
    }

    /// The copy cannot catch up either; ask again later.
    pub fn unsettled_edits(&mut self, n: u64) {
        if let Some(l) = &self.leader
            && let Some(b) = l.batches.get(&n)
        {
            let txn = b.txn.clone();
            self.store.ask(Rank::Last, Tag::Edits(n), Ask::Txn(txn));
        }
    }

    /// Answers of workers and the cloud.
    pub fn leader_answer(&mut self, clock: Clock, tag: CallTag, outcome: Outcome) {
        match tag {
            CallTag::Orders {
                machine,
                starts,
                term,
                session,
            } => self.on_orders(clock, &machine, starts, term, session, outcome),
            CallTag::Cloud(ask) => self.on_cloud(clock, ask, outcome),
            CallTag::Heartbeat(_) | CallTag::Relay(..) => {}
        }
    }

    /// What is due by time while we lead.
    pub fn leader_time(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let pace = self
            .policy
            .pass_interval(self.settings.params.limits.core_share);
        let mut next = Micros::FAR;
        if let Some(l) = &mut self.leader {
            next = next.min(l.leases(&self.settings, &self.mirror, now));
            // Machines are given up and returned by time, not by events: a pass comes now and
            // then in any case.
            if now.since(l.last_pass) > QUIET_PASS {
                l.dirty = true;
            }
            if l.dirty {
                let at = l.last_pass + pace;
                if at <= now && now < l.proof + START_PROOF {
                    l.dirty = false;
                    l.last_pass = now;
                    self.pass(clock);
                } else {
                    next = next.min(at.max(now + Micros::millis(20)));
                }
            }
        }
        self.revoke(clock);
        self.flush_edits(clock);
        next = next.min(self.fleet_time(clock));
        next = next.min(self.send_orders(clock));
        next
    }

    /// Revokes renewals of a follower that gives no sign of life. What it still answers is
    /// bounded like an older leader's, so the bound for strangers starts anew.
    fn revoke(&mut self, clock: Clock) {
        let Some(l) = &mut self.leader else { return };
        for (node, (r, version)) in &self.mirror.renewals {
            if r.term != l.term || r.machines.is_empty() {
                continue;
            }
            let seen = l
                .renewed_seen
                .entry(node.clone())
                .or_insert((*version, clock.now));
            if seen.0 != *version {
                *seen = (*version, clock.now);
            } else if clock.now.since(seen.1) > super::renewal::SIGN_OF_LIFE.times(2.5)
                && !l.raising
            {
                log::info!("{node} gives no sign of life: its renewals are revoked");
                seen.1 = clock.now;
                // A new term of ours ends all that is done under the old one, and the bound on
                // what others may still answer runs from now.
                l.revoking = true;
            }
        }
        if l.revoking {
            l.revoking = false;
            self.raise_term();
        }
    }

    fn pass(&mut self, clock: Clock) {
        let Some(l) = &mut self.leader else { return };
        let fresh = Micros::secs(self.settings.params.workers.report_s * FRESH_REPORTS);
        let types: BTreeMap<&str, placement::Amounts> = self
            .mirror
            .types
            .iter()
            .flatten()
            .map(|t| (t.name.as_str(), [t.cpus, t.gpus, t.memory_gb]))
            .collect();
        let mut hosts: Vec<Host> = Vec::new();
        let mut index: BTreeMap<String, usize> = BTreeMap::new();
        for (name, w) in &l.workers {
            let Some(total) = types.get(w.kind.as_str()) else {
                continue;
            };
            if w.is_over() || l.fleet.is_gone(name) {
                continue;
            }
            let open = w.term == l.term
                && clock.now < w.heard + fresh
                && w.notice.is_none()
                && !l.fleet.leaving(name)
                && !sick(w, &self.policy);
            index.insert(name.clone(), hosts.len());
            hosts.push(Host {
                name: name.clone(),
                kind: w.kind.clone(),
                zone: w.zone.clone(),
                spot: w.spot,
                session: w.session,
                total: *total,
                free: *total,
                open,
                images: w.images.iter().map(|(i, _)| i.clone()).collect(),
                reserved: l
                    .reserved
                    .get(name)
                    .filter(|(_, until)| *until > clock.now)
                    .map(|(j, _)| j.clone()),
            });
        }
        let mut room: Room = Room::new();
        for t in &self.settings.params.teams {
            let most = |v: f64| if v > 0.0 { v } else { f64::INFINITY };
            room.insert(t.name.clone(), [most(t.cpus_max), most(t.gpus_max)]);
        }
        let mut victims: Vec<Victim> = Vec::new();
        let mut items: Vec<(Micros, Item<'_>)> = Vec::new();
        let mut cleans: Vec<String> = Vec::new();
        let mut dones: Vec<(String, u32)> = Vec::new();
        let mut stops: Vec<(String, u32, f64)> = Vec::new();
        let mut known: BTreeSet<(String, u32, u64)> = BTreeSet::new();
        for (id, job) in &self.mirror.jobs {
            let spec = &job.rec.spec;
            let need = placement::need(spec);
            let flying: Vec<Entry> = l
                .batches
                .values()
                .flat_map(|b| &b.jobs)
                .filter(|(j, _)| j == id)
                .flat_map(|(_, p)| p.clone())
                .collect();
            let in_flight = l.writing(id);
            let mut present: Vec<(String, String)> = Vec::new();
            let mut lost = 0;
            let mut latest = 0;
            let mut standing: Vec<(u32, Standing)> = Vec::new();
            for e in job.entries().chain(&flying) {
                let Some(m) = e.machine() else { continue };
                known.insert((id.clone(), e.task(), e.attempt()));
                let s = l.standing(id, e);
                if !l.presumed(id, e, job.active()) {
                    lost += 1;
                    if s == Standing::Ended(Why::Done) && job.active() && !in_flight {
                        dones.push((id.clone(), e.task()));
                    }
                    continue;
                }
                latest = latest.max(e.attempt());
                standing.push((e.task(), s));
                let zone = match index.get(m) {
                    Some(&h) => {
                        for (f, n) in hosts[h].free.iter_mut().zip(need) {
                            *f -= n;
                        }
                        if !hosts[h].images.contains(&spec.image) {
                            hosts[h].images.push(spec.image.clone());
                        }
                        // A machine that the cloud is about to take: what can save does so now,
                        // a gang as a whole.
                        let notice = l.workers.get(m).and_then(|w| w.notice);
                        let save = grace(job);
                        if save > 0.0
                            && notice.is_some_and(|n| n > clock.now + Micros::secs(spec.save_s))
                            && s == Standing::There(Phase::Running)
                        {
                            let whole = spec.kind == Kind::Gang;
                            let all = if whole {
                                0..spec.tasks
                            } else {
                                e.task()..e.task() + 1
                            };
                            stops.extend(all.map(|t| (id.clone(), t, save)));
                        }
                        let going = l.stopping.contains_key(&(id.clone(), e.task()));
                        let single = spec.kind == Kind::Array || spec.tasks == 1;
                        if spec.kind != Kind::Service && job.active() && !going && !in_flight {
                            let order = l.order_of.get(&(id.clone(), e.task()));
                            victims.push(Victim {
                                job: id.clone(),
                                task: e.task(),
                                host: h,
                                need,
                                order: order.copied().unwrap_or(0),
                                backfilled: e.backfilled(),
                                priority: spec.priority,
                                saves: single && spec.checkpoint_s > 0.0,
                            });
                        }
                        hosts[h].zone.clone()
                    }
                    None => l.zone_of(m).unwrap_or_default(),
                };
                if let Some(r) = room.get_mut(&spec.team) {
                    r[0] -= spec.cpus;
                    r[1] -= spec.gpus;
                }
                present.push((zone, m.to_string()));
            }
            if !job.active() {
                if present.is_empty() && !in_flight {
                    cleans.push(id.clone());
                }
                continue;
            }
            if spec.kind == Kind::Gang && !present.is_empty() && lost > 0 {
                l.broken_gangs.insert(id.clone(), latest);
                let whole = standing
                    .iter()
                    .any(|(_, s)| *s == Standing::There(Phase::Saving));
                for (task, _) in standing {
                    // Members that save on command are left to it.
                    if !whole {
                        stops.push((id.clone(), task, 0.0));
                    }
                }
                continue;
            }
            if spec.kind == Kind::Gang && !present.is_empty() {
                continue;
            }
            if in_flight || l.troubles.get(id).is_some_and(|t| t.again > clock.now) {
                if l.troubles.contains_key(id) {
                    l.dirty = true;
                }
                continue;
            }
            // Zones of tasks nobody can place are unknown: such a job waits.
            if (spec.one_zone || spec.spread) && present.iter().any(|(z, _)| z.is_empty()) {
                continue;
            }
            if dones.iter().any(|(d, _)| d == id) {
                continue;
            }
            let tasks = startable(l, id, job, PLACES);
            if !tasks.is_empty() {
                let item = Item {
                    id,
                    spec,
                    tasks,
                    present,
                    estimate_s: spec.estimate_s,
                };
                items.push((job.rec.at, item));
            }
        }
        // Tasks that workers report and no record places take room as well.
        for (name, w) in &l.workers {
            let Some(&h) = index.get(name) else { continue };
            for t in w.tasks.iter().filter(|t| t.phase != Phase::Exited) {
                if known.contains(&(t.job.clone(), t.task, t.attempt)) {
                    continue;
                }
                match self.mirror.jobs.get(&t.job) {
                    Some(j) => {
                        let n = placement::need(&j.rec.spec);
                        for (f, n) in hosts[h].free.iter_mut().zip(n) {
                            *f -= n;
                        }
                    }
                    None => hosts[h].open = false,
                }
            }
        }
        items.sort_by(|a, b| (a.0, a.1.id).cmp(&(b.0, b.1.id)));
        let items: Vec<Item<'_>> = items.into_iter().map(|(_, i)| i).collect();
        for h in &mut hosts {
            if h.reserved
                .as_ref()
                .is_some_and(|r| items.iter().all(|i| i.id != *r))
            {
                h.reserved = None;
            }
        }
        let mut rest = hosts.clone();
        let plan = queue::pass(&items, &mut rest, &victims, &mut room, &mut l.b_max, PLACES);
        log::debug!(
            "pass: {} jobs wait, {} starts, {} stops, {} lack room, {} machines",
            items.len(),
            plan.places.len(),
            plan.stops.len(),
            plan.lacks.len(),
            hosts.len()
        );
        if plan.places.len() >= PLACES {
            l.dirty = true;
        }
        let lacks: Vec<(String, u32)> = plan
            .lacks
            .iter()
            .map(|k| (k.job.clone(), k.tasks))
            .collect();
        for (id, task) in plan.stops {
            if let Some(job) = self.mirror.jobs.get(&id) {
                log::info!("{id}/{task}: stopped to make room");
                if job.rec.spec.kind == Kind::Gang {
                    // A gang stops as a whole.
                    for t in 0..job.rec.spec.tasks {
                        stops.push((id.clone(), t, grace(job)));
                    }
                } else {
                    stops.push((id, task, grace(job)));
                }
            }
        }
        l.reserved.retain(|_, (_, until)| *until > clock.now);
        for (h, id) in plan.reserved {
            let until = clock.now + RESERVED;
            l.reserved.insert(hosts[h].name.clone(), (id, until));
        }
        for p in plan.places {
            let Some(job) = self.mirror.jobs.get(&p.job) else {
                continue;
            };
            let attempt = if job.rec.spec.kind == Kind::Gang {
                job.entries().map(Entry::attempt).max().unwrap_or(0)
            } else {
                job.entry(p.task).map_or(0, Entry::attempt)
            } + 1;
            let h = &hosts[p.host];
            log::debug!(
                "{}/{} attempt {attempt} goes to {}{}{}",
                p.job,
                p.task,
                h.name,
                if h.images.contains(&job.rec.spec.image) {
                    ""
                } else {
                    ", which lacks its image"
                },
                if p.backfilled { ", backfilled" } else { "" }
            );
            l.started += 1;
            l.order_of.insert((p.job.clone(), p.task), l.started);
            l.stopping.remove(&(p.job.clone(), p.task));
            let entry = Entry(
                p.task,
                attempt,
                h.name.clone(),
                h.session,
                l.term,
                p.backfilled,
            );
            l.edits.entry(p.job).or_default().places.push(entry);
        }
        for id in cleans {
            l.edits.entry(id).or_default().clean = true;
        }
        for (id, task, g) in stops {
            l.stopping.entry((id, task)).or_insert((g, clock.now));
        }
        l.stopping
            .retain(|(_, _), (_, at)| clock.now < *at + FORGIVE);
        let jobs = &self.mirror.jobs;
        l.broken_gangs.retain(|id, _| jobs.contains_key(id));
        for (id, task) in dones {
            if let Some(job) = jobs.get(&id) {
                let edit = l.edits.entry(id).or_default();
                match job.rec.spec.kind {
                    Kind::Gang => edit.done.extend(0..job.rec.spec.tasks),
                    _ => _ = edit.done.insert(task),
                }
            }
        }
        if l.order_of.len() > 20_000 {
            l.order_of.clear();
        }
        self.plan_fleet(clock, &rest, &lacks);
        self.flush_edits(clock);
    }
}

impl Leader {
    /// Refreshes the index of recorded attempts by machine.
    pub fn index(&mut self, mirror: &Mirror) {
        if self.placed_at == Some(mirror.generation) {
            return;
        }
        self.placed_at = Some(mirror.generation);
        self.placed.clear();
        for (id, job) in &mirror.jobs {
            for e in job.entries() {
                if let Some(m) = e.machine() {
                    let at = (id.clone(), e.task(), e.attempt(), e.session());
                    self.placed.entry(m.to_string()).or_default().push(at);
                }
            }
        }
    }

    /// Attempts recorded on a machine: job, task, attempt, session.
    pub fn assigned(&self, machine: &str) -> &[(String, u32, u64, u64)] {
        self.placed.get(machine).map_or(&[], Vec::as_slice)
    }

    /// Zone of a machine, if anybody has told.
    pub fn zone_of(&self, machine: &str) -> Option<String> {
        self.workers
            .get(machine)
            .map(|w| w.zone.clone())
            .or_else(|| self.fleet.zone_of(machine))
    }
}

/// Whether a machine fails tasks of several jobs in a row.
pub fn sick(w: &Worker, policy: &super::policy::Policy) -> bool {
    w.errors.len() as f64 >= policy.sick_after
}

/// Tasks of a job that may start: not done, and on no machine. At most `most` for arrays.
fn startable(l: &Leader, id: &str, job: &Job, most: usize) -> Vec<u32> {
    let spec = &job.rec.spec;
    let most = if spec.kind == Kind::Gang {
        spec.tasks as usize
    } else {
        most
    };
    let mut tasks = Vec::new();
    let chunks = spec.tasks.div_ceil(CHUNK);
    for c in 0..chunks {
        let chunk = job.chunk_of(c * CHUNK);
        for task in c * CHUNK..spec.tasks.min((c + 1) * CHUNK) {
            let free = match chunk {
                None => true,
                Some(ch) => {
                    !ch.is_done(task) && ch.entry(task).is_none_or(|e| !l.presumed(id, e, true))
                }
            };
            if free {
                tasks.push(task);
                if tasks.len() >= most {
                    return tasks;
                }
            }
        }
    }
    tasks
}

/// A job's record with an edit applied: conditions and puts.
fn edited(
    id: &str,
    job: &Job,
    edit: &Edit,
    clock: Clock,
) -> (
    Vec<crate::protocol::wire::Cond>,
    Vec<crate::protocol::wire::Change>,
) {
    let mut rec: JobRec = job.rec.clone();
    let mut chunks: BTreeMap<u32, Chunk> = BTreeMap::new();
    if edit.clean {
        // The job is over: what is left in further chunks no longer matters to anybody.
        rec.first.entries.clear();
        for (n, (c, _)) in &job.chunks {
            if !c.entries.is_empty() {
                let c = Chunk {
                    entries: Vec::new(),
                    done: c.done,
                };
                chunks.insert(*n, c);
            }
        }
    }
    if job.active() {
        let touched = edit
            .done
            .iter()
            .copied()
            .chain(edit.places.iter().map(Entry::task));
        for task in touched {
            let n = task / CHUNK;
            if n > 0 {
                chunks
                    .entry(n)
                    .or_insert_with(|| job.chunk_of(task).cloned().unwrap_or_default());
            }
        }
        let of = |task: u32,
                  rec: &mut JobRec,
                  chunks: &mut BTreeMap<u32, Chunk>,
                  f: &dyn Fn(&mut Chunk)| {
            match chunks.get_mut(&(task / CHUNK)) {
                Some(c) => f(c),
                None => f(&mut rec.first),
            }
        };
        for e in &edit.places {
            of(e.task(), &mut rec, &mut chunks, &|c| c.set(e.clone()));
        }
        for task in &edit.done {
            of(*task, &mut rec, &mut chunks, &|c| c.finish(*task));
        }
        let done = rec.first.done.count_ones()
            + job
                .chunks
                .iter()
                .filter(|(n, _)| !chunks.contains_key(n))
                .map(|(_, (c, _))| c.done.count_ones())
                .sum::<u32>()
            + chunks.values().map(|c| c.done.count_ones()).sum::<u32>();
        if done >= rec.spec.tasks && rec.spec.kind != Kind::Service {
            rec.stage = Stage::Done;
            rec.end = clock.wall;
        }
    }
    // The record's own version is a condition in any case: it shows that nobody cancelled.
    let (c, p) = put_job(id, job, &rec);
    let mut conds = vec![c];
    let mut changes = Vec::new();
    if rec != job.rec || chunks.is_empty() {
        changes.push(p);
    }
    for (n, c) in chunks {
        let key = chunk_key(id, n);
        conds.push(cond(&key, job.chunks.get(&n).map_or(0, |(_, v)| *v)));
        changes.push(put(&key, &c, None));
    }
    (conds, changes)
}
