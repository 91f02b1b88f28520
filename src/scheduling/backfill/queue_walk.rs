//! Walk over the queue: by arrival up to the first blocked job, then in the order of backfilling.

use crate::protocol::JobKind;
use crate::scheduling::backfill::preempt::BlockedJob;
use crate::scheduling::backfill::{QueueCandidate, QueueEntry, SchedulingPass, UnmetDemand};
use crate::scheduling::job_queue::JobSummary;
use crate::scheduling::pending_jobs::{BackfillOrder, PendingJobs, QueuePosition};
use crate::scheduling::recovery::Recovery;
use std::iter::{Enumerate, Peekable};
use std::slice;

/// The point at which the walk by arrival was blocked.
struct Blockage<'a> {
    /// Position of the first gang or array that did not fit as a whole.
    position: QueuePosition<'a>,
    /// Active gangs and arrays behind it, as indices.
    deferred: Vec<usize>,
}

/// Merges active and pending jobs by arrival; services that have lost replicas come first.
struct ArrivalOrder<'p, 'a, S: Iterator, O: Iterator> {
    active: Peekable<Enumerate<slice::Iter<'p, QueueEntry<'a>>>>,
    services: Peekable<S>,
    others: Peekable<O>,
}

impl<'a, S, O> ArrivalOrder<'_, 'a, S, O>
where
    S: Iterator<Item = (QueuePosition<'a>, &'a JobSummary)>,
    O: Iterator<Item = (QueuePosition<'a>, &'a JobSummary)>,
{
    /// The next job and its position. Once the queue is `blocked`, pending gangs and arrays are left to
    /// backfilling; active ones are still returned.
    fn next(&mut self, blocked: bool) -> Option<(QueueCandidate<'a>, QueuePosition<'a>)> {
        let service = self.services.peek().map(|(position, _)| *position);
        let other = match blocked {
            true => None,
            false => self.others.peek().map(|(position, _)| *position),
        };
        let pending = [service, other].into_iter().flatten().min();
        let active_is_next = |(_, entry): &(usize, &QueueEntry<'a>)| {
            Recovery::has_lost_replicas(entry)
                || pending.is_none_or(|first| entry.position() < first)
        };
        if let Some((index, entry)) = self.active.next_if(active_is_next) {
            return Some((QueueCandidate::Active(index), entry.position()));
        }
        let position = pending?;
        let row = if Some(position) == service {
            self.services.next()
        } else {
            self.others.next()
        };
        row.map(|(position, summary)| (QueueCandidate::Pending(summary), position))
    }
}

/// Merges deferred active jobs and pending jobs in the order of backfilling.
struct BackfillMerge<'p, 'a, D: Iterator, P: Iterator> {
    active: &'p [QueueEntry<'a>],
    deferred: Peekable<D>,
    pending: Peekable<P>,
}

impl<'a, D, P> Iterator for BackfillMerge<'_, 'a, D, P>
where
    D: Iterator<Item = usize>,
    P: Iterator<Item = (BackfillOrder<'a>, &'a JobSummary)>,
{
    type Item = (QueueCandidate<'a>, BackfillOrder<'a>);

    fn next(&mut self) -> Option<Self::Item> {
        if let Some(index) = self.deferred.peek().copied() {
            let order = self.active[index].backfill_order();
            let pending = self.pending.peek();
            if pending.is_none_or(|(pending, _)| order.compare(pending).is_lt()) {
                self.deferred.next();
                return Some((QueueCandidate::Active(index), order));
            }
        }
        let (order, summary) = self.pending.next()?;
        Some((QueueCandidate::Pending(summary), order))
    }
}

impl<'p, 'a> SchedulingPass<'p, 'a> {
    /// Walks the queue until it ends or the pass is full.
    pub(super) fn walk_queue(&mut self) {
        let blockage = self.walk_by_arrival();
        if let Some(blockage) = blockage
            && !self.is_full()
        {
            self.walk_backfill(blockage);
        }
    }

