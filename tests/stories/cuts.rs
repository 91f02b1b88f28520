//! Cuts, crashes, hangs and takeovers.

use crate::cut_from_workers;
use crate::cut_zones;
use crate::parties;
use crate::world::{Cut, Party, SEC, after, job, settled};
use rand::RngExt;
use walnuttrestle::protocol::JobKind;
use walnuttrestle::protocol::agent_api::TaskPhase;

#[test]
fn a_start_whose_answer_is_lost_and_that_comes_late_runs_once() {
    let mut w = settled(3, 3);
    // Commands take longer than the leader waits for them.
    w.delay_orders = Some(4 * SEC);
    w.user("req-1", job(JobKind::Array, 3, 1.0), 20 * SEC);
    w.run(12);
    w.delay_orders = None;
    w.run(60);
    assert!(w.job_done("req-1"));
    assert!(w.starts.values().all(|n| *n == 1), "{:?}", w.starts);
}

#[test]
fn a_start_held_back_is_not_run_after_its_job_was_cancelled() {
    let mut w = settled(4, 2);
    let l = w.leader().unwrap();
    for m in ["n-000001", "n-000002"] {
        w.cut(
            Party::Controller(l),
            Party::Agent(m.into()),
            Cut::Hold,
            6 * SEC,
        );
    }
    w.user("req-1", job(JobKind::Array, 2, 1.0), 300 * SEC);
    w.run(2);
    w.cancel_surely("req-1");
    w.run(90);
    assert_eq!(w.told("req-1"), "cancelled");
    assert!(w.on("req-1/0").is_empty());
}

#[test]
fn a_leader_cut_from_the_store_alone_is_replaced() {
    let mut w = settled(5, 4);
    w.user("req-1", job(JobKind::Service, 3, 1.0), 0);
    w.run(10);
    let (l, term) = (w.leader().unwrap(), w.term());
    w.store.refuses.push(l);
    w.run(20);
    assert!(w.term() > term);
    assert_ne!(w.leader(), Some(l));
    w.store.refuses.clear();
    w.run(20);
    assert_eq!(w.starts.values().max(), Some(&1), "replicas stayed up");
}

#[test]
fn an_old_leader_in_a_cut_zone_does_not_keep_cancelled_tasks() {
    let mut w = settled(6, 4);
    w.user("req-1", job(JobKind::Service, 4, 1.0), 0);
    w.run(12);
    let l = w.leader().unwrap();
    // The leader and the machines of its zone are cut off from all others, and live on inside.
    let inside: Vec<String> = w
        .agents
        .values()
        .filter(|x| x.zone == if l.is_multiple_of(2) { "a" } else { "b" })
        .map(|x| x.name.clone())
        .collect();
    for i in (0..3).filter(|i| *i != l) {
        w.cut(
            Party::Controller(l),
            Party::Controller(i),
            Cut::Hold,
            70 * SEC,
        );
        for m in &inside {
            w.cut(
                Party::Controller(i),
                Party::Agent(m.clone()),
                Cut::Hold,
                70 * SEC,
            );
        }
    }
    w.cut(
        Party::Controller(l),
        Party::StoreClient,
        Cut::Hold,
        70 * SEC,
    );
    w.cut(Party::Controller(l), Party::Cloud, Cut::Hold, 70 * SEC);
    w.cloud_down = true;
    w.run(6);
    w.cancel_surely("req-1");
    w.run(120);
    assert_eq!(w.told("req-1"), "cancelled");
}

#[test]
fn a_zone_that_cannot_reach_the_leader_keeps_its_tasks() {
    for seed in 40..50 {
        let mut w = settled(seed, 4);
        w.user("req-1", job(JobKind::Service, 4, 1.0), 0);
        w.run(2);
        // Whoever leads in calm times, the far zone's agents have one vain try only.
        for i in (0..2).filter(|i| i + seed as usize % 2 < 2) {
            w.crash(i, 3 * SEC);
        }
        w.run(22);
        assert_ne!(w.leader(), Some(2), "seed {seed}");
        w.user("req-2", job(JobKind::Array, 8, 1.0), 30 * SEC);
        w.run(10);
        cut_zones(&mut w, 30 * SEC);
        w.run(16);
        w.cancel_surely("req-2");
        w.run(60);
        let restarted: Vec<_> = w.starts.iter().filter(|(_, n)| **n > 1).collect();
        assert!(
            restarted.is_empty(),
            "seed {seed}: {restarted:?}\n{}",
            w.dump()
        );
        assert_eq!(w.told("req-2"), "cancelled");
    }
}

