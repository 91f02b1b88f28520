//! The checker: the rules of PROTOCOL, by what happens on machines.

use super::*;

/// A controller sends starts only this soon after it has read the records.
const MAX_START_STALENESS: u64 = 4 * SECOND + 50_000;

impl Simulation {
    /// All jobs dependencies this one, directly or through others.
    pub(super) fn dependencies(&self, id: &str) -> Vec<&JobGroundTruth> {
        let mut found = BTreeSet::new();
        let mut open = vec![id];
        while let Some(t) = open.pop().and_then(|id| self.jobs.get(id)) {
            for need in &t.spec.needs {
                if found.insert(need.as_str()) {
                    open.push(need);
                }
            }
        }
        found.iter().filter_map(|id| self.jobs.get(*id)).collect()
    }

    /// A task has got its image on a machine: is that allowed?
    pub(super) fn check_start(&mut self, machine: &str, task: &str) {
        let (id, n) = task.rsplit_once('/').expect("a task name");
        self.task_starts.push(TaskStart {
            at: self.now,
            task: task.to_string(),
            machine: machine.to_string(),
        });
        let image = self.jobs.get(id).map(|t| t.spec.image.clone());
        if let (Some(w), Some(image)) = (self.agents.get_mut(machine), image) {
            w.cached_images.insert(image);
        }
        *self.start_counts.entry(task.to_string()).or_default() += 1;
        let Some(t) = self.jobs.get(id).cloned() else {
            self.report_violation("invented", format!("{task} started"));
            return;
        };
        let w = &self.agents[machine];
        let (zone, spot) = (w.zone.clone(), w.spot);
        let others: Vec<(String, String, String)> = self
            .agents
            .values()
            .flat_map(|w| {
                w.active_tasks()
                    .map(|((k, _), _)| (w.name.clone(), w.zone.clone(), k.clone()))
            })
            .collect();
        for (m, _, k) in &others {
            if k == task && m != machine {
                self.report_violation("ran_twice", format!("{task} on {m} and {machine}"));
            }
        }
        let mates: Vec<&String> = others
            .iter()
            .filter(|(m, _, k)| {
                k.rsplit_once('/').is_some_and(|(j, x)| j == id && x != n)
                    || (k == task && m == machine)
            })
            .map(|(_, z, _)| z)
            .collect();
        let s = &t.spec;
        let early = self
            .dependencies(id)
            .iter()
            .any(|n| (n.done.len() as u32) < n.spec.tasks);
        if early {
            self.report_violation("too_early", task.to_string());
        }
        if spot && !s.spot {
            self.report_violation("wrong_place", format!("{task} on a spot machine"));
        }
        if s.zone.as_ref().is_some_and(|z| *z != zone) {
            self.report_violation("wrong_place", format!("{task} in zone {zone}"));
        }
        if s.one_zone && mates.iter().any(|z| **z != zone) {
            self.report_violation("wrong_place", format!("{task} apart from its mates"));
        }
        let here = mates.iter().filter(|z| ***z == zone).count();
        if s.spread && here as u32 > s.tasks.div_ceil(2) {
            self.report_violation("wrong_place", format!("{task}: too many in {zone}"));
        }
        if t.cancellation_seen_at
            .is_some_and(|c| self.now > c + CANCEL_DEADLINE_S * SECOND)
        {
            self.report_violation("ran_cancelled", format!("{task} started"));
        }
    }

    /// A controller sends commands to an agent. How long after its user was told of a cancellation a start of the job
    /// may still be sent: as long as a proof of the records is good for starts, with a tick more.
    pub(super) fn check_commands(&mut self, to: &Endpoint, call: &Call) {
        let Endpoint::Agent(_) = to else { return };
        let Some(orders) = decode::<AgentCommands>(&call.body) else {
            return;
        };
        for c in orders.commands {
            let Command::Start { task, .. } = c else {
                continue;
            };
            let id = task.rsplit_once('/').map_or("", |(id, _)| id);
            let told = self.jobs.get(id).and_then(|t| t.cancellation_seen_at);
            if told.is_some_and(|told| self.now > told + MAX_START_STALENESS) {
                self.report_violation(
                    "started_cancelled",
                    format!("{task} by a command sent then"),
                );
            }
        }
    }

    pub(super) fn check_all(&mut self) {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut late = None;
        for w in self.agents.values() {
            for ((task, _), _) in w.active_tasks() {
                let Some((id, _)) = task.rsplit_once('/') else {
                    continue;
                };
                let Some(t) = self.jobs.get(id) else { continue };
                *used.entry(t.spec.team.as_str()).or_default() += t.spec.gpus;
                if t.cancellation_seen_at
                    .is_some_and(|c| self.now > c + CANCEL_DEADLINE_S * SECOND)
                {
                    late = Some(task.clone());
                }
            }
        }
        let over = used
            .iter()
            .find(|(t, n)| self.limits.get(**t).is_some_and(|l| **n > l + 1e-6))
            .map(|(t, n)| format!("{t} uses {n}"));
        if let Some(o) = over {
            self.report_violation("quota", o);
        }
        if let Some(task) = late {
            self.report_violation("ran_cancelled", task);
        }
    }
}