    /// Considers jobs by arrival; behind the first blocked gang or array only services.
    fn walk_by_arrival(&mut self) -> Option<Blockage<'a>> {
        let mut order = arrival_order(self.active, self.pending);
        let mut blocked: Option<QueuePosition<'a>> = None;
        let mut deferred = Vec::new();
        while !self.is_full() {
            let Some((candidate, position)) = order.next(blocked.is_some()) else {
                break;
            };
            if blocked.is_some()
                && let QueueCandidate::Active(index) = candidate
                && self.active[index].spec.kind != JobKind::Service
            {
                deferred.push(index);
                continue;
            }
            let placed_before = self.plan.placements.len();
            let unplaced = self.start_candidate(candidate, false);
            if unplaced == 0 {
                continue;
            }
            self.record_unmet_demand(candidate, unplaced);
            let kind = self.kind_of(candidate);
            // Each task of an array starts by itself, wherever the others run.
            let nothing_placed = self.plan.placements.len() == placed_before;
            if nothing_placed || kind == JobKind::Array {
                self.preempt_for(&BlockedJob {
                    candidate,
                    position,
                    unplaced,
                    at_head: blocked.is_none(),
                    backfilling: false,
                });
            }
            if kind != JobKind::Service && blocked.is_none() {
                blocked = Some(position);
            }
        }
        blocked.map(|position| Blockage { position, deferred })
    }

    /// Backfills gangs and arrays behind the blocked job, shortest estimate first.
    fn walk_backfill(&mut self, blockage: Blockage<'a>) {
        let mut order = backfill_order(self.active, self.pending, blockage);
        let mut head_found = false;
        while !self.is_full() {
            let Some((candidate, rank)) = order.next() else {
                break;
            };
            let unplaced = self.start_candidate(candidate, true);
            if unplaced == 0 {
                continue;
            }
            self.record_unmet_demand(candidate, unplaced);
            // Behind a job that never fits as a whole, such as an array wider than the cluster, no other
            // gang would ever count as the head of the queue.
            let starved_gang = rank.starved && self.kind_of(candidate) == JobKind::Gang;
            let at_head = starved_gang && !head_found;
            head_found |= at_head;
            self.preempt_for(&BlockedJob {
                candidate,
                position: rank.position,
                unplaced,
                at_head,
                backfilling: true,
            });
        }
    }

    /// Adds tasks that found no machine to the plan.
    fn record_unmet_demand(&mut self, candidate: QueueCandidate<'a>, tasks: u32) {
        let demand = UnmetDemand {
            of: candidate,
            tasks,
        };
        self.plan.unmet_demands.push(demand);
    }
}

/// Active jobs and all pending jobs by arrival.
fn arrival_order<'p, 'a>(
    active: &'p [QueueEntry<'a>],
    pending: &'p PendingJobs<'a>,
) -> ArrivalOrder<
    'p,
    'a,
    impl Iterator<Item = (QueuePosition<'a>, &'a JobSummary)> + use<'p, 'a>,
    impl Iterator<Item = (QueuePosition<'a>, &'a JobSummary)> + use<'p, 'a>,
> {
    ArrivalOrder {
        active: active.iter().enumerate().peekable(),
        services: pending.services().peekable(),
        others: pending.batch_jobs().peekable(),
    }
}

/// The deferred active jobs and the pending jobs behind the blocked one, in the order of backfilling.
fn backfill_order<'p, 'a>(
    active: &'p [QueueEntry<'a>],
    pending: &'p PendingJobs<'a>,
    blockage: Blockage<'a>,
) -> impl Iterator<Item = (QueueCandidate<'a>, BackfillOrder<'a>)> + use<'p, 'a> {
    let Blockage {
        position,
        mut deferred,
    } = blockage;
    deferred.sort_by(|left, right| {
        let right = active[*right].backfill_order();
        active[*left].backfill_order().compare(&right)
    });
    let behind = pending
        .in_backfill_order()
        .filter(move |(order, _)| order.position > position);
    BackfillMerge {
        active,
        deferred: deferred.into_iter().peekable(),
        pending: behind.peekable(),
    }
}
