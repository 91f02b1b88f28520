//! The network thread: every socket of the process, on one readiness loop.
//!
//! Connections that hang cost a socket and a deadline, not a thread; idle clients are
//! dropped; a full socket table delays newcomers and never ends the listener.

use super::http::{self, Parsed};
use super::{Call, NetworkCommand, NetworkEvent, Outcome};
use crate::protocol::Micros;
use crossbeam_channel::{Receiver, Sender};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeSet, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::thread::Thread;
use std::time::{Duration, Instant};

const WAKE: Token = Token(0);
const PUBLIC: Token = Token(1);
const INTERNAL: Token = Token(2);
const FIRST_CONN: usize = 3;
/// A server connection without any request for this long is closed. Users poll every 5 s and
/// agents report every few seconds, so only the forgotten ones are hit.
const SERVER_IDLE: Micros = Micros::millis(40_000);
/// Once a request has begun to arrive, all of it must come within this.
const REQUEST_ARRIVES: Micros = Micros::millis(10_000);
/// An unused connection to a server is closed after this long.
const CLIENT_IDLE: Micros = Micros::millis(20_000);
/// Share of the socket limit that clients of ours may take; the rest is for our own calls.
const SERVER_SHARE: f64 = 0.75;
/// Sockets that connections kept for later calls leave free. With hundreds of agents they would
/// fill the table, and the state service or a peer could not be called when it matters.
const SPARE: usize = 32;

enum Role {
    Server {
        internal: bool,
        serial: u64,
        busy: bool,
        close_after: bool,
    },
    Client {
        call: Option<u64>,
        connected: bool,
    },
}

struct Conn {
    stream: TcpStream,
    peer: SocketAddr,
    role: Role,
    input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    due: Micros,
    writable_wanted: bool,
}

/// What a socket is ready for; `ends`: the other side will send no more, or has gone.
#[derive(Clone, Copy)]
struct Ready {
    readable: bool,
    writable: bool,
    ends: bool,
}

/// Bound listeners.
pub struct Listeners {
    public: TcpListener,
    internal: TcpListener,
}

impl Listeners {
    /// Binds both addresses.
    pub fn bind(public: SocketAddr, internal: SocketAddr) -> std::io::Result<Listeners> {
        Ok(Listeners {
            public: TcpListener::bind(public)?,
            internal: TcpListener::bind(internal)?,
        })
    }
}

/// Lets other threads wake the network thread.
pub struct Handle {
    /// Commands for the thread.
    pub cmds: Sender<Vec<NetworkCommand>>,
    waker: Waker,
}

impl Handle {
    /// Hands over a batch of commands.
    pub fn send(&self, batch: Vec<NetworkCommand>) {
        if !batch.is_empty() && self.cmds.send(batch).is_ok() {
            // A failed wake only delays the batch until the next event.
            let _ = self.waker.wake();
        }
    }
}

/// The thread's state.
pub struct Net {
    poll: Poll,
    listeners: Listeners,
    cmds: Receiver<Vec<NetworkCommand>>,
    events: Sender<Vec<NetworkEvent>>,
    /// Who takes the events. It sleeps parked: a blocking receive would first spin and yield,
    /// which on a small share of a core costs more than the work.
    taker: Thread,
    conns: HashMap<usize, Conn>,
    serials: HashMap<u64, usize>,
    idle: HashMap<SocketAddr, Vec<usize>>,
    due: BTreeSet<(Micros, usize)>,
    next_token: usize,
    next_serial: u64,
    servers: usize,
    most_servers: usize,
    most: usize,
    started: Instant,
    out: Vec<NetworkEvent>,
}

