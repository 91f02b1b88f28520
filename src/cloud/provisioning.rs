//! Capacity of machines that are being provisioned, and its assignment to demand.

use crate::cloud::demand::{CapacityDemand, DemandClass};
use crate::scheduling::capacity_index::{CapacityIndex, InfeasibleRequests};
use crate::scheduling::placement::{self, Host, slots};
use crate::state::record_cache::Job;
use foldhash::HashMap;

/// Machines that have not started yet or will take tasks soon, less the capacity that is assigned to demand.
#[derive(Default)]
pub(super) struct ProvisioningCapacity {
    hosts: CapacityIndex,
    /// Demand that does not fit on these machines.
    infeasible: HashMap<DemandClass, InfeasibleRequests>,
}

impl ProvisioningCapacity {
    pub fn add(&mut self, host: Host) {
        self.hosts.push(host);
        // Demand that did not fit before may fit on the added machine.
        self.infeasible.clear();
    }

    /// Assigns capacity to `tasks` tasks; returns the number of tasks that found none.
    pub fn place<'j>(
        &mut self,
        demand: &CapacityDemand<'_>,
        tasks: u32,
        job: impl Fn() -> Option<&'j Job>,
    ) -> u32 {
        let placed_together = if demand.gang { tasks } else { 1 };
        let infeasible = self.infeasible.entry(demand.class()).or_default();
        if infeasible.covers(demand.need, placed_together) {
            return tasks;
        }
        let unplaced = if demand.gang {
            place_gang(&mut self.hosts, demand, tasks, job)
        } else {
            place_tasks(&mut self.hosts, demand, tasks)
        };
        if unplaced > 0 {
            infeasible.add(demand.need, placed_together);
        }
        unplaced
    }
}

/// Assigns capacity to all tasks of a gang or to none; returns the number of tasks that found none.
fn place_gang<'j>(
    hosts: &mut CapacityIndex,
    demand: &CapacityDemand<'_>,
    tasks: u32,
    job: impl Fn() -> Option<&'j Job>,
) -> u32 {
    let Some(job) = job() else {
        return tasks;
    };
    let candidates = hosts.candidates("", demand.need, demand.allow);
    let placed = placement::place_gang(
        hosts,
        candidates.into_iter(),
        "",
        &job.record.spec,
        &demand.task_requirements(),
        tasks,
        1.0,
    );
    let Some(placed) = placed else {
        return tasks;
    };
    for host in placed {
        hosts.allocate(host, demand.need);
    }
    0
}

/// Assigns capacity to as many of the tasks as possible; returns the number of tasks that found none.
fn place_tasks(hosts: &mut CapacityIndex, demand: &CapacityDemand<'_>, tasks: u32) -> u32 {
    let candidates: Vec<usize> = demand
        .constraints()
        .iter()
        .flat_map(|allowed| hosts.hosts_for(demand.need, allowed, tasks))
        .collect();
    let mut unplaced = tasks;
    for host in candidates {
        let placed = slots(&hosts[host].free, demand.need).min(unplaced);
        let taken = demand.need.map(|amount| amount * f64::from(placed));
        hosts.allocate(host, &taken);
        unplaced -= placed;
        if unplaced == 0 {
            break;
        }
    }
    unplaced
}
