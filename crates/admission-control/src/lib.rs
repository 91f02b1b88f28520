//! Admission control: which requests are served when there are more than the service can accept.
//!
//! The crate has no clock, no I/O and no source of randomness of its own.
//!
//! - [`fair`]: weighted max-min fair shares of a scarce amount.
//! - [`lanes`]: a bounded fair queue, in which no team or class starves another.
//! - [`refusal`]: retry delays for refused clients, and the time of each client's first attempt.
//! - [`parts`]: shares of a budget for several concurrent holders; the shares in use never exceed the total.

#![deny(missing_docs)]

pub mod fair;
pub mod lanes;
pub mod parts;
pub mod refusal;

/// A time on the caller's clock, or a duration, in microseconds.
pub type Micros = u64;
