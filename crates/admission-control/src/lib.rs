//! Who gets in when more is asked than can be taken.
//!
//! Pure: no clock, no I/O, no randomness of its own. Times are whole microseconds on the caller's steady
//! clock.
//!
//! - [`fair`]: how much of something scarce each of several gets (max-min, weighted).
//! - [`lanes`]: a bounded queue in which no lane starves another.
//! - [`refusal`]: when those who are refused had better come back, and who has waited longest.
//! - [`parts`]: parts of a whole that several hold at once and that never add up to more.

pub mod fair;
pub mod lanes;
pub mod parts;
pub mod refusal;

/// A point on the caller's steady clock, or a span, in whole microseconds.
pub type Micros = u64;
