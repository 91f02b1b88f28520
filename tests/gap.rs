//! The gap: the state service refuses the leader alone, another controller confirms cancellations, then the state
//! service is down for all, for longer than a cancellation has, while agents report to the old leader.

mod world;

use rand::RngExt;
use walnuttrestle::protocol::{JobKind, JobSpec, Priority};
use world::trouble::Mute;
use world::{CANCEL_S, Cut, Party, SEC, World, job, settled};

/// How long the leader is refused before the state service is down for all.
const ALONE: u64 = 2 * SEC;
/// How long it is down then.
const DOWN_S: u64 = CANCEL_S + 12;

/// The leader, who confirms, and the third.
fn parties(w: &World) -> (usize, usize, usize) {
    let l = w.leader().expect("a leader");
    (l, (l + 1) % 3, (l + 2) % 3)
}

/// A world with replicas that should live on, and arrays that are to be cancelled.
fn busy(seed: u64) -> World {
    let mut w = settled(seed, 5);
    w.user("req-1", job(JobKind::Service, 5, 1.0), 0);
    for n in 2..5 {
        w.user(&format!("req-{n}"), job(JobKind::Array, 4, 1.0), 300 * SEC);
    }
    w.run(12);
    assert_eq!(w.starts.len(), 17, "seed {seed}: {}", w.dump());
    w
}

/// The leader alone is refused; what `tell` does then happens half-way to the outage, and a moment before it.
fn gap(w: &mut World, tell: impl Fn(&mut World, &str)) {
    let (l, ..) = parties(w);
    w.store.refuses.push(l);
    w.step_for(ALONE / 2);
    tell(w, "req-2");
    w.step_for(ALONE / 2 - SEC / 10);
    tell(w, "req-3");
    w.step_for(SEC / 10);
    w.store.outage = true;
}

fn end(w: &mut World) {
    let now = w.now;
    w.store.refuses.clear();
    w.store.end_outage(now);
    w.run(40);
}

/// Nothing of what was cancelled is there; the outage passes, and all else is kept.
fn gone_and_kept(w: &mut World, seed: u64) {
    let there = w.there("req-2") + w.there("req-3");
    assert_eq!(there, 0, "seed {seed}: {}", w.dump());
    w.run(DOWN_S);
    end(w);
    kept(w, seed);
}

fn kept(w: &World, seed: u64) {
    for t in 0..5 {
        assert_eq!(
            w.starts[&format!("req-1/{t}")],
            1,
            "seed {seed}: {}",
            w.dump()
        );
    }
}

/// Fails if the leader learns of cancellations from the records alone: then it stops renewing all agents 18 s after
/// its last read, and every task dies with its lease. Fails as well if it goes on without knowing them.
#[test]
fn what_another_controller_confirms_is_stopped_at_once_and_all_else_lives_on() {
    for seed in 0..12 {
        let mut w = busy(2000 + seed);
        let (_, f, _) = parties(&w);
        gap(&mut w, |w, id| w.cancel(f, id));
        for id in ["req-2", "req-3"] {
            assert_eq!(w.told(id), "cancelled", "seed {seed}");
        }
        // A heartbeat later, and what messages take.
        w.step_for(900_000);
        assert_eq!(
            w.there("req-2") + w.there("req-3"),
            0,
            "seed {seed}: {}",
            w.dump()
        );
        w.run(DOWN_S);
        assert_eq!(w.there("req-4"), 4, "seed {seed}: {}", w.dump());
        end(&mut w);
        kept(&w, seed);
        w.user("req-9", job(JobKind::Array, 2, 1.0), 2 * SEC);
        w.run(20);
        assert!(w.job_done("req-9"), "seed {seed}: {}", w.dump());
    }
}

