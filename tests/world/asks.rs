//! What stories ask, and what people who look into a failure want to see.

use super::*;

impl World {
    /// Machines a task is on.
    pub fn on(&self, task: &str) -> BTreeSet<String> {
        self.agents
            .values()
            .filter(|w| w.holds().any(|((t, _), _)| t == task))
            .map(|w| w.name.clone())
            .collect()
    }

    /// What is cancelled is gone, as its user was told.
    pub fn assert_cancelled(&self, seed: u64, ids: &[&str]) {
        for id in ids {
            let is = (self.told(id), self.there(id));
            assert_eq!(
                is,
                ("cancelled".into(), 0),
                "seed {seed}: {id}\n{}",
                self.dump()
            );
        }
    }

    /// How many tasks of a job are on machines, counted on each.
    pub fn there(&self, id: &str) -> usize {
        let tasks = 0..self.jobs[id].spec.tasks;
        tasks.map(|t| self.on(&format!("{id}/{t}")).len()).sum()
    }

    /// The machine on which the leader's copy places a task.
    pub fn placed_on(&self, task: &str) -> Option<String> {
        let (id, n) = task.rsplit_once('/')?;
        let node = self.nodes[self.leader()?].node.as_ref()?;
        let job = node.cache.jobs.get(id)?;
        let entry = job.entry(n.parse().ok()?)?;
        entry.machine().map(str::to_string)
    }

    /// The last state anybody was told of a job.
    pub fn told(&self, id: &str) -> String {
        self.said
            .iter()
            .rev()
            .find(|(_, i, s, _)| i == id && matches!(s, 200 | 201))
            .map(|s| s.3.clone())
            .unwrap_or_default()
    }

    /// The names of all machines.
    pub fn names(&self) -> Vec<String> {
        self.agents.keys().cloned().collect()
    }

    /// How many tasks have failed, on whatever machine.
    pub fn failures(&self) -> u32 {
        self.failures + self.agents.values().map(|w| w.failed).sum::<u32>()
    }

    pub fn job_done(&self, id: &str) -> bool {
        self.jobs[id].told_done.is_some()
    }

    /// Jobs that a node holds as not yet over.
    pub fn held(&self, i: usize) -> usize {
        let node = self.nodes[i].node.as_ref();
        node.map_or(0, |n| n.cache.jobs.len())
    }

    /// A controller, if it runs.
    pub fn node(&self, i: usize) -> Option<&Controller> {
        self.nodes[i].node.as_ref()
    }

    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }
}

impl World {
    /// For people who look into a failure.
    pub fn dump(&self) -> String {
        let mut out = format!("now {:.3}, cuts {:?}\n", self.now as f64 / 1e6, self.cuts);
        for (i, s) in self.nodes.iter().enumerate() {
            let Some(n) = &s.node else {
                out += &format!("node {i}: down\n");
                continue;
            };
            out += &format!(
                "node {i}: synced {} revision {} lead {:?} live {:?} wake {}\n",
                n.cache.synced,
                n.cache.revision,
                n.cache.lead,
                n.cache.leader_lease_version,
                s.wake
            );
            if let Some(l) = &n.leader {
                out += &format!(
                    "  leads: term {} proof {} dirty {} edits {:?} batches {:?} stopping {:?}\n",
                    l.term, l.last_confirmed_read, l.dirty, l.edits, l.touched, l.stopping
                );
                for (m, w) in &l.agents {
                    out += &format!(
                        "  {m}: session {} term {} heard {} over {:?} starts {:?} tasks {:?}\n",
                        w.agent_epoch, w.term, w.heard, w.ended_epoch, w.starts, w.tasks
                    );
                }
                for (id, j) in &n.cache.jobs {
                    out += &format!("  {id}: {:?} {:?}\n", j.rec.stage, j.rec.first);
                    for e in j.entries() {
                        out += &format!("    {:?} {:?}\n", e, l.standing(id, e));
                    }
                }
            }
        }
        for w in self.agents.values() {
            out += &format!(
                "{} alive {} session {} term {} node {} {:?}\n",
                w.name, w.alive, w.agent_epoch, w.term, w.node, w.tasks
            );
        }
        out
    }
}
