//! Job properties that many jobs share, stored once and referred to by id.

use crate::protocol::{JobKind, JobSpec, Priority};
use crate::scheduling::placement::{NameTable, PlacementConstraints};
use foldhash::HashMap;
use std::sync::Arc;

/// Properties that many jobs share. A queued job refers to its profile by id.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct JobProfile {
    /// Kind of job.
    pub kind: JobKind,
    /// Id of the team in the name table.
    pub team: u32,
    /// Id of the job class in the name table.
    pub class: u32,
    /// Priority of the job itself, without priority inheritance.
    pub priority: Priority,
    /// Constraints on the machines that the job may use.
    pub constraints: Arc<PlacementConstraints>,
    /// The tasks save checkpoints.
    pub saves_checkpoints: bool,
    /// The tasks start one by one, and the zones of running tasks restrict the zones of the others.
    pub has_zone_constraint: bool,
    /// Id of the feasibility class: jobs of the same class with the same resource amounts fit on the
    /// same machines.
    pub feasibility_class: u32,
}

/// The job properties, besides resource amounts, that the search for free resources depends on.
#[derive(Debug, PartialEq, Eq, Hash)]
struct FeasibilityClass {
    constraints: Arc<PlacementConstraints>,
    is_gang: bool,
    one_zone: bool,
    spread: bool,
}

/// Interns the profiles of all jobs in a queue and assigns their ids.
#[derive(Debug, Default)]
pub(crate) struct ProfileTable {
    profiles: Vec<JobProfile>,
    ids: HashMap<JobProfile, u32>,
    feasibility_classes: HashMap<FeasibilityClass, u32>,
}

impl ProfileTable {
    /// Id of a job's profile. Adds the profile if it is new.
    pub(crate) fn id_of(&mut self, spec: &JobSpec, names: &mut NameTable) -> u32 {
        let profile = self.profile(spec, names);
        if let Some(id) = self.ids.get(&profile) {
            return *id;
        }
        let id = self.profiles.len() as u32;
        self.profiles.push(profile.clone());
        self.ids.insert(profile, id);
        id
    }

    fn profile(&mut self, spec: &JobSpec, names: &mut NameTable) -> JobProfile {
        let constraints = Arc::new(PlacementConstraints::of(spec, names));
        let class = FeasibilityClass {
            constraints: constraints.clone(),
            is_gang: spec.kind == JobKind::Gang,
            one_zone: spec.one_zone,
            spread: spec.spread,
        };
        let next_class = self.feasibility_classes.len() as u32;
        JobProfile {
            kind: spec.kind,
            team: names.id(&spec.team),
            class: names.id(&spec.class),
            priority: spec.priority,
            constraints,
            saves_checkpoints: spec.saves_checkpoints(),
            has_zone_constraint: spec.has_zone_constraint(),
            feasibility_class: *self.feasibility_classes.entry(class).or_insert(next_class),
        }
    }

    /// The profile with this id.
    pub(crate) fn get(&self, id: u32) -> &JobProfile {
        &self.profiles[id as usize]
    }

    /// Number of feasibility classes.
    pub(crate) fn feasibility_class_count(&self) -> usize {
        self.feasibility_classes.len()
    }
}
