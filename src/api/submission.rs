//! Submission of jobs: validation, and the decision to accept the job, refuse it, or confirm the cache first.

use crate::api::client_api::{CacheFreshness, job_status};
use crate::controller::Controller;
use crate::messages::PendingRequest;
use crate::protocol::cloud_api::MachineType;
use crate::protocol::codec::json_len;
use crate::protocol::format::PIPELINES;
use crate::protocol::job::parse;
use crate::protocol::records::TASKS_PER_CHUNK;
use crate::protocol::{Clock, JobKind, JobSpec, Settings};
use crate::scheduling::placement;
use crate::state::record_cache::JobLookup;

/// Size of a task's entry in a record, as JSON, for numbers as long as they get in operation.
const TASK_ENTRY_BYTES: usize = 27;
/// Size of a record as JSON, without the job description and the task entries.
const RECORD_OVERHEAD_BYTES: usize = 100;
/// The record of an array must have room for the entries of one in this many tasks of a full first chunk, so that the
/// array can make progress.
const ARRAY_CHUNK_DIVISOR: u32 = 4;
/// Tolerance of the comparison with a quota, to allow for rounding of fractional amounts.
const QUOTA_TOLERANCE: f64 = 1e-6;

/// Returns the size that a job's record needs in addition to the description. All tasks of the first chunk count for a
/// gang or a service, only a part of them for an array.
fn record_bytes_excluding_spec(spec: &JobSpec) -> usize {
    let max_entries = match spec.kind {
        JobKind::Array => TASKS_PER_CHUNK / ARRAY_CHUNK_DIVISOR,
        JobKind::Gang | JobKind::Service => TASKS_PER_CHUNK,
    };
    RECORD_OVERHEAD_BYTES + spec.tasks.min(max_entries) as usize * TASK_ENTRY_BYTES
}

/// Returns whether a task of the job fits on an empty machine of this type, and the job allows the type and its zones.
fn fits_machine_type(machine_type: &MachineType, spec: &JobSpec) -> bool {
    let zone_allowed = spec
        .zone
        .as_ref()
        .is_none_or(|zone| machine_type.zones.is_empty() || machine_type.zones.contains(zone));
    let type_allowed = spec
        .types
        .as_ref()
        .is_none_or(|names| names.contains(&machine_type.name));
    let capacity = [machine_type.cpus, machine_type.gpus, machine_type.memory_gb];
    zone_allowed
        && type_allowed
        && placement::slots(&capacity, &placement::task_resources(spec)) > 0
}

/// Returns why a job can never run, or `None` if it can.
pub fn reject_reason(
    settings: &Settings,
    types: &[MachineType],
    spec: &JobSpec,
) -> Option<&'static str> {
    let Some(team) = settings.team(&spec.team) else {
        return Some("unknown team");
    };
    if !types
        .iter()
        .any(|machine_type| fits_machine_type(machine_type, spec))
    {
        return Some("a task fits no allowed machine type");
    }
    // Tasks of an array can run one after another.
    let concurrent_tasks = match spec.kind {
        JobKind::Array => 1.0,
        JobKind::Gang | JobKind::Service => spec.tasks as f64,
    };
    let exceeds = |quota: f64, per_task: f64| {
        quota > 0.0 && per_task * concurrent_tasks > quota + QUOTA_TOLERANCE
    };
    if exceeds(team.cpus_max, spec.cpus) || exceeds(team.gpus_max, spec.gpus) {
        return Some("the job needs more than its team's limit");
    }
    None
}

/// How to proceed with the submission of a job that the cache does not hold.
enum SubmissionDecision {
    /// Accept the job: write its record.
    Accept,
    /// Decide again after a read barrier: the cache may lack changes that other controllers have written.
    ConfirmCache,
    /// Refuse the job with this status and error text.
    Refuse(u16, &'static str),
}

impl Controller {
    /// Handles `POST /submissions`.
    pub(crate) fn on_submit(&mut self, clock: Clock, conn: u64, body: &[u8]) {
        match parse(body) {
            Ok((id, spec)) => {
                self.decide_submission(clock, conn, id, spec, CacheFreshness::Unconfirmed);
            }
            Err(error) => {
                log::debug!("submission refused reason=malformed error=\"{error}\"");
                self.refuse(conn, 400, &error.to_string());
            }
        }
    }

