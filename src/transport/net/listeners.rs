//! Inbound requests: listening sockets, accepted connections, requests and responses.

use super::NetworkThread;
use super::connection::{Connection, Role, ServerRole};
use crate::protocol::Micros;
use crate::transport::http::{self, Parsed};
use crate::transport::{NetworkEvent, Outcome};
use mio::Token;
use mio::net::{TcpListener, TcpStream};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// An inbound connection without a request for this long is closed. Clients poll every 5 s and agents send heartbeats
/// every few seconds, so only abandoned connections are closed.
const SERVER_IDLE_TIMEOUT: Micros = Micros::millis(40_000);
/// Time within which a request must be complete after its first bytes were received.
const REQUEST_TIMEOUT: Micros = Micros::millis(10_000);

/// The bound listening sockets.
pub struct Listeners {
    pub(super) public: TcpListener,
    pub(super) internal: TcpListener,
}

impl Listeners {
    /// Binds the address for clients and agents, and the one for other controllers.
    ///
    /// # Errors
    ///
    /// One of the addresses cannot be bound.
    pub fn bind(public: SocketAddr, internal: SocketAddr) -> std::io::Result<Listeners> {
        Ok(Listeners {
            public: TcpListener::bind(public)?,
            internal: TcpListener::bind(internal)?,
        })
    }

    fn accept(&self, internal: bool) -> std::io::Result<(TcpStream, SocketAddr)> {
        let listener = if internal {
            &self.internal
        } else {
            &self.public
        };
        listener.accept()
    }
}

impl NetworkThread {
    /// Accepts all pending connections of a listener.
    pub(super) fn accept(&mut self, internal: bool) {
        loop {
            match self.listeners.accept(internal) {
                Ok((stream, remote)) => self.add_server(stream, remote, internal),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    log::warn!("accept failed error=\"{error}\"");
                    // No socket is free. If none can be freed, the event loop reports the listener again at the next
                    // connection attempt.
                    if !self.close_first_idle() {
                        return;
                    }
                }
            }
        }
    }

    fn add_server(&mut self, stream: TcpStream, remote: SocketAddr, internal: bool) {
        let is_full = self.connections.server_count() >= self.max_servers;
        if is_full && !self.close_first_idle() {
            log::warn!("connection refused reason=no_free_socket");
            return;
        }
        // Nagle's algorithm could delay a small response by 40 ms. A failure to disable it is harmless.
        let _ = stream.set_nodelay(true);
        let role = Role::Server(ServerRole {
            internal,
            id: self.next_server_id,
            busy: false,
            close_after_response: false,
        });
        self.next_server_id += 1;
        let deadline = self.now() + SERVER_IDLE_TIMEOUT;
        self.connections.add(stream, remote, role, deadline);
    }

    /// Closes the idle connection with the earliest deadline; returns whether there was one.
    fn close_first_idle(&mut self) -> bool {
        self.close_first(Connection::is_idle)
    }

    /// Sends the response to a request, unless its connection has been closed.
    pub(super) fn respond(
        &mut self,
        server_id: u64,
        status: u16,
        body: &[u8],
        retry_after: Option<u32>,
    ) {
        let Some(token) = self.connections.server(server_id) else {
            return;
        };
        let deadline = self.now() + SERVER_IDLE_TIMEOUT;
        if let Some(connection) = self.connections.get_mut(token)
            && let Role::Server(server) = &mut connection.role
        {
            let close = server.close_after_response;
            http::write_response(&mut connection.output, status, body, retry_after, close);
            server.busy = false;
        }
        self.connections.set_deadline(token, deadline);
        self.flush(token);
        // The next request may already be in the input buffer.
        self.parse_input(token, false);
    }

    /// Passes a received request to the controller if it is complete. `ended` means that no more bytes will arrive.
    pub(super) fn parse_request(&mut self, token: Token, ended: bool) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(token) else {
            return;
        };
        let Role::Server(server) = &mut connection.role else {
            return;
        };
        if !server.busy && !connection.input.is_empty() {
            match http::take_request(&mut connection.input) {
                Parsed::Partial => {
                    let deadline = connection.deadline.min(now + REQUEST_TIMEOUT);
                    self.connections.set_deadline(token, deadline);
                }
                Parsed::Complete(request) => {
                    server.busy = true;
                    server.close_after_response = !request.keep_alive;
                    self.events.push(NetworkEvent::Request {
                        conn: server.id,
                        internal: server.internal,
                        method: request.method,
                        path: request.path,
                        body: request.body,
                    });
                }
                Parsed::Invalid(status) => {
                    server.close_after_response = true;
                    http::write_response(&mut connection.output, status, b"", None, true);
                    self.flush(token);
                    return;
                }
            }
        }
        if ended {
            self.close(token, Outcome::Lost);
        }
    }

    /// Extends the deadline of an inbound connection with a request in progress; returns whether it has one.
    pub(super) fn extend_if_busy(&mut self, token: Token) -> bool {
        let connection = self.connections.get_mut(token);
        let is_busy = connection.is_some_and(
            |connection| matches!(&connection.role, Role::Server(server) if server.busy),
        );
        if is_busy {
            let deadline = self.now() + SERVER_IDLE_TIMEOUT;
            self.connections.set_deadline(token, deadline);
        }
        is_busy
    }
}
