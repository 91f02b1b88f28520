//! What to rent and what to return: a plan that looks and changes nothing.

use crate::agents::leader_state::LeaderState;
use crate::policy::Policy;
use crate::protocol::Clock;
use crate::protocol::cloud_api::MachineType;
use crate::protocol::records::JobStage;
use crate::protocol::{JobSpec, Micros, Settings};
use crate::scheduling::backfill::{QueueCandidate, UnmetDemand};
use crate::scheduling::capacity_index::{CapacityIndex, InfeasibleRequests};
use crate::scheduling::cluster_snapshot::HostTable;
use crate::scheduling::placement::{
    self, Host, NameTable, PlacementConstraints, Resources, TaskRequirements, slots,
};
use crate::state::record_cache::{Job, RecordCache};
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A machine that hears nothing is returned no sooner than this.
const DEAF: Micros = Micros::millis(30_000);

/// Machines rented in one pass at most.
const RENTED_A_PASS: u32 = 400;

/// What is offered: a type in a zone, as a spot machine or not.
pub(crate) type InstanceOffer = (String, String, bool);

/// What a pass wants of the fleet.
#[derive(Debug, Default, PartialEq)]
pub struct ScalingPlan {
    /// Machines to be returned, and why.
    pub leave: Vec<(String, &'static str)>,
    /// Machines to be rented.
    pub rent: BTreeMap<InstanceOffer, u32>,
    /// It is known what is there without us, so that rentals may go on.
    pub ready: bool,
}

/// What a job needs that found no room.
pub struct CapacityDemand<'a> {
    /// All of its tasks, or none.
    pub gang: bool,
    /// Jobs with the same number find room in the same places.
    pub reach: u32,
    /// What one task takes.
    pub need: &'a Resources,
    /// Which machines it may use.
    pub allow: &'a Arc<PlacementConstraints>,
    /// The only zones in which further tasks may be, because of those that the job has; none: any.
    pub zones: Option<Vec<u32>>,
}

/// Looks up what found no room. The job itself is looked up only if something may be rented for it.
pub trait DemandSource<'a> {
    /// What a job needs.
    fn need<'n>(&'n self, of: QueueCandidate<'n>) -> CapacityDemand<'n>;
    /// The job.
    fn job(&self, of: QueueCandidate<'_>) -> Option<(&'a String, &'a Job)>;
}

/// What looks for room in the same places: jobs of one reach, with tasks in the same zones.
type InstanceClass = (u32, Option<Vec<u32>>);

impl CapacityDemand<'_> {
    fn alike(&self) -> InstanceClass {
        (self.reach, self.zones.clone())
    }

    /// Whether a further task may be in a zone.
    fn may_be_in(&self, zone: Option<u32>) -> bool {
        let bound = self.zones.as_ref();
        bound.is_none_or(|z| zone.is_some_and(|zone| z.contains(&zone)))
    }

    /// The same as what the job allows, zone by zone where it is bound to some.
    fn allowed(&self) -> Vec<PlacementConstraints> {
        let Some(zones) = &self.zones else {
            return vec![PlacementConstraints::clone(self.allow)];
        };
        let own = zones
            .iter()
            .filter(|z| self.allow.zone.is_none_or(|a| a == **z));
        own.map(|z| PlacementConstraints {
            zone: Some(*z),
            ..PlacementConstraints::clone(self.allow)
        })
        .collect()
    }

    fn shape(&self) -> TaskRequirements {
        TaskRequirements {
            need: *self.need,
            allow: self.allow.clone(),
            saves: false,
            // What is being rented has no image.
            image: u32::MAX,
            avoid: Vec::new(),
        }
    }
}

/// Names all types and zones of machines, also of those on offer.
pub fn name_zones(l: &LeaderState, cache: &RecordCache, names: &mut NameTable) {
    for t in cache.types.iter().flatten() {
        names.id(&t.name);
        for z in &t.zones {
            names.id(z);
        }
    }
    for m in l.fleet.machines.values() {
        names.id(&m.kind);
        names.id(&m.zone);
    }
    for w in l.agents.values() {
        names.id(&w.zone);
    }
    for (r, _) in l.fleet.renting.values() {
        names.id(&r.kind);
        names.id(&r.zone);
    }
}

/// Machines that are not there yet, or are about to take tasks, and what has been promised of them.
struct ProvisioningInstances {
    rooms: CapacityIndex,
    /// What found no room on them.
    vain: HashMap<InstanceClass, InfeasibleRequests>,
}

