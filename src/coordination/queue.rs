//! One pass of BgMBFSDF over the arrival-ordered queue (the paper's algorithm 2).

use super::placement::{self, Amounts, Host, Picker, Shape, slots};
use crate::protocol::{Kind, Micros, Priority, Spec};
use std::collections::BTreeMap;

/// A job with tasks to start.
#[derive(Debug)]
pub struct Item<'a> {
    /// Job id.
    pub id: &'a str,
    /// When it was accepted.
    pub at: Micros,
    /// The job.
    pub spec: &'a Spec,
    /// The same, in numbers.
    pub shape: Shape,
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
}

/// A running task that may have to make room.
#[derive(Debug, Clone, PartialEq)]
pub struct Victim<'a> {
    /// Job.
    pub job: &'a str,
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
    /// The highest priority of its job and of those that need it.
    pub priority: Priority,
    /// It can save when it is stopped, so little is lost.
    pub saves: bool,
    /// How long it takes to save.
    pub save_s: f64,
    /// Its team.
    pub team: &'a str,
    /// Runs beyond its team's guarantee.
    pub surplus: bool,
    /// Stops alone.
    pub single: bool,
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
    /// What one of its tasks needs.
    pub shape: Shape,
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

/// Room is looked for on behalf of this many blocked jobs a pass, first come first: the work of a
/// pass must not grow with the length of the queue times the size of the fleet.
const MAKE_WAY: usize = 8;

/// What it takes besides saving until a stopped task's place is taken: a stop, a report, a pass, a
/// record and a start.
const STOP_S: f64 = 2.0;

/// What a machine to be rented must have; it is none of those that the job avoids.
fn lacking(item: &Item<'_>) -> Shape {
    Shape {
        avoid: Vec::new(),
        ..item.shape.clone()
    }
}

fn team_slots(room: &Room, spec: &Spec) -> u32 {
    let Some([cpus, gpus]) = room.get(&spec.team) else {
        return u32::MAX;
    };
    slots(&[*cpus, *gpus, f64::INFINITY], &[spec.cpus, spec.gpus, 0.0])
}

fn take(host: &mut Host, room: &mut Room, item: &Item<'_>) {
    host.take(&item.shape.need);
    if let Some(r) = room.get_mut(&item.spec.team) {
        r[0] -= item.spec.cpus;
        r[1] -= item.spec.gpus;
    }
    if !host.images.contains(&item.shape.image) {
        host.images.push(item.shape.image);
    }
}

