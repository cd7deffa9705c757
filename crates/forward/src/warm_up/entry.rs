//! One engine that is not warm.

use std::time::Duration;

use model::Name;

use super::{Pace, Phase};
use crate::BootTime;
use crate::permit::Permits;

/// What a node knows about one run of an engine that is not warm.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub started_ms: u64,
    pub service: Name,
    /// When the engine was first not warm.
    pub since: BootTime,
    /// Times of the last failure and of the end of the suspicion.
    suspected: Option<(BootTime, BootTime)>,
    cold_until: BootTime,
    /// Whether its issuer has ended the warm-up.
    pub is_over: bool,
    pub permits: Permits,
    /// Kept by the issuer.
    pub pace: Option<Pace>,
}

impl Entry {
    /// Time after which a warm-up ends even if the engine is still slow; it is then no matter of its start.
    const MAX_WARMING: Duration = Duration::from_secs(20);

    /// Minimum lead of a cold time that replaces a known one. Ages do not include the way between nodes, so the same one
    /// looks slightly longer each time it is passed on.
    pub(super) const MIN_LEAD: Duration = Duration::from_millis(100);

    pub(super) fn new(started_ms: u64, service: Name, since: BootTime) -> Self {
        Self {
            started_ms,
            service,
            since,
            suspected: None,
            cold_until: BootTime::ZERO,
            is_over: false,
            permits: Permits::default(),
            pace: None,
        }
    }

    pub(super) fn phase(&self, now: BootTime) -> Option<Phase> {
        if self.suspected.is_some_and(|it| now < it.1) {
            return Some(Phase::Suspected);
        }
        if now < self.cold_until {
            return Some(Phase::Cold);
        }
        let is_warming = !self.is_over && now < self.end(Phase::Warming);
        is_warming.then_some(Phase::Warming)
    }

    /// When a phase ends.
    pub(super) fn end(&self, phase: Phase) -> BootTime {
        match phase {
            Phase::Suspected => self.suspected.map_or(BootTime::ZERO, |it| it.1),
            Phase::Cold => self.cold_until,
            // An engine that was only suspected leaves no cold time to recover from.
            Phase::Warming if self.cold_until.is_zero() => BootTime::ZERO,
            Phase::Warming => self.cold_until + Self::MAX_WARMING,
        }
    }

    /// Whether the engine is warm, and for longer than any node may take it for warming.
    pub(super) fn is_done(&self, now: BootTime) -> bool {
        self.phase(now).is_none() && now >= self.end(Phase::Warming)
    }

    /// Records a failure, and until when the engine is suspected for it.
    pub(super) fn suspect(&mut self, now: BootTime, until: BootTime) {
        self.suspected = Some((now, until));
    }

    /// Whether the engine is not suspected, or was so before it began a cold time that ends at `cold_until`.
    pub(super) fn suspected_before(&self, cold_until: BootTime, cold_time: Duration) -> bool {
        self.suspected.is_none_or(|it| it.0 + cold_time <= cold_until)
    }

    /// Whether a failure at a time is explained by the known cold time, which began after it.
    pub(super) fn explains(&self, failed_at: BootTime, cold_time: Duration) -> bool {
        failed_at + cold_time < self.cold_until
    }

    /// Records that the engine warms up until `end`; a suspicion from before its cold time has no reason any more.
    pub(super) fn end_suspicion(&mut self, end: BootTime, cold_time: Duration, now: BootTime) {
        let cold_until = end.saturating_sub(Self::MAX_WARMING);
        if self.phase(now) == Some(Phase::Suspected) && self.suspected_before(cold_until, cold_time) {
            self.record_life();
            self.extend_cold(cold_until);
        }
    }

    /// Records that the engine runs.
    pub(super) fn record_life(&mut self) {
        if self.suspected.take().is_some() {
            // A suspected engine has few permits, so a denial holds for long.
            self.permits = Permits::default();
        }
    }

    /// Records until when the engine is cold.
    pub(super) fn extend_cold(&mut self, until: BootTime) {
        if until > self.cold_until + Self::MIN_LEAD {
            self.cold_until = until;
        }
    }

    /// Records the end of the warm-up of an engine whose cold time is over.
    pub(super) fn resume_warming(&mut self, end: BootTime) {
        self.cold_until = end.saturating_sub(Self::MAX_WARMING);
    }
}
