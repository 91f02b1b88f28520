//! The network peer_duplication controllers, agents, state service and cloud.

use super::*;

impl Simulation {
    pub(super) fn partition_between(
        &self,
        a: &Endpoint,
        b: &Endpoint,
    ) -> Option<(PartitionMode, u64)> {
        self.cuts
            .iter()
            .filter(|(x, y, _, until)| {
                *until > self.now && ((x == a && y == b) || (x == b && y == a))
            })
            .map(|(_, _, how, until)| (*how, *until))
            .max_by_key(|c| c.1)
    }

    pub(super) fn latency(&mut self) -> u64 {
        self.rng.random_range(500..4000) + self.faults.link_delay(&mut self.rng)
    }

    pub(super) fn endpoint_of(&self, call: &Call) -> Endpoint {
        let text = call.addr.to_string();
        if text == "10.2.0.1:2379" {
            Endpoint::Store
        } else if text == "10.2.0.2:8443" {
            Endpoint::Cloud
        } else if let Some(n) = text
            .strip_prefix("10.0.0.")
            .and_then(|r| r.split(':').next())
        {
            Endpoint::Controller(n.parse::<usize>().unwrap() - 1)
        } else {
            let rest = text.strip_prefix("10.1.").and_then(|r| r.split(':').next());
            let (high, low) = rest.and_then(|r| r.split_once('.')).unwrap();
            let index = high.parse::<usize>().unwrap() * 200 + low.parse::<usize>().unwrap();
            Endpoint::Agent(format!("n-{index:06}"))
        }
    }

    /// Hands messages to a node and carries out what it wants.
    pub(super) fn deliver(&mut self, i: usize, events: Vec<NetworkEvent>) {
        let clock = self.clock();
        let old = self.controllers[i].old;
        if self.controllers[i].frozen > self.now {
            self.controllers[i].held.extend(events);
            return;
        }
        let mut all = std::mem::take(&mut self.controllers[i].held);
        all.extend(events);
        let events = all;
        let Some(node) = self.controllers[i].node.as_mut() else {
            return;
        };
        let events = if old {
            events.into_iter().map(first_version::hears).collect()
        } else {
            events
        };
        let (cmds, next) = node.handle(clock, events);
        let run = self.controllers[i].run;
        for cmd in cmds {
            self.trace.add(self.now, i, &cmd);
            match cmd {
                NetworkCommand::Call(call) => self.send(i, run, call),
                NetworkCommand::Respond {
                    conn, status, body, ..
                } => self.respond(i, conn, status, body),
            }
        }
        let at = next.0.max(self.now + 1000);
        if self.controllers[i].wake <= self.now || at < self.controllers[i].wake {
            self.controllers[i].wake = at;
            self.schedule(at, Event::Wake(i, run));
        }
    }

    /// Counts what the controllers ask of others, by what it costs there.
    pub(super) fn count(&mut self, to: &Endpoint, call: &Call) {
        match to {
            Endpoint::Store => {
                self.call_counts.store_requests += 1;
                if let Some(t) = decode::<Transaction>(&call.body).filter(|_| call.path == "/multi")
                {
                    self.call_counts.store_changes += t.changes.len();
                }
            }
            Endpoint::Agent(_) => self.call_counts.agent_commands += 1,
            _ => {}
        }
    }

