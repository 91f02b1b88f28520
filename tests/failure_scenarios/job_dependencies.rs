//! Jobs with dependencies.

use crate::simulation::{SECOND, Simulation, job, simulation_with_leader, with_dependencies};
use walnuttrestle::protocol::{JobKind, JobSpec};

/// A pipeline of three steps and a diamond, each job submitted to another controller.
#[test]
fn jobs_wait_for_their_dependencies() {
    for seed in 100..106 {
        let mut sim = simulation_with_leader(seed, 5);
        sim.spawn_client("req-1", job(JobKind::Array, 4, 1.0), 6 * SECOND);
        sim.run_seconds(2);
        sim.spawn_client(
            "req-2",
            with_dependencies(&["req-1"], job(JobKind::Array, 60, 0.1)),
            4 * SECOND,
        );
        sim.spawn_client(
            "req-3",
            with_dependencies(&["req-1"], job(JobKind::Gang, 2, 1.0)),
            4 * SECOND,
        );
        sim.run_seconds(2);
        let last = with_dependencies(
            &["req-2", "req-3", "req-1", "req-2"],
            job(JobKind::Array, 2, 1.0),
        );
        sim.spawn_client("req-4", last, 2 * SECOND);
        sim.run_seconds(3);
        assert_eq!(sim.last_status("req-4"), "pending");
        assert!(!sim.start_counts.keys().any(|t| t.starts_with("req-2")));
        sim.run_seconds(60);
        assert!((1..=4).all(|n| sim.job_done(&format!("req-{n}"))));
        // A job submitted after its dependencies are done starts at once.
        sim.spawn_client(
            "req-5",
            with_dependencies(&["req-4"], job(JobKind::Array, 1, 1.0)),
            2 * SECOND,
        );
        sim.run_seconds(12);
        assert!(sim.job_done("req-5"));
    }
}

