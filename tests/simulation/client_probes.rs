//! Clients that provoke races: they poll all controllers at once, send invalid requests, and cancel jobs at the moment
//! of their completion. The stale heartbeats for a new leader are sent from here as well.

use super::*;
use rmpv::Value;

/// CPUs of the largest machine.
const LARGEST_MACHINE_CPUS: f64 = 8.0;
/// The polls of a probe are spread over this time, in microseconds.
const POLL_SPREAD: std::ops::Range<u64> = 0..60_000;
/// The other requests of a probe, and the cancellations of a burst, are spread over this time, in microseconds.
const REQUEST_SPREAD: std::ops::Range<u64> = 0..200_000;
/// The stale heartbeats for a new leader are spread over this time, in microseconds.
const STALE_HEARTBEAT_SPREAD: std::ops::Range<u64> = 0..400_000;
const MAX_HUNG_MACHINES: usize = 8;
const INVALID_REQUEST_INTERVAL: u64 = SECOND / 2;

/// A submission with one invalid field, and the status it must be refused with.
#[derive(Clone)]
struct InvalidField {
    name: &'static str,
    /// `None`: the field is left out.
    value: Option<Value>,
    expected_status: u16,
}

fn invalid_fields() -> Vec<InvalidField> {
    let list = |values: Vec<Value>| Some(Value::Array(values));
    let fields: Vec<(&'static str, Option<Value>, u16)> = vec![
        ("id", None, 400),
        ("id", Some("job-1".into()), 400),
        ("docket", None, 400),
        ("crew", Some(Value::from(3)), 400),
        ("shape", Some("ring".into()), 400),
        ("rank", Some("first".into()), 400),
        ("sheets", None, 400),
        ("sheets", Some(Value::from(0)), 400),
        ("sheets", Some(Value::from(-2)), 400),
        ("sheets", Some(Value::from(2.5)), 400),
        ("sheets", Some(Value::from(100_001)), 400),
        ("cpus", Some(Value::from(f64::NAN)), 400),
        ("cards", Some(Value::from(-1.0)), 400),
        ("memory_gb", Some(Value::from(f64::INFINITY)), 400),
        ("memory_gb", Some("9".into()), 400),
        ("plate", None, 400),
        ("size_gb", Some(Value::Boolean(true)), 400),
        ("presses", list(vec![]), 400),
        ("presses", list(vec![Value::from(1)]), 400),
        ("yard", Some(Value::from(1)), 400),
        ("together", None, 400),
        ("scatter", Some("no".into()), 400),
        ("loaners", None, 400),
        ("expected_s", Some(Value::from(-1.0)), 400),
        ("proof_s", None, 400),
        ("stash_s", Some(Value::from(f64::NAN)), 400),
        ("due_s", Some(Value::from(-5.0)), 400),
        ("awaits", list(vec!["me".into()]), 400),
        ("crew", Some("nobody".into()), 422),
        ("cpus", Some(Value::from(LARGEST_MACHINE_CPUS + 1.0)), 422),
        ("presses", list(vec!["none-such".into()]), 422),
        ("yard", Some("z".into()), 422),
    ];
    let field = |(name, value, expected_status)| InvalidField {
        name,
        value,
        expected_status,
    };
    fields.into_iter().map(field).collect()
}

impl Simulation {
    /// Runs at each tick: injects the faults that depend on the state of the cluster, and checks for starvation.
    pub(super) fn inject_client_and_heartbeat_faults(&mut self) {
        self.send_stale_heartbeats();
        if self.faults.cancel_at_completion_probability > 0.0 {
            self.cancel_completed_jobs();
        }
        self.check_starvation();
    }

    fn send_stale_heartbeats(&mut self) {
        let (leader, term) = (self.leader(), self.term());
        for heartbeat in self.faults.stale_heartbeats_for(leader, term) {
            for controller in 0..self.controllers.len() {
                let at = self.now + self.rng.random_range(STALE_HEARTBEAT_SPREAD);
                self.schedule(at, heartbeat.clone().arriving_at(controller));
            }
        }
    }

    /// Cancels some of the jobs whose last task has just completed.
    fn cancel_completed_jobs(&mut self) {
        let has_completed = |truth: &JobGroundTruth| {
            truth.accepted
                && !truth.cancel_requested
                && truth.spec.kind != JobKind::Service
                && truth.done.len() as u32 == truth.spec.tasks
        };
        let completed: Vec<String> = self
            .jobs
            .iter()
            .filter(|(job, truth)| {
                has_completed(truth) && !self.starvation.completed.contains(*job)
            })
            .map(|(job, _)| job.clone())
            .collect();
        for job in completed {
            self.starvation.completed.insert(job.clone());
            let probability = self.faults.cancel_at_completion_probability;
            let is_unreported = self.jobs[&job].completion_seen_at.is_none();
            if is_unreported && self.rng.random_bool(probability) {
                self.cancel_until_answered(&job);
            }
        }
    }

