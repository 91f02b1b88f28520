//! Users: what they ask, and what they are told.

use super::*;

impl Simulation {
    pub(super) fn request(
        &mut self,
        i: usize,
        pending: PendingResponse,
        method: &str,
        path: String,
        body: Vec<u8>,
    ) {
        self.request_on(false, i, pending, method, path, body);
    }

    /// The same, on the address for users or on that for controllers.
    pub(super) fn request_on(
        &mut self,
        internal: bool,
        i: usize,
        pending: PendingResponse,
        method: &str,
        path: String,
        body: Vec<u8>,
    ) {
        if self.controllers[i].node.is_none() {
            return;
        }
        self.serial += 1;
        let conn = self.serial;
        self.conns.insert((i, conn), pending);
        let ev = NetworkEvent::Request {
            conn,
            internal,
            method: method.into(),
            path,
            body,
        };
        self.deliver(i, vec![ev]);
    }

    /// Declares a job; `submit` sends it.
    pub fn declare_job(&mut self, id: &str, spec: JobSpec, run: u64) {
        let truth = JobGroundTruth {
            spec,
            run,
            apart: 0,
            done: BTreeSet::new(),
            accepted: false,
            cancel_requested: false,
            cancellation_seen_at: None,
            completion_seen_at: None,
            submitted: false,
        };
        self.jobs.insert(id.into(), truth);
    }

    pub fn submit(&mut self, i: usize, id: &str) {
        let truth = self.jobs.get_mut(id).expect("declared");
        truth.submitted = true;
        let mut value = to_value(&truth.spec);
        if let rmpv::Value::Map(m) = &mut value {
            m.push(("id".into(), id.into()));
        }
        self.request(
            i,
            PendingResponse::Submit(id.into(), self.now),
            "POST",
            "/submissions".into(),
            encode(&value),
        );
    }

    /// A user who submits, retries, and polls until the end, on changing nodes.
    pub fn spawn_client(&mut self, id: &str, spec: JobSpec, run: u64) {
        let all: Vec<usize> = (0..self.controllers.len()).collect();
        self.spawn_client_at(&all, id, spec, run);
    }

    /// The same, on some of the nodes only.
    pub fn spawn_client_at(&mut self, of: &[usize], id: &str, spec: JobSpec, run: u64) {
        self.declare_job(id, spec, run);
        fn step(w: &mut Simulation, of: Vec<usize>, id: String) {
            let i = of[w.rng.random_range(0..of.len())];
            let t = &w.jobs[&id];
            if t.completion_seen_at.is_some() || t.cancellation_seen_at.is_some() {
                return;
            }
            if t.accepted {
                w.poll(i, &id);
            } else {
                w.submit(i, &id);
            }
            let dt = w.rng.random_range(SECOND..3 * SECOND);
            w.after(dt, move |w| step(w, of, id));
        }
        step(self, of.to_vec(), id.to_string());
    }

    /// What a node answers to a health check.
    pub fn health_status(&mut self, i: usize) -> u16 {
        self.health = 0;
        self.request(
            i,
            PendingResponse::Health,
            "GET",
            "/healthz".into(),
            Vec::new(),
        );
        self.health
    }

    pub fn poll(&mut self, i: usize, id: &str) {
        let path = format!("/submissions/{id}");
        self.request(
            i,
            PendingResponse::Poll(id.into(), self.now),
            "GET",
            path,
            Vec::new(),
        );
    }

    pub fn cancel(&mut self, i: usize, id: &str) {
        if let Some(t) = self.jobs.get_mut(id) {
            t.cancel_requested = true;
        }
        let path = format!("/submissions/{id}/cancel");
        self.request(
            i,
            PendingResponse::Cancel(id.into(), self.now),
            "POST",
            path,
            Vec::new(),
        );
    }

    /// Cancels, again until it is answered.
    pub fn cancel_until_answered(&mut self, id: &str) {
        let id = id.to_string();
        fn step(w: &mut Simulation, id: String) {
            let t = &w.jobs[&id];
            if t.completion_seen_at.is_some() || t.cancellation_seen_at.is_some() {
                return;
            }
            let i = w.rng.random_range(0..w.controllers.len());
            w.cancel(i, &id);
            w.after(SECOND, move |w| step(w, id));
        }
        step(self, id);
    }

    pub(super) fn report_violation(&mut self, rule: &str, what: String) {
        let text = format!("{rule} at {:.3}: {what}", self.now as f64 / 1e6);
        if self.violation.is_none() {
            self.violation = Some(text);
        }
    }

    pub(super) fn client_answered(
        &mut self,
        id: String,
        asked: u64,
        what: &str,
        status: u16,
        body: &[u8],
    ) {
        let state = decode::<JobState>(body)
            .map(|s| s.status)
            .unwrap_or_default();
        self.client_answers
            .push((self.now, id.clone(), status, state.clone()));
        let now = self.now;
        self.balanced_client_answered(&id, matches!(status, 200 | 201));
        let Some(t) = self.jobs.get_mut(&id) else {
            if status == 200 {
                self.report_violation("invented", id);
            }
            return;
        };
        if !t.submitted && status == 200 {
            self.report_violation("invented", id);
            return;
        }
        if t.accepted && (status == 404 || (what == "submit" && matches!(status, 400 | 422))) {
            self.report_violation("forgotten", format!("{id}: {what} answered {status}"));
            return;
        }
        if what == "submit" && status == 422 {
            let needs = t.spec.needs.clone();
            let known = |n: &String| {
                let need = self.jobs.get(n);
                need.is_some_and(|t| t.accepted && t.spec.kind != JobKind::Service)
            };
            if !needs.is_empty() && needs.iter().all(known) {
                self.report_violation("refused", format!("{id}: all that it needs is accepted"));
            }
            return;
        }
        if !matches!(status, 200 | 201) {
            return;
        }
        let news = !t.accepted || matches!(state.as_str(), "done" | "cancelled");
        t.accepted = true;
        if state == "done" {
            t.completion_seen_at = t.completion_seen_at.or(Some(now));
            if (t.done.len() as u32) < t.spec.tasks {
                self.report_violation("not_done", id.clone());
            }
        } else if state == "cancelled" {
            t.cancellation_seen_at = t.cancellation_seen_at.or(Some(now));
            if !t.cancel_requested && !self.dependencies(&id).iter().any(|t| t.cancel_requested) {
                self.report_violation("went_back", format!("{id} cancelled without being asked"));
            }
        } else {
            let told = self
                .dependencies(&id)
                .iter()
                .filter_map(|t| t.cancellation_seen_at)
                .min();
            if told.is_some_and(|c| now > c + CANCEL_DEADLINE_S * SECOND) {
                self.report_violation("orphaned", format!("{id} is called {state}"));
            }
        }
        // What was asked dependencies the final state was told may have been answered dependencies as well.
        if let Some((dependencies, told)) = self.final_statuses.get(&id)
            && *dependencies != state
            && asked >= *told
        {
            self.report_violation("went_back", format!("{id}: {dependencies}, then {state}"));
        }
        let first = !self.final_statuses.contains_key(&id);
        if state == "done" || state == "cancelled" {
            self.final_statuses
                .entry(id.clone())
                .or_insert((state, now));
        }
        if self.faults.client_probes && news && first {
            self.probe_job(&id);
        }
    }
}
