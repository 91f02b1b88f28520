//! The leader's inventory: machines that are, or may be, rented, pending rent requests, and queued calls to the cloud.

use crate::cloud::autoscaler::{DeletionReason, InstanceOffer};
use crate::messages::CloudRequest;
use crate::protocol::agent_api::AgentHeartbeat;
use crate::protocol::cloud_api::{
    ListedMachine, MachineNames, MachinePage, MachineState, RentRequest,
};
use crate::protocol::{Clock, Micros};
use crate::state::token_bucket::TokenBucket;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Interval between readings of the cloud's list.
const LIST_INTERVAL: Micros = Micros::millis(4000);
/// Interval between readings of machine types and prices.
const TYPES_INTERVAL: Micros = Micros::millis(60_000);
/// A failed call is repeated after this.
const CALL_RETRY: Micros = Micros::millis(1500);
/// After the cloud had no capacity for an offer, the offer is not requested again before this.
const REFUSED_FOR: Micros = Micros::millis(15_000);
/// Machines named in one deletion at most.
const MAX_DELETED_PER_CALL: usize = 100;
/// Number of machines that are gone whose names are kept, for lists that come late.
const MAX_GONE_KEPT: usize = 4000;
/// Share of the cloud's rate limit that we use.
const RATE_SHARE: f64 = 0.7;
/// Permits that one call takes.
const CALL_COST: f64 = 1.0;

/// A machine that is, or may be, rented.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Machine type.
    pub(super) kind: String,
    /// Zone.
    pub(super) zone: String,
    /// Spot instance.
    pub(super) spot: bool,
    /// When it was requested, or first seen if we did not request it.
    pub(super) requested_at: Micros,
    /// The cloud lists it as running.
    pub(super) running: bool,
    /// Its agent has sent us a heartbeat.
    pub(super) reported: bool,
    /// It is to be deleted, and takes no new tasks.
    pub(super) leaving: bool,
    /// The cloud lists it as failed.
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
            leaving: false,
            failed: false,
        }
    }
}

/// A rent request that is not answered yet.
pub(super) struct PendingRent {
    pub request: RentRequest,
    /// A call is queued or in flight; otherwise the last one failed.
    pub in_flight: bool,
}

/// The machines as the leader knows them, and its calls to the cloud.
pub struct Inventory {
    pub(super) machines: BTreeMap<String, Machine>,
    /// Machines that are deleted or failed, with all tasks on them.
    gone: BTreeSet<String>,
    /// The same in the order in which they went.
    gone_order: VecDeque<String>,
    /// When the list is read next.
    next_list_at: Micros,
    /// Name of the machine after which the next page of the list begins; empty: the first page.
    list_cursor: String,
    /// A call for a page of the list is queued or in flight.
    list_pending: bool,
    /// The whole list has been read once.
    pub(super) listed_once: bool,
    /// When machine types are read next.
    next_types_at: Micros,
    /// A call for the machine types is queued or in flight.
    types_pending: bool,
    /// Offers for which the cloud had no capacity, and until when they are not requested again.
    pub(super) refused: BTreeMap<InstanceOffer, Micros>,
    /// Rent requests without a final answer, by name of the request.
    pub(super) rent_requests: BTreeMap<String, PendingRent>,
    /// Number of rent requests under our term.
    pub(super) rent_counter: u64,
    /// Limits the rate of our calls.
    rate_limit: Option<TokenBucket>,
    /// Calls that wait for the rate limit.
    queued_calls: VecDeque<CloudRequest>,
    /// Machines to be deleted for which no call is queued yet.
    to_delete: BTreeSet<String>,
}