/// The users of the old leader: it hands their requests on to whoever is served.
#[test]
fn what_the_old_leader_hands_on_is_stopped_as_well() {
    for seed in 0..8 {
        let mut w = busy(2020 + seed);
        let (l, ..) = parties(&w);
        w.store.refuses.push(l);
        // It has to notice first.
        w.run(3);
        w.cancel(l, "req-2");
        w.step_for(SEC / 5);
        w.store.outage = true;
        assert_eq!(w.told("req-2"), "cancelled", "seed {seed}");
        w.run(3);
        assert_eq!(w.there("req-2"), 0, "seed {seed}: {}", w.dump());
        w.run(DOWN_S);
        end(&mut w);
        kept(&w, seed);
    }
}

/// Each of the others confirms one.
#[test]
fn the_third_controller_may_confirm_as_well() {
    for seed in 0..8 {
        let mut w = busy(2040 + seed);
        let (_, f, t) = parties(&w);
        gap(&mut w, |w, id| {
            w.cancel(if id == "req-2" { f } else { t }, id)
        });
        w.run(3);
        gone_and_kept(&mut w, seed);
    }
}

/// Whoever has confirmed ends at once, or a while later; it stays away, or is back in a moment and knows nothing. Then
/// nobody can tell what it has told its users, and no agent may be renewed for long.
#[test]
fn whoever_has_confirmed_crashes() {
    for seed in 0..8 {
        for (after, back) in [(1_000, 200 * SEC), (1_000, 50_000), (2 * SEC, 50_000)] {
            let mut w = busy(2060 + seed);
            let (_, f, _) = parties(&w);
            gap(&mut w, |w, id| w.cancel(f, id));
            w.step_for(after);
            w.crash(f, back);
            w.run(DOWN_S);
            end(&mut w);
            w.run(40);
            for id in ["req-2", "req-3"] {
                assert_eq!(w.there(id), 0, "seed {seed} {after} {back}");
            }
            assert_eq!(w.there("req-1"), 5, "seed {seed}: {}", w.dump());
        }
    }
}

/// The two cannot talk to one another, in both directions or in one; the third passes on what both know.
#[test]
fn the_third_controller_passes_on_what_two_cannot_tell_each_other() {
    for seed in 0..8 {
        for how in 0..3 {
            let mut w = busy(2080 + seed);
            let (l, f, _) = parties(&w);
            let (from, to, until) = (Party::Controller(l), Party::Controller(f), w.now + 90 * SEC);
            match how {
                0 => w.cut(from, to, Cut::Drop, 90 * SEC),
                1 => w.troubles.cut_one_way(from, to, until),
                _ => w.troubles.cut_one_way(to, from, until),
            }
            w.run(4);
            assert_eq!(w.leader(), Some(l), "seed {seed} {how}");
            gap(&mut w, |w, id| w.cancel(f, id));
            w.run(4);
            gone_and_kept(&mut w, seed);
        }
    }
}

/// The leader hears neither of the others: it cannot know what they have told, and lets its agents go in time.
#[test]
fn a_leader_that_hears_nobody_lets_its_workers_go_in_time() {
    for seed in 0..8 {
        let mut w = busy(2100 + seed);
        let (l, f, t) = parties(&w);
        for other in [f, t] {
            w.cut(
                Party::Controller(l),
                Party::Controller(other),
                Cut::Hold,
                DOWN_S * SEC,
            );
        }
        gap(&mut w, |w, id| w.cancel(f, id));
        w.run(DOWN_S);
        assert_eq!(w.there("req-2") + w.there("req-3"), 0, "seed {seed}");
        end(&mut w);
        w.run(20);
        assert_eq!(w.there("req-1"), 5, "seed {seed}: {}", w.dump());
    }
}

