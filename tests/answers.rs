//! Users who ask at all nodes within milliseconds, who repeat submissions and call jobs off at the moment of their end:
//! no node answers something older than what any node has told (docs/meetings.md).

mod world;

use rand::RngExt;
use walnuttrestle::protocol::{JobKind, JobSpec};
use world::{Cut, Party, SEC, World, job, settled};

/// Followers and the leader in turn.
fn node_of(w: &World, seed: u64) -> usize {
    (w.leader().expect("a leader") + seed as usize % 3) % 3
}

/// An acceptance is carried out at once, and its answer takes a second; meanwhile the job is accepted and called off
/// through another node, and its user asks the first one again, whose copy lags. Fails (went_back: pending after
/// cancelled) if whoever joined the acceptance on its way is told what was written.
#[test]
fn an_acceptance_whose_answer_is_late_tells_nobody_what_held_before() {
    for seed in 0..24 {
        let mut w = settled(4000 + seed, 4);
        let a = node_of(&w, seed);
        let b = (a + 1) % 3;
        w.lag_watch.insert(a, 6 * SEC);
        w.troubles.slow_writes = Some((a, 1_200_000));
        w.troubles.slow_reads = Some((a, 1_400_000));
        w.declare("req-1", job(JobKind::Array, 2, 1.0), 60 * SEC);
        w.submit_once(a, "req-1");
        w.step_for(60_000);
        w.submit_once(b, "req-1");
        w.step_for(100_000);
        assert!(w.jobs["req-1"].accepted, "seed {seed}: by the other node");
        w.cancel(b, "req-1");
        w.step_for(100_000);
        assert_eq!(w.told("req-1"), "cancelled", "seed {seed}");
        for _ in 0..5 {
            w.submit_once(a, "req-1");
            w.step_for(50_000);
        }
        w.run(4);
        assert_eq!(w.told("req-1"), "cancelled", "seed {seed}");
    }
}

/// A job was accepted while a machine type was on offer; a node whose copy lags knows the types of later. Fails
/// (forgotten: 422) without a look at the records before the refusal.
#[test]
fn what_can_no_longer_run_and_was_accepted_elsewhere_is_not_refused() {
    for seed in 0..6 {
        let mut w = settled(4040 + seed, 4);
        let a = node_of(&w, seed);
        let b = (a + 1) % 3;
        // A reading of all records has shown the types; the watch has not shown the job yet.
        let large = JobSpec {
            types: Some(vec!["box".into()]),
            ..job(JobKind::Array, 2, 1.0)
        };
        w.lag_watch.insert(a, 5 * SEC);
        w.declare("req-1", large, 30 * SEC);
        w.submit_once(b, "req-1");
        w.step_for(100_000);
        assert!(w.jobs["req-1"].accepted, "seed {seed}");
        w.forget_types(a);
        for _ in 0..3 {
            w.submit_once(a, "req-1");
            w.step_for(200_000);
        }
        w.run(2);
        assert!(w.said.iter().any(|s| s.0 + 3 * SEC > w.now), "seed {seed}");
    }
}

/// Close looks at every node after each acceptance, end and cancellation, while the state service is slow, loses answers,
/// refuses one, and the lead changes.
#[test]
fn close_looks_are_answered_with_nothing_older_than_what_was_told() {
    for seed in 0..32 {
        let mut w = settled(4060 + seed, 5);
        w.troubles.close_looks = true;
        w.troubles.lost_answers = [0.0, 0.2][seed as usize % 2];
        w.troubles.late_writes = [0.0, 0.1][seed as usize / 2 % 2];
        w.slow_store = [0, 300_000][seed as usize / 4 % 2];
        let f = node_of(&w, 1);
        match seed % 5 {
            0 => _ = w.lag_watch.insert(f, 3 * SEC),
            1 => w.store.refuses.push(f),
            2 => w.after(9 * SEC, |w| {
                let l = w.leader().unwrap_or(0);
                w.crash(l, 50_000);
            }),
            3 => {
                let (l, dt) = (node_of(&w, 0), 12 * SEC);
                w.cut(Party::Controller(l), Party::StoreClient, Cut::Hold, dt);
            }
            _ => w.freeze(f, 8 * SEC),
        }
        for n in 0..16u64 {
            let run = w.rng.random_range(SEC..6 * SEC);
            let at = n * SEC;
            w.after(at, move |w| {
                let id = format!("req-{}", 100 + n);
                w.user(&id, job(JobKind::Array, 1 + n as u32 % 3, 1.0), run);
                if n % 4 == 0 {
                    let at = w.rng.random_range(0..4 * SEC);
                    w.after(at, move |w| w.cancel_surely(&id));
                }
            });
        }
        w.run(30);
        w.store.refuses.clear();
        w.troubles.end();
        w.slow_store = 0;
        w.run(60);
        for (id, t) in &w.jobs {
            let told = t.told_done.is_some() || t.told_cancelled.is_some();
            assert!(told, "seed {seed}: {id}\n{}", w.dump());
        }
        let pending = w.said.iter().filter(|s| s.3 == "pending").count();
        assert!(pending > 10 && w.said.len() > 300, "seed {seed}: {pending}");
    }
}

