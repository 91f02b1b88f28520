//! Fault injection beyond partitions: lost, delayed and duplicated messages, and difficult clients.

use super::event_loop::Event;
use super::{CallKey, Endpoint};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use walnuttrestle::protocol::codec::decode;
use walnuttrestle::protocol::key_value_api::{Change, Transaction};
use walnuttrestle::transport::Call;

/// At most this many heartbeats are kept for the next leader.
const MAX_STALE_HEARTBEATS: usize = 300;
/// A duplicate comes at least this much later than the original.
const MIN_DUPLICATE_DELAY: u64 = 500_000;
/// Range of the additional latency of delayed writes.
const WRITE_DELAY: std::ops::Range<u64> = 2_000_000..12_000_000;

/// Messages that do not reach a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DroppedDelivery {
    HeartbeatResponses,
    /// Direct commands.
    Commands,
}

/// How often messages are duplicated, and how late a duplicate comes at most, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Duplication {
    pub probability: f64,
    pub max_delay: u64,
}

impl Duplication {
    /// The delay of a duplicate; `None` if the message is not duplicated.
    fn draw(&self, rng: &mut ChaCha8Rng) -> Option<u64> {
        let end = self.max_delay.max(MIN_DUPLICATE_DELAY + 1);
        rng.random_bool(self.probability)
            .then(|| rng.random_range(MIN_DUPLICATE_DELAY..end))
    }
}

/// Writes of keys with a prefix get no answer and are carried out later.
#[derive(Debug, Clone, Copy)]
pub struct DelayedKey {
    pub prefix: &'static str,
    /// Number of transactions that are still to be delayed.
    pub remaining: u32,
    pub delay: u64,
}

/// Additional latency of the store's answers to one controller, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct StoreDelay {
    pub controller: usize,
    pub delay: u64,
}

/// A machine that some messages do not reach.
#[derive(Debug)]
struct DeafMachine {
    machine: String,
    /// The sender whose messages are lost; `None`: of every controller.
    controller: Option<usize>,
    kind: DroppedDelivery,
    until: u64,
}

/// A duplicate of a heartbeat that was sent earlier.
#[derive(Debug, Clone)]
pub(super) struct StaleHeartbeat {
    pub machine: String,
    pub number: u64,
    pub body: Vec<u8>,
}

impl StaleHeartbeat {
    pub fn arriving_at(self, controller: usize) -> Event {
        Event::AgentHeartbeat {
            machine: self.machine,
            controller,
            number: self.number,
            body: self.body,
        }
    }
}

/// Faults that are active now. Times are in microseconds.
#[derive(Debug, Default)]
pub struct FaultInjection {
    deaf_machines: Vec<DeafMachine>,
    /// Duplicates of heartbeats. They come to any controller.
    pub heartbeat_duplication: Option<Duplication>,
    /// Duplicates of heartbeats come to the controller that got the original.
    pub duplicate_to_same_controller: bool,
    /// Duplicates of requests to agents and to the store.
    pub request_duplication: Option<Duplication>,
    /// Duplicates of messages between controllers.
    pub peer_duplication: Option<Duplication>,
    pub delayed_key: Option<DelayedKey>,
    /// Additional latency of heartbeats, at most.
    pub max_heartbeat_delay: u64,
    /// This share of transactions gets no answer and is carried out 2 to 12 s later, after newer ones.
    pub delayed_write_probability: f64,
    /// Delays answers to reads; answers to writes come as ever.
    pub store_read_delay: Option<StoreDelay>,
    /// Delays answers to writes.
    pub store_write_delay: Option<StoreDelay>,
    /// Links whose messages are lost in one direction: sender, receiver, end.
    one_way: Vec<(Endpoint, Endpoint, u64)>,
    /// Machines whose heartbeats are lost, while direct commands reach them: name, end.
    silent_machines: Vec<(String, u64)>,
    /// This share of transactions is carried out at once, and only the answer is lost.
    pub lost_write_answer_probability: f64,
    /// Calls whose answers are to be lost.
    unanswered_calls: BTreeSet<CallKey>,
    /// Of this share of heartbeats a duplicate comes to every controller once there is another leader.
    pub stale_heartbeat_probability: f64,
    stale_heartbeats: Vec<StaleHeartbeat>,
    /// The leader and the term for which heartbeats are being kept.
    last_leadership: (Option<usize>, u64),
    /// Additional latency of every message, at most.
    pub max_link_delay: u64,
    /// Clients poll all controllers within milliseconds after each answer about a job.
    pub client_probes: bool,
    /// This share of jobs is cancelled at the moment of its completion.
    pub cancel_at_completion_probability: f64,
}

