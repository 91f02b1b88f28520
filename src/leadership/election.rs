//! Leader election: when this controller claims leadership, and when it transfers leadership to another controller.

use crate::controller::Controller;
use crate::leadership::peers::PeerStatus;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::key_value_api::{Change, Transaction};
use crate::protocol::records::{LEADER_KEY, LEADER_LEASE_KEY, LeaderRecord};
use crate::protocol::{Micros, Settings};
use crate::state::store_client::{RequestPriority, StoreRequest};
use rand::RngExt;
use std::ops::Range;

/// Time to live of the leader's lease in the store. Only liveness depends on it, not safety.
pub(crate) const LEADER_LEASE_TTL: Micros = Micros::millis(4000);
/// A leader that has sent no heartbeat to any reachable controller for this long is suspected to have failed. A peer
/// without contact for this long counts as unreachable.
pub(crate) const LEADER_SILENCE_LIMIT: Micros = Micros::millis(2500);
/// Duration of an agent's failed heartbeat: a timeout of 4 s, and a pause of 1 s before the agent tries the next
/// controller.
const FAILED_HEARTBEAT_DURATION: Micros = Micros::millis(5000);
/// Maximum time between an agent's heartbeats, as a multiple of the heartbeat interval.
const MAX_HEARTBEAT_INTERVAL_FACTOR: f64 = 1.25;
/// A reachable leader is replaced only if the leader record has been unchanged for this long.
const MIN_STABLE_LEADERSHIP: Micros = Micros::millis(10_000);
/// How often a leader checks whether it should transfer leadership.
const TRANSFER_CHECK_INTERVAL: Micros = Micros::millis(1_000);
/// How long a leader must have been unable to serve most agents before it transfers leadership.
const TRANSFER_DELAY: Micros = Micros::millis(2_000);
/// How long the former leader is not a candidate after a transfer.
const CANDIDACY_PAUSE_AFTER_TRANSFER: Micros = Micros::millis(6_000);

/// Ranges of the delay, in milliseconds, before a candidate claims leadership. The ranges give some candidates
/// priority, and a random delay within a range keeps candidates with the same range from claiming simultaneously.
const DELAY_MS_RENEWING_LEASES: Range<u64> = 0..100;
const DELAY_MS_PREFERRED_ZONE: Range<u64> = 0..150;
const DELAY_MS_DEFAULT: Range<u64> = 250..400;
const DELAY_MS_PEER_RENEWS_LEASES: Range<u64> = 400..550;

/// Progress of this controller's candidacy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ElectionState {
    /// It is not a candidate.
    Idle,
    /// It claims leadership at this time if there is still no live leader.
    Scheduled(Micros),
    /// It has requested a lease for the leader key, or has sent the claim.
    Claiming,
}

/// Whether an agent's lease outlasts failed heartbeats to two controllers.
pub(crate) fn lease_outlasts_two_failures(settings: &Settings) -> bool {
    let agents = &settings.params.agents;
    let two_failures = FAILED_HEARTBEAT_DURATION + FAILED_HEARTBEAT_DURATION;
    two_failures.as_secs() + agents.report_s * MAX_HEARTBEAT_INTERVAL_FACTOR <= agents.lease_s
}

impl Controller {
    /// Whether the leader record names an earlier incarnation of this controller.
    fn earlier_incarnation_leads(&self) -> bool {
        self.cache.leader.as_ref().is_some_and(|(record, _)| {
            record.node == self.settings.node && record.incarnation != self.incarnation
        })
    }

    /// Whether there appears to be no live leader.
    pub(crate) fn leadership_vacant(&self, clock: Clock) -> bool {
        let Some((record, _)) = &self.cache.leader else {
            return true;
        };
        self.earlier_incarnation_leads()
            || self.cache.leader_lease_version.is_none()
            || self.leader_process_restarted()
            || self.leader_suspected(clock, &record.node)
    }

