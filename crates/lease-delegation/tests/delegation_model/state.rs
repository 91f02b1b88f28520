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

/// The exchange in which B asks A.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct RequestOfB {
    pub sent: Time,
    pub response: Option<Response>,
}

/// The exchange in which A asks B.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct RequestOfA {
    pub sent: Time,
    /// The store does not serve A.
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
    /// Its last answer to the agent; since then it cannot reach the agent.
    pub answered_at: Time,
    /// When it told the client of the cancellation.
    pub confirmed_at: Option<Time>,
    pub crashed: bool,
    /// It has concluded that the agent's lease has expired.
    pub considers_expired: bool,
}

/// The peer of A.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct ControllerB {
    pub incarnation: u64,
    pub coverage: PeerCoverage,
    pub grantee: LeaseGrantee,
    /// The run of A that last responded.
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
    /// When B last asked A, and A last asked B: once a tick is as often as they do.
    pub b_last_sent_at: Time,
    pub a_last_sent_at: Time,
    /// When the agent's lease was last renewed.
    pub renewed_at: Time,
    /// The agent's lease has expired.
    pub expired: bool,
}

impl ControllerA {
    /// The newest revision that A knows: its first leadership was at 1, a cancellation is at 2, a later leadership at 3.
    pub fn newest_revision(&self) -> u64 {
        let later_term = self.leadership.is_some_and(|leader| !leader.first_term);
        1 + u64::from(self.confirmed_at.is_some()) + if later_term { 2 } else { 0 }
    }

    pub fn is_served(&self) -> bool {
        self.store_reachable && self.has_records
    }
}
