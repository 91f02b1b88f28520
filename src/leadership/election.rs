//! Leadership: who leads, when to claim the lead, and when to give it away.

use crate::controller::Controller;
use crate::leadership::peers::PeerStatus;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::key_value_api::{Change, Transaction};
use crate::protocol::records::{LEAD, LIVE, LeaderRecord};
use crate::protocol::{Micros, Settings};
use crate::state::store_client::{RequestPriority, StoreRequest};
use rand::RngExt;

/// The leader's lease in the store lives this long unrenewed. Only liveness hangs on it.
pub(crate) const LEADER_LEASE_TTL: Micros = Micros::millis(4000);
/// A leader silent for this long on all links of all peers is taken for dead.
pub(crate) const LEADER_SILENCE_LIMIT: Micros = Micros::millis(2500);
/// An agent waits 4 s for an answer, and 1 s more before it tries the next controller.
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

/// Where our claim of the lead stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ElectionState {
    Idle,
    Waiting(Micros),
    Claiming,
}

/// Whether a lease outlasts an agent's trying two controllers in vain.
pub(crate) fn room_for_two_vain(s: &Settings) -> bool {
    let w = &s.params.agents;
    (VAIN_TRY + VAIN_TRY).as_secs() + w.report_s * LATEST_REPORT <= w.lease_s
}

impl Controller {
    /// The leader on record is an earlier run of our own process.
    pub(crate) fn previous_run_leads(&self) -> bool {
        self.cache
            .lead
            .as_ref()
            .is_some_and(|(l, _)| l.node == self.settings.node && l.incarnation != self.incarnation)
    }

    /// Nobody seems to lead.
    pub(crate) fn leadership_vacant(&self, clock: Clock) -> bool {
        match &self.cache.lead {
            Some((l, _)) => {
                self.previous_run_leads()
                    || self.cache.leader_lease_version.is_none()
                    || self.leader_process_restarted()
                    || self.leader_suspected(clock, &l.node)
            }
            None => true,
        }
    }

    /// Whether the controller after this one, by name, is in another zone. An agent that cannot reach
    /// the leader tries the next one, and a lease may have room for one vain try only: if a cut between
    /// zones is the reason, the next one should be on its side.
    pub(crate) fn next_controller_in_other_zone(&self, node: &str) -> bool {
        let s = &self.settings;
        let others = s.peers.iter().map(|x| (&x.node, &x.zone));
        let all: Vec<_> = others.chain([(&s.node, &s.zone)]).collect();
        let zone = all.iter().find(|(n, _)| *n == node).map(|(_, z)| *z);
        let after = all.iter().filter(|(n, _)| n.as_str() > node).min();
        after.or(all.iter().min()).map(|(_, z)| *z) != zone
    }

    /// Whether we had better lead in place of a leader that is alive: agents that a cut between zones
    /// keeps from it would try another controller of its zone next, in vain, and lose their leases,
    /// while from us they would come to one of theirs. Only in calm times; a takeover costs a moment.
    pub(crate) fn should_relieve_leader(&self, clock: Clock) -> bool {
        let s = &self.settings;
        let Some((lead, _)) = &self.cache.lead else {
            return false;
        };
        let calm = |v: &PeerStatus| v.served && clock.now.since(v.heard) < LEADER_SILENCE_LIMIT;
        let first = s
            .peers
            .iter()
            .all(|x| x.node > s.node || !self.next_controller_in_other_zone(&x.node));
        lead.node != s.node
            && self.cache.leader_lease_version.is_some()
            && !room_for_two_vain(s)
            && !self.next_controller_in_other_zone(&lead.node)
            && self.next_controller_in_other_zone(&s.node)
            && first
            && clock.now.since(self.leader_record_seen.1) >= CALM
            && self.store_available()
            && s.peers
                .iter()
                .all(|x| self.peers.view.get(&x.node).is_some_and(calm))
    }

    /// A peer has put on record that it renews agents under the present lead: they come to it.
    pub(crate) fn others_renew(&self) -> bool {
        let term = self.cache.lead.as_ref().map(|(l, _)| l.term);
        let mut all = self.cache.renewals.values();
        all.any(|(r, _)| Some(r.term) == term && !r.is_empty())
    }

