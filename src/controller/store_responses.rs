//! Answers of the state service, and what follows from each.

use crate::controller::Controller;
use crate::leadership::election::{ElectionState, LEADER_LEASE_TTL};
use crate::leadership::format_negotiation::FORMAT_CHECK_INTERVAL;
use crate::messages::PendingRequest;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::Micros;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::key_value_api::{Change, Transaction};
use crate::protocol::records::{LEAD, LIVE};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};

/// Renewed at this pace.
pub(crate) const LEASE_RENEWAL_INTERVAL: Micros = Micros::millis(1200);
/// The standing watch is opened anew after this many of our requests' time at the soonest: the rest of the budget is for
/// what users wait for longer.
const FOLLOW_SHARE: f64 = 5.0;

impl Controller {
    pub(crate) fn on_store_response(
        &mut self,
        clock: Clock,
        tag: StoreRequestPurpose,
        ask: StoreRequest,
        sent: Micros,
        reply: StoreResponse,
    ) {
        match (tag, reply) {
            (StoreRequestPurpose::ListRecords, StoreResponse::Page(page)) => {
                let last = page.items.last().map(|i| i.key.clone());
                if self.cache.apply_page(page) {
                    log::info!("records read up to revision {}", self.cache.revision);
                    self.listing_cursor.clear();
                    self.peers.record_summary = None;
                    self.listing = false;
                    self.watch_due = (!self.watch_open).then_some(clock.now);
                    self.on_cache_updated(clock);
                } else {
                    self.listing_cursor = last.unwrap_or_default();
                    self.listing_due = Some(clock.now);
                }
            }
            (StoreRequestPurpose::ListRecords, _) => {
                self.listing_due = Some(clock.now + Micros::millis(250))
            }
            (StoreRequestPurpose::Watch, reply) => {
                self.watch_open = false;
                match reply {
                    StoreResponse::Events(a) => {
                        self.cache.apply_watch_response(a);
                        self.on_confirmed_read(sent);
                        let gap = (FOLLOW_SHARE / self.store.request_rate()).clamp(0.04, 0.4);
                        self.watch_due = Some(clock.now.max(sent + Micros::secs(gap)));
                        self.on_cache_updated(clock);
                    }
                    StoreResponse::TooOld => self.reload(clock),
                    _ => self.watch_due = Some(clock.now + Micros::millis(300)),
                }
            }
            (StoreRequestPurpose::ReadBarrier, StoreResponse::Events(a)) => {
                self.cache.apply_watch_response(a);
                self.barrier_sent_at = None;
                self.on_confirmed_read(sent);
                self.on_cache_updated(clock);
                for w in std::mem::take(&mut self.barrier_in_flight) {
                    self.resume_request(clock, w);
                }
                self.send_read_barrier(clock);
            }
            (StoreRequestPurpose::ReadBarrier, reply) => {
                if reply == StoreResponse::TooOld {
                    self.reload(clock);
                }
                self.barrier_sent_at = None;
                for w in std::mem::take(&mut self.barrier_in_flight) {
                    self.fail_without_barrier(w);
                }
                self.send_read_barrier(clock);
            }
            (StoreRequestPurpose::AcceptJobs(ids), reply) => {
                self.on_acceptance_result(clock, ids, reply)
            }
            (StoreRequestPurpose::CancelJob(id), reply) => {
                self.on_cancellation_result(clock, id, ask, reply)
            }
            (StoreRequestPurpose::LeaderLease, StoreResponse::Lease(l)) => {
                self.leader_lease = Some(l);
                // Somebody else may have claimed while the lease was asked for.
                if self.leadership_vacant(clock) || self.should_relieve_leader(clock) {
                    self.claim_leadership();
                } else {
                    self.election = ElectionState::Idle;
                }
            }
            (StoreRequestPurpose::LeaderLease, _) => self.election = ElectionState::Idle,
            (StoreRequestPurpose::ClaimLeadership, StoreResponse::Committed(rev)) => {
                if let StoreRequest::Transaction(t) = ask {
                    self.apply_own_commit(&t, rev);
                }
                self.election = ElectionState::Idle;
                self.on_cache_updated(clock);
                // The commit shows that the term is ours, and not what was cancelled before it.
                if let Some(l) = &mut self.leader {
                    l.last_confirmed_read = l.last_confirmed_read.max(self.confirmed_read_at);
                }
                self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
            }
            (StoreRequestPurpose::ClaimLeadership, _) => {
                // After a lost answer the records tell, and a second claim fails if the first
                // was carried out.
                self.election = ElectionState::Idle;
                self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
            }
            (StoreRequestPurpose::RenewLeaderLease, reply) => {
                self.lease_renewal_in_flight = false;
                match reply {
                    StoreResponse::Lease(_) => {
                        self.lease_renewal_due = sent + LEASE_RENEWAL_INTERVAL
                    }
                    StoreResponse::LeaseGone => {
                        self.lease_renewal_in_flight = true;
                        self.store.ask(
                            RequestPriority::Urgent,
                            StoreRequestPurpose::ReplacementLease,
                            StoreRequest::NewLease(LEADER_LEASE_TTL),
                        );
                    }
                    _ => self.lease_renewal_due = clock.now + Micros::millis(300),
                }
            }
            (StoreRequestPurpose::ReplacementLease, StoreResponse::Lease(l)) => {
                self.leader_lease = Some(l);
                match &self.leader {
                    Some(leader) => {
                        let txn = Transaction {
                            conds: vec![VersionCondition::new(LEAD, leader.version)],
                            changes: vec![Change::put(LIVE, &self.settings.node, Some(l))],
                        };
                        self.store.ask(
                            RequestPriority::Urgent,
                            StoreRequestPurpose::AttachReplacementLease,
                            StoreRequest::Transaction(txn),
                        );
                    }
                    None => self.lease_renewal_in_flight = false,
                }
            }
            (StoreRequestPurpose::ReplacementLease, _) => {
                self.lease_renewal_in_flight = false;
                self.lease_renewal_due = clock.now + Micros::millis(300);
            }
            (StoreRequestPurpose::AttachReplacementLease, reply) => {
                self.lease_renewal_in_flight = false;
                self.lease_renewal_due = clock.now + Micros::millis(300);
                if let (StoreResponse::Committed(rev), StoreRequest::Transaction(t)) =
                    (&reply, &ask)
                {
                    self.apply_own_commit(t, *rev);
                }
                if matches!(reply, StoreResponse::Conflict(_)) {
                    self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
                }
            }
            (StoreRequestPurpose::RaiseTerm, reply) => {
                if let (StoreResponse::Committed(rev), StoreRequest::Transaction(t)) =
                    (&reply, &ask)
                {
                    self.apply_own_commit(t, *rev);
                    self.on_cache_updated(clock);
                } else {
                    self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
                }
                if let Some(l) = &mut self.leader {
                    l.raising = false;
                }
            }
            (StoreRequestPurpose::WriteJobs(n), reply) => {
                self.on_job_writes_result(clock, n, ask, reply)
            }
            (StoreRequestPurpose::BackgroundWrite, StoreResponse::Committed(rev)) => {
                if let StoreRequest::Transaction(t) = ask {
                    self.apply_own_commit(&t, rev);
                }
            }
            (StoreRequestPurpose::BackgroundWrite, _) => {}
            (StoreRequestPurpose::BudgetShares, reply) => self.on_budget_shares(clock, ask, reply),
            (StoreRequestPurpose::TransferLeadership, StoreResponse::Committed(rev)) => {
                if let StoreRequest::Transaction(t) = ask {
                    self.apply_own_commit(&t, rev);
                }
                self.transferred_at = Some(clock.now);
                self.step_down("others reach the workers");
            }
            (StoreRequestPurpose::TransferLeadership, _) => {
                if let Some(l) = &mut self.leader {
                    l.useless_since = None;
                }
            }
            (StoreRequestPurpose::RecordRenewals(named), reply) => {
                self.on_renewals_result(clock, named, ask, sent, reply)
            }
            (StoreRequestPurpose::RecordFormat, reply) => {
                self.format_record_due = Some(clock.now + FORMAT_CHECK_INTERVAL);
                if let (StoreResponse::Committed(rev), StoreRequest::Transaction(t)) = (reply, ask)
                {
                    self.apply_own_commit(&t, rev);
                }
            }
        }
    }

    /// Takes a committed transaction of ours into the copy. Watching continues from where it
    /// was, so changes of others before this revision are not skipped.
    pub fn apply_own_commit(&mut self, txn: &Transaction, revision: u64) {
        for c in &txn.changes {
            match c {
                Change::Put { put, value, .. } => self.cache.put(put, value.clone(), revision),
                Change::Delete { key } => self.cache.delete(key, revision),
            }
        }
    }

    /// Reads all records anew, unless that is being done already: pages of the reading before would lead the new one
    /// past keys that it has not met, and these would be taken for deleted.
    pub(crate) fn reload(&mut self, clock: Clock) {
        if self.listing {
            return;
        }
        log::info!("rereading the records");
        self.listing = true;
        self.watch_due = None;
        self.listing_cursor.clear();
        self.listing_due = Some(clock.now);
    }
}
