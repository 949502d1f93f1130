//! Reference token buckets, against which real traffic is judged.

/// Rounding that a bucket of floating-point numbers may show.
const TOLERANCE: f64 = 1e-6;

/// One token bucket over all hosts together.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    /// Tokens per second.
    rate_per_s: f64,
    /// Most tokens.
    burst: f64,
    /// Tokens at `at_us`.
    level: f64,
    /// Time of the last change.
    at_us: u64,
}

impl Bucket {
    /// A full bucket.
    pub(crate) fn new(rate_per_s: f64, burst: f64) -> Self {
        Self { rate_per_s, burst, level: burst, at_us: 0 }
    }

    /// Takes one token if there is one.
    pub(crate) fn take(&mut self, at_us: u64) -> bool {
        self.refill(at_us);
        let has_token = self.level >= 1.0 - TOLERANCE;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }

    /// Adds what came since the last change.
    fn refill(&mut self, at_us: u64) {
        let passed_s = at_us.saturating_sub(self.at_us) as f64 / 1e6;
        self.level = (self.level + self.rate_per_s * passed_s).min(self.burst);
        self.at_us = self.at_us.max(at_us);
    }
}

/// Requests beyond `rate * T + burst` in any window, among requests at the given times.
pub(crate) fn excess(times_us: &mut [u64], rate_per_s: f64, burst: f64) -> u64 {
    times_us.sort_unstable();
    let mut bucket = Bucket::new(rate_per_s, burst);
    times_us.iter().filter(|it| !bucket.take(**it)).count() as u64
}