#[test]
fn controllers_that_hear_one_another_again_leave_a_live_leader_alone() {
    for seed in 600..620 {
        let mut w = settled(seed, 4);
        w.user("req-1", job(JobKind::Service, 4, 1.0), 0);
        // Their heartbeats are not in step.
        for i in 0..3 {
            let back = w.rng.random_range(SEC..3 * SEC);
            w.crash(i, back);
        }
        w.run(25);
        let (l, term) = (w.leader().unwrap(), w.term());
        for (i, j) in [(0, 1), (0, 2), (1, 2)] {
            w.cut(
                Party::Controller(i),
                Party::Controller(j),
                Cut::Drop,
                20 * SEC,
            );
        }
        w.run(40);
        // Which of the others one hears first is luck.
        assert_eq!((w.leader(), w.term()), (Some(l), term), "seed {seed}");
    }
}

#[test]
fn a_leader_cut_from_the_workers_alone_still_runs_them() {
    let mut w = settled(47, 4);
    w.user("req-1", job(JobKind::Service, 4, 1.0), 0);
    w.run(12);
    let l = w.leader().unwrap();
    for m in w.agents.keys().cloned().collect::<Vec<_>>() {
        w.cut(Party::Controller(l), Party::Agent(m), Cut::Drop, 60 * SEC);
    }
    w.run(10);
    w.user("req-2", job(JobKind::Array, 4, 1.0), 5 * SEC);
    w.run(35);
    assert!(w.job_done("req-2"), "started through the other controllers");
    assert!(w.starts.values().all(|n| *n == 1), "{:?}", w.starts);
}

#[test]
fn a_machine_that_dies_behind_a_cut_is_given_up_after_all() {
    let mut w = settled(46, 4);
    w.user("req-1", job(JobKind::Service, 4, 1.0), 0);
    w.run(12);
    cut_zones(&mut w, 30 * SEC);
    w.run(12);
    for x in w.agents.values_mut().filter(|x| x.zone == "b") {
        x.alive = false;
    }
    // The controller that renewed the leases goes, too.
    w.crash(1, 4 * SEC);
    w.run(120);
    for t in 0..4 {
        assert_eq!(w.on(&format!("req-1/{t}")).len(), 1, "{}", w.dump());
    }
}

#[test]
fn a_takeover_waits_for_a_hung_machine() {
    let mut w = settled(7, 2);
    w.user("req-1", job(JobKind::Service, 1, 1.0), 0);
    w.run(8);
    let m = w.on("req-1/0").into_iter().next().unwrap();
    let until = w.now + 9 * SEC;
    w.agents.get_mut(&m).unwrap().hung_until = until;
    let l = w.leader().unwrap();
    w.crash(l, 5 * SEC);
    w.run(60);
    assert_eq!(w.on("req-1/0").len(), 1, "the replica is back");
}

#[test]
fn all_controllers_restart_and_tasks_go_on() {
    let mut w = settled(9, 4);
    w.user("req-1", job(JobKind::Array, 4, 2.0), 25 * SEC);
    w.user("req-2", job(JobKind::Gang, 2, 8.0), 25 * SEC);
    w.run(10);
    for i in 0..3 {
        w.crash(i, 4 * SEC);
    }
    w.run(80);
    assert!(w.job_done("req-1") && w.job_done("req-2"));
    assert!(w.starts.values().all(|n| *n == 1), "{:?}", w.starts);
}

