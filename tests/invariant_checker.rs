//! Tests of the simulation's invariant checker: it reports each injected violation, and no correct behavior.

mod simulation;

use simulation::{
    CANCEL_DEADLINE_S, ClientRequest, Endpoint, LEASE_S, SECOND, Simulation, job,
    simulation_with_leader,
};
use std::panic::{AssertUnwindSafe, catch_unwind};
use walnuttrestle::protocol::{JobKind, JobSpec};

/// Runs the simulation; returns the name of the rule whose violation was reported, or an empty string.
fn reported_rule(mut sim: Simulation, seconds: u64) -> String {
    let result = catch_unwind(AssertUnwindSafe(|| sim.run_seconds(seconds)));
    let message = match result {
        Ok(()) => return String::new(),
        Err(e) => e.downcast::<String>().expect("a panic message"),
    };
    message.split(' ').next().unwrap_or_default().to_string()
}

/// A simulation with a job that has running tasks.
fn simulation_with_running_job(seed: u64, spec: JobSpec) -> Simulation {
    let mut sim = simulation_with_leader(seed, 4);
    sim.spawn_client("req-1", spec, 300 * SECOND);
    sim.run_seconds(8);
    assert!(
        sim.running_instances("req-1") > 0,
        "seed {seed}: req-1 has no running task"
    );
    sim
}

#[test]
fn start_after_confirmed_cancellation_is_reported() {
    let inject_start = |sim: &mut Simulation| {
        let leader = sim.leader().expect("a leader");
        sim.inject_start(leader, "n-000001", "req-1/0", 9);
    };
    let mut sim = simulation_with_running_job(3900, job(JobKind::Array, 2, 1.0));
    sim.cancel_until_answered("req-1");
    sim.run_seconds(6);
    assert_eq!(sim.last_status("req-1"), "cancelled");
    inject_start(&mut sim);
    assert_eq!(reported_rule(sim, 1), "started_cancelled");
    // A start that was already in flight when the cancellation was confirmed is not a violation.
    let mut sim = simulation_with_running_job(3901, job(JobKind::Array, 2, 1.0));
    sim.command_delay = Some(3 * SECOND);
    inject_start(&mut sim);
    sim.command_delay = None;
    sim.cancel_until_answered("req-1");
    assert_eq!(reported_rule(sim, 10), "");
}

#[test]
fn cancelled_task_running_after_a_hang_is_reported() {
    for lease_expired in [false, true] {
        let mut sim = simulation_with_running_job(3910, job(JobKind::Array, 1, 1.0));
        let machine = sim
            .machines_running("req-1/0")
            .pop_first()
            .expect("a machine");
        sim.cancel_until_answered("req-1");
        // The machine hangs, and the leader does not delete it.
        sim.cloud_unavailable = true;
        sim.agents.get_mut(&machine).expect("the agent").hung_until = sim.now + 40 * SECOND;
        let seconds = if lease_expired { LEASE_S + 2 } else { 2 };
        sim.run_seconds(seconds);
        let key = ("req-1/0".to_string(), 1);
        if lease_expired {
            // If the agent's clock stops during the hang, the agent does not notice that its lease has expired.
            assert!(
                sim.agents[&machine].tasks.is_empty(),
                "{machine} has tasks after its lease expired"
            );
            sim.inject_running_task(&machine, key);
        }
        for second in 0..CANCEL_DEADLINE_S + 4 {
            let name = machine.clone();
            sim.after(second * SECOND, move |sim| {
                let now = sim.now;
                if let Some(agent) = sim.agents.get_mut(&name) {
                    agent.lease_renewed_at = now;
                }
            });
        }
        assert_eq!(reported_rule(sim, CANCEL_DEADLINE_S + 4), "ran_cancelled");
    }
}

#[test]
fn answer_older_than_a_previous_answer_is_reported() {
    // The state reported first, a later request with its answer, and the violated rule.
    let cases = [
        ("pending", ClientRequest::Poll, 404, "", "forgotten"),
        ("pending", ClientRequest::Cancel, 404, "", "forgotten"),
        ("pending", ClientRequest::Submit, 422, "", "forgotten"),
        ("pending", ClientRequest::Submit, 400, "", "forgotten"),
        (
            "cancelled",
            ClientRequest::Poll,
            200,
            "pending",
            "went_back",
        ),
        (
            "cancelled",
            ClientRequest::Submit,
            201,
            "pending",
            "went_back",
        ),
        ("cancelled", ClientRequest::Cancel, 200, "done", "not_done"),
        ("cancelled", ClientRequest::Poll, 404, "", "forgotten"),
    ];
    for (first, request, status, state, rule) in cases {
        let mut sim = simulation_with_running_job(3920, job(JobKind::Array, 2, 1.0));
        if first == "cancelled" {
            sim.cancel_until_answered("req-1");
            sim.run_seconds(3);
        }
        sim.inject_client_answer("req-1", sim.now, request, status, state);
        assert_eq!(
            reported_rule(sim, 1),
            rule,
            "{first}, then {request:?} {status} {state}"
        );
    }
    // A poll that was sent before the cancellation may be answered with the state at that time.
    let mut sim = simulation_with_running_job(3921, job(JobKind::Array, 2, 1.0));
    let sent_at = sim.now;
    sim.cancel_until_answered("req-1");
    sim.run_seconds(3);
    sim.inject_client_answer("req-1", sent_at, ClientRequest::Poll, 200, "running");
    assert_eq!(reported_rule(sim, 1), "");
}