impl Net {
    /// Prepares the thread; `taker` is woken for events, `sockets` is the process's limit.
    pub fn new(
        mut listeners: Listeners,
        events: Sender<Vec<NetworkEvent>>,
        taker: Thread,
        sockets: usize,
        started: Instant,
    ) -> std::io::Result<(Net, Handle)> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        poll.registry()
            .register(&mut listeners.public, PUBLIC, Interest::READABLE)?;
        poll.registry()
            .register(&mut listeners.internal, INTERNAL, Interest::READABLE)?;
        let (cmds_tx, cmds) = crossbeam_channel::unbounded();
        let net = Net {
            poll,
            listeners,
            cmds,
            events,
            taker,
            conns: HashMap::new(),
            serials: HashMap::new(),
            idle: HashMap::new(),
            due: BTreeSet::new(),
            next_token: FIRST_CONN,
            next_serial: 1,
            servers: 0,
            most_servers: (sockets as f64 * SERVER_SHARE) as usize,
            most: sockets.saturating_sub(SPARE).max(1),
            started,
            out: Vec::new(),
        };
        Ok((
            net,
            Handle {
                cmds: cmds_tx,
                waker,
            },
        ))
    }

    fn now(&self) -> Micros {
        Micros(self.started.elapsed().as_micros() as u64)
    }

    /// Runs until the other side of the channel is gone.
    pub fn run(mut self) {
        let mut ready = Events::with_capacity(256);
        loop {
            let wait = self.due.first().map(|(t, _)| t.since(self.now()));
            let wait = wait.map(|w| Duration::from_micros(w.0 + 500));
            if let Err(e) = self.poll.poll(&mut ready, wait)
                && e.kind() != ErrorKind::Interrupted
            {
                log::error!("network: poll failed: {e}");
                std::thread::sleep(Duration::from_millis(50));
            }
            let tokens: Vec<(Token, Ready)> = ready
                .iter()
                .map(|e| {
                    let ends = e.is_error() || e.is_read_closed() || e.is_write_closed();
                    let ready = Ready {
                        readable: e.is_readable() || ends,
                        writable: e.is_writable() || ends,
                        ends,
                    };
                    (e.token(), ready)
                })
                .collect();
            for (token, ready) in tokens {
                match token {
                    WAKE => {}
                    PUBLIC => self.accept(false),
                    INTERNAL => self.accept(true),
                    Token(t) => self.on_ready(t, ready),
                }
            }
            while let Ok(batch) = self.cmds.try_recv() {
                for cmd in batch {
                    self.on_cmd(cmd);
                }
            }
            self.expire();
            if !self.out.is_empty() {
                let batch = std::mem::take(&mut self.out);
                if self.events.send(batch).is_err() {
                    return;
                }
                self.taker.unpark();
            }
        }
    }

    fn accept(&mut self, internal: bool) {
        loop {
            let listener = if internal {
                &self.listeners.internal
            } else {
                &self.listeners.public
            };
            match listener.accept() {
                Ok((stream, peer)) => {
                    if self.servers >= self.most_servers && !self.drop_one_idle() {
                        log::warn!("network: connection refused, all sockets are taken");
                        continue;
                    }
                    // A delayed small write would cost every answer some 40 ms.
                    let _ = stream.set_nodelay(true);
                    let serial = self.next_serial;
                    let role = Role::Server {
                        internal,
                        serial,
                        busy: false,
                        close_after: false,
                    };
                    self.next_serial += 1;
                    if let Some(t) = self.add(stream, peer, role, SERVER_IDLE) {
                        self.serials.insert(serial, t);
                        self.servers += 1;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    // Out of sockets: make room; the listener is told again by the next newcomer.
                    log::warn!("network: accept failed: {e}");
                    if !self.drop_one_idle() {
                        return;
                    }
                }
            }
        }
    }

    fn drop_one_idle(&mut self) -> bool {
        self.drop_first(|role| match role {
            Role::Server { busy, .. } => !busy,
            Role::Client { call, .. } => call.is_none(),
        })
    }

    /// Closes the connection of those meant that is due first; tells whether there was one.
    fn drop_first(&mut self, meant: impl Fn(&Role) -> bool) -> bool {
        let found = self
            .due
            .iter()
            .map(|(_, t)| *t)
            .find(|t| self.conns.get(t).is_some_and(|c| meant(&c.role)));
        found.map(|t| self.close(t, Outcome::Lost)).is_some()
    }

    fn add(
        &mut self,
        mut stream: TcpStream,
        peer: SocketAddr,
        role: Role,
        life: Micros,
    ) -> Option<usize> {
        let t = self.next_token;
        self.next_token += 1;
        let client = matches!(role, Role::Client { .. });
        let interest = if client {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        };
        if let Err(e) = self
            .poll
            .registry()
            .register(&mut stream, Token(t), interest)
        {
            log::warn!("network: cannot register a socket: {e}");
            return None;
        }
        let due = self.now() + life;
        self.due.insert((due, t));
        let conn = Conn {
            stream,
            peer,
            role,
            input: Vec::new(),
            output: Vec::new(),
            sent: 0,
            due,
            writable_wanted: client,
        };
        self.conns.insert(t, conn);
        Some(t)
    }

    fn set_due(&mut self, t: usize, due: Micros) {
        if let Some(c) = self.conns.get_mut(&t) {
            self.due.remove(&(c.due, t));
            c.due = due;
            self.due.insert((due, t));
        }
    }

    fn close(&mut self, t: usize, outcome: Outcome) {
        let Some(mut c) = self.conns.remove(&t) else {
            return;
        };
        self.due.remove(&(c.due, t));
        let _ = self.poll.registry().deregister(&mut c.stream);
        match c.role {
            Role::Server { serial, .. } => {
                self.servers -= 1;
                self.serials.remove(&serial);
            }
            Role::Client {
                call: Some(id),
                connected,
            } => {
                let outcome = if connected { outcome } else { Outcome::NotSent };
                self.out.push(NetworkEvent::Answer { id, outcome });
            }
            Role::Client { call: None, .. } => {
                if let Some(list) = self.idle.get_mut(&c.peer) {
                    list.retain(|i| *i != t);
                }
            }
        }
    }

    fn expire(&mut self) {
        let now = self.now();
        while let Some(&(due, t)) = self.due.first() {
            if due > now {
                return;
            }
            if let Some(Conn {
                role: Role::Server { busy: true, .. },
                ..
            }) = self.conns.get(&t)
            {
                // We still owe the answer.
                self.set_due(t, now + SERVER_IDLE);
                continue;
            }
            self.close(t, Outcome::Lost);
        }
    }

    fn on_cmd(&mut self, cmd: NetworkCommand) {
        match cmd {
            NetworkCommand::Respond {
                conn,
                status,
                body,
                retry_after,
            } => {
                let Some(&t) = self.serials.get(&conn) else {
                    return;
                };
                let due = self.now() + SERVER_IDLE;
                if let Some(c) = self.conns.get_mut(&t)
                    && let Role::Server {
                        busy, close_after, ..
                    } = &mut c.role
                {
                    http::put_response(&mut c.output, status, &body, retry_after, *close_after);
                    *busy = false;
                }
                self.set_due(t, due);
                self.flush(t);
                // The next request may already be here.
                self.advance(t, false);
            }
            NetworkCommand::Call(call) => self.call(call),
        }
    }

    fn call(&mut self, call: Call) {
        let now = self.now();
        let mut bytes = Vec::with_capacity(160 + call.body.len());
        http::put_request(
            &mut bytes,
            call.method,
            &call.path,
            &call.addr.to_string(),
            &call.body,
        );
        let token = match self.idle.get_mut(&call.addr).and_then(Vec::pop) {
            Some(t) => t,
            None => {
                if self.conns.len() >= self.most {
                    self.drop_first(|role| matches!(role, Role::Client { call: None, .. }));
                }
                let stream = match TcpStream::connect(call.addr) {
                    Ok(s) => s,
                    Err(e) => {
                        log::debug!("network: connect to {}: {e}", call.addr);
                        self.out.push(NetworkEvent::Answer {
                            id: call.id,
                            outcome: Outcome::NotSent,
                        });
                        return;
                    }
                };
                let _ = stream.set_nodelay(true);
                let role = Role::Client {
                    call: None,
                    connected: false,
                };
                match self.add(stream, call.addr, role, call.timeout) {
                    Some(t) => t,
                    None => {
                        self.out.push(NetworkEvent::Answer {
                            id: call.id,
                            outcome: Outcome::NotSent,
                        });
                        return;
                    }
                }
            }
        };
        let mut ready = false;
        if let Some(c) = self.conns.get_mut(&token)
            && let Role::Client {
                call: slot,
                connected,
            } = &mut c.role
        {
            *slot = Some(call.id);
            ready = *connected;
            c.output = bytes;
            c.sent = 0;
            c.input.clear();
        }
        self.set_due(token, now + call.timeout);
        if ready {
            self.flush(token);
        }
    }

    fn on_ready(&mut self, t: usize, ready: Ready) {
        if ready.writable {
            let mut failed = false;
            if let Some(c) = self.conns.get_mut(&t)
                && let Role::Client { connected, .. } = &mut c.role
                && !*connected
            {
                match c.stream.take_error() {
                    Ok(None) if c.stream.peer_addr().is_ok() => *connected = true,
                    Ok(None) => return,
                    _ => failed = true,
                }
            }
            if failed {
                self.close(t, Outcome::NotSent);
                return;
            }
            self.flush(t);
        }
        if ready.readable {
            self.read(t, ready.ends);
        }
    }

    fn flush(&mut self, t: usize) {
        let Some(c) = self.conns.get_mut(&t) else {
            return;
        };
        let mut broken = false;
        while c.sent < c.output.len() {
            match c.stream.write(&c.output[c.sent..]) {
                Ok(n) => c.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    broken = true;
                    break;
                }
            }
        }
        let done = c.sent >= c.output.len();
        if done {
            c.output.clear();
            c.sent = 0;
        }
        let closing = matches!(
            c.role,
            Role::Server {
                busy: false,
                close_after: true,
                ..
            }
        );
        if broken || (done && closing) {
            self.close(t, Outcome::Lost);
            return;
        }
        if c.writable_wanted == done {
            c.writable_wanted = !done;
            let interest = if done {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let _ = self
                .poll
                .registry()
                .reregister(&mut c.stream, Token(t), interest);
        }
    }

    fn read(&mut self, t: usize, ends: bool) {
        let Some(c) = self.conns.get_mut(&t) else {
            return;
        };
        let mut eof = false;
        let mut chunk = [0u8; 8192];
        loop {
            match c.stream.read(&mut chunk) {
                Ok(0) => {
                    eof = true;
                    break;
                }
                Ok(n) => {
                    c.input.extend_from_slice(&chunk[..n]);
                    let server = matches!(c.role, Role::Server { .. });
                    if server && c.input.len() > 2 * http::MAX_BODY {
                        break;
                    }
                    // A short read has emptied the socket; what comes later is told anew.
                    if n < chunk.len() && !ends {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    eof = true;
                    break;
                }
            }
        }
        self.advance(t, eof);
    }

    /// Takes whole messages from what has arrived.
    fn advance(&mut self, t: usize, eof: bool) {
        let now = self.now();
        let Some(c) = self.conns.get_mut(&t) else {
            return;
        };
        match &mut c.role {
            Role::Server {
                internal,
                serial,
                busy,
                close_after,
            } => {
                if !*busy && !c.input.is_empty() {
                    match http::take_request(&mut c.input) {
                        Parsed::Partial => {
                            let due = now + REQUEST_ARRIVES;
                            if c.due > due {
                                self.set_due(t, due);
                            }
                        }
                        Parsed::Whole(m) => {
                            *busy = true;
                            *close_after = !m.keep;
                            self.out.push(NetworkEvent::Request {
                                conn: *serial,
                                internal: *internal,
                                method: m.method,
                                path: m.path,
                                body: m.body,
                            });
                        }
                        Parsed::Bad(status) => {
                            *close_after = true;
                            http::put_response(&mut c.output, status, b"", None, true);
                            self.flush(t);
                            return;
                        }
                    }
                }
                if eof {
                    self.close(t, Outcome::Lost);
                }
            }
            Role::Client { call, .. } => {
                let Some(id) = *call else {
                    // Nothing is asked, so this can only be the end.
                    self.close(t, Outcome::Lost);
                    return;
                };
                match http::take_response(&mut c.input, eof) {
                    Parsed::Whole(m) => {
                        *call = None;
                        let keep = m.keep && !eof && c.input.is_empty() && c.output.is_empty();
                        let peer = c.peer;
                        self.out.push(NetworkEvent::Answer {
                            id,
                            outcome: Outcome::Reply {
                                status: m.status,
                                body: m.body,
                            },
                        });
                        if keep {
                            self.idle.entry(peer).or_default().push(t);
                            self.set_due(t, now + CLIENT_IDLE);
                        } else {
                            self.close(t, Outcome::Lost);
                        }
                    }
                    Parsed::Partial if !eof => {}
                    _ => self.close(t, Outcome::Lost),
                }
            }
        }
    }
}
