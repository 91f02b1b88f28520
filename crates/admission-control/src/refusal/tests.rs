//! Tests of the table of refusals.

use super::*;

#[test]
fn the_first_attempt_is_remembered_until_the_client_gives_up() {
    let mut refusals = Refusals::new(1_000);
    let first = refusals.first_attempt("req-1", 5 * SECOND);
    assert_eq!(first, 5 * SECOND);
    refusals.record("req-1", first, 5 * SECOND);
    assert_eq!(refusals.first_attempt("req-1", 20 * SECOND), 5 * SECOND);
    assert_eq!(refusals.first_attempt("req-2", 20 * SECOND), 20 * SECOND);
    assert_eq!(refusals.first_attempt("req-1", 80 * SECOND), 80 * SECOND);
}

#[test]
fn the_table_never_grows_and_remembers_the_earliest_attempts() {
    let mut refusals = Refusals::new(4_096);
    let bucket_count = refusals.buckets.len();
    for number in 0..300 {
        refusals.record(&format!("req-{number}"), SECOND, SECOND);
    }
    for number in 0..1_000_000u64 {
        refusals.record(&format!("req-{}", 1_000 + number), 2 * SECOND, 3 * SECOND);
    }
    assert_eq!(refusals.buckets.len(), bucket_count);
    let is_remembered =
        |number: &u32| refusals.first_attempt(&format!("req-{number}"), 9 * SECOND) == SECOND;
    let remembered = (0..300).filter(is_remembered).count();
    assert!(
        remembered > 290,
        "{remembered} of the 300 earliest attempts are remembered, expected more than 290"
    );
}

#[test]
fn retries_are_spread_over_time() {
    let refusals = Refusals::new(16);
    let mut retries = [0usize; 20];
    for number in 0..10_000 {
        let second = refusals.retry_after(&format!("req-{number}"), 100, 10.0, 0);
        retries[second as usize] += 1;
    }
    // The delay is 10 s plus or minus half, and no second gets a fifth of the retries or more.
    assert!(
        retries[..5].iter().sum::<usize>() == 0,
        "retries before 5 s: {retries:?}"
    );
    assert!(
        retries[16..].iter().sum::<usize>() == 0,
        "retries after 15 s: {retries:?}"
    );
    assert!(
        retries.iter().all(|count| *count < 2_000),
        "2,000 retries or more in one second: {retries:?}"
    );
    assert_eq!(refusals.retry_after("req-1", 0, 10.0, 0), 1);
    assert!(refusals.retry_after("req-1", 1_000_000, 0.1, 0) <= 18);
}
