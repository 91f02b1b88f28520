//! What a pass sees: the machines, and each job of which something is placed, being written or in
//! trouble. Looks only; what is to be done about what it finds is `pass`'s business.

use crate::agents::leader_state::{FRESH_REPORTS, LeaderState, grace};
use crate::policy::Policy;
use crate::protocol::Clock;
use crate::protocol::agent_api::{ExitReason, TaskPhase};
use crate::protocol::records::{CHUNK, TaskEntry};
use crate::protocol::{JobKind, Micros, Settings};
use crate::scheduling::backfill::{PreemptibleTask, QueueEntry, WIDE_MOST};
use crate::scheduling::job_queue::{QueueState, QueuedJob, Slot};
use crate::scheduling::pending_jobs::SchedulingContext;
use crate::scheduling::placement::{Host, NameTable, Resources, add, size};
use crate::scheduling::quota::QuotaTracker;
use crate::scheduling::recovery::LostTask;
use crate::state::agent::{Agent, TaskLiveness};
use crate::state::record_cache::{Job, RecordCache};
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The machines as a pass sees them.
pub struct HostTable<'a> {
    /// The machines, with what is free on them.
    pub list: Vec<Host>,
    /// Their names, in the same order.
    pub names: Vec<&'a str>,
    agents: Vec<&'a Agent>,
    index: HashMap<&'a str, u32>,
}

impl HostTable<'_> {
    /// Index of a machine.
    pub fn find(&self, machine: &str) -> Option<usize> {
        self.index.get(machine).map(|i| *i as usize)
    }
}

/// What a pass found out besides.
#[derive(Debug, Default)]
pub struct ClusterSnapshot {
    /// Jobs that are over and of which nothing is anywhere.
    pub cleans: Vec<String>,
    /// Tasks that were reported as done and whose record does not say so.
    pub dones: Vec<(String, u32)>,
    /// Tasks to be stopped, with the grace they get.
    pub stops: Vec<(String, u32, f64)>,
    /// Gangs that have lost a member, with the attempt.
    pub broken: Vec<(String, u64)>,
    /// A job is held off for now: there has to be another pass.
    pub held_off: bool,
    /// Tasks without their places.
    pub lost: LostTask,
    /// Tasks with a place on record.
    pub placed: usize,
}

/// Which images a machine has, in numbers, as long as nothing on it changes.
#[derive(Debug, Default)]
pub struct ImageAvailability(HashMap<Arc<str>, KnownImages>);

#[derive(Debug)]
struct KnownImages {
    version: u64,
    cache_gb: f64,
    list: Arc<Vec<u32>>,
}

/// Machines remembered there; those of long ago are forgotten all at once.
const MOST_KNOWN: usize = 8_000;

impl ImageAvailability {
    fn of(
        &mut self,
        machine: &str,
        cache_gb: f64,
        cache: &RecordCache,
        names: &mut NameTable,
    ) -> Arc<Vec<u32>> {
        let version = cache.image_caches.version(machine);
        if let Some(k) = self.0.get(machine)
            && (k.version, k.cache_gb) == (version, cache_gb)
        {
            return k.list.clone();
        }
        if self.0.len() > MOST_KNOWN {
            self.0.clear();
        }
        let images = cache.image_caches.of(machine, cache_gb);
        let list = Arc::new(images.map(|i| names.id(i)).collect::<Vec<u32>>());
        let known = KnownImages {
            version,
            cache_gb,
            list: list.clone(),
        };
        self.0.insert(machine.into(), known);
        list
    }

    /// Numbers of names have changed.
    pub fn forget(&mut self) {
        self.0.clear();
    }
}

/// A pass looking around.
pub struct SnapshotBuilder<'s, 'a> {
    /// The leader.
    pub leader: &'a LeaderState,
    /// What is to be known of jobs.
    pub scene: &'s SchedulingContext<'a>,
    /// Now.
    pub clock: Clock,
    /// The machines.
    pub hosts: HostTable<'a>,
    /// What teams may still take.
    pub room: QuotaTracker,
    /// What all machines hold together.
    pub all: Resources,
    /// By class, the part of that which its tasks take.
    pub used: HashMap<u32, f64>,
    /// Tasks that may have to make room.
    pub victims: Vec<PreemptibleTask<'a>>,
    /// Jobs with tasks to start.
    pub items: Vec<QueueEntry<'a>>,
    /// Rows of all jobs looked into.
    pub near: Vec<Slot>,
    /// What else was found.
    pub found: ClusterSnapshot,
}

