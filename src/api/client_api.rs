//! The client API: status requests, and code that all client requests share.

use crate::api::acceptance::PendingAcceptance;
use crate::api::refusal_rate::RefusalRate;
use crate::controller::Controller;
use crate::messages::PendingRequest;
use crate::protocol::client_api::JobState;
use crate::protocol::job::is_valid_job_id;
use crate::protocol::key_value_api::{Change, VersionCondition};
use crate::protocol::records::{JobRecord, JobStage, job_key};
use crate::protocol::{Clock, Micros};
use crate::state::record_cache::{Job, JobLookup};
use admission_control::lanes::FairQueue;
use admission_control::refusal::Refusals;
use std::collections::{BTreeMap, BTreeSet};

/// Number of refused submissions whose first attempt is remembered; each takes 16 bytes.
const REMEMBERED_REFUSALS: usize = 8_192;

/// Whether the cache is confirmed to be at least as new as the request that is being answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CacheFreshness {
    /// The cache may be stale: a response that newer records could change needs a read barrier first.
    Unconfirmed,
    /// A read barrier has completed since the request arrived.
    Confirmed,
}

/// Client requests in progress.
pub struct ClientApi {
    /// Submitted jobs whose records have not been confirmed as written, by job id.
    pub(super) acceptances: BTreeMap<String, PendingAcceptance>,
    /// Ids of the acceptances that wait to be written, by team and class.
    pub(super) queue: FairQueue<String, String, String>,
    /// Ids of the acceptances that are to be queued again, ordered by the time of the retry.
    pub(super) retries: BTreeSet<(Micros, String)>,
    /// First attempts of refused submissions.
    pub(super) refusals: Refusals,
    /// Number of submissions refused per second.
    pub(super) refusal_rate: RefusalRate,
    /// When acceptances are checked for expiry next; none expires earlier.
    pub(super) next_expiry_check: Micros,
    /// Number of acceptance transactions in flight.
    pub(super) transactions_in_flight: usize,
    /// Connections that wait for the result of a cancellation in flight, by job id.
    pub(super) cancellations: BTreeMap<String, Vec<u64>>,
}

impl ClientApi {
    /// Returns the number of acceptances that wait to be written.
    pub fn queued_acceptances(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of submissions refused in the last full second, or in the current one if that is higher.
    pub fn refusals_last_second(&self, now: Micros) -> f64 {
        self.refusal_rate.last_second(now)
    }
}

impl Default for ClientApi {
    fn default() -> ClientApi {
        ClientApi {
            acceptances: BTreeMap::new(),
            queue: FairQueue::new(1),
            retries: BTreeSet::new(),
            refusals: Refusals::new(REMEMBERED_REFUSALS),
            refusal_rate: RefusalRate::default(),
            next_expiry_check: Micros::ZERO,
            transactions_in_flight: 0,
            cancellations: BTreeMap::new(),
        }
    }
}

/// A job's state according to the cache.
pub(super) struct JobStatus {
    /// The job is done or cancelled, so its state is final.
    pub(super) terminal: bool,
    /// The state as it is sent to the client.
    pub(super) state: JobState,
}

/// Returns the status text of a job that has no running tasks.
fn status_text(stage: JobStage) -> &'static str {
    match stage {
        JobStage::Done => "done",
        JobStage::Cancelled => "cancelled",
        JobStage::Active => "pending",
    }
}

/// Returns the state of a job that the cache holds.
pub(super) fn job_status(id: &str, lookup: &JobLookup<'_>) -> JobStatus {
    match lookup {
        JobLookup::Finished(job) => {
            let done = (job.stage == JobStage::Done).then_some(job.tasks as u64);
            JobStatus {
                terminal: true,
                state: JobState {
                    id: id.to_string(),
                    status: status_text(job.stage).to_string(),
                    done,
                    running: Some(0),
                },
            }
        }
        JobLookup::Live(job) => live_job_status(id, job),
    }
}

fn live_job_status(id: &str, job: &Job) -> JobStatus {
    let stage = job.record.stage;
    let running = if stage == JobStage::Active {
        job.entries()
            .filter(|entry| entry.machine().is_some())
            .count() as u64
    } else {
        0
    };
    let status = if running > 0 {
        "running"
    } else {
        status_text(stage)
    };
    JobStatus {
        terminal: stage != JobStage::Active,
        state: JobState {
            id: id.to_string(),
            status: status.to_string(),
            done: Some(job.done_count()),
            running: Some(running),
        },
    }
}

