//! The leader's inventory: machines that are or may be rented, pending rent requests, and queued calls to the cloud.

use crate::cloud::autoscaler::{DeletionReason, InstanceOffer};
use crate::messages::CloudRequest;
use crate::protocol::agent_api::AgentHeartbeat;
use crate::protocol::cloud_api::{
    ListedMachine, MachineNames, MachinePage, MachineState, RentRequest,
};
use crate::protocol::{Clock, Micros};
use crate::state::token_bucket::TokenBucket;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Interval between reads of the cloud's list of machines.
const LIST_INTERVAL: Micros = Micros::millis(4000);
/// Interval between reads of machine types and prices.
const TYPES_INTERVAL: Micros = Micros::millis(60_000);
/// Delay before a failed read is repeated.
const CALL_RETRY: Micros = Micros::millis(1500);
/// Delay before an offer for which the cloud had no capacity is requested again.
const REFUSED_OFFER_RETRY: Micros = Micros::millis(15_000);
/// Maximum number of machines in one deletion call.
const MAX_DELETED_PER_CALL: usize = 100;
/// Maximum number of names of gone machines that are kept, so that delayed lists do not add these machines again.
const MAX_GONE_NAMES: usize = 4000;
/// Share of the cloud's rate limit that we use.
const RATE_SHARE: f64 = 0.7;
/// Tokens that one call takes.
const CALL_COST: f64 = 1.0;

/// A machine that is, or may be, rented.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Machine type.
    pub(super) kind: String,
    /// Zone.
    pub(super) zone: String,
    /// Whether it is a spot instance.
    pub(super) spot: bool,
    /// When it was requested, or first seen if we did not request it.
    pub(super) requested_at: Micros,
    /// Whether the cloud lists it as running.
    pub(super) running: bool,
    /// Whether its agent has sent us a heartbeat.
    pub(super) reported: bool,
    /// Whether it is to be deleted. If so, it gets no new tasks.
    pub(super) marked_for_deletion: bool,
    /// Whether the cloud lists it as failed.
    pub(super) failed: bool,
}

impl Machine {
    fn new(offer: InstanceOffer, requested_at: Micros) -> Machine {
        Machine {
            kind: offer.kind,
            zone: offer.zone,
            spot: offer.spot,
            requested_at,
            running: false,
            reported: false,
            marked_for_deletion: false,
            failed: false,
        }
    }
}

/// A rent request without a final response.
pub(super) struct PendingRent {
    pub request: RentRequest,
    /// Whether a call is queued or in flight; if not, the last call failed.
    pub in_flight: bool,
}

/// The leader's view of the machines, and its calls to the cloud.
pub struct Inventory {
    pub(super) machines: BTreeMap<String, Machine>,
    /// Machines that were deleted or failed, so that no task runs on them any longer.
    gone: BTreeSet<String>,
    /// Names in `gone`, oldest first.
    gone_order: VecDeque<String>,
    /// When the list is read next.
    next_list_at: Micros,
    /// Name of the machine after which the next page of the list begins; empty: the first page.
    list_cursor: String,
    /// Whether a call for a page of the list is queued or in flight.
    list_pending: bool,
    /// Whether the whole list has been read at least once.
    pub(super) listed_once: bool,
    /// When machine types are read next.
    next_types_at: Micros,
    /// Whether a call for the machine types is queued or in flight.
    types_pending: bool,
    /// Offers for which the cloud had no capacity, and until when they are not requested again.
    pub(super) refused_offers: BTreeMap<InstanceOffer, Micros>,
    /// Rent requests without a final response, by request name.
    pub(super) rent_requests: BTreeMap<String, PendingRent>,
    /// Number of rent requests under our term.
    pub(super) rent_counter: u64,
    /// Rate limit of our calls, set with the first call.
    rate_limit: Option<TokenBucket>,
    /// Calls that wait for the rate limit.
    queued_calls: VecDeque<CloudRequest>,
    /// Machines to delete for which no call is queued yet.
    to_delete: BTreeSet<String>,
}

impl Inventory {
    /// An empty inventory that reads the list and the machine types immediately.
    pub fn new(clock: Clock) -> Inventory {
        Inventory {
            machines: BTreeMap::new(),
            gone: BTreeSet::new(),
            gone_order: VecDeque::new(),
            next_list_at: clock.now,
            list_cursor: String::new(),
            list_pending: false,
            listed_once: false,
            next_types_at: clock.now,
            types_pending: false,
            refused_offers: BTreeMap::new(),
            rent_requests: BTreeMap::new(),
            rent_counter: 0,
            rate_limit: None,
            queued_calls: VecDeque::new(),
            to_delete: BTreeSet::new(),
        }
    }