/// The machines that are there, with all their room free.
pub fn hosts<'a>(
    l: &'a LeaderState,
    s: &Settings,
    policy: &Policy,
    cache: &RecordCache,
    names: &mut NameTable,
    known: &mut ImageAvailability,
    now: Micros,
) -> HostTable<'a> {
    let fresh = Micros::secs(s.params.agents.report_s * FRESH_REPORTS);
    let n = l.agents.len();
    let mut hosts = HostTable {
        list: Vec::with_capacity(n),
        names: Vec::with_capacity(n),
        agents: Vec::with_capacity(n),
        index: HashMap::with_capacity(n),
    };
    for (name, w) in &l.agents {
        let mut types = cache.types.iter().flatten();
        let Some(t) = types.find(|t| t.name == w.kind) else {
            continue;
        };
        if w.is_over() || l.fleet.is_gone(name) {
            continue;
        }
        // Only answers to reports renew its lease: one that answers direct commands and reaches no controller
        // is about to lose all that it has.
        let open = w.term == l.term
            && w.answered.is_some_and(|t| now < t + fresh)
            && w.preemption_at.is_none()
            && w.reachability.receives()
            && !l.fleet.leaving(name)
            && !l.sick(w, policy)
            && !l.suspect(w, now);
        let total = [t.cpus, t.gpus, t.memory_gb];
        let reserved = l.reserved.get(name).filter(|(_, until)| *until > now);
        hosts.index.insert(name, hosts.list.len() as u32);
        hosts.names.push(name);
        hosts.agents.push(w);
        hosts.list.push(Host {
            kind: names.id(&w.kind),
            zone: names.id(&w.zone),
            spot: w.spot,
            agent_epoch: w.agent_epoch,
            total,
            free: total,
            leaving: [0.0; 3],
            open,
            images: known.of(name, t.cache_gb, cache, names),
            reserved: reserved.map(|(j, _)| j.as_str().into()),
        });
    }
    hosts
}

/// A task whose place is on record, as `SnapshotBuilder::look` found it.
struct Found {
    standing: TaskLiveness,
    host: Option<usize>,
}

