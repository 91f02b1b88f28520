//! Acceptance of jobs: a submission waits in the queue of its team and class until its record is committed to the
//! key-value store. Only then does the client get a response.

use crate::api::client_api::job_status;
use crate::controller::Controller;
use crate::messages::{PendingRequest, StoreRequestPurpose};
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{JobRecord, JobStage, TaskChunk, job_key};
use crate::protocol::settings::Team;
use crate::protocol::{Clock, JobSpec, Micros, Settings};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};
use admission_control::lanes::{PushOutcome, Ticket};

/// A submission whose record is not written within this time is refused. Clients time out after 5 s.
const SUBMISSION_TIMEOUT: Micros = Micros::millis(4000);
/// Capacity of the queue, as the number of seconds the store needs to write all of it.
const QUEUE_CAPACITY_S: f64 = 2.5;
/// Delay before a record is written again after the response was lost or the store was rate limiting.
const RETRY_DELAY: Micros = Micros::millis(150);
/// Maximum number of acceptance transactions in flight.
const MAX_TRANSACTIONS_IN_FLIGHT: usize = 2;
/// Error text for a submission that is refused because the queue is full.
const QUEUE_FULL: &str = "too many submissions at once";

/// Progress of an acceptance.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AcceptanceStage {
    /// Waits in the queue of its team and class.
    Queued(Ticket),
    /// Its transaction is in flight.
    InFlight(Ticket),
    /// Its transaction was not committed, or the response was lost; it is queued again at this time.
    RetryAt(Ticket, Micros),
}

/// A submitted job whose record has not been confirmed as written.
pub(crate) struct PendingAcceptance {
    /// Connections whose request came before the record was sent. They get the job's state as of the write.
    conns: Vec<u64>,
    /// Connections whose request came while the record was in flight. If the store's response is late, the record may
    /// have been written before the request came and the job may already have ended: these connections must get the
    /// job's state as of their own request or later.
    conns_while_in_flight: Vec<u64>,
    record: JobRecord,
    /// When this controller queued the submission.
    queued_at: Micros,
    /// When the client first submitted the job, or `queued_at` if no earlier refusal is remembered.
    first_attempt: Micros,
    stage: AcceptanceStage,
    /// The response to an earlier write was lost, so the record may already exist in the store.
    maybe_written: bool,
    /// The store rejected a transaction that held this record and others. The transaction may have been too large, so
    /// the record is written in one of its own.
    write_alone: bool,
}

impl PendingAcceptance {
    /// Removes and returns the connections of all requests that wait for this acceptance.
    fn take_conns(&mut self) -> Vec<u64> {
        let mut conns = std::mem::take(&mut self.conns);
        conns.append(&mut self.conns_while_in_flight);
        conns
    }
}

/// Creates the record of a job that is accepted now; none of its tasks is placed.
fn new_job_record(clock: Clock, spec: JobSpec) -> JobRecord {
    JobRecord {
        spec,
        accepted_at: clock.wall,
        stage: JobStage::Active,
        ended_at: Micros::ZERO,
        first_chunk: TaskChunk::default(),
        cleaned: false,
    }
}

/// Weight of a team in the fair queue: 1 plus the larger of the team's shares of all guaranteed CPUs and GPUs.
fn team_weight(settings: &Settings, name: &str) -> f64 {
    let share = |guarantee: fn(&Team) -> f64| {
        let total: f64 = settings.params.teams.iter().map(guarantee).sum();
        let team_guarantee = settings.team(name).map_or(0.0, guarantee);
        if total > 0.0 {
            team_guarantee / total
        } else {
            0.0
        }
    };
    1.0 + share(|team| team.cpus).max(share(|team| team.gpus))
}

