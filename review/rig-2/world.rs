//! State service, cloud, workers, users and the checker of rules, on loopback addresses and the real clock.
//! Everything lives in one `World` behind one lock; each server has threads of its own.

use crate::wire::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Settings of the deployment, as in the form of DEPLOY.
#[derive(Clone)]
pub struct Site {
    pub name: &'static str,
    pub zones: Vec<&'static str>,
    /// Zone of each controller.
    pub controllers: Vec<&'static str>,
    /// name, guaranteed GPUs, most GPUs.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub core_share: f64,
    pub mem_mb: f64,
    pub sockets: usize,
    pub press: &'static str,
    pub cpus: f64,
    pub cards: f64,
    pub memory_gb: f64,
    pub boot_s: f64,
    pub fetch_gb_per_s: f64,
}

/// A job as its user sees it.
#[derive(Clone)]
pub struct Job {
    pub spec: V,
    pub run_s: f64,
    pub submitted: bool,
    pub accepted: bool,
    pub cancel_asked: bool,
    pub cancelled_told: Option<f64>,
    pub done_told: Option<f64>,
    pub done: BTreeSet<usize>,
}

impl Job {
    pub fn sheets(&self) -> usize {
        self.spec.get("sheets").int() as usize
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum State {
    Fetching,
    Gathering,
    Running,
    Flushing,
    Ended,
}

#[derive(Clone, Debug)]
pub struct Sheet {
    pub name: String,
    pub attempt: i64,
    pub state: State,
    pub cause: &'static str,
    pub stored: bool,
    /// When the present state ends by itself.
    pub until: f64,
}

impl Sheet {
    /// The task is on its machine: it has its image and has not exited.
    pub fn on_machine(&self) -> bool {
        !matches!(self.state, State::Fetching | State::Ended)
    }
}

pub struct Worker {
    pub name: String,
    pub zone: String,
    pub spot: bool,
    pub endpoint: SocketAddr,
    pub shift: i64,
    pub tally: i64,
    pub baton: i64,
    pub sheets: Vec<Sheet>,
    pub images: BTreeSet<String>,
    pub leased_at: f64,
    pub changed: bool,
    pub node: usize,
    pub gone: bool,
    /// Until when direct commands are held up: each is carried out after this many seconds, and not answered.
    pub hold_orders: f64,
    pub held_for: f64,
    /// The node that answered the last report with 200.
    pub answered_by: Option<usize>,
}

/// What a controller meets at the state service.
#[derive(Clone, Copy, PartialEq)]
pub enum Store {
    Serves,
    /// 503 to each request; open watches stay open.
    Refuses,
    /// Transactions are carried out at once, and their answers are lost.
    LosesAnswers,
    /// Transactions get no answer and are carried out this many seconds later.
    Late(f64),
}

#[derive(Default)]
struct Bucket {
    tokens: f64,
    at: f64,
}

impl Bucket {
    fn take(&mut self, now: f64, rate: f64, n: f64) -> bool {
        self.tokens = (self.tokens + (now - self.at) * rate).min(rate);
        self.at = now;
        let ok = self.tokens >= n;
        if ok {
            self.tokens -= n;
        }
        ok
    }
}

pub struct World {
    pub site: Site,
    t0: Instant,
    pub record: Vec<String>,
    pub broken: Vec<String>,
    keys: BTreeMap<String, (V, i64, Option<i64>)>,
    log: Vec<(i64, String, Option<V>)>,
    edition: i64,
    leases: BTreeMap<i64, (f64, f64)>,
    last_lease: i64,
    requests: Bucket,
    changes: Bucket,
    pub store: Vec<Store>,
    pub workers: BTreeMap<String, Worker>,
    /// Machines that can still be rented, by zone: name and seconds to boot.
    pub capacity: BTreeMap<String, usize>,
    next_machine: usize,
    pub boot_s: f64,
    rentals: BTreeMap<String, Vec<String>>,
    booting: Vec<(f64, String, String)>,
    pub cloud_out: bool,
    pub jobs: BTreeMap<String, Job>,
    pub public: Vec<SocketAddr>,
    /// All troubles are over: from now on no job may be left waiting.
    /// The machine to which a command about this task comes is taken back just then.
    pub taken_with: Option<String>,
    /// The zones can't reach each other; the zone of the leader when that began.
    pub cut: Option<String>,
    pub calm: bool,
    waiting_since: BTreeMap<String, f64>,
}

pub type Shared = Arc<(Mutex<World>, Condvar)>;

pub fn lock(shared: &Shared) -> MutexGuard<'_, World> {
    shared.0.lock().unwrap_or_else(|e| e.into_inner())
}

impl World {
    pub fn new(site: Site) -> Shared {
        let controllers = site.controllers.len();
        let world = World {
            site,
            t0: Instant::now(),
            record: Vec::new(),
            broken: Vec::new(),
            keys: BTreeMap::new(),
            log: Vec::new(),
            edition: 0,
            leases: BTreeMap::new(),
            last_lease: 0,
            requests: Bucket::default(),
            changes: Bucket::default(),
            store: vec![Store::Serves; controllers],
            workers: BTreeMap::new(),
            capacity: BTreeMap::new(),
            next_machine: 0,
            boot_s: 2.0,
            rentals: BTreeMap::new(),
            booting: Vec::new(),
            cloud_out: false,
            jobs: BTreeMap::new(),
            public: Vec::new(),
            taken_with: None,
            cut: None,
            calm: false,
            waiting_since: BTreeMap::new(),
        };
        Arc::new((Mutex::new(world), Condvar::new()))
    }

