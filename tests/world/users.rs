//! Users: what they ask, and what they are told.

use super::*;

impl World {
    pub(super) fn request(
        &mut self,
        i: usize,
        pending: Pending,
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
        pending: Pending,
        method: &str,
        path: String,
        body: Vec<u8>,
    ) {
        if self.nodes[i].node.is_none() {
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
    pub fn declare(&mut self, id: &str, spec: JobSpec, run: u64) {
        let truth = JobTruth {
            spec,
            run,
            apart: 0,
            done: BTreeSet::new(),
            accepted: false,
            asked_cancel: false,
            told_cancelled: None,
            told_done: None,
            submitted: false,
        };
        self.jobs.insert(id.into(), truth);
    }

    pub fn submit_once(&mut self, i: usize, id: &str) {
        let truth = self.jobs.get_mut(id).expect("declared");
        truth.submitted = true;
        let mut value = to_value(&truth.spec);
        if let rmpv::Value::Map(m) = &mut value {
            m.push(("id".into(), id.into()));
        }
        self.request(
            i,
            Pending::Submit(id.into(), self.now),
            "POST",
            "/submissions".into(),
            encode(&value),
        );
    }

    /// A user who submits, retries, and polls until the end, on changing nodes.
    pub fn user(&mut self, id: &str, spec: JobSpec, run: u64) {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.user_of(&all, id, spec, run);
    }

    /// The same, on some of the nodes only.
    pub fn user_of(&mut self, of: &[usize], id: &str, spec: JobSpec, run: u64) {
        self.declare(id, spec, run);
        fn step(w: &mut World, of: Vec<usize>, id: String) {
            let i = of[w.rng.random_range(0..of.len())];
            let t = &w.jobs[&id];
            if t.told_done.is_some() || t.told_cancelled.is_some() {
                return;
            }
            if t.accepted {
                w.poll(i, &id);
            } else {
                w.submit_once(i, &id);
            }
            let dt = w.rng.random_range(SEC..3 * SEC);
            w.after(dt, move |w| step(w, of, id));
        }
        step(self, of.to_vec(), id.to_string());
    }

    /// What a node answers to a health check.
    pub fn healthy(&mut self, i: usize) -> u16 {
        self.health = 0;
        self.request(i, Pending::Health, "GET", "/healthz".into(), Vec::new());
        self.health
    }

    pub fn poll(&mut self, i: usize, id: &str) {
        let path = format!("/submissions/{id}");
        self.request(
            i,
            Pending::Poll(id.into(), self.now),
            "GET",
            path,
            Vec::new(),
        );
    }

    pub fn cancel(&mut self, i: usize, id: &str) {
        if let Some(t) = self.jobs.get_mut(id) {
            t.asked_cancel = true;
        }
        let path = format!("/submissions/{id}/cancel");
        self.request(
            i,
            Pending::Cancel(id.into(), self.now),
            "POST",
            path,
            Vec::new(),
        );
    }

    /// Cancels, again until it is answered.
    pub fn cancel_surely(&mut self, id: &str) {
        let id = id.to_string();
        fn step(w: &mut World, id: String) {
            let t = &w.jobs[&id];
            if t.told_done.is_some() || t.told_cancelled.is_some() {
                return;
            }
            let i = w.rng.random_range(0..w.nodes.len());
            w.cancel(i, &id);
            w.after(SEC, move |w| step(w, id));
        }
        step(self, id);
    }

    pub(super) fn broken(&mut self, rule: &str, what: String) {
        let text = format!("{rule} at {:.3}: {what}", self.now as f64 / 1e6);
        if self.on_break.is_none() {
            self.on_break = Some(text);
        }
    }

    pub(super) fn user_heard(
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
        self.said
            .push((self.now, id.clone(), status, state.clone()));
        let now = self.now;
        self.line_heard(&id, matches!(status, 200 | 201));
        let Some(t) = self.jobs.get_mut(&id) else {
            if status == 200 {
                self.broken("invented", id);
            }
            return;
        };
        if !t.submitted && status == 200 {
            self.broken("invented", id);
            return;
        }
        if t.accepted && (status == 404 || (what == "submit" && matches!(status, 400 | 422))) {
            self.broken("forgotten", format!("{id}: {what} answered {status}"));
            return;
        }
        if what == "submit" && status == 422 {
            let needs = t.spec.needs.clone();
            let known = |n: &String| {
                let need = self.jobs.get(n);
                need.is_some_and(|t| t.accepted && t.spec.kind != JobKind::Service)
            };
            if !needs.is_empty() && needs.iter().all(known) {
                self.broken("refused", format!("{id}: all that it needs is accepted"));
            }
            return;
        }
        if !matches!(status, 200 | 201) {
            return;
        }
        let news = !t.accepted || matches!(state.as_str(), "done" | "cancelled");
        t.accepted = true;
        if state == "done" {
            t.told_done = t.told_done.or(Some(now));
            if (t.done.len() as u32) < t.spec.tasks {
                self.broken("not_done", id.clone());
            }
        } else if state == "cancelled" {
            t.told_cancelled = t.told_cancelled.or(Some(now));
            if !t.asked_cancel && !self.before(&id).iter().any(|t| t.asked_cancel) {
                self.broken("went_back", format!("{id} cancelled without being asked"));
            }
        } else {
            let told = self
                .before(&id)
                .iter()
                .filter_map(|t| t.told_cancelled)
                .min();
            if told.is_some_and(|c| now > c + CANCEL_S * SEC) {
                self.broken("orphaned", format!("{id} is called {state}"));
            }
        }
        // What was asked before the final state was told may have been answered before as well.
        if let Some((before, told)) = self.told_final.get(&id)
            && *before != state
            && asked >= *told
        {
            self.broken("went_back", format!("{id}: {before}, then {state}"));
        }
        let first = !self.told_final.contains_key(&id);
        if state == "done" || state == "cancelled" {
            self.told_final.entry(id.clone()).or_insert((state, now));
        }
        if self.troubles.close_looks && news && first {
            self.look_closely(&id);
        }
    }
}