#[test]
fn starving_job_is_reported() {
    let red_team_job = |tasks| JobSpec {
        team: "red".into(),
        ..job(JobKind::Array, tasks, 2.0)
    };
    // The job cannot be started while all controllers are paused.
    let mut sim = simulation_with_leader(3930, 4);
    sim.spawn_client("req-1", red_team_job(2), 300 * SECOND);
    while !sim.jobs["req-1"].accepted {
        sim.run_micros(5_000);
    }
    for i in 0..3 {
        sim.pause_controller(i, 300 * SECOND);
    }
    sim.enable_load_balancer();
    sim.declare_faults_over();
    assert_eq!(reported_rule(sim, 100), "left_waiting");
    // A job that waits because of its team's quota or for lack of capacity is not starving.
    let mut sim = simulation_with_leader(3931, 4);
    sim.enable_load_balancer();
    sim.no_capacity = true;
    sim.spawn_client("req-1", red_team_job(6), 400 * SECOND);
    sim.run_seconds(8);
    assert_eq!(sim.running_instances("req-1"), 6);
    sim.spawn_client("req-2", red_team_job(1), 10 * SECOND);
    sim.spawn_client("req-3", job(JobKind::Array, 40, 8.0), 400 * SECOND);
    sim.declare_faults_over();
    assert_eq!(reported_rule(sim, 120), "");
}

#[test]
fn quota_violation_is_reported_also_on_partitioned_or_hung_machines() {
    for fault in 0..2 {
        let mut sim = simulation_with_leader(3940, 4);
        let red_team_job = JobSpec {
            team: "red".into(),
            ..job(JobKind::Array, 6, 2.0)
        };
        sim.spawn_client("req-1", red_team_job, 300 * SECOND);
        sim.run_seconds(8);
        assert_eq!(sim.running_instances("req-1"), 6);
        let machine = sim
            .machines_running("req-1/0")
            .pop_first()
            .expect("a machine");
        if fault == 0 {
            sim.agents.get_mut(&machine).expect("the agent").hung_until = sim.now + 5 * SECOND;
        } else {
            for i in 0..3 {
                sim.partition(
                    Endpoint::Controller(i),
                    Endpoint::Agent(machine.clone()),
                    simulation::PartitionMode::Drop,
                    5 * SECOND,
                );
            }
        }
        let extra_job = JobSpec {
            team: "red".into(),
            ..job(JobKind::Array, 1, 2.0)
        };
        sim.declare_job("req-2", extra_job, 300 * SECOND);
        sim.jobs.get_mut("req-2").expect("declared").accepted = true;
        let other = sim
            .machine_names()
            .into_iter()
            .find(|n| *n != machine)
            .expect("another");
        sim.inject_running_task(&other, ("req-2/0".to_string(), 1));
        assert_eq!(reported_rule(sim, 1), "quota");
    }
}

#[test]
fn acceptance_of_an_impossible_job_is_reported() {
    for (status, rule) in [
        (201, "accepted_invalid"),
        (404, "refused_otherwise"),
        (400, ""),
    ] {
        let mut sim = simulation_with_leader(3950, 2);
        sim.inject_invalid_request_answer(status);
        assert_eq!(reported_rule(sim, 1), rule, "answered with status {status}");
    }
    // None of many invalid requests is accepted, and all controllers refuse each of them in the same way.
    let mut sim = simulation_with_leader(3951, 2);
    for _ in 0..300 {
        sim.send_invalid_request();
    }
    sim.run_seconds(2);
}

#[test]
fn unanswered_polls_of_a_job_are_reported() {
    let mut sim = simulation_with_leader(3960, 4);
    sim.enable_load_balancer();
    sim.run_seconds(3);
    sim.spawn_balanced_client("req-1", job(JobKind::Array, 2, 1.0), 300 * SECOND);
    sim.run_seconds(8);
    assert!(sim.jobs["req-1"].accepted);
    sim.declare_faults_over();
    for i in 0..3 {
        sim.pause_controller(i, 300 * SECOND);
    }
    assert_eq!(reported_rule(sim, 84), "forgotten");
}
