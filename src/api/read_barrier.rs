//! Read barriers: what waits until the copy is at least as new as the moment of the question.

use crate::controller::Controller;
use crate::messages::PendingRequest;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::Micros;
use crate::state::store_client::{RequestPriority, StoreRequest};

/// Barriers of users' questions are as many of our requests' time apart: the rest of the budget is for what users wait for
/// longer.
const BARRIER_SHARE: f64 = 3.0;

impl Controller {
    /// The copy holds all changes up to a moment not before `sent`.
    pub(crate) fn on_confirmed_read(&mut self, sent: Micros) {
        self.confirmed_read_at = self.confirmed_read_at.max(sent);
        self.peers.reported_cancellations.on_records_read(sent.0);
        let lead = self.cache.lead.as_ref().map(|(_, v)| *v);
        if let Some(l) = self.leader.as_mut().filter(|l| lead == Some(l.version)) {
            l.last_confirmed_read = l.last_confirmed_read.max(sent);
        }
        self.confirm_renewals(sent);
    }

    /// Asks for a read barrier; the waiter goes on once the copy is at least as new as now.
    pub fn request_read_barrier(&mut self, clock: Clock, w: PendingRequest) {
        self.barrier_waiting.push(w);
        self.send_read_barrier(clock);
    }

    /// How far apart barriers are that only users want.
    pub(crate) fn barrier_gap(&self) -> Micros {
        Micros::secs((BARRIER_SHARE / self.store.request_rate()).clamp(0.03, 0.3))
    }

    pub(crate) fn send_read_barrier(&mut self, clock: Clock) {
        if self.barrier_sent_at.is_some() || self.barrier_waiting.is_empty() {
            return;
        }
        // Users' questions can share a barrier; they must not use up the budget that the leader's work and acceptances
        // need.
        let ours = |w: &PendingRequest| {
            matches!(
                w,
                PendingRequest::ConfirmLeadership | PendingRequest::SettleJobWrites(_)
            )
        };
        if clock.now < self.barrier_at + self.barrier_gap()
            && !self.barrier_waiting.iter().any(ours)
        {
            return;
        }
        self.barrier_at = clock.now;
        if !self.cache.synced {
            for w in std::mem::take(&mut self.barrier_waiting) {
                self.fail_without_barrier(w);
            }
            return;
        }
        self.barrier_sent_at = Some(clock.now);
        self.barrier_in_flight = std::mem::take(&mut self.barrier_waiting);
        let ask = StoreRequest::Watch {
            after: self.cache.revision,
            block_ms: 0,
        };
        self.store.ask(
            RequestPriority::Urgent,
            StoreRequestPurpose::ReadBarrier,
            ask,
        );
    }
}
