//! One pass: the fleet and the queue as they stand, put before the pure `queue::pass`, and what it
//! decides turned into wanted records, stops and rentals.

use super::leader::{FRESH_REPORTS, Leader, Trouble, grace, sick};
use super::node::{Clock, Node};
use super::pipeline::Lifted;
use super::placement::{Host, Names, Shape};
use super::queue::{self, Item, Room, Victim};
use super::recovery::{Lost, Recovery};
use crate::bookkeeping::mirror::{Job, Mirror};
use crate::bookkeeping::workers::Standing;
use crate::protocol::records::{CHUNK, Entry};
use crate::protocol::wire::{Phase, Why};
use crate::protocol::{Kind, Micros, Priority, Settings};
use std::collections::{HashMap, HashSet};

/// Room made for a job is kept for it this long; stops take a save and a report or two.
const RESERVED: Micros = Micros::millis(20_000);
/// Work within a guarantee that has waited this long, longer than machines usually take to boot, is
/// given room at the cost of other teams' surplus gangs, too.
const OVERDUE: Micros = Micros::millis(60_000);
/// A stop that was wanted this long ago is decided on anew.
const FORGIVE: Micros = Micros::millis(60_000);
/// Most places of one pass.
const PLACES: usize = 128;
/// Orders of starts are remembered for this many jobs.
const ORDERS: usize = 5_000;

/// The machines as a pass sees them.
pub struct Hosts {
    /// The machines.
    pub list: Vec<Host>,
    /// Their names, in the same order.
    pub names: Vec<String>,
    index: HashMap<String, usize>,
}

impl Hosts {
    /// Index of a machine.
    pub fn find(&self, machine: &str) -> Option<usize> {
        self.index.get(machine).copied()
    }
}

/// What a pass found out besides.
#[derive(Default)]
struct Findings {
    cleans: Vec<String>,
    dones: Vec<(String, u32)>,
    stops: Vec<(String, u32, f64)>,
    lost: Lost,
    placed: usize,
}

impl Leader {
    fn hosts(
        &self,
        s: &Settings,
        policy: &super::policy::Policy,
        mirror: &Mirror,
        names: &mut Names,
        now: Micros,
    ) -> Hosts {
        let fresh = Micros::secs(s.params.workers.report_s * FRESH_REPORTS);
        let mut hosts = Hosts {
            list: Vec::with_capacity(self.workers.len()),
            names: Vec::with_capacity(self.workers.len()),
            index: HashMap::with_capacity(self.workers.len()),
        };
        for (name, w) in &self.workers {
            let types = mirror.types.iter().flatten();
            let Some(t) = types.into_iter().find(|t| t.name == w.kind) else {
                continue;
            };
            if w.is_over() || self.fleet.is_gone(name) {
                continue;
            }
            let open = w.term == self.term
                && now < w.heard + fresh
                && w.notice.is_none()
                && !self.fleet.leaving(name)
                && !sick(w, policy)
                && !self.suspect(w, now);
            let total = [t.cpus, t.gpus, t.memory_gb];
            hosts.index.insert(name.clone(), hosts.list.len());
            hosts.names.push(name.clone());
            hosts.list.push(Host {
                kind: names.id(&w.kind),
                zone: names.id(&w.zone),
                spot: w.spot,
                session: w.session,
                total,
                free: total,
                open,
                images: mirror
                    .images
                    .of(name, t.cache_gb)
                    .map(|i| names.id(i))
                    .collect(),
                reserved: self
                    .reserved
                    .get(name)
                    .filter(|(_, until)| *until > now)
                    .map(|(j, _)| j.clone()),
            });
        }
        hosts
    }

