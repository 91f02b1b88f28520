//! Tests of the fixed shares.

use super::*;

fn share(
    peer_count: usize,
    reachable_peers: usize,
    is_leader: bool,
    leader_reachable: bool,
) -> Share {
    Share::of(Membership {
        peer_count,
        reachable_peers,
        is_leader,
        leader_reachable,
    })
}

#[test]
fn shares_stay_below_the_limits_when_all_controllers_reach_the_same_peers() {
    for peer_count in 0..5 {
        for reachable_peers in 0..=peer_count {
            let leader = share(peer_count, reachable_peers, true, true);
            let follower = share(peer_count, reachable_peers, false, true);
            let followers = reachable_peers as f64;
            assert!(leader.writes + followers * follower.writes <= TOTAL_SHARE.writes + 1e-9);
            assert!(leader.requests + followers * follower.requests <= TOTAL_SHARE.requests + 1e-9);
            let without_leader = share(peer_count, reachable_peers, false, false);
            assert!(without_leader.writes * (followers + 1.0) <= TOTAL_SHARE.writes + 1e-9);
        }
    }
    // A controller that hears no peer uses nearly the whole budget.
    assert!(share(2, 0, true, true).writes > 0.97);
}
