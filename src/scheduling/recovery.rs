//! The order in which jobs are considered after many tasks have been lost at once.
//!
//! The failure of a zone, or a simultaneous restart of many machines, causes the loss of hundreds of
//! tasks within a second or two. This module performs no I/O: it receives the number of lost tasks
//! from each pass, sorts the queue entries, and returns events to be logged when a recovery starts,
//! grows and finishes. Placements, rentals and writes are rate limited where they are made
//! (`scheduling::backfill`, `cloud`, `records::placement_batching`). The autoscaler counts machines
//! that may come back as free capacity.
//!
//! - Services with lost replicas are considered first, since clients notice every second without them. All
//!   other jobs keep the order of their acceptance, so that a job gains nothing from losing its machines
//!   before others do.
//! - Passes keep their usual placement limit. Machines come back spread over a report interval: a pass that
//!   placed all lost tasks at once overloaded the machines that came back first, which had fewer of the
//!   images (journal of 2026-12-01).
//! - A further loss during a recovery becomes part of it. The state of a recovery is not stored, since a new
//!   leader can derive it from records and heartbeats.

use crate::protocol::{JobKind, Micros};
use crate::scheduling::backfill::QueueEntry;
use std::fmt;

/// A recovery starts only if at least this many tasks are lost.
const MIN_LOST_TASKS: usize = 16;
/// A recovery starts only if at least this fraction of all placed tasks is lost.
const MIN_LOST_FRACTION: f64 = 0.02;

/// Numbers of lost tasks by kind of job.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LostTasks {
    /// Replicas of services.
    pub replicas: usize,
    /// Members of gangs.
    pub gang_members: usize,
    /// Tasks of arrays.
    pub array_tasks: usize,
}

impl LostTasks {
    /// Adds tasks of a job.
    pub fn add(&mut self, kind: JobKind, tasks: usize) {
        let count = match kind {
            JobKind::Service => &mut self.replicas,
            JobKind::Gang => &mut self.gang_members,
            JobKind::Array => &mut self.array_tasks,
        };
        *count += tasks;
    }

    fn total(&self) -> usize {
        self.replicas + self.gang_members + self.array_tasks
    }
}

/// A recovery that is in progress.
#[derive(Debug, Clone, Copy, PartialEq)]
struct OngoingRecovery {
    started_at: Micros,
    /// The largest number of tasks that were lost at the same time.
    peak: usize,
}

/// A change of a recovery that is logged for operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RecoveryEvent {
    /// Many tasks have been lost.
    Started(LostTasks),
    /// More tasks are lost than at any earlier time of the recovery.
    Grown {
        /// Number of tasks that are lost now.
        lost: usize,
    },
    /// No lost task is left.
    Finished {
        /// The largest number of tasks that were lost at the same time.
        peak: usize,
        /// Time since the recovery started.
        duration: Micros,
    },
}

impl fmt::Display for RecoveryEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecoveryEvent::Started(lost) => write!(
                formatter,
                "recovery started replicas={} gang_members={} array_tasks={}",
                lost.replicas, lost.gang_members, lost.array_tasks
            ),
            RecoveryEvent::Grown { lost } => write!(formatter, "recovery grown lost_tasks={lost}"),
            RecoveryEvent::Finished { peak, duration } => write!(
                formatter,
                "recovery finished peak_lost_tasks={peak} duration_s={:.1}",
                duration.as_secs()
            ),
        }
    }
}

/// Tracks the recovery in progress, if any.
#[derive(Debug, Default)]
pub struct Recovery {
    ongoing: Option<OngoingRecovery>,
}

impl Recovery {
    /// Updates the recovery with the results of a pass: the lost tasks that wait for a new placement, and
    /// the number of placed tasks. Returns an event if the recovery has changed.
    pub fn observe(
        &mut self,
        now: Micros,
        lost_tasks: LostTasks,
        placed_tasks: usize,
    ) -> Option<RecoveryEvent> {
        let lost = lost_tasks.total();
        let Some(ongoing) = &mut self.ongoing else {
            let fraction = (placed_tasks as f64 * MIN_LOST_FRACTION) as usize;
            if lost < MIN_LOST_TASKS.max(fraction) {
                return None;
            }
            self.ongoing = Some(OngoingRecovery {
                started_at: now,
                peak: lost,
            });
            return Some(RecoveryEvent::Started(lost_tasks));
        };
        if lost == 0 {
            let finished = RecoveryEvent::Finished {
                peak: ongoing.peak,
                duration: now.since(ongoing.started_at),
            };
            self.ongoing = None;
            return Some(finished);
        }
        // A further loss is part of the same recovery.
        let has_grown = lost > ongoing.peak;
        ongoing.peak = ongoing.peak.max(lost);
        has_grown.then_some(RecoveryEvent::Grown { lost })
    }

    /// Whether the job is a service that has lost replicas. Such jobs are considered before all others.
    pub fn has_lost_replicas(entry: &QueueEntry<'_>) -> bool {
        entry.lost_tasks > 0 && entry.spec.kind == JobKind::Service
    }

    /// Sorts queue entries into the order in which a pass considers them.
    pub fn sort_entries(entries: &mut [QueueEntry<'_>]) {
        entries.sort_by_key(|entry| {
            (
                !Recovery::has_lost_replicas(entry),
                entry.accepted_at,
                entry.id,
            )
        });
    }
}

#[cfg(test)]
mod tests;
