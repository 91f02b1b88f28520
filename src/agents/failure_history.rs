//! Jobs that fail, machines that fail them, and which of the two is to blame.

use crate::agents::leader_state::LeaderState;
use crate::policy::Policy;
use crate::protocol::Micros;
use crate::state::agent::Agent;
use std::collections::BTreeMap;

/// A job is kept off a machine on which it has failed for this long, and a machine that fails what it starts gets
/// nothing new: if it alone has room, nobody may be left waiting for 90 s.
const AVOIDED: Micros = Micros::millis(70_000);
/// A machine on which a job has failed gets nothing new for this long: if it is the machine, the
/// next job there, a gang perhaps, would fail as well.
const SUSPECT: Micros = Micros::millis(30_000);
/// A machine that fails what it starts is returned no sooner than this after the first failure.
const SICK_FOR: Micros = Micros::millis(15_000);
/// A job that has failed on more machines than this in a row is at fault itself.
const JOBS_FAULT: u32 = 2;

/// Trouble with a job's tasks.
#[derive(Debug, Clone, Default)]
pub struct FailureHistory {
    /// Machines on which it has failed, and when last: it is not tried there again for a while.
    pub machines: BTreeMap<String, Micros>,
    /// On how many different machines it has failed since a task of it last ran well.
    pub row: u32,
    /// Not tried before this, unless some of its tasks run well.
    pub again: Micros,
}

impl FailureHistory {
    /// It has failed on so many machines in a row that the job itself is at fault.
    pub fn jobs_fault(&self) -> bool {
        self.row > JOBS_FAULT
    }

    /// It has not failed for a while.
    pub fn quiet(&self, now: Micros) -> bool {
        self.machines.values().all(|at| now.since(*at) > SUSPECT)
    }
}

impl LeaderState {
    /// The errors on a machine for which the machine may be to blame: not those of jobs that fail anywhere.
    fn blamed<'a>(&'a self, w: &'a Agent) -> impl Iterator<Item = Micros> + 'a {
        let own = |job: &String| self.troubles.get(job).is_none_or(|t| !t.jobs_fault());
        let errors = w.errors.iter().filter(move |e| own(&e.job));
        errors.map(|e| e.at)
    }

    /// Whether a machine fails tasks of several jobs in a row.
    pub fn sick(&self, w: &Agent, policy: &Policy) -> bool {
        w.errors.len() as f64 >= policy.sick_after
            && self.blamed(w).count() as f64 >= policy.sick_after
    }

    /// Whether it has been for a while: jobs at fault are known as such by then, also to a new leader.
    pub fn stays_sick(&self, w: &Agent, policy: &Policy, now: Micros) -> bool {
        self.sick(w, policy) && self.blamed(w).any(|t| now.since(t) > SICK_FOR)
    }

    /// Whether a machine may be the reason why a job has just failed on it.
    pub fn suspect(&self, w: &Agent, now: Micros) -> bool {
        self.blamed(w).any(|t| now < t + SUSPECT)
    }

    /// Forgets what failed long ago.
    pub fn forgive(&mut self, now: Micros) {
        self.troubles.retain(|_, t| {
            t.machines.retain(|_, at| now < *at + AVOIDED);
            !t.machines.is_empty() || now < t.again
        });
        for w in self.agents.values_mut() {
            w.errors.retain(|e| now < e.at + AVOIDED);
        }
    }
}