    /// Whether the controller after `node` in the cyclic order of names is in another zone.
    ///
    /// An agent that cannot reach the leader tries the next controller, and its lease may outlast only one failed
    /// attempt. In a network partition between zones, the next controller should therefore be on the agent's side of
    /// the partition.
    fn next_controller_in_other_zone(&self, node: &str) -> bool {
        let settings = &self.settings;
        let peers = settings.peers.iter().map(|peer| (&peer.node, &peer.zone));
        let controllers: Vec<_> = peers.chain([(&settings.node, &settings.zone)]).collect();
        let own_zone = controllers
            .iter()
            .find(|(name, _)| *name == node)
            .map(|(_, zone)| *zone);
        let successor = controllers
            .iter()
            .filter(|(name, _)| name.as_str() > node)
            .min();
        let successor = successor.or(controllers.iter().min());
        successor.map(|(_, zone)| *zone) != own_zone
    }

    /// Whether this controller should replace a live leader because it is preferred by the order of names.
    ///
    /// In a partition between zones, agents that cannot reach the leader would next try another controller of the
    /// leader's zone, fail again and lose their leases. With this controller as leader they would next reach a
    /// controller of their own zone. A takeover interrupts service briefly, so the leader is replaced only while all
    /// peers are reachable, the store is available and leadership has been stable.
    pub(crate) fn should_replace_leader(&self, clock: Clock) -> bool {
        let Some((leader, _)) = &self.cache.leader else {
            return false;
        };
        leader.node != self.settings.node
            && self.cache.leader_lease_version.is_some()
            && !lease_outlasts_two_failures(&self.settings)
            && !self.next_controller_in_other_zone(&leader.node)
            && self.is_preferred_leader()
            && clock.now.since(self.observed_leader_record.observed_at) >= MIN_STABLE_LEADERSHIP
            && self.store_available()
            && self.all_peers_healthy(clock)
    }

    /// Whether this controller is the first by name of those whose successor is in another zone.
    fn is_preferred_leader(&self) -> bool {
        let settings = &self.settings;
        self.next_controller_in_other_zone(&settings.node)
            && settings.peers.iter().all(|peer| {
                peer.node > settings.node || !self.next_controller_in_other_zone(&peer.node)
            })
    }

    /// Whether every peer is reachable and reports that the store is available to it.
    fn all_peers_healthy(&self, clock: Clock) -> bool {
        let healthy =
            |status: &PeerStatus| status.store_available && status.is_reachable(clock.now);
        self.settings
            .peers
            .iter()
            .all(|peer| self.peers.status.get(&peer.node).is_some_and(healthy))
    }

    /// Whether a peer has recorded that it renews leases under the current term, which shows that agents reach it.
    fn peer_renews_leases(&self) -> bool {
        let term = self.cache.leader.as_ref().map(|(record, _)| record.term);
        let mut records = self.cache.renewals.values();
        records.any(|(record, _)| Some(record.term) == term && !record.is_empty())
    }

    /// Advances the candidacy of this controller; returns when to check again.
    pub(crate) fn advance_candidacy(&mut self, clock: Clock) -> Micros {
        if self.leader.is_some() || !self.cache.synced {
            return Micros::FAR_FUTURE;
        }
        let pause_end = self
            .transferred_leadership
            .as_ref()
            .map(|transferred| transferred.at + CANDIDACY_PAUSE_AFTER_TRANSFER);
        if let Some(pause_end) = pause_end.filter(|end| clock.now < *end) {
            return pause_end;
        }
        match self.election {
            ElectionState::Idle if self.leadership_vacant(clock) => {
                let claim_at = clock.now + self.candidacy_delay();
                if claim_at <= clock.now {
                    self.request_leader_lease();
                    return Micros::FAR_FUTURE;
                }
                self.election = ElectionState::Scheduled(claim_at);
                claim_at
            }
            ElectionState::Idle if self.should_replace_leader(clock) => {
                log::info!("replacing the leader reason=zone_order");
                self.request_leader_lease();
                Micros::FAR_FUTURE
            }
            ElectionState::Scheduled(claim_at) if clock.now < claim_at => claim_at,
            ElectionState::Scheduled(_) => {
                if self.leadership_vacant(clock) {
                    self.request_leader_lease();
                } else {
                    self.election = ElectionState::Idle;
                }
                Micros::FAR_FUTURE
            }
            ElectionState::Idle | ElectionState::Claiming => Micros::FAR_FUTURE,
        }
    }

