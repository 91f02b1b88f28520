//! Decides what a follower does with an agent's heartbeat: relay it to the leader, redirect the agent to the
//! leader, or renew the lease itself.

use super::{Leadership, MAX_REMEMBERED_MACHINES, UnansweredHeartbeat};
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

/// A leader that this controller has not heard for this long may be out of reach for its agents as well.
const LEADER_UNREACHABLE_AFTER: Micros = Micros::millis(1_600);
/// An agent that returns within this time after it was redirected has not reached the leader.
const FAILED_REDIRECT_WINDOW: Micros = Micros::millis(12_000);
/// How long an agent's heartbeats are relayed before the agent is redirected to the leader again.
const RELAY_DURATION: Micros = Micros::millis(8_000);
/// The same for an agent that did not reach the leader after a redirect.
const RELAY_DURATION_AFTER_FAILED_REDIRECT: Micros = Micros::millis(30_000);
/// How long the leader may take to answer a relayed heartbeat; the agent waits 4 s in all.
const RELAY_TIMEOUT: Micros = Micros::millis(1_500);

/// Another controller that leads.
struct RemoteLeader {
    node: String,
    leadership: Leadership,
}

impl Controller {
    /// Handles an agent's heartbeat while this controller does not lead.
    pub fn follower_heartbeat(&mut self, clock: Clock, connection: u64, heartbeat: AgentHeartbeat) {
        if !self.renewals.note_message(&heartbeat) {
            self.respond(connection, 421, &Misdirected::default());
            return;
        }
        if !self.cache.synced && self.may_renew_unrecorded(clock, &heartbeat) {
            // This controller has started during an outage, and peers have reported what it needs to know.
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

    /// The controller on record as leader, unless it is this one or the leader key is gone.
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

    /// Whether the leader, if reachable from here, is sent this heartbeat; starts the time for which an agent's
    /// heartbeats are relayed.
    ///
    /// An agent that has seen the current term has been in contact with the leader, and comes here because it no
    /// longer reaches it; its lease may not outlast a redirect that fails.
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
            report: Box::new(heartbeat),
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
        if let Outcome::Reply { status: 200, body } = outcome {
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

    /// Renews a lease on the leader's behalf, once it is recorded that this controller does so.
    fn renew_on_behalf(
        &mut self,
        clock: Clock,
        connection: u64,
        heartbeat: AgentHeartbeat,
        leadership: Leadership,
    ) {
        if self.renewals.leadership != leadership {
            self.renewals.reset(leadership);
            self.inherit_renewals(leadership.term);
        }
        if self.renewals.recorded.contains(&heartbeat.machine) {
            self.renew_recorded(clock, connection, &heartbeat);
        } else if !self.store_available() && self.may_renew_unrecorded(clock, &heartbeat) {
            self.renew_unrecorded(clock, connection, &heartbeat);
        } else if self.connectivity.isolated(clock.now) {
            // Nothing can be recorded from here: the agent should not wait for it.
            self.respond(connection, 421, &Misdirected::default());
        } else {
            let renewals = &mut self.renewals;
            let machine = heartbeat.machine.clone();
            renewals.last_answers.insert(machine, clock.now);
            renewals.unanswered.push(UnansweredHeartbeat {
                connection,
                heartbeat,
            });
            self.write_renewals(clock);
        }
    }

    /// Takes over the machines that an earlier run of this process has recorded: it may have renewed their
    /// leases until this run started. Our first record names them for the duration of a lease, since otherwise
    /// the leader would consider them lost and start their tasks elsewhere.
    fn inherit_renewals(&mut self, term: u64) {
        let own_records = self.cache.renewals_of(&self.settings.node);
        let current = own_records
            .into_iter()
            .flatten()
            .filter(|(record, _)| record.term == term);
        for machine in current.flat_map(|(record, _)| record.machines()) {
            self.renewals.last_answers.insert(machine, self.started_at);
        }
    }

    /// Whether a lease may be renewed without a record: under a grant of the leader, or because the leader's
    /// process has ended. The agent must have seen the leader's term: the leader may not know of an agent that
    /// has not, and would not wait for its lease to expire.
    pub(super) fn may_renew_unrecorded(&self, clock: Clock, heartbeat: &AgentHeartbeat) -> bool {
        let Some(leader) = self.known_leader() else {
            return false;
        };
        let covered_until = self.client_answers_covered_until();
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

    /// Renews the lease of a machine that our record names, unless the leadership has changed or the last
    /// confirmed read is too old.
    pub(super) fn renew_recorded(
        &mut self,
        clock: Clock,
        connection: u64,
        heartbeat: &AgentHeartbeat,
    ) {
        let staleness_bound = self.staleness_bound();
        let covered_until = self.client_answers_covered_until();
        let leadership_unchanged = self.renewal_leadership_unchanged();
        let renewals = &mut self.renewals;
        let confirmed_until = renewals.last_confirmed_read.max(covered_until) + staleness_bound;
        if !leadership_unchanged
            || clock.now >= confirmed_until
            || !renewals.recorded.contains(&heartbeat.machine)
        {
            self.refuse(connection, 503, "not entitled to renew");
            return;
        }
        let machine = heartbeat.machine.clone();
        renewals.last_answers.insert(machine, clock.now);
        let term = renewals.leadership.term;
        self.respond_with_renewal(connection, heartbeat, term);
    }

    /// Whether the leader record is still the one on which our renewals are conditional.
    pub(super) fn renewal_leadership_unchanged(&self) -> bool {
        let expected = self.renewals.leadership.record_version;
        let leader_record = self.cache.leader.as_ref();
        leader_record.is_some_and(|(_, version)| *version == expected)
    }

    /// Answers a heartbeat with no commands except stops of tasks whose jobs are cancelled. A cancellation is
    /// final, so any controller may stop these tasks.
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
