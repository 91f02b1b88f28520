//! Read barriers: a request waits until the cache holds all changes that were committed before the request arrived.
//!
//! A barrier is a read of all changes since the revision of the cache. Requests that arrive while one is in flight wait
//! for the next one and share it.

use crate::controller::Controller;
use crate::messages::{PendingRequest, StoreRequestPurpose};
use crate::protocol::{Clock, Micros};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};

/// Minimum distance between barriers that only client requests wait for, in request intervals (an interval is the
/// reciprocal of this controller's request rate). The rest of the request budget is left for acceptances and leader
/// work, which clients wait for longer.
const BARRIER_REQUEST_INTERVALS: f64 = 3.0;
/// Bounds of the interval between such barriers, in seconds.
const BARRIER_INTERVAL_MIN_S: f64 = 0.03;
const BARRIER_INTERVAL_MAX_S: f64 = 0.3;

/// The barrier in flight, and the requests that wait for it or for the next one.
#[derive(Default)]
pub(crate) struct ReadBarrier {
    in_flight: bool,
    /// Requests that the barrier in flight covers.
    covered: Vec<PendingRequest>,
    /// Requests that arrived after it was sent, and wait for the next barrier.
    waiting: Vec<PendingRequest>,
    /// When a barrier was last sent, or aborted because the cache was not synchronised.
    last_attempt: Micros,
}

impl ReadBarrier {
    /// Returns whether a barrier has been sent whose response is outstanding.
    pub(crate) fn in_flight(&self) -> bool {
        self.in_flight
    }
}

/// Returns whether a request needs a barrier at once, regardless of the interval between client barriers.
fn is_urgent(request: &PendingRequest) -> bool {
    matches!(
        request,
        PendingRequest::ConfirmLeadership
            | PendingRequest::SettleRenewalsWrite
            | PendingRequest::SettleJobWrite(_)
    )
}

impl Controller {
    /// Records that the cache holds all changes that were committed before `sent`.
    pub(crate) fn on_confirmed_read(&mut self, sent: Micros) {
        self.confirmed_read_at = self.confirmed_read_at.max(sent);
        self.peers.reported_cancellations.on_records_read(sent.0);
        let record_version = self.cache.leader.as_ref().map(|(_, version)| *version);
        if let Some(leader) = &mut self.leader
            && record_version == Some(leader.version)
        {
            leader.on_confirmed_read(sent);
        }
        self.confirm_renewals(sent);
        self.settle_job_writes_after_read(sent);
    }

    /// Resumes `request` once the cache holds all changes that were committed before this call.
    pub fn request_read_barrier(&mut self, clock: Clock, request: PendingRequest) {
        self.read_barrier.waiting.push(request);
        self.send_read_barrier(clock);
    }

    /// Sends the next barrier if requests wait for it; returns when to check again.
    pub(crate) fn drive_read_barrier(&mut self, clock: Clock) -> Micros {
        if self.read_barrier.in_flight || self.read_barrier.waiting.is_empty() {
            return Micros::FAR_FUTURE;
        }
        self.send_read_barrier(clock);
        if self.read_barrier.in_flight {
            return Micros::FAR_FUTURE;
        }
        self.read_barrier.last_attempt + self.barrier_interval()
    }

    /// Returns the minimum time between barriers that only client requests wait for.
    fn barrier_interval(&self) -> Micros {
        let interval_s = BARRIER_REQUEST_INTERVALS / self.store.request_rate();
        Micros::secs(interval_s.clamp(BARRIER_INTERVAL_MIN_S, BARRIER_INTERVAL_MAX_S))
    }

    fn send_read_barrier(&mut self, clock: Clock) {
        if self.read_barrier.in_flight || self.read_barrier.waiting.is_empty() {
            return;
        }
        // Client requests can share a barrier. Barriers for them must not use up the request budget that acceptances
        // and the leader need.
        let urgent = self.read_barrier.waiting.iter().any(is_urgent);
        if clock.now < self.read_barrier.last_attempt + self.barrier_interval() && !urgent {
            return;
        }
        self.read_barrier.last_attempt = clock.now;
        let waiting = std::mem::take(&mut self.read_barrier.waiting);
        if !self.cache.synced {
            self.abort_requests(clock, waiting);
            return;
        }
        self.read_barrier.in_flight = true;
        self.read_barrier.covered = waiting;
        let request = StoreRequest::Watch {
            after: self.cache.revision,
            block_ms: 0,
        };
        self.store.enqueue(
            RequestPriority::Urgent,
            StoreRequestPurpose::ReadBarrier,
            request,
        );
    }

    /// Handles the response to a barrier that was sent at `sent`.
    pub(crate) fn on_read_barrier_response(
        &mut self,
        clock: Clock,
        sent: Micros,
        response: StoreResponse,
    ) {
        self.read_barrier.in_flight = false;
        // Taken before the cache is updated: a change of leadership sends the next barrier at once.
        let covered = std::mem::take(&mut self.read_barrier.covered);
        if let StoreResponse::Events(changes) = response {
            self.cache.apply_watch_response(changes);
            self.on_confirmed_read(sent);
            self.on_cache_updated(clock);
            for request in covered {
                self.resume_request(clock, request);
            }
        } else {
            if response == StoreResponse::RevisionTooOld {
                self.reload_records(clock);
            }
            self.abort_requests(clock, covered);
        }
        self.send_read_barrier(clock);
    }

    fn abort_requests(&mut self, clock: Clock, requests: Vec<PendingRequest>) {
        for request in requests {
            self.abort_request(clock, request);
        }
    }
}
