//! Calls to the cloud and their responses, and the records that follow from them.

use crate::cloud::autoscaler::{InstanceOffer, ScalingPlan};
use crate::controller::Controller;
use crate::messages::{CloudRequest, PendingCall, StoreRequestPurpose};
use crate::protocol::cloud_api::{
    MachineNames, MachinePage, MachineType, MachineTypes, RentRequest,
};
use crate::protocol::codec::{decode, encode};
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{BASELINE_MACHINES_KEY, LEADER_KEY, MACHINE_TYPES_KEY};
use crate::protocol::{Clock, Micros};
use crate::state::store_client::{RequestPriority, StoreRequest};
use crate::transport::Outcome;

/// Timeout of a call.
const CLOUD_TIMEOUT: Micros = Micros::millis(4000);
/// Machines in one rent request at most.
const MAX_RENTED_PER_CALL: u32 = 50;
/// Version of a key that does not exist.
const NO_VERSION: u64 = 0;

/// An HTTP request to the cloud.
struct CloudCall {
    method: &'static str,
    path: String,
    body: Vec<u8>,
}

impl CloudCall {
    fn get(path: String) -> CloudCall {
        CloudCall {
            method: "GET",
            path,
            body: Vec::new(),
        }
    }

    fn post(path: &str, body: Vec<u8>) -> CloudCall {
        CloudCall {
            method: "POST",
            path: path.to_string(),
            body,
        }
    }

    /// `list_cursor`: the machine after which a page of the list begins; empty: the first page.
    fn new(request: &CloudRequest, list_cursor: &str) -> CloudCall {
        match request {
            CloudRequest::Types => CloudCall::get("/flavors".to_string()),
            CloudRequest::List if list_cursor.is_empty() => {
                CloudCall::get("/machines?most=500".to_string())
            }
            CloudRequest::List => CloudCall::get(format!("/machines?after={list_cursor}&most=500")),
            CloudRequest::RentInstances(rent) => CloudCall::post("/machines", encode(rent)),
            CloudRequest::Delete(machines) => {
                let names = MachineNames {
                    machines: machines.clone(),
                };
                CloudCall::post("/machines/release", encode(&names))
            }
        }
    }
}

/// Response of the cloud; status 0: none.
struct CloudResponse {
    status: u16,
    body: Vec<u8>,
}

impl CloudResponse {
    fn new(outcome: Outcome) -> CloudResponse {
        let (status, body) = match outcome {
            Outcome::Response { status, body } => (status, body),
            Outcome::NotSent | Outcome::Lost => (0, Vec::new()),
        };
        CloudResponse { status, body }
    }

    fn is_ok(&self) -> bool {
        self.status == 200
    }

    /// The body of a successful response, if it can be read.
    fn content<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        if self.is_ok() {
            decode(&self.body)
        } else {
            None
        }
    }
}

impl Controller {
    /// Sends the calls to the cloud that are due; returns when the next one is.
    pub fn drive_inventory(&mut self, clock: Clock) -> Micros {
        let calls_per_s = self.settings.params.cloud.rps;
        let Some(leader) = &mut self.leader else {
            return Micros::FAR_FUTURE;
        };
        let inventory = &mut leader.fleet;
        inventory.queue_due_calls(clock.now);
        let requests = inventory.take_calls(calls_per_s, clock.now);
        let next = inventory.next_call_at(clock.now);
        let list_cursor = inventory.list_cursor().to_string();
        let address = self.settings.external.cloud;
        for request in requests {
            let call = CloudCall::new(&request, &list_cursor);
            self.call(
                PendingCall::Cloud(request),
                address,
                call.method,
                &call.path,
                call.body,
                CLOUD_TIMEOUT,
            );
        }
        next
    }

    /// Handles the response of the cloud to a request, or the lack of one.
    pub fn on_cloud_response(&mut self, clock: Clock, request: CloudRequest, outcome: Outcome) {
        let response = CloudResponse::new(outcome);
        match request {
            CloudRequest::Types => self.on_types_response(clock, &response),
            CloudRequest::List => self.on_list_response(clock, &response),
            CloudRequest::RentInstances(rent) => self.on_rent_response(clock, &rent, &response),
            CloudRequest::Delete(machines) => self.on_delete_response(machines, &response),
        }
    }