    pub fn now(&self) -> f64 {
        self.t0.elapsed().as_secs_f64()
    }

    pub fn note(&mut self, text: String) {
        let line = format!("{:8.3} {text}", self.now());
        self.record.push(line);
    }

    fn break_rule(&mut self, rule: &str, text: String) {
        self.note(format!("RULE BROKEN {rule}: {text}"));
        self.broken.push(format!("{rule}: {text}"));
    }

    // ---- workers ----

    fn report(&mut self, machine: &str) -> V {
        let press = self.site.press;
        let w = self.workers.get_mut(machine).expect("worker");
        w.tally += 1;
        let sheets = w
            .sheets
            .iter()
            .map(|t| {
                let state = match t.state {
                    State::Fetching => "fetching",
                    State::Gathering => "gathering",
                    State::Running => "running",
                    State::Flushing => "flushing",
                    State::Ended => "ended",
                };
                let mut fields = vec![("sheet", s(&t.name)), ("try", V::Int(t.attempt)), ("status", s(state))];
                if t.state == State::Ended {
                    fields.push(("cause", s(t.cause)));
                    if t.stored {
                        fields.push(("stored", V::Bool(true)));
                    }
                }
                map(fields)
            })
            .collect();
        map(vec![
            ("kernel", s(&w.name)),
            ("endpoint", s(w.endpoint.to_string())),
            ("press", s(press)),
            ("yard", s(&w.zone)),
            ("loaners", V::Bool(w.spot)),
            ("shift", V::Int(w.shift)),
            ("tally", V::Int(w.tally)),
            ("baton", V::Int(w.baton)),
            ("warning_s", V::Nil),
            ("sheets", V::A(sheets)),
        ])
    }

    fn execute(&mut self, machine: &str, orders: &[V]) {
        for order in orders {
            let (verb, sheet, attempt) = (order.get("verb").str(), order.get("sheet").str(), order.get("try").int());
            self.note(format!("{machine} carries out {verb} {sheet} try {attempt} leeway {}", order.get("leeway_s").num()));
            match verb {
                "launch" => self.launch(machine, sheet, attempt),
                "stop" => self.stop(machine, sheet, attempt, order.get("leeway_s").num()),
                "forget" => {
                    let w = self.workers.get_mut(machine).expect("worker");
                    w.sheets.retain(|t| !(t.name == sheet && t.attempt == attempt && t.state == State::Ended));
                    w.changed = true;
                }
                _ => {}
            }
        }
    }

    fn launch(&mut self, machine: &str, sheet: &str, attempt: i64) {
        let now = self.now();
        let (job, number) = split(sheet);
        let truth = self.jobs.get(&job).cloned();
        let site = self.site.clone();
        let mut used = [0.0; 3];
        let w = &self.workers[machine];
        for t in w.sheets.iter().filter(|t| t.state != State::Ended) {
            if let Some(other) = self.jobs.get(&split(&t.name).0) {
                for (sum, need) in used.iter_mut().zip(need(&other.spec)) {
                    *sum += need;
                }
            }
        }
        if w.sheets.iter().any(|t| t.name == sheet && t.attempt == attempt) {
            return;
        }
        let busy = w.sheets.iter().any(|t| t.name == sheet && t.state != State::Ended);
        let mut new = Sheet {
            name: sheet.into(), attempt, state: State::Ended, cause: "", stored: false, until: 0.0,
        };
        match truth {
            Some(job) if job.submitted && number < job.sheets() => {
                let room = [site.cpus, site.cards, site.memory_gb];
                let fits = (0..3).all(|i| used[i] + need(&job.spec)[i] <= room[i] + 1e-6);
                if busy {
                    new.cause = "busy";
                } else if !fits {
                    new.cause = "no_room";
                } else {
                    let image = job.spec.get("plate").str();
                    let fetch = job.spec.get("size_gb").num() / site.fetch_gb_per_s;
                    new.state = State::Fetching;
                    new.until = now + if w.images.contains(image) { 0.0 } else { fetch };
                }
            }
            _ => new.cause = "unknown",
        }
        if new.state == State::Ended {
            self.note(format!("{machine} refuses {sheet} try {attempt}: {}", new.cause));
        }
        let w = self.workers.get_mut(machine).expect("worker");
        w.sheets.push(new);
        w.changed = true;
    }

    fn stop(&mut self, machine: &str, sheet: &str, attempt: i64, leeway: f64) {
        let now = self.now();
        let spec = self.jobs.get(&split(sheet).0).map(|j| j.spec.clone()).unwrap_or(V::Nil);
        let w = self.workers.get_mut(machine).expect("worker");
        let Some(t) = w.sheets.iter_mut().find(|t| t.name == sheet && t.attempt == attempt) else { return };
        let saves = spec.get("proof_s").num() > 0.0 && leeway >= spec.get("stash_s").num();
        match t.state {
            State::Ended => return,
            State::Running if saves => {
                t.state = State::Flushing;
                t.until = now + spec.get("stash_s").num();
            }
            State::Flushing if leeway > 0.0 => return,
            _ => {
                t.state = State::Ended;
                t.cause = "stopped";
            }
        }
        w.changed = true;
        let text = format!("{machine}: {sheet} try {attempt} stops");
        self.note(text);
    }

