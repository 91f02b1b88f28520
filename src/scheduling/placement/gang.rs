//! Placement of gangs: all tasks or none (algorithm 1).

use crate::protocol::JobSpec;
use crate::scheduling::placement::host_picker::HostScore;
use crate::scheduling::placement::{Host, TaskRequirements, accepts_task, slots};

/// Places either all `members` of a gang or none. Tries one machine first, then one zone, then all zones
/// unless the job requires one zone. Returns the machine of each member.
///
/// `candidates` has to include all machines that accept a task of the job `id`.
pub fn place_gang(
    hosts: &[Host],
    candidates: impl Iterator<Item = usize>,
    id: &str,
    spec: &JobSpec,
    requirements: &TaskRequirements,
    members: u32,
    demand_ratio: f64,
) -> Option<Vec<usize>> {
    let mut ranked: Vec<HostScore> = candidates
        .filter(|index| {
            accepts_task(
                &hosts[*index],
                id,
                &requirements.need,
                &requirements.constraints,
            ) && !requirements.avoided_hosts.contains(index)
        })
        .map(|index| HostScore::of(index, &hosts[index], requirements, demand_ratio))
        .collect();
    ranked.sort_by(|left, right| right.cmp(left));
    let search = GangSearch {
        hosts,
        requirements,
        ranked,
        members,
        max_per_zone: if spec.spread {
            members.div_ceil(2)
        } else {
            members
        },
    };
    let one_zone_suffices = search.max_per_zone == members;
    if one_zone_suffices && let Some(host) = search.host_for_all_members() {
        return Some(vec![host; members as usize]);
    }
    let zones = search.zones();
    if one_zone_suffices && let Some(found) = search.place_in_one_zone(&zones) {
        return Some(found);
    }
    if spec.one_zone {
        return None;
    }
    search.fill(&zones)
}

/// Search for the machines of one gang.
struct GangSearch<'a> {
    hosts: &'a [Host],
    requirements: &'a TaskRequirements,
    /// Machines that accept a task, best first.
    ranked: Vec<HostScore>,
    members: u32,
    max_per_zone: u32,
}

/// Number of members placed in a zone.
struct ZoneCount {
    zone: u32,
    members: u32,
}

impl GangSearch<'_> {
    /// Number of members that fit on the machine with this score.
    fn slots_on(&self, score: &HostScore) -> u32 {
        slots(&self.hosts[score.host].free, &self.requirements.need)
    }

    /// The best machine with room for all members.
    fn host_for_all_members(&self) -> Option<usize> {
        let mut ranked = self.ranked.iter();
        let score = ranked.find(|score| self.slots_on(score) >= self.members)?;
        Some(score.host)
    }

    /// Zones of the ranked machines, ordered by the first machine in each zone. They are not ordered by zone
    /// id, because ids in the `NameTable` differ between leaders.
    fn zones(&self) -> Vec<u32> {
        let zone_of = |score: &HostScore| self.hosts[score.host].zone;
        let mut zone_ids: Vec<u32> = self.ranked.iter().map(zone_of).collect();
        zone_ids.sort_unstable();
        zone_ids.dedup();
        let mut ordered: Vec<u32> = Vec::with_capacity(zone_ids.len());
        for host in self.hosts {
            if ordered.len() == zone_ids.len() {
                break;
            }
            if zone_ids.contains(&host.zone) && !ordered.contains(&host.zone) {
                ordered.push(host.zone);
            }
        }
        ordered
    }

    /// Places all members in one zone. A gang starts when the slowest image fetch has ended, so this chooses
    /// the zone in which the fewest members have to fetch the image; among equals the first.
    fn place_in_one_zone(&self, zones: &[u32]) -> Option<Vec<usize>> {
        let fetch_count = |found: &Vec<usize>| {
            let image = self.requirements.image;
            let fetches_image = |host: &&usize| !self.hosts[**host].has_image(image);
            found.iter().filter(fetches_image).count()
        };
        zones
            .iter()
            .filter_map(|zone| self.fill(std::slice::from_ref(zone)))
            .min_by_key(fetch_count)
    }

    /// Places all members in these zones, best machines first.
    fn fill(&self, zones: &[u32]) -> Option<Vec<usize>> {
        let mut chosen: Vec<usize> = Vec::new();
        let mut counts: Vec<ZoneCount> = zones
            .iter()
            .map(|zone| ZoneCount {
                zone: *zone,
                members: 0,
            })
            .collect();
        for score in &self.ranked {
            let zone = self.hosts[score.host].zone;
            let Some(count) = counts.iter_mut().find(|count| count.zone == zone) else {
                continue;
            };
            let added = self
                .slots_on(score)
                .min(self.members - chosen.len() as u32)
                .min(self.max_per_zone - count.members);
            count.members += added;
            chosen.extend(std::iter::repeat_n(score.host, added as usize));
            if chosen.len() as u32 == self.members {
                return Some(chosen);
            }
        }
        None
    }
}