    pub(super) fn send(&mut self, i: usize, run: u64, mut call: Call) {
        let to = self.endpoint_of(&call);
        if self.controllers[i].old && to == Endpoint::Store && call.path == "/multi" {
            match first_version::writes(call.body) {
                Some(body) => call.body = body,
                // It never asks for this: the call is not made.
                None => return,
            }
        }
        self.count(&to, &call);
        self.check_commands(&to, &call);
        let key = (i, run, call.id);
        self.open.insert(key, ());
        self.schedule(self.now + call.timeout.0, Event::Timeout(i, run, call.id));
        let mut at = self.now + self.latency();
        if self.faults.is_lost(&Endpoint::Controller(i), &to, self.now) {
            return;
        }
        match self.partition_between(&Endpoint::Controller(i), &to) {
            Some((PartitionMode::Drop, _)) => return,
            Some((PartitionMode::Delay, until)) => at = until + self.latency(),
            None => {}
        }
        if let (Endpoint::Agent(_), Some(d)) = (&to, self.command_delay) {
            at += d;
        }
        if let Endpoint::Agent(name) = &to
            && self
                .faults
                .drops_delivery(name, i, DroppedDelivery::Commands, self.now)
        {
            return;
        }
        if let Some(late) = self.faults.write_delay(&call, &to, &mut self.rng) {
            // Whoever asked has given up by then.
            self.schedule(at + late, Event::Arrive(i, run, call.id, call));
            return;
        }
        self.faults
            .maybe_lose_answer(&call, &to, key, &mut self.rng);
        if let Some(late) = self.faults.duplicate_request(&call, &to, &mut self.rng) {
            let copy = Event::Arrive(i, run, call.id, call.clone());
            self.schedule(at + late, copy);
        }
        self.schedule(at, Event::Arrive(i, run, call.id, call));
    }

    pub(super) fn answer(
        &mut self,
        from: Endpoint,
        i: usize,
        run: u64,
        id: u64,
        status: u16,
        body: Vec<u8>,
    ) {
        self.answer_late(from, i, run, id, status, body, 0);
    }

