//! Preemption: what may be stopped to make room for a blocked job, and where.

use crate::protocol::{JobKind, Priority};
use crate::scheduling::backfill::{PreemptibleTask, QueueEntry, SchedulingPlan};
use crate::scheduling::placement::{self, Host, slots};
use std::collections::BTreeMap;

/// Room is made on this many machines at once for tasks that start one by one.
const MACHINES_AT_ONCE: usize = 16;

/// What it takes besides saving until a stopped task's place is taken: a stop, a report, a pass, a
/// record and a start.
const STOP_S: f64 = 2.0;

/// What decides whether anything may give way to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct PreemptionRequest {
    pub(crate) kind: JobKind,
    pub(crate) priority: Priority,
    pub(crate) team: u32,
    pub(crate) guaranteed: bool,
    pub(crate) overdue: bool,
    pub(crate) aged: bool,
    pub(crate) top: bool,
}

impl PreemptionRequest {
    pub(crate) fn of(item: &QueueEntry<'_>, top: bool) -> PreemptionRequest {
        PreemptionRequest {
            kind: item.spec.kind,
            priority: item.priority,
            team: item.team,
            guaranteed: item.guaranteed,
            overdue: item.guaranteed && item.overdue,
            aged: item.aged && item.spec.kind == JobKind::Gang,
            top,
        }
    }

    /// Whether a task may be stopped for the job: what was backfilled, for the job at the top; what
    /// has a lower priority, if it can save or makes room for replicas; and what other teams run
    /// beyond their guarantees, for a job within its own.
    pub(crate) fn over(&self, v: &PreemptibleTask<'_>) -> bool {
        let service = self.kind == JobKind::Service;
        let gang = self.kind == JobKind::Gang;
        let array = self.kind == JobKind::Array;
        let lower = v.priority < self.priority && (v.saves || service) && !array;
        // A guarantee is given back by whoever runs beyond their own: at once by single tasks that
        // lose little; by gangs, which stop as a whole, when nothing else has helped.
        let surplus = v.surplus && v.team != self.team && (v.single || self.overdue);
        let owed = self.guaranteed && surplus;
        // Under a flood of single tasks whole machines are never free by themselves: backfilled tasks of
        // the next in line take each place as it comes. A gang that has waited for long need not mind
        // whether what stops can save.
        let aged = self.aged && v.single && !v.spared && v.priority < self.priority;
        (self.top && gang && v.backfilled) || lower || owed || aged
    }
}

