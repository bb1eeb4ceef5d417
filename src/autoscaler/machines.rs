//! The machines that the autoscaler plans with: those that the cloud offers, those that
//! boot and those in use.

use crate::clock::Seconds;
use crate::store::records::MachineRecord;
use crate::wire::{Catalog, MachineId, MachineType, RentalRequest, Resources};
use std::sync::Arc;

/// Machines that the cloud rents out: of one type, in one zone, either spot or on-demand.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineOffer {
    /// The name of the machine type in the catalog.
    pub machine_type: Arc<str>,
    /// The zone of the machines.
    pub zone: Arc<str>,
    /// Whether they are spot machines, which the cloud may reclaim, or on-demand machines.
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
    /// All offers of a catalog; for each type and zone, spot before on-demand machines.
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
    /// The name of the machine; empty until the cloud has answered the rental.
    pub id: MachineId,
    /// The offer that it was rented from.
    pub offer: MachineOffer,
    /// Seconds since it was rented.
    pub age_s: Seconds,
}

/// The data of a machine in use that decides whether it can be given up.
#[derive(Debug, Clone)]
pub struct MachineUsage {
    /// The name of the machine.
    pub id: MachineId,
    /// The offer that it was rented from.
    pub offer: MachineOffer,
    /// The resources that no task uses.
    pub free: Resources,
    /// For how many seconds it has had no task.
    pub idle_s: Seconds,
    /// Seconds since it was rented.
    pub age_s: Seconds,
    /// The number of tasks assigned to it.
    pub tasks: u32,
    /// Whether new tasks may be assigned to it.
    pub schedulable: bool,
    /// The CPUs of its tasks that do not end by themselves, such as service replicas.
    pub pinned_cpus: f64,
}

impl MachineUsage {
    /// The CPUs of its machine type; zero if the type is not in the catalog.
    pub(super) fn cpus(&self, catalog: &Catalog) -> f64 {
        catalog
            .get(&self.offer.machine_type)
            .map_or(0.0, |machine_type| machine_type.cpus)
    }

    /// Its price per CPU and hour; zero if its type is not in the catalog.
    pub(super) fn price_per_cpu(&self, catalog: &Catalog) -> f64 {
        catalog
            .get(&self.offer.machine_type)
            .map_or(0.0, |machine_type| {
                self.offer.price(machine_type) / machine_type.cpus.max(1.0)
            })
    }
}
