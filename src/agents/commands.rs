//! Commands to agents, sent in heartbeat responses and by direct calls, and the handling of responses to direct calls.

use crate::agents::leader_state::LeaderState;
use crate::agents::reconciliation::{Delivery, DueCommands, due_commands};
use crate::controller::Controller;
use crate::messages::{PendingCall, PendingRequest, StoreRequestPurpose};
use crate::protocol::agent_api::{AgentCommands, AgentHeartbeat, Command};
use crate::protocol::codec::encode;
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{LEADER_KEY, LeaderRecord};
use crate::protocol::{Clock, Micros};
use crate::state::agent::{Agent, AttemptKey, StartState, parse_agent_heartbeat};
use crate::state::store_client::{RequestPriority, StoreRequest};
use crate::transport::Outcome;
use std::net::SocketAddr;

/// HTTP path of direct commands.
const COMMANDS_PATH: &str = "/orders";
/// Delay before direct commands that got no response are sent again.
const COMMAND_RETRY: Micros = Micros::millis(1000);
/// Delay before the next direct commands to an agent that rejected the last ones.
const REJECTED_RETRY: Micros = Micros::millis(200);
/// An agent that has seemed unreachable for longer than this is called only once per `UNREACHABLE_RETRY`.
const LONG_UNREACHABLE_AFTER: Micros = Micros::millis(6000);
/// Interval of direct calls to an agent that has seemed unreachable for long.
const UNREACHABLE_RETRY: Micros = Micros::millis(5000);
/// Limits of the exited attempts that an agent retains, smallest first. Attempts that must not be forgotten yet lengthen
/// every heartbeat; a higher term fences all duplicates of their starts, but every agent has to learn it. The second limit
/// keeps heartbeats far below the size that controllers accept.
const RETAINED_EXITS_LIMITS: [RetainedExitsLimit; 2] = [
    RetainedExitsLimit {
        max_exits: 40,
        min_term_age: Micros::millis(60_000),
    },
    RetainedExitsLimit {
        max_exits: 240,
        min_term_age: Micros::millis(5_000),
    },
];
/// Interval at which all agents are checked for due commands, so that commands are repeated. An agent is checked sooner
/// when an event affects it or a job on it.
const FULL_CHECK_INTERVAL: Micros = Micros::millis(1000);
/// An agent whose heartbeat we answered within this time will show our term in its next heartbeat without a direct
/// call.
const RECENT_ANSWER: Micros = Micros::millis(1200);
/// Timeout of a direct call.
const COMMAND_TIMEOUT: Micros = Micros::millis(2500);

/// If an agent retains more exited attempts than this, the leader raises its term.
struct RetainedExitsLimit {
    max_exits: usize,
    /// Minimum age of the term before it is raised for this reason.
    min_term_age: Micros,
}

/// A direct call to an agent that is about to be sent.
struct DirectCall {
    tag: PendingCall,
    address: SocketAddr,
    body: Vec<u8>,
}

impl LeaderState {
    /// Machines to check for due commands: those affected by an event or, once per `FULL_CHECK_INTERVAL`, all.
    fn command_candidates(&mut self, now: Micros) -> Vec<String> {
        let is_ready = |agent: &Agent| {
            !agent.commands_in_flight && agent.next_commands_at <= now && !agent.epoch_ended()
        };
        let to_check = std::mem::take(&mut self.machines_to_check);
        if self.next_full_check_at > now {
            return to_check
                .into_iter()
                .filter(|machine| self.agents.get(machine).is_some_and(is_ready))
                .collect();
        }
        self.next_full_check_at = now + FULL_CHECK_INTERVAL;
        self.agents
            .iter()
            .filter(|(_, agent)| is_ready(agent))
            .map(|(machine, _)| machine.clone())
            .collect()
    }

    /// Whether the agent of a machine retains so many exited attempts that the term should be raised.
    fn retains_too_many_exits(&self, machine: &str, now: Micros) -> bool {
        let Some(agent) = self.agents.get(machine) else {
            return false;
        };
        let term_age = now.since(self.term_since);
        let exceeds = |limit: &RetainedExitsLimit| {
            // The length is compared first because `retained_exits` looks up each start.
            term_age > limit.min_term_age
                && agent.tasks.len() > limit.max_exits
                && agent.retained_exits() > limit.max_exits
        };
        RETAINED_EXITS_LIMITS.iter().any(exceeds)
    }

