//! Index of machines by free room, updated as a pass places tasks.
//!
//! Most jobs of a long queue find no room, and most machines of a full cluster have none. The index finds the
//! machines that accept a task without visiting the full ones.

mod infeasible_requests;

pub use infeasible_requests::InfeasibleRequests;

use crate::scheduling::placement::{
    Host, PlacementConstraints, Resources, accepts_task, add_resources, slots,
};
use std::collections::BTreeMap;
use std::ops::Deref;

/// Number of levels into which the free room of a machine is divided.
const CAPACITY_LEVELS: f64 = 64.0;

/// Tolerance added to free room before it is rounded down to a level. It is well above the
/// `RESOURCE_TOLERANCE` of `placement::slots`, so that the index misses no machine that accepts a task.
const LEVEL_TOLERANCE: f64 = 1e-5;

/// Free room of each of the three resources, in units of 1/`CAPACITY_LEVELS` of an empty machine of the
/// bucket.
type CapacityLevel = [u8; 3];

/// Level of an amount of room on a machine of size `total`, rounded down.
fn level(total: &Resources, room: &Resources, tolerance: f64) -> CapacityLevel {
    std::array::from_fn(|resource| {
        if total[resource] <= 0.0 {
            return 0;
        }
        let share = (room[resource] + tolerance) / total[resource];
        (share * CAPACITY_LEVELS).floor().clamp(0.0, u8::MAX as f64) as u8
    })
}

/// Machines of the same type, zone and size; either all or none of them are spot instances.
#[derive(Debug, Clone)]
struct HostBucket {
    machine_type: u32,
    zone: u32,
    spot: bool,
    total: Resources,
    levels: BTreeMap<CapacityLevel, Vec<u32>>,
}

impl HostBucket {
    /// An empty bucket for machines with the properties of `host`.
    fn of(host: &Host) -> HostBucket {
        HostBucket {
            machine_type: host.machine_type,
            zone: host.zone,
            spot: host.spot,
            total: host.total,
            levels: BTreeMap::new(),
        }
    }

    /// Whether a machine belongs to the bucket.
    fn contains(&self, host: &Host) -> bool {
        (self.machine_type, self.zone, self.spot) == (host.machine_type, host.zone, host.spot)
            && self.total == host.total
    }

    /// Machines whose level may have room for `need`, in ascending order of levels.
    fn with_room(&self, need: &Resources) -> impl DoubleEndedIterator<Item = usize> {
        let min_level = level(&self.total, need, 0.0);
        // The map is ordered by the first resource, so levels with less of it are skipped.
        self.levels
            .range([min_level[0], 0, 0]..)
            .filter(move |(level, _)| level[1] >= min_level[1] && level[2] >= min_level[2])
            .flat_map(|(_, hosts)| hosts.iter().map(|host| *host as usize))
    }
}

/// Location of a machine in the index.
#[derive(Debug, Clone, Copy)]
struct BucketPosition {
    bucket: u32,
    level: CapacityLevel,
    /// Index into the machines of the level.
    index: u32,
}

/// The machines of a pass, indexed by free room.
#[derive(Debug, Default, Clone)]
pub struct CapacityIndex {
    hosts: Vec<Host>,
    buckets: Vec<HostBucket>,
    /// Location of each machine; `None` if it accepts no tasks and is not indexed.
    positions: Vec<Option<BucketPosition>>,
}

impl Deref for CapacityIndex {
    type Target = [Host];

    fn deref(&self) -> &[Host] {
        &self.hosts
    }
}

impl CapacityIndex {
    /// Builds an index of `hosts`.
    pub fn new(hosts: Vec<Host>) -> CapacityIndex {
        let mut index = CapacityIndex::default();
        for host in hosts {
            index.push(host);
        }
        index
    }

    /// Adds a machine.
    pub fn push(&mut self, host: Host) {
        let index = self.hosts.len();
        self.positions.push(None);
        self.hosts.push(host);
        self.reindex(index);
    }

    /// Allocates the resources of a task on a machine.
    pub fn allocate(&mut self, host: usize, need: &Resources) {
        self.hosts[host].allocate(need);
        self.reindex(host);
    }

    /// Records that a machine will fetch an image.
    pub fn add_image(&mut self, host: usize, image: u32) {
        self.hosts[host].add_image(image);
    }

