//! Summaries of the records for controllers that started while the store was out of reach.

use super::ReceivedSummary;
use crate::controller::Controller;
use crate::protocol::peer_messages::RecordSummary;
use crate::protocol::records::JobStage;
use crate::protocol::{Clock, Micros};
use std::collections::BTreeSet;

impl Controller {
    /// The summary for a peer that has not read the records. Sent only while no controller can read them, so
    /// that it stays valid.
    pub(super) fn record_summary_for_peer(&self, clock: Clock) -> Option<RecordSummary> {
        let known = self.peer_coverage_ages(clock);
        // The coverage in `known` rests on reported cancellations as well, so they belong to the summary.
        let reported = self.peers.reported_cancellations.jobs();
        if !self.cache.synced {
            let received = &self.peers.record_summary.as_ref()?.summary;
            let cancelled: BTreeSet<&String> =
                received.cancelled_jobs.iter().chain(reported).collect();
            return Some(RecordSummary {
                peer_coverage_ages: known,
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
            peer_coverage_ages: known,
        })
    }

    /// Takes the summary of a peer to which a heartbeat was sent at `sent`.
    pub(super) fn on_record_summary(
        &mut self,
        clock: Clock,
        sent: Micros,
        mut summary: RecordSummary,
    ) {
        if self.cache.synced {
            return;
        }
        let previous = self.peers.record_summary.as_ref();
        if previous.is_some_and(|previous| previous.summary.revision > summary.revision) {
            return;
        }
        self.extend_coverage(None, sent, &summary.peer_coverage_ages);
        let previous = self.peers.record_summary.take();
        let leader_known_since = previous
            .as_ref()
            .filter(|previous| previous.summary.leader == summary.leader)
            .map(|previous| previous.leader_known_since);
        if let Some(previous) = previous {
            // The sender of newer records may not have heard of cancellations that an earlier sender had; a
            // cancellation is final.
            summary
                .cancelled_jobs
                .extend(previous.summary.cancelled_jobs);
        }
        summary.cancelled_jobs.sort_unstable();
        summary.cancelled_jobs.dedup();
        if leader_known_since.is_none() {
            log::info!("record summary received revision={}", summary.revision);
        }
        self.peers.record_summary = Some(ReceivedSummary {
            summary,
            leader_known_since: leader_known_since.unwrap_or(clock.now),
        });
    }

    /// For each peer, how long ago everything that it had told clients was known here, in microseconds.
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

    /// Extends the coverage of peers by the ages that a peer, asked at `sent`, has reported and whose underlying
    /// cancellations are known here now. `reporter`: the peer itself, which is left out.
    pub(super) fn extend_coverage(
        &mut self,
        reporter: Option<usize>,
        sent: Micros,
        ages: &[(String, u64)],
    ) {
        for (node, age) in ages {
            let Some(peer) = self.peer_index(node) else {
                continue;
            };
            if Some(peer) != reporter {
                let covered_until = sent.0.saturating_sub(*age);
                self.peers.coverage.extend(peer, covered_until);
            }
        }
    }
}
