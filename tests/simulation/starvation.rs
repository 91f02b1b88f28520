//! Once all is calm, no job waits for 90 s while a machine that fits has room and its team is under its limit.

use super::*;

const EVERY: u64 = SECOND;
const LONGEST: u64 = 90 * SECOND;
/// What a machine of the tests' world holds: CPUs, GPUs, memory.
const HOLDS: [f64; 3] = [8.0, 8.0, 64.0];

#[derive(Default)]
pub struct StarvationChecker {
    since: BTreeMap<String, u64>,
    at: u64,
    /// Jobs whose end was seen.
    pub(super) ended: BTreeSet<String>,
}

fn fits(free: &[f64; 3], need: &[f64; 3]) -> bool {
    (0..3).all(|i| free[i] + 1e-6 >= need[i])
}

impl Simulation {
    /// Looks at all jobs that wait, once a second while all is calm.
    pub(super) fn check_waits(&mut self) {
        if !self.faults_are_over() {
            self.starvation.since.clear();
            return;
        }
        if self.now < self.starvation.at + EVERY {
            return;
        }
        self.starvation.at = self.now;
        let waits: BTreeSet<String> = self.left_waiting().into_iter().collect();
        self.starvation.since.retain(|id, _| waits.contains(id));
        let now = self.now;
        for id in waits {
            let since = *self.starvation.since.entry(id.clone()).or_insert(now);
            if now > since + LONGEST {
                self.report_violation("left_waiting", id);
                return;
            }
        }
    }

    /// Jobs that wait although there is room for more of them.
    fn left_waiting(&self) -> Vec<String> {
        let mut rooms: Vec<(&FakeAgent, [f64; 3])> = Vec::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut there: BTreeSet<&str> = BTreeSet::new();
        let mut busy: BTreeSet<&str> = BTreeSet::new();
        for w in self.agents.values() {
            let mut free = HOLDS;
            for ((task, _), _) in w.tasks.iter().filter(|(_, t)| t.phase != TaskPhase::Exited) {
                let id = task.rsplit_once('/').map_or("", |(id, _)| id);
                let Some(t) = self.jobs.get(id) else { continue };
                let need = [t.spec.cpus, t.spec.gpus, t.spec.memory_gb];
                (0..3).for_each(|i| free[i] -= need[i]);
                *used.entry(&t.spec.team).or_default() += t.spec.gpus;
                there.insert(task);
                busy.insert(id);
            }
            if w.alive
                && !w.fails_tasks
                && w.hung_until <= self.now
                && w.preemption_notice_s.is_none()
            {
                rooms.push((w, free));
            }
        }
        let waits = |(id, t): &(&String, &JobGroundTruth)| {
            let done = t.done.len() as u32 >= t.spec.tasks;
            let over = t.cancel_requested || t.cancellation_seen_at.is_some() || done;
            let needs = self
                .dependencies(id)
                .iter()
                .any(|n| n.completion_seen_at.is_none());
            let gang = t.spec.kind == JobKind::Gang && busy.contains(id.as_str());
            let whole = (0..t.spec.tasks)
                .all(|n| t.done.contains(&n) || there.contains(format!("{id}/{n}").as_str()));
            t.accepted && !over && !needs && !gang && !whole && !self.failing_jobs.contains(*id)
        };
        let room = |t: &JobGroundTruth| {
            let s = &t.spec;
            let need = [s.cpus, s.gpus, s.memory_gb];
            let many = if s.kind == JobKind::Gang { s.tasks } else { 1 };
            let limit = self.limits.get(&s.team).copied().unwrap_or(f64::INFINITY);
            let used = used.get(s.team.as_str()).copied().unwrap_or(0.0);
            if used + s.gpus * f64::from(many) > limit + 1e-6 || s.spread {
                return false;
            }
            ["a", "b"].iter().any(|zone| {
                let ours = rooms.iter().filter(|(w, _)| {
                    (!s.one_zone || w.zone == *zone)
                        && s.zone.as_ref().is_none_or(|z| *z == w.zone)
                        && (s.spot || !w.spot)
                });
                let slots = ours.map(|(_, free)| {
                    let mut left = *free;
                    let mut n = 0;
                    while n < many && fits(&left, &need) {
                        (0..3).for_each(|i| left[i] -= need[i]);
                        n += 1;
                    }
                    n
                });
                slots.sum::<u32>() >= many
            })
        };
        let jobs = self.jobs.iter().filter(waits).filter(|(_, t)| room(t));
        jobs.map(|(id, _)| id.clone()).collect()
    }
}
