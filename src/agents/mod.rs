//! The leader's view of agents: heartbeats, lease expiry, reconciliation, commands and failure history.

pub mod commands;
pub mod failure_history;
pub mod heartbeats;
pub mod leader_state;
pub mod lease_expiry;
pub mod reconciliation;
pub mod renewed_machines;
pub mod timers;
