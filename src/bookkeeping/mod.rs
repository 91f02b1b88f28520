//! The store's pace, a copy of its records, and what workers last said.

pub mod bundles;
pub mod hearing;
pub mod images;
pub mod jobs;
pub mod mirror;
pub mod store;
pub mod token_bucket;
pub mod workers;