impl FaultInjection {
    /// Drops everything that is sent to a machine; its heartbeats still arrive.
    pub fn drop_all_deliveries(&mut self, machine: &str, until: u64) {
        let kinds = [
            DroppedDelivery::HeartbeatResponses,
            DroppedDelivery::Commands,
        ];
        self.drop_deliveries(machine, None, &kinds, until);
    }

    /// Drops some kinds of messages to a machine, from one controller or (`None`) from all.
    pub fn drop_deliveries(
        &mut self,
        machine: &str,
        controller: Option<usize>,
        kinds: &[DroppedDelivery],
        until: u64,
    ) {
        for kind in kinds {
            self.deaf_machines.push(DeafMachine {
                machine: machine.to_string(),
                controller,
                kind: *kind,
                until,
            });
        }
    }

    /// Whether a message from a controller to a machine is lost.
    pub fn drops_delivery(
        &self,
        machine: &str,
        controller: usize,
        kind: DroppedDelivery,
        now: u64,
    ) -> bool {
        self.deaf_machines.iter().any(|deaf| {
            deaf.machine == machine
                && deaf.controller.is_none_or(|only| only == controller)
                && deaf.kind == kind
                && now < deaf.until
        })
    }

    /// Drops a machine's heartbeats, while direct commands reach it and are answered.
    pub fn silence_heartbeats(&mut self, machine: &str, until: u64) {
        self.silent_machines.push((machine.to_string(), until));
    }

    pub(super) fn is_silent(&self, machine: &str, now: u64) -> bool {
        self.silent_machines
            .iter()
            .any(|(silent, until)| silent == machine && now < *until)
    }

    /// Draws whether only the answer to a transaction is lost.
    pub(super) fn maybe_lose_answer(
        &mut self,
        call: &Call,
        to: &Endpoint,
        key: CallKey,
        rng: &mut ChaCha8Rng,
    ) {
        let probability = self.lost_write_answer_probability;
        let affected = is_transaction(call, to) && probability > 0.0;
        if affected && rng.random_bool(probability) {
            self.unanswered_calls.insert(key);
        }
    }

    pub(super) fn answer_is_lost(&mut self, key: &CallKey) -> bool {
        self.unanswered_calls.remove(key)
    }

    /// Draws whether a heartbeat is kept for the next leader.
    pub(super) fn keep_stale_heartbeat(
        &mut self,
        heartbeat: &StaleHeartbeat,
        rng: &mut ChaCha8Rng,
    ) {
        let probability = self.stale_heartbeat_probability;
        if probability > 0.0
            && self.stale_heartbeats.len() < MAX_STALE_HEARTBEATS
            && rng.random_bool(probability)
        {
            self.stale_heartbeats.push(heartbeat.clone());
        }
    }

    /// Takes the heartbeats that were kept, if there is another leader now.
    pub(super) fn stale_heartbeats_for(
        &mut self,
        leader: Option<usize>,
        term: u64,
    ) -> Vec<StaleHeartbeat> {
        if leader.is_none() || self.last_leadership == (leader, term) {
            return Vec::new();
        }
        self.last_leadership = (leader, term);
        std::mem::take(&mut self.stale_heartbeats)
    }