    /// Decides on a well-formed submission.
    pub(super) fn decide_submission(
        &mut self,
        clock: Clock,
        conn: u64,
        id: String,
        spec: JobSpec,
        freshness: CacheFreshness,
    ) {
        if self.refuse_if_unreadable(conn, &id) {
            return;
        }
        if let Some(lookup) = self.cache.job(&id) {
            let job = job_status(&id, &lookup);
            if job.terminal || freshness == CacheFreshness::Confirmed {
                self.respond_with_state(clock, conn, 200, &job.state);
                return;
            }
            let status = 200;
            self.request_read_barrier(clock, PendingRequest::Resubmit { conn, id, status });
            return;
        }
        match self.submission_decision(&spec, freshness) {
            SubmissionDecision::Accept => self.accept_job(clock, conn, id, spec),
            SubmissionDecision::ConfirmCache => {
                let spec = Box::new(spec);
                self.request_read_barrier(clock, PendingRequest::Submit { conn, id, spec });
            }
            SubmissionDecision::Refuse(status, error) => self.refuse(conn, status, error),
        }
    }

    fn submission_decision(&self, spec: &JobSpec, freshness: CacheFreshness) -> SubmissionDecision {
        if !self.cache.synced {
            return SubmissionDecision::Refuse(503, "still reading the records");
        }
        let Some(types) = &self.cache.machine_types else {
            return SubmissionDecision::Refuse(503, "machine types are not known yet");
        };
        let unconfirmed = freshness == CacheFreshness::Unconfirmed;
        let reject = reject_reason(&self.settings, types, spec);
        match reject {
            // Another controller may have accepted the job when other machine types were available.
            Some(_) if unconfirmed => return SubmissionDecision::ConfirmCache,
            Some(error) => return SubmissionDecision::Refuse(422, error),
            None => {}
        }
        let too_large = self.record_too_large(spec);
        if too_large && !unconfirmed {
            let error = "the job fits into no record: its description or awaits is too long, \
                         or the gang is too wide";
            return SubmissionDecision::Refuse(400, error);
        }
        if !spec.dependencies.is_empty() && !self.all_controllers_read(PIPELINES) {
            // A controller of the first version drops unknown fields when it rewrites a record.
            let error = "jobs can wait for jobs once all controllers run this version";
            return SubmissionDecision::Refuse(503, error);
        }
        match self.all_needs_cached(spec) {
            Err(error) => SubmissionDecision::Refuse(422, error),
            Ok(true) if !too_large => SubmissionDecision::Accept,
            Ok(_) if unconfirmed => SubmissionDecision::ConfirmCache,
            Ok(_) => SubmissionDecision::Refuse(422, "awaits names a job that was never accepted"),
        }
    }

    /// Returns whether a job's record would exceed the store's limit on values, or a gang's placements the limit on
    /// transactions. The first version accepted larger jobs, so the caller must check after a read barrier that the job
    /// does not exist before it refuses it.
    fn record_too_large(&self, spec: &JobSpec) -> bool {
        let limits = &self.settings.params.state;
        let gang_too_wide = spec.kind == JobKind::Gang
            && spec.tasks.div_ceil(TASKS_PER_CHUNK) as usize > limits.effective_txn_ops();
        gang_too_wide
            || json_len(spec) + record_bytes_excluding_spec(spec) > limits.effective_value_bytes()
    }

    /// Returns whether the cache holds all jobs that a submission depends on, or an error if one of them is a service.
    fn all_needs_cached(&self, spec: &JobSpec) -> Result<bool, &'static str> {
        let mut all_cached = true;
        for need in &spec.dependencies {
            let is_service = match self.cache.job(need) {
                None => {
                    all_cached = false;
                    false
                }
                Some(JobLookup::Finished(job)) => job.service,
                Some(JobLookup::Live(job)) => job.record.spec.kind == JobKind::Service,
            };
            if is_service {
                return Err("awaits names a service, which is never done");
            }
        }
        Ok(all_cached)
    }
}
