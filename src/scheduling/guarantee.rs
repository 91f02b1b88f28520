//! Determines which jobs of a team fit into the resources that the team is guaranteed.

use crate::protocol::Micros;
use crate::protocol::settings::Team;
use crate::scheduling::job_queue::{Arrival, JobQueue, QueuedJob, Slot};
use foldhash::{HashMap, HashMapExt};

/// Tolerance for rounding errors in sums of resource amounts.
const TOLERANCE: f64 = 1e-6;

/// For each team with a guarantee, the last job in order of arrival that fits into the guarantee together
/// with all earlier jobs of the team. `None` if its first job does not fit.
#[derive(Debug, Default)]
pub struct GuaranteeCutoffs(HashMap<u32, Option<Arrival>>);

impl GuaranteeCutoffs {
    /// Whether a job fits into its team's guarantee.
    pub fn covers(&self, team: u32, accepted_at: Micros, id: &str) -> bool {
        match self.0.get(&team) {
            Some(Some((last_accepted_at, last_id))) => {
                (accepted_at, id) <= (*last_accepted_at, last_id)
            }
            _ => false,
        }
    }
}

impl JobQueue {
    /// Determines for each team with a guarantee the last job that it covers.
    pub fn guarantee_cutoffs(&self, teams: &[Team]) -> GuaranteeCutoffs {
        let mut last_covered = HashMap::new();
        for team in teams {
            let has_guarantee = team.cpus > 0.0 || team.gpus > 0.0;
            if has_guarantee && let Some(team_id) = self.names.find(&team.name) {
                let last = self.last_covered_job(team, self.jobs_of_team(team_id));
                last_covered.insert(team_id, last.cloned());
            }
        }
        GuaranteeCutoffs(last_covered)
    }

    /// The last job that fits into a guarantee. Adds up the unfinished tasks of jobs in order of arrival
    /// and ends at the first job that does not fit, since no later one can: the cost does not depend on
    /// the length of the queue.
    fn last_covered_job<'q>(
        &'q self,
        team: &Team,
        jobs: impl Iterator<Item = (&'q Arrival, Slot)>,
    ) -> Option<&'q Arrival> {
        let or_unlimited = |amount: f64| if amount > 0.0 { amount } else { f64::INFINITY };
        let mut remaining_cpus = or_unlimited(team.cpus);
        let mut remaining_gpus = or_unlimited(team.gpus);
        let mut last = None;
        for (arrival, slot) in jobs {
            let Some(QueuedJob {
                need, unfinished, ..
            }) = self.job(slot)
            else {
                continue;
            };
            let tasks = f64::from(*unfinished);
            remaining_cpus -= need[0] * tasks;
            remaining_gpus -= need[1] * tasks;
            if remaining_cpus < -TOLERANCE || remaining_gpus < -TOLERANCE {
                break;
            }
            last = Some(arrival);
        }
        last
    }
}
