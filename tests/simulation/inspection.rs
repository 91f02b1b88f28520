//! What stories ask, and what people who look into a failure want to see.

use super::*;

impl Simulation {
    /// Machines a task is on.
    pub fn machines_running(&self, task: &str) -> BTreeSet<String> {
        self.agents
            .values()
            .filter(|w| w.active_tasks().any(|((t, _), _)| t == task))
            .map(|w| w.name.clone())
            .collect()
    }

    /// What is cancelled is gone, as its user was told.
    pub fn assert_cancelled(&self, seed: u64, ids: &[&str]) {
        for id in ids {
            let is = (self.last_status(id), self.running_instances(id));
            assert_eq!(
                is,
                ("cancelled".into(), 0),
                "seed {seed}: {id}\n{}",
                self.dump()
            );
        }
    }

    /// How many tasks of a job are on machines, counted on each.
    pub fn running_instances(&self, id: &str) -> usize {
        let tasks = 0..self.jobs[id].spec.tasks;
        tasks
            .map(|t| self.machines_running(&format!("{id}/{t}")).len())
            .sum()
    }

    /// The machine on which the leader's copy places a task.
    pub fn recorded_machine(&self, task: &str) -> Option<String> {
        let (id, n) = task.rsplit_once('/')?;
        let node = self.controllers[self.leader()?].node.as_ref()?;
        let job = node.cache.jobs.get(id)?;
        let entry = job.entry(n.parse().ok()?)?;
        entry.machine().map(str::to_string)
    }

    /// The last state anybody was told of a job.
    pub fn last_status(&self, id: &str) -> String {
        self.client_answers
            .iter()
            .rev()
            .find(|(_, i, s, _)| i == id && matches!(s, 200 | 201))
            .map(|s| s.3.clone())
            .unwrap_or_default()
    }

    /// The names of all machines.
    pub fn machine_names(&self) -> Vec<String> {
        self.agents.keys().cloned().collect()
    }

    /// How many tasks have failed, on whatever machine.
    pub fn failed_task_count(&self) -> u32 {
        self.failed_task_total + self.agents.values().map(|w| w.failed_tasks).sum::<u32>()
    }

    pub fn job_done(&self, id: &str) -> bool {
        self.jobs[id].completion_seen_at.is_some()
    }

    /// Jobs that a node holds as not yet over.
    pub fn cached_jobs(&self, i: usize) -> usize {
        let node = self.controllers[i].node.as_ref();
        node.map_or(0, |n| n.cache.jobs.len())
    }

    /// A controller, if it runs.
    pub fn controller(&self, i: usize) -> Option<&Controller> {
        self.controllers[i].node.as_ref()
    }

    pub fn controller_count(&self) -> usize {
        self.controllers.len()
    }
}

impl Simulation {
    /// For people who look into a failure.
    pub fn dump(&self) -> String {
        let mut out = format!("now {:.3}, cuts {:?}\n", self.now as f64 / 1e6, self.cuts);
        for (i, s) in self.controllers.iter().enumerate() {
            let Some(n) = &s.node else {
                out += &format!("node {i}: down\n");
                continue;
            };
            out += &format!(
                "node {i}: synced {} revision {} lead {:?} live {:?} wake {}\n",
                n.cache.synced, n.cache.revision, n.cache.lead, n.cache.live, s.wake
            );
            if let Some(l) = &n.leader {
                out += &format!(
                    "  leads: term {} proof {} dirty {} edits {:?} batches {:?} stopping {:?}\n",
                    l.term, l.last_confirmed_read, l.dirty, l.edits, l.touched, l.stopping
                );
                for (m, w) in &l.agents {
                    out += &format!(
                        "  {m}: session {} term {} heard {} over {:?} starts {:?} tasks {:?}\n",
                        w.agent_epoch, w.term, w.heard, w.over, w.starts, w.tasks
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
                w.name, w.alive, w.agent_epoch, w.term, w.controller, w.tasks
            );
        }
        out
    }
}
