//! AdaBa: which machines a job's tasks go to (the paper's equation 7 and algorithm 1).
//!
//! A job's tasks are identical, so machines are ranked once per job, not once per task: placing a
//! task changes the rank of one machine only.

use crate::protocol::JobSpec;
use foldhash::HashMap;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// CPUs, GPUs, memory.
pub type Resources = [f64; 3];

/// What a task takes.
pub fn need(spec: &JobSpec) -> Resources {
    [spec.cpus, spec.gpus, spec.memory_gb]
}

/// Numbers for names of teams, types, zones and images, so that a pass compares no text. Whoever keeps
/// them from pass to pass begins anew now and then, or they would grow with the days.
#[derive(Debug, Default)]
pub struct NameTable {
    ids: HashMap<Arc<str>, u32>,
    list: Vec<Arc<str>>,
}

impl NameTable {
    /// The number of a name.
    pub fn id(&mut self, name: &str) -> u32 {
        if let Some(i) = self.ids.get(name) {
            return *i;
        }
        let i = self.list.len() as u32;
        let name: Arc<str> = name.into();
        self.list.push(name.clone());
        self.ids.insert(name, i);
        i
    }

    /// The number of a name, if it has one.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// The name behind a number.
    pub fn name(&self, id: u32) -> &str {
        self.list.get(id as usize).map_or("", |n| n)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// There is none.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

/// Which machines a job may use at all.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PlacementConstraints {
    /// Types; none: any.
    pub kinds: Option<Vec<u32>>,
    /// The only zone.
    pub zone: Option<u32>,
    /// Spot machines, too.
    pub spot: bool,
}

impl PlacementConstraints {
    /// Of a job.
    pub fn of(spec: &JobSpec, names: &mut NameTable) -> PlacementConstraints {
        let kinds = spec.types.as_ref();
        PlacementConstraints {
            kinds: kinds.map(|t| t.iter().map(|k| names.id(k)).collect()),
            zone: spec.zone.as_ref().map(|z| names.id(z)),
            spot: spec.spot,
        }
    }

    /// Whether a machine of this kind is among them.
    pub fn takes(&self, kind: u32, zone: u32, spot: bool) -> bool {
        (self.spot || !spot)
            && self.kinds.as_ref().is_none_or(|t| t.contains(&kind))
            && self.zone.is_none_or(|z| z == zone)
    }
}

/// What placing a job's tasks depends on, in numbers.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRequirements {
    /// What one task takes.
    pub need: Resources,
    /// Which machines it may use.
    pub allow: Arc<PlacementConstraints>,
    /// Saves by itself, so that little is lost on a machine that is taken.
    pub saves: bool,
    /// Its image.
    pub image: u32,
    /// Machines on which it has failed.
    pub avoid: Vec<usize>,
}

/// A machine as the queue sees it.
#[derive(Debug, Clone)]
pub struct Host {
    /// Type.
    pub kind: u32,
    /// Zone.
    pub zone: u32,
    /// Spot machine.
    pub spot: bool,
    /// The agent's session.
    pub agent_epoch: u64,
    /// Room of an empty machine.
    pub total: Resources,
    /// Room left.
    pub free: Resources,
    /// What tasks take that have been told to stop: room soon.
    pub leaving: Resources,
    /// Takes new tasks now.
    pub open: bool,
    /// Images it has or fetches.
    pub images: Arc<Vec<u32>>,
    /// Room is being made on it for this job; others keep off.
    pub reserved: Option<Arc<str>>,
}

impl Host {
    /// Takes room for a task.
    pub fn take(&mut self, need: &Resources) {
        for (free, n) in self.free.iter_mut().zip(need) {
            *free -= n;
        }
    }

    /// Gives room back.
    pub fn give(&mut self, need: &Resources) {
        add(&mut self.free, need);
    }

    /// Room left once what was told to stop is gone.
    pub fn soon(&self) -> Resources {
        let mut room = self.free;
        add(&mut room, &self.leaving);
        room
    }

    /// It has the image, or fetches it.
    pub fn has(&self, image: u32) -> bool {
        self.images.contains(&image)
    }

