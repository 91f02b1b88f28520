//! Token bucket for rate limits.

use crate::protocol::Micros;

/// Absorbs rounding errors in comparisons of token counts.
const TOLERANCE: f64 = 1e-9;
/// Added to computed waits, so that the tokens are there when the wait ends.
const WAIT_MARGIN: Micros = Micros::millis(1);

/// Tokens that accrue at a steady rate up to a bounded burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Most tokens that can accrue; at least 1.
    burst: f64,
    /// Tokens available; negative after a request above the burst.
    tokens: f64,
    /// When tokens were last added; zero: never.
    refilled_at: Micros,
}

impl TokenBucket {
    /// A full bucket: `rate` tokens a second, at most `burst` at once.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        let burst = burst.max(1.0);
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled_at: Micros::ZERO,
        }
    }

    /// The same bucket with at most this many tokens available at the beginning.
    pub fn with_initial_tokens(mut self, tokens: f64) -> TokenBucket {
        self.tokens = self.tokens.min(tokens);
        self
    }

    /// Changes rate and burst; tokens above the new burst are lost.
    pub fn set_rate(&mut self, now: Micros, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: Micros) {
        // A process begins with its initial tokens, whatever the clock says then.
        let elapsed_s = match self.refilled_at {
            Micros::ZERO => 0.0,
            refilled_at => now.since(refilled_at).as_secs(),
        };
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.burst);
    }

    /// Whether `count` tokens are available, or a full burst if `count` exceeds it.
    pub fn ready(&mut self, now: Micros, count: f64) -> bool {
        self.refill(now);
        self.tokens >= count.min(self.burst) - TOLERANCE
    }

    /// The same for urgent requests: they may overdraw the bucket by one burst, and later requests make up for it.
    pub fn ready_with_overdraft(&mut self, now: Micros, count: f64) -> bool {
        self.refill(now);
        self.tokens + self.burst >= count.min(self.burst) - TOLERANCE
    }

    /// Tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Tokens available.
    pub fn available_tokens(&mut self, now: Micros) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes `count` tokens; the level may become negative.
    pub fn take(&mut self, count: f64) {
        self.tokens -= count;
    }

    /// When `count` tokens will be available; with `overdraft` as `ready_with_overdraft` counts.
    pub fn ready_at(&self, now: Micros, count: f64, overdraft: bool) -> Micros {
        let credit = if overdraft { self.burst } else { 0.0 };
        let deficit = count.min(self.burst) - self.tokens - credit;
        if deficit <= 0.0 {
            return now;
        }
        now + Micros::secs(deficit / self.rate) + WAIT_MARGIN
    }
}
