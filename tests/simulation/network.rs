//! The network between controllers, agents, store and cloud.

use super::*;

/// Time between the end of a partition and the delivery of an answer that it delayed, in microseconds.
const DELIVERY_DELAY_AFTER_PARTITION: u64 = 1000;
/// Minimum time until the next wake-up of a controller, in microseconds.
const MIN_WAKE_DELAY: u64 = 1000;
/// An agent ignores the response to a heartbeat that arrives later than this after sending.
const HEARTBEAT_TIMEOUT: u64 = 4 * SECOND;
/// An agent whose heartbeat was not accepted tries the next controller after this time.
const HEARTBEAT_RETRY_DELAY: u64 = SECOND;
/// Number of machines whose addresses have the same third byte.
const MACHINES_PER_SUBNET: usize = 200;

const STORE_ADDRESS: &str = "10.2.0.1:2379";
const CLOUD_ADDRESS: &str = "10.2.0.2:8443";

/// The address of the machine with this index.
pub(super) fn agent_address(index: usize) -> String {
    format!(
        "10.1.{}.{}:9000",
        index / MACHINES_PER_SUBNET,
        index % MACHINES_PER_SUBNET
    )
}

fn host_after<'a>(address: &'a str, prefix: &str) -> Option<&'a str> {
    address.strip_prefix(prefix)?.split(':').next()
}

/// The endpoint that a call is addressed to.
fn destination(call: &Call) -> Endpoint {
    let address = call.addr.to_string();
    if address == STORE_ADDRESS {
        return Endpoint::Store;
    }
    if address == CLOUD_ADDRESS {
        return Endpoint::Cloud;
    }
    if let Some(host) = host_after(&address, "10.0.0.") {
        return Endpoint::Controller(host.parse::<usize>().unwrap() - 1);
    }
    let host = host_after(&address, "10.1.").unwrap();
    let (high, low) = host.split_once('.').unwrap();
    let subnet = high.parse::<usize>().unwrap();
    let index = subnet * MACHINES_PER_SUBNET + low.parse::<usize>().unwrap();
    Endpoint::Agent(format!("n-{index:06}"))
}

impl Simulation {
    /// Interrupts the link between two endpoints in both directions for `duration` microseconds.
    pub fn partition(
        &mut self,
        first: Endpoint,
        second: Endpoint,
        mode: PartitionMode,
        duration: u64,
    ) {
        self.partitions.push(Partition {
            ends: (first, second),
            mode,
            until: self.now + duration,
        });
    }

    /// Partitions the zones from each other: controllers from controllers and agents of the other zone. The store stays
    /// reachable.
    pub fn partition_zones(&mut self, duration: u64) {
        for i in 0..self.controllers.len() {
            let zone = setup::zone_of_controller(i);
            for j in (0..self.controllers.len()).filter(|j| setup::zone_of_controller(*j) != zone) {
                let (first, second) = (Endpoint::Controller(i), Endpoint::Controller(j));
                self.partition(first, second, PartitionMode::Drop, duration);
            }
            let remote_agents = self.agents.values().filter(|agent| agent.zone != zone);
            let remote_machines: Vec<String> =
                remote_agents.map(|agent| agent.name.clone()).collect();
            for machine in remote_machines {
                let (controller, agent) = (Endpoint::Controller(i), Endpoint::Agent(machine));
                self.partition(controller, agent, PartitionMode::Drop, duration);
            }
        }
    }

    /// Mode and end of the partition between two endpoints; of the one that ends last if there are several.
    fn partition_between(
        &self,
        first: &Endpoint,
        second: &Endpoint,
    ) -> Option<(PartitionMode, u64)> {
        let matches_ends = |partition: &&Partition| {
            let (left, right) = &partition.ends;
            (left == first && right == second) || (left == second && right == first)
        };
        self.partitions
            .iter()
            .filter(|partition| partition.until > self.now)
            .filter(matches_ends)
            .map(|partition| (partition.mode, partition.until))
            .max_by_key(|(_, until)| *until)
    }

    /// When a message arrives that would arrive at `at` without a partition; `None` if a partition drops it.
    pub(super) fn arrival_across(
        &self,
        first: &Endpoint,
        second: &Endpoint,
        at: u64,
    ) -> Option<u64> {
        match self.partition_between(first, second) {
            Some((PartitionMode::Drop, _)) => None,
            Some((PartitionMode::Delay, until)) => Some(until + DELIVERY_DELAY_AFTER_PARTITION),
            None => Some(at),
        }
    }

