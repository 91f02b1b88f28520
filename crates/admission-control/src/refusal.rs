//! When those who are refused had better come back, and who of those who come back has waited longest.

use crate::Micros;
use foldhash::fast::FixedState;
use std::hash::BuildHasher;

const SECOND: Micros = 1_000_000;
/// Users try for 60 s in all (PROTOCOL, "POST /submissions"): what is older is another try.
const TRIED: Micros = 70 * SECOND;
/// Whoever waits longer between two tries has few of them left.
const LONGEST: f64 = 12.0;
/// Tries that share a place of the table.
const WAYS: usize = 4;

/// First attempts of those who were refused, as far as there is room: a table of fixed size, in which a
/// million refused ids cost no more than ten.
#[derive(Debug)]
pub struct Refusals {
    places: Vec<[(u32, Micros); WAYS]>,
    hasher: FixedState,
}

impl Refusals {
    /// Remembers at least this many in most cases.
    pub fn new(entries: usize) -> Refusals {
        let places = (entries / WAYS).next_power_of_two().max(1);
        Refusals {
            places: vec![[(0, 0); WAYS]; places],
            hasher: FixedState::default(),
        }
    }

    fn place(&self, id: &str) -> (usize, u32) {
        let h = self.hasher.hash_one(id);
        let place = h as usize & (self.places.len() - 1);
        (place, ((h >> 32) as u32).max(1))
    }

    /// When the id was tried first: now, unless it has been refused before.
    pub fn first(&self, id: &str, now: Micros) -> Micros {
        let (place, print) = self.place(id);
        let found = self.places[place].iter().find(|(p, _)| *p == print);
        let first = found.map(|(_, first)| *first);
        first.filter(|t| now < t + TRIED).unwrap_or(now)
    }

    /// The id is refused; `first`: its first try.
    pub fn refuse(&mut self, id: &str, first: Micros, now: Micros) {
        let (place, print) = self.place(id);
        let ways = &mut self.places[place];
        let stale = |t: &(u32, Micros)| t.0 == 0 || now >= t.1 + TRIED;
        let at = ways.iter().position(|t| t.0 == print);
        // Of those that are worth remembering the youngest goes: it has waited least.
        let youngest = (0..WAYS).max_by_key(|i| ways[*i].1).unwrap_or(0);
        let at = at.or_else(|| ways.iter().position(stale));
        match at {
            Some(at) => ways[at] = (print, first),
            None if ways[youngest].1 > first => ways[youngest] = (print, first),
            None => {}
        }
    }

    /// Seconds after which the refused had better come back. `ahead`: how many wait before them, in
    /// their own lane; `rate`: how many of those are taken a second. Different users come back at
    /// different times, and the same user each time at another.
    pub fn retry_after(&self, id: &str, ahead: usize, rate: f64, now: Micros) -> u32 {
        let wait = (ahead as f64 / rate.max(1e-3)).clamp(1.0, LONGEST);
        let h = self.hasher.hash_one((id, now / SECOND));
        let spread = 0.5 + (h >> 11) as f64 / (1u64 << 53) as f64;
        (wait * spread).round().max(1.0) as u32
    }
}

#[cfg(test)]
mod tests;
