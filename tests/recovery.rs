//! Stories about many tasks that are lost at once, and the order in which they come back. The world's
//! checker asserts the rules of PROTOCOL after every step; `in_order` asserts that nobody comes back
//! ahead of another because their machines came back sooner.

mod world;

use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use walnuttrestle::protocol::JobKind;
use world::{Cut, LEASE_S, Party, SEC, World, job};

const SERVICES: usize = 16;
const ARRAYS: usize = 8;
const GANGS: usize = 4;

/// Changes a second of the state service: a change for each job would take seconds.
const WRITE_RPS: f64 = 12.0;

fn id(n: usize) -> String {
    format!("req-{n:04}")
}

/// `LOG_LEVEL=debug cargo test --test recovery -- --nocapture NAME` shows what the controllers log.
fn started(seed: u64, machines: usize, write_rps: f64) -> World {
    let _ = env_logger::Builder::from_env(env_logger::Env::default().filter("LOG_LEVEL"))
        .is_test(true)
        .try_init();
    let mut w = World::with_limits(seed, 3, machines, write_rps, None);
    w.run(6);
    w
}

/// A world in which services, arrays and gangs fill most of the machines, accepted one after the
/// other: services and others by turns, so that no kind is older than another.
fn busy(seed: u64, machines: usize) -> World {
    let mut w = started(seed, machines, WRITE_RPS);
    fill(&mut w);
    w
}

fn fill(w: &mut World) {
    for n in 0..SERVICES + ARRAYS + GANGS {
        let (spec, run) = match n % 7 {
            0 | 2 | 4 | 6 => (job(JobKind::Service, 2, 1.0), 0),
            1 | 3 => (job(JobKind::Array, 3, 1.0), 45 * SEC),
            _ => (job(JobKind::Gang, 2, 2.0), 45 * SEC),
        };
        w.user(&id(n), spec, run);
        w.run(1);
    }
    w.run(6);
    assert!(w.leader().is_some(), "nobody leads");
}

fn kind_of(w: &World, task: &str) -> JobKind {
    w.jobs[job_of(task)].spec.kind
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap()
}

/// Tasks that had begun before `since` and began again after it, by the machine they were on, with
/// the time of their return.
fn returns(w: &World, since: u64) -> BTreeMap<String, BTreeMap<String, u64>> {
    let mut on: BTreeMap<&str, &str> = BTreeMap::new();
    let mut lost: BTreeMap<String, BTreeMap<String, u64>> = BTreeMap::new();
    for b in &w.began {
        if b.at < since {
            on.insert(&b.task, &b.machine);
        } else if let Some(m) = on.remove(b.task.as_str()) {
            let of = lost.entry(m.to_string()).or_default();
            of.insert(b.task.clone(), b.at);
        }
    }
    lost
}

/// Of two jobs of one kind that lost tasks on one machine, the one accepted first is not back later
/// than the other by more than a pass, a write and a fetch; and replicas do not wait for others.
fn in_order(w: &World, since: u64) {
    let slack = 4 * SEC;
    let mut compared = 0;
    for (machine, tasks) in returns(w, since) {
        for (a, at_a) in &tasks {
            for (b, at_b) in &tasks {
                let (kind_a, kind_b) = (kind_of(w, a), kind_of(w, b));
                let first = job_of(a) < job_of(b) && kind_a == kind_b;
                let replica = kind_a == JobKind::Service && kind_b != JobKind::Service;
                if !(first || replica) {
                    continue;
                }
                compared += 1;
                assert!(
                    *at_a <= at_b + slack,
                    "{machine}: {a} ({kind_a:?}) is back at {at_a}, {b} ({kind_b:?}) at {at_b}"
                );
            }
        }
    }
    assert!(compared > 10, "hardly anything was lost: {compared}");
}

/// All replicas run, and no other job is left behind.
fn all_there(w: &World) {
    for (id, truth) in &w.jobs {
        match truth.spec.kind {
            JobKind::Service => {
                for t in 0..truth.spec.tasks {
                    assert_eq!(
                        w.on(&format!("{id}/{t}")).len(),
                        1,
                        "{id}/{t}\n{}",
                        w.dump()
                    );
                }
            }
            _ => assert!(w.job_done(id), "{id} is {}\n{}", w.told(id), w.dump()),
        }
    }
}

