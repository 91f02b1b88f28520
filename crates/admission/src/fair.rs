//! Weighted max-min shares: nobody gets more than they ask for, and nobody who gets less than they ask
//! for gets less, by weight, than anybody else.

/// What one party asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Asked {
    /// How much, in the unit of the whole.
    pub amount: f64,
    /// How much it counts, above zero.
    pub weight: f64,
}

/// Shares of `whole`, in the order of `asked`. What one does not use goes to the others.
pub fn shares(whole: f64, asked: &[Asked]) -> Vec<f64> {
    // Whoever asks for least by weight is served first; the level of the water rises from there.
    let mut order: Vec<usize> = (0..asked.len()).collect();
    let level = |a: &Asked| a.amount.max(0.0) / weight(a);
    order.sort_by(|a, b| level(&asked[*a]).total_cmp(&level(&asked[*b])));
    let mut left = whole.max(0.0);
    let mut weights: f64 = asked.iter().map(weight).sum();
    let mut shares = vec![0.0; asked.len()];
    for i in order {
        let a = &asked[i];
        let even = left * weight(a) / weights;
        shares[i] = a.amount.max(0.0).min(even);
        left = (left - shares[i]).max(0.0);
        weights -= weight(a);
    }
    shares
}

fn weight(a: &Asked) -> f64 {
    a.weight.max(1e-9)
}

#[cfg(test)]
mod tests {
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
}
