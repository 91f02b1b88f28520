//! Whom this controller still reaches, and what follows for those who come to it.
//!
//! One that hears neither the state service nor any peer may be cut off by itself, or the others may be gone. It
//! cannot tell, so it does what harms in neither case: it sends users away by its health check, since others may
//! serve them; and it sends an agent on once, so that whoever leads by now can have it. An agent that comes back
//! found nobody else, and is kept as long as line 10 of docs/safety.md allows. Where a lease has no room for trying
//! the others in vain, agents are kept that long in any case.

use crate::protocol::Micros;
use std::collections::BTreeMap;

/// Who hears nobody for this long is alone: a leader's lease in the store is over by then, and a follower asks the
/// store every second.
const ALONE: Micros = Micros::millis(5_000);
/// A longer pause between two looks at the clock was a standstill of our own: nobody else is judged by it.
const STANDSTILL: Micros = Micros::millis(1_500);
/// Each time within this span that users were sent away makes us wait twice as long before we do it again: the
/// load balancer's own pauses double, up to a minute.
const DAMPED: Micros = Micros::millis(120_000);
const MOST_DAMPED: u32 = 3;
/// An agent is sent on once in this time.
const SENT_ON: Micros = Micros::millis(30_000);
/// Names remembered; all are forgotten at once beyond that.
const NAMES: usize = 8_192;

/// Whom we have heard, and when.
#[derive(Debug, Default)]
pub struct Connectivity {
    store: Micros,
    peers: Micros,
    /// Agents of another zone: while they come, our zone is not cut off.
    elsewhere: Micros,
    looked: Micros,
    /// When users were last sent away, how often in a row, and whether they are now.
    away: (Micros, u32, bool),
    /// A lease has room for trying all others in vain.
    roomy: bool,
    sent_on: BTreeMap<String, Micros>,
}

impl Connectivity {
    /// Nothing is held against anybody yet. `roomy`: a lease has room for trying all others in vain.
    pub fn new(now: Micros, roomy: bool) -> Connectivity {
        Connectivity {
            store: now,
            peers: now,
            looked: now,
            roomy,
            ..Connectivity::default()
        }
    }

    /// The state service has answered.
    pub fn store(&mut self, now: Micros) {
        self.store = now;
    }

    /// A peer has been heard.
    pub fn peer(&mut self, now: Micros) {
        self.peers = now;
    }

    /// An agent of another zone has come to us.
    pub fn elsewhere(&mut self, now: Micros) {
        self.elsewhere = now;
    }

    /// Time passes.
    pub fn look(&mut self, now: Micros) {
        if now.since(self.looked) > STANDSTILL {
            self.store = now;
            self.peers = now;
        }
        self.looked = now;
        let (at, times, away) = self.away;
        let times = if now.since(at) > DAMPED && !away {
            0
        } else {
            times
        };
        let patience = Micros(ALONE.0 << times.min(MOST_DAMPED));
        self.away = if !away && self.unheard(now) > patience {
            (now, times + 1, true)
        } else {
            (at, times, away && self.alone(now))
        };
    }

    fn unheard(&self, now: Micros) -> Micros {
        now.since(self.store.max(self.peers))
    }

    /// Neither the state service nor any peer has been heard for a while.
    pub fn alone(&self, now: Micros) -> bool {
        self.unheard(now) > ALONE
    }

    /// Whether users had better go to others.
    pub fn sends_users_away(&self) -> bool {
        self.away.2
    }

    /// Whether an agent had better look for somebody else first. Not where nobody of another zone comes any more:
    /// then the zone may be cut off, and we all that its agents have.
    pub fn sends_on(&mut self, machine: &str, now: Micros) -> bool {
        let open = self.elsewhere > self.store.max(self.peers) + ALONE;
        if !self.roomy || !self.alone(now) || !open {
            return false;
        }
        let sent = self.sent_on.get(machine);
        if sent.is_some_and(|t| now.since(*t) < SENT_ON) {
            return false;
        }
        if self.sent_on.len() >= NAMES {
            self.sent_on.clear();
        }
        self.sent_on.insert(machine.to_string(), now);
        true
    }
}

#[cfg(test)]
mod tests;
