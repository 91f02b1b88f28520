//! Division of the store's request and write budgets among the controllers.
//!
//! Each controller has a fixed share; the shares of unreachable controllers are used by the others. The leader lends
//! up to half of its share of the write budget to followers that request more than their fixed shares, divided in
//! proportion to what the controllers request, and uses the rest itself. Grants are recorded (`wt/parts`, format
//! `BUDGET_SHARES`), so that the granted amounts never exceed the lendable total (`crates/admission-control`,
//! `parts`). Grants expire. While no controller requests more than its fixed share, nothing is written and the fixed
//! shares apply.

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

/// Fractions of the budgets that all controllers together use.
const TOTAL_SHARE: Share = Share {
    requests: 0.95,
    writes: 0.98,
};
/// Fractions of the budgets that the leader uses.
const LEADER_SHARE: Share = Share {
    requests: 0.6,
    writes: 0.66,
};
/// Minimum write burst, as a fraction of the write budget for one second.
const MIN_WRITE_BURST: f64 = 0.33;
/// Minimum rate of writes, as a fraction of the write budget.
const MIN_WRITE_SHARE: f64 = 0.02;
/// Maximum fraction of each budget that a follower uses while it cannot reach the leader, which may be alive and
/// using its own share.
const MAX_SHARE_WITHOUT_LEADER: f64 = 0.5;

/// Time until a grant expires.
const GRANT_DURATION: Micros = Micros::millis(7_000);
/// Interval between renewals of a grant: short enough that a grant outlasts two consecutive lost renewals.
const GRANT_INTERVAL: Micros = Micros::millis(2_000);
/// Maximum delay until a controller applies a new share, which it does at each step; a step runs at least once a
/// second.
const MAX_APPLY_DELAY: Micros = Micros::millis(1_500);
/// A controller requests the write rate that clears its queue within this time, in seconds.
const QUEUE_CLEARING_TIME_S: f64 = 1.5;
/// Granted amounts are in thousandths of a write per second.
const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

/// A controller's role and reachable peers, which determine its share of the budgets.
#[derive(Debug, Clone, Copy)]
struct ClusterView {
    /// Number of peers in the settings.
    peer_count: usize,
    /// Number of peers that are reachable from this controller.
    reachable_peers: usize,
    /// Whether this controller is the leader.
    is_leader: bool,
    /// Whether the leader is a reachable peer, or no leader is on record.
    leader_reachable: bool,
}

impl Share {
    /// The share of a controller. A leader also uses the shares of unreachable peers, and a follower without a leader
    /// an equal share among the reachable controllers.
    fn of(cluster_view: ClusterView) -> Share {
        Share {
            requests: cluster_view.fraction(TOTAL_SHARE.requests, LEADER_SHARE.requests),
            writes: cluster_view.fraction(TOTAL_SHARE.writes, LEADER_SHARE.writes),
        }
    }
}

impl ClusterView {
    /// The view with all peers reachable and, unless this controller leads, a reachable leader.
    fn with_all_peers_reachable(peer_count: usize, is_leader: bool) -> ClusterView {
        ClusterView {
            peer_count,
            reachable_peers: peer_count,
            is_leader,
            leader_reachable: true,
        }
    }

    /// This controller's fraction of one budget, of which all controllers together use `total` and the leader
    /// uses `leader`.
    fn fraction(self, total: f64, leader: f64) -> f64 {
        if self.peer_count == 0 {
            return total;
        }
        let per_follower = (total - leader) / self.peer_count as f64;
        if self.is_leader {
            leader + per_follower * (self.peer_count - self.reachable_peers) as f64
        } else if self.leader_reachable {
            per_follower
        } else {
            (total / (self.reachable_peers + 1) as f64).min(MAX_SHARE_WITHOUT_LEADER)
        }
    }
}

