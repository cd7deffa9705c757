//! What the simulated requests have in common.

use std::ops::Range;

use forward::crash::{Fingerprint, Kind, Traits};
use rand::Rng;

use super::scenario::{Scale, Service};

/// Number of different second parts of prompts.
const SECOND_PARTS: u64 = 400;

/// First numbers of what these and all other fingerprints stand for.
const FIRST_PART: u64 = 100;
const SECOND_PART: u64 = 1000;
const OTHERS: Range<u64> = 1 << 20..1 << 60;

/// Number of the fatal part or request.
const FATAL: u64 = 1;

impl Scale {
    /// Traits of the next request.
    pub(super) fn traits(self, is_fatal: bool, rng: &mut impl Rng) -> Traits {
        let part = |it| Kind::PromptPart.fingerprint(it);
        let own = rng.random_range(OTHERS);
        let mut traits = match self.service {
            Service::Plain if is_fatal => vec![Kind::Request.fingerprint(FATAL)],
            Service::Plain => vec![Kind::Request.fingerprint(own)],
            Service::Model => {
                // Some second parts are far more frequent than others.
                let second = SECOND_PARTS as f64 * rng.random_range(0.0_f64..1.0).powi(3);
                vec![
                    part(FIRST_PART + rng.random_range(0..self.first_parts)),
                    part(SECOND_PART + second as u64),
                    Kind::Request.fingerprint(own),
                ]
            }
        };
        if is_fatal && self.service == Service::Model {
            traits.extend([part(FATAL), part(rng.random_range(OTHERS))]);
        }
        traits.sort_unstable();
        traits
    }

    /// What requests are grouped by: the first part of their prompts, or nothing.
    pub(super) fn first_part(self, traits: &[Fingerprint]) -> Fingerprint {
        let first_parts = FIRST_PART..FIRST_PART + self.first_parts;
        first_parts
            .map(|it| Kind::PromptPart.fingerprint(it))
            .find(|it| traits.contains(it))
            .unwrap_or_default()
    }
}

impl Service {
    /// What the fatal requests have in common.
    pub(super) fn fatal_fingerprint(self) -> Fingerprint {
        match self {
            Self::Model => Kind::PromptPart.fingerprint(FATAL),
            Self::Plain => Kind::Request.fingerprint(FATAL),
        }
    }
}

/// Whether the stream for a prompt is a long one, as all are with a certain first part.
pub(super) fn is_long(traits: &[Fingerprint]) -> bool {
    traits.contains(&Kind::PromptPart.fingerprint(FIRST_PART))
}