    /// Records that a task on a machine, which needs these resources, is being stopped.
    pub fn mark_stopping(&mut self, host: usize, need: &Resources) {
        add_resources(&mut self.hosts[host].stopping, need);
    }

    /// Reserves a machine for a job.
    pub fn reserve(&mut self, host: usize, job: &str) {
        self.hosts[host].reserved = Some(job.into());
    }

    /// Whether any unreserved machine accepts a task that needs these resources.
    pub fn has_room(&self, need: &Resources, constraints: &PlacementConstraints) -> bool {
        self.with_room(need, constraints)
            .any(|host| accepts_task(&self.hosts[host], "", need, constraints))
    }

    /// Unreserved machines that together accept this many tasks; if they accept fewer, all machines that
    /// accept any. Within a bucket, machines with the most room come first, which are the ones rented last.
    pub fn hosts_for(
        &self,
        need: &Resources,
        constraints: &PlacementConstraints,
        tasks: u32,
    ) -> Vec<usize> {
        let mut remaining = tasks;
        let mut found = Vec::new();
        let buckets = self.permitted_buckets(constraints);
        for host in buckets.flat_map(|bucket| bucket.with_room(need).rev()) {
            if remaining == 0 {
                break;
            }
            if accepts_task(&self.hosts[host], "", need, constraints) {
                remaining = remaining.saturating_sub(slots(&self.hosts[host].free, need));
                found.push(host);
            }
        }
        found
    }

    /// All machines that accept a task of the job `id`, in no particular order.
    pub fn candidates(
        &self,
        id: &str,
        need: &Resources,
        constraints: &PlacementConstraints,
    ) -> Vec<usize> {
        self.with_room(need, constraints)
            .filter(|host| accepts_task(&self.hosts[*host], id, need, constraints))
            .collect()
    }

    /// Buckets of machines that the constraints permit.
    fn permitted_buckets(
        &self,
        constraints: &PlacementConstraints,
    ) -> impl Iterator<Item = &HostBucket> {
        let permitted = |bucket: &&HostBucket| {
            constraints.permit(bucket.machine_type, bucket.zone, bucket.spot)
        };
        self.buckets.iter().filter(permitted)
    }

    /// Machines that the constraints permit and whose level may have room for `need`.
    fn with_room(
        &self,
        need: &Resources,
        constraints: &PlacementConstraints,
    ) -> impl Iterator<Item = usize> {
        let buckets = self.permitted_buckets(constraints);
        buckets.flat_map(|bucket| bucket.with_room(need))
    }

    /// Moves a machine to the level of its free room.
    fn reindex(&mut self, index: usize) {
        let host = &self.hosts[index];
        let schedulable = host.schedulable;
        let level = level(&host.total, &host.free, LEVEL_TOLERANCE);
        if let Some(position) = self.positions[index] {
            if schedulable && position.level == level {
                return;
            }
            self.remove(index, position);
        }
        if schedulable {
            self.insert(index, level);
        }
    }

    /// Adds a machine to a level of its bucket.
    fn insert(&mut self, index: usize, level: CapacityLevel) {
        let bucket = self.bucket_of(index);
        let hosts = self.buckets[bucket].levels.entry(level).or_default();
        self.positions[index] = Some(BucketPosition {
            bucket: bucket as u32,
            level,
            index: hosts.len() as u32,
        });
        hosts.push(index as u32);
    }

    /// Removes a machine from its position.
    fn remove(&mut self, index: usize, position: BucketPosition) {
        self.positions[index] = None;
        let levels = &mut self.buckets[position.bucket as usize].levels;
        let Some(hosts) = levels.get_mut(&position.level) else {
            return;
        };
        hosts.swap_remove(position.index as usize);
        if let Some(moved_host) = hosts.get(position.index as usize)
            && let Some(moved_position) = &mut self.positions[*moved_host as usize]
        {
            moved_position.index = position.index;
        }
        if hosts.is_empty() {
            levels.remove(&position.level);
        }
    }

    /// The bucket of a machine, which is added if it is new.
    fn bucket_of(&mut self, index: usize) -> usize {
        let host = &self.hosts[index];
        let existing = self.buckets.iter().position(|bucket| bucket.contains(host));
        existing.unwrap_or_else(|| {
            self.buckets.push(HostBucket::of(host));
            self.buckets.len() - 1
        })
    }
}

#[cfg(test)]
mod tests;