    /// What time brings: leases, images, ends of tasks, booted machines; and the checks.
    fn tick(&mut self) {
        let now = self.now();
        let expired: Vec<i64> = self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        let outage = self.store.iter().all(|s| *s == Store::Refuses);
        for id in expired {
            if outage {
                break;
            }
            self.leases.remove(&id);
            let gone: Vec<String> =
                self.keys.iter().filter(|(_, (_, _, l))| *l == Some(id)).map(|(k, _)| k.clone()).collect();
            for key in gone {
                self.edition += 1;
                self.keys.remove(&key);
                self.log.push((self.edition, key, None));
            }
        }
        let lease_s = self.site.lease_s;
        let names: Vec<String> = self.workers.iter().filter(|(_, w)| !w.gone).map(|(n, _)| n.clone()).collect();
        for name in &names {
            let w = self.workers.get_mut(name).expect("worker");
            if now - w.leased_at > lease_s {
                w.shift += 1;
                w.leased_at = now;
                w.changed = true;
                let lost: Vec<String> = w.sheets.drain(..).filter(|t| t.state != State::Ended).map(|t| t.name).collect();
                let shift = w.shift;
                self.note(format!("{name}: lease over, kills {lost:?}, session {shift}"));
                continue;
            }
            for i in 0..w.sheets.len() {
                let t = &self.workers[name].sheets[i];
                if t.until == 0.0 || t.until > now {
                    continue;
                }
                let (sheet, attempt, state) = (t.name.clone(), t.attempt, t.state);
                let (job, number) = split(&sheet);
                let truth = self.jobs[&job].clone();
                let kind = truth.spec.get("shape").str().to_string();
                let w = self.workers.get_mut(name).expect("worker");
                let t = &mut w.sheets[i];
                match state {
                    State::Fetching => {
                        w.images.insert(truth.spec.get("plate").str().into());
                        if truth.done.contains(&number) {
                            t.state = State::Ended;
                            t.cause = "done";
                        } else {
                            t.state = if kind == "gang" && truth.sheets() > 1 { State::Gathering } else { State::Running };
                            t.until = match t.state {
                                State::Running if kind != "standing" => now + truth.run_s,
                                _ => 0.0,
                            };
                            self.note(format!("{name}: {sheet} try {attempt} STARTS"));
                            self.check_start(name, &sheet);
                        }
                    }
                    State::Running => {
                        t.state = State::Ended;
                        t.cause = "done";
                        self.note(format!("{name}: {sheet} try {attempt} is done"));
                        let all: Vec<usize> = if kind == "gang" { (0..truth.sheets()).collect() } else { vec![number] };
                        self.jobs.get_mut(&job).expect("job").done.extend(all);
                    }
                    State::Flushing => {
                        t.state = State::Ended;
                        t.cause = "stopped";
                        t.stored = true;
                    }
                    _ => {}
                }
                self.workers.get_mut(name).expect("worker").changed = true;
            }
        }
        self.check_usage();
        self.check_waiting();
    }

    fn active(&self) -> Vec<(String, String, String)> {
        let mut found = Vec::new();
        for w in self.workers.values().filter(|w| !w.gone) {
            for t in w.sheets.iter().filter(|t| t.on_machine()) {
                found.push((w.name.clone(), w.zone.clone(), t.name.clone()));
            }
        }
        found
    }

    fn check_start(&mut self, machine: &str, sheet: &str) {
        let (job, _) = split(sheet);
        let truth = self.jobs[&job].clone();
        let active = self.active();
        let zone = self.workers[machine].zone.clone();
        for (other, _, name) in &active {
            if name == sheet && other != machine {
                self.break_rule("ran_twice", format!("{sheet} starts on {machine} while it is on {other}"));
            }
        }
        let zones: Vec<&String> = active.iter().filter(|(_, _, n)| split(n).0 == job).map(|(_, z, _)| z).collect();
        let spec = &truth.spec;
        let wrong = (spec.has("yard") && spec.get("yard").str() != zone)
            || (spec.get("together").truth() && zones.iter().any(|z| **z != zone))
            || (spec.get("scatter").truth()
                && zones.iter().filter(|z| ***z == zone).count() > truth.sheets().div_ceil(2))
            || (self.workers[machine].spot && !spec.get("loaners").truth());
        if wrong {
            self.break_rule("wrong_place", format!("{sheet} starts on {machine} in {zone}, tasks of its job in {zones:?}"));
        }
        if truth.cancelled_told.is_some_and(|at| self.now() > at + self.site.cancel_s) {
            self.break_rule("ran_cancelled", format!("{sheet} starts on {machine}"));
        }
    }