/// The state service carries a cancellation out and the answer is lost, or comes seconds late: nobody is told, or
/// in time.
#[test]
fn the_answer_to_a_cancellation_is_lost_or_late() {
    for seed in 0..8 {
        for late in [false, true] {
            let mut w = busy(2120 + seed);
            let (_, f, _) = parties(&w);
            if late {
                w.slow_store = 1_200_000;
            } else {
                let until = w.now + ALONE + SEC / 2;
                w.lose_answers.push((Party::StoreClient, until));
            }
            gap(&mut w, |w, id| w.cancel(f, id));
            w.run(DOWN_S);
            w.slow_store = 0;
            end(&mut w);
            for id in ["req-2", "req-3"] {
                w.cancel_surely(id);
            }
            w.run(40);
            for id in ["req-2", "req-3"] {
                assert_eq!(
                    (w.told(id).as_str(), w.there(id)),
                    ("cancelled", 0),
                    "seed {seed}"
                );
            }
        }
    }
}

/// Starts that the leader has sent, without an answer yet, when its machines stand still: they go on within their
/// leases, or later.
#[test]
fn a_start_is_held_up_by_a_machine_that_goes_on_later() {
    for seed in 0..8 {
        for hang in [6 * SEC, 9 * SEC, 20 * SEC] {
            let mut w = busy(2140 + seed);
            let (_, f, _) = parties(&w);
            w.user("req-5", job(JobKind::Array, 12, 1.0), 300 * SEC);
            w.delay_orders = Some(300_000);
            w.step_for(900_000);
            let until = w.now + hang;
            for m in w.names() {
                w.agents.get_mut(&m).unwrap().hung_until = until;
            }
            w.delay_orders = None;
            gap(&mut w, |w, id| {
                w.cancel(f, id);
                w.cancel(f, "req-5");
            });
            w.run(DOWN_S);
            assert_eq!(w.there("req-5"), 0, "seed {seed} {hang}");
            end(&mut w);
        }
    }
}

/// A start gets no answer, and comes after all else, long after its job was cancelled. With the state service out, no
/// higher term can fence it. Fails (ran_cancelled) if the agent is renewed all the same.
#[test]
fn a_start_that_got_no_answer_comes_when_its_job_is_long_cancelled() {
    for seed in 0..8 {
        let mut w = busy(2160 + seed);
        let (_, f, _) = parties(&w);
        let long = (ALONE / SEC + CANCEL_S + 8) * SEC;
        w.delay_orders = Some(long);
        w.user("req-5", job(JobKind::Array, 12, 1.0), 300 * SEC);
        w.run(4);
        gap(&mut w, |w, id| {
            w.cancel(f, id);
            w.cancel(f, "req-5");
        });
        assert_eq!(w.told("req-5"), "cancelled", "seed {seed}");
        w.run(DOWN_S + 10);
        w.delay_orders = None;
        end(&mut w);
        w.run(30);
    }
}

/// Starts of a job that is placed and recorded, and not yet carried out, when the leader hears that it is cancelled.
/// Fails if it still sends them.
#[test]
fn what_was_heard_to_be_cancelled_is_not_started_any_more() {
    for seed in 0..12 {
        let mut w = busy(2380 + seed);
        let (_, f, _) = parties(&w);
        let until = w.now + 1_900_000;
        for m in w.names() {
            w.troubles.deafen_to(&m, None, &[Mute::Commands], until);
        }
        w.user("req-2000", job(JobKind::Array, 8, 1.0), 300 * SEC);
        w.run(1);
        let l = w.leader().expect("a leader");
        w.store.refuses.push(l);
        w.cancel(f, "req-2000");
        w.step_for(900_000);
        assert_eq!(w.told("req-2000"), "cancelled", "seed {seed}");
        let before = w.began.len();
        w.run(5);
        let late: Vec<_> = w.began[before..]
            .iter()
            .filter(|b| b.task.starts_with("req-2000/"))
            .collect();
        assert!(late.is_empty(), "seed {seed}: {late:?}");
    }
}

