//! A bounded queue of lanes: a lane for each class of a team. Teams take turns by weight, classes of a
//! team evenly; within a lane whoever has tried first goes first. When the queue is full, whoever came
//! last in the lane that holds most by weight has to go, so a lane that asks for little is never refused
//! on account of one that asks for much.
//!
//! Each step costs the logarithm of the number of lanes and of what waits in one; lanes with nothing
//! waiting are forgotten once they have no turn to catch up with.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A turn's length at weight 1.
const TURN: f64 = (1u64 << 20) as f64;

/// Place of an entry in its lane: first attempt, then arrival.
pub type Ticket = (Micros, u64);

/// One lane.
#[derive(Debug)]
struct Lane<T> {
    waiting: BTreeMap<Ticket, T>,
    turn: u64,
}

/// The lanes of one team.
#[derive(Debug)]
struct Team<C, T> {
    lanes: BTreeMap<C, Lane<T>>,
    /// Lanes with something waiting, whose turn it is first first.
    turns: BTreeSet<(u64, C)>,
    /// The same, the shortest first.
    sizes: BTreeSet<(usize, C)>,
    /// Turn of the lane served last.
    now: u64,
    turn: u64,
    weight: f64,
    len: usize,
}

/// The queue. `K` names teams, `C` classes.
#[derive(Debug)]
pub struct Lanes<K, C, T> {
    teams: BTreeMap<K, Team<C, T>>,
    turns: BTreeSet<(u64, K)>,
    /// Teams by what they hold for their weight, least first.
    sizes: BTreeSet<(u64, K)>,
    now: u64,
    len: usize,
    most: usize,
    came: u64,
}

/// What came of an entry.
#[derive(Debug, PartialEq)]
pub enum Taken<T> {
    /// It waits, and nobody had to go.
    Waits(Ticket),
    /// It waits; this one has to go.
    Instead(Ticket, T),
    /// Its own lane holds most, and it is the last there: it has to go itself.
    Refused(T),
}

fn load(len: usize, weight: f64) -> u64 {
    (len as f64 * TURN / weight) as u64
}

impl<K: Ord + Clone, C: Ord + Clone, T> Lanes<K, C, T> {
    /// Holds at most `most` entries.
    pub fn new(most: usize) -> Lanes<K, C, T> {
        Lanes {
            teams: BTreeMap::new(),
            turns: BTreeSet::new(),
            sizes: BTreeSet::new(),
            now: 0,
            len: 0,
            most,
            came: 0,
        }
    }

    /// Entries that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Holds at most so many from now on; those that are more wait on.
    pub fn limit(&mut self, most: usize) {
        self.most = most;
    }

    /// Entries that wait in a lane.
    pub fn waiting(&self, team: &K, class: &C) -> usize {
        let lane = self.teams.get(team).and_then(|t| t.lanes.get(class));
        lane.map_or(0, |l| l.waiting.len())
    }

    /// Lanes with something waiting.
    pub fn busy(&self) -> usize {
        self.teams.values().map(|t| t.turns.len()).sum()
    }

    /// Lets an entry wait, or says who has to go. `weight` of its team, above zero; `first`: when its
    /// user tried for the first time.
    pub fn push(&mut self, team: K, weight: f64, class: C, first: Micros, entry: T) -> Taken<T> {
        self.came += 1;
        let ticket = (first, self.came);
        let mut gone = None;
        if self.len >= self.most {
            match self.fullest() {
                Some((k, c)) if k == team && c == class => {
                    // The lane that holds most is its own: whoever tried last goes.
                    let last = self.last(&k, &c);
                    if last.is_none_or(|t| t <= ticket) {
                        return Taken::Refused(entry);
                    }
                    gone = last.and_then(|t| self.remove(&k, &c, t));
                }
                Some((k, c)) => {
                    gone = self.last(&k, &c).and_then(|t| self.remove(&k, &c, t));
                }
                None => return Taken::Refused(entry),
            }
        }
        self.back(team, weight, class, ticket, entry);
        match gone {
            Some(g) => Taken::Instead(ticket, g),
            None => Taken::Waits(ticket),
        }
    }

