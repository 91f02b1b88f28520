//! Users who look closely, who ask for what must be refused, who call jobs off at the moment of their end; and heartbeat_duplication
//! of reports that come to the next leader.

use super::*;
use rmpv::Value;

/// The machines of the tests' world, as jobs that fit none of them see them.
const LARGEST: f64 = 8.0;

impl Simulation {
    /// What happens by itself, looked at with each tick.
    pub(super) fn inject_client_and_heartbeat_faults(&mut self) {
        let (leader, term) = (self.leader(), self.term());
        for (name, number, body) in self.faults.stale_heartbeats_for(leader, term) {
            for node in 0..self.controllers.len() {
                let at = self.now + self.rng.random_range(0..400_000);
                self.schedule(
                    at,
                    Event::AgentHeartbeat(name.clone(), node, number, body.clone()),
                );
            }
        }
        if self.faults.cancel_at_completion_probability > 0.0 {
            self.cancel_completed_jobs();
        }
        self.check_waits();
    }

    /// Calls off some of the jobs whose last task has just ended.
    fn cancel_completed_jobs(&mut self) {
        let ended = |t: &JobGroundTruth| {
            t.accepted
                && !t.cancel_requested
                && t.spec.kind != JobKind::Service
                && t.done.len() as u32 == t.spec.tasks
        };
        let new: Vec<String> = self
            .jobs
            .iter()
            .filter(|(id, t)| ended(t) && !self.starvation.ended.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in new {
            self.starvation.ended.insert(id.clone());
            let share = self.faults.cancel_at_completion_probability;
            if self.jobs[&id].completion_seen_at.is_none() && self.rng.random_bool(share) {
                self.cancel_until_answered(&id);
            }
        }
    }

    /// Asks at all nodes, again and again within milliseconds; request_duplication the submission, and the cancellation if the
    /// job is over.
    pub fn probe_job(&mut self, id: &str) {
        let over = self.final_statuses.contains_key(id);
        for node in 0..self.controllers.len() {
            for _ in 0..3 {
                let (at, of) = (self.rng.random_range(0..60_000), id.to_string());
                self.after(at, move |w| w.poll(node, &of));
            }
            let (at, of) = (self.rng.random_range(0..200_000), id.to_string());
            self.after(at, move |w| w.submit(node, &of));
            if over {
                let (at, of) = (self.rng.random_range(0..200_000), id.to_string());
                self.after(at, move |w| w.cancel(node, &of));
            }
        }
    }

    /// Calls off these jobs within a fifth of a second; `hang`: up to eight machines with tasks of theirs stand still
    /// for so long.
    pub fn cancel_burst(&mut self, ids: &[String], hang: u64) {
        let until = self.now + hang;
        let mut hung = 0;
        for id in ids {
            if hang > 0 && hung < 8 {
                for w in self.agents.values_mut() {
                    let mut there = w.tasks.keys().map(|(t, _)| t.rsplit_once('/'));
                    if there.any(|t| t.is_some_and(|(j, _)| j == id)) && w.hung_until <= self.now {
                        w.hung_until = until;
                        hung += 1;
                        break;
                    }
                }
            }
            let (at, of) = (self.rng.random_range(0..200_000), id.clone());
            self.after(at, move |w| w.cancel_until_answered(&of));
        }
    }

    /// A submission of which one field is changed or (none) left out.
    fn bent(&mut self, field: &str, to: Option<Value>) -> Vec<u8> {
        let spec = job(JobKind::Array, 2, 1.0);
        let mut value = to_value(&spec);
        if let Value::Map(m) = &mut value {
            let id = format!("req-7{:06}", self.serial);
            m.push(("id".into(), id.into()));
            m.retain(|(k, _)| k.as_str() != Some(field));
            m.extend(to.map(|v| (field.into(), v)));
        }
        encode(&value)
    }

    /// One request that must be refused, at some node.
    pub fn send_invalid_request(&mut self) {
        let list = |v: Vec<Value>| Some(Value::Array(v));
        let odd: Vec<(&'static str, Option<Value>, u16)> = vec![
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
            ("cpus", Some(Value::from(LARGEST + 1.0)), 422),
            ("presses", list(vec!["none-such".into()]), 422),
            ("yard", Some("z".into()), 422),
        ];
        let (field, to, right) = odd[self.rng.random_range(0..odd.len())].clone();
        let body = self.bent(field, to);
        let node = self.rng.random_range(0..self.controllers.len());
        let pending = PendingResponse::Odd(field, right);
        self.request(node, pending, "POST", "/submissions".into(), body);
    }

    pub(super) fn check_invalid_request_answer(
        &mut self,
        what: &'static str,
        right: u16,
        status: u16,
    ) {
        if matches!(status, 200 | 201) {
            self.report_violation("accepted_invalid", format!("{what}: {status}"));
        } else if status != right && status != 503 {
            self.report_violation("refused_otherwise", format!("{what}: {status}"));
        }
    }

    /// For so long, twice a second: a request that must be refused, a repeated submission, a cancellation of what is
    /// done, a question about what nobody has submitted.
    pub fn send_invalid_requests(&mut self, dt: u64) {
        fn step(w: &mut Simulation, until: u64) {
            if w.now >= until {
                return;
            }
            w.send_invalid_request();
            let node = w.rng.random_range(0..w.controllers.len());
            let accepted = |t: &&JobGroundTruth| t.accepted;
            let pick = |w: &mut Simulation, of: Vec<String>| {
                let n = of.len();
                (n > 0).then(|| of[w.rng.random_range(0..n)].clone())
            };
            let open = w.jobs.iter().filter(|(_, t)| accepted(t));
            let open = open.filter(|(id, _)| !w.final_statuses.contains_key(*id));
            let open: Vec<String> = open.map(|(id, _)| id.clone()).collect();
            if let Some(id) = pick(w, open) {
                w.submit(node, &id);
            }
            let done = w
                .jobs
                .iter()
                .filter(|(_, t)| t.completion_seen_at.is_some());
            let done: Vec<String> = done.map(|(id, _)| id.clone()).collect();
            if let Some(id) = pick(w, done) {
                w.cancel(node, &id);
            }
            w.poll(node, "req-5555555");
            w.after(SECOND / 2, move |w| step(w, until));
        }
        let until = self.now + dt;
        step(self, until);
    }
}
