//! The limit above which a response counts as slow.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Buckets per doubling of the latency, each 9% wide.
const PER_OCTAVE: f64 = 8.0;

/// Number of buckets, which reach from 0.1 ms to 105 s.
const BUCKETS: usize = 160;

/// Lower end of the first bucket.
const FIRST_US: f64 = 100.0;

/// Length of one slot of the window.
const SLOT: Duration = Duration::from_secs(10);

/// Slots of the window, one minute together.
const SLOTS: usize = 6;

/// Fewest responses that give a usable 95th percentile.
const MIN_SAMPLES: u64 = 20;

/// Added to the 95th percentile, so that a version a few percent slower is not called faulty.
const TOLERANCE: f64 = 1.1;

/// Factor on the limit while the new version has all traffic and the limit is not learned any more;
/// the latency of a whole service moves by about so much in a minute of an ordinary day.
const STALE_TOLERANCE: f64 = 1.5;

/// Divides the counts from before a time without responses, so that a control sample of a few
/// seconds outweighs them.
const FADE: u32 = 8;

/// Learns the old version's 95th percentile over the last minute.
#[derive(Debug)]
pub(crate) struct SlowLimit {
    /// Histograms of the last slots, newest last.
    slots: VecDeque<Box<[u32; BUCKETS]>>,
    /// When the newest slot began.
    slot_start: Instant,
    /// The present limit.
    limit: Option<Duration>,
    /// When the limit is computed next.
    next: Instant,
}

impl SlowLimit {
    /// A limit that is not known yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            slots: VecDeque::from([Box::new([0; BUCKETS])]),
            slot_start: now,
            limit: None,
            next: now,
        }
    }

    /// Whether a response is slow; `None` while the limit is unknown.
    ///
    /// The limit depends only on earlier responses, so both versions are judged alike.
    pub(crate) fn is_slow(
        &mut self,
        latency: Duration,
        is_stale: bool,
        now: Instant,
    ) -> Option<bool> {
        self.advance(now);
        let factor = if is_stale { STALE_TOLERANCE } else { 1.0 };
        self.limit.map(|it| latency > it.mul_f64(factor))
    }

    /// Learns a successful response of the old version.
    pub(crate) fn learn(&mut self, latency: Duration) {
        if let Some(slot) = self.slots.back_mut() {
            slot[bucket(latency)] += 1;
        }
    }

    /// Lowers the weight of what was learned before a time without responses of the old version.
    pub(crate) fn fade(&mut self) {
        for count in self.slots.iter_mut().flat_map(|it| it.iter_mut()) {
            *count /= FADE;
        }
    }

    /// Moves the window and computes the limit once a second.
    fn advance(&mut self, now: Instant) {
        if now.saturating_duration_since(self.slot_start) >= SLOT {
            self.slot_start = now;
            self.slots.push_back(Box::new([0; BUCKETS]));
            if self.slots.len() > SLOTS {
                self.drop_oldest();
            }
        }
        if now < self.next {
            return;
        }
        if let Some(limit) = self.percentile() {
            self.limit = Some(limit);
            self.next = now + Duration::from_secs(1);
        }
    }

    /// Drops the oldest slot, or joins it with the next while traffic is too thin to do without.
    fn drop_oldest(&mut self) {
        let Some(oldest) = self.slots.pop_front() else { return };
        if self.count() >= MIN_SAMPLES {
            return;
        }
        if let Some(next) = self.slots.front_mut() {
            for (to, from) in next.iter_mut().zip(oldest.iter()) {
                *to += from;
            }
        }
    }

    /// Responses in the window.
    fn count(&self) -> u64 {
        self.slots.iter().flat_map(|it| it.iter()).map(|it| u64::from(*it)).sum()
    }

    /// The 95th percentile with its tolerance.
    fn percentile(&self) -> Option<Duration> {
        let count = self.count();
        if count < MIN_SAMPLES {
            return None;
        }
        let wanted = count - count / 20;
        let mut seen = 0;
        for index in 0..BUCKETS {
            seen += self.slots.iter().map(|it| u64::from(it[index])).sum::<u64>();
            if seen >= wanted {
                let upper_us = FIRST_US * 2f64.powf((index + 1) as f64 / PER_OCTAVE);
                return Some(Duration::from_micros((upper_us * TOLERANCE) as u64));
            }
        }
        None
    }
}

/// The bucket of a latency.
fn bucket(latency: Duration) -> usize {
    let octaves = (latency.as_micros() as f64 / FIRST_US).max(1.0).log2();
    ((octaves * PER_OCTAVE) as usize).min(BUCKETS - 1)
}
