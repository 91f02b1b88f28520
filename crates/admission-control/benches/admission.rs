//! Benchmarks of a push and a pop with 10, 100 and 10,000 lanes, and of the refusal of one submission.

use admission_control::lanes::FairQueue;
use admission_control::refusal::Refusals;
use criterion::{Criterion, criterion_group, criterion_main};

fn admission(criterion: &mut Criterion) {
    for lanes in [10u32, 100, 10_000] {
        let mut queue: FairQueue<u32, u32, u32> = FairQueue::new(50_000);
        for number in 0..40_000 {
            queue.push(number % lanes / 10, 1.0, number % 10, 0, number);
        }
        let mut number = 0;
        criterion.bench_function(&format!("push and pop, {lanes} lanes"), |bencher| {
            bencher.iter(|| {
                number += 1;
                queue.push(number % lanes / 10, 1.0, number % 10, number as u64, number);
                queue.pop()
            })
        });
    }
    let mut refusals = Refusals::new(8_192);
    let mut number = 0;
    criterion.bench_function("a refusal", |bencher| {
        bencher.iter(|| {
            number += 1;
            let id = format!("req-{number:06}");
            let first = refusals.first_attempt(&id, number);
            refusals.record(&id, first, number);
            refusals.retry_after(&id, 50, 20.0, number)
        })
    });
}

criterion_group!(benches, admission);
criterion_main!(benches);
