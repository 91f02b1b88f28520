//! The order of turns in fair scheduling, by virtual time.

use std::collections::BTreeSet;

/// Keys in the order of their next turns. The caller stores the next turn of each key.
///
/// Serving a key postpones its next turn by the cost of the turn. A key that joins gets no turn before the virtual
/// time, which is the latest turn that was served, so it cannot accumulate turns while it is absent.
#[derive(Debug)]
pub(super) struct TurnOrder<K> {
    by_turn: BTreeSet<(u64, K)>,
    virtual_time: u64,
}

impl<K: Ord + Clone> TurnOrder<K> {
    pub(super) fn new() -> TurnOrder<K> {
        TurnOrder {
            by_turn: BTreeSet::new(),
            virtual_time: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_turn.len()
    }

    /// Returns the key whose turn is next.
    pub(super) fn peek(&self) -> Option<&K> {
        self.by_turn.first().map(|(_, key)| key)
    }

    /// Returns whether this turn is later than the virtual time. The caller must then keep the turn of a key
    /// that has left, or the key could be served too soon when it joins again.
    pub(super) fn is_ahead(&self, turn: u64) -> bool {
        turn > self.virtual_time
    }

    /// Adds a key, with its next turn at the virtual time or later.
    pub(super) fn join(&mut self, next_turn: &mut u64, key: K) {
        *next_turn = (*next_turn).max(self.virtual_time);
        self.by_turn.insert((*next_turn, key));
    }

    /// Removes a key whose next turn is `turn`.
    pub(super) fn leave(&mut self, turn: u64, key: &K) {
        self.by_turn.remove(&(turn, key.clone()));
    }

    /// Records that a key is served now, and postpones its next turn by `cost`.
    pub(super) fn serve(&mut self, next_turn: &mut u64, cost: u64, key: &K) {
        self.leave(*next_turn, key);
        self.virtual_time = self.virtual_time.max(*next_turn);
        *next_turn += cost;
        self.by_turn.insert((*next_turn, key.clone()));
    }
}
