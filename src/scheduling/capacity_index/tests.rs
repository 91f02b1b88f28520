//! Tests.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

fn fleet(rng: &mut ChaCha8Rng) -> Vec<Host> {
    let n = rng.random_range(1..60);
    let host = |_| {
        let kind = rng.random_range(0..2);
        let total = [[64.0, 8.0, 256.0], [24.0, 0.0, 10.0]][kind as usize];
        Host {
            kind,
            zone: rng.random_range(10..12),
            spot: rng.random_bool(0.3),
            agent_epoch: 1,
            total,
            free: total.map(|t| (t * rng.random_range(0.0..1.05)).round()),
            open: rng.random_bool(0.8),
            images: Arc::default(),
            leaving: [0.0; 3],
            reserved: rng.random_bool(0.1).then(|| "req-9".into()),
        }
    };
    (0..n).map(host).collect()
}

#[test]
fn what_is_found_is_what_a_look_at_every_machine_finds() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut plain = fleet(&mut rng);
        let mut rooms = CapacityIndex::new(plain.clone());
        let allow = PlacementConstraints {
            kinds: rng.random_bool(0.3).then(|| vec![0]),
            zone: rng.random_bool(0.3).then_some(10),
            spot: rng.random_bool(0.5),
        };
        for step in 0..30 {
            let need: Resources = [
                rng.random_range(0.0..30.0),
                [0.0, 1.0, 8.0][rng.random_range(0..3)],
                rng.random_range(0..90) as f64,
            ];
            for id in ["", "req-9"] {
                let fits = |h: &Host| {
                    h.open
                        && slots(&h.free, &need) > 0
                        && h.reserved.as_deref().is_none_or(|r| r == id)
                        && allow.takes(h.kind, h.zone, h.spot)
                };
                let all: Vec<usize> = (0..plain.len()).filter(|i| fits(&plain[*i])).collect();
                let mut found = rooms.candidates(id, &need, &allow);
                found.sort_unstable();
                assert_eq!(found, all, "seed {seed}, step {step}");
                if id.is_empty() {
                    let n = rng.random_range(1..40);
                    let some = rooms.enough(&need, &allow, n);
                    let room = |l: &[usize]| -> u32 {
                        l.iter().map(|h| slots(&plain[*h].free, &need)).sum()
                    };
                    assert!(room(&some) >= n.min(room(&all)), "seed {seed}");
                    assert!(some.iter().all(|h| all.contains(h)), "seed {seed}");
                    assert_eq!(rooms.any(&need, &allow), !all.is_empty(), "seed {seed}");
                }
                if let Some(h) = all.first() {
                    plain[*h].take(&need);
                    rooms.take(*h, &need);
                }
            }
            if rng.random_bool(0.1) {
                let h = rng.random_range(0..plain.len());
                plain[h].reserved = Some("req-9".into());
                rooms.reserve(h, "req-9");
            }
        }
    }
}

#[test]
fn more_of_the_same_looks_in_vain_as_well() {
    let mut v = InfeasibleRequests::default();
    v.add(&[4.0, 1.0, 8.0], 2);
    assert!(v.covers(&[4.0, 1.0, 8.0], 2) && v.covers(&[5.0, 1.0, 9.0], 7));
    assert!(!v.covers(&[4.0, 1.0, 8.0], 1) && !v.covers(&[3.0, 2.0, 8.0], 2));
    // A smaller one takes the place of those that it covers.
    v.add(&[1.0, 1.0, 1.0], 1);
    assert_eq!(v.0.len(), 1);
    v.clear();
    assert!(!v.covers(&[9.0; 3], 9));
}
