//! Requests of clients: submission, status, cancellation, read barriers and load shedding.

pub mod acceptance;
pub mod client_api;
pub mod read_barrier;
pub mod request_scheduler;
