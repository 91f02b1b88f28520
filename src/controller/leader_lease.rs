//! The leader's lease in the key-value store: acquisition, renewal, and replacement after it has expired.
//!
//! Only liveness depends on this lease: while it lives, other controllers do not claim leadership.

use crate::controller::Controller;
use crate::leadership::election::{ElectionState, LEADER_LEASE_TTL};
use crate::messages::{PendingRequest, StoreRequestPurpose};
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{LEADER_KEY, LEADER_LEASE_KEY};
use crate::protocol::{Clock, Micros};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};

/// The lease is renewed at this interval.
const RENEWAL_INTERVAL: Micros = Micros::millis(1200);
/// A renewal that failed is tried again after this long.
const RENEWAL_RETRY_DELAY: Micros = Micros::millis(300);

/// The lease that our leadership hangs on, and its renewal.
pub(crate) struct LeaderLease {
    /// Id of the lease in the store; `None` before the first one was granted.
    pub(crate) id: Option<u64>,
    /// When the lease is renewed next; `Micros::FAR` while we do not lead.
    pub(super) renewal_due: Micros,
    /// A renewal or a replacement is in flight.
    renewal_in_flight: bool,
}

impl Default for LeaderLease {
    fn default() -> LeaderLease {
        LeaderLease {
            id: None,
            renewal_due: Micros::FAR,
            renewal_in_flight: false,
        }
    }
}

impl Controller {
    /// Renews the lease if it is due; returns when to look again.
    pub(super) fn drive_leader_lease(&mut self, now: Micros) -> Micros {
        if self.leader_lease.renewal_in_flight {
            return Micros::FAR;
        }
        if self.leader_lease.renewal_due > now {
            return self.leader_lease.renewal_due;
        }
        match self.leader_lease.id {
            Some(id) => self.renew_leader_lease(id),
            None => self.request_replacement_lease(),
        }
        Micros::FAR
    }

    fn renew_leader_lease(&mut self, id: u64) {
        self.leader_lease.renewal_in_flight = true;
        self.store.enqueue(
            RequestPriority::Urgent,
            StoreRequestPurpose::RenewLeaderLease,
            StoreRequest::Renew(id),
        );
    }

    fn request_replacement_lease(&mut self) {
        self.leader_lease.renewal_in_flight = true;
        self.store.enqueue(
            RequestPriority::Urgent,
            StoreRequestPurpose::ReplacementLease,
            StoreRequest::NewLease(LEADER_LEASE_TTL),
        );
    }

    /// Handles the lease that a candidate requested to claim leadership with.
    pub(super) fn on_candidate_lease_response(&mut self, clock: Clock, response: StoreResponse) {
        let StoreResponse::Lease(id) = response else {
            self.election = ElectionState::Idle;
            return;
        };
        self.leader_lease.id = Some(id);
        // Another controller may have claimed leadership while the lease was requested.
        if self.leadership_vacant(clock) || self.should_replace_leader(clock) {
            self.claim_leadership();
        } else {
            self.election = ElectionState::Idle;
        }
    }

    /// Handles the response to a renewal that was sent at `sent`.
    pub(super) fn on_lease_renewal_response(
        &mut self,
        clock: Clock,
        sent: Micros,
        response: StoreResponse,
    ) {
        self.leader_lease.renewal_in_flight = false;
        match response {
            StoreResponse::Lease(_) => self.leader_lease.renewal_due = sent + RENEWAL_INTERVAL,
            StoreResponse::LeaseGone => self.request_replacement_lease(),
            _ => self.leader_lease.renewal_due = clock.now + RENEWAL_RETRY_DELAY,
        }
    }

    /// Handles a lease in place of one that has expired: attaches the leader's liveness key to it.
    pub(super) fn on_replacement_lease_response(&mut self, clock: Clock, response: StoreResponse) {
        let StoreResponse::Lease(id) = response else {
            self.retry_leader_lease(clock);
            return;
        };
        self.leader_lease.id = Some(id);
        let Some(leader) = &self.leader else {
            self.leader_lease.renewal_in_flight = false;
            return;
        };
        let transaction = Transaction {
            conditions: vec![VersionCondition::new(LEADER_KEY, leader.version)],
            changes: vec![Change::put(LEADER_LEASE_KEY, &self.settings.node, Some(id))],
        };
        self.store.enqueue(
            RequestPriority::Urgent,
            StoreRequestPurpose::AttachReplacementLease,
            StoreRequest::Transaction(transaction),
        );
    }

    /// Handles the result of attaching the liveness key to a replacement lease.
    pub(super) fn on_lease_attachment_response(
        &mut self,
        clock: Clock,
        request: &StoreRequest,
        response: &StoreResponse,
    ) {
        self.retry_leader_lease(clock);
        self.apply_if_committed(request, response);
        if matches!(response, StoreResponse::Conflict(_)) {
            self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
        }
    }

    fn retry_leader_lease(&mut self, clock: Clock) {
        self.leader_lease.renewal_in_flight = false;
        self.leader_lease.renewal_due = clock.now + RENEWAL_RETRY_DELAY;
    }
}
