//! Request counters of a running rollout that hosts exchange.

use bincode::{
    Decode, Encode,
    de::Decoder,
    enc::Encoder,
    error::{DecodeError, EncodeError},
};

use crate::rollout::RolloutKey;

/// Counters of a rollout from one process of a host; within an incarnation they only increase.
///
/// A receiver keeps the largest value of each counter, so it tolerates duplicate and reordered
/// messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// Name of the host that counted.
    pub host: String,
    /// Incarnation of the host's process, raised by each restart.
    pub incarnation: u64,
    /// Name of the service that is rolled out.
    pub service: String,
    /// Rollout that the counters belong to.
    pub rollout: RolloutKey,
    /// Counters by route and by share of the new version.
    pub routes: Vec<RouteEvidence>,
}

// Earlier versions of the system end a message before the start of the rollout.
impl Encode for Evidence {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        let RolloutKey { generation, started_unix_ms } = self.rollout;
        (&self.host, self.incarnation, &self.service, generation, &self.routes).encode(encoder)?;
        started_unix_ms.encode(encoder)
    }
}

impl<Context> Decode<Context> for Evidence {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        let (host, incarnation, service, generation, routes) = Decode::decode(decoder)?;
        let rollout = RolloutKey::decode_start(generation, decoder)?;
        Ok(Self { host, incarnation, service, rollout, routes })
    }
}

/// Counters of one route at one share of the new version.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RouteEvidence {
    /// Path prefix that identifies the route.
    pub route: String,
    /// Share of the new version, in percent, when the requests were sent.
    pub share_percent: u8,
    /// Requests sent to the old version.
    pub old: Tally,
    /// Requests sent to the new version.
    pub new: Tally,
}

/// Counters of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct Tally {
    /// Number of finished requests, successful or failed.
    pub requests: u64,
    /// Number of failed requests.
    pub failures: u64,
    /// Number of successful requests that were compared with the slow-response threshold, which is
    /// unknown until enough responses have been recorded.
    pub timed: u64,
    /// Number of `timed` requests whose latency was above the threshold.
    pub slow: u64,
}

impl Tally {
    /// Returns the increase since `earlier`.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            failures: self.failures.saturating_sub(earlier.failures),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.timed += other.timed;
        self.slow += other.slow;
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TallyPair {
    pub(crate) old: Tally,
    pub(crate) new: Tally,
}

impl TallyPair {
    /// Returns the increase since `earlier`.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        Self { old: self.old.since(&earlier.old), new: self.new.since(&earlier.new) }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }
}

/// Counters by share of the new version in percent, sorted by share.
#[derive(Debug, Clone, Default)]
pub(crate) struct TalliesByShare(pub(crate) Vec<(u8, TallyPair)>);

impl TalliesByShare {
    /// Returns the counters of a share, zero if nothing was counted.
    pub(crate) fn get(&self, share_percent: u8) -> TallyPair {
        self.0.iter().find(|it| it.0 == share_percent).map(|it| it.1).unwrap_or_default()
    }

    /// Returns the counters of a share and inserts them if necessary.
    pub(crate) fn get_mut(&mut self, share_percent: u8) -> &mut TallyPair {
        let index = match self.0.binary_search_by_key(&share_percent, |it| it.0) {
            Ok(index) => index,
            Err(index) => {
                self.0.insert(index, (share_percent, TallyPair::default()));
                index
            }
        };
        &mut self.0[index].1
    }

    pub(crate) fn sum(&self) -> TallyPair {
        let mut res = TallyPair::default();
        for (_, pair) in &self.0 {
            res.add(pair);
        }
        res
    }
}