impl Inventory {
    /// An empty inventory that reads list and machine types at once.
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
            refused: BTreeMap::new(),
            rent_requests: BTreeMap::new(),
            rent_counter: 0,
            rate_limit: None,
            queued_calls: VecDeque::new(),
            to_delete: BTreeSet::new(),
        }
    }

    /// Whether a machine is proven gone, with all tasks on it.
    pub fn is_gone(&self, machine: &str) -> bool {
        self.gone.contains(machine)
    }

    /// Whether a machine is to be deleted, so that it takes no new tasks.
    pub fn leaving(&self, machine: &str) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|machine| machine.leaving)
    }

    /// Zone of a machine, if it is known.
    pub fn zone_of(&self, machine: &str) -> Option<String> {
        self.machines
            .get(machine)
            .map(|machine| machine.zone.clone())
    }

    /// Records that the agent of a machine has sent a heartbeat; adopts a machine that we did not know.
    pub fn record_heartbeat(&mut self, name: &str, report: &AgentHeartbeat, now: Micros) {
        let Some(machine) = self.machines.get_mut(name) else {
            self.adopt(name, report, now);
            return;
        };
        if !machine.reported {
            machine.reported = true;
            let boot_s = now.since(machine.requested_at).as_secs();
            log::info!("machine up machine={name} boot_s={boot_s:.0}");
        }
    }

    fn adopt(&mut self, name: &str, report: &AgentHeartbeat, now: Micros) {
        log::info!(
            "machine adopted machine={name} type={} zone={}",
            report.machine_type,
            report.zone
        );
        let offer = InstanceOffer {
            kind: report.machine_type.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
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
        if self.gone_order.len() > MAX_GONE_KEPT
            && let Some(oldest) = self.gone_order.pop_front()
        {
            self.gone.remove(&oldest);
        }
    }

    /// Marks a machine as to be deleted.
    pub(super) fn delete(&mut self, name: &str, reason: DeletionReason) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if !machine.leaving {
            log::info!("machine to be deleted machine={name} reason={reason:?}");
            machine.leaving = true;
            self.to_delete.insert(name.to_string());
        }
    }

    /// Queues the calls that are due by time, and deletions.
    pub(super) fn queue_due_calls(&mut self, now: Micros) {
        if self.next_list_at <= now && !self.list_pending {
            self.list_pending = true;
            self.queued_calls.push_back(CloudRequest::List);
        }
        if self.next_types_at <= now && !self.types_pending {
            self.types_pending = true;
            self.queued_calls.push_front(CloudRequest::Types);
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
            self.queued_calls.push_front(CloudRequest::Delete(names));
        }
    }

    /// Takes the queued calls that the rate limit allows now. `calls_per_s`: the cloud's limit.
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

    /// A call for the machine types has ended.
    pub(super) fn types_read(&mut self, succeeded: bool, now: Micros) {
        self.types_pending = false;
        let interval = if succeeded {
            TYPES_INTERVAL
        } else {
            CALL_RETRY
        };
        self.next_types_at = now + interval;
    }

    /// A page of the list has been read: the next one, or the list from its beginning, is read next.
    pub(super) fn list_page_read(&mut self, page: &MachinePage, now: Micros) {
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

    /// A page of the list could not be read: the list is read from its beginning.
    pub(super) fn list_failed(&mut self, now: Micros) {
        self.list_pending = false;
        self.list_cursor.clear();
        self.next_list_at = now + CALL_RETRY;
    }

    /// Applies a machine of the cloud's list; tells whether it is newly known to have failed.
    pub(super) fn apply_listed(&mut self, listed: ListedMachine, now: Micros) -> bool {
        let failed = listed.state == MachineState::Failed;
        if self.gone.contains(&listed.id) {
            if failed && !self.machines.contains_key(&listed.id) {
                let deletion = CloudRequest::Delete(vec![listed.id]);
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
    pub(super) fn rent(&mut self, request: RentRequest) {
        let pending = PendingRent {
            request: request.clone(),
            in_flight: true,
        };
        self.rent_requests
            .insert(request.request_id.clone(), pending);
        self.queued_calls
            .push_back(CloudRequest::RentInstances(request));
    }

    /// Queues the rent requests again whose calls failed. The cloud carries out a request of one name only once.
    pub(super) fn retry_rent_requests(&mut self) {
        for pending in self.rent_requests.values_mut() {
            if !pending.in_flight {
                pending.in_flight = true;
                let request = pending.request.clone();
                self.queued_calls
                    .push_back(CloudRequest::RentInstances(request));
            }
        }
    }

    /// The cloud has carried out a rent request, perhaps in part.
    pub(super) fn rented(&mut self, request: &RentRequest, rented: MachineNames, now: Micros) {
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
            self.refused.insert(offer.clone(), now + REFUSED_FOR);
        }
        for name in rented.machines {
            self.machines
                .entry(name)
                .or_insert_with(|| Machine::new(offer.clone(), now));
        }
    }

    /// The cloud has refused a rent request.
    pub(super) fn rent_refused(&mut self, request: &RentRequest, now: Micros) {
        self.rent_requests.remove(&request.request_id);
        self.refused.insert(offer_of(request), now + REFUSED_FOR);
        log::info!(
            "no capacity to rent type={} zone={} spot={}",
            request.machine_type,
            request.zone,
            request.spot
        );
    }

    /// A rent request got no usable answer, so that it is unknown whether it was carried out.
    pub(super) fn rent_failed(&mut self, request: &RentRequest) {
        if let Some(pending) = self.rent_requests.get_mut(&request.request_id) {
            pending.in_flight = false;
        }
    }

    /// The cloud has deleted a machine.
    pub(super) fn deleted(&mut self, name: &str) {
        log::info!("machine deleted machine={name}");
        self.machines.remove(name);
        self.mark_gone(name);
    }

    /// The deletion of a machine got no usable answer, and is repeated.
    pub(super) fn deletion_failed(&mut self, name: String) {
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