    /// It will have the image.
    pub fn gets(&mut self, image: u32) {
        if !self.has(image) {
            Arc::make_mut(&mut self.images).push(image);
        }
    }

    /// Nothing takes room on it.
    pub fn empty(&self) -> bool {
        (0..3).all(|r| self.free[r] >= self.total[r] - EPS)
    }
}

/// Sums of amounts are off by less than this.
pub const EPS: f64 = 1e-6;

/// Adds what a task takes to some room.
pub fn add(room: &mut Resources, need: &Resources) {
    for (r, n) in room.iter_mut().zip(need) {
        *r += n;
    }
}

/// How many tasks of this size fit into the room.
pub fn slots(room: &Resources, need: &Resources) -> u32 {
    let mut n = 1e6;
    for r in 0..3 {
        if need[r] > 0.0 {
            n = f64::min(n, ((room[r] + EPS) / need[r]).floor());
        }
    }
    n.max(0.0) as u32
}

/// The share of an empty machine that a task takes, on the scarcest resource.
pub fn size(total: &Resources, need: &Resources) -> f64 {
    (0..3)
        .filter(|r| total[*r] > 0.0)
        .map(|r| need[r] / total[r])
        .fold(0.0, f64::max)
}

/// Equation 7: `a` is the free room and `l` an empty machine's, both in task sizes; `ratio`
/// is the job's demand over the largest seen.
pub fn weight(a: f64, l: f64, ratio: f64) -> f64 {
    -0.5 * a * a + l * ratio * a
}

/// Whether a machine would take one task of this job.
pub fn may_take(h: &Host, id: &str, need: &Resources, allow: &PlacementConstraints) -> bool {
    h.open
        && (0..3).all(|r| need[r] <= 0.0 || (h.free[r] + EPS) / need[r] >= 1.0)
        && h.reserved.as_deref().is_none_or(|r| r == id)
        && allow.takes(h.kind, h.zone, h.spot)
}

/// How well a machine suits a task: one that has the image starts it at once; only then does the
/// weight decide, and among equals the first.
#[derive(Debug, Clone, Copy, PartialEq)]
struct HostScore {
    spot: bool,
    image: bool,
    weight: f64,
    host: usize,
}

impl Eq for HostScore {}

impl Ord for HostScore {
    fn cmp(&self, o: &HostScore) -> Ordering {
        (self.spot.cmp(&o.spot))
            .then(self.image.cmp(&o.image))
            .then(self.weight.total_cmp(&o.weight))
            .then(o.host.cmp(&self.host))
    }
}

impl PartialOrd for HostScore {
    fn partial_cmp(&self, o: &HostScore) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}

fn rank(host: usize, h: &Host, shape: &TaskRequirements, ratio: f64) -> HostScore {
    let a = slots(&h.free, &shape.need) as f64;
    let l = slots(&h.total, &shape.need) as f64;
    HostScore {
        spot: h.spot && shape.saves,
        image: h.has(shape.image),
        weight: weight(a, l, ratio),
        host,
    }
}

/// Picks machines for the tasks of one job one after the other, as a scan of all machines for
/// each task would.
pub struct HostPicker<'a> {
    id: &'a str,
    shape: &'a TaskRequirements,
    ratio: f64,
    /// Machines without a task of the job.
    apart: BinaryHeap<HostScore>,
    /// Machines that have one, for copies that would rather be apart.
    shared: BinaryHeap<HostScore>,
    keep_apart: bool,
}

