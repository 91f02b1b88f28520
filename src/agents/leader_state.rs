//! State that a controller holds only while it is the leader, and queries about recorded attempts. Heartbeats, lease
//! expiry, timers and commands are in the sibling modules.

use crate::agents::failure_history::FailureHistory;
use crate::agents::lease_expiry::LastSeenRenewal;
use crate::agents::renewed_machines::RenewedMachines;
use crate::cloud::inventory::Inventory;
use crate::protocol::Clock;
use crate::protocol::records::TaskEntry;
use crate::protocol::{Micros, Settings};
use crate::records::record_writer::RecordWriter;
use crate::scheduling::pass::PassState;
use crate::scheduling::recovery::Recovery;
use crate::state::agent::{Agent, TaskLiveness};
use crate::state::record_cache::Job;
use lease_delegation::lease_grantor::LeaseGrantor;
use std::collections::{BTreeMap, BTreeSet};

/// An agent whose last heartbeat is older than this many heartbeat intervals gets no new tasks.
pub const FRESH_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Maximum age of the last read that confirmed our term: with an older one, no starts are sent and no scheduling pass
/// runs.
pub const MAX_START_STALENESS: Micros = Micros::millis(4000);
/// Number of heartbeat intervals that agents may need to reach a new leader, since they try the other controllers
/// first.
const TAKEOVER_HEARTBEAT_INTERVALS: f64 = 3.0;
/// Minimum time between acquiring leadership and transferring it.
const MIN_LEADERSHIP: Micros = Micros::millis(15_000);
/// An agent is in contact with us if its last message is newer than this many heartbeat intervals.
const CONTACT_HEARTBEAT_INTERVALS: f64 = 1.5;
/// First term of a cluster. No earlier leader exists whose commands could still take effect.
const FIRST_TERM: u64 = 1;

/// State that exists only on the leader. It is rebuilt from records and heartbeats after a change of leader.
pub struct LeaderState {
    /// Our term: the fencing token of all our commands.
    pub term: u64,
    /// Version of the leader record: the precondition of each of our transactions.
    pub version: u64,
    /// Version of the leader record when we acquired leadership. Writes of earlier leaders have lower versions.
    pub leadership_version: u64,
    /// When our current term began.
    pub term_since: Micros,
    /// When we acquired leadership. Raising our term does not change it.
    pub leadership_since: Micros,
    /// Start of the last read that confirmed our term.
    pub last_confirmed_read: Micros,
    /// Start of the last round in which all peers confirmed that they know of no newer leader and of no cancellation
    /// that we do not have.
    pub peers_confirmed_at: Micros,
    /// Whether a transaction that raises our term is in flight.
    pub term_raise_pending: bool,
    /// Grants that allow peers to renew agent leases under our term.
    pub lease_grants: LeaseGrantor,
    /// Agents by machine name.
    pub agents: BTreeMap<String, Agent>,
    /// Machines and rent requests.
    pub inventory: Inventory,
    /// Pending writes of job records.
    pub record_writer: RecordWriter,
    /// Tasks to stop, by job and task number: grace period in seconds, and when the stop became due.
    pub stopping: BTreeMap<String, BTreeMap<u32, (f64, Micros)>>,
    /// Gangs that lost a member, with the attempt in which they did: its other members are not started.
    pub incomplete_gangs: BTreeMap<String, u64>,
    /// Failure history by job.
    pub failure_histories: BTreeMap<String, FailureHistory>,
    /// Whether a change has occurred that requires another scheduling pass.
    pub dirty: bool,
    /// Machines to check for due commands.
    pub machines_to_check: BTreeSet<String>,
    /// When all machines are next checked for due commands, mainly to repeat commands.
    pub next_full_check_at: Micros,
    /// Whether the leases of all machines that never sent us a heartbeat have expired in the worst case.
    pub unseen_agent_leases_expired: bool,
    /// Machines whose leases followers renew under our term, according to the followers' records.
    pub renewed_by_followers: RenewedMachines,
    /// The newest renewal record seen of each follower.
    pub(super) last_seen_renewals: BTreeMap<String, LastSeenRenewal>,
    /// Since when peers have served most agents instead of us; `Micros::FAR_FUTURE` while leadership is being transferred.
    pub unable_to_serve_since: Option<Micros>,
    /// Machines with reserved capacity: the job that it is reserved for, and until when.
    pub reserved: BTreeMap<String, (String, Micros)>,
    /// When leases are next checked for expiry.
    pub(super) next_lease_check: Micros,
    /// Whether a lease can be told to have expired only after another read of the records.
    pub(super) lease_check_awaits_read: bool,
    /// Progress of restarting tasks after a loss of machines.
    pub recovery: Recovery,
    /// When placement batches are next merged into the job records.
    pub batch_merge_due: Micros,
    /// When the last scheduling pass ran.
    pub last_pass: Micros,
    /// The largest demand of a job seen so far.
    pub max_demand: f64,
    /// Number of starts decided so far.
    pub start_count: u64,
    /// Sequence number of each start, by job and task number.
    pub start_order: BTreeMap<String, BTreeMap<u32, u64>>,
    /// State kept from pass to pass.
    pub pass_state: PassState,
}

