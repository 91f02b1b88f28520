//! Cancellation of jobs.

use crate::api::client_api::{CacheFreshness, job_status};
use crate::controller::Controller;
use crate::messages::{PendingRequest, StoreRequestPurpose};
use crate::protocol::Clock;
use crate::protocol::job::is_valid_job_id;
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{JobRecord, JobStage, NEWEST_PLACEMENT_BATCH_KEY, job_key};
use crate::state::record_cache::{Job, JobLookup};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};

impl Controller {
    /// Handles `POST /submissions/{id}/cancel`.
    pub(crate) fn on_cancel(
        &mut self,
        clock: Clock,
        conn: u64,
        id: String,
        freshness: CacheFreshness,
    ) {
        if self.refuse_if_unreadable(conn, &id) {
            return;
        }
        match self.cache.job(&id) {
            Some(JobLookup::Live(job)) if job.active() => {
                let transaction = self.cancellation_transaction(clock, &id, job);
                self.request_cancellation(conn, id, transaction);
            }
            Some(lookup) => {
                let state = job_status(&id, &lookup).state;
                self.respond_with_state(clock, conn, 200, &state);
            }
            None if freshness == CacheFreshness::Unconfirmed && is_valid_job_id(&id) => {
                self.request_read_barrier(clock, PendingRequest::Cancel { conn, id });
            }
            None => self.refuse(conn, 404, "no such job"),
        }
    }

    /// Builds the transaction that cancels a job.
    fn cancellation_transaction(&self, clock: Clock, id: &str, job: &Job) -> Transaction {
        let record = JobRecord {
            stage: JobStage::Cancelled,
            ended_at: clock.wall,
            ..job.record.clone()
        };
        let key = job_key(id);
        let version = job.version;
        // The task entries in this record must include the placements in all batches written so far; otherwise the job
        // would appear to have no placed tasks. The condition fails if a newer batch exists.
        let batch_condition = VersionCondition::new(
            NEWEST_PLACEMENT_BATCH_KEY,
            self.cache.placement_batches.newest_version(),
        );
        Transaction {
            conditions: vec![VersionCondition::new(&key, version), batch_condition],
            changes: vec![Change::put(&key, &record, None)],
        }
    }

    /// Sends a cancellation, unless one for this job is in flight already. `conn` gets the result of the one in flight.
    fn request_cancellation(&mut self, conn: u64, id: String, transaction: Transaction) {
        let conns = self.client_api.cancellations.entry(id.clone()).or_default();
        conns.push(conn);
        if conns.len() > 1 {
            return;
        }
        self.store.enqueue(
            RequestPriority::Urgent,
            StoreRequestPurpose::CancelJob(id),
            StoreRequest::Transaction(transaction),
        );
    }

    /// Handles the result of a cancellation.
    pub(crate) fn on_cancellation_result(
        &mut self,
        clock: Clock,
        id: String,
        request: StoreRequest,
        response: StoreResponse,
    ) {
        let conns = self
            .client_api
            .cancellations
            .remove(&id)
            .unwrap_or_default();
        match response {
            StoreResponse::Committed(_) => {
                self.apply_if_committed(&request, &response);
                self.on_changed_jobs();
                for conn in conns {
                    self.on_cancel(clock, conn, id.clone(), CacheFreshness::Confirmed);
                }
            }
            StoreResponse::Conflict(_) | StoreResponse::Lost => {
                // Another controller may have changed the job, or this transaction may have been committed although its
                // response was lost. A read of the records shows which.
                for conn in conns {
                    let id = id.clone();
                    self.request_read_barrier(clock, PendingRequest::Cancel { conn, id });
                }
            }
            _ => {
                for conn in conns {
                    self.refuse(conn, 503, "the state service does not answer");
                }
            }
        }
    }
}
