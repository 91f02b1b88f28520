//! Times as whole microseconds.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};

/// A point on a clock, or a span, in whole microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// Zero.
    pub const ZERO: Micros = Micros(0);
    /// Further away than any deadline.
    pub const FAR: Micros = Micros(u64::MAX / 4);

    /// From seconds as the wire gives them; negative and NaN become zero.
    pub fn secs(s: f64) -> Micros {
        Micros((s.max(0.0) * 1e6) as u64)
    }

    /// From whole milliseconds.
    pub const fn millis(ms: u64) -> Micros {
        Micros(ms * 1000)
    }

    /// As seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span since `earlier`, or zero.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// Stretched by a factor.
    pub fn times(self, f: f64) -> Micros {
        Micros((self.0 as f64 * f) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, o: Micros) -> Micros {
        Micros(self.0.saturating_add(o.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, o: Micros) -> Micros {
        self.since(o)
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", self.as_secs())
    }
}

/// The steady clock and the time of day.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Steady.
    pub now: Micros,
    /// Time of day since 1970.
    pub wall: Micros,
}
