//! What comes late and meets a number that has come again, and copies that meet whoever never saw the original
//! (docs/meetings.md, "Every transaction, carried out late").

mod world;

use rand::RngExt;
use walnuttrestle::protocol::format::NEWEST;
use walnuttrestle::protocol::{JobKind, JobSpec};
use world::trouble::Copies;
use world::{Cut, LEASE_S, Party, SEC, World, job, settled};

/// A controller starts with the new version, the first write of its format's number gets no answer, and it goes back to
/// the old version; the write comes after that. Fails if the number was deleted: its version is 0 again then.
#[test]
fn a_formats_number_does_not_come_back_after_a_rollback() {
    let mut went_back = 0;
    for seed in 0..6 {
        let mut w = World::all_old(6100 + seed, 4, None);
        w.run(8);
        for i in [1, 2] {
            w.set_old(i, false);
            w.crash(i, 50_000);
            w.run(4);
        }
        w.troubles.late_key = Some(("wt/f/kernel-0", 1, 11 * SEC));
        w.set_old(0, false);
        w.crash(0, 50_000);
        w.run(5);
        let of = |w: &World| w.node(1).map_or(0, |n| n.cache.format_of("kernel-0").0);
        assert_eq!(
            of(&w),
            NEWEST,
            "seed {seed}: written again after the first answer was lost"
        );
        w.set_old(0, true);
        w.crash(0, 50_000);
        let mut back = false;
        for _ in 0..400 {
            w.step_for(SEC / 20);
            back |= of(&w) < NEWEST;
            assert!(
                !back || of(&w) < NEWEST,
                "seed {seed}: it has come back at {}",
                w.now
            );
        }
        went_back += usize::from(back);
        w.user("req-1", job(JobKind::Array, 2, 1.0), 2 * SEC);
        w.run(30);
        assert!(w.job_done("req-1"), "seed {seed}");
    }
    assert_eq!(went_back, 6);
}

/// A bundle gets no answer, is written again or another way, is spent and deleted, and is then carried out late. Fails in
/// the end only together with other lines; what it holds never counts again, and it is deleted once more.
#[test]
fn a_bundle_that_comes_after_its_number_is_free_again_brings_nothing_back() {
    let mut bundles = 0;
    for seed in 0..24 {
        let mut w = World::with_budget(6140 + seed, 3, 6, 9.0);
        w.run(8);
        w.troubles.late_key = Some(("wt/b/", 2, w.rng.random_range(2..12) * SEC));
        w.user("req-1", job(JobKind::Service, 4, 1.0), 0);
        for n in 0..24u64 {
            let at = (n / 8) * 3 * SEC;
            let run = w.rng.random_range(SEC / 2..2 * SEC);
            w.after(at, move |w| {
                w.user(
                    &format!("req-{}", 100 + n),
                    job(JobKind::Array, 2, 1.0),
                    run,
                );
            });
        }
        if seed % 2 == 0 {
            w.after(4 * SEC, |w| {
                let l = w.leader().unwrap_or(0);
                w.crash(l, 100_000);
            });
        }
        for _ in 0..40 {
            w.run(1);
            bundles += w.store.under("wt/b/");
        }
        w.run(60);
        for n in 0..24 {
            assert!(
                w.job_done(&format!("req-{}", 100 + n)),
                "seed {seed}: {n}\n{}",
                w.dump()
            );
        }
        assert_eq!(w.there("req-1"), 4, "seed {seed}: {}", w.dump());
        assert_eq!(w.store.under("wt/b/"), 0, "seed {seed}: all are spent");
    }
    assert!(bundles > 20, "{bundles}");
}

/// What controllers told and asked one another comes again, seconds to a lease later, while the lead changes, the state
/// service is out and jobs are cancelled. A copy may make things later, never sooner.
#[test]
fn copies_of_heartbeats_prove_nothing() {
    for seed in 0..32 {
        let mut w = settled(6180 + seed, 5);
        w.troubles.between = Some(Copies {
            chance: 0.3,
            most: (LEASE_S + 10) * SEC,
        });
        w.user("req-1", job(JobKind::Service, 5, 1.0), 0);
        w.user("req-2", job(JobKind::Array, 5, 1.0), 300 * SEC);
        w.user("req-3", job(JobKind::Array, 2, 1.0), 30 * SEC);
        w.run(10);
        for k in 0..4u64 {
            let at = k * 8 * SEC + w.rng.random_range(0..3 * SEC);
            match (seed + k) % 4 {
                0 => w.after(at, |w| {
                    let l = w.leader().unwrap_or(0);
                    w.crash(l, 30_000);
                }),
                1 => w.after(at, |w| {
                    let l = w.leader().unwrap_or(0);
                    w.store.refuses.push(l);
                    w.after(6 * SEC, |w| w.store.refuses.clear());
                }),
                2 => w.after(at, |w| {
                    w.store.outage = true;
                    w.after(9 * SEC, |w| {
                        let now = w.now;
                        w.store.end_outage(now);
                    });
                }),
                _ => w.after(at, |w| {
                    let l = w.leader().unwrap_or(0);
                    w.cut(
                        Party::Controller(l),
                        Party::Controller((l + 1) % 3),
                        Cut::Hold,
                        7 * SEC,
                    );
                }),
            }
        }
        w.after(9 * SEC, |w| w.cancel_surely("req-2"));
        w.run(60);
        w.troubles.end();
        w.run(60);
        w.assert_cancelled(seed, &["req-2"]);
        assert!(w.job_done("req-3"), "seed {seed}: {}", w.dump());
        assert_eq!(w.there("req-1"), 5, "seed {seed}: {}", w.dump());
    }
}

/// A follower renews machines that a cut keeps from the leader, and copies of reports come to it whose originals went to
/// the leader before the cut. It names a dead machine a lease longer at most; nothing runs twice, and the team's limit holds.
#[test]
fn copies_come_to_a_follower_that_renews_and_never_saw_the_original() {
    for seed in 0..32 {
        let mut w = settled(6220 + seed, 6);
        let red = |tasks| JobSpec {
            team: "red".into(),
            ..job(JobKind::Array, tasks, 2.0)
        };
        w.troubles.copies = Some(Copies {
            chance: 0.7,
            most: (LEASE_S + 4) * SEC,
        });
        w.user("req-1", red(6), 60 * SEC);
        w.user("req-2", job(JobKind::Service, 6, 1.0), 0);
        w.run(12);
        let l = w.leader().expect("a leader");
        let all = w.names();
        for m in &all {
            w.cut(
                Party::Controller(l),
                Party::Agent(m.clone()),
                Cut::Drop,
                30 * SEC,
            );
        }
        // One dies, one goes silent, in the first seconds of the cut.
        let at = w.rng.random_range(0..4 * SEC);
        w.after(at, move |w| {
            let until = w.now + 25 * SEC;
            w.failed.insert(all[0].clone());
            if let Some(x) = w.agents.get_mut(&all[0]) {
                x.alive = false;
            }
            w.troubles.silence(&all[1], until);
        });
        w.user("req-3", red(3), 5 * SEC);
        if seed % 2 == 0 {
            let at = w.rng.random_range(5..20) * SEC;
            w.after(at, move |w| w.crash(l, 60_000));
        }
        w.run(40);
        w.troubles.end();
        w.run(150);
        for id in ["req-1", "req-3"] {
            assert!(w.job_done(id), "seed {seed}: {id}\n{}", w.dump());
        }
        assert_eq!(w.there("req-2"), 6, "seed {seed}: {}", w.dump());
    }
}
