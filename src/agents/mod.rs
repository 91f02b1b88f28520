//! What the leader does with agents: heartbeats, leases, reconciliation, commands and failure history.

pub mod commands;
pub mod failure_history;
pub mod leader_state;
