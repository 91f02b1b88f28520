//! Scale-out: decides which machines are requested for demand that found no capacity.

use crate::cloud::autoscaler::FleetSnapshot;
use crate::cloud::demand::{CapacityDemand, DemandClass, DemandSource};
use crate::cloud::instance_offer::{ChosenOffer, InstanceOffer, OfferSearch, capacity};
use crate::cloud::provisioning::ProvisioningCapacity;
use crate::protocol::cloud_api::MachineType;
use crate::scheduling::backfill::UnmetDemand;
use crate::scheduling::capacity_index::InfeasibleRequests;
use crate::scheduling::placement::{Host, NameTable, Resources};
use crate::state::record_cache::Job;
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of machines requested in one pass.
const MAX_REQUESTED_PER_PASS: u32 = 400;
/// Id that stands for a name without an id.
const NO_NAME: u32 = u32::MAX;
const NO_RESOURCES: Resources = [0.0; 3];

/// Returns the number of machines to request, by offer.
pub(super) fn plan_scale_out<'a>(
    snapshot: &FleetSnapshot<'_>,
    names: &NameTable,
    silent_zones: &BTreeSet<String>,
    source: &impl DemandSource<'a>,
    unmet: &[UnmetDemand<'_>],
) -> BTreeMap<InstanceOffer, u32> {
    let mut planner = ScaleOutPlanner::new(snapshot, names);
    planner.add_machines(silent_zones);
    planner.add_rent_requests();
    for demand in unmet {
        // Assigning capacity to the remaining demand matters only for further requests.
        if planner.limit_reached() {
            break;
        }
        let requested_before = planner.requested;
        let job = || source.job(demand.candidate).map(|(_, job)| job);
        planner.cover(&source.demand(demand.candidate), demand.tasks, job);
        let requested = planner.requested - requested_before;
        if requested > 0 {
            log::debug!(
                "scale out job={} tasks={} machines={requested}",
                source.job(demand.candidate).map_or("", |(id, _)| id),
                demand.tasks,
            );
        }
    }
    planner.requests
}

struct ScaleOutPlanner<'a> {
    snapshot: &'a FleetSnapshot<'a>,
    names: &'a NameTable,
    types: &'a [MachineType],
    capacity: ProvisioningCapacity,
    machines_per_zone: BTreeMap<&'a str, usize>,
    /// Number of machines that exist, are requested, or are to be requested.
    machines: usize,
    /// Number of machines to request.
    requested: u32,
    requests: BTreeMap<InstanceOffer, u32>,
    /// Demand for which there is no offer.
    demand_without_offer: HashMap<DemandClass, InfeasibleRequests>,
}