/// Machines with their zones.
fn machines(w: &World) -> Vec<(String, String)> {
    let of = |x: &world::agent::FakeAgent| (x.name.clone(), x.zone.clone());
    w.agents.values().map(of).collect()
}

/// Cuts a zone off from everything, its controllers included.
fn cut_off(w: &mut World, zone: &str, dt: u64) {
    let of = |i: usize| if i.is_multiple_of(2) { "a" } else { "b" };
    let machines = machines(w);
    for i in 0..3 {
        if of(i) == zone {
            w.cut(Party::Controller(i), Party::StoreClient, Cut::Hold, dt);
            w.cut(Party::Controller(i), Party::Cloud, Cut::Hold, dt);
        }
        for j in i + 1..3 {
            if (of(i) == zone) != (of(j) == zone) {
                w.cut(Party::Controller(i), Party::Controller(j), Cut::Hold, dt);
            }
        }
        for (m, z) in &machines {
            if (of(i) == zone) != (z == zone) {
                w.cut(Party::Controller(i), Party::Agent(m.clone()), Cut::Hold, dt);
            }
        }
    }
}

fn kill(w: &mut World, which: impl Fn(usize) -> bool) {
    for (i, x) in w.agents.values_mut().enumerate() {
        x.alive &= !which(i);
    }
}

/// Whether the leader's copy has ever held a bundle: the stories must not pass without one.
fn bundled(w: &World) -> bool {
    w.store.has("wt/bundled")
}

#[test]
fn a_zone_that_was_cut_off_comes_back_in_order() {
    let mut w = busy(1, 12);
    let since = w.now;
    cut_off(&mut w, "b", 35 * SEC);
    w.run(150);
    in_order(&w, since + LEASE_S * SEC);
    all_there(&w);
    assert!(bundled(&w), "places went one by one");
}

/// Whatever `trouble` does to a busy world, and however long it lets it run: what was lost `after` its
/// beginning is back in order.
fn comes_back(seeds: Range<u64>, machines: usize, after: u64, trouble: impl Fn(&mut World, u64)) {
    for seed in seeds {
        let mut w = busy(seed, machines);
        let since = w.now + after;
        trouble(&mut w, seed);
        in_order(&w, since);
        all_there(&w);
    }
}

#[test]
fn a_zone_lost_while_all_controllers_restart() {
    comes_back(10..14, 12, LEASE_S * SEC, |w, _| {
        cut_off(w, "b", 40 * SEC);
        w.run(2);
        (0..3).for_each(|i| w.crash(i, 4 * SEC));
        w.run(140);
    });
}

#[test]
fn half_the_machines_of_both_zones_at_once() {
    comes_back(20..24, 12, 0, |w, _| {
        kill(w, |i| i % 4 < 2);
        w.run(160);
    });
}

#[test]
fn a_lost_zone_comes_back_while_replacements_start() {
    comes_back(30..34, 10, LEASE_S * SEC, |w, seed| {
        // Leases of 10 s end, replacements take 5 s to boot: the cut ends in between.
        let dt = (LEASE_S + 4 + seed % 4) * SEC;
        for (m, _) in machines(w).iter().filter(|(_, z)| z == "b") {
            for i in 0..3 {
                w.cut(Party::Controller(i), Party::Agent(m.clone()), Cut::Hold, dt);
            }
        }
        w.run(120);
    });
}

#[test]
fn a_second_loss_during_a_recovery() {
    comes_back(40..44, 12, 0, |w, _| {
        kill(w, |i| i % 4 == 0);
        w.run(LEASE_S + 3);
        kill(w, |i| i % 4 == 1);
        w.run(160);
    });
}

#[test]
fn a_recovery_while_the_state_service_answers_slowly() {
    comes_back(50..53, 12, 0, |w, _| {
        w.slow_store = 600_000;
        kill(w, |i| i % 4 < 2);
        w.run(90);
        w.slow_store = 0;
        w.run(90);
    });
}

