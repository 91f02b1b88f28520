//! One pass of BgMBFSDF over the arrival-ordered queue (the paper's algorithm 2).
//!
//! The pass meets two sorts of jobs. Those near have something placed, being written or in trouble; each
//! is looked into. Those far have nothing anywhere, and there may be any number of them: a pass walks
//! past them in the same order, and looks into one only if there may be room for it. What one of them
//! looked for in vain is not looked for again on behalf of the next.

use crate::protocol::{JobKind, JobSpec, Micros, Priority};
use crate::scheduling::capacity_index::{CapacityIndex, InfeasibleRequests};
use crate::scheduling::job_queue::JobSummary;
use crate::scheduling::pending_jobs::{BackfillOrder, PendingJobs, rank};
use crate::scheduling::placement::{self, Host, HostPicker, Resources, TaskRequirements, slots};
use crate::scheduling::preemption::{EvictionPlan, PreemptionRequest, in_the_way, make_way};
use crate::scheduling::quota::QuotaTracker;
use crate::scheduling::recovery::Recovery;
use foldhash::HashMap;

/// A job with tasks to start.
#[derive(Debug)]
pub struct QueueEntry<'a> {
    /// Job id.
    pub id: &'a str,
    /// When it was accepted.
    pub at: Micros,
    /// The job.
    pub spec: &'a JobSpec,
    /// The same, in numbers.
    pub shape: TaskRequirements,
    /// Its team, by name.
    pub team: u32,
    /// Jobs with the same number find room in the same places.
    pub reach: u32,
    /// How many of its tasks have lost a place.
    pub lost: u32,
    /// Tasks that may start (for a gang: all, or nothing is done).
    pub tasks: Vec<u32>,
    /// Where its other tasks are presumed: zone, and the machine if it is among the hosts.
    pub present: Vec<(u32, Option<usize>)>,
    /// How long a machine takes to fetch its image.
    pub fetch_s: f64,
    /// Estimated run time, corrected by what was observed.
    pub estimate_s: f64,
    /// The highest priority of the job and of those that need it.
    pub priority: Priority,
    /// Fits its team's guarantee together with the team's earlier unfinished jobs.
    pub guaranteed: bool,
    /// Has waited so long that even gangs beyond another team's guarantee give way.
    pub overdue: bool,
    /// Has waited so long that a gang takes the place of what cannot save.
    pub aged: bool,
    /// Has waited so long that shorter jobs no longer come first.
    pub starved: bool,
}

impl<'a> QueueEntry<'a> {
    fn rank(&self) -> BackfillOrder<'a> {
        rank(self.starved, self.estimate_s, (self.at, self.id))
    }
}

/// A running task that may have to make room.
#[derive(Debug, Clone, PartialEq)]
pub struct PreemptibleTask<'a> {
    /// Job.
    pub job: &'a str,
    /// Task.
    pub task: u32,
    /// Index of its machine.
    pub host: usize,
    /// What it takes.
    pub need: Resources,
    /// Order of its start; later is larger.
    pub order: u64,
    /// Started ahead of an earlier job.
    pub backfilled: bool,
    /// The highest priority of its job and of those that need it.
    pub priority: Priority,
    /// It can save when it is stopped, so little is lost.
    pub saves: bool,
    /// How long it takes to save.
    pub save_s: f64,
    /// Its team, by name.
    pub team: u32,
    /// Runs beyond its team's guarantee.
    pub surplus: bool,
    /// Stops alone.
    pub single: bool,
    /// Its class, by name.
    pub class: u32,
    /// Its class has so little of the room that it gives none of it up to what has merely waited long.
    pub spared: bool,
}

/// A class that has no more than this part of the machines is spared.
const SPARED: f64 = 0.1;

/// Marks the victims of classes that have little. `used`: by class, what its tasks take, each as the
/// part of all machines that is scarcest for it.
pub fn spare(victims: &mut [PreemptibleTask<'_>], used: &HashMap<u32, f64>) {
    for v in victims {
        v.spared = used.get(&v.class).is_none_or(|u| *u <= SPARED);
    }
}

/// A start that the pass decided on.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskPlacement {
    /// Job.
    pub job: String,
    /// Task.
    pub task: u32,
    /// Index of the machine.
    pub host: usize,
    /// Ahead of an earlier job.
    pub backfilled: bool,
}

