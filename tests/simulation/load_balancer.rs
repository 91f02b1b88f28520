//! The load balancer between clients and controllers, and clients that use it, according to the client protocol.

use super::*;
use std::collections::VecDeque;

const PROBE_INTERVAL: u64 = SECOND;
/// Number of health check results kept for each backend.
const PROBE_HISTORY: usize = 6;
/// A backend that fails its health checks is removed for at least this time, doubled for each recent removal.
const BASE_REMOVAL_TIME: u64 = 3 * SECOND;
const MAX_REMOVAL_TIME: u64 = 60 * SECOND;
/// A removal counts as recent for this time.
const RECENT_REMOVAL_WINDOW: u64 = 120 * SECOND;
/// Connections to a removed backend are closed after this time.
const CONNECTION_GRACE: u64 = 5 * SECOND;
/// A backend that becomes healthy gets a share of new connections that grows to the full share over this time.
const RAMP_TIME: u64 = 10 * SECOND;
/// A backend is skipped for `SKIP_TIME` after this many failed connections in a row.
const MAX_FAILED_CONNECTIONS: u32 = 3;
const SKIP_TIME: u64 = 3 * SECOND;
const POLL_INTERVAL: u64 = 5 * SECOND;
/// Clients wait this long for the answer to a poll.
const POLL_TIMEOUT: u64 = 2 * SECOND;
/// Clients wait this long for the answer to a submission.
const SUBMIT_TIMEOUT: u64 = 5 * SECOND;
/// Once all faults are over, it is a violation if no poll of an accepted job is answered for this long.
const MAX_UNANSWERED_TIME: u64 = 75 * SECOND;

/// The load balancer's state for a controller.
#[derive(Default)]
struct Backend {
    healthy: bool,
    was_ever_healthy: bool,
    /// Results of the last health checks, the newest last.
    probes: VecDeque<bool>,
    /// When the backend was removed, within `RECENT_REMOVAL_WINDOW`.
    removed_at: Vec<u64>,
    /// The backend cannot become healthy before this time.
    removed_until: u64,
    /// When `healthy` last changed.
    changed_at: u64,
    /// Number of connections that failed in a row.
    failed_connections: u32,
    skipped_until: u64,
}

impl Backend {
    fn record_probe(&mut self, passed: bool, now: u64) {
        self.probes.push_back(passed);
        if self.probes.len() > PROBE_HISTORY {
            self.probes.pop_front();
        }
        if self.healthy && self.has_failed() {
            self.remove(now);
        } else if !self.healthy && self.has_recovered(passed) && now >= self.removed_until {
            self.healthy = true;
            self.was_ever_healthy = true;
            self.changed_at = now;
            self.probes.clear();
        }
    }

    /// How many of the last `checks` health checks had this result.
    fn count_newest(&self, checks: usize, passed: bool) -> usize {
        let newest = self.probes.iter().rev().take(checks);
        newest.filter(|result| **result == passed).count()
    }

    fn has_failed(&self) -> bool {
        self.count_newest(2, false) == 2 || self.count_newest(PROBE_HISTORY, false) >= 3
    }

    fn has_recovered(&self, passed: bool) -> bool {
        self.count_newest(2, true) == 2 || (!self.was_ever_healthy && passed)
    }

    fn remove(&mut self, now: u64) {
        self.healthy = false;
        self.changed_at = now;
        self.removed_at
            .retain(|at| now < at + RECENT_REMOVAL_WINDOW);
        let removal_time = BASE_REMOVAL_TIME << self.removed_at.len().min(5);
        self.removed_until = now + removal_time.min(MAX_REMOVAL_TIME);
        self.removed_at.push(now);
    }
}

/// A client with one job and one connection.
#[derive(Default)]
struct BalancedClient {
    /// The controller that the client is connected to.
    controller: Option<usize>,
    /// When the client last sent a request.
    sent_at: u64,
    /// When the client last received an answer.
    answered_at: u64,
    /// When the client last received the job's state.
    state_received_at: u64,
    finished: bool,
}

#[derive(Default)]
pub struct LoadBalancer {
    backends: Vec<Backend>,
    /// Clients by job.
    clients: BTreeMap<String, BalancedClient>,
    /// When all faults were declared over; `None` before that.
    faults_over_at: Option<u64>,
}

impl LoadBalancer {
    fn connection_count(&self, controller: usize) -> usize {
        let clients = self.clients.values();
        clients
            .filter(|client| client.controller == Some(controller))
            .count()
    }
}

impl Simulation {
    /// Starts the load balancer's health checks.
    pub fn enable_load_balancer(&mut self) {
        let count = self.controller_count();
        self.load_balancer.backends = (0..count).map(|_| Backend::default()).collect();
        self.probe_backends();
    }

    /// Declares that all faults are over: from now on the polls of every job have to be answered, and no job may
    /// starve.
    pub fn declare_faults_over(&mut self) {
        self.load_balancer.faults_over_at = Some(self.now);
    }

