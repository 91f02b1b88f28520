//! A controller: the event loop that dispatches network events to the components.
//!
//! [`Controller::handle`] takes a batch of events and returns commands for the network and the time of the next call.
//! It does no I/O, reads no clock, and draws randomness only from its seeded generator, so that runs can be replayed.

mod leader_lease;
mod leadership_steps;
mod outgoing;
mod record_sync;
mod record_writes;
pub mod routing;
pub mod runtime;
mod store_responses;
mod timers;

pub(crate) use outgoing::default_retry_after;

use crate::agents::leader_state::LeaderState;
use crate::api::client_api::ClientApi;
use crate::api::read_barrier::ReadBarrier;
use crate::api::request_scheduler::{RequestScheduler, ScheduledRequest};
use crate::controller::leader_lease::LeaderLease;
use crate::controller::leadership_steps::{ObservedLeaderRecord, TransferredLeadership};
use crate::controller::record_sync::RecordSync;
use crate::controller::record_writes::RecordKind;
use crate::controller::routing::HttpRequest;
use crate::controller::timers::StoreProbe;
use crate::leadership::budget_shares::BudgetShares;
use crate::leadership::connectivity::Connectivity;
use crate::leadership::delegated_renewal::DelegatedRenewals;
use crate::leadership::election::{ElectionState, lease_outlasts_two_failures};
use crate::leadership::peers::Peers;
use crate::messages::{PendingCall, StoreRequestPurpose};
use crate::policy::Policy;
use crate::protocol::{Clock, Micros, Settings};
use crate::state::record_cache::RecordCache;
use crate::state::store_client::{StoreClient, StoreResponse};
use crate::transport::{NetworkCommand, NetworkEvent, Outcome};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// `Retry-After` of requests that waited too long for CPU time, in seconds.
const OVERLOAD_RETRY_AFTER_S: u32 = 2;

/// A controller.
pub struct Controller {
    /// Settings of the deployment.
    pub settings: Settings,
    /// Policy set by the operators.
    pub policy: Policy,
    /// Random number that identifies this incarnation of the controller.
    pub incarnation: u64,
    /// Seeded random generator.
    pub rng: ChaCha8Rng,
    /// Client of the key-value store.
    pub store: StoreClient<StoreRequestPurpose>,
    /// Cache of the records in the key-value store.
    pub cache: RecordCache,
    /// Client requests in progress.
    pub client_api: ClientApi,
    /// State of the leader; `None` while another controller leads.
    pub leader: Option<LeaderState>,
    /// Agent leases that this follower renews on behalf of the leader.
    pub renewals: DelegatedRenewals,
    /// Queues of client requests that wait for CPU time.
    pub request_scheduler: RequestScheduler,
    /// Commands to the network, collected during the current call of `handle`.
    pub commands: Vec<NetworkCommand>,
    /// Id of the last call.
    pub last_call_id: u64,
    /// Calls in flight to machines other than the key-value store, by id.
    pub(crate) pending_calls: BTreeMap<u64, PendingCall>,
    /// Progress of this controller's candidacy.
    pub(crate) election: ElectionState,
    /// The leader's lease in the key-value store, while this controller leads.
    pub(crate) leader_lease: LeaderLease,
    /// Synchronisation of the cache with the key-value store.
    record_sync: RecordSync,
    /// Requests that wait for a confirmed read.
    pub(crate) read_barrier: ReadBarrier,
    /// Kind of record that was written last. Kinds alternate, so that neither starves.
    last_record_kind: RecordKind,
    /// State exchanged with peers.
    pub(crate) peers: Peers,
    /// When the last read was sent that returned all changes committed before it.
    pub(crate) confirmed_read_at: Micros,
    /// Responsiveness of the key-value store.
    store_probe: StoreProbe,
    /// Reachability of the key-value store, the peers and the agents of other zones.
    pub(crate) connectivity: Connectivity,
    /// Highest term that any machine has reported. This controller never leads with a lower one, even if a stale cache
    /// holds a leader record that grants it.
    pub(crate) highest_term_seen: u64,
    /// This controller's share of the request and write budgets of the key-value store.
    pub(crate) budget: BudgetShares,
    /// The last leadership that this controller has transferred to another one.
    pub(crate) transferred_leadership: Option<TransferredLeadership>,
    /// When this process started.
    pub(crate) started_at: Micros,
    /// Version of the leader record that the cache holds.
    pub(crate) observed_leader_record: ObservedLeaderRecord,
    /// When the record of the message format that this controller reads is checked next; `None` while it is being
    /// written.
    pub(crate) format_record_due: Option<Micros>,
    /// It has been logged that all controllers read this controller's format.
    pub(crate) format_rollout_logged: bool,
}

