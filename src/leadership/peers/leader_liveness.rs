//! Failure detection: whether the leader is alive, and which peers the store serves.

use super::PeerStatus;
use crate::controller::Controller;
use crate::leadership::election::LEADER_SILENCE_LIMIT;
use crate::protocol::{Clock, Micros};
use lease_delegation::lease_grantee::KnownLeader;

impl Controller {
    /// The recorded leader as far as it is known here, and whether its process has ended.
    ///
    /// A process has ended if another run of it responded to a heartbeat that was sent after the leadership was
    /// known. A refused connection or silence proves nothing of the kind.
    pub(crate) fn known_leader(&self) -> Option<KnownLeader> {
        let leader = self.leader_identity()?;
        let ended = if leader.node == self.settings.node {
            leader.run != self.incarnation
        } else {
            let peer = self.peer_index(leader.node)?;
            self.peers.links[peer].last_run.is_some_and(|last| {
                last.run != leader.run
                    && leader
                        .known_since
                        .is_some_and(|known_since| last.asked_at >= known_since)
            })
        };
        Some(KnownLeader {
            term: leader.term,
            incarnation: leader.run,
            process_ended: ended,
        })
    }

    /// The leader according to the records, or to a peer's summary while the records have not been read.
    fn leader_identity(&self) -> Option<LeaderIdentity<'_>> {
        if self.cache.synced {
            let (record, version) = self.cache.leader.as_ref()?;
            let seen = &self.observed_leader_record;
            return Some(LeaderIdentity {
                node: &record.node,
                run: record.incarnation,
                term: record.term,
                known_since: (seen.version == *version).then_some(seen.observed_at),
            });
        }
        let received = self.peers.record_summary.as_ref()?;
        let leader = &received.summary.lead;
        Some(LeaderIdentity {
            node: &leader.node,
            run: leader.incarnation,
            term: leader.term,
            known_since: Some(received.leader_known_since),
        })
    }

    /// Whether the leader's process has ended and another run of it has started.
    pub(crate) fn leader_process_restarted(&self) -> bool {
        self.known_leader()
            .is_some_and(|leader| leader.process_ended)
    }

    /// Whether all controllers that can be asked have stopped hearing the leader. Replacing a leader that is
    /// still alive interrupts service briefly and is safe: the term is a fencing token.
    pub(crate) fn leader_suspected(&self, clock: Clock, leader: &str) -> bool {
        let Some(sighting) = &self.peers.last_leader_sighting else {
            return false;
        };
        if sighting.node != leader || clock.now.since(sighting.at) < LEADER_SILENCE_LIMIT {
            return false;
        }
        // A controller that is isolated by itself must not take leadership from the others: at least one other
        // controller has to miss the leader, too. Otherwise the lease in the store decides. When a partition
        // between controllers heals, the order in which they hear each other is random: a peer's report counts
        // only if the peer has been reachable for as long as a leader may be silent.
        let reports: Vec<&PeerStatus> = self
            .peers
            .status
            .iter()
            .filter(|(node, status)| *node != leader && status.heard_recently(clock.now))
            .map(|(_, status)| status)
            .collect();
        let long_reachable =
            |status: &PeerStatus| clock.now.since(status.reachable_since) >= LEADER_SILENCE_LIMIT;
        let misses_leader = |status: &PeerStatus| {
            status
                .leader_silent_ms
                .is_none_or(|silent_ms| silent_ms * 1000 >= LEADER_SILENCE_LIMIT.0)
        };
        reports.iter().any(|status| long_reachable(status))
            && reports.iter().all(|status| misses_leader(status))
    }

    /// Time since the controller named `leader` was last heard, whether it led then or not; none: it was never
    /// heard.
    pub fn leader_silence(&self, clock: Clock, leader: &str) -> Option<Micros> {
        let status = self.peers.status.get(leader)?;
        Some(clock.now.since(status.last_heard))
    }

    /// Whether this controller has read the records and the store serves it.
    pub fn store_available(&self) -> bool {
        self.cache.synced && !self.store.is_unresponsive()
    }

    /// Address of a peer that the store serves while it does not serve this controller; the leader is preferred.
    pub fn peer_with_store(&self, clock: Clock) -> Option<std::net::SocketAddr> {
        if self.store_available() {
            return None;
        }
        let leader = self.cache.leader.as_ref().map(|(record, _)| &record.node);
        let served = |node: &String| {
            let status = self.peers.status.get(node);
            status.is_some_and(|status| status.store_available && status.heard_recently(clock.now))
        };
        let mut candidates = self.settings.peers.iter().filter(|peer| served(&peer.node));
        let first = candidates.next()?;
        let leading = candidates.find(|peer| leader == Some(&peer.node));
        Some(leading.unwrap_or(first).address)
    }
}

/// A leader, by the process that leads.
struct LeaderIdentity<'a> {
    node: &'a str,
    /// Run of the leader's process.
    run: u64,
    term: u64,
    /// Since when this leadership is known here; none: not known for the current record yet.
    known_since: Option<Micros>,
}
