//! Commands to agents: sent with the answers to their heartbeats and by direct calls, and what the responses to direct
//! calls show.

use crate::agents::leader_state::LeaderState;
use crate::agents::reconciliation::{Delivery, DueCommands, due_commands};
use crate::controller::Controller;
use crate::messages::{PendingCall, PendingRequest, StoreRequestPurpose};
use crate::protocol::agent_api::{AgentCommands, AgentHeartbeat, Command};
use crate::protocol::codec::encode;
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{LEADER_KEY, LeaderRecord};
use crate::protocol::{Clock, Micros};
use crate::state::agent::{Agent, AttemptKey, DirectStart, parse_agent_heartbeat};
use crate::state::store_client::{RequestPriority, StoreRequest};
use crate::transport::Outcome;
use std::net::SocketAddr;

/// HTTP path of direct commands.
const COMMANDS_PATH: &str = "/orders";
/// Direct commands that got no response are sent again after this.
const COMMAND_RETRY: Micros = Micros::millis(1000);
/// An agent that rejected direct commands is sent the next ones after this.
const REJECTED_RETRY: Micros = Micros::millis(200);
/// An agent that has seemed unreachable for longer than this is called less often.
const LONG_UNREACHABLE: Micros = Micros::millis(6000);
/// Interval of direct calls to an agent that has seemed unreachable for long.
const UNREACHABLE_RETRY: Micros = Micros::millis(5000);
/// Exited attempts that an agent must not forget yet make its heartbeats long. Beyond this many the leader raises its
/// term, which fences all duplicates of their starts.
const MAX_KEPT_ATTEMPTS: usize = 40;
/// The term is raised for kept attempts no more often than this.
const KEPT_ATTEMPTS_FENCE_INTERVAL: Micros = Micros::millis(60_000);
/// All agents are checked for due commands at this interval, for commands to be repeated. Whatever happens to an
/// agent or to the jobs on it has it checked sooner.
const FULL_CHECK_INTERVAL: Micros = Micros::millis(1000);
/// An agent that we answered this recently shows our term by itself with its next heartbeat.
const TERM_SHOWN_WITHIN: Micros = Micros::millis(1200);
/// Timeout of a direct call.
const COMMAND_TIMEOUT: Micros = Micros::millis(2500);

/// A direct call to an agent that is about to be sent.
struct DirectCall {
    tag: PendingCall,
    address: SocketAddr,
    body: Vec<u8>,
}

impl LeaderState {
    /// Machines to be checked for due commands: those that something happened to, or at intervals all.
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

    /// Whether the agent of a machine keeps so many exited attempts that the term should be raised.
    fn keeps_too_many_attempts(&self, machine: &str, now: Micros) -> bool {
        // The length is compared first: counting looks each start up.
        let too_many = |agent: &Agent| {
            agent.tasks.len() > MAX_KEPT_ATTEMPTS && agent.retained_exits() > MAX_KEPT_ATTEMPTS
        };
        now.since(self.since) > KEPT_ATTEMPTS_FENCE_INTERVAL
            && self.agents.get(machine).is_some_and(too_many)
    }

