//! An in-memory agent: sessions, leases, tokens and tasks as PROTOCOL describes them.

use std::collections::{BTreeMap, BTreeSet};
use walnuttrestle::protocol::agent_api::*;

pub type Key = (String, u64);

#[derive(Debug, Clone)]
pub struct Task {
    pub phase: TaskPhase,
    pub why: Option<ExitReason>,
    pub saved: bool,
    /// When the present phase ends by itself.
    pub until: u64,
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
    pub notice: Option<f64>,
    pub tasks: BTreeMap<Key, Task>,
    pub node: usize,
    pub lease_from: u64,
    pub report_at: u64,
    pub flying: Option<(u64, u64, u64)>,
    /// When a higher token last counted as a change.
    pub token_at: u64,
    pub errors: bool,
    /// How many tasks have failed here.
    pub failed: u32,
    /// Images it has fetched; they outlive a session.
    pub images: BTreeSet<String>,
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
            notice: None,
            tasks: BTreeMap::new(),
            node: 0,
            lease_from: now,
            report_at: now,
            flying: None,
            token_at: 0,
            errors: false,
            failed: 0,
            images: BTreeSet::new(),
        }
    }

    pub fn report(&mut self) -> AgentHeartbeat {
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
            notice_s: self.notice,
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: t.phase,
                    why: t.why,
                    saved: t.saved.then_some(true),
                })
                .collect(),
        }
    }

    /// On the machine: has its image and has not exited.
    pub fn holds(&self) -> impl Iterator<Item = (&Key, &Task)> {
        let alive = self.alive;
        self.tasks.iter().filter(move |(_, t)| {
            alive && !matches!(t.phase, TaskPhase::Exited | TaskPhase::Fetching)
        })
    }

    pub fn exit(&mut self, key: &Key, why: ExitReason, saved: bool) {
        if let Some(t) = self.tasks.get_mut(key) {
            t.phase = TaskPhase::Exited;
            t.why = Some(why);
            self.failed += u32::from(why == ExitReason::Error);
            t.saved = saved;
            self.report_at = 0;
        }
    }

    pub fn kill_all(&mut self) {
        self.tasks.clear();
        self.agent_epoch += 1;
        self.report_at = 0;
    }
}
