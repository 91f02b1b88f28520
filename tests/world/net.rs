//! The network between controllers, agents, state service and cloud.

use super::*;

impl World {
    pub(super) fn across(&self, a: &Party, b: &Party) -> Option<(Cut, u64)> {
        self.cuts
            .iter()
            .filter(|(x, y, _, until)| {
                *until > self.now && ((x == a && y == b) || (x == b && y == a))
            })
            .map(|(_, _, how, until)| (*how, *until))
            .max_by_key(|c| c.1)
    }

    pub(super) fn latency(&mut self) -> u64 {
        self.rng.random_range(500..4000) + self.troubles.slow_link(&mut self.rng)
    }

    pub(super) fn party(&self, call: &Call) -> Party {
        let text = call.addr.to_string();
        if text == "10.2.0.1:2379" {
            Party::StoreClient
        } else if text == "10.2.0.2:8443" {
            Party::Cloud
        } else if let Some(n) = text
            .strip_prefix("10.0.0.")
            .and_then(|r| r.split(':').next())
        {
            Party::Controller(n.parse::<usize>().unwrap() - 1)
        } else {
            let rest = text.strip_prefix("10.1.").and_then(|r| r.split(':').next());
            let (high, low) = rest.and_then(|r| r.split_once('.')).unwrap();
            let index = high.parse::<usize>().unwrap() * 200 + low.parse::<usize>().unwrap();
            Party::Agent(format!("n-{index:06}"))
        }
    }

    /// Hands messages to a node and carries out what it wants.
    pub(super) fn deliver(&mut self, i: usize, events: Vec<NetworkEvent>) {
        let clock = self.clock();
        let old = self.nodes[i].old;
        if self.nodes[i].frozen > self.now {
            self.nodes[i].held.extend(events);
            return;
        }
        let mut all = std::mem::take(&mut self.nodes[i].held);
        all.extend(events);
        let events = all;
        let Some(node) = self.nodes[i].node.as_mut() else {
            return;
        };
        let events = if old {
            events.into_iter().map(old::hears).collect()
        } else {
            events
        };
        let (cmds, next) = node.handle(clock, events);
        let run = self.nodes[i].run;
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
        if self.nodes[i].wake <= self.now || at < self.nodes[i].wake {
            self.nodes[i].wake = at;
            self.schedule(at, Ev::Wake(i, run));
        }
    }

    /// Counts what the controllers ask of others, by what it costs there.
    pub(super) fn count(&mut self, to: &Party, call: &Call) {
        match to {
            Party::StoreClient => {
                self.costs.requests += 1;
                if let Some(t) = decode::<Transaction>(&call.body).filter(|_| call.path == "/multi")
                {
                    self.costs.changes += t.changes.len();
                }
            }
            Party::Agent(_) => self.costs.orders += 1,
            _ => {}
        }
    }

    pub(super) fn send(&mut self, i: usize, run: u64, mut call: Call) {
        let to = self.party(&call);
        if self.nodes[i].old && to == Party::StoreClient && call.path == "/multi" {
            match old::writes(call.body) {
                Some(body) => call.body = body,
                // It never asks for this: the call is not made.
                None => return,
            }
        }
        self.count(&to, &call);
        self.check_orders(&to, &call);
        let key = (i, run, call.id);
        self.open.insert(key, ());
        self.schedule(self.now + call.timeout.0, Ev::Timeout(i, run, call.id));
        let mut at = self.now + self.latency();
        if self.troubles.lost(&Party::Controller(i), &to, self.now) {
            return;
        }
        match self.across(&Party::Controller(i), &to) {
            Some((Cut::Drop, _)) => return,
            Some((Cut::Hold, until)) => at = until + self.latency(),
            None => {}
        }
        if let (Party::Agent(_), Some(d)) = (&to, self.delay_orders) {
            at += d;
        }
        if let Party::Agent(name) = &to
            && self.troubles.mute(name, i, Mute::Commands, self.now)
        {
            return;
        }
        if let Some(late) = self.troubles.late_write(&call, &to, &mut self.rng) {
            // Whoever asked has given up by then.
            self.schedule(at + late, Ev::Arrive(i, run, call.id, call));
            return;
        }
        self.troubles.loses_answer(&call, &to, key, &mut self.rng);
        if let Some(late) = self.troubles.repeat(&call, &to, &mut self.rng) {
            let copy = Ev::Arrive(i, run, call.id, call.clone());
            self.schedule(at + late, copy);
        }
        self.schedule(at, Ev::Arrive(i, run, call.id, call));
    }

    pub(super) fn answer(
        &mut self,
        from: Party,
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
        from: Party,
        i: usize,
        run: u64,
        id: u64,
        status: u16,
        body: Vec<u8>,
        late: u64,
    ) {
        let mut at = self.now + self.latency() + late;
        if from == Party::StoreClient {
            at += self.slow_store;
        }
        if self.troubles.lost(&from, &Party::Controller(i), self.now)
            || self.troubles.answer_is_lost(&(i, run, id))
        {
            return;
        }
        match self.across(&Party::Controller(i), &from) {
            Some((Cut::Drop, _)) => return,
            Some((Cut::Hold, until)) => at = until + 1000,
            None => {}
        }
        if let Some(p) = self
            .lose_answers
            .iter()
            .position(|(p, until)| *p == from && *until > self.now)
        {
            let _ = p;
            return;
        }
        self.schedule(at, Ev::Return(i, run, id, Outcome::Reply { status, body }));
    }

