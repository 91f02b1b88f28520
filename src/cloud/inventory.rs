//! Machines: renting, adopting, giving up and returning them.

use crate::cloud::autoscaler::{InstanceOffer, ScalingPlan};
use crate::controller::Controller;
use crate::messages::CloudRequest;
use crate::messages::PendingCall;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::Micros;
use crate::protocol::agent_api::AgentHeartbeat;
use crate::protocol::cloud_api::{
    MachineNames, MachinePage, MachineState, MachineType, MachineTypes, RentRequest,
};
use crate::protocol::codec::{decode, encode};
use crate::protocol::key_value_api::Change;
use crate::protocol::key_value_api::Transaction;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::records::{BASE, LEAD, TYPES};
use crate::state::store_client::{RequestPriority, StoreRequest};
use crate::state::token_bucket::TokenBucket;
use crate::transport::Outcome;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A machine that is, or may be, rented.
#[derive(Debug, Clone)]
pub struct Machine {
    pub(crate) kind: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    pub(crate) rented: Micros,
    pub(crate) running: bool,
    pub(crate) met: bool,
    pub(crate) leaving: bool,
    pub(crate) failed: bool,
}

/// The fleet, as the leader knows it.
pub struct Inventory {
    pub(crate) machines: BTreeMap<String, Machine>,
    pub(crate) gone: BTreeSet<String>,
    pub(crate) gone_order: VecDeque<String>,
    pub(crate) list_at: Micros,
    pub(crate) list_after: String,
    pub(crate) listing: bool,
    pub(crate) listed_once: bool,
    pub(crate) types_at: Micros,
    pub(crate) typing: bool,
    pub(crate) refused: BTreeMap<InstanceOffer, Micros>,
    pub(crate) renting: BTreeMap<String, (RentRequest, bool)>,
    pub(crate) counter: u64,
    pub(crate) pace: Option<TokenBucket>,
    pub(crate) wanted: VecDeque<CloudRequest>,
    /// Machines to be deleted, not yet asked for.
    pub(crate) condemned: BTreeSet<String>,
}

/// Lists are read at this pace.
const LIST_EVERY: Micros = Micros::millis(4000);
/// Machine types and prices are read anew at this pace.
const TYPES_EVERY: Micros = Micros::millis(60_000);
/// After a failed call.
const CLOUD_AGAIN: Micros = Micros::millis(1500);
/// After "no capacity", the same offer is not asked for again before this.
const REFUSED_FOR: Micros = Micros::millis(15_000);
/// How long a call may take.
const CLOUD_TIMEOUT: Micros = Micros::millis(4000);
/// Machines named in one deletion, and in one rental, at most.
const DELETED_AT_ONCE: usize = 100;
const RENTED_AT_ONCE: u32 = 50;
/// Names of machines that are gone, kept for late lists.
const GONE_KEPT: usize = 4000;

