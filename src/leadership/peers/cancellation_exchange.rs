//! Exchange of cancellations between controllers, needed while one of them cannot read the store.

use crate::controller::Controller;
use crate::protocol::Clock;
use crate::protocol::peer_messages::{CancellationCursor, CancellationUpdate, MAX_CANCELLATIONS};
use crate::state::record_cache::RecordCache;
use lease_delegation::cancellations::ReportedCancellations;

impl Controller {
    /// Revision up to which this controller has all cancellations, from the records or from a peer's summary of them.
    pub(super) fn cancellations_complete_to_revision(&self) -> Option<u64> {
        if self.cache.synced {
            return Some(self.cache.revision);
        }
        let received = self.peers.record_summary.as_ref()?;
        Some(received.summary.revision)
    }

    /// The next batch of this controller's log for a peer with this cursor; `None` if the log no longer holds all
    /// entries that the peer lacks.
    pub(super) fn cancellation_update(
        &mut self,
        clock: Clock,
        cursor: &CancellationCursor,
    ) -> Option<CancellationUpdate> {
        self.log_cancellations();
        let from = cursor.first_entry(self.incarnation);
        let log = &self.peers.cancellation_log;
        let batch = log.batch(from, cursor.complete_revision, MAX_CANCELLATIONS)?;
        Some(CancellationUpdate {
            leader_version: self.leader_record_version(),
            first_entry: batch.from,
            next_entry: batch.next,
            has_more: batch.has_more,
            jobs: batch.jobs,
            peer_coverage_ages: self.peer_coverage_ages(clock),
        })
    }

    /// Appends the cancellations that are new in the cache to this controller's log.
    pub(super) fn log_cancellations(&mut self) {
        for (job, version) in self.cache.take_cancelled() {
            self.peers.cancellation_log.append(&job, version);
        }
    }

    /// Applies a batch of the log of this incarnation of a peer. New cancellations are added to this controller's own
    /// log, and a leader checks the machines of the cancelled jobs at once to send them their commands.
    ///
    /// Returns whether this controller now has every cancellation and leadership change that the peer had when it
    /// responded.
    pub(super) fn on_cancellation_update(
        &mut self,
        clock: Clock,
        peer: usize,
        incarnation: u64,
        update: &CancellationUpdate,
    ) -> bool {
        let reported = &mut self.peers.reported_cancellations;
        let applied = reported.apply(peer, incarnation, &update.batch(), clock.now.0);
        if !applied.new_jobs.is_empty() {
            let node = &self.settings.peers[peer].node;
            log::debug!(
                "cancellations received peer={node} jobs={}",
                applied.new_jobs.len()
            );
        }
        for (job, version) in applied.new_jobs {
            if let Some(leader) = &mut self.leader
                && let Some(cached_job) = self.cache.jobs.get(&job)
            {
                let machines = cached_job.entries().filter_map(|entry| entry.machine());
                leader
                    .machines_to_check
                    .extend(machines.map(str::to_string));
            }
            self.peers.cancellation_log.append(&job, version);
        }
        if update.has_more {
            // The next batch is requested without waiting for the next regular heartbeat.
            self.peers.incomplete_log_peer = Some(peer);
        }
        let complete_to_revision = self.cancellations_complete_to_revision().unwrap_or(0);
        applied.log_complete
            && update.leader_version <= self.leader_record_version().max(complete_to_revision)
    }

    /// Version of the leader record in the cache; 0 if there is none.
    fn leader_record_version(&self) -> u64 {
        self.cache
            .leader
            .as_ref()
            .map_or(0, |(_, version)| *version)
    }

    /// Whether a job is cancelled according to the records, peers' reports or a peer's record summary.
    pub(crate) fn is_cancelled(&self, job: &str) -> bool {
        let in_summary = || {
            let received = self.peers.record_summary.as_ref();
            received
                .is_some_and(|received| received.summary.cancelled_jobs.iter().any(|id| id == job))
        };
        recorded_or_reported_cancelled(&self.cache, &self.peers.reported_cancellations, job)
            || in_summary()
    }
}

/// Whether a job is cancelled according to the records or peers' reports. A report is ignored if the job is done
/// according to the records.
pub fn recorded_or_reported_cancelled(
    cache: &RecordCache,
    reported: &ReportedCancellations,
    job: &str,
) -> bool {
    cache.is_cancelled(job) || reported.contains(job) && !cache.is_done(job)
}
