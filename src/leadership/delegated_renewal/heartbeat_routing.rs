//! Decides what a follower does with an agent's heartbeat: relay it to the leader, redirect the agent to the
//! leader, or renew the lease itself.

use super::{Leadership, MAX_REMEMBERED_MACHINES, PendingHeartbeat};
use crate::controller::Controller;
use crate::messages::PendingCall;
use crate::protocol::agent_api::{
    AgentHeartbeat, AgentHeartbeatResponse, Command, Misdirected, TaskPhase,
};
use crate::protocol::codec::encode;
use crate::protocol::{Clock, Micros};
use crate::state::agent::parse_task_name;
use crate::transport::{NetworkCommand, Outcome};
use std::net::SocketAddr;

/// Time without contact with the leader after which the leader may be unreachable for this controller's agents as well.
const LEADER_UNREACHABLE_AFTER: Micros = Micros::millis(1_600);
/// An agent that returns within this time after a redirect is assumed not to have reached the leader.
const FAILED_REDIRECT_WINDOW: Micros = Micros::millis(12_000);
/// How long an agent's heartbeats are relayed before the agent is redirected to the leader again.
const RELAY_DURATION: Micros = Micros::millis(8_000);
/// `RELAY_DURATION` for an agent that did not reach the leader after a redirect.
const RELAY_DURATION_AFTER_FAILED_REDIRECT: Micros = Micros::millis(30_000);
/// Timeout of a heartbeat that is relayed to the leader; the agent's own timeout is 4 s.
const RELAY_TIMEOUT: Micros = Micros::millis(1_500);

/// The leader, if it is another controller.
struct RemoteLeader {
    node: String,
    leadership: Leadership,
}

impl Controller {
    /// Handles an agent's heartbeat while this controller does not lead.
    pub fn on_heartbeat_as_follower(
        &mut self,
        clock: Clock,
        connection: u64,
        heartbeat: AgentHeartbeat,
    ) {
        if !self.renewals.note_message(&heartbeat) {
            self.respond(connection, 421, &Misdirected::default());
            return;
        }
        if !self.cache.synced && self.may_renew_unrecorded(clock, &heartbeat) {
            // This controller started while the store was unavailable, and peers have sent it a record summary.
            self.renew_unrecorded(clock, connection, &heartbeat);
            return;
        }
        let leader = self.remote_leader();
        let Some(leader) = leader.filter(|leader| heartbeat.term <= leader.leadership.term) else {
            self.respond(connection, 421, &Misdirected::default());
            return;
        };
        let relay = self.should_relay(clock, &heartbeat, &leader);
        if self.leader_unreachable(clock, &leader.node) {
            self.renew_on_behalf(clock, connection, heartbeat, leader.leadership);
            return;
        }
        match self.peer_address(&leader.node).filter(|_| relay) {
            Some(address) => self.relay_to_leader(connection, heartbeat, &leader.node, address),
            None => self.redirect_to_leader(clock, connection, heartbeat, leader.node),
        }
    }

    /// The leader on record, unless it is this controller or the leader key has been deleted.
    fn remote_leader(&self) -> Option<RemoteLeader> {
        let (record, version) = self.cache.leader.as_ref()?;
        if record.node == self.settings.node || self.cache.leader_lease_version.is_none() {
            return None;
        }
        Some(RemoteLeader {
            node: record.node.clone(),
            leadership: Leadership {
                term: record.term,
                record_version: *version,
            },
        })
    }

    fn leader_unreachable(&self, clock: Clock, leader: &str) -> bool {
        self.leader_process_restarted()
            || self
                .leader_silence(clock, leader)
                .is_some_and(|silence| silence >= LEADER_UNREACHABLE_AFTER)
    }

    fn peer_address(&self, node: &str) -> Option<SocketAddr> {
        let peer = self.settings.peers.iter().find(|peer| peer.node == node)?;
        Some(peer.address)
    }

