//! Two or three troubles that overlap, set apart by the protocol's own spans, and calm after them. The checker holds the
//! rules all along; then every job is known, and of each class, each team and each class's largest at least half are
//! served. `SEEDS_FROM` and `SEEDS` choose other seeds: `SEEDS_FROM=17 SEEDS=1 cargo test --test pairs` plays one again.

mod world;

use rand::RngExt;
use walnuttrestle::protocol::{JobKind, JobSpec, Priority};
use world::trouble::{Copies, Mute};
use world::{CANCEL_S, Cut, LEASE_S, Party, SEC, World, job, settled};

const TROUBLES: usize = 25;

/// A job's id, its class, and whether it is the largest of it.
type Asked = (String, &'static str, bool);

/// A time about one of the protocol's spans: a claim, a report, a lease, a cancellation.
fn span(w: &mut World) -> u64 {
    let of = [SEC / 20, 2 * SEC, LEASE_S * SEC, CANCEL_S * SEC];
    let about = of[w.rng.random_range(0..of.len())];
    w.rng.random_range(about / 2..about * 3 / 2)
}

/// One trouble, for about so long.
fn trouble(w: &mut World, which: usize, dt: u64) {
    let l = w.leader().unwrap_or(0);
    let i = if w.rng.random_bool(0.6) {
        l
    } else {
        w.rng.random_range(0..3)
    };
    let others: Vec<usize> = (0..3).filter(|o| *o != i).collect();
    let how = [Cut::Drop, Cut::Hold][w.rng.random_range(0..2)];
    let many = w.rng.random_range(1..5);
    let some: Vec<String> = w.names().into_iter().skip(1).take(many).collect();
    let until = w.now + dt;
    let back = [20_000, 400_000, dt.min(20 * SEC)][w.rng.random_range(0..3)];
    match which {
        0 => w.crash(i, back),
        1 => (0..3).for_each(|k| w.crash((i + k) % 3, back + k as u64 * 50_000)),
        2 => w.freeze(i, dt.min(40 * SEC)),
        3 => {
            w.store.outage = true;
            w.after(dt, |w| {
                let now = w.now;
                w.store.end_outage(now);
            });
        }
        4 => {
            w.store.refuses.push(i);
            w.after(dt, move |w| w.store.refuses.retain(|r| *r != i));
        }
        5 => w.cut(Party::Controller(i), Party::StoreClient, how, dt),
        6 => others
            .iter()
            .for_each(|o| w.cut(Party::Controller(i), Party::Controller(*o), how, dt)),
        7 => {
            w.cut(Party::Controller(i), Party::StoreClient, how, dt);
            others
                .iter()
                .for_each(|o| w.cut(Party::Controller(i), Party::Controller(*o), how, dt));
        }
        8 => {
            for m in some {
                w.cut(Party::Controller(i), Party::Agent(m), how, dt);
            }
        }
        9 => {
            let what = [
                &[Mute::Answers][..],
                &[Mute::Commands],
                &[Mute::Answers, Mute::Commands],
            ][w.rng.random_range(0..3)];
            let of = w.rng.random_bool(0.5).then_some(i);
            for m in some {
                w.troubles.deafen_to(&m, of, what, until);
            }
        }
        10 => {
            for m in some {
                w.agents.get_mut(&m).expect("a machine").hung_until = until;
            }
        }
        11 => {
            w.troubles.late_writes = w.rng.random_range(0.05..0.4);
            w.after(dt, |w| w.troubles.late_writes = 0.0);
        }
        12 => {
            w.troubles.copies = Some(Copies {
                chance: 0.4,
                most: 40 * SEC,
            });
            w.after(dt, |w| w.troubles.copies = None);
        }
        13 => {
            w.slow_store = w.rng.random_range(100_000..2 * SEC);
            w.after(dt, |w| w.slow_store = 0);
        }
        14 => {
            w.delay_orders = Some(w.rng.random_range(SEC / 2..9 * SEC));
            w.after(dt, |w| w.delay_orders = None);
        }
        15 => some.iter().for_each(|m| w.troubles.silence(m, until)),
        16 => {
            w.troubles.lost_answers = w.rng.random_range(0.05..0.4);
            w.after(dt, |w| w.troubles.lost_answers = 0.0);
        }
        17 => {
            w.troubles.for_next = 0.5;
            w.after(dt, |w| w.troubles.for_next = 0.0);
        }
        18 => w.odd_requests(dt),
        19 => {
            w.troubles.close_looks = true;
            w.after(dt, |w| w.troubles.close_looks = false);
        }
        20 => {
            let mut gone: Vec<String> = (0..4).map(|n| format!("req-{}", 200 + n)).collect();
            gone.retain(|id| w.jobs.get(id).is_some_and(|t| t.accepted));
            w.cancel_burst(&gone, dt);
        }
        21 => {
            w.troubles.cancel_at_end = 0.3;
            w.after(dt, |w| w.troubles.cancel_at_end = 0.0);
        }
        22 => {
            w.troubles.slow_links = w.rng.random_range(50_000..900_000);
            w.after(dt, |w| w.troubles.slow_links = 0);
        }
        23 => {
            // Machines die, and new ones are up within two seconds, with work at once.
            w.boot = w.rng.random_range(SEC / 5..2 * SEC);
            for m in some {
                w.failed.insert(m.clone());
                w.agents.get_mut(&m).expect("a machine").alive = false;
            }
        }
        _ => {
            // The lead changes again and again.
            for k in 0..10 {
                w.after(k * 3 * SEC, move |w| {
                    let l = w.leader().unwrap_or(0);
                    w.crash(l, back.min(2 * SEC));
                });
            }
        }
    }
}

/// Cancels a job once it is accepted.
fn cancel_accepted(w: &mut World, id: String) {
    if w.jobs.get(&id).is_some_and(|t| t.accepted) {
        w.cancel_surely(&id);
    } else {
        w.after(SEC, |w| cancel_accepted(w, id));
    }
}

/// What users ask for: class, size, and how long it runs.
fn jobs(w: &mut World) -> Vec<Asked> {
    let of = |class: &str, team: &str, kind, tasks, gpus| JobSpec {
        class: class.into(),
        team: team.into(),
        ..job(kind, tasks, gpus)
    };
    let gang = |tasks| JobSpec {
        priority: Priority::High,
        checkpoint_s: 4.0,
        save_s: 1.0,
        ..of("gang", "green", JobKind::Gang, tasks, 2.0)
    };
    let mut all = vec![
        ("svc", of("svc", "blue", JobKind::Service, 3, 1.0), 0, false),
        ("svc", of("svc", "green", JobKind::Service, 6, 1.0), 0, true),
        ("gang", gang(2), 12 * SEC, false),
        ("gang", gang(4), 15 * SEC, true),
        (
            "red",
            of("red", "red", JobKind::Array, 9, 2.0),
            8 * SEC,
            true,
        ),
    ];
    for n in 0..4 {
        all.push((
            "red",
            of("red", "red", JobKind::Array, 2 + n, 1.0),
            6 * SEC,
            false,
        ));
        all.push((
            "blue",
            of("blue", "blue", JobKind::Array, 3, 1.0),
            (4 + 6 * u64::from(n)) * SEC,
            n == 3,
        ));
    }
    let mut ids = Vec::new();
    for (n, (class, spec, run, large)) in all.into_iter().enumerate() {
        let id = format!("req-{}", 100 + n);
        let at = w.rng.random_range(0..25 * SEC);
        let (of, apart) = (id.clone(), w.rng.random_range(0..4) * SEC);
        w.after(at, move |w| {
            let apart = if spec.kind == JobKind::Array {
                apart
            } else {
                0
            };
            w.caller(&of, spec, run);
            w.jobs.get_mut(&of).expect("declared").apart = apart;
        });
        ids.push((id, class, large));
    }
    for n in 0..4u64 {
        let id = format!("req-{}", 200 + n);
        let (of, cancelled) = (id.clone(), id);
        w.after(n * 3 * SEC, move |w| {
            let spec = JobSpec {
                class: "gone".into(),
                ..job(JobKind::Array, 3, 1.0)
            };
            w.caller(&of, spec, 400 * SEC);
        });
        let at = w.rng.random_range(8..60) * SEC;
        w.after(at, move |w| cancel_accepted(w, cancelled));
    }
    ids
}

fn pair(seed: u64) {
    let mut w = settled(seed, 6);
    w.balance();
    w.run(3);
    let ids = jobs(&mut w);
    w.run(8);
    let mut last = 0;
    let mut drawn = Vec::new();
    for _ in 0..w.rng.random_range(2..4) {
        let which = w.rng.random_range(0..TROUBLES);
        let (at, dt) = (span(&mut w), span(&mut w));
        drawn.push((which, at, dt));
        last = last.max(at + dt.max(32 * SEC));
        w.after(at, move |w| trouble(w, which, dt));
    }
    println!("seed {seed}: {drawn:?}");
    w.step_for(last + 2 * SEC);
    w.troubles.end();
    w.calm();
    w.run(200);
    // Jobs that their users called off are no longer among those that have to be served.
    let ids: Vec<Asked> = ids
        .into_iter()
        .filter(|(id, ..)| !w.jobs[id].asked_cancel)
        .collect();
    let served = |(id, ..): &&Asked| {
        let t = &w.jobs[id];
        let tasks = 0..t.spec.tasks;
        t.told_done.is_some()
            || t.spec.kind == JobKind::Service
                && tasks
                    .into_iter()
                    .all(|n| !w.on(&format!("{id}/{n}")).is_empty())
    };
    let mut groups: Vec<(String, Vec<&Asked>)> = Vec::new();
    for key in ["svc", "gang", "red", "blue"] {
        let of = ids.iter().filter(|(_, c, _)| *c == key);
        groups.push((format!("class {key}"), of.clone().collect()));
        groups.push((
            format!("largest of {key}"),
            of.filter(|(.., large)| *large).collect(),
        ));
    }
    for team in ["red", "blue", "green"] {
        let of = ids.iter().filter(|(id, ..)| w.jobs[id].spec.team == team);
        groups.push((format!("team {team}"), of.collect()));
    }
    for (name, of) in groups {
        let n = of.iter().copied().filter(served).count();
        assert!(
            2 * n >= of.len(),
            "seed {seed}: {n} of {} of {name}\n{}",
            of.len(),
            w.dump()
        );
    }
    for n in 0..4 {
        let id = format!("req-{}", 200 + n);
        let there = w.there(&id);
        // A question that was on its way when it was told may be answered with what held before.
        let told = w.jobs[&id].told_cancelled.is_some();
        assert!(told && there == 0, "seed {seed}: {id}, {there} there");
    }
}

#[test]
fn two_or_three_troubles_at_once_break_no_rule() {
    let given = |name: &str| std::env::var(name).ok().and_then(|s| s.parse::<u64>().ok());
    let first = given("SEEDS_FROM").unwrap_or(9_000);
    for seed in first..first + given("SEEDS").unwrap_or(120) {
        pair(seed);
    }
}