/// One gap after the other, with a leader of whatever name.
#[test]
fn two_gaps_in_a_row() {
    for seed in 0..6 {
        let mut w = busy(2180 + seed);
        for (round, ids) in [["req-2", "req-3"], ["req-4", "req-6"]].iter().enumerate() {
            let (l, f, t) = parties(&w);
            w.store.refuses.push(l);
            w.step_for(ALONE / 2);
            w.cancel(f, ids[0]);
            w.cancel(t, ids[1]);
            w.step_for(ALONE / 2);
            w.store.outage = true;
            w.run(DOWN_S);
            for id in ids {
                assert_eq!(w.there(id), 0, "seed {seed} {round}");
            }
            end(&mut w);
            kept(&w, seed);
            if round == 0 {
                w.user("req-6", job(JobKind::Array, 4, 1.0), 300 * SEC);
                w.run(10);
            }
        }
    }
}

/// Who does not know the new format is told nothing and vouches as before: no rule breaks, and the agents go
/// in time.
#[test]
fn controllers_of_the_first_version_beside_ours() {
    for seed in 0..4 {
        for old in 0..3 {
            let mut w = settled(2200 + seed, 5);
            let (l, f, t) = parties(&w);
            let place = [l, f, t][old];
            w.set_old(place, true);
            w.crash(place, 50_000);
            w.run(10);
            w.user("req-1", job(JobKind::Service, 5, 1.0), 0);
            w.user("req-2", job(JobKind::Array, 4, 1.0), 300 * SEC);
            w.user("req-3", job(JobKind::Array, 4, 1.0), 300 * SEC);
            w.run(12);
            let (l, f, _) = parties(&w);
            let who = if l == place { f } else { place };
            gap(&mut w, |w, id| w.cancel(who, id));
            w.run(DOWN_S);
            assert_eq!(w.there("req-2") + w.there("req-3"), 0, "seed {seed}");
            end(&mut w);
            w.run(20);
            assert_eq!(w.there("req-1"), 5, "seed {seed}: {}", w.dump());
        }
    }
}

/// Agents that come to the others meanwhile: they renew by right, and stop what is cancelled as well, also the third
/// that has only heard of it.
#[test]
fn workers_that_move_between_the_controllers_meanwhile() {
    for seed in 0..12 {
        let mut w = busy(2220 + seed);
        let (l, f, t) = parties(&w);
        let hearsay = seed % 2 == 1;
        if hearsay {
            w.store.refuses.push(t);
            // The leader does not hear of it, and cannot stop anything itself.
            w.cut(
                Party::Controller(l),
                Party::Controller(f),
                Cut::Drop,
                12 * SEC,
            );
        }
        gap(&mut w, |w, id| w.cancel(f, id));
        for (n, m) in w.names().into_iter().enumerate() {
            let at = w.rng.random_range(0..12 * SEC);
            let dt = w.rng.random_range(5 * SEC..15 * SEC);
            let agent = Party::Agent(m);
            if hearsay {
                // Its way to whoever is left, from the beginning.
                w.cut(Party::Controller(l), agent.clone(), Cut::Drop, DOWN_S * SEC);
                w.cut(Party::Controller(f), agent, Cut::Drop, DOWN_S * SEC);
            } else if n % 2 == 0 {
                w.after(at, move |w| {
                    w.cut(Party::Controller(l), agent, Cut::Drop, dt)
                });
            }
        }
        w.run(DOWN_S);
        assert_eq!(w.there("req-2") + w.there("req-3"), 0, "seed {seed}");
        end(&mut w);
        if !hearsay {
            kept(&w, seed);
        }
    }
}