impl ProvisioningInstances {
    fn add(&mut self, host: Option<Host>) {
        if let Some(h) = host {
            self.rooms.push(h);
            // There is more room than before.
            self.vain.clear();
        }
    }

    /// Promises room to tasks; returns how many found none.
    fn place<'j>(
        &mut self,
        need: &CapacityDemand<'_>,
        n: u32,
        job: impl Fn() -> Option<&'j Job>,
    ) -> u32 {
        let many = if need.gang { n } else { 1 };
        let vain = self.vain.entry(need.alike()).or_default();
        if vain.covers(need.need, many) {
            return n;
        }
        if need.gang {
            let shape = need.shape();
            let spec = job().map(|j| &j.rec.spec);
            let all = self.rooms.candidates("", need.need, need.allow);
            let all = all.into_iter();
            let found = spec.and_then(|s| placement::gang(&self.rooms, all, "", s, &shape, n, 1.0));
            let Some(found) = found else {
                vain.add(need.need, n);
                return n;
            };
            for h in found {
                self.rooms.take(h, need.need);
            }
            return 0;
        }
        let mut left = n;
        let allowed = need.allowed();
        let rooms = &self.rooms;
        let found = allowed.iter().map(|a| rooms.enough(need.need, a, n));
        for h in found.collect::<Vec<_>>().into_iter().flatten() {
            let k = slots(&self.rooms[h].free, need.need).min(left);
            self.rooms.take(h, &need.need.map(|x| x * k as f64));
            left -= k;
            if left == 0 {
                return 0;
            }
        }
        vain.add(need.need, 1);
        left
    }
}

/// What planning looks at.
#[derive(Clone, Copy)]
pub struct FleetSnapshot<'a> {
    /// The leader.
    pub leader: &'a LeaderState,
    /// The records.
    pub cache: &'a RecordCache,
    /// Settings.
    pub settings: &'a Settings,
    /// Operators' settings.
    pub policy: &'a Policy,
    /// Now.
    pub clock: Clock,
    /// The machines.
    pub hosts: &'a HostTable<'a>,
    /// The same as they are after this pass.
    pub rooms: &'a [Host],
    /// Long enough in the lead to know who is there.
    pub learnt: bool,
}

/// What to rent for what lacks room, unless we are too new to know, and what to return.
pub fn plan<'a>(
    sight: &FleetSnapshot<'_>,
    names: &NameTable,
    wants: &impl DemandSource<'a>,
    lacks: &[UnmetDemand<'_>],
) -> ScalingPlan {
    let FleetSnapshot {
        leader: l,
        cache,
        policy,
        hosts,
        rooms,
        ..
    } = *sight;
    let now = sight.clock.now;
    let f = &l.fleet;
    let lacking = !lacks.is_empty();
    let silent_zones = silent_zones(l, sight.settings, now);
    let mut plan = ScalingPlan {
        leave: give_up(sight, &silent_zones, lacking),
        // Nothing is rented before it is on record what was there without us.
        ready: f.listed_once && cache.initial_machines.is_some(),
        ..ScalingPlan::default()
    };
    if !plan.ready || !lacking || !sight.learnt {
        return plan;
    }
    let types: &[MachineType] = cache.types.as_deref().unwrap_or_default();
    let mut coming = ProvisioningInstances {
        rooms: CapacityIndex::default(),
        vain: HashMap::new(),
    };
    let mut count: BTreeMap<&str, usize> = BTreeMap::new();
    let fresh = |kind: &str, zone: &str, spot: bool| {
        let t = types.iter().find(|t| t.name == kind)?;
        let total = [t.cpus, t.gpus, t.memory_gb];
        Some(Host {
            // All that is on offer has been named.
            kind: names.find(kind).unwrap_or(u32::MAX),
            zone: names.find(zone).unwrap_or(u32::MAX),
            spot,
            agent_epoch: 0,
            total,
            free: total,
            open: true,
            images: Arc::default(),
            leaving: [0.0; 3],
            reserved: None,
        })
    };
    for (name, m) in f.machines.iter().filter(|(_, m)| !m.failed) {
        *count.entry(&m.zone).or_default() += 1;
        let lost =
            silent_zones.contains(&m.zone) && l.agents.get(name).is_some_and(|w| w.is_over());
        if (!m.met || lost) && !m.leaving {
            coming.add(fresh(&m.kind, &m.zone, m.spot));
        }
        // One that has reported and not yet shown our term is about to take tasks. Left out, a
        // wave of machines that come up together would be rented a second time.
        if let Some(h) = hosts.find(name)
            && l.agents.get(name).is_some_and(|w| w.term < l.term)
            && !m.leaving
        {
            let mut host = rooms[h].clone();
            host.open = true;
            host.reserved = None;
            coming.add(Some(host));
        }
    }
    for (r, _) in f.renting.values() {
        for _ in 0..r.count {
            coming.add(fresh(&r.kind, &r.zone, r.spot));
        }
        *count.entry(&r.zone).or_default() += r.count as usize;
    }
    let mut total: usize = count.values().sum();
    let mut ordered = 0;
    let most = policy.most_machines as usize;
    // For what nothing is on offer.
    let mut unoffered: HashMap<InstanceClass, InfeasibleRequests> = HashMap::new();
    for lack in lacks {
        // Promises are only made to find out what else to rent.
        if ordered >= RENTED_A_PASS || (most > 0 && total >= most) {
            break;
        }
        let need = wants.need(lack.of);
        let job = || wants.job(lack.of).map(|(_, j)| j);
        let mut left = coming.place(&need, lack.tasks, job);
        let before_all = ordered;
        while left > 0 && ordered < RENTED_A_PASS {
            if most > 0 && total >= most {
                break;
            }
            let none = unoffered.entry(need.alike()).or_default();
            if none.covers(need.need, 1) {
                break;
            }
            let open = |zone: &str| need.may_be_in(names.find(zone));
            let found =
                job().and_then(|j| offer(&j.rec.spec, types, &f.refused, &count, open, now));
            let Some((t, zone, spot)) = found else {
                none.add(need.need, 1);
                break;
            };
            coming.add(fresh(&t.name, zone, spot));
            *count.entry(zone).or_default() += 1;
            total += 1;
            let order = (t.name.clone(), zone.to_string(), spot);
            *plan.rent.entry(order).or_default() += 1;
            ordered += 1;
            let before = left;
            left = coming.place(&need, left, job);
            if left >= before && !need.gang {
                break;
            }
        }
        if ordered > before_all {
            log::debug!(
                "{}: {} of its tasks lack room, {} machines are rented for it",
                wants.job(lack.of).map_or("", |(id, _)| id),
                lack.tasks,
                ordered - before_all
            );
        }
    }
    plan
}

