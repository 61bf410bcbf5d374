//! Token bucket of one daemon for the requests that it sends to one endpoint.

use std::time::{Duration, Instant};

/// Tokens, one for each request, that arrive at a constant rate up to a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Most tokens that accumulate.
    burst: f64,
    /// Tokens as of `filled_at`.
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// An empty bucket.
    pub(crate) fn empty(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate,
            burst,
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Changes the rate and the burst. The tokens accumulated so far were earned at the former
    /// rate.
    pub(crate) fn set_rate(&mut self, rate: f64, burst: f64, now: Instant) {
        self.tokens = self.tokens(now);
        self.filled_at = self.filled_at.max(now);
        self.rate = rate;
        self.burst = burst;
    }

    /// Time until there is a token; zero if there is one.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let missing = 1.0 - self.tokens(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }

    /// Takes a token.
    pub(crate) fn take(&mut self, now: Instant) {
        self.tokens = (self.tokens(now) - 1.0).max(0.0);
        self.filled_at = now;
    }

    /// Tokens that have accumulated.
    pub(crate) fn tokens(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.filled_at).as_secs_f64();
        (self.tokens + since * self.rate).min(self.burst)
    }
}