/// A controller's fixed share of the write budget, in thousandths of a write per second.
fn fixed_writes(settings: &Settings, is_leader: bool) -> Thousandths {
    let share = Share::of(ClusterView::with_all_peers_reachable(
        settings.peers.len(),
        is_leader,
    ));
    (share.writes * settings.params.state.effective_write_rps() * THOUSANDTHS_PER_UNIT)
        as Thousandths
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
    /// Maximum number of writes sent in one burst.
    pub write_burst: f64,
}

/// This controller's share of the budgets, and the state of the grants.
#[derive(Debug)]
pub struct BudgetShares {
    share: Share,
    /// Writes per second that the current grant adds to the fixed share; negative for a leader that lends.
    granted_writes: f64,
    /// Write rate that this controller requests beyond its fixed share.
    requested_writes: Thousandths,
    next_grant_at: Micros,
    grant_in_flight: bool,
    /// Per peer, the epoch of the newest grant that it has reported. The grant stays on record when the peer
    /// restarts, so the peer never uses an older one again.
    peer_grant_epochs: BTreeMap<String, u64>,
}

impl BudgetShares {
    /// The shares of a controller that has just started.
    pub fn new(settings: &Settings) -> BudgetShares {
        BudgetShares {
            share: Share::of(ClusterView::with_all_peers_reachable(
                settings.peers.len(),
                false,
            )),
            granted_writes: 0.0,
            requested_writes: 0,
            next_grant_at: Micros::ZERO,
            grant_in_flight: false,
            peer_grant_epochs: BTreeMap::new(),
        }
    }

    /// The rates that follow from the share and the current grant.
    pub fn rates(&self, settings: &Settings) -> StoreRates {
        let limits = &settings.params.state;
        let write_budget = limits.effective_write_rps();
        let writes = write_budget * self.share.writes + self.granted_writes;
        let writes = writes.max(write_budget * MIN_WRITE_SHARE);
        StoreRates {
            requests: limits.effective_rps() * self.share.requests,
            writes,
            // The store accepts one second's writes in one burst. A follower's burst may exceed its share, since
            // bursts of submissions arrive at one controller at a time.
            write_burst: writes.max(write_budget * MIN_WRITE_BURST),
        }
    }

    /// Write rate that this controller requests beyond its fixed share, in thousandths of a write per second.
    pub fn requested_writes(&self) -> Thousandths {
        self.requested_writes
    }

    /// Records that a peer has reported seeing the grant with this epoch.
    pub fn on_peer_grant_epoch(&mut self, node: &str, epoch: u64) {
        match self.peer_grant_epochs.get_mut(node) {
            Some(newest) => *newest = (*newest).max(epoch),
            None => _ = self.peer_grant_epochs.insert(node.to_string(), epoch),
        }
    }

    /// Epoch of the newest grant that a peer has reported; 0 if it has reported none.
    fn peer_grant_epoch(&self, node: &str) -> u64 {
        self.peer_grant_epochs.get(node).copied().unwrap_or(0)
    }
}

