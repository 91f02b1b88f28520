//! Resource amounts and arithmetic on them.

use crate::protocol::JobSpec;

/// CPUs, GPUs and memory in GB, in this order.
pub type Resources = [f64; 3];

/// Tolerance for rounding errors in sums of resource amounts.
pub const RESOURCE_TOLERANCE: f64 = 1e-6;

/// Upper limit of `slots`, for tasks that need no resources.
const MAX_SLOTS: f64 = 1e6;

/// Resources that one task of the job needs.
pub fn task_resources(spec: &JobSpec) -> Resources {
    [spec.cpus, spec.gpus, spec.memory_gb]
}

/// Adds `amounts` to `room`.
pub fn add_resources(room: &mut Resources, amounts: &Resources) {
    for (room, amount) in room.iter_mut().zip(amounts) {
        *room += amount;
    }
}

/// Number of tasks with these needs that fit into the room.
pub fn slots(room: &Resources, need: &Resources) -> u32 {
    let mut tasks = MAX_SLOTS;
    for (room, need) in room.iter().zip(need) {
        if *need > 0.0 {
            tasks = f64::min(tasks, ((room + RESOURCE_TOLERANCE) / need).floor());
        }
    }
    tasks.max(0.0) as u32
}

/// Dominant share of a task: the largest of its shares of the resources of an empty machine.
pub fn dominant_share(total: &Resources, need: &Resources) -> f64 {
    total
        .iter()
        .zip(need)
        .filter(|(total, _)| **total > 0.0)
        .map(|(total, need)| need / total)
        .fold(0.0, f64::max)
}
