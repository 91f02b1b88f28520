//! A pass as it was made before the queue was kept (its version of 2026-12-01, commit 8b93c06): every
//! job is surveyed, sorted and tried against every machine. Kept as the plain reference to which the
//! scheduler's passes are compared, and as what they are measured against. The largest demand counts
//! before the walk, and a gang that has waited for long takes the place of tasks that cannot save, as now; all
//! else is as it was.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use walnuttrestle::agents::failure_history::FailureHistory;
use walnuttrestle::agents::leader_state::{FRESH_REPORTS, LeaderState, grace};
use walnuttrestle::policy::Policy;
use walnuttrestle::protocol::Clock;
use walnuttrestle::protocol::agent_api::{ExitReason, TaskPhase};
use walnuttrestle::protocol::records::{CHUNK, TaskEntry};
use walnuttrestle::protocol::{JobKind, JobSpec, Micros, Settings};
use walnuttrestle::scheduling::backfill::{PreemptibleTask, QueueEntry};
use walnuttrestle::scheduling::pass::TaskStart;
use walnuttrestle::scheduling::placement::{
    self, Host, HostPicker, NameTable, PlacementConstraints, TaskRequirements, may_take, slots,
};
use walnuttrestle::scheduling::priority_inheritance::InheritedPriorities;
use walnuttrestle::state::agent::TaskLiveness;
use walnuttrestle::state::record_cache::{Job, RecordCache};

const PLACES: usize = 128;
const OVERDUE: Micros = Micros::millis(60_000);
const STARVED: Micros = Micros::millis(120_000);
const AGED: Micros = Micros::millis(20_000);

/// What a pass decides, in the words of `pass::PassDecision`.
#[derive(Debug, Default)]
pub struct Plain {
    pub starts: Vec<TaskStart>,
    pub stops: Vec<(String, u32)>,
    pub reserved: Vec<(String, String)>,
    pub lacks: Vec<(String, u32)>,
    pub b_max: f64,
    pub cleans: Vec<String>,
    pub dones: Vec<(String, u32)>,
    pub ordered_stops: Vec<(String, u32, f64)>,
    pub broken: Vec<(String, u64)>,
}

struct HostTable {
    list: Vec<Host>,
    names: Vec<String>,
    index: HashMap<String, usize>,
}

impl HostTable {
    fn find(&self, machine: &str) -> Option<usize> {
        self.index.get(machine).copied()
    }
}

type Room = BTreeMap<String, [f64; 2]>;

#[derive(Default)]
struct SchedulingPlan {
    places: Vec<(String, u32, usize, bool)>,
    stops: Vec<(String, u32)>,
    reserved: Vec<(usize, String)>,
    lacks: Vec<(String, u32)>,
    /// What wide arrays may still take before all others have been met, and which of them were cut short.
    wide: u32,
    cut: Vec<(String, u32, f64, bool)>,
}