    /// Polls a job three times at each controller within milliseconds. Repeats its submission, and requests its
    /// cancellation if a client has received a final state.
    pub fn probe_job(&mut self, job: &str) {
        let has_ended = self.final_states.contains_key(job);
        for controller in 0..self.controllers.len() {
            for _ in 0..3 {
                self.request_within(POLL_SPREAD, job, move |sim, job| sim.poll(controller, job));
            }
            self.request_within(REQUEST_SPREAD, job, move |sim, job| {
                sim.submit(controller, job)
            });
            if has_ended {
                self.request_within(REQUEST_SPREAD, job, move |sim, job| {
                    sim.cancel(controller, job)
                });
            }
        }
    }

    fn request_within(
        &mut self,
        spread: std::ops::Range<u64>,
        job: &str,
        request: impl FnOnce(&mut Simulation, &str) + 'static,
    ) {
        let delay = self.rng.random_range(spread);
        let job = job.to_string();
        self.after(delay, move |sim| request(sim, &job));
    }

    /// Cancels these jobs within 200 ms. If `hang_time` is not 0, up to `MAX_HUNG_MACHINES` machines with tasks of
    /// these jobs hang for that long.
    pub fn cancel_burst(&mut self, jobs: &[String], hang_time: u64) {
        let until = self.now + hang_time;
        let mut hung_machines = 0;
        for job in jobs {
            if hang_time > 0 && hung_machines < MAX_HUNG_MACHINES {
                hung_machines += usize::from(self.hang_machine_of(job, until));
            }
            self.request_within(REQUEST_SPREAD, job, |sim, job| {
                sim.cancel_until_answered(job)
            });
        }
    }

    /// Makes one machine with tasks of a job hang; returns whether there is such a machine.
    fn hang_machine_of(&mut self, job: &str, until: u64) -> bool {
        let now = self.now;
        let has_task = |agent: &FakeAgent| {
            let mut tasks = agent.tasks.keys();
            tasks.any(|(task, _)| {
                task.rsplit_once('/')
                    .is_some_and(|(task_job, _)| task_job == job)
            })
        };
        let mut agents = self.agents.values_mut();
        let Some(agent) = agents.find(|agent| has_task(agent) && agent.hung_until <= now) else {
            return false;
        };
        agent.hung_until = until;
        true
    }

    fn submission_with(&mut self, field: &InvalidField) -> Vec<u8> {
        let spec = job(JobKind::Array, 2, 1.0);
        let mut submission = to_value(&spec);
        if let Value::Map(fields) = &mut submission {
            let id = format!("req-7{:06}", self.serial);
            fields.push(("id".into(), id.into()));
            fields.retain(|(name, _)| name.as_str() != Some(field.name));
            let value = field.value.clone();
            fields.extend(value.map(|value| (field.name.into(), value)));
        }
        encode(&submission)
    }

    /// Sends one invalid submission to a random controller, which must refuse it.
    pub fn send_invalid_request(&mut self) {
        let fields = invalid_fields();
        let field = fields[self.rng.random_range(0..fields.len())].clone();
        let body = self.submission_with(&field);
        let controller = self.rng.random_range(0..self.controllers.len());
        let pending = PendingResponse::Invalid {
            description: field.name,
            expected_status: field.expected_status,
        };
        self.request(controller, pending, "POST", "/submissions".into(), body);
    }

    pub(super) fn check_invalid_request_answer(
        &mut self,
        description: &'static str,
        expected_status: u16,
        status: u16,
    ) {
        if matches!(status, 200 | 201) {
            self.report_violation(
                "accepted_invalid",
                format!("invalid {description} accepted with status {status}"),
            );
        } else if status != expected_status && status != 503 {
            self.report_violation(
                "refused_otherwise",
                format!("invalid {description}: expected status {expected_status}, found {status}"),
            );
        }
    }

    /// Sends the following requests twice a second, for `duration` microseconds: an invalid submission, a repeated
    /// submission, a cancellation of a completed job, and a poll of a job that does not exist.
    pub fn send_invalid_requests(&mut self, duration: u64) {
        self.step_invalid_requests(self.now + duration);
    }

    fn step_invalid_requests(&mut self, until: u64) {
        if self.now >= until {
            return;
        }
        self.send_invalid_request();
        let controller = self.rng.random_range(0..self.controllers.len());
        let open = self.jobs_matching(|sim, job| {
            sim.jobs[job].accepted && !sim.final_states.contains_key(job)
        });
        if let Some(job) = self.pick(open) {
            self.submit(controller, &job);
        }
        let completed = self.jobs_matching(|sim, job| sim.jobs[job].completion_seen_at.is_some());
        if let Some(job) = self.pick(completed) {
            self.cancel(controller, &job);
        }
        self.poll(controller, "req-5555555");
        self.after(INVALID_REQUEST_INTERVAL, move |sim| {
            sim.step_invalid_requests(until)
        });
    }

    fn jobs_matching(&self, filter: impl Fn(&Simulation, &str) -> bool) -> Vec<String> {
        let names = self.jobs.keys();
        names.filter(|job| filter(self, job)).cloned().collect()
    }

    fn pick(&mut self, jobs: Vec<String>) -> Option<String> {
        let count = jobs.len();
        (count > 0).then(|| jobs[self.rng.random_range(0..count)].clone())
    }
}
