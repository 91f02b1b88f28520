//! Tests of the table of refusals.

use super::*;

#[test]
fn whoever_was_refused_is_known_when_it_comes_back_and_forgotten_after_its_user_gave_up() {
    let mut r = Refusals::new(1_000);
    let first = r.first("req-1", 5 * SECOND);
    assert_eq!(first, 5 * SECOND);
    r.refuse("req-1", first, 5 * SECOND);
    assert_eq!(r.first("req-1", 20 * SECOND), 5 * SECOND);
    assert_eq!(r.first("req-2", 20 * SECOND), 20 * SECOND);
    assert_eq!(r.first("req-1", 80 * SECOND), 80 * SECOND);
}

#[test]
fn a_million_refused_cost_no_memory_and_the_oldest_are_remembered() {
    let mut r = Refusals::new(4_096);
    let before = r.buckets.len();
    for n in 0..300 {
        r.refuse(&format!("req-{n}"), SECOND, SECOND);
    }
    for n in 0..1_000_000u64 {
        r.refuse(&format!("req-{}", 1_000 + n), 2 * SECOND, 3 * SECOND);
    }
    assert_eq!(r.buckets.len(), before);
    let known = |n: &u32| r.first(&format!("req-{n}"), 9 * SECOND) == SECOND;
    assert!((0..300).filter(known).count() > 290);
}

#[test]
fn the_refused_come_back_spread_and_in_time() {
    let r = Refusals::new(16);
    let mut at = [0usize; 20];
    for n in 0..10_000 {
        at[r.retry_after(&format!("req-{n}"), 100, 10.0, 0) as usize] += 1;
    }
    // Ten seconds, give or take half: no second gets more than a fifth of them.
    assert!(at[..5].iter().sum::<usize>() == 0 && at[16..].iter().sum::<usize>() == 0);
    assert!(at.iter().all(|n| *n < 2_000), "{at:?}");
    assert_eq!(r.retry_after("req-1", 0, 10.0, 0), 1);
    assert!(r.retry_after("req-1", 1_000_000, 0.1, 0) <= 18);
}
