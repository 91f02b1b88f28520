//! An exhaustive model checker for small models.
//!
//! It visits every reachable state in breadth-first order, so the path to a reported violation is a shortest one. A
//! model defines which steps are possible in a state and which properties must hold. Typically it combines production
//! state machines, which are free of I/O, with messages that may be delayed, lost or duplicated, and with clocks.
//!
//! All states are kept in memory, so models have to be small. States that differ only in the names of
//! interchangeable parties should be mapped to one representative by [`Model::canonical`].

#![deny(missing_docs)]

use foldhash::{HashMap, HashMapExt};
use std::collections::VecDeque;
use std::fmt::Debug;
use std::hash::Hash;

/// A model to check.
pub trait Model {
    /// The state of the whole model at one moment.
    type State: Clone + Eq + Hash;
    /// A transition from one state to another.
    type Step: Clone + Debug;

    /// Returns the initial states.
    fn initial_states(&self) -> Vec<Self::State>;
    /// Returns the steps that are possible in a state, each with the state that it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;
    /// Describes the property that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<String>;
    /// Returns the representative of all states that are equivalent to this one.
    fn canonical(&self, state: Self::State) -> Self::State {
        state
    }
}

/// Result of a check.
#[derive(Debug, Clone, PartialEq)]
pub enum CheckResult<S> {
    /// All reachable states were visited, and none violates a property.
    Verified {
        /// Number of states.
        states: usize,
        /// Number of steps to the state that is furthest from the initial ones.
        depth: usize,
    },
    /// The limit was reached; no visited state violates a property.
    LimitReached {
        /// Number of visited states.
        states: usize,
    },
    /// A state violates a property.
    Violation {
        /// The property, as described by the model.
        property: String,
        /// A shortest path to the state.
        path: Vec<S>,
        /// Number of visited states.
        states: usize,
    },
}

impl<S: Debug> CheckResult<S> {
    /// Formats the result as text; the path to a violation has one line per step.
    pub fn describe(&self) -> String {
        match self {
            CheckResult::Violation { property, path, .. } => {
                let steps = path.iter().enumerate();
                let mut lines: Vec<String> = steps
                    .map(|(index, step)| format!("{}. {step:?}", index + 1))
                    .collect();
                lines.push(property.clone());
                lines.join("\n")
            }
            CheckResult::Verified { states, depth } => {
                format!("{states} states, {depth} steps, no violation")
            }
            CheckResult::LimitReached { states } => format!("{states} states, limit reached"),
        }
    }
}

/// The step by which a state was first reached.
struct Origin<S> {
    /// Index of the preceding state.
    previous: usize,
    step: S,
}

/// A visited state. Its index in [`Explorer::visits`] follows the order of the visits.
struct Visit<S> {
    /// `None` for an initial state.
    origin: Option<Origin<S>>,
    /// Number of steps from an initial state.
    depth: usize,
}

/// The progress of a check.
struct Explorer<'model, M: Model> {
    model: &'model M,
    max_states: usize,
    visited: HashMap<M::State, usize>,
    visits: Vec<Visit<M::Step>>,
    /// States whose steps have not been followed yet, with their indices.
    frontier: VecDeque<(usize, M::State)>,
}

impl<M: Model> Explorer<'_, M> {
    /// Visits a state unless it was visited before; returns a result if the check ends here.
    fn visit(
        &mut self,
        state: M::State,
        origin: Option<Origin<M::Step>>,
    ) -> Option<CheckResult<M::Step>> {
        let state = self.model.canonical(state);
        if self.visited.contains_key(&state) {
            return None;
        }
        let depth = origin
            .as_ref()
            .map_or(0, |origin| self.visits[origin.previous].depth + 1);
        let index = self.visits.len();
        self.visits.push(Visit { origin, depth });
        if let Some(property) = self.model.violation(&state) {
            return Some(CheckResult::Violation {
                property,
                path: self.path_to(index),
                states: self.visits.len(),
            });
        }
        if self.visits.len() >= self.max_states {
            return Some(CheckResult::LimitReached {
                states: self.max_states,
            });
        }
        self.visited.insert(state.clone(), index);
        self.frontier.push_back((index, state));
        None
    }

    /// Visits all states that one step leads to.
    fn follow_steps(&mut self, previous: usize, state: &M::State) -> Option<CheckResult<M::Step>> {
        for (step, next) in self.model.steps(state) {
            let origin = Origin { previous, step };
            let result = self.visit(next, Some(origin));
            if result.is_some() {
                return result;
            }
        }
        None
    }

    fn path_to(&self, index: usize) -> Vec<M::Step> {
        let mut steps = Vec::new();
        let mut visit = &self.visits[index];
        while let Some(origin) = &visit.origin {
            steps.push(origin.step.clone());
            visit = &self.visits[origin.previous];
        }
        steps.reverse();
        steps
    }
}

/// Checks a model, visiting at most `max_states` states.
pub fn explore<M: Model>(model: &M, max_states: usize) -> CheckResult<M::Step> {
    let mut explorer = Explorer {
        model,
        max_states,
        visited: HashMap::new(),
        visits: Vec::new(),
        frontier: VecDeque::new(),
    };
    for state in model.initial_states() {
        if let Some(result) = explorer.visit(state, None) {
            return result;
        }
    }
    while let Some((index, state)) = explorer.frontier.pop_front() {
        if let Some(result) = explorer.follow_steps(index, &state) {
            return result;
        }
    }
    CheckResult::Verified {
        states: explorer.visits.len(),
        depth: explorer.visits.last().map_or(0, |visit| visit.depth),
    }
}

/// Checks a model without each of its rules, one at a time. Returns the rules whose removal causes no violation among at
/// most `max_states` states: the model does not show that they are needed. `model_without` builds the model without a rule.
pub fn undetected_removals<R: Copy, M: Model>(
    rules: &[R],
    max_states: usize,
    model_without: impl Fn(R) -> M,
) -> Vec<R> {
    let is_undetected = |rule: &R| {
        let result = explore(&model_without(*rule), max_states);
        !matches!(result, CheckResult::Violation { .. })
    };
    rules.iter().copied().filter(is_undetected).collect()
}

#[cfg(test)]
mod tests;
