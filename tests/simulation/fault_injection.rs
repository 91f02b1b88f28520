//! Fault injection other than two-way partitions: lost, delayed and duplicated messages, and clients that provoke
//! races.

use super::event_loop::Event;
use super::{CallKey, Endpoint};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use walnuttrestle::protocol::codec::decode;
use walnuttrestle::protocol::key_value_api::{Change, Transaction};
use walnuttrestle::transport::Call;

/// At most this many heartbeats are kept for delivery to the next leader.
const MAX_STALE_HEARTBEATS: usize = 300;
/// Minimum delay of a duplicate after the original, in microseconds.
const MIN_DUPLICATE_DELAY: u64 = 500_000;
/// Additional latency of delayed writes, in microseconds.
const WRITE_DELAY: std::ops::Range<u64> = 2_000_000..12_000_000;

/// Kinds of messages to a machine that can be dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DroppedDelivery {
    HeartbeatResponses,
    /// Commands that a controller sends outside heartbeat responses.
    Commands,
}

/// Probability that a message is duplicated, and the maximum delay of the duplicate in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Duplication {
    pub probability: f64,
    pub max_delay: u64,
}

impl Duplication {
    /// Draws the delay of a duplicate; `None` if the message is not duplicated.
    fn draw(&self, rng: &mut ChaCha8Rng) -> Option<u64> {
        let end = self.max_delay.max(MIN_DUPLICATE_DELAY + 1);
        rng.random_bool(self.probability)
            .then(|| rng.random_range(MIN_DUPLICATE_DELAY..end))
    }
}

/// Transactions that write a key with this prefix are executed late and get no answer in time.
#[derive(Debug, Clone, Copy)]
pub struct DelayedKey {
    pub prefix: &'static str,
    /// Number of transactions to execute in time before the first delayed one.
    pub skipped: u32,
    /// Number of further transactions to delay.
    pub remaining: u32,
    pub delay: u64,
}

/// Additional latency of the store's answers to one controller, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct StoreDelay {
    pub controller: usize,
    pub delay: u64,
}

/// A fault that drops one kind of messages to a machine.
#[derive(Debug)]
struct DeliveryFault {
    machine: String,
    /// The controller whose messages are dropped; `None` for all controllers.
    controller: Option<usize>,
    kind: DroppedDelivery,
    until: u64,
}

/// A copy of a heartbeat, delivered later than the original.
#[derive(Debug, Clone)]
pub(super) struct StaleHeartbeat {
    pub machine: String,
    pub seq: u64,
    pub body: Vec<u8>,
}

impl StaleHeartbeat {
    pub fn arriving_at(self, controller: usize) -> Event {
        Event::AgentHeartbeat {
            machine: self.machine,
            controller,
            seq: self.seq,
            body: self.body,
        }
    }
}

/// The active faults. Times are in microseconds.
#[derive(Debug, Default)]
pub struct FaultInjection {
    delivery_faults: Vec<DeliveryFault>,
    /// Duplicates heartbeats. A duplicate is delivered to a random controller.
    pub heartbeat_duplication: Option<Duplication>,
    /// Duplicates of heartbeats are delivered to the controller that received the original.
    pub duplicate_to_same_controller: bool,
    /// Duplicates POST requests to agents and to the store.
    pub request_duplication: Option<Duplication>,
    /// Duplicates direct commands to agents.
    pub command_duplication: Option<Duplication>,
    /// Duplicates requests between controllers.
    pub peer_duplication: Option<Duplication>,
    pub delayed_key: Option<DelayedKey>,
    /// Maximum additional latency of heartbeats.
    pub max_heartbeat_delay: u64,
    /// Probability that a transaction is executed 2 to 12 s late, after newer ones, and gets no answer in time.
    pub delayed_write_probability: f64,
    /// Delays answers to reads only.
    pub store_read_delay: Option<StoreDelay>,
    /// Delays answers to transactions only.
    pub store_write_delay: Option<StoreDelay>,
    /// Links whose messages are dropped in one direction: sender, receiver, end.
    one_way_partitions: Vec<(Endpoint, Endpoint, u64)>,
    /// Machines whose heartbeats are dropped while direct commands reach them: name, end.
    heartbeat_faults: Vec<(String, u64)>,
    /// Probability that a transaction is executed at once and only its answer is dropped.
    pub lost_write_answer_probability: f64,
    /// Calls whose answers will be dropped.
    unanswered_calls: BTreeSet<CallKey>,
    /// Probability that a duplicate of a heartbeat is delivered to every controller once there is a new leader or term.
    pub stale_heartbeat_probability: f64,
    stale_heartbeats: Vec<StaleHeartbeat>,
    /// The leader and the term at the last delivery of stale heartbeats.
    last_leadership: (Option<usize>, u64),
    /// Maximum additional latency of every message.
    pub max_link_delay: u64,
    /// Clients poll all controllers within milliseconds after an answer that accepts a job or reports its end.
    pub client_probes: bool,
    /// Probability that a job is cancelled at the moment of its completion.
    pub cancel_at_completion_probability: f64,
}

