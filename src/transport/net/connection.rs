//! A TCP connection with its role, its buffers, and non-blocking reads and writes.

use crate::protocol::Micros;
use crate::transport::http;
use mio::Interest;
use mio::event::Event;
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

/// Maximum number of bytes per read call.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Number of unparsed bytes on an inbound connection above which reading pauses.
const MAX_SERVER_INPUT_BYTES: usize = 2 * http::MAX_BODY_BYTES;

/// Readiness of a socket.
#[derive(Clone, Copy)]
pub(super) struct Readiness {
    pub(super) readable: bool,
    pub(super) writable: bool,
    /// The remote side has finished sending, or the connection has failed.
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

/// Role of this process on a connection.
pub(super) enum Role {
    /// Inbound connection: the remote side sends requests.
    Server(ServerRole),
    /// Outbound connection: this process makes calls.
    Client(ClientRole),
}

/// State of an inbound connection, which serves one request at a time.
pub(super) struct ServerRole {
    /// The connection was made to the address for other controllers.
    pub(super) internal: bool,
    /// Id of the connection in `NetworkEvent::Request` and `NetworkCommand::Respond`.
    pub(super) id: u64,
    /// A request was passed to the controller, and its response is pending.
    pub(super) busy: bool,
    /// The connection is closed after the response to the current request.
    pub(super) close_after_response: bool,
}

/// State of an outbound connection, which makes one call at a time.
pub(super) struct ClientRole {
    /// Id of the pending call; `None`: the connection is idle.
    pub(super) call: Option<u64>,
    /// The connection is established.
    pub(super) connected: bool,
}

/// Progress of a connection attempt.
pub(super) enum ConnectProgress {
    Connected,
    Pending,
    Failed,
}

/// Progress of writing the output of a connection.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum WriteProgress {
    /// All output is written.
    Done,
    /// The send buffer of the socket is full.
    Blocked,
    /// The connection has failed.
    Broken,
}

/// A TCP connection.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// Address of the remote side.
    pub(super) remote: SocketAddr,
    pub(super) role: Role,
    /// Received bytes that are not parsed yet.
    pub(super) input: Vec<u8>,
    /// Bytes to send.
    pub(super) output: Vec<u8>,
    /// Number of bytes of `output` that are written.
    written: usize,
    /// Time at which the connection is closed unless the deadline is extended.
    pub(super) deadline: Micros,
    /// The event loop is to report when the socket becomes writable.
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

    /// Returns the readiness events to register for.
    pub(super) fn interest(&self) -> Interest {
        if self.awaits_writable {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        }
    }

    /// Returns whether no request or call is pending on this connection.
    pub(super) fn is_idle(&self) -> bool {
        match &self.role {
            Role::Server(server) => !server.busy,
            Role::Client(client) => client.call.is_none(),
        }
    }

    /// Returns whether this is an outbound connection without a pending call.
    pub(super) fn is_idle_client(&self) -> bool {
        matches!(&self.role, Role::Client(client) if client.call.is_none())
    }

    /// Replaces the output with the request of a new call and clears the input.
    pub(super) fn set_request(&mut self, request: Vec<u8>) {
        self.output = request;
        self.written = 0;
        self.input.clear();
    }

    /// Checks whether the connection attempt of an outbound connection has finished.
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

    /// Writes as much of the output as the socket accepts.
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

    /// Reads the available bytes; returns whether the connection has ended. `ended` means that the event loop has
    /// reported the end of input, so reading continues up to the end even after a short read.
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
                    // A short read has emptied the socket; the event loop reports later input.
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