    fn check_usage(&mut self) {
        let now = self.now();
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut late = Vec::new();
        for (machine, _, sheet) in self.active() {
            let job = &self.jobs[&split(&sheet).0];
            *used.entry(job.spec.get("crew").str().into()).or_default() += job.spec.get("cards").num();
            if job.cancelled_told.is_some_and(|at| now > at + self.site.cancel_s) {
                late.push(format!("{sheet} is on {machine}"));
            }
        }
        for (team, _, most) in self.site.teams.clone() {
            let sum = used.get(team).copied().unwrap_or(0.0);
            if most > 0.0 && sum > most + 1e-6 && !self.broken.iter().any(|b| b.starts_with("quota")) {
                let on: Vec<String> = self.active().into_iter().map(|(m, _, t)| format!("{t} on {m}")).collect();
                self.break_rule("quota", format!("tasks of {team} use {sum} cards of {most}; on machines: {on:?}"));
            }
        }
        for text in late {
            if !self.broken.iter().any(|b| b.starts_with("ran_cancelled")) {
                self.break_rule("ran_cancelled", text);
            }
        }
    }

    /// Jobs with a task that is neither done nor on any machine, while a machine that fits has room for it and the team is
    /// under its limit, for 90 s without a break. Gangs count only as a whole, and are not checked here.
    fn check_waiting(&mut self) {
        let now = self.now();
        if !self.calm {
            return;
        }
        let room = [self.site.cpus, self.site.cards, self.site.memory_gb];
        let mut assigned = BTreeSet::new();
        let mut free = Vec::new();
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        for w in self.workers.values().filter(|w| !w.gone) {
            let mut left = room;
            for t in w.sheets.iter().filter(|t| t.state != State::Ended) {
                let spec = &self.jobs[&split(&t.name).0].spec;
                assigned.insert(t.name.clone());
                *used.entry(spec.get("crew").str().into()).or_default() += spec.get("cards").num();
                (0..3).for_each(|i| left[i] -= need(spec)[i]);
            }
            free.push((w.zone.clone(), w.spot, left));
        }
        let mut waiting = BTreeSet::new();
        for (id, job) in &self.jobs {
            let spec = &job.spec;
            if !job.accepted || job.cancel_asked || spec.get("shape").str() == "gang" || spec.get("together").truth() || spec.get("scatter").truth() {
                continue;
            }
            let open = (0..job.sheets()).any(|n| !job.done.contains(&n) && !assigned.contains(&format!("{id}/{n}")));
            let team = spec.get("crew").str();
            let most = self.site.teams.iter().find(|t| t.0 == team).map_or(0.0, |t| t.2);
            let limit = most == 0.0 || used.get(team).copied().unwrap_or(0.0) + spec.get("cards").num() <= most + 1e-6;
            let fits = free.iter().any(|(zone, spot, left)| {
                (0..3).all(|i| need(spec)[i] <= left[i] + 1e-6)
                    && (!spec.has("yard") || spec.get("yard").str() == zone)
                    && (!*spot || spec.get("loaners").truth())
            });
            if open && limit && fits {
                waiting.insert(id.clone());
            }
        }
        self.waiting_since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *self.waiting_since.entry(id.clone()).or_insert(now);
            if now - since > 90.0 && !self.broken.iter().any(|b| b.starts_with("left_waiting")) {
                self.break_rule("left_waiting", format!("{id} has had a waiting task for 90 s without a break while a machine had room for it"));
            }
        }
    }

    // ---- state service ----

    fn multi(&mut self, request: &V) -> (u16, V) {
        let now = self.now();
        let (ops, limit) = (request.get("then").list().len(), self.site.txn_ops);
        let too_large = |v: &V| json_len(v) as f64 > self.site.value_kb * 1024.0;
        if ops > limit
            || request.get("if").list().len() > 4 * limit
            || json_len(request) > 65536
            || request.get("then").list().iter().any(|c| too_large(c.get("value")))
        {
            return (400, map(vec![("error", s("too large"))]));
        }
        let rate = self.site.write_rps;
        if ops > 0 && !self.changes.take(now, rate, ops as f64) {
            return (429, V::Nil);
        }
        let failed: Vec<V> = request
            .get("if")
            .list()
            .iter()
            .filter(|c| self.keys.get(c.get("k").str()).map_or(0, |k| k.1) != c.get("stamp").int())
            .map(|c| c.get("k").clone())
            .collect();
        for change in request.get("then").list() {
            if change.has("tenure") && !self.leases.contains_key(&change.get("tenure").int()) {
                return (400, map(vec![("error", s("no such lease"))]));
            }
        }
        if !failed.is_empty() {
            return (409, map(vec![("failed", V::A(failed)), ("edition", V::Int(self.edition))]));
        }
        if ops > 0 {
            self.edition += 1;
        }
        for change in request.get("then").list() {
            if change.has("put") {
                let key = change.get("put").str().to_string();
                let lease = change.has("tenure").then(|| change.get("tenure").int());
                self.keys.insert(key.clone(), (change.get("value").clone(), self.edition, lease));
                self.log.push((self.edition, key, Some(change.get("value").clone())));
            } else {
                let key = change.get("drop").str().to_string();
                if self.keys.remove(&key).is_some() {
                    self.log.push((self.edition, key, None));
                }
            }
        }
        (200, map(vec![("edition", V::Int(self.edition))]))
    }

