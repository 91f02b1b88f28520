//! Table of open connections with their deadlines and their registration with the event loop.

use super::connection::{Connection, Role};
use crate::protocol::Micros;
use mio::net::TcpStream;
use mio::{Poll, Token};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Open connections by token.
pub(super) struct Connections {
    pub(super) poll: Poll,
    open: HashMap<Token, Connection>,
    /// Connections sorted by deadline.
    deadlines: BTreeSet<(Micros, Token)>,
    /// Tokens of inbound connections, by connection id.
    servers: HashMap<u64, Token>,
    /// Idle outbound connections, by remote address.
    idle_clients: HashMap<SocketAddr, Vec<Token>>,
    next_token: Token,
}

impl Connections {
    /// Creates an empty table that assigns tokens from `first_token` upwards.
    pub(super) fn new(poll: Poll, first_token: Token) -> Connections {
        Connections {
            poll,
            open: HashMap::new(),
            deadlines: BTreeSet::new(),
            servers: HashMap::new(),
            idle_clients: HashMap::new(),
            next_token: first_token,
        }
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of open inbound connections.
    pub(super) fn server_count(&self) -> usize {
        self.servers.len()
    }

    pub(super) fn get_mut(&mut self, token: Token) -> Option<&mut Connection> {
        self.open.get_mut(&token)
    }

    /// Returns the token of the inbound connection with this id.
    pub(super) fn server(&self, id: u64) -> Option<Token> {
        self.servers.get(&id).copied()
    }

    /// Registers a connection with the event loop; returns `None` if the operating system refuses.
    pub(super) fn add(
        &mut self,
        stream: TcpStream,
        remote: SocketAddr,
        role: Role,
        deadline: Micros,
    ) -> Option<Token> {
        let token = self.next_token;
        self.next_token = Token(token.0 + 1);
        let mut connection = Connection::new(stream, remote, role, deadline);
        let interest = connection.interest();
        let registry = self.poll.registry();
        if let Err(error) = registry.register(&mut connection.stream, token, interest) {
            log::warn!("socket registration failed error=\"{error}\"");
            return None;
        }
        if let Role::Server(server) = &connection.role {
            self.servers.insert(server.id, token);
        }
        self.deadlines.insert((deadline, token));
        self.open.insert(token, connection);
        Some(token)
    }

    /// Removes a connection from the table and the event loop; its socket is closed when the value is dropped.
    pub(super) fn remove(&mut self, token: Token) -> Option<Connection> {
        let mut connection = self.open.remove(&token)?;
        self.deadlines.remove(&(connection.deadline, token));
        // A failure is harmless: the socket is then no longer registered.
        let _ = self.poll.registry().deregister(&mut connection.stream);
        match &connection.role {
            Role::Server(server) => {
                self.servers.remove(&server.id);
            }
            Role::Client(client) => {
                if client.call.is_none()
                    && let Some(tokens) = self.idle_clients.get_mut(&connection.remote)
                {
                    tokens.retain(|idle| *idle != token);
                }
            }
        }
        Some(connection)
    }

    /// Updates the readiness events for which a connection is registered.
    pub(super) fn update_interest(&mut self, token: Token) {
        let Some(connection) = self.open.get_mut(&token) else {
            return;
        };
        let interest = connection.interest();
        // If this fails, the connection is closed at its deadline.
        let _ = self
            .poll
            .registry()
            .reregister(&mut connection.stream, token, interest);
    }

    /// Changes the deadline of a connection.
    pub(super) fn set_deadline(&mut self, token: Token, deadline: Micros) {
        if let Some(connection) = self.open.get_mut(&token) {
            self.deadlines.remove(&(connection.deadline, token));
            connection.deadline = deadline;
            self.deadlines.insert((deadline, token));
        }
    }

    /// Returns the earliest deadline and its connection.
    pub(super) fn first_deadline(&self) -> Option<(Micros, Token)> {
        self.deadlines.first().copied()
    }

    /// Returns the connection with the earliest deadline among those that `matches` accepts.
    pub(super) fn first_match(&self, matches: impl Fn(&Connection) -> bool) -> Option<Token> {
        let mut tokens = self.deadlines.iter().map(|(_, token)| *token);
        tokens.find(|token| self.open.get(token).is_some_and(&matches))
    }

    /// Adds an outbound connection to the idle ones, for later calls to the same address.
    pub(super) fn keep_idle_client(&mut self, token: Token, remote: SocketAddr) {
        self.idle_clients.entry(remote).or_default().push(token);
    }

    /// Removes and returns the most recently used idle connection to this address.
    pub(super) fn take_idle_client(&mut self, remote: SocketAddr) -> Option<Token> {
        self.idle_clients.get_mut(&remote)?.pop()
    }
}
