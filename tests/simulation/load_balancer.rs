//! The load balancer peer_duplication users and controllers, and users who ask through it, as PROTOCOL describes both.

use super::*;
use std::collections::VecDeque;

const PROBE: u64 = SECOND;
const PAUSE: u64 = 3 * SECOND;
const MOST_PAUSE: u64 = 60 * SECOND;
const RAMP: u64 = 10 * SECOND;
/// Users wait this long for the answer to a poll, and for others.
const PATIENCE: u64 = 2 * SECOND;
const SUBMIT_PATIENCE: u64 = 5 * SECOND;
/// A job is forgotten if no question about it is answered for this long once all faults are over.
const FORGOTTEN: u64 = 75 * SECOND;

/// What the load balancer thinks of a controller.
#[derive(Default)]
struct BackendHealth {
    healthy: bool,
    ever: bool,
    last: VecDeque<bool>,
    removals: Vec<u64>,
    not_before: u64,
    since: u64,
    /// Connections that failed in a row.
    failed: u32,
    passed_over: u64,
}

/// A user with one job and one connection.
#[derive(Default)]
struct BalancedClient {
    node: Option<usize>,
    asked: u64,
    answered: u64,
    /// When its user was last told the state of the job.
    known: u64,
    over: bool,
}

#[derive(Default)]
pub struct LoadBalancer {
    backends: Vec<BackendHealth>,
    clients: BTreeMap<String, BalancedClient>,
    /// Since when all faults are over.
    faults_over_at: Option<u64>,
}

impl Simulation {
    /// Users come through a load balancer from now on.
    pub fn enable_load_balancer(&mut self) {
        let n = self.controller_count();
        self.load_balancer.backends = (0..n).map(|_| BackendHealth::default()).collect();
        self.probe();
    }

    /// All faults are over from now on.
    pub fn declare_faults_over(&mut self) {
        self.load_balancer.faults_over_at = Some(self.now);
    }

    pub(super) fn faults_are_over(&self) -> bool {
        self.load_balancer.faults_over_at.is_some()
    }

    fn probe(&mut self) {
        for i in 0..self.controller_count() {
            let well = self.health_status(i) == 200;
            let now = self.now;
            let s = &mut self.load_balancer.backends[i];
            s.last.push_back(well);
            if s.last.len() > 6 {
                s.last.pop_front();
            }
            let newest =
                |n: usize, is: bool| s.last.iter().rev().take(n).filter(|w| **w == is).count();
            let bad = newest(2, false) == 2 || newest(6, false) >= 3;
            let good = newest(2, true) == 2 || (!s.ever && well);
            if s.healthy && bad {
                s.healthy = false;
                s.since = now;
                s.removals.retain(|t| now < t + 120 * SECOND);
                s.not_before = now + (PAUSE << s.removals.len().min(5)).min(MOST_PAUSE);
                s.removals.push(now);
            } else if !s.healthy && good && now >= s.not_before {
                s.healthy = true;
                s.ever = true;
                s.since = now;
                s.last.clear();
            }
            if !s.healthy && now >= s.since + 5 * SECOND {
                self.reset(i);
            }
        }
        self.check_known();
        self.after(PROBE, Simulation::probe);
    }

    /// Connections to a controller are gone.
    pub(super) fn reset(&mut self, i: usize) {
        for l in self.load_balancer.clients.values_mut() {
            if l.node == Some(i) {
                l.node = None;
            }
        }
    }

    /// A new connection: of the healthy ones that with the fewest users; up to three are tried.
    fn connect(&mut self) -> Option<usize> {
        let now = self.now;
        let mut order: Vec<usize> = (0..self.controller_count()).collect();
        let count = |b: &LoadBalancer, i: usize| {
            let all = b.clients.values();
            all.filter(|l| l.node == Some(i)).count()
        };
        order.sort_by_key(|i| count(&self.load_balancer, *i));
        for i in order {
            let s = &self.load_balancer.backends[i];
            let share = (now - s.since) as f64 / RAMP as f64;
            if !s.healthy || now < s.passed_over || !self.rng.random_bool(share.clamp(0.1, 1.0)) {
                continue;
            }
            let up = self.controller(i).is_some();
            let s = &mut self.load_balancer.backends[i];
            if up {
                s.failed = 0;
                return Some(i);
            }
            s.failed += 1;
            if s.failed >= 3 {
                s.failed = 0;
                s.passed_over = now + 3 * SECOND;
            }
        }
        None
    }

    /// A user who submits a job, and then asks about it every five seconds, through the load balancer.
    pub fn spawn_balanced_client(&mut self, id: &str, spec: JobSpec, run: u64) {
        self.declare_job(id, spec, run);
        self.load_balancer
            .clients
            .insert(id.into(), BalancedClient::default());
        self.ask(id.to_string());
    }

    fn ask(&mut self, id: String) {
        let t = &self.jobs[&id];
        let accepted = t.accepted;
        let over = t.completion_seen_at.is_some()
            || t.cancellation_seen_at.is_some()
            || t.cancel_requested;
        let line = self.load_balancer.clients.get_mut(&id).expect("a caller");
        line.over = over;
        if over {
            return;
        }
        let node = match line.node {
            Some(n) => Some(n),
            None => self.connect(),
        };
        let now = self.now;
        if let Some(line) = self.load_balancer.clients.get_mut(&id) {
            line.node = node;
            line.asked = now;
        }
        let patience = match (node, accepted) {
            (Some(n), true) => {
                self.poll(n, &id);
                PATIENCE
            }
            (Some(n), false) => {
                self.submit(n, &id);
                SUBMIT_PATIENCE
            }
            (None, _) => PATIENCE,
        };
        let of = id.clone();
        self.after(patience, move |w| {
            if let Some(l) = w.load_balancer.clients.get_mut(&of)
                && l.answered < l.asked
            {
                // No answer in time: the connection is given up.
                l.node = None;
            }
        });
        let again = if accepted {
            5 * SECOND
        } else {
            patience + SECOND
        };
        self.after(again, move |w| w.ask(id));
    }

    /// A user was answered; `known`: with the state of the job.
    pub(super) fn balanced_client_answered(&mut self, id: &str, known: bool) {
        let now = self.now;
        if let Some(l) = self.load_balancer.clients.get_mut(id) {
            l.answered = now;
            if known {
                l.known = now;
            }
        }
    }

    fn check_known(&mut self) {
        let Some(calm) = self.load_balancer.faults_over_at else {
            return;
        };
        let now = self.now;
        let lost = self.load_balancer.clients.iter().find(|(id, l)| {
            !l.over && self.jobs[*id].accepted && now > l.known.max(calm) + FORGOTTEN
        });
        if let Some((id, _)) = lost {
            let id = id.clone();
            self.report_violation("forgotten", format!("{id}: no question answered for 75 s"));
        }
    }
}
