//! Jobs that wait for jobs.

use crate::world::{SEC, World, after, job, settled};
use walnuttrestle::protocol::{JobKind, JobSpec};

/// A pipeline of three steps and a diamond, each job handed to another controller.
#[test]
fn jobs_wait_for_the_jobs_they_need() {
    for seed in 100..106 {
        let mut w = settled(seed, 5);
        w.user("req-1", job(JobKind::Array, 4, 1.0), 6 * SEC);
        w.run(2);
        w.user(
            "req-2",
            after(&["req-1"], job(JobKind::Array, 60, 0.1)),
            4 * SEC,
        );
        w.user(
            "req-3",
            after(&["req-1"], job(JobKind::Gang, 2, 1.0)),
            4 * SEC,
        );
        w.run(2);
        let last = after(
            &["req-2", "req-3", "req-1", "req-2"],
            job(JobKind::Array, 2, 1.0),
        );
        w.user("req-4", last, 2 * SEC);
        w.run(3);
        assert_eq!(w.told("req-4"), "pending");
        assert!(!w.starts.keys().any(|t| t.starts_with("req-2")));
        w.run(60);
        assert!((1..=4).all(|n| w.job_done(&format!("req-{n}"))));
        // One that comes when the others are over starts at once.
        w.user(
            "req-5",
            after(&["req-4"], job(JobKind::Array, 1, 1.0)),
            2 * SEC,
        );
        w.run(12);
        assert!(w.job_done("req-5"));
    }
}

