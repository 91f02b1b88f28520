//! Tests.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What the design says, word by word: each task goes to the best of all machines.
fn scan(
    hosts: &[Host],
    shape: &TaskRequirements,
    ratio: f64,
    fits: impl Fn(usize, &Host) -> bool,
) -> Option<usize> {
    let all = hosts.iter().enumerate();
    all.filter(|(i, h)| may_take(h, "j", &shape.need, &shape.allow) && fits(*i, h))
        .map(|(i, h)| rank(i, h, shape, ratio))
        .max()
        .map(|r| r.host)
}

#[test]
fn the_picker_chooses_as_a_scan_for_each_task_would() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let total = [64.0, 8.0, 256.0];
        let mut hosts: Vec<Host> = (0..rng.random_range(1..40))
            .map(|_| Host {
                kind: rng.random_range(0..2),
                zone: rng.random_range(10..12),
                spot: rng.random_bool(0.3),
                agent_epoch: 1,
                total,
                free: [64.0, rng.random_range(0..9) as f64, 256.0],
                open: rng.random_bool(0.9),
                images: Arc::new((20..24).filter(|_| rng.random_bool(0.4)).collect()),
                leaving: [0.0; 3],
                reserved: rng.random_bool(0.1).then(|| "other".into()),
            })
            .collect();
        let shape = TaskRequirements {
            need: [rng.random_range(1..20) as f64, 1.0, 10.0],
            allow: Arc::new(PlacementConstraints {
                kinds: rng.random_bool(0.3).then(|| vec![1]),
                zone: rng.random_bool(0.2).then_some(10),
                spot: rng.random_bool(0.5),
            }),
            saves: rng.random_bool(0.5),
            image: 21,
            avoid: Vec::new(),
        };
        let ratio = rng.random_range(0.0..1.0);
        let apart = rng.random_bool(0.5);
        let most = rng.random_range(1..20);
        let has: Vec<bool> = hosts.iter().map(|_| rng.random_bool(0.2)).collect();
        let mut plain = hosts.clone();
        let mut on = has.clone();
        let mut zones = [0; 32];
        let mut expected = Vec::new();
        for _ in 0..30 {
            let zone = |h: &Host| zones[h.zone as usize] < most;
            let found = scan(&plain, &shape, ratio, |i, h| zone(h) && !(apart && on[i]))
                .or_else(|| scan(&plain, &shape, ratio, |_, h| zone(h)));
            let Some(h) = found else { break };
            plain[h].take(&shape.need);
            plain[h].gets(shape.image);
            on[h] = true;
            zones[plain[h].zone as usize] += 1;
            expected.push(h);
        }
        let mut picker = HostPicker::new(&hosts, 0..hosts.len(), "j", &shape, ratio, apart, |i| {
            has[i]
        });
        let mut zones = [0; 32];
        let mut got = Vec::new();
        for _ in 0..30 {
            let Some(h) = picker.next(&hosts, |z| zones[z as usize] < most) else {
                break;
            };
            hosts[h].take(&shape.need);
            hosts[h].gets(shape.image);
            zones[hosts[h].zone as usize] += 1;
            picker.taken(&hosts, h);
            got.push(h);
        }
        assert_eq!(got, expected, "seed {seed}");
    }
}