/// Luck of many kinds at once; every seed is a day of its own, and always the same one.
#[test]
fn overlapping_troubles_break_no_rule() {
    for seed in (100..240).chain([1159]) {
        let mut w = settled(seed, 5);
        for i in 0..14 {
            let at = w.rng.random_range(0..60 * SEC);
            let (kind, n) = match i % 4 {
                0 => (JobKind::Service, w.rng.random_range(1..3)),
                1 => (JobKind::Gang, w.rng.random_range(1..4)),
                _ => (JobKind::Array, w.rng.random_range(1..6)),
            };
            let mut spec = job(kind, n, [1.0, 2.0, 8.0][w.rng.random_range(0..3usize)]);
            // A service would keep its team's limit used up for good.
            let red = kind != JobKind::Service && w.rng.random_bool(0.4);
            spec.team = if red { "red" } else { "blue" }.into();
            spec.spread = kind != JobKind::Gang && w.rng.random_bool(0.3);
            if spec.team == "red" && kind != JobKind::Array && spec.gpus * n as f64 > 12.0 {
                spec.gpus = 2.0;
                spec.cpus = 2.0;
            }
            if w.rng.random_bool(0.5) && kind != JobKind::Service {
                spec.checkpoint_s = 4.0;
                spec.save_s = 2.0;
            }
            let run = w.rng.random_range(2..30) * SEC;
            let cancel = w
                .rng
                .random_bool(0.3)
                .then(|| w.rng.random_range(SEC..40 * SEC));
            w.after(at, move |w| {
                let id = format!("req-{i}");
                w.user(&id, spec, run);
                if let Some(c) = cancel {
                    w.after(c, move |w| w.cancel_surely(&id));
                }
            });
        }
        for _ in 0..7 {
            let at = w.rng.random_range(0..90 * SEC);
            let what = w.rng.random_range(0..10);
            let dt = w.rng.random_range(2..30) * SEC;
            let i = w.rng.random_range(0..3usize);
            let k = w.rng.random_range(1..8u32);
            w.after(at, move |w| {
                let m = format!("n-{k:06}");
                match what {
                    0 => w.crash(i, 4 * SEC),
                    1 => (0..3).for_each(|i| w.crash(i, 4 * SEC)),
                    2 => {
                        w.store.outage = true;
                        w.after(dt, |w| {
                            let now = w.now;
                            w.store.end_outage(now);
                        });
                    }
                    3 => w.cut(Party::Controller(i), Party::StoreClient, Cut::Hold, dt),
                    4 => (0..3).for_each(|i| {
                        w.cut(Party::Controller(i), Party::Agent(m.clone()), Cut::Hold, dt);
                    }),
                    5 => {
                        let until = w.now + dt;
                        if let Some(x) = w.agents.get_mut(&m) {
                            x.hung_until = until;
                        }
                    }
                    6 => {
                        if let Some(x) = w.agents.get_mut(&m) {
                            x.alive = false;
                        }
                    }
                    7 => cut_zones(w, dt),
                    8 => {
                        for m in w.agents.keys().cloned().collect::<Vec<_>>() {
                            w.cut(Party::Controller(i), Party::Agent(m), Cut::Hold, dt);
                        }
                    }
                    _ => {
                        w.delay_orders = Some(dt.min(5 * SEC));
                        w.after(dt, |w| w.delay_orders = None);
                    }
                }
            });
        }
        w.run(400);
        for (id, t) in &w.jobs {
            if t.spec.kind != JobKind::Service {
                let over = t.told_done.is_some() || t.told_cancelled.is_some();
                assert!(over, "seed {seed}: {id} never ended\n{}", w.dump());
            } else if t.told_cancelled.is_none() {
                let up = w
                    .agents
                    .values()
                    .flat_map(|x| x.holds())
                    .filter(|((n, _), s)| {
                        n.starts_with(&format!("{id}/")) && s.phase == TaskPhase::Running
                    })
                    .count();
                assert!(
                    up as u32 == t.spec.tasks,
                    "seed {seed}: {id}: {up} up\n{}",
                    w.dump()
                );
            }
        }
    }
}

