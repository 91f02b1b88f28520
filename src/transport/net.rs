//! The network thread: all sockets of the process on one event loop.
//!
//! A connection that hangs occupies a socket and an entry in the table of deadlines, but no thread. Idle connections
//! are closed. While no socket is free, new connections are refused or delayed; the listeners stay open.

mod calls;
mod connection;
mod connections;
mod listeners;

pub use listeners::Listeners;

use super::{NetworkCommand, NetworkEvent, Outcome};
use crate::protocol::Micros;
use connection::{ConnectProgress, Connection, Readiness, Role, WriteProgress};
use connections::Connections;
use crossbeam_channel::{Receiver, Sender};
use mio::{Events, Interest, Poll, Token, Waker};
use std::io::ErrorKind;
use std::thread::Thread;
use std::time::{Duration, Instant};

/// Token of the waker that signals commands from other threads.
const WAKER: Token = Token(0);
/// Token of the listener for clients and agents.
const PUBLIC_LISTENER: Token = Token(1);
/// Token of the listener for other controllers.
const INTERNAL_LISTENER: Token = Token(2);
/// Lowest token of a connection.
const FIRST_CONNECTION: Token = Token(3);
/// Share of the socket limit for inbound connections; the rest is for outbound calls.
const SERVER_SHARE: f64 = 0.75;
/// Sockets that stay free of idle outbound connections. Idle connections to hundreds of agents could otherwise use up
/// the sockets needed to call the store or a peer.
const RESERVED_SOCKETS: usize = 32;
/// Maximum number of events per iteration of the event loop.
const EVENTS_PER_ROUND: usize = 256;
/// Added to the poll timeout so that the deadline has passed when the poll returns.
const TIMER_SLACK: Micros = Micros(500);
/// Backoff after a failed poll, so that a persistent failure does not use a whole core.
const POLL_ERROR_BACKOFF: Duration = Duration::from_millis(50);

/// Sends commands to the network thread.
pub struct Handle {
    commands: Sender<Vec<NetworkCommand>>,
    waker: Waker,
}

impl Handle {
    /// Sends a batch of commands.
    pub fn send(&self, batch: Vec<NetworkCommand>) {
        if !batch.is_empty() && self.commands.send(batch).is_ok() {
            // If the wake-up fails, the batch is handled with the next event or deadline.
            let _ = self.waker.wake();
        }
    }
}

/// The state of the network thread.
pub struct NetworkThread {
    connections: Connections,
    listeners: Listeners,
    commands: Receiver<Vec<NetworkCommand>>,
    event_sender: Sender<Vec<NetworkEvent>>,
    /// The thread that receives the events. It waits parked, because a blocking receive spins and yields first, which
    /// costs more than the actual work when the process has only a small share of a core.
    event_receiver: Thread,
    /// Events of this iteration that have not been sent yet.
    events: Vec<NetworkEvent>,
    next_server_id: u64,
    /// Maximum number of inbound connections.
    max_servers: usize,
    /// Number of open connections of any kind at which a new outbound connection replaces an idle outbound one.
    max_open_with_idle: usize,
    /// Start of the monotonic clock.
    started: Instant,
}

impl NetworkThread {
    /// Creates the network thread's state. `event_receiver` is unparked when events are sent, `sockets` is the socket
    /// limit of the process, and times are counted from `started`.
    ///
    /// # Errors
    ///
    /// The operating system refuses to create the event queue or to register a socket.
    pub fn new(
        mut listeners: Listeners,
        event_sender: Sender<Vec<NetworkEvent>>,
        event_receiver: Thread,
        sockets: usize,
        started: Instant,
    ) -> std::io::Result<(NetworkThread, Handle)> {
        let poll = Poll::new()?;
        let registry = poll.registry();
        let waker = Waker::new(registry, WAKER)?;
        registry.register(&mut listeners.public, PUBLIC_LISTENER, Interest::READABLE)?;
        registry.register(
            &mut listeners.internal,
            INTERNAL_LISTENER,
            Interest::READABLE,
        )?;
        let (command_sender, commands) = crossbeam_channel::unbounded();
        let net = NetworkThread {
            connections: Connections::new(poll, FIRST_CONNECTION),
            listeners,
            commands,
            event_sender,
            event_receiver,
            events: Vec::new(),
            next_server_id: 1,
            max_servers: (sockets as f64 * SERVER_SHARE) as usize,
            max_open_with_idle: sockets.saturating_sub(RESERVED_SOCKETS).max(1),
            started,
        };
        let handle = Handle {
            commands: command_sender,
            waker,
        };
        Ok((net, handle))
    }

    fn now(&self) -> Micros {
        Micros(self.started.elapsed().as_micros() as u64)
    }

