//! The state of the model: two controllers, an agent, and the messages in flight.

use lease_delegation::Time;
use lease_delegation::lease_grantee::LeaseGrantee;
use lease_delegation::lease_grantor::LeaseGrantor;
use lease_delegation::peer_coverage::PeerCoverage;
use lease_delegation::silence_pledges::SilencePledges;

/// A response to a heartbeat.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Response {
    pub incarnation: u64,
    pub grants: bool,
    pub pledges_silence: bool,
    pub newest_revision: Option<u64>,
    pub time_since_use: Option<Time>,
}

/// The heartbeat of B to A that is in flight.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct RequestOfB {
    pub sent: Time,
    pub response: Option<Response>,
}

/// The heartbeat of A to B that is in flight.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct RequestOfA {
    pub sent: Time,
    /// Whether the store does not serve A, as reported in the heartbeat.
    pub unserved: bool,
    pub response: Option<Response>,
}

/// A's leadership.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Leadership {
    pub since: Time,
    pub first_term: bool,
}

/// The controller that leads at the start.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct ControllerA {
    pub store_reachable: bool,
    pub incarnation: u64,
    pub has_records: bool,
    pub leadership: Option<Leadership>,
    pub grantor: LeaseGrantor,
    pub pledges: SilencePledges,
    /// When it last answered a heartbeat of the agent. It has been unable to reach the agent since then.
    pub answered_at: Time,
    /// When it confirmed the cancellation to the client.
    pub confirmed_at: Option<Time>,
    pub crashed: bool,
    /// Whether it has concluded that the agent's lease has expired.
    pub considers_expired: bool,
}

/// The peer of A.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct ControllerB {
    pub incarnation: u64,
    pub coverage: PeerCoverage,
    pub grantee: LeaseGrantee,
    /// The incarnation of A that last responded.
    pub observed_incarnation: u64,
}

/// The whole model at one moment.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct State {
    pub now: Time,
    /// How often the store may still become reachable or unreachable for A.
    pub store_changes_left: u8,
    pub a: ControllerA,
    pub b: ControllerB,
    pub request_of_b: Option<RequestOfB>,
    pub request_of_a: Option<RequestOfA>,
    /// When B last sent a heartbeat to A, and A to B. Each sends at most one per tick.
    pub b_last_sent_at: Time,
    pub a_last_sent_at: Time,
    /// When the agent's lease was last renewed.
    pub renewed_at: Time,
    /// Whether the agent's lease has expired.
    pub expired: bool,
}

impl ControllerA {
    /// The newest revision in A's records. The first leadership has revision 1, a cancellation 2, and a later
    /// leadership 3.
    pub fn newest_revision(&self) -> u64 {
        let later_term = self.leadership.is_some_and(|leader| !leader.first_term);
        1 + u64::from(self.confirmed_at.is_some()) + if later_term { 2 } else { 0 }
    }

    pub fn is_served(&self) -> bool {
        self.store_reachable && self.has_records
    }
}
