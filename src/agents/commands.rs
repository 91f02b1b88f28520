//! Commands to agents: what follows from records and reports, sent directly and with answers.

use crate::agents::leader_state::{LeaderState, MAX_START_STALENESS};
use crate::controller::Controller;
use crate::leadership::peers::known_cancelled;
use crate::messages::PendingCall;
use crate::protocol::Clock;
use crate::protocol::Micros;
use crate::protocol::agent_api::{AgentCommands, AgentHeartbeat, Command, ExitReason, TaskPhase};
use crate::protocol::codec::encode;
use crate::protocol::key_value_api::Change;
use crate::protocol::key_value_api::Transaction;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::records::{JobStage, LEAD, LeaderRecord};
use crate::state::agent::{
    Agent, AttemptKey, DirectStart, ReportedTask, TaskLiveness, parse_agent_heartbeat,
};
use crate::state::record_cache::RecordCache;
use crate::state::store_client::{RequestPriority, StoreRequest};
use crate::transport::Outcome;
use lease_delegation::cancellations::Heard;

/// Direct commands that got no answer are tried again after this.
const ORDER_AGAIN: Micros = Micros::millis(1000);
/// A machine that has heard nothing for long is asked at this pace.
const DEAF_FOR_LONG: Micros = Micros::millis(6000);
const DEAF_AGAIN: Micros = Micros::millis(5000);
/// Ended attempts that an agent must not forget yet make its reports long: beyond so many the leader raises its
/// term, which fences all copies of their starts, but not again and again.
const MOST_KEPT: usize = 40;
const FENCE_EVERY: Micros = Micros::millis(60_000);
/// A stop is repeated at this pace until the task is gone.
const STOP_AGAIN: Micros = Micros::millis(1500);
/// All agents are looked at for due commands at this pace, for what must be repeated; whatever
/// happens to an agent or to the jobs on it has it looked at sooner.
const SWEEP_EVERY: Micros = Micros::millis(1000);
/// An agent that we answered this recently shows our term by itself with its next report.
const TERM_SHOWS: Micros = Micros::millis(1200);
/// How long a direct command may take.
const ORDER_TIMEOUT: Micros = Micros::millis(2500);

struct Due {
    commands: Vec<Command>,
    starts: Vec<(String, u32, u64)>,
    stops: Vec<(String, u32, u64)>,
    fence: bool,
}

impl Due {
    /// Stops a task, unless that was sent a moment ago. `surely`: in any case.
    fn stop(&mut self, w: &Agent, t: &ReportedTask, grace_s: f64, surely: bool, now: Micros) {
        let key = (t.job.clone(), t.task, t.attempt);
        if surely || w.stops.get(&key).is_none_or(|s| now >= *s + STOP_AGAIN) {
            self.stops.push(key);
            self.commands.push(Command::Stop {
                task: name(&t.job, t.task),
                attempt: t.attempt,
                grace_s,
            });
        }
    }
}

/// A direct start that was certainly not carried out; other tries may have been.
fn not_executed(w: &mut Agent, key: &AttemptKey) {
    if let Some(s) = w.starts.get_mut(key) {
        s.in_flight = false;
        if !s.unresolved && !s.acknowledged && s.sent_with_response_to.is_none() {
            w.starts.remove(key);
        }
    }
}

