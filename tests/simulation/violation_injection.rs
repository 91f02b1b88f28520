//! Injected violations for tests of the invariant checker: actions that the protocol forbids to controllers and agents.

use super::*;

impl Simulation {
    /// Sends a start command from a controller to a machine.
    pub fn inject_start(&mut self, controller: usize, machine: &str, task: &str, attempt: u64) {
        let commands = AgentCommands {
            term: self.term(),
            agent_epoch: self.agents[machine].agent_epoch,
            commands: vec![Command::Start {
                task: task.into(),
                attempt,
            }],
        };
        let index: usize = machine.trim_start_matches("n-").parse().unwrap();
        let call = Call {
            id: u64::MAX,
            addr: network::agent_address(index).parse().unwrap(),
            method: "POST",
            path: "/orders".into(),
            body: encode(&commands),
            timeout: Micros(SECOND),
        };
        let incarnation = self.controllers[controller].incarnation;
        self.send(controller, incarnation, call);
    }

    /// Makes a task run on a machine although no controller has started it.
    pub fn inject_running_task(&mut self, machine: &str, key: fake_agent::TaskKey) {
        let task = FakeTask {
            phase: TaskPhase::Running,
            exit_reason: None,
            saved: false,
            phase_ends_at: u64::MAX,
        };
        let agent = self.agents.get_mut(machine).expect("machine exists");
        agent.tasks.insert(key, task);
    }

    /// Delivers an answer to a client that no controller has sent; `sent_at` is the time of the request.
    pub fn inject_client_answer(
        &mut self,
        job: &str,
        sent_at: u64,
        request: ClientRequest,
        status: u16,
        state: &str,
    ) {
        let body = encode(&JobState {
            id: job.into(),
            status: state.into(),
            done: None,
            running: None,
        });
        self.client_answered(job.into(), sent_at, request, status, &body);
    }

    /// Empties the list of machine types in a controller's cache.
    pub fn clear_machine_types(&mut self, controller: usize) {
        if let Some(process) = self.controllers[controller].process.as_mut() {
            process.cache.machine_types = Some(Vec::new());
        }
    }

    /// Makes the leader treat the present epoch of a machine's agent as ended.
    pub fn end_epoch_on_leader(&mut self, machine: &str) {
        let leader = self.leader().expect("a leader");
        let process = self.controllers[leader].process.as_mut();
        let state = process.and_then(|process| process.leader.as_mut());
        let agent = state.and_then(|state| state.agents.get_mut(machine));
        let agent = agent.expect("the leader knows the agent");
        agent.ended_epoch = Some(agent.agent_epoch);
    }

    /// Sends a POST request with an arbitrary body to a controller.
    pub fn send_bytes(&mut self, controller: usize, internal: bool, path: &str, body: Vec<u8>) {
        let pending = match path {
            "/submissions" => PendingResponse::Invalid {
                description: "bytes",
                expected_status: 400,
            },
            _ => PendingResponse::AgentHeartbeat {
                machine: "none".into(),
                seq: 0,
            },
        };
        self.request_on(internal, controller, pending, "POST", path.into(), body);
    }

    /// Builds the next heartbeat of a machine's agent and increments its sequence number.
    pub fn heartbeat_of(&mut self, machine: &str) -> AgentHeartbeat {
        let agent = self.agents.get_mut(machine).expect("machine exists");
        agent.heartbeat()
    }

    /// Passes the checker an answer with this status to an invalid submission, whose expected status is 400.
    pub fn inject_invalid_request_answer(&mut self, status: u16) {
        self.check_invalid_request_answer("injected", 400, status);
    }
}
