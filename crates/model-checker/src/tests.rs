//! Tests of the model checker on a puzzle of two buckets.

use super::*;

/// Two buckets of three and five litres, filled, emptied and poured into one another.
struct Buckets {
    never: u32,
}

impl Model for Buckets {
    type State = (u32, u32);
    type Step = &'static str;

    fn start(&self) -> Vec<(u32, u32)> {
        vec![(0, 0)]
    }

    fn steps(&self, &(a, b): &(u32, u32)) -> Vec<(&'static str, (u32, u32))> {
        let ab = a.min(5 - b);
        let ba = b.min(3 - a);
        vec![
            ("fill three", (3, b)),
            ("fill five", (a, 5)),
            ("empty three", (0, b)),
            ("empty five", (a, 0)),
            ("three into five", (a - ab, b + ab)),
            ("five into three", (a + ba, b - ba)),
        ]
    }

    fn broken(&self, &(_, b): &(u32, u32)) -> Option<String> {
        (b == self.never).then(|| format!("{b} litres"))
    }
}

#[test]
fn the_story_of_a_broken_state_is_a_shortest_one() {
    let seen = explore(&Buckets { never: 4 }, 1_000);
    let Seen::Broken { story, .. } = &seen else {
        panic!("{}", seen.story());
    };
    assert_eq!(story.len(), 6);
    assert!(seen.story().ends_with("4 litres"), "{}", seen.story());
}

#[test]
fn all_states_are_looked_at_once_or_it_is_said_that_they_were_not() {
    let all = explore(&Buckets { never: 9 }, 1_000);
    assert_eq!(
        all,
        Seen::All {
            states: 16,
            depth: 7
        }
    );
    assert_eq!(
        explore(&Buckets { never: 9 }, 10),
        Seen::TooMany { states: 10 }
    );
}
