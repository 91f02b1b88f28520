//! The starvation checker: once all faults are over, no job may wait longer than 90 s while its team has quota left and
//! machines that satisfy its constraints have enough free resources.

use super::*;
use fake_agent::split_task_name;

const CHECK_INTERVAL: u64 = SECOND;
const MAX_WAIT: u64 = 90 * SECOND;
/// Resources of every machine.
const MACHINE_RESOURCES: Resources = Resources([8.0, 8.0, 64.0]);
const ZONES: [&str; 2] = ["a", "b"];
/// Rounding tolerance of sums of resources.
const EPSILON: f64 = 1e-6;

/// CPUs, GPUs and memory in GB.
#[derive(Clone, Copy)]
struct Resources([f64; 3]);

impl Resources {
    /// The resources that one task requests.
    fn of_task(spec: &JobSpec) -> Resources {
        Resources([spec.cpus, spec.gpus, spec.memory_gb])
    }

    fn can_hold(&self, demand: &Resources) -> bool {
        self.0
            .iter()
            .zip(demand.0)
            .all(|(free, demand)| free + EPSILON >= demand)
    }

    fn subtract(&mut self, demand: &Resources) {
        self.0
            .iter_mut()
            .zip(demand.0)
            .for_each(|(free, demand)| *free -= demand);
    }

    /// How many tasks with this demand fit, at most `limit`.
    fn count_fitting(mut self, demand: &Resources, limit: u32) -> u32 {
        let mut count = 0;
        while count < limit && self.can_hold(demand) {
            self.subtract(demand);
            count += 1;
        }
        count
    }
}

#[derive(Default)]
pub struct StarvationChecker {
    /// Since when each job has been waiting although there is capacity for it.
    waiting_since: BTreeMap<String, u64>,
    checked_at: u64,
    /// Jobs whose completion `cancel_completed_jobs` has handled.
    pub(super) completed: BTreeSet<String>,
}

/// Assigned tasks and free resources of all machines.
struct Usage<'a> {
    /// Machines that can run further tasks, with their free resources.
    available: Vec<(&'a FakeAgent, Resources)>,
    gpus_by_team: BTreeMap<&'a str, f64>,
    /// Tasks with an attempt that has not exited, on any machine.
    assigned_tasks: BTreeSet<&'a str>,
    /// Jobs of these tasks.
    assigned_jobs: BTreeSet<&'a str>,
}

impl Simulation {
    /// Checks all waiting jobs, at most once per `CHECK_INTERVAL` after all faults are over.
    pub(super) fn check_starvation(&mut self) {
        if !self.faults_are_over() {
            self.starvation.waiting_since.clear();
            return;
        }
        let now = self.now;
        if now < self.starvation.checked_at + CHECK_INTERVAL {
            return;
        }
        self.starvation.checked_at = now;
        let waiting: BTreeSet<String> = self.jobs_waiting_despite_capacity().into_iter().collect();
        let waiting_since = &mut self.starvation.waiting_since;
        waiting_since.retain(|job, _| waiting.contains(job));
        for job in waiting {
            let since = *waiting_since.entry(job.clone()).or_insert(now);
            if now > since + MAX_WAIT {
                let waited_s = (now - since) / SECOND;
                let details = format!("{job} waits for {waited_s} s although there is capacity");
                self.report_violation("left_waiting", details);
                return;
            }
        }
    }

    fn jobs_waiting_despite_capacity(&self) -> Vec<String> {
        let usage = self.usage();
        self.jobs
            .iter()
            .filter(|(job, truth)| self.is_waiting(job, truth, &usage))
            .filter(|(_, truth)| self.has_capacity(&truth.spec, &usage))
            .map(|(job, _)| job.clone())
            .collect()
    }

    fn usage(&self) -> Usage<'_> {
        let mut usage = Usage {
            available: Vec::new(),
            gpus_by_team: BTreeMap::new(),
            assigned_tasks: BTreeSet::new(),
            assigned_jobs: BTreeSet::new(),
        };
        for agent in self.agents.values() {
            let mut free = MACHINE_RESOURCES;
            let tasks = agent.tasks.iter();
            for ((task, _), _) in tasks.filter(|(_, task)| task.phase != TaskPhase::Exited) {
                let (job, _) = split_task_name(task);
                let Some(truth) = self.jobs.get(job) else {
                    continue;
                };
                free.subtract(&Resources::of_task(&truth.spec));
                *usage.gpus_by_team.entry(&truth.spec.team).or_default() += truth.spec.gpus;
                usage.assigned_tasks.insert(task);
                usage.assigned_jobs.insert(job);
            }
            let is_available = agent.alive
                && !agent.fails_tasks
                && agent.hung_until <= self.now
                && agent.preemption_notice_s.is_none();
            if is_available {
                usage.available.push((agent, free));
            }
        }
        usage
    }

    /// Whether a job has tasks that are ready to run but not assigned to any machine.
    fn is_waiting(&self, job: &str, truth: &JobGroundTruth, usage: &Usage) -> bool {
        let has_ended = truth.cancel_requested
            || truth.cancellation_seen_at.is_some()
            || truth.all_tasks_done();
        let dependencies_are_done = self
            .dependencies(job)
            .iter()
            .all(|dependency| dependency.completion_seen_at.is_some());
        let gang_is_assigned =
            truth.spec.kind == JobKind::Gang && usage.assigned_jobs.contains(job);
        let is_assigned_or_done = |index: u32| {
            let task = format!("{job}/{index}");
            truth.done.contains(&index) || usage.assigned_tasks.contains(task.as_str())
        };
        truth.accepted
            && !has_ended
            && dependencies_are_done
            && !gang_is_assigned
            && !(0..truth.spec.tasks).all(is_assigned_or_done)
            && !self.failing_jobs.contains(job)
    }

    /// Whether one more task of a job, or a whole gang, fits within the quota and the free resources. Jobs with spread
    /// tasks are not checked.
    fn has_capacity(&self, spec: &JobSpec, usage: &Usage) -> bool {
        let demand = Resources::of_task(spec);
        let count = match spec.kind {
            JobKind::Gang => spec.tasks,
            _ => 1,
        };
        let limit = self.limits.get(&spec.team).copied();
        let used = usage.gpus_by_team.get(spec.team.as_str()).copied();
        let used_after_start = used.unwrap_or(0.0) + spec.gpus * f64::from(count);
        if used_after_start > limit.unwrap_or(f64::INFINITY) + EPSILON || spec.spread {
            return false;
        }
        let may_use = |agent: &FakeAgent, zone: &str| {
            (!spec.one_zone || agent.zone == zone)
                && spec.zone.as_ref().is_none_or(|only| *only == agent.zone)
                && (spec.spot || !agent.spot)
        };
        ZONES.iter().any(|zone| {
            let machines = usage.available.iter();
            let fitting = machines
                .filter(|(agent, _)| may_use(agent, zone))
                .map(|(_, free)| free.count_fitting(&demand, count));
            fitting.sum::<u32>() >= count
        })
    }
}
