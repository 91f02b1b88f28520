//! Machines: renting, adopting, giving up and returning them.

use super::leader::Leader;
use super::node::{CallTag, Clock, Node, Tag, cond, put};
use super::placement::{self, Allow, Amounts, Host, Names, Shape, slots};
use super::policy::Policy;
use super::queue::{Lack, Met};
use super::rooms::{Rooms, Vain};
use super::survey::Hosts;
use crate::bookkeeping::mirror::{Job, Mirror};
use crate::bookkeeping::store::{Ask, Rank};
use crate::bookkeeping::token_bucket::TokenBucket;
use crate::protocol::records::{BASE, LEAD, Stage, TYPES};
use crate::protocol::wire::{
    MachineNames, MachinePage, MachineState, MachineType, MachineTypes, Rent, Report, Txn, decode,
    encode,
};
use crate::protocol::{Micros, Settings, Spec};
use crate::transport::Outcome;
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A call to the cloud.
#[derive(Debug, Clone)]
pub enum CloudAsk {
    /// Machine types.
    Types,
    /// A page of the list.
    List,
    /// A rental.
    Rent(Rent),
    /// Deletion of these machines.
    Delete(Vec<String>),
}

/// A machine that is, or may be, rented.
#[derive(Debug, Clone)]
pub struct Machine {
    kind: String,
    zone: String,
    spot: bool,
    rented: Micros,
    running: bool,
    met: bool,
    leaving: bool,
    failed: bool,
}

/// The fleet, as the leader knows it.
pub struct Fleet {
    machines: BTreeMap<String, Machine>,
    gone: BTreeSet<String>,
    gone_order: VecDeque<String>,
    list_at: Micros,
    list_after: String,
    listing: bool,
    listed_once: bool,
    types_at: Micros,
    typing: bool,
    refused: BTreeMap<Offer, Micros>,
    renting: BTreeMap<String, (Rent, bool)>,
    counter: u64,
    pace: Option<TokenBucket>,
    wanted: VecDeque<CloudAsk>,
    /// Machines to be deleted, not yet asked for.
    condemned: BTreeSet<String>,
}

/// Lists are read at this pace.
const LIST_EVERY: Micros = Micros::millis(4000);
/// Machine types and prices are read anew at this pace.
const TYPES_EVERY: Micros = Micros::millis(60_000);
/// After a failed call.
const CLOUD_AGAIN: Micros = Micros::millis(1500);
/// After "no capacity", the same offer is not asked for again before this.
const REFUSED_FOR: Micros = Micros::millis(15_000);
/// A machine that hears nothing is returned no sooner than this.
const DEAF: Micros = Micros::millis(30_000);
/// How long a call may take.
const CLOUD_TIMEOUT: Micros = Micros::millis(4000);
/// Machines named in one deletion, and in one rental, at most.
const DELETED_AT_ONCE: usize = 100;
const RENTED_AT_ONCE: u32 = 50;
/// Machines rented in one pass at most.
const RENTED_A_PASS: u32 = 400;
/// Names of machines that are gone, kept for late lists.
const GONE_KEPT: usize = 4000;

impl Fleet {
    /// Nothing known yet.
    pub fn new(clock: Clock) -> Fleet {
        Fleet {
            machines: BTreeMap::new(),
            gone: BTreeSet::new(),
            gone_order: VecDeque::new(),
            list_at: clock.now,
            list_after: String::new(),
            listing: false,
            listed_once: false,
            types_at: clock.now,
            typing: false,
            refused: BTreeMap::new(),
            renting: BTreeMap::new(),
            counter: 0,
            pace: None,
            wanted: VecDeque::new(),
            condemned: BTreeSet::new(),
        }
    }

    /// Proven gone, with all that was on it.
    pub fn is_gone(&self, machine: &str) -> bool {
        self.gone.contains(machine)
    }

    /// Takes no new tasks.
    pub fn leaving(&self, machine: &str) -> bool {
        self.machines.get(machine).is_some_and(|m| m.leaving)
    }

    /// Its zone, if known.
    pub fn zone_of(&self, machine: &str) -> Option<String> {
        self.machines.get(machine).map(|m| m.zone.clone())
    }

    /// Its worker has reported.
    pub fn met(&mut self, name: &str, r: &Report, now: Micros) {
        if let Some(m) = self.machines.get_mut(name) {
            if !m.met {
                m.met = true;
                let age = now.since(m.rented).as_secs();
                log::info!("{name}: up, {age:.0} s after it was rented");
            }
            return;
        }
        let m = self.machines.entry(name.to_string()).or_insert_with(|| {
            log::info!("{name}: met, a {} in {}", r.kind, r.zone);
            Machine {
                kind: r.kind.clone(),
                zone: r.zone.clone(),
                spot: r.spot,
                rented: now,
                running: false,
                met: true,
                leaving: false,
                failed: false,
            }
        });
        m.met = true;
    }

