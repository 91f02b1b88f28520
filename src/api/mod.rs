//! Client requests: submission, status, cancellation, read barriers and load shedding.

pub mod acceptance;
mod cancellation;
pub mod client_api;
mod forwarding;
pub mod read_barrier;
mod refusal_rate;
pub mod request_scheduler;
pub mod submission;