    pub(crate) fn consider_candidacy(&mut self, clock: Clock) -> Micros {
        if self.leader.is_some() || !self.cache.synced {
            return Micros::FAR;
        }
        if let Some(at) = self.transferred_at.filter(|at| clock.now < *at + YIELDED) {
            return at + YIELDED;
        }
        let previous_run_leads = self.previous_run_leads();
        match self.election {
            ElectionState::Idle if self.leadership_vacant(clock) => {
                // A little apart, so that not all claim at once; first whoever has agents with it.
                let apart = if previous_run_leads {
                    0
                } else if self.renewals.active() {
                    self.rng.random_range(0..100)
                } else if self.others_renew() {
                    self.rng.random_range(400..550)
                } else if self.next_controller_in_other_zone(&self.settings.node) {
                    self.rng.random_range(0..150)
                } else {
                    self.rng.random_range(250..400)
                };
                let at = clock.now + Micros::millis(apart);
                self.election = ElectionState::Waiting(at);
                if apart == 0 {
                    return self.consider_candidacy(clock);
                }
                at
            }
            ElectionState::Idle if self.should_relieve_leader(clock) => {
                log::info!("taking the lead over from a controller that cuts would hide");
                self.election = ElectionState::Claiming;
                self.store.ask(
                    RequestPriority::Urgent,
                    StoreRequestPurpose::LeaderLease,
                    StoreRequest::NewLease(LEADER_LEASE_TTL),
                );
                Micros::FAR
            }
            ElectionState::Waiting(at) if at <= clock.now => {
                if self.leadership_vacant(clock) {
                    self.election = ElectionState::Claiming;
                    self.store.ask(
                        RequestPriority::Urgent,
                        StoreRequestPurpose::LeaderLease,
                        StoreRequest::NewLease(LEADER_LEASE_TTL),
                    );
                } else {
                    self.election = ElectionState::Idle;
                }
                Micros::FAR
            }
            ElectionState::Waiting(at) => at,
            _ => Micros::FAR,
        }
    }

    /// Gives the lead away if others reach the agents and we do not. A leader that keeps the store and its
    /// peers has reports handed on to it; but where controllers cannot reach one another either, it would
    /// keep a lead that it cannot use. Returns when to look again.
    pub(crate) fn consider_transfer(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let Some(l) = &mut self.leader else {
            return Micros::FAR;
        };
        l.see_renewals(&self.cache);
        if !l.cannot_serve(&self.settings, now) || !l.caught_up(&self.cache) {
            l.useless_since = None;
            return now + YIELD_LOOK;
        }
        let since = *l.useless_since.get_or_insert(now);
        if now < since + YIELD_AFTER {
            return since + YIELD_AFTER;
        }
        l.useless_since = Some(Micros::FAR);
        log::info!("giving the lead away: others reach the workers");
        let txn = Transaction {
            conds: vec![VersionCondition::new(LEAD, l.version)],
            changes: vec![Change::Delete {
                key: LIVE.to_string(),
            }],
        };
        self.store.ask(
            RequestPriority::Urgent,
            StoreRequestPurpose::TransferLeadership,
            StoreRequest::Transaction(txn),
        );
        Micros::FAR
    }

    pub(crate) fn claim_leadership(&mut self) {
        let (term, version) = self
            .cache
            .lead
            .as_ref()
            .map_or((0, 0), |(l, v)| (l.term, *v));
        let rec = LeaderRecord {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            term: term + 1,
        };
        let txn = Transaction {
            conds: vec![
                VersionCondition::new(LEAD, version),
                VersionCondition::new(LIVE, self.cache.leader_lease_version.unwrap_or(0)),
            ],
            changes: vec![
                Change::put(LEAD, &rec, None),
                Change::put(LIVE, &self.settings.node, self.leader_lease),
            ],
        };
        self.store.ask(
            RequestPriority::Urgent,
            StoreRequestPurpose::ClaimLeadership,
            StoreRequest::Transaction(txn),
        );
    }
}
