//! Load shedding: the order in which events are handled when more arrive than the processor can handle.
//!
//! Events that keep the service alive are handled first: responses (leadership and records depend on them), requests of
//! peers, agent heartbeats, health checks. Cancellations, submissions and status requests of clients follow in that
//! order, each in the order of arrival, and a limited number at a time, so that timers run in between. A request whose
//! client has given up is refused, which costs next to nothing.
//!
//! The queues are bounded: a connection has one request in progress, and the transport limits connections.

use crate::controller::routing::{CANCEL_SUFFIX, SUBMISSIONS_PATH};
use crate::protocol::Micros;
use crate::protocol::peer_messages::FORWARD_PREFIX;
use crate::transport::NetworkEvent;
use std::collections::VecDeque;

/// Client requests handled in one step, at most.
const MAX_REQUESTS_PER_STEP: usize = 64;
/// Status requests that a step has room for in any case: a flood of submissions must not keep all clients from learning
/// the states of their jobs.
const MIN_STATUS_REQUESTS_PER_STEP: usize = MAX_REQUESTS_PER_STEP / 4;
/// A status request is refused after this long; its client waits 2 s (PROTOCOL, "GET /submissions/{id}").
const STATUS_TIMEOUT: Micros = Micros::millis(1_600);
/// A submission or cancellation is refused after this long; its client waits 5 s.
const CHANGE_TIMEOUT: Micros = Micros::millis(4_000);
/// Once a client request has waited this long for the processor, the interval between scheduling passes is
/// widened.
const MODERATE_DELAY: Micros = Micros::millis(1_000);
/// Factor of the interval between passes from `MODERATE_DELAY` on.
const MODERATE_DELAY_FACTOR: f64 = 2.0;
/// Once a client request has waited this long, the interval between passes is widened further.
const LONG_DELAY: Micros = Micros::millis(2_500);
/// Factor of the interval between passes from `LONG_DELAY` on.
const LONG_DELAY_FACTOR: f64 = 4.0;

/// Classes of events, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RequestClass {
    /// Keeps the service alive, and never waits.
    Vital,
    /// Cancels a job.
    Cancel,
    /// Submits a job.
    Submit,
    /// Asks for the state of a job.
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
    // The path of a forwarded request has a prefix.
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
    /// Refuse the request on this connection: its client has given up.
    Refuse(u64),
}

/// A client request that waits for the processor.
#[derive(Debug)]
struct QueuedRequest {
    arrived: Micros,
    event: NetworkEvent,
}

/// Requests of one class, in the order of arrival.
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

    /// Schedules requests until `limit` of them are to be handled; those that have timed out do not count. Returns how
    /// much of the limit is left.
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

/// Client requests that wait for the processor.
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
    /// Takes the events that have arrived; returns what to do in this step, in order.
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

    /// The factor by which scheduling passes are spaced out while clients wait for the processor.
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

    /// Whether any request waits.
    pub fn has_waiting_requests(&self) -> bool {
        self.oldest_arrival().is_some()
    }

    /// How long the request that arrived first has waited.
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