    /// Puts an entry in its place, also one whose turn came to nothing.
    pub fn back(&mut self, team: K, weight: f64, class: C, ticket: Ticket, entry: T) {
        let weight = weight.max(1e-6);
        let now = self.now;
        let t = self.teams.entry(team.clone()).or_insert_with(|| Team {
            lanes: BTreeMap::new(),
            turns: BTreeSet::new(),
            sizes: BTreeSet::new(),
            now: 0,
            turn: 0,
            weight,
            len: 0,
        });
        self.sizes.remove(&(load(t.len, t.weight), team.clone()));
        if t.len == 0 {
            // Whoever was away has no turns saved up.
            t.turn = t.turn.max(now);
            self.turns.insert((t.turn, team.clone()));
        }
        t.weight = weight;
        t.len += 1;
        self.sizes.insert((load(t.len, t.weight), team));
        let lane = t.lanes.entry(class.clone()).or_insert_with(|| Lane {
            waiting: BTreeMap::new(),
            turn: 0,
        });
        t.sizes.remove(&(lane.waiting.len(), class.clone()));
        if lane.waiting.is_empty() {
            lane.turn = lane.turn.max(t.now);
            t.turns.insert((lane.turn, class.clone()));
        }
        lane.waiting.insert(ticket, entry);
        t.sizes.insert((lane.waiting.len(), class));
        self.len += 1;
    }

    /// The lane that holds most, of the team that holds most for its weight.
    fn fullest(&self) -> Option<(K, C)> {
        let (_, team) = self.sizes.last()?;
        let (_, class) = self.teams.get(team)?.sizes.last()?;
        Some((team.clone(), class.clone()))
    }

    fn last(&self, team: &K, class: &C) -> Option<Ticket> {
        let lane = self.teams.get(team)?.lanes.get(class)?;
        lane.waiting.keys().next_back().copied()
    }

    /// Takes an entry out.
    pub fn remove(&mut self, team: &K, class: &C, ticket: Ticket) -> Option<T> {
        let t = self.teams.get_mut(team)?;
        let lane = t.lanes.get_mut(class)?;
        let entry = lane.waiting.remove(&ticket)?;
        let left = lane.waiting.len();
        t.sizes.remove(&(left + 1, class.clone()));
        if left > 0 {
            t.sizes.insert((left, class.clone()));
        } else {
            t.turns.remove(&(lane.turn, class.clone()));
            if lane.turn <= t.now {
                t.lanes.remove(class);
            }
        }
        self.sizes.remove(&(load(t.len, t.weight), team.clone()));
        t.len -= 1;
        self.len -= 1;
        if t.len > 0 {
            self.sizes.insert((load(t.len, t.weight), team.clone()));
        } else {
            self.turns.remove(&(t.turn, team.clone()));
            if t.turn <= self.now {
                self.teams.remove(team);
            }
        }
        Some(entry)
    }

    /// Whose turn it is.
    pub fn pop(&mut self) -> Option<(K, C, Ticket, T)> {
        let (turn, team) = self.turns.first().cloned()?;
        let t = self.teams.get_mut(&team)?;
        let (lane_turn, class) = t.turns.first().cloned()?;
        let lane = t.lanes.get_mut(&class)?;
        let ticket = *lane.waiting.keys().next()?;
        // The next turn of both comes later by what this one took.
        self.turns.remove(&(turn, team.clone()));
        self.now = self.now.max(turn);
        t.turn = turn + (TURN / t.weight) as u64;
        self.turns.insert((t.turn, team.clone()));
        t.turns.remove(&(lane_turn, class.clone()));
        t.now = t.now.max(lane_turn);
        lane.turn = lane_turn + TURN as u64;
        t.turns.insert((lane.turn, class.clone()));
        let entry = self.remove(&team, &class, ticket)?;
        self.tidy();
        Some((team, class, ticket, entry))
    }

    /// Forgets a few teams and lanes with nothing waiting whose turns have passed.
    fn tidy(&mut self) {
        let now = self.now;
        if self.teams.len() > 2 * self.turns.len() + 16 {
            self.teams.retain(|_, t| t.len > 0 || t.turn > now);
        }
        for t in self.teams.values_mut() {
            if t.lanes.len() > 2 * t.turns.len() + 16 {
                let now = t.now;
                t.lanes.retain(|_, l| !l.waiting.is_empty() || l.turn > now);
            }
        }
    }
}

#[cfg(test)]
mod tests;
