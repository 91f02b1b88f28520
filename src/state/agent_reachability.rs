//! Reachability of an agent: whether our messages arrive there. Heartbeats show only the other direction. An agent may
//! send them for minutes while no response or command reaches it.
//!
//! An agent counts as reachable once it reports our term, answers a direct command, or keeps its epoch for longer than
//! a lease lasts without renewal. It counts as unreachable if it begins a new epoch, since its lease has then expired
//! although we answered its heartbeats, or if a direct command stays unanswered while heartbeats keep arriving directly
//! from the agent. Heartbeats relayed by peers show nothing about the path between the agent and this controller.

use crate::protocol::Micros;

/// Observations of the path from this controller to an agent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AgentReachability {
    /// Whether the agent has shown in its current epoch that our messages reach it.
    confirmed: bool,
    /// When the first of the consecutive unanswered commands failed; `None` if the last command was answered.
    unanswered_since: Option<Micros>,
    /// When the last heartbeat arrived directly from the agent.
    last_direct_heartbeat: Micros,
    /// Since when the agent has been suspected to be unreachable.
    suspected_since: Option<Micros>,
}

impl Default for AgentReachability {
    fn default() -> AgentReachability {
        AgentReachability {
            // No task is started on a new agent before it has reported our term, which confirms the path.
            confirmed: true,
            unanswered_since: None,
            last_direct_heartbeat: Micros::ZERO,
            suspected_since: None,
        }
    }
}

impl AgentReachability {
    /// Whether the agent counts as reachable, so that new tasks may be placed on it.
    pub fn is_reachable(&self) -> bool {
        let still_sends = |since: Micros| self.last_direct_heartbeat > since;
        self.confirmed && !self.unanswered_since.is_some_and(still_sends)
    }

    /// Since when the agent has been suspected to be unreachable; `None` if it counts as reachable.
    pub fn suspected_since(&self) -> Option<Micros> {
        self.suspected_since
    }

    /// Handles a new epoch: the agent's lease has expired, or the agent was restarted.
    pub fn on_new_epoch(&mut self, now: Micros) {
        self.confirmed = false;
        self.update_suspicion(now);
    }

    /// Handles a report with information that only this controller, or a peer acting for it, can have sent to the
    /// agent.
    pub fn on_confirmation(&mut self, now: Micros) {
        self.confirmed = true;
        self.update_suspicion(now);
    }

    /// Handles a response to direct commands.
    pub fn on_commands_answered(&mut self, now: Micros) {
        self.unanswered_since = None;
        self.on_confirmation(now);
    }

    /// Handles direct commands that were not answered.
    pub fn on_commands_unanswered(&mut self, now: Micros) {
        self.unanswered_since = self.unanswered_since.or(Some(now));
        self.update_suspicion(now);
    }

    /// Handles a heartbeat that came directly from the agent.
    pub fn on_direct_heartbeat(&mut self, now: Micros) {
        self.last_direct_heartbeat = now;
        self.update_suspicion(now);
    }

    fn update_suspicion(&mut self, now: Micros) {
        self.suspected_since = match self.is_reachable() {
            true => None,
            false => self.suspected_since.or(Some(now)),
        };
    }
}

#[cfg(test)]
mod tests;
