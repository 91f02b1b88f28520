//! The order in which jobs are considered after many tasks have been lost at once.
//!
//! A zone that falls silent, or many machines that restart together, displace hundreds of tasks within a
//! second or two. This module is pure: a pass reports how many displaced tasks it has found; it orders
//! the queue entries, and tells operators when a recovery begins, grows and ends. Placements, rentals
//! and writes are paced where they are made (`backfill`, `fleet`, `bundling`); rentals count machines that
//! may come back as free.
//!
//! - Replicas of services come back first, since clients miss them by the second. All other jobs keep
//!   the order of their acceptance, so none gains by its machines being lost first.
//! - Passes keep their usual size. Machines come back over a report interval; a pass that placed all
//!   displaced tasks at once crowded the machines that came back first, which had fewer of the images
//!   (journal of 2026-12-01).
//! - A second loss during a recovery joins it. A new leader starts a recovery from what records and
//!   heartbeats show; nothing about it is kept in the store, since it all follows from those.

use crate::protocol::{JobKind, Micros};
use crate::scheduling::backfill::QueueEntry;
use std::fmt;

/// Fewer lost tasks than this are not a recovery.
const MIN_LOST_TASKS: usize = 16;
/// Less than this fraction of all placed tasks is not a recovery.
const MIN_LOST_FRACTION: f64 = 0.02;

/// Number of displaced tasks, by the kind of their jobs.
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

/// A change in a recovery that operators should know about.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RecoveryEvent {
    /// Many tasks have been lost.
    Started(LostTasks),
    /// More tasks are lost than before.
    Grown {
        /// Number of tasks that are lost now.
        lost: usize,
    },
    /// All tasks have been placed again.
    Finished {
        /// The largest number of tasks that were lost at the same time.
        peak: usize,
        /// Time since the loss was seen.
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

/// Tracks whether a recovery is in progress.
#[derive(Debug, Default)]
pub struct Recovery {
    ongoing: Option<OngoingRecovery>,
}

impl Recovery {
    /// Takes the result of a pass: the displaced tasks that it has found, and the number of tasks that
    /// are placed on record.
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
        // A second loss joins the recovery.
        let has_grown = lost > ongoing.peak;
        ongoing.peak = ongoing.peak.max(lost);
        has_grown.then_some(RecoveryEvent::Grown { lost })
    }

    /// Whether a job is considered before all others: a service that has lost replicas.
    pub fn is_urgent(entry: &QueueEntry<'_>) -> bool {
        entry.lost_tasks > 0 && entry.spec.kind == JobKind::Service
    }

    /// Sorts queue entries into the order in which a pass considers them.
    pub fn sort_entries(entries: &mut [QueueEntry<'_>]) {
        entries.sort_by_key(|entry| (!Recovery::is_urgent(entry), entry.accepted_at, entry.id));
    }
}

#[cfg(test)]
mod tests;
