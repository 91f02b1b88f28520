//! Tests of the fixed budget shares.

use super::*;

fn share(
    peer_count: usize,
    reachable_peers: usize,
    is_leader: bool,
    leader_reachable: bool,
) -> Share {
    Share::of(ClusterView {
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
            let writes = leader.writes + followers * follower.writes;
            assert!(
                writes <= TOTAL_SHARE.writes + 1e-9,
                "peers: {peer_count}, reachable: {reachable_peers}: write shares add up to {writes}, expected at \
                 most {}",
                TOTAL_SHARE.writes
            );
            let requests = leader.requests + followers * follower.requests;
            assert!(
                requests <= TOTAL_SHARE.requests + 1e-9,
                "peers: {peer_count}, reachable: {reachable_peers}: request shares add up to {requests}, expected at \
                 most {}",
                TOTAL_SHARE.requests
            );
            let without_leader = share(peer_count, reachable_peers, false, false);
            let writes = without_leader.writes * (followers + 1.0);
            assert!(
                writes <= TOTAL_SHARE.writes + 1e-9,
                "peers: {peer_count}, reachable: {reachable_peers}: write shares without a leader add up to \
                 {writes}, expected at most {}",
                TOTAL_SHARE.writes
            );
        }
    }
    // A leader that reaches no peer uses nearly the whole budget.
    let writes = share(2, 0, true, true).writes;
    assert!(
        writes > 0.97,
        "write share of a leader that reaches no peer is {writes}, expected above 0.97"
    );
}
