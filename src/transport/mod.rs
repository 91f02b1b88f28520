//! The network thread, which owns all sockets, and the commands and events that it exchanges with the controller.
//!
//! The thread serves HTTP requests and makes HTTP calls with a timeout. It does not interpret message bodies.

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

/// An HTTP call to another process.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the call, repeated in [`NetworkEvent::CallFinished`].
    pub id: u64,
    /// Address of the process.
    pub addr: SocketAddr,
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Timeout of the whole call, including connecting.
    pub timeout: Micros,
}

/// An event that the network thread reports to the controller.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A request was received.
    Request {
        /// Id of the connection. A connection has one request at a time, so the id also identifies the request.
        conn: u64,
        /// Whether it was received at the address for other controllers.
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
    /// A response was received.
    Response {
        /// Status code.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// Nothing was sent, because no connection was established.
    NotSent,
    /// A connection was established and no complete response was received. The request may have been executed, or may
    /// still be executed later.
    Lost,
}