/// A job that a pass has met.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QueueCandidate<'a> {
    /// Number among those near.
    Near(usize),
    /// One far.
    PendingJobs(&'a JobSummary),
}

/// Room that could not be found.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnmetDemand<'a> {
    /// Job.
    pub of: QueueCandidate<'a>,
    /// How many tasks.
    pub tasks: u32,
}

/// What a pass decided.
#[derive(Debug, Default)]
pub struct SchedulingPlan<'a> {
    /// Tasks to start.
    pub places: Vec<TaskPlacement>,
    /// Tasks to stop: job and task.
    pub stops: Vec<(String, u32)>,
    /// Machines on which room is being made, and for which job.
    pub reserved: Vec<(usize, String)>,
    /// What found no room, in the order in which it was met.
    pub lacks: Vec<UnmetDemand<'a>>,
}

/// Most places of one pass; a gang may exceed it.
pub const PLACES: usize = 128;

/// Arrays with a pass's worth of tasks to start take no more than this between them until all others
/// have been met: one of 25,000 short tasks held up everybody for minutes.
const WIDE_PLACES: u32 = PLACES as u32 / 2;

/// With what they take afterwards a pass places no more than this.
pub const WIDE_MOST: usize = 2 * PLACES;

/// Room is looked for on behalf of this many blocked jobs a pass, first come first: the work of a
/// pass must not grow with the length of the queue times the size of the fleet.
const MAKE_WAY: usize = 8;

/// A wide array that is gone on with when all others have been met.
struct Cut<'a> {
    met: QueueCandidate<'a>,
    /// Tasks that have been seen to.
    first: u32,
    backfill: bool,
}

/// A pass on its way.
struct Pass<'p, 'a> {
    far: &'p PendingJobs<'a>,
    rooms: &'p mut CapacityIndex,
    victims: &'p [PreemptibleTask<'a>],
    /// Victims that stop alone and save.
    savers: Vec<&'p PreemptibleTask<'a>>,
    room: &'p mut QuotaTracker,
    typical: Resources,
    b_max: f64,
    tries: usize,
    /// What has found no room, by reach.
    vain: Vec<InfeasibleRequests>,
    /// Claims to which nothing gives way.
    hopeless: Vec<PreemptionRequest>,
    /// What wide arrays may still take before all others have been met.
    wide: u32,
    /// Wide arrays of which more could be started, and whether it would be backfilled.
    cut: Vec<Cut<'a>>,
    plan: SchedulingPlan<'a>,
}

/// Starts what fits, in order. `near`: in the order of `Recovery::order`; `b_max`: the largest demand
/// seen, that of all these jobs included.
pub fn pass<'a>(
    near: &[QueueEntry<'a>],
    far: &PendingJobs<'a>,
    rooms: &mut CapacityIndex,
    victims: &[PreemptibleTask<'a>],
    room: &mut QuotaTracker,
    b_max: f64,
) -> SchedulingPlan<'a> {
    let mut p = Pass {
        far,
        typical: rooms.first().map_or([1.0; 3], |h| h.total),
        rooms,
        victims,
        savers: victims.iter().filter(|v| v.single && v.saves).collect(),
        room,
        b_max: b_max.max(1e-9),
        tries: MAKE_WAY,
        vain: vec![InfeasibleRequests::default(); far.reaches()],
        hopeless: Vec::new(),
        wide: WIDE_PLACES,
        cut: Vec::new(),
        plan: SchedulingPlan::default(),
    };
    p.walk(near);
    p.widen(near);
    p.plan
}

