//! FaultInjection beyond cuts: machines that hear nothing, heartbeat_duplication that come late.

use super::Endpoint;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use walnuttrestle::protocol::codec::decode;
use walnuttrestle::protocol::key_value_api::{Change, Transaction};
use walnuttrestle::transport::Call;

/// What does not reach a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DroppedDelivery {
    /// Answers to its reports.
    HeartbeatResponses,
    /// Direct commands.
    Commands,
}

/// How often something is copied, and how late the copy comes at most, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Duplication {
    pub probability: f64,
    pub max_delay: u64,
}

impl Duplication {
    fn draw(&self, rng: &mut ChaCha8Rng) -> Option<u64> {
        let some = rng.random_bool(self.probability);
        some.then(|| rng.random_range(500_000..self.max_delay.max(500_001)))
    }
}

#[derive(Debug, Default)]
pub struct FaultInjection {
    /// Machine, from which controller (none: from all), what, and until when.
    dropped: Vec<(String, Option<usize>, DroppedDelivery, u64)>,
    /// Duplication of reports. They come to any controller, unless they stay.
    pub heartbeat_duplication: Option<Duplication>,
    /// Duplication come to where the first went.
    pub duplicate_to_same_controller: bool,
    /// Duplication of what controllers have asked of agents and of the state service.
    pub request_duplication: Option<Duplication>,
    /// Duplication of what controllers have told and asked one another.
    pub peer_duplication: Option<Duplication>,
    /// The next so many transactions that write a key like this get no answer, and are carried out so much later.
    pub delayed_key: Option<(&'static str, u32, u64)>,
    /// Reports take up to this much longer.
    pub max_heartbeat_delay: u64,
    /// That share of transactions gets no answer, and is carried out 2 to 12 s later, after newer ones.
    pub delayed_write_probability: f64,
    /// The state service's answers to what this controller reads come so much later; what it writes is answered as ever.
    pub store_read_delay: Option<(usize, u64)>,
    /// The state service's answers to what this controller writes come so much later.
    pub store_write_delay: Option<(usize, u64)>,
    /// From whom, to whom, until when: what is sent that way is lost.
    one_way: Vec<(Endpoint, Endpoint, u64)>,
    /// Machines that reach no controller until then, while direct commands reach them.
    silenced: Vec<(String, u64)>,
    /// That share of transactions is carried out at once, and only the answer is lost.
    pub lost_write_answer_probability: f64,
    /// Calls whose answers are lost.
    lost_answers: BTreeSet<(usize, u64, u64)>,
    /// Of that share of reports a copy is stale_heartbeats for the next leader, and comes to every controller then.
    pub stale_heartbeat_probability: f64,
    stale_heartbeats: Vec<StaleHeartbeat>,
    /// The leader and the term for which heartbeat_duplication are being stale_heartbeats.
    last_leader: (Option<usize>, u64),
    /// Every message takes up to this much longer.
    pub max_link_delay: u64,
    /// Users look closely: at all nodes, within milliseconds, after what they were told of a job.
    pub client_probes: bool,
    /// That share of jobs is called off at the moment of its end.
    pub cancel_at_completion_probability: f64,
}

/// Duplication that are stale_heartbeats for the next leader, at most.
const MAX_STALE_HEARTBEATS: usize = 300;

/// A copy of a report: whose, its number, what it says.
pub(super) type StaleHeartbeat = (String, u64, Vec<u8>);

impl FaultInjection {
    /// Nothing reaches the machine any more, though its reports arrive.
    pub fn drop_all_deliveries(&mut self, machine: &str, until: u64) {
        self.drop_deliveries(
            machine,
            None,
            &[
                DroppedDelivery::HeartbeatResponses,
                DroppedDelivery::Commands,
            ],
            until,
        );
    }

    /// The same, of one controller or of all, and of some messages only.
    pub fn drop_deliveries(
        &mut self,
        machine: &str,
        of: Option<usize>,
        what: &[DroppedDelivery],
        until: u64,
    ) {
        for m in what {
            self.dropped.push((machine.to_string(), of, *m, until));
        }
    }

    pub fn drops_delivery(
        &self,
        machine: &str,
        node: usize,
        what: DroppedDelivery,
        now: u64,
    ) -> bool {
        self.dropped.iter().any(|(m, of, w, until)| {
            m == machine && of.is_none_or(|n| n == node) && *w == what && now < *until
        })
    }

    /// The machine reaches no controller, while direct commands reach it and are answered.
    pub fn silence_heartbeats(&mut self, machine: &str, until: u64) {
        self.silenced.push((machine.to_string(), until));
    }

    pub(super) fn is_silent(&self, machine: &str, now: u64) -> bool {
        self.silenced.iter().any(|(m, u)| m == machine && now < *u)
    }