    fn news(&self, under: &str, after: i64) -> Vec<V> {
        let from = self.log.partition_point(|(e, _, _)| *e <= after);
        self.log[from..]
            .iter()
            .filter(|(_, k, _)| k.starts_with(under))
            .map(|(stamp, key, value)| match value {
                Some(v) => map(vec![("put", s(key)), ("value", v.clone()), ("stamp", V::Int(*stamp))]),
                None => map(vec![("drop", s(key)), ("stamp", V::Int(*stamp))]),
            })
            .collect()
    }

    fn list(&self, under: &str, after: &str, most: usize) -> V {
        let mut items = Vec::new();
        let (mut size, mut more) = (0, false);
        for (key, (value, stamp, _)) in self.keys.iter().filter(|(k, _)| k.starts_with(under) && k.as_str() > after) {
            size += json_len(value) + key.len() + 40;
            if items.len() >= most.min(1000) || size > 512 * 1024 {
                more = true;
                break;
            }
            items.push(map(vec![("k", s(key)), ("value", value.clone()), ("stamp", V::Int(*stamp))]));
        }
        map(vec![("items", V::A(items)), ("more", V::Bool(more)), ("edition", V::Int(self.edition))])
    }

    // ---- cloud ----

    fn cloud(&mut self, method: &str, path: &str, body: &V) -> (u16, V) {
        if self.cloud_out {
            return (503, map(vec![("error", s("trouble"))]));
        }
        let now = self.now();
        let site = self.site.clone();
        let (route, query) = path.split_once('?').unwrap_or((path, ""));
        match (method, route) {
            ("GET", "/flavors") => {
                let zones = site.zones.iter().map(|z| s(*z)).collect();
                let press = map(vec![
                    ("name", s(site.press)), ("cpus", V::F(site.cpus)), ("cards", V::F(site.cards)),
                    ("memory_gb", V::F(site.memory_gb)), ("local_gb", V::F(150.0)),
                    ("fetch_gb_per_s", V::F(site.fetch_gb_per_s)), ("price", V::F(8.77)), ("low_price", V::F(3.76)),
                    ("startup_s", V::F(site.boot_s)), ("yards", V::A(zones)),
                ]);
                (200, map(vec![("presses", V::A(vec![press]))]))
            }
            ("GET", _) => {
                let after = param(query, "after");
                let mut kernels = Vec::new();
                for w in self.workers.values().filter(|w| !w.gone && w.name.as_str() > after) {
                    kernels.push(map(vec![
                        ("id", s(&w.name)), ("endpoint", s(w.endpoint.to_string())), ("press", s(site.press)),
                        ("yard", s(&w.zone)), ("loaners", V::Bool(w.spot)), ("status", s("running")),
                        ("held_s", V::F(now + 60.0)),
                    ]));
                }
                (200, map(vec![("kernels", V::A(kernels)), ("more", V::Bool(false))]))
            }
            ("POST", "/machines") => {
                let hire = body.get("hire").str().to_string();
                if let Some(names) = self.rentals.get(&hire) {
                    return (200, map(vec![("kernels", V::A(names.iter().map(s).collect()))]));
                }
                let zone = body.get("yard").str().to_string();
                let free = if body.get("loaners").truth() { 0 } else { self.capacity.get(&zone).copied().unwrap_or(0) };
                let count = free.min(body.get("count").int() as usize);
                if count == 0 {
                    return (503, map(vec![("error", s("no capacity"))]));
                }
                *self.capacity.get_mut(&zone).expect("zone") -= count;
                let mut names = Vec::new();
                for _ in 0..count {
                    let name = self.machine_name();
                    self.booting.push((now + self.boot_s, name.clone(), zone.clone()));
                    names.push(name);
                }
                self.note(format!("cloud rents {names:?} in {zone}"));
                self.rentals.insert(hire, names.clone());
                (200, map(vec![("kernels", V::A(names.iter().map(s).collect()))]))
            }
            _ => {
                for name in body.get("kernels").list() {
                    let known = self.workers.get_mut(name.str()).map(|w| w.gone = true).is_some();
                    self.booting.retain(|(_, n, _)| n != name.str());
                    self.note(format!("cloud deletes {} (known {known})", name.str()));
                }
                (200, V::Nil)
            }
        }
    }

    pub fn machine_name(&mut self) -> String {
        self.next_machine += 1;
        format!("n-{:06}", self.next_machine)
    }
}

pub fn split(sheet: &str) -> (String, usize) {
    let (job, number) = sheet.rsplit_once('/').unwrap_or((sheet, "0"));
    (job.to_string(), number.parse().unwrap_or(usize::MAX))
}

fn need(spec: &V) -> [f64; 3] {
    [spec.get("cpus").num(), spec.get("cards").num(), spec.get("memory_gb").num()]
}

fn param<'a>(query: &'a str, name: &str) -> &'a str {
    query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')).unwrap_or("")
}

/// Serves HTTP on this listener: a thread for each connection. `None` closes the connection without an answer.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&str, &str, V) -> Option<(u16, V)> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || connection(stream, &*handler));
        }
    });
}

