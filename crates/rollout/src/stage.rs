//! Stages of a rollout.

use serde::{Deserialize, Serialize};

/// Share of the traffic that the new version gets, stored as a percentage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub enum Stage {
    /// The new version gets 1% of the traffic.
    One,
    /// The new version gets 5% of the traffic.
    Five,
    /// The new version gets 25% of the traffic.
    TwentyFive,
    /// The new version gets 50% of the traffic.
    Fifty,
    /// The new version gets all traffic.
    All,
}

impl Stage {
    /// All stages, by increasing share.
    pub const ORDER: [Self; 5] = [Self::One, Self::Five, Self::TwentyFive, Self::Fifty, Self::All];

    /// Returns the new version's share in percent.
    pub fn percent(self) -> u8 {
        match self {
            Self::One => 1,
            Self::Five => 5,
            Self::TwentyFive => 25,
            Self::Fifty => 50,
            Self::All => 100,
        }
    }

    /// Returns the next stage, `None` after the last one.
    pub fn next(self) -> Option<Self> {
        Self::ORDER.into_iter().find(|it| *it > self)
    }

    /// Returns the number of requests that every route with traffic must send to the new version in
    /// this stage.
    ///
    /// With 50 requests, a version that fails one request in ten shows a failure with a probability
    /// above 99%.
    pub fn required_requests(self) -> u64 {
        match self {
            Self::One => 50,
            Self::Five => 100,
            Self::TwentyFive | Self::Fifty => 200,
            Self::All => 0,
        }
    }
}

impl TryFrom<u8> for Stage {
    type Error = String;

    fn try_from(percent: u8) -> Result<Self, String> {
        let mut stages = Self::ORDER.into_iter();
        stages.find(|it| it.percent() == percent).ok_or_else(|| {
            format!("unknown rollout stage {percent}% (hint: use 1, 5, 25, 50 or 100)")
        })
    }
}

impl From<Stage> for u8 {
    fn from(stage: Stage) -> Self {
        stage.percent()
    }
}