    pub(super) fn faults_are_over(&self) -> bool {
        self.load_balancer.faults_over_at.is_some()
    }

    fn probe_backends(&mut self) {
        for controller in 0..self.controller_count() {
            let passed = self.health_status(controller) == 200;
            let now = self.now;
            let backend = &mut self.load_balancer.backends[controller];
            backend.record_probe(passed, now);
            if !backend.healthy && now >= backend.changed_at + CONNECTION_GRACE {
                self.reset_connections(controller);
            }
        }
        self.check_answered_polls();
        self.after(PROBE_INTERVAL, Simulation::probe_backends);
    }

    /// Closes all connections to a controller.
    pub(super) fn reset_connections(&mut self, controller: usize) {
        for client in self.load_balancer.clients.values_mut() {
            if client.controller == Some(controller) {
                client.controller = None;
            }
        }
    }

    /// Opens a connection to the healthy controller with the fewest clients that accepts it.
    fn connect(&mut self) -> Option<usize> {
        let now = self.now;
        let mut candidates: Vec<usize> = (0..self.controller_count()).collect();
        candidates.sort_by_key(|controller| self.load_balancer.connection_count(*controller));
        for controller in candidates {
            let backend = &self.load_balancer.backends[controller];
            let share = (now - backend.changed_at) as f64 / RAMP_TIME as f64;
            if !backend.healthy
                || now < backend.skipped_until
                || !self.rng.random_bool(share.clamp(0.1, 1.0))
            {
                continue;
            }
            let is_up = self.controller(controller).is_some();
            let backend = &mut self.load_balancer.backends[controller];
            if is_up {
                backend.failed_connections = 0;
                return Some(controller);
            }
            backend.failed_connections += 1;
            if backend.failed_connections >= MAX_FAILED_CONNECTIONS {
                backend.failed_connections = 0;
                backend.skipped_until = now + SKIP_TIME;
            }
        }
        None
    }

    /// Adds a client that submits a job and then polls it every five seconds, through the load balancer.
    pub fn spawn_balanced_client(&mut self, job: &str, spec: JobSpec, run_time: u64) {
        self.declare_job(job, spec, run_time);
        self.load_balancer
            .clients
            .insert(job.into(), BalancedClient::default());
        self.step_balanced_client(job.to_string());
    }

    fn step_balanced_client(&mut self, job: String) {
        let truth = &self.jobs[&job];
        let accepted = truth.accepted;
        let finished = truth.is_finished_for_client() || truth.cancel_requested;
        let client = self
            .load_balancer
            .clients
            .get_mut(&job)
            .expect("client is registered");
        client.finished = finished;
        if finished {
            return;
        }
        let controller = match client.controller {
            Some(controller) => Some(controller),
            None => self.connect(),
        };
        let client = self
            .load_balancer
            .clients
            .get_mut(&job)
            .expect("client is registered");
        client.controller = controller;
        client.sent_at = self.now;
        let timeout = match (controller, accepted) {
            (Some(controller), true) => {
                self.poll(controller, &job);
                POLL_TIMEOUT
            }
            (Some(controller), false) => {
                self.submit(controller, &job);
                SUBMIT_TIMEOUT
            }
            (None, _) => POLL_TIMEOUT,
        };
        let polled_job = job.clone();
        self.after(timeout, move |sim| {
            sim.close_unanswered_connection(&polled_job)
        });
        let poll_delay = if accepted {
            POLL_INTERVAL
        } else {
            timeout + SECOND
        };
        self.after(poll_delay, move |sim| sim.step_balanced_client(job));
    }

    fn close_unanswered_connection(&mut self, job: &str) {
        if let Some(client) = self.load_balancer.clients.get_mut(job)
            && client.answered_at < client.sent_at
        {
            client.controller = None;
        }
    }

    /// Called when a client receives an answer; `has_state` is true if it contains the job's state.
    pub(super) fn balanced_client_answered(&mut self, job: &str, has_state: bool) {
        let now = self.now;
        if let Some(client) = self.load_balancer.clients.get_mut(job) {
            client.answered_at = now;
            if has_state {
                client.state_received_at = now;
            }
        }
    }

    /// Checks that the client of every accepted job receives its state in time once all faults are over.
    fn check_answered_polls(&mut self) {
        let Some(faults_over_at) = self.load_balancer.faults_over_at else {
            return;
        };
        let is_unanswered = |job: &str, client: &BalancedClient| {
            let last_state_at = client.state_received_at.max(faults_over_at);
            !client.finished
                && self.jobs[job].accepted
                && self.now > last_state_at + MAX_UNANSWERED_TIME
        };
        let mut clients = self.load_balancer.clients.iter();
        if let Some((job, _)) = clients.find(|(job, client)| is_unanswered(job, client)) {
            let details = format!(
                "{job}: no poll answered for {} s",
                MAX_UNANSWERED_TIME / SECOND
            );
            self.report_violation("forgotten", details);
        }
    }
}
