//! Reachability of the store and the peers, and the behaviour of an isolated controller.
//!
//! A controller that has lost contact with both the key-value store and all peers may be partitioned from them, or
//! all of them may have failed. It cannot distinguish the two cases, so it takes measures that are safe in both. Its
//! health check fails, so that load balancers send clients to other controllers, which may be able to serve them. It
//! redirects each agent once, so that a new leader can take over the agent. An agent that returns has found no other
//! leader, and is served as long as line 10 of docs/safety.md allows. If an agent's lease does not outlast failed
//! heartbeats to the other controllers, agents are not redirected and are served within the same limit.

use crate::protocol::Micros;
use std::collections::BTreeMap;

/// Time without contact with the store and all peers after which a controller counts as isolated. A leader's lease in
/// the store has expired by then, and a follower, which sends a request every second, has had several chances of
/// contact.
const ISOLATION_TIMEOUT: Micros = Micros::millis(5_000);
/// A longer interval between two calls of `tick` means that this process was suspended; time without contact
/// before the process resumed is not counted.
const SUSPENSION_THRESHOLD: Micros = Micros::millis(1_500);
/// Each health check failure within this time of the previous one doubles the time without contact that leads to
/// the next failure, since the load balancer's own backoff doubles up to a minute.
const BACKOFF_RESET: Micros = Micros::millis(120_000);
/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// An agent is redirected at most once within this time.
const MIN_REDIRECT_INTERVAL: Micros = Micros::millis(30_000);
/// Maximum number of machines in `redirected_at`, which is cleared when this number is reached.
const MAX_REMEMBERED_MACHINES: usize = 8_192;

/// Times of the last contact with the store, the peers and agents of other zones.
#[derive(Debug, Default)]
pub struct Connectivity {
    last_store_contact: Micros,
    last_peer_contact: Micros,
    /// When an agent of another zone last sent a heartbeat, which shows that this zone is reachable from outside.
    last_remote_agent_contact: Micros,
    last_tick: Micros,
    health_check: HealthCheck,
    /// Whether an agent's lease outlasts failed heartbeats to all other controllers.
    redirect_is_safe: bool,
    /// Per machine, when its agent was last redirected.
    redirected_at: BTreeMap<String, Micros>,
}

/// State of the health check.
#[derive(Debug, Clone, Copy, Default)]
struct HealthCheck {
    failing: bool,
    /// When it last began to fail.
    failed_at: Micros,
    /// Number of failures that each began within `BACKOFF_RESET` of the previous one.
    recent_failures: u32,
}

impl HealthCheck {
    /// Updates the state; `silence` is the time since the last contact with the store or any peer.
    fn update(&mut self, now: Micros, silence: Micros) {
        if !self.failing && now.since(self.failed_at) > BACKOFF_RESET {
            self.recent_failures = 0;
        }
        let doublings = self.recent_failures.min(MAX_BACKOFF_DOUBLINGS);
        let failure_threshold = Micros(ISOLATION_TIMEOUT.0 << doublings);
        if self.failing {
            self.failing = silence > ISOLATION_TIMEOUT;
        } else if silence > failure_threshold {
            self.failing = true;
            self.failed_at = now;
            self.recent_failures += 1;
        }
    }
}

impl Connectivity {
    /// The state of a controller that starts at `now`, which counts as the last contact with the store and the
    /// peers. `redirect_is_safe`: whether an agent's lease outlasts failed heartbeats to all other controllers.
    pub fn new(now: Micros, redirect_is_safe: bool) -> Connectivity {
        Connectivity {
            last_store_contact: now,
            last_peer_contact: now,
            last_tick: now,
            redirect_is_safe,
            ..Connectivity::default()
        }
    }

    /// Records that the store has responded to a request.
    pub fn on_store_contact(&mut self, now: Micros) {
        self.last_store_contact = now;
    }

    /// Records that a peer has sent a heartbeat or responded to one.
    pub fn on_peer_contact(&mut self, now: Micros) {
        self.last_peer_contact = now;
    }

    /// Records that an agent of another zone has sent a heartbeat.
    pub fn on_remote_agent_contact(&mut self, now: Micros) {
        self.last_remote_agent_contact = now;
    }

    /// Updates the health check; called at each step of the controller.
    pub fn tick(&mut self, now: Micros) {
        if now.since(self.last_tick) > SUSPENSION_THRESHOLD {
            self.last_store_contact = now;
            self.last_peer_contact = now;
        }
        self.last_tick = now;
        let silence = self.silence(now);
        self.health_check.update(now, silence);
    }

    /// Time of the last contact with the store or a peer.
    fn last_contact(&self) -> Micros {
        self.last_store_contact.max(self.last_peer_contact)
    }

    fn silence(&self, now: Micros) -> Micros {
        now.since(self.last_contact())
    }

    /// Whether there has been no contact with the store or any peer for longer than `ISOLATION_TIMEOUT`.
    pub fn is_isolated(&self, now: Micros) -> bool {
        self.silence(now) > ISOLATION_TIMEOUT
    }

    /// Whether the health check fails, so that clients go to other controllers.
    pub fn health_check_failing(&self) -> bool {
        self.health_check.failing
    }

    /// Whether an agent should try another controller first; if so, records that it was redirected.
    ///
    /// Without heartbeats from agents of other zones, this zone may be partitioned from the others, and this
    /// controller may be the only one that its agents reach. They are not redirected in that case.
    pub fn should_redirect(&mut self, machine: &str, now: Micros) -> bool {
        let zone_reachable =
            self.last_remote_agent_contact > self.last_contact() + ISOLATION_TIMEOUT;
        if !self.redirect_is_safe || !self.is_isolated(now) || !zone_reachable {
            return false;
        }
        let redirected_at = self.redirected_at.get(machine);
        if redirected_at.is_some_and(|at| now.since(*at) < MIN_REDIRECT_INTERVAL) {
            return false;
        }
        if self.redirected_at.len() >= MAX_REMEMBERED_MACHINES {
            self.redirected_at.clear();
        }
        self.redirected_at.insert(machine.to_string(), now);
        true
    }
}

#[cfg(test)]
mod tests;