fn name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// What an agent is to be told now, in an `answer` to its report or directly. Forgets are told only with answers.
/// `heard`: what peers have told to be cancelled.
fn due(
    l: &LeaderState,
    cache: &RecordCache,
    heard: &Heard,
    machine: &str,
    now: Micros,
    answer: bool,
) -> Due {
    let mut d = Due {
        commands: Vec::new(),
        starts: Vec::new(),
        stops: Vec::new(),
        fence: false,
    };
    let Some(w) = l.agents.get(machine) else {
        return d;
    };
    if w.is_over() {
        return d;
    }
    // An answer renews the lease: it must never leave out the stop of a cancelled task because that was sent a
    // moment ago, directly perhaps, and lost.
    let cancelled = |job: &str| known_cancelled(cache, heard, job);
    if w.term != l.term || !l.caught_up(cache) {
        // Nothing else may be decided yet, but the answer renews the agent's lease all the same. Under leaders
        // that end before it has shown the term of any of them, a cancelled task would live on and on.
        let there = w.tasks.iter().filter(|t| t.phase != TaskPhase::Exited);
        for t in there.filter(|t| cancelled(&t.job)) {
            d.stop(w, t, 0.0, answer, now);
        }
        return d;
    }
    let may_start = now < l.last_confirmed_read + MAX_START_STALENESS;
    for t in &w.tasks {
        let job = cache.jobs.get(&t.job);
        let entry = job.and_then(|j| j.entry(t.task));
        let placed = entry.is_some_and(|e| {
            e.machine() == Some(machine)
                && e.attempt() == t.attempt
                && e.agent_epoch() == w.agent_epoch
        });
        let active = job.is_some_and(|j| j.active());
        if t.phase == TaskPhase::Exited {
            let unrecorded = t.why == Some(ExitReason::Done)
                && active
                && job.is_some_and(|j| !j.is_done(t.task) && t.task < j.rec.spec.tasks);
            // An attempt whose start may still arrive must stay known to the agent, or the
            // late start would run it again.
            let needed = unrecorded || (placed && active);
            if answer
                && !needed
                && !w.may_start_again(t)
                && (job.is_some() || cache.job(&t.job).is_some())
            {
                d.commands.push(Command::Forget {
                    task: name(&t.job, t.task),
                    attempt: t.attempt,
                });
            }
            continue;
        }
        let over = match job {
            Some(j) if j.active() => heard.contains(&t.job),
            Some(j) => j.rec.stage == JobStage::Cancelled,
            None => cancelled(&t.job),
        };
        let grace = if !active || !placed || over {
            Some(0.0)
        } else {
            l.stop_of(&t.job, t.task)
                .filter(|(g, _)| t.phase != TaskPhase::Saving || *g == 0.0)
                .map(|(g, _)| g)
        };
        // A task unknown to the copy is left alone until the copy has caught up: the job may
        // just have been accepted elsewhere.
        if job.is_none() && cache.job(&t.job).is_none() {
            continue;
        }
        let Some(grace_s) = grace else { continue };
        d.stop(w, t, grace_s, over && answer, now);
    }
    for (id, task) in cache.placed(machine) {
        let Some(job) = cache.jobs.get(id) else {
            continue;
        };
        let Some(e) = job.entry(*task) else { continue };
        if e.machine() != Some(machine) || e.agent_epoch() != w.agent_epoch {
            continue;
        }
        let attempt = e.attempt();
        match l.standing(id, e) {
            TaskLiveness::NotStarted | TaskLiveness::Unknown => {
                let loose = w.has_unresolved_start(id, *task, attempt);
                // What we cannot read may say that it is cancelled.
                let known = !cache.is_unreadable(id);
                let wanted = job.active() && known && !cancelled(id) && l.wanted(id, e);
                if wanted && may_start && !l.edits.placing(id, *task) {
                    d.starts.push((id.clone(), *task, attempt));
                    d.commands.push(Command::Start {
                        task: name(id, *task),
                        attempt,
                    });
                } else if !wanted && loose {
                    d.fence = true;
                }
            }
            _ => {}
        }
    }
    d
}

impl Controller {
    /// Commands for the answer to a report. Starts go with it only if the report was relayed,
    /// since then the agent may be out of our reach.
    pub fn commands_for(
        &mut self,
        clock: Clock,
        report: &AgentHeartbeat,
        relayed: bool,
    ) -> Vec<Command> {
        let machine = &report.machine;
        let Some(l) = &mut self.leader else {
            return Vec::new();
        };
        let d = due(l, &self.cache, &self.peers.heard, machine, clock.now, true);
        if let Some(w) = l.agents.get_mut(machine) {
            for key in d.stops {
                w.stops.insert(key, clock.now);
            }
            for key in d.starts.into_iter().filter(|_| relayed) {
                let s = w.starts.entry(key).or_default();
                if s.term != l.term {
                    *s = DirectStart {
                        term: l.term,
                        ..DirectStart::default()
                    };
                }
                s.sent_with_response_to = Some(report.seq);
            }
        }
        d.commands
            .into_iter()
            .filter(|c| relayed || !matches!(c, Command::Start { .. }))
            .collect()
    }