/// Zones most of whose machines have fallen silent, or hear nothing: more likely cut off than dead. Their
/// machines are worth waiting for as long as new ones would take to boot.
fn silent_zones(l: &LeaderState, settings: &Settings, now: Micros) -> BTreeSet<String> {
    let mut heard: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    let quiet = Micros::secs(settings.params.agents.report_s * 2.5);
    for w in l.agents.values() {
        let c = match heard.get_mut(w.zone.as_str()) {
            Some(c) => c,
            None => heard.entry(&w.zone).or_default(),
        };
        c.0 += 1;
        c.1 += usize::from(now.since(w.heard) > quiet || !w.reachability.receives());
    }
    heard
        .into_iter()
        .filter(|(_, (all, silent))| *silent >= 2 && silent * 2 > *all)
        .map(|(z, _)| z.to_string())
        .collect()
}

/// Machines to be returned, and why.
fn give_up(
    sight: &FleetSnapshot<'_>,
    silent_zones: &BTreeSet<String>,
    lacking: bool,
) -> Vec<(String, &'static str)> {
    let FleetSnapshot {
        leader: l,
        cache,
        settings,
        policy,
        clock,
        hosts,
        rooms,
        ..
    } = *sight;
    let now = clock.now;
    let types: &[MachineType] = cache.types.as_deref().unwrap_or_default();
    let lag = Micros::secs(settings.params.cloud.list_lag_s * 3.0);
    let mut leave: Vec<(String, &'static str)> = Vec::new();
    let learning = Micros::secs(settings.params.agents.cancel_s * 1.2);
    // An operator who keeps machines up before there is work holds spare room worth its price.
    let patience = if cache.initial_machines.unwrap_or(0) > 0 {
        Micros::secs(policy.idle_return_kept_s)
    } else {
        Micros::secs(policy.idle_return_s)
    };
    // Long enough for a cut that lets only one direction through.
    let patience_deaf = Micros::secs(settings.params.agents.lease_s * 2.0).max(DEAF);
    let mut idle = 0usize;
    for (name, m) in &l.fleet.machines {
        if m.leaving || m.failed {
            continue;
        }
        let boot = types
            .iter()
            .find(|t| t.name == m.kind)
            .map_or(Micros::millis(120_000), |t| Micros::secs(t.boot_s));
        if !m.met {
            let patience = boot.times(policy.boot_patience);
            // A machine that is up may report to an older leader for a while: a new leader
            // has to learn first who is there.
            let learnt = if m.running { learning } else { lag };
            if now.since(m.rented) > patience && now.since(l.since) > learnt {
                leave.push((name.clone(), "it does not come up"));
            }
            continue;
        }
        let Some(w) = l.agents.get(name) else {
            continue;
        };
        let wait = if silent_zones.contains(&w.zone) {
            boot.max(Micros::millis(30_000))
        } else {
            Micros::millis(5_000)
        };
        if let Some(t) = w.reachability.suspected_since() {
            // It may hear again: cuts that let only one direction through end, too.
            let long = now.since(t) > wait + patience_deaf && now.since(l.since) > patience_deaf;
            if long {
                leave.push((name.clone(), "it reports and hears nothing"));
            }
            continue;
        }
        if w.is_over() && now.since(w.heard) > wait {
            let why = "its worker is silent and its lease has run out";
            leave.push((name.clone(), why));
            continue;
        }
        if !hosts.find(name).is_some_and(|h| rooms[h].empty()) {
            continue;
        }
        if l.sick(w, policy) {
            if l.stays_sick(w, policy, now) {
                leave.push((name.clone(), "tasks of several jobs fail on it"));
            }
            continue;
        }
        idle += 1;
        let long =
            w.idle_since.is_some_and(|t| now.since(t) > patience) && now.since(l.since) > patience;
        if long && !lacking && idle as f64 > policy.keep_idle {
            leave.push((name.clone(), "idle"));
        }
    }
    // Tasks of cancelled jobs that cannot be confirmed gone in time go with their machine.
    // A controller that renews the machine's lease behind a cut has told it to stop them, so
    // this waits until just enough time is left for a few calls to the cloud.
    let cancel_s = settings.params.agents.cancel_s;
    let late = Micros::secs((cancel_s - 8.0).max(cancel_s * 0.6));
    // Such jobs still have places on record, so they are among those that have.
    let ending = cache
        .ended_with_tasks()
        .filter_map(|id| cache.jobs.get_key_value(id));
    for (id, job) in ending {
        if job.rec.stage != JobStage::Cancelled || clock.wall < job.rec.end + late {
            continue;
        }
        for e in job.entries() {
            if let Some(m) = e.machine()
                && l.presumed(id, e, false)
                && now.since(l.since) > Micros::secs(settings.params.agents.lease_s)
            {
                let why = "a cancelled task cannot be confirmed gone";
                leave.push((m.to_string(), why));
            }
        }
    }
    leave
}

/// Where to rent a machine for a job: the cheapest type that fits, in the zone with the fewest
/// machines; a gang that wants one zone stays in the first zone that is to be had.
fn offer<'t>(
    spec: &JobSpec,
    types: &'t [MachineType],
    refused: &BTreeMap<InstanceOffer, Micros>,
    count: &BTreeMap<&str, usize>,
    open: impl Fn(&str) -> bool,
    now: Micros,
) -> Option<(&'t MachineType, &'t str, bool)> {
    let need = placement::need(spec);
    let mut best: Option<(f64, usize, &'t MachineType, &'t str, bool)> = None;
    for t in types {
        let n = slots(&[t.cpus, t.gpus, t.memory_gb], &need);
        if n == 0 {
            continue;
        }
        for zone in t.zones.iter().filter(|z| open(z)) {
            for spot in [false, true] {
                let key = (t.name.clone(), zone.clone(), spot);
                let named = |l: &Vec<String>| l.contains(&t.name);
                let fits = (spec.spot || !spot)
                    && spec.types.as_ref().is_none_or(named)
                    && spec.zone.as_ref().is_none_or(|z| z == zone);
                if !fits || refused.get(&key).is_some_and(|until| *until > now) {
                    continue;
                }
                // What saves loses little when its machine is taken; the rest takes spot machines only
                // where no others are to be had.
                let price = match spot {
                    true if spec.saves() => t.spot_price,
                    true => t.price * 1.01,
                    false => t.price,
                } / n as f64;
                let here = if spec.one_zone && spec.tasks > 1 {
                    0
                } else {
                    count.get(zone.as_str()).copied().unwrap_or(0)
                };
                if best
                    .as_ref()
                    .is_none_or(|(p, c, ..)| (price, here) < (*p, *c))
                {
                    best = Some((price, here, t, zone, spot));
                }
            }
        }
    }
    best.map(|(_, _, k, z, s)| (k, z, s))
}
