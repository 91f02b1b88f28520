//! A bounded queue with fair scheduling, with one lane per class of a team.
//!
//! Teams take turns by weight, and the classes of a team take turns evenly. Within a lane, the entry that was tried
//! first is served first. When the queue is full, the last entry of the longest lane, of the team with the highest load
//! for its weight, is evicted; so a lane with few entries is never refused because of one with many.
//!
//! The cost of each operation is logarithmic in the number of lanes and in the length of a lane. Empty lanes are
//! removed once they have no turns to make up for.

mod turns;

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use turns::TurnOrder;

/// Cost of one turn at weight 1.
const TURN: f64 = (1u64 << 20) as f64;
/// Smallest weight that is used in a division.
const MIN_WEIGHT: f64 = 1e-6;
/// Empty lanes or teams that are kept before they are cleaned up.
const EMPTY_KEPT: usize = 16;

/// Position of an entry in its lane: the time of its first try, then the order of arrival.
pub type Ticket = (Micros, u64);

/// The entries of one class of a team.
#[derive(Debug)]
struct Lane<T> {
    waiting: BTreeMap<Ticket, T>,
    turn: u64,
}

/// The lanes of one team.
#[derive(Debug)]
struct Team<C, T> {
    lanes: BTreeMap<C, Lane<T>>,
    /// Lanes that are not empty, in the order of their turns.
    turns: TurnOrder<C>,
    /// Lanes that are not empty, the shortest first.
    sizes: BTreeSet<(usize, C)>,
    turn: u64,
    weight: f64,
    /// Number of entries in all lanes.
    len: usize,
}

impl<C: Ord + Clone, T> Team<C, T> {
    fn new(weight: f64) -> Team<C, T> {
        Team {
            lanes: BTreeMap::new(),
            turns: TurnOrder::new(),
            sizes: BTreeSet::new(),
            turn: 0,
            weight,
            len: 0,
        }
    }

    /// Returns the number of entries for the team's weight.
    fn load(&self) -> u64 {
        (self.len as f64 * TURN / self.weight) as u64
    }

    fn insert(&mut self, class: C, ticket: Ticket, entry: T) {
        let lane = self.lanes.entry(class.clone()).or_insert_with(|| Lane {
            waiting: BTreeMap::new(),
            turn: 0,
        });
        self.sizes.remove(&(lane.waiting.len(), class.clone()));
        if lane.waiting.is_empty() {
            self.turns.join(&mut lane.turn, class.clone());
        }
        lane.waiting.insert(ticket, entry);
        self.sizes.insert((lane.waiting.len(), class));
        self.len += 1;
    }

    fn remove(&mut self, class: &C, ticket: Ticket) -> Option<T> {
        let lane = self.lanes.get_mut(class)?;
        let entry = lane.waiting.remove(&ticket)?;
        let left = lane.waiting.len();
        self.len -= 1;
        self.sizes.remove(&(left + 1, class.clone()));
        if left > 0 {
            self.sizes.insert((left, class.clone()));
            return Some(entry);
        }
        self.turns.leave(lane.turn, class);
        if !self.turns.is_ahead(lane.turn) {
            self.lanes.remove(class);
        }
        Some(entry)
    }

    /// Removes empty lanes whose turns have passed, if there are many.
    fn remove_empty_lanes(&mut self) {
        if self.lanes.len() <= 2 * self.turns.len() + EMPTY_KEPT {
            return;
        }
        let turns = &self.turns;
        self.lanes
            .retain(|_, lane| !lane.waiting.is_empty() || turns.is_ahead(lane.turn));
    }
}

/// The queue. `K` identifies teams, `C` classes.
#[derive(Debug)]
pub struct FairQueue<K, C, T> {
    teams: BTreeMap<K, Team<C, T>>,
    /// Teams that are not empty, in the order of their turns.
    turns: TurnOrder<K>,
    /// Teams that are not empty by their loads, the lowest first.
    loads: BTreeSet<(u64, K)>,
    /// Number of entries.
    len: usize,
    /// Most entries.
    capacity: usize,
    /// Number of entries that were ever pushed.
    arrivals: u64,
}

/// Result of pushing an entry.
#[derive(Debug, PartialEq)]
pub enum PushOutcome<T> {
    /// The entry is queued, and none was evicted.
    Queued(Ticket),
    /// The entry is queued, and the second field was evicted for it.
    Evicted(Ticket, T),
    /// The entry itself would be the last of the longest lane, so it is returned.
    Rejected(T),
}

