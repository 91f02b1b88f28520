//! Tests of the model checker on the water jug puzzle.

use super::*;

/// Two buckets, of three and of five litres, that can be filled, emptied, and poured into each other.
struct Buckets {
    /// Number of litres that the large bucket must never hold.
    forbidden: u32,
}

impl Model for Buckets {
    type State = (u32, u32);
    type Step = &'static str;

    fn initial_states(&self) -> Vec<(u32, u32)> {
        vec![(0, 0)]
    }

    fn steps(&self, &(small, large): &(u32, u32)) -> Vec<(&'static str, (u32, u32))> {
        let to_large = small.min(5 - large);
        let to_small = large.min(3 - small);
        vec![
            ("fill three", (3, large)),
            ("fill five", (small, 5)),
            ("empty three", (0, large)),
            ("empty five", (small, 0)),
            ("three into five", (small - to_large, large + to_large)),
            ("five into three", (small + to_small, large - to_small)),
        ]
    }

    fn violation(&self, &(_, large): &(u32, u32)) -> Option<String> {
        (large == self.forbidden).then(|| format!("{large} litres"))
    }
}

#[test]
fn the_path_to_a_violation_is_a_shortest_one() {
    let result = explore(&Buckets { forbidden: 4 }, 1_000);
    let CheckResult::Violation { path, .. } = &result else {
        panic!("expected a violation: {}", result.describe());
    };
    assert_eq!(path.len(), 6);
    assert!(
        result.describe().ends_with("4 litres"),
        "{}",
        result.describe()
    );
}

#[test]
fn every_state_is_visited_once_unless_the_limit_is_reached() {
    let result = explore(&Buckets { forbidden: 9 }, 1_000);
    assert_eq!(
        result,
        CheckResult::Verified {
            states: 16,
            depth: 7
        }
    );
    assert_eq!(
        explore(&Buckets { forbidden: 9 }, 10),
        CheckResult::LimitReached { states: 10 }
    );
}

#[test]
fn removals_without_a_violation_are_returned() {
    let undetected = undetected_removals(&[4, 9], 1_000, |forbidden| Buckets { forbidden });
    assert_eq!(undetected, [9]);
}
