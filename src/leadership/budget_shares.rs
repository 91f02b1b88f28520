//! Division of the store's request and write budgets among the controllers.
//!
//! Each controller has a fixed share; the shares of controllers that are not heard are used by the others. Half of
//! the leader's share of the write budget is lent when a follower requests more than its own share: the leader
//! grants parts of it in proportion to what the controllers request. Grants are recorded (`wt/parts`, format
//! `BUDGET_SHARES`), so that the parts never add up to more than the whole (`crates/admission-control`, `parts`). The leader
//! uses what it does not lend. Grants expire; while no controller requests a part, nothing is written and the
//! fixed shares apply.

use crate::controller::Controller;
use crate::leadership::election::LEADER_SILENCE_LIMIT;
use crate::leadership::peers::PeerStatus;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::format::BUDGET_SHARES as GRANT_FORMAT;
use crate::protocol::key_value_api::Change;
use crate::protocol::key_value_api::Transaction;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::records::{BUDGET_SHARES_KEY, BudgetSharesRecord, LEADER_KEY};
use crate::protocol::{Micros, Settings};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};
use admission_control::fair::Demand;
use admission_control::parts::{Grant, GrantParams, ShareRequest, Thousandths};
use std::collections::BTreeMap;

/// Share of the store's request and write budgets, as fractions.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Share {
    requests: f64,
    writes: f64,
}

/// What all controllers together use of the budgets.
const TOTAL_SHARE: Share = Share {
    requests: 0.95,
    writes: 0.98,
};
/// What the leader uses of the budgets.
const LEADER_SHARE: Share = Share {
    requests: 0.6,
    writes: 0.66,
};
/// Minimum burst of writes, as a fraction of the writes of a second.
const MIN_WRITE_BURST: f64 = 0.33;
/// Minimum rate of writes, as a fraction of the write budget.
const MIN_WRITE_SHARE: f64 = 0.02;
/// Most that a follower uses of the budgets while it does not hear the leader, which may be alive and only
/// unreachable from here.
const MAX_SHARE_WITHOUT_LEADER: f64 = 0.5;

/// How long a grant lasts.
const GRANT_DURATION: Micros = Micros::millis(7_000);
/// How often a grant is renewed: two renewals in a row may be lost.
const GRANT_INTERVAL: Micros = Micros::millis(2_000);
/// How late a controller may apply a new share: it does so at each step, and there is a step every second.
const MAX_APPLY_DELAY: Micros = Micros::millis(1_500);
/// A controller requests the rate that clears its queue within this time, in seconds.
const QUEUE_CLEARING_TIME_S: f64 = 1.5;
/// Grants count in thousandths of writes per second.
const MILLI: f64 = 1000.0;

/// What a controller's share of the budgets depends on.
#[derive(Debug, Clone, Copy)]
struct Membership {
    /// Number of peers in the settings.
    peers: usize,
    /// How many of them are heard.
    heard: usize,
    /// This controller leads.
    leads: bool,
    /// The leader is among the peers that are heard, or unknown.
    leader_heard: bool,
}

impl Share {
    /// The share of a controller. The shares of peers that are not heard are used by the others.
    fn of(membership: Membership) -> Share {
        Share {
            requests: membership.fraction(TOTAL_SHARE.requests, LEADER_SHARE.requests),
            writes: membership.fraction(TOTAL_SHARE.writes, LEADER_SHARE.writes),
        }
    }
}

impl Membership {
    /// All peers are heard; if this controller does not lead, one of them does.
    fn complete(peers: usize, leads: bool) -> Membership {
        Membership {
            peers,
            heard: peers,
            leads,
            leader_heard: true,
        }
    }

    /// The fraction of one budget, of which all controllers use `total` and the leader uses `leader`.
    fn fraction(self, total: f64, leader: f64) -> f64 {
        if self.peers == 0 {
            return total;
        }
        let per_follower = (total - leader) / self.peers as f64;
        if self.leads {
            leader + per_follower * (self.peers - self.heard) as f64
        } else if self.leader_heard {
            per_follower
        } else {
            (total / (self.heard + 1) as f64).min(MAX_SHARE_WITHOUT_LEADER)
        }
    }
}

/// A controller's fixed share of the write budget.
fn fixed_writes(settings: &Settings, leads: bool) -> Thousandths {
    let share = Share::of(Membership::complete(settings.peers.len(), leads));
    (share.writes * settings.params.state.least_write_rps() * MILLI) as Thousandths
}

