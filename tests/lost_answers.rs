//! Transactions whose answers are lost: each writer must find out whether its write was carried out, may still be carried
//! out, or never will be (docs/safety.md, lines 37, 77 and 78).

mod simulation;

use simulation::fault_injection::DelayedKey;
use simulation::{SECOND, Simulation, job, simulation_with_leader};
use walnuttrestle::protocol::{JobKind, JobSpec};

/// Loses the answers to all transactions for some seconds; the store carries them out at once.
fn lose_write_answers(sim: &mut Simulation, seconds: u64) {
    sim.faults.lost_write_answer_probability = 1.0;
    sim.after(seconds * SECOND, |sim| {
        sim.faults.lost_write_answer_probability = 0.0;
    });
}

/// Guards against a write of chunks only, whose answer was lost, being sent again for ever: the array then stops for good
/// (review/1).
#[test]
fn long_array_goes_on_after_lost_answers_about_its_chunks() {
    for seed in 0..6 {
        let mut sim = simulation_with_leader(7700 + seed, 4);
        sim.no_capacity = true;
        sim.spawn_client("req-1", job(JobKind::Array, 300, 1.0), 2 * SECOND);
        sim.run_seconds(14 + seed);
        lose_write_answers(&mut sim, 3);
        sim.run_seconds(3);
        sim.declare_faults_over();
        sim.spawn_client("req-2", job(JobKind::Array, 1, 1.0), 2 * SECOND);
        sim.run_seconds(100);
        for id in ["req-1", "req-2"] {
            assert!(
                sim.job_done(id),
                "seed {seed}: {id} is not done\n{}",
                sim.dump()
            );
        }
    }
}

/// Guards against a write being given up because its second sending was refused, while the first one had no answer: the
/// first is carried out late, when another job has taken the limit of the team.
#[test]
fn late_write_whose_repetition_was_refused_keeps_the_quota() {
    let red = |kind| JobSpec {
        team: "red".into(),
        ..job(kind, 12, 1.0)
    };
    for seed in 0..12 {
        let mut sim = simulation_with_leader(7720 + seed, 2);
        sim.no_capacity = true;
        let leader = sim.leader().expect("a leader");
        // The gang is first in the queue, but no zone has room for it yet.
        sim.declare_job("req-1", red(JobKind::Gang), 40 * SECOND);
        sim.submit(leader, "req-1");
        sim.run_seconds(1);
        sim.faults.delayed_key = Some(DelayedKey {
            prefix: "wt/j/req-2",
            skipped: 1,
            remaining: 1,
            delay: (5 + seed % 3) * SECOND,
        });
        sim.declare_job("req-2", red(JobKind::Array), 40 * SECOND);
        sim.submit(leader, "req-2");
        sim.run_micros(SECOND / 2);
        sim.add_machine("a", false);
        sim.add_machine("b", false);
        sim.run_micros(SECOND / 2);
        sim.store.refused_controllers.push(leader);
        sim.run_micros((1_500 + 100 * seed) * SECOND / 1_000);
        sim.store.refused_controllers.clear();
        sim.run_seconds(150);
        for id in ["req-1", "req-2"] {
            sim.poll(leader, id);
        }
        sim.run_seconds(1);
        for id in ["req-1", "req-2"] {
            assert!(
                sim.job_done(id),
                "seed {seed}: {id} is not done\n{}",
                sim.dump()
            );
        }
    }
}
