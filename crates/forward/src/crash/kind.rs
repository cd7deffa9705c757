//! What fingerprints stand for.

use std::ops::RangeInclusive;

use super::Fingerprint;

/// What requests with the same fingerprint have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A part of their prompts.
    PromptPart,
    /// Everything: they are the same request, sent again by its caller.
    Request,
}

impl Kind {
    /// Number of ended runs that make a culprit of a part while nothing is served.
    const RUNS_WITHOUT_SERVICE: usize = 8;

    /// The fingerprint of this kind with a hash, which loses its highest bit.
    pub fn fingerprint(self, hash: u64) -> Fingerprint {
        hash << 1 | u64::from(self == Self::Request)
    }

    pub(super) fn of(fingerprint: Fingerprint) -> Self {
        match fingerprint & 1 {
            0 => Self::PromptPart,
            _ => Self::Request,
        }
    }

    /// Kind and hash of a fingerprint for people.
    pub fn describe(fingerprint: Fingerprint) -> String {
        let hash = fingerprint >> 1;
        match Self::of(fingerprint) {
            Self::PromptPart => format!("part:{hash:x}"),
            Self::Request => format!("content:{hash:x}"),
        }
    }

    /// Number of ended runs that make a culprit, and its limit while many requests break off.
    ///
    /// A request that is retried beside a fatal one may meet several ends by chance. Few are enough where a mistake costs
    /// nobody else: for a single request, and for a part that no sound request is known to have.
    pub(super) fn min_runs(self, was_served: bool) -> RangeInclusive<usize> {
        match (self, was_served) {
            (Self::PromptPart, false) => 4..=5,
            (Self::PromptPart, true) => 6..=8,
            (Self::Request, _) => 3..=3,
        }
    }

    /// Whether blaming a fingerprint of this kind can cost no sound request its service, although it may be the engines'
    /// fault: a single request, or a part that no sound request is known to have.
    pub(super) fn is_harmless_to_blame(self, was_served: bool, runs: usize) -> bool {
        match self {
            Self::PromptPart => !was_served && runs >= Self::RUNS_WITHOUT_SERVICE,
            Self::Request => true,
        }
    }
}
