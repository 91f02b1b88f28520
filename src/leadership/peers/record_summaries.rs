//! Summaries of the records for controllers that started while the store was unavailable.

use super::ReceivedSummary;
use crate::controller::Controller;
use crate::protocol::peer_messages::RecordSummary;
use crate::protocol::records::JobStage;
use crate::protocol::{Clock, Micros};
use std::collections::BTreeSet;

impl Controller {
    /// The summary for a peer that has not read the records. Sent only while the store is unavailable, so that the
    /// summary stays valid.
    pub(super) fn record_summary_for_peer(&self, clock: Clock) -> Option<RecordSummary> {
        let coverage_ages = self.peer_coverage_ages(clock);
        // The coverage ages are based on reported cancellations as well, so the summary must contain them.
        let reported = self.peers.reported_cancellations.jobs();
        if !self.cache.synced {
            let received = &self.peers.record_summary.as_ref()?.summary;
            let cancelled: BTreeSet<&String> =
                received.cancelled_jobs.iter().chain(reported).collect();
            return Some(RecordSummary {
                peer_coverage_ages: coverage_ages,
                cancelled_jobs: cancelled.into_iter().cloned().collect(),
                ..received.clone()
            });
        }
        let (leader, _) = self.cache.leader.as_ref()?;
        let recorded = self
            .cache
            .jobs
            .iter()
            .filter(|(_, job)| job.record.stage == JobStage::Cancelled)
            .map(|(id, _)| id);
        Some(RecordSummary {
            leader: leader.clone(),
            revision: self.cache.revision,
            cancelled_jobs: recorded.chain(reported).cloned().collect(),
            peer_coverage_ages: coverage_ages,
        })
    }

    /// Applies the summary in a peer's response to a heartbeat that was sent at `sent_at`.
    pub(super) fn on_record_summary(
        &mut self,
        clock: Clock,
        sent_at: Micros,
        mut summary: RecordSummary,
    ) {
        if self.cache.synced {
            return;
        }
        let previous = self.peers.record_summary.as_ref();
        if previous.is_some_and(|previous| previous.summary.revision > summary.revision) {
            return;
        }
        self.extend_coverage(None, sent_at, &summary.peer_coverage_ages);
        let previous = self.peers.record_summary.take();
        let leader_observed_since = previous
            .as_ref()
            .filter(|previous| previous.summary.leader == summary.leader)
            .map(|previous| previous.leader_observed_since);
        if let Some(previous) = previous {
            // The sender of a newer summary may lack cancellations that an earlier sender had. They stay valid, since
            // a cancellation is final.
            summary
                .cancelled_jobs
                .extend(previous.summary.cancelled_jobs);
        }
        summary.cancelled_jobs.sort_unstable();
        summary.cancelled_jobs.dedup();
        if leader_observed_since.is_none() {
            log::info!("record summary received revision={}", summary.revision);
        }
        self.peers.record_summary = Some(ReceivedSummary {
            summary,
            leader_observed_since: leader_observed_since.unwrap_or(clock.now),
        });
    }

    /// For each peer, the age of its coverage in microseconds: the time since this controller last had every
    /// cancellation that the peer had reported to clients.
    pub(super) fn peer_coverage_ages(&self, clock: Clock) -> Vec<(String, u64)> {
        let age = |peer: usize| {
            let covered_until = self
                .peers
                .coverage
                .covered_until(peer)
                .max(self.confirmed_read_at.0);
            clock.now.0.saturating_sub(covered_until)
        };
        let peers = self.settings.peers.iter().enumerate();
        peers
            .map(|(index, peer)| (peer.node.clone(), age(index)))
            .collect()
    }

    /// Extends the coverage of peers with the coverage ages in a response to a heartbeat that was sent at `sent_at`.
    /// This controller must already have the cancellations on which the ages are based. `reporter` is the responding
    /// peer if it is to be skipped.
    pub(super) fn extend_coverage(
        &mut self,
        reporter: Option<usize>,
        sent_at: Micros,
        ages: &[(String, u64)],
    ) {
        for (node, age) in ages {
            let Some(peer) = self.peer_index(node) else {
                continue;
            };
            if Some(peer) != reporter {
                let covered_until = sent_at.0.saturating_sub(*age);
                self.peers.coverage.extend(peer, covered_until);
            }
        }
    }
}
