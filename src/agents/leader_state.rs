//! State that a controller holds only while it is the leader, and the questions that it answers about recorded
//! attempts. Heartbeats, lease expiry, timers and commands are in the neighbouring modules.

use crate::agents::failure_history::FailureHistory;
use crate::agents::lease_expiry::LastSeenRenewal;
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
pub const FRESH_REPORTS: f64 = 2.5;
/// Starts are sent, and scheduling passes run, only this soon after a read that confirmed our term.
pub const MAX_START_STALENESS: Micros = Micros::millis(4000);
/// After a change of leader an agent needs up to this many heartbeat intervals to reach the new leader, since it
/// tries the other controllers first.
const TAKEOVER_REPORTS: f64 = 3.0;
/// A leader transfers leadership no sooner than this after it acquired it.
const MIN_LEADERSHIP: Micros = Micros::millis(15_000);
/// An agent that sends its heartbeats to us has sent one within this many heartbeat intervals.
const HEARD_REPORTS: f64 = 1.5;
/// First term of a cluster: before it there was no leader whose commands could still have effect.
const FIRST_TERM: u64 = 1;

/// State that exists only on the leader. It is rebuilt from records and heartbeats after a change of leader.
pub struct LeaderState {
    /// Our term: the fencing token of all our commands.
    pub term: u64,
    /// Version of the leader record: the precondition of each of our transactions.
    pub version: u64,
    /// Version of the leader record when we acquired leadership. Writes of earlier leaders have lower versions.
    pub leadership_version: u64,
    /// When our present term began.
    pub since: Micros,
    /// When we acquired leadership; later terms of ours do not change it.
    pub led_since: Micros,
    /// Start of the last read that confirmed our term.
    pub last_confirmed_read: Micros,
    /// Start of the last round in which all peers confirmed that they know of no cancellation and no leader newer
    /// than we know.
    pub peers_confirmed_at: Micros,
    /// Whether a transaction that raises our term is in flight.
    pub term_raise_pending: bool,
    /// Grants by which peers may renew agent leases under our term.
    pub lease_grants: LeaseGrantor,
    /// Agents by machine name.
    pub agents: BTreeMap<String, Agent>,
    /// Machines and rental requests.
    pub fleet: Inventory,
    /// Pending writes of job records.
    pub record_writer: RecordWriter,
    /// Tasks to be stopped, by job and task number: grace period in seconds, and since when the stop is due.
    pub stopping: BTreeMap<String, BTreeMap<u32, (f64, Micros)>>,
    /// Gangs that lost a member, with the attempt concerned: the other members of that attempt are not started.
    pub incomplete_gangs: BTreeMap<String, u64>,
    /// Failure history by job.
    pub failure_histories: BTreeMap<String, FailureHistory>,
    /// Whether something changed that the next scheduling pass has to take into account.
    pub dirty: bool,
    /// Machines that may be due commands.
    pub machines_to_check: BTreeSet<String>,
    /// When all machines are next checked for due commands, above all for commands to be repeated.
    pub next_full_check_at: Micros,
    /// Whether the leases of all machines that never sent us a heartbeat have expired in the worst case.
    pub unmet_leases_expired: bool,
    /// Machines whose leases followers renew for our term, by the followers' records.
    pub renewed: BTreeSet<String>,
    /// Per follower: the newest renewal record that we have seen.
    pub(super) last_seen_renewals: BTreeMap<String, LastSeenRenewal>,
    /// Since when most agents are served by peers and not by us; `Micros::FAR_FUTURE`: leadership is being transferred.
    pub unable_to_serve_since: Option<Micros>,
    /// Machines on which capacity is reserved: for which job, and until when.
    pub reserved: BTreeMap<String, (String, Micros)>,
    /// Change counter of the cached renewal records when `renewed` was computed.
    pub(super) seen_renewals_revision: u64,
    /// When leases are next checked for expiry.
    pub(super) next_lease_check: Micros,
    /// Progress of restarting tasks after a loss of machines.
    pub recovery: Recovery,
    /// When placement batches are next merged into the job records.
    pub batch_merge_due: Micros,
    /// When the last scheduling pass ran.
    pub last_pass: Micros,
    /// The largest demand of a job seen so far.
    pub max_demand: f64,
    /// Number of starts decided so far.
    pub started: u64,
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
            since: clock.now,
            led_since: clock.now,
            last_confirmed_read: Micros::ZERO,
            peers_confirmed_at: Micros::ZERO,
            term_raise_pending: false,
            lease_grants: LeaseGrantor::default(),
            agents: BTreeMap::new(),
            fleet: Inventory::new(clock),
            record_writer: RecordWriter::default(),
            stopping: BTreeMap::new(),
            incomplete_gangs: BTreeMap::new(),
            failure_histories: BTreeMap::new(),
            dirty: true,
            machines_to_check: BTreeSet::new(),
            next_full_check_at: clock.now,
            unmet_leases_expired: false,
            renewed: BTreeSet::new(),
            last_seen_renewals: BTreeMap::new(),
            unable_to_serve_since: None,
            reserved: BTreeMap::new(),
            seen_renewals_revision: u64::MAX,
            next_lease_check: Micros::ZERO,
            recovery: Recovery::default(),
            batch_merge_due: clock.now,
            last_pass: Micros::ZERO,
            max_demand: 0.0,
            started: 0,
            start_order: BTreeMap::new(),
            pass_state: PassState::default(),
        }
    }

    /// What is known about a recorded attempt on its machine.
    pub fn attempt_liveness(&self, job: &str, entry: &TaskEntry) -> TaskLiveness {
        let Some(machine) = entry.machine() else {
            return TaskLiveness::Gone;
        };
        if self.fleet.is_gone(machine) {
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
            // It sent no heartbeat under our term, and no controller can still be renewing its lease.
            None if self.unmet_leases_expired && !self.renewed.contains(machine) => {
                TaskLiveness::Gone
            }
            None => TaskLiveness::Unknown,
        }
    }

    /// Whether a recorded attempt must be assumed to run on its machine. An attempt that was not started yet counts
    /// if the task is `wanted` and may be started, since its start may be sent at any moment.
    pub fn may_be_running(&self, job: &str, entry: &TaskEntry, wanted: bool) -> bool {
        let liveness = self.attempt_liveness(job, entry);
        liveness.may_be_running(|| wanted && self.may_be_started(job, entry))
    }

    /// Whether a recorded attempt may be started: no stop of it is due, and its gang lost no member.
    pub fn may_be_started(&self, job: &str, entry: &TaskEntry) -> bool {
        let gang_complete = self
            .incomplete_gangs
            .get(job)
            .is_none_or(|broken| *broken < entry.attempt());
        gang_complete && self.due_stop(job, entry.task()).is_none()
    }

    /// Whether all reachable agents have had the time to send us a heartbeat. Until then we know only some of the
    /// machines: preemption and scale-out would make room that is already there.
    pub fn agents_known(&self, settings: &Settings, now: Micros) -> bool {
        let takeover = Micros::secs(settings.params.agents.report_s * TAKEOVER_REPORTS);
        self.term <= FIRST_TERM || now.since(self.led_since) >= takeover
    }

    /// Whether peers serve most of the agents, by their renewal records, and hardly any agent reaches us. False soon
    /// after a change of leader, so that leadership does not change in a circle.
    pub fn peers_serve_most_agents(&self, settings: &Settings, now: Micros) -> bool {
        if self.renewed.is_empty() || now.since(self.led_since) < MIN_LEADERSHIP {
            return false;
        }
        let fresh = Micros::secs(settings.params.agents.report_s * HEARD_REPORTS);
        let mut live_agents = 0;
        let mut fresh_agents = 0;
        for agent in self.agents.values().filter(|agent| !agent.epoch_ended()) {
            live_agents += 1;
            fresh_agents += usize::from(now.since(agent.last_heard_at) < fresh);
        }
        let peers_serve_most = self.renewed.len() * 4 >= live_agents * 3;
        let few_reach_us = fresh_agents * 4 < live_agents.max(1);
        peers_serve_most && few_reach_us
    }

    /// The due stop of a task: grace period in seconds, and since when it is due.
    pub fn due_stop(&self, job: &str, task: u32) -> Option<(f64, Micros)> {
        self.stopping.get(job)?.get(&task).copied()
    }

    /// Zone of a machine, from its heartbeats or from the cloud.
    pub fn zone_of(&self, machine: &str) -> Option<String> {
        self.agents
            .get(machine)
            .map(|agent| agent.zone.clone())
            .or_else(|| self.fleet.zone_of(machine))
    }
}

/// Grace period in seconds of a stop that lets the task save a checkpoint; zero for jobs that save none.
pub fn stop_grace_s(job: &Job) -> f64 {
    /// Added to the time that saving takes, for the way of the command and a late timer.
    const SAVE_MARGIN_S: f64 = 1.0;
    let spec = &job.record.spec;
    if spec.checkpoint_s > 0.0 || spec.save_s > 0.0 {
        spec.save_s + SAVE_MARGIN_S
    } else {
        0.0
    }
}
