//! Whether an agent receives what we send it. Its heartbeats show only that it can send: an agent may be heard for
//! minutes while no response and no command reaches it.
//!
//! It receives if it reports our term, has answered a direct command, or has kept its epoch for longer than a lease
//! lasts without renewal. It does not receive if it starts a new epoch, since its lease has expired although we were
//! answering; or if a direct command stays unanswered while its own heartbeats go on arriving here. Heartbeats that
//! peers relay say nothing about the path between the agent and us.

use crate::protocol::Micros;

/// What is known about the path from us to an agent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AgentReachability {
    /// Whether the agent has shown in its present epoch that it receives.
    confirmed: bool,
    /// Since when direct commands have stayed unanswered; `None`: the last was answered.
    unanswered_since: Option<Micros>,
    /// When the last heartbeat arrived here directly.
    last_direct_heartbeat: Micros,
    /// Since when the agent has been suspected of not receiving.
    suspected_since: Option<Micros>,
}

impl Default for AgentReachability {
    fn default() -> AgentReachability {
        AgentReachability {
            // Nothing is started on a new agent before it has reported our term, which confirms the path.
            confirmed: true,
            unanswered_since: None,
            last_direct_heartbeat: Micros::ZERO,
            suspected_since: None,
        }
    }
}

impl AgentReachability {
    /// Whether new tasks may be placed on the agent.
    pub fn is_reachable(&self) -> bool {
        let still_sends = |since: Micros| self.last_direct_heartbeat > since;
        self.confirmed && !self.unanswered_since.is_some_and(still_sends)
    }

    /// Since when the agent seems to receive nothing.
    pub fn suspected_since(&self) -> Option<Micros> {
        self.suspected_since
    }

    /// A new epoch has begun: the agent's lease has expired, or the agent was restarted.
    pub fn on_new_epoch(&mut self, now: Micros) {
        self.confirmed = false;
        self.update_suspicion(now);
    }

    /// The agent has reported something that it can only have from us or from a peer that acts for us.
    pub fn on_confirmation(&mut self, now: Micros) {
        self.confirmed = true;
        self.update_suspicion(now);
    }

    /// The agent has answered direct commands.
    pub fn on_commands_answered(&mut self, now: Micros) {
        self.unanswered_since = None;
        self.on_confirmation(now);
    }

    /// Direct commands were not answered.
    pub fn on_commands_unanswered(&mut self, now: Micros) {
        self.unanswered_since = self.unanswered_since.or(Some(now));
        self.update_suspicion(now);
    }

    /// A heartbeat of the agent has arrived here directly.
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
