//! Agents and the cloud.

use super::*;

impl Simulation {
    pub(super) fn hung(&self, name: &str) -> Option<u64> {
        self.agents
            .get(name)
            .map(|w| w.hung_until)
            .filter(|u| *u > self.now)
    }

    pub(super) fn execute(&mut self, name: &str, commands: Vec<Command>) {
        for c in commands {
            let Some(w) = self.agents.get_mut(name) else {
                return;
            };
            match c {
                Command::Start { task, attempt } => {
                    let key = (task.clone(), attempt);
                    if w.tasks.contains_key(&key) {
                        continue;
                    }
                    let id = task.rsplit_once('/').map(|(i, _)| i.to_string()).unwrap();
                    let busy = w
                        .tasks
                        .iter()
                        .any(|((t, _), s)| *t == task && s.phase != TaskPhase::Exited);
                    let image = self.jobs.get(&id).map(|t| t.spec.image.clone());
                    let cached = image.is_some_and(|i| w.cached_images.contains(&i));
                    let t = if busy {
                        FakeTask {
                            phase: TaskPhase::Exited,
                            exit_reason: Some(ExitReason::Busy),
                            saved: false,
                            phase_ends_at: 0,
                        }
                    } else if !self.jobs.contains_key(&id) {
                        FakeTask {
                            phase: TaskPhase::Exited,
                            exit_reason: Some(ExitReason::Unknown),
                            saved: false,
                            phase_ends_at: 0,
                        }
                    } else {
                        FakeTask {
                            phase: TaskPhase::Fetching,
                            exit_reason: None,
                            saved: false,
                            phase_ends_at: self.now + if cached { 0 } else { IMAGE_FETCH_TIME },
                        }
                    };
                    w.tasks.insert(key, t);
                    w.next_heartbeat_at = w.next_heartbeat_at.min(self.now + SECOND / 2);
                }
                Command::Stop {
                    task,
                    attempt,
                    grace_s,
                } => {
                    let id = task.rsplit_once('/').map(|(i, _)| i.to_string()).unwrap();
                    let save = self.jobs.get(&id).map_or(0.0, |t| t.spec.save_s);
                    let key = (task, attempt);
                    if let Some(t) = w.tasks.get_mut(&key) {
                        match t.phase {
                            TaskPhase::Exited => {}
                            TaskPhase::Running if save > 0.0 && grace_s >= save => {
                                t.phase = TaskPhase::Saving;
                                t.phase_ends_at = self.now + (save * 1e6) as u64;
                            }
                            TaskPhase::Saving if grace_s > 0.0 => {}
                            _ => w.exit_task(&key, ExitReason::Stopped, false),
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task, attempt);
                    if w.tasks
                        .get(&key)
                        .is_some_and(|t| t.phase == TaskPhase::Exited)
                    {
                        w.tasks.remove(&key);
                    }
                }
            }
        }
    }

    pub(super) fn agent_tick(&mut self, name: &str) {
        let now = self.now;
        let nodes = self.controllers.len();
        if !self.agents[name].alive {
            return;
        }
        // A lease runs out on a hung machine, too: only within it may the machine continue.
        let w = self.agents.get_mut(name).unwrap();
        if now > w.lease_renewed_at + self.lease_s * SECOND {
            w.expire_session();
            w.lease_renewed_at = now;
        }
        if self.hung(name).is_some() {
            return;
        }
        let w = self.agents.get_mut(name).unwrap();
        // Phases that end by themselves.
        let due: Vec<fake_agent::TaskKey> = w
            .tasks
            .iter()
            .filter(|(_, t)| {
                t.phase != TaskPhase::Exited && t.phase_ends_at > 0 && t.phase_ends_at <= now
            })
            .map(|(k, _)| k.clone())
            .collect();
        for key in due {
            let id = key.0.rsplit_once('/').map(|(i, _)| i.to_string()).unwrap();
            let n: u32 = key.0.rsplit_once('/').unwrap().1.parse().unwrap();
            let truth = self.jobs[&id].clone();
            let broken = self.failing_jobs.contains(&id);
            let whole = truth.spec.kind != JobKind::Gang || self.complete(&key, &truth);
            let w = self.agents.get_mut(name).unwrap();
            let errors = w.fails_tasks || broken;
            let t = w.tasks.get_mut(&key).unwrap();
            match t.phase {
                TaskPhase::Fetching if errors => w.exit_task(&key, ExitReason::Error, false),
                TaskPhase::Fetching => {
                    if truth.done.contains(&n) {
                        w.exit_task(&key, ExitReason::Done, false);
                    } else if truth.spec.kind == JobKind::Gang {
                        t.phase = TaskPhase::Waiting;
                        t.phase_ends_at = 0;
                    } else {
                        t.phase = TaskPhase::Running;
                        t.phase_ends_at = if truth.spec.kind == JobKind::Service {
                            0
                        } else {
                            now + truth.run + u64::from(n) * truth.apart
                        };
                    }
                    w.next_heartbeat_at = w.next_heartbeat_at.min(now);
                    self.check_start(name, &key.0);
                }
                // While its machine hung, the others have gone.
                TaskPhase::Running if !whole => w.exit_task(&key, ExitReason::Peers, false),
                TaskPhase::Running => {
                    w.exit_task(&key, ExitReason::Done, false);
                    self.jobs.get_mut(&id).unwrap().done.insert(n);
                }
                TaskPhase::Saving => w.exit_task(&key, ExitReason::Stopped, true),
                _ => {}
            }
        }
        let w = self.agents.get_mut(name).unwrap();
        if let Some((_, number, sent)) = w.flying
            && now > sent + 4 * SECOND
        {
            let _ = number;
            w.flying = None;
            w.controller = (w.controller + 1) % nodes;
            w.next_heartbeat_at = now + SECOND;
        }
        if w.flying.is_none() && w.next_heartbeat_at <= now {
            let body = encode(&w.heartbeat());
            let number = w.seq;
            w.flying = Some((w.agent_epoch, number, now));
            w.next_heartbeat_at = now + 2 * SECOND;
            let node = w.controller;
            let name = name.to_string();
            if self.faults.is_silent(&name, now) {
                return;
            }
            let copy = || (name.clone(), number, body.clone());
            self.faults.keep_stale_heartbeat(copy, &mut self.rng);
            let mut at = now + self.latency() + self.faults.heartbeat_delay(&mut self.rng);
            if let Some((to, late)) = self.faults.duplicate_heartbeat(node, nodes, &mut self.rng) {
                let copy = Event::AgentHeartbeat(name.clone(), to, number, body.clone());
                self.schedule(at + late, copy);
            }
            match self
                .partition_between(&Endpoint::Controller(node), &Endpoint::Agent(name.clone()))
            {
                Some((PartitionMode::Drop, _)) => return,
                Some((PartitionMode::Delay, until)) => at = until + 1000,
                None => {}
            }
            self.schedule(at, Event::AgentHeartbeat(name, node, number, body));
        }
    }

    /// All tasks of a gang's attempt are there, or one of them has completed it.
    pub(super) fn complete(&self, key: &fake_agent::TaskKey, truth: &JobGroundTruth) -> bool {
        let id = key.0.rsplit_once('/').map(|(id, _)| id);
        let there = self.agents.values().flat_map(|w| w.active_tasks());
        let mates = there.filter(|((k, attempt), _)| {
            *attempt == key.1 && k.rsplit_once('/').map(|(id, _)| id) == id
        });
        // They complete together: while the machine of one stands still, none does.
        let hung = |w: &FakeAgent| {
            let mut held = w.active_tasks().map(|((k, attempt), _)| (k, attempt));
            let mate =
                |(k, a): (&String, &u64)| *a == key.1 && k.rsplit_once('/').map(|(id, _)| id) == id;
            w.hung_until > self.now && held.any(mate)
        };
        !truth.done.is_empty()
            || mates.count() as u32 == truth.spec.tasks && !self.agents.values().any(hung)
    }

    /// Gangs: start together, fail together.
    pub(super) fn gangs(&mut self) {
        let now = self.now;
        type Member = (String, fake_agent::TaskKey, TaskPhase);
        let mut members: BTreeMap<(String, u64), Vec<Member>> = BTreeMap::new();
        for w in self.agents.values() {
            for (k, t) in w.active_tasks() {
                let id = k.0.rsplit_once('/').unwrap().0.to_string();
                if self
                    .jobs
                    .get(&id)
                    .is_some_and(|t| t.spec.kind == JobKind::Gang)
                {
                    members.entry((id, k.1)).or_default().push((
                        w.name.clone(),
                        k.clone(),
                        t.phase,
                    ));
                }
            }
        }
        for ((id, _), list) in members {
            let truth = self.jobs[&id].clone();
            let all = list.len() as u32 == truth.spec.tasks;
            let hung = list.iter().any(|(m, _, _)| self.hung(m).is_some());
            if all && !hung && list.iter().all(|(_, _, p)| *p == TaskPhase::Waiting) {
                for (m, k, _) in &list {
                    let t = self.agents.get_mut(m).unwrap().tasks.get_mut(k).unwrap();
                    t.phase = TaskPhase::Running;
                    t.phase_ends_at = now + truth.run;
                }
            } else if !all || hung {
                for (m, k, p) in &list {
                    if *p == TaskPhase::Running {
                        let due = now + GANG_PEER_TIMEOUT_S * SECOND / 2;
                        let w = self.agents.get_mut(m).unwrap();
                        let done = truth.done.len() as u32 >= 1;
                        if w.hung_until > now {
                            continue;
                        }
                        if done {
                            let n: u32 = k.0.rsplit_once('/').unwrap().1.parse().unwrap();
                            w.exit_task(k, ExitReason::Done, false);
                            self.jobs.get_mut(&id).unwrap().done.insert(n);
                        } else {
                            let _ = due;
                            w.exit_task(k, ExitReason::Peers, false);
                        }
                    }
                }
            }
        }
    }

    pub(super) fn cloud(&mut self, call: &Call) -> (u16, Vec<u8>) {
        if self.cloud_unavailable {
            return (503, Vec::new());
        }
        let route = call.path.split('?').next().unwrap_or("");
        match (call.method, route) {
            ("GET", "/flavors") => {
                let t = MachineType {
                    name: "box".into(),
                    cpus: 8.0,
                    gpus: 8.0,
                    memory_gb: 64.0,
                    cache_gb: 50.0,
                    fetch_gb_per_s: 1.0,
                    price: 1.0,
                    spot_price: 0.4,
                    boot_s: 5.0,
                    zones: vec!["a".into(), "b".into()],
                };
                (200, encode(&MachineTypes { types: vec![t] }))
            }
            ("GET", _) => {
                let mut machines: Vec<ListedMachine> = self
                    .agents
                    .values()
                    .map(|w| ListedMachine {
                        id: w.name.clone(),
                        address: None,
                        kind: "box".into(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        state: if self.failed_machines.contains(&w.name) {
                            MachineState::Failed
                        } else {
                            MachineState::Running
                        },
                        age_s: 10.0,
                    })
                    .collect();
                machines.sort_by(|a, b| a.id.cmp(&b.id));
                let page = MachinePage {
                    machines,
                    more: false,
                };
                (200, encode(&page))
            }
            ("POST", "/machines") => {
                let r: RentRequest = decode(&call.body).expect("a rental");
                if let Some(names) = self.rented.get(&r.request) {
                    let machines = names.clone();
                    let first = self.rented_at[&r.request];
                    if self.now > first + 60 * SECOND {
                        self.report_violation("hire reused", r.request);
                    }
                    return (200, encode(&MachineNames { machines }));
                }
                let room = 12usize.saturating_sub(self.agents.len() + self.booting.len());
                if room == 0 || self.no_capacity {
                    return (503, Vec::new());
                }
                let mut names = Vec::new();
                for _ in 0..(r.count as usize).min(room) {
                    self.machine_count += 1;
                    let name = format!("n-{:06}", self.machine_count);
                    self.booting.push((
                        self.now + self.machine_boot_time,
                        name.clone(),
                        r.zone.clone(),
                        r.spot,
                    ));
                    names.push(name);
                }
                self.rented_at.insert(r.request.clone(), self.now);
                self.rented.insert(r.request, names.clone());
                (200, encode(&MachineNames { machines: names }))
            }
            _ => {
                let names: MachineNames = decode(&call.body).expect("names");
                for n in names.machines {
                    let gone = self.agents.remove(&n);
                    self.failed_task_total += gone.map_or(0, |w| w.failed_tasks);
                    self.booting.retain(|(_, b, ..)| *b != n);
                    self.deleted_machines.insert(n);
                }
                (200, Vec::new())
            }
        }
    }
}
