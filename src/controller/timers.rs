//! Timers: runs the work that is due and computes when the controller has to be called next.

use crate::controller::Controller;
use crate::messages::PendingRequest;
use crate::protocol::{Clock, Micros};

/// Maximum interval between calls of the controller.
const MAX_CALL_INTERVAL: Micros = Micros::millis(1000);
/// A follower that has had no response from the store for this long sends a probe. Its watch stays open through an
/// outage, so without client requests and probes it would not detect the outage, and would give no silence pledge.
const STORE_PROBE_AFTER: Micros = Micros::millis(2000);
/// Minimum interval between probes.
const STORE_PROBE_INTERVAL: Micros = Micros::millis(1000);
/// A leader, or a follower that renews agent leases, requests a read barrier when its last confirmed read is this old.
const CONFIRMATION_INTERVAL: Micros = Micros::millis(1000);
/// Safety margin of the staleness bound, in seconds.
const STALENESS_MARGIN_S: f64 = 2.0;
/// Safety margin of the staleness bound, as a share of the cancellation deadline.
const STALENESS_MARGIN_SHARE: f64 = 0.002;

/// State of the probes by which a follower checks that the key-value store responds.
pub(super) struct StoreProbe {
    /// When the store last responded.
    pub(super) last_response_at: Micros,
    /// When the last probe was sent.
    last_probe_at: Micros,
}

impl StoreProbe {
    /// Creates the initial state; the start of the process counts as a response.
    pub(super) fn new(now: Micros) -> StoreProbe {
        StoreProbe {
            last_response_at: now,
            last_probe_at: now,
        }
    }

    /// Returns when the next probe is due.
    fn due(&self) -> Micros {
        (self.last_response_at + STORE_PROBE_AFTER).max(self.last_probe_at + STORE_PROBE_INTERVAL)
    }
}

impl Controller {
    /// Runs all timers that are due; returns the latest time of the next call. The order is fixed, so that runs can be
    /// replayed.
    pub(super) fn run_timers(&mut self, clock: Clock) -> Micros {
        let mut next = clock.now + MAX_CALL_INTERVAL;
        next = next.min(self.drive_listing(clock.now));
        next = next.min(self.drive_watch(clock.now));
        next = next.min(self.drive_read_barrier(clock));
        self.apply_budget_share(clock);
        next = next.min(self.grant_budget_shares(clock));
        next = next.min(self.negotiate_format(clock));
        next = next.min(self.send_peer_heartbeats(clock));
        next = next.min(self.advance_candidacy(clock));
        next = next.min(self.expire_acceptances(clock));
        next = next.min(self.run_follower_timers(clock));
        next.min(self.run_leader_timers(clock))
    }

    fn run_follower_timers(&mut self, clock: Clock) -> Micros {
        if self.leader.is_some() {
            return Micros::FAR_FUTURE;
        }
        let mut next = self.maintain_renewals(clock);
        if self.cache.synced {
            next = next.min(self.probe_store(clock));
        }
        if self.renewals.active() {
            let last_confirmed_read = self.renewals.last_confirmed_read();
            next = next.min(self.confirm_cache(clock, last_confirmed_read));
        }
        next
    }

    fn run_leader_timers(&mut self, clock: Clock) -> Micros {
        let Some(leader) = &self.leader else {
            return Micros::FAR_FUTURE;
        };
        let last_confirmed_read = leader.last_confirmed_read;
        let mut next = self.drive_leader_lease(clock.now);
        next = next.min(self.confirm_cache(clock, last_confirmed_read));
        next = next.min(self.drive_leader(clock));
        next.min(self.check_leadership_transfer(clock))
    }

    /// Sends a probe if the store has not responded for `STORE_PROBE_AFTER`; returns when to check again.
    fn probe_store(&mut self, clock: Clock) -> Micros {
        let due = self.store_probe.due();
        if due <= clock.now {
            self.store_probe.last_probe_at = clock.now;
            self.request_confirmation(clock);
        }
        due.max(clock.now + STORE_PROBE_INTERVAL)
    }

    /// Requests a read barrier if the last confirmed read is too old; returns when to check again.
    fn confirm_cache(&mut self, clock: Clock, last_confirmed_read: Micros) -> Micros {
        let due = last_confirmed_read + CONFIRMATION_INTERVAL;
        if due > clock.now {
            return due;
        }
        self.request_confirmation(clock);
        Micros::FAR_FUTURE
    }

    /// Requests a read barrier for the sake of a confirmed read only, unless one is in flight.
    pub(crate) fn request_confirmation(&mut self, clock: Clock) {
        if !self.read_barrier.in_flight() {
            self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
        }
    }

    /// Returns for how long after the start of the last confirmed read agent heartbeats may still be answered. Tasks
    /// that were cancelled after that read must have stopped by the cancellation deadline, and an agent whose lease is
    /// renewed keeps its tasks for one lease duration.
    pub fn staleness_bound(&self) -> Micros {
        let agents = &self.settings.params.agents;
        let margin_s = STALENESS_MARGIN_S + STALENESS_MARGIN_SHARE * agents.cancel_s;
        Micros::secs(agents.cancel_s - agents.lease_s - margin_s)
    }
}