impl Controller {
    /// Updates the rate limits of the store client if this controller's share or the current grant has changed.
    pub(crate) fn apply_budget_share(&mut self, clock: Clock) {
        let share = Share::of(self.cluster_view(clock));
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

    fn cluster_view(&self, clock: Clock) -> ClusterView {
        // No peer may have sent a heartbeat yet right after a start, so all are presumed reachable.
        let just_started = clock.now < self.started_at + LEADER_SILENCE_LIMIT;
        let is_reachable =
            |node: &str| just_started || self.reachable_peer_status(clock, node).is_some();
        let peers = &self.settings.peers;
        let leader = self.cache.leader.as_ref();
        ClusterView {
            peer_count: peers.len(),
            reachable_peers: peers.iter().filter(|peer| is_reachable(&peer.node)).count(),
            is_leader: self.leader.is_some(),
            leader_reachable: leader.is_none_or(|(record, _)| {
                record.node != self.settings.node && is_reachable(&record.node)
            }),
        }
    }

    /// The last reported status of a peer, if the peer is reachable.
    fn reachable_peer_status(&self, clock: Clock, node: &str) -> Option<&PeerStatus> {
        let status = self.peers.status.get(node);
        status.filter(|status| status.is_reachable(clock.now))
    }

    /// Writes per second that the current grant adds to this controller's fixed share; negative for a leader that
    /// lends.
    fn granted_writes(&self, clock: Clock) -> f64 {
        let Some((grant, _)) = &self.cache.budget_shares else {
            return 0.0;
        };
        let settings = &self.settings;
        let rules = grant_rules(settings);
        if self.leader.is_none() {
            return grant.usable_amount(&settings.node, clock.wall.0, &rules) as f64
                / THOUSANDTHS_PER_UNIT;
        }
        // A new leader no longer uses any share that it was granted as a follower.
        let newest_seen_epoch = |node: &str| {
            if node == settings.node {
                u64::MAX
            } else {
                self.budget.peer_grant_epoch(node)
            }
        };
        -(grant.max_in_use(clock.wall.0, &rules, newest_seen_epoch) as f64) / THOUSANDTHS_PER_UNIT
    }

    /// Write rate that this controller needs beyond its rate without a grant, in thousandths of a write per
    /// second and at most the lendable rate.
    fn excess_write_demand(&mut self, clock: Clock) -> Thousandths {
        let due_job_writes = self.due_job_writes(clock.now).count;
        let queued =
            (self.client_api.queued_acceptances() + due_job_writes) as f64 / QUEUE_CLEARING_TIME_S;
        let demand =
            (queued + self.client_api.refusals_last_second(clock.now)) * THOUSANDTHS_PER_UNIT;
        let lendable = grant_rules(&self.settings).total;
        let rate_without_grant = match self.leader {
            Some(_) => fixed_writes(&self.settings, true) - lendable,
            None => fixed_writes(&self.settings, false),
        };
        (demand as Thousandths)
            .saturating_sub(rate_without_grant)
            .min(lendable)
    }

    /// Updates the write rate that this controller requests; a leader also writes a new grant if one is due.
    /// Returns when to check again.
    pub(crate) fn grant_budget_shares(&mut self, clock: Clock) -> Micros {
        if clock.now < self.budget.next_grant_at {
            return self.budget.next_grant_at;
        }
        self.budget.next_grant_at = clock.now + GRANT_INTERVAL;
        self.budget.requested_writes = self.excess_write_demand(clock);
        if !self.budget.grant_in_flight
            && let Some(transaction) = self.grant_transaction(clock)
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

    /// The transaction that records the next grant. `None` if this controller does not lead, its cache is
    /// incomplete, or no peer requests a share: shares lent earlier return to the leader when their grants expire.
    fn grant_transaction(&self, clock: Clock) -> Option<Transaction> {
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
            "budget shares granted epoch={} shares={:?}",
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
                &BudgetSharesRecord::from_grant(&next),
                None,
            )],
        })
    }

    /// Requests of the peers that may receive a grant: reachable ones whose recorded format supports grants.
    fn peer_requests(&self, clock: Clock) -> Vec<ShareRequest> {
        let weight = fixed_writes(&self.settings, false) as f64;
        let peers = self.settings.peers.iter();
        peers
            .filter(|peer| self.cache.format_of(&peer.node).0 >= GRANT_FORMAT)
            .filter_map(|peer| {
                let status = self.reachable_peer_status(clock, &peer.node)?;
                Some(ShareRequest {
                    holder: peer.node.clone(),
                    amount: status.requested_writes,
                    weight,
                    acknowledged_epoch: self.budget.peer_grant_epoch(&peer.node),
                })
            })
            .collect()
    }

    /// Handles the response to the write of a grant. A failed write needs no handling: the next grant is computed
    /// from the grant on record at that time.
    pub(crate) fn on_budget_grant_response(
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
