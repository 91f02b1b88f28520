//! Inventory of rented machines and the autoscaler.

pub mod autoscaler;
pub mod inventory;
