//! The leader's lease in the key-value store: acquisition, renewal, and replacement after it has expired.
//!
//! The lease serves liveness only, not safety: until it expires, other controllers do not claim leadership. Safety
//! depends on the term, which is a fencing token.

use crate::controller::Controller;
use crate::leadership::election::{ElectionState, LEADER_LEASE_TTL};
use crate::messages::{PendingRequest, StoreRequestPurpose};
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{LEADER_KEY, LEADER_LEASE_KEY};
use crate::protocol::{Clock, Micros};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};

/// Interval between renewals of the lease.
const RENEWAL_INTERVAL: Micros = Micros::millis(1200);
/// Delay before a failed renewal is retried.
const RENEWAL_RETRY_DELAY: Micros = Micros::millis(300);

/// The lease that this controller must hold while it leads, and its renewal.
pub(crate) struct LeaderLease {
    /// Id of the lease in the store; `None` until the first one is granted.
    pub(crate) id: Option<u64>,
    /// When the lease is renewed next; `Micros::FAR_FUTURE` while this controller does not lead.
    pub(super) renewal_due: Micros,
    /// A renewal or a replacement of the lease is in flight.
    renewal_in_flight: bool,
}

impl Default for LeaderLease {
    fn default() -> LeaderLease {
        LeaderLease {
            id: None,
            renewal_due: Micros::FAR_FUTURE,
            renewal_in_flight: false,
        }
    }
}

impl Controller {
    /// Renews the lease if its renewal is due; returns when to check again.
    pub(super) fn drive_leader_lease(&mut self, now: Micros) -> Micros {
        if self.leader_lease.renewal_in_flight {
            return Micros::FAR_FUTURE;
        }
        if self.leader_lease.renewal_due > now {
            return self.leader_lease.renewal_due;
        }
        match self.leader_lease.id {
            Some(id) => self.renew_leader_lease(id),
            None => self.request_replacement_lease(),
        }
        Micros::FAR_FUTURE
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

    /// Handles the response to a candidate's request for a lease, which it needs to claim leadership.
    pub(super) fn on_candidate_lease_response(&mut self, clock: Clock, response: StoreResponse) {
        let StoreResponse::Lease(id) = response else {
            self.election = ElectionState::Idle;
            return;
        };
        self.leader_lease.id = Some(id);
        // Another controller may have claimed leadership while the request was in flight.
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
            StoreResponse::LeaseExpired => self.request_replacement_lease(),
            _ => self.leader_lease.renewal_due = clock.now + RENEWAL_RETRY_DELAY,
        }
    }

    /// Handles the response to a request for a lease that replaces an expired one: attaches the leader's liveness key
    /// to the new lease.
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
