//! The thin controller::runtime: threads, clocks and sockets around the actors.

use crate::controller::Controller;
use crate::policy::Policy;
use crate::protocol::Clock;
use crate::protocol::{Micros, Settings};
use crate::transport::net::{Listeners, Net};
use crossbeam_channel::TryRecvError;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Without news the actors are not called more often than this.
const LEAST_SLEEP: Micros = Micros::millis(1);

/// Why the service could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// An address cannot be bound.
    #[error("cannot listen on {0} and {1}: {2}")]
    Listen(std::net::SocketAddr, std::net::SocketAddr, std::io::Error),
    /// The network thread cannot be set up.
    #[error("network: {0}")]
    Net(std::io::Error),
    /// The network thread has ended.
    #[error("the network thread has ended")]
    NetEnded,
}

fn clock(started: Instant) -> Clock {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    Clock {
        // Never zero, so that "never" can be told from the first moment.
        now: Micros(started.elapsed().as_micros() as u64 + 1),
        wall: Micros(wall.as_micros() as u64),
    }
}

/// Runs a controller until it is killed.
pub fn run(settings: Settings, policy: Policy) -> Result<(), RuntimeError> {
    let started = Instant::now();
    let listeners = Listeners::bind(settings.serve_on, settings.internal_addr)
        .map_err(|e| RuntimeError::Listen(settings.serve_on, settings.internal_addr, e))?;
    let (events_tx, events) = crossbeam_channel::unbounded();
    let sockets = settings.params.limits.sockets;
    let taker = std::thread::current();
    let (net, handle) =
        Net::new(listeners, events_tx, taker, sockets, started).map_err(RuntimeError::Net)?;
    std::thread::Builder::new()
        .name("network".into())
        .spawn(move || net.run())
        .map_err(RuntimeError::Net)?;
    log::info!(
        "{} in {} serves on {}",
        settings.node,
        settings.zone,
        settings.serve_on
    );
    let mut node = Controller::new(settings, policy, rand::random(), clock(started));
    let mut batch = Vec::new();
    loop {
        let now = clock(started);
        let (out, next) = node.handle(now, std::mem::take(&mut batch));
        let next = next.max(now.now + LEAST_SLEEP);
        handle.send(out);
        loop {
            match events.try_recv() {
                Ok(more) => batch.extend(more),
                Err(TryRecvError::Disconnected) => return Err(RuntimeError::NetEnded),
                Err(TryRecvError::Empty) if !batch.is_empty() => break,
                Err(TryRecvError::Empty) => {
                    let now = clock(started).now;
                    if next <= now {
                        break;
                    }
                    std::thread::park_timeout(Duration::from_micros(next.since(now).0));
                }
            }
        }
    }
}
