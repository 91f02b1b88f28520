//! The machines that a pass may use, and the images that are cached on them.

use crate::agents::leader_state::FRESH_HEARTBEAT_INTERVALS;
use crate::protocol::Micros;
use crate::protocol::cloud_api::MachineType;
use crate::scheduling::pass::PassInputs;
use crate::scheduling::placement::{Host, NameTable, Resources};
use crate::state::agent::Agent;
use crate::state::record_cache::RecordCache;
use foldhash::{HashMap, HashMapExt};
use std::sync::Arc;

/// The machines that a pass considers. All lists are in the same order.
pub struct HostTable<'a> {
    /// The machines, with the resources that are free on each.
    pub hosts: Vec<Host>,
    /// Names of the machines.
    pub names: Vec<&'a str>,
    /// Agents on the machines.
    pub(crate) agents: Vec<&'a Agent>,
    index: HashMap<&'a str, u32>,
}

impl<'a> HostTable<'a> {
    /// Index of a machine.
    pub fn find(&self, machine: &str) -> Option<usize> {
        self.index.get(machine).map(|index| *index as usize)
    }

    /// Total resources of the first machine, in units of which the demand of jobs is expressed.
    pub(crate) fn typical_host(&self) -> Resources {
        self.hosts.first().map_or([1.0; 3], |host| host.total)
    }

    /// Builds the table of all machines whose agents may still run tasks, with all resources free.
    pub(crate) fn build(
        inputs: &PassInputs<'a>,
        names: &mut NameTable,
        images: &mut ImageIdCache,
    ) -> HostTable<'a> {
        let PassInputs { leader, cache, .. } = *inputs;
        let count = leader.agents.len();
        let mut table = HostTable {
            hosts: Vec::with_capacity(count),
            names: Vec::with_capacity(count),
            agents: Vec::with_capacity(count),
            index: HashMap::with_capacity(count),
        };
        for (name, agent) in &leader.agents {
            let mut types = cache.machine_types.iter().flatten();
            let Some(machine_type) = types.find(|candidate| candidate.name == agent.machine_type)
            else {
                continue;
            };
            if agent.epoch_ended() || leader.inventory.is_gone(name) {
                continue;
            }
            let host = empty_host(inputs, name, agent, machine_type, names, images);
            table.index.insert(name, table.hosts.len() as u32);
            table.names.push(name);
            table.agents.push(agent);
            table.hosts.push(host);
        }
        table
    }
}

/// A host with all of its resources free.
fn empty_host(
    inputs: &PassInputs<'_>,
    name: &str,
    agent: &Agent,
    machine_type: &MachineType,
    names: &mut NameTable,
    images: &mut ImageIdCache,
) -> Host {
    let total = [machine_type.cpus, machine_type.gpus, machine_type.memory_gb];
    let reservation = inputs.leader.reserved.get(name);
    let reserved = reservation.filter(|(_, until)| *until > inputs.clock.now);
    Host {
        machine_type: names.id(&agent.machine_type),
        zone: names.id(&agent.zone),
        spot: agent.spot,
        agent_epoch: agent.agent_epoch,
        total,
        free: total,
        stopping: [0.0; 3],
        schedulable: accepts_tasks(inputs, name, agent),
        images: images.images_on(name, machine_type.cache_gb, inputs.cache, names),
        reserved: reserved.map(|(job, _)| job.as_str().into()),
    }
}

/// Whether new tasks may be placed on a machine.
fn accepts_tasks(inputs: &PassInputs<'_>, name: &str, agent: &Agent) -> bool {
    let leader = inputs.leader;
    let now = inputs.clock.now;
    let report_interval_s = inputs.settings.params.agents.report_s;
    let max_answer_age = Micros::secs(report_interval_s * FRESH_HEARTBEAT_INTERVALS);
    // Only responses to its heartbeats renew the lease of an agent. An agent that answers direct commands
    // but cannot reach a controller is about to lose all of its tasks.
    agent.term == leader.term
        && agent
            .last_answered_at
            .is_some_and(|at| now < at + max_answer_age)
        && agent.preemption_at.is_none()
        && agent.reachability.is_reachable()
        && !leader.inventory.is_marked_for_deletion(name)
        && !leader.is_unhealthy(agent, inputs.policy)
        && !leader.failed_recently(agent, now)
}

/// Cache, by machine, of the ids of the images that are stored on it. An entry is valid until the images
/// on record for the machine change.
#[derive(Debug, Default)]
pub struct ImageIdCache(HashMap<Arc<str>, CachedImages>);

#[derive(Debug)]
struct CachedImages {
    version: u64,
    cache_gb: f64,
    images: Arc<Vec<u32>>,
}

/// When the cache holds more machines than this, it is cleared, which also evicts machines that no longer
/// exist.
const MAX_CACHED_MACHINES: usize = 8_000;

impl ImageIdCache {
    fn images_on(
        &mut self,
        machine: &str,
        cache_gb: f64,
        cache: &RecordCache,
        names: &mut NameTable,
    ) -> Arc<Vec<u32>> {
        let version = cache.image_caches.version(machine);
        if let Some(cached) = self.0.get(machine)
            && (cached.version, cached.cache_gb) == (version, cache_gb)
        {
            return cached.images.clone();
        }
        if self.0.len() > MAX_CACHED_MACHINES {
            self.0.clear();
        }
        let image_names = cache.image_caches.images_of(machine, cache_gb);
        let images: Arc<Vec<u32>> = Arc::new(image_names.map(|name| names.id(name)).collect());
        let cached = CachedImages {
            version,
            cache_gb,
            images: images.clone(),
        };
        self.0.insert(machine.into(), cached);
        images
    }

    /// Removes all entries. Required when the name table has been rebuilt, which assigns new ids.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