/// The leader loses its network, its successor crashes soon after, and the third is left alone: what
/// runs goes on, what waits for it starts, and nothing runs twice.
#[test]
fn the_leader_is_cut_off_and_its_successor_crashes() {
    for seed in 220..228 {
        let mut w = settled(seed, 6);
        w.user("req-1", job(JobKind::Service, 3, 1.0), 0);
        w.user("req-2", job(JobKind::Array, 40, 0.5), 9 * SEC);
        w.run(4);
        w.user(
            "req-3",
            after(&["req-2"], job(JobKind::Gang, 2, 1.0)),
            5 * SEC,
        );
        w.run(4);
        let l = w.leader().unwrap();
        let mut all: Vec<Party> = w.agents.keys().cloned().map(Party::Agent).collect();
        all.extend((0..3).filter(|i| *i != l).map(Party::Controller));
        all.extend([Party::StoreClient, Party::Cloud]);
        for other in all {
            w.cut(Party::Controller(l), other, Cut::Hold, 40 * SEC);
        }
        w.run(8);
        let next = w.leader().unwrap();
        assert_ne!(next, l, "seed {seed}");
        w.crash(next, 8 * SEC);
        w.run(20);
        assert!(w.leader().is_some_and(|x| x != l), "seed {seed}");
        w.run(60);
        assert!(w.job_done("req-2") && w.job_done("req-3"), "seed {seed}");
        // Two vain tries outlast a lease, so replicas may have been lost; they are all back.
        assert!(
            (0..3).all(|t| w.on(&format!("req-1/{t}")).len() == 1),
            "seed {seed}"
        );
    }
}

/// No leader lives long enough to be shown its term by any agent; each renews leases all the same.
#[test]
fn cancelled_tasks_end_in_time_although_no_leader_lives_for_two_reports() {
    for seed in 700..712 {
        let mut w = settled(seed, 6);
        w.user("req-1", job(JobKind::Array, 24, 1.0), 300 * SEC);
        w.run(10);
        assert_eq!(w.starts.len(), 24, "seed {seed}");
        for i in 0..55 {
            w.after(i * 800_000, |w| (0..3).for_each(|n| w.crash(n, 50_000)));
        }
        w.cancel_surely("req-1");
        w.run(70);
        assert_eq!(w.told("req-1"), "cancelled", "seed {seed}");
    }
}

