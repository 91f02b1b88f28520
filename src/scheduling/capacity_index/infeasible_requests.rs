//! Requests that no machine has room for.

use crate::scheduling::placement::Resources;

/// With more requests than this, the comparison costs more than the search that it avoids.
const MAX_REQUESTS: usize = 24;

/// A number of tasks and the resources of each.
#[derive(Debug, Clone, Copy)]
struct Request {
    need: Resources,
    tasks: u32,
}

impl Request {
    /// Whether `other` asks for at least as many tasks, and for at least as much for each.
    fn is_contained_in(&self, other: &Request) -> bool {
        self.tasks <= other.tasks
            && (0..self.need.len()).all(|resource| self.need[resource] <= other.need[resource])
    }
}

/// Requests that found no room. A request that asks for as much or more finds none either, as long as free
/// room only decreases.
#[derive(Debug, Default, Clone)]
pub struct InfeasibleRequests {
    requests: Vec<Request>,
}

impl InfeasibleRequests {
    /// Whether `tasks` tasks with these needs are known to find no room.
    pub fn covers(&self, need: &Resources, tasks: u32) -> bool {
        let asked = Request { need: *need, tasks };
        let mut requests = self.requests.iter();
        requests.any(|request| request.is_contained_in(&asked))
    }

    /// Records that `tasks` tasks with these needs found no room.
    pub fn add(&mut self, need: &Resources, tasks: u32) {
        let added = Request { need: *need, tasks };
        self.requests
            .retain(|request| !added.is_contained_in(request));
        if self.requests.len() < MAX_REQUESTS {
            self.requests.push(added);
        }
    }

    /// Forgets all requests, when free room has increased.
    pub fn clear(&mut self) {
        self.requests.clear();
    }
}

#[cfg(test)]
mod tests;
