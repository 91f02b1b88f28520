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
const TURN_COST: f64 = (1u64 << 20) as f64;
/// Smallest weight that is used in a division.
const MIN_WEIGHT: f64 = 1e-6;
/// Empty lanes or teams that are kept before they are cleaned up.
const CLEANUP_THRESHOLD: usize = 16;

/// Position of an entry in its lane: the time of its first try, then the order of arrival.
pub type Ticket = (Micros, u64);

/// The entries of one class of a team.
#[derive(Debug)]
struct Lane<T> {
    entries: BTreeMap<Ticket, T>,
    next_turn: u64,
}

/// The lanes of one team.
#[derive(Debug)]
struct Team<C, T> {
    lanes: BTreeMap<C, Lane<T>>,
    /// Lanes that are not empty, in the order of their turns.
    turn_order: TurnOrder<C>,
    /// Lanes that are not empty, the shortest first.
    lanes_by_len: BTreeSet<(usize, C)>,
    next_turn: u64,
    weight: f64,
    /// Number of entries in all lanes.
    len: usize,
}

impl<C: Ord + Clone, T> Team<C, T> {
    fn new(weight: f64) -> Team<C, T> {
        Team {
            lanes: BTreeMap::new(),
            turn_order: TurnOrder::new(),
            lanes_by_len: BTreeSet::new(),
            next_turn: 0,
            weight,
            len: 0,
        }
    }

    /// Returns the number of entries for the team's weight.
    fn load(&self) -> u64 {
        (self.len as f64 * TURN_COST / self.weight) as u64
    }

    fn insert(&mut self, class: C, ticket: Ticket, entry: T) {
        let lane = self.lanes.entry(class.clone()).or_insert_with(|| Lane {
            entries: BTreeMap::new(),
            next_turn: 0,
        });
        self.lanes_by_len
            .remove(&(lane.entries.len(), class.clone()));
        if lane.entries.is_empty() {
            self.turn_order.join(&mut lane.next_turn, class.clone());
        }
        lane.entries.insert(ticket, entry);
        self.lanes_by_len.insert((lane.entries.len(), class));
        self.len += 1;
    }

    fn remove(&mut self, class: &C, ticket: Ticket) -> Option<T> {
        let lane = self.lanes.get_mut(class)?;
        let entry = lane.entries.remove(&ticket)?;
        let remaining = lane.entries.len();
        self.len -= 1;
        self.lanes_by_len.remove(&(remaining + 1, class.clone()));
        if remaining > 0 {
            self.lanes_by_len.insert((remaining, class.clone()));
            return Some(entry);
        }
        self.turn_order.leave(lane.next_turn, class);
        if !self.turn_order.is_ahead(lane.next_turn) {
            self.lanes.remove(class);
        }
        Some(entry)
    }

    /// Removes empty lanes whose turns have passed, if there are many.
    fn remove_empty_lanes(&mut self) {
        if self.lanes.len() <= 2 * self.turn_order.len() + CLEANUP_THRESHOLD {
            return;
        }
        let turn_order = &self.turn_order;
        self.lanes
            .retain(|_, lane| !lane.entries.is_empty() || turn_order.is_ahead(lane.next_turn));
    }
}

/// The queue. `K` identifies teams, `C` classes.
#[derive(Debug)]
pub struct FairQueue<K, C, T> {
    teams: BTreeMap<K, Team<C, T>>,
    /// Teams that are not empty, in the order of their turns.
    turn_order: TurnOrder<K>,
    /// Teams that are not empty by their loads, the lowest first.
    teams_by_load: BTreeSet<(u64, K)>,
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
            turn_order: TurnOrder::new(),
            teams_by_load: BTreeSet::new(),
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
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of entries in a lane.
    pub fn lane_len(&self, team: &K, class: &C) -> usize {
        self.lane(team, class).map_or(0, |lane| lane.entries.len())
    }

    /// Returns the number of lanes that are not empty.
    pub fn non_empty_lanes(&self) -> usize {
        self.teams.values().map(|team| team.turn_order.len()).sum()
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
            self.insert_with_ticket(team, weight, class, ticket, entry);
            return PushOutcome::Queued(ticket);
        }
        match self.evict_for(&team, &class, ticket) {
            Some(evicted) => {
                self.insert_with_ticket(team, weight, class, ticket, entry);
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
        let last = *lane.entries.keys().next_back()?;
        let is_own_lane = longest_team == *team && longest_class == *class;
        if is_own_lane && last <= ticket {
            return None;
        }
        self.remove(&longest_team, &longest_class, last)
    }

    /// Queues an entry under a ticket that it already has, such as one that was popped and not served.
    pub fn insert_with_ticket(&mut self, team: K, weight: f64, class: C, ticket: Ticket, entry: T) {
        let weight = weight.max(MIN_WEIGHT);
        let lanes = self
            .teams
            .entry(team.clone())
            .or_insert_with(|| Team::new(weight));
        if lanes.len == 0 {
            self.turn_order.join(&mut lanes.next_turn, team.clone());
        } else {
            self.teams_by_load.remove(&(lanes.load(), team.clone()));
        }
        lanes.weight = weight;
        lanes.insert(class, ticket, entry);
        self.teams_by_load.insert((lanes.load(), team));
        self.len += 1;
    }

    /// Returns the longest lane of the team with the highest load.
    fn longest_lane(&self) -> Option<(K, C)> {
        let (_, team) = self.teams_by_load.last()?;
        let (_, class) = self.teams.get(team)?.lanes_by_len.last()?;
        Some((team.clone(), class.clone()))
    }

    /// Removes an entry.
    pub fn remove(&mut self, team: &K, class: &C, ticket: Ticket) -> Option<T> {
        let lanes = self.teams.get_mut(team)?;
        let load_before = lanes.load();
        let entry = lanes.remove(class, ticket)?;
        self.len -= 1;
        self.teams_by_load.remove(&(load_before, team.clone()));
        if lanes.len > 0 {
            self.teams_by_load.insert((lanes.load(), team.clone()));
            return Some(entry);
        }
        self.turn_order.leave(lanes.next_turn, team);
        if !self.turn_order.is_ahead(lanes.next_turn) {
            self.teams.remove(team);
        }
        Some(entry)
    }

    /// Removes the entry whose turn it is, and returns it with its team, class and ticket.
    pub fn pop(&mut self) -> Option<(K, C, Ticket, T)> {
        let team = self.turn_order.peek()?.clone();
        let lanes = self.teams.get_mut(&team)?;
        let class = lanes.turn_order.peek()?.clone();
        let lane = lanes.lanes.get_mut(&class)?;
        let ticket = *lane.entries.keys().next()?;
        let cost = TURN_COST / lanes.weight;
        self.turn_order
            .serve(&mut lanes.next_turn, cost as u64, &team);
        lanes
            .turn_order
            .serve(&mut lane.next_turn, TURN_COST as u64, &class);
        let entry = self.remove(&team, &class, ticket)?;
        self.remove_empty();
        Some((team, class, ticket, entry))
    }

    /// Removes empty teams and lanes whose turns have passed, if there are many.
    fn remove_empty(&mut self) {
        if self.teams.len() > 2 * self.turn_order.len() + CLEANUP_THRESHOLD {
            let turn_order = &self.turn_order;
            self.teams
                .retain(|_, team| team.len > 0 || turn_order.is_ahead(team.next_turn));
        }
        self.teams.values_mut().for_each(Team::remove_empty_lanes);
    }
}

#[cfg(test)]
mod tests;
