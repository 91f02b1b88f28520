//! Whether an agent hears us. Its reports prove what they say, and nothing about the other direction: a
//! machine may be heard for minutes while no answer and no command reaches it.
//!
//! Signs that it hears: it shows our term; it has answered a direct command; or it has kept a session for longer
//! than a lease lasts without answers. Signs that it does not: a new session, since a lease has run out although
//! we were answering; or a direct command without an answer while its own reports go on coming to us. Reports
//! that peers hand on say nothing about the way between it and us.

use crate::protocol::Micros;

/// What is known of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AgentReachability {
    /// It has shown in its present session that it hears.
    shown: bool,
    /// Since when direct commands have gone without an answer; none: the last was answered.
    lost: Option<Micros>,
    /// When a report last came to us directly.
    direct: Micros,
    /// Since when it has been suspected of hearing nothing.
    suspected: Option<Micros>,
}

impl Default for AgentReachability {
    fn default() -> AgentReachability {
        AgentReachability {
            // Whoever is met for the first time has our term to show before anything is started there.
            shown: true,
            lost: None,
            direct: Micros::ZERO,
            suspected: None,
        }
    }
}

impl AgentReachability {
    /// Whether new tasks may go there.
    pub fn hears(&self) -> bool {
        self.shown && self.lost.is_none_or(|t| self.direct <= t)
    }

    /// Since when it seems to hear nothing.
    pub fn suspected_since(&self) -> Option<Micros> {
        self.suspected
    }

    /// A new session has begun: a lease has run out, or the machine began anew.
    pub fn began(&mut self, now: Micros) {
        self.shown = false;
        self.look(now);
    }

    /// It has shown something that it can only have from us or from those who act for us.
    pub fn showed(&mut self, now: Micros) {
        self.shown = true;
        self.look(now);
    }

    /// It has answered direct commands.
    pub fn answered(&mut self, now: Micros) {
        self.lost = None;
        self.showed(now);
    }

    /// Direct commands got no answer.
    pub fn unanswered(&mut self, now: Micros) {
        self.lost = self.lost.or(Some(now));
        self.look(now);
    }

    /// A report of its own has come to us directly.
    pub fn reported(&mut self, now: Micros) {
        self.direct = now;
        self.look(now);
    }

    fn look(&mut self, now: Micros) {
        self.suspected = match self.hears() {
            true => None,
            false => self.suspected.or(Some(now)),
        };
    }
}

#[cfg(test)]
mod tests;
