//! Transport: the network thread, which owns all sockets, and the messages that it exchanges with the controller.
//!
//! The thread serves HTTP and makes calls with a time limit. It knows nothing of the contents of the messages.

pub mod http;
pub mod net;

use crate::protocol::Micros;
use std::net::SocketAddr;

/// A command of the controller to the network thread.
#[derive(Debug)]
pub enum NetworkCommand {
    /// Send the response to a request.
    Respond {
        /// Id of the connection, as in [`NetworkEvent::Request`].
        conn: u64,
        /// Status code.
        status: u16,
        /// Body.
        body: Vec<u8>,
        /// Value of the `Retry-After` header, in seconds.
        retry_after: Option<u32>,
    },
    /// Make a call.
    Call(Call),
}

/// A call to another process: a request whose response is awaited.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the call, which comes back in [`NetworkEvent::CallFinished`].
    pub id: u64,
    /// Address of the process.
    pub addr: SocketAddr,
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Time limit for the whole call.
    pub timeout: Micros,
}

/// An event that the network thread reports to the controller.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A request has arrived.
    Request {
        /// Id of the connection. A connection has one request at a time, so the id also identifies the request.
        conn: u64,
        /// Whether it arrived at the address for other controllers.
        internal: bool,
        /// Method.
        method: String,
        /// Path and query.
        path: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A call has ended.
    CallFinished {
        /// Id of the call.
        id: u64,
        /// Result of the call.
        outcome: Outcome,
    },
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A response has arrived.
    Response {
        /// Status code.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// Nothing was sent, because no connection was established.
    NotSent,
    /// The request was sent, at least in part, and no response has arrived: it may still be executed later.
    Lost,
}
