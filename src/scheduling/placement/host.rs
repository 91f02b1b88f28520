//! Machines, and what tasks require of them.

use crate::protocol::JobSpec;
use crate::scheduling::placement::{NameTable, RESOURCE_TOLERANCE, Resources, add_resources};
use std::sync::Arc;

/// A job's constraints on the machines that it may use. Names are ids of the `NameTable`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PlacementConstraints {
    /// Permitted machine types; `None` permits all.
    pub machine_types: Option<Vec<u32>>,
    /// The only permitted zone; `None` permits all.
    pub zone: Option<u32>,
    /// Spot instances are permitted in addition to on-demand ones.
    pub spot: bool,
}

impl PlacementConstraints {
    /// The constraints of a job.
    pub fn of(spec: &JobSpec, names: &mut NameTable) -> PlacementConstraints {
        let machine_types = spec.types.as_ref();
        PlacementConstraints {
            machine_types: machine_types
                .map(|types| types.iter().map(|name| names.id(name)).collect()),
            zone: spec.zone.as_ref().map(|name| names.id(name)),
            spot: spec.spot,
        }
    }

    /// Whether the job may use a machine of this type in this zone; `spot` is whether it is a spot instance.
    pub fn permit(&self, machine_type: u32, zone: u32, spot: bool) -> bool {
        let types = self.machine_types.as_ref();
        (self.spot || !spot)
            && types.is_none_or(|types| types.contains(&machine_type))
            && self.zone.is_none_or(|only| only == zone)
    }
}

/// Resources, constraints and preferences for the placement of a job's tasks. Names are ids of the `NameTable`.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRequirements {
    /// Resources of one task.
    pub need: Resources,
    /// Machines that the job may use.
    pub constraints: Arc<PlacementConstraints>,
    /// The tasks write checkpoints periodically, so little work is lost when a spot instance is reclaimed.
    pub saves_checkpoints: bool,
    /// Image of the job.
    pub image: u32,
    /// Indices of machines on which tasks of the job have failed.
    pub avoided_hosts: Vec<usize>,
}

/// A machine in a scheduling pass. Names are ids of the `NameTable`.
#[derive(Debug, Clone)]
pub struct Host {
    /// Machine type.
    pub machine_type: u32,
    /// Zone.
    pub zone: u32,
    /// The machine is a spot instance.
    pub spot: bool,
    /// Epoch of the agent on the machine.
    pub agent_epoch: u64,
    /// Resources of the empty machine.
    pub total: Resources,
    /// Free resources.
    pub free: Resources,
    /// Resources of tasks that are being stopped. They are not part of `free` until the tasks have ended.
    pub stopping: Resources,
    /// The machine accepts new tasks.
    pub schedulable: bool,
    /// Images that the machine has or is fetching.
    pub images: Arc<Vec<u32>>,
    /// Id of the only job that may start tasks on the machine, because tasks were preempted there for it.
    pub reserved: Option<Arc<str>>,
}

impl Host {
    /// Allocates the resources of a task.
    pub fn allocate(&mut self, need: &Resources) {
        for (free, need) in self.free.iter_mut().zip(need) {
            *free -= need;
        }
    }

    /// Releases the resources of a task.
    pub fn release(&mut self, need: &Resources) {
        add_resources(&mut self.free, need);
    }

    /// Free resources once the tasks that are being stopped have ended.
    pub fn free_after_stops(&self) -> Resources {
        let mut free = self.free;
        add_resources(&mut free, &self.stopping);
        free
    }

    /// Whether the machine has or is fetching an image.
    pub fn has_image(&self, image: u32) -> bool {
        self.images.contains(&image)
    }

    /// Records that the machine will fetch an image.
    pub fn add_image(&mut self, image: u32) {
        if !self.has_image(image) {
            Arc::make_mut(&mut self.images).push(image);
        }
    }

    /// Whether no task holds resources of the machine.
    pub fn is_empty(&self) -> bool {
        let amounts = self.free.iter().zip(&self.total);
        amounts
            .into_iter()
            .all(|(free, total)| *free >= total - RESOURCE_TOLERANCE)
    }

    /// Whether `constraints` permit this machine.
    pub(crate) fn is_permitted_by(&self, constraints: &PlacementConstraints) -> bool {
        constraints.permit(self.machine_type, self.zone, self.spot)
    }
}

/// Whether a machine has room for one task of the job `id` and accepts it.
pub fn accepts_task(
    host: &Host,
    id: &str,
    need: &Resources,
    constraints: &PlacementConstraints,
) -> bool {
    let fits =
        |(free, need): (&f64, &f64)| *need <= 0.0 || (free + RESOURCE_TOLERANCE) / need >= 1.0;
    host.schedulable
        && host.free.iter().zip(need).all(fits)
        && host.reserved.as_deref().is_none_or(|job| job == id)
        && host.is_permitted_by(constraints)
}
