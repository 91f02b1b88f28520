//! Exchange of cancellations between controllers, for the time when one of them cannot read the store.

use crate::controller::Controller;
use crate::protocol::Clock;
use crate::protocol::peer_messages::{CancellationCursor, CancellationUpdate, MOST_CANCELLATIONS};
use crate::state::record_cache::RecordCache;
use lease_delegation::cancellations::ReportedCancellations;

impl Controller {
    /// Revision up to which all cancellations are known, from the records or from a peer's summary of them.
    pub(super) fn cancellations_known_to_revision(&self) -> Option<u64> {
        if self.cache.synced {
            return Some(self.cache.revision);
        }
        let received = self.peers.record_summary.as_ref()?;
        Some(received.summary.revision)
    }

    /// The part of our log that a peer with this cursor does not know; none if the log no longer holds all of
    /// it.
    pub(super) fn cancellation_news(
        &mut self,
        clock: Clock,
        cursor: &CancellationCursor,
    ) -> Option<CancellationUpdate> {
        self.log_cancellations();
        let from = cursor.from(self.incarnation);
        let log = &self.peers.cancellation_log;
        let batch = log.batch(from, cursor.complete, MOST_CANCELLATIONS)?;
        Some(CancellationUpdate {
            lead: self.leader_record_version(),
            from: batch.from,
            next: batch.next,
            more: batch.has_more,
            jobs: batch.jobs,
            known: self.peer_coverage_ages(clock),
        })
    }

    /// Appends the cancellations that the cache has newly shown to our log.
    pub(super) fn log_cancellations(&mut self) {
        for (job, version) in self.cache.take_cancelled() {
            self.peers.cancellation_log.append(&job, version);
        }
    }

    /// Takes a batch of the log of this run of a peer: new cancellations are added to our own log, and the
    /// machines of the cancelled jobs get their commands at once.
    ///
    /// Returns whether this controller now knows of everything that the peer had told clients.
    pub(super) fn on_cancellation_news(
        &mut self,
        clock: Clock,
        peer: usize,
        run: u64,
        news: &CancellationUpdate,
    ) -> bool {
        let reported = &mut self.peers.reported_cancellations;
        let applied = reported.apply(peer, run, &news.batch(), clock.now.0);
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
        if news.more {
            // The rest is requested without waiting for the next heartbeat.
            self.peers.incomplete_log_peer = Some(peer);
        }
        let known_revision = self.cancellations_known_to_revision().unwrap_or(0);
        applied.log_complete && news.lead <= self.leader_record_version().max(known_revision)
    }

    /// Version of the leader record in the cache; 0: there is none.
    fn leader_record_version(&self) -> u64 {
        self.cache
            .leader
            .as_ref()
            .map_or(0, |(_, version)| *version)
    }

    /// Whether a job is known to be cancelled, from the records or from a peer.
    pub(crate) fn is_cancelled(&self, job: &str) -> bool {
        let in_summary = || {
            let received = self.peers.record_summary.as_ref();
            received.is_some_and(|received| received.summary.cancelled.iter().any(|id| id == job))
        };
        known_cancelled(&self.cache, &self.peers.reported_cancellations, job) || in_summary()
    }
}

/// Whether a job is cancelled according to the records or to peers' reports. A report does not count for a job
/// that the records show as done.
pub fn known_cancelled(cache: &RecordCache, reported: &ReportedCancellations, job: &str) -> bool {
    cache.is_cancelled(job) || reported.contains(job) && !cache.is_done(job)
}
