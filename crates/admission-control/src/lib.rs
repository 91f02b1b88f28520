//! Admission control: who is served when more is requested than can be taken.
//!
//! The crate is pure: it has no clock, no I/O and no randomness of its own.
//!
//! - [`fair`]: weighted max-min fair shares of a scarce amount.
//! - [`lanes`]: a bounded queue with fair scheduling, in which no team or class starves another.
//! - [`refusal`]: when refused clients should retry, and which of them tried first.
//! - [`parts`]: shares of a budget that several holders use at once and that never exceed the total.

#![deny(missing_docs)]

pub mod fair;
pub mod lanes;
pub mod parts;
pub mod refusal;

/// A point on a clock of the caller, or a duration, in whole microseconds.
pub type Micros = u64;
