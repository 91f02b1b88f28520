//! Requests to the cloud and its responses: machine types, listed instances, renting and deletion.
//!
//! The wire names are in the serde renames; the table in [`super`] lists them.

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory of a machine, in gigabytes.
    pub memory_gb: f64,
    /// Size of the image cache, in gigabytes.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in gigabytes per second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(default)]
    pub price: f64,
    /// Current spot price per hour.
    #[serde(rename = "low_price", default)]
    pub spot_price: f64,
    /// Nominal boot time, in seconds.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones that offer the type.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Response with all machine types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// Machine types in the order in which the cloud returns them.
    #[serde(rename = "presses")]
    pub types: Vec<MachineType>,
}

/// Request to rent machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Idempotency key of the request: a retry repeats it, and no other request uses it.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Name of the machine type.
    #[serde(rename = "press")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machines are spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines, at most 50.
    pub count: u32,
}

/// Names of machines: the response to a rental request and the body of a deletion request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "kernels")]
    pub machines: Vec<String>,
}

/// State of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Rented, but not up yet.
    Booting,
    /// Up. A machine that died remains in this state for a while.
    Running,
    /// Stopped without a deletion request; listed until it is deleted.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    pub id: String,
    /// Host and port at which the agent accepts direct commands; absent while unknown.
    #[serde(rename = "endpoint", default)]
    pub address: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "press")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State of the machine.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Seconds from the rental request to the point in time that the list describes.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines sorted by name, which is also the order of creation.
    #[serde(rename = "kernels")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "more")]
    pub has_more: bool,
}
