//! Short failure scenarios in the simulation, which checks the rules of PROTOCOL after every step.

#[path = "../simulation/mod.rs"]
mod simulation;

mod client_answers;
mod job_dependencies;
mod network_partitions;
mod placement;
mod random_faults;
mod store_outages;
mod version_upgrades;

use simulation::{Endpoint, PartitionMode, Simulation};

/// Partitions the zones from each other; the store stays reachable.
pub fn partition_zones(sim: &mut Simulation, dt: u64) {
    let zone = |i: usize| if i.is_multiple_of(2) { "a" } else { "b" };
    for i in 0..3 {
        for j in (0..3).filter(|j| zone(*j) != zone(i)) {
            sim.partition(
                Endpoint::Controller(i),
                Endpoint::Controller(j),
                PartitionMode::Drop,
                dt,
            );
        }
        let far: Vec<String> = sim
            .agents
            .values()
            .filter(|x| x.zone != zone(i))
            .map(|x| x.name.clone())
            .collect();
        for machine in far {
            sim.partition(
                Endpoint::Controller(i),
                Endpoint::Agent(machine),
                PartitionMode::Drop,
                dt,
            );
        }
    }
}

/// The leader and the two followers.
pub fn controllers_by_role(sim: &Simulation) -> (usize, usize, usize) {
    let leader = sim.leader().expect("a leader");
    (leader, (leader + 1) % 3, (leader + 2) % 3)
}

pub fn partition_from_agents(sim: &mut Simulation, node: usize, names: &[String], dt: u64) {
    for machine in names {
        sim.partition(
            Endpoint::Controller(node),
            Endpoint::Agent(machine.clone()),
            PartitionMode::Drop,
            dt,
        );
    }
}