    /// Delay before this controller claims vacant leadership. An earlier leader that has restarted claims at once;
    /// controllers that agents reach claim before the others.
    fn candidacy_delay(&mut self) -> Micros {
        let range = if self.earlier_incarnation_leads() {
            return Micros::ZERO;
        } else if self.renewals.active() {
            DELAY_MS_RENEWING_LEASES
        } else if self.peer_renews_leases() {
            DELAY_MS_PEER_RENEWS_LEASES
        } else if self.next_controller_in_other_zone(&self.settings.node) {
            DELAY_MS_PREFERRED_ZONE
        } else {
            DELAY_MS_DEFAULT
        };
        Micros::millis(self.rng.random_range(range))
    }

    /// Requests the lease to which the leader key will be attached; the claim is sent once the store has granted it.
    fn request_leader_lease(&mut self) {
        self.election = ElectionState::Claiming;
        self.store.enqueue(
            RequestPriority::Urgent,
            StoreRequestPurpose::LeaderLease,
            StoreRequest::NewLease(LEADER_LEASE_TTL),
        );
    }

    /// Transfers leadership if the agents reach peers but not this controller; returns when to check again.
    ///
    /// A leader that reaches its peers receives the agents' heartbeats relayed by them. If the controllers cannot
    /// reach each other either, the leader would keep its lease in the store without being able to serve agents.
    pub(crate) fn check_leadership_transfer(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let Some(leader) = &mut self.leader else {
            return Micros::FAR_FUTURE;
        };
        leader.update_renewed_by_followers(&self.cache);
        if !leader.peers_serve_most_agents(&self.settings, now)
            || !leader.has_complete_cache(&self.cache)
        {
            leader.unable_to_serve_since = None;
            return now + TRANSFER_CHECK_INTERVAL;
        }
        let unable_to_serve_since = *leader.unable_to_serve_since.get_or_insert(now);
        if now < unable_to_serve_since + TRANSFER_DELAY {
            return unable_to_serve_since + TRANSFER_DELAY;
        }
        leader.unable_to_serve_since = Some(Micros::FAR_FUTURE);
        log::info!(
            "transferring leadership term={} reason=agents_reach_peers",
            leader.term
        );
        let transaction = Transaction {
            conditions: vec![VersionCondition::new(LEADER_KEY, leader.version)],
            changes: vec![Change::Delete {
                key: LEADER_LEASE_KEY.to_string(),
            }],
        };
        self.store.enqueue(
            RequestPriority::Urgent,
            StoreRequestPurpose::TransferLeadership,
            StoreRequest::Transaction(transaction),
        );
        Micros::FAR_FUTURE
    }

    /// Claims leadership with the next term by a compare-and-swap on the leader record and the leader key.
    pub(crate) fn claim_leadership(&mut self) {
        let (term, version) = self
            .cache
            .leader
            .as_ref()
            .map_or((0, 0), |(record, version)| (record.term, *version));
        let record = LeaderRecord {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            term: term + 1,
        };
        let transaction = Transaction {
            conditions: vec![
                VersionCondition::new(LEADER_KEY, version),
                VersionCondition::new(
                    LEADER_LEASE_KEY,
                    self.cache.leader_lease_version.unwrap_or(0),
                ),
            ],
            changes: vec![
                Change::put(LEADER_KEY, &record, None),
                Change::put(LEADER_LEASE_KEY, &self.settings.node, self.leader_lease.id),
            ],
        };
        self.store.enqueue(
            RequestPriority::Urgent,
            StoreRequestPurpose::ClaimLeadership,
            StoreRequest::Transaction(transaction),
        );
    }
}