    /// Runs until the receiving end of the event channel is dropped.
    pub fn run(mut self) {
        let mut ready = Events::with_capacity(EVENTS_PER_ROUND);
        loop {
            self.wait(&mut ready);
            let ready: Vec<(Token, Readiness)> = ready
                .iter()
                .map(|event| (event.token(), Readiness::from(event)))
                .collect();
            for (token, readiness) in ready {
                self.on_ready(token, readiness);
            }
            while let Ok(batch) = self.commands.try_recv() {
                for command in batch {
                    self.on_command(command);
                }
            }
            self.close_expired();
            if !self.send_events() {
                return;
            }
        }
    }

    /// Waits for events, at most until the next deadline.
    fn wait(&mut self, ready: &mut Events) {
        let timeout = self.connections.first_deadline().map(|(deadline, _)| {
            let wait = deadline.since(self.now()) + TIMER_SLACK;
            Duration::from_micros(wait.0)
        });
        if let Err(error) = self.connections.poll.poll(ready, timeout)
            && error.kind() != ErrorKind::Interrupted
        {
            log::error!("poll failed error=\"{error}\"");
            std::thread::sleep(POLL_ERROR_BACKOFF);
        }
    }

    /// Sends the events of this iteration; returns whether the channel still has a receiver.
    fn send_events(&mut self) -> bool {
        if self.events.is_empty() {
            return true;
        }
        let batch = std::mem::take(&mut self.events);
        if self.event_sender.send(batch).is_err() {
            return false;
        }
        self.event_receiver.unpark();
        true
    }

    fn on_command(&mut self, command: NetworkCommand) {
        match command {
            NetworkCommand::Respond {
                conn,
                status,
                body,
                retry_after,
            } => self.respond(conn, status, &body, retry_after),
            NetworkCommand::Call(call) => self.call(call),
        }
    }

    fn on_ready(&mut self, token: Token, readiness: Readiness) {
        match token {
            WAKER => {}
            PUBLIC_LISTENER => self.accept(false),
            INTERNAL_LISTENER => self.accept(true),
            connection => self.on_connection_ready(connection, readiness),
        }
    }

    fn on_connection_ready(&mut self, token: Token, readiness: Readiness) {
        if readiness.writable {
            let connection = self.connections.get_mut(token);
            match connection.map(Connection::finish_connect) {
                Some(ConnectProgress::Failed) => {
                    self.close(token, Outcome::NotSent);
                    return;
                }
                Some(ConnectProgress::Pending) => return,
                Some(ConnectProgress::Connected) | None => self.flush(token),
            }
        }
        if readiness.readable
            && let Some(connection) = self.connections.get_mut(token)
        {
            let ended = connection.read_input(readiness.ended);
            self.parse_input(token, ended);
        }
    }

    /// Parses the received bytes of a connection. `ended` means that no more bytes will arrive.
    fn parse_input(&mut self, token: Token, ended: bool) {
        match self
            .connections
            .get_mut(token)
            .map(|connection| &connection.role)
        {
            Some(Role::Server(_)) => self.parse_request(token, ended),
            Some(Role::Client(_)) => self.parse_response(token, ended),
            None => {}
        }
    }

    /// Writes the pending output of a connection. Closes the connection if writing fails or its last response is written.
    fn flush(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(token) else {
            return;
        };
        let progress = connection.write_output();
        let is_done = progress == WriteProgress::Done;
        let is_last = matches!(
            &connection.role,
            Role::Server(server) if !server.busy && server.close_after_response
        );
        if progress == WriteProgress::Broken || (is_done && is_last) {
            self.close(token, Outcome::Lost);
            return;
        }
        if connection.awaits_writable == is_done {
            connection.awaits_writable = !is_done;
            self.connections.update_interest(token);
        }
    }

    /// Closes a connection. A call that is pending on it is reported with `outcome`, or as not sent if the connection was
    /// never established.
    fn close(&mut self, token: Token, outcome: Outcome) {
        let Some(connection) = self.connections.remove(token) else {
            return;
        };
        if let Role::Client(client) = &connection.role
            && let Some(id) = client.call
        {
            let outcome = if client.connected {
                outcome
            } else {
                Outcome::NotSent
            };
            self.finish_call(id, outcome);
        }
    }

    /// Closes the connection with the earliest deadline among those that `matches` accepts; returns whether there
    /// was one.
    fn close_first(&mut self, matches: impl Fn(&Connection) -> bool) -> bool {
        let Some(token) = self.connections.first_match(matches) else {
            return false;
        };
        self.close(token, Outcome::Lost);
        true
    }

    /// Closes connections whose deadlines have passed, except those with a request in progress.
    fn close_expired(&mut self) {
        let now = self.now();
        while let Some((deadline, token)) = self.connections.first_deadline() {
            if deadline > now {
                return;
            }
            if !self.extend_if_busy(token) {
                self.close(token, Outcome::Lost);
            }
        }
    }
}
