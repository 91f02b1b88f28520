//! Stories about long queues: many more jobs wait than there is room, and then something fails. The
//! world's checker asserts the rules after every step, and every pass compares the kept queue with one
//! made anew (debug builds); `in_turn` asserts that what waited alike started in order.

mod world;

use walnuttrestle::protocol::{JobKind, Priority};
use world::{Cut, Party, SEC, World, job};

/// Machines of the world; each holds eight of the tasks below.
const MACHINES: usize = 4;

fn id(n: usize) -> String {
    format!("req-{n:06}")
}

/// A world that rents no more, in which `n` arrays of two tasks each come within `s` seconds.
fn flooded(seed: u64, n: usize, s: u64) -> World {
    let mut w = World::with_budget(seed, 3, MACHINES, 200.0);
    w.no_capacity = true;
    w.run(6);
    for i in 0..n {
        let at = i as u64 * s * SEC / n as u64;
        w.after(at, move |w| {
            w.user(&id(i), job(JobKind::Array, 2, 1.0), 3 * SEC)
        });
    }
    w.run(s);
    w
}

fn done(w: &World, range: std::ops::Range<usize>) -> usize {
    range.filter(|n| w.job_done(&id(*n))).count()
}

fn accepted(w: &World) -> usize {
    w.jobs.values().filter(|j| j.accepted).count()
}

/// The queue of whoever leads: all that waits, and what a walk over it says.
fn queued(w: &World) -> usize {
    let leads = w.leader().and_then(|i| w.node(i));
    let leader = leads.and_then(|n| n.leader.as_ref());
    leader.map_or(0, |l| l.kept.backlog.queued())
}

/// Jobs begin in the order in which they came, but for those that came at about the same time: the
/// users of up to `apart` jobs may have submitted theirs again meanwhile.
fn in_turn(w: &World, apart: usize) {
    let mut first: Vec<(u64, usize)> = Vec::new();
    for b in &w.began {
        let (job, _) = b.task.rsplit_once('/').expect("a task's name");
        let n: usize = job[4..].parse().expect("a number");
        if first.iter().all(|(_, m)| *m != n) {
            first.push((b.at, n));
        }
    }
    for (at, (_, n)) in first.iter().enumerate() {
        let late = first[..at].iter().filter(|(_, m)| *m > n + apart).count();
        assert_eq!(
            late, 0,
            "req-{n} began behind {late} that came long after it"
        );
    }
}

#[test]
fn a_new_leader_goes_on_with_a_queue_of_hundreds() {
    let mut w = flooded(1, 500, 8);
    assert!(queued(&w) > 300, "{} wait", queued(&w));
    let before = done(&w, 0..500);
    for _ in 0..3 {
        let i = w.leader().expect("a leader");
        w.crash(i, 4 * SEC);
        w.run(12);
        assert!(w.leader().is_some(), "nobody leads");
    }
    w.run(20);
    assert!(done(&w, 0..500) > before + 60, "{}", done(&w, 0..500));
    in_turn(&w, 60);
}

#[test]
fn a_zone_is_lost_while_the_queue_is_full() {
    let mut w = flooded(2, 300, 6);
    let replicas = "req-900000";
    let mut spec = job(JobKind::Service, 4, 1.0);
    spec.priority = Priority::Production;
    w.user(replicas, spec, 0);
    w.run(12);
    for m in ["n-000002", "n-000004"] {
        for i in 0..3 {
            w.cut(
                Party::Controller(i),
                Party::Agent(m.into()),
                Cut::Drop,
                60 * SEC,
            );
        }
    }
    w.run(75);
    // The replicas did not queue up behind hundreds of arrays, and the arrays went on.
    let up = (0..4).filter(|t| !w.on(&format!("{replicas}/{t}")).is_empty());
    assert_eq!(up.count(), 4);
    assert!(done(&w, 0..300) > 60, "{}", done(&w, 0..300));
}

#[test]
fn the_queue_grows_while_the_state_service_is_out() {
    let mut w = flooded(3, 60, 3);
    w.run(4);
    let (before, waited) = (done(&w, 0..60), accepted(&w));
    w.store.outage = true;
    w.after(20 * SEC, |w| {
        let now = w.now;
        w.store.end_outage(now);
    });
    for i in 60..260 {
        w.after((i as u64 - 60) * SEC / 10, move |w| {
            w.user(&id(i), job(JobKind::Array, 2, 1.0), 2 * SEC);
        });
    }
    w.run(19);
    assert_eq!(
        accepted(&w),
        waited,
        "nothing is accepted that is not on record"
    );
    w.run(90);
    assert!(accepted(&w) > 240, "{}", accepted(&w));
    assert!(done(&w, 0..260) > before + 100);
}

