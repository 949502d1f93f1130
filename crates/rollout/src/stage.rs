//! Stages of a rollout.

use serde::{Deserialize, Serialize};

/// Share of the traffic that the new version gets; stored as a percentage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub enum Stage {
    /// 1% of the traffic.
    One,
    /// 5% of the traffic.
    Five,
    /// 25% of the traffic.
    TwentyFive,
    /// 50% of the traffic.
    Fifty,
    /// All traffic.
    All,
}

impl Stage {
    /// All stages in order.
    pub const ORDER: [Self; 5] = [Self::One, Self::Five, Self::TwentyFive, Self::Fifty, Self::All];

    /// The share as a percentage.
    pub fn percent(self) -> u8 {
        match self {
            Self::One => 1,
            Self::Five => 5,
            Self::TwentyFive => 25,
            Self::Fifty => 50,
            Self::All => 100,
        }
    }

    /// The stage that follows, `None` after the last.
    pub fn next(self) -> Option<Self> {
        Self::ORDER.into_iter().find(|it| *it > self)
    }

    /// Requests that every route with traffic must have sent to the new version in this stage.
    ///
    /// 50 requests show a version that fails one request in ten with a probability above 99%.
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
        stages
            .find(|it| it.percent() == percent)
            .ok_or_else(|| format!("no stage has {percent}% (hint: use 1, 5, 25, 50 or 100)"))
    }
}

impl From<Stage> for u8 {
    fn from(stage: Stage) -> Self {
        stage.percent()
    }
}
