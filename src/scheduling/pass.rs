//! One pass: the fleet and the queue as they stand, put before the pure `backfill::pass`, and what it
//! decides turned into wanted records, stops and rentals. `decide` looks and changes nothing but what
//! is kept from pass to pass to spare work; `Controller::pass` acts on it.

use crate::agents::leader_state::{LeaderState, grace};
use crate::cloud::autoscaler::{self, CapacityDemand, DemandSource as _, ScalingPlan};
use crate::controller::Controller;
use crate::policy::Policy;
use crate::protocol::Clock;
use crate::protocol::records::TaskEntry;
use crate::protocol::{JobKind, JobSpec, Micros, Settings};
use crate::scheduling::backfill::{self, PLACES, QueueCandidate, QueueEntry};
use crate::scheduling::capacity_index::CapacityIndex;
use crate::scheduling::cluster_snapshot::{
    self, ClusterSnapshot, ImageAvailability, SnapshotBuilder,
};
use crate::scheduling::job_queue::JobQueue;
use crate::scheduling::pending_jobs::{PendingJobs, SchedulingContext};
use crate::scheduling::placement::add;
use crate::scheduling::priority_inheritance::InheritedPriorities;
use crate::scheduling::quota::QuotaTracker;
use crate::scheduling::recovery::Recovery;
use crate::state::record_cache::{Job, RecordCache};
use foldhash::{HashMap, HashMapExt};
use std::collections::HashSet;

/// Room made for a job is kept for it this long; stops take a save and a report or two.
const RESERVED: Micros = Micros::millis(20_000);
/// A stop that was wanted this long ago is decided on anew.
const FORGIVE: Micros = Micros::millis(60_000);
/// Orders of starts are remembered for this many jobs.
const ORDERS: usize = 5_000;

/// A start that was decided on, by the machine's name and session.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStart {
    /// Job.
    pub job: String,
    /// Task.
    pub task: u32,
    /// Machine.
    pub machine: String,
    /// The agent's session.
    pub agent_epoch: u64,
    /// Ahead of an earlier job.
    pub backfilled: bool,
}

/// What a pass decided.
#[derive(Debug, Default)]
pub struct PassDecision {
    /// Tasks to start.
    pub starts: Vec<TaskStart>,
    /// Tasks to be stopped to make room: job and task.
    pub stops: Vec<(String, u32)>,
    /// Machines on which room is being made, and for which job.
    pub reserved: Vec<(String, String)>,
    /// How many jobs found no room.
    pub lacks: usize,
    /// The largest demand seen.
    pub b_max: f64,
    /// What else was found.
    pub found: ClusterSnapshot,
    /// Machines to rent and to return.
    pub fleet: ScalingPlan,
    /// Jobs with tasks to start.
    pub waiting: usize,
    /// Machines.
    pub machines: usize,
}

/// What the leader keeps from pass to pass. It all follows from records and reports.
#[derive(Default)]
pub struct PassState {
    /// The queue.
    pub backlog: JobQueue,
    images: ImageAvailability,
}

impl PassState {
    /// Made anew from the records, if it was never made, or holds what is long gone.
    fn refresh(&mut self, cache: &RecordCache) {
        if self.backlog.stale() {
            self.backlog = JobQueue::build(cache.jobs.iter());
            self.images.forget();
        }
    }
}

/// Looks up what lacks room.
struct DemandSource<'p, 'a> {
    near: &'p [QueueEntry<'a>],
    far: &'p PendingJobs<'a>,
    /// Zones of what this pass has placed, of jobs for which that matters.
    placed: HashMap<&'p str, Vec<u32>>,
    zones: &'p [u32],
}

impl DemandSource<'_, '_> {
    /// The only zones in which further tasks of a job may be; none: any. Machines rented elsewhere would never get
    /// them, and keep those that they need from being rented.
    fn bound(
        &self,
        id: &str,
        spec: &JobSpec,
        present: &[(u32, Option<usize>)],
    ) -> Option<Vec<u32>> {
        if !spec.zoned() {
            return None;
        }
        let placed = self.placed.get(id).into_iter().flatten();
        let all: Vec<u32> = present
            .iter()
            .map(|(z, _)| z)
            .chain(placed)
            .copied()
            .collect();
        let half = spec.tasks.div_ceil(2) as usize;
        let open = |zone: &u32| {
            let here = all.iter().filter(|z| *z == zone).count();
            (!spec.one_zone || here == all.len()) && (!spec.spread || here < half)
        };
        (!all.is_empty()).then(|| self.zones.iter().copied().filter(open).collect())
    }
}