    /// Drops requests and answers from one endpoint to another, but not in the opposite direction.
    pub fn partition_one_way(&mut self, from: Endpoint, to: Endpoint, until: u64) {
        self.one_way.push((from, to, until));
    }

    /// Whether a message is lost because its direction is interrupted.
    pub(super) fn is_lost(&self, from: &Endpoint, to: &Endpoint, now: u64) -> bool {
        self.one_way
            .iter()
            .any(|(sender, receiver, until)| sender == from && receiver == to && now < *until)
    }

    /// Additional latency of the store's answer to a call.
    pub(super) fn store_answer_delay(&self, controller: usize, call: &Call) -> u64 {
        let for_reads = self.store_read_delay.filter(|_| call.method == "GET");
        let for_writes = self.store_write_delay.filter(|_| call.path == "/multi");
        for_reads
            .or(for_writes)
            .filter(|delay| delay.controller == controller)
            .map_or(0, |delay| delay.delay)
    }

    /// How much later a transaction is carried out, without an answer; `None` if it is not delayed.
    pub(super) fn write_delay(
        &mut self,
        call: &Call,
        to: &Endpoint,
        rng: &mut ChaCha8Rng,
    ) -> Option<u64> {
        if let Some(delay) = self.delay_of_key(call, to) {
            return Some(delay);
        }
        let probability = self.delayed_write_probability;
        let affected = is_transaction(call, to) && probability > 0.0;
        let delayed = affected && rng.random_bool(probability);
        delayed.then(|| rng.random_range(WRITE_DELAY))
    }

    fn delay_of_key(&mut self, call: &Call, to: &Endpoint) -> Option<u64> {
        let delayed = self.delayed_key.as_mut()?;
        if delayed.remaining == 0 || *to != Endpoint::Store {
            return None;
        }
        let transaction = decode::<Transaction>(&call.body)?;
        let is_affected = |change: &Change| matches!(change, Change::Put { key, .. } if key.starts_with(delayed.prefix));
        if !transaction.changes.iter().any(is_affected) {
            return None;
        }
        delayed.remaining -= 1;
        Some(delayed.delay)
    }

    /// Ends all faults; messages that are on their way arrive.
    pub fn clear(&mut self) {
        *self = FaultInjection::default();
    }

    pub(super) fn heartbeat_delay(&self, rng: &mut ChaCha8Rng) -> u64 {
        draw_delay(self.max_heartbeat_delay, rng)
    }

    pub(super) fn link_delay(&self, rng: &mut ChaCha8Rng) -> u64 {
        draw_delay(self.max_link_delay, rng)
    }

    /// Draws the receiver and the delay of a heartbeat's duplicate.
    pub(super) fn duplicate_heartbeat(
        &self,
        controller: usize,
        controller_count: usize,
        rng: &mut ChaCha8Rng,
    ) -> Option<(usize, u64)> {
        let delay = self.heartbeat_duplication?.draw(rng)?;
        let receiver = if self.duplicate_to_same_controller {
            controller
        } else {
            rng.random_range(0..controller_count)
        };
        Some((receiver, delay))
    }

    /// Draws the delay of a duplicate of a controller's request.
    pub(super) fn duplicate_request(
        &self,
        call: &Call,
        to: &Endpoint,
        rng: &mut ChaCha8Rng,
    ) -> Option<u64> {
        if let (Endpoint::Controller(_), Some(duplication)) = (to, self.peer_duplication) {
            return duplication.draw(rng);
        }
        let affected = matches!(to, Endpoint::Agent(_) | Endpoint::Store) && call.method == "POST";
        self.request_duplication.filter(|_| affected)?.draw(rng)
    }
}

fn is_transaction(call: &Call, to: &Endpoint) -> bool {
    *to == Endpoint::Store && call.path == "/multi"
}

fn draw_delay(max_delay: u64, rng: &mut ChaCha8Rng) -> u64 {
    match max_delay {
        0 => 0,
        _ => rng.random_range(0..max_delay),
    }
}