/// Until the first bundle is written, and no longer.
fn run_until_bundled(w: &mut World, step: u64) {
    let since = w.now;
    while !bundled(w) {
        assert!(w.now < since + 60 * SEC, "nothing came back");
        w.step_for(step);
    }
}

#[test]
fn a_leader_lost_in_the_middle_of_a_recovery() {
    comes_back(60..66, 12, 0, |w, _| {
        kill(w, |i| i % 4 < 2);
        run_until_bundled(w, 20_000);
        let l = w.leader().unwrap();
        w.lose_answers.push((Party::StoreClient, w.now + SEC / 2));
        w.crash(l, 6 * SEC);
        w.run(160);
    });
}

#[test]
fn bundles_are_folded_into_the_records_of_their_jobs() {
    let mut w = busy(70, 12);
    kill(&mut w, |i| i % 4 < 2);
    w.run(200);
    assert!(bundled(&w));
    assert_eq!(w.store.under("wt/b/"), 0, "bundles are left");
    // A controller that reads the records only now sees the same.
    let l = w.leader().unwrap();
    (0..3).for_each(|i| w.crash(i, 2 * SEC));
    w.run(30);
    assert!(w.leader().is_some(), "kernel-{l} led before");
    all_there(&w);
}

#[test]
fn jobs_cancelled_while_their_places_are_bundled() {
    for seed in 80..90 {
        let mut w = busy(seed, 12);
        let since = w.now;
        kill(&mut w, |i| i % 4 < 2);
        for n in 0..SERVICES + ARRAYS + GANGS {
            if w.rng.random_bool(0.5) {
                let dt = w.rng.random_range((LEASE_S + 1) * SEC..(LEASE_S + 5) * SEC);
                w.after(dt, move |w| w.cancel_surely(&id(n)));
            }
        }
        if seed % 2 == 0 {
            w.after((LEASE_S + 4) * SEC, |w| {
                let l = w.leader().unwrap_or(0);
                w.crash(l, 5 * SEC);
            });
        }
        w.run(200);
        assert!(w.now > since);
        for (id, t) in &w.jobs {
            if t.asked_cancel {
                let told = w.told(id);
                assert!(told == "cancelled" || told == "done", "{id} is {told}");
                assert!((0..t.spec.tasks).all(|n| w.on(&format!("{id}/{n}")).is_empty()));
            }
        }
    }
}

#[test]
fn after_a_takeover_tasks_start_where_their_image_is() {
    let mut w = started(90, 12, 60.0);
    let mut led: BTreeSet<usize> = w.leader().into_iter().collect();
    // Six images, one to a machine of the zone; twice as many machines are there.
    for n in 0..6 {
        let mut spec = job(JobKind::Array, 8, 1.0);
        spec.image = format!("img-{n}");
        spec.zone = Some("a".into());
        w.user(&id(n), spec, 8 * SEC);
        w.run(1);
    }
    for _ in 0..30 {
        w.run(1);
        led.extend(w.leader());
    }
    assert!((0..6).all(|n| w.job_done(&id(n))) && led.len() < 3);
    let had: BTreeMap<String, BTreeSet<String>> = w
        .agents
        .iter()
        .map(|(m, x)| (m.clone(), x.images.clone()))
        .collect();
    // Whoever leads next has followed the records and has never met a machine.
    led.iter().for_each(|i| w.crash(*i, 60 * SEC));
    w.run(24);
    for n in 0..6 {
        let mut spec = job(JobKind::Service, 1, 1.0);
        spec.image = format!("img-{n}");
        w.user(&id(10 + n), spec, 0);
        while !w.jobs[&id(10 + n)].accepted {
            w.run(1);
        }
        w.run(2);
        let task = format!("{}/0", id(10 + n));
        let on = w.placed_on(&task).expect("placed");
        assert!(
            had[&on].contains(&format!("img-{n}")),
            "{task} fetches on {on}"
        );
    }
}