    /// Prepares a direct call with the commands that are due, and records what it starts and stops. None: there is
    /// nothing to send, or no address.
    fn prepare_direct_call(
        &mut self,
        machine: &str,
        due: DueCommands,
        now: Micros,
    ) -> Option<DirectCall> {
        let term = self.term;
        let agent = self.agents.get_mut(machine)?;
        if due.commands.is_empty() && !needs_contact(agent, term, self.since, now) {
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

/// Whether an agent is called although no command is due. An agent that has not seen our term is shown it with an
/// empty list, which fences all that an older leader has sent. An agent that seems unreachable is called as well: its
/// response shows that it is reachable.
fn needs_contact(agent: &Agent, term: u64, term_began: Micros, now: Micros) -> bool {
    if agent.agent_epoch == 0 {
        return false;
    }
    if !agent.reachability.receives() {
        return true;
    }
    let shows_term_soon = agent
        .last_answered_at
        .is_some_and(|at| at >= term_began && now < at + TERM_SHOWN_WITHIN);
    agent.term != term && !shows_term_soon
}

/// The state of a start that is sent under our term; what was sent under an older one no longer counts.
fn start_under_term(agent: &mut Agent, key: AttemptKey, term: u64) -> &mut DirectStart {
    let start = agent.starts.entry(key).or_default();
    if start.term != term {
        *start = DirectStart {
            term,
            ..DirectStart::default()
        };
    }
    start
}

/// Notes that a direct start was certainly not carried out; earlier starts of the same attempt may have been.
fn mark_not_executed(agent: &mut Agent, key: &AttemptKey) {
    let Some(start) = agent.starts.get_mut(key) else {
        return;
    };
    start.in_flight = false;
    if !start.unresolved && !start.acknowledged && start.sent_with_response_to.is_none() {
        agent.starts.remove(key);
    }
}

/// Identifies direct commands that a response belongs to.
struct SentCommands {
    starts: Vec<AttemptKey>,
    term: u64,
    agent_epoch: u64,
}

impl SentCommands {
    /// The starts among them, unless the agent has begun another epoch since.
    fn starts_of_epoch(&self, agent: &Agent) -> &[AttemptKey] {
        if self.agent_epoch == agent.agent_epoch {
            &self.starts
        } else {
            &[]
        }
    }

    /// They were never sent, or the agent rejected them.
    fn mark_not_executed(&self, agent: &mut Agent) {
        for key in self.starts_of_epoch(agent) {
            mark_not_executed(agent, key);
        }
    }

    /// The agent confirmed them.
    fn mark_executed(&self, agent: &mut Agent) {
        self.update_starts(agent, |start| start.acknowledged = true);
    }

    /// They may be carried out late, or have been.
    fn mark_unknown(&self, agent: &mut Agent) {
        self.update_starts(agent, |start| start.unresolved = true);
    }

    fn update_starts(&self, agent: &mut Agent, update: impl Fn(&mut DirectStart)) {
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
    /// Carried out; the agent's state after that.
    Executed(AgentHeartbeat),
    /// Rejected, since the agent has seen a higher term or has begun another epoch; its state.
    Rejected(AgentHeartbeat),
    /// No response, or none that can be used.
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
        let report = parse_agent_heartbeat(&body).filter(|report| report.machine == machine);
        match report {
            Some(report) if status == 200 => CommandsResponse::Executed(report),
            Some(report) => CommandsResponse::Rejected(report),
            None => CommandsResponse::Unknown,
        }
    }
}

impl Controller {
    /// Commands for the answer to a heartbeat. Starts are sent with it only if the heartbeat was `relayed`, since
    /// then direct calls may not reach the agent.
    pub fn commands_for(
        &mut self,
        clock: Clock,
        report: &AgentHeartbeat,
        relayed: bool,
    ) -> Vec<Command> {
        let machine = &report.machine;
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
                start_under_term(agent, key, leader.term).sent_with_response_to = Some(report.seq);
            }
        }
        due.commands
            .into_iter()
            .filter(|command| relayed || !matches!(command, Command::Start { .. }))
            .collect()
    }

    /// Sends direct commands to the agents that something happened to, and at intervals checks all of them; returns
    /// when all are checked next.
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
            needs_fence |= due.needs_fence || leader.keeps_too_many_attempts(&machine, now);
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

    /// Raises our term: agents that see the new one reject all commands that were sent before and got no response.
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
            CommandsResponse::Executed(report) => {
                agent.reachability.on_commands_answered(clock.now);
                sent.mark_executed(agent);
                self.apply_heartbeat(clock, &report);
            }
            CommandsResponse::Rejected(report) => {
                agent.reachability.on_commands_answered(clock.now);
                agent.next_commands_at = clock.now + REJECTED_RETRY;
                sent.mark_not_executed(agent);
                self.on_commands_rejected(clock, &report);
            }
            CommandsResponse::Unknown => {
                agent.reachability.on_commands_unanswered(clock.now);
                agent.next_commands_at = clock.now + retry_delay(agent, clock.now);
                sent.mark_unknown(agent);
            }
        }
    }

    /// Applies the state of an agent that rejected our commands, and checks whether we are still the leader if it has
    /// seen a higher term.
    fn on_commands_rejected(&mut self, clock: Clock, report: &AgentHeartbeat) {
        let our_term = self.leader.as_ref().map(|leader| leader.term);
        self.apply_heartbeat(clock, report);
        if our_term.is_some_and(|our_term| report.term > our_term) {
            log::info!(
                "commands rejected machine={} agent_term={} reason=higher_term",
                report.machine,
                report.term
            );
            self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
        }
    }
}

/// When direct commands without a response are sent again.
fn retry_delay(agent: &Agent, now: Micros) -> Micros {
    let unreachable_since = agent.reachability.suspected_since();
    if unreachable_since.is_some_and(|since| now.since(since) > LONG_UNREACHABLE) {
        UNREACHABLE_RETRY
    } else {
        COMMAND_RETRY
    }
}
