//! Shares of a budget for several concurrent holders; the shares in use never exceed the total.
//!
//! The leader, here called the grantor, records a [`Grant`]. The write is a compare-and-swap: it succeeds only if the
//! previous grant is still the newest on record and the grantor is still the leader. A holder uses its share of the
//! newest grant that it has read until that grant expires. It may read a grant late or never, and may then still use
//! its share of an earlier one. Each grant therefore also lists, per holder, the shares of earlier grants that may
//! still be in use. Only amounts that no holder can be using are granted to others.
//!
//! Grants expire at a wall-clock time. The clocks agree within a bound: a holder stops using its share earlier by that
//! bound, and a grantor considers the share in use for longer by that bound. A delayed message can therefore shorten
//! the use of a share but never extend it. A new grantor, or a holder that restarts, needs only the newest grant.

use crate::Micros;
use crate::fair::{Demand, fair_shares};
use std::collections::BTreeMap;

/// An amount in thousandths; an integer, so that all controllers compute exactly the same amounts.
pub type Thousandths = u64;

/// A holder's share of one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Share {
    /// Amount that the holder may use.
    pub amount: Thousandths,
    /// Wall-clock time at which the share expires.
    pub expires_at: Micros,
    /// Number of the grant to which the share belongs.
    pub epoch: u64,
}

/// The recorded shares of all holders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Grant {
    /// Number of the grant, higher than that of the previous grant.
    pub epoch: u64,
    /// Shares of this grant, by holder.
    pub shares: BTreeMap<String, Share>,
    /// Shares of earlier grants, by holder and the largest first, that the holder may still use and that are larger or
    /// expire later than its share of this grant.
    pub earlier_shares: BTreeMap<String, Vec<Share>>,
}

/// Parameters of budget grants.
#[derive(Debug, Clone, Copy)]
pub struct GrantParams {
    /// The total of the budget, which the shares in use never exceed.
    pub total: Thousandths,
    /// Time from the creation of a grant to its expiry.
    pub lifetime: Micros,
    /// Maximum difference between two wall clocks, plus the maximum delay of timers.
    pub clock_margin: Micros,
}

/// A holder's request for a share.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareRequest {
    /// Name of the holder.
    pub holder: String,
    /// Requested amount.
    pub amount: Thousandths,
    /// Weight of the holder, above 0.
    pub weight: f64,
    /// Number of the newest grant that the holder has acknowledged. The holder no longer uses earlier grants.
    pub acknowledged_epoch: u64,
}

/// The shares that each holder may be using. A holder uses at most one share at a time.
struct InUse(BTreeMap<String, Vec<Share>>);

impl InUse {
    /// Returns the maximum amount that a holder may be using.
    fn max_of(&self, holder: &str) -> Thousandths {
        max_amount(self.0.get(holder).into_iter().flatten())
    }

    /// Returns the maximum amount that all holders together may be using.
    fn total(&self) -> Thousandths {
        self.0
            .values()
            .map(|shares| max_amount(shares.iter()))
            .sum()
    }

    /// Returns the shares that a new grant has to list as earlier shares: those that are larger than the holder's new
    /// share or expire later.
    fn not_replaced_by(
        mut self,
        new_shares: &BTreeMap<String, Share>,
    ) -> BTreeMap<String, Vec<Share>> {
        self.0.retain(|holder, shares| {
            if let Some(new) = new_shares.get(holder) {
                shares
                    .retain(|share| share.amount > new.amount || share.expires_at > new.expires_at);
            }
            !shares.is_empty()
        });
        self.0
    }
}

impl Grant {
    /// Returns the amount that a holder may use at `wall_time`, which is read from its own clock.
    pub fn usable_amount(
        &self,
        holder: &str,
        wall_time: Micros,
        params: &GrantParams,
    ) -> Thousandths {
        let share = self.shares.get(holder);
        let usable = share.filter(|share| wall_time + params.clock_margin < share.expires_at);
        usable.map_or(0, |share| share.amount)
    }

    /// Returns the maximum amount that all holders together may be using, whichever grants they have read. The grantor
    /// may use the rest of the total. `wall_time` is read from the grantor's clock; `acknowledged_epoch` returns the
    /// number of the newest grant that a holder has acknowledged.
    pub fn max_in_use(
        &self,
        wall_time: Micros,
        params: &GrantParams,
        acknowledged_epoch: impl Fn(&str) -> u64,
    ) -> Thousandths {
        let max_in_use = |holder: &String| {
            max_amount(self.usable_shares(holder, acknowledged_epoch(holder), wall_time, params))
        };
        self.holders().map(max_in_use).sum()
    }

