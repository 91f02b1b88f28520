//! What users are told.

use crate::world::{SEC, job, settled};
use rand::RngExt;
use walnuttrestle::protocol::JobKind;

#[test]
fn cancelled_on_one_controller_is_cancelled_on_all() {
    let mut w = settled(8, 2);
    w.user("req-1", job(JobKind::Array, 2, 1.0), 100 * SEC);
    w.run(6);
    w.cancel(0, "req-1");
    w.run(1);
    for i in 0..w.nodes() {
        w.poll(i, "req-1");
    }
    w.run(2);
    let n = w.said.iter().filter(|s| s.3 == "cancelled").count();
    assert!(n >= 4, "{:?}", w.said);
    w.run(30);
    assert!(w.on("req-1/0").is_empty());
}

#[test]
fn cancel_races_with_the_end_and_one_of_them_stands() {
    for seed in 20..28 {
        let mut w = settled(seed, 2);
        w.user("req-1", job(JobKind::Array, 1, 1.0), 4 * SEC);
        let dt = w.rng.random_range(5_500_000..8_500_000);
        w.after(dt, |w| w.cancel_surely("req-1"));
        w.run(40);
        for i in 0..w.nodes() {
            w.poll(i, "req-1");
        }
        w.run(2);
        assert!(["done", "cancelled"].contains(&w.told("req-1").as_str()));
    }
}

#[test]
fn nobody_invents_or_forgets_a_job() {
    let mut w = settled(16, 1);
    w.poll(0, "req-99");
    w.poll(1, "nonsense");
    w.run(1);
    assert!(w.said.iter().all(|s| s.2 == 404), "{:?}", w.said);
    w.user("req-1", job(JobKind::Array, 1, 1.0), 2 * SEC);
    w.run(20);
    w.submit_once(2, "req-1");
    w.run(1);
    let last = w.said.last().unwrap();
    assert_eq!((last.2, last.3.as_str()), (200, "done"));
}

#[test]
fn users_of_a_controller_that_the_store_refuses_are_served_by_another() {
    let mut w = settled(36, 2);
    w.user("req-1", job(JobKind::Service, 1, 1.0), 0);
    w.run(10);
    let f = (0..3).find(|i| Some(*i) != w.leader()).unwrap();
    w.store.refuses.push(f);
    w.run(3);
    let from = w.said.len();
    w.declare("req-2", job(JobKind::Array, 1, 1.0), 2 * SEC);
    w.submit_once(f, "req-2");
    w.poll(f, "req-1");
    w.poll(f, "req-99");
    w.cancel(f, "req-1");
    w.run(1);
    let mut said: Vec<(u16, &str)> = w.said[from..].iter().map(|s| (s.2, s.3.as_str())).collect();
    said.sort_unstable();
    assert_eq!(
        said.iter().map(|s| s.0).collect::<Vec<_>>(),
        [200, 200, 201, 404],
        "{said:?}"
    );
    w.run(40);
    assert!(w.on("req-1/0").is_empty());
    w.poll(f, "req-2");
    w.run(1);
    assert_eq!(w.told("req-2"), "done");
}