impl Controller {
    /// Responds with a job's state. While a silence pledge of this controller is active, no cancellation is reported if
    /// the cache holds a cancellation or leadership claim that is newer than the pledge: a peer may still be renewing
    /// the lease of an agent that runs the job.
    pub(super) fn respond_with_state(
        &mut self,
        clock: Clock,
        conn: u64,
        status: u16,
        state: &JobState,
    ) {
        let last_cancellation_or_leader_change = self.cache.last_cancellation_or_leader_change;
        if state.status == status_text(JobStage::Cancelled)
            && !self
                .peers
                .silence_pledges
                .may_confirm(last_cancellation_or_leader_change, clock.now.0)
        {
            self.refuse(conn, 503, "not all controllers have heard that we are back");
            return;
        }
        self.respond(conn, status, state);
    }

    /// Refuses the request if the job's record cannot be read, and returns whether it did. Such a job was accepted and
    /// may have ended, so neither "no such job" nor a state would be a correct response.
    pub(super) fn refuse_if_unreadable(&mut self, conn: u64, id: &str) -> bool {
        let unreadable = self.cache.is_unreadable(id);
        if unreadable {
            self.refuse(conn, 503, "the job's record cannot be read");
        }
        unreadable
    }

    /// Handles `GET /submissions/{id}`.
    pub(crate) fn on_status_request(
        &mut self,
        clock: Clock,
        conn: u64,
        id: String,
        freshness: CacheFreshness,
    ) {
        if !is_valid_job_id(&id) {
            self.refuse(conn, 404, "no such job");
            return;
        }
        if self.refuse_if_unreadable(conn, &id) {
            return;
        }
        let status = self.cache.job(&id).map(|lookup| job_status(&id, &lookup));
        match status {
            Some(status) if status.terminal || freshness == CacheFreshness::Confirmed => {
                self.respond_with_state(clock, conn, 200, &status.state);
            }
            None if freshness == CacheFreshness::Confirmed => {
                self.refuse(conn, 404, "no such job");
            }
            _ => self.request_read_barrier(clock, PendingRequest::Status { conn, id }),
        }
    }

    /// Responds to the submission of a job that already has a record in the store.
    fn respond_to_resubmission(&mut self, clock: Clock, conn: u64, id: &str, status: u16) {
        if self.refuse_if_unreadable(conn, id) {
            return;
        }
        match self.cache.job(id) {
            Some(lookup) => {
                let state = job_status(id, &lookup).state;
                self.respond_with_state(clock, conn, status, &state);
            }
            None => self.refuse(conn, 503, "the job's record cannot be read yet"),
        }
    }

    /// Resumes a request after its read barrier has completed.
    pub(super) fn resume_request(&mut self, clock: Clock, request: PendingRequest) {
        let freshness = CacheFreshness::Confirmed;
        match request {
            PendingRequest::Status { conn, id } => {
                self.on_status_request(clock, conn, id, freshness);
            }
            PendingRequest::Resubmit { conn, id, status } => {
                self.respond_to_resubmission(clock, conn, &id, status);
            }
            PendingRequest::Submit { conn, id, spec } => {
                self.decide_submission(clock, conn, id, *spec, freshness);
            }
            PendingRequest::Cancel { conn, id } => self.on_cancel(clock, conn, id, freshness),
            PendingRequest::ConfirmLeadership => {}
            PendingRequest::SettleRenewalsWrite => self.settle_renewals_write(clock),
            PendingRequest::SettleJobWrite(write_id) => self.settle_job_write(write_id),
        }
    }

    /// Aborts a request whose read barrier has failed. A write of job records is retried instead.
    pub(super) fn abort_request(&mut self, clock: Clock, request: PendingRequest) {
        match request {
            PendingRequest::Status { conn, .. }
            | PendingRequest::Resubmit { conn, .. }
            | PendingRequest::Submit { conn, .. }
            | PendingRequest::Cancel { conn, .. } => {
                self.refuse(conn, 503, "the state service does not answer");
            }
            PendingRequest::ConfirmLeadership => {}
            PendingRequest::SettleRenewalsWrite => self.respond_without_record(clock),
            PendingRequest::SettleJobWrite(write_id) => self.retry_job_write(clock, write_id),
        }
    }
}

/// Returns an update of a job's record, and the condition that the record in the store still has the cached version
/// (compare-and-swap).
pub fn conditional_job_update(
    id: &str,
    job: &Job,
    record: &JobRecord,
) -> (VersionCondition, Change) {
    let key = job_key(id);
    (
        VersionCondition::new(&key, job.version),
        Change::put(&key, record, None),
    )
}
