//! What a submission costs at 10, 100 and 10,000 pairs of team and class: in, and out in its turn.

use admission_control::lanes::Lanes;
use admission_control::refusal::Refusals;
use criterion::{Criterion, criterion_group, criterion_main};

fn lanes(c: &mut Criterion) {
    for pairs in [10u32, 100, 10_000] {
        let mut q: Lanes<u32, u32, u32> = Lanes::new(50_000);
        for n in 0..40_000 {
            q.push(n % pairs / 10, 1.0, n % 10, 0, n);
        }
        let mut n = 0;
        c.bench_function(&format!("in and out, {pairs} pairs"), |b| {
            b.iter(|| {
                n += 1;
                q.push(n % pairs / 10, 1.0, n % 10, n as u64, n);
                q.pop()
            })
        });
    }
    let mut r = Refusals::new(8_192);
    let mut n = 0;
    c.bench_function("a refusal", |b| {
        b.iter(|| {
            n += 1;
            let id = format!("req-{n:06}");
            let first = r.first(&id, n);
            r.refuse(&id, first, n);
            r.retry_after(&id, 50, 20.0, n)
        })
    });
}

criterion_group!(benches, lanes);
criterion_main!(benches);
