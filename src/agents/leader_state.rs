//! The leading controller: what it knows of agents, their reports and leases, and what is due by
//! time. Passes are in `pass`, the job records it writes in `edits`, commands in `tasks`.

use crate::agents::failure_history::FailureHistory;
use crate::cloud::inventory::Inventory;
use crate::controller::Controller;
use crate::leadership::peers::known_cancelled;
use crate::messages::PendingCall;
use crate::protocol::Clock;
use crate::protocol::agent_api::{
    AgentHeartbeat, AgentHeartbeatResponse, ExitReason, Misdirected, TaskPhase,
};
use crate::protocol::records::TaskEntry;
use crate::protocol::{JobKind, Micros, Settings};
use crate::records::record_writer::RecordWriter;
use crate::state::agent::{Agent, HeartbeatEffect, ReportedTask, TaskError, TaskLiveness};
use crate::state::record_cache::{Job, RecordCache};
use crate::transport::Outcome;
use lease_delegation::giver::{GrantTerms, LeaseGrantor};
use std::collections::{BTreeMap, BTreeSet};

/// State that exists only while we lead; rebuilt from records and reports.
pub struct LeaderState {
    /// Our term.
    pub term: u64,
    /// Version of the leader's record: the condition of everything we write.
    pub version: u64,
    /// Version of the record with which we took the lead: whatever earlier leaders wrote is older.
    pub entered: u64,
    /// When our present term began.
    pub since: Micros,
    /// When we took the lead.
    pub led_since: Micros,
    /// Start of the last read that showed that our term holds.
    pub last_confirmed_read: Micros,
    /// When all peers were asked that then knew of no newer cancellation and no newer lead.
    pub vouched: Micros,
    /// A new term is being asked for.
    pub raising: bool,
    /// Rights to renew leases under our term that peers hold.
    pub rights: LeaseGrantor,
    /// Agents by machine.
    pub agents: BTreeMap<String, Agent>,
    /// Machines and rentals.
    pub fleet: Inventory,
    /// Changes of job records.
    pub edits: RecordWriter,
    /// Tasks to be stopped by job and number, with the grace they get, and when the stop was
    /// first wanted.
    pub stopping: BTreeMap<String, BTreeMap<u32, (f64, Micros)>>,
    /// Gangs of which a member is lost, with the attempt: the others are not started any more.
    pub broken_gangs: BTreeMap<String, u64>,
    /// Jobs that fail.
    pub troubles: BTreeMap<String, FailureHistory>,
    /// Something has changed that a pass should see.
    pub dirty: bool,
    /// Machines for which commands may be due.
    pub touched: BTreeSet<String>,
    /// When all machines are looked at for due commands, repeated ones above all.
    pub sweep_at: Micros,
    /// The leases of all machines that never reported to us have run out in the worst case.
    pub strangers_over: bool,
    /// Machines whose leases followers renew for us.
    pub renewed: BTreeSet<String>,
    renewed_seen: BTreeMap<String, (u64, Micros)>,
    /// Since when we have been of no use as a leader; far: the lead is being given away.
    pub useless_since: Option<Micros>,
    /// Machines on which room is being made for a job, until when.
    pub reserved: BTreeMap<String, (String, Micros)>,
    revoking: bool,
    renewals_seen: u64,
    leases_at: Micros,
    /// What comes back after a loss.
    pub recovery: crate::scheduling::recovery::Recovery,
    /// When bundles are looked at again.
    pub fold_at: Micros,
    /// When the last pass was.
    pub last_pass: Micros,
    /// The largest demand seen.
    pub b_max: f64,
    /// Starts so far.
    pub started: u64,
    /// Order of the starts, by job and task.
    pub order_of: BTreeMap<String, BTreeMap<u32, u64>>,
    /// What is kept from pass to pass.
    pub kept: crate::scheduling::pass::PassState,
}

/// An agent unheard for this many report intervals gets no new tasks.
pub const FRESH_REPORTS: f64 = 2.5;
/// Starts are sent, and passes made, only this soon after a proof.
pub const MAX_START_STALENESS: Micros = Micros::millis(4000);
/// After a takeover it takes an agent up to this many report intervals, and as many tries, to reach
/// the new leader.
const LEARNING_REPORTS: f64 = 3.0;
/// A session that has lasted for so many leases has been renewed, so its agent hears.
const OUTLIVED: f64 = 1.5;
/// Leases are looked through no more often than this: they last seconds.
const LEASES_EVERY: Micros = Micros::millis(200);
/// A leader gives the lead away no sooner than this after it has taken it.
const YIELD_NOT_BEFORE: Micros = Micros::millis(15_000);
/// An agent that reports to us has been heard within this many report intervals.
const HEARD_REPORTS: f64 = 1.5;
/// Leases are looked through this soon after an agent has been met; after a takeover hundreds come at once.
const MET_LEASES: Micros = Micros::millis(1_000);
/// With nothing new, a pass comes this often all the same.
const QUIET_PASS: Micros = Micros::millis(5_000);

