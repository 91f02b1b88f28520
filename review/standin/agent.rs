//! Stand-in of a worker.

use crate::http::{Answer, Client, Request, bind, serve};
use crate::msgpack::{V, map, text};
use crate::world::World;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time without a response after which a report counts as failed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before the next node is tried.
const NEXT_NODE_PAUSE: Duration = Duration::from_secs(1);
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which the small image of these tasks is fetched.
const FETCH: Duration = Duration::from_millis(300);

#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Fetching,
    Running,
    Ended(&'static str),
}

struct Task {
    name: String,
    attempt: u64,
    phase: Phase,
    /// End of the present phase.
    until: Instant,
}

struct Inner {
    shift: u64,
    tally: u64,
    baton: u64,
    /// When the last answered report of this session was sent, or when the session began.
    renewed: Instant,
    tasks: Vec<Task>,
    changed: bool,
    token_changed: Option<Instant>,
    /// The machine hangs until then.
    hangs_until: Option<Instant>,
}

pub struct Agent {
    pub name: String,
    pub zone: String,
    endpoint: SocketAddr,
    world: Arc<World>,
    nodes: Vec<Node>,
    inner: Mutex<Inner>,
    stopped: AtomicBool,
}

impl Agent {
    pub fn start(world: Arc<World>, name: &str, zone: &str, nodes: Vec<Node>) -> Arc<Agent> {
        let (listener, endpoint) = bind();
        let agent = Arc::new(Agent {
            name: name.to_string(),
            zone: zone.to_string(),
            endpoint,
            world,
            nodes,
            inner: Mutex::new(Inner {
                shift: 1,
                tally: 0,
                baton: 0,
                renewed: Instant::now(),
                tasks: Vec::new(),
                changed: false,
                token_changed: None,
                hangs_until: None,
            }),
            stopped: AtomicBool::new(false),
        });
        let handler = agent.clone();
        serve(listener, Arc::new(move |request| handler.handle(request)));
        let ticking = agent.clone();
        thread::spawn(move || ticking.run_tasks());
        let reporting = agent.clone();
        thread::spawn(move || reporting.report());
        agent
    }

    /// The machine and everything on it are gone.
    pub fn destroy(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let mut inner = self.inner.lock().unwrap();
        self.end_all(&mut inner, "machine gone");
    }

    /// The machine hangs: it runs no task, reports nothing and answers nothing, and goes on later.
    pub fn hang(&self, time: Duration) {
        let mut inner = self.inner.lock().unwrap();
        inner.hangs_until = Some(Instant::now() + time);
        for task in &mut inner.tasks {
            task.until += time;
        }
        self.world.log(&format!(
            "TROUBLE: {} hangs for {:.1} s",
            self.name,
            time.as_secs_f64()
        ));
    }

