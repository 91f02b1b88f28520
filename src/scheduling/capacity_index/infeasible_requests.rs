//! Requests for which no machine has room.

use crate::scheduling::placement::Resources;

/// With more requests than this, comparing with them costs more than the search that is avoided.
const MAX_REQUESTS: usize = 24;

/// A request for room for a number of tasks that need the same resources.
#[derive(Debug, Clone, Copy)]
struct Request {
    need: Resources,
    tasks: u32,
}

impl Request {
    /// Whether `other` requests at least as many tasks with at least the same resources each.
    fn is_contained_in(&self, other: &Request) -> bool {
        self.tasks <= other.tasks
            && (0..self.need.len()).all(|resource| self.need[resource] <= other.need[resource])
    }
}

/// Requests that found no room. As long as free room only decreases, every request that contains one of them
/// is infeasible, too.
#[derive(Debug, Default, Clone)]
pub struct InfeasibleRequests {
    requests: Vec<Request>,
}

impl InfeasibleRequests {
    /// Whether the recorded requests imply that `tasks` tasks with these needs find no room.
    pub fn covers(&self, need: &Resources, tasks: u32) -> bool {
        let queried = Request { need: *need, tasks };
        let mut requests = self.requests.iter();
        requests.any(|request| request.is_contained_in(&queried))
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

    /// Removes all requests. Has to be called when free room increases.
    pub fn clear(&mut self) {
        self.requests.clear();
    }
}

#[cfg(test)]
mod tests;
