//! Looks at every state that a small model can reach, breadth first, so that the first broken one comes
//! with a shortest story of how it came about.
//!
//! A model is made of the real pure machines, a few messages that may be late, lost or repeated, and
//! clocks that tick. It says what can happen next and what must hold. Nothing here knows what is modelled.
//!
//! States are kept whole, so models have to be small; states that differ only in the names of equal
//! parties should be folded into one by [`Model::fold`].

use foldhash::{HashMap, HashMapExt};
use std::collections::VecDeque;
use std::fmt::Debug;
use std::hash::Hash;

/// Something to be looked at.
pub trait Model {
    /// All there is at one moment.
    type State: Clone + Eq + Hash;
    /// Something that happens.
    type Step: Clone + Debug;

    /// Where it begins.
    fn start(&self) -> Vec<Self::State>;
    /// What may happen next, and what comes of it.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;
    /// What must hold and does not.
    fn broken(&self, state: &Self::State) -> Option<String>;
    /// The one of several equal states that stands for all of them.
    fn fold(&self, state: Self::State) -> Self::State {
        state
    }
}

/// What came of it.
#[derive(Debug, Clone, PartialEq)]
pub enum Seen<S> {
    /// All states that can be reached were looked at.
    All {
        /// How many.
        states: usize,
        /// Steps to the one that is furthest away.
        depth: usize,
    },
    /// There are more than were to be looked at; none of these was broken.
    TooMany {
        /// How many were looked at.
        states: usize,
    },
    /// One is broken.
    Broken {
        /// What does not hold.
        what: String,
        /// A shortest way there.
        story: Vec<S>,
        /// How many were looked at.
        states: usize,
    },
}

impl<S: Debug> Seen<S> {
    /// The way to the broken state, a line a step.
    pub fn story(&self) -> String {
        match self {
            Seen::Broken { what, story, .. } => {
                let steps = story.iter().enumerate();
                let mut lines: Vec<String> =
                    steps.map(|(n, s)| format!("{}. {s:?}", n + 1)).collect();
                lines.push(what.clone());
                lines.join("\n")
            }
            Seen::All { states, depth } => format!("{states} states, {depth} steps, none broken"),
            Seen::TooMany { states } => format!("{states} states, and more"),
        }
    }
}

struct Found<M: Model> {
    /// State from which it was reached, and how.
    from: Option<(usize, M::Step)>,
    depth: usize,
}

/// A state, and from which other it was reached by which step.
type Reached<M> = (<M as Model>::State, Option<(usize, <M as Model>::Step)>);

/// Looks at up to `most` states.
pub fn explore<M: Model>(model: &M, most: usize) -> Seen<M::Step> {
    let mut number: HashMap<M::State, usize> = HashMap::new();
    let mut found: Vec<Found<M>> = Vec::new();
    let mut open: VecDeque<(usize, M::State)> = VecDeque::new();
    let mut first: Vec<Reached<M>> = model.start().into_iter().map(|s| (s, None)).collect();
    loop {
        for (state, from) in first.drain(..) {
            let state = model.fold(state);
            if number.contains_key(&state) {
                continue;
            }
            let depth = from.as_ref().map_or(0, |(n, _)| found[*n].depth + 1);
            found.push(Found { from, depth });
            let n = found.len() - 1;
            if let Some(what) = model.broken(&state) {
                return Seen::Broken {
                    what,
                    story: story(&found, n),
                    states: found.len(),
                };
            }
            if found.len() >= most {
                return Seen::TooMany { states: most };
            }
            number.insert(state.clone(), n);
            open.push_back((n, state));
        }
        let Some((n, state)) = open.pop_front() else {
            return Seen::All {
                states: found.len(),
                depth: found.last().map_or(0, |f| f.depth),
            };
        };
        let next = model.steps(&state).into_iter();
        first.extend(next.map(|(step, s)| (s, Some((n, step)))));
    }
}

fn story<M: Model>(found: &[Found<M>], mut n: usize) -> Vec<M::Step> {
    let mut steps = Vec::new();
    while let Some((from, step)) = &found[n].from {
        steps.push(step.clone());
        n = *from;
    }
    steps.reverse();
    steps
}

#[cfg(test)]
mod tests;