impl<'a> HostPicker<'a> {
    /// Among the `candidates`, which hold all machines that would take a task. `keep_apart`: machines
    /// with a task of the job (`has`) come last.
    pub fn new(
        hosts: &[Host],
        candidates: impl Iterator<Item = usize>,
        id: &'a str,
        shape: &'a TaskRequirements,
        ratio: f64,
        keep_apart: bool,
        has: impl Fn(usize) -> bool,
    ) -> HostPicker<'a> {
        let mut apart = Vec::new();
        let mut shared = Vec::new();
        for i in candidates {
            let h = &hosts[i];
            if may_take(h, id, &shape.need, &shape.allow) && !shape.avoid.contains(&i) {
                let list = if keep_apart && has(i) {
                    &mut shared
                } else {
                    &mut apart
                };
                list.push(rank(i, h, shape, ratio));
            }
        }
        HostPicker {
            id,
            shape,
            ratio,
            apart: apart.into(),
            shared: shared.into(),
            keep_apart,
        }
    }

    /// The best machine for the next task. `fits` holds the job's further conditions on zones; a
    /// zone that does not fit now must never fit later.
    pub fn next(&mut self, hosts: &[Host], fits: impl Fn(u32) -> bool) -> Option<usize> {
        for heap in [&mut self.apart, &mut self.shared] {
            while let Some(r) = heap.pop() {
                if fits(hosts[r.host].zone) {
                    return Some(r.host);
                }
            }
        }
        None
    }

    /// The machine picked last takes no task after all.
    pub fn back(&mut self, hosts: &[Host], host: usize) {
        let r = rank(host, &hosts[host], self.shape, self.ratio);
        self.apart.push(r);
    }

    /// The machine picked last has taken the task: it comes back with its new rank.
    pub fn taken(&mut self, hosts: &[Host], host: usize) {
        if may_take(&hosts[host], self.id, &self.shape.need, &self.shape.allow) {
            let r = rank(host, &hosts[host], self.shape, self.ratio);
            if self.keep_apart {
                self.shared.push(r);
            } else {
                self.apart.push(r);
            }
        }
    }
}

/// Places all `n` tasks of a gang or none: on one machine, else in one zone, else anywhere
/// (unless the job wants one zone). The `candidates` hold all machines that would take a task.
pub fn gang(
    hosts: &[Host],
    candidates: impl Iterator<Item = usize>,
    id: &str,
    spec: &JobSpec,
    shape: &TaskRequirements,
    n: u32,
    ratio: f64,
) -> Option<Vec<usize>> {
    let may =
        |i: &usize| may_take(&hosts[*i], id, &shape.need, &shape.allow) && !shape.avoid.contains(i);
    let all = candidates.filter(may);
    let mut order: Vec<HostScore> = all.map(|i| rank(i, &hosts[i], shape, ratio)).collect();
    order.sort_by(|a, b| b.cmp(a));
    let room = |r: &HostScore| slots(&hosts[r.host].free, &shape.need);
    let half = if spec.spread { n.div_ceil(2) } else { n };
    if half == n
        && let Some(r) = order.iter().find(|r| room(r) >= n)
    {
        return Some(vec![r.host; n as usize]);
    }
    // In the order of their first machines: numbers of names differ from leader to leader.
    let mut open: Vec<u32> = order.iter().map(|r| hosts[r.host].zone).collect();
    open.sort_unstable();
    open.dedup();
    let mut zones: Vec<u32> = Vec::with_capacity(open.len());
    for h in hosts {
        if zones.len() == open.len() {
            break;
        }
        if open.contains(&h.zone) && !zones.contains(&h.zone) {
            zones.push(h.zone);
        }
    }
    let fill = |zone: Option<u32>| {
        let mut taken: Vec<usize> = Vec::new();
        let mut per_zone: Vec<(u32, u32)> = zones.iter().map(|z| (*z, 0)).collect();
        for r in &order {
            let h = &hosts[r.host];
            if zone.is_some_and(|z| z != h.zone) {
                continue;
            }
            let Some(used) = per_zone.iter_mut().find(|(z, _)| *z == h.zone) else {
                continue;
            };
            let k = room(r).min(n - taken.len() as u32).min(half - used.1);
            used.1 += k;
            taken.extend(std::iter::repeat_n(r.host, k as usize));
            if taken.len() as u32 == n {
                return Some(taken);
            }
        }
        None
    };
    if half == n {
        // The slowest fetch decides when a gang starts: the zone where most of its tasks find their
        // image, and among equals the first.
        let fetches = |found: &Vec<usize>| {
            let without = |h: &&usize| !hosts[**h].has(shape.image);
            found.iter().filter(without).count()
        };
        let found = zones.iter().filter_map(|z| fill(Some(*z)));
        if let Some(found) = found.min_by_key(fetches) {
            return Some(found);
        }
    }
    if spec.one_zone { None } else { fill(None) }
}

#[cfg(test)]
mod tests;