impl FaultInjection {
    /// Drops all messages to a machine; its heartbeats still arrive.
    pub fn drop_all_deliveries(&mut self, machine: &str, until: u64) {
        let kinds = [
            DroppedDelivery::HeartbeatResponses,
            DroppedDelivery::Commands,
        ];
        self.drop_deliveries(machine, None, &kinds, until);
    }

    /// Drops messages of these kinds to a machine, from one controller or (`None`) from all.
    pub fn drop_deliveries(
        &mut self,
        machine: &str,
        controller: Option<usize>,
        kinds: &[DroppedDelivery],
        until: u64,
    ) {
        for kind in kinds {
            self.delivery_faults.push(DeliveryFault {
                machine: machine.to_string(),
                controller,
                kind: *kind,
                until,
            });
        }
    }

    /// Whether a message from a controller to a machine is dropped.
    pub fn drops_delivery(
        &self,
        machine: &str,
        controller: usize,
        kind: DroppedDelivery,
        now: u64,
    ) -> bool {
        self.delivery_faults.iter().any(|fault| {
            fault.machine == machine
                && fault.controller.is_none_or(|only| only == controller)
                && fault.kind == kind
                && now < fault.until
        })
    }

    /// Drops a machine's heartbeats; direct commands reach it and are answered.
    pub fn drop_heartbeats(&mut self, machine: &str, until: u64) {
        self.heartbeat_faults.push((machine.to_string(), until));
    }

    pub(super) fn drops_heartbeat(&self, machine: &str, now: u64) -> bool {
        self.heartbeat_faults
            .iter()
            .any(|(silent_machine, until)| silent_machine == machine && now < *until)
    }

    /// Decides at random whether the answer to a transaction will be dropped.
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

    /// Whether the answer to a call is dropped; removes the call from the list.
    pub(super) fn drops_answer(&mut self, key: &CallKey) -> bool {
        self.unanswered_calls.remove(key)
    }

    /// Decides at random whether a heartbeat is kept for delivery to the next leader.
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

    /// Takes the kept heartbeats if the leader or the term has changed since the last call that found a leader.
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

    /// Drops requests and answers from one endpoint to another; the opposite direction works.
    pub fn partition_one_way(&mut self, from: Endpoint, to: Endpoint, until: u64) {
        self.one_way_partitions.push((from, to, until));
    }

    /// Whether a one-way partition drops a message.
    pub(super) fn drops_message(&self, from: &Endpoint, to: &Endpoint, now: u64) -> bool {
        self.one_way_partitions
            .iter()
            .any(|(sender, receiver, until)| sender == from && receiver == to && now < *until)
    }

    /// Additional latency of the store's answer to a call, in microseconds.
    pub(super) fn store_answer_delay(&self, controller: usize, call: &Call) -> u64 {
        let for_reads = self.store_read_delay.filter(|_| call.method == "GET");
        let for_writes = self.store_write_delay.filter(|_| call.path == "/multi");
        for_reads
            .or(for_writes)
            .filter(|delay| delay.controller == controller)
            .map_or(0, |delay| delay.delay)
    }

    /// By how much the execution of a transaction is delayed; `None` if it is not delayed.
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
        if delayed.skipped > 0 {
            delayed.skipped -= 1;
            return None;
        }
        delayed.remaining -= 1;
        Some(delayed.delay)
    }

    /// Ends all faults; messages in flight are still delivered.
    pub fn clear(&mut self) {
        *self = FaultInjection::default();
    }

    pub(super) fn heartbeat_delay(&self, rng: &mut ChaCha8Rng) -> u64 {
        draw_delay(self.max_heartbeat_delay, rng)
    }

    pub(super) fn link_delay(&self, rng: &mut ChaCha8Rng) -> u64 {
        draw_delay(self.max_link_delay, rng)
    }

    /// Draws the receiver and the delay of a heartbeat's duplicate; `None` if the heartbeat is not duplicated.
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

    /// Draws the delay of a duplicate of a controller's request; `None` if the request is not duplicated.
    pub(super) fn duplicate_request(
        &self,
        call: &Call,
        to: &Endpoint,
        rng: &mut ChaCha8Rng,
    ) -> Option<u64> {
        if let (Endpoint::Controller(_), Some(duplication)) = (to, self.peer_duplication) {
            return duplication.draw(rng);
        }
        if let (Endpoint::Agent(_), Some(duplication)) = (to, self.command_duplication) {
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