    /// Whether to relay this heartbeat to the leader, provided that the leader is reachable from this controller.
    /// The first call for an agent starts the period in which its heartbeats are relayed.
    ///
    /// An agent that has seen the current term has been in contact with the leader. It now contacts this controller
    /// because it no longer reaches the leader, and its lease may not outlast a failed redirect.
    fn should_relay(
        &mut self,
        clock: Clock,
        heartbeat: &AgentHeartbeat,
        leader: &RemoteLeader,
    ) -> bool {
        let renewals = &mut self.renewals;
        let redirect_failed = renewals
            .redirected_at
            .get(&heartbeat.machine)
            .is_some_and(|at| clock.now.since(*at) < FAILED_REDIRECT_WINDOW);
        let duration = if redirect_failed {
            RELAY_DURATION_AFTER_FAILED_REDIRECT
        } else {
            RELAY_DURATION
        };
        let relayed_until = *renewals
            .relayed_until
            .entry(heartbeat.machine.clone())
            .or_insert(clock.now + duration);
        let lost_leader = heartbeat.term == leader.leadership.term || redirect_failed;
        lost_leader && clock.now < relayed_until
    }

    fn relay_to_leader(
        &mut self,
        connection: u64,
        heartbeat: AgentHeartbeat,
        leader: &str,
        address: SocketAddr,
    ) {
        log::debug!(
            "heartbeat relayed machine={} leader={leader}",
            heartbeat.machine
        );
        let body = encode(&heartbeat);
        let call = PendingCall::RelayedHeartbeat {
            conn: connection,
            heartbeat: Box::new(heartbeat),
        };
        self.call(call, address, "POST", "/hello", body, RELAY_TIMEOUT);
    }

    fn redirect_to_leader(
        &mut self,
        clock: Clock,
        connection: u64,
        heartbeat: AgentHeartbeat,
        leader: String,
    ) {
        log::debug!(
            "agent redirected machine={} leader={leader}",
            heartbeat.machine
        );
        let renewals = &mut self.renewals;
        renewals.relayed_until.remove(&heartbeat.machine);
        renewals.redirected_at.insert(heartbeat.machine, clock.now);
        if renewals.redirected_at.len() > MAX_REMEMBERED_MACHINES {
            renewals.redirected_at.clear();
        }
        let leader = Some(leader);
        self.respond(connection, 421, &Misdirected { leader });
    }

    /// Handles the outcome of a heartbeat that was relayed to the leader.
    pub fn on_relay_response(
        &mut self,
        clock: Clock,
        connection: u64,
        heartbeat: AgentHeartbeat,
        outcome: Outcome,
    ) {
        if let Outcome::Response { status: 200, body } = outcome {
            self.commands.push(NetworkCommand::Respond {
                conn: connection,
                status: 200,
                body,
                retry_after: None,
            });
            return;
        }
        let leadership = self
            .cache
            .leader
            .as_ref()
            .filter(|(record, _)| {
                record.node != self.settings.node && record.term >= heartbeat.term
            })
            .map(|(record, version)| Leadership {
                term: record.term,
                record_version: *version,
            });
        match leadership {
            Some(leadership) if self.leader.is_none() => {
                self.renew_on_behalf(clock, connection, heartbeat, leadership);
            }
            _ => self.respond(connection, 421, &Misdirected::default()),
        }
    }

    /// Renews a lease on the leader's behalf, after recording that this controller does so. While the store is
    /// unavailable, the lease is renewed without a record if that is permitted.
    fn renew_on_behalf(
        &mut self,
        clock: Clock,
        connection: u64,
        heartbeat: AgentHeartbeat,
        leadership: Leadership,
    ) {
        if self.renewals.leadership != leadership {
            let record_version = self.cached_renewals_version();
            self.renewals.reset(leadership, record_version);
            self.inherit_renewals();
        }
        if self.renewals.recorded_machines.contains(&heartbeat.machine) {
            self.renew_recorded(clock, connection, &heartbeat);
        } else if !self.store_available() && self.may_renew_unrecorded(clock, &heartbeat) {
            self.renew_unrecorded(clock, connection, &heartbeat);
        } else if self.connectivity.is_isolated(clock.now) {
            // The renewal cannot be recorded, so the agent is redirected at once instead of waiting for the write.
            self.respond(connection, 421, &Misdirected::default());
        } else {
            self.wait_for_record(clock, connection, heartbeat);
            self.write_renewals_record(clock);
        }
    }

