//! The event loop: one queue of events, ordered by simulated time and then by the order of scheduling.

use super::*;

/// Interval at which agents act and invariants are checked, in microseconds.
const TICK_INTERVAL: u64 = 50_000;
/// Wall-clock time at simulated time 0, in microseconds since the Unix epoch.
const WALL_CLOCK_OFFSET: u64 = 1_700_000_000 * SECOND;

/// An event with a scheduled time.
pub(super) enum Event {
    ControllerWake {
        controller: usize,
        incarnation: u64,
    },
    ControllerRestart(usize),
    /// A controller's call arrives at its destination.
    CallArrival {
        key: CallKey,
        call: Call,
    },
    /// The answer to a controller's call arrives.
    CallAnswer {
        key: CallKey,
        outcome: Outcome,
    },
    CallTimeout(CallKey),
    /// An agent's heartbeat arrives at a controller.
    AgentHeartbeat {
        machine: String,
        controller: usize,
        seq: u64,
        body: Vec<u8>,
    },
    /// The response to an agent's heartbeat arrives at the agent.
    AgentHeartbeatResponse {
        machine: String,
        seq: u64,
        status: u16,
        body: Vec<u8>,
    },
    Tick,
    Action(Box<dyn FnOnce(&mut Simulation)>),
}

impl Simulation {
    pub(super) fn schedule(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.events.insert(self.serial, event);
        self.queue.push(Reverse((at.max(self.now), self.serial)));
    }

    /// Runs an action after `delay` microseconds.
    pub fn after(&mut self, delay: u64, action: impl FnOnce(&mut Simulation) + 'static) {
        self.schedule(self.now + delay, Event::Action(Box::new(action)));
    }

    pub(super) fn clock(&self) -> Clock {
        Clock {
            now: Micros(self.now),
            wall: Micros(WALL_CLOCK_OFFSET + self.now),
        }
    }

    /// Runs the simulation for this many seconds; panics on the first violation of an invariant.
    pub fn run_seconds(&mut self, seconds: u64) {
        self.run_micros(seconds * SECOND);
    }

    /// Runs the simulation for this many microseconds; panics on the first violation of an invariant.
    pub fn run_micros(&mut self, duration: u64) {
        let end = self.now + duration;
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&serial) {
                self.handle_event(event);
            }
            self.answer_watches();
            if let Some(violation) = &self.violation {
                panic!("{violation}\n{}", self.dump());
            }
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ControllerWake {
                controller,
                incarnation,
            } => {
                let slot = &self.controllers[controller];
                if slot.incarnation == incarnation && slot.next_wake_at <= self.now {
                    self.deliver(controller, Vec::new());
                }
            }
            Event::ControllerRestart(controller) => self.boot_controller(controller),
            Event::CallTimeout(key) => self.complete_call(key, Outcome::Lost),
            Event::CallAnswer { key, outcome } => self.complete_call(key, outcome),
            Event::CallArrival { key, call } => self.handle_call(key, call),
            Event::AgentHeartbeat {
                machine,
                controller,
                seq,
                body,
            } => {
                if self.controllers[controller].process.is_none() {
                    return;
                }
                let pending = PendingResponse::AgentHeartbeat { machine, seq };
                self.request(controller, pending, "POST", "/hello".into(), body);
            }
            Event::AgentHeartbeatResponse {
                machine,
                seq,
                status,
                body,
            } => self.heartbeat_answered(&machine, seq, status, &body),
            Event::Tick => self.tick(),
            Event::Action(action) => action(self),
        }
    }

    /// Delivers the first outcome of a call to the controller, unless it has restarted since the call. Later outcomes
    /// of the same call are ignored.
    fn complete_call(&mut self, key: CallKey, outcome: Outcome) {
        let was_pending = self.pending_calls.remove(&key);
        if was_pending && self.controllers[key.controller].incarnation == key.incarnation {
            let id = key.call_id;
            self.deliver(
                key.controller,
                vec![NetworkEvent::CallFinished { id, outcome }],
            );
        }
    }

    fn answer_watches(&mut self) {
        for (ticket, body) in self.store.take_ready_watches(self.now) {
            let Some(key) = self.watch_calls.remove(&ticket) else {
                continue;
            };
            let body = if self.controllers[key.controller].first_version {
                first_version::convert_store_response("/watch", body)
            } else {
                body
            };
            let delay = self.watch_delays.get(&key.controller).copied();
            self.answer_with_delay(Endpoint::Store, key, 200, body, delay.unwrap_or(0));
        }
    }

    fn tick(&mut self) {
        self.store.expire(self.now);
        self.start_booted_machines();
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            self.agent_tick(&name);
        }
        self.update_gangs();
        self.check_running_tasks();
        self.inject_client_and_heartbeat_faults();
        self.schedule(self.now + TICK_INTERVAL, Event::Tick);
    }
}