impl<'a> SnapshotBuilder<'_, 'a> {
    /// Looks into every job of which something is placed, being written, in trouble, or for which room
    /// is being made.
    pub fn all(&mut self) {
        let l = self.leader;
        let mut more: BTreeSet<&str> = l.edits.jobs().collect();
        more.extend(l.troubles.keys().map(String::as_str));
        more.extend(l.reserved.values().map(|(j, _)| j.as_str()));
        let backlog = self.scene.backlog;
        let more = more.into_iter().filter_map(|id| {
            let (slot, row) = backlog.find(id)?;
            (row.stand != QueueState::Placed).then_some((&*row.id, slot))
        });
        // By their ids, as ever: who takes room first must not depend on what else is going on.
        let mut more = more.peekable();
        let mut placed = backlog.placed().peekable();
        loop {
            let next = match (placed.peek(), more.peek()) {
                (Some(p), Some(m)) if m.0 < p.0 => more.next(),
                (None, _) => more.next(),
                _ => placed.next(),
            };
            let Some((id, slot)) = next else { break };
            if let Some((id, job)) = self.scene.jobs.get_key_value(id)
                && let Some(row) = backlog.row(slot)
            {
                self.near.push(slot);
                let item = self.look(id, job, row);
                self.items.extend(item);
            }
        }
        self.unrecorded();
    }

    /// One lookup of a machine tells where an attempt stands and where its room is.
    fn stand(&self, id: &str, e: &'a TaskEntry, machine: &str) -> Found {
        let host = self.hosts.find(machine);
        let standing = match host {
            Some(h) => self.hosts.agents[h].liveness(
                self.leader.term,
                id,
                e.task(),
                e.attempt(),
                e.agent_epoch(),
            ),
            None => self.leader.standing(id, e),
        };
        Found { standing, host }
    }

    /// One job: takes its tasks' room, says what it wants, and what is to be done about it.
    fn look(&mut self, id: &'a str, job: &'a Job, row: &QueuedJob) -> Option<QueueEntry<'a>> {
        if row.stand == QueueState::Needs {
            // Nothing of it starts before the jobs that it needs are recorded as done; it takes no
            // room and no place in the queue, and holds nobody up.
            return None;
        }
        let l = self.leader;
        let now = self.clock.now;
        let spec = &job.rec.spec;
        let active = row.active;
        let form = self.scene.backlog.form_of(row);
        let in_flight = l.edits.in_flight(id);
        let chosen: Vec<&'a TaskEntry> = l.edits.places(id).collect();
        let stopping = l.stopping.get(id);
        let order = l.order_of.get(id);
        let guaranteed = self.scene.guaranteed(row);
        let priority = self.scene.lifted.of(id, job);
        let stopped = |task: u32| stopping.is_some_and(|s| s.contains_key(&task));
        let mut present: Vec<(u32, Option<usize>)> = Vec::new();
        // Tasks on record that are not to be started, and those that have lost their places.
        let mut kept: Vec<u32> = Vec::new();
        let mut without: Vec<u32> = Vec::new();
        let mut lost = 0;
        let mut latest = 0;
        let mut unknown_zone = false;
        let mut complete = false;
        let mut runs = false;
        let mut members: Vec<(u32, TaskLiveness)> = Vec::new();
        // A task with a new place has been proven gone from the old one. To count that attempt as
        // lost beside the new one would take the gang for broken before it has started.
        let placing = |task: u32| chosen.iter().any(|c| c.task() == task);
        let recorded = job.entries().filter(|e| !placing(e.task()));
        let all = recorded.map(|e| (e, true));
        for (e, recorded) in all.chain(chosen.iter().map(|e| (*e, false))) {
            let Some(m) = e.machine() else { continue };
            let at = self.stand(id, e, m);
            let s = at.standing;
            let presumed = s.may_be_running(|| active && l.wanted(id, e));
            if recorded {
                if presumed || s == TaskLiveness::Ended(ExitReason::Done) {
                    kept.push(e.task());
                } else if matches!(
                    s,
                    TaskLiveness::Gone | TaskLiveness::Ended(ExitReason::Peers)
                ) {
                    // What was stopped or has failed was not lost; what went with its machine or its
                    // gang was.
                    without.push(e.task());
                }
            }
            if !presumed {
                lost += 1;
                if s == TaskLiveness::Ended(ExitReason::Done) && active && !in_flight {
                    complete = spec.kind == JobKind::Gang;
                    self.found.dones.push((id.to_string(), e.task()));
                }
                continue;
            }
            latest = latest.max(e.attempt());
            runs |= s == TaskLiveness::Present(TaskPhase::Running);
            if spec.kind == JobKind::Gang {
                members.push((e.task(), s));
            }
            let zone = match at.host {
                Some(h) => {
                    let host = &mut self.hosts.list[h];
                    host.take(&row.need);
                    host.gets(row.image);
                    if stopped(e.task()) {
                        add(&mut host.leaving, &row.need);
                    }
                    // A machine that the cloud is about to take: what can save does so now,
                    // a gang as a whole.
                    let notice = self.hosts.agents[h].preemption_at;
                    let save = grace(job);
                    if save > 0.0
                        && notice.is_some_and(|n| n > now + Micros::secs(spec.save_s))
                        && s == TaskLiveness::Present(TaskPhase::Running)
                    {
                        let all = match spec.kind {
                            JobKind::Gang => 0..spec.tasks,
                            _ => e.task()..e.task() + 1,
                        };
                        let all = all.map(|t| (id.to_string(), t, save));
                        self.found.stops.extend(all);
                    }
                    let single = spec.kind == JobKind::Array || spec.tasks == 1;
                    if spec.kind != JobKind::Service
                        && active
                        && chosen.is_empty()
                        && !in_flight
                        && !stopped(e.task())
                    {
                        let order = order.and_then(|o| o.get(&e.task()));
                        self.victims.push(PreemptibleTask {
                            job: id,
                            task: e.task(),
                            host: h,
                            need: row.need,
                            order: order.copied().unwrap_or(0),
                            backfilled: e.backfilled(),
                            priority,
                            saves: single && spec.saves(),
                            save_s: spec.save_s,
                            team: form.team,
                            surplus: !guaranteed,
                            single: spec.kind == JobKind::Array,
                            class: form.class,
                            spared: false,
                        });
                    }
                    self.hosts.list[h].zone
                }
                None => match l.zone_of(m).and_then(|z| self.scene.backlog.names.find(&z)) {
                    Some(z) => z,
                    None => {
                        unknown_zone = true;
                        u32::MAX
                    }
                },
            };
            self.room.take(form.team, &row.need);
            *self.used.entry(form.class).or_default() += size(&self.all, &row.need);
            present.push((zone, at.host));
        }
        self.found.placed += present.len() + lost;
        if !active {
            if present.is_empty() && !in_flight {
                self.found.cleans.push(id.to_string());
            }
            return None;
        }
        // They complete together: the others are not lost when one has reported it first.
        if complete {
            return None;
        }
        if spec.kind == JobKind::Gang && !present.is_empty() {
            if lost > 0 {
                self.found.broken.push((id.to_string(), latest));
                // Members that save on command are left to it.
                let saving = TaskLiveness::Present(TaskPhase::Saving);
                if members.iter().all(|(_, s)| *s != saving) {
                    let all = members.iter().map(|(t, _)| (id.to_string(), *t, 0.0));
                    self.found.stops.extend(all);
                }
            }
            return None;
        }
        // A job that fails wherever it is tried waits longer and longer, unless tasks of it do run.
        let trouble = l.troubles.get(id);
        let held_off = trouble.is_some_and(|t| t.again > now) && !runs && row.left == row.tasks;
        // More replicas of a job may be placed while some are being written: if they had to wait, jobs
        // that came later would take their room. Of other jobs an end may be among what is written.
        if (in_flight && spec.kind != JobKind::Service) || held_off {
            self.found.held_off |= held_off;
            return None;
        }
        // Zones of tasks nobody can place are unknown: such a job waits.
        if (spec.one_zone || spec.spread) && unknown_zone {
            return None;
        }
        let taken =
            |t: u32| kept.binary_search(&t).is_ok() || placing(t) || l.edits.finishing(id, t);
        let mut tasks = startable(job, taken);
        if spec.kind == JobKind::Array
            && trouble.is_some_and(|t| t.jobs_fault() && !(runs && t.quiet(now)))
        {
            // One task shows whether the job still fails; a hundred would cost a hundred places, and as many
            // changes of the store.
            tasks.truncate(usize::from(present.is_empty()));
        }
        if tasks.is_empty() {
            return None;
        }
        let gone = |t: &&u32| without.binary_search(t).is_ok();
        let lost = tasks.iter().filter(gone).count();
        self.found.lost.add(spec.kind, lost);
        let mut item = self.scene.item(id, job, row, tasks);
        item.present = present;
        item.lost = lost as u32;
        if let Some(t) = trouble {
            let machines = t.machines.keys();
            item.shape.avoid = machines.filter_map(|m| self.hosts.find(m)).collect();
        }
        Some(item)
    }

    /// Tasks that agents report and no record places take room as well, of the machine and of the team's limit.
    fn unrecorded(&mut self) {
        for h in 0..self.hosts.agents.len() {
            let w = self.hosts.agents[h];
            for t in w.tasks.iter().filter(|t| t.phase != TaskPhase::Exited) {
                let Some(j) = self.scene.jobs.get(&t.job) else {
                    self.hosts.list[h].open = false;
                    continue;
                };
                let on = |e: &TaskEntry| {
                    (e.task(), e.attempt()) == (t.task, t.attempt) && e.machine().is_some()
                };
                if !j.entry(t.task).is_some_and(on)
                    && !self.leader.edits.places(&t.job).any(on)
                    && let Some((_, row)) = self.scene.backlog.find(&t.job)
                {
                    self.hosts.list[h].take(&row.need);
                    let team = self.scene.backlog.form_of(row).team;
                    self.room.take(team, &row.need);
                }
            }
        }
    }
}

/// Tasks of a job that may start: not done, and not taken. At most a pass's worth for arrays.
fn startable(job: &Job, taken: impl Fn(u32) -> bool) -> Vec<u32> {
    let spec = &job.rec.spec;
    let most = match spec.kind {
        JobKind::Gang => spec.tasks as usize,
        _ => WIDE_MOST,
    };
    let mut tasks = Vec::new();
    for c in 0..spec.tasks.div_ceil(CHUNK) {
        let done = job.chunk_of(c * CHUNK).map_or(0, |ch| ch.done);
        let of_chunk = c * CHUNK..spec.tasks.min((c + 1) * CHUNK);
        let open = of_chunk.filter(|t| done & (1 << (t % CHUNK)) == 0 && !taken(*t));
        tasks.extend(open.take(most - tasks.len()));
        if tasks.len() >= most {
            break;
        }
    }
    tasks
}