fn grant_rules(settings: &Settings) -> GrantParams {
    GrantParams {
        total: fixed_writes(settings, true) / 2,
        lifetime: GRANT_DURATION.0,
        clock_margin: MAX_APPLY_DELAY.0 + (settings.params.clock_off_ms * 1000.0) as u64,
    }
}

/// Rates at which a controller may use the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreRates {
    /// Requests per second.
    pub requests: f64,
    /// Writes per second.
    pub writes: f64,
    /// Writes that may be sent at once.
    pub write_burst: f64,
}

/// This controller's share of the budgets, and the state of the grants.
#[derive(Debug)]
pub struct BudgetShares {
    share: Share,
    /// Writes per second that a grant adds to the fixed share; negative for a leader that lends.
    granted_writes: f64,
    /// What this controller requests beyond its fixed share.
    requested_writes: Thousandths,
    next_grant_at: Micros,
    grant_in_flight: bool,
    /// Per peer: the epoch of the newest grant that it has reported. Records outlive the peer's process, so the
    /// peer never uses an older grant again.
    peer_epochs: BTreeMap<String, u64>,
}

impl BudgetShares {
    /// The shares of a controller that has just started.
    pub fn new(settings: &Settings) -> BudgetShares {
        BudgetShares {
            share: Share::of(Membership::complete(settings.peers.len(), false)),
            granted_writes: 0.0,
            requested_writes: 0,
            next_grant_at: Micros::ZERO,
            grant_in_flight: false,
            peer_epochs: BTreeMap::new(),
        }
    }

    /// The rates that follow from the share and the current grant.
    pub fn rates(&self, settings: &Settings) -> StoreRates {
        let limits = &settings.params.state;
        let write_budget = limits.least_write_rps();
        let writes = write_budget * self.share.writes + self.granted_writes;
        let writes = writes.max(write_budget * MIN_WRITE_SHARE);
        StoreRates {
            requests: limits.least_rps() * self.share.requests,
            writes,
            // The store accepts the writes of a second at once. A follower's burst need not be as small as its
            // share: a burst of submissions arrives at one controller at a time.
            write_burst: writes.max(write_budget * MIN_WRITE_BURST),
        }
    }

    /// What this controller requests beyond its fixed share, in thousandths of writes per second.
    pub fn requested_writes(&self) -> Thousandths {
        self.requested_writes
    }

    /// A peer has reported that it has seen the grant with this epoch.
    pub fn on_peer_epoch(&mut self, node: &str, epoch: u64) {
        match self.peer_epochs.get_mut(node) {
            Some(newest) => *newest = (*newest).max(epoch),
            None => _ = self.peer_epochs.insert(node.to_string(), epoch),
        }
    }

    /// Epoch of the newest grant that a peer has reported; 0: none.
    fn peer_epoch(&self, node: &str) -> u64 {
        self.peer_epochs.get(node).copied().unwrap_or(0)
    }
}

impl Controller {
    /// Updates the rates of the store client if our share or the current grant has changed.
    pub(crate) fn apply_budget_share(&mut self, clock: Clock) {
        let share = Share::of(self.membership(clock));
        let granted_writes = self.granted_writes(clock);
        let budget = &mut self.budget;
        if (share, granted_writes) == (budget.share, budget.granted_writes) {
            return;
        }
        budget.share = share;
        budget.granted_writes = granted_writes;
        let rates = budget.rates(&self.settings);
        self.store
            .set_rates(clock.now, rates.requests, rates.writes, rates.write_burst);
    }

    fn membership(&self, clock: Clock) -> Membership {
        // Right after a start no peer has been heard yet: all are presumed alive.
        let just_started = clock.now < self.started_at + LEADER_SILENCE_LIMIT;
        let heard = |node: &str| just_started || self.recent_status(clock, node).is_some();
        let peers = &self.settings.peers;
        let leader = self.cache.leader.as_ref();
        Membership {
            peers: peers.len(),
            heard: peers.iter().filter(|peer| heard(&peer.node)).count(),
            leads: self.leader.is_some(),
            leader_heard: leader
                .is_none_or(|(record, _)| record.node != self.settings.node && heard(&record.node)),
        }
    }

    /// What a peer last reported, if that was recently.
    fn recent_status(&self, clock: Clock, node: &str) -> Option<&PeerStatus> {
        let status = self.peers.status.get(node);
        status.filter(|status| status.heard_recently(clock.now))
    }