impl LeaderState {
    /// A new leader.
    pub fn new(term: u64, version: u64, clock: Clock) -> LeaderState {
        LeaderState {
            term,
            version,
            entered: version,
            since: clock.now,
            led_since: clock.now,
            last_confirmed_read: Micros::ZERO,
            vouched: Micros::ZERO,
            raising: false,
            rights: LeaseGrantor::default(),
            agents: BTreeMap::new(),
            fleet: Inventory::new(clock),
            edits: RecordWriter::default(),
            stopping: BTreeMap::new(),
            broken_gangs: BTreeMap::new(),
            troubles: BTreeMap::new(),
            dirty: true,
            touched: BTreeSet::new(),
            sweep_at: clock.now,
            strangers_over: false,
            renewed: BTreeSet::new(),
            renewed_seen: BTreeMap::new(),
            useless_since: None,
            reserved: BTreeMap::new(),
            revoking: false,
            renewals_seen: u64::MAX,
            leases_at: Micros::ZERO,
            recovery: Default::default(),
            fold_at: clock.now,
            last_pass: Micros::ZERO,
            b_max: 0.0,
            started: 0,
            order_of: BTreeMap::new(),
            kept: Default::default(),
        }
    }

    /// Where a recorded attempt stands.
    pub fn standing(&self, job: &str, e: &TaskEntry) -> TaskLiveness {
        let Some(machine) = e.machine() else {
            return TaskLiveness::Gone;
        };
        if self.fleet.is_gone(machine) {
            return TaskLiveness::Gone;
        }
        match self.agents.get(machine) {
            Some(w) => w.liveness(self.term, job, e.task(), e.attempt(), e.agent_epoch()),
            // Nobody has met it under our term, and nobody can still be renewing its lease.
            None if self.strangers_over && !self.renewed.contains(machine) => TaskLiveness::Gone,
            None => TaskLiveness::Unknown,
        }
    }

    /// Whether a recorded attempt must be presumed on its machine. One that nobody has started
    /// counts while it is still `wanted`, since its start may be sent at any moment.
    pub fn presumed(&self, job: &str, e: &TaskEntry, wanted: bool) -> bool {
        let standing = self.standing(job, e);
        standing.may_be_running(|| wanted && self.wanted(job, e))
    }

    /// Whether a recorded attempt may be started: it is not being stopped, and its gang has
    /// lost no member.
    pub fn wanted(&self, job: &str, e: &TaskEntry) -> bool {
        self.broken_gangs.get(job).is_none_or(|a| *a < e.attempt())
            && self.stop_of(job, e.task()).is_none()
    }

    /// Long enough in the lead to know who is there. A new leader has met only some of the machines:
    /// if it stopped tasks to make room, or rented, it would do so for want of room that is there.
    pub fn learnt(&self, s: &Settings, now: Micros) -> bool {
        let learning = Micros::secs(s.params.agents.report_s * LEARNING_REPORTS);
        self.term <= 1 || now.since(self.led_since) >= learning
    }

    /// Whether others serve most of the agents and we hear hardly any: peers have put on record that they
    /// renew them. Not soon after a takeover, so that the lead does not go round.
    pub fn cannot_serve(&self, s: &Settings, now: Micros) -> bool {
        if self.renewed.is_empty() || now.since(self.led_since) < YIELD_NOT_BEFORE {
            return false;
        }
        let heard = Micros::secs(s.params.agents.report_s * HEARD_REPORTS);
        let there = self.agents.values().filter(|w| !w.is_over());
        let (mut all, mut fresh) = (0, 0);
        for w in there {
            all += 1;
            fresh += usize::from(now.since(w.heard) < heard);
        }
        self.renewed.len() * 4 >= all * 3 && fresh * 4 < all.max(1)
    }

    /// The stop that is wanted of a task: its grace, and since when.
    pub fn stop_of(&self, job: &str, task: u32) -> Option<(f64, Micros)> {
        self.stopping.get(job)?.get(&task).copied()
    }

