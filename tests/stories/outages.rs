//! The state service is out; leases go on by vouching, by right and by pledge.

use crate::cut_from_workers;
use crate::parties;
use crate::world::{Cut, Party, SEC, World, job, settled};
use rand::RngExt;
use walnuttrestle::protocol::JobKind;

#[test]
fn a_store_outage_across_a_crash_loses_no_accepted_job() {
    let mut w = settled(10, 3);
    w.user("req-1", job(JobKind::Array, 3, 1.0), 8 * SEC);
    w.run(2);
    w.store.outage = true;
    let l = w.leader().unwrap();
    w.crash(l, 5 * SEC);
    w.user("req-2", job(JobKind::Array, 1, 1.0), 3 * SEC);
    w.run(15);
    let now = w.now;
    w.store.end_outage(now);
    w.run(90);
    assert!(w.job_done("req-1") && w.job_done("req-2"));
}

#[test]
fn a_short_store_outage_kills_nothing() {
    let mut w = settled(11, 3);
    w.user("req-1", job(JobKind::Service, 3, 1.0), 0);
    w.run(10);
    w.store.outage = true;
    w.run(14);
    let now = w.now;
    w.store.end_outage(now);
    w.run(20);
    assert!(w.starts.values().all(|n| *n == 1), "{:?}", w.starts);
}

#[test]
fn a_long_store_outage_kills_nothing_while_all_controllers_vouch_for_one_another() {
    let mut w = settled(31, 3);
    w.user("req-1", job(JobKind::Service, 3, 1.0), 0);
    w.user("req-2", job(JobKind::Service, 1, 1.0), 0);
    w.run(10);
    w.cancel_surely("req-2");
    w.run(3);
    w.store.outage = true;
    w.run(50);
    let now = w.now;
    w.store.end_outage(now);
    w.run(20);
    assert!(w.on("req-2/0").is_empty());
    assert!(w.starts.values().all(|n| *n == 1), "{:?}", w.starts);
}

#[test]
fn without_one_of_them_a_long_store_outage_ends_the_renewals_in_time() {
    let mut w = settled(32, 3);
    w.user("req-1", job(JobKind::Service, 3, 1.0), 0);
    w.run(10);
    w.store.outage = true;
    // What it has told its users last, nobody can vouch for.
    let other = (0..3).find(|i| Some(*i) != w.leader()).unwrap();
    w.crash(other, 4 * SEC);
    w.run(45);
    assert!((0..3).all(|t| w.on(&format!("req-1/{t}")).is_empty()));
    let now = w.now;
    w.store.end_outage(now);
    w.run(60);
    assert!((0..3).all(|t| w.on(&format!("req-1/{t}")).len() == 1));
}

#[test]
fn while_the_store_is_silent_polls_are_refused_at_once_and_ends_are_still_told() {
    let mut w = settled(17, 2);
    w.user("req-1", job(JobKind::Array, 1, 1.0), 2 * SEC);
    w.declare("req-2", job(JobKind::Service, 1, 1.0), 0);
    w.submit_once(0, "req-2");
    w.run(20);
    w.store.outage = true;
    let from = w.said.len();
    w.poll(1, "req-1");
    w.poll(1, "req-2");
    w.run(1);
    let said: Vec<(u16, &str)> = w.said[from..].iter().map(|s| (s.2, s.3.as_str())).collect();
    assert!(
        said.contains(&(200, "done")) && said.contains(&(503, "")),
        "{said:?}"
    );
}

/// The leader's process ends in an outage of the state service; whoever is left keeps the agents alive.
fn leader_lost_in_an_outage(seed: u64, back: u64, pledges: bool) -> World {
    let mut w = settled(seed, 5);
    if pledges {
        w.with_pledges();
    }
    w.user("req-1", job(JobKind::Service, 5, 1.0), 0);
    w.user("req-2", job(JobKind::Array, 4, 1.0), 20 * SEC);
    w.user("req-3", job(JobKind::Array, 4, 1.0), 300 * SEC);
    w.run(10);
    let early = w.rng.random_range(3 * SEC..8 * SEC);
    w.after(early, |w| w.cancel_surely("req-3"));
    w.store.outage = true;
    w.run(6);
    let l = w.leader().expect("a leader");
    w.crash(l, back);
    w
}

#[test]
fn a_leader_lost_in_a_store_outage_takes_no_task_with_it() {
    for seed in 720..740 {
        for (back, pledges) in [
            (50_000, true),
            (300_000, false),
            (4 * SEC, true),
            (4 * SEC, false),
        ] {
            let mut w = leader_lost_in_an_outage(seed, back, pledges);
            // With pledges longer than a lease, and than cancel_s.
            w.run(if pledges { 40 } else { 20 });
            let now = w.now;
            w.store.end_outage(now);
            w.run(60);
            for task in (0..5).map(|t| format!("req-1/{t}")) {
                assert_eq!(
                    w.starts[&task],
                    1,
                    "seed {seed} {back}: {task}\n{}",
                    w.dump()
                );
            }
            assert!(w.job_done("req-2"), "seed {seed}");
            assert_eq!(w.told("req-3"), "cancelled", "seed {seed}");
        }
    }
}

