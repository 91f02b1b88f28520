//! Record writes: acceptances of jobs and updates of job records alternate in using the write budget of the key-value
//! store.

use crate::controller::Controller;
use crate::protocol::{Clock, Micros};
use crate::records::record_writer::DueWrites;

/// Kinds of record writes that alternate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordKind {
    /// New jobs.
    Acceptances,
    /// Updates of jobs, written by the leader.
    JobUpdates,
}

impl RecordKind {
    /// Returns the kind to write after `self`, given the number of records due of each kind; at least one must be due.
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
    /// Sends due records to the store as far as the write budget allows now. The rest waits, so that later transactions
    /// are larger. Returns when to check again.
    pub(super) fn write_due_records(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let max_changes = self.settings.params.state.effective_txn_ops();
        loop {
            // Finding the due records is expensive under load, when hundreds of records wait and hundreds of events
            // arrive per second. It is skipped while the budget does not allow even one write.
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
            // A transaction is sent once it is at least half full, or holds all records that are due.
            let min_batch = due.min(max_changes / 2).max(1);
            let sendable = self.store.sendable_changes(now, due.min(max_changes));
            let min_batch_at = self.store.changes_sendable_at(now, min_batch);
            if sendable < min_batch && min_batch_at > now {
                return min_batch_at.min(next);
            }
            if sendable == 0 {
                // Other requests are queued ahead; `StoreClient::next_send_at` gives the time at which they can be
                // sent.
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
