//! Settlement of job writes: whether a transaction of job records was carried out, may still be carried out, or never will
//! be. Until that is known, its placements count, and its jobs are in no other write.

use crate::controller::Controller;
use crate::messages::{PendingRequest, StoreRequestPurpose, WriteId};
use crate::protocol::key_value_api::Transaction;
use crate::protocol::{Clock, Micros};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};

/// A transaction of job records in flight.
#[derive(Debug, Clone)]
pub(super) struct WriteInFlight {
    /// The jobs that it changes.
    pub(super) jobs: Vec<String>,
    pub(super) transaction: Transaction,
    /// It was sent at least once without a response, and may be or have been carried out.
    unanswered: bool,
    /// The store can no longer carry it out. It may have been carried out already.
    impossible: bool,
    /// It is settled after a confirmed read that was sent at this time or later.
    pub(super) settled_by_read_from: Option<Micros>,
}

impl WriteInFlight {
    /// A transaction that has not been sent yet.
    pub(super) fn new(jobs: Vec<String>, transaction: Transaction) -> WriteInFlight {
        WriteInFlight {
            jobs,
            transaction,
            unanswered: false,
            impossible: false,
            settled_by_read_from: None,
        }
    }

    /// Whether the failure of conditions on these keys is final. A record never gets an earlier version again; only a
    /// record that must not exist may be deleted.
    fn conflict_is_final(&self, failed: &[String]) -> bool {
        self.transaction
            .conditions
            .iter()
            .any(|condition| condition.version > 0 && failed.contains(&condition.key))
    }
}

impl Controller {
    /// Sends a transaction of job records to the store.
    pub(super) fn send_job_write(
        &mut self,
        priority: RequestPriority,
        write_id: WriteId,
        transaction: Transaction,
    ) {
        self.store.enqueue(
            priority,
            StoreRequestPurpose::WriteJobs(write_id),
            StoreRequest::Transaction(transaction),
        );
    }

    /// Handles the result of a transaction of job records, which may be that no response arrived.
    pub fn on_job_writes_result(
        &mut self,
        clock: Clock,
        write_id: WriteId,
        request: StoreRequest,
        response: StoreResponse,
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let writer = &mut leader.record_writer;
        let (Some(write), StoreRequest::Transaction(transaction)) =
            (writer.writes_in_flight.get_mut(&write_id), &request)
        else {
            return;
        };
        match response {
            StoreResponse::Committed(revision) => {
                self.apply_own_commit(transaction, revision);
                self.end_job_write(write_id);
                self.on_changed_jobs();
                self.send_commands(clock);
                return;
            }
            StoreResponse::Conflict(failed) => {
                write.impossible |= write.conflict_is_final(&failed);
            }
            StoreResponse::Rejected => {
                // An earlier sending that the store has not carried out yet is rejected as well.
                write.impossible = true;
                let unanswered = write.unanswered;
                writer.on_rejected(transaction);
                if !unanswered {
                    self.end_job_write(write_id);
                    return;
                }
            }
            // Not carried out, nor was any earlier sending: the changes will be derived again.
            StoreResponse::Refused | StoreResponse::RateLimited if !write.unanswered => {
                self.end_job_write(write_id);
                return;
            }
            // An earlier sending may still be carried out.
            StoreResponse::Refused | StoreResponse::RateLimited => {
                write.settled_by_read_from = Some(clock.now);
                self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
                return;
            }
            _ => {
                write.unanswered = true;
                log::info!("job write unanswered write={write_id}");
            }
        }
        self.request_read_barrier(clock, PendingRequest::SettleJobWrite(write_id));
    }

    fn end_job_write(&mut self, write_id: WriteId) {
        if let Some(leader) = &mut self.leader
            && leader.record_writer.end_write(write_id)
        {
            leader.dirty = true;
        }
    }

    /// Settles a failed or unanswered transaction once the cache has caught up. If the store may yet carry it out, it is
    /// sent again unchanged. Until it is settled, its placements count.
    pub fn settle_job_write(&mut self, write_id: WriteId) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(write) = leader.record_writer.writes_in_flight.get_mut(&write_id) else {
            return;
        };
        if write.impossible || !self.cache.may_commit(&write.transaction) {
            log::info!("job write settled write={write_id}");
            self.end_job_write(write_id);
        } else {
            log::info!("job write sent again write={write_id}");
            let transaction = write.transaction.clone();
            self.send_job_write(RequestPriority::Normal, write_id, transaction);
        }
    }

    /// Settles the writes that have waited for a confirmed read; this one was sent at `sent`.
    pub(crate) fn settle_job_writes_after_read(&mut self, sent: Micros) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for write_id in leader.record_writer.take_writes_settled_by_read(sent) {
            self.settle_job_write(write_id);
        }
    }

    /// Handles that the cache could not catch up after a transaction failed or got no response: sends it again with low
    /// priority, or, if the store can no longer carry it out, settles it after a later read.
    pub fn retry_job_write(&mut self, clock: Clock, write_id: WriteId) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(write) = leader.record_writer.writes_in_flight.get_mut(&write_id) else {
            return;
        };
        if write.impossible {
            write.settled_by_read_from = Some(clock.now);
            return;
        }
        let transaction = write.transaction.clone();
        self.send_job_write(RequestPriority::Background, write_id, transaction);
    }
}