    pub(super) fn latency(&mut self) -> u64 {
        self.rng.random_range(500..4000) + self.faults.link_delay(&mut self.rng)
    }

    /// Delivers events to a controller and executes the commands that it returns.
    pub(super) fn deliver(&mut self, controller: usize, events: Vec<NetworkEvent>) {
        let clock = self.clock();
        let slot = &mut self.controllers[controller];
        if slot.paused_until > self.now {
            slot.queued_events.extend(events);
            return;
        }
        let mut events_in_order = std::mem::take(&mut slot.queued_events);
        events_in_order.extend(events);
        let Some(process) = slot.process.as_mut() else {
            return;
        };
        if slot.first_version {
            events_in_order = events_in_order
                .into_iter()
                .map(first_version::convert_request)
                .collect();
        }
        let (commands, next_wake) = process.handle(clock, events_in_order);
        let incarnation = slot.incarnation;
        for command in commands {
            self.trace.add(self.now, controller, &command);
            match command {
                NetworkCommand::Call(call) => self.send(controller, incarnation, call),
                NetworkCommand::Respond {
                    conn, status, body, ..
                } => self.respond(controller, conn, status, body),
            }
        }
        self.schedule_wake(controller, incarnation, next_wake);
    }

    fn schedule_wake(&mut self, controller: usize, incarnation: u64, next_wake: Micros) {
        let at = next_wake.0.max(self.now + MIN_WAKE_DELAY);
        let slot = &mut self.controllers[controller];
        if slot.next_wake_at <= self.now || at < slot.next_wake_at {
            slot.next_wake_at = at;
            let wake = Event::ControllerWake {
                controller,
                incarnation,
            };
            self.schedule(at, wake);
        }
    }

    fn count_call(&mut self, to: &Endpoint, call: &Call) {
        match to {
            Endpoint::Store => {
                self.call_counts.store_requests += 1;
                if call.path == "/multi"
                    && let Some(transaction) = decode::<Transaction>(&call.body)
                {
                    self.call_counts.store_changes += transaction.changes.len();
                }
            }
            Endpoint::Agent(_) => self.call_counts.agent_commands += 1,
            _ => {}
        }
    }

    /// Sends a controller's call, subject to partitions and faults.
    pub(super) fn send(&mut self, controller: usize, incarnation: u64, mut call: Call) {
        let from = Endpoint::Controller(controller);
        let to = destination(&call);
        let first_version = self.controllers[controller].first_version;
        if first_version && to == Endpoint::Store && call.path == "/multi" {
            match first_version::convert_transaction(call.body) {
                Some(body) => call.body = body,
                // The first version does not send this transaction.
                None => return,
            }
        }
        self.count_call(&to, &call);
        self.check_commands(&to, &call);
        let key = CallKey {
            controller,
            incarnation,
            call_id: call.id,
        };
        self.pending_calls.insert(key);
        self.schedule(self.now + call.timeout.0, Event::CallTimeout(key));
        let mut at = self.now + self.latency();
        if self.faults.drops_message(&from, &to, self.now) {
            return;
        }
        match self.partition_between(&from, &to) {
            Some((PartitionMode::Drop, _)) => return,
            Some((PartitionMode::Delay, until)) => at = until + self.latency(),
            None => {}
        }
        if let Endpoint::Agent(machine) = &to {
            at += self.command_delay.unwrap_or(0);
            let kind = DroppedDelivery::Commands;
            if self
                .faults
                .drops_delivery(machine, controller, kind, self.now)
            {
                return;
            }
        }
        if let Some(delay) = self.faults.write_delay(&call, &to, &mut self.rng) {
            // The call has timed out before it is executed.
            self.schedule(at + delay, Event::CallArrival { key, call });
            return;
        }
        self.faults
            .maybe_lose_answer(&call, &to, key, &mut self.rng);
        if let Some(delay) = self.faults.duplicate_request(&call, &to, &mut self.rng) {
            let call = call.clone();
            self.schedule(at + delay, Event::CallArrival { key, call });
        }
        self.schedule(at, Event::CallArrival { key, call });
    }

