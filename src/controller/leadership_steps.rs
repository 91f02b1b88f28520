//! Leadership transitions of this controller: taking office, a raised term, stepping down.

use crate::agents::leader_state::LeaderState;
use crate::controller::Controller;
use crate::leadership::election::ElectionState;
use crate::messages::PendingRequest;
use crate::protocol::{Clock, Micros};
use crate::state::store_client::{StoreRequest, StoreResponse};

/// The version of the leader record that the cache holds.
pub(crate) struct LeaderRecordSeen {
    /// Version in the store; 0: there is no record.
    pub(crate) version: u64,
    /// Since when we know this version.
    pub(crate) since: Micros,
}

/// Leadership that the leader record grants to this run of our process.
struct GrantedLeadership {
    /// Fencing token.
    term: u64,
    /// Version of the leader record.
    version: u64,
}

impl Controller {
    /// Follows up on a change of the cache: takes office or steps down as the leader record says, and passes changed
    /// jobs on to the leader's components.
    pub(crate) fn on_cache_updated(&mut self, clock: Clock) {
        self.note_leader_record(clock);
        match (self.granted_leadership(), self.leader.is_some()) {
            (None, true) => self.step_down("another controller leads"),
            (Some(granted), true) => self.update_leadership(clock, granted),
            (Some(granted), false) => self.begin_leading(clock, granted),
            (None, false) => {}
        }
        self.on_changed_jobs();
    }

    fn note_leader_record(&mut self, clock: Clock) {
        let version = self
            .cache
            .leader
            .as_ref()
            .map_or(0, |(_, version)| *version);
        if self.leader_record_seen.version != version {
            self.leader_record_seen = LeaderRecordSeen {
                version,
                since: clock.now,
            };
        }
    }

    /// The leadership that the record grants us. Below the highest term seen there is none: the cache is outdated.
    fn granted_leadership(&self) -> Option<GrantedLeadership> {
        self.cache
            .leader
            .as_ref()
            .filter(|(record, _)| {
                record.node == self.settings.node && record.incarnation == self.incarnation
            })
            .filter(|(record, _)| record.term >= self.highest_term_seen)
            .map(|(record, version)| GrantedLeadership {
                term: record.term,
                version: *version,
            })
    }

    fn begin_leading(&mut self, clock: Clock, granted: GrantedLeadership) {
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
            log::info!(
                "leadership term raised old_term={} term={}",
                leader.term,
                granted.term
            );
            // Followers may go on under the old term as long as after a takeover.
            leader.term_since = clock.now;
            leader.unseen_agent_leases_expired = false;
            leader.next_full_check_at = clock.now;
        }
        leader.term = granted.term;
        leader.version = granted.version;
    }

    /// Stops leading.
    pub(crate) fn step_down(&mut self, reason: &str) {
        if let Some(leader) = self.leader.take() {
            log::info!("leadership lost term={} reason=\"{reason}\"", leader.term);
        }
        self.leader_lease.renewal_due = Micros::FAR;
    }

    /// Handles the result of our claim of leadership.
    pub(super) fn on_claim_response(
        &mut self,
        clock: Clock,
        request: &StoreRequest,
        reply: &StoreResponse,
    ) {
        self.election = ElectionState::Idle;
        // After a lost response the records decide: a second claim fails if the first was carried out.
        if self.apply_if_committed(request, reply) {
            self.on_cache_updated(clock);
            // The commit proves that the term is ours. It does not show which jobs were cancelled before it, so it
            // counts as no newer a read than the last one.
            if let Some(leader) = &mut self.leader {
                leader.last_confirmed_read = leader.last_confirmed_read.max(self.confirmed_read_at);
            }
        }
        self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
    }

    /// Handles the result of raising our own term.
    pub(super) fn on_term_raise_response(
        &mut self,
        clock: Clock,
        request: &StoreRequest,
        reply: &StoreResponse,
    ) {
        if self.apply_if_committed(request, reply) {
            self.on_cache_updated(clock);
        } else {
            self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
        }
        if let Some(leader) = &mut self.leader {
            leader.term_raise_pending = false;
        }
    }

    /// Handles the result of giving leadership up in favour of another controller.
    pub(super) fn on_transfer_response(
        &mut self,
        clock: Clock,
        request: &StoreRequest,
        reply: &StoreResponse,
    ) {
        if self.apply_if_committed(request, reply) {
            self.transferred_at = Some(clock.now);
            self.step_down("other controllers reach the agents");
        } else if let Some(leader) = &mut self.leader {
            leader.unable_to_serve_since = None;
        }
    }
}