/// It does not come back while the outage lasts: then the right ends, as nobody can tell that it is dead.
#[test]
fn a_right_ends_while_nobody_knows_what_became_of_the_leader() {
    let mut w = leader_lost_in_an_outage(745, 200 * SEC, false);
    w.run(16);
    let up = |w: &World| {
        (0..5)
            .filter(|t| !w.on(&format!("req-1/{t}")).is_empty())
            .count()
    };
    assert_eq!(up(&w), 5, "kept for a lease and more");
    w.run(30);
    assert_eq!(up(&w), 0, "and not for ever");
    let now = w.now;
    w.store.end_outage(now);
    w.run(60);
    assert_eq!(up(&w), 5);
}

/// Others renew by right what the leader has lost sight of. It must not take those leases for run out.
#[test]
fn a_leader_waits_for_what_others_may_have_renewed_by_its_right() {
    for seed in 760..772 {
        let mut w = settled(seed, 4);
        w.user("req-1", job(JobKind::Service, 4, 4.0), 0);
        w.run(12);
        let (l, b, c) = parties(&w);
        w.store.outage = true;
        w.run(4);
        let far: Vec<String> = w.on("req-1/0").into_iter().chain(w.on("req-1/1")).collect();
        assert!(!far.is_empty());
        for i in [b, c] {
            w.cut(
                Party::Controller(l),
                Party::Controller(i),
                Cut::Drop,
                60 * SEC,
            );
        }
        cut_from_workers(&mut w, l, &far, 60 * SEC);
        w.run(13);
        // The state service is back for the leader alone, which cannot return machines.
        w.cloud_down = true;
        w.store.refuses = vec![b, c];
        let now = w.now;
        w.store.end_outage(now);
        w.run(8);
        assert_eq!(
            w.on("req-1/0").len(),
            1,
            "seed {seed}: kept by right\n{}",
            w.dump()
        );
        w.run(60);
        w.cloud_down = false;
        w.store.refuses.clear();
        w.run(60);
        assert!((0..4).all(|t| w.on(&format!("req-1/{t}")).len() == 1));
    }
}

/// One controller has pledged to tell nothing new, is then alone with the state service, and users cancel and
/// machines come free there; the others go by its pledge.
#[test]
fn a_pledge_is_kept_by_whoever_is_alone_with_the_state_service() {
    for seed in 780..792 {
        let mut w = settled(seed, 6);
        w.with_pledges();
        w.user("req-1", job(JobKind::Service, 6, 4.0), 0);
        w.user("req-2", job(JobKind::Array, 6, 4.0), 300 * SEC);
        w.run(12);
        let (l, b, c) = parties(&w);
        w.store.outage = true;
        w.run(12);
        // Some machines come to the one that will be alone, the others stay.
        let names: Vec<String> = w.agents.keys().cloned().collect();
        for i in [l, c] {
            w.cut(
                Party::Controller(b),
                Party::Controller(i),
                Cut::Drop,
                90 * SEC,
            );
            cut_from_workers(&mut w, i, &names[..2], 90 * SEC);
        }
        cut_from_workers(&mut w, b, &names[2..], 90 * SEC);
        w.store.refuses = vec![l, c];
        w.cloud_down = true;
        let now = w.now;
        w.store.end_outage(now);
        for _ in 0..60 {
            w.cancel(b, "req-2");
            w.run(1);
        }
        w.cloud_down = false;
        assert_eq!(w.leader(), Some(b), "seed {seed}");
        assert_eq!(w.told("req-2"), "cancelled", "seed {seed}: after all");
        w.store.refuses.clear();
        w.run(90);
        assert!(
            (0..6).all(|t| w.on(&format!("req-1/{t}")).len() == 1),
            "seed {seed}\n{}",
            w.dump()
        );
    }
}

/// One after the other starts again in an outage; at no moment does nobody know the records.
#[test]
fn controllers_that_start_again_in_an_outage_learn_what_they_need_from_one_another() {
    for seed in 950..970 {
        let mut w = settled(seed, 5);
        w.with_pledges();
        w.user("req-1", job(JobKind::Service, 5, 1.0), 0);
        w.user("req-2", job(JobKind::Array, 5, 1.0), 300 * SEC);
        w.run(10);
        w.after(2 * SEC, |w| w.cancel_surely("req-2"));
        w.run(4);
        w.store.outage = true;
        w.run(4);
        let (l, b, c) = parties(&w);
        for (n, i) in [l, b, c, l, b].into_iter().enumerate() {
            let back = w.rng.random_range(50_000..400_000);
            w.after(n as u64 * 7 * SEC, move |w| w.crash(i, back));
        }
        w.run(42);
        let now = w.now;
        w.store.end_outage(now);
        w.run(60);
        for task in (0..5).map(|t| format!("req-1/{t}")) {
            assert_eq!(w.starts[&task], 1, "seed {seed}: {task}\n{}", w.dump());
        }
        assert_eq!(w.told("req-2"), "cancelled", "seed {seed}");
    }
}