    fn answer(&mut self, from: Endpoint, key: CallKey, status: u16, body: Vec<u8>) {
        self.answer_with_delay(from, key, status, body, 0);
    }

    /// Sends the answer to a call, with `delay` microseconds of additional latency.
    pub(super) fn answer_with_delay(
        &mut self,
        from: Endpoint,
        key: CallKey,
        status: u16,
        body: Vec<u8>,
        delay: u64,
    ) {
        let to = Endpoint::Controller(key.controller);
        let mut at = self.now + self.latency() + delay;
        if from == Endpoint::Store {
            at += self.store_delay;
        }
        if self.faults.drops_message(&from, &to, self.now) || self.faults.drops_answer(&key) {
            return;
        }
        let Some(at) = self.arrival_across(&to, &from, at) else {
            return;
        };
        let now = self.now;
        let is_affected = |(endpoint, until): &(Endpoint, u64)| *endpoint == from && *until > now;
        if self.lost_answers_from.iter().any(is_affected) {
            return;
        }
        let outcome = Outcome::Response { status, body };
        self.schedule(at, Event::CallAnswer { key, outcome });
    }

    /// Delivers a controller's response to the sender of the request.
    fn respond(&mut self, controller: usize, conn: u64, status: u16, body: Vec<u8>) {
        match self.pending_responses.remove(&(controller, conn)) {
            Some(PendingResponse::AgentHeartbeat { machine, seq }) => {
                self.respond_to_agent(controller, machine, seq, status, body);
            }
            Some(PendingResponse::Peer {
                caller,
                is_heartbeat,
            }) => {
                let body =
                    self.convert_peer_body(controller, caller.controller, is_heartbeat, body);
                self.answer(Endpoint::Controller(controller), caller, status, body);
            }
            Some(PendingResponse::HealthCheck) => self.last_health_status = status,
            Some(PendingResponse::Invalid {
                description,
                expected_status,
            }) => self.check_invalid_request_answer(description, expected_status, status),
            Some(PendingResponse::Client {
                request,
                job,
                sent_at,
            }) => self.client_answered(job, sent_at, request, status, &body),
            None => {}
        }
    }

    fn respond_to_agent(
        &mut self,
        controller: usize,
        machine: String,
        seq: u64,
        status: u16,
        body: Vec<u8>,
    ) {
        let kind = DroppedDelivery::HeartbeatResponses;
        if self
            .faults
            .drops_delivery(&machine, controller, kind, self.now)
        {
            return;
        }
        let at = self.now + self.latency();
        let from = Endpoint::Controller(controller);
        let Some(at) = self.arrival_across(&from, &Endpoint::Agent(machine.clone()), at) else {
            return;
        };
        let response = Event::AgentHeartbeatResponse {
            machine,
            seq,
            status,
            body,
        };
        self.schedule(at, response);
    }

    /// Converts a peer heartbeat, or its response, to the format of the first version if one of the controllers runs
    /// it.
    fn convert_peer_body(
        &self,
        first: usize,
        second: usize,
        is_heartbeat: bool,
        body: Vec<u8>,
    ) -> Vec<u8> {
        let involves_first_version =
            self.controllers[first].first_version || self.controllers[second].first_version;
        if is_heartbeat && involves_first_version {
            first_version::convert_peer_heartbeat(body)
        } else {
            body
        }
    }

    /// Handles a controller's call at its destination.
    pub(super) fn handle_call(&mut self, key: CallKey, call: Call) {
        match destination(&call) {
            Endpoint::Store => self.handle_store_call(key, call),
            Endpoint::Cloud => {
                let (status, body) = self.handle_cloud_call(&call);
                self.answer(Endpoint::Cloud, key, status, body);
            }
            Endpoint::Agent(machine) => self.handle_agent_call(key, call, &machine),
            Endpoint::Controller(peer) => self.handle_peer_call(key, call, peer),
        }
    }

    fn handle_store_call(&mut self, key: CallKey, call: Call) {
        self.serial += 1;
        let ticket = self.serial;
        let answer = self.store.handle(
            self.now,
            key.controller,
            ticket,
            call.method,
            &call.path,
            &call.body,
        );
        let Some((status, mut body)) = answer else {
            self.watch_calls.insert(ticket, key);
            return;
        };
        if self.controllers[key.controller].first_version && status == 200 {
            body = first_version::convert_store_response(&call.path, body);
        }
        let delay = self.faults.store_answer_delay(key.controller, &call);
        self.answer_with_delay(Endpoint::Store, key, status, body, delay);
    }

