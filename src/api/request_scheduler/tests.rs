//! Tests of load shedding.

use super::*;
use crate::transport::Outcome;

fn request(conn: u64, method: &str, path: &str) -> NetworkEvent {
    NetworkEvent::Request {
        conn,
        internal: path.starts_with("/user"),
        method: method.into(),
        path: path.into(),
        body: Vec::new(),
    }
}

/// Connection of each scheduled request, in order: negative if the request is to be refused, 0 for a response.
fn conns(scheduled: &[ScheduledRequest]) -> Vec<i64> {
    let conn = |request: &ScheduledRequest| match request {
        ScheduledRequest::Handle(NetworkEvent::Request { conn, .. }) => *conn as i64,
        ScheduledRequest::Handle(NetworkEvent::CallFinished { .. }) => 0,
        ScheduledRequest::Refuse(conn) => -(*conn as i64),
    };
    scheduled.iter().map(conn).collect()
}

/// A thousand status requests arrive before an agent heartbeat, a health check, a response of the store and a few
/// client requests of higher priority. Handling events in order of arrival would delay the vital events.
#[test]
fn vital_events_do_not_wait_behind_a_flood_of_status_requests() {
    let mut scheduler = RequestScheduler::default();
    let at = |offset_ms: u64| Micros::millis(10_000 + offset_ms);
    let mut flood: Vec<NetworkEvent> = (0..1_000)
        .map(|index| request(100 + index, "GET", "/submissions/req-1"))
        .collect();
    flood.extend([
        request(1, "POST", "/submissions"),
        request(2, "POST", "/submissions/req-1/cancel"),
        request(3, "POST", "/hello"),
        request(4, "GET", "/healthz"),
        request(5, "POST", "/user/submissions"),
        NetworkEvent::CallFinished {
            id: 7,
            outcome: Outcome::Lost,
        },
    ]);
    let first_step = conns(&scheduler.step(at(0), flood));
    assert_eq!(first_step[..6], [3, 4, 0, 2, 1, 5]);
    assert_eq!(first_step.len(), 3 + MAX_REQUESTS_PER_STEP);
    assert_eq!(scheduler.longest_delay(at(300)), Micros::millis(300));
    // A vital event that arrives later is handled before all queued requests.
    let second_step = conns(&scheduler.step(at(300), vec![request(8, "POST", "/hello")]));
    assert_eq!(
        (second_step[0], second_step[1]),
        (8, 100 + (MAX_REQUESTS_PER_STEP as i64 - 3))
    );
    // Status requests whose clients have timed out are all refused in one step; none of them is handled.
    let third_step = conns(&scheduler.step(at(1_700), Vec::new()));
    assert!(
        third_step.len() > 800 && third_step.iter().all(|conn| *conn < 0),
        "expected more than 800 refusals and no handled request, got {third_step:?}"
    );
    assert!(
        !scheduler.has_waiting_requests(),
        "requests are still queued after all of them timed out; the oldest has waited {:?}",
        scheduler.longest_delay(at(1_700))
    );
}

#[test]
fn a_flood_of_submissions_leaves_room_for_status_requests() {
    let mut scheduler = RequestScheduler::default();
    let flood = (0..500).map(|index| request(1_000 + index, "POST", "/submissions"));
    let status_requests = (0..40).map(|index| request(1 + index, "GET", "/submissions/req-1"));
    let first_step =
        conns(&scheduler.step(Micros::millis(1), flood.chain(status_requests).collect()));
    assert_eq!(first_step.len(), MAX_REQUESTS_PER_STEP);
    assert_eq!(
        first_step.iter().filter(|conn| **conn < 1_000).count(),
        MIN_STATUS_REQUESTS_PER_STEP
    );
}
