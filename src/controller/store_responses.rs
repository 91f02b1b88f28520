//! Answers of the state service, and what follows from each.

use crate::api::client_api::PendingRequest;
use crate::controller::{Clock, Controller, StoreRequestPurpose, cond, put};
use crate::leadership::election::{ElectionState, LEADER_LEASE_TTL};
use crate::leadership::format_negotiation::FORMAT_AGAIN;
use crate::protocol::Micros;
use crate::protocol::records::{LEAD, LIVE};
use crate::protocol::wire::{Change, Transaction};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};

/// Renewed at this pace.
pub(crate) const RENEW_EVERY: Micros = Micros::millis(1200);
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
            (StoreRequestPurpose::Load, StoreResponse::Page(page)) => {
                let last = page.items.last().map(|i| i.key.clone());
                if self.cache.apply_page(page) {
                    log::info!("records read up to revision {}", self.cache.revision);
                    self.load_after.clear();
                    self.peers.record_summary = None;
                    self.loading = false;
                    self.follow_at = (!self.following).then_some(clock.now);
                    self.on_cache_updated(clock);
                } else {
                    self.load_after = last.unwrap_or_default();
                    self.load_at = Some(clock.now);
                }
            }
            (StoreRequestPurpose::Load, _) => self.load_at = Some(clock.now + Micros::millis(250)),
            (StoreRequestPurpose::Follow, reply) => {
                self.following = false;
                match reply {
                    StoreResponse::Events(a) => {
                        self.cache.apply(a);
                        self.on_confirmed_read(sent);
                        let gap = (FOLLOW_SHARE / self.store.request_rate()).clamp(0.04, 0.4);
                        self.follow_at = Some(clock.now.max(sent + Micros::secs(gap)));
                        self.on_cache_updated(clock);
                    }
                    StoreResponse::TooOld => self.reload(clock),
                    _ => self.follow_at = Some(clock.now + Micros::millis(300)),
                }
            }
            (StoreRequestPurpose::Barrier, StoreResponse::Events(a)) => {
                self.cache.apply(a);
                self.barrier_sent = None;
                self.on_confirmed_read(sent);
                self.on_cache_updated(clock);
                for w in std::mem::take(&mut self.barrier_flying) {
                    self.resume_request(clock, w);
                }
                self.send_read_barrier(clock);
            }
            (StoreRequestPurpose::Barrier, reply) => {
                if reply == StoreResponse::TooOld {
                    self.reload(clock);
                }
                self.barrier_sent = None;
                for w in std::mem::take(&mut self.barrier_flying) {
                    self.cannot_catch_up(w);
                }
                self.send_read_barrier(clock);
            }
            (StoreRequestPurpose::Accept(ids), reply) => self.on_accepted(clock, ids, reply),
            (StoreRequestPurpose::Cancel(id), reply) => self.on_cancelled(clock, id, ask, reply),
            (StoreRequestPurpose::ClaimLease, StoreResponse::Lease(l)) => {
                self.lease = Some(l);
                // Somebody else may have claimed while the lease was asked for.
                if self.leadership_vacant(clock) || self.should_relieve_leader(clock) {
                    self.send_claim();
                } else {
                    self.claim = ElectionState::Idle;
                }
            }
            (StoreRequestPurpose::ClaimLease, _) => self.claim = ElectionState::Idle,
            (StoreRequestPurpose::Claim, StoreResponse::Committed(rev)) => {
                if let StoreRequest::Transaction(t) = ask {
                    self.apply_own_commit(&t, rev);
                }
                self.claim = ElectionState::Idle;
                self.on_cache_updated(clock);
                // The commit shows that the term is ours, and not what was cancelled before it.
                if let Some(l) = &mut self.leader {
                    l.last_confirmed_read = l.last_confirmed_read.max(self.read_at);
                }
                self.request_read_barrier(clock, PendingRequest::Proof);
            }
            (StoreRequestPurpose::Claim, _) => {
                // After a lost answer the records tell, and a second claim fails if the first
                // was carried out.
                self.claim = ElectionState::Idle;
                self.request_read_barrier(clock, PendingRequest::Proof);
            }
            (StoreRequestPurpose::Renew, reply) => {
                self.renewing = false;
                match reply {
                    StoreResponse::Lease(_) => self.renew_at = sent + RENEW_EVERY,
                    StoreResponse::LeaseGone => {
                        self.renewing = true;
                        self.store.ask(
                            RequestPriority::First,
                            StoreRequestPurpose::RelieveLease,
                            StoreRequest::NewLease(LEADER_LEASE_TTL),
                        );
                    }
                    _ => self.renew_at = clock.now + Micros::millis(300),
                }
            }
            (StoreRequestPurpose::RelieveLease, StoreResponse::Lease(l)) => {
                self.lease = Some(l);
                match &self.leader {
                    Some(leader) => {
                        let txn = Transaction {
                            conds: vec![cond(LEAD, leader.version)],
                            changes: vec![put(LIVE, &self.settings.node, Some(l))],
                        };
                        self.store.ask(
                            RequestPriority::First,
                            StoreRequestPurpose::Relieve,
                            StoreRequest::Transaction(txn),
                        );
                    }
                    None => self.renewing = false,
                }
            }
            (StoreRequestPurpose::RelieveLease, _) => {
                self.renewing = false;
                self.renew_at = clock.now + Micros::millis(300);
            }
            (StoreRequestPurpose::Relieve, reply) => {
                self.renewing = false;
                self.renew_at = clock.now + Micros::millis(300);
                if let (StoreResponse::Committed(rev), StoreRequest::Transaction(t)) =
                    (&reply, &ask)
                {
                    self.apply_own_commit(t, *rev);
                }
                if matches!(reply, StoreResponse::Conflict(_)) {
                    self.request_read_barrier(clock, PendingRequest::Proof);
                }
            }
            (StoreRequestPurpose::Raise, reply) => {
                if let (StoreResponse::Committed(rev), StoreRequest::Transaction(t)) =
                    (&reply, &ask)
                {
                    self.apply_own_commit(t, *rev);
                    self.on_cache_updated(clock);
                } else {
                    self.request_read_barrier(clock, PendingRequest::Proof);
                }
                if let Some(l) = &mut self.leader {
                    l.raising = false;
                }
            }
            (StoreRequestPurpose::RecordWriter(n), reply) => self.on_edits(clock, n, ask, reply),
            (StoreRequestPurpose::Types, StoreResponse::Committed(rev)) => {
                if let StoreRequest::Transaction(t) = ask {
                    self.apply_own_commit(&t, rev);
                }
            }
            (StoreRequestPurpose::Types, _) => {}
            (StoreRequestPurpose::Parts, reply) => self.on_parts(clock, ask, reply),
            (StoreRequestPurpose::Yield, StoreResponse::Committed(rev)) => {
                if let StoreRequest::Transaction(t) = ask {
                    self.apply_own_commit(&t, rev);
                }
                self.yielded = Some(clock.now);
                self.step_down("others reach the workers");
            }
            (StoreRequestPurpose::Yield, _) => {
                if let Some(l) = &mut self.leader {
                    l.yielding = None;
                }
            }
            (StoreRequestPurpose::DelegatedRenewals(named), reply) => {
                self.on_renewals(clock, named, ask, sent, reply)
            }
            (StoreRequestPurpose::Format, reply) => {
                self.format_at = Some(clock.now + FORMAT_AGAIN);
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
        if self.loading {
            return;
        }
        log::info!("rereading the records");
        self.loading = true;
        self.follow_at = None;
        self.load_after.clear();
        self.load_at = Some(clock.now);
    }
}
