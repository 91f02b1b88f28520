//! One pass of BgMBFSDF over the arrival-ordered queue (the paper's algorithm 2).

use super::placement::{self, Amounts, Host, need, slots};
use crate::protocol::{Kind, Spec};
use std::collections::HashMap;

/// A job with tasks to start.
#[derive(Debug)]
pub struct Item<'a> {
    /// Job id.
    pub id: &'a str,
    /// The job.
    pub spec: &'a Spec,
    /// Tasks that may start (for a gang: all, or nothing is done).
    pub tasks: Vec<u32>,
    /// Where its other tasks are presumed: zone, and machine name.
    pub present: Vec<(String, String)>,
    /// Estimated run time, corrected by what was observed.
    pub estimate_s: f64,
}

/// A task running ahead of an earlier job.
#[derive(Debug, Clone, PartialEq)]
pub struct Backfilled {
    /// Job.
    pub job: String,
    /// Task.
    pub task: u32,
    /// Index of its machine.
    pub host: usize,
    /// What it takes.
    pub need: Amounts,
    /// Order of its start; later is larger.
    pub order: u64,
}

/// A team's room: what it may still take.
pub type Room = HashMap<String, [f64; 2]>;

/// A start that the pass decided on.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// Job.
    pub job: String,
    /// Task.
    pub task: u32,
    /// Index of the machine.
    pub host: usize,
    /// Ahead of an earlier job.
    pub backfilled: bool,
}

/// Room that could not be found.
#[derive(Debug, Clone, PartialEq)]
pub struct Lack {
    /// Job.
    pub job: String,
    /// How many tasks.
    pub tasks: u32,
}

/// What a pass decided.
#[derive(Debug, Default)]
pub struct Plan {
    /// Tasks to start.
    pub places: Vec<Place>,
    /// Backfilled tasks to stop: job and task.
    pub stops: Vec<(String, u32)>,
    /// What found no room.
    pub lacks: Vec<Lack>,
}

fn team_slots(room: &Room, spec: &Spec) -> u32 {
    let Some([cpus, gpus]) = room.get(&spec.team) else {
        return u32::MAX;
    };
    slots(&[*cpus, *gpus, f64::INFINITY], &[spec.cpus, spec.gpus, 0.0])
}

fn take(host: &mut Host, room: &mut Room, spec: &Spec) {
    let need = need(spec);
    for (free, n) in host.free.iter_mut().zip(need) {
        *free -= n;
    }
    if let Some(r) = room.get_mut(&spec.team) {
        r[0] -= spec.cpus;
        r[1] -= spec.gpus;
    }
    if !host.images.contains(&spec.image) {
        host.images.push(spec.image.clone());
    }
}