    /// Prepares a direct call with the due commands, and records its starts and stops. Returns None if there is nothing
    /// to send or the agent has no address.
    fn prepare_direct_call(
        &mut self,
        machine: &str,
        due: DueCommands,
        now: Micros,
    ) -> Option<DirectCall> {
        let term = self.term;
        let agent = self.agents.get_mut(machine)?;
        if due.commands.is_empty() && !needs_contact(agent, term, self.term_since, now) {
            return None;
        }
        let address = agent.address?;
        agent.commands_in_flight = true;
        for key in &due.stops {
            agent.stops.insert(key.clone(), now);
        }
        for key in &due.starts {
            start_under_term(agent, key.clone(), term).in_flight = true;
        }
        let commands = AgentCommands {
            term,
            agent_epoch: agent.agent_epoch,
            commands: due.commands,
        };
        let tag = PendingCall::AgentCommands {
            machine: machine.to_string(),
            starts: due.starts,
            term,
            agent_epoch: agent.agent_epoch,
        };
        Some(DirectCall {
            tag,
            address,
            body: encode(&commands),
        })
    }
}

/// Whether to call an agent although no command is due. An empty list shows our term to an agent that has not seen it,
/// which fences all commands of earlier leaders. An agent that seems unreachable is called as well, because a response
/// proves that it is reachable.
fn needs_contact(agent: &Agent, term: u64, term_began: Micros, now: Micros) -> bool {
    if agent.agent_epoch == 0 {
        return false;
    }
    if !agent.reachability.is_reachable() {
        return true;
    }
    let shows_term_soon = agent
        .last_answered_at
        .is_some_and(|at| at >= term_began && now < at + RECENT_ANSWER);
    agent.term != term && !shows_term_soon
}

/// Returns the state of a start that is sent under our term. What was sent under an earlier term is discarded.
fn start_under_term(agent: &mut Agent, key: AttemptKey, term: u64) -> &mut StartState {
    let start = agent.starts.entry(key).or_default();
    if start.term != term {
        *start = StartState {
            term,
            ..StartState::default()
        };
    }
    start
}

/// Records that a direct start was not executed. The start is removed unless an earlier send of the same attempt may
/// have been executed.
fn mark_not_executed(agent: &mut Agent, key: &AttemptKey) {
    let Some(start) = agent.starts.get_mut(key) else {
        return;
    };
    start.in_flight = false;
    if !start.unresolved && !start.acknowledged && start.sent_with_response_to.is_none() {
        agent.starts.remove(key);
    }
}

/// The direct commands to which a response belongs.
struct SentCommands {
    starts: Vec<AttemptKey>,
    term: u64,
    agent_epoch: u64,
}

impl SentCommands {
    /// The starts among them; none if the agent has begun another epoch since.
    fn starts_of_epoch(&self, agent: &Agent) -> &[AttemptKey] {
        if self.agent_epoch == agent.agent_epoch {
            &self.starts
        } else {
            &[]
        }
    }

    /// Records that the commands were never sent or were rejected by the agent.
    fn mark_not_executed(&self, agent: &mut Agent) {
        for key in self.starts_of_epoch(agent) {
            mark_not_executed(agent, key);
        }
    }

    /// Records that the agent acknowledged the commands.
    fn mark_executed(&self, agent: &mut Agent) {
        self.update_starts(agent, |start| start.acknowledged = true);
    }

    /// Records that the commands may have been executed or may still be executed later.
    fn mark_unknown(&self, agent: &mut Agent) {
        self.update_starts(agent, |start| start.unresolved = true);
    }

    fn update_starts(&self, agent: &mut Agent, update: impl Fn(&mut StartState)) {
        for key in self.starts_of_epoch(agent) {
            let start = agent.starts.get_mut(key);
            if let Some(start) = start.filter(|start| start.term == self.term) {
                update(start);
                start.in_flight = false;
            }
        }
    }
}

/// Response of an agent to direct commands.
enum CommandsResponse {
    /// The request was never sent.
    NotSent,
    /// The agent executed the commands; its state after that.
    Executed(AgentHeartbeat),
    /// The agent rejected the commands because it has seen a higher term or has begun another epoch; its state.
    Rejected(AgentHeartbeat),
    /// No response, or an unusable one.
    Unknown,
}

impl CommandsResponse {
    fn parse(machine: &str, outcome: Outcome) -> CommandsResponse {
        let (status, body) = match outcome {
            Outcome::Response { status, body } => (status, body),
            Outcome::NotSent => return CommandsResponse::NotSent,
            Outcome::Lost => return CommandsResponse::Unknown,
        };
        if !matches!(status, 200 | 409) {
            return CommandsResponse::Unknown;
        }
        let heartbeat =
            parse_agent_heartbeat(&body).filter(|heartbeat| heartbeat.machine == machine);
        match heartbeat {
            Some(heartbeat) if status == 200 => CommandsResponse::Executed(heartbeat),
            Some(heartbeat) => CommandsResponse::Rejected(heartbeat),
            None => CommandsResponse::Unknown,
        }
    }
}

