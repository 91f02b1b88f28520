//! The rate at which submissions are refused. It is an input to the distribution of the write budget among controllers.

use crate::protocol::Micros;

/// Length of the window in which refusals are counted.
const WINDOW_US: u64 = 1_000_000;

/// Number of refusals in the current second and in the one before.
#[derive(Debug, Default)]
pub(super) struct RefusalRate {
    /// Index of the current second, counted from the start of the clock.
    current_second: u64,
    /// Refusals in the current second.
    current: u32,
    /// Refusals in the second before.
    previous: u32,
}

impl RefusalRate {
    /// Records a refusal at `now`.
    pub(super) fn record(&mut self, now: Micros) {
        let second = now.0 / WINDOW_US;
        if second == self.current_second {
            self.current += 1;
            return;
        }
        self.previous = if second == self.current_second + 1 {
            self.current
        } else {
            0
        };
        self.current_second = second;
        self.current = 1;
    }

    /// Returns the number of refusals in the last full second, or in the current one if that is higher.
    pub(super) fn last_second(&self, now: Micros) -> f64 {
        let second = now.0 / WINDOW_US;
        if second == self.current_second {
            return self.previous.max(self.current) as f64;
        }
        if second == self.current_second + 1 {
            return self.current as f64;
        }
        0.0
    }
}
