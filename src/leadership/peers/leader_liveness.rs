//! Failure detection: whether the leader is alive, and which peers have access to the store.

use super::PeerStatus;
use crate::controller::Controller;
use crate::leadership::election::LEADER_SILENCE_LIMIT;
use crate::protocol::{Clock, Micros};
use lease_delegation::lease_grantee::KnownLeader;

impl Controller {
    /// The leader according to the records or a peer's summary, and whether its process has ended.
    ///
    /// The process has ended if another incarnation responded to a heartbeat that was sent after this controller
    /// first observed the leadership. A refused connection or a missing response does not prove that it has ended.
    pub(crate) fn known_leader(&self) -> Option<KnownLeader> {
        let leader = self.leader_identity()?;
        let ended = if leader.node == self.settings.node {
            leader.incarnation != self.incarnation
        } else {
            let peer = self.peer_index(leader.node)?;
            self.peers.links[peer].last_incarnation.is_some_and(|last| {
                last.incarnation != leader.incarnation
                    && leader
                        .observed_since
                        .is_some_and(|observed_since| last.request_sent_at >= observed_since)
            })
        };
        Some(KnownLeader {
            term: leader.term,
            incarnation: leader.incarnation,
            process_ended: ended,
        })
    }

    /// The leader according to the records or, until they have been read, a peer's summary.
    fn leader_identity(&self) -> Option<LeaderIdentity<'_>> {
        if self.cache.synced {
            let (record, version) = self.cache.leader.as_ref()?;
            let seen = &self.observed_leader_record;
            return Some(LeaderIdentity {
                node: &record.node,
                incarnation: record.incarnation,
                term: record.term,
                observed_since: (seen.version == *version).then_some(seen.observed_at),
            });
        }
        let received = self.peers.record_summary.as_ref()?;
        let leader = &received.summary.leader;
        Some(LeaderIdentity {
            node: &leader.node,
            incarnation: leader.incarnation,
            term: leader.term,
            observed_since: Some(received.leader_observed_since),
        })
    }

    /// Whether the leader's process has ended and another incarnation has started.
    pub(crate) fn leader_process_restarted(&self) -> bool {
        self.known_leader()
            .is_some_and(|leader| leader.process_ended)
    }

    /// Whether this controller and all reachable peers have lost contact with the leader. Replacing a leader that is
    /// still alive is safe, since the term is a fencing token, and interrupts service only briefly.
    pub(crate) fn leader_suspected(&self, clock: Clock, leader: &str) -> bool {
        let Some(contact) = &self.peers.last_leader_contact else {
            return false;
        };
        if contact.node != leader || clock.now.since(contact.at) < LEADER_SILENCE_LIMIT {
            return false;
        }
        // An isolated controller must not take leadership from the others, so at least one peer must have lost the
        // leader as well. Otherwise the leader is replaced only when its lease in the store expires. When a partition
        // between controllers heals, they regain contact with each other in random order, so at least one report must
        // come from a peer that has been reachable for `LEADER_SILENCE_LIMIT`.
        let reports: Vec<&PeerStatus> = self
            .peers
            .status
            .iter()
            .filter(|(node, status)| *node != leader && status.is_reachable(clock.now))
            .map(|(_, status)| status)
            .collect();
        let long_reachable =
            |status: &PeerStatus| clock.now.since(status.reachable_since) >= LEADER_SILENCE_LIMIT;
        let lost_leader = |status: &PeerStatus| {
            status
                .leader_silent_ms
                .is_none_or(|silent_ms| silent_ms * 1000 >= LEADER_SILENCE_LIMIT.0)
        };
        reports.iter().any(|status| long_reachable(status))
            && reports.iter().all(|status| lost_leader(status))
    }

    /// Time since the last contact with the controller named `leader`, whether or not it led then; `None` if there
    /// has been no contact.
    pub fn leader_silence(&self, clock: Clock, leader: &str) -> Option<Micros> {
        let status = self.peers.status.get(leader)?;
        Some(clock.now.since(status.last_contact))
    }

    /// Whether this controller has read the records and the store responds to it.
    pub fn store_available(&self) -> bool {
        self.cache.synced && !self.store.is_unresponsive()
    }

    /// Address of a reachable peer to which the store is available, preferably the leader; `None` if the store is
    /// available to this controller.
    pub fn peer_with_store_access(&self, clock: Clock) -> Option<std::net::SocketAddr> {
        if self.store_available() {
            return None;
        }
        let leader = self.cache.leader.as_ref().map(|(record, _)| &record.node);
        let has_store_access = |node: &String| {
            let status = self.peers.status.get(node);
            status.is_some_and(|status| status.store_available && status.is_reachable(clock.now))
        };
        let mut candidates = self
            .settings
            .peers
            .iter()
            .filter(|peer| has_store_access(&peer.node));
        let first = candidates.next()?;
        let leading_peer = candidates.find(|peer| leader == Some(&peer.node));
        Some(leading_peer.unwrap_or(first).address)
    }
}

/// A leader, identified by node, incarnation and term.
struct LeaderIdentity<'a> {
    node: &'a str,
    /// Incarnation of the leader's process.
    incarnation: u64,
    term: u64,
    /// When this controller first observed this leadership; `None` if that is not recorded yet for the current leader
    /// record.
    observed_since: Option<Micros>,
}