fn connection(mut stream: TcpStream, handler: &dyn Fn(&str, &str, V) -> Option<(u16, V)>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut buffer, None) {
        let mut parts = message.first.split(' ');
        let (method, path) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let Some((status, body)) = handler(method, path, decode(&message.body).unwrap_or(V::Nil)) else { return };
        if !write_response(&mut stream, status, &encode(&body)) || message.close {
            return;
        }
    }
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// Starts the state service as one controller reaches it.
pub fn start_store(shared: &Shared, controller: usize) -> SocketAddr {
    let (listener, addr) = listen();
    let shared = shared.clone();
    serve(listener, move |method, path, body| {
        thread::sleep(Duration::from_millis(3));
        let (route, query) = path.split_once('?').unwrap_or((path, ""));
        let mut w = lock(&shared);
        let now = w.now();
        let rate = w.site.rps;
        let mode = w.store[controller];
        if mode == Store::Refuses {
            return Some((503, V::Nil));
        }
        if !w.requests.take(now, rate, 1.0) {
            return Some((429, V::Nil));
        }
        match (method, route) {
            ("POST", "/multi") => {
                if let Store::Late(after) = mode {
                    drop(w);
                    let shared = shared.clone();
                    thread::spawn(move || {
                        thread::sleep(Duration::from_secs_f64(after));
                        let mut w = lock(&shared);
                        let answer = w.multi(&body);
                        w.note(format!("store carries out a late transaction of kernel-{controller}: {}", answer.0));
                        shared.1.notify_all();
                    });
                    thread::sleep(Duration::from_secs(4));
                    return None;
                }
                let answer = w.multi(&body);
                drop(w);
                shared.1.notify_all();
                if mode == Store::LosesAnswers {
                    thread::sleep(Duration::from_secs(4));
                    return None;
                }
                Some(answer)
            }
            ("POST", "/leases") => {
                let life = body.get("life_ms").num() / 1000.0;
                w.last_lease += 1;
                let id = w.last_lease;
                w.leases.insert(id, (now + life, life));
                Some((200, map(vec![("tenure", V::Int(id))])))
            }
            ("POST", _) => {
                let id: i64 = route.trim_start_matches("/leases/").trim_end_matches("/renew").parse().unwrap_or(0);
                match w.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.0 = now + lease.1;
                        Some((200, map(vec![("tenure", V::Int(id))])))
                    }
                    None => Some((404, V::Nil)),
                }
            }
            ("GET", "/watch") => {
                let (under, after) = (param(query, "under").to_string(), param(query, "after").parse().unwrap_or(0));
                let until = Instant::now() + Duration::from_millis(param(query, "block_ms").parse().unwrap_or(0));
                loop {
                    let served = w.store[controller] != Store::Refuses;
                    let news = w.news(&under, after);
                    if served && (!news.is_empty() || Instant::now() >= until) {
                        return Some((200, map(vec![("edition", V::Int(w.edition)), ("news", V::A(news))])));
                    }
                    w = shared.1.wait_timeout(w, Duration::from_millis(20)).unwrap_or_else(|e| e.into_inner()).0;
                }
            }
            ("GET", "/keys") => {
                let most = param(query, "most").parse().unwrap_or(1000);
                Some((200, w.list(param(query, "under"), param(query, "after"), most)))
            }
            ("GET", key) => {
                let key = key.trim_start_matches("/keys/");
                Some(match w.keys.get(key) {
                    Some((v, stamp, _)) => (200, map(vec![("k", s(key)), ("value", v.clone()), ("stamp", V::Int(*stamp))])),
                    None => (404, map(vec![("edition", V::Int(w.edition))])),
                })
            }
            _ => Some((400, V::Nil)),
        }
    });
    addr
}

pub fn start_cloud(shared: &Shared) -> SocketAddr {
    let (listener, addr) = listen();
    let shared = shared.clone();
    serve(listener, move |method, path, body| {
        thread::sleep(Duration::from_millis(100));
        Some(lock(&shared).cloud(method, path, &body))
    });
    addr
}

/// Starts the worker of a machine that is up.
pub fn start_worker(shared: &Shared, name: &str, zone: &str) {
    start_machine(shared, name, zone, false);
}

pub fn start_machine(shared: &Shared, name: &str, zone: &str, spot: bool) {
    let (listener, endpoint) = listen();
    {
        let mut w = lock(shared);
        let now = w.now();
        let worker = Worker {
            name: name.into(), zone: zone.into(), spot, endpoint, shift: 1, tally: 0, baton: 0,
            sheets: Vec::new(), images: BTreeSet::new(), leased_at: now, changed: true, node: 0, gone: false,
            hold_orders: 0.0, held_for: 0.0, answered_by: None,
        };
        w.workers.insert(name.into(), worker);
        w.note(format!("machine {name} is up in {zone}, spot {spot}"));
    }
    let (orders, reports) = (shared.clone(), shared.clone());
    let (machine, name) = (name.to_string(), name.to_string());
    serve(listener, move |_, path, body| {
        let mut w = lock(&orders);
        let now = w.now();
        let worker = w.workers.get_mut(&machine)?;
        if worker.gone {
            return None;
        }
        if w.taken_with.as_ref().is_some_and(|t| body.get("orders").list().iter().any(|o| o.get("sheet").str() == t)) {
            w.workers.get_mut(&machine)?.gone = true;
            w.note(format!("TROUBLE: {machine} is taken back without notice; lost with it: {:?}", brief(&body)));
            drop(w);
            thread::sleep(Duration::from_secs(6));
            return None;
        }
        let worker = w.workers.get_mut(&machine)?;
        let (held, held_for, zone) = (now < worker.hold_orders, worker.held_for, worker.zone.clone());
        if w.cut.as_ref().is_some_and(|leader| *leader != zone) {
            return None;
        }
        if held && path == "/orders" {
            w.note(format!("{machine}: direct command held up for {held_for} s: {:?}", brief(&body)));
            drop(w);
            thread::sleep(Duration::from_secs_f64(held_for));
            w = lock(&orders);
            if w.workers[&machine].gone {
                return None;
            }
            obey(&mut w, &machine, &body);
            return None;
        }
        if path != "/orders" {
            return Some((200, w.report(&machine)));
        }
        if !body.has("baton") || !body.has("shift") {
            return Some((400, V::Nil));
        }
        let status = obey(&mut w, &machine, &body);
        Some((status, w.report(&machine)))
    });
    thread::spawn(move || report_loop(&reports, &name));
}

