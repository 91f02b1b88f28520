//! Sends heartbeats to peers and processes their responses.

use super::{ObservedIncarnation, silence_pledges_enabled};
use crate::controller::Controller;
use crate::messages::PendingCall;
use crate::protocol::peer_messages::{CancellationCursor, LeaseDelegationStatus, PeerHeartbeat};
use crate::protocol::{Clock, Micros, format};
use crate::transport::Outcome;
use lease_delegation::peer_coverage::{AnswerCompleteness, PeerResponse};

const HEARTBEAT_TIMEOUT: Micros = Micros::millis(2000);
const HEARTBEAT_INTERVAL: Micros = Micros::millis(700);

impl Controller {
    /// Sends the heartbeats that are due; returns when the next ones are.
    pub(crate) fn send_peer_heartbeats(&mut self, clock: Clock) -> Micros {
        if self.peers.next_heartbeat_at <= clock.now {
            // Done even if no peer requests cancellations: otherwise the cache would keep the job names without bound,
            // while the log is bounded.
            self.log_cancellations();
            self.peers.next_heartbeat_at = clock.now + HEARTBEAT_INTERVAL;
            for peer in 0..self.settings.peers.len() {
                self.send_heartbeat_unless_in_flight(clock, peer);
            }
        }
        if let Some(peer) = self.peers.incomplete_log_peer.take() {
            self.send_heartbeat_unless_in_flight(clock, peer);
        }
        self.peers.next_heartbeat_at
    }

    fn send_heartbeat_unless_in_flight(&mut self, clock: Clock, peer: usize) {
        if self.peers.links[peer].in_flight {
            return;
        }
        let mut heartbeat = self.new_heartbeat(clock);
        let cursor = self.peers.reported_cancellations.cursor(peer);
        heartbeat.cancellation_cursor =
            self.cancellations_complete_to_revision()
                .map(|complete| CancellationCursor {
                    complete_revision: complete,
                    log_position: cursor.into(),
                });
        let link = &mut self.peers.links[peer];
        link.in_flight = true;
        link.announced_store_unavailable = heartbeat
            .delegation
            .is_some_and(|extension| extension.pledges_silence);
        self.call(
            PendingCall::PeerHeartbeat {
                peer,
                sent_at: clock.now,
            },
            self.settings.peers[peer].address,
            "POST",
            "/heartbeat",
            heartbeat.encode(),
            HEARTBEAT_TIMEOUT,
        );
    }

    /// A heartbeat with this controller's current state; also the base of a response to a peer's heartbeat.
    pub(super) fn new_heartbeat(&self, clock: Clock) -> PeerHeartbeat {
        let staleness_bound = self.staleness_bound();
        let store_available = self.store_available();
        let leading_term = self
            .leader
            .as_ref()
            .filter(|leader| {
                let confirmed = leader.peers_confirmed_at.max(leader.last_confirmed_read);
                clock.now < confirmed + staleness_bound
            })
            .map(|leader| leader.term);
        let leader_silent_ms = self
            .peers
            .last_leader_contact
            .as_ref()
            .map(|contact| clock.now.since(contact.at).0 / 1000);
        let extension = LeaseDelegationStatus {
            incarnation: self.incarnation,
            delegated_term: None,
            last_use_age_us: self.peers.renewal_grant.time_since_use(clock.now.0),
            pledges_silence: silence_pledges_enabled(&self.policy) && !store_available,
        };
        PeerHeartbeat {
            node: self.settings.node.clone(),
            leading_term,
            leader_silent_ms,
            newest_revision: self
                .cache
                .synced
                .then_some(self.cache.last_cancellation_or_leader_change),
            store_available,
            format: format::NEWEST,
            requested_writes: self.budget.requested_writes(),
            grant_epoch: self
                .cache
                .budget_shares
                .as_ref()
                .map_or(0, |(grant, _)| grant.epoch),
            delegation: Some(extension),
            record_summary: None,
            cancellation_cursor: None,
            cancellation_update: None,
        }
    }