/// A task of a lower priority, saving and alone, that keeps a replica from a machine with its image,
/// where the replica would start in less than half the time that a fetch takes.
pub(crate) fn in_the_way<'a, 'b>(
    item: &QueueEntry<'_>,
    hosts: &[Host],
    savers: &[&'a PreemptibleTask<'b>],
    fits: impl Fn(u32) -> bool,
) -> Option<&'a PreemptibleTask<'b>> {
    let serves = |v: &&'a PreemptibleTask<'b>| {
        let h = &hosts[v.host];
        let room = || {
            let mut room = h.free;
            placement::add(&mut room, &v.need);
            room
        };
        v.priority < item.priority
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
    let all = savers.iter().copied();
    all.filter(serves).max_by_key(|v| v.order)
}

/// What came of looking for somebody to give way.
pub(crate) enum EvictionPlan {
    /// Room is being made for the job already.
    PassState,
    /// Nothing gives way to such a job.
    None,
    /// What gives way was weighed.
    Weighed,
}

/// If a blocked job fits once others are gone, stops those on its room, latest first, as far as its
/// `claim` allows. The machines are kept for the job until it has started; `short` of its tasks have found
/// no room.
pub(crate) fn make_way(
    item: &QueueEntry<'_>,
    short: u32,
    claim: &PreemptionRequest,
    hosts: &[Host],
    victims: &[PreemptibleTask<'_>],
    plan: &mut SchedulingPlan<'_>,
) -> EvictionPlan {
    let gang = item.spec.kind == JobKind::Gang;
    let need = item.shape.need;
    let mut left = short;
    for h in hosts {
        if h.reserved.as_deref() != Some(item.id) {
            continue;
        }
        if gang || !claim.guaranteed {
            return EvictionPlan::PassState;
        }
        // Room that is being made for it, or has been and is not taken yet. A machine on which its tasks run
        // by now is none: once, what a team is owed came back by one machine every twenty seconds.
        left = left.saturating_sub(slots(&h.soon(), &need));
    }
    if left == 0 {
        return EvictionPlan::PassState;
    }
    let may = |v: &&PreemptibleTask<'_>| {
        claim.over(v)
            && hosts[v.host].reserved.is_none()
            && plan.reserved.iter().all(|(h, _)| *h != v.host)
    };
    let victims: Vec<&PreemptibleTask<'_>> = victims.iter().filter(may).collect();
    if victims.is_empty() {
        return EvictionPlan::None;
    }
    let mut without: Vec<Host> = hosts.to_vec();
    for (h, _) in &plan.reserved {
        without[*h].open = false;
    }
    for v in &victims {
        without[v.host].give(&v.need);
    }
    let found = if gang && short > 1 {
        let all = 0..without.len();
        let all = placement::gang(&without, all, item.id, item.spec, &item.shape, short, 1.0);
        let mut found = BTreeMap::new();
        for h in all.into_iter().flatten() {
            *found.entry(h).or_default() += 1;
        }
        found
    } else {
        // What a team is owed it gets at once. Others press gently: what they stop may have to begin anew.
        let most = if claim.guaranteed {
            MACHINES_AT_ONCE
        } else {
            1
        };
        one_by_one(item, left, most, hosts, &without)
    };
    for (h, n) in found {
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
    EvictionPlan::Weighed
}

/// At most so many machines for `left` tasks that start one by one, and how many on each, were all that gives
/// way gone from them as in `without`; the fullest first, so that as few as possible have to go.
pub(crate) fn one_by_one(
    item: &QueueEntry<'_>,
    left: u32,
    most: usize,
    hosts: &[Host],
    without: &[Host],
) -> BTreeMap<usize, u32> {
    let need = item.shape.need;
    let kept = hosts
        .iter()
        .filter(|h| h.reserved.as_deref() == Some(item.id) && slots(&h.soon(), &need) > 0);
    let mut zones: Vec<u32> = item.present.iter().map(|(z, _)| *z).collect();
    zones.extend(kept.map(|h| h.zone));
    let half = item.spec.tasks.div_ceil(2) as usize;
    let fits = |zones: &[u32], zone: u32| {
        let in_zone = zones.iter().filter(|z| **z == zone).count();
        let apart = item.spec.one_zone && in_zone < zones.len();
        let crowded = item.spec.spread && in_zone >= half;
        !apart && !crowded
    };
    let lost = |i: usize| (without[i].free[1] - hosts[i].free[1]).max(0.0);
    let image = |i: usize| !without[i].has(item.shape.image);
    let takes = |i: &usize| placement::may_take(&without[*i], item.id, &need, &item.shape.allow);
    let mut all: Vec<usize> = (0..without.len()).filter(takes).collect();
    all.sort_by(|a, b| {
        let by = (lost(*a), image(*a)).partial_cmp(&(lost(*b), image(*b)));
        by.unwrap_or(std::cmp::Ordering::Equal)
    });
    let array = item.spec.kind == JobKind::Array;
    let (mut left, mut found) = (left, BTreeMap::new());
    for h in all {
        if left == 0 || found.len() >= most {
            break;
        }
        if !fits(&zones, without[h].zone) {
            continue;
        }
        // An array takes as much of its machine as it can use; replicas are better apart.
        let n = slots(&without[h].free, &need).min(if array { left } else { 1 });
        zones.push(without[h].zone);
        found.insert(h, n);
        left -= n;
    }
    found
}