impl<K: Ord + Clone, C: Ord + Clone, T> FairQueue<K, C, T> {
    /// Creates a queue of at most `capacity` entries.
    pub fn new(capacity: usize) -> FairQueue<K, C, T> {
        FairQueue {
            teams: BTreeMap::new(),
            turns: TurnOrder::new(),
            loads: BTreeSet::new(),
            len: 0,
            capacity,
            arrivals: 0,
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Changes the capacity; entries beyond it stay queued.
    pub fn limit(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of entries in a lane.
    pub fn waiting(&self, team: &K, class: &C) -> usize {
        self.lane(team, class).map_or(0, |lane| lane.waiting.len())
    }

    /// Returns the number of lanes that are not empty.
    pub fn busy(&self) -> usize {
        self.teams.values().map(|team| team.turns.len()).sum()
    }

    fn lane(&self, team: &K, class: &C) -> Option<&Lane<T>> {
        self.teams.get(team)?.lanes.get(class)
    }

    /// Queues an entry, and evicts one if the queue is full. `weight` is the team's, above 0; `first` is when the
    /// client first tried to get this entry in.
    pub fn push(
        &mut self,
        team: K,
        weight: f64,
        class: C,
        first: Micros,
        entry: T,
    ) -> PushOutcome<T> {
        self.arrivals += 1;
        let ticket = (first, self.arrivals);
        if self.len < self.capacity {
            self.back(team, weight, class, ticket, entry);
            return PushOutcome::Queued(ticket);
        }
        match self.evict_for(&team, &class, ticket) {
            Some(evicted) => {
                self.back(team, weight, class, ticket, entry);
                PushOutcome::Evicted(ticket, evicted)
            }
            None => PushOutcome::Rejected(entry),
        }
    }

    /// Evicts the last entry of the longest lane. If this is the lane of a new entry with `ticket`, and that would be
    /// its last entry, nothing is evicted.
    fn evict_for(&mut self, team: &K, class: &C, ticket: Ticket) -> Option<T> {
        let (longest_team, longest_class) = self.longest_lane()?;
        let lane = self.lane(&longest_team, &longest_class)?;
        let last = *lane.waiting.keys().next_back()?;
        let is_own_lane = longest_team == *team && longest_class == *class;
        if is_own_lane && last <= ticket {
            return None;
        }
        self.remove(&longest_team, &longest_class, last)
    }

    /// Queues an entry under a ticket that it already has, such as one that was popped and not served.
    pub fn back(&mut self, team: K, weight: f64, class: C, ticket: Ticket, entry: T) {
        let weight = weight.max(MIN_WEIGHT);
        let lanes = self
            .teams
            .entry(team.clone())
            .or_insert_with(|| Team::new(weight));
        if lanes.len == 0 {
            self.turns.join(&mut lanes.turn, team.clone());
        } else {
            self.loads.remove(&(lanes.load(), team.clone()));
        }
        lanes.weight = weight;
        lanes.insert(class, ticket, entry);
        self.loads.insert((lanes.load(), team));
        self.len += 1;
    }

    /// Returns the longest lane of the team with the highest load.
    fn longest_lane(&self) -> Option<(K, C)> {
        let (_, team) = self.loads.last()?;
        let (_, class) = self.teams.get(team)?.sizes.last()?;
        Some((team.clone(), class.clone()))
    }

    /// Removes an entry.
    pub fn remove(&mut self, team: &K, class: &C, ticket: Ticket) -> Option<T> {
        let lanes = self.teams.get_mut(team)?;
        let load_before = lanes.load();
        let entry = lanes.remove(class, ticket)?;
        self.len -= 1;
        self.loads.remove(&(load_before, team.clone()));
        if lanes.len > 0 {
            self.loads.insert((lanes.load(), team.clone()));
            return Some(entry);
        }
        self.turns.leave(lanes.turn, team);
        if !self.turns.is_ahead(lanes.turn) {
            self.teams.remove(team);
        }
        Some(entry)
    }

    /// Removes the entry whose turn it is, and returns it with its team, class and ticket.
    pub fn pop(&mut self) -> Option<(K, C, Ticket, T)> {
        let team = self.turns.first()?.clone();
        let lanes = self.teams.get_mut(&team)?;
        let class = lanes.turns.first()?.clone();
        let lane = lanes.lanes.get_mut(&class)?;
        let ticket = *lane.waiting.keys().next()?;
        let cost = TURN / lanes.weight;
        self.turns.serve(&mut lanes.turn, cost as u64, &team);
        lanes.turns.serve(&mut lane.turn, TURN as u64, &class);
        let entry = self.remove(&team, &class, ticket)?;
        self.remove_empty();
        Some((team, class, ticket, entry))
    }

    /// Removes empty teams and lanes whose turns have passed, if there are many.
    fn remove_empty(&mut self) {
        if self.teams.len() > 2 * self.turns.len() + EMPTY_KEPT {
            let turns = &self.turns;
            self.teams
                .retain(|_, team| team.len > 0 || turns.is_ahead(team.turn));
        }
        self.teams.values_mut().for_each(Team::remove_empty_lanes);
    }
}

#[cfg(test)]
mod tests;
