//! Weighted max-min fair shares of a scarce amount.
//!
//! No share exceeds its demand, and a share that falls short of its demand is, divided by its weight, at least as
//! large as any other.

/// Smallest weight that is used in a division.
const MIN_WEIGHT: f64 = 1e-9;

/// Demand of one party.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Demanded amount, in the unit of the total. A negative amount counts as 0.
    pub amount: f64,
    /// Weight of the party, above 0.
    pub weight: f64,
}

impl Demand {
    fn amount(&self) -> f64 {
        self.amount.max(0.0)
    }

    fn weight(&self) -> f64 {
        self.weight.max(MIN_WEIGHT)
    }

    fn amount_per_weight(&self) -> f64 {
        self.amount() / self.weight()
    }
}

/// Divides `total` among the demands and returns the shares in the same order.
pub fn fair_shares(total: f64, demands: &[Demand]) -> Vec<f64> {
    // The smallest demands by weight are served first. The unused rest of their even shares goes to the others.
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let amount_per_weight = |index: &usize| demands[*index].amount_per_weight();
    order.sort_by(|first, second| amount_per_weight(first).total_cmp(&amount_per_weight(second)));
    let mut remaining = total.max(0.0);
    let mut remaining_weight: f64 = demands.iter().map(Demand::weight).sum();
    let mut shares = vec![0.0; demands.len()];
    for index in order {
        let demand = &demands[index];
        let even_share = remaining * demand.weight() / remaining_weight;
        shares[index] = demand.amount().min(even_share);
        remaining = (remaining - shares[index]).max(0.0);
        remaining_weight -= demand.weight();
    }
    shares
}

#[cfg(test)]
mod tests;