/// Starts what fits, in order; `b_max` is the largest demand seen and is raised here.
pub fn pass(
    items: &[Item<'_>],
    hosts: &mut [Host],
    victims: &[Victim<'_>],
    room: &mut Room,
    b_max: &mut f64,
    most: usize,
) -> Plan {
    let mut plan = Plan::default();
    let mut blocked = false;
    let mut later: Vec<&Item<'_>> = Vec::new();
    let typical = hosts.first().map_or([1.0; 3], |h| h.total);
    let demand = |i: &Item<'_>| i.spec.tasks as f64 * placement::size(&typical, &i.shape.need);
    let mut tries = MAKE_WAY;
    for item in items {
        *b_max = b_max.max(demand(item));
        if plan.places.len() >= most {
            break;
        }
        if blocked && item.spec.kind != Kind::Service {
            later.push(item);
            continue;
        }
        let before = plan.places.len();
        let ratio = demand(item) / b_max.max(1e-9);
        let short = start(item, hosts, room, ratio, false, victims, &mut plan);
        if short == 0 {
            continue;
        }
        plan.lacks.push(Lack {
            job: item.id.to_string(),
            shape: lacking(item),
            tasks: short,
        });
        let presses = item.spec.kind != Kind::Array || item.guaranteed;
        if presses && plan.places.len() == before && tries > 0 {
            tries -= usize::from(make_way(item, hosts, victims, !blocked, &mut plan));
        }
        blocked |= item.spec.kind != Kind::Service;
    }
    later.sort_by(|a, b| a.estimate_s.total_cmp(&b.estimate_s));
    for item in later {
        if plan.places.len() >= most {
            break;
        }
        let ratio = demand(item) / b_max.max(1e-9);
        let short = start(item, hosts, room, ratio, true, victims, &mut plan);
        if short > 0 {
            plan.lacks.push(Lack {
                job: item.id.to_string(),
                shape: lacking(item),
                tasks: short,
            });
            if (item.spec.kind == Kind::Gang || item.guaranteed) && tries > 0 {
                tries -= usize::from(make_way(item, hosts, victims, false, &mut plan));
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
    victims: &[Victim<'_>],
    plan: &mut Plan,
) -> u32 {
    let spec = item.spec;
    let n = item.tasks.len() as u32;
    let may = team_slots(room, spec).min(n);
    if spec.kind == Kind::Gang {
        if may < n {
            return 0;
        }
        let Some(found) = placement::gang(hosts, item.id, spec, &item.shape, n, ratio) else {
            return n;
        };
        for (task, host) in item.tasks.iter().zip(found) {
            take(&mut hosts[host], room, item);
            plan.places.push(Place {
                job: item.id.to_string(),
                task: *task,
                host,
                backfilled: backfill,
            });
        }
        return 0;
    }
    let service = spec.kind == Kind::Service;
    let mut zones: Vec<u32> = item.present.iter().map(|(z, _)| *z).collect();
    let half = spec.tasks.div_ceil(2) as usize;
    let has = |i: usize| item.present.iter().any(|(_, m)| *m == Some(i));
    let mut picker = Picker::new(hosts, item.id, &item.shape, ratio, service, has);
    let mut clearing = None;
    for (k, task) in item.tasks.iter().take(may as usize).enumerate() {
        let fits = |zone: u32| {
            (!spec.one_zone || zones.iter().all(|z| *z == zone))
                && (!spec.spread || zones.iter().filter(|z| **z == zone).count() < half)
        };
        let Some(host) = picker.next(hosts, fits) else {
            return may - k as u32;
        };
        if service && !hosts[host].images.contains(&item.shape.image) {
            let cleared = |h: &&Host| {
                h.reserved.as_deref() == Some(item.id) && slots(&h.free, &item.shape.need) == 0
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
                hosts[v.host].reserved = Some(item.id.to_string());
                zones.push(hosts[v.host].zone);
                picker.back(hosts, host);
                continue;
            }
        }
        take(&mut hosts[host], room, item);
        picker.taken(hosts, host);
        zones.push(hosts[host].zone);
        plan.places.push(Place {
            job: item.id.to_string(),
            task: *task,
            host,
            backfilled: backfill && !service,
        });
    }
    0
}

/// A task of a lower priority, saving and alone, that keeps a replica from a machine with its image,
/// where the replica would start in less than half the time that a fetch takes.
fn in_the_way<'a, 'b>(
    item: &Item<'_>,
    hosts: &[Host],
    victims: &'a [Victim<'b>],
    fits: impl Fn(u32) -> bool,
) -> Option<&'a Victim<'b>> {
    let serves = |v: &&Victim<'_>| {
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
            && h.images.contains(&item.shape.image)
            && slots(&room(), &item.shape.need) > 0
            && placement::allowed(&item.shape, h.kind, h.zone, h.spot)
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
    item: &Item<'_>,
    hosts: &[Host],
    victims: &[Victim<'_>],
    top: bool,
    plan: &mut Plan,
) -> bool {
    let kept = |h: &Host| h.reserved.as_deref() == Some(item.id);
    if hosts.iter().any(kept) {
        return false;
    }
    let service = item.spec.kind == Kind::Service;
    let gang = item.spec.kind == Kind::Gang;
    let array = item.spec.kind == Kind::Array;
    let may = |v: &&Victim<'_>| {
        let lower = v.priority < item.priority && (v.saves || service) && !array;
        // A guarantee is given back by whoever runs beyond their own: at once by single tasks that
        // lose little; by gangs, which stop as a whole, when nothing else has helped.
        let surplus = v.surplus && v.team != item.spec.team && (v.single || item.overdue);
        let owed = item.guaranteed && surplus;
        hosts[v.host].reserved.is_none()
            && plan.reserved.iter().all(|(h, _)| *h != v.host)
            && ((top && gang && v.backfilled) || lower || owed)
    };
    let victims: Vec<&Victim<'_>> = victims.iter().filter(may).collect();
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
    let need = item.shape.need;
    let n = if gang { item.tasks.len() as u32 } else { 1 };
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
            .filter(|i| {
                fits(&without[*i]) && placement::may_take(&without[*i], item.id, &item.shape)
            })
            .min_by(|a, b| {
                let image = |i: usize| !without[i].images.contains(&item.shape.image);
                (lost(*a), image(*a))
                    .partial_cmp(&(lost(*b), image(*b)))
                    .unwrap_or(std::cmp::Ordering::Equal)
            })
            .map(|i| vec![i])
    } else {
        placement::gang(&without, item.id, item.spec, &item.shape, n, 1.0)
    };
    let Some(found) = found else {
        return true;
    };
    let mut by_host: BTreeMap<usize, u32> = BTreeMap::new();
    for h in found {
        *by_host.entry(h).or_default() += 1;
    }
    for (h, n) in by_host {
        let mut free = hosts[h].free;
        let mut here: Vec<&&Victim<'_>> = victims.iter().filter(|v| v.host == h).collect();
        here.sort_by_key(|v| std::cmp::Reverse(v.order));
        // An array takes as much of its machine as it can use.
        let n = if array { item.tasks.len() as u32 } else { n };
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

#[cfg(test)]
mod tests {
    use super::*;

    fn host(free: f64, images: &[u32]) -> Host {
        Host {
            kind: 1,
            zone: 2,
            spot: false,
            session: 1,
            total: [4.0; 3],
            free: [free; 3],
            open: true,
            images: images.to_vec(),
            reserved: None,
        }
    }

    fn item<'a>(spec: &'a Spec, fetch_s: f64) -> Item<'a> {
        Item {
            id: "req-2",
            at: Micros::ZERO,
            spec,
            lost: 0,
            shape: Shape {
                need: [1.0; 3],
                kinds: None,
                zone: None,
                spot: false,
                saves: false,
                image: 7,
                avoid: Vec::new(),
            },
            tasks: vec![0],
            present: Vec::new(),
            fetch_s,
            estimate_s: 0.0,
            priority: spec.priority,
            guaranteed: false,
            overdue: false,
        }
    }

    fn victim(priority: Priority) -> Victim<'static> {
        Victim {
            job: "req-1",
            task: 3,
            host: 1,
            need: [1.0; 3],
            order: 1,
            backfilled: false,
            priority,
            saves: true,
            save_s: 3.0,
            team: "t",
            surplus: false,
            single: true,
        }
    }

    fn run(item: Item<'_>, hosts: &mut [Host], victims: &[Victim<'_>]) -> Plan {
        let mut room = Room::new();
        pass(&[item], hosts, victims, &mut room, &mut 0.0, 10)
    }

    #[test]
    fn a_replica_takes_a_saving_tasks_place_rather_than_wait_for_a_long_fetch() {
        let service = Spec {
            priority: Priority::Production,
            ..Spec::sample(Kind::Service)
        };
        // Room without the image; and the image without room.
        let fleet = || [host(4.0, &[]), host(0.0, &[7])];
        let low = [victim(Priority::Low)];
        let plan = run(item(&service, 20.0), &mut fleet(), &low);
        assert_eq!(plan.stops, [("req-1".to_string(), 3)]);
        assert_eq!(plan.reserved, [(1, "req-2".to_string())]);
        assert!(plan.places.is_empty() && plan.lacks.is_empty());
        // While that is being saved nothing else is stopped, and the replica waits.
        let mut clearing = fleet();
        clearing[1].reserved = Some("req-2".into());
        let plan = run(item(&service, 20.0), &mut clearing, &low);
        assert!(plan.stops.is_empty() && plan.places.is_empty() && plan.lacks.is_empty());
        // Then it takes the place.
        clearing[1].free = [1.0; 3];
        let plan = run(item(&service, 20.0), &mut clearing, &[]);
        assert_eq!(plan.places[0].host, 1);
        // A short fetch, or a task of the same priority, is no reason to stop anything.
        for (fetch_s, priority) in [(9.0, Priority::Low), (20.0, Priority::Production)] {
            let plan = run(item(&service, fetch_s), &mut fleet(), &[victim(priority)]);
            assert!(plan.stops.is_empty() && plan.places[0].host == 0);
        }
    }
}
