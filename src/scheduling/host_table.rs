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

/// The machines as a pass sees them. All lists are in the same order.
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

    /// Resources of the machine in which demands are measured.
    pub(crate) fn typical_host(&self) -> Resources {
        self.hosts.first().map_or([1.0; 3], |host| host.total)
    }

    /// Lists the machines of all agents that may still run tasks, with all their resources free.
    pub(crate) fn build(
        inputs: &PassInputs<'a>,
        names: &mut NameTable,
        images: &mut ImageAvailability,
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
            let Some(machine_type) = types.find(|known| known.name == agent.machine_type) else {
                continue;
            };
            if agent.epoch_ended() || leader.inventory.is_gone(name) {
                continue;
            }
            let host = host(inputs, name, agent, machine_type, names, images);
            table.index.insert(name, table.hosts.len() as u32);
            table.names.push(name);
            table.agents.push(agent);
            table.hosts.push(host);
        }
        table
    }
}

/// An empty machine.
fn host(
    inputs: &PassInputs<'_>,
    name: &str,
    agent: &Agent,
    machine_type: &MachineType,
    names: &mut NameTable,
    images: &mut ImageAvailability,
) -> Host {
    let total = [machine_type.cpus, machine_type.gpus, machine_type.memory_gb];
    let reservation = inputs.leader.reserved.get(name);
    let reserved = reservation.filter(|(_, until)| *until > inputs.clock.now);
    Host {
        kind: names.id(&agent.machine_type),
        zone: names.id(&agent.zone),
        spot: agent.spot,
        agent_epoch: agent.agent_epoch,
        total,
        free: total,
        leaving: [0.0; 3],
        open: accepts_tasks(inputs, name, agent),
        images: images.images_on(name, machine_type.cache_gb, inputs.cache, names),
        reserved: reserved.map(|(job, _)| job.as_str().into()),
    }
}

/// Whether new tasks may be placed on a machine.
fn accepts_tasks(inputs: &PassInputs<'_>, name: &str, agent: &Agent) -> bool {
    let leader = inputs.leader;
    let now = inputs.clock.now;
    let report_interval_s = inputs.settings.params.agents.report_s;
    let fresh = Micros::secs(report_interval_s * FRESH_HEARTBEAT_INTERVALS);
    // Only answers to heartbeats renew an agent's lease: an agent that answers direct commands but
    // reaches no controller is about to lose all of its tasks.
    agent.term == leader.term
        && agent.last_answered_at.is_some_and(|at| now < at + fresh)
        && agent.preemption_at.is_none()
        && agent.reachability.receives()
        && !leader.inventory.is_marked_for_deletion(name)
        && !leader.is_unhealthy(agent, inputs.policy)
        && !leader.failed_recently(agent, now)
}

/// By machine: the images in its cache, as numbers. An entry is valid while the images on record for
/// the machine do not change.
#[derive(Debug, Default)]
pub struct ImageAvailability(HashMap<Arc<str>, CachedImages>);

#[derive(Debug)]
struct CachedImages {
    version: u64,
    cache_gb: f64,
    images: Arc<Vec<u32>>,
}

/// When more machines than this are known, all are dropped, and with them those that are gone.
const MAX_KNOWN_MACHINES: usize = 8_000;

impl ImageAvailability {
    fn images_on(
        &mut self,
        machine: &str,
        cache_gb: f64,
        cache: &RecordCache,
        names: &mut NameTable,
    ) -> Arc<Vec<u32>> {
        let version = cache.image_caches.version(machine);
        if let Some(known) = self.0.get(machine)
            && (known.version, known.cache_gb) == (version, cache_gb)
        {
            return known.images.clone();
        }
        if self.0.len() > MAX_KNOWN_MACHINES {
            self.0.clear();
        }
        let image_names = cache.image_caches.of(machine, cache_gb);
        let images: Arc<Vec<u32>> = Arc::new(image_names.map(|name| names.id(name)).collect());
        let known = CachedImages {
            version,
            cache_gb,
            images: images.clone(),
        };
        self.0.insert(machine.into(), known);
        images
    }

    /// Drops everything, because names have been numbered anew.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