#[test]
fn a_new_leader_whose_copy_is_behind_starts_nothing_twice() {
    for seed in 100..106 {
        let mut w = started(seed, 12, WRITE_RPS);
        // Nobody polls: a poll would have the copies catch up.
        for n in 0..24 {
            w.declare(&id(n), job(JobKind::Service, 2, 1.0), 0);
            while !w.jobs[&id(n)].accepted {
                let l = w.leader().unwrap();
                w.submit_once(l, &id(n));
                w.run(1);
            }
        }
        w.run(12);
        let l = w.leader().unwrap();
        w.lag_watch = (0..3).filter(|i| *i != l).map(|i| (i, 9 * SEC)).collect();
        kill(&mut w, |i| i % 4 < 2);
        run_until_bundled(&mut w, 1_000);
        w.crash(l, 30 * SEC);
        w.run(4);
        assert!(w.leader().is_some_and(|n| n != l), "nobody took over");
        w.run(3);
        w.lag_watch.clear();
        w.run(60);
        all_there(&w);
    }
}

#[test]
fn nothing_is_bundled_while_a_controller_does_not_read_it() {
    for seed in 120..123 {
        let mut w = started(seed, 12, WRITE_RPS);
        w.set_old(2, true);
        w.crash(2, SEC);
        w.run(8);
        fill(&mut w);
        kill(&mut w, |i| i % 4 < 2);
        w.run(60);
        assert!(
            !bundled(&w),
            "seed {seed}: kernel-2 would take bundled tasks for lost"
        );
        w.run(100);
        all_there(&w);
    }
}

#[test]
fn bundles_are_folded_at_once_when_a_controller_goes_back() {
    let mut w = busy(130, 12);
    kill(&mut w, |i| i % 4 < 2);
    run_until_bundled(&mut w, 20_000);
    let l = w.leader().unwrap();
    let back = (0..3).find(|i| *i != l).unwrap();
    w.set_old(back, true);
    w.crash(back, SEC);
    w.run(20);
    assert_eq!(w.store.under("wt/b/"), 0, "kernel-{back} does not see them");
    w.run(140);
    all_there(&w);
}

#[test]
fn answers_about_bundles_are_lost() {
    for seed in 110..116 {
        let mut w = busy(seed, 12);
        let since = w.now;
        kill(&mut w, |i| i % 4 < 2);
        for k in 0..40u64 {
            let dt = (LEASE_S - 2) * SEC + k * SEC / 2;
            w.after(dt, |w| {
                let until = w.now + SEC / 4;
                w.lose_answers.push((Party::StoreClient, until));
            });
        }
        w.run(180);
        assert!(w.now > since && bundled(&w));
        all_there(&w);
    }
}

#[test]
fn overlapping_losses_break_no_rule() {
    for seed in 200..230 {
        let mut w = busy(seed, 10);
        for _ in 0..6 {
            let at = w.rng.random_range(0..70 * SEC);
            let dt = w.rng.random_range(3..40) * SEC;
            let what = w.rng.random_range(0..8);
            let i = w.rng.random_range(0..3usize);
            w.after(at, move |w| match what {
                0 => cut_off(w, if i == 1 { "b" } else { "a" }, dt),
                1 => (0..3).for_each(|i| w.crash(i, 4 * SEC)),
                2 => w.crash(i, 5 * SEC),
                3 => kill(w, |k| k % 5 == i),
                4 => {
                    let until = w.now + dt;
                    let some = w.agents.values_mut().enumerate();
                    some.filter(|(k, _)| k % 3 == i)
                        .for_each(|(_, x)| x.hung_until = until);
                }
                5 => {
                    w.store.outage = true;
                    w.after(dt, |w| {
                        let now = w.now;
                        w.store.end_outage(now);
                    });
                }
                6 => w.lose_answers.push((Party::StoreClient, w.now + dt / 4)),
                _ => {
                    for n in (0..SERVICES + ARRAYS + GANGS).filter(|n| n % 3 == i) {
                        w.cancel_surely(&id(n));
                    }
                }
            });
        }
        w.run(160);
        let (now, outage) = (w.now, w.store.outage);
        if outage {
            w.store.end_outage(now);
        }
        w.run(120);
        assert!(w.leader().is_some(), "seed {seed}: nobody leads");
    }
}