    /// Whether a machine was deleted or failed, so that no task runs on it any longer.
    pub fn is_gone(&self, machine: &str) -> bool {
        self.gone.contains(machine)
    }

    /// Whether a machine is to be deleted, so that it gets no new tasks.
    pub fn is_marked_for_deletion(&self, machine: &str) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|machine| machine.marked_for_deletion)
    }

    /// Zone of a machine, if the machine is in the inventory.
    pub fn zone_of(&self, machine: &str) -> Option<String> {
        self.machines
            .get(machine)
            .map(|machine| machine.zone.clone())
    }

    /// Records that the agent of a machine has sent a heartbeat. Adopts a machine that is not in the inventory.
    pub fn record_heartbeat(&mut self, name: &str, heartbeat: &AgentHeartbeat, now: Micros) {
        let Some(machine) = self.machines.get_mut(name) else {
            self.adopt(name, heartbeat, now);
            return;
        };
        if !machine.reported {
            machine.reported = true;
            let boot_s = now.since(machine.requested_at).as_secs();
            log::info!("machine up machine={name} boot_s={boot_s:.0}");
        }
    }

    fn adopt(&mut self, name: &str, heartbeat: &AgentHeartbeat, now: Micros) {
        log::info!(
            "machine adopted machine={name} type={} zone={}",
            heartbeat.machine_type,
            heartbeat.zone
        );
        let offer = InstanceOffer {
            kind: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
        };
        let machine = Machine {
            reported: true,
            ..Machine::new(offer, now)
        };
        self.machines.insert(name.to_string(), machine);
    }

    fn mark_gone(&mut self, name: &str) {
        if !self.gone.insert(name.to_string()) {
            return;
        }
        self.gone_order.push_back(name.to_string());
        if self.gone_order.len() > MAX_GONE_NAMES
            && let Some(oldest) = self.gone_order.pop_front()
        {
            self.gone.remove(&oldest);
        }
    }

    /// Marks a machine for deletion.
    pub(super) fn mark_for_deletion(&mut self, name: &str, reason: DeletionReason) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if !machine.marked_for_deletion {
            log::info!("machine to be deleted machine={name} reason={reason:?}");
            machine.marked_for_deletion = true;
            self.to_delete.insert(name.to_string());
        }
    }

    /// Queues the periodic calls that are due, and deletions.
    pub(super) fn queue_due_calls(&mut self, now: Micros) {
        if self.next_list_at <= now && !self.list_pending {
            self.list_pending = true;
            self.queued_calls.push_back(CloudRequest::ListMachines);
        }
        if self.next_types_at <= now && !self.types_pending {
            self.types_pending = true;
            self.queued_calls.push_front(CloudRequest::ListMachineTypes);
        }
        while !self.to_delete.is_empty() {
            let names: Vec<String> = self
                .to_delete
                .iter()
                .take(MAX_DELETED_PER_CALL)
                .cloned()
                .collect();
            for name in &names {
                self.to_delete.remove(name);
            }
            self.queued_calls
                .push_front(CloudRequest::DeleteMachines(names));
        }
    }

    /// Takes the queued calls that the rate limit allows now. `calls_per_s`: the cloud's rate limit.
    pub(super) fn take_calls(&mut self, calls_per_s: f64, now: Micros) -> Vec<CloudRequest> {
        let rate = calls_per_s * RATE_SHARE;
        let rate_limit = self
            .rate_limit
            .get_or_insert_with(|| TokenBucket::new(rate, rate.max(1.0)));
        let mut calls = Vec::new();
        while !self.queued_calls.is_empty() && rate_limit.ready(now, CALL_COST) {
            rate_limit.take(CALL_COST);
            calls.extend(self.queued_calls.pop_front());
        }
        calls
    }

    /// When the next call is due.
    pub(super) fn next_call_at(&self, now: Micros) -> Micros {
        let mut next = Micros::FAR_FUTURE;
        if !self.queued_calls.is_empty()
            && let Some(rate_limit) = &self.rate_limit
        {
            next = next.min(rate_limit.ready_at(now, CALL_COST, false));
        }
        if !self.list_pending {
            next = next.min(self.next_list_at);
        }
        if !self.types_pending {
            next = next.min(self.next_types_at);
        }
        next
    }

    /// Name of the machine after which the next page of the list begins; empty: the first page.
    pub(super) fn list_cursor(&self) -> &str {
        &self.list_cursor
    }

    /// Handles the end of a call for the machine types.
    pub(super) fn on_types_read(&mut self, succeeded: bool, now: Micros) {
        self.types_pending = false;
        let interval = if succeeded {
            TYPES_INTERVAL
        } else {
            CALL_RETRY
        };
        self.next_types_at = now + interval;
    }

    /// Handles a page of the list. The next read is the following page or, after the last page, the list from its
    /// beginning.
    pub(super) fn on_list_page(&mut self, page: &MachinePage, now: Micros) {
        self.list_pending = false;
        if page.has_more {
            let last = page.machines.last();
            self.list_cursor = last.map(|machine| machine.id.clone()).unwrap_or_default();
            self.next_list_at = now;
        } else {
            self.list_cursor.clear();
            self.next_list_at = now + LIST_INTERVAL;
            self.listed_once = true;
        }
    }

    /// Handles a failed read of a page: the list is read again from its beginning.
    pub(super) fn on_list_failed(&mut self, now: Micros) {
        self.list_pending = false;
        self.list_cursor.clear();
        self.next_list_at = now + CALL_RETRY;
    }

    /// Applies a machine of the cloud's list; returns whether the list newly shows it as failed.
    pub(super) fn apply_listed(&mut self, listed: ListedMachine, now: Micros) -> bool {
        let failed = listed.state == MachineState::Failed;
        if self.gone.contains(&listed.id) {
            if failed && !self.machines.contains_key(&listed.id) {
                let deletion = CloudRequest::DeleteMachines(vec![listed.id]);
                self.queued_calls.push_back(deletion);
            }
            return false;
        }
        let machine = self.machines.entry(listed.id.clone()).or_insert_with(|| {
            let offer = InstanceOffer {
                kind: listed.machine_type,
                zone: listed.zone,
                spot: listed.spot,
            };
            Machine::new(offer, now - Micros::secs(listed.age_s))
        });
        machine.running = listed.state == MachineState::Running;
        if !failed || machine.failed {
            return false;
        }
        log::info!("machine failed machine={}", listed.id);
        machine.failed = true;
        self.to_delete.insert(listed.id.clone());
        self.mark_gone(&listed.id);
        true
    }

    /// Queues a rent request.
    pub(super) fn queue_rent_request(&mut self, request: RentRequest) {
        let pending = PendingRent {
            request: request.clone(),
            in_flight: true,
        };
        self.rent_requests
            .insert(request.request_id.clone(), pending);
        self.queued_calls
            .push_back(CloudRequest::RentMachines(request));
    }

    /// Queues failed rent requests again. The cloud executes each request name only once.
    pub(super) fn retry_rent_requests(&mut self) {
        for pending in self.rent_requests.values_mut() {
            if !pending.in_flight {
                pending.in_flight = true;
                let request = pending.request.clone();
                self.queued_calls
                    .push_back(CloudRequest::RentMachines(request));
            }
        }
    }

    /// Handles a rent request that the cloud executed, possibly in part.
    pub(super) fn on_rented(&mut self, request: &RentRequest, rented: MachineNames, now: Micros) {
        self.rent_requests.remove(&request.request_id);
        let offer = offer_of(request);
        log::info!(
            "machines rented count={} requested={} type={} zone={} spot={}",
            rented.machines.len(),
            request.count,
            request.machine_type,
            request.zone,
            request.spot
        );
        if (rented.machines.len() as u32) < request.count {
            self.refused_offers
                .insert(offer.clone(), now + REFUSED_OFFER_RETRY);
        }
        for name in rented.machines {
            self.machines
                .entry(name)
                .or_insert_with(|| Machine::new(offer.clone(), now));
        }
    }

    /// Handles a rent request that the cloud refused.
    pub(super) fn on_rent_refused(&mut self, request: &RentRequest, now: Micros) {
        self.rent_requests.remove(&request.request_id);
        self.refused_offers
            .insert(offer_of(request), now + REFUSED_OFFER_RETRY);
        log::info!(
            "no capacity to rent type={} zone={} spot={}",
            request.machine_type,
            request.zone,
            request.spot
        );
    }

    /// Handles a rent request without a usable response. It is unknown whether the cloud executed it.
    pub(super) fn on_rent_failed(&mut self, request: &RentRequest) {
        if let Some(pending) = self.rent_requests.get_mut(&request.request_id) {
            pending.in_flight = false;
        }
    }

    /// Handles the deletion of a machine by the cloud.
    pub(super) fn on_deleted(&mut self, name: &str) {
        log::info!("machine deleted machine={name}");
        self.machines.remove(name);
        self.mark_gone(name);
    }

    /// Handles a deletion without a usable response: it is repeated.
    pub(super) fn on_deletion_failed(&mut self, name: String) {
        if self.machines.contains_key(&name) {
            self.to_delete.insert(name);
        }
    }
}

fn offer_of(request: &RentRequest) -> InstanceOffer {
    InstanceOffer {
        kind: request.machine_type.clone(),
        zone: request.zone.clone(),
        spot: request.spot,
    }
}
