//! The queue, kept from pass to pass instead of made anew for each.
//!
//! Of every live job it keeps what a pass asks for, in numbers, and the orders in which passes walk:
//! arrival, estimate, and arrival within a team. A change of a job's record moves that job alone. Jobs
//! with something on a machine are listed apart: their number is bounded by the fleet, that of the
//! others by nothing, so a pass looks into the former and only walks past the latter.
//!
//! All of it follows from the records. A new leader builds it from them, and in debug builds each pass
//! compares it with one that is built anew.

use crate::protocol::settings::Team;
use crate::protocol::{JobKind, JobSpec, Micros, Priority};
use crate::scheduling::placement::{
    NameTable, PlacementConstraints, Resources, TaskRequirements, need, size,
};
use crate::state::record_cache::Job;
use foldhash::{HashMap, HashMapExt};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Place in the queue: time of day of the acceptance, then the id.
pub type Arrival = (Micros, Arc<str>);
/// Number of a job's row.
pub type Slot = u32;

/// What a walk past a job needs of it. The orders hold it themselves: to look each row up would cost
/// more than all the rest of the walk.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobSummary {
    /// The job's row.
    pub slot: Slot,
    /// Number of its form.
    pub form: u32,
    /// What a task needs.
    pub need: Resources,
    /// Tasks not done.
    pub left: u32,
}

/// An estimated run time in seconds, in its order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate(pub f64);

impl Eq for Estimate {}

impl Ord for Estimate {
    fn cmp(&self, o: &Estimate) -> Ordering {
        self.0.total_cmp(&o.0)
    }
}

impl PartialOrd for Estimate {
    fn partial_cmp(&self, o: &Estimate) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}

/// What many jobs have in common: their row names it by number.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct JobProfile {
    /// Kind of job.
    pub kind: JobKind,
    /// Team, by name.
    pub team: u32,
    /// Class of jobs, by name.
    pub class: u32,
    /// Own priority.
    pub priority: Priority,
    /// Which machines it may use.
    pub allow: Arc<PlacementConstraints>,
    /// Saves by itself.
    pub saves: bool,
    /// Its tasks start one by one, and where some are limits the zones of the others.
    pub zoned: bool,
    /// Names what the search for room depends on besides amounts: forms with the same number find
    /// room in the same places.
    pub reach: u32,
}

/// Where a live job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueState {
    /// Waits for other jobs: not in the queue.
    Needs,
    /// In the queue, and nothing of it is anywhere.
    Queued,
    /// Something of it is on record on a machine, whether or not the job goes on.
    Placed,
}

/// One live job.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedJob {
    /// Its id.
    pub id: Arc<str>,
    /// When it was accepted, by time of day.
    pub at: Micros,
    /// When the last job that it needs was done, or its acceptance.
    pub released: Micros,
    /// Owner's estimate, in seconds.
    pub estimate: Estimate,
    /// What a task needs.
    pub need: Resources,
    /// Number of its form.
    pub form: u32,
    /// Image, by name.
    pub image: u32,
    /// Tasks.
    pub tasks: u32,
    /// Tasks not done.
    pub left: u32,
    /// Where it stands.
    pub stand: QueueState,
    /// Not over.
    pub active: bool,
}

impl QueuedJob {
    fn arrival(&self) -> Arrival {
        (self.at, self.id.clone())
    }

    /// The same, in brief.
    fn brief(&self, slot: Slot) -> JobSummary {
        JobSummary {
            slot,
            form: self.form,
            need: self.need,
            left: self.left,
        }
    }
}

/// The queue.
#[derive(Debug, Default)]
pub struct JobQueue {
    /// Numbers for names, for whoever compares with rows.
    pub names: NameTable,
    /// Names there were when it was built, with those that the first pass added.
    settled: Option<usize>,
    built: bool,
    rows: Vec<Option<QueuedJob>>,
    unused: Vec<Slot>,
    // Ids are chosen by users: the standard hasher cannot be made to collide.
    by_id: std::collections::HashMap<Arc<str>, Slot>,
    forms: Vec<JobProfile>,
    form_of: HashMap<JobProfile, u32>,
    reaches: HashMap<(Arc<PlacementConstraints>, bool, bool, bool), u32>,
    replicas: BTreeMap<Arrival, JobSummary>,
    others: BTreeMap<Arrival, JobSummary>,
    shortest: BTreeMap<(Estimate, Arrival), JobSummary>,
    placed: BTreeMap<Arc<str>, Slot>,
    teams: HashMap<u32, BTreeMap<Arrival, Slot>>,
    typical: Resources,
    largest: f64,
}

/// Names may double, and this many more, before all begins anew.
const MORE_NAMES: usize = 10_000;

