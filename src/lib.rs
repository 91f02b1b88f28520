//! walnuttrestle, a cluster scheduler. All controllers of a deployment run the same program, and one of them leads.
//!
//! The modules, from the network inwards:
//!
//! - [`transport`] owns all sockets and runs on its own thread.
//! - [`protocol`] defines messages, stored records and settings, and validates them.
//! - [`messages`] links requests that a controller makes to what it does with their results.
//! - [`controller`] dispatches each event to one of the components below.
//! - [`state`] caches the records of the key-value store and the state of agents.
//! - [`leadership`] elects the leader, exchanges heartbeats with peers and delegates lease renewals.
//! - [`api`] serves clients.
//! - [`agents`] answers heartbeats of agents and sends them commands.
//! - [`records`] writes job records and batches of placements.
//! - [`scheduling`] decides which tasks start where.
//! - [`cloud`] rents and deletes machines.
//! - [`policy`] holds the parameters that a deployment may tune.

#![deny(missing_docs)]

pub mod agents;
pub mod api;
pub mod cloud;
pub mod controller;
pub mod leadership;
pub mod messages;
pub mod policy;
pub mod protocol;
pub mod records;
pub mod scheduling;
pub mod state;
pub mod transport;