    /// Processes the outcome of the heartbeat that was sent to a peer at `sent_at`.
    ///
    /// If this controller has every cancellation and leadership change that the peer has, the response confirms this
    /// controller's lease renewals as of `sent_at`.
    pub(crate) fn on_heartbeat_response(
        &mut self,
        clock: Clock,
        peer: usize,
        sent_at: Micros,
        outcome: Outcome,
    ) {
        self.peers.links[peer].in_flight = false;
        let Some(mut response) = self.decode_heartbeat_response(peer, outcome) else {
            return;
        };
        if let Some(summary) = response.record_summary.take() {
            self.on_record_summary(clock, sent_at, summary);
        }
        if !self.peers.links[peer].announced_store_unavailable {
            // The peer has responded to a heartbeat that announced the end of this controller's pledges.
            let pledges = &mut self.peers.silence_pledges;
            pledges.on_release_acknowledged(peer, sent_at.0, clock.now.0);
        }
        self.update_coverage(clock, peer, sent_at, &mut response);
        if let Some(extension) = response.delegation {
            self.on_heartbeat_extension(clock, peer, sent_at, extension);
        }
        self.on_heartbeat(clock, response);
        self.update_leader_coverage();
    }

    /// The response in `outcome`, if it is valid and this peer sent it.
    fn decode_heartbeat_response(&self, peer: usize, outcome: Outcome) -> Option<PeerHeartbeat> {
        let Outcome::Response { status: 200, body } = outcome else {
            return None;
        };
        let expected = &self.settings.peers[peer].node;
        match PeerHeartbeat::decode(&body) {
            Ok(response) if response.node == *expected => Some(response),
            Ok(response) => {
                log::warn!(
                    "heartbeat response dropped peer={expected} sender={}",
                    response.node
                );
                None
            }
            Err(error) => {
                log::warn!("heartbeat response dropped peer={expected} error=\"{error}\"");
                None
            }
        }
    }

    /// Updates the coverage of a peer; takes the cancellations out of its response.
    fn update_coverage(
        &mut self,
        clock: Clock,
        peer: usize,
        sent_at: Micros,
        response: &mut PeerHeartbeat,
    ) {
        let extension = response.delegation;
        let update = response.cancellation_update.take();
        let knowledge = match (response.newest_revision, &update, extension) {
            (None, ..) => AnswerCompleteness::RecordsUnread,
            (Some(_), Some(update), Some(extension)) => {
                if self.on_cancellation_update(clock, peer, extension.incarnation, update) {
                    AnswerCompleteness::Complete
                } else {
                    AnswerCompleteness::Partial
                }
            }
            // The peer has an older format, or its log no longer holds all entries. The comparison uses the revision
            // up to which the cache is complete, since a commit of this controller may have a higher revision than a
            // peer's commit that it has not read yet.
            (Some(newest), ..)
                if newest <= self.cancellations_complete_to_revision().unwrap_or(0) =>
            {
                AnswerCompleteness::Complete
            }
            _ => AnswerCompleteness::Partial,
        };
        let peer_response = PeerResponse {
            completeness: knowledge,
            pledges_silence: extension.unwrap_or_default().pledges_silence,
        };
        let coverage = &mut self.peers.coverage;
        coverage.on_response(peer, peer_response, sent_at.0, clock.now.0);
        if knowledge == AnswerCompleteness::Complete
            && let Some(update) = update
        {
            // This controller now also has every cancellation on which the peer's coverage of other peers is based.
            self.extend_coverage(Some(peer), sent_at, &update.peer_coverage_ages);
        }
    }

    /// Processes the peer's incarnation, the grant that it gave or withdrew, and its use of a grant of this controller.
    fn on_heartbeat_extension(
        &mut self,
        clock: Clock,
        peer: usize,
        sent_at: Micros,
        extension: LeaseDelegationStatus,
    ) {
        let node = &self.settings.peers[peer].node;
        let last_incarnation = &mut self.peers.links[peer].last_incarnation;
        if last_incarnation.is_some_and(|last| last.incarnation != extension.incarnation) {
            log::info!("peer restarted peer={node}");
        }
        *last_incarnation = Some(ObservedIncarnation {
            incarnation: extension.incarnation,
            request_sent_at: sent_at,
        });
        let grant = &mut self.peers.renewal_grant;
        grant.on_response(extension.delegated_term, extension.incarnation, sent_at.0);
        if let Some(leader) = &mut self.leader {
            leader.lease_grants.on_use_report(
                node,
                extension.incarnation,
                sent_at.0,
                clock.now.0,
                extension.last_use_age_us,
            );
        }
    }
}
