//! The machines that the autoscaler plans with: what the cloud offers, what boots and
//! what is in use.

use crate::clock::Seconds;
use crate::store::records::MachineRecord;
use crate::wire::{Catalog, MachineId, MachineType, RentalRequest, Resources};
use std::sync::Arc;

/// What the cloud rents out: machines of a type in a zone, as spot or on-demand ones.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineOffer {
    /// The name of the machine type in the catalog.
    pub machine_type: Arc<str>,
    /// The zone of the machines.
    pub zone: Arc<str>,
    /// Whether they are spot machines, which the cloud may take back, or on-demand ones.
    pub spot: bool,
}

impl From<&RentalRequest> for MachineOffer {
    fn from(request: &RentalRequest) -> Self {
        MachineOffer {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        }
    }
}

impl From<&MachineRecord> for MachineOffer {
    fn from(record: &MachineRecord) -> Self {
        MachineOffer {
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
        }
    }
}

impl MachineOffer {
    /// Every offer of a catalog, spot before on-demand for each type and zone.
    pub(super) fn all_in(catalog: &Catalog) -> impl Iterator<Item = MachineOffer> + '_ {
        catalog.types.iter().flat_map(|machine_type| {
            machine_type.zones.iter().flat_map(move |zone| {
                [true, false].map(|spot| MachineOffer {
                    machine_type: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot,
                })
            })
        })
    }

    /// The price of one machine, per hour.
    pub(super) fn price(&self, machine_type: &MachineType) -> f64 {
        if self.spot {
            machine_type.spot_price
        } else {
            machine_type.price
        }
    }
}

/// A machine that was rented and has not sent a heartbeat yet.
#[derive(Debug, Clone)]
pub struct BootingMachine {
    /// Its name; empty as long as the cloud has not answered the rental.
    pub id: MachineId,
    /// What it was rented as.
    pub offer: MachineOffer,
    /// Seconds since it was rented.
    pub age_s: Seconds,
}

/// A machine in use, as far as giving it up is concerned.
#[derive(Debug, Clone)]
pub struct MachineUsage {
    /// Its name.
    pub id: MachineId,
    /// What it was rented as.
    pub offer: MachineOffer,
    /// What no task takes.
    pub free: Resources,
    /// For how many seconds it has run nothing.
    pub idle_s: Seconds,
    /// Seconds since it was rented.
    pub age_s: Seconds,
    /// The number of tasks assigned to it.
    pub tasks: u32,
    /// Whether new tasks may be assigned to it.
    pub schedulable: bool,
    /// CPUs of its tasks that do not end by themselves, such as replicas of services.
    pub pinned_cpus: f64,
}

impl MachineUsage {
    /// The CPUs of its type; zero if the catalog lacks the type.
    pub(super) fn cpus(&self, catalog: &Catalog) -> f64 {
        catalog
            .get(&self.offer.machine_type)
            .map_or(0.0, |machine_type| machine_type.cpus)
    }

    /// What a CPU of it costs per hour; zero if the catalog lacks its type.
    pub(super) fn price_per_cpu(&self, catalog: &Catalog) -> f64 {
        catalog
            .get(&self.offer.machine_type)
            .map_or(0.0, |machine_type| {
                self.offer.price(machine_type) / machine_type.cpus.max(1.0)
            })
    }
}