impl<'a> autoscaler::DemandSource<'a> for DemandSource<'_, 'a> {
    fn need<'n>(&'n self, of: QueueCandidate<'n>) -> CapacityDemand<'n> {
        match of {
            QueueCandidate::Near(n) => {
                let item = &self.near[n];
                CapacityDemand {
                    gang: item.spec.kind == JobKind::Gang,
                    reach: item.reach,
                    need: &item.shape.need,
                    allow: &item.shape.allow,
                    zones: self.bound(item.id, item.spec, &item.present),
                }
            }
            QueueCandidate::PendingJobs(brief) => {
                let form = self.far.form_of(brief);
                CapacityDemand {
                    gang: form.kind == JobKind::Gang,
                    reach: form.reach,
                    need: &brief.need,
                    allow: &form.allow,
                    zones: form
                        .zoned
                        .then(|| self.far.job_of(brief))
                        .flatten()
                        .and_then(|(id, job)| self.bound(id, &job.rec.spec, &[])),
                }
            }
        }
    }

    fn job(&self, of: QueueCandidate<'_>) -> Option<(&'a String, &'a Job)> {
        match of {
            QueueCandidate::Near(n) => self.far.job(self.near[n].id),
            QueueCandidate::PendingJobs(brief) => self.far.job_of(brief),
        }
    }
}

/// Decides on one pass. `told`: takes what found no room, in order, as jobs and numbers of tasks.
pub fn decide(
    l: &LeaderState,
    kept: &mut PassState,
    cache: &RecordCache,
    settings: &Settings,
    policy: &Policy,
    clock: Clock,
    mut told: Option<&mut Vec<(String, u32)>>,
) -> PassDecision {
    kept.refresh(cache);
    let now = clock.now;
    let mut names = std::mem::take(&mut kept.backlog.names);
    let hosts = cluster_snapshot::hosts(
        l,
        settings,
        policy,
        cache,
        &mut names,
        &mut kept.images,
        now,
    );
    let mut room = QuotaTracker::default();
    for t in &settings.params.teams {
        let most = |v: f64| if v > 0.0 { v } else { f64::INFINITY };
        room.limit(names.id(&t.name), [most(t.cpus_max), most(t.gpus_max)]);
    }
    autoscaler::name_zones(l, cache, &mut names);
    kept.backlog.names = names;
    let typical = hosts.list.first().map_or([1.0; 3], |h| h.total);
    let b_max = l.b_max.max(kept.backlog.largest(typical));
    let rates = cache.types.iter().flatten().map(|t| t.fetch_gb_per_s);
    let scene = SchedulingContext {
        backlog: &kept.backlog,
        jobs: &cache.jobs,
        within: kept.backlog.within(&settings.params.teams),
        lifted: InheritedPriorities::new(cache),
        fetch_rate: rates.fold(f64::INFINITY, f64::min).max(1e-3),
        wall: clock.wall,
    };
    let mut all = [0.0; 3];
    for h in &hosts.list {
        add(&mut all, &h.total);
    }
    let mut survey = SnapshotBuilder {
        leader: l,
        scene: &scene,
        clock,
        hosts,
        room,
        all,
        used: HashMap::new(),
        victims: Vec::new(),
        items: Vec::new(),
        near: Vec::new(),
        found: ClusterSnapshot::default(),
    };
    survey.all();
    let SnapshotBuilder {
        mut hosts,
        mut room,
        mut victims,
        used,
        items: mut near,
        near: slots,
        found,
        ..
    } = survey;
    Recovery::order(&mut near);
    let waiting: HashSet<&str> = near.iter().map(|i| i.id).collect();
    for h in &mut hosts.list {
        // Those for whom room is made are all among the near ones.
        if h.reserved.as_ref().is_some_and(|j| !waiting.contains(&**j)) {
            h.reserved = None;
        }
    }
    let mut rooms = CapacityIndex::new(std::mem::take(&mut hosts.list));
    let learnt = l.learnt(settings, now);
    if !learnt {
        victims.clear();
    }
    backfill::spare(&mut victims, &used);
    let far = PendingJobs::new(&scene, slots.into_iter());
    let plan = backfill::pass(&near, &far, &mut rooms, &victims, &mut room, b_max);
    let mut placed: HashMap<&str, Vec<u32>> = HashMap::new();
    let places = plan.places.iter().filter(|_| !plan.lacks.is_empty());
    for p in places {
        placed.entry(&p.job).or_default().push(rooms[p.host].zone);
    }
    let zones = cache.types.iter().flatten().flat_map(|t| &t.zones);
    let mut zones: Vec<u32> = zones.filter_map(|z| scene.backlog.names.find(z)).collect();
    zones.sort_unstable();
    zones.dedup();
    let wants = DemandSource {
        near: &near,
        far: &far,
        placed,
        zones: &zones,
    };
    if let Some(told) = &mut told {
        let all = plan.lacks.iter();
        let named = all.filter_map(|l| Some((wants.job(l.of)?.0.clone(), l.tasks)));
        told.extend(named);
    }
    let sight = autoscaler::FleetSnapshot {
        leader: l,
        cache,
        settings,
        policy,
        clock,
        hosts: &hosts,
        rooms: &rooms,
        learnt,
    };
    let fleet = autoscaler::plan(&sight, &scene.backlog.names, &wants, &plan.lacks);
    let start = |p: backfill::TaskPlacement| TaskStart {
        machine: hosts.names[p.host].to_string(),
        agent_epoch: rooms[p.host].agent_epoch,
        job: p.job,
        task: p.task,
        backfilled: p.backfilled,
    };
    let reserved = plan.reserved.into_iter();
    // A record that cannot be read may hold another place, or the end; nothing could be written beside it.
    let readable = |p: &backfill::TaskPlacement| !cache.is_unreadable(&p.job);
    let places = plan.places.into_iter().filter(readable);
    let decision = PassDecision {
        starts: places.map(start).collect(),
        stops: plan.stops,
        reserved: reserved
            .map(|(h, id)| (hosts.names[h].to_string(), id))
            .collect(),
        lacks: plan.lacks.len(),
        b_max,
        found,
        fleet,
        waiting: near.len() + far.count(),
        machines: rooms.len(),
    };
    kept.backlog.settle();
    decision
}