    /// Whether only the answer to this transaction is lost.
    pub(super) fn maybe_lose_answer(
        &mut self,
        call: &Call,
        to: &Endpoint,
        of: (usize, u64, u64),
        rng: &mut ChaCha8Rng,
    ) {
        let written = *to == Endpoint::Store
            && call.path == "/multi"
            && self.lost_write_answer_probability > 0.0;
        if written && rng.random_bool(self.lost_write_answer_probability) {
            self.lost_answers.insert(of);
        }
    }

    pub(super) fn answer_is_lost(&mut self, of: &(usize, u64, u64)) -> bool {
        self.lost_answers.remove(of)
    }

    /// Keeps a copy of a report for the next leader, perhaps.
    pub(super) fn keep_stale_heartbeat(
        &mut self,
        copy: impl FnOnce() -> StaleHeartbeat,
        rng: &mut ChaCha8Rng,
    ) {
        if self.stale_heartbeat_probability > 0.0
            && self.stale_heartbeats.len() < MAX_STALE_HEARTBEATS
            && rng.random_bool(self.stale_heartbeat_probability)
        {
            self.stale_heartbeats.push(copy());
        }
    }

    /// The heartbeat_duplication that were stale_heartbeats, if there is another leader now.
    pub(super) fn stale_heartbeats_for(
        &mut self,
        leader: Option<usize>,
        term: u64,
    ) -> Vec<StaleHeartbeat> {
        if leader.is_none() || self.last_leader == (leader, term) {
            return Vec::new();
        }
        self.last_leader = (leader, term);
        std::mem::take(&mut self.stale_heartbeats)
    }

    /// What one sends the other is lost, requests and answers, but not the reverse.
    pub fn partition_one_way(&mut self, from: Endpoint, to: Endpoint, until: u64) {
        self.one_way.push((from, to, until));
    }

    /// How much later the answer to this request of the state service comes.
    pub(super) fn store_answer_delay(&self, node: usize, call: &Call) -> u64 {
        let reads = self.store_read_delay.filter(|_| call.method == "GET");
        let writes = self.store_write_delay.filter(|_| call.path == "/multi");
        let slow = reads.or(writes).filter(|(n, _)| *n == node);
        slow.map_or(0, |(_, late)| late)
    }

    /// How much later a request to the state service is carried out, without an answer.
    pub(super) fn write_delay(
        &mut self,
        call: &Call,
        to: &Endpoint,
        rng: &mut ChaCha8Rng,
    ) -> Option<u64> {
        if let Some((prefix, left, late)) = &mut self.delayed_key
            && *left > 0
            && *to == Endpoint::Store
            && let Some(txn) = decode::<Transaction>(&call.body)
        {
            let is = |c: &Change| matches!(c, Change::Put { put, .. } if put.starts_with(*prefix));
            if txn.changes.iter().any(is) {
                *left -= 1;
                return Some(*late);
            }
        }
        let written =
            *to == Endpoint::Store && call.path == "/multi" && self.delayed_write_probability > 0.0;
        let late = written && rng.random_bool(self.delayed_write_probability);
        late.then(|| rng.random_range(2_000_000..12_000_000))
    }

    pub(super) fn is_lost(&self, from: &Endpoint, to: &Endpoint, now: u64) -> bool {
        let cut = |(a, b, until): &(Endpoint, Endpoint, u64)| a == from && b == to && now < *until;
        self.one_way.iter().any(cut)
    }

    /// All is well again, and what was on its way has come.
    pub fn clear(&mut self) {
        *self = FaultInjection::default();
    }

    pub(super) fn heartbeat_delay(&self, rng: &mut ChaCha8Rng) -> u64 {
        match self.max_heartbeat_delay {
            0 => 0,
            most => rng.random_range(0..most),
        }
    }

    pub(super) fn link_delay(&self, rng: &mut ChaCha8Rng) -> u64 {
        match self.max_link_delay {
            0 => 0,
            most => rng.random_range(0..most),
        }
    }

    pub(super) fn duplicate_heartbeat(
        &self,
        node: usize,
        nodes: usize,
        rng: &mut ChaCha8Rng,
    ) -> Option<(usize, u64)> {
        let late = self.heartbeat_duplication?.draw(rng)?;
        let to = if self.duplicate_to_same_controller {
            node
        } else {
            rng.random_range(0..nodes)
        };
        Some((to, late))
    }

    pub(super) fn duplicate_request(
        &self,
        call: &Call,
        to: &Endpoint,
        rng: &mut ChaCha8Rng,
    ) -> Option<u64> {
        if let (Endpoint::Controller(_), Some(heartbeat_duplication)) = (to, self.peer_duplication)
        {
            return heartbeat_duplication.draw(rng);
        }
        let copied = matches!(to, Endpoint::Agent(_) | Endpoint::Store) && call.method == "POST";
        self.request_duplication.filter(|_| copied)?.draw(rng)
    }
}
