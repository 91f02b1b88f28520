//! Outbound calls: connecting, sending requests and receiving responses.

use super::NetworkThread;
use super::connection::{ClientRole, Connection, Role};
use crate::protocol::Micros;
use crate::transport::http::{self, Message, Parsed};
use crate::transport::{Call, NetworkEvent, Outcome};
use mio::Token;
use mio::net::TcpStream;

/// An outbound connection that has been idle for this long is closed.
const CLIENT_IDLE_TIMEOUT: Micros = Micros::millis(20_000);
/// Initial buffer size for a request without its body.
const HEAD_CAPACITY_BYTES: usize = 160;

impl NetworkThread {
    /// Starts a call on an idle connection or on a new one.
    pub(super) fn call(&mut self, call: Call) {
        let now = self.now();
        let Some(token) = self.client_connection(&call) else {
            self.finish_call(call.id, Outcome::NotSent);
            return;
        };
        let host = call.addr.to_string();
        let mut request = Vec::with_capacity(HEAD_CAPACITY_BYTES + call.body.len());
        http::write_request(&mut request, call.method, &call.path, &host, &call.body);
        let mut connected = false;
        if let Some(connection) = self.connections.get_mut(token)
            && let Role::Client(client) = &mut connection.role
        {
            client.call = Some(call.id);
            connected = client.connected;
            connection.set_request(request);
        }
        self.connections.set_deadline(token, now + call.timeout);
        if connected {
            self.flush(token);
        }
    }

    /// Returns an idle connection to the call's address, or opens one; `None` if that fails.
    fn client_connection(&mut self, call: &Call) -> Option<Token> {
        if let Some(token) = self.connections.take_idle_client(call.addr) {
            return Some(token);
        }
        if self.connections.len() >= self.max_open_with_idle {
            self.close_first(Connection::is_idle_client);
        }
        let stream = match TcpStream::connect(call.addr) {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!("connect failed address={} error=\"{error}\"", call.addr);
                return None;
            }
        };
        // Nagle's algorithm could delay a small request by 40 ms. A failure to disable it is harmless.
        let _ = stream.set_nodelay(true);
        let role = Role::Client(ClientRole {
            call: None,
            connected: false,
        });
        let deadline = self.now() + call.timeout;
        self.connections.add(stream, call.addr, role, deadline)
    }

    /// Reports the outcome of a call.
    pub(super) fn finish_call(&mut self, id: u64, outcome: Outcome) {
        self.events.push(NetworkEvent::CallFinished { id, outcome });
    }

    /// Parses the response to a pending call if it is complete. `ended` means that no more bytes will arrive.
    pub(super) fn parse_response(&mut self, token: Token, ended: bool) {
        let Some(connection) = self.connections.get_mut(token) else {
            return;
        };
        let Role::Client(client) = &mut connection.role else {
            return;
        };
        let Some(id) = client.call else {
            // No call is pending: the remote side closed the connection or sent an unsolicited response.
            self.close(token, Outcome::Lost);
            return;
        };
        match http::take_response(&mut connection.input, ended) {
            Parsed::Complete(response) => {
                client.call = None;
                self.on_response(token, id, response, ended);
            }
            Parsed::Partial if !ended => {}
            _ => self.close(token, Outcome::Lost),
        }
    }

    fn on_response(&mut self, token: Token, id: u64, response: Message, ended: bool) {
        let outcome = Outcome::Response {
            status: response.status,
            body: response.body,
        };
        self.finish_call(id, outcome);
        let Some(connection) = self.connections.get_mut(token) else {
            return;
        };
        let buffers_empty = connection.input.is_empty() && connection.output.is_empty();
        if !response.keep_alive || ended || !buffers_empty {
            self.close(token, Outcome::Lost);
            return;
        }
        let remote = connection.remote;
        let deadline = self.now() + CLIENT_IDLE_TIMEOUT;
        self.connections.keep_idle_client(token, remote);
        self.connections.set_deadline(token, deadline);
    }
}
