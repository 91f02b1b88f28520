//! Tests of the fixed shares.

use super::*;

fn share(peers: usize, heard: usize, leads: bool, leader_heard: bool) -> Share {
    Share::of(Membership {
        peers,
        heard,
        leads,
        leader_heard,
    })
}

#[test]
fn shares_stay_below_the_limits_when_all_hear_the_same() {
    for peers in 0..5 {
        for heard in 0..=peers {
            let leader = share(peers, heard, true, true);
            let follower = share(peers, heard, false, true);
            let followers = heard as f64;
            assert!(leader.writes + followers * follower.writes <= TOTAL_SHARE.writes + 1e-9);
            assert!(leader.requests + followers * follower.requests <= TOTAL_SHARE.requests + 1e-9);
            let without_leader = share(peers, heard, false, false);
            assert!(without_leader.writes * (followers + 1.0) <= TOTAL_SHARE.writes + 1e-9);
        }
    }
    // A controller that hears no peer uses nearly the whole budget.
    assert!(share(2, 0, true, true).writes > 0.97);
}
