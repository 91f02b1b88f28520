//! The runtime around a controller: clocks, threads and sockets.

use crate::controller::Controller;
use crate::policy::Policy;
use crate::protocol::{Clock, Micros, Settings};
use crate::transport::NetworkEvent;
use crate::transport::net::{Handle, Listeners, NetworkThread};
use crossbeam_channel::{Receiver, TryRecvError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Minimum interval between calls of the controller when no events arrive.
const MIN_TIMER_INTERVAL: Micros = Micros::millis(1);

/// Error that prevents the service from starting or continuing.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// An address cannot be bound.
    #[error("cannot listen on {0} and {1}: {2}")]
    Listen(std::net::SocketAddr, std::net::SocketAddr, std::io::Error),
    /// The network thread cannot be set up.
    #[error("network: {0}")]
    Network(std::io::Error),
    /// The network thread has ended, so no more events can arrive.
    #[error("the network thread has ended")]
    NetworkThreadEnded,
}

/// Both ends of the connection to the network thread.
struct Network {
    commands: Handle,
    events: Receiver<Vec<NetworkEvent>>,
}

/// Runs a controller; returns only on an error.
pub fn run(settings: Settings, policy: Policy) -> Result<(), RuntimeError> {
    let started = Instant::now();
    let network = start_network(&settings, started)?;
    log::info!(
        "controller started node={} zone={} address={}",
        settings.node,
        settings.zone,
        settings.serve_on
    );
    let mut controller = Controller::new(settings, policy, rand::random(), read_clock(started));
    let mut events = Vec::new();
    loop {
        let clock = read_clock(started);
        let (commands, next) = controller.handle(clock, events);
        network.commands.send(commands);
        let deadline = next.max(clock.now + MIN_TIMER_INTERVAL);
        events = wait_for_events(&network.events, started, deadline)?;
    }
}

/// Binds the listeners and starts the network thread, which unparks the calling thread when events arrive.
fn start_network(settings: &Settings, started: Instant) -> Result<Network, RuntimeError> {
    let (public, internal) = (settings.serve_on, settings.internal_addr);
    let listeners = Listeners::bind(public, internal)
        .map_err(|error| RuntimeError::Listen(public, internal, error))?;
    let (event_sender, events) = crossbeam_channel::unbounded();
    let controller_thread = std::thread::current();
    let sockets = settings.params.limits.sockets;
    let (network_thread, commands) =
        NetworkThread::new(listeners, event_sender, controller_thread, sockets, started)
            .map_err(RuntimeError::Network)?;
    std::thread::Builder::new()
        .name("network".into())
        .spawn(move || network_thread.run())
        .map_err(RuntimeError::Network)?;
    Ok(Network { commands, events })
}

/// Returns all events that have arrived; if there are none, waits until one arrives or `deadline` has passed.
fn wait_for_events(
    receiver: &Receiver<Vec<NetworkEvent>>,
    started: Instant,
    deadline: Micros,
) -> Result<Vec<NetworkEvent>, RuntimeError> {
    let mut events = Vec::new();
    loop {
        match receiver.try_recv() {
            Ok(batch) => events.extend(batch),
            Err(TryRecvError::Disconnected) => return Err(RuntimeError::NetworkThreadEnded),
            Err(TryRecvError::Empty) if !events.is_empty() => return Ok(events),
            Err(TryRecvError::Empty) => {
                let now = read_clock(started).now;
                if deadline <= now {
                    return Ok(events);
                }
                std::thread::park_timeout(Duration::from_micros(deadline.since(now).0));
            }
        }
    }
}

fn read_clock(started: Instant) -> Clock {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    Clock {
        // Time starts at 1, because 0 means "never".
        now: Micros(started.elapsed().as_micros() as u64 + 1),
        wall: Micros(wall.as_micros() as u64),
    }
}