fn brief(body: &V) -> Vec<String> {
    let orders = body.get("orders").list().iter();
    orders.map(|o| format!("{} {} try {}", o.get("verb").str(), o.get("sheet").str(), o.get("try").int())).collect()
}

/// Carries out direct commands if token and session match; returns the status.
fn obey(w: &mut World, machine: &str, body: &V) -> u16 {
    let worker = w.workers.get_mut(machine).expect("worker");
    if body.get("baton").int() < worker.baton || body.get("shift").int() != worker.shift {
        w.note(format!("{machine} refuses direct commands of token {} session {}", body.get("baton").int(), body.get("shift").int()));
        return 409;
    }
    if body.get("baton").int() > worker.baton {
        worker.baton = body.get("baton").int();
        worker.changed = true;
    }
    w.execute(machine, body.get("orders").list());
    200
}

fn report_loop(shared: &Shared, name: &str) {
    let (mut next, mut last, mut jitter) = (0.0, -1.0, 0u32);
    let mut baton_change = -100.0;
    loop {
        thread::sleep(Duration::from_millis(10));
        let mut w = lock(shared);
        let now = w.now();
        let (report_s, lease_s) = (w.site.report_s, w.site.lease_s);
        if w.workers[name].gone {
            return;
        }
        let changed = w.workers[name].changed && now >= last + 0.5;
        if now < next && !changed {
            continue;
        }
        let body = w.report(name);
        let worker = w.workers.get_mut(name).expect("worker");
        worker.changed = false;
        let (node, shift) = (worker.node, worker.shift);
        let to = w.public[node];
        let nodes = w.public.len();
        last = now;
        jitter = (jitter * 7 + 3) % 11;
        next = now + report_s * (0.8 + 0.04 * jitter as f64);
        let apart = |w: &World| w.cut.is_some() && w.workers[name].zone != w.site.controllers[node];
        let unreachable = apart(&w);
        drop(w);
        let answer = if unreachable { None } else { call(to, "POST", "/hello", &encode(&body), 4000) };
        let mut w = lock(shared);
        let answer = answer.filter(|_| !apart(&w));
        let worker = w.workers.get_mut(name).expect("worker");
        let mut pause = 0.0;
        match answer {
            Some((200, body)) => {
                let baton = body.get("baton");
                if *baton == V::Nil || baton.int() < worker.baton || shift != worker.shift {
                    continue;
                }
                if baton.int() > worker.baton {
                    worker.baton = baton.int();
                    if now >= baton_change + lease_s / 2.0 {
                        baton_change = now;
                        worker.changed = true;
                    }
                }
                worker.leased_at = worker.leased_at.max(now);
                if worker.answered_by != Some(node) {
                    worker.answered_by = Some(node);
                    w.note(format!("{name}: reports are answered by kernel-{node}, token {}", baton.int()));
                }
                w.execute(name, body.get("orders").list());
            }
            Some((421, body)) if body.has("foreman") => {
                let named = body.get("foreman").str().trim_start_matches("kernel-").parse::<usize>().unwrap_or(node);
                if named < nodes && named != node {
                    worker.node = named;
                    next = now;
                } else {
                    worker.node = (node + 1) % nodes;
                    pause = 1.0;
                }
            }
            _ => {
                worker.node = (node + 1) % nodes;
                pause = 1.0;
            }
        }
        drop(w);
        if pause > 0.0 {
            thread::sleep(Duration::from_secs_f64(pause));
            next = 0.0;
        }
    }
}

/// Starts the thread that moves time on, and starts rented machines.
pub fn start_time(shared: &Shared) {
    let shared = shared.clone();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(10));
        let mut w = lock(&shared);
        w.tick();
        let now = w.now();
        let up: Vec<(f64, String, String)> = w.booting.iter().filter(|b| b.0 <= now).cloned().collect();
        w.booting.retain(|b| b.0 > now);
        drop(w);
        for (_, name, zone) in up {
            start_worker(&shared, &name, &zone);
        }
    });
}

// ---- users ----

