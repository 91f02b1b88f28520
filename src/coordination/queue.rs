//! One pass of BgMBFSDF over the arrival-ordered queue (the paper's algorithm 2).

use super::placement::{self, Amounts, Host, need, slots};
use crate::protocol::{Kind, Priority, Spec};
use std::collections::BTreeMap;

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

/// A running task that may have to make room.
#[derive(Debug, Clone, PartialEq)]
pub struct Victim {
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
    /// Started ahead of an earlier job.
    pub backfilled: bool,
    /// Its job's priority.
    pub priority: Priority,
    /// It can save when it is stopped, so little is lost.
    pub saves: bool,
}

/// A team's room: what it may still take.
pub type Room = BTreeMap<String, [f64; 2]>;

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
    /// Tasks to stop: job and task.
    pub stops: Vec<(String, u32)>,
    /// Machines on which room is being made, and for which job.
    pub reserved: Vec<(usize, String)>,
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
    victims: &[Victim],
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
        if item.spec.kind != Kind::Array && plan.places.len() == before {
            make_way(item, hosts, victims, !blocked, &mut plan);
        }
        blocked |= item.spec.kind != Kind::Service;
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
            if item.spec.kind == Kind::Gang {
                make_way(item, hosts, victims, false, &mut plan);
            }
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
        let Some(found) = placement::gang(hosts, item.id, spec, n, ratio) else {
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
        let found = placement::single(hosts, item.id, spec, ratio, |_, h| fits(h) && apart(h))
            .or_else(|| placement::single(hosts, item.id, spec, ratio, |_, h| fits(h)));
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

/// If a blocked job fits once others are gone, stops those on its room, latest first: what was
/// backfilled, for the job at the top; and what has a lower priority, if it can save or makes
/// room for replicas. The machines are kept for the job until it has started.
fn make_way(item: &Item<'_>, hosts: &[Host], victims: &[Victim], top: bool, plan: &mut Plan) {
    let kept = |h: &Host| h.reserved.as_deref() == Some(item.id);
    if hosts.iter().any(kept) {
        return;
    }
    let service = item.spec.kind == Kind::Service;
    let may = |v: &&Victim| {
        let lower = v.priority < item.spec.priority && (v.saves || service);
        hosts[v.host].reserved.is_none()
            && plan.reserved.iter().all(|(h, _)| *h != v.host)
            && ((top && !service && v.backfilled) || lower)
    };
    let victims: Vec<&Victim> = victims.iter().filter(may).collect();
    if victims.is_empty() {
        return;
    }
    let mut without: Vec<Host> = hosts.to_vec();
    for (h, _) in &plan.reserved {
        without[*h].open = false;
    }
    for v in &victims {
        for (free, n) in without[v.host].free.iter_mut().zip(v.need) {
            *free += n;
        }
    }
    let need = need(item.spec);
    let n = if service { 1 } else { item.tasks.len() as u32 };
    // For one task the fullest machine serves, so that as few as possible have to go.
    let found = if n == 1 {
        let present = &item.present;
        let fits = |h: &Host| {
            let in_zone = present.iter().filter(|(z, _)| *z == h.zone).count() as u32;
            let apart = item.spec.one_zone && present.iter().any(|(z, _)| *z != h.zone);
            let crowded = item.spec.spread && in_zone >= item.spec.tasks.div_ceil(2);
            !apart && !crowded
        };
        let lost = |i: usize| (without[i].free[1] - hosts[i].free[1]).max(0.0);
        (0..without.len())
            .filter(|i| fits(&without[*i]) && placement::may_take(&without[*i], item.id, item.spec))
            .min_by(|a, b| {
                let image = |i: usize| !without[i].images.contains(&item.spec.image);
                (lost(*a), image(*a))
                    .partial_cmp(&(lost(*b), image(*b)))
                    .unwrap_or(std::cmp::Ordering::Equal)
            })
            .map(|i| vec![i])
    } else {
        placement::gang(&without, item.id, item.spec, n, 1.0)
    };
    let Some(found) = found else {
        return;
    };
    let mut by_host: BTreeMap<usize, u32> = BTreeMap::new();
    for h in found {
        *by_host.entry(h).or_default() += 1;
    }
    for (h, n) in by_host {
        let mut free = hosts[h].free;
        let mut here: Vec<&&Victim> = victims.iter().filter(|v| v.host == h).collect();
        here.sort_by_key(|v| std::cmp::Reverse(v.order));
        for v in here {
            if slots(&free, &need) >= n {
                break;
            }
            for (f, n) in free.iter_mut().zip(v.need) {
                *f += n;
            }
            plan.stops.push((v.job.clone(), v.task));
        }
        plan.reserved.push((h, item.id.to_string()));
    }
}
