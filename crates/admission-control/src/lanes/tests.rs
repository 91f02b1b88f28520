//! Tests of the fair queue.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

type Queue = FairQueue<&'static str, u32, u64>;

/// Pops entries; returns the number of popped entries per lane.
fn pop_counts(queue: &mut Queue, entries: usize) -> BTreeMap<(&'static str, u32), usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..entries {
        if let Some((team, class, _, _)) = queue.pop() {
            *counts.entry((team, class)).or_default() += 1;
        }
    }
    counts
}

#[test]
fn teams_take_turns_by_weight_and_classes_evenly() {
    let mut queue = Queue::new(10_000);
    for n in 0..1_000 {
        queue.push("red", 2.0, 1, n, n);
        queue.push("red", 2.0, 2, n, n);
        queue.push("blue", 1.0, 1, n, n);
    }
    let counts = pop_counts(&mut queue, 600);
    assert_eq!(counts[&("blue", 1)], 200);
    assert_eq!((counts[&("red", 1)], counts[&("red", 2)]), (200, 200));
}

/// One lane floods a full queue, and another gets an entry now and then.
#[test]
fn entries_of_a_short_lane_are_not_refused_because_of_a_flooded_lane() {
    let mut queue = Queue::new(50);
    let mut refused = 0;
    for n in 0..2_000 {
        match queue.push("red", 1.0, 1, n, n) {
            PushOutcome::Rejected(_) => refused += 1,
            PushOutcome::Evicted(..) => {
                panic!("an entry of the flooded lane evicted another entry")
            }
            PushOutcome::Queued(_) => {}
        }
        if n % 100 == 0 {
            let outcome = queue.push("red", 1.0, 2, n, n);
            assert!(
                !matches!(outcome, PushOutcome::Rejected(_)),
                "entry {n} of the short lane was rejected"
            );
        }
        if n % 20 == 0 {
            queue.pop();
        }
    }
    assert!(
        refused > 1_500 && queue.len() == 50,
        "{refused} refused, expected more than 1,500; {} queued, expected 50",
        queue.len()
    );
    assert!(
        queue.lane_len(&"red", &2) <= 1,
        "{} entries of the short lane are queued, expected at most 1",
        queue.lane_len(&"red", &2)
    );
}

#[test]
fn within_a_lane_the_earliest_first_attempt_is_served_first_and_never_evicted() {
    let mut queue = Queue::new(3);
    for first in [30, 20, 10] {
        queue.push("red", 1.0, 1, first, first);
    }
    assert!(matches!(
        queue.push("red", 1.0, 1, 40, 40),
        PushOutcome::Rejected(40)
    ));
    // An entry with an earlier first attempt evicts the last entry.
    assert!(matches!(
        queue.push("red", 1.0, 1, 5, 5),
        PushOutcome::Evicted(_, 30)
    ));
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop().map(|(.., entry)| entry)).collect();
    assert_eq!(order, [5, 10, 20]);
}

/// After a random sequence of operations all counts are exact and the number of empty lanes is bounded.
#[test]
fn counts_stay_exact_and_empty_lanes_are_removed() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut queue: FairQueue<u32, u32, u64> = FairQueue::new(40);
        let mut queued: Vec<(u32, u32, Ticket)> = Vec::new();
        for n in 0..2_000u64 {
            let (team, class) = (rng.random_range(0..60), rng.random_range(0..60));
            match rng.random_range(0..4) {
                0 | 1 => match queue.push(team, 1.0, class, rng.random_range(0..n + 1), n) {
                    PushOutcome::Queued(ticket) => queued.push((team, class, ticket)),
                    PushOutcome::Evicted(ticket, _) => queued.push((team, class, ticket)),
                    PushOutcome::Rejected(_) => {}
                },
                2 if !queued.is_empty() => {
                    let index = rng.random_range(0..queued.len());
                    let (team, class, ticket) = queued.swap_remove(index);
                    queue.remove(&team, &class, ticket);
                }
                _ => _ = queue.pop(),
            }
            let lanes = || queue.teams.values().flat_map(|team| team.lanes.values());
            let counted_entries: usize = lanes().map(|lane| lane.entries.len()).sum();
            let non_empty_lanes = lanes().filter(|lane| !lane.entries.is_empty()).count();
            assert_eq!(non_empty_lanes, queue.non_empty_lanes(), "seed {seed}");
            assert_eq!(
                (counted_entries, queue.len() <= 40),
                (queue.len(), true),
                "seed {seed}"
            );
            let lanes: usize = queue.teams.values().map(|team| team.lanes.len()).sum();
            assert!(lanes <= 40 * 18 + 16 && queue.teams.len() <= 2 * 40 + 16);
        }
        while queue.pop().is_some() {}
        assert!(queue.is_empty() && queue.turn_order.len() == 0 && queue.teams_by_load.is_empty());
    }
}
