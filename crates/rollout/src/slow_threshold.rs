//! Latency threshold above which a response counts as slow.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Buckets per doubling of the latency; each spans 9%.
const BUCKETS_PER_OCTAVE: f64 = 8.0;

/// Number of buckets, which cover 0.1 ms to 105 s.
const BUCKET_COUNT: usize = 160;

/// Lower bound of the first bucket.
const FIRST_BUCKET_US: f64 = 100.0;

const SLOT_DURATION: Duration = Duration::from_secs(10);

/// Slots of the sliding window, which covers one minute.
const SLOT_COUNT: usize = 6;

/// Smallest number of responses from which the 95th percentile is estimated.
const MIN_RESPONSES: u64 = 20;

/// Factor on the 95th percentile, so that a version that is a few percent slower is not considered
/// faulty.
const TOLERANCE_FACTOR: f64 = 1.1;

/// Factor on the threshold while the new version has all traffic and no responses are added to the
/// threshold. The latency of a whole service varies by about this much within a minute of normal
/// operation.
const STALE_TOLERANCE_FACTOR: f64 = 1.5;

/// Divisor of the counts from before a period without responses of the old version, so that a
/// control sample of a few seconds outweighs them.
const DECAY_DIVISOR: u32 = 8;

/// Estimates the old version's 95th latency percentile over the last minute.
#[derive(Debug)]
pub(crate) struct SlowThreshold {
    /// Latency histograms of the window's slots, newest last.
    slots: VecDeque<Box<[u32; BUCKET_COUNT]>>,
    slot_start: Instant,
    threshold: Option<Duration>,
    next_update: Instant,
}

impl SlowThreshold {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            slots: VecDeque::from([Box::new([0; BUCKET_COUNT])]),
            slot_start: now,
            threshold: None,
            next_update: now,
        }
    }

    /// Whether a response is slow; `None` while the threshold is unknown.
    ///
    /// The threshold depends only on earlier responses, so both versions are compared with the same
    /// value.
    pub(crate) fn is_slow(
        &mut self,
        latency: Duration,
        is_threshold_stale: bool,
        now: Instant,
    ) -> Option<bool> {
        self.advance_window(now);
        let factor = if is_threshold_stale { STALE_TOLERANCE_FACTOR } else { 1.0 };
        self.threshold.map(|it| latency > it.mul_f64(factor))
    }

    /// Adds a successful response of the old version.
    pub(crate) fn record(&mut self, latency: Duration) {
        if let Some(slot) = self.slots.back_mut() {
            slot[bucket_index(latency)] += 1;
        }
    }

    /// Reduces the weight of responses from before a period without responses of the old version.
    pub(crate) fn decay(&mut self) {
        for count in self.slots.iter_mut().flat_map(|it| it.iter_mut()) {
            *count /= DECAY_DIVISOR;
        }
    }

    /// Advances the window and updates the threshold at most once per second.
    fn advance_window(&mut self, now: Instant) {
        if now.saturating_duration_since(self.slot_start) >= SLOT_DURATION {
            self.slot_start = now;
            self.slots.push_back(Box::new([0; BUCKET_COUNT]));
            if self.slots.len() > SLOT_COUNT {
                self.drop_oldest_slot();
            }
        }
        if now < self.next_update {
            return;
        }
        if let Some(threshold) = self.compute_threshold() {
            self.threshold = Some(threshold);
            self.next_update = now + Duration::from_secs(1);
        }
    }

    /// Drops the oldest slot, or merges it into the next one if the remaining slots hold too few
    /// responses.
    fn drop_oldest_slot(&mut self) {
        let Some(oldest) = self.slots.pop_front() else { return };
        if self.response_count() >= MIN_RESPONSES {
            return;
        }
        if let Some(next) = self.slots.front_mut() {
            for (to, from) in next.iter_mut().zip(oldest.iter()) {
                *to += from;
            }
        }
    }

    fn response_count(&self) -> u64 {
        self.slots.iter().flat_map(|it| it.iter()).map(|it| u64::from(*it)).sum()
    }

    /// Returns the 95th percentile times its tolerance factor, `None` with too few responses.
    fn compute_threshold(&self) -> Option<Duration> {
        let count = self.response_count();
        if count < MIN_RESPONSES {
            return None;
        }
        let rank = count - count / 20;
        let mut cumulative_count = 0;
        for index in 0..BUCKET_COUNT {
            cumulative_count += self.slots.iter().map(|it| u64::from(it[index])).sum::<u64>();
            if cumulative_count >= rank {
                let upper_us = FIRST_BUCKET_US * 2f64.powf((index + 1) as f64 / BUCKETS_PER_OCTAVE);
                return Some(Duration::from_micros((upper_us * TOLERANCE_FACTOR) as u64));
            }
        }
        None
    }
}

fn bucket_index(latency: Duration) -> usize {
    let octaves = (latency.as_micros() as f64 / FIRST_BUCKET_US).max(1.0).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKET_COUNT - 1)
}
