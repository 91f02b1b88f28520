//! Tests of the reachability of agents.

use super::*;

const fn at(seconds: u64) -> Micros {
    Micros::millis(seconds * 1000)
}

#[test]
fn heartbeats_alone_do_not_prove_that_an_agent_is_reachable() {
    let mut agent = AgentReachability::default();
    agent.on_direct_heartbeat(at(1));
    assert!(agent.is_reachable());
    // Its lease has expired although we answered its heartbeats.
    agent.on_new_epoch(at(12));
    agent.on_direct_heartbeat(at(13));
    agent.on_direct_heartbeat(at(15));
    assert_eq!(
        (agent.is_reachable(), agent.suspected_since()),
        (false, Some(at(12)))
    );
    agent.on_commands_answered(at(16));
    assert_eq!(
        (agent.is_reachable(), agent.suspected_since()),
        (true, None)
    );
}

#[test]
fn unanswered_commands_count_only_against_an_agent_that_goes_on_reporting() {
    let mut agent = AgentReachability::default();
    agent.on_direct_heartbeat(at(1));
    agent.on_commands_unanswered(at(4));
    // No direct heartbeat since: the agent may be down, or it may be partitioned from this controller alone and send
    // its heartbeats through peers.
    assert!(agent.is_reachable());
    agent.on_direct_heartbeat(at(6));
    assert_eq!(agent.suspected_since(), Some(at(6)));
    agent.on_commands_unanswered(at(9));
    assert_eq!(agent.suspected_since(), Some(at(6)));
    agent.on_commands_answered(at(10));
    assert!(agent.is_reachable());
}
