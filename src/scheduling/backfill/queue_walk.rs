//! Walk over the queue: in order of arrival up to the first blocked gang or array, then in the order of
//! backfilling.

use crate::protocol::JobKind;
use crate::scheduling::backfill::preempt::BlockedJob;
use crate::scheduling::backfill::{QueueCandidate, QueueEntry, SchedulingPass, UnmetDemand};
use crate::scheduling::job_queue::JobSummary;
use crate::scheduling::pending_jobs::{BackfillOrder, PendingJobs, QueuePosition};
use crate::scheduling::recovery::Recovery;
use std::iter::{Enumerate, Peekable};
use std::slice;

/// The point of the queue from which on gangs and arrays are backfilled.
struct Blockage<'a> {
    /// Position of the first gang or array that did not fit as a whole.
    position: QueuePosition<'a>,
    /// Indices of the active gangs and arrays behind that job.
    deferred: Vec<usize>,
}

/// Merges active and pending jobs in order of arrival. Urgent active jobs (`Recovery::has_lost_replicas`) come first.
struct ArrivalOrder<'p, 'a, S: Iterator, B: Iterator> {
    active: Peekable<Enumerate<slice::Iter<'p, QueueEntry<'a>>>>,
    services: Peekable<S>,
    batch_jobs: Peekable<B>,
}

impl<'a, S, B> ArrivalOrder<'_, 'a, S, B>
where
    S: Iterator<Item = (QueuePosition<'a>, &'a JobSummary)>,
    B: Iterator<Item = (QueuePosition<'a>, &'a JobSummary)>,
{
    /// The next job and its position. Once the queue is `blocked`, pending gangs and arrays are skipped,
    /// because backfilling considers them. Active ones are still returned, so that the caller can defer them.
    fn next(&mut self, blocked: bool) -> Option<(QueueCandidate<'a>, QueuePosition<'a>)> {
        let service = self.services.peek().map(|(position, _)| *position);
        let batch_job = match blocked {
            true => None,
            false => self.batch_jobs.peek().map(|(position, _)| *position),
        };
        let pending = [service, batch_job].into_iter().flatten().min();
        let active_is_next = |(_, entry): &(usize, &QueueEntry<'a>)| {
            Recovery::has_lost_replicas(entry)
                || pending.is_none_or(|pending_position| entry.position() < pending_position)
        };
        if let Some((index, entry)) = self.active.next_if(active_is_next) {
            return Some((QueueCandidate::Active(index), entry.position()));
        }
        let position = pending?;
        let next = if Some(position) == service {
            self.services.next()
        } else {
            self.batch_jobs.next()
        };
        next.map(|(position, summary)| (QueueCandidate::Pending(summary), position))
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

    /// Considers all jobs in order of arrival up to the first blocked gang or array, and only services behind
    /// it.
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
            // The tasks of an array are independent, so the unplaced ones may preempt others even if some
            // were placed. A service of which some replicas were placed waits for a later pass.
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

    /// Backfills gangs and arrays behind the blocked job: starved jobs first, then by estimated run time,
    /// shortest first.
    fn walk_backfill(&mut self, blockage: Blockage<'a>) {
        let mut order = backfill_order(self.active, self.pending, blockage);
        let mut starved_gang_found = false;
        while !self.is_full() {
            let Some((candidate, sort_key)) = order.next() else {
                break;
            };
            let unplaced = self.start_candidate(candidate, true);
            if unplaced == 0 {
                continue;
            }
            self.record_unmet_demand(candidate, unplaced);
            // The first starved gang counts as the head of the queue, too: otherwise no gang would ever do
            // so behind a job that never fits as a whole, such as an array larger than the cluster.
            let starved_gang = sort_key.starved && self.kind_of(candidate) == JobKind::Gang;
            let at_head = starved_gang && !starved_gang_found;
            starved_gang_found |= at_head;
            self.preempt_for(&BlockedJob {
                candidate,
                position: sort_key.position,
                unplaced,
                at_head,
                backfilling: true,
            });
        }
    }

    /// Adds the number of tasks that found no machine to the plan.
    fn record_unmet_demand(&mut self, candidate: QueueCandidate<'a>, tasks: u32) {
        let demand = UnmetDemand { candidate, tasks };
        self.plan.unmet_demands.push(demand);
    }
}

/// Active jobs and all pending jobs in order of arrival.
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
        batch_jobs: pending.batch_jobs().peekable(),
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
    let pending_behind = pending
        .in_backfill_order()
        .filter(move |(order, _)| order.position > position);
    BackfillMerge {
        active,
        deferred: deferred.into_iter().peekable(),
        pending: pending_behind.peekable(),
    }
}
