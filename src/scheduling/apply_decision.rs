//! Applies the decision of a scheduling pass: turns it into record changes, stop requests and reservations.

use crate::agents::leader_state::{LeaderState, stop_grace_s};
use crate::cloud::autoscaler::ScalingPlan;
use crate::controller::Controller;
use crate::protocol::records::TaskEntry;
use crate::protocol::{Clock, JobKind, Micros};
use crate::scheduling::backfill::MAX_PLACEMENTS;
use crate::scheduling::findings::{TaskRef, TaskStop, tasks_stopped_with};
use crate::scheduling::pass::{PassDecision, PassInputs, Reservation, TaskStart, decide};
use crate::state::record_cache::{Job, RecordCache};

/// How long a machine stays reserved for a job after the preempted tasks have saved their checkpoints: the time of one or
/// two heartbeats and of the next passes.
const RESERVATION_TTL: Micros = Micros::millis(20_000);
/// A requested stop is dropped after this time, so that a later pass can request it again if the task
/// still has to stop.
const STOP_EXPIRY: Micros = Micros::millis(60_000);
/// When the order of task starts is stored for more jobs than this, ended jobs are removed from it.
const MAX_JOBS_WITH_START_ORDER: usize = 5_000;

impl Controller {
    /// Runs one scheduling pass, if this controller is the leader.
    pub fn run_scheduling_pass(&mut self, clock: Clock) {
        self.on_changed_jobs();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let now = clock.now;
        leader.expire_failures(now);
        let mut pass_state = std::mem::take(&mut leader.pass_state);
        let inputs = PassInputs {
            leader,
            cache: &self.cache,
            settings: &self.settings,
            policy: &self.policy,
            clock,
        };
        let decision = decide(&inputs, &mut pass_state, None);
        if cfg!(debug_assertions) {
            let consistent = pass_state
                .job_queue
                .check_consistency(self.cache.jobs.iter());
            debug_assert_eq!(consistent, Ok(()));
        }
        leader.pass_state = pass_state;
        let scaling = leader.apply_decision(decision, &self.cache, now);
        self.apply_scaling_plan(scaling);
    }
}

impl LeaderState {
    /// Applies a decision, except for its scaling plan, which the caller applies.
    fn apply_decision(
        &mut self,
        decision: PassDecision,
        cache: &RecordCache,
        now: Micros,
    ) -> ScalingPlan {
        log::debug!(
            "scheduling pass waiting_jobs={} starts={} preemptions={} unplaced_jobs={} machines={}",
            decision.waiting_jobs,
            decision.starts.len(),
            decision.preemptions.len(),
            decision.unplaced_jobs,
            decision.machine_count,
        );
        let findings = decision.findings;
        self.max_demand = decision.largest_demand;
        // Another pass is needed if this one reached its placement limit and may have skipped startable
        // tasks, or if a job is in retry backoff.
        self.dirty |= findings.has_backoff || decision.starts.len() >= MAX_PLACEMENTS;
        let event = self
            .recovery
            .observe(now, findings.lost_tasks, findings.placed_tasks);
        if let Some(event) = event {
            log::info!("{event}");
        }
        let incomplete_gangs = findings.incomplete_gangs.into_iter();
        self.incomplete_gangs
            .extend(incomplete_gangs.map(|gang| (gang.job, gang.attempt)));
        let preemptions = preemption_stops(decision.preemptions, cache);
        let longest_grace_s = preemptions.iter().map(|stop| stop.grace_s);
        let longest_grace = Micros::secs(longest_grace_s.fold(0.0, f64::max));
        let reserved_until = now + longest_grace + RESERVATION_TTL;
        self.update_reservations(decision.reservations, reserved_until, now);
        self.record_starts(decision.starts, cache, now);
        for job in findings.cleanable_jobs {
            self.record_writer
                .pending_write_mut(&job, now)
                .remove_entries = true;
        }
        self.record_done_tasks(findings.done_tasks, cache, now);
        self.request_stops(findings.stops, cache, now);
        self.request_stops(preemptions, cache, now);
        self.expire_stops(now);
        self.remove_ended_jobs(cache);
        decision.scaling
    }