#[test]
fn a_job_that_needs_what_nobody_submitted_is_refused() {
    let mut w = settled(110, 2);
    w.user("req-1", job(JobKind::Service, 1, 1.0), 0);
    w.run(4);
    for (id, need) in [("req-2", "req-77"), ("req-3", "req-3"), ("req-4", "req-1")] {
        w.declare(id, after(&[need], job(JobKind::Array, 1, 1.0)), SEC);
        for i in 0..3 {
            w.submit_once(i, id);
        }
    }
    w.run(2);
    for id in ["req-2", "req-3", "req-4"] {
        let said: Vec<u16> = w.said.iter().filter(|s| s.1 == id).map(|s| s.2).collect();
        assert_eq!(said, [422; 3], "{id}");
    }
    // More names than a record can hold are refused whoever they are.
    let many: Vec<String> = (0..900).map(|n| format!("req-{n:06}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    w.declare("req-6", after(&many, job(JobKind::Array, 1, 1.0)), SEC);
    w.submit_once(0, "req-6");
    w.run(1);
    assert!(w.said.iter().any(|s| s.1 == "req-6" && s.2 == 400));
    // Nothing can be looked up while the store is out: no verdict then.
    w.store.outage = true;
    w.run(4);
    w.declare(
        "req-5",
        after(&["req-78"], job(JobKind::Array, 1, 1.0)),
        SEC,
    );
    let before = w.now;
    w.submit_once(0, "req-5");
    w.run(3);
    let (at, _, status, _) = w.said.iter().find(|s| s.1 == "req-5").unwrap();
    assert!(*status == 503 && *at < before + 2 * SEC);
}

/// A need is cancelled before, while and after the jobs behind it are submitted, on any controller,
/// and with the leader gone.
#[test]
fn what_needs_a_cancelled_job_is_cancelled_with_it() {
    for seed in 120..128 {
        let mut w = settled(seed, 4);
        w.user("req-1", job(JobKind::Array, 2, 1.0), 100 * SEC);
        w.run(2);
        w.user("req-2", after(&["req-1"], job(JobKind::Array, 2, 1.0)), SEC);
        w.run(2);
        w.user("req-3", after(&["req-2"], job(JobKind::Gang, 2, 1.0)), SEC);
        w.run(2);
        if seed % 2 == 0 {
            let l = w.leader().unwrap();
            w.crash(l, 20 * SEC);
        }
        w.cancel_surely("req-1");
        w.user("req-4", after(&["req-3"], job(JobKind::Array, 1, 1.0)), SEC);
        w.run(10);
        w.user(
            "req-5",
            after(&["req-4", "req-1"], job(JobKind::Array, 1, 1.0)),
            SEC,
        );
        w.run(40);
        for n in 1..=5 {
            assert_eq!(
                w.told(&format!("req-{n}")),
                "cancelled",
                "seed {seed}: req-{n}"
            );
        }
        // Whoever asks again is told the same, after a restart of all, too.
        for i in 0..3 {
            w.crash(i, 2 * SEC);
        }
        w.run(10);
        for i in 0..3 {
            w.poll(i, "req-3");
            w.submit_once(i, "req-5");
        }
        w.run(40);
        assert!(w.starts.keys().all(|t| t.starts_with("req-1/")));
    }
}

/// The cancellation of a job in the middle races with its end; one of the two stands, for all jobs
/// behind it.
#[test]
fn cancel_against_done_in_the_middle_of_a_pipeline() {
    let mut ends = std::collections::BTreeSet::new();
    for seed in 130..150 {
        let mut w = settled(seed, 3);
        w.user("req-1", job(JobKind::Array, 1, 1.0), 3 * SEC);
        w.user("req-2", job(JobKind::Array, 1, 1.0), SEC);
        w.run(4);
        w.user(
            "req-3",
            after(&["req-1", "req-2"], job(JobKind::Array, 1, 1.0)),
            SEC,
        );
        w.run((seed % 5) / 2);
        w.after((seed - 130) * 200_000, |w| w.cancel_surely("req-1"));
        w.run(40);
        let (first, last) = (w.told("req-1"), w.told("req-3"));
        assert_eq!(first, last, "seed {seed}");
        ends.insert(last);
    }
    assert_eq!(ends.len(), 2, "both ways are played: {ends:?}");
}

/// The leader is killed at every moment around the end of a job that others wait for, and the store
/// is out around it, too.
#[test]
fn a_takeover_or_an_outage_between_the_end_and_the_release() {
    for step in 0..16 {
        let mut w = settled(150 + step, 3);
        w.user("req-1", job(JobKind::Array, 2, 1.0), 5 * SEC);
        w.run(2);
        w.user(
            "req-2",
            after(&["req-1"], job(JobKind::Gang, 2, 1.0)),
            3 * SEC,
        );
        w.run(5);
        w.after(step * 150_000, move |w| {
            if step % 2 == 0 {
                let l = w.leader().unwrap();
                w.crash(l, 3 * SEC);
            } else {
                w.store.outage = true;
            }
        });
        w.run(10);
        let now = w.now;
        w.store.end_outage(now);
        w.run(50);
        assert!(w.job_done("req-1") && w.job_done("req-2"), "step {step}");
        assert!(
            w.starts.values().all(|n| *n == 1),
            "step {step}: {:?}",
            w.starts
        );
    }
}

#[test]
fn a_job_that_waits_holds_no_part_of_limit_or_guarantee() {
    let mut w = settled(170, 4);
    let red = |spec| JobSpec {
        team: "red".into(),
        ..spec
    };
    // Red may use 12 GPUs: what waits must not count.
    w.user("req-1", red(job(JobKind::Array, 4, 1.0)), 30 * SEC);
    w.run(2);
    w.user(
        "req-2",
        after(&["req-1"], red(job(JobKind::Array, 12, 1.0))),
        SEC,
    );
    w.user("req-3", red(job(JobKind::Array, 8, 1.0)), 4 * SEC);
    w.run(16);
    assert!(w.job_done("req-3"));
    assert_eq!(w.told("req-2"), "pending");
    w.run(60);
    assert!(w.job_done("req-2"));

    // Green has 8 GPUs guaranteed and blue has all of them: what green has waiting must not stand in
    // the way of what could run.
    let mut w = settled(171, 2);
    w.no_capacity = true;
    let green = |spec| JobSpec {
        team: "green".into(),
        ..spec
    };
    w.user("req-1", green(job(JobKind::Array, 4, 1.0)), 300 * SEC);
    w.run(6);
    w.user("req-2", job(JobKind::Array, 12, 1.0), 300 * SEC);
    w.run(6);
    assert_eq!(w.starts.len(), 16, "there is no room left");
    w.user(
        "req-3",
        after(&["req-1"], green(job(JobKind::Array, 4, 1.0))),
        SEC,
    );
    w.run(2);
    w.user("req-4", green(job(JobKind::Array, 4, 1.0)), 10 * SEC);
    w.run(40);
    assert!(w.job_done("req-4"));
}

/// A new controller that the state service refuses must not hand a pipeline to one of the old version,
/// which would take the job without what it waits for.
#[test]
fn a_pipeline_is_not_handed_on_to_the_old_version() {
    let mut w = World::all_old(177, 3, None);
    w.run(8);
    w.crash(1, 2 * SEC);
    w.set_old(1, false);
    w.user("req-1", job(JobKind::Array, 1, 1.0), 100 * SEC);
    w.run(8);
    w.store.refuses.push(1);
    w.run(12);
    w.declare("req-2", after(&["req-1"], job(JobKind::Array, 1, 1.0)), SEC);
    w.submit_once(1, "req-2");
    w.declare("req-3", job(JobKind::Array, 1, 1.0), SEC);
    w.submit_once(1, "req-3");
    w.run(10);
    let answer = |id: &str| w.said.iter().find(|s| s.1 == id).map(|s| s.2);
    assert_eq!((answer("req-2"), answer("req-3")), (Some(503), Some(201)));
}

/// A job of low priority that one of high priority needs gives way to nobody below the latter, and
/// others give way to it.
#[test]
fn a_job_is_as_urgent_as_the_job_that_needs_it() {
    use walnuttrestle::protocol::Priority;
    let run = |needed: bool| {
        let mut w = settled(175, 2);
        w.no_capacity = true;
        let with = |priority, spec| JobSpec { priority, ..spec };
        let filler = JobSpec {
            checkpoint_s: 1.0,
            save_s: 1.0,
            ..job(JobKind::Array, 16, 1.0)
        };
        w.user("req-1", with(Priority::Normal, filler), 200 * SEC);
        w.run(8);
        w.user(
            "req-2",
            with(Priority::Low, job(JobKind::Gang, 2, 1.0)),
            4 * SEC,
        );
        w.run(2);
        if needed {
            let last = with(Priority::High, job(JobKind::Array, 1, 1.0));
            w.user("req-3", after(&["req-2"], last), 2 * SEC);
        }
        w.run(40);
        w.job_done("req-2")
    };
    assert!(run(true) && !run(false));
}
