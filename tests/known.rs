//! Every accepted job runs or stays known: users ask through a load balancer, any troubles mix, then all is calm.
//! And the largest jobs begin.

mod world;

use rand::RngExt;
use walnuttrestle::protocol::{JobKind, JobSpec, Priority};
use world::trouble::Copies;
use world::{Cut, Party, SEC, World, job, settled};

/// Users come through a load balancer.
fn balanced(seed: u64, machines: usize) -> World {
    let mut w = settled(seed, machines);
    w.balance();
    w.run(3);
    w
}

/// One of the operators' troubles, from now on; all are over after `most` microseconds.
fn trouble(w: &mut World, most: u64) {
    let dt = w.rng.random_range(2 * SEC..most);
    let i = w.rng.random_range(0..3);
    let leader = w.leader().unwrap_or(i);
    let others = |i: usize| (0..3).filter(move |j| *j != i);
    match w.rng.random_range(0..11) {
        0 => {
            let back = w.rng.random_range(20_000..8 * SEC);
            w.crash(i, back);
        }
        1 => {
            for k in 0..w.rng.random_range(2..4) {
                let back = w.rng.random_range(20_000..8 * SEC);
                w.crash((i + k) % 3, back);
            }
        }
        2 => w.freeze(leader, dt),
        3 => w.freeze(i, dt),
        4 => {
            w.store.outage = true;
            w.after(dt, |w| {
                let now = w.now;
                w.store.end_outage(now);
            });
        }
        5 => {
            w.store.refuses.push(i);
            w.after(dt, |w| w.store.refuses.clear());
        }
        6 => {
            w.cut(Party::Controller(i), Party::StoreClient, Cut::Drop, dt);
            for j in others(i) {
                w.cut(Party::Controller(i), Party::Controller(j), Cut::Drop, dt);
            }
        }
        7 => {
            let how = [Cut::Drop, Cut::Hold][w.rng.random_range(0..2)];
            for j in others(leader) {
                w.cut(Party::Controller(leader), Party::Controller(j), how, dt);
            }
        }
        8 => {
            let (chance, until) = (w.rng.random_range(0.1..0.6), w.now + dt);
            for m in w.names() {
                if w.rng.random_bool(chance) {
                    w.troubles.deafen(&m, until);
                }
            }
        }
        9 => {
            w.troubles.copies = Some(Copies {
                chance: 0.3,
                most: 30 * SEC,
            });
        }
        _ => {
            let m = w.names();
            let m = &m[w.rng.random_range(0..m.len())];
            let until = w.now + dt;
            w.agents.get_mut(m).expect("a machine").hung_until = until;
        }
    }
}

/// Many troubles at once; returns the world when it is calm, with its jobs.
fn night(seed: u64) -> World {
    let mut w = balanced(seed, 6);
    w.caller("req-1", job(JobKind::Service, 4, 1.0), 0);
    w.caller("req-2", job(JobKind::Gang, 2, 5.0), 15 * SEC);
    w.caller("req-3", job(JobKind::Array, 10, 1.0), 6 * SEC);
    w.caller("req-4", job(JobKind::Array, 3, 1.0), 500 * SEC);
    w.run(6);
    for _ in 0..w.rng.random_range(2..7) {
        trouble(&mut w, 45 * SEC);
        let id = format!("req-{}", 10 + w.now / SEC);
        w.caller(&id, job(JobKind::Array, 2, 1.0), 3 * SEC);
        let pause = w.rng.random_range(0..8 * SEC);
        w.step_for(pause);
    }
    w.run(46);
    w.troubles.copies = None;
    let now = w.now;
    if w.store.outage {
        w.store.end_outage(now);
    }
    w.store.refuses.clear();
    w.calm();
    w
}

/// Fails if a job stays unknown for 75 s once all is calm, if one that was accepted does not run although there is
/// room, or if any rule of PROTOCOL is broken on the way.
fn a_night_ends_well(seed: u64) {
    let mut w = night(seed);
    w.run(150);
    for (id, t) in &w.jobs {
        let ends = t.spec.kind != JobKind::Service && t.run < 100 * SEC;
        assert!(
            t.accepted,
            "seed {seed}: {id} was never accepted\n{}",
            w.dump()
        );
        assert!(
            !ends || t.told_done.is_some(),
            "seed {seed}: {id} is not done\n{}",
            w.dump()
        );
    }
    let replicas: usize = (0..4).map(|t| w.on(&format!("req-1/{t}")).len()).sum();
    assert_eq!(replicas, 4, "seed {seed}: {}", w.dump());
}