    /// Marks sessions as over whose lease has run out in the worst case. `pledged`: peers may take our lead
    /// for one that began then.
    pub fn leases(
        &mut self,
        s: &Settings,
        cache: &RecordCache,
        pledged: Micros,
        now: Micros,
    ) -> Micros {
        if now < self.leases_at {
            return self.leases_at;
        }
        let w = &s.params.agents;
        // Clocks drift by 0.05% each way; the rest is for timers that fire late.
        let lease = Micros::secs(w.lease_s * 1.002 + 0.3);
        let cancel = Micros::secs(w.cancel_s * 1.002 + 0.3);
        let first = self.since.max(pledged) + cancel;
        let terms = GrantTerms {
            lease: lease.0,
            bound: cancel.0,
        };
        let mut next = Micros::FAR;
        self.see_renewals(cache);
        if !self.strangers_over {
            if first <= now {
                self.strangers_over = true;
                self.dirty = true;
            } else {
                next = first;
            }
        }
        for (name, agent) in &mut self.agents {
            if agent.is_over() {
                continue;
            }
            // Until it has seen our term, an older leader may have renewed its lease.
            // Direct commands show it our term as well, and renew nothing: an older term's (or, after
            // we raised our own, a follower's) last answer may then be as young as that.
            // A session that a direct answer has shown may be younger than our last answer, which then
            // was to the one before; taken for run out with that one, its tasks were started twice.
            let answered = agent.answered.unwrap_or(Micros::ZERO).max(agent.began);
            let end = if agent.term == self.term {
                answered.max(agent.termed) + lease
            } else {
                (answered + lease).max(first)
            };
            if end <= now && self.renewed.contains(name) {
                // A follower keeps its lease alive, and will tell when it no longer does.
                next = next.min(now + Micros::millis(500));
            } else if end <= now
                && let Err(again) = self.rights.over(end.0, now.0, &terms)
            {
                // Somebody may have renewed it by a right of ours, and has not told yet.
                next = next.min(Micros(again));
            } else if end <= now {
                log::info!(
                    "{name}: lease has run out, session {} is over",
                    agent.agent_epoch
                );
                agent.ended_epoch = Some(agent.agent_epoch);
                self.dirty = true;
            } else {
                next = next.min(end);
            }
        }
        self.leases_at = next.max(now + LEASES_EVERY);
        self.leases_at
    }

    /// The same, if something about it has changed.
    pub fn see_renewals(&mut self, cache: &RecordCache) {
        if self.renewals_seen != cache.renewals_generation {
            self.renewals_seen = cache.renewals_generation;
            self.note_renewals(cache);
        }
    }

    /// Which machines followers renew for our term.
    pub fn note_renewals(&mut self, cache: &RecordCache) {
        let ours = cache.renewals.values().filter(|(r, _)| r.term == self.term);
        let renewed = ours.flat_map(|(r, _)| r.machines()).collect();
        if renewed != self.renewed {
            // A machine that nobody renews any more may be proven gone by that alone.
            self.renewed = renewed;
            self.dirty = true;
            self.leases_at = Micros::ZERO;
        }
    }

