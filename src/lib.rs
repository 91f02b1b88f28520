//! walnuttrestle, a cluster scheduler: one program for every controller of a deployment.
//!
//! Layers, from the outside in: [`transport`] owns sockets, [`protocol`] knows the wire's words,
//! [`bookkeeping`] keeps what store and workers have told, [`coordination`] decides.

pub mod bookkeeping;
pub mod coordination;
pub mod protocol;
pub mod shell;
pub mod transport;
