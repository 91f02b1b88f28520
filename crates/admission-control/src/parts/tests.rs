//! Tests of budget shares.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RULES: Rules = Rules {
    whole: 90_000,
    life: 10_000_000,
    apart: 50_000,
};

const NOBODY: Asked = Asked {
    amount: 0.0,
    weight: 1.0,
};

fn want(holder: &str, amount: Milli) -> Want {
    Want {
        holder: holder.into(),
        amount,
        weight: 1.0,
        seen: 0,
    }
}

#[test]
fn what_one_does_not_want_goes_to_the_others_once_it_cannot_be_in_use_any_more() {
    let a = Grant::default().next(
        0,
        NOBODY,
        &[want("a", 80_000), want("b", 80_000), want("c", 0)],
        &RULES,
    );
    assert_eq!(a.part("a", 1, &RULES), 45_000);
    let wants = [want("a", 0), want("b", 80_000), want("c", 80_000)];
    let b = a.next(1_000_000, NOBODY, &wants, &RULES);
    // What a may still be using is nobody's.
    assert_eq!(b.part("b", 1_000_001, &RULES), 45_000);
    assert_eq!(b.part("c", 1_000_001, &RULES), 0);
    let c = b.next(10_000_001, NOBODY, &wants, &RULES);
    assert_eq!(c.part("c", 10_000_002, &RULES), 0, "clocks may be apart");
    let d = c.next(11_100_000, NOBODY, &wants, &RULES);
    assert_eq!(d.part("c", 11_100_001, &RULES), 45_000);
    // A holder that tells that it has seen a newer grant frees what the older one allowed.
    let told = Want {
        seen: 2,
        ..want("a", 0)
    };
    let wants = [told, want("b", 80_000), want("c", 80_000)];
    let e = b.next(2_000_000, NOBODY, &wants, &RULES);
    assert_eq!(e.part("c", 2_000_001, &RULES), 45_000);
    // A holder that hears nothing stops by itself.
    assert_eq!(d.part("c", 21_050_000, &RULES), 0);
}

/// Holders see any grant, late, never, and forget it; clocks are apart; givers change. At no instant
/// is more in use than there is.
#[test]
fn parts_never_add_up_to_more_than_the_whole() {
    let holders = ["a", "b", "c", "d"];
    let mut full = 0;
    for seed in 0..600 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let off: Vec<i64> = (0..5).map(|_| rng.random_range(-25_000..25_000)).collect();
        let wall = |now: u64, who: usize| (now as i64 + off[who]) as u64;
        let mut newest = Grant::default();
        let mut seen: Vec<Grant> = vec![Grant::default(); 4];
        let mut now = 1_000_000;
        for _ in 0..200 {
            now += rng.random_range(0..2_000_000);
            match rng.random_range(0..3) {
                0 => {
                    let amount = |rng: &mut ChaCha8Rng| rng.random_range(0..60) * 1_000;
                    let some = rng.random_range(1..5);
                    let wants = holders.iter().take(some);
                    let wants: Vec<Want> = wants.map(|h| want(h, amount(&mut rng))).collect();
                    newest = newest.next(wall(now, 4), NOBODY, &wants, &RULES);
                }
                1 => seen[rng.random_range(0..4)] = newest.clone(),
                _ => {}
            }
            let used = |(i, h): (usize, &&str)| seen[i].part(h, wall(now, i), &RULES);
            let sum: Milli = holders.iter().enumerate().map(used).sum();
            assert!(sum <= RULES.whole, "seed {seed}: {sum}");
            full += usize::from(sum * 10 > RULES.whole * 8);
        }
    }
    assert!(full > 1_000, "most of it was in use {full} times");
}
