//! Leases kept alive on behalf of a leader that an agent cannot reach.
//!
//! When a zone is cut off, the controller inside it may still reach the state service. It then
//! answers the zone's agents with the leader's term and without any commands but stops of
//! cancelled tasks. Before it renews a machine's lease it records that it does, on condition that
//! the leader's term still holds; the leader does not take a machine's lease for run out while
//! such a record names it. A machine leaves the record only after its lease has run out since our
//! last answer.
//!
//! While the state service is silent nothing can be recorded. Then a lease is renewed by right: one that the
//! leader gave, or the one that falls to everybody once the leader's process has ended (crates/rights).

use crate::controller::Controller;
use crate::messages::PendingCall;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::Micros;
use crate::protocol::agent_api::{
    AgentHeartbeat, AgentHeartbeatResponse, Command, Misdirected, TaskPhase,
};
use crate::protocol::codec::encode;
use crate::protocol::key_value_api::Change;
use crate::protocol::key_value_api::Transaction;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::records::{LEAD, RenewalsRecord, renew_key};
use crate::state::agent::parse_task_name;
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};
use crate::transport::{NetworkCommand, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// What a follower renews.
#[derive(Default)]
pub struct DelegatedRenewals {
    /// Machines, with the time of our last answer.
    machines: BTreeMap<String, Micros>,
    /// Machines named by the record as committed.
    recorded: BTreeSet<String>,
    /// Term and version of the leader's record that ours is conditional on.
    under: (u64, u64),
    /// Version of our record.
    version: u64,
    /// Start of the last read that showed both records unchanged.
    last_confirmed_read: Micros,
    written: Micros,
    /// The next write comes this much later, so that users' submissions and a claim of the lead find
    /// something left of the budget.
    gap: Micros,
    flying: bool,
    waiting: Vec<(u64, AgentHeartbeat)>,
    redirected: BTreeMap<String, Micros>,
    /// The newest message that each agent has sent here: whatever else comes with its number or a lower one is
    /// a copy, and keeps no lease alive.
    newest: BTreeMap<String, (u64, u64)>,
    /// Machines whose reports are handed on to the leader, until when.
    relayed: BTreeMap<String, Micros>,
}

/// A leader unheard for this long may be out of reach for the agents here, too.
const SILENT: Micros = Micros::millis(1600);
/// An agent that comes back this soon after it was sent to the leader has not reached it.
const BOUNCED: Micros = Micros::millis(12_000);
/// How long reports of an agent are handed on before it is sent to the leader again.
const HOLD: Micros = Micros::millis(8_000);
/// The same for an agent that was sent there in vain.
const HOLD_BOUNCED: Micros = Micros::millis(30_000);
/// How long the leader may take; the agent waits 4 s in all.
const RELAY_TIMEOUT: Micros = Micros::millis(1_500);
/// Agents that come one after the other share a record: each write names all machines, and at a
/// takeover hundreds come within a second or two.
const WRITE_GAP: Micros = Micros::millis(200);
/// Names of machines remembered; all are forgotten at once beyond that.
const MOST_NAMES: usize = 4096;
/// Part of our budget of changes that goes into that record.
const WRITE_SHARE: f64 = 0.5;
/// The record is written anew at this pace, as a sign of life for the leader.
pub const SIGN_OF_LIFE: Micros = Micros::millis(10_000);

impl DelegatedRenewals {
    /// Something is being renewed, so proof is needed.
    pub fn active(&self) -> bool {
        !self.machines.is_empty()
    }

    /// Notes an agent's message; tells whether it is newer than what it has sent here before.
    fn is_news(&mut self, r: &AgentHeartbeat) -> bool {
        if self.newest.len() > MOST_NAMES && !self.newest.contains_key(&r.machine) {
            self.newest.clear();
        }
        let of = self.newest.entry(r.machine.clone()).or_default();
        let news = (r.agent_epoch, r.seq) > *of;
        *of = (*of).max((r.agent_epoch, r.seq));
        news
    }

    /// Start of the last proof.
    pub fn last_confirmed_read(&self) -> Micros {
        self.last_confirmed_read
    }
}

impl Controller {
    /// An agent's report, while we do not lead.
    pub fn follower_heartbeat(&mut self, clock: Clock, conn: u64, report: AgentHeartbeat) {
        if !self.renewals.is_news(&report) {
            self.respond(conn, 421, &Misdirected::default());
            return;
        }
        if !self.cache.synced && self.has_right(clock, &report) {
            // We have started in an outage, and peers have told what has to be known.
            self.renew_by_right(clock, conn, &report);
            return;
        }
        let lead = self
            .cache
            .lead
            .as_ref()
            .filter(|(l, _)| {
                l.node != self.settings.node && self.cache.leader_lease_version.is_some()
            })
            .map(|(l, v)| (l.node.clone(), l.term, *v));
        let Some((leader, term, version)) = lead else {
            self.respond(conn, 421, &Misdirected::default());
            return;
        };
        let silent = self.leader_process_restarted()
            || self
                .leader_silence(clock, &leader)
                .is_some_and(|s| s >= SILENT);
        let r = &mut self.renewals;
        let bounced = r
            .redirected
            .get(&report.machine)
            .is_some_and(|t| clock.now.since(*t) < BOUNCED);
        if report.term > term {
            self.respond(conn, 421, &Misdirected::default());
            return;
        }
        // An agent that has seen this term has been with the leader, and comes because it no
        // longer reaches it; a lease has no room for sending it there in vain.
        let hold = if bounced { HOLD_BOUNCED } else { HOLD };
        let since = *r
            .relayed
            .entry(report.machine.clone())
            .or_insert(clock.now + hold);
        let lost = report.term == term || bounced;
        if !silent && lost && clock.now < since {
            let addr = self
                .settings
                .peers
                .iter()
                .find(|s| s.node == leader)
                .map(|s| s.address);
            if let Some(addr) = addr {
                log::debug!("{}: its report goes on to {leader}", report.machine);
                let body = encode(&report);
                let tag = PendingCall::RelayedHeartbeat {
                    conn,
                    report: Box::new(report),
                };
                self.call(tag, addr, "POST", "/hello", body, RELAY_TIMEOUT);
                return;
            }
        }
        if !silent {
            r.relayed.remove(&report.machine);
            log::debug!("{}: sent on to {leader}", report.machine);
            r.redirected.insert(report.machine, clock.now);
            if r.redirected.len() > MOST_NAMES {
                r.redirected.clear();
            }
            let leader = Some(leader);
            self.respond(conn, 421, &Misdirected { leader });
            return;
        }
        self.adopt(clock, conn, report, term, version);
    }

    /// The leader has answered a report that we handed on, or not.
    pub fn on_relay(&mut self, clock: Clock, conn: u64, report: AgentHeartbeat, outcome: Outcome) {
        if let Outcome::Reply { status: 200, body } = outcome {
            self.out.push(NetworkCommand::Respond {
                conn,
                status: 200,
                body,
                retry_after: None,
            });
            return;
        }
        let lead = self
            .cache
            .lead
            .as_ref()
            .filter(|(l, _)| l.node != self.settings.node && l.term >= report.term)
            .map(|(l, v)| (l.term, *v));
        match lead {
            Some((term, version)) if self.leader.is_none() => {
                self.adopt(clock, conn, report, term, version);
            }
            _ => self.respond(conn, 421, &Misdirected::default()),
        }
    }

    /// Answers a report on the leader's behalf, once it is on record that we do.
    fn adopt(&mut self, clock: Clock, conn: u64, report: AgentHeartbeat, term: u64, version: u64) {
        let r = &mut self.renewals;
        if r.under != (term, version) {
            // Another term: what we recorded under the old one no longer counts.
            r.under = (term, version);
            r.recorded.clear();
            r.machines.clear();
            r.last_confirmed_read = Micros::ZERO;
            self.inherit(term);
        }
        let r = &mut self.renewals;
        if r.recorded.contains(&report.machine) {
            self.renew_for(clock, conn, &report);
        } else if !self.store_available() && self.has_right(clock, &report) {
            self.renew_by_right(clock, conn, &report);
        } else if self.connectivity.alone(clock.now) {
            // Nothing can be put on record from here: the agent should not wait for it.
            self.respond(conn, 421, &Misdirected::default());
        } else {
            let r = &mut self.renewals;
            r.machines.insert(report.machine.clone(), clock.now);
            r.waiting.push((conn, report));
            self.write_renewals(clock);
        }
    }

    /// What an earlier run of ours has put on record it may have renewed until we started: our first record names it,
    /// too, for a lease. Without it the leader would take these machines for given up, and start their tasks elsewhere.
    fn inherit(&mut self, term: u64) {
        let mine = self.cache.renewals_of(&self.settings.node);
        let ours = mine.into_iter().flatten().filter(|(r, _)| r.term == term);
        for machine in ours.flat_map(|(r, _)| r.machines()) {
            self.renewals.machines.insert(machine, self.started_at);
        }
    }

    /// Whether an agent that has seen the leader's term may be renewed without a record. One that has not seen
    /// it the leader may not know, and would not wait for.
    fn has_right(&self, clock: Clock, report: &AgentHeartbeat) -> bool {
        self.known_leader().is_some_and(|lead| {
            let (known, grace) = (self.known_until(), self.staleness_bound());
            report.term == lead.term && self.peers.right.may(&lead, known.0, clock.now.0, grace.0)
        })
    }

    fn renew_by_right(&mut self, clock: Clock, conn: u64, report: &AgentHeartbeat) {
        if self.peers.right.used_ago(clock.now.0).is_none() {
            log::info!("renewing leases by right, under term {}", report.term);
        }
        log::debug!("{}: renewed by right", report.machine);
        self.peers.right.note_use(clock.now.0);
        self.answer_renewed(conn, report, report.term);
    }

    fn renew_for(&mut self, clock: Clock, conn: u64, report: &AgentHeartbeat) {
        let grace = self.staleness_bound();
        let known = self.known_until();
        let r = &mut self.renewals;
        let current = self
            .cache
            .lead
            .as_ref()
            .is_some_and(|(_, v)| *v == r.under.1);
        if !current
            || clock.now >= r.last_confirmed_read.max(known) + grace
            || !r.recorded.contains(&report.machine)
        {
            self.refuse(conn, 503, "not entitled to renew");
            return;
        }
        r.machines.insert(report.machine.clone(), clock.now);
        let term = r.under.0;
        self.answer_renewed(conn, report, term);
    }

    /// Answers a report with no commands but stops of what has been cancelled.
    fn answer_renewed(&mut self, conn: u64, report: &AgentHeartbeat, term: u64) {
        let commands = report
            .tasks
            .iter()
            .filter(|t| t.phase != TaskPhase::Exited)
            // A cancellation is final: anybody may stop what it has left.
            .filter(|t| parse_task_name(&t.task).is_some_and(|(job, _)| self.is_cancelled(job)))
            .map(|t| Command::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            })
            .collect();
        self.respond(conn, 200, &AgentHeartbeatResponse { term, commands });
    }

    fn write_renewals(&mut self, clock: Clock) {
        let r = &mut self.renewals;
        if r.flying || clock.now < r.written + r.gap.max(WRITE_GAP) {
            return;
        }
        r.flying = true;
        r.written = clock.now;
        let state = &self.settings.params.state;
        let bytes = state.least_value_bytes();
        let mut parts = RenewalsRecord::split(r.under.0, r.machines.keys(), bytes);
        // What does not go into one transaction is not named, and so not renewed.
        parts.truncate(state.least_txn_ops());
        let named: Vec<String> = parts.iter().flat_map(RenewalsRecord::machines).collect();
        let held = self.cache.renewals_of(&self.settings.node);
        let blank = RenewalsRecord::new(r.under.0, [].into_iter());
        while parts.len() < held.len() {
            parts.push(blank.clone());
        }
        let mut conds = vec![VersionCondition::new(LEAD, r.under.1)];
        let mut changes = Vec::new();
        for (n, rec) in parts.iter().enumerate() {
            let key = renew_key(&self.settings.node, n);
            let held = held.get(n).copied().flatten();
            if n > 0 && rec.is_empty() && held.is_some_and(|(h, _)| h.is_empty()) {
                continue;
            }
            // A write that got no answer and is carried out late must not replace a newer record.
            conds.push(VersionCondition::new(&key, held.map_or(0, |(_, v)| *v)));
            changes.push(Change::put(&key, rec, None));
        }
        let rate = self.store.write_rate() * WRITE_SHARE;
        self.renewals.gap = Micros::secs(changes.len() as f64 / rate);
        self.store.ask(
            RequestPriority::Urgent,
            StoreRequestPurpose::RecordRenewals(named),
            StoreRequest::Transaction(Transaction { conds, changes }),
        );
    }

    /// The record came back.
    pub fn on_renewals_result(
        &mut self,
        clock: Clock,
        named: Vec<String>,
        ask: StoreRequest,
        sent: Micros,
        reply: StoreResponse,
    ) {
        self.renewals.flying = false;
        let waiting = std::mem::take(&mut self.renewals.waiting);
        if let (StoreResponse::Committed(rev), StoreRequest::Transaction(t)) = (&reply, &ask) {
            self.apply_own_commit(t, *rev);
            let r = &mut self.renewals;
            if t.conds[0].version == r.under.1 {
                log::info!("renewing {} machines for term {}", named.len(), r.under.0);
                r.version = *rev;
                r.recorded = named.into_iter().collect();
                // The commit shows that the term held; cancellations up to now are known only
                // after a read.
                if r.last_confirmed_read == Micros::ZERO {
                    r.last_confirmed_read = sent;
                }
                self.request_read_barrier(
                    clock,
                    crate::messages::PendingRequest::ConfirmLeadership,
                );
            }
            let mut more = false;
            for (conn, report) in waiting {
                if self.renewals.recorded.contains(&report.machine) {
                    self.renew_for(clock, conn, &report);
                } else {
                    more = true;
                    self.renewals.waiting.push((conn, report));
                }
            }
            if more {
                self.write_renewals(clock);
            }
            return;
        }
        self.request_read_barrier(clock, crate::messages::PendingRequest::ConfirmLeadership);
        for (conn, report) in waiting {
            if !self.renewals.recorded.contains(&report.machine) {
                self.renewals.machines.remove(&report.machine);
            }
            if self.has_right(clock, &report) {
                self.renew_by_right(clock, conn, &report);
            } else {
                self.refuse(conn, 503, "the state service does not answer");
            }
        }
    }

    /// A read barrier that began at `sent` has been reached.
    pub fn prove_renewals(&mut self, sent: Micros) {
        let mine = self.cache.renewals.get(&self.settings.node);
        let r = &mut self.renewals;
        if !r.active() || r.recorded.is_empty() {
            return;
        }
        let holds = self
            .cache
            .lead
            .as_ref()
            .is_some_and(|(_, v)| *v == r.under.1)
            && mine.is_some_and(|(_, v)| *v == r.version);
        if r.flying && !holds {
            // A newer record of ours may have been seen before its own answer has come.
            return;
        }
        if holds {
            r.last_confirmed_read = r.last_confirmed_read.max(sent);
        } else {
            log::info!("no longer entitled to renew for term {}", r.under.0);
            r.recorded.clear();
            r.machines.clear();
        }
    }

    /// Drops machines whose lease has run out since our last answer; returns when to look again.
    pub fn drive_renewals(&mut self, clock: Clock) -> Micros {
        let lease = Micros::secs(self.settings.params.agents.lease_s * 1.002 + 0.5);
        let r = &mut self.renewals;
        if r.flying {
            return Micros::FAR;
        }
        if !r.active() {
            // What an earlier run of ours renewed has run out by now: say so.
            let mine = self.cache.renewals_of(&self.settings.node);
            let mut named = mine.into_iter().flatten().filter(|(m, _)| !m.is_empty());
            let stale = named.next().map(|(m, _)| m.term);
            if let (Some(term), Some((lead, version))) = (stale, &self.cache.lead)
                && term == lead.term
            {
                let over = self.started_at + lease;
                if clock.now < over || clock.now < r.written + Micros::millis(1000) {
                    return over.max(clock.now + Micros::millis(1000));
                }
                r.under = (term, *version);
                self.write_renewals(clock);
            }
            return Micros::FAR;
        }
        let before = r.machines.len();
        r.machines.retain(|_, t| clock.now.since(*t) < lease);
        if r.machines.len() != before {
            // No longer answered from this moment on, whatever becomes of the write.
            let left: BTreeSet<String> = r.machines.keys().cloned().collect();
            r.recorded.retain(|m| left.contains(m));
        }
        let sign = r.written + SIGN_OF_LIFE;
        let named = r.machines.len() != before || !r.waiting.is_empty();
        if named || r.machines.len() != r.recorded.len() || sign <= clock.now {
            self.write_renewals(clock);
            return self.renewals.written + self.renewals.gap.max(WRITE_GAP);
        }
        let out = r.machines.values().map(|t| *t + lease).min();
        out.unwrap_or(Micros::FAR).min(sign)
    }
}