impl Controller {
    /// Creates a controller that has just started.
    pub fn new(settings: Settings, policy: Policy, seed: u64, clock: Clock) -> Controller {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let incarnation = rng.random::<u64>() >> 1;
        let peers = Peers::new(settings.peers.len(), &policy, clock.now);
        let budget = BudgetShares::new(&settings);
        let connectivity = Connectivity::new(clock.now, lease_outlasts_two_failures(&settings));
        let rates = budget.rates(&settings);
        let store = StoreClient::new(
            settings.external.state,
            rates.requests,
            rates.writes,
            rates.write_burst,
        );
        Controller {
            settings,
            policy,
            incarnation,
            rng,
            store,
            cache: RecordCache::default(),
            client_api: ClientApi::default(),
            leader: None,
            renewals: DelegatedRenewals::default(),
            request_scheduler: RequestScheduler::default(),
            commands: Vec::new(),
            last_call_id: 0,
            pending_calls: BTreeMap::new(),
            election: ElectionState::Idle,
            leader_lease: LeaderLease::default(),
            record_sync: RecordSync::new(clock.now),
            read_barrier: ReadBarrier::default(),
            last_record_kind: RecordKind::Acceptances,
            peers,
            confirmed_read_at: Micros::ZERO,
            store_probe: StoreProbe::new(clock.now),
            connectivity,
            highest_term_seen: 0,
            budget,
            transferred_leadership: None,
            started_at: clock.now,
            observed_leader_record: ObservedLeaderRecord {
                version: 0,
                observed_at: clock.now,
            },
            format_record_due: Some(clock.now),
            format_rollout_logged: false,
        }
    }

    /// Handles a batch of events; returns commands for the network and the latest time of the next call.
    pub fn handle(
        &mut self,
        clock: Clock,
        events: Vec<NetworkEvent>,
    ) -> (Vec<NetworkCommand>, Micros) {
        self.connectivity.tick(clock.now);
        for request in self.request_scheduler.step(clock.now, events) {
            self.dispatch(clock, request);
        }
        let mut next = self.run_timers(clock);
        if self.request_scheduler.has_waiting_requests() {
            next = clock.now;
        }
        next = next.min(self.write_due_records(clock));
        self.send_store_requests(clock.now);
        if let Some(store_ready) = self.store.next_send_at(clock.now) {
            next = next.min(store_ready);
        }
        (std::mem::take(&mut self.commands), next)
    }

    fn dispatch(&mut self, clock: Clock, request: ScheduledRequest) {
        match request {
            ScheduledRequest::Handle(event) => self.on_event(clock, event),
            ScheduledRequest::Refuse(conn) => {
                self.refuse_with_retry_after(
                    conn,
                    "too many requests at once",
                    OVERLOAD_RETRY_AFTER_S,
                );
            }
        }
    }

    fn on_event(&mut self, clock: Clock, event: NetworkEvent) {
        match event {
            NetworkEvent::Request {
                conn,
                internal,
                method,
                path,
                body,
            } => {
                let request = HttpRequest {
                    conn,
                    method: &method,
                    path: &path,
                    body: &body,
                };
                if internal {
                    self.on_internal_request(clock, request);
                } else {
                    self.on_public_request(clock, request);
                }
            }
            NetworkEvent::CallFinished { id, outcome } => self.on_response(clock, id, outcome),
        }
    }

    /// Handles the outcome of an outgoing call.
    fn on_response(&mut self, clock: Clock, id: u64, outcome: Outcome) {
        if let Some(completed) = self.store.on_response(id, &outcome) {
            if !matches!(
                completed.response,
                StoreResponse::Refused | StoreResponse::Lost
            ) {
                self.store_probe.last_response_at = clock.now;
                self.connectivity.on_store_contact(clock.now);
            }
            self.on_store_response(clock, completed);
            return;
        }
        match self.pending_calls.remove(&id) {
            Some(PendingCall::PeerHeartbeat { peer, sent_at }) => {
                self.on_heartbeat_response(clock, peer, sent_at, outcome);
            }
            Some(PendingCall::ForwardedRequest { conn }) => {
                self.on_forwarded_response(conn, outcome)
            }
            Some(PendingCall::RelayedHeartbeat { conn, heartbeat }) => {
                self.on_relay_response(clock, conn, *heartbeat, outcome);
            }
            Some(pending) => self.on_leader_call_response(clock, pending, outcome),
            None => {}
        }
    }
}
