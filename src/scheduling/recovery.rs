//! What comes back, in which order, when much is lost at once.
//!
//! A zone that falls silent, or many machines that restart together, leave hundreds of tasks without
//! a place within a second or two. The planner is pure: a pass tells it what it found lost, and it
//! tells the pass in which order jobs are considered, and operators what is going on. Room itself,
//! rentals and writes are paced where they are made (`fleet`, `bundling`); machines that may come
//! back count as room there.
//!
//! - Replicas come back first: people miss them by the second. Everything else keeps the order of its
//!   acceptance, so nobody moves ahead because their machines came back sooner.
//! - Passes keep their usual size. Machines come back over a report interval; one pass that placed all
//!   at once crowded those that came first, where fewer images were to be found (journal of
//!   2026-12-01).
//! - A second loss during a recovery joins it. A new leader starts one from what records and reports
//!   show; nothing of it is kept in the store, since it all follows from those.

use crate::protocol::{JobKind, Micros};
use crate::scheduling::backfill::QueueEntry;

/// So many lost tasks at once are a recovery, if they are also this part of all.
const LEAST: usize = 16;
const PART: f64 = 0.02;

/// Tasks without a place that had one, by what they belong to.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LostTask {
    /// Of services.
    pub replicas: usize,
    /// Of gangs.
    pub members: usize,
    /// Of arrays.
    pub singles: usize,
}

impl LostTask {
    /// Counts tasks of a job.
    pub fn add(&mut self, kind: JobKind, tasks: usize) {
        *match kind {
            JobKind::Service => &mut self.replicas,
            JobKind::Gang => &mut self.members,
            JobKind::Array => &mut self.singles,
        } += tasks;
    }

    fn all(&self) -> usize {
        self.replicas + self.members + self.singles
    }
}

/// A recovery that is going on.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RecoveryWave {
    since: Micros,
    most: usize,
}

/// The planner.
#[derive(Debug, Default)]
pub struct Recovery {
    wave: Option<RecoveryWave>,
}

impl Recovery {
    /// What a pass has found lost, and how many tasks have a place on record. Returns what is to be
    /// told about it.
    pub fn observe(&mut self, now: Micros, lost: LostTask, placed: usize) -> Option<String> {
        let n = lost.all();
        match &mut self.wave {
            None if n >= LEAST.max((placed as f64 * PART) as usize) => {
                self.wave = Some(RecoveryWave {
                    since: now,
                    most: n,
                });
                Some(format!(
                    "recovery: {} replicas, {} members of gangs and {} tasks of arrays have lost \
                     their places; replicas come back first, the rest as it was accepted",
                    lost.replicas, lost.members, lost.singles
                ))
            }
            None => None,
            Some(w) if n == 0 => {
                let told = format!(
                    "recovery: all of up to {} tasks have places again, {:.1} s after the loss was \
                     seen",
                    w.most,
                    now.since(w.since).as_secs()
                );
                self.wave = None;
                Some(told)
            }
            Some(w) => {
                // A second loss joins the first.
                let more = n > w.most;
                w.most = w.most.max(n);
                more.then(|| format!("recovery: {n} tasks are without their places now"))
            }
        }
    }

    /// Whether a job comes ahead of its turn: a service that has lost replicas.
    pub fn first(item: &QueueEntry<'_>) -> bool {
        item.lost > 0 && item.spec.kind == JobKind::Service
    }

    /// Puts jobs into the order in which they are considered.
    pub fn order(items: &mut [QueueEntry<'_>]) {
        items.sort_by_key(|i| (!Recovery::first(i), i.at, i.id));
    }
}

#[cfg(test)]
mod tests;
