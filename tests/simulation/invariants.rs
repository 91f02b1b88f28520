//! The invariant checker: the protocol's rules, checked against what happens on machines and what clients are told.

use super::*;
use fake_agent::split_task_name;

/// A controller sends starts only this soon after it has read the records, with a tick more.
const MAX_START_STALENESS: u64 = 4 * SECOND + 50_000;
/// Tolerance of sums of resources.
const EPSILON: f64 = 1e-6;

impl JobGroundTruth {
    /// A client was told of the cancellation so long ago that no task may be left.
    fn is_past_cancel_deadline(&self, now: u64) -> bool {
        self.cancellation_seen_at
            .is_some_and(|told_at| now > told_at + CANCEL_DEADLINE_S * SECOND)
    }
}

/// A task that is active on a machine.
struct ActiveTask {
    machine: String,
    zone: String,
    task: String,
}

impl Simulation {
    /// Reports the violation of a rule; the first one ends the run.
    pub(super) fn report_violation(&mut self, rule: &str, details: String) {
        let text = format!("{rule} at {:.3}: {details}", self.now as f64 / 1e6);
        self.violation.get_or_insert(text);
    }

    /// All jobs that a job depends on, directly or through others.
    pub(super) fn dependencies(&self, job: &str) -> Vec<&JobGroundTruth> {
        let mut found = BTreeSet::new();
        let mut unvisited = vec![job];
        while let Some(truth) = unvisited.pop().and_then(|job| self.jobs.get(job)) {
            for need in &truth.spec.dependencies {
                if found.insert(need.as_str()) {
                    unvisited.push(need);
                }
            }
        }
        found.iter().filter_map(|job| self.jobs.get(*job)).collect()
    }

    fn active_tasks(&self) -> Vec<ActiveTask> {
        let tasks_of = |agent: &FakeAgent| -> Vec<ActiveTask> {
            agent
                .active_tasks()
                .map(|((task, _), _)| ActiveTask {
                    machine: agent.name.clone(),
                    zone: agent.zone.clone(),
                    task: task.clone(),
                })
                .collect()
        };
        self.agents.values().flat_map(tasks_of).collect()
    }

    /// A task has got its image on a machine: checks that it may start there.
    pub(super) fn check_start(&mut self, machine: &str, task: &str) {
        self.record_start(machine, task);
        let (job, _) = split_task_name(task);
        let Some(truth) = self.jobs.get(job).cloned() else {
            self.report_violation("invented", format!("{task} started"));
            return;
        };
        let active_tasks = self.active_tasks();
        for other in &active_tasks {
            if other.task == task && other.machine != machine {
                let details = format!("{task} on {} and {machine}", other.machine);
                self.report_violation("ran_twice", details);
            }
        }
        let is_early = self
            .dependencies(job)
            .iter()
            .any(|need| !need.all_tasks_done());
        if is_early {
            self.report_violation("too_early", task.to_string());
        }
        self.check_place(machine, task, &truth.spec, &active_tasks);
        if truth.is_past_cancel_deadline(self.now) {
            self.report_violation("ran_cancelled", format!("{task} started"));
        }
    }

    fn record_start(&mut self, machine: &str, task: &str) {
        self.task_starts.push(TaskStart {
            at: self.now,
            task: task.to_string(),
            machine: machine.to_string(),
        });
        let (job, _) = split_task_name(task);
        let image = self.jobs.get(job).map(|truth| truth.spec.image.clone());
        if let (Some(agent), Some(image)) = (self.agents.get_mut(machine), image) {
            agent.cached_images.insert(image);
        }
        *self.start_counts.entry(task.to_string()).or_default() += 1;
    }

    /// Checks the constraints of a task's place: spot instances, zones and spread.
    fn check_place(
        &mut self,
        machine: &str,
        task: &str,
        spec: &JobSpec,
        active_tasks: &[ActiveTask],
    ) {
        let agent = &self.agents[machine];
        let (zone, spot) = (agent.zone.clone(), agent.spot);
        let (job, index) = split_task_name(task);
        let is_of_job = |other: &&ActiveTask| {
            let (other_job, other_index) = split_task_name(&other.task);
            (other_job == job && other_index != index)
                || (other.task == task && other.machine == machine)
        };
        let zones: Vec<&String> = active_tasks
            .iter()
            .filter(is_of_job)
            .map(|other| &other.zone)
            .collect();
        if spot && !spec.spot {
            self.report_violation("wrong_place", format!("{task} on a spot machine"));
        }
        if spec.zone.as_ref().is_some_and(|wanted| *wanted != zone) {
            self.report_violation("wrong_place", format!("{task} in zone {zone}"));
        }
        if spec.one_zone && zones.iter().any(|other| **other != zone) {
            self.report_violation("wrong_place", format!("{task} apart from its mates"));
        }
        let in_zone = zones.iter().filter(|other| ***other == zone).count();
        if spec.spread && in_zone as u32 > spec.tasks.div_ceil(2) {
            self.report_violation("wrong_place", format!("{task}: too many in {zone}"));
        }
    }

