//! Encoding of agent heartbeats, the responses to them, and direct commands.

use crate::fixtures::{Fixtures, array, map};
use walnuttrestle::protocol::agent_api::{
    AgentCommands, AgentHeartbeat, AgentHeartbeatResponse, Command, ExitReason, Misdirected,
    TaskPhase, TaskStatus,
};
use walnuttrestle::protocol::codec::encode;
use walnuttrestle::transport::http::write_request;

fn task_status(phase: TaskPhase) -> TaskStatus {
    TaskStatus {
        task: "req-17/3".into(),
        attempt: 2,
        phase,
        exit_reason: None,
        saved: None,
    }
}

fn heartbeat(tasks: Vec<TaskStatus>) -> AgentHeartbeat {
    AgentHeartbeat {
        machine: "n-000017".into(),
        address: "10.1.4.17:9000".into(),
        machine_type: "big".into(),
        zone: "a".into(),
        spot: true,
        agent_epoch: 4_000_000_000,
        seq: 300,
        term: 7,
        notice_s: None,
        tasks,
    }
}

fn commands() -> Vec<Command> {
    let task = || "req-17/3".to_string();
    vec![
        Command::Start {
            task: task(),
            attempt: 2,
        },
        Command::Stop {
            task: task(),
            attempt: 300,
            grace_s: 12.5,
        },
        Command::Forget {
            task: task(),
            attempt: 1,
        },
    ]
}

#[test]
fn agent_message_encoding_is_stable() {
    let mut fixtures = Fixtures::open("agent_api.hex");
    check_heartbeats(&mut fixtures);
    let response = AgentHeartbeatResponse {
        term: 7,
        commands: commands(),
    };
    fixtures.check_round_trip("report_answer", &response);
    let empty = AgentHeartbeatResponse {
        term: 7,
        commands: Vec::new(),
    };
    fixtures.check_round_trip("report_answer_empty", &empty);
    let direct_commands = AgentCommands {
        term: 7,
        agent_epoch: 4_000_000_000,
        commands: commands(),
    };
    fixtures.check_round_trip("orders", &direct_commands);
    fixtures.check_round_trip("misdirected", &Misdirected::default());
    let with_leader = Misdirected {
        leader: Some("kernel-1".into()),
    };
    fixtures.check_round_trip("misdirected_to_leader", &with_leader);
    let mut request = Vec::new();
    let body = encode(&direct_commands);
    write_request(&mut request, "POST", "/orders", "10.1.4.17:9000", &body);
    fixtures.check_encoding("http_request", &request);
    fixtures.finish();
}

fn check_heartbeats(fixtures: &mut Fixtures) {
    let phases = [
        TaskPhase::Fetching,
        TaskPhase::Waiting,
        TaskPhase::Running,
        TaskPhase::Saving,
        TaskPhase::Exited,
    ];
    let with_phases = heartbeat(phases.map(task_status).to_vec());
    fixtures.check_round_trip("report_of_each_phase", &with_phases);
    let exit_reasons = [
        ExitReason::Done,
        ExitReason::Stopped,
        ExitReason::GangMemberGone,
        ExitReason::GangIncomplete,
        ExitReason::Error,
        ExitReason::NoRoom,
        ExitReason::Busy,
        ExitReason::Unknown,
    ];
    let tasks = exit_reasons.map(|reason| TaskStatus {
        exit_reason: Some(reason),
        saved: Some(reason == ExitReason::Stopped),
        ..task_status(TaskPhase::Exited)
    });
    let with_exit_reasons = AgentHeartbeat {
        notice_s: Some(30.5),
        ..heartbeat(tasks.to_vec())
    };
    fixtures.check_round_trip("report_of_each_cause", &with_exit_reasons);
    check_agent_heartbeat(fixtures);
}

/// Checks a heartbeat as an agent writes it, with one task that omits the optional fields and one that has them.
fn check_agent_heartbeat(fixtures: &mut Fixtures) {
    let running = map([
        ("sheet", "req-17/3".into()),
        ("try", 2.into()),
        ("status", "running".into()),
    ]);
    let stopped = map([
        ("sheet", "req-17/3".into()),
        ("try", 2.into()),
        ("status", "ended".into()),
        ("cause", "mates_gone".into()),
        ("stored", true.into()),
    ]);
    let body = map([
        ("kernel", "n-000017".into()),
        ("endpoint", "10.1.4.17:9000".into()),
        ("press", "big".into()),
        ("yard", "a".into()),
        ("loaners", true.into()),
        ("shift", 4_000_000_000u64.into()),
        ("tally", 300.into()),
        ("baton", 7.into()),
        ("sheets", array([running, stopped])),
    ]);
    let stopped = TaskStatus {
        exit_reason: Some(ExitReason::GangMemberGone),
        saved: Some(true),
        ..task_status(TaskPhase::Exited)
    };
    let value = heartbeat(vec![task_status(TaskPhase::Running), stopped]);
    fixtures.check_decoding("report_of_a_worker", &body, &value);
}