#[test]
fn hundreds_of_cancellations_at_once_leave_the_rest_in_turn() {
    let mut w = flooded(4, 400, 6);
    w.run(6);
    for n in (0..400).filter(|n| n % 4 != 0) {
        w.cancel_surely(&id(n));
    }
    w.run(110);
    let kept = (0..400).filter(|n| n % 4 == 0);
    let over = kept.clone().filter(|n| w.job_done(&id(*n))).count();
    assert_eq!(over, kept.count(), "{}", w.dump());
    assert_eq!(queued(&w), 0);
}

/// Nothing of a team at its limit is in anybody's way, and when the limit frees the oldest goes first.
#[test]
fn a_team_at_its_limit_waits_alone_and_goes_on_when_the_limit_frees() {
    let mut w = World::with_budget(5, 3, MACHINES, 200.0);
    w.no_capacity = true;
    w.run(6);
    let red = |tasks: u32, gpus: f64| {
        let mut spec = job(JobKind::Array, tasks, gpus);
        spec.team = "red".into();
        spec
    };
    // Twelve GPUs are the red team's limit.
    w.user("req-100000", red(6, 2.0), 40 * SEC);
    w.run(4);
    for n in 0..150 {
        w.user(&id(n), red(2, 1.0), 2 * SEC);
    }
    for n in 500..520 {
        w.user(&id(n), job(JobKind::Array, 2, 1.0), 2 * SEC);
    }
    w.run(22);
    assert_eq!(done(&w, 500..520), 20);
    assert_eq!(done(&w, 0..150), 0);
    w.run(60);
    assert!(done(&w, 0..150) > 50, "{}", done(&w, 0..150));
}

/// The job at the top wants more than there is; all that fits goes on past it, for as long as it waits.
#[test]
fn a_gang_that_can_never_fit_today_holds_nobody_up() {
    let mut w = World::with_budget(6, 3, MACHINES, 200.0);
    w.no_capacity = true;
    w.run(6);
    w.user("req-100000", job(JobKind::Gang, 6, 8.0), 5 * SEC);
    w.run(3);
    for n in 0..200 {
        w.user(&id(n), job(JobKind::Array, 2, 1.0), 2 * SEC);
    }
    w.run(80);
    assert_eq!(done(&w, 0..200), 200);
    assert!(w.on("req-100000/0").is_empty());
}

/// The first version leads in between and knows nothing of a kept queue.
#[test]
fn a_controller_of_the_first_version_leads_while_hundreds_wait() {
    let mut w = flooded(7, 300, 6);
    let i = w.leader().expect("a leader");
    for n in (0..3).filter(|n| *n != i) {
        w.set_old(n, true);
        w.crash(n, 2 * SEC);
        w.run(5);
    }
    w.crash(i, 20 * SEC);
    w.run(15);
    assert!(w.leader().is_some_and(|l| l != i));
    for n in (0..3).filter(|n| *n != i) {
        w.set_old(n, false);
        w.crash(n, 2 * SEC);
        w.run(8);
    }
    w.run(60);
    assert!(done(&w, 0..300) > 150, "{}", done(&w, 0..300));
    in_turn(&w, 60);
}

/// One class asks for many times what the store takes; another for a job every three seconds, on
/// whichever controller. Returns when each of the latter was accepted, in seconds.
fn beside_a_flood(seed: u64, trouble: impl FnOnce(&mut World) + 'static) -> Vec<f64> {
    let mut w = World::with_budget(seed, 3, MACHINES, 12.0);
    w.no_capacity = true;
    w.run(6);
    for n in 0..900 {
        let at = n as u64 * SEC / 30;
        w.after(at, move |w| {
            w.user(&id(n), job(JobKind::Array, 1, 1.0), SEC)
        });
    }
    w.after(8 * SEC, trouble);
    let mut took = Vec::new();
    for n in 0..9 {
        let rare = id(800_000 + n);
        let mut spec = job(JobKind::Array, 1, 1.0);
        spec.class = "rare".into();
        w.user(&rare, spec, SEC);
        let began = w.now;
        while !w.jobs[&rare].accepted && w.now < began + 40 * SEC {
            w.step_for(SEC / 10);
        }
        took.push((w.now - began) as f64 / SEC as f64);
        w.run(3);
    }
    took
}

