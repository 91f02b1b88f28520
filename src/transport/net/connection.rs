//! One TCP connection: its role, its buffers, and reading and writing without blocking.

use crate::protocol::Micros;
use crate::transport::http;
use mio::Interest;
use mio::event::Event;
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

/// Bytes that one call to the operating system reads at most.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Unparsed bytes of a client after which reading pauses.
const MAX_SERVER_INPUT_BYTES: usize = 2 * http::MAX_BODY_BYTES;

/// What a socket is ready for.
#[derive(Clone, Copy)]
pub(super) struct Readiness {
    pub(super) readable: bool,
    pub(super) writable: bool,
    /// The other side will send no more, or the connection has failed.
    pub(super) ended: bool,
}

impl From<&Event> for Readiness {
    fn from(event: &Event) -> Readiness {
        let ended = event.is_error() || event.is_read_closed() || event.is_write_closed();
        Readiness {
            readable: event.is_readable() || ended,
            writable: event.is_writable() || ended,
            ended,
        }
    }
}

/// Which side of the connection we are.
pub(super) enum Role {
    /// The other side opened the connection and sends requests.
    Server(ServerRole),
    /// We opened the connection and make calls.
    Client(ClientRole),
}

/// State of a connection on which we serve requests, one at a time.
pub(super) struct ServerRole {
    /// The connection was made to the address for other controllers.
    pub(super) internal: bool,
    /// Id of the connection in `NetworkEvent::Request` and `NetworkCommand::Respond`.
    pub(super) id: u64,
    /// A request was passed on, and its response has not come yet.
    pub(super) busy: bool,
    /// The connection is closed after the response to the present request.
    pub(super) close_after_response: bool,
}

/// State of a connection on which we make calls, one at a time.
pub(super) struct ClientRole {
    /// Id of the call that waits for its response; `None`: the connection is idle.
    pub(super) call: Option<u64>,
    /// The connection attempt has succeeded.
    pub(super) connected: bool,
}

/// How far a connection attempt is.
pub(super) enum ConnectProgress {
    Connected,
    Pending,
    Failed,
}

/// How far the output of a connection is written.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum WriteProgress {
    /// All of it is written.
    Done,
    /// The socket takes no more for now.
    Blocked,
    /// The connection has failed.
    Broken,
}

/// A TCP connection.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// Address of the other side.
    pub(super) remote: SocketAddr,
    pub(super) role: Role,
    /// Received bytes that are not parsed yet.
    pub(super) input: Vec<u8>,
    /// Bytes to send.
    pub(super) output: Vec<u8>,
    /// Number of bytes of `output` that are written.
    written: usize,
    /// When the connection is closed unless its deadline is moved.
    pub(super) deadline: Micros,
    /// The event loop reports when the socket becomes writable.
    pub(super) awaits_writable: bool,
}

impl Connection {
    pub(super) fn new(
        stream: TcpStream,
        remote: SocketAddr,
        role: Role,
        deadline: Micros,
    ) -> Connection {
        // A client's socket becomes writable when its connection attempt ends.
        let awaits_writable = matches!(role, Role::Client(_));
        Connection {
            stream,
            remote,
            role,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            deadline,
            awaits_writable,
        }
    }

    /// Returns the events that the event loop has to report.
    pub(super) fn interest(&self) -> Interest {
        if self.awaits_writable {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        }
    }

    /// Returns whether nobody waits for a response on this connection.
    pub(super) fn is_idle(&self) -> bool {
        match &self.role {
            Role::Server(server) => !server.busy,
            Role::Client(client) => client.call.is_none(),
        }
    }

    /// Returns whether this is a connection that we keep for later calls.
    pub(super) fn is_idle_client(&self) -> bool {
        matches!(&self.role, Role::Client(client) if client.call.is_none())
    }

    /// Replaces both buffers by the request of a new call.
    pub(super) fn set_request(&mut self, request: Vec<u8>) {
        self.output = request;
        self.written = 0;
        self.input.clear();
    }

    /// Checks whether the connection attempt of a client has ended.
    pub(super) fn finish_connect(&mut self) -> ConnectProgress {
        let client = match &mut self.role {
            Role::Client(client) if !client.connected => client,
            _ => return ConnectProgress::Connected,
        };
        match self.stream.take_error() {
            Ok(None) if self.stream.peer_addr().is_ok() => {
                client.connected = true;
                ConnectProgress::Connected
            }
            Ok(None) => ConnectProgress::Pending,
            _ => ConnectProgress::Failed,
        }
    }

    /// Writes as much of the output as the socket takes.
    pub(super) fn write_output(&mut self) -> WriteProgress {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return WriteProgress::Blocked;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return WriteProgress::Broken,
            }
        }
        self.output.clear();
        self.written = 0;
        WriteProgress::Done
    }

    /// Reads what has arrived; returns whether the connection has ended. `ended`: the event loop has reported that
    /// the other side will send no more, so the end is read even if the socket seems empty.
    pub(super) fn read_input(&mut self, ended: bool) -> bool {
        let is_server = matches!(self.role, Role::Server(_));
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return true,
                Ok(count) => {
                    self.input.extend_from_slice(&chunk[..count]);
                    if is_server && self.input.len() > MAX_SERVER_INPUT_BYTES {
                        return false;
                    }
                    // A short read has emptied the socket; the event loop reports what comes later.
                    if count < chunk.len() && !ended {
                        return false;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
    }
}