impl Inventory {
    /// Nothing known yet.
    pub fn new(clock: Clock) -> Inventory {
        Inventory {
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

    /// Its agent has reported.
    pub fn met(&mut self, name: &str, r: &AgentHeartbeat, now: Micros) {
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

impl Controller {
    /// What the fleet is due; returns when to look again.
    pub fn drive_inventory(&mut self, clock: Clock) -> Micros {
        let now = clock.now;
        let rps = self.settings.params.cloud.rps;
        let Some(l) = &mut self.leader else {
            return Micros::FAR;
        };
        let f = &mut l.fleet;
        if f.list_at <= now && !f.listing {
            f.listing = true;
            f.wanted.push_back(CloudRequest::List);
        }
        if f.types_at <= now && !f.typing {
            f.typing = true;
            f.wanted.push_front(CloudRequest::Types);
        }
        // What must go is named once per call.
        while !f.condemned.is_empty() {
            let due: Vec<String> = f.condemned.iter().take(DELETED_AT_ONCE).cloned().collect();
            for n in &due {
                f.condemned.remove(n);
            }
            f.wanted.push_front(CloudRequest::Delete(due));
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
            next = next.min(pace.ready_at(now, 1.0, false));
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
                CloudRequest::Types => ("GET", "/flavors".to_string(), Vec::new()),
                CloudRequest::List if after.is_empty() => {
                    ("GET", "/machines?most=500".to_string(), Vec::new())
                }
                CloudRequest::List => (
                    "GET",
                    format!("/machines?after={after}&most=500"),
                    Vec::new(),
                ),
                CloudRequest::RentInstances(r) => ("POST", "/machines".to_string(), encode(r)),
                CloudRequest::Delete(names) => (
                    "POST",
                    "/machines/release".to_string(),
                    encode(&MachineNames {
                        machines: names.clone(),
                    }),
                ),
            };
            self.call(
                PendingCall::Cloud(ask),
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
    pub fn on_cloud_response(&mut self, clock: Clock, ask: CloudRequest, outcome: Outcome) {
        let now = clock.now;
        let (status, body) = match outcome {
            Outcome::Reply { status, body } => (status, body),
            Outcome::NotSent | Outcome::Lost => (0, Vec::new()),
        };
        let Some(l) = &mut self.leader else { return };
        match ask {
            CloudRequest::Types => {
                l.fleet.typing = false;
                match decode::<MachineTypes>(&body).filter(|_| status == 200) {
                    Some(t) => {
                        l.fleet.types_at = now + TYPES_EVERY;
                        self.keep_types(t.types);
                    }
                    None => l.fleet.types_at = now + CLOUD_AGAIN,
                }
            }
            CloudRequest::List => {
                l.fleet.listing = false;
                match decode::<MachinePage>(&body).filter(|_| status == 200) {
                    Some(p) => self.on_list(clock, p),
                    None => {
                        l.fleet.list_after.clear();
                        l.fleet.list_at = now + CLOUD_AGAIN;
                    }
                }
            }
            CloudRequest::RentInstances(r) => {
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
            CloudRequest::Delete(names) => {
                for n in names {
                    if status == 200 {
                        log::info!("{n}: returned");
                        l.fleet.machines.remove(&n);
                        l.fleet.prove_gone(&n);
                        l.agents.remove(&n);
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
        let known = self.cache.types.as_ref().is_some_and(|k| {
            k.len() == types.len() && k.iter().zip(&types).all(|(a, b)| same(a, b))
        });
        if known {
            return;
        }
        let Some(l) = &self.leader else { return };
        let txn = Transaction {
            conds: vec![crate::protocol::key_value_api::VersionCondition::new(
                crate::protocol::records::LEAD,
                l.version,
            )],
            changes: vec![Change::put(TYPES, &MachineTypes { types }, None)],
        };
        self.store.ask(
            RequestPriority::Urgent,
            StoreRequestPurpose::BackgroundWrite,
            StoreRequest::Transaction(txn),
        );
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
        if !page.more && self.cache.initial_machines.is_none() {
            // Written once and for all: nothing is rented before the first list has been read.
            let n = (f.machines.len().max(page.machines.len())) as u64;
            let txn = Transaction {
                conds: vec![
                    VersionCondition::new(LEAD, l.version),
                    VersionCondition::new(BASE, 0),
                ],
                changes: vec![Change::put(BASE, &n, None)],
            };
            self.store.ask(
                RequestPriority::Normal,
                StoreRequestPurpose::BackgroundWrite,
                StoreRequest::Transaction(txn),
            );
        }
        for m in page.machines {
            if f.gone.contains(&m.id) {
                if m.state == MachineState::Failed && !f.machines.contains_key(&m.id) {
                    f.wanted.push_back(CloudRequest::Delete(vec![m.id]));
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
    pub fn apply_fleet(&mut self, plan: ScalingPlan) {
        let Some(l) = &mut self.leader else { return };
        let f = &mut l.fleet;
        for (name, why) in plan.leave {
            f.leave(&name, why);
        }
        for (rent, flying) in f.renting.values_mut() {
            if plan.ready && !*flying {
                *flying = true;
                f.wanted
                    .push_back(CloudRequest::RentInstances(rent.clone()));
            }
        }
        for ((kind, zone, spot), mut n) in plan.rent {
            while n > 0 {
                f.counter += 1;
                // The term is part of the name: a controller that leads a second time counts anew.
                let request = format!(
                    "{}-{:x}-{}-{}",
                    self.settings.node, self.incarnation, l.term, f.counter
                );
                let rent = RentRequest {
                    request: request.clone(),
                    kind: kind.clone(),
                    zone: zone.clone(),
                    spot,
                    count: n.min(RENTED_AT_ONCE),
                };
                n -= rent.count;
                f.renting.insert(request, (rent.clone(), true));
                f.wanted.push_back(CloudRequest::RentInstances(rent));
            }
        }
    }
}
