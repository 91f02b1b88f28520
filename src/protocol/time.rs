//! Times and durations in whole microseconds.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};

const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLISECOND: u64 = 1_000;

/// A point on a clock, or a duration, in whole microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// The zero duration, and the start of a clock.
    pub const ZERO: Micros = Micros(0);
    /// Later than any real deadline, and small enough to add durations without overflow.
    pub const FAR_FUTURE: Micros = Micros(u64::MAX / 4);

    /// Converts from fractional seconds; negative values and NaN become zero.
    pub fn secs(seconds: f64) -> Micros {
        Micros((seconds.max(0.0) * MICROS_PER_SECOND) as u64)
    }

    /// Converts from whole milliseconds.
    pub const fn millis(milliseconds: u64) -> Micros {
        Micros(milliseconds * MICROS_PER_MILLISECOND)
    }

    /// Converts to seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// Multiplies a duration by a factor and rounds down.
    pub fn scale(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;

    fn sub(self, other: Micros) -> Micros {
        self.since(other)
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.3}s", self.as_secs())
    }
}

/// A reading of the monotonic clock and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Monotonic clock, counted from the start of the process.
    pub now: Micros,
    /// Wall clock, counted from the Unix epoch.
    pub wall: Micros,
}
