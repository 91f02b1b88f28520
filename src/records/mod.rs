//! Batched compare-and-swap writes of job records.

pub mod placement_batching;
pub mod record_writer;
