//! The autoscaler: plans which machines to request and which to delete after a scheduling pass. Modifies no state.

pub use crate::cloud::demand::{CapacityDemand, DemandSource};
pub use crate::cloud::instance_offer::InstanceOffer;
pub use crate::cloud::scale_in::{DeletionReason, MachineDeletion};

use crate::agents::leader_state::LeaderState;
use crate::cloud::scale_in::plan_scale_in;
use crate::cloud::scale_out::plan_scale_out;
use crate::policy::Policy;
use crate::protocol::cloud_api::MachineType;
use crate::protocol::{Clock, Micros, Settings};
use crate::scheduling::backfill::UnmetDemand;
use crate::scheduling::cluster_snapshot::HostTable;
use crate::scheduling::placement::{Host, NameTable};
use crate::state::record_cache::RecordCache;
use std::collections::{BTreeMap, BTreeSet};

/// A machine counts as silent after this many heartbeat intervals without a heartbeat.
const SILENT_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Minimum number of silent machines for a zone to seem partitioned.
const MIN_SILENT_MACHINES: usize = 2;

/// Machines to request and to delete.
#[derive(Debug, Default, PartialEq)]
pub struct ScalingPlan {
    /// Machines to delete.
    pub deletions: Vec<MachineDeletion>,
    /// Number of machines to request, by offer.
    pub requests: BTreeMap<InstanceOffer, u32>,
    /// Whether rent requests may be sent: the cloud's list has been read, and the number of machines before the first
    /// request is recorded.
    pub may_scale_out: bool,
}

/// Input of the autoscaler: the state of the leader at the end of a scheduling pass.
#[derive(Clone, Copy)]
pub struct FleetSnapshot<'a> {
    /// State of the leader.
    pub leader: &'a LeaderState,
    /// Cached records.
    pub cache: &'a RecordCache,
    /// Settings of the deployment.
    pub settings: &'a Settings,
    /// Settings that operators change at run time.
    pub policy: &'a Policy,
    /// Current time.
    pub clock: Clock,
    /// The machines that accept tasks, by name.
    pub hosts: &'a HostTable<'a>,
    /// The same machines with the capacity that is left after this pass.
    pub hosts_after_pass: &'a [Host],
    /// Whether all reachable agents have had the time to send us a heartbeat since we acquired leadership.
    pub takeover_grace_elapsed: bool,
}

impl<'a> FleetSnapshot<'a> {
    /// Machine types on offer; empty while they are unknown.
    pub(super) fn machine_types(&self) -> &'a [MachineType] {
        self.cache.machine_types.as_deref().unwrap_or_default()
    }
}

/// Assigns ids to the names of all machine types and zones, including those on offer.
pub fn assign_name_ids(leader: &LeaderState, cache: &RecordCache, names: &mut NameTable) {
    for machine_type in cache.machine_types.iter().flatten() {
        names.id(&machine_type.name);
        for zone in &machine_type.zones {
            names.id(zone);
        }
    }
    for machine in leader.inventory.machines.values() {
        names.id(&machine.kind);
        names.id(&machine.zone);
    }
    for agent in leader.agents.values() {
        names.id(&agent.zone);
    }
    for pending in leader.inventory.rent_requests.values() {
        names.id(&pending.request.machine_type);
        names.id(&pending.request.zone);
    }
}

/// Plans scale-in, and scale-out for the `unmet` demand unless too little is known about the machines yet.
pub fn plan<'a>(
    snapshot: &FleetSnapshot<'_>,
    names: &NameTable,
    source: &impl DemandSource<'a>,
    unmet: &[UnmetDemand<'_>],
) -> ScalingPlan {
    let silent_zones = silent_zones(snapshot);
    let capacity_missing = !unmet.is_empty();
    let may_scale_out =
        snapshot.leader.inventory.listed_once && snapshot.cache.initial_machines.is_some();
    let requests = if may_scale_out && capacity_missing && snapshot.takeover_grace_elapsed {
        plan_scale_out(snapshot, names, &silent_zones, source, unmet)
    } else {
        BTreeMap::new()
    };
    ScalingPlan {
        deletions: plan_scale_in(snapshot, &silent_zones, capacity_missing),
        requests,
        may_scale_out,
    }
}

/// Numbers of machines in a zone.
#[derive(Default)]
struct ZoneCount {
    machines: usize,
    silent: usize,
}

/// Zones in which most machines are silent or seem unreachable. Such a zone is more likely partitioned than failed, so
/// its machines are kept for as long as new ones would take to boot.
fn silent_zones(snapshot: &FleetSnapshot<'_>) -> BTreeSet<String> {
    let silence_limit =
        Micros::secs(snapshot.settings.params.agents.report_s * SILENT_HEARTBEAT_INTERVALS);
    let mut zones: BTreeMap<&str, ZoneCount> = BTreeMap::new();
    for agent in snapshot.leader.agents.values() {
        let is_silent = snapshot.clock.now.since(agent.last_heartbeat_at) > silence_limit;
        let zone = zones.entry(&agent.zone).or_default();
        zone.machines += 1;
        zone.silent += usize::from(is_silent || !agent.reachability.is_reachable());
    }
    zones
        .into_iter()
        .filter(|(_, zone)| zone.silent >= MIN_SILENT_MACHINES && zone.silent * 2 > zone.machines)
        .map(|(name, _)| name.to_string())
        .collect()
}
