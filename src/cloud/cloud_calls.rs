//! Calls to the cloud, the handling of their responses, and the records that are written as a result.

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

/// Timeout of a call to the cloud.
const CLOUD_TIMEOUT: Micros = Micros::millis(4000);
/// Maximum number of machines in one rent request.
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

    /// `list_cursor`: name of the machine after which a page of the list begins; empty for the first page.
    fn new(request: &CloudRequest, list_cursor: &str) -> CloudCall {
        match request {
            CloudRequest::ListMachineTypes => CloudCall::get("/flavors".to_string()),
            CloudRequest::ListMachines if list_cursor.is_empty() => {
                CloudCall::get("/machines?most=500".to_string())
            }
            CloudRequest::ListMachines => {
                CloudCall::get(format!("/machines?after={list_cursor}&most=500"))
            }
            CloudRequest::RentMachines(rent) => CloudCall::post("/machines", encode(rent)),
            CloudRequest::DeleteMachines(machines) => {
                let names = MachineNames {
                    machines: machines.clone(),
                };
                CloudCall::post("/machines/release", encode(&names))
            }
        }
    }
}

/// Response of the cloud; the status is 0 if there was none.
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

    /// The decoded body of a successful response; None if it failed or cannot be decoded.
    fn content<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        if self.is_ok() {
            decode(&self.body)
        } else {
            None
        }
    }
}

impl Controller {
    /// Sends the calls to the cloud that are due; returns when the next call is due.
    pub fn drive_inventory(&mut self, clock: Clock) -> Micros {
        let calls_per_s = self.settings.params.cloud.rps;
        let Some(leader) = &mut self.leader else {
            return Micros::FAR_FUTURE;
        };
        let inventory = &mut leader.inventory;
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

    /// Handles the response of the cloud to a request, or its absence.
    pub fn on_cloud_response(&mut self, clock: Clock, request: CloudRequest, outcome: Outcome) {
        let response = CloudResponse::new(outcome);
        match request {
            CloudRequest::ListMachineTypes => self.on_types_response(clock, &response),
            CloudRequest::ListMachines => self.on_list_response(clock, &response),
            CloudRequest::RentMachines(rent) => self.on_rent_response(clock, &rent, &response),
            CloudRequest::DeleteMachines(machines) => self.on_delete_response(machines, &response),
        }
    }

    fn on_types_response(&mut self, clock: Clock, response: &CloudResponse) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let content: Option<MachineTypes> = response.content();
        leader.inventory.on_types_read(content.is_some(), clock.now);
        if let Some(content) = content {
            self.record_types(content.types);
        }
    }

    /// Writes the machine types to the store if they have changed. Spot prices change so often that they alone do not
    /// justify a write.
    fn record_types(&mut self, mut types: Vec<MachineType>) {
        types.sort_by(|a, b| a.name.cmp(&b.name));
        let recorded = self.cache.machine_types.as_ref();
        if recorded.is_some_and(|recorded| equal_except_spot_prices(recorded, &types)) {
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
            leader.inventory.on_list_failed(clock.now);
            return;
        };
        leader.inventory.on_list_page(&page, clock.now);
        if !page.has_more && self.cache.initial_machines.is_none() {
            self.record_initial_machines(page.machines.len());
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        for listed in page.machines {
            leader.dirty |= leader.inventory.apply_listed(listed, clock.now);
        }
    }

    /// Records in the store, only once, how many machines there were before any was requested. Nothing is requested
    /// before the first list has been read. `last_page_len`: number of machines on the last page.
    fn record_initial_machines(&mut self, last_page_len: usize) {
        let Some(leader) = &self.leader else {
            return;
        };
        let initial_machines = leader.inventory.machines.len().max(last_page_len) as u64;
        let transaction = Transaction {
            conditions: vec![
                VersionCondition::new(LEADER_KEY, leader.version),
                VersionCondition::new(BASELINE_MACHINES_KEY, NO_VERSION),
            ],
            changes: vec![Change::put(BASELINE_MACHINES_KEY, &initial_machines, None)],
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
        let inventory = &mut leader.inventory;
        if let Some(names) = response.content::<MachineNames>() {
            inventory.on_rented(rent, names, clock.now);
        } else if matches!(response.status, 400 | 503) {
            inventory.on_rent_refused(rent, clock.now);
        } else {
            inventory.on_rent_failed(rent);
        }
        leader.dirty = true;
    }

    fn on_delete_response(&mut self, machines: Vec<String>, response: &CloudResponse) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for name in machines {
            if response.is_ok() {
                leader.inventory.on_deleted(&name);
                leader.agents.remove(&name);
                leader.dirty = true;
            } else {
                leader.inventory.on_deletion_failed(name);
            }
        }
    }

    /// Applies a plan: queues its deletions and rent requests.
    pub fn apply_scaling_plan(&mut self, plan: ScalingPlan) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for deletion in plan.deletions {
            leader
                .inventory
                .mark_for_deletion(&deletion.machine, deletion.reason);
        }
        if plan.may_scale_out {
            leader.inventory.retry_rent_requests();
        }
        for (offer, count) in plan.requests {
            self.rent(&offer, count);
        }
    }

    /// Queues rent requests for `count` machines.
    fn rent(&mut self, offer: &InstanceOffer, count: u32) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let inventory = &mut leader.inventory;
        let mut remaining = count;
        while remaining > 0 {
            inventory.rent_counter += 1;
            // The name contains the term, because a controller that becomes the leader again counts from zero.
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
            inventory.queue_rent_request(rent);
        }
    }
}

/// Whether two lists that are sorted by name are equal except for spot prices.
fn equal_except_spot_prices(recorded: &[MachineType], listed: &[MachineType]) -> bool {
    let equal = |a: &MachineType, b: &MachineType| {
        let mut a = a.clone();
        a.spot_price = b.spot_price;
        a == *b
    };
    recorded.len() == listed.len() && recorded.iter().zip(listed).all(|(a, b)| equal(a, b))
}
