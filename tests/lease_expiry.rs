//! Expiry of agents' leases as the leader computes it.

use walnuttrestle::agents::leader_state::LeaderState;
use walnuttrestle::protocol::Clock;
use walnuttrestle::protocol::agent_api::AgentHeartbeat;
use walnuttrestle::protocol::{Micros, Settings};
use walnuttrestle::state::agent::Agent;
use walnuttrestle::state::record_cache::RecordCache;

/// After a partition, the answer to a direct command may be the first message with an agent's new epoch. The leader's
/// last heartbeat response went to the previous epoch, more than a lease ago. This must not expire the new epoch.
#[test]
fn epoch_learned_from_a_command_answer_has_its_own_lease() {
    let example = include_str!("../examples/settings.toml");
    let settings =
        Settings::parse("examples/settings.toml", example).expect("the example is valid");
    let lease = Micros::secs(settings.params.agents.lease_s);
    let at = |ms: u64| Micros::millis(100_000 + ms);
    let clock = Clock {
        now: at(0),
        wall: at(0),
    };
    let heartbeat = |agent_epoch: u64, seq: u64| AgentHeartbeat {
        machine: "n-1".into(),
        address: "127.0.0.1:9".into(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch,
        seq,
        term: 1,
        notice_s: None,
        tasks: Vec::new(),
    };
    let mut leader = LeaderState::new(1, 1, clock);
    let mut agent = Agent::new(&heartbeat(1, 1));
    agent.update(&heartbeat(1, 1), at(0));
    agent.last_answered_at = Some(at(0));
    leader.agents.insert("n-1".into(), agent);
    let new_epoch_seen_at = at(0) + lease + Micros::millis(400);
    if let Some(agent) = leader.agents.get_mut("n-1") {
        agent.update(&heartbeat(2, 2), new_epoch_seen_at);
    }
    let cache = RecordCache::default();
    leader.expire_leases(
        &settings,
        &cache,
        Micros::ZERO,
        new_epoch_seen_at + Micros::millis(1),
    );
    assert!(
        leader.agents.values().all(|agent| !agent.epoch_ended()),
        "the new epoch expired with the lease of the previous one"
    );
    leader.expire_leases(
        &settings,
        &cache,
        Micros::ZERO,
        new_epoch_seen_at + lease.scale(1.1) + Micros::millis(400),
    );
    assert!(
        leader.agents.values().all(Agent::epoch_ended),
        "the new epoch did not expire after its own lease"
    );
}