impl LeaderState {
    /// State of a leader that has just acquired leadership with the leader record at `version`.
    pub fn new(term: u64, version: u64, clock: Clock) -> LeaderState {
        LeaderState {
            term,
            version,
            leadership_version: version,
            term_since: clock.now,
            leadership_since: clock.now,
            last_confirmed_read: Micros::ZERO,
            peers_confirmed_at: Micros::ZERO,
            term_raise_pending: false,
            lease_grants: LeaseGrantor::default(),
            agents: BTreeMap::new(),
            inventory: Inventory::new(clock),
            record_writer: RecordWriter::default(),
            stopping: BTreeMap::new(),
            incomplete_gangs: BTreeMap::new(),
            failure_histories: BTreeMap::new(),
            dirty: true,
            machines_to_check: BTreeSet::new(),
            next_full_check_at: clock.now,
            unseen_agent_leases_expired: false,
            renewed_by_followers: RenewedMachines::default(),
            last_seen_renewals: BTreeMap::new(),
            unable_to_serve_since: None,
            reserved: BTreeMap::new(),
            next_lease_check: Micros::ZERO,
            lease_check_awaits_read: false,
            recovery: Recovery::default(),
            batch_merge_due: clock.now,
            last_pass: Micros::ZERO,
            max_demand: 0.0,
            start_count: 0,
            start_order: BTreeMap::new(),
            pass_state: PassState::default(),
        }
    }

    /// Continues the leadership under a higher term. As after a failover, followers may keep renewing leases under the
    /// earlier term for a while, so the checks that wait for these leases to expire start again.
    pub fn begin_term(&mut self, term: u64, now: Micros) {
        log::info!("leadership term raised old_term={} term={term}", self.term);
        self.term = term;
        self.term_since = now;
        self.unseen_agent_leases_expired = false;
        self.next_lease_check = now;
        self.next_full_check_at = now;
    }

    /// Records that a read of the records, sent at `sent`, has confirmed our term.
    pub fn on_confirmed_read(&mut self, sent: Micros) {
        self.last_confirmed_read = self.last_confirmed_read.max(sent);
        if self.lease_check_awaits_read {
            self.next_lease_check = Micros::ZERO;
        }
    }

