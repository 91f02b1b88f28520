//! Room on machines, kept in order while a pass fills it.
//!
//! Most jobs of a long queue find no room, and most machines of a full fleet have none. So machines are
//! kept by how much is free on them: whether anything could take a task, and what could, is found
//! without looking at the full ones.

use crate::scheduling::placement::{Host, PlacementConstraints, Resources, may_take, slots};
use std::collections::BTreeMap;
use std::ops::Deref;

/// Room is told apart by this part of a machine.
const PARTS: f64 = 64.0;
/// Sums of amounts may be off by so much; well above what `placement::slots` forgives.
const SLACK: f64 = 1e-5;

/// How much is free, in parts of a machine of this kind, for each of the three amounts.
type CapacityLevel = [u8; 3];

fn level(total: &Resources, room: &Resources, slack: f64) -> CapacityLevel {
    std::array::from_fn(|r| {
        if total[r] > 0.0 {
            ((room[r] + slack) / total[r] * PARTS)
                .floor()
                .clamp(0.0, 255.0) as u8
        } else {
            0
        }
    })
}

/// Machines of one type, zone and way of renting.
#[derive(Debug, Clone)]
struct HostBucket {
    kind: u32,
    zone: u32,
    spot: bool,
    total: Resources,
    levels: BTreeMap<CapacityLevel, Vec<u32>>,
}

impl HostBucket {
    /// Machines with at least this much room, as far as levels tell, those with least first.
    fn roomy(&self, need: &Resources) -> impl DoubleEndedIterator<Item = usize> {
        let least = level(&self.total, need, 0.0);
        // The first of the three orders the map: smaller ones are not looked at.
        self.levels
            .range([least[0], 0, 0]..)
            .filter(move |(l, _)| l[1] >= least[1] && l[2] >= least[2])
            .flat_map(|(_, list)| list.iter().map(|h| *h as usize))
    }
}

/// Where a machine is kept: its pool, its level, and its place among those.
#[derive(Debug, Clone, Copy)]
struct BucketPosition {
    pool: u32,
    level: CapacityLevel,
    at: u32,
}

/// The machines of a pass with what is free on each.
#[derive(Debug, Default, Clone)]
pub struct CapacityIndex {
    hosts: Vec<Host>,
    pools: Vec<HostBucket>,
    /// None: it takes nothing new, and is kept nowhere.
    seats: Vec<Option<BucketPosition>>,
}

impl Deref for CapacityIndex {
    type Target = [Host];

    fn deref(&self) -> &[Host] {
        &self.hosts
    }
}

impl CapacityIndex {
    /// Of these machines.
    pub fn new(hosts: Vec<Host>) -> CapacityIndex {
        let mut rooms = CapacityIndex::default();
        for h in hosts {
            rooms.push(h);
        }
        rooms
    }

    /// One more machine.
    pub fn push(&mut self, host: Host) {
        let i = self.hosts.len();
        self.seats.push(None);
        self.hosts.push(host);
        self.seat(i);
    }

    fn pool(&mut self, h: usize) -> usize {
        let h = &self.hosts[h];
        let same = |p: &HostBucket| {
            (p.kind, p.zone, p.spot) == (h.kind, h.zone, h.spot) && p.total == h.total
        };
        match self.pools.iter().position(same) {
            Some(i) => i,
            None => {
                self.pools.push(HostBucket {
                    kind: h.kind,
                    zone: h.zone,
                    spot: h.spot,
                    total: h.total,
                    levels: BTreeMap::new(),
                });
                self.pools.len() - 1
            }
        }
    }

    /// Keeps a machine where it belongs now.
    fn seat(&mut self, h: usize) {
        let host = &self.hosts[h];
        let now = level(&host.total, &host.free, SLACK);
        if let Some(s) = self.seats[h] {
            if host.open && s.level == now {
                return;
            }
            self.unseat(h, s);
        }
        if !self.hosts[h].open {
            return;
        }
        let pool = self.pool(h);
        let list = self.pools[pool].levels.entry(now).or_default();
        self.seats[h] = Some(BucketPosition {
            pool: pool as u32,
            level: now,
            at: list.len() as u32,
        });
        list.push(h as u32);
    }