    /// Writes per second that the current grant adds to our fixed share, or takes from it.
    fn granted_writes(&self, clock: Clock) -> f64 {
        let Some((grant, _)) = &self.cache.budget_shares else {
            return 0.0;
        };
        let settings = &self.settings;
        let rules = grant_rules(settings);
        if self.leader.is_none() {
            return grant.usable_amount(&settings.node, clock.wall.0, &rules) as f64 / MILLI;
        }
        // A new leader no longer uses what it was granted as a follower.
        let newest_epoch = |node: &str| {
            if node == settings.node {
                u64::MAX
            } else {
                self.budget.peer_epoch(node)
            }
        };
        -(grant.max_in_use(clock.wall.0, &rules, newest_epoch) as f64) / MILLI
    }

    /// The rate of writes that this controller could use beyond what it has without a grant.
    fn wanted_writes(&mut self, clock: Clock) -> Thousandths {
        let job_writes = self.due_job_writes(clock.now).count;
        let queued =
            (self.client_api.queued_acceptances() + job_writes) as f64 / QUEUE_CLEARING_TIME_S;
        let wanted = (queued + self.client_api.refusals_last_second(clock.now)) * MILLI;
        let lendable = grant_rules(&self.settings).total;
        let own = match self.leader {
            Some(_) => fixed_writes(&self.settings, true) - lendable,
            None => fixed_writes(&self.settings, false),
        };
        (wanted as Thousandths).saturating_sub(own).min(lendable)
    }

    /// Updates what this controller requests; a leader also writes the grant that is due. Returns when to check
    /// again.
    pub(crate) fn grant_budget_shares(&mut self, clock: Clock) -> Micros {
        if clock.now < self.budget.next_grant_at {
            return self.budget.next_grant_at;
        }
        self.budget.next_grant_at = clock.now + GRANT_INTERVAL;
        self.budget.requested_writes = self.wanted_writes(clock);
        if !self.budget.grant_in_flight
            && let Some(transaction) = self.next_grant(clock)
        {
            self.budget.grant_in_flight = true;
            self.store.enqueue(
                RequestPriority::Urgent,
                StoreRequestPurpose::BudgetShares,
                StoreRequest::Transaction(transaction),
            );
        }
        self.budget.next_grant_at
    }

    /// The transaction that records the next grant; none if this controller does not lead, or no peer requests a
    /// part. What was lent comes back as its grants expire.
    fn next_grant(&self, clock: Clock) -> Option<Transaction> {
        let leader = self.leader.as_ref()?;
        if !leader.has_complete_cache(&self.cache) {
            return None;
        }
        let requests = self.peer_requests(clock);
        if requests.iter().all(|request| request.amount == 0) {
            return None;
        }
        let own_request = Demand {
            amount: self.budget.requested_writes as f64,
            weight: fixed_writes(&self.settings, true) as f64,
        };
        let no_grant = (Grant::default(), 0);
        let (current, version) = self.cache.budget_shares.as_ref().unwrap_or(&no_grant);
        let rules = grant_rules(&self.settings);
        let next = current.next(clock.wall.0, own_request, &requests, &rules);
        log::debug!(
            "budget granted epoch={} parts={:?}",
            next.epoch,
            next.shares
        );
        Some(Transaction {
            conditions: vec![
                VersionCondition::new(LEADER_KEY, leader.version),
                VersionCondition::new(BUDGET_SHARES_KEY, *version),
            ],
            changes: vec![Change::put(
                BUDGET_SHARES_KEY,
                &BudgetSharesRecord::of(&next),
                None,
            )],
        })
    }

    /// What peers request. A peer that is not heard, or whose format has no grants, receives none.
    fn peer_requests(&self, clock: Clock) -> Vec<ShareRequest> {
        let weight = fixed_writes(&self.settings, false) as f64;
        let peers = self.settings.peers.iter();
        peers
            .filter(|peer| self.cache.format_of(&peer.node).0 >= GRANT_FORMAT)
            .filter_map(|peer| {
                let status = self.recent_status(clock, &peer.node)?;
                Some(ShareRequest {
                    holder: peer.node.clone(),
                    amount: status.requested_writes,
                    weight,
                    acknowledged_epoch: self.budget.peer_epoch(&peer.node),
                })
            })
            .collect()
    }

    /// Handles the response to the write of a grant. The next grant is based on the record as it is then,
    /// whatever the response is.
    pub(crate) fn on_budget_shares(
        &mut self,
        clock: Clock,
        request: StoreRequest,
        response: StoreResponse,
    ) {
        self.budget.grant_in_flight = false;
        if let (StoreResponse::Committed(revision), StoreRequest::Transaction(transaction)) =
            (response, request)
        {
            self.apply_own_commit(&transaction, revision);
            self.apply_budget_share(clock);
        }
    }
}

#[cfg(test)]
mod tests;