    /// The same, this much later than the network takes.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn answer_late(
        &mut self,
        from: Endpoint,
        i: usize,
        run: u64,
        id: u64,
        status: u16,
        body: Vec<u8>,
        late: u64,
    ) {
        let mut at = self.now + self.latency() + late;
        if from == Endpoint::Store {
            at += self.store_delay;
        }
        if self
            .faults
            .is_lost(&from, &Endpoint::Controller(i), self.now)
            || self.faults.answer_is_lost(&(i, run, id))
        {
            return;
        }
        match self.partition_between(&Endpoint::Controller(i), &from) {
            Some((PartitionMode::Drop, _)) => return,
            Some((PartitionMode::Delay, until)) => at = until + 1000,
            None => {}
        }
        if let Some(p) = self
            .lost_answers_from
            .iter()
            .position(|(p, until)| *p == from && *until > self.now)
        {
            let _ = p;
            return;
        }
        self.schedule(
            at,
            Event::Return(i, run, id, Outcome::Reply { status, body }),
        );
    }

    pub(super) fn respond(&mut self, i: usize, conn: u64, status: u16, body: Vec<u8>) {
        match self.conns.remove(&(i, conn)) {
            Some(PendingResponse::AgentHeartbeat(name, number)) => {
                if self.faults.drops_delivery(
                    &name,
                    i,
                    DroppedDelivery::HeartbeatResponses,
                    self.now,
                ) {
                    return;
                }
                let mut at = self.now + self.latency();
                match self
                    .partition_between(&Endpoint::Controller(i), &Endpoint::Agent(name.clone()))
                {
                    Some((PartitionMode::Drop, _)) => return,
                    Some((PartitionMode::Delay, until)) => at = until + 1000,
                    None => {}
                }
                self.schedule(
                    at,
                    Event::AgentHeartbeatResponse(name, number, status, body),
                );
            }
            Some(PendingResponse::Peer(from, run, id, beat)) => {
                let who = Endpoint::Controller(i);
                let old = beat && (self.controllers[i].old || self.controllers[from].old);
                let body = if old {
                    first_version::heartbeat(body)
                } else {
                    body
                };
                self.answer(who, from, run, id, status, body);
            }
            Some(PendingResponse::Health) => self.health = status,
            Some(PendingResponse::Odd(what, right)) => {
                self.check_invalid_request_answer(what, right, status)
            }
            Some(PendingResponse::Submit(id, asked)) => {
                self.client_answered(id, asked, "submit", status, &body)
            }
            Some(PendingResponse::Poll(id, asked)) => {
                self.client_answered(id, asked, "poll", status, &body)
            }
            Some(PendingResponse::Cancel(id, asked)) => {
                self.client_answered(id, asked, "cancel", status, &body)
            }
            None => {}
        }
    }

    pub(super) fn arrive(&mut self, i: usize, run: u64, id: u64, call: Call) {
        let to = self.endpoint_of(&call);
        match &to {
            Endpoint::Store => {
                self.serial += 1;
                let ticket = self.serial;
                match self
                    .store
                    .handle(self.now, i, ticket, call.method, &call.path, &call.body)
                {
                    Some((status, mut body)) => {
                        if self.controllers[i].old && status == 200 {
                            body = first_version::reads(&call.path, body);
                        }
                        let late = self.faults.store_answer_delay(i, &call);
                        self.answer_late(to, i, run, id, status, body, late);
                    }
                    None => {
                        self.watchers.insert(ticket, (i, run, id));
                    }
                }
            }
            Endpoint::Cloud => {
                let (status, body) = self.cloud(&call);
                self.answer(to, i, run, id, status, body);
            }
            Endpoint::Agent(name) => {
                if let Some(until) = self.hung(name) {
                    self.schedule(until + 20, Event::Arrive(i, run, id, call));
                    return;
                }
                let now = self.now;
                let Some(w) = self.agents.get_mut(name).filter(|w| w.alive) else {
                    return;
                };
                if now > w.lease_renewed_at + self.lease_s * SECOND {
                    w.expire_session();
                    w.lease_renewed_at = now;
                }
                let o: AgentCommands = decode(&call.body).expect("orders");
                let status = if o.term < w.term || o.agent_epoch != w.agent_epoch {
                    409
                } else {
                    w.term = o.term;
                    200
                };
                if status == 200 {
                    self.execute(name, o.commands);
                }
                let body = encode(&self.agents.get_mut(name).unwrap().heartbeat());
                self.answer(to, i, run, id, status, body);
            }
            Endpoint::Controller(j) => {
                if self.controllers[*j].node.is_none() {
                    return;
                }
                self.serial += 1;
                let conn = self.serial;
                let beat = call.path == "/heartbeat";
                let old = beat && (self.controllers[i].old || self.controllers[*j].old);
                let body = if old {
                    first_version::heartbeat(call.body)
                } else {
                    call.body
                };
                self.conns
                    .insert((*j, conn), PendingResponse::Peer(i, run, id, beat));
                let ev = NetworkEvent::Request {
                    conn,
                    internal: true,
                    method: call.method.into(),
                    path: call.path,
                    body,
                };
                self.deliver(*j, vec![ev]);
            }
        }
    }

    pub(super) fn heartbeat_answered(&mut self, name: &str, number: u64, status: u16, body: &[u8]) {
        let nodes = self.controllers.len();
        if let Some(until) = self.hung(name) {
            let (n, b) = (name.to_string(), body.to_vec());
            self.schedule(
                until + 10,
                Event::AgentHeartbeatResponse(n, number, status, b),
            );
            return;
        }
        let now = self.now;
        let Some(w) = self.agents.get_mut(name).filter(|w| w.alive) else {
            return;
        };
        let Some((agent_epoch, flying, sent)) = w.flying else {
            return;
        };
        if flying != number || now > sent + 4 * SECOND {
            return;
        }
        w.flying = None;
        match status {
            200 => {
                // Without a token it is dropped.
                let Some(a) = decode::<AgentHeartbeatResponse>(body) else {
                    return;
                };
                if a.term < w.term || agent_epoch != w.agent_epoch {
                    return;
                }
                if a.term > w.term {
                    w.term = a.term;
                    if now >= w.term_changed_at + self.lease_s * SECOND / 2 {
                        w.term_changed_at = now;
                        w.next_heartbeat_at = w.next_heartbeat_at.min(now + SECOND / 2);
                    }
                }
                w.lease_renewed_at = sent;
                self.execute(name, a.commands);
            }
            421 => {
                let m: Misdirected = decode(body).unwrap_or_default();
                let to = m
                    .leader
                    .and_then(|l| l.strip_prefix("kernel-").and_then(|n| n.parse().ok()))
                    .filter(|n: &usize| *n != w.controller && *n < nodes);
                match to {
                    Some(n) => {
                        w.controller = n;
                        w.next_heartbeat_at = now;
                    }
                    None => {
                        w.controller = (w.controller + 1) % nodes;
                        w.next_heartbeat_at = now + SECOND;
                    }
                }
            }
            _ => {
                w.controller = (w.controller + 1) % nodes;
                w.next_heartbeat_at = now + SECOND;
            }
        }
    }
}
