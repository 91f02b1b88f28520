//! The store's budgets, shared by the controllers.
//!
//! Each controller has a fixed share; what silent ones leave is used by the others. Half of the leader's
//! share of changes is lent once a follower asks for more than its own: the leader gives parts of it by
//! what all ask for, on record (`wt/parts`, format `PARTS`), so that they never add up to more than the
//! whole (crates/admission, `parts`). What is not lent the leader uses itself. Grants end by themselves;
//! in calm times nothing is written, and the shares are as they were.

use crate::controller::Controller;
use crate::leadership::election::LEADER_SILENCE_LIMIT;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::format::PARTS as FORMAT;
use crate::protocol::key_value_api::Change;
use crate::protocol::key_value_api::Transaction;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::records::{BudgetSharesRecord, LEAD, PARTS};
use crate::protocol::{Micros, Settings};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};
use admission_control::fair::Asked;
use admission_control::parts::{Grant, Milli, Rules, Want};
use std::collections::BTreeMap;

/// A share of the store's budgets of requests and of changes.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Share {
    requests: f64,
    changes: f64,
}

/// All controllers together use this part of the budgets, the leader most of it.
const ALL: Share = Share {
    requests: 0.95,
    changes: 0.98,
};
const LEADERS: Share = Share {
    requests: 0.6,
    changes: 0.66,
};
/// A controller sends at least this part of a second's changes at once.
const BURST: f64 = 0.33;
/// What a follower uses at most of what a silent leader leaves: it may be cut off from us alone.
const LEADERLESS: f64 = 0.5;

impl Share {
    /// Of a controller that has `peers`, of which it hears `heard`. What the silent ones leave is
    /// used by the others; `led`: the leader is among those heard.
    fn of(peers: usize, heard: usize, leading: bool, led: bool) -> Share {
        let part = |all: f64, leaders: f64| {
            let followers = peers.max(1) as f64;
            let each = (all - leaders) / followers;
            if peers == 0 {
                all
            } else if leading {
                leaders + each * (peers - heard) as f64
            } else if led {
                each
            } else {
                (all / (heard + 1) as f64).min(LEADERLESS)
            }
        };
        Share {
            requests: part(ALL.requests, LEADERS.requests),
            changes: part(ALL.changes, LEADERS.changes),
        }
    }
}

/// How long a grant lasts, and how often the next one comes: often enough that two may be lost.
const LIFE: Micros = Micros::millis(7_000);
const GIVE_EVERY: Micros = Micros::millis(2_000);
/// Shares are taken anew at each step, and there is a step each second at least.
const LATE: Micros = Micros::millis(1_500);
/// A controller asks for what clears its queue in this many seconds.
const CLEAR_S: f64 = 1.5;

/// A controller's fixed share in thousandths of changes a second.
fn fixed(s: &Settings, leading: bool) -> Milli {
    let n = s.peers.len();
    let share = Share::of(n, n, leading, true);
    (share.changes * s.params.state.least_write_rps() * 1000.0) as Milli
}

fn rules(s: &Settings) -> Rules {
    Rules {
        whole: fixed(s, true) / 2,
        life: LIFE.0,
        apart: LATE.0 + (s.params.clock_off_ms * 1000.0) as u64,
    }
}

/// Our share of the budgets, and what there is to know of the others'.
#[derive(Debug)]
pub struct BudgetShares {
    share: Share,
    /// Changes a second more than our share, or less.
    more: f64,
    asks: Milli,
    give_at: Micros,
    giving: bool,
    /// Newest grant that each peer has told of. Records outlive it, so it never comes to use an older
    /// one again.
    told: BTreeMap<String, u64>,
}

impl BudgetShares {
    /// Of a controller that has just started.
    pub fn new(s: &Settings) -> BudgetShares {
        let n = s.peers.len();
        BudgetShares {
            share: Share::of(n, n, false, true),
            more: 0.0,
            asks: 0,
            give_at: Micros::ZERO,
            giving: false,
            told: BTreeMap::new(),
        }
    }

    /// In requests and changes a second, and how many changes may go at once.
    pub fn rates(&self, s: &Settings) -> (f64, f64, f64) {
        let state = &s.params.state;
        let all = state.least_write_rps();
        let changes = (all * self.share.changes + self.more).max(all * 0.02);
        // The state service takes a second's worth at once. A follower's part of it need not be as
        // small as its share: a burst of submissions comes to one controller at a time.
        let burst = changes.max(all * BURST);
        (state.least_rps() * self.share.requests, changes, burst)
    }

    /// What we ask for, in thousandths of changes a second.
    pub fn asks(&self) -> Milli {
        self.asks
    }

    /// A peer has told of this grant.
    pub fn told(&mut self, node: &str, epoch: u64) {
        match self.told.get_mut(node) {
            Some(e) => *e = (*e).max(epoch),
            None => _ = self.told.insert(node.to_string(), epoch),
        }
    }
}

