//! The network thread: all sockets of the process on one event loop.
//!
//! A connection that hangs costs a socket and a deadline, but no thread. Idle connections are closed. When no socket
//! is free, new connections are refused or delayed, and the listeners stay open.

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

/// Token of the waker by which other threads announce commands.
const WAKER: Token = Token(0);
/// Token of the listener for clients and agents.
const PUBLIC_LISTENER: Token = Token(1);
/// Token of the listener for other controllers.
const INTERNAL_LISTENER: Token = Token(2);
/// Tokens of connections start here.
const FIRST_CONNECTION: Token = Token(3);
/// Share of the socket limit for connections on which we serve requests; the others are for our own calls.
const SERVER_SHARE: f64 = 0.75;
/// Sockets that must stay free when a connection is kept for later calls. Connections to hundreds of agents would
/// otherwise fill the table, and the store or a peer could not be called when it matters.
const RESERVED_SOCKETS: usize = 32;
/// Events that one round of the event loop handles at most.
const EVENTS_PER_ROUND: usize = 256;
/// Delay of the event loop's timer, so that a deadline has certainly passed when it fires.
const TIMER_SLACK: Micros = Micros(500);
/// Pause after a failed poll, so that a lasting failure does not take a whole core.
const POLL_ERROR_BACKOFF: Duration = Duration::from_millis(50);

/// Passes commands to the network thread.
pub struct Handle {
    commands: Sender<Vec<NetworkCommand>>,
    waker: Waker,
}

impl Handle {
    /// Sends a batch of commands.
    pub fn send(&self, batch: Vec<NetworkCommand>) {
        if !batch.is_empty() && self.commands.send(batch).is_ok() {
            // If the wake-up fails, the batch is only delayed until the next event.
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
    /// The thread that receives the events. It sleeps parked, because a blocking receive would spin and yield first,
    /// which on a small share of a core costs more than the work itself.
    event_receiver: Thread,
    /// Events of this round that are not sent yet.
    events: Vec<NetworkEvent>,
    next_server_id: u64,
    /// Most connections on which we serve requests.
    max_servers: usize,
    /// Most connections of any kind beside which one is kept for later calls.
    max_open_with_idle: usize,
    /// Start of the monotonic clock.
    started: Instant,
}

impl NetworkThread {
    /// Prepares the network thread. `event_receiver` is unparked when events are sent; `sockets` is the limit of the
    /// process; times are counted from `started`.
    ///
    /// # Errors
    ///
    /// The operating system refuses an event queue or a registration.
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

    /// Runs until the receiver of the events is gone.
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

    /// Sends the events of this round; returns whether there is still a receiver.
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

    /// Takes whole messages from what has arrived on a connection; `ended`: no more will arrive.
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

    /// Writes what is to be sent on a connection, and closes it if that fails or was the last response.
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

    /// Closes a connection. `outcome` is reported for a call that waits on it, unless the connection never came about.
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

    /// Closes the connections whose deadlines have passed.
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