    /// A controller sends commands to an agent: checks that it starts no task of a job whose cancellation a client was
    /// told of longer ago than a read of the records allows starts.
    pub(super) fn check_commands(&mut self, to: &Endpoint, call: &Call) {
        let Endpoint::Agent(_) = to else { return };
        let Some(commands) = decode::<AgentCommands>(&call.body) else {
            return;
        };
        for command in commands.commands {
            let Command::Start { task, .. } = command else {
                continue;
            };
            let job = task.rsplit_once('/').map_or("", |(job, _)| job);
            let told_at = self
                .jobs
                .get(job)
                .and_then(|truth| truth.cancellation_seen_at);
            if told_at.is_some_and(|told_at| self.now > told_at + MAX_START_STALENESS) {
                let details = format!("{task} by a command sent then");
                self.report_violation("started_cancelled", details);
            }
        }
    }

    /// Checks limits of teams and deadlines of cancellations for all active tasks.
    pub(super) fn check_running_tasks(&mut self) {
        let mut used_gpus: BTreeMap<&str, f64> = BTreeMap::new();
        let mut late_task = None;
        for agent in self.agents.values() {
            for ((task, _), _) in agent.active_tasks() {
                let (job, _) = split_task_name(task);
                let Some(truth) = self.jobs.get(job) else {
                    continue;
                };
                *used_gpus.entry(truth.spec.team.as_str()).or_default() += truth.spec.gpus;
                if truth.is_past_cancel_deadline(self.now) {
                    late_task = Some(task.clone());
                }
            }
        }
        let is_over_limit = |team: &str, used: f64| {
            let limit = self.limits.get(team);
            limit.is_some_and(|limit| used > limit + EPSILON)
        };
        let over_limit = used_gpus
            .iter()
            .find(|(team, used)| is_over_limit(team, **used))
            .map(|(team, used)| format!("{team} uses {used}"));
        if let Some(details) = over_limit {
            self.report_violation("quota", details);
        }
        if let Some(task) = late_task {
            self.report_violation("ran_cancelled", task);
        }
    }

    /// Checks the status of an answer to a client. Returns whether the job's state is to be checked as well.
    pub(super) fn check_client_answer(
        &mut self,
        job: &str,
        request: ClientRequest,
        status: u16,
    ) -> bool {
        let submitted = self.jobs.get(job).is_some_and(|truth| truth.submitted);
        if !submitted && status == 200 {
            self.report_violation("invented", job.to_string());
            return false;
        }
        let Some(truth) = self.jobs.get(job) else {
            return false;
        };
        let is_submission = request == ClientRequest::Submit;
        let denied = status == 404 || (is_submission && matches!(status, 400 | 422));
        if truth.accepted && denied {
            let details = format!("{job}: {} answered {status}", request.name());
            self.report_violation("forgotten", details);
            return false;
        }
        if is_submission && status == 422 {
            self.check_refusal(job);
            return false;
        }
        true
    }

    /// A submission was refused: checks that not all of its dependencies are accepted jobs that end.
    fn check_refusal(&mut self, job: &str) {
        let can_be_needed = |need: &String| {
            let truth = self.jobs.get(need);
            truth.is_some_and(|truth| truth.accepted && truth.spec.kind != JobKind::Service)
        };
        let needs = &self.jobs[job].spec.dependencies;
        if !needs.is_empty() && needs.iter().all(can_be_needed) {
            let details = format!("{job}: all that it needs is accepted");
            self.report_violation("refused", details);
        }
    }

    /// Checks a job's state that a client was told against what has happened.
    pub(super) fn check_told_state(&mut self, job: &str, state: &str) {
        let now = self.now;
        let truth = self.jobs.get_mut(job).expect("a job");
        match state {
            "done" => {
                truth.completion_seen_at.get_or_insert(now);
                if !truth.all_tasks_done() {
                    self.report_violation("not_done", job.to_string());
                }
            }
            "cancelled" => {
                truth.cancellation_seen_at.get_or_insert(now);
                let requested = truth.cancel_requested
                    || self
                        .dependencies(job)
                        .iter()
                        .any(|need| need.cancel_requested);
                if !requested {
                    let details = format!("{job} cancelled without being asked");
                    self.report_violation("went_back", details);
                }
            }
            _ => {
                let orphaned = self
                    .dependencies(job)
                    .iter()
                    .any(|need| need.is_past_cancel_deadline(now));
                if orphaned {
                    self.report_violation("orphaned", format!("{job} is called {state}"));
                }
            }
        }
    }

    /// Checks that a final state stands. A request that was sent before a client was told the final state may have been
    /// answered before it, too.
    pub(super) fn check_final_state(&mut self, job: &str, state: &str, asked_at: u64) {
        let Some(before) = self.final_states.get(job) else {
            return;
        };
        if before.state != state && asked_at >= before.told_at {
            let details = format!("{job}: {}, then {state}", before.state);
            self.report_violation("went_back", details);
        }
    }
}

impl ClientRequest {
    fn name(self) -> &'static str {
        match self {
            ClientRequest::Submit => "submit",
            ClientRequest::Poll => "poll",
            ClientRequest::Cancel => "cancel",
        }
    }
}
