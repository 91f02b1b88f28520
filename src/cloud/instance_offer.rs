//! Instance offers of the cloud, and the choice of the cheapest one for a job.

use crate::protocol::cloud_api::MachineType;
use crate::protocol::{JobSpec, Micros};
use crate::scheduling::placement::{self, Resources, slots};
use std::collections::BTreeMap;

/// Price factor of spot instances for jobs that save no checkpoints. Above 1, so that such jobs take spot instances
/// only where nothing else is offered.
const SPOT_PRICE_FACTOR_WITHOUT_CHECKPOINTS: f64 = 1.01;

/// An offer of the cloud: a machine type in a zone, either as a spot instance or not.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceOffer {
    /// Machine type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// An offer that was chosen for a job.
#[derive(Clone, Copy)]
pub(super) struct ChosenOffer<'a> {
    pub machine_type: &'a MachineType,
    pub zone: &'a str,
    pub spot: bool,
}

impl ChosenOffer<'_> {
    pub fn instance_offer(&self) -> InstanceOffer {
        InstanceOffer {
            kind: self.machine_type.name.clone(),
            zone: self.zone.to_string(),
            spot: self.spot,
        }
    }
}

/// Sort key of offers: cheaper ones first, then those in zones with fewer machines.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct OfferRank {
    price_per_task: f64,
    machines_in_zone: usize,
}

/// Inputs to the choice of an offer besides the job.
#[derive(Clone, Copy)]
pub(super) struct OfferSearch<'s, 'a> {
    /// Machine types on offer.
    pub types: &'a [MachineType],
    /// Offers for which the cloud had no capacity, and until when they are not requested again.
    pub refused: &'s BTreeMap<InstanceOffer, Micros>,
    /// Number of machines by zone.
    pub machines_per_zone: &'s BTreeMap<&'a str, usize>,
    /// Current time.
    pub now: Micros,
}

impl<'a> OfferSearch<'_, 'a> {
    /// The cheapest offer with capacity for a task of the job, in the zone with the fewest machines. `zone_allowed`:
    /// whether the job's next task may be placed in a zone.
    pub fn cheapest(
        &self,
        spec: &JobSpec,
        zone_allowed: impl Fn(&str) -> bool,
    ) -> Option<ChosenOffer<'a>> {
        let mut best: Option<(OfferRank, ChosenOffer<'a>)> = None;
        for machine_type in self.types {
            let tasks_per_machine =
                slots(&capacity(machine_type), &placement::task_resources(spec));
            if tasks_per_machine == 0 {
                continue;
            }
            for zone in machine_type.zones.iter().filter(|zone| zone_allowed(zone)) {
                for spot in [false, true] {
                    let offer = ChosenOffer {
                        machine_type,
                        zone,
                        spot,
                    };
                    if !allows(spec, &offer) || self.is_refused(&offer) {
                        continue;
                    }
                    let rank = self.rank(spec, &offer, tasks_per_machine);
                    if best.as_ref().is_none_or(|(best_rank, _)| rank < *best_rank) {
                        best = Some((rank, offer));
                    }
                }
            }
        }
        best.map(|(_, offer)| offer)
    }

    fn is_refused(&self, offer: &ChosenOffer<'_>) -> bool {
        let refused_until = self.refused.get(&offer.instance_offer());
        refused_until.is_some_and(|until| *until > self.now)
    }

    fn rank(&self, spec: &JobSpec, offer: &ChosenOffer<'_>, tasks_per_machine: u32) -> OfferRank {
        let machine_type = offer.machine_type;
        let price = if !offer.spot {
            machine_type.price
        } else if spec.saves_checkpoints() {
            // A job with checkpoints loses little when the cloud reclaims the machine.
            machine_type.spot_price
        } else {
            machine_type.price * SPOT_PRICE_FACTOR_WITHOUT_CHECKPOINTS
        };
        // A single-zone job is not spread over zones: it stays in the first zone that has the offer.
        let machines_in_zone = if spec.one_zone && spec.tasks > 1 {
            0
        } else {
            let count = self.machines_per_zone.get(offer.zone);
            count.copied().unwrap_or(0)
        };
        OfferRank {
            price_per_task: price / f64::from(tasks_per_machine),
            machines_in_zone,
        }
    }
}

/// Whether the job may use the machine type, zone and purchase option of an offer.
fn allows(spec: &JobSpec, offer: &ChosenOffer<'_>) -> bool {
    let spot_allowed = spec.spot || !offer.spot;
    let type_allowed = spec
        .types
        .as_ref()
        .is_none_or(|types| types.contains(&offer.machine_type.name));
    let zone_allowed = spec.zone.as_ref().is_none_or(|zone| zone == offer.zone);
    spot_allowed && type_allowed && zone_allowed
}

/// Resources of an empty machine of a type.
pub(super) fn capacity(machine_type: &MachineType) -> Resources {
    [machine_type.cpus, machine_type.gpus, machine_type.memory_gb]
}
