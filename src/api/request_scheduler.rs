//! Whose turn it is when more arrives than the processor can handle.
//!
//! What keeps the service alive goes first: answers (leadership and records hang on them), peers,
//! agents' reports, health checks. Cancellations, submissions and polls of users come after it, in that
//! order and each in the order of arrival, some at a time, so that timers fall due in between. A request
//! whose user has given up is not worth its work any more: it is refused, which costs next to nothing.
//!
//! Nothing grows here without bound: a connection has one request on its way, and connections are
//! limited by the transport.

use crate::protocol::Micros;
use crate::transport::NetworkEvent;
use std::collections::VecDeque;

/// Requests of users handled in one step, at most.
const A_STEP: usize = 64;
/// A poll's user waits 2 s (PROTOCOL, "GET /submissions/{id}"), a submission's or cancellation's 5 s;
/// something is left for the way back.
const POLL_PATIENCE: Micros = Micros::millis(1_600);
const PATIENCE: Micros = Micros::millis(4_000);

/// Sorts of what arrives, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RequestClass {
    /// Never waits.
    Vital,
    Cancel,
    Submit,
    Poll,
}

fn sort(e: &NetworkEvent) -> RequestClass {
    let NetworkEvent::Request {
        internal,
        method,
        path,
        ..
    } = e
    else {
        return RequestClass::Vital;
    };
    // A peer hands users' requests on under a path of its own.
    let Some(rest) = path.split_once("/submissions").map(|(_, rest)| rest) else {
        return RequestClass::Vital;
    };
    match (method.as_str(), rest) {
        _ if *internal && !path.starts_with(crate::protocol::peer_messages::FORWARD_PREFIX) => {
            RequestClass::Vital
        }
        ("GET", _) => RequestClass::Poll,
        (_, r) if r.ends_with("/cancel") => RequestClass::Cancel,
        _ => RequestClass::Submit,
    }
}

/// What is to be done with an event now.
#[derive(Debug)]
pub enum ScheduledRequest {
    /// Handle it.
    Handle(NetworkEvent),
    /// Its user has waited for too long: refuse it on this connection.
    Refuse(u64),
}

/// Users' requests that wait for their turn, with their arrival.
#[derive(Debug, Default)]
pub struct RequestScheduler {
    cancels: VecDeque<(Micros, NetworkEvent)>,
    submits: VecDeque<(Micros, NetworkEvent)>,
    polls: VecDeque<(Micros, NetworkEvent)>,
}

impl RequestScheduler {
    /// Takes what has arrived; gives what is to be handled in this step, in order.
    pub fn step(&mut self, now: Micros, events: Vec<NetworkEvent>) -> Vec<ScheduledRequest> {
        let mut turns = Vec::with_capacity(events.len().min(2 * A_STEP));
        for e in events {
            match sort(&e) {
                RequestClass::Vital => turns.push(ScheduledRequest::Handle(e)),
                RequestClass::Cancel => self.cancels.push_back((now, e)),
                RequestClass::Submit => self.submits.push_back((now, e)),
                RequestClass::Poll => self.polls.push_back((now, e)),
            }
        }
        // A flood of submissions must not keep everybody from learning how their jobs are.
        let polls = self.polls.len().min(A_STEP / 4);
        let mut left = A_STEP - polls;
        left = take(&mut self.cancels, now, PATIENCE, left, &mut turns);
        left = take(&mut self.submits, now, PATIENCE, left, &mut turns);
        take(
            &mut self.polls,
            now,
            POLL_PATIENCE,
            left + polls,
            &mut turns,
        );
        turns
    }

    /// Passes come this many times as far apart while users wait for the processor.
    pub fn stretch(&self, now: Micros) -> f64 {
        match self.age(now).0 {
            0..1_000_000 => 1.0,
            1_000_000..2_500_000 => 2.0,
            _ => 4.0,
        }
    }

    /// Something waits.
    pub fn waiting(&self) -> bool {
        self.oldest().is_some()
    }

    /// How long the request that came first has waited.
    pub fn age(&self, now: Micros) -> Micros {
        self.oldest().map_or(Micros::ZERO, |t| now.since(t))
    }

    fn oldest(&self) -> Option<Micros> {
        let queues = [&self.cancels, &self.submits, &self.polls];
        queues.iter().filter_map(|q| Some(q.front()?.0)).min()
    }
}

/// Takes at most `left` requests that are worth their work; returns how many more might be.
fn take(
    queue: &mut VecDeque<(Micros, NetworkEvent)>,
    now: Micros,
    patience: Micros,
    mut left: usize,
    turns: &mut Vec<ScheduledRequest>,
) -> usize {
    while left > 0
        && let Some((came, e)) = queue.pop_front()
    {
        match e {
            NetworkEvent::Request { conn, .. } if now >= came + patience => {
                turns.push(ScheduledRequest::Refuse(conn));
            }
            e => {
                left -= 1;
                turns.push(ScheduledRequest::Handle(e));
            }
        }
    }
    left
}

#[cfg(test)]
mod tests;