/// Tasks that were told to stop, and save, when their job is cancelled.
#[test]
fn a_task_that_is_saving_when_it_is_cancelled() {
    for seed in 0..8 {
        let mut w = settled(2240 + seed, 3);
        w.no_capacity = true;
        let spec = JobSpec {
            checkpoint_s: 5.0,
            save_s: 25.0,
            priority: Priority::Low,
            ..job(JobKind::Array, 12, 2.0)
        };
        w.user("req-2", spec.clone(), 300 * SEC);
        w.user("req-3", spec, 300 * SEC);
        w.run(8);
        let high = JobSpec {
            priority: Priority::High,
            ..job(JobKind::Gang, 1, 8.0)
        };
        w.user("req-7", high, 200 * SEC);
        w.run(3);
        let (_, f, _) = parties(&w);
        gap(&mut w, |w, id| w.cancel(f, id));
        w.run(DOWN_S);
        assert_eq!(w.there("req-2") + w.there("req-3"), 0, "seed {seed}");
        end(&mut w);
    }
}

/// Machines that stand still, or hear nothing, while it happens.
#[test]
fn machines_that_cannot_be_told_to_stop() {
    for seed in 0..8 {
        for (deaf, dt) in [(true, 40 * SEC), (false, 8 * SEC), (false, 15 * SEC)] {
            let mut w = busy(2260 + seed);
            let (_, f, _) = parties(&w);
            gap(&mut w, |w, id| w.cancel(f, id));
            let until = w.now + dt;
            for m in w.names().into_iter().take(3) {
                if deaf {
                    w.troubles.deafen(&m, until);
                } else {
                    w.agents.get_mut(&m).unwrap().hung_until = until;
                }
            }
            w.run(DOWN_S);
            assert_eq!(w.there("req-2") + w.there("req-3"), 0, "seed {seed}");
            end(&mut w);
        }
    }
}

/// Whoever has confirmed starts again at once, while the state service still serves it: it reads the records and
/// vouches, with a log that begins anew. Fails if its log is taken for the one of its earlier run.
#[test]
fn whoever_has_confirmed_starts_again_and_has_read_the_records() {
    for seed in 0..12 {
        let mut w = busy(2280 + seed);
        let (l, f, t) = parties(&w);
        // Only what F itself tells reaches the leader.
        w.cut(
            Party::Controller(l),
            Party::Controller(t),
            Cut::Drop,
            3 * SEC,
        );
        for n in 10..13 {
            w.user(&format!("req-{n}"), job(JobKind::Array, 1, 1.0), 300 * SEC);
        }
        w.run(4);
        for n in 10..13 {
            w.cancel(f, &format!("req-{n}"));
        }
        w.run(3);
        w.store.refuses.push(l);
        w.cut(
            Party::Controller(l),
            Party::Controller(f),
            Cut::Drop,
            2 * SEC,
        );
        w.cut(
            Party::Controller(l),
            Party::Controller(t),
            Cut::Drop,
            2 * SEC,
        );
        w.step_for(SEC / 5);
        w.cancel(f, "req-2");
        w.step_for(SEC / 20);
        w.crash(f, 50_000);
        w.step_for(SEC);
        assert_eq!(w.told("req-2"), "cancelled", "seed {seed}");
        w.store.outage = true;
        // The third would tell it as well.
        w.cut(
            Party::Controller(l),
            Party::Controller(t),
            Cut::Drop,
            200 * SEC,
        );
        w.run(6);
        assert_eq!(w.there("req-2"), 0, "seed {seed}: {}", w.dump());
        w.run(DOWN_S);
        end(&mut w);
        kept(&w, seed);
    }
}

/// The leader and the third are both refused, and the leader cannot talk to whoever confirms: it hears of it from the
/// third, who knows it from hearsay as well.
#[test]
fn what_was_heard_is_passed_on() {
    for seed in 0..8 {
        let mut w = busy(2300 + seed);
        let (l, f, t) = parties(&w);
        w.cut(
            Party::Controller(l),
            Party::Controller(f),
            Cut::Drop,
            90 * SEC,
        );
        w.run(3);
        assert_eq!(w.leader(), Some(l), "seed {seed}");
        w.store.refuses.push(t);
        gap(&mut w, |w, id| w.cancel(f, id));
        w.run(5);
        gone_and_kept(&mut w, seed);
    }
}

