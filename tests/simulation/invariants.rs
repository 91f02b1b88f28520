//! The invariant checker: checks the protocol's rules against the tasks on machines and the answers that clients
//! receive.

use super::*;
use fake_agent::split_task_name;

/// A controller sends start commands only within 4 s of its last confirmed read of the records; one tick is added.
const MAX_START_STALENESS: u64 = 4 * SECOND + 50_000;
/// Rounding tolerance of sums of resources.
const EPSILON: f64 = 1e-6;

impl JobGroundTruth {
    /// Whether the deadline is past by which all tasks of a cancelled job have to be stopped. It counts from the time
    /// when a client was first answered that the job is cancelled.
    fn is_past_cancel_deadline(&self, now: u64) -> bool {
        self.cancellation_seen_at
            .is_some_and(|reported_at| now > reported_at + CANCEL_DEADLINE_S * SECOND)
    }
}

/// A task that is active on a machine.
struct ActiveTask {
    machine: String,
    zone: String,
    task: String,
}

impl Simulation {
    /// Reports the violation of an invariant; the first one ends the run.
    pub(super) fn report_violation(&mut self, rule: &str, details: String) {
        let text = format!("{rule} at {:.3}: {details}", self.now as f64 / 1e6);
        self.violation.get_or_insert(text);
    }

    /// All jobs that a job depends on, directly or through others.
    pub(super) fn dependencies(&self, job: &str) -> Vec<&JobGroundTruth> {
        let mut found = BTreeSet::new();
        let mut unvisited = vec![job];
        while let Some(truth) = unvisited.pop().and_then(|job| self.jobs.get(job)) {
            for dependency in &truth.spec.dependencies {
                if found.insert(dependency.as_str()) {
                    unvisited.push(dependency);
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

    /// Called when the image of a task has been fetched to a machine: checks that the task may start there.
    pub(super) fn check_start(&mut self, machine: &str, task: &str) {
        self.record_start(machine, task);
        let (job, _) = split_task_name(task);
        let Some(truth) = self.jobs.get(job).cloned() else {
            self.report_violation(
                "invented",
                format!("{task} started, but no such job was submitted"),
            );
            return;
        };
        let active_tasks = self.active_tasks();
        for other in &active_tasks {
            if other.task == task && other.machine != machine {
                let details = format!("{task} is active on {} and on {machine}", other.machine);
                self.report_violation("ran_twice", details);
            }
        }
        let has_unfinished_dependency = self
            .dependencies(job)
            .iter()
            .any(|dependency| !dependency.all_tasks_done());
        if has_unfinished_dependency {
            let details = format!("{task} started before its dependencies were done");
            self.report_violation("too_early", details);
        }
        self.check_placement(machine, task, &truth.spec, &active_tasks);
        if truth.is_past_cancel_deadline(self.now) {
            let details =
                format!("{task} started after the cancellation deadline of {CANCEL_DEADLINE_S} s");
            self.report_violation("ran_cancelled", details);
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

    /// Checks a task's placement constraints: spot instances, zones and spread.
    fn check_placement(
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
            self.report_violation("wrong_place", format!("{task} on a spot instance"));
        }
        if spec.zone.as_ref().is_some_and(|wanted| *wanted != zone) {
            self.report_violation(
                "wrong_place",
                format!("{task} in zone {zone}, expected {:?}", spec.zone),
            );
        }
        if spec.one_zone && zones.iter().any(|other| **other != zone) {
            self.report_violation(
                "wrong_place",
                format!("{task} in zone {zone}, other tasks of the job in another one"),
            );
        }
        let in_zone = zones.iter().filter(|other| ***other == zone).count();
        if spec.spread && in_zone as u32 > spec.tasks.div_ceil(2) {
            self.report_violation(
                "wrong_place",
                format!("{task}: {in_zone} of {} tasks in zone {zone}", spec.tasks),
            );
        }
    }

    /// Checks the commands that a controller sends to an agent. A controller may start tasks for a limited time after
    /// its last confirmed read of the records; once this time has passed since a client was answered that a job is
    /// cancelled, no task of the job may be started.
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
            let reported_at = self
                .jobs
                .get(job)
                .and_then(|truth| truth.cancellation_seen_at);
            if reported_at.is_some_and(|reported_at| self.now > reported_at + MAX_START_STALENESS) {
                let details = format!("start of {task} sent after its cancellation was confirmed");
                self.report_violation("started_cancelled", details);
            }
        }
    }

    /// Checks the quotas of teams and the deadlines of cancellations for all active tasks.
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
            .map(|(team, used)| format!("team {team} uses {used} GPUs of {}", self.limits[*team]));
        if let Some(details) = over_limit {
            self.report_violation("quota", details);
        }
        if let Some(task) = late_task {
            let details =
                format!("{task} active after the cancellation deadline of {CANCEL_DEADLINE_S} s");
            self.report_violation("ran_cancelled", details);
        }
    }

    /// Checks the status of an answer to a client. Returns whether the state in the answer has to be checked as well.
    pub(super) fn check_client_answer(
        &mut self,
        job: &str,
        request: ClientRequest,
        status: u16,
    ) -> bool {
        let submitted = self.jobs.get(job).is_some_and(|truth| truth.submitted);
        if !submitted && status == 200 {
            self.report_violation(
                "invented",
                format!("{job}: answered 200, but never submitted"),
            );
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

    /// Checks a refused submission: at least one of its dependencies is not accepted or is a service, which never ends.
    fn check_refusal(&mut self, job: &str) {
        let is_valid_dependency = |dependency: &String| {
            let truth = self.jobs.get(dependency);
            truth.is_some_and(|truth| truth.accepted && truth.spec.kind != JobKind::Service)
        };
        let dependencies = &self.jobs[job].spec.dependencies;
        if !dependencies.is_empty() && dependencies.iter().all(is_valid_dependency) {
            let details = format!("{job}: refused although all its dependencies are accepted");
            self.report_violation("refused", details);
        }
    }

    /// Checks the state of a job that a client received against the ground truth.
    pub(super) fn check_reported_state(&mut self, job: &str, state: &str) {
        let now = self.now;
        let truth = self.jobs.get_mut(job).expect("job is declared");
        match state {
            "done" => {
                truth.completion_seen_at.get_or_insert(now);
                if !truth.all_tasks_done() {
                    let details = format!("{job}: state is done, but not all tasks are done");
                    self.report_violation("not_done", details);
                }
            }
            "cancelled" => {
                truth.cancellation_seen_at.get_or_insert(now);
                let requested = truth.cancel_requested
                    || self
                        .dependencies(job)
                        .iter()
                        .any(|dependency| dependency.cancel_requested);
                if !requested {
                    let details = format!("{job} cancelled without a request");
                    self.report_violation("went_back", details);
                }
            }
            _ => {
                let orphaned = self
                    .dependencies(job)
                    .iter()
                    .any(|dependency| dependency.is_past_cancel_deadline(now));
                if orphaned {
                    self.report_violation(
                        "orphaned",
                        format!("{job}: state is {state}, but a dependency is cancelled"),
                    );
                }
            }
        }
    }

    /// Checks that a final state does not change. Requests sent before a client received the final state are not
    /// checked: they may have been answered with the earlier state.
    pub(super) fn check_final_state(&mut self, job: &str, state: &str, sent_at: u64) {
        let Some(first) = self.final_states.get(job) else {
            return;
        };
        if first.state != state && sent_at >= first.reported_at {
            let details = format!("{job}: {}, then {state}", first.state);
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
