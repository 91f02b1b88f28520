//! Requests to the cloud and its answers: machine types, instances, scale out and in.

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory.
    pub memory_gb: f64,
    /// Image cache.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Image fetch rate.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(default)]
    pub price: f64,
    /// Spot price an hour.
    #[serde(rename = "low_price", default)]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Answer of the cloud: machine types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "presses")]
    pub types: Vec<MachineType>,
}

/// Rental request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request, never used twice.
    #[serde(rename = "hire")]
    pub request: String,
    /// Type.
    #[serde(rename = "press")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many, at most 50.
    pub count: u32,
}

/// Machine names: a rental's answer, and a deletion's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names.
    #[serde(rename = "kernels")]
    pub machines: Vec<String>,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Not up yet.
    Booting,
    /// Up.
    Running,
    /// Stopped by itself.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    pub id: String,
    /// Where direct commands go.
    #[serde(rename = "endpoint", default)]
    pub address: Option<String>,
    /// Type.
    #[serde(rename = "press")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Age since the rental request.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in the order of their names.
    #[serde(rename = "kernels")]
    pub machines: Vec<ListedMachine>,
    /// There is more.
    pub more: bool,
}
