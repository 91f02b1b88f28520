//! Heartbeats between controllers, and the state that this controller derives from them.
//!
//! A heartbeat and its response carry leadership, cancellations, budget demand and format versions. Whether leases may
//! be renewed without the store depends on two points in time (see `crates/lease-delegation`):
//!
//! - *Coverage* is the time up to which this controller has every cancellation that its peers have reported to clients,
//!   and every leadership change.
//! - A *silence pledge* is a promise that a controller without access to the store gives to a peer: until the pledge
//!   ends, it reports to clients no cancellation that the peer may not have received.

mod cancellation_exchange;
mod heartbeat_receiver;
mod heartbeat_sender;
mod leader_liveness;
mod record_summaries;

pub use cancellation_exchange::recorded_or_reported_cancelled;

use crate::controller::Controller;
use crate::leadership::election::LEADER_SILENCE_LIMIT;
use crate::policy::Policy;
use crate::protocol::Micros;
use crate::protocol::peer_messages::RecordSummary;
use lease_delegation::cancellations::{CancellationLog, ReportedCancellations};
use lease_delegation::lease_grantee::LeaseGrantee;
use lease_delegation::peer_coverage::PeerCoverage;
use lease_delegation::silence_pledges::SilencePledges;
use std::collections::BTreeMap;

/// How long this controller keeps a silence pledge, unless the peer acknowledges its end earlier.
const PLEDGE_DURATION: Micros = Micros::millis(15_000);
/// How long a peer relies on a silence pledge: less than `PLEDGE_DURATION`, to allow for clock drift.
const PLEDGE_RELIANCE_DURATION: Micros = Micros::millis(14_900);

/// State that a peer reported in its last heartbeat or response.
pub(crate) struct PeerStatus {
    /// When its last heartbeat or response was received.
    pub(crate) last_contact: Micros,
    /// Since when it has been reachable without a gap of `LEADER_SILENCE_LIMIT` or more.
    pub(crate) reachable_since: Micros,
    /// Milliseconds since its last contact with the leader at the time of its report; `None` if it has had none.
    pub(crate) leader_silent_ms: Option<u64>,
    /// Whether it has read the records and the store is available to it.
    pub(crate) store_available: bool,
    /// Its record format, if older than the recorded one: its software was rolled back.
    pub(crate) downgraded_format: Option<u32>,
    /// Write rate that it requests beyond its fixed share, in thousandths of a write per second.
    pub(crate) requested_writes: u64,
}

impl PeerStatus {
    /// Whether the last contact with the peer was less than `LEADER_SILENCE_LIMIT` ago.
    pub(crate) fn is_reachable(&self, now: Micros) -> bool {
        now.since(self.last_contact) < LEADER_SILENCE_LIMIT
    }
}

/// State of the heartbeats to one peer.
#[derive(Clone)]
struct PeerLink {
    /// Whether a heartbeat waits for its response.
    in_flight: bool,
    /// Whether the last heartbeat announced that the store is unavailable to this controller.
    announced_store_unavailable: bool,
    /// The incarnation that last responded.
    last_incarnation: Option<ObservedIncarnation>,
}

/// An incarnation of a peer that has responded to a heartbeat.
#[derive(Clone, Copy)]
struct ObservedIncarnation {
    /// Identifier of the incarnation.
    incarnation: u64,
    /// When that heartbeat was sent.
    request_sent_at: Micros,
}

/// A summary of the records, received from a peer before this controller has read the records.
pub(crate) struct ReceivedSummary {
    summary: RecordSummary,
    /// When this controller first received a summary with this leader.
    leader_observed_since: Micros,
}

/// The last heartbeat or response of a controller that reported itself as leader.
struct LeaderContact {
    node: String,
    at: Micros,
}

/// State that peers have reported, and pledges between this controller and its peers.
pub struct Peers {
    next_heartbeat_at: Micros,
    /// State of the heartbeats per peer, in the order of the settings.
    links: Vec<PeerLink>,
    /// Per peer, the time up to which this controller has every cancellation that the peer has reported to clients.
    coverage: PeerCoverage,
    /// Silence pledges that this controller has given to peers.
    pub(crate) silence_pledges: SilencePledges,
    /// The grant to renew leases that the leader has given to this controller.
    pub(crate) renewal_grant: LeaseGrantee,
    /// A peer's summary of the records; used only until this controller has read the records.
    pub(crate) record_summary: Option<ReceivedSummary>,
    /// Log of the cancellations that this controller has read or received, from which batches are sent to peers.
    cancellation_log: CancellationLog,
    /// Cancellations reported by peers, which the cache may not contain yet.
    pub(crate) reported_cancellations: ReportedCancellations,
    /// A peer whose last batch of cancellations was incomplete; the next batch is requested at once.
    incomplete_log_peer: Option<usize>,
    last_leader_contact: Option<LeaderContact>,
    /// Last reported state per peer name.
    pub(crate) status: BTreeMap<String, PeerStatus>,
}

impl Peers {
    /// The state of a controller that has had no contact with its peers yet.
    pub fn new(peer_count: usize, policy: &Policy, now: Micros) -> Peers {
        let if_enabled = |duration: Micros| {
            if silence_pledges_enabled(policy) {
                duration.0
            } else {
                0
            }
        };
        let link = PeerLink {
            in_flight: false,
            announced_store_unavailable: true,
            last_incarnation: None,
        };
        Peers {
            next_heartbeat_at: now,
            links: vec![link; peer_count],
            coverage: PeerCoverage::new(peer_count, if_enabled(PLEDGE_RELIANCE_DURATION)),
            silence_pledges: SilencePledges::new(peer_count, if_enabled(PLEDGE_DURATION), now.0),
            renewal_grant: LeaseGrantee::default(),
            record_summary: None,
            cancellation_log: CancellationLog::default(),
            reported_cancellations: ReportedCancellations::new(peer_count),
            incomplete_log_peer: None,
            last_leader_contact: None,
            status: BTreeMap::new(),
        }
    }
}

/// Whether the policy lets this controller give silence pledges.
fn silence_pledges_enabled(policy: &Policy) -> bool {
    policy.pledges >= 1.0
}

impl Controller {
    /// Index of the peer with this name in the settings.
    fn peer_index(&self, node: &str) -> Option<usize> {
        self.settings
            .peers
            .iter()
            .position(|peer| peer.node == node)
    }

    /// Time up to which this controller has every cancellation reported to clients and every leadership change, by a
    /// confirmed read of the store or by the reports of all peers.
    pub(crate) fn client_responses_covered_until(&self) -> Micros {
        let covered_by_peers_until = self
            .peers
            .coverage
            .all_covered_until()
            .map_or(Micros::ZERO, Micros);
        self.confirmed_read_at.max(covered_by_peers_until)
    }
}
