//! Tests.

use super::*;

const fn ms(t: u64) -> Micros {
    Micros::millis(t)
}

/// Looks every 100 ms from one time to another.
fn pass(r: &mut Connectivity, from: u64, to: u64) {
    (from..=to).step_by(100).for_each(|t| r.look(ms(t)));
}

#[test]
fn users_are_sent_away_by_whoever_is_alone_and_not_again_and_again() {
    let mut r = Connectivity::new(ms(0), true);
    pass(&mut r, 0, 4_900);
    assert!(!r.sends_users_away());
    pass(&mut r, 5_000, 5_200);
    assert!(r.sends_users_away());
    r.peer(ms(5_200));
    pass(&mut r, 5_300, 6_000);
    assert!(!r.sends_users_away());
    // The second time takes twice as long.
    pass(&mut r, 6_100, 15_100);
    assert!(!r.sends_users_away());
    pass(&mut r, 15_200, 15_400);
    assert!(r.sends_users_away());
}

#[test]
fn who_stood_still_judges_nobody_by_it() {
    let mut r = Connectivity::new(ms(0), true);
    pass(&mut r, 0, 1_000);
    r.look(ms(31_000));
    assert!(!r.sends_users_away() && !r.alone(ms(31_000)));
}

#[test]
fn workers_are_sent_on_once_and_only_while_the_zone_is_open() {
    let mut r = Connectivity::new(ms(0), true);
    pass(&mut r, 0, 8_000);
    assert!(!r.sends_on("n-1", ms(8_000)), "the zone may be cut off");
    r.elsewhere(ms(8_000));
    assert!(r.sends_on("n-1", ms(8_000)));
    assert!(!r.sends_on("n-1", ms(11_000)), "it found nobody else");
    r.store(ms(12_000));
    assert!(!r.sends_on("n-2", ms(13_000)));
    let mut tight = Connectivity::new(ms(0), false);
    pass(&mut tight, 0, 8_000);
    tight.elsewhere(ms(8_000));
    assert!(!tight.sends_on("n-1", ms(8_000)));
}
