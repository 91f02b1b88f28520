//! Tests of max-min fair shares.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Checks the definition of max-min fairness: no share exceeds its demand, the total is used up unless all demands are
/// met, and a share that falls short of its demand is, by weight, at least as large as any other.
#[test]
fn shares_are_max_min() {
    for seed in 0..3_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let demands: Vec<Demand> = (0..rng.random_range(1..9))
            .map(|_| Demand {
                amount: rng.random_range(0.0..50.0),
                weight: rng.random_range(0.1..5.0),
            })
            .collect();
        let total = rng.random_range(0.0..120.0);
        let shares = fair_shares(total, &demands);
        let sum: f64 = shares.iter().sum();
        let demanded: f64 = demands.iter().map(|demand| demand.amount).sum();
        assert!(
            (sum - total.min(demanded)).abs() < 1e-6,
            "seed {seed}: shares sum to {sum}, expected the smaller of {total} and {demanded}"
        );
        for (demand, share) in demands.iter().zip(&shares) {
            assert!(
                *share <= demand.amount + 1e-9,
                "seed {seed}: share {share} exceeds {demand:?}"
            );
            if *share < demand.amount - 1e-6 {
                let own_share_per_weight = share / demand.weight;
                let mut others = demands
                    .iter()
                    .zip(&shares)
                    .map(|(other, share)| share / other.weight);
                assert!(
                    others.all(|other| other <= own_share_per_weight + 1e-6),
                    "seed {seed}"
                );
            }
        }
    }
}
