//! Faults for the checker: what no controller or agent does.

use super::*;

impl Simulation {
    /// A controller sends a start.
    pub fn inject_start(&mut self, node: usize, machine: &str, task: &str, attempt: u64) {
        let index: usize = machine.trim_start_matches("n-").parse().unwrap();
        let orders = AgentCommands {
            term: self.term(),
            agent_epoch: self.agents[machine].agent_epoch,
            commands: vec![Command::Start {
                task: task.into(),
                attempt,
            }],
        };
        let call = Call {
            id: u64::MAX,
            addr: format!("10.1.{}.{}:9000", index / 200, index % 200)
                .parse()
                .unwrap(),
            method: "POST",
            path: "/orders".into(),
            body: encode(&orders),
            timeout: Micros(SECOND),
        };
        let run = self.controllers[node].run;
        self.send(node, run, call);
    }

    /// A task runs on a machine although nobody has started it.
    pub fn inject_running_task(&mut self, machine: &str, key: fake_agent::TaskKey) {
        let task = FakeTask {
            phase: TaskPhase::Running,
            exit_reason: None,
            saved: false,
            phase_ends_at: u64::MAX,
        };
        let w = self.agents.get_mut(machine).expect("a machine");
        w.tasks.insert(key, task);
    }

    /// A user is told this.
    pub fn inject_client_answer(
        &mut self,
        id: &str,
        asked: u64,
        what: &str,
        status: u16,
        state: &str,
    ) {
        let body = encode(&JobState {
            id: id.into(),
            status: state.into(),
            done: None,
            running: None,
        });
        self.client_answered(id.into(), asked, what, status, &body);
    }

    /// A controller's copy holds machine types of later: none that there was.
    pub fn clear_machine_types(&mut self, node: usize) {
        if let Some(n) = self.controllers[node].node.as_mut() {
            n.cache.types = Some(Vec::new());
        }
    }

    /// A message with this body comes to a controller, for the path.
    pub fn send_bytes(&mut self, node: usize, internal: bool, path: &str, body: Vec<u8>) {
        let pending = match path {
            "/submissions" => PendingResponse::Odd("bytes", 400),
            _ => PendingResponse::AgentHeartbeat("none".into(), 0),
        };
        self.request_on(internal, node, pending, "POST", path.into(), body);
    }

    /// What an agent would report now.
    pub fn heartbeat_of(&mut self, machine: &str) -> AgentHeartbeat {
        let w = self.agents.get_mut(machine).expect("a machine");
        w.heartbeat()
    }

    /// A job that can never run is answered with this.
    pub fn inject_invalid_request_answer(&mut self, status: u16) {
        self.check_invalid_request_answer("pretended", 400, status);
    }
}
