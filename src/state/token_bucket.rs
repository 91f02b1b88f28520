//! A token bucket.

use crate::protocol::Micros;

/// Hands out permits at a steady rate with a bounded burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Micros,
}

impl TokenBucket {
    /// `rate` permits a second, at most `burst` at once.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate,
            burst: burst.max(1.0),
            level: burst.max(1.0),
            at: Micros::ZERO,
        }
    }

    /// The same with no more than this saved up at the beginning.
    pub fn saved(mut self, level: f64) -> TokenBucket {
        self.level = self.level.min(level);
        self
    }

    /// Changes the rate; saved-up permits beyond the new burst are lost.
    pub fn set(&mut self, now: Micros, rate: f64, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.level = self.level.min(self.burst);
    }

    fn fill(&mut self, now: Micros) {
        // A process begins with what it has saved up, whenever that is.
        let dt = match self.at {
            Micros::ZERO => 0.0,
            at => now.since(at).as_secs(),
        };
        self.at = self.at.max(now);
        self.level = (self.level + dt * self.rate).min(self.burst);
    }

    /// Whether `n` permits are there (or all that the burst can ever hold).
    pub fn ready(&mut self, now: Micros, n: f64) -> bool {
        self.fill(now);
        self.level >= n.min(self.burst) - 1e-9
    }

    /// The same for what cannot wait: it may go ahead by as much as the burst, and whatever comes
    /// after it makes up for that.
    pub fn ready_ahead(&mut self, now: Micros, n: f64) -> bool {
        self.fill(now);
        self.level + self.burst >= n.min(self.burst) - 1e-9
    }

    /// Permits a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Permits that are there.
    pub fn level(&mut self, now: Micros) -> f64 {
        self.fill(now);
        self.level
    }

    /// Takes `n` permits; the level may go below zero for a request above the burst.
    pub fn take(&mut self, n: f64) {
        self.level -= n;
    }

    /// When `n` permits will be there; `ahead`: as `ready_ahead` sees it.
    pub fn when(&self, now: Micros, n: f64, ahead: bool) -> Micros {
        let lack = n.min(self.burst) - self.level - if ahead { self.burst } else { 0.0 };
        if lack <= 0.0 {
            now
        } else {
            now + Micros::secs(lack / self.rate) + Micros::millis(1)
        }
    }
}