    fn on_types_response(&mut self, clock: Clock, response: &CloudResponse) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let content: Option<MachineTypes> = response.content();
        leader.fleet.types_read(content.is_some(), clock.now);
        if let Some(content) = content {
            self.record_types(content.types);
        }
    }

    /// Writes the machine types to the store if they have changed. Spot prices change all the time, and are no reason
    /// to write a new record.
    fn record_types(&mut self, mut types: Vec<MachineType>) {
        types.sort_by(|one, other| one.name.cmp(&other.name));
        let known = self.cache.machine_types.as_ref();
        if known.is_some_and(|known| same_but_spot_prices(known, &types)) {
            return;
        }
        let Some(leader) = &self.leader else {
            return;
        };
        let transaction = Transaction {
            conditions: vec![VersionCondition::new(LEADER_KEY, leader.version)],
            changes: vec![Change::put(
                MACHINE_TYPES_KEY,
                &MachineTypes { types },
                None,
            )],
        };
        self.store.enqueue(
            RequestPriority::Urgent,
            StoreRequestPurpose::BackgroundWrite,
            StoreRequest::Transaction(transaction),
        );
    }

    fn on_list_response(&mut self, clock: Clock, response: &CloudResponse) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(page) = response.content::<MachinePage>() else {
            leader.fleet.list_failed(clock.now);
            return;
        };
        leader.fleet.list_page_read(&page, clock.now);
        if !page.has_more && self.cache.initial_machines.is_none() {
            self.record_base(page.machines.len());
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        for listed in page.machines {
            leader.dirty |= leader.fleet.apply_listed(listed, clock.now);
        }
    }

    /// Writes to the store how many machines there were before any was requested, once and for all: nothing is
    /// requested before the first list has been read. `listed`: machines on the last page.
    fn record_base(&mut self, listed: usize) {
        let Some(leader) = &self.leader else {
            return;
        };
        let base = leader.fleet.machines.len().max(listed) as u64;
        let transaction = Transaction {
            conditions: vec![
                VersionCondition::new(LEADER_KEY, leader.version),
                VersionCondition::new(BASELINE_MACHINES_KEY, NO_VERSION),
            ],
            changes: vec![Change::put(BASELINE_MACHINES_KEY, &base, None)],
        };
        self.store.enqueue(
            RequestPriority::Normal,
            StoreRequestPurpose::BackgroundWrite,
            StoreRequest::Transaction(transaction),
        );
    }

    fn on_rent_response(&mut self, clock: Clock, rent: &RentRequest, response: &CloudResponse) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let inventory = &mut leader.fleet;
        if let Some(names) = response.content::<MachineNames>() {
            inventory.rented(rent, names, clock.now);
        } else if matches!(response.status, 400 | 503) {
            inventory.rent_refused(rent, clock.now);
        } else {
            inventory.rent_failed(rent);
        }
        leader.dirty = true;
    }

    fn on_delete_response(&mut self, machines: Vec<String>, response: &CloudResponse) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for name in machines {
            if response.is_ok() {
                leader.fleet.deleted(&name);
                leader.agents.remove(&name);
                leader.dirty = true;
            } else {
                leader.fleet.deletion_failed(name);
            }
        }
    }

    /// Queues the rent requests and deletions of a plan.
    pub fn apply_scaling_plan(&mut self, plan: ScalingPlan) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for deletion in plan.deletions {
            leader.fleet.delete(&deletion.machine, deletion.reason);
        }
        if plan.may_scale_out {
            leader.fleet.retry_rent_requests();
        }
        for (offer, count) in plan.requests {
            self.rent(&offer, count);
        }
    }

    /// Queues rent requests for a number of machines.
    fn rent(&mut self, offer: &InstanceOffer, count: u32) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let inventory = &mut leader.fleet;
        let mut remaining = count;
        while remaining > 0 {
            inventory.rent_counter += 1;
            // The term is part of the name: a controller that becomes the leader a second time counts from zero.
            let request = format!(
                "{}-{:x}-{}-{}",
                self.settings.node, self.incarnation, leader.term, inventory.rent_counter
            );
            let rent = RentRequest {
                request_id: request,
                machine_type: offer.kind.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                count: remaining.min(MAX_RENTED_PER_CALL),
            };
            remaining -= rent.count;
            inventory.rent(rent);
        }
    }
}

/// Whether two lists in the order of names agree on everything but spot prices.
fn same_but_spot_prices(known: &[MachineType], types: &[MachineType]) -> bool {
    let same = |one: &MachineType, other: &MachineType| {
        let mut one = one.clone();
        one.spot_price = other.spot_price;
        one == *other
    };
    known.len() == types.len() && known.iter().zip(types).all(|(one, other)| same(one, other))
}