    /// Zone of a machine, if anybody has told.
    pub fn zone_of(&self, machine: &str) -> Option<String> {
        self.agents
            .get(machine)
            .map(|w| w.zone.clone())
            .or_else(|| self.fleet.zone_of(machine))
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

impl Controller {
    /// An agent's report, while we lead.
    pub fn leader_heartbeat(
        &mut self,
        clock: Clock,
        conn: u64,
        report: AgentHeartbeat,
        relayed: bool,
    ) {
        let grace = self.staleness_bound();
        let Some(l) = &mut self.leader else { return };
        if clock.now >= l.vouched.max(l.last_confirmed_read) + grace {
            // Renewing on could keep a task alive that was cancelled meanwhile.
            self.refuse(conn, 503, "the state service is silent for too long");
            return;
        }
        let name = report.machine.clone();
        if l.fleet.is_gone(&name) {
            // A copy that comes late: the machine has been returned, or has stopped for good.
            self.respond(conn, 421, &Misdirected::default());
            return;
        }
        if !self.apply_heartbeat(clock, &report) {
            // A copy, or overtaken by the answer to a direct command: the agent has said something newer. Were it
            // answered with our term it might be renewed, and we would not count on it; nor may a copy of what a
            // dead machine once said keep us waiting. Without a term the agent drops the answer and stays.
            log::debug!("{name}: report {} is old", report.seq);
            self.respond(conn, 200, &BTreeMap::<&str, u64>::new());
            return;
        }
        let lease = Micros::secs(self.settings.params.agents.lease_s);
        if let Some(w) = self.leader.as_mut().and_then(|l| l.agents.get_mut(&name)) {
            w.settle_starts_before(report.agent_epoch, report.seq);
            if !relayed {
                w.reachability.on_direct_heartbeat(clock.now);
            }
            if clock.now.since(w.began) > lease.times(OUTLIVED) {
                w.reachability.on_confirmation(clock.now);
            }
        }
        if !self.store_available() && self.may_start_cancelled(&name) {
            // Nor can a higher term fence that start now, or its machine be given up: it comes too late only if
            // the session ends.
            log::info!("{name}: not renewed, a cancelled task may still be started on it");
            self.respond(conn, 200, &BTreeMap::<&str, u64>::new());
            return;
        }
        let commands = self.commands_for(clock, &report, relayed);
        let Some(l) = &mut self.leader else { return };
        let term = l.term;
        if let Some(w) = l.agents.get_mut(&name) {
            w.answered = Some(clock.now);
        }
        self.respond(conn, 200, &AgentHeartbeatResponse { term, commands });
    }

    /// Whether a start of a task whose job is cancelled may still be on its way to a machine.
    fn may_start_cancelled(&self, machine: &str) -> bool {
        let agent = self.leader.as_ref().and_then(|l| l.agents.get(machine));
        let heard = &self.peers.heard;
        agent.is_some_and(|w| {
            let mut loose = w.unresolved_starts().map(|(job, ..)| job);
            loose.any(|job| known_cancelled(&self.cache, heard, job))
        })
    }

    /// Takes in an agent's message, from a report or a direct answer; tells whether it is newer than what we have.
    pub fn apply_heartbeat(&mut self, clock: Clock, report: &AgentHeartbeat) -> bool {
        let Some(l) = &mut self.leader else {
            return false;
        };
        let name = &report.machine;
        if !l.agents.contains_key(name) || l.agents[name].agent_epoch == 0 {
            // Its lease may run out long before that of those who never come.
            l.leases_at = l.leases_at.min(clock.now + MET_LEASES);
        }
        let w = match l.agents.get_mut(name) {
            Some(w) => w,
            None => l
                .agents
                .entry(name.clone())
                .or_insert_with(|| Agent::new(report)),
        };
        let news = w.update(report, clock.now);
        if news == HeartbeatEffect::Stale {
            return false;
        }
        if w.tasks.iter().all(|t| t.phase == TaskPhase::Exited) {
            w.idle_since = w.idle_since.or(Some(clock.now));
        } else {
            w.idle_since = None;
        }
        l.fleet.met(name, report, clock.now);
        if let HeartbeatEffect::Changed(old) = news {
            l.dirty = true;
            l.touched.insert(name.clone());
            self.take_news(clock, name, &old);
        }
        true
    }

    /// What follows from an agent's list of tasks; `old` is the one before.
    fn take_news(&mut self, clock: Clock, name: &str, old: &[ReportedTask]) {
        let Some(l) = &mut self.leader else { return };
        let Some(w) = l.agents.get_mut(name) else {
            return;
        };
        let fresh = |t: &ReportedTask| {
            old.iter().all(|o| {
                (o.task, o.attempt, o.phase) != (t.task, t.attempt, t.phase) || o.job != t.job
            })
        };
        for i in 0..w.tasks.len() {
            let t = &w.tasks[i];
            if !fresh(t) {
                continue;
            }
            let Some(job) = self.cache.jobs.get(&t.job) else {
                continue;
            };
            let spec = &job.rec.spec;
            if t.task >= spec.tasks {
                continue;
            }
            log::debug!(
                "{name}: {}/{} attempt {} is {:?} {:?}",
                t.job,
                t.task,
                t.attempt,
                t.phase,
                t.why
            );
            let (id, task, phase, why) = (t.job.clone(), t.task, t.phase, t.why);
            if matches!(phase, TaskPhase::Running | TaskPhase::Waiting) {
                self.cache
                    .image_caches
                    .used(name, &spec.image, spec.image_gb);
            }
            let attempt = (id.clone(), task, t.attempt);
            if phase == TaskPhase::Running && !w.errors.is_empty() {
                w.running_since_error.insert(attempt);
                continue;
            }
            if phase != TaskPhase::Exited {
                continue;
            }
            let was_fetching = |o: &ReportedTask| {
                (o.task, o.attempt, o.phase) == (task, attempt.2, TaskPhase::Fetching)
                    && o.job == id
            };
            if old.iter().any(was_fetching) && why != Some(ExitReason::Done) {
                let alone = w.tasks.iter().all(|t| {
                    let job = self.cache.jobs.get(&t.job);
                    t.phase == TaskPhase::Exited
                        || job.is_none_or(|j| j.rec.spec.image != spec.image)
                });
                if alone {
                    self.cache.image_caches.given_up(name, &spec.image);
                }
            }
            let proves = w.running_since_error.remove(&attempt);
            if why == Some(ExitReason::Done) && job.active() && !job.is_done(task) {
                let edit = l.edits.pending_write_mut(&id, clock.now);
                if spec.kind == JobKind::Gang {
                    // They complete together: if one is done, all are.
                    edit.done.extend(0..spec.tasks);
                } else {
                    edit.done.insert(task);
                }
            }
            if why == Some(ExitReason::Done) {
                if proves {
                    w.errors.clear();
                    w.running_since_error.clear();
                }
                if let Some(t) = l.troubles.get_mut(&id) {
                    t.row = 0;
                }
            }
            if matches!(why, Some(ExitReason::Error | ExitReason::NoRoom)) {
                log::info!("{name}: task {id}/{task} ended: {why:?}");
                let trouble = l.troubles.entry(id.clone()).or_default();
                if why == Some(ExitReason::NoRoom) {
                    // What we took for room was none; the next reports will show.
                    trouble.again = trouble.again.max(clock.now + Micros::millis(1000));
                    continue;
                }
                let before = trouble.machines.insert(name.to_string(), clock.now);
                trouble.row += u32::from(before.is_none());
                if trouble.jobs_fault() {
                    trouble.again = clock.now + Micros::millis(1000 << trouble.row.min(6));
                }
                w.running_since_error.clear();
                if w.errors.iter().all(|e| e.job != id) {
                    w.errors.push(TaskError {
                        at: clock.now,
                        job: id,
                    });
                }
            }
        }
    }

    /// Records of jobs have changed: look for commands that follow.
    pub fn on_changed_jobs(&mut self) {
        let changed = self.cache.take_changed();
        let Some(l) = &mut self.leader else { return };
        for id in changed {
            l.dirty = true;
            let job = self.cache.jobs.get(&id);
            l.kept.backlog.update(&id, job);
            if let Some(job) = job {
                for m in job.entries().filter_map(TaskEntry::machine) {
                    if !l.touched.contains(m) {
                        l.touched.insert(m.to_string());
                    }
                }
            }
        }
    }

    /// Answers of agents and the cloud.
    pub fn on_leader_call_response(&mut self, clock: Clock, tag: PendingCall, outcome: Outcome) {
        match tag {
            PendingCall::AgentCommands {
                machine,
                starts,
                term,
                agent_epoch,
            } => self.on_commands_response(clock, &machine, starts, term, agent_epoch, outcome),
            PendingCall::Cloud(ask) => self.on_cloud_response(clock, ask, outcome),
            PendingCall::PeerHeartbeat { .. }
            | PendingCall::RelayedHeartbeat { .. }
            | PendingCall::ForwardedRequest { .. } => {}
        }
    }

    /// What is due by time while we lead.
    pub fn drive_leader(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let pace = self
            .policy
            .pass_interval(self.settings.params.limits.core_share)
            .times(self.request_scheduler.stretch(now));
        let mut next = Micros::FAR;
        let pledged = Micros(self.peers.quiet.until());
        if let Some(l) = &mut self.leader {
            next = next.min(l.leases(&self.settings, &self.cache, pledged, now));
            // Machines are given up and returned by time, not by events: a pass comes now and
            // then in any case.
            if now.since(l.last_pass) > QUIET_PASS {
                l.dirty = true;
            }
            if l.dirty {
                let at = l.last_pass + pace;
                if at <= now
                    && now < l.last_confirmed_read + MAX_START_STALENESS
                    && l.caught_up(&self.cache)
                {
                    l.dirty = false;
                    l.last_pass = now;
                    self.pass(clock);
                } else {
                    next = next.min(at.max(now + Micros::millis(20)));
                }
            }
        }
        self.revoke(clock);
        next = next.min(self.merge_placement_batches(clock));
        next = next.min(self.drive_inventory(clock));
        next = next.min(self.send_commands(clock));
        next
    }

    /// Revokes renewals of a follower that gives no sign of life. What it still answers is
    /// bounded like an older leader's, so the bound for strangers starts anew.
    fn revoke(&mut self, clock: Clock) {
        let Some(l) = &mut self.leader else { return };
        for (node, (r, version)) in &self.cache.renewals {
            if r.term != l.term || r.is_empty() {
                continue;
            }
            let seen = l
                .renewed_seen
                .entry(node.clone())
                .or_insert((*version, clock.now));
            if seen.0 != *version {
                *seen = (*version, clock.now);
            } else if clock.now.since(seen.1)
                > crate::leadership::delegated_renewal::SIGN_OF_LIFE.times(2.5)
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
}