    /// Drops expired reservations and adds new ones, which end at `until`.
    fn update_reservations(&mut self, reservations: Vec<Reservation>, until: Micros, now: Micros) {
        self.reserved.retain(|_, (_, until)| *until > now);
        for Reservation { machine, job } in reservations {
            log::info!("machine reserved machine={machine} job={job}");
            self.reserved.insert(machine, (job, until));
        }
    }

    /// Turns task starts into changes of job records.
    fn record_starts(&mut self, starts: Vec<TaskStart>, cache: &RecordCache, now: Micros) {
        for start in starts {
            if let Some(job) = cache.jobs.get(&start.job) {
                self.record_start(start, job, now);
            }
        }
    }

    fn record_start(&mut self, start: TaskStart, job: &Job, now: Micros) {
        let attempt = next_attempt(job, start.task);
        log::debug!(
            "task placed job={} task={} attempt={attempt} machine={} backfilled={} image={}",
            start.job,
            start.task,
            start.machine,
            start.backfilled,
            job.record.spec.image
        );
        self.start_count += 1;
        let job_start_order = self.start_order.entry(start.job.clone()).or_default();
        job_start_order.insert(start.task, self.start_count);
        if let Some(stops) = self.stopping.get_mut(&start.job) {
            stops.remove(&start.task);
        }
        let entry = TaskEntry::new(
            start.task,
            attempt,
            start.machine,
            start.agent_epoch,
            self.term,
            start.backfilled,
        );
        self.record_writer
            .pending_write_mut(&start.job, now)
            .placements
            .push(entry);
    }

    /// Records tasks as done. The members of a gang complete together.
    fn record_done_tasks(&mut self, done_tasks: Vec<TaskRef>, cache: &RecordCache, now: Micros) {
        for TaskRef { job: id, task } in done_tasks {
            if let Some(job) = cache.jobs.get(&id) {
                let tasks = tasks_stopped_with(&job.record.spec, task);
                self.record_writer
                    .pending_write_mut(&id, now)
                    .done
                    .extend(tasks);
            }
        }
    }

    /// Requests stops of tasks. A stop that is already requested keeps its grace period and request time.
    fn request_stops(&mut self, stops: Vec<TaskStop>, cache: &RecordCache, now: Micros) {
        for TaskStop { job, task, grace_s } in stops {
            let entry = cache.jobs.get(&job).and_then(|job| job.entry(task));
            if let Some(machine) = entry.and_then(TaskEntry::machine) {
                self.machines_to_check.insert(machine.to_string());
            }
            let requested = self.stopping.entry(job).or_default();
            requested.entry(task).or_insert((grace_s, now));
        }
    }

    fn expire_stops(&mut self, now: Micros) {
        self.stopping.retain(|_, requested| {
            requested.retain(|_, (_, requested_at)| now < *requested_at + STOP_EXPIRY);
            !requested.is_empty()
        });
    }

    /// Removes the scheduling state of jobs that are no longer in the cache.
    fn remove_ended_jobs(&mut self, cache: &RecordCache) {
        let jobs = &cache.jobs;
        self.incomplete_gangs.retain(|id, _| jobs.contains_key(id));
        if self.start_order.len() > MAX_JOBS_WITH_START_ORDER {
            self.start_order.retain(|id, _| jobs.contains_key(id));
        }
    }
}

/// Task stops for the preemptions of a pass, each with the grace period that the task needs to save a
/// checkpoint. A gang stops as a whole.
fn preemption_stops(preemptions: Vec<TaskRef>, cache: &RecordCache) -> Vec<TaskStop> {
    let mut stops = Vec::new();
    for TaskRef { job: id, task } in preemptions {
        let Some(job) = cache.jobs.get(&id) else {
            continue;
        };
        log::info!("task preempted job={id} task={task}");
        let grace_s = stop_grace_s(job);
        let tasks = tasks_stopped_with(&job.record.spec, task);
        stops.extend(tasks.map(|task| TaskStop {
            job: id.clone(),
            task,
            grace_s,
        }));
    }
    stops
}

/// The number of the next attempt of a task. The members of a gang share attempt numbers.
fn next_attempt(job: &Job, task: u32) -> u64 {
    let last_attempt = if job.record.spec.kind == JobKind::Gang {
        job.entries().map(TaskEntry::attempt).max()
    } else {
        job.entry(task).map(TaskEntry::attempt)
    };
    last_attempt.unwrap_or(0) + 1
}