    /// One job: takes its tasks' room, says what it wants, and what is to be done about it.
    #[allow(clippy::too_many_arguments)]
    fn survey<'a>(
        &mut self,
        id: &'a str,
        job: &'a Job,
        hosts: &mut Hosts,
        names: &mut Names,
        room: &mut Room,
        victims: &mut Vec<Victim<'a>>,
        found: &mut Findings,
        guaranteed: bool,
        priority: Priority,
        fetch_rate: f64,
        clock: Clock,
    ) -> Option<Item<'a>> {
        if job.waits() {
            // Nothing of it starts before the jobs that it needs are recorded as done; it takes no
            // room and no place in the queue, and holds nobody up.
            return None;
        }
        let now = clock.now;
        let spec = &job.rec.spec;
        let shape = Shape::of(spec, names);
        let in_flight = self.edits.in_flight(id);
        let chosen: Vec<Entry> = self.edits.places(id).cloned().collect();
        let mut present: Vec<(u32, Option<usize>)> = Vec::new();
        let mut lost = 0;
        let mut latest = 0;
        let mut unknown_zone = false;
        let mut complete = false;
        let mut runs = false;
        let mut standing: Vec<(u32, Standing)> = Vec::new();
        // A task with a new place has been proven gone from the old one. To count that attempt as
        // lost beside the new one would take the gang for broken before it has started.
        let replaced = |e: &&Entry| chosen.iter().any(|c| c.task() == e.task());
        let recorded = job.entries().filter(|e| !replaced(e));
        for e in recorded.chain(&chosen) {
            let Some(m) = e.machine() else { continue };
            let s = self.standing(id, e);
            if !self.presumed(id, e, job.active()) {
                lost += 1;
                if s == Standing::Ended(Why::Done) && job.active() && !in_flight {
                    complete = spec.kind == Kind::Gang;
                    found.dones.push((id.to_string(), e.task()));
                }
                continue;
            }
            latest = latest.max(e.attempt());
            runs |= s == Standing::There(Phase::Running);
            if spec.kind == Kind::Gang {
                standing.push((e.task(), s));
            }
            let at = hosts.find(m);
            let zone = match at {
                Some(h) => {
                    let host = &mut hosts.list[h];
                    host.take(&shape.need);
                    if !host.images.contains(&shape.image) {
                        host.images.push(shape.image);
                    }
                    // A machine that the cloud is about to take: what can save does so now,
                    // a gang as a whole.
                    let notice = self.workers.get(m).and_then(|w| w.notice);
                    let save = grace(job);
                    if save > 0.0
                        && notice.is_some_and(|n| n > now + Micros::secs(spec.save_s))
                        && s == Standing::There(Phase::Running)
                    {
                        let all = match spec.kind {
                            Kind::Gang => 0..spec.tasks,
                            _ => e.task()..e.task() + 1,
                        };
                        let all = all.map(|t| (id.to_string(), t, save));
                        found.stops.extend(all);
                    }
                    let single = spec.kind == Kind::Array || spec.tasks == 1;
                    if spec.kind != Kind::Service
                        && job.active()
                        && chosen.is_empty()
                        && !in_flight
                        && self.stop_of(id, e.task()).is_none()
                    {
                        let order = self.order_of.get(id).and_then(|o| o.get(&e.task()));
                        victims.push(Victim {
                            job: id,
                            task: e.task(),
                            host: h,
                            need: shape.need,
                            order: order.copied().unwrap_or(0),
                            backfilled: e.backfilled(),
                            priority,
                            saves: single && spec.saves(),
                            save_s: spec.save_s,
                            team: &spec.team,
                            surplus: !guaranteed,
                            single: spec.kind == Kind::Array,
                        });
                    }
                    host.zone
                }
                None => match self.zone_of(m) {
                    Some(z) => names.id(&z),
                    None => {
                        unknown_zone = true;
                        u32::MAX
                    }
                },
            };
            if let Some(r) = room.get_mut(&spec.team) {
                r[0] -= spec.cpus;
                r[1] -= spec.gpus;
            }
            present.push((zone, at));
        }
        found.placed += present.len() + lost;
        if !job.active() {
            if present.is_empty() && !in_flight {
                found.cleans.push(id.to_string());
            }
            return None;
        }
        // They complete together: the others are not lost when one has reported it first.
        if complete {
            return None;
        }
        if spec.kind == Kind::Gang && !present.is_empty() {
            if lost > 0 {
                self.broken_gangs.insert(id.to_string(), latest);
                // Members that save on command are left to it.
                let saving = Standing::There(Phase::Saving);
                if standing.iter().all(|(_, s)| *s != saving) {
                    let all = standing.iter().map(|(t, _)| (id.to_string(), *t, 0.0));
                    found.stops.extend(all);
                }
            }
            return None;
        }
        // A job that fails wherever it is tried waits longer and longer, unless tasks of it do run.
        let trouble = self.troubles.get(id);
        let held_off = trouble.is_some_and(|t| t.again > now) && !runs && job.done_count() == 0;
        // More replicas of a job may be placed while some are being written: if they had to wait, jobs
        // that came later would take their room. Of other jobs an end may be among what is written.
        if (in_flight && spec.kind != Kind::Service) || held_off {
            self.dirty |= held_off;
            return None;
        }
        let avoid = |t: &Trouble| t.machines.keys().filter_map(|m| hosts.find(m)).collect();
        let shape = Shape {
            avoid: trouble.map(avoid).unwrap_or_default(),
            ..shape
        };
        // Zones of tasks nobody can place are unknown: such a job waits.
        if (spec.one_zone || spec.spread) && unknown_zone {
            return None;
        }
        let tasks = startable(self, id, job, PLACES);
        if tasks.is_empty() {
            return None;
        }
        // What was stopped or has failed was not lost; what went with its machine or its gang was.
        let gone = |t: &u32| {
            job.entry(*t).is_some_and(|e| {
                let s = self.standing(id, e);
                e.machine().is_some() && matches!(s, Standing::Gone | Standing::Ended(Why::Peers))
            })
        };
        let lost = tasks.iter().filter(|t| gone(t)).count();
        found.lost.add(spec.kind, lost);
        Some(Item {
            id,
            at: job.rec.at,
            lost: lost as u32,
            spec,
            shape,
            tasks,
            present,
            fetch_s: spec.image_gb / fetch_rate,
            estimate_s: spec.estimate_s,
            priority,
            guaranteed,
            overdue: clock.wall.since(job.released) > OVERDUE,
        })
    }

    /// Tasks that workers report and no record places take room as well.
    fn unrecorded(&self, mirror: &Mirror, hosts: &mut Hosts) {
        for (h, name) in hosts.names.iter().enumerate() {
            let Some(w) = self.workers.get(name) else {
                continue;
            };
            for t in w.tasks.iter().filter(|t| t.phase != Phase::Exited) {
                match mirror.jobs.get(&t.job) {
                    Some(j) => {
                        let on = |e: &Entry| {
                            (e.task(), e.attempt()) == (t.task, t.attempt) && e.machine().is_some()
                        };
                        let known =
                            j.entry(t.task).is_some_and(on) || self.edits.places(&t.job).any(on);
                        if !known {
                            let s = &j.rec.spec;
                            hosts.list[h].take(&[s.cpus, s.gpus, s.memory_gb]);
                        }
                    }
                    None => hosts.list[h].open = false,
                }
            }
        }
    }
}