    fn handle_agent_call(&mut self, key: CallKey, call: Call, machine: &str) {
        if let Some(until) = self.hung_until(machine) {
            self.schedule(until + 20, Event::CallArrival { key, call });
            return;
        }
        let now = self.now;
        let lease = self.lease_s * SECOND;
        let Some(agent) = self.agents.get_mut(machine).filter(|agent| agent.alive) else {
            return;
        };
        agent.expire_lease(now, lease);
        let commands: AgentCommands = decode(&call.body).expect("body is a list of commands");
        let outdated = commands.term < agent.term || commands.agent_epoch != agent.agent_epoch;
        let status = if outdated { 409 } else { 200 };
        if !outdated {
            agent.term = commands.term;
            self.execute(machine, commands.commands);
        }
        let body = encode(&self.heartbeat_of(machine));
        self.answer(Endpoint::Agent(machine.to_string()), key, status, body);
    }

    fn handle_peer_call(&mut self, key: CallKey, call: Call, peer: usize) {
        if self.controllers[peer].process.is_none() {
            return;
        }
        self.serial += 1;
        let conn = self.serial;
        let is_heartbeat = call.path == "/heartbeat";
        let body = self.convert_peer_body(key.controller, peer, is_heartbeat, call.body);
        let pending = PendingResponse::Peer {
            caller: key,
            is_heartbeat,
        };
        self.pending_responses.insert((peer, conn), pending);
        let request = NetworkEvent::Request {
            conn,
            internal: true,
            method: call.method.into(),
            path: call.path,
            body,
        };
        self.deliver(peer, vec![request]);
    }

    /// Called when the response to an agent's heartbeat arrives at the agent.
    pub(super) fn heartbeat_answered(&mut self, machine: &str, seq: u64, status: u16, body: &[u8]) {
        if let Some(until) = self.hung_until(machine) {
            let response = Event::AgentHeartbeatResponse {
                machine: machine.to_string(),
                seq,
                status,
                body: body.to_vec(),
            };
            self.schedule(until + 10, response);
            return;
        }
        let now = self.now;
        let controller_count = self.controllers.len();
        let Some(agent) = self.agents.get_mut(machine).filter(|agent| agent.alive) else {
            return;
        };
        let Some(in_flight) = agent.in_flight else {
            return;
        };
        if in_flight.seq != seq || now > in_flight.sent_at + HEARTBEAT_TIMEOUT {
            return;
        }
        agent.in_flight = None;
        match status {
            200 => {
                let lease = self.lease_s * SECOND;
                // A response that cannot be decoded, such as one without a term, is ignored.
                if let Some(response) = decode::<AgentHeartbeatResponse>(body)
                    && agent.accept_response(&response, in_flight, now, lease)
                {
                    self.execute(machine, response.commands);
                }
            }
            421 => {
                let misdirected: Misdirected = decode(body).unwrap_or_default();
                let leader = misdirected
                    .leader
                    .and_then(|name| name.strip_prefix("kernel-")?.parse::<usize>().ok())
                    .filter(|leader| *leader != agent.controller && *leader < controller_count);
                match leader {
                    Some(leader) => {
                        agent.controller = leader;
                        agent.next_heartbeat_at = now;
                    }
                    None => agent.try_next_controller(controller_count, now),
                }
            }
            _ => agent.try_next_controller(controller_count, now),
        }
    }

    /// Times out a heartbeat that has not been answered.
    pub(super) fn expire_heartbeat(&mut self, machine: &str) {
        let now = self.now;
        let controller_count = self.controllers.len();
        let agent = self.agents.get_mut(machine).expect("machine exists");
        if let Some(in_flight) = agent.in_flight
            && now > in_flight.sent_at + HEARTBEAT_TIMEOUT
        {
            agent.in_flight = None;
            agent.try_next_controller(controller_count, now);
        }
    }
}

impl FakeAgent {
    fn try_next_controller(&mut self, controller_count: usize, now: u64) {
        self.controller = (self.controller + 1) % controller_count;
        self.next_heartbeat_at = now + HEARTBEAT_RETRY_DELAY;
    }
}
