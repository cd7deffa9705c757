//! Which fingerprints were served, and when.

use std::collections::HashMap;
use std::time::Duration;

use crate::BootTime;

use super::{Fingerprint, Kind};

/// The last service of a fingerprint: when the request was sent, as that is what its response shows to be sound.
#[derive(Debug, Clone, Copy)]
struct Served {
    at: BootTime,
    /// The last one that other nodes know of.
    told: Option<BootTime>,
}

/// Services of all fingerprints.
#[derive(Debug, Clone, Default)]
pub(super) struct Service {
    served: HashMap<Fingerprint, Served>,
    last: Option<BootTime>,
}

impl Service {
    /// Time for which parts of prompts are remembered: longer than most outages.
    const PART_RETENTION: Duration = Duration::from_secs(1800);

    /// Time for which requests are remembered.
    const REQUEST_RETENTION: Duration = Duration::from_secs(60);

    /// Age of what is forgotten first if there is too much.
    const SHORT_RETENTION: Duration = Duration::from_secs(15);

    const MAX_FINGERPRINTS: usize = 8192;

    /// Records that a request with a fingerprint was served that was sent at `at`.
    pub(super) fn record(&mut self, fingerprint: Fingerprint, at: BootTime, now: BootTime) {
        self.last = self.last.max(Some(now));
        if self.served.len() >= Self::MAX_FINGERPRINTS && !self.served.contains_key(&fingerprint) {
            self.make_room(now);
        }
        // With so many frequent parts, one more is not known as served.
        if self.served.len() < Self::MAX_FINGERPRINTS || self.served.contains_key(&fingerprint) {
            let served = Served { at, told: None };
            let served = self.served.entry(fingerprint).or_insert(served);
            served.at = served.at.max(at);
        }
    }

    /// Records what another node tells.
    pub(super) fn record_told(&mut self, fingerprint: Fingerprint, at: BootTime) {
        self.record(fingerprint, at, at);
        if let Some(it) = self.served.get_mut(&fingerprint) {
            it.told = it.told.max(Some(at));
        }
    }

    /// Forgets single requests, which are many, and then parts that are rare.
    fn make_room(&mut self, now: BootTime) {
        let is_recent = |it: &Served| now.saturating_sub(it.at) < Self::SHORT_RETENTION;
        let is_part = |it: &Fingerprint| Kind::of(*it) == Kind::PromptPart;
        self.served.retain(|it, served| is_part(it) || is_recent(served));
        if self.served.len() >= Self::MAX_FINGERPRINTS {
            self.served.retain(|it, served| is_part(it) && is_recent(served));
        }
    }

    /// When a request with a fingerprint was sent that was served, at last.
    pub(super) fn at(&self, fingerprint: Fingerprint) -> Option<BootTime> {
        self.served.get(&fingerprint).map(|it| it.at)
    }

    /// When anything was last served.
    pub(super) fn last(&self) -> Option<BootTime> {
        self.last
    }

    /// Whether a fingerprint was served, but not by what other nodes know since a run ended under it.
    pub(super) fn may_be_blamed_by_others(&self, fingerprint: Fingerprint, end: BootTime) -> bool {
        let served = self.served.get(&fingerprint);
        served.is_some_and(|it| it.told.is_none_or(|told| told < end))
    }

    /// Like [`Self::at`], if other nodes don't know that. From now on they do.
    pub(super) fn tell(&mut self, fingerprint: Fingerprint) -> Option<BootTime> {
        let served = self.served.get_mut(&fingerprint)?;
        let is_later = served.told.is_none_or(|it| it < served.at);
        is_later.then(|| {
            served.told = Some(served.at);
            served.at
        })
    }

    /// Forgets what is over.
    pub(super) fn expire(&mut self, now: BootTime) {
        self.served.retain(|fingerprint, it| {
            let retention = match Kind::of(*fingerprint) {
                Kind::PromptPart => Self::PART_RETENTION,
                Kind::Request => Self::REQUEST_RETENTION,
            };
            now.saturating_sub(it.at) < retention
        });
    }
}
