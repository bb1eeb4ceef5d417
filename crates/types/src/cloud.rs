//! The messages between controllers and the cloud: the catalog, rentals and lists of machines.

use crate::message_size::LIST_BYTES;
use crate::resources::Resources;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A machine's id.
pub type MachineId = Arc<str>;

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: Arc<str>,
    /// The number of processor cores.
    pub cpus: f64,
    /// The number of accelerators.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// The memory, in gigabytes.
    pub mem_gb: f64,
    /// The capacity of its image cache, in gigabytes.
    pub cache_gb: f64,
    /// The rate at which it fetches images, in gigabytes per second.
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// The price per hour on demand.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// The price per hour as a spot machine.
    pub spot_price: f64,
    /// The usual time from the rental to the first heartbeat, in seconds.
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    /// The zones that offer it.
    #[serde(rename = "groves")]
    pub zones: Vec<Arc<str>>,
}

impl MachineType {
    /// Returns the resources of a machine of this type.
    pub fn total(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            mem_gb: self.mem_gb,
            report_bytes: LIST_BYTES as f64,
        }
    }
}

/// The cloud's catalog of machine types.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Catalog {
    /// All machine types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

impl Catalog {
    /// Returns the machine type of this name, if the catalog has one.
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| &*t.name == name)
    }
}

/// A request to rent machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalRequest {
    /// The id of the request; repeating a request under the same id rents nothing more.
    #[serde(rename = "ask")]
    pub request: String,
    /// The name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: Arc<str>,
    /// The zone.
    #[serde(rename = "grove")]
    pub zone: Arc<str>,
    /// Whether to rent spot machines.
    #[serde(rename = "windfall")]
    pub spot: bool,
    /// The number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

/// The ids of the machines of a rental, or of machines to be deleted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineIds {
    /// The machines' ids.
    #[serde(rename = "perches")]
    pub machines: Vec<MachineId>,
}

/// A machine in the cloud's list of machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's id.
    pub id: MachineId,
    /// The address of its worker, once it has one.
    #[serde(rename = "address", default)]
    pub address: Option<String>,
    /// The name of its type.
    #[serde(rename = "breed")]
    pub machine_type: Arc<str>,
    /// Its zone.
    #[serde(rename = "grove")]
    pub zone: Arc<str>,
    /// Whether it is a spot machine.
    #[serde(rename = "windfall")]
    pub spot: bool,
    /// The state that the cloud reports.
    #[serde(rename = "mood")]
    pub state: String,
    /// The time since it was rented, in seconds.
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineListPage {
    /// The machines on this page.
    #[serde(rename = "perches")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow on a further page.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
