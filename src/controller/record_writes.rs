//! Record writes: acceptances of jobs and updates of job records share the write budget of the key-value store by turns.

use crate::controller::Controller;
use crate::protocol::{Clock, Micros};
use crate::records::record_writer::DueWrites;

/// Kinds of records that take turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordKind {
    /// New jobs.
    Acceptances,
    /// Updates of jobs, written by the leader.
    JobUpdates,
}

impl RecordKind {
    /// The kind to write after `self`, given how many records of each kind are due; at least one is.
    fn next(self, acceptances: usize, job_updates: usize) -> RecordKind {
        match (acceptances, job_updates, self) {
            (0, _, _) => RecordKind::JobUpdates,
            (_, 0, _) => RecordKind::Acceptances,
            (_, _, RecordKind::JobUpdates) => RecordKind::Acceptances,
            (_, _, RecordKind::Acceptances) => RecordKind::JobUpdates,
        }
    }
}

impl Controller {
    /// Hands due records to the store as far as it can take them at once; the rest stays in larger batches for later.
    /// Returns when to look again.
    pub(super) fn write_due_records(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let max_changes = self.settings.params.state.least_txn_ops();
        loop {
            // Under load hundreds of records wait and events come hundreds of times a second: which records are due is
            // only determined when the store can take one.
            let writable_at = self.store.changes_sendable_at(now, 1);
            if writable_at > now {
                return writable_at;
            }
            let acceptances = self.acceptances_due(now);
            let DueWrites {
                count: job_updates,
                next_at: next,
            } = self.due_job_writes(now);
            if acceptances + job_updates == 0 {
                return next;
            }
            let kind = self.last_record_kind.next(acceptances, job_updates);
            self.last_record_kind = kind;
            let due = match kind {
                RecordKind::JobUpdates => job_updates,
                RecordKind::Acceptances => acceptances,
            };
            // Half a transaction is worth sending; less only if no more is due.
            let min_batch = due.min(max_changes / 2).max(1);
            let sendable = self.store.sendable_changes(now, due.min(max_changes));
            let min_batch_at = self.store.changes_sendable_at(now, min_batch);
            if sendable < min_batch && min_batch_at > now {
                return min_batch_at.min(next);
            }
            if sendable == 0 {
                // Something is queued already: the store client says when it can be sent.
                return next;
            }
            match kind {
                RecordKind::JobUpdates => self.write_job_records(clock, sendable),
                RecordKind::Acceptances => self.write_acceptances(sendable),
            }
            self.send_store_requests(now);
        }
    }
}
