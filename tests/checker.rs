//! The tests' checker itself: fed with a fault, it reports it.

mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};
use walnuttrestle::protocol::{JobKind, JobSpec};
use world::{CANCEL_S, LEASE_S, Party, SEC, World, job, settled};

/// Plays the story on; the rule that the checker reports.
fn reported(mut w: World, seconds: u64) -> String {
    let seen = catch_unwind(AssertUnwindSafe(|| w.run(seconds)));
    let text = match seen {
        Ok(()) => return String::new(),
        Err(e) => e.downcast::<String>().expect("a text"),
    };
    text.split(' ').next().unwrap_or_default().to_string()
}

/// A world with a job whose tasks run.
fn running(seed: u64, spec: JobSpec) -> World {
    let mut w = settled(seed, 4);
    w.user("req-1", spec, 300 * SEC);
    w.run(8);
    assert!(w.there("req-1") > 0);
    w
}

#[test]
fn a_start_that_is_sent_after_a_confirmed_cancellation_is_reported() {
    let start = |w: &mut World| {
        let l = w.leader().expect("a leader");
        w.pretend_start(l, "n-000001", "req-1/0", 9);
    };
    let mut w = running(3900, job(JobKind::Array, 2, 1.0));
    w.cancel_surely("req-1");
    w.run(6);
    assert_eq!(w.told("req-1"), "cancelled");
    start(&mut w);
    assert_eq!(reported(w, 1), "started_cancelled");
    // One that was in flight when its user was told is none.
    let mut w = running(3901, job(JobKind::Array, 2, 1.0));
    w.delay_orders = Some(3 * SEC);
    start(&mut w);
    w.delay_orders = None;
    w.cancel_surely("req-1");
    assert_eq!(reported(w, 10), "");
}

#[test]
fn a_cancelled_task_that_goes_on_after_its_machine_hung_is_reported() {
    for lease_over in [false, true] {
        let mut w = running(3910, job(JobKind::Array, 1, 1.0));
        let m = w.on("req-1/0").pop_first().expect("a machine");
        w.cancel_surely("req-1");
        // The machine stands still, and the leader does not return it.
        w.cloud_down = true;
        w.agents.get_mut(&m).expect("it").hung_until = w.now + 40 * SEC;
        let dt = if lease_over { LEASE_S + 2 } else { 2 };
        w.run(dt);
        let key = ("req-1/0".to_string(), 1);
        if lease_over {
            // An agent whose clock stood still, too, would not know that its lease is over.
            assert!(w.agents[&m].tasks.is_empty());
            w.pretend_running(&m, key);
        }
        for s in 0..CANCEL_S + 4 {
            let of = m.clone();
            w.after(s * SEC, move |w| {
                let now = w.now;
                if let Some(x) = w.agents.get_mut(&of) {
                    x.lease_from = now;
                }
            });
        }
        assert_eq!(reported(w, CANCEL_S + 4), "ran_cancelled");
    }
}

#[test]
fn answers_older_than_what_was_told_are_reported() {
    // What was told first, what is answered to which question afterwards, and the rule.
    let cases = [
        ("pending", "poll", 404, "", "forgotten"),
        ("pending", "cancel", 404, "", "forgotten"),
        ("pending", "submit", 422, "", "forgotten"),
        ("pending", "submit", 400, "", "forgotten"),
        ("cancelled", "poll", 200, "pending", "went_back"),
        ("cancelled", "submit", 201, "pending", "went_back"),
        ("cancelled", "cancel", 200, "done", "not_done"),
        ("cancelled", "poll", 404, "", "forgotten"),
    ];
    for (first, what, status, state, rule) in cases {
        let mut w = running(3920, job(JobKind::Array, 2, 1.0));
        if first == "cancelled" {
            w.cancel_surely("req-1");
            w.run(3);
        }
        w.pretend_told("req-1", w.now, what, status, state);
        assert_eq!(
            reported(w, 1),
            rule,
            "{first}, then {what} {status} {state}"
        );
    }
    // A question that was asked before may be answered with what held then.
    let mut w = running(3921, job(JobKind::Array, 2, 1.0));
    let asked = w.now;
    w.cancel_surely("req-1");
    w.run(3);
    w.pretend_told("req-1", asked, "poll", 200, "running");
    assert_eq!(reported(w, 1), "");
}

#[test]
fn a_job_that_waits_although_there_is_room_is_reported() {
    let red = |tasks| JobSpec {
        team: "red".into(),
        ..job(JobKind::Array, tasks, 2.0)
    };
    // All controllers stand still, so nobody starts it.
    let mut w = settled(3930, 4);
    w.user("req-1", red(2), 300 * SEC);
    while !w.jobs["req-1"].accepted {
        w.step_for(5_000);
    }
    for i in 0..3 {
        w.freeze(i, 300 * SEC);
    }
    w.balance();
    w.calm();
    assert_eq!(reported(w, 100), "left_waiting");
    // What its team's limit holds back is none, nor what finds no room.
    let mut w = settled(3931, 4);
    w.balance();
    w.no_capacity = true;
    w.user("req-1", red(6), 400 * SEC);
    w.run(8);
    assert_eq!(w.there("req-1"), 6);
    w.user("req-2", red(1), 10 * SEC);
    w.user("req-3", job(JobKind::Array, 40, 8.0), 400 * SEC);
    w.calm();
    assert_eq!(reported(w, 120), "");
}

#[test]
fn a_team_over_its_limit_is_reported_also_on_machines_that_are_cut_off_or_hang() {
    for trouble in 0..2 {
        let mut w = settled(3940, 4);
        let red = JobSpec {
            team: "red".into(),
            ..job(JobKind::Array, 6, 2.0)
        };
        w.user("req-1", red, 300 * SEC);
        w.run(8);
        assert_eq!(w.there("req-1"), 6);
        let m = w.on("req-1/0").pop_first().expect("a machine");
        if trouble == 0 {
            w.agents.get_mut(&m).expect("it").hung_until = w.now + 5 * SEC;
        } else {
            for i in 0..3 {
                w.cut(
                    Party::Controller(i),
                    Party::Agent(m.clone()),
                    world::Cut::Drop,
                    5 * SEC,
                );
            }
        }
        let more = JobSpec {
            team: "red".into(),
            ..job(JobKind::Array, 1, 2.0)
        };
        w.declare("req-2", more, 300 * SEC);
        w.jobs.get_mut("req-2").expect("declared").accepted = true;
        let other = w.names().into_iter().find(|n| *n != m).expect("another");
        w.pretend_running(&other, ("req-2/0".to_string(), 1));
        assert_eq!(reported(w, 1), "quota");
    }
}

#[test]
fn an_accepted_job_that_can_never_run_is_reported() {
    for (status, rule) in [
        (201, "accepted_invalid"),
        (404, "refused_otherwise"),
        (400, ""),
    ] {
        let mut w = settled(3950, 2);
        w.pretend_odd(status);
        assert_eq!(reported(w, 1), rule);
    }
    // Many of them, and none is accepted; each is refused alike by every node.
    let mut w = settled(3951, 2);
    for _ in 0..300 {
        w.odd_request();
    }
    w.run(2);
}

#[test]
fn a_job_about_which_nobody_is_answered_is_reported() {
    let mut w = settled(3960, 4);
    w.balance();
    w.run(3);
    w.caller("req-1", job(JobKind::Array, 2, 1.0), 300 * SEC);
    w.run(8);
    assert!(w.jobs["req-1"].accepted);
    w.calm();
    for i in 0..3 {
        w.freeze(i, 300 * SEC);
    }
    assert_eq!(reported(w, 84), "forgotten");
}