impl Node {
    /// A pass over the queue and the fleet.
    pub fn pass(&mut self, clock: Clock) {
        let Some(l) = &mut self.leader else { return };
        let now = clock.now;
        l.forgive(now);
        let mut names = Names::default();
        let mut hosts = l.hosts(&self.settings, &self.policy, &self.mirror, &mut names, now);
        let mut room: Room = Room::new();
        for t in &self.settings.params.teams {
            let most = |v: f64| if v > 0.0 { v } else { f64::INFINITY };
            room.insert(t.name.clone(), [most(t.cpus_max), most(t.gpus_max)]);
        }
        let mut victims: Vec<Victim<'_>> = Vec::new();
        let mut items: Vec<Item<'_>> = Vec::new();
        let mut found = Findings::default();
        let within = guaranteed(&self.settings, &self.mirror);
        let lifted = Lifted::new(&self.mirror);
        let rates = self.mirror.types.iter().flatten().map(|t| t.fetch_gb_per_s);
        let fetch_rate = rates.fold(f64::INFINITY, f64::min).max(1e-3);
        for (id, job) in &self.mirror.jobs {
            let item = l.survey(
                id,
                job,
                &mut hosts,
                &mut names,
                &mut room,
                &mut victims,
                &mut found,
                within.contains(id.as_str()),
                lifted.of(id, job),
                fetch_rate,
                clock,
            );
            items.extend(item);
        }
        l.unrecorded(&self.mirror, &mut hosts);
        if let Some(told) = l.recovery.observe(now, found.lost, found.placed) {
            log::info!("{told}");
        }
        Recovery::order(&mut items);
        for h in &mut hosts.list {
            if h.reserved
                .as_ref()
                .is_some_and(|r| items.iter().all(|i| i.id != *r))
            {
                h.reserved = None;
            }
        }
        let learnt = l.learnt(&self.settings, now);
        if !learnt {
            victims.clear();
        }
        let plan = queue::pass(
            &items,
            &mut hosts.list,
            &victims,
            &mut room,
            &mut l.b_max,
            PLACES,
        );
        log::debug!(
            "pass: {} jobs wait, {} starts, {} stops, {} lack room, {} machines",
            items.len(),
            plan.places.len(),
            plan.stops.len(),
            plan.lacks.len(),
            hosts.list.len()
        );
        if plan.places.len() >= PLACES {
            l.dirty = true;
        }
        for (id, task) in plan.stops {
            if let Some(job) = self.mirror.jobs.get(&id) {
                log::info!("{id}/{task}: stopped to make room");
                let all = match job.rec.spec.kind {
                    // A gang stops as a whole.
                    Kind::Gang => 0..job.rec.spec.tasks,
                    _ => task..task + 1,
                };
                let g = grace(job);
                found.stops.extend(all.map(|t| (id.clone(), t, g)));
            }
        }
        l.reserved.retain(|_, (_, until)| *until > now);
        for (h, id) in plan.reserved {
            l.reserved
                .insert(hosts.names[h].clone(), (id, now + RESERVED));
        }
        record(l, &self.mirror, &hosts, plan.places, now);
        for id in found.cleans {
            l.edits.want(&id, now).clean = true;
        }
        for (id, task) in found.dones {
            if let Some(job) = self.mirror.jobs.get(&id) {
                let edit = l.edits.want(&id, now);
                match job.rec.spec.kind {
                    Kind::Gang => edit.done.extend(0..job.rec.spec.tasks),
                    _ => _ = edit.done.insert(task),
                }
            }
        }
        for (id, task, g) in found.stops {
            if let Some(job) = self.mirror.jobs.get(&id)
                && let Some(m) = job.entry(task).and_then(Entry::machine)
            {
                l.touched.insert(m.to_string());
            }
            let of = l.stopping.entry(id).or_default();
            of.entry(task).or_insert((g, now));
        }
        l.stopping.retain(|_, of| {
            of.retain(|_, (_, at)| now < *at + FORGIVE);
            !of.is_empty()
        });
        let jobs = &self.mirror.jobs;
        l.broken_gangs.retain(|id, _| jobs.contains_key(id));
        if l.order_of.len() > ORDERS {
            l.order_of.retain(|id, _| jobs.contains_key(id));
        }
        self.plan_fleet(clock, &hosts, &mut names, &plan.lacks, learnt);
    }
}

