//! Load shedding: prioritises events when more arrive than the CPU can handle.
//!
//! Events that keep the service alive are handled first: responses (leadership and records depend on them), requests
//! from peers, agent heartbeats and health checks. Client requests follow: cancellations, then submissions, then status
//! requests, each kind in order of arrival. Their number per step is limited, so that timers run in between. A request
//! whose client has timed out is refused, which takes hardly any CPU time.
//!
//! The queues are bounded, because a connection has at most one request in progress and the transport limits the number
//! of connections.

use crate::controller::routing::{CANCEL_SUFFIX, SUBMISSIONS_PATH};
use crate::protocol::Micros;
use crate::protocol::peer_messages::FORWARD_PREFIX;
use crate::transport::NetworkEvent;
use std::collections::VecDeque;

/// Maximum number of client requests handled in one step.
const MAX_REQUESTS_PER_STEP: usize = 64;
/// Number of status requests that each step reserves capacity for, so that a flood of submissions does not starve them.
const MIN_STATUS_REQUESTS_PER_STEP: usize = MAX_REQUESTS_PER_STEP / 4;
/// A status request that has waited this long is refused. Clients time out after 2 s (PROTOCOL, "GET
/// /submissions/{id}").
const STATUS_TIMEOUT: Micros = Micros::millis(1_600);
/// A submission or cancellation that has waited this long is refused. Clients time out after 5 s.
const CHANGE_TIMEOUT: Micros = Micros::millis(4_000);
/// Once a client request has waited this long for CPU time, the interval between scheduling passes is increased.
const MODERATE_DELAY: Micros = Micros::millis(1_000);
/// Factor by which the interval between passes is increased from `MODERATE_DELAY` on.
const MODERATE_DELAY_FACTOR: f64 = 2.0;
/// Once a client request has waited this long, the interval between passes is increased further.
const LONG_DELAY: Micros = Micros::millis(2_500);
/// Factor by which the interval between passes is increased from `LONG_DELAY` on.
const LONG_DELAY_FACTOR: f64 = 4.0;

/// Classes of events, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RequestClass {
    /// Needed to keep the service alive; handled at once, whatever the load.
    Vital,
    /// Cancels a job.
    Cancel,
    /// Submits a job.
    Submit,
    /// Requests the state of a job.
    Status,
}

fn classify(event: &NetworkEvent) -> RequestClass {
    let NetworkEvent::Request {
        internal,
        method,
        path,
        ..
    } = event
    else {
        return RequestClass::Vital;
    };
    // The path of a request forwarded by a peer has a prefix before the submissions path.
    let Some((_, job_path)) = path.split_once(SUBMISSIONS_PATH) else {
        return RequestClass::Vital;
    };
    if *internal && !path.starts_with(FORWARD_PREFIX) {
        return RequestClass::Vital;
    }
    match method.as_str() {
        "GET" => RequestClass::Status,
        _ if job_path.ends_with(CANCEL_SUFFIX) => RequestClass::Cancel,
        _ => RequestClass::Submit,
    }
}

/// What to do with an event now.
#[derive(Debug)]
pub enum ScheduledRequest {
    /// Handle it.
    Handle(NetworkEvent),
    /// Refuse the request on this connection, because its client has timed out.
    Refuse(u64),
}

/// A client request that waits for CPU time.
#[derive(Debug)]
struct QueuedRequest {
    arrived: Micros,
    event: NetworkEvent,
}

/// Requests of one class, in order of arrival.
#[derive(Debug)]
struct RequestQueue {
    requests: VecDeque<QueuedRequest>,
    /// A request that has waited for this long is refused.
    timeout: Micros,
}

impl RequestQueue {
    fn new(timeout: Micros) -> RequestQueue {
        RequestQueue {
            requests: VecDeque::new(),
            timeout,
        }
    }

    fn push(&mut self, arrived: Micros, event: NetworkEvent) {
        self.requests.push_back(QueuedRequest { arrived, event });
    }

    /// Takes requests off the queue until `limit` of them are scheduled to be handled. Requests that have timed out are
    /// scheduled to be refused and do not count. Returns how much of the limit is left.
    fn schedule(
        &mut self,
        now: Micros,
        limit: usize,
        scheduled: &mut Vec<ScheduledRequest>,
    ) -> usize {
        let mut remaining = limit;
        while remaining > 0
            && let Some(QueuedRequest { arrived, event }) = self.requests.pop_front()
        {
            match event {
                NetworkEvent::Request { conn, .. } if now >= arrived + self.timeout => {
                    scheduled.push(ScheduledRequest::Refuse(conn));
                }
                event => {
                    remaining -= 1;
                    scheduled.push(ScheduledRequest::Handle(event));
                }
            }
        }
        remaining
    }
}

/// Queues of client requests that wait for CPU time.
#[derive(Debug)]
pub struct RequestScheduler {
    cancellations: RequestQueue,
    submissions: RequestQueue,
    status_requests: RequestQueue,
}

impl Default for RequestScheduler {
    fn default() -> RequestScheduler {
        RequestScheduler {
            cancellations: RequestQueue::new(CHANGE_TIMEOUT),
            submissions: RequestQueue::new(CHANGE_TIMEOUT),
            status_requests: RequestQueue::new(STATUS_TIMEOUT),
        }
    }
}

impl RequestScheduler {
    /// Queues the events that have arrived; returns the requests to handle or refuse in this step, in order.
    pub fn step(&mut self, now: Micros, events: Vec<NetworkEvent>) -> Vec<ScheduledRequest> {
        let capacity = events.len().min(2 * MAX_REQUESTS_PER_STEP);
        let mut scheduled = Vec::with_capacity(capacity);
        for event in events {
            match classify(&event) {
                RequestClass::Vital => scheduled.push(ScheduledRequest::Handle(event)),
                RequestClass::Cancel => self.cancellations.push(now, event),
                RequestClass::Submit => self.submissions.push(now, event),
                RequestClass::Status => self.status_requests.push(now, event),
            }
        }
        let waiting_status_requests = self.status_requests.requests.len();
        let reserved = waiting_status_requests.min(MIN_STATUS_REQUESTS_PER_STEP);
        let mut limit = MAX_REQUESTS_PER_STEP - reserved;
        limit = self.cancellations.schedule(now, limit, &mut scheduled);
        limit = self.submissions.schedule(now, limit, &mut scheduled);
        self.status_requests
            .schedule(now, limit + reserved, &mut scheduled);
        scheduled
    }

    /// Returns the factor by which the interval between scheduling passes is increased while client requests wait.
    pub fn pass_interval_factor(&self, now: Micros) -> f64 {
        let delay = self.longest_delay(now);
        if delay < MODERATE_DELAY {
            1.0
        } else if delay < LONG_DELAY {
            MODERATE_DELAY_FACTOR
        } else {
            LONG_DELAY_FACTOR
        }
    }

    /// Returns whether any request is queued.
    pub fn has_waiting_requests(&self) -> bool {
        self.oldest_arrival().is_some()
    }

    /// Returns how long the oldest queued request has waited.
    pub fn longest_delay(&self, now: Micros) -> Micros {
        self.oldest_arrival()
            .map_or(Micros::ZERO, |arrived| now.since(arrived))
    }

    fn oldest_arrival(&self) -> Option<Micros> {
        let queues = [
            &self.cancellations,
            &self.submissions,
            &self.status_requests,
        ];
        queues
            .iter()
            .filter_map(|queue| Some(queue.requests.front()?.arrived))
            .min()
    }
}

#[cfg(test)]
mod tests;
