//! Tests of max-min fair shares.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What max-min means, asserted on its own terms: nobody over, nothing left while somebody wants,
/// and nobody short has less by weight than another has.
#[test]
fn shares_are_max_min() {
    for seed in 0..3_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let asked: Vec<Asked> = (0..rng.random_range(1..9))
            .map(|_| Asked {
                amount: rng.random_range(0.0..50.0),
                weight: rng.random_range(0.1..5.0),
            })
            .collect();
        let whole = rng.random_range(0.0..120.0);
        let got = shares(whole, &asked);
        let sum: f64 = got.iter().sum();
        let wanted: f64 = asked.iter().map(|a| a.amount).sum();
        assert!((sum - whole.min(wanted)).abs() < 1e-6, "seed {seed}");
        for (i, a) in asked.iter().enumerate() {
            assert!(got[i] <= a.amount + 1e-9);
            if got[i] < a.amount - 1e-6 {
                let ours = got[i] / a.weight;
                let others = asked.iter().zip(&got).map(|(b, g)| g / b.weight);
                assert!(others.into_iter().all(|o| o <= ours + 1e-6), "seed {seed}");
            }
        }
    }
}
