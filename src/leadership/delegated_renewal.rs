//! Lease renewal by a follower for agents that cannot reach the leader.
//!
//! When a zone is partitioned from the leader, the controller inside the zone may still reach the key-value store.
//! It then responds to the zone's agents with the leader's term and with no commands except stops of cancelled tasks.
//! Before it renews the lease of a machine, it records that it does so, on condition that the leader record is
//! unchanged; the leader does not consider a lease expired while such a record names the machine. A machine is
//! removed from the record only after the lease that the follower last renewed has expired.
//!
//! The response to a write of the record may be lost, and the write may be carried out at once, late or never. Until
//! that is known, leases are renewed only of machines that both the record and the write name.
//!
//! While the store is unavailable, nothing can be recorded. A lease is then renewed without a record, either under a
//! grant of the leader or because the leader's process has ended (see `crates/lease-delegation`).

mod heartbeat_routing;
mod renewals_record;

use crate::protocol::Micros;
use crate::protocol::agent_api::AgentHeartbeat;
use std::collections::{BTreeMap, BTreeSet};

pub use renewals_record::RECORD_REFRESH_INTERVAL;

/// Maximum number of machines per map; a map that exceeds it is cleared.
const MAX_REMEMBERED_MACHINES: usize = 4096;

/// Lease renewals by this controller while it is a follower.
#[derive(Default)]
pub struct DelegatedRenewals {
    /// Per machine whose lease this controller renews, the time of the last renewal or, while the first one waits
    /// for the record, of the heartbeat. Includes machines that an earlier incarnation has recorded.
    last_renewals: BTreeMap<String, Micros>,
    /// Machines that the committed record of this controller names, and that it will name if a write whose outcome is
    /// unknown is carried out.
    recorded_machines: BTreeSet<String>,
    /// The leadership on which writes of the record are conditional.
    leadership: Leadership,
    /// Version of the record of this controller to which `recorded_machines` applies.
    record_version: u64,
    /// When this controller last renewed a lease that the record names.
    last_renewal_at: Micros,
    /// Start of the last read that showed both the renewals record and the leader record unchanged.
    last_confirmed_read: Micros,
    last_write_at: Micros,
    /// Minimum time between the last write and the next one, which leaves a part of the write budget for clients'
    /// submissions and for a claim of leadership.
    write_delay: Micros,
    write_in_flight: bool,
    /// Per machine, the newest heartbeat that waits for a response until the record names the machine.
    pending_heartbeats: BTreeMap<String, PendingHeartbeat>,
    /// Per machine, when its agent was last redirected to the leader.
    redirected_at: BTreeMap<String, Micros>,
    /// Per machine, the highest message number of its agent. A message with the same or a lower number is a
    /// duplicate or was delayed, and renews no lease.
    newest_messages: BTreeMap<String, MessageNumber>,
    /// Per machine, until when its heartbeats are relayed to the leader.
    relayed_until: BTreeMap<String, Micros>,
}

/// A leadership, identified by the leader record.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Leadership {
    term: u64,
    /// Version of the leader record in the store.
    record_version: u64,
}

/// An agent's heartbeat whose connection waits for the response.
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

    /// Start of the last read that showed both the renewals record and the leader record unchanged.
    pub fn last_confirmed_read(&self) -> Micros {
        self.last_confirmed_read
    }

    /// Records the number of an agent's message; returns whether it is newer than all earlier messages of this agent.
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

    /// Switches to another leadership and discards the renewals under the previous one. `record_version`: version of
    /// the record of this controller.
    fn reset(&mut self, leadership: Leadership, record_version: u64) {
        self.leadership = leadership;
        self.record_version = record_version;
        self.recorded_machines.clear();
        self.last_renewals.clear();
        self.last_confirmed_read = Micros::ZERO;
    }
}