    fn prove_gone(&mut self, name: &str) {
        if self.gone.insert(name.to_string()) {
            self.gone_order.push_back(name.to_string());
            if self.gone_order.len() > GONE_KEPT
                && let Some(old) = self.gone_order.pop_front()
            {
                self.gone.remove(&old);
            }
        }
    }

    fn leave(&mut self, name: &str, why: &str) {
        if let Some(m) = self.machines.get_mut(name)
            && !m.leaving
        {
            log::info!("{name}: to be returned, {why}");
            m.leaving = true;
            self.condemned.insert(name.to_string());
        }
    }
}

impl Node {
    /// What the fleet is due; returns when to look again.
    pub fn fleet_time(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let rps = self.settings.params.cloud.rps;
        let Some(l) = &mut self.leader else {
            return Micros::FAR;
        };
        let f = &mut l.fleet;
        if f.list_at <= now && !f.listing {
            f.listing = true;
            f.wanted.push_back(CloudAsk::List);
        }
        if f.types_at <= now && !f.typing {
            f.typing = true;
            f.wanted.push_front(CloudAsk::Types);
        }
        // What must go is named once per call.
        while !f.condemned.is_empty() {
            let due: Vec<String> = f.condemned.iter().take(DELETED_AT_ONCE).cloned().collect();
            for n in &due {
                f.condemned.remove(n);
            }
            f.wanted.push_front(CloudAsk::Delete(due));
        }
        let pace = f
            .pace
            .get_or_insert_with(|| TokenBucket::new(rps * 0.7, (rps * 0.7).max(1.0)));
        let mut send = Vec::new();
        while !f.wanted.is_empty() && pace.ready(now, 1.0) {
            pace.take(1.0);
            send.extend(f.wanted.pop_front());
        }
        let mut next = Micros::FAR;
        if !f.wanted.is_empty() {
            next = next.min(pace.when(now, 1.0, false));
        }
        if !f.listing {
            next = next.min(f.list_at);
        }
        if !f.typing {
            next = next.min(f.types_at);
        }
        let after = f.list_after.clone();
        let addr = self.settings.external.cloud;
        for ask in send {
            let (method, path, body) = match &ask {
                CloudAsk::Types => ("GET", "/flavors".to_string(), Vec::new()),
                CloudAsk::List if after.is_empty() => {
                    ("GET", "/machines?most=500".to_string(), Vec::new())
                }
                CloudAsk::List => (
                    "GET",
                    format!("/machines?after={after}&most=500"),
                    Vec::new(),
                ),
                CloudAsk::Rent(r) => ("POST", "/machines".to_string(), encode(r)),
                CloudAsk::Delete(names) => (
                    "POST",
                    "/machines/release".to_string(),
                    encode(&MachineNames {
                        machines: names.clone(),
                    }),
                ),
            };
            self.call(
                CallTag::Cloud(ask),
                addr,
                method,
                &path,
                body,
                CLOUD_TIMEOUT,
            );
        }
        next
    }