impl<'a> Pass<'_, 'a> {
    fn full(&self) -> bool {
        self.plan.places.len() >= PLACES
    }

    fn ratio(&self, tasks: u32, need: &Resources) -> f64 {
        tasks as f64 * placement::size(&self.typical, need) / self.b_max
    }

    fn walk(&mut self, near: &[QueueEntry<'a>]) {
        let far = self.far;
        let mut replicas = far.replicas().peekable();
        let mut others = far.others().peekable();
        let mut here = near.iter().enumerate().peekable();
        // The first gang or array that did not fit, by its arrival; later ones come afterwards.
        let mut blocked: Option<(Micros, &str)> = None;
        let mut later: Vec<(usize, &QueueEntry<'a>)> = Vec::new();
        loop {
            if self.full() {
                return;
            }
            let replica = replicas.peek().map(|(at, _)| *at);
            let other = others.peek().map(|(at, _)| *at);
            let other = other.filter(|_| blocked.is_none());
            let first = [replica, other].into_iter().flatten().min();
            let next = match here.peek() {
                Some((_, i)) if Recovery::first(i) => here.next(),
                Some((_, i)) if first.is_none_or(|f| (i.at, i.id) < f) => here.next(),
                _ if first.is_none() => break,
                _ => None,
            };
            let (met, at, service, short, placed) = if let Some((n, item)) = next {
                let service = item.spec.kind == JobKind::Service;
                if blocked.is_some() && !service {
                    later.push((n, item));
                    continue;
                }
                let before = self.plan.places.len();
                let short = self.start(QueueCandidate::Near(n), item, false);
                let placed = self.plan.places.len() > before;
                (
                    QueueCandidate::Near(n),
                    (item.at, item.id),
                    service,
                    short,
                    placed,
                )
            } else {
                let service = first == replica;
                let row = if service {
                    replicas.next()
                } else {
                    others.next()
                };
                let Some((at, brief)) = row else { break };
                let before = self.plan.places.len();
                let short = self.visit(brief, false);
                let placed = self.plan.places.len() > before;
                (
                    QueueCandidate::PendingJobs(brief),
                    at,
                    service,
                    short,
                    placed,
                )
            };
            if short == 0 {
                continue;
            }
            self.plan.lacks.push(UnmetDemand {
                of: met,
                tasks: short,
            });
            // Each task of an array starts for itself, wherever the others are.
            if !placed || self.kind(near, met) == JobKind::Array {
                self.press(near, met, at, short, blocked.is_none(), false);
            }
            if !service && blocked.is_none() {
                blocked = Some(at);
            }
        }
        let Some(blocked) = blocked else { return };
        later.sort_by(|(_, a), (_, b)| a.rank().order(&b.rank()));
        let mut later = later.into_iter().peekable();
        let mut rows = far.backfilled().filter(|(r, _)| r.at > blocked);
        let mut row = rows.next();
        let mut topped = false;
        while !self.full() {
            let ours = later.peek().map(|(_, i)| i.rank());
            let near_first = match (ours, &row) {
                (None, None) => break,
                (Some(_), None) => true,
                (None, Some(_)) => false,
                (Some(a), Some((b, _))) => a.order(b).is_lt(),
            };
            let (met, r, short) = if near_first {
                let Some((n, item)) = later.next() else { break };
                let met = QueueCandidate::Near(n);
                (met, item.rank(), self.start(met, item, true))
            } else {
                let Some((r, brief)) = row else { break };
                row = rows.next();
                (
                    QueueCandidate::PendingJobs(brief),
                    r,
                    self.visit(brief, true),
                )
            };
            if short > 0 {
                self.plan.lacks.push(UnmetDemand {
                    of: met,
                    tasks: short,
                });
                // Behind a job that never fits as a whole, such as a guest's very wide array, nobody else would
                // ever be at the top.
                let first = r.starved && !topped && self.kind(near, met) == JobKind::Gang;
                topped |= first;
                self.press(near, met, r.at, short, first, true);
            }
        }
    }

    /// Starts what fits of a job far; returns how many tasks found no room, its team's limit aside.
    fn visit(&mut self, row: &'a JobSummary, backfill: bool) -> u32 {
        let form = self.far.form_of(row);
        let gang = form.kind == JobKind::Gang;
        let n = far_tasks(gang, row);
        let may = self.room.slots(form.team, &row.need).min(n);
        if may == 0 || (gang && may < n) {
            return 0;
        }
        // Single tasks look for room one by one.
        let many = if gang { n } else { 1 };
        let vain = &mut self.vain[form.reach as usize];
        let none = vain.covers(&row.need, many) || {
            let none = !self.rooms.any(&row.need, &form.allow);
            if none {
                vain.add(&row.need, 1);
            }
            none
        };
        let may_be_wide = form.kind == JobKind::Array && n >= PLACES as u32;
        if none && !may_be_wide {
            return may;
        }
        let Some(item) = self.far.item(row) else {
            return 0;
        };
        let short = self.start(QueueCandidate::PendingJobs(row), &item, backfill);
        if gang && short > 0 {
            self.vain[form.reach as usize].add(&row.need, n);
        }
        short
    }

    /// The kind of a job.
    fn kind(&self, near: &[QueueEntry<'a>], met: QueueCandidate<'a>) -> JobKind {
        match met {
            QueueCandidate::Near(n) => near[n].spec.kind,
            QueueCandidate::PendingJobs(brief) => self.far.form_of(brief).kind,
        }
    }

    /// A job as a pass handles it; one far is `made` for that.
    fn item<'i>(
        &self,
        near: &'i [QueueEntry<'a>],
        met: QueueCandidate<'a>,
        made: &'i mut Option<QueueEntry<'a>>,
    ) -> Option<&'i QueueEntry<'a>> {
        match met {
            QueueCandidate::Near(n) => Some(&near[n]),
            QueueCandidate::PendingJobs(brief) => {
                *made = self.far.item(brief);
                made.as_ref()
            }
        }
    }

    /// Makes way for a blocked job, if it is one of those that press and something may give way; `short`
    /// of its tasks have found no room.
    fn press(
        &mut self,
        near: &[QueueEntry<'a>],
        met: QueueCandidate<'a>,
        at: (Micros, &str),
        short: u32,
        top: bool,
        later: bool,
    ) {
        if self.tries == 0 || self.victims.is_empty() {
            return;
        }
        let presses = |kind: JobKind, guaranteed: bool| match kind {
            JobKind::Gang => true,
            JobKind::Service => !later || guaranteed,
            JobKind::Array => guaranteed,
        };
        let kind = self.kind(near, met);
        let guaranteed = match met {
            QueueCandidate::Near(n) => near[n].guaranteed,
            QueueCandidate::PendingJobs(brief) => {
                self.far.guaranteed(self.far.form_of(brief).team, at)
            }
        };
        if !presses(kind, guaranteed) {
            return;
        }
        let claim = match met {
            QueueCandidate::Near(n) => PreemptionRequest::of(&near[n], top),
            QueueCandidate::PendingJobs(brief) => {
                let form = self.far.form_of(brief);
                PreemptionRequest {
                    kind,
                    priority: self.far.priority(form, at.1),
                    team: form.team,
                    guaranteed,
                    overdue: guaranteed && self.far.overdue(brief),
                    aged: kind == JobKind::Gang && self.far.aged(brief),
                    top,
                }
            }
        };
        if self.hopeless.contains(&claim) {
            return;
        }
        let mut made = None;
        let Some(item) = self.item(near, met, &mut made) else {
            return;
        };
        match make_way(
            item,
            short,
            &claim,
            self.rooms,
            self.victims,
            &mut self.plan,
        ) {
            EvictionPlan::PassState => {}
            // What gives way to nobody now will not do so later in this pass.
            EvictionPlan::None => self.hopeless.push(claim),
            EvictionPlan::Weighed => self.tries -= 1,
        }
    }

    fn take(&mut self, host: usize, item: &QueueEntry<'_>) {
        self.rooms.take(host, &item.shape.need);
        self.room.take(item.team, &item.shape.need);
        self.rooms.gets(host, item.shape.image);
    }

    /// Starts what fits of one job; returns how many tasks found no room, its team's limit aside.
    fn start(&mut self, met: QueueCandidate<'a>, item: &QueueEntry<'_>, backfill: bool) -> u32 {
        let spec = item.spec;
        let n = item.tasks.len() as u32;
        let may = self.room.slots(item.team, &item.shape.need).min(n);
        if spec.kind == JobKind::Array && !spec.one_zone && !spec.spread && n >= PLACES as u32 {
            let (free, share) = self.share(item);
            let first = may.min(self.wide).min(share);
            let short = self.spread(item, &item.tasks[..first as usize], backfill);
            self.wide -= first - short;
            self.cut.push(Cut {
                met,
                first: first - short,
                backfill,
            });
            return may.saturating_sub(free);
        }
        if spec.kind == JobKind::Gang {
            let shape = &item.shape;
            let ratio = self.ratio(spec.tasks, &shape.need);
            if may < n {
                return 0;
            }
            let all = self.rooms.candidates(item.id, &shape.need, &shape.allow);
            let all = all.into_iter();
            let Some(found) = placement::gang(self.rooms, all, item.id, spec, shape, n, ratio)
            else {
                return n;
            };
            for (task, host) in item.tasks.iter().zip(found) {
                self.take(host, item);
                self.plan.places.push(TaskPlacement {
                    job: item.id.to_string(),
                    task: *task,
                    host,
                    backfilled: backfill,
                });
            }
            return 0;
        }
        self.spread(item, &item.tasks[..may as usize], backfill)
    }

    /// What a wide array takes of the room that is free before all others have been met: half, or it would take
    /// each place that falls free ahead of them for as long as it lasts; and one place to begin with. Returns that
    /// after all the room.
    fn share(&self, item: &QueueEntry<'_>) -> (u32, u32) {
        let (need, allow) = (&item.shape.need, &item.shape.allow);
        let all = self.rooms.candidates(item.id, need, allow);
        let all = all.into_iter().map(|h| slots(&self.rooms[h].free, need));
        let free: u32 = all.sum();
        let half = (free / 2).max(u32::from(item.present.is_empty()).min(free));
        (free, half)
    }

    /// Goes on with wide arrays once all others have been met.
    fn widen(&mut self, near: &[QueueEntry<'a>]) {
        for Cut {
            met,
            first,
            backfill,
        } in std::mem::take(&mut self.cut)
        {
            let mut made = None;
            let Some(item) = self.item(near, met, &mut made) else {
                continue;
            };
            let rest = &item.tasks[first as usize..];
            let may = self.room.slots(item.team, &item.shape.need);
            let left = WIDE_MOST.saturating_sub(self.plan.places.len()) as u32;
            let n = may.min(left).min(rest.len() as u32);
            self.spread(item, &rest[..n as usize], backfill);
        }
    }

    /// Starts tasks one by one; returns how many found no room.
    fn spread(&mut self, item: &QueueEntry<'_>, tasks: &[u32], backfill: bool) -> u32 {
        let spec = item.spec;
        let shape = &item.shape;
        let ratio = self.ratio(spec.tasks, &shape.need);
        let may = tasks.len() as u32;
        let service = spec.kind == JobKind::Service;
        let mut zones: Vec<u32> = item.present.iter().map(|(z, _)| *z).collect();
        let half = spec.tasks.div_ceil(2) as usize;
        let has = |i: usize| item.present.iter().any(|(_, m)| *m == Some(i));
        let all = self.rooms.candidates(item.id, &shape.need, &shape.allow);
        let all = all.into_iter();
        let mut picker = HostPicker::new(self.rooms, all, item.id, shape, ratio, service, has);
        let mut clearing = None;
        for (k, task) in tasks.iter().enumerate() {
            let fits = |zone: u32| {
                (!spec.one_zone || zones.iter().all(|z| *z == zone))
                    && (!spec.spread || zones.iter().filter(|z| **z == zone).count() < half)
            };
            let Some(host) = picker.next(self.rooms, fits) else {
                return may - k as u32;
            };
            if service && !self.rooms[host].has(shape.image) {
                // Not one that the job's own tasks have filled.
                let cleared = |h: &&Host| {
                    h.reserved.as_deref() == Some(item.id)
                        && slots(&h.free, &shape.need) == 0
                        && slots(&h.soon(), &shape.need) > 0
                };
                let count = || self.rooms.iter().filter(cleared).count();
                let waits = clearing.get_or_insert_with(count);
                if *waits > 0 {
                    // It starts as soon as its place is clear.
                    *waits -= 1;
                    picker.back(self.rooms, host);
                    continue;
                }
                if let Some(v) = in_the_way(item, self.rooms, &self.savers, fits) {
                    self.plan.stops.push((v.job.to_string(), v.task));
                    self.plan.reserved.push((v.host, item.id.to_string()));
                    self.rooms.reserve(v.host, item.id);
                    zones.push(self.rooms[v.host].zone);
                    picker.back(self.rooms, host);
                    continue;
                }
            }
            self.take(host, item);
            picker.taken(self.rooms, host);
            zones.push(self.rooms[host].zone);
            self.plan.places.push(TaskPlacement {
                job: item.id.to_string(),
                task: *task,
                host,
                backfilled: backfill && !service,
            });
        }
        0
    }
}

/// How many tasks of a job far a pass would start.
pub fn far_tasks(gang: bool, row: &JobSummary) -> u32 {
    if gang {
        row.left
    } else {
        row.left.min(WIDE_MOST as u32)
    }
}

#[cfg(test)]
mod tests;