#[test]
fn whatever_happened_every_job_is_known_and_runs_once_it_is_calm() {
    let first = std::env::var("SEEDS_FROM")
        .ok()
        .and_then(|s| s.parse().ok());
    let many = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok());
    let first: u64 = first.unwrap_or(3000);
    for seed in first..first + many.unwrap_or(150u64) {
        a_night_ends_well(seed);
    }
}

/// When all tasks of a job were there at once for the first time, after its submission; none: never.
fn begun(w: &World, id: &str, since: u64) -> Option<u64> {
    let tasks = w.jobs[id].spec.tasks;
    let first = |t: u32| {
        let name = format!("{id}/{t}");
        w.began
            .iter()
            .find(|b| b.task == name)
            .map(|b| b.at - since)
    };
    (0..tasks)
        .map(first)
        .try_fold(0, |max, t| Some(max.max(t?)))
}

/// What fills the fleet in a story of the largest.
#[derive(Debug, Clone, Copy)]
enum Small {
    /// Gangs of one machine, of the same rank.
    Gangs,
    /// Single tasks of a lower rank that cannot save, which take an eighth of a machine each.
    Singles,
    /// Both, behind a guest's very wide array that is never done.
    BehindGuests,
}

/// Twelve full machines, smaller jobs coming all the time, nothing to rent. How long the large job waits.
fn waits(seed: u64, small: Small, large: JobSpec, crash: bool) -> Option<u64> {
    let mut w = balanced(seed, 12);
    w.no_capacity = true;
    let gangs = |w: &mut World, n: u64, run: u64| {
        let spec = JobSpec {
            estimate_s: 5.0,
            priority: Priority::High,
            ..job(JobKind::Gang, 1, 8.0)
        };
        w.user(&format!("req-9{n}"), spec, run);
    };
    let singles = |w: &mut World, n: u64, run: u64| {
        w.user(&format!("req-8{n}"), job(JobKind::Array, 4, 1.0), run);
    };
    if matches!(small, Small::BehindGuests) {
        let guest = JobSpec {
            priority: Priority::Low,
            ..job(JobKind::Array, 2_000, 1.0)
        };
        w.user("req-70", guest, 30 * SEC);
        w.run(3);
    }
    // More than the fleet can take, and it goes on like that.
    for n in 0..14 {
        gangs(&mut w, n, (10 + n % 7) * SEC);
    }
    w.run(10);
    let since = w.now;
    w.user("req-1", large, 10 * SEC);
    for s in 0..260u64 {
        let run = w.rng.random_range(8..25) * SEC;
        match small {
            Small::Gangs => gangs(&mut w, 100 + s, run),
            Small::Singles => (0..4).for_each(|k| singles(&mut w, 1000 + s * 4 + k, run)),
            Small::BehindGuests if s % 2 == 0 => gangs(&mut w, 100 + s, run),
            Small::BehindGuests => singles(&mut w, 1000 + s, run),
        }
        w.run(1);
        if crash && s == 40 {
            let l = w.leader().unwrap_or(0);
            w.crash(l, 2 * SEC);
        }
        if let Some(t) = begun(&w, "req-1", since) {
            return Some(t);
        }
    }
    None
}

/// Fails if the widest gang, service or array of a class waits for more than four minutes while smaller jobs of the
/// same rank go on coming.
#[test]
fn the_largest_begin_within_four_minutes_whatever_smaller_jobs_come() {
    let of = |kind, tasks, gpus, priority| JobSpec {
        priority,
        estimate_s: 60.0,
        ..job(kind, tasks, gpus)
    };
    let larges = [
        ("gang", of(JobKind::Gang, 5, 8.0, Priority::High)),
        (
            "service",
            JobSpec {
                spread: true,
                ..of(JobKind::Service, 8, 2.0, Priority::Production)
            },
        ),
        ("array", of(JobKind::Array, 48, 1.0, Priority::Normal)),
    ];
    let mut table = Vec::new();
    for small in [Small::Gangs, Small::Singles, Small::BehindGuests] {
        for (name, large) in &larges {
            for crash in [false, true] {
                let t = waits(7, small, large.clone(), crash);
                table.push(format!(
                    "{small:?}, the widest {name}, leader crash {crash}: {:?} s",
                    t.map(|t| t / SEC)
                ));
            }
        }
    }
    let late = table.iter().filter(|l| l.contains("None"));
    assert_eq!(late.count(), 0, "{}", table.join("\n"));
    println!("{}", table.join("\n"));
}
