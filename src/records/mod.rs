//! Batched compare-and-swap writes of job records.

pub mod pending_write;
pub mod placement_batching;
pub mod record_update;
pub mod record_writer;
mod write_settlement;
