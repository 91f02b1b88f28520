//! Jobs with dependencies.

use crate::simulation::{SECOND, Simulation, job, simulation_with_leader, with_dependencies};
use walnuttrestle::protocol::{JobKind, JobSpec};

/// A pipeline of three steps whose middle step consists of two jobs (a diamond), each job submitted to another controller.
/// No job may start before its dependencies are done.
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
        assert!(
            !sim.start_counts
                .keys()
                .any(|task| task.starts_with("req-2")),
            "seed {seed}: {:?}",
            sim.start_counts
        );
        sim.run_seconds(60);
        assert!(
            (1..=4).all(|n| sim.job_done(&format!("req-{n}"))),
            "seed {seed}: {}",
            sim.dump()
        );
        // A job submitted after its dependencies are done starts at once.
        sim.spawn_client(
            "req-5",
            with_dependencies(&["req-4"], job(JobKind::Array, 1, 1.0)),
            2 * SECOND,
        );
        sim.run_seconds(12);
        assert!(sim.job_done("req-5"), "seed {seed}: {}", sim.dump());
    }
}

#[test]
fn job_with_an_unknown_dependency_is_refused() {
    let mut sim = simulation_with_leader(110, 2);
    sim.spawn_client("req-1", job(JobKind::Service, 1, 1.0), 0);
    sim.run_seconds(4);
    for (id, dependency) in [("req-2", "req-77"), ("req-3", "req-3"), ("req-4", "req-1")] {
        sim.declare_job(
            id,
            with_dependencies(&[dependency], job(JobKind::Array, 1, 1.0)),
            SECOND,
        );
        for i in 0..3 {
            sim.submit(i, id);
        }
    }
    sim.run_seconds(2);
    for id in ["req-2", "req-3", "req-4"] {
        let statuses: Vec<u16> = sim
            .client_answers
            .iter()
            .filter(|answer| answer.job == id)
            .map(|answer| answer.status)
            .collect();
        assert_eq!(statuses, [422; 3], "{id}");
    }
    // More dependencies than a record can hold are refused, whatever their names.
    let dependencies: Vec<String> = (0..900).map(|n| format!("req-{n:06}")).collect();
    let dependencies: Vec<&str> = dependencies.iter().map(String::as_str).collect();
    sim.declare_job(
        "req-6",
        with_dependencies(&dependencies, job(JobKind::Array, 1, 1.0)),
        SECOND,
    );
    sim.submit(0, "req-6");
    sim.run_seconds(1);
    assert!(
        sim.client_answers
            .iter()
            .any(|answer| answer.job == "req-6" && answer.status == 400)
    );
    // During a store outage the dependency cannot be looked up, so the job is neither accepted nor refused for it.
    sim.store.outage = true;
    sim.run_seconds(4);
    sim.declare_job(
        "req-5",
        with_dependencies(&["req-78"], job(JobKind::Array, 1, 1.0)),
        SECOND,
    );
    let submitted_at = sim.now;
    sim.submit(0, "req-5");
    sim.run_seconds(3);
    let answer = sim
        .client_answers
        .iter()
        .find(|answer| answer.job == "req-5")
        .unwrap();
    assert!(
        answer.status == 503 && answer.at < submitted_at + 2 * SECOND,
        "status {} after {} us, expected 503 within 2 s",
        answer.status,
        answer.at - submitted_at
    );
}

/// A dependency is cancelled before, while and after its dependents are submitted, on any controller and, with even
/// seeds, just after the leader has crashed. All dependents have to be cancelled.
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

/// The cancellation of a job races with its completion; the job and its dependent have to end in the same state.
#[test]
fn cancel_racing_with_done_in_a_pipeline_has_one_outcome() {
    let mut outcomes = std::collections::BTreeSet::new();
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
        let (dependency, dependent) = (sim.last_status("req-1"), sim.last_status("req-3"));
        assert_eq!(dependency, dependent, "seed {seed}");
        outcomes.insert(dependent);
    }
    assert_eq!(
        outcomes.len(),
        2,
        "not both outcomes occurred: {outcomes:?}"
    );
}