    /// The cloud has answered, or not.
    pub fn on_cloud(&mut self, clock: Clock, ask: CloudAsk, outcome: Outcome) {
        let now = clock.now;
        let (status, body) = match outcome {
            Outcome::Reply { status, body } => (status, body),
            Outcome::NotSent | Outcome::Lost => (0, Vec::new()),
        };
        let Some(l) = &mut self.leader else { return };
        match ask {
            CloudAsk::Types => {
                l.fleet.typing = false;
                match decode::<MachineTypes>(&body).filter(|_| status == 200) {
                    Some(t) => {
                        l.fleet.types_at = now + TYPES_EVERY;
                        self.keep_types(t.types);
                    }
                    None => l.fleet.types_at = now + CLOUD_AGAIN,
                }
            }
            CloudAsk::List => {
                l.fleet.listing = false;
                match decode::<MachinePage>(&body).filter(|_| status == 200) {
                    Some(p) => self.on_list(clock, p),
                    None => {
                        l.fleet.list_after.clear();
                        l.fleet.list_at = now + CLOUD_AGAIN;
                    }
                }
            }
            CloudAsk::Rent(r) => {
                let offer = (r.kind.clone(), r.zone.clone(), r.spot);
                if status == 200
                    && let Some(names) = decode::<MachineNames>(&body)
                {
                    l.fleet.renting.remove(&r.request);
                    log::info!(
                        "rented {} of {} {} in {}{}",
                        names.machines.len(),
                        r.count,
                        r.kind,
                        r.zone,
                        if r.spot { ", spot" } else { "" }
                    );
                    if (names.machines.len() as u32) < r.count {
                        l.fleet.refused.insert(offer, now + REFUSED_FOR);
                    }
                    for n in names.machines {
                        l.fleet.machines.entry(n).or_insert(Machine {
                            kind: r.kind.clone(),
                            zone: r.zone.clone(),
                            spot: r.spot,
                            rented: now,
                            running: false,
                            met: false,
                            leaving: false,
                            failed: false,
                        });
                    }
                } else if status == 503 || status == 400 {
                    l.fleet.renting.remove(&r.request);
                    l.fleet.refused.insert(offer, now + REFUSED_FOR);
                    log::info!("no {} to rent in {} (spot: {})", r.kind, r.zone, r.spot);
                } else if let Some(x) = l.fleet.renting.get_mut(&r.request) {
                    // Asked again under the same name: it rents once.
                    x.1 = false;
                }
                l.dirty = true;
            }
            CloudAsk::Delete(names) => {
                for n in names {
                    if status == 200 {
                        log::info!("{n}: returned");
                        l.fleet.machines.remove(&n);
                        l.fleet.prove_gone(&n);
                        l.workers.remove(&n);
                        l.dirty = true;
                    } else if l.fleet.machines.contains_key(&n) {
                        l.fleet.condemned.insert(n);
                    }
                }
            }
        }
    }

    fn keep_types(&mut self, mut types: Vec<MachineType>) {
        // Spot prices wander; they are no reason to write a new record.
        let same = |a: &MachineType, b: &MachineType| {
            let mut a = a.clone();
            a.spot_price = b.spot_price;
            a == *b
        };
        types.sort_by(|a, b| a.name.cmp(&b.name));
        let known = self.mirror.types.as_ref().is_some_and(|k| {
            k.len() == types.len() && k.iter().zip(&types).all(|(a, b)| same(a, b))
        });
        if known {
            return;
        }
        let Some(l) = &self.leader else { return };
        let txn = Txn {
            conds: vec![super::node::cond(crate::protocol::records::LEAD, l.version)],
            changes: vec![put(TYPES, &MachineTypes { types }, None)],
        };
        self.store.ask(Rank::First, Tag::Types, Ask::Txn(txn));
    }

    fn on_list(&mut self, clock: Clock, page: MachinePage) {
        let now = clock.now;
        let Some(l) = &mut self.leader else { return };
        let f = &mut l.fleet;
        if page.more {
            f.list_after = page
                .machines
                .last()
                .map(|m| m.id.clone())
                .unwrap_or_default();
            f.list_at = now;
        } else {
            f.list_after.clear();
            f.list_at = now + LIST_EVERY;
            f.listed_once = true;
        }
        if !page.more && self.mirror.base.is_none() {
            // Written once and for all: nothing is rented before the first list has been read.
            let n = (f.machines.len().max(page.machines.len())) as u64;
            let txn = Txn {
                conds: vec![cond(LEAD, l.version), cond(BASE, 0)],
                changes: vec![put(BASE, &n, None)],
            };
            self.store.ask(Rank::Usual, Tag::Types, Ask::Txn(txn));
        }
        for m in page.machines {
            if f.gone.contains(&m.id) {
                if m.state == MachineState::Failed && !f.machines.contains_key(&m.id) {
                    f.wanted.push_back(CloudAsk::Delete(vec![m.id]));
                }
                continue;
            }
            let known = f.machines.entry(m.id.clone()).or_insert_with(|| Machine {
                kind: m.kind,
                zone: m.zone,
                spot: m.spot,
                rented: now - Micros::secs(m.age_s),
                running: false,
                met: false,
                leaving: false,
                failed: false,
            });
            known.running = m.state == MachineState::Running;
            if m.state == MachineState::Failed && !known.failed {
                log::info!("{}: listed as failed", m.id);
                known.failed = true;
                f.condemned.insert(m.id.clone());
                f.prove_gone(&m.id);
                l.dirty = true;
            }
        }
    }