    fn unseat(&mut self, h: usize, s: BucketPosition) {
        self.seats[h] = None;
        let levels = &mut self.pools[s.pool as usize].levels;
        let Some(list) = levels.get_mut(&s.level) else {
            return;
        };
        list.swap_remove(s.at as usize);
        if let Some(moved) = list.get(s.at as usize)
            && let Some(seat) = &mut self.seats[*moved as usize]
        {
            seat.at = s.at;
        }
        if list.is_empty() {
            levels.remove(&s.level);
        }
    }

    /// A task takes room.
    pub fn take(&mut self, h: usize, need: &Resources) {
        self.hosts[h].take(need);
        self.seat(h);
    }

    /// The machine will have the image.
    pub fn gets(&mut self, h: usize, image: u32) {
        self.hosts[h].gets(image);
    }

    /// Room is made on the machine for this job.
    pub fn reserve(&mut self, h: usize, job: &str) {
        self.hosts[h].reserved = Some(job.into());
    }

    /// Pools of machines that may be used.
    fn allowed(&self, allow: &PlacementConstraints) -> impl Iterator<Item = &HostBucket> {
        let pools = self.pools.iter();
        pools.filter(|p| allow.takes(p.kind, p.zone, p.spot))
    }

    /// Machines with at least this much room, as far as levels tell.
    fn roomy(&self, need: &Resources, allow: &PlacementConstraints) -> impl Iterator<Item = usize> {
        self.allowed(allow).flat_map(|p| p.roomy(need))
    }

    /// Whether any machine would take a task that needs so much; none is kept for its job.
    pub fn any(&self, need: &Resources, allow: &PlacementConstraints) -> bool {
        self.roomy(need, allow)
            .any(|h| may_take(&self.hosts[h], "", need, allow))
    }

    /// Machines that would take so many tasks between them, or all there are; those with most room first,
    /// which are the ones rented last. Nobody's machines are kept for anybody here.
    pub fn enough(&self, need: &Resources, allow: &PlacementConstraints, n: u32) -> Vec<usize> {
        let mut left = n;
        let mut found = Vec::new();
        for h in self.allowed(allow).flat_map(|p| p.roomy(need).rev()) {
            if left == 0 {
                break;
            }
            if may_take(&self.hosts[h], "", need, allow) {
                left = left.saturating_sub(slots(&self.hosts[h].free, need));
                found.push(h);
            }
        }
        found
    }

    /// All machines that would take a task of this job, in no order.
    pub fn candidates(
        &self,
        id: &str,
        need: &Resources,
        allow: &PlacementConstraints,
    ) -> Vec<usize> {
        self.roomy(need, allow)
            .filter(|h| may_take(&self.hosts[*h], id, need, allow))
            .collect()
    }
}

/// What has found no room: whatever needs as much or more, and is as many or more, finds none either,
/// as long as room only gets less.
#[derive(Debug, Default, Clone)]
pub struct InfeasibleRequests(Vec<(Resources, u32)>);

/// More than these are not worth comparing with.
const MOST_VAIN: usize = 24;

impl InfeasibleRequests {
    /// Whether `n` tasks that need so much each would look for room in vain.
    pub fn covers(&self, need: &Resources, n: u32) -> bool {
        self.0
            .iter()
            .any(|(v, m)| *m <= n && (0..3).all(|r| v[r] <= need[r]))
    }

    /// They have looked in vain.
    pub fn add(&mut self, need: &Resources, n: u32) {
        self.0
            .retain(|(v, m)| !(n <= *m && (0..3).all(|r| need[r] <= v[r])));
        if self.0.len() < MOST_VAIN {
            self.0.push((*need, n));
        }
    }

    /// There is more room than before.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

#[cfg(test)]
mod tests;
