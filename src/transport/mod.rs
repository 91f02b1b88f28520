//! Sockets: one thread owns them all and trades messages with the actors.
//!
//! The thread serves HTTP and makes calls with deadlines; it knows nothing of what the
//! messages mean.

pub mod http;
pub mod net;

use crate::protocol::Micros;
use std::net::SocketAddr;

/// What the network thread is told to do.
#[derive(Debug)]
pub enum NetworkCommand {
    /// Answer a request.
    Respond {
        /// Which request.
        conn: u64,
        /// Status.
        status: u16,
        /// Body.
        body: Vec<u8>,
        /// Seconds for `Retry-After`.
        retry_after: Option<u32>,
    },
    /// Make a call.
    Call(Call),
}

/// A call to another process.
#[derive(Debug, Clone)]
pub struct Call {
    /// Ours, comes back with the outcome.
    pub id: u64,
    /// Where to.
    pub addr: SocketAddr,
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// How long it may take in all.
    pub timeout: Micros,
}

/// What the network thread tells.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A request came in.
    Request {
        /// Names the request in the answer.
        conn: u64,
        /// It came to the peers' address.
        internal: bool,
        /// Method.
        method: String,
        /// Path.
        path: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A call is over.
    Answer {
        /// The call's number.
        id: u64,
        /// How it went.
        outcome: Outcome,
    },
}

/// How a call went.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// An answer came.
    Reply {
        /// Status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// Nothing was ever sent: the connection did not come about.
    NotSent,
    /// Sent, wholly or in part, and no answer came: it may yet be carried out.
    Lost,
}
