//! Expiry of agents' leases as the leader computes it.

use walnuttrestle::agents::leader_state::LeaderState;
use walnuttrestle::protocol::agent_api::AgentHeartbeat;
use walnuttrestle::protocol::codec::to_value;
use walnuttrestle::protocol::key_value_api::{ItemPage, WatchResponse};
use walnuttrestle::protocol::records::{RenewalsRecord, renewals_key};
use walnuttrestle::protocol::{Clock, Micros, Settings};
use walnuttrestle::state::agent::Agent;
use walnuttrestle::state::record_cache::RecordCache;

const MACHINE: &str = "n-1";

fn at(milliseconds: u64) -> Micros {
    Micros::millis(100_000 + milliseconds)
}

fn settings() -> Settings {
    let example = include_str!("../examples/settings.toml");
    Settings::parse("examples/settings.toml", example).expect("the example is valid")
}

fn heartbeat(agent_epoch: u64, seq: u64) -> AgentHeartbeat {
    AgentHeartbeat {
        machine: MACHINE.into(),
        address: "127.0.0.1:9".into(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch,
        seq,
        term: 1,
        notice_s: None,
        tasks: Vec::new(),
    }
}

fn new_leader() -> LeaderState {
    let clock = Clock {
        now: at(0),
        wall: at(0),
    };
    LeaderState::new(1, 1, clock)
}

/// A leader that has answered the first heartbeat of an agent at `at(0)`.
fn leader_with_agent() -> LeaderState {
    let mut leader = new_leader();
    let mut agent = Agent::new(&heartbeat(1, 1));
    agent.update(&heartbeat(1, 1), at(0));
    agent.last_answered_at = Some(at(0));
    leader.agents.insert(MACHINE.into(), agent);
    leader
}

/// Checks the leases at `now`; returns whether the epoch of the agent has ended.
fn epoch_ends(leader: &mut LeaderState, cache: &RecordCache, now: Micros) -> bool {
    leader.expire_leases(&settings(), cache, Micros::ZERO, now);
    leader.agents.values().all(Agent::epoch_ended)
}

/// After a partition, the answer to a direct command may be the first message with an agent's new epoch. The leader's
/// last heartbeat response went to the previous epoch, more than a lease ago. This must not expire the new epoch.
#[test]
fn epoch_learned_from_a_command_answer_has_its_own_lease() {
    let lease = Micros::secs(settings().params.agents.lease_s);
    let mut leader = leader_with_agent();
    let cache = RecordCache::default();
    let new_epoch_seen_at = at(400) + lease;
    if let Some(agent) = leader.agents.get_mut(MACHINE) {
        agent.update(&heartbeat(2, 2), new_epoch_seen_at);
    }
    let first_check = new_epoch_seen_at + Micros::millis(1);
    leader.on_confirmed_read(first_check);
    assert!(
        !epoch_ends(&mut leader, &cache, first_check),
        "the new epoch expired with the lease of the previous one"
    );
    let second_check = new_epoch_seen_at + lease.scale(1.1) + Micros::millis(400);
    leader.on_confirmed_read(second_check);
    assert!(
        epoch_ends(&mut leader, &cache, second_check),
        "the new epoch did not expire after its own lease"
    );
}

/// Guards against leases being ended by records that were read before the lease was over (review/3), or that were read at
/// different times: a follower may have recorded in between that it renews the lease.
#[test]
fn lease_ends_only_after_a_later_read_of_the_records() {
    let lease = Micros::secs(settings().params.agents.lease_s);
    let over = at(400) + lease.scale(1.1);
    let check = |minute: u64| over + Micros::millis(minute * 60_000);
    let mut leader = leader_with_agent();
    let mut cache = RecordCache::default();
    assert!(
        !epoch_ends(&mut leader, &cache, check(0)),
        "nothing was read"
    );
    leader.on_confirmed_read(at(0) + lease.scale(0.9));
    assert!(
        !epoch_ends(&mut leader, &cache, check(1)),
        "the records were read before the lease was over"
    );
    cache.apply_listing_page(ItemPage {
        items: Vec::new(),
        has_more: false,
        revision: 7,
    });
    leader.on_confirmed_read(over);
    assert!(
        !epoch_ends(&mut leader, &cache, check(2)),
        "the pages of a listing are of different revisions"
    );
    cache.apply_watch_response(WatchResponse {
        revision: 8,
        events: Vec::new(),
    });
    assert!(
        epoch_ends(&mut leader, &cache, check(3)),
        "the records were read after the lease was over"
    );
}

/// Guards against a lease that never ends because a follower recorded under an earlier term of this leader that it renews
/// the lease (review/4): the record counts no longer, and nobody clears it.
#[test]
fn renewals_recorded_under_an_earlier_term_defer_no_lease() {
    let params = settings().params.agents;
    let lease_over = at(400) + Micros::secs(params.lease_s).scale(1.1);
    let mut leader = leader_with_agent();
    let mut cache = RecordCache::default();
    let record = RenewalsRecord::new(leader.term, [MACHINE.to_string()].iter());
    cache.put(&renewals_key("kernel-1", 0), to_value(&record), 5);
    leader.on_confirmed_read(lease_over);
    assert!(
        !epoch_ends(&mut leader, &cache, lease_over),
        "a follower renews the lease"
    );
    leader.begin_term(leader.term + 1, lease_over);
    let renewals_over = lease_over + Micros::secs(params.cancel_s).scale(1.1);
    leader.on_confirmed_read(renewals_over);
    assert!(
        epoch_ends(&mut leader, &cache, renewals_over),
        "all renewals under the earlier term are over"
    );
}

/// Guards against machines that nobody checks any more: no agent is in contact, so no lease check is due, and a raised term
/// starts the wait for their leases again.
#[test]
fn leases_of_unknown_agents_are_checked_after_the_term_was_raised() {
    let cancel = Micros::secs(settings().params.agents.cancel_s).scale(1.1);
    let cache = RecordCache::default();
    let mut leader = new_leader();
    let raised_at = at(400) + cancel;
    leader.on_confirmed_read(raised_at);
    leader.expire_leases(&settings(), &cache, Micros::ZERO, raised_at);
    assert!(leader.unseen_agent_leases_expired);
    leader.begin_term(leader.term + 1, raised_at);
    assert!(!leader.unseen_agent_leases_expired);
    let renewals_over = raised_at + cancel;
    let next_check = leader.expire_leases(&settings(), &cache, Micros::ZERO, raised_at);
    assert!(next_check <= renewals_over, "next check at {next_check:?}");
    leader.on_confirmed_read(renewals_over);
    leader.expire_leases(&settings(), &cache, Micros::ZERO, renewals_over);
    assert!(leader.unseen_agent_leases_expired);
}

/// Guards against machines that never reported to this leader being taken for lost by records that were read too early.
#[test]
fn leases_of_unknown_agents_end_only_after_a_later_read_of_the_records() {
    let cancel = Micros::secs(settings().params.agents.cancel_s);
    let over = at(400) + cancel.scale(1.1);
    let cache = RecordCache::default();
    let mut leader = new_leader();
    leader.on_confirmed_read(at(0) + cancel.scale(0.9));
    leader.expire_leases(&settings(), &cache, Micros::ZERO, over);
    assert!(!leader.unseen_agent_leases_expired);
    leader.on_confirmed_read(over);
    leader.expire_leases(&settings(), &cache, Micros::ZERO, over + Micros::millis(1));
    assert!(leader.unseen_agent_leases_expired);
}