impl<'a> ScaleOutPlanner<'a> {
    fn new(snapshot: &'a FleetSnapshot<'a>, names: &'a NameTable) -> ScaleOutPlanner<'a> {
        ScaleOutPlanner {
            snapshot,
            names,
            types: snapshot.machine_types(),
            capacity: ProvisioningCapacity::default(),
            machines_per_zone: BTreeMap::new(),
            machines: 0,
            requested: 0,
            requests: BTreeMap::new(),
            demand_without_offer: HashMap::default(),
        }
    }

    /// Counts the machines of the inventory, and adds the capacity of those that do not accept tasks yet.
    fn add_machines(&mut self, silent_zones: &BTreeSet<String>) {
        let leader = self.snapshot.leader;
        for (name, machine) in &leader.inventory.machines {
            if machine.failed {
                continue;
            }
            self.count_machines(&machine.zone, 1);
            if machine.marked_for_deletion {
                continue;
            }
            let agent = leader.agents.get(name);
            // The zone seems partitioned rather than failed: its machines are expected to come back.
            let expected_back = silent_zones.contains(&machine.zone)
                && agent.is_some_and(|agent| agent.epoch_ended());
            if !machine.reported || expected_back {
                self.add_empty_host(&machine.kind, &machine.zone, machine.spot);
            }
            // A machine that has sent heartbeats but has not shown our term yet will accept tasks soon. If its capacity
            // were left out, machines that start at the same time would be requested a second time.
            if agent.is_some_and(|agent| agent.term < leader.term) {
                self.add_started_host(name);
            }
        }
    }

    /// Adds the machines of rent requests that have no final response yet.
    fn add_rent_requests(&mut self) {
        let snapshot = self.snapshot;
        for pending in snapshot.leader.inventory.rent_requests.values() {
            let request = &pending.request;
            for _ in 0..request.count {
                self.add_empty_host(&request.machine_type, &request.zone, request.spot);
            }
            self.count_machines(&request.zone, request.count as usize);
        }
    }

    fn count_machines(&mut self, zone: &'a str, machines: usize) {
        *self.machines_per_zone.entry(zone).or_default() += machines;
        self.machines += machines;
    }

    /// Adds an empty machine of a type, unless the type is unknown.
    fn add_empty_host(&mut self, kind: &str, zone: &str, spot: bool) {
        let machine_type = self.types.iter().find(|known| known.name == kind);
        let Some(machine_type) = machine_type else {
            return;
        };
        let total = capacity(machine_type);
        self.capacity.add(Host {
            machine_type: self.names.find(kind).unwrap_or(NO_NAME),
            zone: self.names.find(zone).unwrap_or(NO_NAME),
            spot,
            agent_epoch: 0,
            total,
            free: total,
            schedulable: true,
            images: Arc::default(),
            stopping: NO_RESOURCES,
            reserved: None,
        });
    }

    /// Adds a machine with the capacity that is left on it after this pass.
    fn add_started_host(&mut self, name: &str) {
        let Some(index) = self.snapshot.hosts.find(name) else {
            return;
        };
        let mut host = self.snapshot.hosts_after_pass[index].clone();
        host.schedulable = true;
        host.reserved = None;
        self.capacity.add(host);
    }

    /// Whether no more machines may be requested, either in this pass or at all.
    fn limit_reached(&self) -> bool {
        let max_machines = self.snapshot.policy.max_machines as usize;
        self.requested >= MAX_REQUESTED_PER_PASS
            || (max_machines > 0 && self.machines >= max_machines)
    }

    /// Covers the demand of a job with capacity that is being provisioned, and requests machines for the rest.
    fn cover<'j>(
        &mut self,
        demand: &CapacityDemand<'_>,
        tasks: u32,
        job: impl Fn() -> Option<&'j Job> + Copy,
    ) {
        let mut uncovered = self.capacity.place(demand, tasks, job);
        while uncovered > 0 && !self.limit_reached() {
            let Some(offer) = self.find_offer(demand, job) else {
                return;
            };
            self.request(&offer);
            let uncovered_before = uncovered;
            uncovered = self.capacity.place(demand, uncovered, job);
            if uncovered >= uncovered_before && !demand.gang {
                return;
            }
        }
    }

    fn find_offer<'j>(
        &mut self,
        demand: &CapacityDemand<'_>,
        job: impl Fn() -> Option<&'j Job>,
    ) -> Option<ChosenOffer<'a>> {
        let demand_without_offer = self.demand_without_offer.entry(demand.class()).or_default();
        if demand_without_offer.covers(demand.need, 1) {
            return None;
        }
        let search = OfferSearch {
            types: self.types,
            refused: &self.snapshot.leader.inventory.refused_offers,
            machines_per_zone: &self.machines_per_zone,
            now: self.snapshot.clock.now,
        };
        let zone_allowed = |zone: &str| demand.allows_zone(self.names.find(zone));
        let offer = job().and_then(|job| search.cheapest(&job.record.spec, zone_allowed));
        if offer.is_none() {
            demand_without_offer.add(demand.need, 1);
        }
        offer
    }

    fn request(&mut self, offer: &ChosenOffer<'a>) {
        self.add_empty_host(&offer.machine_type.name, offer.zone, offer.spot);
        self.count_machines(offer.zone, 1);
        *self.requests.entry(offer.instance_offer()).or_default() += 1;
        self.requested += 1;
    }
}