impl Controller {
    /// Queues a job for acceptance, or refuses it if the queue is full. A repeated submission is answered together with
    /// the first one.
    pub(crate) fn accept_job(&mut self, clock: Clock, conn: u64, id: String, spec: JobSpec) {
        if let Some(acceptance) = self.client_api.acceptances.get_mut(&id) {
            match acceptance.stage {
                AcceptanceStage::InFlight(_) => acceptance.conns_while_in_flight.push(conn),
                AcceptanceStage::Queued(_) | AcceptanceStage::RetryAt(..) => {
                    acceptance.conns.push(conn);
                }
            }
            return;
        }
        self.limit_acceptance_queue();
        let api = &mut self.client_api;
        let first_attempt = Micros(api.refusals.first_attempt(&id, clock.now.0));
        let weight = team_weight(&self.settings, &spec.team);
        let (team, class) = (spec.team.clone(), spec.class.clone());
        let ticket = match api
            .queue
            .push(team, weight, class, first_attempt.0, id.clone())
        {
            PushOutcome::Queued(ticket) => ticket,
            PushOutcome::Evicted(ticket, evicted) => {
                self.refuse_acceptance(clock, &evicted);
                ticket
            }
            PushOutcome::Rejected(_) => {
                let retry_after = self.record_refusal(clock, &id, first_attempt, &spec);
                self.refuse_with_retry_after(conn, QUEUE_FULL, retry_after);
                return;
            }
        };
        let acceptance = PendingAcceptance {
            conns: vec![conn],
            conns_while_in_flight: Vec::new(),
            record: new_job_record(clock, spec),
            queued_at: clock.now,
            first_attempt,
            stage: AcceptanceStage::Queued(ticket),
            maybe_written: false,
            write_alone: false,
        };
        self.client_api.acceptances.insert(id, acceptance);
        self.client_api.next_expiry_check = Micros::ZERO;
    }

    /// Limits the queue to what can be written before clients time out. When it is full, the newest submission of the
    /// longest lane is refused at once, so that a flood in one class does not cause refusals in another.
    fn limit_acceptance_queue(&mut self) {
        let capacity = (self.store.write_rate() * QUEUE_CAPACITY_S) as usize + 1;
        let api = &mut self.client_api;
        let outside_queue = api.acceptances.len() - api.queue.len();
        api.queue
            .set_capacity(capacity.saturating_sub(outside_queue).max(1));
    }

    /// Records a refusal and the time of the submission's first attempt; returns the `Retry-After` in seconds.
    fn record_refusal(
        &mut self,
        clock: Clock,
        id: &str,
        first_attempt: Micros,
        spec: &JobSpec,
    ) -> u32 {
        let api = &mut self.client_api;
        api.refusal_rate.record(clock.now);
        api.refusals.record(id, first_attempt.0, clock.now.0);
        let queued_before = api.queue.lane_len(&spec.team, &spec.class);
        let rate = self.store.write_rate() / api.queue.non_empty_lanes().max(1) as f64;
        api.refusals
            .retry_after(id, queued_before, rate, clock.now.0)
    }

    /// Removes an acceptance that is not in flight, and refuses its requests.
    fn refuse_acceptance(&mut self, clock: Clock, id: &str) {
        let Some(mut acceptance) = self.remove_acceptance(id) else {
            return;
        };
        let retry_after =
            self.record_refusal(clock, id, acceptance.first_attempt, &acceptance.record.spec);
        for conn in acceptance.take_conns() {
            self.refuse_with_retry_after(conn, QUEUE_FULL, retry_after);
        }
    }

    /// Returns how many acceptances can be written now.
    pub(crate) fn acceptances_due(&mut self, now: Micros) -> usize {
        self.requeue_due_retries(now);
        if self.client_api.transactions_in_flight >= MAX_TRANSACTIONS_IN_FLIGHT {
            return 0;
        }
        self.client_api.queue.len()
    }