    /// Liveness of a recorded attempt on its machine.
    pub fn attempt_liveness(&self, job: &str, entry: &TaskEntry) -> TaskLiveness {
        let Some(machine) = entry.machine() else {
            return TaskLiveness::Gone;
        };
        if self.inventory.is_gone(machine) {
            return TaskLiveness::Gone;
        }
        match self.agents.get(machine) {
            Some(agent) => agent.liveness(
                self.term,
                job,
                entry.task(),
                entry.attempt(),
                entry.agent_epoch(),
            ),
            // The machine sent no heartbeat under our term, and no controller can still be renewing its lease.
            None if self.unseen_agent_leases_expired
                && !self.renewed_by_followers.contains(machine) =>
            {
                TaskLiveness::Gone
            }
            None => TaskLiveness::Unknown,
        }
    }

    /// Whether a recorded attempt must be assumed to run on its machine. An attempt that has not been started counts as
    /// running if the task is `wanted` and may be started, because its start may be sent at any moment.
    pub fn may_be_running(&self, job: &str, entry: &TaskEntry, wanted: bool) -> bool {
        let liveness = self.attempt_liveness(job, entry);
        liveness.may_be_running(|| wanted && self.may_be_started(job, entry))
    }

    /// Whether a recorded attempt may be started: no stop of it is due, and its gang lost no member.
    pub fn may_be_started(&self, job: &str, entry: &TaskEntry) -> bool {
        let gang_complete = self
            .incomplete_gangs
            .get(job)
            .is_none_or(|incomplete_attempt| *incomplete_attempt < entry.attempt());
        gang_complete && self.due_stop(job, entry.task()).is_none()
    }

    /// Whether all reachable agents have had the time to send us a heartbeat since we acquired leadership. Until then
    /// we know only some of the machines, so preemption and scale-out would provide capacity that exists already.
    pub fn takeover_grace_elapsed(&self, settings: &Settings, now: Micros) -> bool {
        let takeover = Micros::secs(settings.params.agents.report_s * TAKEOVER_HEARTBEAT_INTERVALS);
        self.term <= FIRST_TERM || now.since(self.leadership_since) >= takeover
    }

    /// Whether peers serve most of the agents, according to their renewal records, and hardly any agent reaches us.
    /// False soon after a change of leader, so that leadership is not passed around in circles.
    pub fn peers_serve_most_agents(&self, settings: &Settings, now: Micros) -> bool {
        if self.renewed_by_followers.is_empty() || now.since(self.leadership_since) < MIN_LEADERSHIP
        {
            return false;
        }
        let contact_window =
            Micros::secs(settings.params.agents.report_s * CONTACT_HEARTBEAT_INTERVALS);
        let mut live_agents = 0;
        let mut agents_in_contact = 0;
        for agent in self.agents.values().filter(|agent| !agent.epoch_ended()) {
            live_agents += 1;
            agents_in_contact += usize::from(now.since(agent.last_heartbeat_at) < contact_window);
        }
        let peers_serve_most = self.renewed_by_followers.len() * 4 >= live_agents * 3;
        let few_reach_us = agents_in_contact * 4 < live_agents.max(1);
        peers_serve_most && few_reach_us
    }

    /// The due stop of a task: grace period in seconds, and when it became due.
    pub fn due_stop(&self, job: &str, task: u32) -> Option<(f64, Micros)> {
        self.stopping.get(job)?.get(&task).copied()
    }

    /// Zone of a machine, from its heartbeats or from the cloud.
    pub fn zone_of(&self, machine: &str) -> Option<String> {
        self.agents
            .get(machine)
            .map(|agent| agent.zone.clone())
            .or_else(|| self.inventory.zone_of(machine))
    }
}

/// Grace period in seconds of a stop, in which the task saves a checkpoint; zero for jobs that save none.
pub fn stop_grace_s(job: &Job) -> f64 {
    /// Allowance for the delivery of the command and for timers that fire late.
    const SAVE_MARGIN_S: f64 = 1.0;
    let spec = &job.record.spec;
    if spec.checkpoint_s > 0.0 || spec.save_s > 0.0 {
        spec.save_s + SAVE_MARGIN_S
    } else {
        0.0
    }
}
