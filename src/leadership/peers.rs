//! Heartbeats between controllers, and what this controller derives from them.
//!
//! A heartbeat and its response carry leadership, cancellations, budget demand and format versions. Two questions
//! about clients decide whether leases may be renewed without the store (see `crates/lease-delegation`):
//!
//! - *Coverage*: until when does this controller know of everything that its peers have told clients?
//! - *Silence pledge*: until when does a controller that the store does not serve promise its peers to tell
//!   clients of no cancellation that the peers may not know?

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

/// How long a silence pledge is kept unless its holder acknowledges its end earlier.
const PLEDGE_DURATION: Micros = Micros::millis(15_000);
/// How long a peer relies on a silence pledge: a little less, to allow for clock drift.
const PLEDGE_RELIANCE_DURATION: Micros = Micros::millis(14_900);

/// State that a peer reported with its last heartbeat or response.
pub(crate) struct PeerStatus {
    /// When it was last heard.
    pub(crate) last_contact: Micros,
    /// Start of the current period without a silence of `LEADER_SILENCE_LIMIT` or more.
    pub(crate) reachable_since: Micros,
    /// How long it had not heard the leader, in milliseconds; none: it never heard the leader.
    pub(crate) leader_silent_ms: Option<u64>,
    /// It has read the records, and the store serves it.
    pub(crate) store_available: bool,
    /// Its record format, if older than the recorded one: its software was rolled back.
    pub(crate) downgraded_format: Option<u32>,
    /// The part of the write budget that it requests, in thousandths of changes per second.
    pub(crate) requested_writes: u64,
}

impl PeerStatus {
    /// Whether the peer was heard within the time that a leader may be silent.
    pub(crate) fn is_reachable(&self, now: Micros) -> bool {
        now.since(self.last_contact) < LEADER_SILENCE_LIMIT
    }
}

/// Heartbeats to one peer.
#[derive(Clone)]
struct PeerLink {
    /// A heartbeat is pending.
    in_flight: bool,
    /// The last heartbeat said that the store does not serve this controller.
    announced_store_unavailable: bool,
    /// The process that last responded.
    last_incarnation: Option<ObservedIncarnation>,
}

/// A run of a peer's process that has responded to a heartbeat.
#[derive(Clone, Copy)]
struct ObservedIncarnation {
    /// Identifier of the incarnation.
    incarnation: u64,
    /// When the heartbeat was sent.
    request_sent_at: Micros,
}

/// A summary of the records that a peer has sent before this controller could read them.
pub(crate) struct ReceivedSummary {
    summary: RecordSummary,
    /// Since when the leader named in the summary is known.
    leader_observed_since: Micros,
}

/// The last sign of a leading controller.
struct LeaderContact {
    node: String,
    at: Micros,
}

/// What peers have reported, and what this controller has promised to them.
pub struct Peers {
    next_heartbeat_at: Micros,
    /// Heartbeats per peer, in the order of the settings.
    links: Vec<PeerLink>,
    /// Per peer: until when its answers to clients are known to be covered by our cache.
    coverage: PeerCoverage,
    /// Silence pledges given to peers.
    pub(crate) silence_pledges: SilencePledges,
    /// The grant to renew leases that the leader has given to this controller.
    pub(crate) renewal_grant: LeaseGrantee,
    /// A peer's summary of the records; only until this controller has read the records.
    pub(crate) record_summary: Option<ReceivedSummary>,
    /// Cancellations known to this controller, for peers that ask for them.
    cancellation_log: CancellationLog,
    /// Cancellations reported by peers that the cache may not show yet.
    pub(crate) reported_cancellations: ReportedCancellations,
    /// A peer whose last batch of cancellations was incomplete: it is asked for the rest at once.
    incomplete_log_peer: Option<usize>,
    last_leader_contact: Option<LeaderContact>,
    /// Last reported state per peer name.
    pub(crate) status: BTreeMap<String, PeerStatus>,
}

impl Peers {
    /// The state of a controller that has not heard any of its peers yet.
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

    /// Time until which all answers to clients and all leadership changes are known, by a confirmed read of the
    /// store or by the reports of all peers.
    pub(crate) fn client_answers_covered_until(&self) -> Micros {
        let by_peers = self
            .peers
            .coverage
            .all_covered_until()
            .map_or(Micros::ZERO, Micros);
        self.confirmed_read_at.max(by_peers)
    }
}
