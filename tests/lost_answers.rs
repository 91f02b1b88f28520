//! Transactions whose answers are lost: each writer must find out whether its write was carried out, may still be carried
//! out, or never will be (docs/safety.md, line 37).

mod simulation;

use simulation::{SECOND, Simulation, job, simulation_with_leader};
use walnuttrestle::protocol::JobKind;

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