    /// Delays the response to a heartbeat until the record names its machine. An older heartbeat of the machine that is
    /// still waiting is refused: its agent has given up waiting.
    fn wait_for_record(&mut self, clock: Clock, connection: u64, heartbeat: AgentHeartbeat) {
        let renewals = &mut self.renewals;
        let machine = heartbeat.machine.clone();
        renewals.last_renewals.insert(machine.clone(), clock.now);
        let pending = PendingHeartbeat {
            connection,
            heartbeat,
        };
        if let Some(older) = renewals.pending_heartbeats.insert(machine, pending) {
            self.refuse(older.connection, 503, "a newer heartbeat has arrived");
        }
    }

    /// Takes over the machines that an earlier incarnation of this controller has recorded, since it may have renewed
    /// their leases until this incarnation started. The first record of this incarnation must name them for the
    /// duration of a lease: otherwise the leader would consider the leases expired and start the tasks elsewhere.
    fn inherit_renewals(&mut self) {
        for machine in self.machines_on_record() {
            self.renewals.last_renewals.insert(machine, self.started_at);
        }
    }

    /// Whether a lease may be renewed without a record: under a grant of the leader, or because the leader's
    /// process has ended. The agent must have seen the leader's term: otherwise it may never have been in contact
    /// with the leader, which would then not wait for the lease to expire.
    pub(super) fn may_renew_unrecorded(&self, clock: Clock, heartbeat: &AgentHeartbeat) -> bool {
        let Some(leader) = self.known_leader() else {
            return false;
        };
        let covered_until = self.client_responses_covered_until();
        let staleness_bound = self.staleness_bound();
        let grant = &self.peers.renewal_grant;
        heartbeat.term == leader.term
            && grant.may_renew(&leader, covered_until.0, clock.now.0, staleness_bound.0)
    }

    /// Renews a lease without a record.
    pub(super) fn renew_unrecorded(
        &mut self,
        clock: Clock,
        connection: u64,
        heartbeat: &AgentHeartbeat,
    ) {
        let grant = &mut self.peers.renewal_grant;
        if grant.time_since_use(clock.now.0).is_none() {
            log::info!("unrecorded lease renewal started term={}", heartbeat.term);
        }
        log::debug!("lease renewed machine={} recorded=false", heartbeat.machine);
        grant.record_use(clock.now.0);
        self.respond_with_renewal(connection, heartbeat, heartbeat.term);
    }

    /// Renews the lease of a machine that the record names, unless the leadership has changed or the last confirmed
    /// read is too old.
    pub(super) fn renew_recorded(
        &mut self,
        clock: Clock,
        connection: u64,
        heartbeat: &AgentHeartbeat,
    ) {
        let staleness_bound = self.staleness_bound();
        let covered_until = self.client_responses_covered_until();
        let leadership_unchanged = self.renewal_leadership_unchanged();
        let renewals = &mut self.renewals;
        let confirmed_until = renewals.last_confirmed_read.max(covered_until) + staleness_bound;
        if !leadership_unchanged
            || clock.now >= confirmed_until
            || !renewals.recorded_machines.contains(&heartbeat.machine)
        {
            self.refuse(connection, 503, "not entitled to renew");
            return;
        }
        let machine = heartbeat.machine.clone();
        renewals.last_renewals.insert(machine, clock.now);
        renewals.last_renewal_at = clock.now;
        let term = renewals.leadership.term;
        self.respond_with_renewal(connection, heartbeat, term);
    }

    /// Whether the leader record is still the one on which the renewals are conditional.
    pub(super) fn renewal_leadership_unchanged(&self) -> bool {
        let expected = self.renewals.leadership.record_version;
        let leader_record = self.cache.leader.as_ref();
        leader_record.is_some_and(|(_, version)| *version == expected)
    }

    /// Responds to a heartbeat with a renewed lease and no commands except stops of tasks whose jobs are cancelled. A
    /// cancellation is final, so any controller may stop these tasks.
    fn respond_with_renewal(&mut self, connection: u64, heartbeat: &AgentHeartbeat, term: u64) {
        let commands = heartbeat
            .tasks
            .iter()
            .filter(|task| task.phase != TaskPhase::Exited)
            .filter(|task| {
                parse_task_name(&task.task).is_some_and(|(job, _)| self.is_cancelled(job))
            })
            .map(|task| Command::Stop {
                task: task.task.clone(),
                attempt: task.attempt,
                grace_s: 0.0,
            })
            .collect();
        self.respond(connection, 200, &AgentHeartbeatResponse { term, commands });
    }
}
