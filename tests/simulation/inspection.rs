//! Queries for tests, and the state dump that failed tests print.

use super::*;
use std::fmt::Write;

impl Simulation {
    /// Machines on which a task is active.
    pub fn machines_running(&self, task: &str) -> BTreeSet<String> {
        let runs = |agent: &&FakeAgent| agent.active_tasks().any(|((name, _), _)| name == task);
        self.agents
            .values()
            .filter(runs)
            .map(|agent| agent.name.clone())
            .collect()
    }

    /// Asserts that the last state of these jobs that clients received is `cancelled`, and that none of their tasks is
    /// active.
    pub fn assert_cancelled(&self, seed: u64, jobs: &[&str]) {
        for job in jobs {
            let actual = (self.last_status(job), self.running_instances(job));
            assert_eq!(
                actual,
                ("cancelled".into(), 0),
                "seed {seed}: job {job}: last state received by clients and number of active instances\n{}",
                self.dump()
            );
        }
    }

    /// Number of active instances of a job's tasks; a task that runs on two machines counts twice.
    pub fn running_instances(&self, job: &str) -> usize {
        let tasks = 0..self.jobs[job].spec.tasks;
        tasks
            .map(|index| self.machines_running(&format!("{job}/{index}")).len())
            .sum()
    }

    /// The machine on which the leader's cache places a task.
    pub fn recorded_machine(&self, task: &str) -> Option<String> {
        let (job, index) = task.rsplit_once('/')?;
        let leader = self.controller(self.leader()?)?;
        let job = leader.cache.jobs.get(job)?;
        let entry = job.entry(index.parse().ok()?)?;
        entry.machine().map(str::to_string)
    }

    /// The last state of a job that a client received; empty if there is none.
    pub fn last_status(&self, job: &str) -> String {
        self.client_answers
            .iter()
            .rev()
            .find(|answer| answer.job == job && matches!(answer.status, 200 | 201))
            .map(|answer| answer.state.clone())
            .unwrap_or_default()
    }

    /// The names of all machines.
    pub fn machine_names(&self) -> Vec<String> {
        self.agents.keys().cloned().collect()
    }

    /// Number of tasks that have failed, on any machine.
    pub fn failed_task_count(&self) -> u32 {
        let on_current_machines: u32 = self.agents.values().map(|agent| agent.failed_tasks).sum();
        self.failed_tasks_on_deleted_machines + on_current_machines
    }

    /// Whether a client has received the state `done` of a job.
    pub fn job_done(&self, job: &str) -> bool {
        self.jobs[job].completion_seen_at.is_some()
    }

    /// Number of unfinished jobs in a controller's cache.
    pub fn cached_jobs(&self, controller: usize) -> usize {
        let process = self.controller(controller);
        process.map_or(0, |process| process.cache.jobs.len())
    }

    /// A controller, if it runs.
    /// The indexes of the leader and of the two followers.
    pub fn controllers_by_role(&self) -> (usize, usize, usize) {
        let leader = self.leader().expect("a leader");
        (leader, (leader + 1) % 3, (leader + 2) % 3)
    }

    /// Number of client requests to a controller that have not been answered.
    pub fn unanswered_client_requests(&self, controller: usize) -> usize {
        let pending = self.pending_responses.iter();
        pending
            .filter(|((receiver, _), request)| {
                *receiver == controller && matches!(request, PendingResponse::Client { .. })
            })
            .count()
    }

    pub fn controller(&self, controller: usize) -> Option<&Controller> {
        self.controllers[controller].process.as_ref()
    }

    pub fn controller_count(&self) -> usize {
        self.controllers.len()
    }

    /// Formats the state of all controllers and agents, for failed tests.
    pub fn dump(&self) -> String {
        let mut out = String::new();
        self.write_dump(&mut out)
            .expect("writing to a string cannot fail");
        out
    }

    fn write_dump(&self, out: &mut String) -> std::fmt::Result {
        let now = self.now as f64 / 1e6;
        writeln!(out, "now {now:.3}, partitions {:?}", self.partitions)?;
        for (index, slot) in self.controllers.iter().enumerate() {
            match &slot.process {
                Some(process) => {
                    write_controller(out, index, process, slot.next_wake_at)?;
                }
                None => writeln!(out, "controller {index}: down")?,
            }
        }
        for agent in self.agents.values() {
            writeln!(
                out,
                "{} alive {} epoch {} term {} controller {} {:?}",
                agent.name,
                agent.alive,
                agent.agent_epoch,
                agent.term,
                agent.controller,
                agent.tasks
            )?;
        }
        Ok(())
    }
}

fn write_controller(
    out: &mut String,
    index: usize,
    process: &Controller,
    next_wake_at: u64,
) -> std::fmt::Result {
    let cache = &process.cache;
    writeln!(
        out,
        "controller {index}: synced {} revision {} leader record {:?} leader lease version {:?} next wake {next_wake_at}",
        cache.synced, cache.revision, cache.leader, cache.leader_lease_version
    )?;
    let Some(leader) = &process.leader else {
        return Ok(());
    };
    writeln!(
        out,
        "  leading: term {} last confirmed read {} dirty {} record writer {:?} machines to check {:?} stopping {:?}",
        leader.term,
        leader.last_confirmed_read,
        leader.dirty,
        leader.record_writer,
        leader.machines_to_check,
        leader.stopping
    )?;
    for (machine, agent) in &leader.agents {
        writeln!(
            out,
            "  {machine}: epoch {} term {} last heartbeat {} ended epoch {:?} starts {:?} tasks {:?}",
            agent.agent_epoch,
            agent.term,
            agent.last_heartbeat_at,
            agent.ended_epoch,
            agent.starts,
            agent.tasks
        )?;
    }
    for (id, job) in &cache.jobs {
        writeln!(
            out,
            "  {id}: {:?} {:?}",
            job.record.stage, job.record.first_chunk
        )?;
        for entry in job.entries() {
            writeln!(
                out,
                "    {entry:?} {:?}",
                leader.attempt_liveness(id, entry)
            )?;
        }
    }
    Ok(())
}
