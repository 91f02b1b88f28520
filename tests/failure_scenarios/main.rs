//! Short failure scenarios in the simulation, which checks the invariants of PROTOCOL after every step.

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

/// Partitions a controller from the agents of these machines; messages are lost.
pub fn partition_from_agents(
    sim: &mut Simulation,
    controller: usize,
    machines: &[String],
    duration: u64,
) {
    for machine in machines {
        sim.partition(
            Endpoint::Controller(controller),
            Endpoint::Agent(machine.clone()),
            PartitionMode::Drop,
            duration,
        );
    }
}
