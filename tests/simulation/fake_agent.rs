//! An in-memory agent: sessions, leases, tokens and tasks as PROTOCOL describes them.

use std::collections::{BTreeMap, BTreeSet};
use walnuttrestle::protocol::agent_api::*;

pub type TaskKey = (String, u64);

#[derive(Debug, Clone)]
pub struct FakeTask {
    pub phase: TaskPhase,
    pub exit_reason: Option<ExitReason>,
    pub saved: bool,
    /// When the present phase ends by itself.
    pub phase_ends_at: u64,
}

pub struct FakeAgent {
    pub name: String,
    pub zone: String,
    pub spot: bool,
    pub index: usize,
    pub alive: bool,
    pub hung_until: u64,
    pub agent_epoch: u64,
    pub seq: u64,
    pub term: u64,
    pub preemption_notice_s: Option<f64>,
    pub tasks: BTreeMap<TaskKey, FakeTask>,
    pub controller: usize,
    pub lease_renewed_at: u64,
    pub next_heartbeat_at: u64,
    pub flying: Option<(u64, u64, u64)>,
    /// When a higher token last counted as a change.
    pub term_changed_at: u64,
    pub fails_tasks: bool,
    /// How many tasks have failed_tasks here.
    pub failed_tasks: u32,
    /// Images it has fetched; they outlive a session.
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
            flying: None,
            term_changed_at: 0,
            fails_tasks: false,
            failed_tasks: 0,
            cached_images: BTreeSet::new(),
        }
    }

    pub fn heartbeat(&mut self) -> AgentHeartbeat {
        self.seq += 1;
        AgentHeartbeat {
            machine: self.name.clone(),
            address: format!("10.1.{}.{}:9000", self.index / 200, self.index % 200),
            kind: "box".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            seq: self.seq,
            term: self.term,
            notice_s: self.preemption_notice_s,
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: t.phase,
                    why: t.exit_reason,
                    saved: t.saved.then_some(true),
                })
                .collect(),
        }
    }

    /// On the machine: has its image and has not exited.
    pub fn active_tasks(&self) -> impl Iterator<Item = (&TaskKey, &FakeTask)> {
        let alive = self.alive;
        self.tasks.iter().filter(move |(_, t)| {
            alive && !matches!(t.phase, TaskPhase::Exited | TaskPhase::Fetching)
        })
    }

    pub fn exit_task(&mut self, key: &TaskKey, reason: ExitReason, saved: bool) {
        if let Some(t) = self.tasks.get_mut(key) {
            t.phase = TaskPhase::Exited;
            t.exit_reason = Some(reason);
            self.failed_tasks += u32::from(reason == ExitReason::Error);
            t.saved = saved;
            self.next_heartbeat_at = 0;
        }
    }

    pub fn expire_session(&mut self) {
        self.tasks.clear();
        self.agent_epoch += 1;
        self.next_heartbeat_at = 0;
    }
}