/// Jobs that fit into their team's guarantee together with the team's earlier unfinished ones.
fn guaranteed<'a>(s: &Settings, mirror: &'a Mirror) -> HashSet<&'a str> {
    let mut left: HashMap<&str, [f64; 2]> = HashMap::new();
    for t in &s.params.teams {
        if t.cpus > 0.0 || t.gpus > 0.0 {
            let amount = |v: f64| if v > 0.0 { v } else { f64::INFINITY };
            left.insert(&t.name, [amount(t.cpus), amount(t.gpus)]);
        }
    }
    let mut within = HashSet::new();
    if left.is_empty() {
        return within;
    }
    let active = mirror.jobs.iter().filter(|(_, j)| j.active() && !j.waits());
    let mut jobs: Vec<(&String, &Job)> = active.collect();
    jobs.sort_by_key(|(id, j)| (j.rec.at, *id));
    for (id, job) in jobs {
        let spec = &job.rec.spec;
        let Some(left) = left.get_mut(spec.team.as_str()) else {
            continue;
        };
        let n = (spec.tasks as u64).saturating_sub(job.done_count()) as f64;
        left[0] -= spec.cpus * n;
        left[1] -= spec.gpus * n;
        if left.iter().all(|l| *l >= -1e-6) {
            within.insert(id.as_str());
        }
    }
    within
}

/// Turns places into wanted records.
fn record(l: &mut Leader, mirror: &Mirror, hosts: &Hosts, places: Vec<queue::Place>, now: Micros) {
    for p in places {
        let Some(job) = mirror.jobs.get(&p.job) else {
            continue;
        };
        let attempt = if job.rec.spec.kind == Kind::Gang {
            job.entries().map(Entry::attempt).max().unwrap_or(0)
        } else {
            job.entry(p.task).map_or(0, Entry::attempt)
        } + 1;
        let name = &hosts.names[p.host];
        log::debug!(
            "{}/{} attempt {attempt} goes to {name}{} with {}",
            p.job,
            p.task,
            if p.backfilled { ", backfilled" } else { "" },
            job.rec.spec.image
        );
        l.started += 1;
        let order = l.order_of.entry(p.job.clone()).or_default();
        order.insert(p.task, l.started);
        if let Some(of) = l.stopping.get_mut(&p.job) {
            of.remove(&p.task);
        }
        let entry = Entry(
            p.task,
            attempt,
            name.clone(),
            hosts.list[p.host].session,
            l.term,
            p.backfilled,
        );
        l.edits.want(&p.job, now).places.push(entry);
    }
}

/// Tasks of a job that may start: not done, and on no machine. At most `most` for arrays.
fn startable(l: &Leader, id: &str, job: &Job, most: usize) -> Vec<u32> {
    let spec = &job.rec.spec;
    let most = if spec.kind == Kind::Gang {
        spec.tasks as usize
    } else {
        most
    };
    let mut tasks = Vec::new();
    let chunks = spec.tasks.div_ceil(CHUNK);
    let ended = |e: &Entry| {
        // Its end is on its way to the record.
        l.presumed(id, e, true) || l.standing(id, e) == Standing::Ended(Why::Done)
    };
    for c in 0..chunks {
        let chunk = job.chunk_of(c * CHUNK);
        for task in c * CHUNK..spec.tasks.min((c + 1) * CHUNK) {
            let free = match chunk {
                None => true,
                Some(ch) => !ch.is_done(task) && !ch.entry(task).is_some_and(ended),
            };
            if free && !l.edits.finishing(id, task) && !l.edits.placing(id, task) {
                tasks.push(task);
                if tasks.len() >= most {
                    return tasks;
                }
            }
        }
    }
    tasks
}