    pub(super) fn respond(&mut self, i: usize, conn: u64, status: u16, body: Vec<u8>) {
        match self.conns.remove(&(i, conn)) {
            Some(Pending::AgentHeartbeat(name, number)) => {
                if self.troubles.mute(&name, i, Mute::Answers, self.now) {
                    return;
                }
                let mut at = self.now + self.latency();
                match self.across(&Party::Controller(i), &Party::Agent(name.clone())) {
                    Some((Cut::Drop, _)) => return,
                    Some((Cut::Hold, until)) => at = until + 1000,
                    None => {}
                }
                self.schedule(at, Ev::AgentHeartbeatResponse(name, number, status, body));
            }
            Some(Pending::Peer(from, run, id, beat)) => {
                let who = Party::Controller(i);
                let old = beat && (self.nodes[i].old || self.nodes[from].old);
                let body = if old { old::heartbeat(body) } else { body };
                self.answer(who, from, run, id, status, body);
            }
            Some(Pending::Health) => self.health = status,
            Some(Pending::Odd(what, right)) => self.odd_answered(what, right, status),
            Some(Pending::Submit(id, asked)) => self.user_heard(id, asked, "submit", status, &body),
            Some(Pending::Poll(id, asked)) => self.user_heard(id, asked, "poll", status, &body),
            Some(Pending::Cancel(id, asked)) => self.user_heard(id, asked, "cancel", status, &body),
            None => {}
        }
    }

    pub(super) fn arrive(&mut self, i: usize, run: u64, id: u64, call: Call) {
        let to = self.party(&call);
        match &to {
            Party::StoreClient => {
                self.serial += 1;
                let ticket = self.serial;
                match self
                    .store
                    .handle(self.now, i, ticket, call.method, &call.path, &call.body)
                {
                    Some((status, mut body)) => {
                        if self.nodes[i].old && status == 200 {
                            body = old::reads(&call.path, body);
                        }
                        let late = self.troubles.slow_answer(i, &call);
                        self.answer_late(to, i, run, id, status, body, late);
                    }
                    None => {
                        self.watchers.insert(ticket, (i, run, id));
                    }
                }
            }
            Party::Cloud => {
                let (status, body) = self.cloud(&call);
                self.answer(to, i, run, id, status, body);
            }
            Party::Agent(name) => {
                if let Some(until) = self.hung(name) {
                    self.schedule(until + 20, Ev::Arrive(i, run, id, call));
                    return;
                }
                let now = self.now;
                let Some(w) = self.agents.get_mut(name).filter(|w| w.alive) else {
                    return;
                };
                if now > w.lease_from + self.lease_s * SEC {
                    w.kill_all();
                    w.lease_from = now;
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
                let body = encode(&self.agents.get_mut(name).unwrap().report());
                self.answer(to, i, run, id, status, body);
            }
            Party::Controller(j) => {
                if self.nodes[*j].node.is_none() {
                    return;
                }
                self.serial += 1;
                let conn = self.serial;
                let beat = call.path == "/heartbeat";
                let old = beat && (self.nodes[i].old || self.nodes[*j].old);
                let body = if old {
                    old::heartbeat(call.body)
                } else {
                    call.body
                };
                self.conns
                    .insert((*j, conn), Pending::Peer(i, run, id, beat));
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

    pub(super) fn report_answered(&mut self, name: &str, number: u64, status: u16, body: &[u8]) {
        let nodes = self.nodes.len();
        if let Some(until) = self.hung(name) {
            let (n, b) = (name.to_string(), body.to_vec());
            self.schedule(until + 10, Ev::AgentHeartbeatResponse(n, number, status, b));
            return;
        }
        let now = self.now;
        let Some(w) = self.agents.get_mut(name).filter(|w| w.alive) else {
            return;
        };
        let Some((agent_epoch, flying, sent)) = w.flying else {
            return;
        };
        if flying != number || now > sent + 4 * SEC {
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
                    if now >= w.token_at + self.lease_s * SEC / 2 {
                        w.token_at = now;
                        w.report_at = w.report_at.min(now + SEC / 2);
                    }
                }
                w.lease_from = sent;
                self.execute(name, a.commands);
            }
            421 => {
                let m: Misdirected = decode(body).unwrap_or_default();
                let to = m
                    .leader
                    .and_then(|l| l.strip_prefix("kernel-").and_then(|n| n.parse().ok()))
                    .filter(|n: &usize| *n != w.node && *n < nodes);
                match to {
                    Some(n) => {
                        w.node = n;
                        w.report_at = now;
                    }
                    None => {
                        w.node = (w.node + 1) % nodes;
                        w.report_at = now + SEC;
                    }
                }
            }
            _ => {
                w.node = (w.node + 1) % nodes;
                w.report_at = now + SEC;
            }
        }
    }
}