/// Cuts that leave some links up, crossed with crashes and quick restarts, one within the other.
#[test]
fn cuts_that_leave_some_links_up_and_quick_restarts_break_no_rule() {
    for seed in 800..900 {
        let mut w = settled(seed, 6);
        if seed % 2 == 0 {
            w.with_pledges();
        }
        for i in 0..10 {
            let at = w.rng.random_range(0..40 * SEC);
            let kind = [
                JobKind::Service,
                JobKind::Gang,
                JobKind::Array,
                JobKind::Array,
            ][i % 4];
            let n = w.rng.random_range(1..4);
            let mut spec = job(kind, n, [1.0, 2.0, 4.0][w.rng.random_range(0..3usize)]);
            spec.spread = kind != JobKind::Gang && w.rng.random_bool(0.3);
            let run = w.rng.random_range(2..60) * SEC;
            let cancel = w
                .rng
                .random_bool(0.5)
                .then(|| w.rng.random_range(SEC..80 * SEC));
            w.after(at, move |w| {
                let id = format!("req-{i}");
                w.user(&id, spec, run);
                if let Some(c) = cancel {
                    w.after(c, move |w| w.cancel_surely(&id));
                }
            });
        }
        let outage = w.rng.random_range(5..30) * SEC;
        let dt = w.rng.random_range(10..50) * SEC;
        w.after(outage, move |w| {
            w.store.outage = true;
            w.after(dt, |w| {
                let now = w.now;
                w.store.end_outage(now);
            });
        });
        for _ in 0..6 {
            let at = w.rng.random_range(0..70 * SEC);
            let what = w.rng.random_range(0..7);
            let dt = w.rng.random_range(3..40) * SEC;
            let how = [Cut::Hold, Cut::Drop][w.rng.random_range(0..2usize)];
            let (i, j) = (w.rng.random_range(0..3usize), w.rng.random_range(1..3usize));
            let back = [50_000, 400_000, 4 * SEC, 20 * SEC][w.rng.random_range(0..4usize)];
            w.after(at, move |w| match what {
                0 => w.crash(i, back),
                1 => (0..12).for_each(|k| w.after(k * 700_000, move |w| w.crash(i, 50_000))),
                2 => w.cut(
                    Party::Controller(i),
                    Party::Controller((i + j) % 3),
                    how,
                    dt,
                ),
                3 => w.cut(Party::Controller(i), Party::StoreClient, how, dt),
                4 => {
                    let names: Vec<String> = w.agents.keys().cloned().collect();
                    let some = names.iter().skip(j - 1).step_by(j);
                    for m in some {
                        w.cut(Party::Controller(i), Party::Agent(m.clone()), how, dt);
                    }
                }
                5 => {
                    w.store.refuses.push(i);
                    w.after(dt, move |w| w.store.refuses.retain(|x| *x != i));
                }
                _ => {
                    let m = w.agents.keys().nth(i * 2).cloned();
                    if let Some(x) = m.and_then(|m| w.agents.get_mut(&m)) {
                        x.alive = false;
                    }
                }
            });
        }
        w.run(300);
        for (id, t) in &w.jobs {
            if t.spec.kind == JobKind::Service && t.told_cancelled.is_none() {
                let up = (0..t.spec.tasks).filter(|n| w.on(&format!("{id}/{n}")).len() == 1);
                assert_eq!(
                    up.count() as u32,
                    t.spec.tasks,
                    "seed {seed}: {id}\n{}",
                    w.dump()
                );
            } else {
                let over = t.told_done.is_some() || t.told_cancelled.is_some();
                assert!(over, "seed {seed}: {id} never ended\n{}", w.dump());
            }
        }
    }
}

#[test]
fn a_leader_that_cannot_use_the_lead_gives_it_to_whoever_can() {
    for seed in 900..910 {
        let mut w = settled(seed, 6);
        w.user("req-1", job(JobKind::Service, 6, 1.0), 0);
        w.run(20);
        let (l, b, c) = parties(&w);
        let term = w.term();
        let names: Vec<String> = w.agents.keys().cloned().collect();
        cut_from_workers(&mut w, l, &names, 60 * SEC);
        for (i, j) in [(l, b), (l, c), (b, c)] {
            w.cut(
                Party::Controller(i),
                Party::Controller(j),
                Cut::Drop,
                60 * SEC,
            );
        }
        w.run(16);
        assert!(w.leader() != Some(l) && w.term() > term, "seed {seed}");
        w.user("req-2", job(JobKind::Array, 3, 1.0), 3 * SEC);
        w.run(25);
        assert!(w.job_done("req-2"), "seed {seed}: the others serve");
        w.run(50);
        assert!(
            w.term() <= term + 2,
            "seed {seed}: the lead does not go round"
        );
        assert!(
            (0..6).all(|t| w.starts[&format!("req-1/{t}")] == 1),
            "seed {seed}"
        );
    }
}

/// A new run of the leader's process is no life of the old one: somebody takes the lead at once, and only once.
#[test]
fn a_leader_that_starts_again_at_once_is_replaced_at_once_and_only_once() {
    for seed in 920..940 {
        let mut w = settled(seed, 4);
        w.user("req-1", job(JobKind::Service, 4, 1.0), 0);
        w.run(20);
        let (l, term) = (w.leader().expect("a leader"), w.term());
        w.crash(l, 50_000);
        w.run(2);
        assert!(w.leader().is_some(), "seed {seed}");
        w.run(20);
        assert_eq!(w.term(), term + 1, "seed {seed}");
        assert!(
            (0..4).all(|t| w.starts[&format!("req-1/{t}")] == 1),
            "seed {seed}"
        );
    }
}