/// One pass.
pub fn decide(
    l: &LeaderState,
    cache: &RecordCache,
    settings: &Settings,
    policy: &Policy,
    clock: Clock,
) -> Plain {
    let now = clock.now;
    let mut names = NameTable::default();
    let mut hosts = hosts(l, settings, policy, cache, &mut names, now);
    let mut room: Room = Room::new();
    for t in &settings.params.teams {
        let most = |v: f64| if v > 0.0 { v } else { f64::INFINITY };
        room.insert(t.name.clone(), [most(t.cpus_max), most(t.gpus_max)]);
    }
    let mut victims: Vec<PreemptibleTask<'_>> = Vec::new();
    let mut items: Vec<QueueEntry<'_>> = Vec::new();
    let mut found = Plain::default();
    let within = guaranteed(settings, cache);
    let lifted = InheritedPriorities::new(cache);
    let rates = cache.types.iter().flatten().map(|t| t.fetch_gb_per_s);
    let fetch_rate = rates.fold(f64::INFINITY, f64::min).max(1e-3);
    let mut all = [0.0; 3];
    for h in &hosts.list {
        placement::add(&mut all, &h.total);
    }
    let mut used: HashMap<&str, f64> = HashMap::new();
    for (id, job) in &cache.jobs {
        let item = survey(
            l,
            id,
            job,
            &mut hosts,
            &mut names,
            &mut room,
            (&all, &mut used),
            &mut victims,
            &mut found,
            within.contains(id.as_str()),
            &lifted,
            fetch_rate,
            clock,
        );
        items.extend(item);
    }
    unrecorded(l, cache, &mut hosts, &mut room);
    let first = |i: &QueueEntry<'_>| i.lost > 0 && i.spec.kind == JobKind::Service;
    items.sort_by_key(|i| (!first(i), i.at, i.id));
    for h in &mut hosts.list {
        if h.reserved
            .as_ref()
            .is_some_and(|r| items.iter().all(|i| i.id != &**r))
        {
            h.reserved = None;
        }
    }
    if !l.learnt(settings, now) {
        victims.clear();
    }
    let class = |id: &str| cache.jobs[id].rec.spec.class.as_str();
    for v in &mut victims {
        let used = used.get(class(v.job)).copied().unwrap_or(0.0);
        v.spared = used <= 0.1;
    }
    let typical = hosts.list.first().map_or([1.0; 3], |h| h.total);
    let waits = cache.jobs.values().filter(|j| j.active() && !j.waits());
    let demands = waits.map(|j| {
        let s = &j.rec.spec;
        s.tasks as f64 * placement::size(&typical, &placement::need(s))
    });
    found.b_max = demands.fold(l.b_max, f64::max);
    let b_max = found.b_max;
    let plan = pass(&items, &mut hosts.list, &victims, &mut room, b_max, PLACES);
    let start = |(job, task, host, backfilled): (String, u32, usize, bool)| TaskStart {
        job,
        task,
        machine: hosts.names[host].clone(),
        agent_epoch: hosts.list[host].agent_epoch,
        backfilled,
    };
    found.starts = plan.places.into_iter().map(start).collect();
    found.stops = plan.stops;
    let reserved = plan.reserved.into_iter();
    found.reserved = reserved.map(|(h, j)| (hosts.names[h].clone(), j)).collect();
    found.lacks = plan.lacks;
    found
}

fn hosts(
    l: &LeaderState,
    s: &Settings,
    policy: &Policy,
    cache: &RecordCache,
    names: &mut NameTable,
    now: Micros,
) -> HostTable {
    let fresh = Micros::secs(s.params.agents.report_s * FRESH_REPORTS);
    let mut hosts = HostTable {
        list: Vec::with_capacity(l.agents.len()),
        names: Vec::with_capacity(l.agents.len()),
        index: HashMap::with_capacity(l.agents.len()),
    };
    for (name, w) in &l.agents {
        let types = cache.types.iter().flatten();
        let Some(t) = types.into_iter().find(|t| t.name == w.kind) else {
            continue;
        };
        if w.is_over() || l.fleet.is_gone(name) {
            continue;
        }
        let open = w.term == l.term
            && w.answered.is_some_and(|t| now < t + fresh)
            && w.preemption_at.is_none()
            && w.reachability.receives()
            && !l.fleet.leaving(name)
            && !l.sick(w, policy)
            && !l.suspect(w, now);
        let total = [t.cpus, t.gpus, t.memory_gb];
        hosts.index.insert(name.clone(), hosts.list.len());
        hosts.names.push(name.clone());
        hosts.list.push(Host {
            kind: names.id(&w.kind),
            zone: names.id(&w.zone),
            spot: w.spot,
            agent_epoch: w.agent_epoch,
            total,
            free: total,
            leaving: [0.0; 3],
            open,
            images: cache
                .image_caches
                .of(name, t.cache_gb)
                .map(|i| names.id(i))
                .collect::<Vec<u32>>()
                .into(),
            reserved: l
                .reserved
                .get(name)
                .filter(|(_, until)| *until > now)
                .map(|(j, _)| j.as_str().into()),
        });
    }
    hosts
}

