//! Tests of the fair queue.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

type Queue = Lanes<&'static str, u32, u64>;

fn served(q: &mut Queue, n: usize) -> BTreeMap<(&'static str, u32), usize> {
    let mut got = BTreeMap::new();
    for _ in 0..n {
        if let Some((k, c, _, _)) = q.pop() {
            *got.entry((k, c)).or_default() += 1;
        }
    }
    got
}

#[test]
fn teams_take_turns_by_weight_and_classes_evenly() {
    let mut q = Queue::new(10_000);
    for n in 0..1_000 {
        q.push("red", 2.0, 1, n, n);
        q.push("red", 2.0, 2, n, n);
        q.push("blue", 1.0, 1, n, n);
    }
    let got = served(&mut q, 600);
    assert_eq!(got[&("blue", 1)], 200);
    assert_eq!((got[&("red", 1)], got[&("red", 2)]), (200, 200));
}

/// One lane floods a full queue; another brings an entry now and then.
#[test]
fn a_lane_that_asks_for_little_is_never_refused_for_one_that_floods() {
    let mut q = Queue::new(50);
    let mut refused = 0;
    for n in 0..2_000 {
        match q.push("red", 1.0, 1, n, n) {
            Taken::Refused(_) => refused += 1,
            Taken::Instead(..) => panic!("nobody else may have to go for the flood"),
            Taken::Waits(_) => {}
        }
        if n % 100 == 0 {
            let taken = q.push("red", 1.0, 2, n, n);
            assert!(!matches!(taken, Taken::Refused(_)), "at {n}");
        }
        if n % 20 == 0 {
            q.pop();
        }
    }
    assert!(refused > 1_500 && q.len() == 50, "{refused} {}", q.len());
    assert!(q.waiting(&"red", &2) <= 1, "it is served in its turn");
}

#[test]
fn within_a_lane_whoever_tried_first_goes_first_and_stays_when_it_is_full() {
    let mut q = Queue::new(3);
    for first in [30, 20, 10] {
        q.push("red", 1.0, 1, first, first);
    }
    assert!(matches!(q.push("red", 1.0, 1, 40, 40), Taken::Refused(40)));
    // One that was refused before, and comes again, takes the place of the last.
    assert!(matches!(q.push("red", 1.0, 1, 5, 5), Taken::Instead(_, 30)));
    let order: Vec<u64> = std::iter::from_fn(|| q.pop().map(|(.., e)| e)).collect();
    assert_eq!(order, [5, 10, 20]);
}

/// Whatever happens, what is counted is what waits, and nothing is kept of lanes long gone.
#[test]
fn counts_hold_and_nothing_grows_with_the_days() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut q: Lanes<u32, u32, u64> = Lanes::new(40);
        let mut held: Vec<(u32, u32, Ticket)> = Vec::new();
        for n in 0..2_000u64 {
            let (k, c) = (rng.random_range(0..60), rng.random_range(0..60));
            match rng.random_range(0..4) {
                0 | 1 => match q.push(k, 1.0, c, rng.random_range(0..n + 1), n) {
                    Taken::Waits(t) => held.push((k, c, t)),
                    Taken::Instead(t, _) => held.push((k, c, t)),
                    Taken::Refused(_) => {}
                },
                2 if !held.is_empty() => {
                    let (k, c, t) = held.swap_remove(rng.random_range(0..held.len()));
                    q.remove(&k, &c, t);
                }
                _ => _ = q.pop(),
            }
            let lanes = || q.teams.values().flat_map(|t| t.lanes.values());
            let counted: usize = lanes().map(|l| l.waiting.len()).sum();
            let busy = lanes().filter(|l| !l.waiting.is_empty()).count();
            assert_eq!(busy, q.busy(), "seed {seed}");
            assert_eq!((counted, q.len() <= 40), (q.len(), true), "seed {seed}");
            let lanes: usize = q.teams.values().map(|t| t.lanes.len()).sum();
            assert!(lanes <= 40 * 18 + 16 && q.teams.len() <= 2 * 40 + 16);
        }
        while q.pop().is_some() {}
        assert!(q.is_empty() && q.turns.len() == 0 && q.loads.is_empty());
    }
}
