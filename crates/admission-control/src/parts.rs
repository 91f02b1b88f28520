//! Shares of a budget that several holders use at once and that never exceed the total.
//!
//! The leader, here called the grantor, records a [`Grant`]. Each grant is written on condition that the one before
//! is still the newest on record and that the grantor still leads. A holder uses its share of the newest grant that it
//! has seen until that grant expires. It may see a grant late or never, and may then still use its share of an earlier
//! one. Each grant therefore also carries, per holder, which shares of earlier grants may still be in use, and only
//! what nobody can be using is given to others.
//!
//! Grants expire by the time of day, on which all clocks agree within a bound: a holder stops that bound early, and a
//! grantor waits that bound longer. So a delayed message can shorten the use of a share but never extend it. A new
//! grantor needs only the newest grant, and so does a holder that restarts.

use crate::Micros;
use crate::fair::{Demand, shares};
use std::collections::BTreeMap;

/// An amount in thousandths. It is an integer, so that all controllers compute exactly the same amounts.
pub type Thousandths = u64;

/// A holder's share of one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Part {
    /// Amount that the holder may use.
    pub amount: Thousandths,
    /// Time of day at which the share expires.
    pub until: Micros,
    /// Number of the grant.
    pub epoch: u64,
}

/// The shares of all holders, as they are on record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Grant {
    /// Number of the grant, which is higher than that of the one before.
    pub epoch: u64,
    /// Shares of this grant, by holder.
    pub parts: BTreeMap<String, Part>,
    /// Shares of earlier grants that a holder may still use and that allow more, or for longer, than this grant does.
    /// By holder, the largest first.
    pub owed: BTreeMap<String, Vec<Part>>,
}

/// Parameters of granting.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// The total, which the shares in use never exceed.
    pub whole: Thousandths,
    /// Time until a grant expires.
    pub life: Micros,
    /// Bound on the difference between the time of day of two clocks, plus the delay of timers.
    pub apart: Micros,
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
    /// Number of the newest grant that the holder has acknowledged: it uses no earlier one any more.
    pub seen: u64,
}

/// Upper bounds on what holders may be using, by holder.
struct InUse(BTreeMap<String, Vec<Part>>);

impl InUse {
    /// Returns the most that a holder may be using.
    fn bound(&self, holder: &str) -> Thousandths {
        largest(self.0.get(holder).into_iter().flatten())
    }

    /// Returns the most that all holders together may be using.
    fn total(&self) -> Thousandths {
        self.0.values().map(|parts| largest(parts.iter())).sum()
    }

    /// Returns the shares that a new grant has to carry on: those that allow more than the holder's new share, or
    /// expire later.
    fn owed_beside(mut self, new_parts: &BTreeMap<String, Part>) -> BTreeMap<String, Vec<Part>> {
        self.0.retain(|holder, parts| {
            if let Some(new) = new_parts.get(holder) {
                parts.retain(|part| part.amount > new.amount || part.until > new.until);
            }
            !parts.is_empty()
        });
        self.0
    }
}

impl Grant {
    /// Returns what a holder may use at this time of day by its own clock.
    pub fn part(&self, holder: &str, wall: Micros, rules: &Rules) -> Thousandths {
        let part = self.parts.get(holder);
        let usable = part.filter(|part| wall + rules.apart < part.until);
        usable.map_or(0, |part| part.amount)
    }

    /// Returns the most that all holders together may be using at this time of day by the grantor's clock, whichever
    /// grants they have seen. The grantor may use the rest of the total. `seen` returns the number of the newest grant
    /// that a holder has acknowledged.
    pub fn lent(&self, wall: Micros, rules: &Rules, seen: impl Fn(&str) -> u64) -> Thousandths {
        let bound = |holder: &String| largest(self.usable_parts(holder, seen(holder), wall, rules));
        self.holders().map(bound).sum()
    }