#[allow(clippy::too_many_arguments)]
fn survey<'a>(
    l: &LeaderState,
    id: &'a str,
    job: &'a Job,
    hosts: &mut HostTable,
    names: &mut NameTable,
    room: &mut Room,
    (all, used): (&[f64; 3], &mut HashMap<&'a str, f64>),
    victims: &mut Vec<PreemptibleTask<'a>>,
    found: &mut Plain,
    guaranteed: bool,
    lifted: &InheritedPriorities<'_>,
    fetch_rate: f64,
    clock: Clock,
) -> Option<QueueEntry<'a>> {
    if job.waits() {
        // Nothing of it starts before the jobs that it needs are recorded as done; it takes no
        // room and no place in the queue, and holds nobody up.
        return None;
    }
    let priority = lifted.of(id, job);
    let team = names.id(&job.rec.spec.team);
    let now = clock.now;
    let spec = &job.rec.spec;
    let shape = TaskRequirements {
        need: placement::need(spec),
        allow: Arc::new(PlacementConstraints::of(spec, names)),
        saves: spec.saves(),
        image: names.id(&spec.image),
        avoid: Vec::new(),
    };
    let in_flight = l.edits.in_flight(id);
    let chosen: Vec<TaskEntry> = l.edits.places(id).cloned().collect();
    let mut present: Vec<(u32, Option<usize>)> = Vec::new();
    let mut lost = 0;
    let mut latest = 0;
    let mut unknown_zone = false;
    let mut complete = false;
    let mut runs = false;
    let mut standing: Vec<(u32, TaskLiveness)> = Vec::new();
    // A task with a new place has been proven gone from the old one. To count that attempt as
    // lost beside the new one would take the gang for broken before it has started.
    let replaced = |e: &&TaskEntry| chosen.iter().any(|c| c.task() == e.task());
    let recorded = job.entries().filter(|e| !replaced(e));
    for e in recorded.chain(&chosen) {
        let Some(m) = e.machine() else { continue };
        let s = l.standing(id, e);
        if !l.presumed(id, e, job.active()) {
            lost += 1;
            if s == TaskLiveness::Ended(ExitReason::Done) && job.active() && !in_flight {
                complete = spec.kind == JobKind::Gang;
                found.dones.push((id.to_string(), e.task()));
            }
            continue;
        }
        latest = latest.max(e.attempt());
        runs |= s == TaskLiveness::Present(TaskPhase::Running);
        if spec.kind == JobKind::Gang {
            standing.push((e.task(), s));
        }
        let at = hosts.find(m);
        let zone = match at {
            Some(h) => {
                let host = &mut hosts.list[h];
                host.take(&shape.need);
                host.gets(shape.image);
                if l.stop_of(id, e.task()).is_some() {
                    placement::add(&mut host.leaving, &shape.need);
                }
                // A machine that the cloud is about to take: what can save does so now,
                // a gang as a whole.
                let notice = l.agents.get(m).and_then(|w| w.preemption_at);
                let save = grace(job);
                if save > 0.0
                    && notice.is_some_and(|n| n > now + Micros::secs(spec.save_s))
                    && s == TaskLiveness::Present(TaskPhase::Running)
                {
                    let all = match spec.kind {
                        JobKind::Gang => 0..spec.tasks,
                        _ => e.task()..e.task() + 1,
                    };
                    let all = all.map(|t| (id.to_string(), t, save));
                    found.ordered_stops.extend(all);
                }
                let single = spec.kind == JobKind::Array || spec.tasks == 1;
                if spec.kind != JobKind::Service
                    && job.active()
                    && chosen.is_empty()
                    && !in_flight
                    && l.stop_of(id, e.task()).is_none()
                {
                    let order = l.order_of.get(id).and_then(|o| o.get(&e.task()));
                    victims.push(PreemptibleTask {
                        job: id,
                        task: e.task(),
                        host: h,
                        need: shape.need,
                        order: order.copied().unwrap_or(0),
                        backfilled: e.backfilled(),
                        priority,
                        saves: single && spec.saves(),
                        save_s: spec.save_s,
                        team,
                        surplus: !guaranteed,
                        single: spec.kind == JobKind::Array,
                        class: 0,
                        spared: false,
                    });
                }
                host.zone
            }
            None => match l.zone_of(m) {
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
        *used.entry(&spec.class).or_default() += placement::size(all, &shape.need);
        present.push((zone, at));
    }
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
    if spec.kind == JobKind::Gang && !present.is_empty() {
        if lost > 0 {
            found.broken.push((id.to_string(), latest));
            // Members that save on command are left to it.
            let saving = TaskLiveness::Present(TaskPhase::Saving);
            if standing.iter().all(|(_, s)| *s != saving) {
                let all = standing.iter().map(|(t, _)| (id.to_string(), *t, 0.0));
                found.ordered_stops.extend(all);
            }
        }
        return None;
    }
    // A job that fails wherever it is tried waits longer and longer, unless tasks of it do run.
    let trouble = l.troubles.get(id);
    let held_off = trouble.is_some_and(|t| t.again > now) && !runs && job.done_count() == 0;
    // More replicas of a job may be placed while some are being written: if they had to wait, jobs
    // that came later would take their room. Of other jobs an end may be among what is written.
    if (in_flight && spec.kind != JobKind::Service) || held_off {
        return None;
    }
    let avoid = |t: &FailureHistory| t.machines.keys().filter_map(|m| hosts.find(m)).collect();
    let shape = TaskRequirements {
        avoid: trouble.map(avoid).unwrap_or_default(),
        ..shape
    };
    // Zones of tasks nobody can place are unknown: such a job waits.
    if (spec.one_zone || spec.spread) && unknown_zone {
        return None;
    }
    let mut tasks = startable(l, id, job, 2 * PLACES);
    let fails = |t: &FailureHistory| t.jobs_fault() && !(runs && t.quiet(now));
    if spec.kind == JobKind::Array && trouble.is_some_and(fails) {
        tasks.truncate(usize::from(present.is_empty()));
    }
    if tasks.is_empty() {
        return None;
    }
    // What was stopped or has failed was not lost; what went with its machine or its gang was.
    let gone = |t: &u32| {
        job.entry(*t).is_some_and(|e| {
            let s = l.standing(id, e);
            e.machine().is_some()
                && matches!(
                    s,
                    TaskLiveness::Gone | TaskLiveness::Ended(ExitReason::Peers)
                )
        })
    };
    let lost = tasks.iter().filter(|t| gone(t)).count();
    Some(QueueEntry {
        id,
        at: job.rec.at,
        lost: lost as u32,
        spec,
        shape,
        team,
        reach: 0,
        tasks,
        present,
        fetch_s: spec.image_gb / fetch_rate,
        estimate_s: spec.estimate_s,
        priority,
        guaranteed,
        overdue: clock.wall.since(job.released_at) > OVERDUE,
        aged: clock.wall.since(job.released_at) > AGED,
        starved: clock.wall.since(job.released_at) > STARVED,
    })
}

fn unrecorded(l: &LeaderState, cache: &RecordCache, hosts: &mut HostTable, room: &mut Room) {
    for (h, name) in hosts.names.iter().enumerate() {
        let Some(w) = l.agents.get(name) else {
            continue;
        };
        for t in w.tasks.iter().filter(|t| t.phase != TaskPhase::Exited) {
            match cache.jobs.get(&t.job) {
                Some(j) => {
                    let on = |e: &TaskEntry| {
                        (e.task(), e.attempt()) == (t.task, t.attempt) && e.machine().is_some()
                    };
                    let known = j.entry(t.task).is_some_and(on) || l.edits.places(&t.job).any(on);
                    if !known {
                        let s = &j.rec.spec;
                        let need = [s.cpus, s.gpus, s.memory_gb];
                        hosts.list[h].take(&need);
                        if let Some(r) = room.get_mut(&s.team) {
                            r[0] -= s.cpus;
                            r[1] -= s.gpus;
                        }
                    }
                }
                None => hosts.list[h].open = false,
            }
        }
    }
}

/// Jobs that fit into their team's guarantee together with the team's earlier unfinished ones.
fn guaranteed<'a>(s: &Settings, cache: &'a RecordCache) -> HashSet<&'a str> {
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
    let active = cache.jobs.iter().filter(|(_, j)| j.active() && !j.waits());
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

