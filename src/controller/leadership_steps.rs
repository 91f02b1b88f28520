//! Leadership transitions of this controller: becoming leader, raising the term, stepping down.

use crate::agents::leader_state::LeaderState;
use crate::controller::Controller;
use crate::leadership::election::ElectionState;
use crate::messages::PendingRequest;
use crate::protocol::{Clock, Micros};
use crate::state::store_client::{StoreRequest, StoreResponse};

/// The version of the leader record that the cache holds.
pub(crate) struct ObservedLeaderRecord {
    /// Version in the store; 0 if there is no record.
    pub(crate) version: u64,
    /// When this controller first saw this version.
    pub(crate) observed_at: Micros,
}

/// A leadership that this controller has transferred to another one.
pub(crate) struct TransferredLeadership {
    /// When the transfer was confirmed.
    pub(crate) at: Micros,
    /// Version of the leader record, which stays until another controller claims leadership.
    record_version: u64,
}

/// Leadership that the leader record grants to this incarnation of this controller.
struct GrantedLeadership {
    /// Fencing token.
    term: u64,
    /// Version of the leader record.
    version: u64,
}

impl Controller {
    /// Reacts to a change of the cache: becomes leader or steps down according to the leader record, and notifies the
    /// leader's components of changed jobs.
    pub(crate) fn on_cache_updated(&mut self, clock: Clock) {
        self.observe_leader_record(clock);
        match (self.granted_leadership(), self.leader.is_some()) {
            (None, true) => self.step_down("another controller leads"),
            (Some(granted), true) => self.update_leadership(clock, granted),
            (Some(granted), false) => self.become_leader(clock, granted),
            (None, false) => {}
        }
        self.on_changed_jobs();
    }

    fn observe_leader_record(&mut self, clock: Clock) {
        let version = self
            .cache
            .leader
            .as_ref()
            .map_or(0, |(_, version)| *version);
        if self.observed_leader_record.version != version {
            self.observed_leader_record = ObservedLeaderRecord {
                version,
                observed_at: clock.now,
            };
        }
    }

    /// Returns the leadership that the leader record grants to this controller. A record whose term is below the
    /// highest term seen grants none, since the cache is stale. Nor does the record of a leadership that was transferred:
    /// writes sent before the transfer may still be carried out under it, and they are forgotten.
    fn granted_leadership(&self) -> Option<GrantedLeadership> {
        let transferred = self.transferred_leadership.as_ref();
        let transferred_version = transferred.map(|transferred| transferred.record_version);
        self.cache
            .leader
            .as_ref()
            .filter(|(record, _)| {
                record.node == self.settings.node && record.incarnation == self.incarnation
            })
            .filter(|(record, version)| {
                record.term >= self.highest_term_seen && Some(*version) != transferred_version
            })
            .map(|(record, version)| GrantedLeadership {
                term: record.term,
                version: *version,
            })
    }

    fn become_leader(&mut self, clock: Clock, granted: GrantedLeadership) {
        log::info!("leadership acquired term={}", granted.term);
        self.leader = Some(LeaderState::new(granted.term, granted.version, clock));
        self.leader_lease.renewal_due = clock.now;
        self.apply_budget_share(clock);
        self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
    }

    fn update_leadership(&mut self, clock: Clock, granted: GrantedLeadership) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if granted.term != leader.term {
            leader.begin_term(granted.term, clock.now);
        }
        leader.version = granted.version;
    }

    /// Stops leading.
    pub(crate) fn step_down(&mut self, reason: &str) {
        if let Some(leader) = self.leader.take() {
            log::info!("leadership lost term={} reason=\"{reason}\"", leader.term);
        }
        self.leader_lease.renewal_due = Micros::FAR_FUTURE;
    }

    /// Handles the result of the claim of leadership.
    pub(super) fn on_claim_response(
        &mut self,
        clock: Clock,
        request: &StoreRequest,
        response: &StoreResponse,
    ) {
        self.election = ElectionState::Idle;
        // If the response was lost, the records show whether the claim succeeded. A second claim would fail if the
        // first one was committed.
        if self.apply_if_committed(request, response) {
            self.on_cache_updated(clock);
            // The commit proves that this controller holds the term. It does not show which jobs were cancelled before
            // it, so the time of the last confirmed read stays as it was.
            if let Some(leader) = &mut self.leader {
                leader.last_confirmed_read = leader.last_confirmed_read.max(self.confirmed_read_at);
            }
        }
        self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
    }

    /// Handles the result of the transaction by which this leader raises its own term.
    pub(super) fn on_term_raise_response(
        &mut self,
        clock: Clock,
        request: &StoreRequest,
        response: &StoreResponse,
    ) {
        if self.apply_if_committed(request, response) {
            self.on_cache_updated(clock);
        } else {
            self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
        }
        if let Some(leader) = &mut self.leader {
            leader.term_raise_pending = false;
        }
    }

    /// Handles the result of transferring leadership to another controller.
    pub(super) fn on_transfer_response(
        &mut self,
        clock: Clock,
        request: &StoreRequest,
        response: &StoreResponse,
    ) {
        if self.apply_if_committed(request, response) {
            self.transferred_leadership =
                self.leader.as_ref().map(|leader| TransferredLeadership {
                    at: clock.now,
                    record_version: leader.version,
                });
            self.step_down("other controllers reach the agents");
        } else if let Some(leader) = &mut self.leader {
            leader.unable_to_serve_since = None;
        }
    }
}