    fn requeue_due_retries(&mut self, now: Micros) {
        let api = &mut self.client_api;
        while let Some((retry_at, id)) = api.retries.pop_first() {
            if retry_at > now {
                api.retries.insert((retry_at, id));
                return;
            }
            let Some(acceptance) = api.acceptances.get_mut(&id) else {
                continue;
            };
            let AcceptanceStage::RetryAt(ticket, _) = acceptance.stage else {
                continue;
            };
            acceptance.stage = AcceptanceStage::Queued(ticket);
            let spec = &acceptance.record.spec;
            let weight = team_weight(&self.settings, &spec.team);
            api.queue
                .insert_with_ticket(spec.team.clone(), weight, spec.class.clone(), ticket, id);
        }
    }

    /// Writes at most `limit` acceptances in one transaction, in the order of the fair queue.
    pub(crate) fn write_acceptances(&mut self, limit: usize) {
        let api = &mut self.client_api;
        let mut ids = Vec::new();
        let mut changes = Vec::new();
        let mut conditions = Vec::new();
        while ids.len() < limit
            && let Some((team, class, ticket, id)) = api.queue.pop()
        {
            let Some(acceptance) = api.acceptances.get_mut(&id) else {
                continue;
            };
            if acceptance.write_alone && !ids.is_empty() {
                let weight = team_weight(&self.settings, &team);
                api.queue
                    .insert_with_ticket(team, weight, class, ticket, id);
                break;
            }
            acceptance.stage = AcceptanceStage::InFlight(ticket);
            let key = job_key(&id);
            changes.push(Change::put(&key, &acceptance.record, None));
            conditions.push(VersionCondition::new(&key, 0));
            ids.push(id);
            if acceptance.write_alone {
                break;
            }
        }
        if ids.is_empty() {
            return;
        }
        api.transactions_in_flight += 1;
        self.store.enqueue(
            RequestPriority::Normal,
            StoreRequestPurpose::AcceptJobs(ids),
            StoreRequest::Transaction(Transaction {
                conditions,
                changes,
            }),
        );
    }

    /// Handles the result of the transaction that writes the records of these jobs.
    pub(crate) fn on_acceptance_result(
        &mut self,
        clock: Clock,
        ids: Vec<String>,
        response: StoreResponse,
    ) {
        self.client_api.transactions_in_flight -= 1;
        self.client_api.next_expiry_check = Micros::ZERO;
        let only_job = ids.len() == 1;
        for id in ids {
            self.on_job_acceptance_result(clock, &id, only_job, &response);
        }
    }

    /// Handles the result for one of the jobs. `only_job` is true if the transaction held no other job.
    fn on_job_acceptance_result(
        &mut self,
        clock: Clock,
        id: &str,
        only_job: bool,
        response: &StoreResponse,
    ) {
        let Some(acceptance) = self.client_api.acceptances.get_mut(id) else {
            return;
        };
        let expired = clock.now >= acceptance.queued_at + SUBMISSION_TIMEOUT;
        match response {
            StoreResponse::Committed(revision) => self.on_job_accepted(clock, id, *revision),
            StoreResponse::Conflict(failed) if failed.contains(&job_key(id)) => {
                self.on_job_exists(clock, id);
            }
            StoreResponse::Conflict(_) => self.retry_acceptance(id, clock.now),
            StoreResponse::Rejected if only_job => {
                self.fail_acceptance(id, "the state service does not take the record");
            }
            StoreResponse::Rejected => {
                acceptance.write_alone = true;
                self.retry_acceptance(id, clock.now);
            }
            StoreResponse::Lost | StoreResponse::RateLimited if !expired => {
                acceptance.maybe_written |= *response == StoreResponse::Lost;
                self.retry_acceptance(id, clock.now + RETRY_DELAY);
            }
            _ => self.fail_acceptance(id, "the state service does not answer"),
        }
    }

