//! Controllers: start, crash, pause and leadership.

use super::*;

impl Simulation {
    pub(super) fn boot_controller(&mut self, controller: usize) {
        let controller_count = self.controllers.len().max(3);
        let seed = self.rng.random();
        let clock = self.clock();
        let mut settings = settings(controller, controller_count);
        settings.params.state.write_rps = self.write_rps;
        settings.params.agents.lease_s = self.lease_s as f64;
        let slot = &mut self.controllers[controller];
        let announced = self.announced_limits.filter(|_| !slot.first_version);
        settings.params.state.next = announced.map(|limits| FutureStoreLimits {
            rps: None,
            write_rps: Some(limits.write_rps),
            value_kb: Some(limits.value_kb),
            txn_ops: Some(limits.txn_ops),
        });
        let policy = Policy {
            pledges: f64::from(u8::from(self.pledges)),
            ..Policy::default()
        };
        slot.process = Some(Controller::new(settings, policy, seed, clock));
        slot.incarnation += 1;
        slot.next_wake_at = 0;
        self.deliver(controller, Vec::new());
    }

    /// Selects the version that a controller runs after its next start: the first released one or the current one.
    pub fn set_first_version(&mut self, controller: usize, first_version: bool) {
        self.controllers[controller].first_version = first_version;
    }

    /// Pauses a controller's process for `duration` microseconds; its clock continues.
    pub fn pause_controller(&mut self, controller: usize, duration: u64) {
        self.controllers[controller].paused_until = self.now + duration;
        self.after(duration + 1, move |sim| sim.deliver(controller, Vec::new()));
    }

    /// Kills a controller and restarts it after `down_time` microseconds.
    pub fn crash_controller(&mut self, controller: usize, down_time: u64) {
        let slot = &mut self.controllers[controller];
        slot.process = None;
        slot.paused_until = 0;
        slot.queued_events.clear();
        self.reset_connections(controller);
        self.pending_responses
            .retain(|(server, _), _| *server != controller);
        self.schedule(self.now + down_time, Event::ControllerRestart(controller));
    }

    /// The term under which a controller leads; `None` if it does not lead.
    pub fn term_of_leader(&self, controller: usize) -> Option<u64> {
        let process = self.controllers[controller].process.as_ref()?;
        process.leader.as_ref().map(|leader| leader.term)
    }

    /// The controller that leads; the one with the highest term if several do.
    pub fn leader(&self) -> Option<usize> {
        (0..self.controllers.len())
            .filter(|controller| self.term_of_leader(*controller).is_some())
            .max_by_key(|controller| self.term_of_leader(*controller))
    }

    /// The leader's term; 0 if there is no leader.
    pub fn term(&self) -> u64 {
        self.leader()
            .and_then(|leader| self.term_of_leader(leader))
            .unwrap_or(0)
    }
}
