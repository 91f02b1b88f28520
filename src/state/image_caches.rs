//! Which images machines probably hold.
//!
//! Machines cache the images used most recently (PROTOCOL, "POST /submissions"), and nobody tells
//! which those are. They follow from what was placed there: every controller sees the placements in
//! the records, so that a new leader knows from its first pass on where an image need not be fetched.
//! Without it, each takeover would cost a fetch for most of what is started after it. It is a guess
//! and only ranks machines; nothing is safe or unsafe by it.

use std::collections::HashMap;

/// Images remembered of one machine.
const MOST_IMAGES: usize = 32;
/// Machines remembered; names never come back, so those used longest ago are forgotten.
const MOST_MACHINES: usize = 4_000;

/// An image and its size in GB.
type Sized = (String, f64);

#[derive(Debug, Default)]
struct Cache {
    /// Used longest ago first.
    images: Vec<Sized>,
    used: u64,
}

/// The images of all machines.
#[derive(Debug, Default)]
pub struct ImageCaches {
    machines: HashMap<String, Cache>,
    uses: u64,
}

impl ImageCaches {
    /// A task that needs this image is placed or seen on the machine.
    pub fn used(&mut self, machine: &str, image: &str, gb: f64) {
        self.uses += 1;
        let uses = self.uses;
        let cache = match self.machines.get_mut(machine) {
            Some(c) => c,
            None => self.machines.entry(machine.to_string()).or_default(),
        };
        cache.used = uses;
        match cache.images.iter().position(|(i, _)| i == image) {
            Some(at) => cache.images[at..].rotate_left(1),
            None => {
                if cache.images.len() >= MOST_IMAGES {
                    cache.images.remove(0);
                }
                cache.images.push((image.to_string(), gb));
            }
        }
        if self.machines.len() > MOST_MACHINES + MOST_MACHINES / 4 {
            let mut ages: Vec<u64> = self.machines.values().map(|c| c.used).collect();
            ages.sort_unstable();
            let oldest = ages[ages.len() - MOST_MACHINES];
            self.machines.retain(|_, c| c.used >= oldest);
        }
    }

    /// The machine has given the fetch up: no task there needs the image any more.
    pub fn given_up(&mut self, machine: &str, image: &str) {
        if let Some(c) = self.machines.get_mut(machine) {
            self.uses += 1;
            c.used = self.uses;
            c.images.retain(|(i, _)| i != image);
        }
    }

    /// Changes with every change of what the machine has.
    pub fn version(&self, machine: &str) -> u64 {
        self.machines.get(machine).map_or(0, |c| c.used)
    }

    /// What a machine whose cache holds so many GB probably has, used last first.
    pub fn of(&self, machine: &str, cache_gb: f64) -> impl Iterator<Item = &str> {
        let all = self.machines.get(machine).into_iter();
        let newest_first = all.flat_map(|c| c.images.iter().rev());
        newest_first
            .scan(0.0, move |sum, (image, gb)| {
                *sum += gb;
                Some((image.as_str(), *sum <= cache_gb))
            })
            .take_while(|(_, fits)| *fits)
            .map(|(image, _)| image)
    }
}

#[cfg(test)]
mod tests;