/// Tasks of a job that may start: not done, and on no machine. At most `most` for arrays.
fn startable(l: &LeaderState, id: &str, job: &Job, most: usize) -> Vec<u32> {
    let spec = &job.rec.spec;
    let most = if spec.kind == JobKind::Gang {
        spec.tasks as usize
    } else {
        most
    };
    let mut tasks = Vec::new();
    let chunks = spec.tasks.div_ceil(CHUNK);
    let ended = |e: &TaskEntry| {
        // Its end is on its way to the record.
        l.presumed(id, e, true) || l.standing(id, e) == TaskLiveness::Ended(ExitReason::Done)
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

/// Room is looked for on behalf of this many blocked jobs a pass, first come first: the work of a
/// pass must not grow with the length of the queue times the size of the fleet.
const MAKE_WAY: usize = 8;
const MACHINES_AT_ONCE: usize = 16;

/// What it takes besides saving until a stopped task's place is taken: a stop, a report, a pass, a
/// record and a start.
const STOP_S: f64 = 2.0;

fn team_slots(room: &Room, spec: &JobSpec) -> u32 {
    let Some([cpus, gpus]) = room.get(&spec.team) else {
        return u32::MAX;
    };
    slots(&[*cpus, *gpus, f64::INFINITY], &[spec.cpus, spec.gpus, 0.0])
}

fn take(host: &mut Host, room: &mut Room, item: &QueueEntry<'_>) {
    host.take(&item.shape.need);
    if let Some(r) = room.get_mut(&item.spec.team) {
        r[0] -= item.spec.cpus;
        r[1] -= item.spec.gpus;
    }
    host.gets(item.shape.image);
}

/// Starts what fits, in order; `b_max` is the largest demand seen and is raised here.
fn pass(
    items: &[QueueEntry<'_>],
    hosts: &mut [Host],
    victims: &[PreemptibleTask<'_>],
    room: &mut Room,
    b_max: f64,
    most: usize,
) -> SchedulingPlan {
    let mut plan = SchedulingPlan {
        wide: PLACES as u32 / 2,
        ..SchedulingPlan::default()
    };
    let mut blocked = false;
    let mut later: Vec<&QueueEntry<'_>> = Vec::new();
    let typical = hosts.first().map_or([1.0; 3], |h| h.total);
    let demand =
        |i: &QueueEntry<'_>| i.spec.tasks as f64 * placement::size(&typical, &i.shape.need);
    let mut tries = MAKE_WAY;
    for item in items {
        if plan.places.len() >= most {
            break;
        }
        if blocked && item.spec.kind != JobKind::Service {
            later.push(item);
            continue;
        }
        let before = plan.places.len();
        let ratio = demand(item) / b_max.max(1e-9);
        let short = start(item, hosts, room, ratio, false, victims, &mut plan);
        if short == 0 {
            continue;
        }
        plan.lacks.push((item.id.to_string(), short));
        let presses = item.spec.kind != JobKind::Array || item.guaranteed;
        let singly = item.spec.kind == JobKind::Array;
        if presses && (plan.places.len() == before || singly) && tries > 0 {
            tries -= usize::from(make_way(item, short, hosts, victims, !blocked, &mut plan));
        }
        blocked |= item.spec.kind != JobKind::Service;
    }
    later.sort_by(|a, b| {
        let of = |i: &QueueEntry<'_>| if i.starved { 0.0 } else { i.estimate_s };
        let starved = b.starved.cmp(&a.starved);
        starved.then(of(a).total_cmp(&of(b)))
    });
    let mut topped = false;
    for item in later {
        if plan.places.len() >= most {
            break;
        }
        let ratio = demand(item) / b_max.max(1e-9);
        let short = start(item, hosts, room, ratio, true, victims, &mut plan);
        if short > 0 {
            plan.lacks.push((item.id.to_string(), short));
            let top = item.starved && !topped && item.spec.kind == JobKind::Gang;
            topped |= top;
            if (item.spec.kind == JobKind::Gang || item.guaranteed) && tries > 0 {
                tries -= usize::from(make_way(item, short, hosts, victims, top, &mut plan));
            }
        }
    }
    for (id, first, ratio, backfill) in std::mem::take(&mut plan.cut) {
        let Some(item) = items.iter().find(|i| i.id == id) else {
            continue;
        };
        let left = (2 * most).saturating_sub(plan.places.len());
        let rest = &item.tasks[first as usize..];
        let n = (team_slots(room, item.spec) as usize).min(left);
        let rest = &rest[..n.min(rest.len())];
        spread(item, rest, hosts, room, ratio, backfill, victims, &mut plan);
    }
    plan
}

/// Starts what fits of one job; returns how many tasks found no room (its team's limit aside).
fn start(
    item: &QueueEntry<'_>,
    hosts: &mut [Host],
    room: &mut Room,
    ratio: f64,
    backfill: bool,
    victims: &[PreemptibleTask<'_>],
    plan: &mut SchedulingPlan,
) -> u32 {
    let spec = item.spec;
    let n = item.tasks.len() as u32;
    let may = team_slots(room, spec).min(n);
    if spec.kind == JobKind::Gang {
        if may < n {
            return 0;
        }
        let Some(found) =
            placement::gang(hosts, 0..hosts.len(), item.id, spec, &item.shape, n, ratio)
        else {
            return n;
        };
        for (task, host) in item.tasks.iter().zip(found) {
            take(&mut hosts[host], room, item);
            plan.places
                .push((item.id.to_string(), *task, host, backfill));
        }
        return 0;
    }
    let wide = spec.kind == JobKind::Array && !spec.one_zone && !spec.spread;
    if wide && n as usize >= PLACES {
        let takes = |h: &&Host| may_take(h, item.id, &item.shape.need, &item.shape.allow);
        let free: u32 = hosts
            .iter()
            .filter(takes)
            .map(|h| slots(&h.free, &item.shape.need))
            .sum();
        let share = (free / 2).max(u32::from(item.present.is_empty()).min(free));
        let first = may.min(plan.wide).min(share);
        let tasks = &item.tasks[..first as usize];
        let short = spread(item, tasks, hosts, room, ratio, backfill, victims, plan);
        plan.wide -= first - short;
        let cut = (item.id.to_string(), first - short, ratio, backfill);
        plan.cut.push(cut);
        return may.saturating_sub(free);
    }
    let tasks = &item.tasks[..may as usize];
    spread(item, tasks, hosts, room, ratio, backfill, victims, plan)
}

/// Starts tasks one by one; returns how many found no room.
#[allow(clippy::too_many_arguments)]
fn spread(
    item: &QueueEntry<'_>,
    tasks: &[u32],
    hosts: &mut [Host],
    room: &mut Room,
    ratio: f64,
    backfill: bool,
    victims: &[PreemptibleTask<'_>],
    plan: &mut SchedulingPlan,
) -> u32 {
    let spec = item.spec;
    let service = spec.kind == JobKind::Service;
    let mut zones: Vec<u32> = item.present.iter().map(|(z, _)| *z).collect();
    let half = spec.tasks.div_ceil(2) as usize;
    let has = |i: usize| item.present.iter().any(|(_, m)| *m == Some(i));
    let mut picker = HostPicker::new(
        hosts,
        0..hosts.len(),
        item.id,
        &item.shape,
        ratio,
        service,
        has,
    );
    let mut clearing = None;
    for (k, task) in tasks.iter().enumerate() {
        let fits = |zone: u32| {
            (!spec.one_zone || zones.iter().all(|z| *z == zone))
                && (!spec.spread || zones.iter().filter(|z| **z == zone).count() < half)
        };
        let Some(host) = picker.next(hosts, fits) else {
            return (tasks.len() - k) as u32;
        };
        if service && !hosts[host].has(item.shape.image) {
            let cleared = |h: &&Host| {
                h.reserved.as_deref() == Some(item.id)
                    && slots(&h.free, &item.shape.need) == 0
                    && slots(&h.soon(), &item.shape.need) > 0
            };
            let waits = clearing.get_or_insert_with(|| hosts.iter().filter(cleared).count());
            if *waits > 0 {
                // It starts as soon as its place is clear.
                *waits -= 1;
                picker.back(hosts, host);
                continue;
            }
            if let Some(v) = in_the_way(item, hosts, victims, fits) {
                plan.stops.push((v.job.to_string(), v.task));
                plan.reserved.push((v.host, item.id.to_string()));
                hosts[v.host].reserved = Some(item.id.into());
                zones.push(hosts[v.host].zone);
                picker.back(hosts, host);
                continue;
            }
        }
        take(&mut hosts[host], room, item);
        picker.taken(hosts, host);
        zones.push(hosts[host].zone);
        plan.places
            .push((item.id.to_string(), *task, host, backfill && !service));
    }
    0
}

/// A task of a lower priority, saving and alone, that keeps a replica from a machine with its image,
/// where the replica would start in less than half the time that a fetch takes.
fn in_the_way<'a, 'b>(
    item: &QueueEntry<'_>,
    hosts: &[Host],
    victims: &'a [PreemptibleTask<'b>],
    fits: impl Fn(u32) -> bool,
) -> Option<&'a PreemptibleTask<'b>> {
    let serves = |v: &&PreemptibleTask<'_>| {
        let h = &hosts[v.host];
        let room = || {
            let mut room = h.free;
            placement::add(&mut room, &v.need);
            room
        };
        v.single
            && v.saves
            && v.priority < item.priority
            && item.fetch_s > 2.0 * (v.save_s + STOP_S)
            && h.open
            && h.reserved.is_none()
            && h.has(item.shape.image)
            && slots(&room(), &item.shape.need) > 0
            && item.shape.allow.takes(h.kind, h.zone, h.spot)
            && !item.shape.avoid.contains(&v.host)
            && item.present.iter().all(|(_, m)| *m != Some(v.host))
            && fits(h.zone)
    };
    victims.iter().filter(serves).max_by_key(|v| v.order)
}

/// If a blocked job fits once others are gone, stops those on its room, latest first: what was
/// backfilled, for the job at the top; what has a lower priority, if it can save or makes room for
/// replicas; and what other teams run beyond their guarantees, for a job within its own. The
/// machines are kept for the job until it has started. Tells whether there was anything to weigh.
fn make_way(
    item: &QueueEntry<'_>,
    short: u32,
    hosts: &[Host],
    victims: &[PreemptibleTask<'_>],
    top: bool,
    plan: &mut SchedulingPlan,
) -> bool {
    let service = item.spec.kind == JobKind::Service;
    let gang = item.spec.kind == JobKind::Gang;
    let array = item.spec.kind == JobKind::Array;
    let need = item.shape.need;
    let kept = |h: &&Host| h.reserved.as_deref() == Some(item.id);
    if (gang || !item.guaranteed) && hosts.iter().any(|h| kept(&h)) {
        return false;
    }
    let coming: u32 = hosts
        .iter()
        .filter(kept)
        .map(|h| slots(&h.soon(), &need))
        .sum();
    let mut left = short.saturating_sub(coming);
    if left == 0 {
        return false;
    }
    let may = |v: &&PreemptibleTask<'_>| {
        let lower = v.priority < item.priority && (v.saves || service) && !array;
        // A guarantee is given back by whoever runs beyond their own: at once by single tasks that
        // lose little; by gangs, which stop as a whole, when nothing else has helped.
        let surplus = v.surplus && v.team != item.team && (v.single || item.overdue);
        let owed = item.guaranteed && surplus;
        let aged = gang && item.aged && v.single && !v.spared && v.priority < item.priority;
        hosts[v.host].reserved.is_none()
            && plan.reserved.iter().all(|(h, _)| *h != v.host)
            && ((top && gang && v.backfilled) || lower || owed || aged)
    };
    let victims: Vec<&PreemptibleTask<'_>> = victims.iter().filter(may).collect();
    if victims.is_empty() {
        return false;
    }
    let mut without: Vec<Host> = hosts.to_vec();
    for (h, _) in &plan.reserved {
        without[*h].open = false;
    }
    for v in &victims {
        without[v.host].give(&v.need);
    }
    let mut by_host: BTreeMap<usize, u32> = BTreeMap::new();
    if gang && short > 1 {
        let all = 0..without.len();
        let found = placement::gang(&without, all, item.id, item.spec, &item.shape, short, 1.0);
        for h in found.into_iter().flatten() {
            *by_host.entry(h).or_default() += 1;
        }
    } else {
        // The fullest machines serve, so that as few as possible have to go.
        let mut zones: Vec<u32> = item.present.iter().map(|(z, _)| *z).collect();
        let soon = hosts.iter().filter(kept);
        let soon = soon.filter(|h| slots(&h.soon(), &need) > 0);
        zones.extend(soon.map(|h| h.zone));
        let at_once = if item.guaranteed { MACHINES_AT_ONCE } else { 1 };
        while left > 0 && by_host.len() < at_once {
            let fits = |h: &Host| {
                let in_zone = zones.iter().filter(|z| **z == h.zone).count() as u32;
                let apart = item.spec.one_zone && zones.iter().any(|z| *z != h.zone);
                let crowded = item.spec.spread && in_zone >= item.spec.tasks.div_ceil(2);
                !apart && !crowded
            };
            let lost = |i: usize| (without[i].free[1] - hosts[i].free[1]).max(0.0);
            let best = (0..without.len())
                .filter(|i| {
                    !by_host.contains_key(i)
                        && fits(&without[*i])
                        && may_take(&without[*i], item.id, &need, &item.shape.allow)
                })
                .min_by(|a, b| {
                    let image = |i: usize| !without[i].has(item.shape.image);
                    (lost(*a), image(*a))
                        .partial_cmp(&(lost(*b), image(*b)))
                        .unwrap_or(std::cmp::Ordering::Equal)
                });
            let Some(h) = best else { break };
            let most = if array { left } else { 1 };
            let n = slots(&without[h].free, &need).min(most);
            zones.push(without[h].zone);
            by_host.insert(h, n);
            left -= n;
        }
    }
    for (h, n) in by_host {
        let mut free = hosts[h].free;
        let mut here: Vec<&&PreemptibleTask<'_>> = victims.iter().filter(|v| v.host == h).collect();
        here.sort_by_key(|v| std::cmp::Reverse(v.order));
        for v in here {
            if slots(&free, &need) >= n {
                break;
            }
            placement::add(&mut free, &v.need);
            plan.stops.push((v.job.to_string(), v.task));
        }
        plan.reserved.push((h, item.id.to_string()));
    }
    true
}