/// The leader crashes, or a store outage begins, at different moments around the completion of a job that another one
/// depends on. The dependent has to start, and no task may start twice.
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
    let red_team = |spec| JobSpec {
        team: "red".into(),
        ..spec
    };
    // Team red has a quota of 12 GPUs: jobs that wait for dependencies must not count against it.
    sim.spawn_client("req-1", red_team(job(JobKind::Array, 4, 1.0)), 30 * SECOND);
    sim.run_seconds(2);
    sim.spawn_client(
        "req-2",
        with_dependencies(&["req-1"], red_team(job(JobKind::Array, 12, 1.0))),
        SECOND,
    );
    sim.spawn_client("req-3", red_team(job(JobKind::Array, 8, 1.0)), 4 * SECOND);
    sim.run_seconds(16);
    assert!(sim.job_done("req-3"), "{}", sim.dump());
    assert_eq!(sim.last_status("req-2"), "pending");
    sim.run_seconds(60);
    assert!(sim.job_done("req-2"), "{}", sim.dump());

    // Team green has a guarantee of 8 GPUs, of which blue uses 4: jobs of green that wait for dependencies must not reserve
    // them and so block its runnable jobs.
    let mut sim = simulation_with_leader(171, 2);
    sim.no_capacity = true;
    let green_team = |spec| JobSpec {
        team: "green".into(),
        ..spec
    };
    sim.spawn_client(
        "req-1",
        green_team(job(JobKind::Array, 4, 1.0)),
        300 * SECOND,
    );
    sim.run_seconds(6);
    sim.spawn_client("req-2", job(JobKind::Array, 12, 1.0), 300 * SECOND);
    sim.run_seconds(6);
    assert_eq!(
        sim.start_counts.len(),
        16,
        "expected one task on each of the 16 GPUs: {:?}",
        sim.start_counts
    );
    sim.spawn_client(
        "req-3",
        with_dependencies(&["req-1"], green_team(job(JobKind::Array, 4, 1.0))),
        SECOND,
    );
    sim.run_seconds(2);
    sim.spawn_client(
        "req-4",
        green_team(job(JobKind::Array, 4, 1.0)),
        10 * SECOND,
    );
    sim.run_seconds(40);
    assert!(sim.job_done("req-4"), "{}", sim.dump());
}

/// A controller of the new version that the store refuses forwards requests to its peers. It must not forward a job with
/// dependencies to a peer of the first version, which would accept the job without them.
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
    let first_status = |id: &str| {
        sim.client_answers
            .iter()
            .find(|answer| answer.job == id)
            .map(|answer| answer.status)
    };
    assert_eq!(
        (first_status("req-2"), first_status("req-3")),
        (Some(503), Some(201))
    );
}

/// A low-priority job that a high-priority job depends on is scheduled at high priority: it preempts jobs of normal
/// priority and is not preempted by them. Without the dependent it has to wait.
#[test]
fn dependency_inherits_the_priority_of_its_dependent() {
    use walnuttrestle::protocol::Priority;
    let job_done_in_time = |has_dependent: bool| {
        let mut sim = simulation_with_leader(175, 2);
        sim.no_capacity = true;
        let with_priority = |priority, spec| JobSpec { priority, ..spec };
        let filler = JobSpec {
            checkpoint_s: 1.0,
            save_s: 1.0,
            ..job(JobKind::Array, 16, 1.0)
        };
        sim.spawn_client(
            "req-1",
            with_priority(Priority::Normal, filler),
            200 * SECOND,
        );
        sim.run_seconds(8);
        sim.spawn_client(
            "req-2",
            with_priority(Priority::Low, job(JobKind::Gang, 2, 1.0)),
            4 * SECOND,
        );
        sim.run_seconds(2);
        if has_dependent {
            let dependent = with_priority(Priority::High, job(JobKind::Array, 1, 1.0));
            sim.spawn_client(
                "req-3",
                with_dependencies(&["req-2"], dependent),
                2 * SECOND,
            );
        }
        sim.run_seconds(40);
        sim.job_done("req-2")
    };
    assert!(job_done_in_time(true) && !job_done_in_time(false));
}