    fn on_job_accepted(&mut self, clock: Clock, id: &str, revision: u64) {
        let Some(acceptance) = self.remove_acceptance(id) else {
            return;
        };
        log::debug!(
            "job accepted job={id} tasks={} class={} latency={}",
            acceptance.record.spec.tasks,
            acceptance.record.spec.class,
            clock.now.since(acceptance.queued_at)
        );
        self.cache.put_job(id, acceptance.record, revision);
        if let Some(leader) = &mut self.leader {
            leader.dirty = true;
        }
        self.resume_as_resubmissions(clock, id, acceptance.conns_while_in_flight, 201);
        // The job may have ended already, because a job that it depends on was cancelled.
        let Some(lookup) = self.cache.job(id) else {
            return;
        };
        let state = job_status(id, &lookup).state;
        for conn in acceptance.conns {
            self.respond_with_state(clock, conn, 201, &state);
        }
    }

    /// Handles the case that the job already has a record: it was accepted before, or an earlier write of this
    /// controller, whose response was lost, was committed.
    fn on_job_exists(&mut self, clock: Clock, id: &str) {
        let Some(mut acceptance) = self.remove_acceptance(id) else {
            return;
        };
        let status = if acceptance.maybe_written { 201 } else { 200 };
        self.resume_as_resubmissions(clock, id, acceptance.take_conns(), status);
    }

    /// Responds on these connections, after a read barrier, with `status` and the job's state.
    fn resume_as_resubmissions(&mut self, clock: Clock, id: &str, conns: Vec<u64>, status: u16) {
        for conn in conns {
            let id = id.to_string();
            self.request_read_barrier(clock, PendingRequest::Resubmit { conn, id, status });
        }
    }

    fn fail_acceptance(&mut self, id: &str, error: &str) {
        let Some(mut acceptance) = self.remove_acceptance(id) else {
            return;
        };
        for conn in acceptance.take_conns() {
            self.refuse(conn, 503, error);
        }
    }

    /// Schedules an acceptance that was in flight and not confirmed to be queued again at `retry_at`.
    fn retry_acceptance(&mut self, id: &str, retry_at: Micros) {
        let api = &mut self.client_api;
        if let Some(acceptance) = api.acceptances.get_mut(id)
            && let AcceptanceStage::InFlight(ticket) = acceptance.stage
        {
            acceptance.stage = AcceptanceStage::RetryAt(ticket, retry_at);
            // All of these requests came before the next write is sent.
            let conns = std::mem::take(&mut acceptance.conns_while_in_flight);
            acceptance.conns.extend(conns);
            api.retries.insert((retry_at, id.to_string()));
        }
    }

    fn remove_acceptance(&mut self, id: &str) -> Option<PendingAcceptance> {
        let api = &mut self.client_api;
        let acceptance = api.acceptances.remove(id)?;
        match acceptance.stage {
            AcceptanceStage::Queued(ticket) => {
                let spec = &acceptance.record.spec;
                api.queue.remove(&spec.team, &spec.class, ticket);
            }
            AcceptanceStage::RetryAt(_, retry_at) => {
                api.retries.remove(&(retry_at, id.to_string()));
            }
            AcceptanceStage::InFlight(_) => {}
        }
        Some(acceptance)
    }

    /// Refuses acceptances that have waited longer than `SUBMISSION_TIMEOUT`; returns when to check again.
    pub(crate) fn expire_acceptances(&mut self, clock: Clock) -> Micros {
        if clock.now < self.client_api.next_expiry_check {
            return self.client_api.next_expiry_check;
        }
        let mut expired = Vec::new();
        let mut next = Micros::FAR_FUTURE;
        for (id, acceptance) in &self.client_api.acceptances {
            let expiry = acceptance.queued_at + SUBMISSION_TIMEOUT;
            match acceptance.stage {
                AcceptanceStage::InFlight(_) => {}
                _ if expiry <= clock.now => expired.push(id.clone()),
                AcceptanceStage::RetryAt(_, retry_at) if retry_at > clock.now => {
                    next = next.min(retry_at);
                }
                _ => next = next.min(expiry),
            }
        }
        for id in expired {
            self.refuse_acceptance(clock, &id);
        }
        self.client_api.next_expiry_check = next;
        next
    }
}
