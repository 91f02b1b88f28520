//! Lease renewal by a follower for agents that cannot reach the leader.
//!
//! When a zone is cut off, the controller inside it may still reach the key-value store. It then answers the
//! zone's agents with the leader's term and with no commands except stops of cancelled tasks. Before it renews
//! the lease of a machine, it records that it does so, on the condition that the leader's term still holds; the
//! leader does not consider a lease expired while such a record names the machine. A machine is removed from the
//! record only after its lease has expired since the follower's last answer.
//!
//! While the store does not answer, nothing can be recorded. A lease is then renewed without a record, either
//! under a grant of the leader or because the leader's process has ended (see `crates/lease-delegation`).

mod heartbeat_routing;
mod renewals_record;

use crate::protocol::Micros;
use crate::protocol::agent_api::AgentHeartbeat;
use std::collections::{BTreeMap, BTreeSet};

pub use renewals_record::RECORD_REFRESH_INTERVAL;

/// Machine names remembered per map; a map that grows beyond that is cleared.
const MAX_REMEMBERED_MACHINES: usize = 4096;

/// Lease renewals by this controller while it is a follower.
#[derive(Default)]
pub struct DelegatedRenewals {
    /// Per machine whose lease is renewed here: the time of the last answer to its agent.
    last_renewals: BTreeMap<String, Micros>,
    /// Machines named by our record as committed.
    recorded_machines: BTreeSet<String>,
    /// The leadership on which our record is conditional.
    leadership: Leadership,
    /// Version of our record.
    record_version: u64,
    /// Start of the last read that showed our record and the leader record unchanged.
    last_confirmed_read: Micros,
    last_write_at: Micros,
    /// Minimum time between the last write and the next one: leaves a part of the write budget to clients'
    /// submissions and to a claim of leadership.
    write_delay: Micros,
    write_in_flight: bool,
    /// Heartbeats that are answered once our record names their machines.
    pending_heartbeats: Vec<PendingHeartbeat>,
    /// Per machine: when its agent was last redirected to the leader.
    redirected_at: BTreeMap<String, Micros>,
    /// Per machine: the newest message of its agent. A message with the same or a lower number is a duplicate
    /// and renews no lease.
    newest_messages: BTreeMap<String, MessageNumber>,
    /// Per machine: until when its heartbeats are relayed to the leader.
    relayed_until: BTreeMap<String, Micros>,
}

/// A leadership, identified by the leader record.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Leadership {
    term: u64,
    /// Version of the leader record in the store.
    record_version: u64,
}

/// An agent's heartbeat whose connection waits for an answer.
struct PendingHeartbeat {
    connection: u64,
    heartbeat: AgentHeartbeat,
}

/// Position of a message in the sequence of an agent's messages.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct MessageNumber {
    agent_epoch: u64,
    sequence: u64,
}

impl DelegatedRenewals {
    /// Whether leases are being renewed, so that confirmed reads are needed.
    pub fn active(&self) -> bool {
        !self.last_renewals.is_empty()
    }

    /// Start of the last read that showed our record and the leader record unchanged.
    pub fn last_confirmed_read(&self) -> Micros {
        self.last_confirmed_read
    }

    /// Notes an agent's message; returns whether it is newer than all earlier messages of this agent.
    fn note_message(&mut self, heartbeat: &AgentHeartbeat) -> bool {
        let machine = &heartbeat.machine;
        if self.newest_messages.len() > MAX_REMEMBERED_MACHINES
            && !self.newest_messages.contains_key(machine)
        {
            self.newest_messages.clear();
        }
        let number = MessageNumber {
            agent_epoch: heartbeat.agent_epoch,
            sequence: heartbeat.seq,
        };
        let newest = self.newest_messages.entry(machine.clone()).or_default();
        let is_newer = number > *newest;
        *newest = number.max(*newest);
        is_newer
    }

    /// Discards what was recorded under another leadership.
    fn reset(&mut self, leadership: Leadership) {
        self.leadership = leadership;
        self.recorded_machines.clear();
        self.last_renewals.clear();
        self.last_confirmed_read = Micros::ZERO;
    }
}