impl Controller {
    /// A pass over the queue and the fleet.
    pub fn pass(&mut self, clock: Clock) {
        self.on_changed_jobs();
        let Some(l) = &mut self.leader else { return };
        let now = clock.now;
        l.forgive(now);
        let mut kept = std::mem::take(&mut l.kept);
        let decision = decide(
            l,
            &mut kept,
            &self.cache,
            &self.settings,
            &self.policy,
            clock,
            None,
        );
        if cfg!(debug_assertions) {
            let counted = kept.backlog.recount(self.cache.jobs.iter());
            debug_assert_eq!(counted, Ok(()));
        }
        l.kept = kept;
        let PassDecision {
            starts,
            stops,
            reserved,
            lacks,
            b_max,
            mut found,
            fleet,
            waiting,
            machines,
        } = decision;
        l.b_max = b_max;
        l.dirty |= found.held_off;
        if let Some(told) = l.recovery.observe(now, found.lost, found.placed) {
            log::info!("{told}");
        }
        log::debug!(
            "pass: {waiting} jobs wait, {} starts, {} stops, {lacks} lack room, {machines} machines",
            starts.len(),
            stops.len(),
        );
        if starts.len() >= PLACES {
            l.dirty = true;
        }
        l.broken_gangs.extend(found.broken);
        for (id, task) in stops {
            if let Some(job) = self.cache.jobs.get(&id) {
                log::info!("{id}/{task}: stopped to make room");
                let all = match job.rec.spec.kind {
                    // A gang stops as a whole.
                    JobKind::Gang => 0..job.rec.spec.tasks,
                    _ => task..task + 1,
                };
                let g = grace(job);
                found.stops.extend(all.map(|t| (id.clone(), t, g)));
            }
        }
        l.reserved.retain(|_, (_, until)| *until > now);
        for (machine, id) in reserved {
            l.reserved.insert(machine, (id, now + RESERVED));
        }
        record(l, &self.cache, starts, now);
        for id in found.cleans {
            l.edits.pending_write_mut(&id, now).clean = true;
        }
        for (id, task) in found.dones {
            if let Some(job) = self.cache.jobs.get(&id) {
                let edit = l.edits.pending_write_mut(&id, now);
                match job.rec.spec.kind {
                    JobKind::Gang => edit.done.extend(0..job.rec.spec.tasks),
                    _ => _ = edit.done.insert(task),
                }
            }
        }
        for (id, task, g) in found.stops {
            if let Some(job) = self.cache.jobs.get(&id)
                && let Some(m) = job.entry(task).and_then(TaskEntry::machine)
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
        let jobs = &self.cache.jobs;
        l.broken_gangs.retain(|id, _| jobs.contains_key(id));
        if l.order_of.len() > ORDERS {
            l.order_of.retain(|id, _| jobs.contains_key(id));
        }
        self.apply_fleet(fleet);
    }
}

/// Turns starts into wanted records.
fn record(l: &mut LeaderState, cache: &RecordCache, starts: Vec<TaskStart>, now: Micros) {
    for s in starts {
        let Some(job) = cache.jobs.get(&s.job) else {
            continue;
        };
        let attempt = if job.rec.spec.kind == JobKind::Gang {
            job.entries().map(TaskEntry::attempt).max().unwrap_or(0)
        } else {
            job.entry(s.task).map_or(0, TaskEntry::attempt)
        } + 1;
        log::debug!(
            "{}/{} attempt {attempt} goes to {}{} with {}",
            s.job,
            s.task,
            s.machine,
            if s.backfilled { ", backfilled" } else { "" },
            job.rec.spec.image
        );
        l.started += 1;
        let order = l.order_of.entry(s.job.clone()).or_default();
        order.insert(s.task, l.started);
        if let Some(of) = l.stopping.get_mut(&s.job) {
            of.remove(&s.task);
        }
        let entry = TaskEntry(
            s.task,
            attempt,
            s.machine,
            s.agent_epoch,
            l.term,
            s.backfilled,
        );
        l.edits.pending_write_mut(&s.job, now).places.push(entry);
    }
}