    /// Sends direct commands to the agents that something has happened to, and now and then looks
    /// at all of them; returns when that will be next.
    pub fn send_commands(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let Some(l) = &mut self.leader else {
            return Micros::FAR;
        };
        let ready = |w: &Agent| !w.commands_in_flight && w.next_commands_at <= now && !w.is_over();
        let touched = std::mem::take(&mut l.touched);
        let names: Vec<String> = if l.sweep_at <= now {
            l.sweep_at = now + SWEEP_EVERY;
            let all = l.agents.iter().filter(|(_, w)| ready(w));
            all.map(|(n, _)| n.clone()).collect()
        } else {
            let of = |n: &String| l.agents.get(n).is_some_and(ready);
            touched.into_iter().filter(of).collect()
        };
        let mut fence = false;
        let mut calls = Vec::new();
        for machine in names {
            let Some(l) = &mut self.leader else { break };
            let heard = &self.peers.heard;
            let mut d = due(l, &self.cache, heard, &machine, now, false);
            fence |= d.fence;
            // Looked at only where it may be so: counting looks every start up.
            let full = |w: &Agent| w.tasks.len() > MOST_KEPT && w.retained_exits() > MOST_KEPT;
            fence |= now.since(l.since) > FENCE_EVERY && l.agents.get(&machine).is_some_and(full);
            let Some(w) = l.agents.get_mut(&machine) else {
                continue;
            };
            // An agent that has not seen our term is told it with an empty list: that fences
            // whatever an older leader has sent.
            let shows = w
                .answered
                .is_some_and(|t| t >= l.since && now < t + TERM_SHOWS);
            let deaf = !w.reachability.receives();
            // One that seems to hear nothing is asked as well: its answer shows that it does.
            let push = w.agent_epoch > 0 && (deaf || w.term != l.term && !shows);
            if d.commands.is_empty() && !push {
                continue;
            }
            let Some(addr) = w.address else { continue };
            w.commands_in_flight = true;
            for key in &d.stops {
                w.stops.insert(key.clone(), now);
            }
            for key in &d.starts {
                let s = w.starts.entry(key.clone()).or_default();
                if s.term != l.term {
                    *s = DirectStart {
                        term: l.term,
                        ..DirectStart::default()
                    };
                }
                s.in_flight = true;
            }
            let orders = AgentCommands {
                term: l.term,
                agent_epoch: w.agent_epoch,
                commands: std::mem::take(&mut d.commands),
            };
            let tag = PendingCall::AgentCommands {
                machine: machine.clone(),
                starts: d.starts,
                term: l.term,
                agent_epoch: w.agent_epoch,
            };
            calls.push((tag, addr, encode(&orders)));
        }
        for (tag, addr, body) in calls {
            self.call(tag, addr, "POST", "/orders", body, ORDER_TIMEOUT);
        }
        if fence {
            self.raise_term();
        }
        self.leader.as_ref().map_or(Micros::FAR, |l| l.sweep_at)
    }

    /// Takes a higher term for ourselves: agents that see it no longer accept what was sent
    /// before and never answered.
    pub fn raise_term(&mut self) {
        let Some(l) = &mut self.leader else { return };
        if l.raising {
            return;
        }
        l.raising = true;
        let rec = LeaderRecord {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            term: l.term + 1,
        };
        let txn = Transaction {
            conds: vec![VersionCondition::new(LEAD, l.version)],
            changes: vec![Change::put(LEAD, &rec, None)],
        };
        self.store.ask(
            RequestPriority::Urgent,
            crate::messages::StoreRequestPurpose::RaiseTerm,
            StoreRequest::Transaction(txn),
        );
    }

    /// Direct commands came back.
    pub fn on_commands_response(
        &mut self,
        clock: Clock,
        machine: &str,
        starts: Vec<(String, u32, u64)>,
        term: u64,
        agent_epoch: u64,
        outcome: Outcome,
    ) {
        let Some(l) = &mut self.leader else { return };
        let Some(w) = l.agents.get_mut(machine) else {
            return;
        };
        w.commands_in_flight = false;
        l.touched.insert(machine.to_string());
        let (status, body) = match outcome {
            Outcome::Reply { status, body } => (status, body),
            Outcome::NotSent => {
                w.next_commands_at = clock.now + ORDER_AGAIN;
                if agent_epoch == w.agent_epoch {
                    for key in starts {
                        // Never sent, unless an earlier try was.
                        not_executed(w, &key);
                    }
                }
                return;
            }
            Outcome::Lost => (0, Vec::new()),
        };
        let report = match status {
            200 | 409 => parse_agent_heartbeat(&body).filter(|r| r.machine == machine),
            _ => None,
        };
        match (status, report) {
            (200, Some(r)) => {
                w.reachability.on_commands_answered(clock.now);
                if agent_epoch == w.agent_epoch {
                    for key in starts {
                        if let Some(s) = w.starts.get_mut(&key).filter(|s| s.term == term) {
                            s.acknowledged = true;
                            s.in_flight = false;
                        }
                    }
                }
                self.apply_heartbeat(clock, &r);
            }
            (409, Some(r)) => {
                w.reachability.on_commands_answered(clock.now);
                if agent_epoch == w.agent_epoch {
                    for key in starts {
                        not_executed(w, &key);
                    }
                }
                w.next_commands_at = clock.now + Micros::millis(200);
                let higher = r.term > l.term;
                self.apply_heartbeat(clock, &r);
                if higher {
                    log::info!("{machine} has seen term {}, above ours", r.term);
                    self.request_read_barrier(
                        clock,
                        crate::messages::PendingRequest::ConfirmLeadership,
                    );
                }
            }
            _ => {
                w.reachability.on_commands_unanswered(clock.now);
                let deaf = w.reachability.suspected_since();
                let long = deaf.is_some_and(|t| clock.now.since(t) > DEAF_FOR_LONG);
                w.next_commands_at = clock.now + if long { DEAF_AGAIN } else { ORDER_AGAIN };
                if agent_epoch == w.agent_epoch {
                    for key in starts {
                        if let Some(s) = w.starts.get_mut(&key).filter(|s| s.term == term) {
                            s.unresolved = true;
                            s.in_flight = false;
                        }
                    }
                }
            }
        }
    }
}