    /// Rents and returns what a pass has planned.
    pub fn apply_fleet(&mut self, plan: FleetPlan) {
        let Some(l) = &mut self.leader else { return };
        let f = &mut l.fleet;
        for (name, why) in plan.leave {
            f.leave(&name, why);
        }
        for (rent, flying) in f.renting.values_mut() {
            if plan.ready && !*flying {
                *flying = true;
                f.wanted.push_back(CloudAsk::Rent(rent.clone()));
            }
        }
        for ((kind, zone, spot), mut n) in plan.rent {
            while n > 0 {
                f.counter += 1;
                // The term is part of the name: a controller that leads a second time counts anew.
                let request = format!(
                    "{}-{:x}-{}-{}",
                    self.settings.node, self.inc, l.term, f.counter
                );
                let rent = Rent {
                    request: request.clone(),
                    kind: kind.clone(),
                    zone: zone.clone(),
                    spot,
                    count: n.min(RENTED_AT_ONCE),
                };
                n -= rent.count;
                f.renting.insert(request, (rent.clone(), true));
                f.wanted.push_back(CloudAsk::Rent(rent));
            }
        }
    }
}

/// What is offered: a type in a zone, as a spot machine or not.
type Offer = (String, String, bool);

/// What a pass wants of the fleet.
#[derive(Debug, Default, PartialEq)]
pub struct FleetPlan {
    /// Machines to be returned, and why.
    pub leave: Vec<(String, &'static str)>,
    /// Machines to be rented.
    pub rent: BTreeMap<Offer, u32>,
    /// It is known what is there without us, so that rentals may go on.
    pub ready: bool,
}

/// What a job needs that found no room.
pub struct Need<'a> {
    /// All of its tasks, or none.
    pub gang: bool,
    /// Jobs with the same number find room in the same places.
    pub reach: u32,
    /// What one task takes.
    pub need: &'a Amounts,
    /// Which machines it may use.
    pub allow: &'a Arc<Allow>,
    /// The only zones in which further tasks may be, because of those that the job has; none: any.
    pub zones: Option<Vec<u32>>,
}

/// Looks up what found no room. The job itself is looked up only if something may be rented for it.
pub trait Wants<'a> {
    /// What a job needs.
    fn need<'n>(&'n self, of: Met<'n>) -> Need<'n>;
    /// The job.
    fn job(&self, of: Met<'_>) -> Option<(&'a String, &'a Job)>;
}

/// What looks for room in the same places: jobs of one reach, with tasks in the same zones.
type Alike = (u32, Option<Vec<u32>>);

