//! Tests.

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

fn conns(turns: &[ScheduledRequest]) -> Vec<i64> {
    let conn = |t: &ScheduledRequest| match t {
        ScheduledRequest::Handle(NetworkEvent::Request { conn, .. }) => *conn as i64,
        ScheduledRequest::Handle(NetworkEvent::Answer { .. }) => 0,
        ScheduledRequest::Refuse(conn) => -(*conn as i64),
    };
    turns.iter().map(conn).collect()
}

/// A thousand polls are in the way of an answer from the store, a report and a cancellation.
#[test]
fn what_keeps_the_service_alive_does_not_wait_behind_a_flood_of_polls() {
    let mut t = RequestScheduler::default();
    let at = |ms: u64| Micros::millis(10_000 + ms);
    let mut flood: Vec<NetworkEvent> = (0..1_000)
        .map(|n| request(100 + n, "GET", "/submissions/req-1"))
        .collect();
    flood.extend([
        request(1, "POST", "/submissions"),
        request(2, "POST", "/submissions/req-1/cancel"),
        request(3, "POST", "/hello"),
        request(4, "GET", "/healthz"),
        request(5, "POST", "/user/submissions"),
        NetworkEvent::Answer {
            id: 7,
            outcome: Outcome::Lost,
        },
    ]);
    let first = conns(&t.step(at(0), flood));
    assert_eq!(first[..6], [3, 4, 0, 2, 1, 5]);
    assert_eq!(first.len(), 3 + A_STEP);
    assert_eq!(t.age(at(300)), Micros::millis(300));
    // What comes later and is vital goes ahead of all that wait.
    let second = conns(&t.step(at(300), vec![request(8, "POST", "/hello")]));
    assert_eq!((second[0], second[1]), (8, 100 + (A_STEP as i64 - 3)));
    // Users who have given up are refused all at once; none of their polls is worth its work.
    let third = conns(&t.step(at(1_700), Vec::new()));
    assert!(third.len() > 800 && third.iter().all(|c| *c < 0));
    assert!(!t.waiting());
}

#[test]
fn a_flood_of_submissions_leaves_polls_a_part() {
    let mut t = RequestScheduler::default();
    let flood = (0..500).map(|n| request(1_000 + n, "POST", "/submissions"));
    let polls = (0..40).map(|n| request(1 + n, "GET", "/submissions/req-1"));
    let first = conns(&t.step(Micros::millis(1), flood.chain(polls).collect()));
    assert_eq!(first.len(), A_STEP);
    assert_eq!(first.iter().filter(|c| **c < 1_000).count(), A_STEP / 4);
}
