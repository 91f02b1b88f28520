//! Estimate of the images that each machine has cached.
//!
//! Machines cache the most recently used images (PROTOCOL, "POST /submissions") and do not report which ones. The
//! estimate is derived from the recorded placements, which every controller has. A new leader can thus place tasks on
//! machines that have their images from its first scheduling pass on; without that, most tasks started after a change
//! of leadership would have to fetch theirs. The estimate only ranks machines; no safety property depends on it.

use std::collections::HashMap;

/// Maximum number of images tracked per machine.
const MAX_IMAGES_PER_MACHINE: usize = 32;
/// Number of machines kept by a cleanup. Names of machines are never reused, so the least recently used are removed.
const MAX_MACHINES: usize = 4_000;
/// A cleanup runs once there are more than this many machines above `MAX_MACHINES`.
const MACHINES_BETWEEN_CLEANUPS: usize = MAX_MACHINES / 4;

#[derive(Debug)]
struct CachedImage {
    name: String,
    size_gb: f64,
}

/// The images of one machine.
#[derive(Debug, Default)]
struct MachineCache {
    /// Least recently used first.
    images: Vec<CachedImage>,
    /// Value of `ImageCaches::changes` after the last change of this machine.
    changed_at: u64,
}

/// The images of all machines.
#[derive(Debug, Default)]
pub struct ImageCaches {
    machines: HashMap<String, MachineCache>,
    /// Counts the changes of all machines.
    changes: u64,
}

impl ImageCaches {
    /// Records that a task with this image was placed on the machine or reported by it.
    pub fn record_use(&mut self, machine: &str, image: &str, size_gb: f64) {
        self.changes += 1;
        // `entry` would allocate a copy of the name even if the machine exists already.
        let cache = match self.machines.get_mut(machine) {
            Some(cache) => cache,
            None => self.machines.entry(machine.to_string()).or_default(),
        };
        cache.changed_at = self.changes;
        cache.touch(image, size_gb);
        if self.machines.len() > MAX_MACHINES + MACHINES_BETWEEN_CLEANUPS {
            self.forget_oldest_machines();
        }
    }

    fn forget_oldest_machines(&mut self) {
        let mut ages: Vec<u64> = self.machines.values().map(|c| c.changed_at).collect();
        ages.sort_unstable();
        let retention_cutoff = ages[ages.len() - MAX_MACHINES];
        self.machines
            .retain(|_, c| c.changed_at >= retention_cutoff);
    }

    /// Removes an image whose fetch the machine has abandoned, since no task there needs it any more.
    pub fn remove_image(&mut self, machine: &str, image: &str) {
        if let Some(cache) = self.machines.get_mut(machine) {
            self.changes += 1;
            cache.changed_at = self.changes;
            cache.images.retain(|i| i.name != image);
        }
    }

    /// A number that changes whenever the machine's images change.
    pub fn version(&self, machine: &str) -> u64 {
        self.machines.get(machine).map_or(0, |c| c.changed_at)
    }

    /// The images that a machine with a cache of this size probably has, most recently used first.
    pub fn images_of(&self, machine: &str, cache_gb: f64) -> impl Iterator<Item = &str> {
        let cache = self.machines.get(machine).into_iter();
        let newest_first = cache.flat_map(|c| c.images.iter().rev());
        newest_first
            .scan(0.0, move |total_gb, image| {
                *total_gb += image.size_gb;
                Some((image.name.as_str(), *total_gb <= cache_gb))
            })
            .take_while(|(_, fits)| *fits)
            .map(|(name, _)| name)
    }
}

impl MachineCache {
    /// Makes the image the most recently used one.
    fn touch(&mut self, image: &str, size_gb: f64) {
        if let Some(index) = self.images.iter().position(|i| i.name == image) {
            self.images[index..].rotate_left(1);
            return;
        }
        if self.images.len() >= MAX_IMAGES_PER_MACHINE {
            self.images.remove(0);
        }
        self.images.push(CachedImage {
            name: image.to_string(),
            size_gb,
        });
    }
}

#[cfg(test)]
mod tests;
