//! Tests of budget shares.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PARAMS: GrantParams = GrantParams {
    total: 90_000,
    lifetime: 10_000_000,
    clock_margin: 50_000,
};

/// A grantor that demands nothing.
const NO_DEMAND: Demand = Demand {
    amount: 0.0,
    weight: 1.0,
};

fn request(holder: &str, amount: Thousandths) -> ShareRequest {
    ShareRequest {
        holder: holder.into(),
        amount,
        weight: 1.0,
        acknowledged_epoch: 0,
    }
}

#[test]
fn an_unused_share_is_granted_to_others_once_it_cannot_be_in_use() {
    let first = Grant::default().next(
        0,
        NO_DEMAND,
        &[request("a", 80_000), request("b", 80_000), request("c", 0)],
        &PARAMS,
    );
    assert_eq!(first.usable_amount("a", 1, &PARAMS), 45_000);
    let requests = [request("a", 0), request("b", 80_000), request("c", 80_000)];
    let second = first.next(1_000_000, NO_DEMAND, &requests, &PARAMS);
    // The amount that "a" may still be using is not granted to "c".
    assert_eq!(second.usable_amount("b", 1_000_001, &PARAMS), 45_000);
    assert_eq!(second.usable_amount("c", 1_000_001, &PARAMS), 0);
    let third = second.next(10_000_001, NO_DEMAND, &requests, &PARAMS);
    assert_eq!(
        third.usable_amount("c", 10_000_002, &PARAMS),
        0,
        "the share of \"a\" may be in use for the clock margin after its expiry"
    );
    let fourth = third.next(11_100_000, NO_DEMAND, &requests, &PARAMS);
    assert_eq!(fourth.usable_amount("c", 11_100_001, &PARAMS), 45_000);
    // When a holder acknowledges a newer grant, its share of the earlier one becomes free.
    let acknowledged = ShareRequest {
        acknowledged_epoch: 2,
        ..request("a", 0)
    };
    let requests = [acknowledged, request("b", 80_000), request("c", 80_000)];
    let acknowledged = second.next(2_000_000, NO_DEMAND, &requests, &PARAMS);
    assert_eq!(acknowledged.usable_amount("c", 2_000_001, &PARAMS), 45_000);
    // Without a further grant, a holder stops using its share.
    assert_eq!(fourth.usable_amount("c", 21_050_000, &PARAMS), 0);
}

/// Holders read grants late or never, and clocks differ. The sum of the shares in use never exceeds the total.
#[test]
fn shares_in_use_never_exceed_the_total() {
    let holders = ["a", "b", "c", "d"];
    let mut almost_full = 0;
    for seed in 0..600 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let clock_offsets: Vec<i64> = (0..5).map(|_| rng.random_range(-25_000..25_000)).collect();
        let wall_time = |now: u64, clock: usize| (now as i64 + clock_offsets[clock]) as u64;
        let mut newest = Grant::default();
        let mut seen_grants: Vec<Grant> = vec![Grant::default(); 4];
        let mut now = 1_000_000;
        for _ in 0..200 {
            now += rng.random_range(0..2_000_000);
            match rng.random_range(0..3) {
                0 => {
                    let amount = |rng: &mut ChaCha8Rng| rng.random_range(0..60) * 1_000;
                    let request_count = rng.random_range(1..5);
                    let requests = holders.iter().take(request_count);
                    let requests: Vec<ShareRequest> = requests
                        .map(|holder| request(holder, amount(&mut rng)))
                        .collect();
                    newest = newest.next(wall_time(now, 4), NO_DEMAND, &requests, &PARAMS);
                }
                1 => seen_grants[rng.random_range(0..4)] = newest.clone(),
                _ => {}
            }
            let used = |(index, holder): (usize, &&str)| {
                seen_grants[index].usable_amount(holder, wall_time(now, index), &PARAMS)
            };
            let sum: Thousandths = holders.iter().enumerate().map(used).sum();
            assert!(
                sum <= PARAMS.total,
                "seed {seed}: {sum} in use, expected at most {}",
                PARAMS.total
            );
            almost_full += usize::from(sum * 10 > PARAMS.total * 8);
        }
    }
    assert!(
        almost_full > 1_000,
        "more than 80 % of the total was in use only {almost_full} times, expected more than 1,000"
    );
}
