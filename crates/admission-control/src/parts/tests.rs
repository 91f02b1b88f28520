//! Tests of budget shares.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RULES: Rules = Rules {
    whole: 90_000,
    life: 10_000_000,
    apart: 50_000,
};

/// A grantor that demands nothing.
const NO_DEMAND: Demand = Demand {
    amount: 0.0,
    weight: 1.0,
};

fn want(holder: &str, amount: Thousandths) -> ShareRequest {
    ShareRequest {
        holder: holder.into(),
        amount,
        weight: 1.0,
        seen: 0,
    }
}

#[test]
fn an_unused_share_goes_to_others_once_it_cannot_be_in_use() {
    let first = Grant::default().next(
        0,
        NO_DEMAND,
        &[want("a", 80_000), want("b", 80_000), want("c", 0)],
        &RULES,
    );
    assert_eq!(first.part("a", 1, &RULES), 45_000);
    let wants = [want("a", 0), want("b", 80_000), want("c", 80_000)];
    let second = first.next(1_000_000, NO_DEMAND, &wants, &RULES);
    // What "a" may still be using is not given to "c".
    assert_eq!(second.part("b", 1_000_001, &RULES), 45_000);
    assert_eq!(second.part("c", 1_000_001, &RULES), 0);
    let third = second.next(10_000_001, NO_DEMAND, &wants, &RULES);
    assert_eq!(
        third.part("c", 10_000_002, &RULES),
        0,
        "clocks may be apart"
    );
    let fourth = third.next(11_100_000, NO_DEMAND, &wants, &RULES);
    assert_eq!(fourth.part("c", 11_100_001, &RULES), 45_000);
    // A holder that acknowledges a newer grant frees what the earlier one allowed.
    let acknowledged = ShareRequest {
        seen: 2,
        ..want("a", 0)
    };
    let wants = [acknowledged, want("b", 80_000), want("c", 80_000)];
    let acknowledged = second.next(2_000_000, NO_DEMAND, &wants, &RULES);
    assert_eq!(acknowledged.part("c", 2_000_001, &RULES), 45_000);
    // A holder that sees no further grant stops by itself.
    assert_eq!(fourth.part("c", 21_050_000, &RULES), 0);
}

/// Holders see grants late or never, and lose them; clocks differ. At no moment do the shares in use exceed the total.
#[test]
fn shares_in_use_never_exceed_the_total() {
    let holders = ["a", "b", "c", "d"];
    let mut almost_full = 0;
    for seed in 0..600 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let clock_offsets: Vec<i64> = (0..5).map(|_| rng.random_range(-25_000..25_000)).collect();
        let wall = |now: u64, clock: usize| (now as i64 + clock_offsets[clock]) as u64;
        let mut newest = Grant::default();
        let mut seen: Vec<Grant> = vec![Grant::default(); 4];
        let mut now = 1_000_000;
        for _ in 0..200 {
            now += rng.random_range(0..2_000_000);
            match rng.random_range(0..3) {
                0 => {
                    let amount = |rng: &mut ChaCha8Rng| rng.random_range(0..60) * 1_000;
                    let requests = rng.random_range(1..5);
                    let wants = holders.iter().take(requests);
                    let wants: Vec<ShareRequest> =
                        wants.map(|holder| want(holder, amount(&mut rng))).collect();
                    newest = newest.next(wall(now, 4), NO_DEMAND, &wants, &RULES);
                }
                1 => seen[rng.random_range(0..4)] = newest.clone(),
                _ => {}
            }
            let used = |(index, holder): (usize, &&str)| {
                seen[index].part(holder, wall(now, index), &RULES)
            };
            let sum: Thousandths = holders.iter().enumerate().map(used).sum();
            assert!(sum <= RULES.whole, "seed {seed}: {sum}");
            almost_full += usize::from(sum * 10 > RULES.whole * 8);
        }
    }
    assert!(almost_full > 1_000, "only {almost_full} times");
}