/// The leader is refused for so long that another leads. It hears the third alone, who is refused as well and hears
/// the new leader. Fails (ran_twice) if knowing of all cancellations is enough to vouch.
#[test]
fn a_leader_that_was_replaced_unseen_lets_its_workers_go() {
    let mut replaced = 0;
    for seed in 0..4 {
        let mut w = busy(2320 + seed);
        let (l, f, t) = parties(&w);
        w.cut(
            Party::Controller(l),
            Party::Controller(f),
            Cut::Drop,
            120 * SEC,
        );
        for m in w.names() {
            w.cut(
                Party::Controller(f),
                Party::Agent(m.clone()),
                Cut::Drop,
                120 * SEC,
            );
            w.cut(Party::Controller(t), Party::Agent(m), Cut::Drop, 120 * SEC);
        }
        // New machines come to the new leader alone: their reports would show the old one its term.
        for m in 6..16 {
            let m = Party::Agent(format!("n-{m:06}"));
            w.cut(Party::Controller(l), m, Cut::Drop, 120 * SEC);
        }
        w.store.refuses.extend([l, t]);
        w.run(12);
        replaced += usize::from(w.leader() == Some(f));
        for zone in ["a", "b", "a", "b"] {
            w.machine(zone, false);
        }
        w.run(90);
        w.store.refuses.clear();
        w.run(60);
        assert_eq!(w.there("req-1"), 5, "seed {seed}: {}", w.dump());
    }
    assert_eq!(replaced, 4);
}

/// Direct commands to the machines are lost, answers to their reports are not. Fails if an answer leaves a stop out
/// because it was sent a moment ago.
#[test]
fn every_answer_stops_what_is_cancelled() {
    for seed in 0..16 {
        let mut w = busy(2340 + seed);
        let (_, f, _) = parties(&w);
        let until = w.now + 120 * SEC;
        for m in w.names() {
            w.troubles.deafen_to(&m, None, &[Mute::Commands], until);
        }
        gap(&mut w, |w, id| w.cancel(f, id));
        // A heartbeat, a report, and what they take on their way.
        w.step_for(2_900_000);
        assert_eq!(
            w.there("req-2") + w.there("req-3"),
            0,
            "seed {seed}: {}",
            w.dump()
        );
    }
}

/// A controller whose watch lags far behind takes the lead over, and the state service is out before it has read
/// anything: that its claim was carried out does not show it what was cancelled before. Fails (ran_cancelled) if
/// agents are renewed as if it did.
#[test]
fn a_claim_is_no_proof_of_what_was_cancelled_before_it() {
    let mut led = 0;
    for seed in 0..12 {
        let mut w = busy(2360 + seed);
        let (x, c, f) = parties(&w);
        for other in [x, c] {
            w.cut(
                Party::Controller(other),
                Party::Controller(f),
                Cut::Drop,
                100 * SEC,
            );
        }
        w.run(3);
        w.lag_watch.insert(c, 60 * SEC);
        w.troubles.slow_reads = Some((c, 60 * SEC));
        w.run(1);
        w.store.refuses.push(x);
        w.step_for(SEC / 10);
        w.cancel(f, "req-2");
        w.step_for(SEC / 5);
        assert_eq!(w.told("req-2"), "cancelled", "seed {seed}");
        // After the first outage the old leader's key lives on for a while, so the record that the claim is
        // conditional on has not changed.
        w.store.outage = true;
        w.run(7);
        w.crash(x, 50_000);
        w.step_for(1_300_000);
        let now = w.now;
        w.store.end_outage(now);
        w.store.refuses = vec![f, x];
        w.step_for(1_200_000);
        led += usize::from(w.leader() == Some(c));
        w.store.outage = true;
        w.run(DOWN_S);
        end(&mut w);
    }
    assert!(led > 8, "{led}");
}