/// A cancellation, questions and repeated submissions meet the end of a job's last task, with no other trouble. The job
/// is done or cancelled, and every node says the same for good.
#[test]
fn a_cancellation_meets_the_end_of_the_last_task() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in 0..24 {
        let mut w = settled(4100 + seed, 5);
        w.troubles.close_looks = true;
        w.troubles.cancel_at_end = 1.0;
        for n in 0..12u64 {
            let run = w.rng.random_range(SEC..5 * SEC);
            let kind = [JobKind::Array, JobKind::Gang][n as usize % 2];
            w.user(
                &format!("req-{}", 100 + n),
                job(kind, 1 + n as u32 % 3, 1.0),
                run,
            );
        }
        w.run(40);
        for t in w.jobs.values() {
            done += usize::from(t.told_done.is_some());
            cancelled += usize::from(t.told_cancelled.is_some());
            assert!(
                t.told_done.is_some() != t.told_cancelled.is_some(),
                "seed {seed}"
            );
        }
    }
    assert!(done > 10 && cancelled > 10, "{done} {cancelled}");
}

/// Of every kind of transaction, acceptance, cancellation, places, ends, the lead and what hangs on it, some are carried
/// out at once and only the answer is lost, while other nodes read what they wrote.
#[test]
fn only_the_answers_of_transactions_are_lost() {
    for seed in 0..32 {
        let mut w = World::with_budget(4140 + seed, 3, 6, [60.0, 9.0][seed as usize % 2]);
        w.run(8);
        w.troubles.lost_answers = [0.1, 0.3, 0.5][seed as usize % 3];
        w.troubles.close_looks = seed % 2 == 0;
        w.user("req-1", job(JobKind::Service, 4, 1.0), 0);
        w.user("req-2", job(JobKind::Array, 4, 1.0), 300 * SEC);
        for n in 0..12u64 {
            let id = format!("req-{}", 100 + n);
            w.after(n * 2 * SEC, move |w| {
                w.user(&id, job(JobKind::Array, 2, 1.0), 3 * SEC);
            });
        }
        for k in 0..4u64 {
            let at = 6 * SEC * k + w.rng.random_range(0..6 * SEC);
            w.after(at, move |w| {
                let l = w.leader().unwrap_or(0);
                match k % 3 {
                    0 => w.crash(l, 60_000),
                    1 => {
                        // Followers renew, and put it on record.
                        for m in w.names().into_iter().take(3) {
                            w.cut(Party::Controller(l), Party::Agent(m), Cut::Drop, 12 * SEC);
                        }
                    }
                    _ => (0..3).for_each(|i| w.crash(i, 100_000)),
                }
            });
        }
        w.after(14 * SEC, |w| w.cancel_surely("req-2"));
        w.run(40);
        w.troubles.end();
        w.run(100);
        w.assert_cancelled(seed, &["req-2"]);
        assert_eq!(w.there("req-1"), 4, "seed {seed}: {}", w.dump());
        for n in 0..12 {
            let id = format!("req-{}", 100 + n);
            assert!(w.job_done(&id), "seed {seed}: {id}\n{}", w.dump());
        }
    }
}

/// Users send what must be refused, repeat what is accepted, cancel what is done and ask about what nobody submitted,
/// while the lead changes and one node has just started.
#[test]
fn odd_requests_are_refused_alike_by_every_node() {
    for seed in 0..12 {
        let mut w = settled(4180 + seed, 4);
        for n in 0..6 {
            w.user(&format!("req-{n}"), job(JobKind::Array, 2, 1.0), 8 * SEC);
        }
        w.odd_requests(30 * SEC);
        w.after(4 * SEC, |w| {
            let l = w.leader().unwrap_or(0);
            w.crash(l, 50_000);
        });
        w.after(15 * SEC, |w| (0..3).for_each(|i| w.crash(i, 80_000)));
        w.run(60);
        for n in 0..6 {
            assert!(w.job_done(&format!("req-{n}")), "seed {seed}: {n}");
        }
    }
}

/// Thousands of questions a minute at every node: polls, repeated submissions of what runs, and submissions that can never
/// run. One look at the records serves many; what is left of the budget is the leader's and the acceptances'.
/// Fails if each kind of question may look when it likes.
#[test]
fn thousands_of_questions_a_minute_share_their_reads() {
    let mut w = settled(4220, 5);
    for n in 0..8 {
        w.user(&format!("req-{n}"), job(JobKind::Array, 1, 1.0), 300 * SEC);
    }
    w.declare("req-99", job(JobKind::Array, 1, 9.0), SEC);
    w.run(10);
    w.costs = Default::default();
    let before = w.said.len();
    for k in 0..20 * 50u64 {
        w.after(k * SEC / 50, move |w| {
            for node in 0..3 {
                let id = format!("req-{}", k % 8);
                w.poll(node, &id);
                w.submit_once(node, &id);
                w.submit_once(node, "req-99");
            }
        });
    }
    for n in 0..10u64 {
        let id = format!("req-{}", 100 + n);
        w.after(n * 2 * SEC, move |w| {
            w.user(&id, job(JobKind::Array, 1, 1.0), SEC)
        });
    }
    w.run(20);
    let (asked, requests) = (9 * 1000, w.costs.requests);
    println!(
        "{requests} requests for {asked} questions, {} answers",
        w.said.len() - before
    );
    assert!(requests < 20 * 90, "{requests}");
    assert!(
        w.said.len() - before > asked * 9 / 10,
        "{}",
        w.said.len() - before
    );
    w.run(8);
    for n in 0..10 {
        assert!(w.job_done(&format!("req-{}", 100 + n)), "{n}\n{}", w.dump());
    }
}