/// Starts what fits, in order; `b_max` is the largest demand seen and is raised here.
pub fn pass(
    items: &[Item<'_>],
    hosts: &mut [Host],
    backfilled: &[Backfilled],
    room: &mut Room,
    b_max: &mut f64,
    most: usize,
) -> Plan {
    let mut plan = Plan::default();
    let mut blocked = false;
    let mut later: Vec<&Item<'_>> = Vec::new();
    let typical = hosts.first().map_or([1.0; 3], |h| h.total);
    for item in items {
        let demand = item.spec.tasks as f64 * placement::size(&typical, &need(item.spec));
        *b_max = b_max.max(demand);
        if plan.places.len() >= most {
            break;
        }
        if blocked && item.spec.kind != Kind::Service {
            later.push(item);
            continue;
        }
        let before = plan.places.len();
        let short = start(
            item,
            hosts,
            room,
            demand / b_max.max(1e-9),
            false,
            &mut plan,
        );
        if short == 0 {
            continue;
        }
        plan.lacks.push(Lack {
            job: item.id.to_string(),
            tasks: short,
        });
        if item.spec.kind == Kind::Service {
            continue;
        }
        if !blocked && item.spec.kind == Kind::Gang && plan.places.len() == before {
            make_way(item, hosts, backfilled, &mut plan);
        }
        blocked = true;
    }
    later.sort_by(|a, b| a.estimate_s.total_cmp(&b.estimate_s));
    for item in later {
        if plan.places.len() >= most {
            break;
        }
        let demand = item.spec.tasks as f64 * placement::size(&typical, &need(item.spec));
        let short = start(item, hosts, room, demand / b_max.max(1e-9), true, &mut plan);
        if short > 0 {
            plan.lacks.push(Lack {
                job: item.id.to_string(),
                tasks: short,
            });
        }
    }
    plan
}

/// Starts what fits of one job; returns how many tasks found no room (its team's limit aside).
fn start(
    item: &Item<'_>,
    hosts: &mut [Host],
    room: &mut Room,
    ratio: f64,
    backfill: bool,
    plan: &mut Plan,
) -> u32 {
    let spec = item.spec;
    let n = item.tasks.len() as u32;
    let may = team_slots(room, spec);
    if spec.kind == Kind::Gang {
        if may < n {
            return 0;
        }
        let Some(found) = placement::gang(hosts, spec, n, ratio) else {
            return n;
        };
        for (task, host) in item.tasks.iter().zip(found) {
            take(&mut hosts[host], room, spec);
            plan.places.push(Place {
                job: item.id.to_string(),
                task: *task,
                host,
                backfilled: backfill,
            });
        }
        return 0;
    }
    let mut present: Vec<(String, String)> = item.present.clone();
    let half = spec.tasks.div_ceil(2) as usize;
    for (k, task) in item.tasks.iter().take(may.min(n) as usize).enumerate() {
        let in_zone = |z: &str| present.iter().filter(|(p, _)| p == z).count();
        let fits = |h: &Host| {
            (!spec.one_zone || present.iter().all(|(z, _)| *z == h.zone))
                && (!spec.spread || in_zone(&h.zone) < half)
        };
        let apart =
            |h: &Host| spec.kind != Kind::Service || present.iter().all(|(_, m)| *m != h.name);
        let found = placement::single(hosts, spec, ratio, |_, h| fits(h) && apart(h))
            .or_else(|| placement::single(hosts, spec, ratio, |_, h| fits(h)));
        let Some(host) = found else {
            return may.min(n) - k as u32;
        };
        take(&mut hosts[host], room, spec);
        present.push((hosts[host].zone.clone(), hosts[host].name.clone()));
        plan.places.push(Place {
            job: item.id.to_string(),
            task: *task,
            host,
            backfilled: backfill && spec.kind != Kind::Service,
        });
    }
    0
}

/// If the top gang fits once backfilled tasks are gone, stops those on its room, latest first.
fn make_way(item: &Item<'_>, hosts: &[Host], backfilled: &[Backfilled], plan: &mut Plan) {
    if backfilled.is_empty() {
        return;
    }
    let mut without: Vec<Host> = hosts.to_vec();
    for b in backfilled {
        for (free, n) in without[b.host].free.iter_mut().zip(b.need) {
            *free += n;
        }
    }
    let need = need(item.spec);
    let Some(found) = placement::gang(&without, item.spec, item.tasks.len() as u32, 1.0) else {
        return;
    };
    let mut by_host: HashMap<usize, u32> = HashMap::new();
    for h in found {
        *by_host.entry(h).or_default() += 1;
    }
    for (h, n) in by_host {
        let mut free = hosts[h].free;
        let mut here: Vec<&Backfilled> = backfilled.iter().filter(|b| b.host == h).collect();
        here.sort_by_key(|b| std::cmp::Reverse(b.order));
        for b in here {
            if slots(&free, &need) >= n {
                break;
            }
            for (f, n) in free.iter_mut().zip(b.need) {
                *f += n;
            }
            plan.stops.push((b.job.clone(), b.task));
        }
    }
}
