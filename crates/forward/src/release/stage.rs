//! Stages of a release.

/// Progress of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The new version gets a share of the traffic that depends on the index of the stage.
    Trial(u8),
    /// The new version gets all traffic, and the old engines may stop.
    Complete,
    /// The new version gets no traffic.
    Reverted,
}

impl Stage {
    /// Encoding of the stage in messages between nodes.
    pub fn code(self) -> u8 {
        match self {
            Self::Trial(stage) => stage.min(Self::COMPLETE - 1),
            Self::Complete => Self::COMPLETE,
            Self::Reverted => Self::REVERTED,
        }
    }

    /// Decodes [`Self::code`].
    pub fn from_code(code: u8) -> Self {
        match code {
            Self::COMPLETE => Self::Complete,
            Self::REVERTED => Self::Reverted,
            stage => Self::Trial(stage),
        }
    }

    const COMPLETE: u8 = 254;
    const REVERTED: u8 = 255;
}
