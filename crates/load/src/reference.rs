//! Token buckets: the reference for the traffic of all hosts together, and the rate limiters of the
//! baseline.

/// Tolerance for rounding errors of the floating-point token count.
const TOKEN_TOLERANCE: f64 = 1e-6;

#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    /// Capacity in tokens.
    burst: f64,
    /// Available tokens at `updated_us`.
    tokens: f64,
    updated_us: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(rate_per_s: f64, burst: f64) -> Self {
        Self { rate_per_s, burst, tokens: burst, updated_us: 0 }
    }

    /// Takes one token if one is available, and returns whether it did.
    pub(crate) fn try_take(&mut self, at_us: u64) -> bool {
        self.refill(at_us);
        let has_token = self.tokens >= 1.0 - TOKEN_TOLERANCE;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    fn refill(&mut self, at_us: u64) {
        let elapsed_s = at_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.tokens = (self.tokens + self.rate_per_s * elapsed_s).min(self.burst);
        self.updated_us = self.updated_us.max(at_us);
    }
}

/// Counts the requests in excess of `rate * T + burst` in any window of length `T`. Sorts the
/// times.
pub(crate) fn count_excess(times_us: &mut [u64], rate_per_s: f64, burst: f64) -> u64 {
    times_us.sort_unstable();
    let mut bucket = TokenBucket::new(rate_per_s, burst);
    times_us.iter().filter(|it| !bucket.try_take(**it)).count() as u64
}
