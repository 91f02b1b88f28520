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
mod tests;
