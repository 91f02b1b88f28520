//! Clients: their requests, and the handling of the answers.

use super::*;

impl JobGroundTruth {
    pub fn new(spec: JobSpec, run_time: u64) -> JobGroundTruth {
        JobGroundTruth {
            spec,
            run_time,
            run_time_step: 0,
            done: BTreeSet::new(),
            accepted: false,
            cancel_requested: false,
            cancellation_seen_at: None,
            completion_seen_at: None,
            submitted: false,
        }
    }

    /// Whether a client has received a final state of the job: done or cancelled.
    pub fn is_finished_for_client(&self) -> bool {
        self.completion_seen_at.is_some() || self.cancellation_seen_at.is_some()
    }

    pub fn all_tasks_done(&self) -> bool {
        self.done.len() as u32 >= self.spec.tasks
    }
}

impl Simulation {
    /// Sends a request to a controller's client address.
    pub(super) fn request(
        &mut self,
        controller: usize,
        pending: PendingResponse,
        method: &str,
        path: String,
        body: Vec<u8>,
    ) {
        self.request_on(false, controller, pending, method, path, body);
    }

    /// Sends a request to a controller's client address or to its internal address.
    pub(super) fn request_on(
        &mut self,
        internal: bool,
        controller: usize,
        pending: PendingResponse,
        method: &str,
        path: String,
        body: Vec<u8>,
    ) {
        if self.controllers[controller].process.is_none() {
            return;
        }
        self.serial += 1;
        let conn = self.serial;
        self.pending_responses.insert((controller, conn), pending);
        let request = NetworkEvent::Request {
            conn,
            internal,
            method: method.into(),
            path,
            body,
        };
        self.deliver(controller, vec![request]);
    }

    fn pending_client(&self, request: ClientRequest, job: &str) -> PendingResponse {
        PendingResponse::Client {
            request,
            job: job.into(),
            sent_at: self.now,
        }
    }

    /// Registers a job with the simulation without submitting it; `submit` sends it to a controller.
    pub fn declare_job(&mut self, job: &str, spec: JobSpec, run_time: u64) {
        let truth = JobGroundTruth::new(spec, run_time);
        self.jobs.insert(job.into(), truth);
    }

    /// Submits a declared job once.
    pub fn submit(&mut self, controller: usize, job: &str) {
        let truth = self.jobs.get_mut(job).expect("job is declared");
        truth.submitted = true;
        let mut submission = to_value(&truth.spec);
        if let rmpv::Value::Map(fields) = &mut submission {
            fields.push(("id".into(), job.into()));
        }
        let pending = self.pending_client(ClientRequest::Submit, job);
        let path = "/submissions".into();
        self.request(controller, pending, "POST", path, encode(&submission));
    }

    /// Adds a client that submits a job, retries until it is accepted, and polls it until it ends. Each request goes to
    /// a random controller.
    pub fn spawn_client(&mut self, job: &str, spec: JobSpec, run_time: u64) {
        let all: Vec<usize> = (0..self.controllers.len()).collect();
        self.spawn_client_at(&all, job, spec, run_time);
    }

    /// Like `spawn_client`, but the client sends requests only to `controllers`.
    pub fn spawn_client_at(
        &mut self,
        controllers: &[usize],
        job: &str,
        spec: JobSpec,
        run_time: u64,
    ) {
        self.declare_job(job, spec, run_time);
        self.step_client(controllers.to_vec(), job.to_string());
    }

    fn step_client(&mut self, controllers: Vec<usize>, job: String) {
        let controller = controllers[self.rng.random_range(0..controllers.len())];
        let truth = &self.jobs[&job];
        if truth.is_finished_for_client() {
            return;
        }
        if truth.accepted {
            self.poll(controller, &job);
        } else {
            self.submit(controller, &job);
        }
        let delay = self.rng.random_range(SECOND..3 * SECOND);
        self.after(delay, move |sim| sim.step_client(controllers, job));
    }

    /// The status of a controller's answer to a health check; 0 if it does not answer.
    pub fn health_status(&mut self, controller: usize) -> u16 {
        self.last_health_status = 0;
        let pending = PendingResponse::HealthCheck;
        self.request(controller, pending, "GET", "/healthz".into(), Vec::new());
        self.last_health_status
    }

    /// Sends one request for a job's state.
    pub fn poll(&mut self, controller: usize, job: &str) {
        let pending = self.pending_client(ClientRequest::Poll, job);
        let path = format!("/submissions/{job}");
        self.request(controller, pending, "GET", path, Vec::new());
    }

    /// Sends one request to cancel a job.
    pub fn cancel(&mut self, controller: usize, job: &str) {
        if let Some(truth) = self.jobs.get_mut(job) {
            truth.cancel_requested = true;
        }
        let pending = self.pending_client(ClientRequest::Cancel, job);
        let path = format!("/submissions/{job}/cancel");
        self.request(controller, pending, "POST", path, Vec::new());
    }

    /// Requests a job's cancellation every second until a client has received its final state.
    pub fn cancel_until_answered(&mut self, job: &str) {
        if self.jobs[job].is_finished_for_client() {
            return;
        }
        let controller = self.rng.random_range(0..self.controllers.len());
        self.cancel(controller, job);
        let job = job.to_string();
        self.after(SECOND, move |sim| sim.cancel_until_answered(&job));
    }

    /// Called when a client receives the answer to a request about a job; `sent_at` is the request's time.
    pub(super) fn client_answered(
        &mut self,
        job: String,
        sent_at: u64,
        request: ClientRequest,
        status: u16,
        body: &[u8],
    ) {
        let state = decode::<JobState>(body)
            .map(|answer| answer.status)
            .unwrap_or_default();
        self.client_answers.push(ClientAnswer {
            at: self.now,
            job: job.clone(),
            status,
            state: state.clone(),
        });
        let succeeded = matches!(status, 200 | 201);
        self.balanced_client_answered(&job, succeeded);
        if !self.check_client_answer(&job, request, status) || !succeeded {
            return;
        }
        let truth = self.jobs.get_mut(&job).expect("job is declared");
        let is_final = matches!(state.as_str(), "done" | "cancelled");
        let is_new_state = !truth.accepted || is_final;
        truth.accepted = true;
        self.check_reported_state(&job, &state);
        self.check_final_state(&job, &state, sent_at);
        let is_first_final = !self.final_states.contains_key(&job);
        if is_final {
            let reported_at = self.now;
            self.final_states
                .entry(job.clone())
                .or_insert(FinalState { state, reported_at });
        }
        if self.faults.client_probes && is_new_state && is_first_final {
            self.probe_job(&job);
        }
    }
}
