//! Parts of a whole that several hold at once, and that never add up to more than the whole.
//!
//! Who gives them writes a [`Grant`] on record, each one on condition that the one before is still the
//! newest and that the giver still leads. A holder uses its part of the newest grant that it has seen,
//! until the grant ends. It may see a grant late or never, so it may still use its part of an older one:
//! each grant therefore carries, for every holder, what older grants may still allow. Only what nobody
//! may still be using is given to others.
//!
//! Grants end by the time of day, which all agree on within a bound: a holder stops that bound early, a
//! giver waits that bound longer. A delayed message can then shorten a part and never lengthen it. A new
//! giver needs nothing but the newest grant; a holder that restarts, too.

use crate::Micros;
use crate::fair::{Asked, shares};
use std::collections::BTreeMap;

/// An amount in thousandths: what is agreed on must be the same for everybody, to the last digit.
pub type Milli = u64;

/// What a holder may have from some grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Part {
    /// How much.
    pub amount: Milli,
    /// Until this time of day.
    pub until: Micros,
    /// Number of the grant.
    pub epoch: u64,
}

/// What is on record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Grant {
    /// Number; each one is higher than the one before.
    pub epoch: u64,
    /// The parts of this grant.
    pub parts: BTreeMap<String, Part>,
    /// What older grants may still allow beyond that, largest first.
    pub owed: BTreeMap<String, Vec<Part>>,
}

/// How parts are given.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// All that there is to give.
    pub whole: Milli,
    /// How long a grant lasts.
    pub life: Micros,
    /// How far two clocks' time of day may be apart, and timers be late.
    pub apart: Micros,
}

/// What a holder asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Want {
    /// Who.
    pub holder: String,
    /// How much.
    pub amount: Milli,
    /// What it counts.
    pub weight: f64,
    /// Number of the newest grant that it has told of: it uses no older one any more.
    pub seen: u64,
}

impl Grant {
    /// What a holder may use at this time of day by its own clock.
    pub fn part(&self, holder: &str, wall: Micros, rules: &Rules) -> Milli {
        let part = self.parts.get(holder);
        let open = part.filter(|p| wall + rules.apart < p.until);
        open.map_or(0, |p| p.amount)
    }

    /// What all holders together may be using at this time of day by the giver's clock, whichever grants
    /// they have seen. `seen`: the newest that each has told of. The rest of the whole is the giver's.
    pub fn lent(&self, wall: Micros, rules: &Rules, seen: impl Fn(&str) -> u64) -> Milli {
        let bound = |h: &String| largest(self.open(h, seen(h), wall, rules));
        self.holders().map(bound).sum()
    }

    /// The next grant, given at this time of day. Whoever may still be using more than they get keeps
    /// the others waiting for the rest. What the giver could use itself, `own`, counts like what others
    /// want; it is not granted, since what is not lent is the giver's.
    pub fn next(&self, wall: Micros, own: Asked, wants: &[Want], rules: &Rules) -> Grant {
        let asked = wants.iter().map(|w| Asked {
            amount: w.amount as f64,
            weight: w.weight,
        });
        let asked: Vec<Asked> = asked.chain([own]).collect();
        let fair = shares(rules.whole as f64, &asked);
        let fair: Vec<Milli> = fair.into_iter().map(|f| f as Milli).collect();
        let mut owed: BTreeMap<String, Vec<Part>> = BTreeMap::new();
        for h in self.holders() {
            let want = wants.iter().find(|w| w.holder == *h);
            let seen = want.map_or(0, |w| w.seen);
            let mut open: Vec<Part> = self.open(h, seen, wall, rules).copied().collect();
            open.sort_by(|a, b| b.cmp(a));
            owed.insert(h.clone(), open);
        }
        let bound = |h: &String| largest(owed.get(h).into_iter().flatten());
        let used: Milli = owed.keys().map(bound).sum();
        let free = rules.whole.saturating_sub(used);
        // What anybody is to have beyond what it may be using already comes out of what is free.
        let more: Vec<Milli> = (wants.iter().zip(&fair))
            .map(|(w, f)| f.saturating_sub(bound(&w.holder)))
            .collect();
        let all: Milli = more.iter().sum();
        let until = wall + rules.life;
        let mut parts = BTreeMap::new();
        for ((w, fair), more) in wants.iter().zip(&fair).zip(&more) {
            let held = (*fair).min(bound(&w.holder));
            let extra = if all <= free {
                *more
            } else {
                (*more as u128 * free as u128 / all as u128) as Milli
            };
            let amount = held + extra;
            let part = Part {
                amount,
                until,
                epoch: self.epoch + 1,
            };
            parts.insert(w.holder.clone(), part);
        }
        // An older part that allows no more than the new one, and ends no later, need not be told.
        owed.retain(|h, list| {
            if let Some(new) = parts.get(h) {
                list.retain(|p: &Part| p.amount > new.amount || p.until > new.until);
            }
            !list.is_empty()
        });
        Grant {
            epoch: self.epoch + 1,
            parts,
            owed,
        }
    }

    /// Whoever has a part of any grant that counts.
    fn holders(&self) -> impl Iterator<Item = &String> {
        let only_owed = self.owed.keys().filter(|h| !self.parts.contains_key(*h));
        self.parts.keys().chain(only_owed)
    }

    /// Parts of all grants so far that a holder may still be using.
    fn open(
        &self,
        holder: &str,
        seen: u64,
        wall: Micros,
        rules: &Rules,
    ) -> impl Iterator<Item = &Part> {
        let all = self.parts.get(holder).into_iter();
        let all = all.chain(self.owed.get(holder).into_iter().flatten());
        let apart = rules.apart;
        all.filter(move |p| wall < p.until + apart && p.epoch >= seen)
    }
}

fn largest<'p>(parts: impl Iterator<Item = &'p Part>) -> Milli {
    parts.map(|p| p.amount).max().unwrap_or(0)
}

#[cfg(test)]
mod tests;