impl JobQueue {
    /// Of all live jobs.
    pub fn build<'a>(jobs: impl Iterator<Item = (&'a String, &'a Job)>) -> JobQueue {
        let mut b = JobQueue {
            built: true,
            typical: [1.0; 3],
            ..JobQueue::default()
        };
        for (id, job) in jobs {
            b.insert(id, job);
        }
        b
    }

    /// Whether it has to be built anew: it never was, or has come to hold names of long ago.
    pub fn stale(&self) -> bool {
        let many = |n: usize| self.names.len() > 2 * n + MORE_NAMES;
        !self.built || self.settled.is_some_and(many)
    }

    /// A pass has named all that it met.
    pub fn settle(&mut self) {
        self.settled = self.settled.or(Some(self.names.len()));
    }

    /// A job is not what it was; none: it is over.
    pub fn update(&mut self, id: &str, job: Option<&Job>) {
        if !self.built {
            return;
        }
        self.remove(id);
        if let Some(job) = job {
            self.insert(id, job);
        }
    }

    fn remove(&mut self, id: &str) {
        let Some(slot) = self.by_id.remove(id) else {
            return;
        };
        let Some(row) = self.rows[slot as usize].take() else {
            return;
        };
        self.unused.push(slot);
        let form = &self.forms[row.form as usize];
        let arrival = row.arrival();
        match row.stand {
            QueueState::Queued if form.kind == JobKind::Service => {
                _ = self.replicas.remove(&arrival)
            }
            QueueState::Queued => {
                self.others.remove(&arrival);
                self.shortest.remove(&(row.estimate, arrival.clone()));
            }
            QueueState::Placed => _ = self.placed.remove(id),
            QueueState::Needs => {}
        }
        if row.active
            && row.stand != QueueState::Needs
            && let Some(team) = self.teams.get_mut(&form.team)
        {
            team.remove(&arrival);
        }
    }

    fn insert(&mut self, id: &str, job: &Job) {
        let spec = &job.rec.spec;
        let form = self.form(spec);
        let stand = if job.active() && job.waits() {
            QueueState::Needs
        } else if job.active() && job.entries().all(|e| e.machine().is_none()) {
            QueueState::Queued
        } else {
            QueueState::Placed
        };
        let row = QueuedJob {
            id: id.into(),
            at: job.rec.at,
            released: job.released_at,
            estimate: Estimate(spec.estimate_s),
            need: need(spec),
            form,
            image: self.names.id(&spec.image),
            tasks: spec.tasks,
            left: (spec.tasks as u64).saturating_sub(job.done_count()) as u32,
            stand,
            active: job.active(),
        };
        let slot = self.unused.pop().unwrap_or(self.rows.len() as Slot);
        let form = &self.forms[form as usize];
        let arrival = row.arrival();
        let brief = row.brief(slot);
        match stand {
            QueueState::Queued if form.kind == JobKind::Service => {
                _ = self.replicas.insert(arrival.clone(), brief);
            }
            QueueState::Queued => {
                self.others.insert(arrival.clone(), brief);
                let key = (row.estimate, arrival.clone());
                self.shortest.insert(key, brief);
            }
            QueueState::Placed => _ = self.placed.insert(row.id.clone(), slot),
            QueueState::Needs => {}
        }
        if row.active && stand != QueueState::Needs {
            self.largest = self.largest.max(demand(&row, &self.typical));
            self.teams
                .entry(form.team)
                .or_default()
                .insert(arrival, slot);
        }
        self.by_id.insert(row.id.clone(), slot);
        match self.rows.get_mut(slot as usize) {
            Some(r) => *r = Some(row),
            None => self.rows.push(Some(row)),
        }
    }

    fn form(&mut self, spec: &JobSpec) -> u32 {
        let allow = Arc::new(PlacementConstraints::of(spec, &mut self.names));
        let gang = spec.kind == JobKind::Gang;
        let next = self.reaches.len() as u32;
        let reach = (allow.clone(), gang, spec.one_zone, spec.spread);
        let form = JobProfile {
            kind: spec.kind,
            team: self.names.id(&spec.team),
            class: self.names.id(&spec.class),
            priority: spec.priority,
            allow,
            saves: spec.saves(),
            zoned: spec.zoned(),
            reach: *self.reaches.entry(reach).or_insert(next),
        };
        if let Some(n) = self.form_of.get(&form) {
            return *n;
        }
        let n = self.forms.len() as u32;
        self.forms.push(form.clone());
        self.form_of.insert(form, n);
        n
    }

    /// A job's row.
    pub fn row(&self, slot: Slot) -> Option<&QueuedJob> {
        self.rows.get(slot as usize)?.as_ref()
    }

    /// The same by its id.
    pub fn find(&self, id: &str) -> Option<(Slot, &QueuedJob)> {
        let slot = *self.by_id.get(id)?;
        Some((slot, self.row(slot)?))
    }

    /// What a row's job has in common with others.
    pub fn form_of(&self, row: &QueuedJob) -> &JobProfile {
        &self.forms[row.form as usize]
    }

    /// The form with this number.
    pub fn form_at(&self, n: u32) -> &JobProfile {
        &self.forms[n as usize]
    }

    /// What placing a row's tasks depends on.
    pub fn shape(&self, row: &QueuedJob) -> TaskRequirements {
        let form = self.form_of(row);
        TaskRequirements {
            need: row.need,
            allow: form.allow.clone(),
            saves: form.saves,
            image: row.image,
            avoid: Vec::new(),
        }
    }

    /// How many different searches for room there are.
    pub fn reaches(&self) -> usize {
        self.reaches.len()
    }

    /// Slots are below this.
    pub fn slots(&self) -> usize {
        self.rows.len()
    }

    /// How many jobs are in the queue of which nothing is anywhere.
    pub fn queued(&self) -> usize {
        self.replicas.len() + self.others.len()
    }

    /// Queued services in order of arrival.
    pub fn replicas(&self) -> impl Iterator<Item = (&Arrival, &JobSummary)> {
        self.replicas.iter()
    }

    /// Queued gangs and arrays in order of arrival.
    pub fn others(&self) -> impl Iterator<Item = (&Arrival, &JobSummary)> {
        self.others.iter()
    }

    /// The same, shortest estimate first.
    pub fn shortest(&self) -> impl Iterator<Item = (&(Estimate, Arrival), &JobSummary)> {
        self.shortest.iter()
    }

    /// Jobs of which something is on record on a machine, by id.
    pub fn placed(&self) -> impl Iterator<Item = (&str, Slot)> {
        self.placed.iter().map(|(id, s)| (&**id, *s))
    }

    /// The largest demand of any job that has been in the queue, in machines of the typical size.
    pub fn largest(&mut self, typical: Resources) -> f64 {
        if self.typical != typical {
            self.typical = typical;
            let rows = self.rows.iter().flatten();
            let counts = rows.filter(|r| r.active && r.stand != QueueState::Needs);
            let all = counts.map(|r| demand(r, &typical));
            self.largest = all.fold(0.0, f64::max);
        }
        self.largest
    }

    /// How far each team's guarantee goes.
    pub fn within(&self, teams: &[Team]) -> GuaranteeWindow {
        let mut reach = HashMap::new();
        for t in teams.iter().filter(|t| t.cpus > 0.0 || t.gpus > 0.0) {
            let Some(team) = self.names.find(&t.name) else {
                continue;
            };
            let amount = |v: f64| if v > 0.0 { v } else { f64::INFINITY };
            let mut left = [amount(t.cpus), amount(t.gpus)];
            let mut last = None;
            // In order of arrival, what is not done adds up: past the first that does not fit, none
            // does. So the walk ends with the guarantee, however long the queue.
            for (arrival, slot) in self.teams.get(&team).into_iter().flatten() {
                let Some(row) = self.row(*slot) else { continue };
                let n = row.left as f64;
                left[0] -= row.need[0] * n;
                left[1] -= row.need[1] * n;
                if left.iter().any(|l| *l < -1e-6) {
                    break;
                }
                last = Some(arrival.clone());
            }
            reach.insert(team, last);
        }
        GuaranteeWindow(reach)
    }

    /// Every order in which passes walk, as text.
    fn orders(&self) -> BTreeMap<String, Vec<String>> {
        let show = |slot: Slot| {
            let r = self.row(slot)?;
            let f = self.form_of(r);
            let names = (self.names.name(f.team), self.names.name(r.image));
            Some(format!(
                "{} {names:?} {:?} {:?} {} {:?} {}",
                r.id, r.need, r.stand, r.left, f.priority, r.released
            ))
        };
        let mut all: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let mut add = |order: String, slots: &mut dyn Iterator<Item = Slot>| {
            let rows: Vec<String> = slots.filter_map(show).collect();
            if !rows.is_empty() {
                all.insert(order, rows);
            }
        };
        add("services".into(), &mut self.replicas().map(|(_, b)| b.slot));
        add("others".into(), &mut self.others().map(|(_, b)| b.slot));
        let shortest = &mut self.shortest().map(|(_, b)| b.slot);
        add("shortest first".into(), shortest);
        add("placed".into(), &mut self.placed().map(|(_, s)| s));
        for (team, jobs) in &self.teams {
            let team = self.names.name(*team);
            add(format!("team {team}"), &mut jobs.values().copied());
        }
        all
    }

    /// Compares with one that is built anew; an error names what differs.
    pub fn recount<'a>(
        &self,
        jobs: impl Iterator<Item = (&'a String, &'a Job)>,
    ) -> Result<(), String> {
        let (ours, anew) = (self.orders(), JobQueue::build(jobs).orders());
        for order in ours.keys().chain(anew.keys()) {
            let (a, b) = (ours.get(order), anew.get(order));
            if a != b {
                return Err(format!("{order}: {a:?} is kept where there is {b:?}"));
            }
        }
        Ok(())
    }
}

/// A job's demand: its tasks by their size on a typical machine.
fn demand(row: &QueuedJob, typical: &Resources) -> f64 {
    row.tasks as f64 * size(typical, &row.need)
}

/// How far each team's guarantee goes: the last of its jobs, in order of arrival, that fits into it
/// together with the earlier ones.
#[derive(Debug, Default)]
pub struct GuaranteeWindow(HashMap<u32, Option<Arrival>>);

impl GuaranteeWindow {
    /// Whether a job fits into its team's guarantee.
    pub fn covers(&self, team: u32, at: Micros, id: &str) -> bool {
        match self.0.get(&team) {
            Some(Some((last, name))) => (at, id) <= (*last, name),
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests;
