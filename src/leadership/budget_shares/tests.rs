//! Tests.

use super::*;

#[test]
fn shares_stay_below_the_limits_when_all_hear_the_same() {
    for peers in 0..5 {
        for heard in 0..=peers {
            let leader = Share::of(peers, heard, true, true);
            let follower = Share::of(peers, heard, false, true);
            let followers = heard as f64;
            assert!(leader.changes + followers * follower.changes <= ALL.changes + 1e-9);
            assert!(leader.requests + followers * follower.requests <= ALL.requests + 1e-9);
            let orphan = Share::of(peers, heard, false, false);
            assert!(orphan.changes * (followers + 1.0) <= ALL.changes + 1e-9);
        }
    }
    // One that is left alone uses nearly all there is.
    assert!(Share::of(2, 0, true, true).changes > 0.97);
}