    /// Returns the next grant, made at this time of day.
    ///
    /// The total is divided by weighted max-min fairness among the requests of the holders and `own`, the grantor's
    /// demand. The grantor's share is not granted, since it uses whatever is not lent. If some holders may still be
    /// using more than their new shares, the others get only what is free until that has expired.
    pub fn next(&self, wall: Micros, own: Demand, wants: &[ShareRequest], rules: &Rules) -> Grant {
        let epoch = self.epoch + 1;
        let until = wall + rules.life;
        let in_use = self.in_use(wall, wants, rules);
        let amounts = granted_amounts(&in_use, own, wants, rules);
        let parts: BTreeMap<String, Part> = wants
            .iter()
            .zip(amounts)
            .map(|(want, amount)| {
                let part = Part {
                    amount,
                    until,
                    epoch,
                };
                (want.holder.clone(), part)
            })
            .collect();
        let owed = in_use.owed_beside(&parts);
        Grant { epoch, parts, owed }
    }

    /// Returns the shares that holders may still be using.
    fn in_use(&self, wall: Micros, wants: &[ShareRequest], rules: &Rules) -> InUse {
        let mut in_use = BTreeMap::new();
        for holder in self.holders() {
            let want = wants.iter().find(|want| want.holder == *holder);
            let seen = want.map_or(0, |want| want.seen);
            let parts = self.usable_parts(holder, seen, wall, rules);
            let mut parts: Vec<Part> = parts.copied().collect();
            parts.sort_by(|first, second| second.cmp(first));
            in_use.insert(holder.clone(), parts);
        }
        InUse(in_use)
    }

    /// Returns the holders with a share of this grant or of an earlier one that counts.
    fn holders(&self) -> impl Iterator<Item = &String> {
        let only_owed = self
            .owed
            .keys()
            .filter(|holder| !self.parts.contains_key(*holder));
        self.parts.keys().chain(only_owed)
    }

    /// Returns the shares, of this grant and earlier ones, that a holder may still be using.
    fn usable_parts(
        &self,
        holder: &str,
        seen: u64,
        wall: Micros,
        rules: &Rules,
    ) -> impl Iterator<Item = &Part> {
        let current = self.parts.get(holder).into_iter();
        let earlier = self.owed.get(holder).into_iter().flatten();
        let apart = rules.apart;
        current
            .chain(earlier)
            .filter(move |part| wall < part.until + apart && part.epoch >= seen)
    }
}

/// Returns the amounts to grant, in the order of the requests.
fn granted_amounts(
    in_use: &InUse,
    own: Demand,
    wants: &[ShareRequest],
    rules: &Rules,
) -> Vec<Thousandths> {
    let fair_amounts = fair_amounts(own, wants, rules);
    let free = rules.whole.saturating_sub(in_use.total());
    // What a holder gets beyond its bound comes out of what is free.
    let increases: Vec<Thousandths> = wants
        .iter()
        .zip(&fair_amounts)
        .map(|(want, fair)| fair.saturating_sub(in_use.bound(&want.holder)))
        .collect();
    let total_increase: Thousandths = increases.iter().sum();
    let mut amounts = Vec::with_capacity(wants.len());
    for ((want, fair), increase) in wants.iter().zip(fair_amounts).zip(increases) {
        let kept = fair.min(in_use.bound(&want.holder));
        amounts.push(kept + scaled_increase(increase, total_increase, free));
    }
    amounts
}

/// Divides the total among the holders and the grantor; returns the holders' amounts, followed by the grantor's.
fn fair_amounts(own: Demand, wants: &[ShareRequest], rules: &Rules) -> Vec<Thousandths> {
    let demands = wants.iter().map(|want| Demand {
        amount: want.amount as f64,
        weight: want.weight,
    });
    let demands: Vec<Demand> = demands.chain([own]).collect();
    let shares = shares(rules.whole as f64, &demands);
    shares
        .into_iter()
        .map(|share| share as Thousandths)
        .collect()
}

/// Scales an increase down, if all of them together exceed what is free.
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

fn largest<'parts>(parts: impl Iterator<Item = &'parts Part>) -> Thousandths {
    parts.map(|part| part.amount).max().unwrap_or(0)
}

#[cfg(test)]
mod tests;
