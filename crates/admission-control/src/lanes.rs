//! A bounded queue with fair scheduling and one lane per class of each team.
//!
//! Teams are served in proportion to their weights, and the classes of a team equally often. Within a lane, the entry
//! with the earliest first attempt is served first. When the queue is full, the last entry of the longest lane of the
//! team with the highest load is evicted, so a long lane never causes an entry of a short one to be refused. The load
//! of a team is its number of entries divided by its weight.
//!
//! The cost of each operation is logarithmic in the number of lanes and in the length of a lane. An empty lane is kept
//! while its next turn is ahead of the virtual time, and removed afterwards.

mod turns;

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use turns::TurnOrder;

/// Virtual time that one served entry costs at weight 1.
const TURN_COST: f64 = (1u64 << 20) as f64;
/// Smallest weight that is used in a division.
const MIN_WEIGHT: f64 = 1e-6;
/// Empty lanes or teams are removed when all of them outnumber twice the non-empty ones by more than this.
const CLEANUP_THRESHOLD: usize = 16;

/// Position of an entry in its lane: the time of its first attempt, then its arrival number.
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
    /// Non-empty lanes, in the order of their turns.
    turn_order: TurnOrder<C>,
    /// Non-empty lanes, the shortest first.
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

    /// Returns the number of entries divided by the team's weight, scaled to an integer.
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

    /// Removes the empty lanes whose next turn is not ahead of the virtual time, if there are many lanes.
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
    /// Teams with entries, in the order of their turns.
    turn_order: TurnOrder<K>,
    /// Teams with entries, the lowest load first.
    teams_by_load: BTreeSet<(u64, K)>,
    /// Number of entries.
    len: usize,
    /// Maximum number of entries.
    capacity: usize,
    /// Number of calls of [`FairQueue::push`]; the source of arrival numbers.
    arrivals: u64,
}

/// Result of pushing an entry.
#[derive(Debug, PartialEq)]
pub enum PushOutcome<T> {
    /// The entry is queued under this ticket, and no other one was evicted.
    Queued(Ticket),
    /// The entry is queued under this ticket, and the entry in the second field was evicted for it.
    Evicted(Ticket, T),
    /// The new entry itself would be the last of the longest lane, so it is returned to the caller.
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

    /// Changes the capacity. Entries that exceed a smaller capacity stay queued.
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

    /// Queues an entry, and evicts one if the queue is full. `weight` is the team's weight, above 0; `first_attempt` is
    /// the time at which the client first submitted this entry.
    pub fn push(
        &mut self,
        team: K,
        weight: f64,
        class: C,
        first_attempt: Micros,
        entry: T,
    ) -> PushOutcome<T> {
        self.arrivals += 1;
        let ticket = (first_attempt, self.arrivals);
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

    /// Evicts the last entry of the longest lane to make room for a new entry with `ticket`. Evicts nothing if the new
    /// entry belongs to that lane and would be its last entry.
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

    /// Queues an entry under a given ticket, also beyond the capacity; for example one that was popped but not served.
    pub fn insert_with_ticket(&mut self, team: K, weight: f64, class: C, ticket: Ticket, entry: T) {
        let weight = weight.max(MIN_WEIGHT);
        let team_lanes = self
            .teams
            .entry(team.clone())
            .or_insert_with(|| Team::new(weight));
        if team_lanes.len == 0 {
            self.turn_order
                .join(&mut team_lanes.next_turn, team.clone());
        } else {
            self.teams_by_load
                .remove(&(team_lanes.load(), team.clone()));
        }
        team_lanes.weight = weight;
        team_lanes.insert(class, ticket, entry);
        self.teams_by_load.insert((team_lanes.load(), team));
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
        let team_lanes = self.teams.get_mut(team)?;
        let load_before = team_lanes.load();
        let entry = team_lanes.remove(class, ticket)?;
        self.len -= 1;
        self.teams_by_load.remove(&(load_before, team.clone()));
        if team_lanes.len > 0 {
            self.teams_by_load.insert((team_lanes.load(), team.clone()));
            return Some(entry);
        }
        self.turn_order.leave(team_lanes.next_turn, team);
        if !self.turn_order.is_ahead(team_lanes.next_turn) {
            self.teams.remove(team);
        }
        Some(entry)
    }

    /// Removes the next entry to serve, and returns it with its team, class and ticket.
    pub fn pop(&mut self) -> Option<(K, C, Ticket, T)> {
        let team = self.turn_order.peek()?.clone();
        let team_lanes = self.teams.get_mut(&team)?;
        let class = team_lanes.turn_order.peek()?.clone();
        let lane = team_lanes.lanes.get_mut(&class)?;
        let ticket = *lane.entries.keys().next()?;
        let cost = TURN_COST / team_lanes.weight;
        self.turn_order
            .serve(&mut team_lanes.next_turn, cost as u64, &team);
        team_lanes
            .turn_order
            .serve(&mut lane.next_turn, TURN_COST as u64, &class);
        let entry = self.remove(&team, &class, ticket)?;
        self.remove_empty();
        Some((team, class, ticket, entry))
    }

    /// Removes empty teams and lanes whose next turn is not ahead of the virtual time, if there are many.
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
