//! Token bucket for rate limits.

use crate::protocol::Micros;

/// Absorbs rounding errors in comparisons of token counts.
const TOLERANCE: f64 = 1e-9;
/// Added to computed waits, so that the tokens are available when the wait ends.
const WAIT_MARGIN: Micros = Micros::millis(1);

/// Tokens that accrue at a steady rate up to a bounded burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Capacity of the bucket; at least 1.
    burst: f64,
    /// Tokens available; negative after a request that exceeded them.
    tokens: f64,
    /// When tokens were last added; zero if never.
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` tokens per second and holds at most `burst`.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        let burst = burst.max(1.0);
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled_at: Micros::ZERO,
        }
    }

    /// Limits the tokens that are available at the beginning.
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
        // No tokens accrue before the first refill: the clock's absolute value at process start is arbitrary.
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

    /// Like `ready`, but for urgent requests, which may overdraw the bucket by one burst. Later requests wait longer to
    /// compensate.
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

    /// Takes `count` tokens; the number of tokens may become negative.
    pub fn take(&mut self, count: f64) {
        self.tokens -= count;
    }

    /// When `ready` will hold for `count` tokens, or `ready_with_overdraft` if `overdraft` is set.
    pub fn ready_at(&self, now: Micros, count: f64, overdraft: bool) -> Micros {
        let credit = if overdraft { self.burst } else { 0.0 };
        let deficit = count.min(self.burst) - self.tokens - credit;
        if deficit <= 0.0 {
            return now;
        }
        now + Micros::secs(deficit / self.rate) + WAIT_MARGIN
    }
}