    /// Returns the next grant, created at `wall_time`.
    ///
    /// The total is divided by weighted max-min fairness among the requests of the holders and `grantor_demand`. The
    /// grant contains no share of the grantor, which uses the rest of the total. While some holders may still be using
    /// more than their new shares, the other holders get only what is free.
    pub fn next(
        &self,
        wall_time: Micros,
        grantor_demand: Demand,
        requests: &[ShareRequest],
        params: &GrantParams,
    ) -> Grant {
        let epoch = self.epoch + 1;
        let expires_at = wall_time + params.lifetime;
        let in_use = self.in_use(wall_time, requests, params);
        let amounts = granted_amounts(&in_use, grantor_demand, requests, params);
        let shares: BTreeMap<String, Share> = requests
            .iter()
            .zip(amounts)
            .map(|(request, amount)| {
                let share = Share {
                    amount,
                    expires_at,
                    epoch,
                };
                (request.holder.clone(), share)
            })
            .collect();
        let earlier_shares = in_use.not_replaced_by(&shares);
        Grant {
            epoch,
            shares,
            earlier_shares,
        }
    }

    /// Returns the shares that holders may still be using.
    fn in_use(&self, wall_time: Micros, requests: &[ShareRequest], params: &GrantParams) -> InUse {
        let mut in_use = BTreeMap::new();
        for holder in self.holders() {
            let request = requests.iter().find(|request| request.holder == *holder);
            let acknowledged_epoch = request.map_or(0, |request| request.acknowledged_epoch);
            let shares = self.usable_shares(holder, acknowledged_epoch, wall_time, params);
            let mut shares: Vec<Share> = shares.copied().collect();
            shares.sort_by(|first, second| second.cmp(first));
            in_use.insert(holder.clone(), shares);
        }
        InUse(in_use)
    }

    /// Returns the holders with a share of this grant or with a listed earlier share.
    fn holders(&self) -> impl Iterator<Item = &String> {
        let only_earlier = self
            .earlier_shares
            .keys()
            .filter(|holder| !self.shares.contains_key(*holder));
        self.shares.keys().chain(only_earlier)
    }

    /// Returns the shares of this grant and of earlier ones that a holder may still be using.
    fn usable_shares(
        &self,
        holder: &str,
        acknowledged_epoch: u64,
        wall_time: Micros,
        params: &GrantParams,
    ) -> impl Iterator<Item = &Share> {
        let current = self.shares.get(holder).into_iter();
        let earlier = self.earlier_shares.get(holder).into_iter().flatten();
        let clock_margin = params.clock_margin;
        current.chain(earlier).filter(move |share| {
            wall_time < share.expires_at + clock_margin && share.epoch >= acknowledged_epoch
        })
    }
}

/// Returns the amounts to grant, in the order of the requests.
fn granted_amounts(
    in_use: &InUse,
    grantor_demand: Demand,
    requests: &[ShareRequest],
    params: &GrantParams,
) -> Vec<Thousandths> {
    let fair_amounts = fair_amounts(grantor_demand, requests, params);
    let free = params.total.saturating_sub(in_use.total());
    // An amount beyond what the holder may already be using is taken from the free amount.
    let increases: Vec<Thousandths> = requests
        .iter()
        .zip(&fair_amounts)
        .map(|(request, fair)| fair.saturating_sub(in_use.max_of(&request.holder)))
        .collect();
    let total_increase: Thousandths = increases.iter().sum();
    let mut amounts = Vec::with_capacity(requests.len());
    for ((request, fair), increase) in requests.iter().zip(fair_amounts).zip(increases) {
        let kept = fair.min(in_use.max_of(&request.holder));
        amounts.push(kept + scaled_increase(increase, total_increase, free));
    }
    amounts
}

/// Divides the total among the holders and the grantor; returns the holders' amounts, followed by the grantor's amount.
fn fair_amounts(
    grantor_demand: Demand,
    requests: &[ShareRequest],
    params: &GrantParams,
) -> Vec<Thousandths> {
    let demands = requests.iter().map(|request| Demand {
        amount: request.amount as f64,
        weight: request.weight,
    });
    let demands: Vec<Demand> = demands.chain([grantor_demand]).collect();
    let shares = fair_shares(params.total as f64, &demands);
    shares
        .into_iter()
        .map(|share| share as Thousandths)
        .collect()
}

/// Scales an increase down in proportion if the total increase exceeds the free amount.
fn scaled_increase(
    increase: Thousandths,
    total_increase: Thousandths,
    free: Thousandths,
) -> Thousandths {
    if total_increase <= free {
        return increase;
    }
    (u128::from(increase) * u128::from(free) / u128::from(total_increase)) as Thousandths
}

fn max_amount<'shares>(shares: impl Iterator<Item = &'shares Share>) -> Thousandths {
    shares.map(|share| share.amount).max().unwrap_or(0)
}

#[cfg(test)]
mod tests;