impl Controller {
    /// Returns the commands for the response to a heartbeat. Starts are included only if the heartbeat was `relayed`,
    /// because direct calls may not reach the agent then.
    pub fn commands_for(
        &mut self,
        clock: Clock,
        heartbeat: &AgentHeartbeat,
        relayed: bool,
    ) -> Vec<Command> {
        let machine = &heartbeat.machine;
        let Some(leader) = &mut self.leader else {
            return Vec::new();
        };
        let due = due_commands(
            leader,
            &self.cache,
            &self.peers.reported_cancellations,
            machine,
            clock.now,
            Delivery::HeartbeatResponse,
        );
        if let Some(agent) = leader.agents.get_mut(machine) {
            for key in due.stops {
                agent.stops.insert(key, clock.now);
            }
            for key in due.starts.into_iter().filter(|_| relayed) {
                start_under_term(agent, key, leader.term).sent_with_response_to =
                    Some(heartbeat.seq);
            }
        }
        due.commands
            .into_iter()
            .filter(|command| relayed || !matches!(command, Command::Start { .. }))
            .collect()
    }

    /// Sends direct commands to the agents that an event affected and, periodically, checks all agents. Returns when
    /// all are checked next.
    pub fn send_commands(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let Some(leader) = &mut self.leader else {
            return Micros::FAR_FUTURE;
        };
        let mut needs_fence = false;
        let mut calls = Vec::new();
        for machine in leader.command_candidates(now) {
            let due = due_commands(
                leader,
                &self.cache,
                &self.peers.reported_cancellations,
                &machine,
                now,
                Delivery::Direct,
            );
            needs_fence |= due.needs_fence || leader.retains_too_many_exits(&machine, now);
            calls.extend(leader.prepare_direct_call(&machine, due, now));
        }
        let next_full_check = leader.next_full_check_at;
        for call in calls {
            self.call(
                call.tag,
                call.address,
                "POST",
                COMMANDS_PATH,
                call.body,
                COMMAND_TIMEOUT,
            );
        }
        if needs_fence {
            self.raise_term();
        }
        next_full_check
    }

    /// Raises our term, so that agents that see the new term reject all unanswered commands of the old one.
    pub fn raise_term(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader.term_raise_pending {
            return;
        }
        leader.term_raise_pending = true;
        let record = LeaderRecord {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            term: leader.term + 1,
        };
        let transaction = Transaction {
            conditions: vec![VersionCondition::new(LEADER_KEY, leader.version)],
            changes: vec![Change::put(LEADER_KEY, &record, None)],
        };
        self.store.enqueue(
            RequestPriority::Urgent,
            StoreRequestPurpose::RaiseTerm,
            StoreRequest::Transaction(transaction),
        );
    }

    /// Handles the response to direct commands that were sent under `term` for `agent_epoch`.
    pub fn on_commands_response(
        &mut self,
        clock: Clock,
        machine: &str,
        starts: Vec<AttemptKey>,
        term: u64,
        agent_epoch: u64,
        outcome: Outcome,
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(agent) = leader.agents.get_mut(machine) else {
            return;
        };
        agent.commands_in_flight = false;
        leader.machines_to_check.insert(machine.to_string());
        let sent = SentCommands {
            starts,
            term,
            agent_epoch,
        };
        match CommandsResponse::parse(machine, outcome) {
            CommandsResponse::NotSent => {
                agent.next_commands_at = clock.now + COMMAND_RETRY;
                sent.mark_not_executed(agent);
            }
            CommandsResponse::Executed(heartbeat) => {
                agent.reachability.on_commands_answered(clock.now);
                sent.mark_executed(agent);
                self.apply_heartbeat(clock, &heartbeat);
            }
            CommandsResponse::Rejected(heartbeat) => {
                agent.reachability.on_commands_answered(clock.now);
                agent.next_commands_at = clock.now + REJECTED_RETRY;
                sent.mark_not_executed(agent);
                self.on_commands_rejected(clock, &heartbeat);
            }
            CommandsResponse::Unknown => {
                agent.reachability.on_commands_unanswered(clock.now);
                agent.next_commands_at = clock.now + retry_delay(agent, clock.now);
                sent.mark_unknown(agent);
            }
        }
    }

    /// Applies the state of an agent that rejected our commands. If the agent has seen a higher term, checks whether we
    /// are still the leader.
    fn on_commands_rejected(&mut self, clock: Clock, heartbeat: &AgentHeartbeat) {
        let our_term = self.leader.as_ref().map(|leader| leader.term);
        self.apply_heartbeat(clock, heartbeat);
        if our_term.is_some_and(|our_term| heartbeat.term > our_term) {
            log::info!(
                "commands rejected machine={} agent_term={} reason=higher_term",
                heartbeat.machine,
                heartbeat.term
            );
            self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
        }
    }
}

/// Delay before direct commands that got no response are sent again.
fn retry_delay(agent: &Agent, now: Micros) -> Micros {
    let unreachable_since = agent.reachability.suspected_since();
    if unreachable_since.is_some_and(|since| now.since(since) > LONG_UNREACHABLE_AFTER) {
        UNREACHABLE_RETRY
    } else {
        COMMAND_RETRY
    }
}
