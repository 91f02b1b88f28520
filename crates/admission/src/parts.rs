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
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    const RULES: Rules = Rules {
        whole: 90_000,
        life: 10_000_000,
        apart: 50_000,
    };

    const NOBODY: Asked = Asked {
        amount: 0.0,
        weight: 1.0,
    };

    fn want(holder: &str, amount: Milli) -> Want {
        Want {
            holder: holder.into(),
            amount,
            weight: 1.0,
            seen: 0,
        }
    }

    #[test]
    fn what_one_does_not_want_goes_to_the_others_once_it_cannot_be_in_use_any_more() {
        let a = Grant::default().next(
            0,
            NOBODY,
            &[want("a", 80_000), want("b", 80_000), want("c", 0)],
            &RULES,
        );
        assert_eq!(a.part("a", 1, &RULES), 45_000);
        let wants = [want("a", 0), want("b", 80_000), want("c", 80_000)];
        let b = a.next(1_000_000, NOBODY, &wants, &RULES);
        // What a may still be using is nobody's.
        assert_eq!(b.part("b", 1_000_001, &RULES), 45_000);
        assert_eq!(b.part("c", 1_000_001, &RULES), 0);
        let c = b.next(10_000_001, NOBODY, &wants, &RULES);
        assert_eq!(c.part("c", 10_000_002, &RULES), 0, "clocks may be apart");
        let d = c.next(11_100_000, NOBODY, &wants, &RULES);
        assert_eq!(d.part("c", 11_100_001, &RULES), 45_000);
        // A holder that tells that it has seen a newer grant frees what the older one allowed.
        let told = Want {
            seen: 2,
            ..want("a", 0)
        };
        let wants = [told, want("b", 80_000), want("c", 80_000)];
        let e = b.next(2_000_000, NOBODY, &wants, &RULES);
        assert_eq!(e.part("c", 2_000_001, &RULES), 45_000);
        // A holder that hears nothing stops by itself.
        assert_eq!(d.part("c", 21_050_000, &RULES), 0);
    }

    /// Holders see any grant, late, never, and forget it; clocks are apart; givers change. At no instant
    /// is more in use than there is.
    #[test]
    fn parts_never_add_up_to_more_than_the_whole() {
        let holders = ["a", "b", "c", "d"];
        let mut full = 0;
        for seed in 0..600 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let off: Vec<i64> = (0..5).map(|_| rng.random_range(-25_000..25_000)).collect();
            let wall = |now: u64, who: usize| (now as i64 + off[who]) as u64;
            let mut newest = Grant::default();
            let mut seen: Vec<Grant> = vec![Grant::default(); 4];
            let mut now = 1_000_000;
            for _ in 0..200 {
                now += rng.random_range(0..2_000_000);
                match rng.random_range(0..3) {
                    0 => {
                        let amount = |rng: &mut ChaCha8Rng| rng.random_range(0..60) * 1_000;
                        let some = rng.random_range(1..5);
                        let wants = holders.iter().take(some);
                        let wants: Vec<Want> = wants.map(|h| want(h, amount(&mut rng))).collect();
                        newest = newest.next(wall(now, 4), NOBODY, &wants, &RULES);
                    }
                    1 => seen[rng.random_range(0..4)] = newest.clone(),
                    _ => {}
                }
                let used = |(i, h): (usize, &&str)| seen[i].part(h, wall(now, i), &RULES);
                let sum: Milli = holders.iter().enumerate().map(used).sum();
                assert!(sum <= RULES.whole, "seed {seed}: {sum}");
                full += usize::from(sum * 10 > RULES.whole * 8);
            }
        }
        assert!(full > 1_000, "most of it was in use {full} times");
    }
}