impl Controller {
    /// Keeps to our share of the store's budgets, which follows from who is heard.
    pub(crate) fn apply_budget_share(&mut self, clock: Clock) {
        // Nobody has been heard right after a start.
        let young = clock.now < self.started_at + LEADER_SILENCE_LIMIT;
        let heard = |node: &str| {
            let view = self.peers.view.get(node);
            young || view.is_some_and(|v| clock.now.since(v.heard) < LEADER_SILENCE_LIMIT)
        };
        let peers = &self.settings.peers;
        let n = peers.iter().filter(|x| heard(&x.node)).count();
        let lead = self.cache.lead.as_ref();
        let led = lead.is_none_or(|(l, _)| l.node != self.settings.node && heard(&l.node));
        let leading = self.leader.is_some();
        let share = Share::of(peers.len(), n, leading, led);
        let more = self.cache.budget_shares.as_ref().map_or(0.0, |(grant, _)| {
            let (s, wall) = (&self.settings, clock.wall.0);
            if leading {
                // What we had as a follower is ours again, with all that is not lent.
                let told = |node: &str| match self.budget.told.get(node) {
                    _ if node == s.node => u64::MAX,
                    told => told.copied().unwrap_or(0),
                };
                -(grant.lent(wall, &rules(s), told) as f64)
            } else {
                grant.part(&s.node, wall, &rules(s)) as f64
            }
        }) / 1000.0;
        if (share, more) != (self.budget.share, self.budget.more) {
            self.budget.share = share;
            self.budget.more = more;
            let (rps, wps, burst) = self.budget.rates(&self.settings);
            self.store.set_rates(clock.now, rps, wps, burst);
        }
    }

    /// What we could use beyond what is ours in any case, a second.
    fn ask(&mut self, clock: Clock) -> Milli {
        let edits = self.due_job_writes(clock.now).count;
        let waits = (self.client_api.waiting() + edits) as f64 / CLEAR_S;
        let wanted = (waits + self.client_api.refused_lately(clock.now)) * 1000.0;
        let own = match self.leader {
            Some(_) => fixed(&self.settings, true) - rules(&self.settings).whole,
            None => fixed(&self.settings, false),
        };
        (wanted as Milli)
            .saturating_sub(own)
            .min(rules(&self.settings).whole)
    }

    /// Says what we ask for; the leader gives the parts that are due. Returns when to look again.
    pub(crate) fn grant_budget_shares(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        if now < self.budget.give_at {
            return self.budget.give_at;
        }
        self.budget.give_at = now + GIVE_EVERY;
        self.budget.asks = self.ask(clock);
        let Some(l) = &self.leader else {
            return self.budget.give_at;
        };
        if self.budget.giving || !l.caught_up(&self.cache) {
            return self.budget.give_at;
        }
        let s = &self.settings;
        let rules = rules(s);
        let mut wants = Vec::new();
        let mut asked = false;
        for x in &s.peers {
            // Nobody who is silent, or does not know what a part is, gets any.
            let view = self.peers.view.get(&x.node);
            let heard = view.filter(|v| now.since(v.heard) < LEADER_SILENCE_LIMIT);
            if let Some(v) = heard
                && self.cache.format_of(&x.node).0 >= FORMAT
            {
                asked |= v.asks > 0;
                wants.push(Want {
                    holder: x.node.clone(),
                    amount: v.asks,
                    weight: fixed(s, false) as f64,
                    seen: self.budget.told.get(&x.node).copied().unwrap_or(0),
                });
            }
        }
        if !asked {
            // What was lent comes back as its grants end.
            return self.budget.give_at;
        }
        let own = Asked {
            amount: self.budget.asks as f64,
            weight: fixed(s, true) as f64,
        };
        let blank = Grant::default();
        let (grant, version) = self
            .cache
            .budget_shares
            .as_ref()
            .map_or((&blank, 0), |(g, v)| (g, *v));
        let next = grant.next(clock.wall.0, own, &wants, &rules);
        log::debug!("parts, epoch {}: {:?}", next.epoch, next.parts);
        let txn = Transaction {
            conds: vec![
                VersionCondition::new(LEAD, l.version),
                VersionCondition::new(PARTS, version),
            ],
            changes: vec![Change::put(PARTS, &BudgetSharesRecord::of(&next), None)],
        };
        self.budget.giving = true;
        self.store.ask(
            RequestPriority::Urgent,
            StoreRequestPurpose::BudgetShares,
            StoreRequest::Transaction(txn),
        );
        self.budget.give_at
    }

    /// A grant came back. Whatever became of it, the next one is made upon what is on record then.
    pub(crate) fn on_budget_shares(
        &mut self,
        clock: Clock,
        ask: StoreRequest,
        reply: StoreResponse,
    ) {
        self.budget.giving = false;
        if let (StoreResponse::Committed(rev), StoreRequest::Transaction(t)) = (reply, ask) {
            self.apply_own_commit(&t, rev);
            self.apply_budget_share(clock);
        }
    }
}

#[cfg(test)]
mod tests;