impl Need<'_> {
    fn alike(&self) -> Alike {
        (self.reach, self.zones.clone())
    }

    /// Whether a further task may be in a zone.
    fn may_be_in(&self, zone: Option<u32>) -> bool {
        let bound = self.zones.as_ref();
        bound.is_none_or(|z| zone.is_some_and(|zone| z.contains(&zone)))
    }

    /// The same as what the job allows, zone by zone where it is bound to some.
    fn allowed(&self) -> Vec<Allow> {
        let Some(zones) = &self.zones else {
            return vec![Allow::clone(self.allow)];
        };
        let own = zones
            .iter()
            .filter(|z| self.allow.zone.is_none_or(|a| a == **z));
        own.map(|z| Allow {
            zone: Some(*z),
            ..Allow::clone(self.allow)
        })
        .collect()
    }

    fn shape(&self) -> Shape {
        Shape {
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
pub fn name_zones(l: &Leader, mirror: &Mirror, names: &mut Names) {
    for t in mirror.types.iter().flatten() {
        names.id(&t.name);
        for z in &t.zones {
            names.id(z);
        }
    }
    for m in l.fleet.machines.values() {
        names.id(&m.kind);
        names.id(&m.zone);
    }
    for w in l.workers.values() {
        names.id(&w.zone);
    }
    for (r, _) in l.fleet.renting.values() {
        names.id(&r.kind);
        names.id(&r.zone);
    }
}

/// Machines that are not there yet, or are about to take tasks, and what has been promised of them.
struct Coming {
    rooms: Rooms,
    /// What found no room on them.
    vain: HashMap<Alike, Vain>,
}

impl Coming {
    fn add(&mut self, host: Option<Host>) {
        if let Some(h) = host {
            self.rooms.push(h);
            // There is more room than before.
            self.vain.clear();
        }
    }

    /// Promises room to tasks; returns how many found none.
    fn place<'j>(&mut self, need: &Need<'_>, n: u32, job: impl Fn() -> Option<&'j Job>) -> u32 {
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
pub struct Sight<'a> {
    /// The leader.
    pub leader: &'a Leader,
    /// The records.
    pub mirror: &'a Mirror,
    /// Settings.
    pub settings: &'a Settings,
    /// Operators' settings.
    pub policy: &'a Policy,
    /// Now.
    pub clock: Clock,
    /// The machines.
    pub hosts: &'a Hosts<'a>,
    /// The same as they are after this pass.
    pub rooms: &'a [Host],
    /// Long enough in the lead to know who is there.
    pub learnt: bool,
}

/// What to rent for what lacks room, unless we are too new to know, and what to return.
pub fn plan<'a>(
    sight: &Sight<'_>,
    names: &Names,
    wants: &impl Wants<'a>,
    lacks: &[Lack<'_>],
) -> FleetPlan {
    let Sight {
        leader: l,
        mirror,
        policy,
        hosts,
        rooms,
        ..
    } = *sight;
    let now = sight.clock.now;
    let f = &l.fleet;
    let lacking = !lacks.is_empty();
    let silent_zones = silent_zones(l, sight.settings, now);
    let mut plan = FleetPlan {
        leave: give_up(sight, &silent_zones, lacking),
        // Nothing is rented before it is on record what was there without us.
        ready: f.listed_once && mirror.base.is_some(),
        ..FleetPlan::default()
    };
    if !plan.ready || !lacking || !sight.learnt {
        return plan;
    }
    let types: &[MachineType] = mirror.types.as_deref().unwrap_or_default();
    let mut coming = Coming {
        rooms: Rooms::default(),
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
            session: 0,
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
            silent_zones.contains(&m.zone) && l.workers.get(name).is_some_and(|w| w.is_over());
        if (!m.met || lost) && !m.leaving {
            coming.add(fresh(&m.kind, &m.zone, m.spot));
        }
        // One that has reported and not yet shown our term is about to take tasks. Left out, a
        // wave of machines that come up together would be rented a second time.
        if let Some(h) = hosts.find(name)
            && l.workers.get(name).is_some_and(|w| w.term < l.term)
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
    let mut unoffered: HashMap<Alike, Vain> = HashMap::new();
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
fn silent_zones(l: &Leader, settings: &Settings, now: Micros) -> BTreeSet<String> {
    let mut heard: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    let quiet = Micros::secs(settings.params.workers.report_s * 2.5);
    for w in l.workers.values() {
        let c = match heard.get_mut(w.zone.as_str()) {
            Some(c) => c,
            None => heard.entry(&w.zone).or_default(),
        };
        c.0 += 1;
        c.1 += usize::from(now.since(w.heard) > quiet || !w.hearing.hears());
    }
    heard
        .into_iter()
        .filter(|(_, (all, silent))| *silent >= 2 && silent * 2 > *all)
        .map(|(z, _)| z.to_string())
        .collect()
}

/// Machines to be returned, and why.
fn give_up(
    sight: &Sight<'_>,
    silent_zones: &BTreeSet<String>,
    lacking: bool,
) -> Vec<(String, &'static str)> {
    let Sight {
        leader: l,
        mirror,
        settings,
        policy,
        clock,
        hosts,
        rooms,
        ..
    } = *sight;
    let now = clock.now;
    let types: &[MachineType] = mirror.types.as_deref().unwrap_or_default();
    let lag = Micros::secs(settings.params.cloud.list_lag_s * 3.0);
    let mut leave: Vec<(String, &'static str)> = Vec::new();
    let learning = Micros::secs(settings.params.workers.cancel_s * 1.2);
    // An operator who keeps machines up before there is work holds spare room worth its price.
    let patience = if mirror.base.unwrap_or(0) > 0 {
        Micros::secs(policy.idle_return_kept_s)
    } else {
        Micros::secs(policy.idle_return_s)
    };
    // Long enough for a cut that lets only one direction through.
    let patience_deaf = Micros::secs(settings.params.workers.lease_s * 2.0).max(DEAF);
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
        let Some(w) = l.workers.get(name) else {
            continue;
        };
        let wait = if silent_zones.contains(&w.zone) {
            boot.max(Micros::millis(30_000))
        } else {
            Micros::millis(5_000)
        };
        if let Some(t) = w.hearing.suspected_since() {
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
    let cancel_s = settings.params.workers.cancel_s;
    let late = Micros::secs((cancel_s - 8.0).max(cancel_s * 0.6));
    // Such jobs still have places on record, so they are among those that have.
    let ending = mirror
        .ending()
        .filter_map(|id| mirror.jobs.get_key_value(id));
    for (id, job) in ending {
        if job.rec.stage != Stage::Cancelled || clock.wall < job.rec.end + late {
            continue;
        }
        for e in job.entries() {
            if let Some(m) = e.machine()
                && l.presumed(id, e, false)
                && now.since(l.since) > Micros::secs(settings.params.workers.lease_s)
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
    spec: &Spec,
    types: &'t [MachineType],
    refused: &BTreeMap<Offer, Micros>,
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