/// Makes a job known to the platform (its user uploads it).
pub fn declare(shared: &Shared, id: &str, spec: V, run_s: f64) {
    let job = Job {
        spec, run_s, submitted: false, accepted: false, cancel_asked: false, cancelled_told: None, done_told: None,
        done: BTreeSet::new(),
    };
    lock(shared).jobs.insert(id.into(), job);
}

/// Applies an answer to a user, and checks it.
fn judge(shared: &Shared, id: &str, what: &str, answer: &Option<(u16, V)>, sent: f64) {
    let mut w = lock(shared);
    let Some((status, body)) = answer else {
        w.note(format!("user: {what} {id}: no answer"));
        return;
    };
    let state = body.get("status").str().to_string();
    w.note(format!("user: {what} {id}: {status} {state}"));
    let now = w.now();
    let job = w.jobs.get_mut(id).expect("job").clone();
    if !job.submitted && *status == 200 {
        w.break_rule("invented", format!("{id} was never submitted"));
    }
    if job.accepted && (*status == 404 || (what == "submit" && matches!(status, 400 | 422))) {
        w.break_rule("forgotten", format!("{what} {id} is answered {status}"));
    }
    if !matches!(status, 200 | 201) {
        return;
    }
    let told = [("done", job.done_told), ("cancelled", job.cancelled_told)];
    for (name, at) in told {
        if at.is_some_and(|at| sent > at) && state != name {
            w.break_rule("went_back", format!("{id} was called {name}, now {state}"));
        }
    }
    if state == "cancelled" && !job.cancel_asked {
        w.break_rule("went_back", format!("{id} is called cancelled, its user did not cancel"));
    }
    if state == "done" && job.done.len() < job.sheets() {
        w.break_rule("not_done", format!("{id} is called done, done tasks {:?}", job.done));
    }
    let job = w.jobs.get_mut(id).expect("job");
    job.accepted = true;
    match state.as_str() {
        "done" => job.done_told = job.done_told.or(Some(now)),
        "cancelled" => job.cancelled_told = job.cancelled_told.or(Some(now)),
        _ => {}
    }
}

/// Sends a request to one node; returns its answer.
pub fn ask(shared: &Shared, node: usize, what: &str, id: &str) -> Option<(u16, V)> {
    let (to, sent, body) = {
        let mut w = lock(shared);
        let (to, sent) = (w.public[node], w.now());
        let job = w.jobs.get_mut(id).expect("job");
        let mut body = V::Nil;
        if what == "submit" {
            job.submitted = true;
            if let V::M(fields) = &job.spec {
                let mut fields = fields.clone();
                fields.insert(0, ("id".into(), s(id)));
                body = V::M(fields);
            }
        }
        job.cancel_asked |= what == "cancel";
        (to, sent, body)
    };
    let answer = match what {
        "submit" => call(to, "POST", "/submissions", &encode(&body), 5000),
        "cancel" => call(to, "POST", &format!("/submissions/{id}/cancel"), &encode(&V::M(vec![])), 5000),
        _ => call(to, "GET", &format!("/submissions/{id}"), &[], 2000),
    };
    judge(shared, id, what, &answer, sent);
    answer
}

/// The node that a load balancer would choose now: the first healthy one, beginning with `first`.
pub fn healthy(shared: &Shared, first: usize) -> Option<usize> {
    let public = lock(shared).public.clone();
    (0..public.len())
        .map(|i| (first + i) % public.len())
        .find(|n| matches!(call(public[*n], "GET", "/healthz", &[], 1000), Some((200, _))))
}

/// Repeats a request as users do, up to 60 s; returns the last state.
pub fn until_answered(shared: &Shared, first: usize, what: &str, id: &str) -> Option<String> {
    let end = Instant::now() + Duration::from_secs(60);
    let mut node = first;
    while Instant::now() < end {
        if let Some(n) = healthy(shared, node) {
            match ask(shared, n, what, id) {
                Some((200 | 201, body)) => return Some(body.get("status").str().into()),
                Some((400 | 422, _)) => return None,
                _ => {}
            }
        }
        node += 1;
        thread::sleep(Duration::from_secs(1));
    }
    None
}

/// Forwards connections of one controller to the internal address of another, unless their zones are cut from each other.
pub fn start_link(shared: &Shared, from: usize, to: usize, target: SocketAddr) -> SocketAddr {
    let (listener, addr) = listen();
    let shared = shared.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let shared = shared.clone();
            thread::spawn(move || {
                let apart = move || {
                    let w = lock(&shared);
                    w.cut.is_some() && w.site.controllers[from] != w.site.controllers[to]
                };
                if apart() {
                    return;
                }
                let Ok(far) = TcpStream::connect(target) else { return };
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
                let apart = Arc::new(apart);
                let apart2 = apart.clone();
                let back = thread::spawn(move || pump(far2, near2, &*apart2));
                pump(near, far, &*apart);
                let _ = back.join();
            });
        }
    });
    addr
}

fn pump(mut from: TcpStream, mut to: TcpStream, apart: &dyn Fn() -> bool) {
    use std::io::{Read, Write};
    let _ = (from.set_read_timeout(Some(Duration::from_millis(50))), to.set_nodelay(true));
    let mut chunk = [0u8; 16384];
    loop {
        if apart() {
            break;
        }
        match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(n) => {
                if to.write_all(&chunk[..n]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
