//! Answers of the state service, and what follows from each.

use super::formats::FORMAT_AGAIN;
use super::front::Waiter;
use super::lead::{ClaimState, LEAD_TTL};
use super::node::{Clock, Node, Tag, cond, put};
use crate::bookkeeping::store::{Ask, Rank, Reply};
use crate::protocol::Micros;
use crate::protocol::records::{LEAD, LIVE};
use crate::protocol::wire::{Change, Txn};

/// Renewed at this pace.
pub(super) const RENEW_EVERY: Micros = Micros::millis(1200);
/// The standing watch is opened anew after this many of our requests' time at the soonest: the rest of the budget is for
/// what users wait for longer.
const FOLLOW_SHARE: f64 = 5.0;

impl Node {
    pub(super) fn on_store(
        &mut self,
        clock: Clock,
        tag: Tag,
        ask: Ask,
        sent: Micros,
        reply: Reply,
    ) {
        match (tag, reply) {
            (Tag::Load, Reply::Page(page)) => {
                let last = page.items.last().map(|i| i.key.clone());
                if self.mirror.apply_page(page) {
                    log::info!("records read up to revision {}", self.mirror.revision);
                    self.load_after.clear();
                    self.siblings.gist = None;
                    self.loading = false;
                    self.follow_at = (!self.following).then_some(clock.now);
                    self.on_news(clock);
                } else {
                    self.load_after = last.unwrap_or_default();
                    self.load_at = Some(clock.now);
                }
            }
            (Tag::Load, _) => self.load_at = Some(clock.now + Micros::millis(250)),
            (Tag::Follow, reply) => {
                self.following = false;
                match reply {
                    Reply::Events(a) => {
                        self.mirror.apply(a);
                        self.note_read(sent);
                        let gap = (FOLLOW_SHARE / self.store.request_rate()).clamp(0.04, 0.4);
                        self.follow_at = Some(clock.now.max(sent + Micros::secs(gap)));
                        self.on_news(clock);
                    }
                    Reply::TooOld => self.reload(clock),
                    _ => self.follow_at = Some(clock.now + Micros::millis(300)),
                }
            }
            (Tag::Barrier, Reply::Events(a)) => {
                self.mirror.apply(a);
                self.barrier_sent = None;
                self.note_read(sent);
                self.on_news(clock);
                for w in std::mem::take(&mut self.barrier_flying) {
                    self.resume(clock, w);
                }
                self.send_barrier(clock);
            }
            (Tag::Barrier, reply) => {
                if reply == Reply::TooOld {
                    self.reload(clock);
                }
                self.barrier_sent = None;
                for w in std::mem::take(&mut self.barrier_flying) {
                    self.cannot_catch_up(w);
                }
                self.send_barrier(clock);
            }
            (Tag::Accept(ids), reply) => self.on_accepted(clock, ids, reply),
            (Tag::Cancel(id), reply) => self.on_cancelled(clock, id, ask, reply),
            (Tag::ClaimLease, Reply::Lease(l)) => {
                self.lease = Some(l);
                // Somebody else may have claimed while the lease was asked for.
                if self.vacant(clock) || self.relieves(clock) {
                    self.send_claim();
                } else {
                    self.claim = ClaimState::Idle;
                }
            }
            (Tag::ClaimLease, _) => self.claim = ClaimState::Idle,
            (Tag::Claim, Reply::Committed(rev)) => {
                if let Ask::Txn(t) = ask {
                    self.apply_own(&t, rev);
                }
                self.claim = ClaimState::Idle;
                self.on_news(clock);
                // The commit shows that the term is ours, and not what was cancelled before it.
                if let Some(l) = &mut self.leader {
                    l.proof = l.proof.max(self.read_at);
                }
                self.want_barrier(clock, Waiter::Proof);
            }
            (Tag::Claim, _) => {
                // After a lost answer the records tell, and a second claim fails if the first
                // was carried out.
                self.claim = ClaimState::Idle;
                self.want_barrier(clock, Waiter::Proof);
            }
            (Tag::Renew, reply) => {
                self.renewing = false;
                match reply {
                    Reply::Lease(_) => self.renew_at = sent + RENEW_EVERY,
                    Reply::LeaseGone => {
                        self.renewing = true;
                        self.store
                            .ask(Rank::First, Tag::RelieveLease, Ask::NewLease(LEAD_TTL));
                    }
                    _ => self.renew_at = clock.now + Micros::millis(300),
                }
            }
            (Tag::RelieveLease, Reply::Lease(l)) => {
                self.lease = Some(l);
                match &self.leader {
                    Some(leader) => {
                        let txn = Txn {
                            conds: vec![cond(LEAD, leader.version)],
                            changes: vec![put(LIVE, &self.settings.node, Some(l))],
                        };
                        self.store.ask(Rank::First, Tag::Relieve, Ask::Txn(txn));
                    }
                    None => self.renewing = false,
                }
            }
            (Tag::RelieveLease, _) => {
                self.renewing = false;
                self.renew_at = clock.now + Micros::millis(300);
            }
            (Tag::Relieve, reply) => {
                self.renewing = false;
                self.renew_at = clock.now + Micros::millis(300);
                if let (Reply::Committed(rev), Ask::Txn(t)) = (&reply, &ask) {
                    self.apply_own(t, *rev);
                }
                if matches!(reply, Reply::Conflict(_)) {
                    self.want_barrier(clock, Waiter::Proof);
                }
            }
            (Tag::Raise, reply) => {
                if let (Reply::Committed(rev), Ask::Txn(t)) = (&reply, &ask) {
                    self.apply_own(t, *rev);
                    self.on_news(clock);
                } else {
                    self.want_barrier(clock, Waiter::Proof);
                }
                if let Some(l) = &mut self.leader {
                    l.raising = false;
                }
            }
            (Tag::Edits(n), reply) => self.on_edits(clock, n, ask, reply),
            (Tag::Types, Reply::Committed(rev)) => {
                if let Ask::Txn(t) = ask {
                    self.apply_own(&t, rev);
                }
            }
            (Tag::Types, _) => {}
            (Tag::Parts, reply) => self.on_parts(clock, ask, reply),
            (Tag::Yield, Reply::Committed(rev)) => {
                if let Ask::Txn(t) = ask {
                    self.apply_own(&t, rev);
                }
                self.yielded = Some(clock.now);
                self.stand_down("others reach the workers");
            }
            (Tag::Yield, _) => {
                if let Some(l) = &mut self.leader {
                    l.yielding = None;
                }
            }
            (Tag::Renewals(named), reply) => self.on_renewals(clock, named, ask, sent, reply),
            (Tag::Format, reply) => {
                self.format_at = Some(clock.now + FORMAT_AGAIN);
                if let (Reply::Committed(rev), Ask::Txn(t)) = (reply, ask) {
                    self.apply_own(&t, rev);
                }
            }
        }
    }

    /// Takes a committed transaction of ours into the copy. Watching continues from where it
    /// was, so changes of others before this revision are not skipped.
    pub fn apply_own(&mut self, txn: &Txn, revision: u64) {
        for c in &txn.changes {
            match c {
                Change::Put { put, value, .. } => self.mirror.put(put, value.clone(), revision),
                Change::Delete { key } => self.mirror.delete(key, revision),
            }
        }
    }

    /// Reads all records anew, unless that is being done already: pages of the reading before would lead the new one
    /// past keys that it has not met, and these would be taken for deleted.
    pub(super) fn reload(&mut self, clock: Clock) {
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