#[test]
fn a_class_that_floods_keeps_nobody_else_from_being_accepted() {
    let took = beside_a_flood(11, |_| {});
    assert!(took.iter().all(|s| *s < 4.0), "{took:?}");
}

#[test]
fn nor_does_it_while_a_controller_is_lost_and_another_cut_off() {
    let took = beside_a_flood(12, |w| {
        let i = w.leader().expect("a leader");
        w.crash(i, 6 * SEC);
        w.cut(
            Party::Controller((i + 1) % 3),
            Party::StoreClient,
            Cut::Hold,
            8 * SEC,
        );
    });
    let late = took.iter().filter(|s| **s > 4.0).count();
    // Nothing can be durable while nobody leads or the store is out of reach.
    assert!(late <= 3 && took.iter().all(|s| *s < 15.0), "{took:?}");
}

/// What the controllers take of the store's changes in all, a second.
fn taken(w: &World) -> f64 {
    let nodes = (0..w.nodes()).filter_map(|i| w.node(i));
    nodes.map(|n| n.store.write_rate()).sum()
}

/// A load balancer may send everybody to one controller, which has a sixth of the budget. Told of what it
/// is asked for, the leader gives it what the others do not need; at no moment is more given than there is.
#[test]
fn all_users_come_to_one_follower() {
    let mut w = World::with_budget(21, 3, MACHINES, 30.0);
    w.no_capacity = true;
    w.run(6);
    let leader = w.leader().expect("a leader");
    let one = (0..3).find(|i| *i != leader).expect("a follower");
    let before = w.node(one).map_or(0.0, |n| n.store.write_rate());
    for n in 0..2_000 {
        w.declare(&id(n), job(JobKind::Array, 1, 1.0), SEC);
        for again in 0..3u64 {
            let at = n as u64 * SEC / 60 + again * 9 * SEC;
            w.after(at, move |w| {
                if !w.jobs[&id(n)].accepted {
                    w.submit_once(one, &id(n));
                }
            });
        }
    }
    let mut most: f64 = 0.0;
    for _ in 0..300 {
        w.step_for(SEC / 10);
        most = most.max(taken(&w));
    }
    let after = w.node(one).map_or(0.0, |n| n.store.write_rate());
    assert!(after > 1.6 * before, "{before} to {after}");
    assert!(most <= 30.0, "{most} changes a second given of 30");
    // Nobody asks any more: it goes back.
    w.run(75);
    let calm = w.node(one).map_or(0.0, |n| n.store.write_rate());
    assert!(calm < 1.3 * before, "{calm}");
}

/// Grants end by themselves; a new leader gives on from what is on record, and a controller of an older
/// version keeps its fixed part.
#[test]
fn parts_hold_while_leaders_change_and_an_old_version_comes_back() {
    let mut w = World::with_budget(22, 3, MACHINES, 30.0);
    w.no_capacity = true;
    w.run(6);
    for n in 0..1_500 {
        let at = n as u64 * SEC / 30;
        w.after(at, move |w| {
            w.user(&id(n), job(JobKind::Array, 1, 1.0), SEC)
        });
    }
    w.run(8);
    let epoch = |w: &World| {
        let i = w.leader().expect("a leader");
        let parts = w.node(i).and_then(|n| n.cache.budget_shares.as_ref());
        parts.map_or(0, |(g, _)| g.epoch)
    };
    assert!(epoch(&w) > 0, "somebody asked for more");
    let mut last = epoch(&w);
    for round in 0..4 {
        let i = w.leader().expect("a leader");
        w.set_old((i + 1) % 3, round == 1);
        w.crash((i + round) % 3, 3 * SEC);
        // Silent ones leave what they have to the others; all three are there again by the end.
        w.run(12);
        assert!(taken(&w) <= 30.0, "round {round}: {}", taken(&w));
        assert!(epoch(&w) >= last, "{} after {last}", epoch(&w));
        last = epoch(&w);
    }
}
