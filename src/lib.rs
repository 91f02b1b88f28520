//! walnuttrestle, a cluster scheduler: one program for every controller of a deployment.
//!
//! Modules from the edge inwards: [`transport`] owns sockets, [`protocol`] defines messages, stored records and
//! settings, [`state`] caches what the key-value store and the agents have told, [`scheduling`] decides one pass,
//! [`agents`], [`cloud`], [`records`], [`api`] and [`leadership`] act on it, and [`controller`] dispatches messages.

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