#[test]
fn job_with_an_unknown_dependency_is_refused() {
    let mut sim = simulation_with_leader(110, 2);
    sim.spawn_client("req-1", job(JobKind::Service, 1, 1.0), 0);
    sim.run_seconds(4);
    for (id, need) in [("req-2", "req-77"), ("req-3", "req-3"), ("req-4", "req-1")] {
        sim.declare_job(
            id,
            with_dependencies(&[need], job(JobKind::Array, 1, 1.0)),
            SECOND,
        );
        for i in 0..3 {
            sim.submit(i, id);
        }
    }
    sim.run_seconds(2);
    for id in ["req-2", "req-3", "req-4"] {
        let said: Vec<u16> = sim
            .client_answers
            .iter()
            .filter(|answer| answer.job == id)
            .map(|answer| answer.status)
            .collect();
        assert_eq!(said, [422; 3], "{id}");
    }
    // More dependencies than a record can hold are refused, whatever their names.
    let many: Vec<String> = (0..900).map(|n| format!("req-{n:06}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    sim.declare_job(
        "req-6",
        with_dependencies(&many, job(JobKind::Array, 1, 1.0)),
        SECOND,
    );
    sim.submit(0, "req-6");
    sim.run_seconds(1);
    assert!(
        sim.client_answers
            .iter()
            .any(|answer| answer.job == "req-6" && answer.status == 400)
    );
    // With the store out nothing can be looked up: no verdict then.
    sim.store.outage = true;
    sim.run_seconds(4);
    sim.declare_job(
        "req-5",
        with_dependencies(&["req-78"], job(JobKind::Array, 1, 1.0)),
        SECOND,
    );
    let before = sim.now;
    sim.submit(0, "req-5");
    sim.run_seconds(3);
    let answer = sim
        .client_answers
        .iter()
        .find(|answer| answer.job == "req-5")
        .unwrap();
    assert!(answer.status == 503 && answer.at < before + 2 * SECOND);
}

/// A dependency is cancelled before, while and after its dependents are submitted, on any controller, and without a leader.
#[test]
fn cancellation_cascades_to_dependents() {
    for seed in 120..128 {
        let mut sim = simulation_with_leader(seed, 4);
        sim.spawn_client("req-1", job(JobKind::Array, 2, 1.0), 100 * SECOND);
        sim.run_seconds(2);
        sim.spawn_client(
            "req-2",
            with_dependencies(&["req-1"], job(JobKind::Array, 2, 1.0)),
            SECOND,
        );
        sim.run_seconds(2);
        sim.spawn_client(
            "req-3",
            with_dependencies(&["req-2"], job(JobKind::Gang, 2, 1.0)),
            SECOND,
        );
        sim.run_seconds(2);
        if seed % 2 == 0 {
            let leader = sim.leader().unwrap();
            sim.crash_controller(leader, 20 * SECOND);
        }
        sim.cancel_until_answered("req-1");
        sim.spawn_client(
            "req-4",
            with_dependencies(&["req-3"], job(JobKind::Array, 1, 1.0)),
            SECOND,
        );
        sim.run_seconds(10);
        sim.spawn_client(
            "req-5",
            with_dependencies(&["req-4", "req-1"], job(JobKind::Array, 1, 1.0)),
            SECOND,
        );
        sim.run_seconds(40);
        for n in 1..=5 {
            assert_eq!(
                sim.last_status(&format!("req-{n}")),
                "cancelled",
                "seed {seed}: req-{n}"
            );
        }
        // Repeated requests get the same answer, also after a restart of all controllers.
        for i in 0..3 {
            sim.crash_controller(i, 2 * SECOND);
        }
        sim.run_seconds(10);
        for i in 0..3 {
            sim.poll(i, "req-3");
            sim.submit(i, "req-5");
        }
        sim.run_seconds(40);
        assert!(sim.start_counts.keys().all(|t| t.starts_with("req-1/")));
    }
}

/// The cancellation of a job in the middle races with its completion; one of the two stands, for all its dependents.
#[test]
fn cancel_racing_with_done_in_a_pipeline_has_one_outcome() {
    let mut ends = std::collections::BTreeSet::new();
    for seed in 130..150 {
        let mut sim = simulation_with_leader(seed, 3);
        sim.spawn_client("req-1", job(JobKind::Array, 1, 1.0), 3 * SECOND);
        sim.spawn_client("req-2", job(JobKind::Array, 1, 1.0), SECOND);
        sim.run_seconds(4);
        sim.spawn_client(
            "req-3",
            with_dependencies(&["req-1", "req-2"], job(JobKind::Array, 1, 1.0)),
            SECOND,
        );
        sim.run_seconds((seed % 5) / 2);
        sim.after((seed - 130) * 200_000, |sim| {
            sim.cancel_until_answered("req-1")
        });
        sim.run_seconds(40);
        let (first, last) = (sim.last_status("req-1"), sim.last_status("req-3"));
        assert_eq!(first, last, "seed {seed}");
        ends.insert(last);
    }
    assert_eq!(ends.len(), 2, "both ways are played: {ends:?}");
}

/// The leader is killed at every moment around the completion of a job that others depend on, and the store is out around
/// it, too.
#[test]
fn dependents_are_released_despite_takeover_or_outage() {
    for step in 0..16 {
        let mut sim = simulation_with_leader(150 + step, 3);
        sim.spawn_client("req-1", job(JobKind::Array, 2, 1.0), 5 * SECOND);
        sim.run_seconds(2);
        sim.spawn_client(
            "req-2",
            with_dependencies(&["req-1"], job(JobKind::Gang, 2, 1.0)),
            3 * SECOND,
        );
        sim.run_seconds(5);
        sim.after(step * 150_000, move |sim| {
            if step % 2 == 0 {
                let leader = sim.leader().unwrap();
                sim.crash_controller(leader, 3 * SECOND);
            } else {
                sim.store.outage = true;
            }
        });
        sim.run_seconds(10);
        let now = sim.now;
        sim.store.end_outage(now);
        sim.run_seconds(50);
        assert!(
            sim.job_done("req-1") && sim.job_done("req-2"),
            "step {step}"
        );
        assert!(
            sim.start_counts.values().all(|n| *n == 1),
            "step {step}: {:?}",
            sim.start_counts
        );
    }
}

#[test]
fn waiting_job_uses_no_quota_or_guarantee() {
    let mut sim = simulation_with_leader(170, 4);
    let red = |spec| JobSpec {
        team: "red".into(),
        ..spec
    };
    // Team red may use 12 GPUs: waiting jobs must not count.
    sim.spawn_client("req-1", red(job(JobKind::Array, 4, 1.0)), 30 * SECOND);
    sim.run_seconds(2);
    sim.spawn_client(
        "req-2",
        with_dependencies(&["req-1"], red(job(JobKind::Array, 12, 1.0))),
        SECOND,
    );
    sim.spawn_client("req-3", red(job(JobKind::Array, 8, 1.0)), 4 * SECOND);
    sim.run_seconds(16);
    assert!(sim.job_done("req-3"));
    assert_eq!(sim.last_status("req-2"), "pending");
    sim.run_seconds(60);
    assert!(sim.job_done("req-2"));

    // Team green has 8 GPUs guaranteed and blue uses all of them: waiting jobs of green must not block runnable ones.
    let mut sim = simulation_with_leader(171, 2);
    sim.no_capacity = true;
    let green = |spec| JobSpec {
        team: "green".into(),
        ..spec
    };
    sim.spawn_client("req-1", green(job(JobKind::Array, 4, 1.0)), 300 * SECOND);
    sim.run_seconds(6);
    sim.spawn_client("req-2", job(JobKind::Array, 12, 1.0), 300 * SECOND);
    sim.run_seconds(6);
    assert_eq!(sim.start_counts.len(), 16, "there is no room left");
    sim.spawn_client(
        "req-3",
        with_dependencies(&["req-1"], green(job(JobKind::Array, 4, 1.0))),
        SECOND,
    );
    sim.run_seconds(2);
    sim.spawn_client("req-4", green(job(JobKind::Array, 4, 1.0)), 10 * SECOND);
    sim.run_seconds(40);
    assert!(sim.job_done("req-4"));
}

/// A new controller that the store refuses must not forward a pipeline to one of the old version, which would accept the job
/// without its dependencies.
#[test]
fn pipeline_is_not_forwarded_to_the_first_version() {
    let mut sim = Simulation::with_first_version(177, 3, None);
    sim.run_seconds(8);
    sim.crash_controller(1, 2 * SECOND);
    sim.set_first_version(1, false);
    sim.spawn_client("req-1", job(JobKind::Array, 1, 1.0), 100 * SECOND);
    sim.run_seconds(8);
    sim.store.refused_controllers.push(1);
    sim.run_seconds(12);
    sim.declare_job(
        "req-2",
        with_dependencies(&["req-1"], job(JobKind::Array, 1, 1.0)),
        SECOND,
    );
    sim.submit(1, "req-2");
    sim.declare_job("req-3", job(JobKind::Array, 1, 1.0), SECOND);
    sim.submit(1, "req-3");
    sim.run_seconds(10);
    let answer = |id: &str| {
        sim.client_answers
            .iter()
            .find(|answer| answer.job == id)
            .map(|answer| answer.status)
    };
    assert_eq!((answer("req-2"), answer("req-3")), (Some(503), Some(201)));
}

/// A low-priority job that a high-priority job depends on is not preempted for jobs below the latter, and preempts others.
#[test]
fn dependency_inherits_the_priority_of_its_dependent() {
    use walnuttrestle::protocol::Priority;
    let run = |needed: bool| {
        let mut sim = simulation_with_leader(175, 2);
        sim.no_capacity = true;
        let with = |priority, spec| JobSpec { priority, ..spec };
        let filler = JobSpec {
            checkpoint_s: 1.0,
            save_s: 1.0,
            ..job(JobKind::Array, 16, 1.0)
        };
        sim.spawn_client("req-1", with(Priority::Normal, filler), 200 * SECOND);
        sim.run_seconds(8);
        sim.spawn_client(
            "req-2",
            with(Priority::Low, job(JobKind::Gang, 2, 1.0)),
            4 * SECOND,
        );
        sim.run_seconds(2);
        if needed {
            let last = with(Priority::High, job(JobKind::Array, 1, 1.0));
            sim.spawn_client("req-3", with_dependencies(&["req-2"], last), 2 * SECOND);
        }
        sim.run_seconds(40);
        sim.job_done("req-2")
    };
    assert!(run(true) && !run(false));
}
