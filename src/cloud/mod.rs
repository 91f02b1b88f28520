//! Machines of the cloud: the inventory of rented machines, calls to the cloud, and the autoscaler.

pub mod autoscaler;
pub mod cloud_calls;
pub mod demand;
pub mod instance_offer;
pub mod inventory;
mod provisioning;
mod scale_in;
mod scale_out;