    fn wait_while_hanging(&self) {
        while self
            .inner
            .lock()
            .unwrap()
            .hangs_until
            .is_some_and(|end| Instant::now() < end)
        {
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn job_runs_here(&self, job: &str) -> bool {
        let inner = self.inner.lock().unwrap();
        inner
            .tasks
            .iter()
            .any(|task| job_of(&task.name) == job && task.phase == Phase::Running)
    }

    pub fn room(&self) -> (f64, f64, f64) {
        let used = self.used(&self.inner.lock().unwrap());
        let kind = self.world.machine_kind;
        (
            kind.cpus - used.0,
            kind.gpus - used.1,
            kind.memory_gb - used.2,
        )
    }

    pub fn is_up(&self) -> bool {
        !self.stopped.load(Ordering::SeqCst)
    }

    fn used(&self, inner: &Inner) -> (f64, f64, f64) {
        let jobs = self.world.jobs.lock().unwrap();
        let mut used = (0.0, 0.0, 0.0);
        for task in inner
            .tasks
            .iter()
            .filter(|task| !matches!(task.phase, Phase::Ended(_)))
        {
            if let Some(job) = jobs.get(job_of(&task.name)) {
                used = (used.0 + job.cpus, used.1 + job.gpus, used.2 + job.memory_gb);
            }
        }
        used
    }

    fn end_all(&self, inner: &mut Inner, why: &str) {
        for task in inner.tasks.drain(..) {
            if task.phase == Phase::Running {
                self.world.leave(&task.name, task.attempt, &self.name, why);
            }
        }
    }

    /// Begins the next session if the lease is over.
    fn check_lease(&self, inner: &mut Inner) {
        let now = Instant::now();
        if now > inner.renewed + Duration::from_secs_f64(self.world.workers.lease_s) {
            self.end_all(inner, "lease over");
            inner.shift += 1;
            inner.renewed = now;
            inner.changed = true;
            self.world.log(&format!(
                "{}: lease over, session {} begins",
                self.name, inner.shift
            ));
        }
    }

    /// Runs the tasks, and ends the session when the lease is over.
    fn run_tasks(&self) {
        while self.is_up() {
            thread::sleep(Duration::from_millis(20));
            let mut inner = self.inner.lock().unwrap();
            let now = Instant::now();
            // The tasks of a machine that hangs beyond its lease never go on.
            self.check_lease(&mut inner);
            if inner.hangs_until.is_some_and(|end| now < end) {
                continue;
            }
            let mut changed = false;
            for task in inner.tasks.iter_mut().filter(|task| task.until <= now) {
                changed = true;
                match task.phase {
                    Phase::Fetching
                        if self
                            .world
                            .completed
                            .lock()
                            .unwrap()
                            .contains_key(&task.name) =>
                    {
                        task.phase = Phase::Ended("done");
                    }
                    Phase::Fetching => {
                        task.phase = Phase::Running;
                        let run_s = self.world.jobs.lock().unwrap()[job_of(&task.name)].run_s;
                        task.until = now + Duration::from_secs_f64(run_s);
                        self.world.enter(&task.name, task.attempt, &self.name);
                    }
                    Phase::Running => {
                        task.phase = Phase::Ended("done");
                        self.world
                            .leave(&task.name, task.attempt, &self.name, "done");
                    }
                    Phase::Ended(_) => changed = false,
                }
                if matches!(task.phase, Phase::Ended(_)) {
                    task.until = now + Duration::from_secs(1_000_000);
                }
            }
            inner.changed |= changed;
        }
    }

    fn report_body(&self, inner: &mut Inner) -> V {
        inner.tally += 1;
        let sheets = inner.tasks.iter().map(|task| {
            let (status, cause) = match task.phase {
                Phase::Fetching => ("fetching", None),
                Phase::Running => ("running", None),
                Phase::Ended(cause) => ("ended", Some(cause)),
            };
            let mut fields = vec![
                ("sheet", text(&task.name)),
                ("try", V::Uint(task.attempt)),
                ("status", text(status)),
            ];
            fields.extend(cause.map(|cause| ("cause", text(cause))));
            map(fields)
        });
        map(vec![
            ("kernel", text(&self.name)),
            ("endpoint", text(&self.endpoint.to_string())),
            ("press", text(self.world.machine_kind.name)),
            ("yard", text(&self.zone)),
            ("loaners", V::Bool(false)),
            ("shift", V::Uint(inner.shift)),
            ("tally", V::Uint(inner.tally)),
            ("baton", V::Uint(inner.baton)),
            ("warning_s", V::Nil),
            ("sheets", V::List(sheets.collect())),
        ])
    }

    /// Reports to one node at a time, with one report in flight at a time.
    fn report(&self) {
        let mut client = Client::default();
        let mut node = self.world.random() * self.nodes.len() as f64;
        let mut due = Instant::now();
        let mut not_before = Instant::now();
        while self.is_up() {
            thread::sleep(Duration::from_millis(10));
            self.wait_while_hanging();
            let now = Instant::now();
            let changed = self.inner.lock().unwrap().changed;
            if now < not_before || (now < due && !changed) {
                continue;
            }
            let (body, shift) = {
                let mut inner = self.inner.lock().unwrap();
                self.check_lease(&mut inner);
                inner.changed = false;
                (self.report_body(&mut inner), inner.shift)
            };
            let sent = Instant::now();
            let to = self.nodes[node as usize % self.nodes.len()].clone();
            not_before = sent + MIN_REPORT_INTERVAL;
            due = sent
                + Duration::from_secs_f64(
                    self.world.workers.report_s * (0.75 + 0.5 * self.world.random()),
                );
            let answer = self.send(&mut client, &to, &body, sent);
            self.wait_while_hanging();
            match answer {
                Some((200, body)) => self.on_answer(&body, shift, sent),
                Some((421, body)) => {
                    client.close();
                    let foreman = body.str_of("foreman");
                    let known = self
                        .nodes
                        .iter()
                        .position(|node| Some(&node.name) == foreman.as_ref());
                    match known.filter(|index| self.nodes[*index].name != to.name) {
                        Some(index) => {
                            node = index as f64;
                            due =
                                Instant::now() + Duration::from_secs_f64(0.5 * self.world.random());
                        }
                        None => {
                            node += 1.0;
                            due = Instant::now() + NEXT_NODE_PAUSE;
                        }
                    }
                    not_before = due;
                }
                _ => {
                    client.close();
                    node += 1.0;
                    due = Instant::now() + NEXT_NODE_PAUSE;
                    not_before = due;
                }
            }
        }
    }

    /// Sends a report. In a cut nothing arrives, in either direction.
    fn send(&self, client: &mut Client, to: &Node, body: &V, sent: Instant) -> Option<(u16, V)> {
        let mut answer = None;
        if !self.world.is_cut(&self.zone, &to.zone) {
            answer = client.call(to.address, "POST", "/hello", Some(body), REPORT_TIMEOUT);
        }
        if !self.world.is_cut(&self.zone, &to.zone) {
            return answer;
        }
        client.close();
        thread::sleep((sent + REPORT_TIMEOUT).saturating_duration_since(Instant::now()));
        None
    }

    fn on_answer(&self, body: &V, shift: u64, sent: Instant) {
        let mut inner = self.inner.lock().unwrap();
        self.check_lease(&mut inner);
        let Some(baton) = body.u64_of("baton").filter(|baton| *baton >= inner.baton) else {
            return;
        };
        if shift != inner.shift || sent.elapsed() > REPORT_TIMEOUT {
            return;
        }
        self.see_token(&mut inner, baton);
        inner.renewed = inner.renewed.max(sent);
        self.execute(&mut inner, body);
    }

    fn see_token(&self, inner: &mut Inner, baton: u64) {
        if baton > inner.baton {
            inner.baton = baton;
            let pause = Duration::from_secs_f64(self.world.workers.lease_s / 2.0);
            if inner.token_changed.is_none_or(|at| at.elapsed() > pause) {
                inner.token_changed = Some(Instant::now());
                inner.changed = true;
            }
        }
    }

    /// Direct commands.
    fn handle(&self, request: Request) -> Answer {
        self.wait_while_hanging();
        if !self.is_up() {
            return Answer::Silence;
        }
        if request.path == "/inspect" {
            let mut inner = self.inner.lock().unwrap();
            return Answer::Reply(200, self.report_body(&mut inner));
        }
        let (Some(baton), Some(shift)) =
            (request.body.u64_of("baton"), request.body.u64_of("shift"))
        else {
            return Answer::Reply(400, map(vec![]));
        };
        let zone = self
            .world
            .zone_of_token
            .lock()
            .unwrap()
            .get(&baton)
            .cloned();
        if zone.is_some_and(|zone| self.world.is_cut(&self.zone, &zone)) {
            return Answer::Silence;
        }
        let mut inner = self.inner.lock().unwrap();
        self.check_lease(&mut inner);
        if baton < inner.baton || shift != inner.shift {
            return Answer::Reply(409, self.report_body(&mut inner));
        }
        self.see_token(&mut inner, baton);
        self.execute(&mut inner, &request.body);
        Answer::Reply(200, self.report_body(&mut inner))
    }

    fn execute(&self, inner: &mut Inner, body: &V) {
        for order in body.get("orders").map_or(&[][..], V::as_list) {
            let (Some(verb), Some(name), Some(attempt)) = (
                order.str_of("verb"),
                order.str_of("sheet"),
                order.u64_of("try"),
            ) else {
                continue;
            };
            let known = inner
                .tasks
                .iter()
                .position(|task| task.name == name && task.attempt == attempt);
            match (verb.as_str(), known) {
                ("launch", None) => self.launch(inner, name, attempt),
                ("stop", Some(index)) => {
                    let task = &mut inner.tasks[index];
                    if matches!(task.phase, Phase::Ended(_)) {
                        continue;
                    }
                    if task.phase == Phase::Running {
                        self.world.leave(&task.name, attempt, &self.name, "stopped");
                    }
                    task.phase = Phase::Ended("stopped");
                    task.until = Instant::now() + Duration::from_secs(1_000_000);
                    inner.changed = true;
                }
                ("forget", Some(index)) if matches!(inner.tasks[index].phase, Phase::Ended(_)) => {
                    inner.tasks.remove(index);
                }
                _ => {}
            }
        }
    }

    fn launch(&self, inner: &mut Inner, name: String, attempt: u64) {
        let same_task = |task: &Task| task.name == name && !matches!(task.phase, Phase::Ended(_));
        let job = self.world.jobs.lock().unwrap().get(job_of(&name)).cloned();
        let used = self.used(inner);
        let kind = self.world.machine_kind;
        let number: Option<u32> = name
            .rsplit_once('/')
            .and_then(|(_, number)| number.parse().ok());
        let refused = match &job {
            _ if inner.tasks.iter().any(same_task) => Some("busy"),
            Some(job) if number.is_some_and(|number| number < job.tasks) => {
                let fits = used.0 + job.cpus <= kind.cpus + 1e-6
                    && used.1 + job.gpus <= kind.gpus + 1e-6
                    && used.2 + job.memory_gb <= kind.memory_gb + 1e-6;
                (!fits).then_some("no_room")
            }
            _ => Some("unknown"),
        };
        if let Some(why) = refused {
            self.world.log(&format!(
                "{} refuses {name} try {attempt}: {why}",
                self.name
            ));
        }
        let phase = refused.map_or(Phase::Fetching, Phase::Ended);
        let wait = if refused.is_some() {
            Duration::from_secs(1_000_000)
        } else {
            FETCH
        };
        inner.tasks.push(Task {
            name,
            attempt,
            phase,
            until: Instant::now() + wait,
        });
        inner.changed = true;
    }
}

pub fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |(job, _)| job)
}
