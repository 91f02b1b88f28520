//! An in-memory agent with epochs, leases, terms and tasks according to the agent protocol.

use std::collections::{BTreeMap, BTreeSet};
use walnuttrestle::protocol::agent_api::*;

/// The name of a task and the number of the attempt.
pub type TaskKey = (String, u64);

/// The job and the index of a task named `JOB/INDEX`.
pub fn split_task_name(task: &str) -> (&str, u32) {
    let (job, index) = task
        .rsplit_once('/')
        .expect("task name has the form JOB/INDEX");
    (job, index.parse().expect("task index is a number"))
}

/// An attempt of a task on a machine.
#[derive(Debug, Clone)]
pub struct FakeTask {
    pub phase: TaskPhase,
    /// Why the attempt has exited; `None` while it is active.
    pub exit_reason: Option<ExitReason>,
    /// The attempt saved its state before it exited.
    pub saved: bool,
    /// When the current phase ends by itself; 0 if it lasts until another event ends it.
    pub phase_ends_at: u64,
}

impl FakeTask {
    pub fn fetching(phase_ends_at: u64) -> FakeTask {
        FakeTask {
            phase: TaskPhase::Fetching,
            exit_reason: None,
            saved: false,
            phase_ends_at,
        }
    }

    pub fn exited(reason: ExitReason) -> FakeTask {
        FakeTask {
            phase: TaskPhase::Exited,
            exit_reason: Some(reason),
            saved: false,
            phase_ends_at: 0,
        }
    }
}

/// A heartbeat that has not been answered yet.
#[derive(Debug, Clone, Copy)]
pub struct InFlightHeartbeat {
    pub agent_epoch: u64,
    pub seq: u64,
    pub sent_at: u64,
}

/// A machine with its agent. Times are simulated microseconds.
pub struct FakeAgent {
    pub name: String,
    pub zone: String,
    pub spot: bool,
    /// The number in the machine's name.
    pub index: usize,
    /// False once the machine has failed; a failed machine does nothing.
    pub alive: bool,
    /// The machine hangs until this time.
    pub hung_until: u64,
    pub agent_epoch: u64,
    /// Sequence number of the last heartbeat.
    pub seq: u64,
    /// The highest term that the agent has seen.
    pub term: u64,
    /// Announced time until the preemption of a spot instance, in seconds.
    pub preemption_notice_s: Option<f64>,
    pub tasks: BTreeMap<TaskKey, FakeTask>,
    /// The controller that the next heartbeat is sent to.
    pub controller: usize,
    /// When the heartbeat that last renewed the lease was sent.
    pub lease_renewed_at: u64,
    pub next_heartbeat_at: u64,
    pub in_flight: Option<InFlightHeartbeat>,
    /// When a higher term last caused an early heartbeat.
    pub term_changed_at: u64,
    /// Every task fails on this machine.
    pub fails_tasks: bool,
    /// Number of tasks that have failed on this machine.
    pub failed_tasks: u32,
    /// Images on the machine's disk; they are kept when a new epoch begins.
    pub cached_images: BTreeSet<String>,
}

impl FakeAgent {
    pub fn new(name: &str, zone: &str, index: usize, now: u64) -> FakeAgent {
        FakeAgent {
            name: name.into(),
            zone: zone.into(),
            spot: false,
            index,
            alive: true,
            hung_until: 0,
            agent_epoch: 1,
            seq: 0,
            term: 0,
            preemption_notice_s: None,
            tasks: BTreeMap::new(),
            controller: 0,
            lease_renewed_at: now,
            next_heartbeat_at: now,
            in_flight: None,
            term_changed_at: 0,
            fails_tasks: false,
            failed_tasks: 0,
            cached_images: BTreeSet::new(),
        }
    }

    /// Builds the next heartbeat and increments the sequence number.
    pub fn heartbeat(&mut self) -> AgentHeartbeat {
        self.seq += 1;
        AgentHeartbeat {
            machine: self.name.clone(),
            address: super::network::agent_address(self.index),
            machine_type: "box".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            seq: self.seq,
            term: self.term,
            notice_s: self.preemption_notice_s,
            tasks: self.task_statuses(),
        }
    }

    fn task_statuses(&self) -> Vec<TaskStatus> {
        self.tasks
            .iter()
            .map(|((name, attempt), task)| TaskStatus {
                task: name.clone(),
                attempt: *attempt,
                phase: task.phase,
                exit_reason: task.exit_reason,
                saved: task.saved.then_some(true),
            })
            .collect()
    }

    /// Attempts whose image has been fetched and that have not exited; none on a failed machine.
    pub fn active_tasks(&self) -> impl Iterator<Item = (&TaskKey, &FakeTask)> {
        let alive = self.alive;
        self.tasks.iter().filter(move |(_, task)| {
            alive && !matches!(task.phase, TaskPhase::Exited | TaskPhase::Fetching)
        })
    }

    /// Ends an attempt and makes the next heartbeat due at once.
    pub fn exit_task(&mut self, key: &TaskKey, reason: ExitReason, saved: bool) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.phase = TaskPhase::Exited;
            task.exit_reason = Some(reason);
            task.saved = saved;
            self.failed_tasks += u32::from(reason == ExitReason::Error);
            self.next_heartbeat_at = 0;
        }
    }

    /// Kills all tasks and begins a new epoch.
    pub fn start_new_epoch(&mut self) {
        self.tasks.clear();
        self.agent_epoch += 1;
        self.next_heartbeat_at = 0;
    }

    /// Starts a new epoch if the lease has expired.
    pub fn expire_lease(&mut self, now: u64, lease: u64) {
        if now > self.lease_renewed_at + lease {
            self.start_new_epoch();
            self.lease_renewed_at = now;
        }
    }

    /// Renews the lease on the response to a heartbeat. Returns whether to execute the commands of the response. A
    /// response with an outdated term, or to a heartbeat of an earlier epoch, is ignored.
    pub fn accept_response(
        &mut self,
        response: &AgentHeartbeatResponse,
        heartbeat: InFlightHeartbeat,
        now: u64,
        lease: u64,
    ) -> bool {
        if response.term < self.term || heartbeat.agent_epoch != self.agent_epoch {
            return false;
        }
        if response.term > self.term {
            self.term = response.term;
            if now >= self.term_changed_at + lease / 2 {
                self.term_changed_at = now;
                self.next_heartbeat_at = self.next_heartbeat_at.min(now + super::SECOND / 2);
            }
        }
        self.lease_renewed_at = heartbeat.sent_at;
        true
    }
}
