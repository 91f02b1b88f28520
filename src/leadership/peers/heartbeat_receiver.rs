//! Processes heartbeats of peers and responds to them.

use super::{LeaderContact, PeerStatus};
use crate::controller::Controller;
use crate::protocol::peer_messages::PeerHeartbeat;
use crate::protocol::{Clock, Micros};

impl Controller {
    /// Responds to a peer's heartbeat.
    ///
    /// While the store is unavailable to this controller, the response is a silence pledge; if this controller
    /// leads, the response also grants lease renewal. With the pledge and the grant, peers can renew the agents'
    /// leases if this controller fails.
    pub(crate) fn respond_to_heartbeat(
        &mut self,
        clock: Clock,
        mut heartbeat: PeerHeartbeat,
    ) -> PeerHeartbeat {
        let sender = heartbeat.node.clone();
        let sender_extension = heartbeat.delegation;
        let sender_has_records = heartbeat.newest_revision.is_some();
        let cancellation_cursor = heartbeat.cancellation_cursor.take();
        self.on_heartbeat(clock, heartbeat);

        let mut response = self.new_heartbeat(clock);
        if let Some(cursor) = cancellation_cursor {
            response.cancellation_update = self.cancellation_update(clock, &cursor);
        }
        let store_available = self.store_available();
        let peer = self.peer_index(&sender);
        let (Some(extension), Some(sender_extension), Some(peer)) =
            (&mut response.delegation, sender_extension, peer)
        else {
            return response;
        };
        if extension.pledges_silence {
            let pledges = &mut self.peers.silence_pledges;
            pledges.record_pledge(
                peer,
                self.cache.last_cancellation_or_leader_change,
                clock.now.0,
            );
        }
        if let (Some(leader), Some(term)) = (&mut self.leader, response.leading_term)
            && !store_available
        {
            extension.delegated_term = Some(term);
            let grants = &mut leader.lease_grants;
            grants.record_grant(&sender, sender_extension.incarnation, clock.now.0);
        }
        if extension.pledges_silence && !sender_has_records {
            response.record_summary = self.record_summary_for_peer(clock);
        }
        response
    }

    /// Processes a peer's heartbeat or its response to a heartbeat.
    pub(super) fn on_heartbeat(&mut self, clock: Clock, heartbeat: PeerHeartbeat) {
        self.connectivity.on_peer_contact(clock.now);
        self.on_leading_term(clock, &heartbeat);
        let pledges_silence = heartbeat.delegation.unwrap_or_default().pledges_silence;
        if let Some(peer) = self.peer_index(&heartbeat.node)
            && !pledges_silence
        {
            self.peers.coverage.on_pledge_released(peer, clock.now.0);
            self.update_leader_coverage();
        }
        if heartbeat.grant_epoch > 0 {
            self.budget
                .on_peer_grant_epoch(&heartbeat.node, heartbeat.grant_epoch);
        }
        self.update_peer_status(clock, heartbeat);
    }

    /// Records contact with a sender that leads, and steps down if its term is higher than this controller's.
    fn on_leading_term(&mut self, clock: Clock, heartbeat: &PeerHeartbeat) {
        let Some(term) = heartbeat.leading_term else {
            return;
        };
        self.highest_term_seen = self.highest_term_seen.max(term);
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| term > leader.term)
        {
            // A leader that cannot read the store would otherwise detect its successor late, and its agents would wait.
            self.step_down("another controller leads with a higher term");
        }
        self.peers.last_leader_contact = Some(LeaderContact {
            node: heartbeat.node.clone(),
            at: clock.now,
        });
    }

    fn update_peer_status(&mut self, clock: Clock, heartbeat: PeerHeartbeat) {
        let reachable_since = self
            .peers
            .status
            .get(&heartbeat.node)
            .filter(|previous| previous.is_reachable(clock.now))
            .map_or(clock.now, |previous| previous.reachable_since);
        let (recorded_format, _) = self.cache.format_of(&heartbeat.node);
        let status = PeerStatus {
            last_contact: clock.now,
            reachable_since,
            leader_silent_ms: heartbeat.leader_silent_ms,
            store_available: heartbeat.store_available,
            downgraded_format: Some(heartbeat.format).filter(|format| *format < recorded_format),
            requested_writes: heartbeat.requested_writes,
        };
        self.peers.status.insert(heartbeat.node, status);
    }

    /// Updates the time up to which the peers' reports confirm this controller's leadership; the time may move back.
    pub(super) fn update_leader_coverage(&mut self) {
        if let (Some(leader), Some(covered_until)) =
            (&mut self.leader, self.peers.coverage.all_covered_until())
        {
            leader.peers_confirmed_at = Micros(covered_until);
        }
    }
}
