//! Services whose loads nodes tell each other.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::Name;

use crate::BootTime;

/// What the loads of a shared service's engines have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Shared {
    /// When the service stops being shared unless an engine states a work factor again.
    pub until: BootTime,
    pub means: Means,
}

/// Mean numbers of requests at the engines of a service; 0 while none is known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Means {
    pub requests: f64,
    /// Those of them that wait.
    pub waiting: f64,
}

/// The services with shared loads.
#[derive(Debug, Clone, Default)]
pub(super) struct Sharing {
    services: HashMap<Name, Shared>,
    /// Services that are shared by the configuration.
    configured: HashSet<Name>,
    /// End of the sharing by statements of engines.
    stated_until: HashMap<Name, BootTime>,
    refreshed_at: Option<BootTime>,
}

impl Sharing {
    /// Time for which a service stays shared after the last statement of a work factor.
    const STATED_RETENTION: Duration = Duration::from_secs(60);

    /// Interval at which the means are computed again; computing them takes time proportional to the number of
    /// engines.
    const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

    /// A service, if its loads are shared.
    pub(super) fn get(&self, service: &str) -> Option<Shared> {
        self.services.get(service).copied()
    }

    /// The services whose loads are shared, with their means.
    pub(super) fn services(&self, now: BootTime) -> impl Iterator<Item = (&Name, Means)> {
        let shared = self.services.iter().filter(move |it| now < it.1.until);
        shared.map(|(name, it)| (name, it.means))
    }

    /// Replaces the services that are shared by the configuration; returns whether they changed.
    pub(super) fn configure(&mut self, services: HashSet<Name>) -> bool {
        let changed = self.configured != services;
        self.configured = services;
        changed
    }

    /// Records that an engine of a service stated a work factor; returns whether this makes the service shared.
    pub(super) fn record_factor(&mut self, service: &Name, stated_at: BootTime, now: BootTime) -> bool {
        let until = stated_at + Self::STATED_RETENTION;
        let known = self.stated_until.entry(service.clone()).or_default();
        *known = until.max(*known);
        let is_shared = self.get(service).is_some_and(|it| now < it.until);
        if let Some(shared) = self.services.get_mut(service) {
            shared.until = until.max(shared.until);
        }
        !is_shared && now < until
    }

    /// Whether the means are due to be computed again.
    pub(super) fn is_due(&self, now: BootTime) -> bool {
        let is_empty = self.configured.is_empty() && self.stated_until.is_empty();
        !is_empty
            && self
                .refreshed_at
                .is_none_or(|it| now.saturating_sub(it) >= Self::REFRESH_INTERVAL)
    }

    /// Replaces the means, and drops the services that are no longer shared.
    pub(super) fn refresh(&mut self, means: &HashMap<Name, Means>, now: BootTime) {
        self.refreshed_at = Some(now);
        self.stated_until.retain(|_, it| now < *it);
        let before = std::mem::take(&mut self.services);
        let stated = self.stated_until.iter().map(|(name, until)| (name, *until));
        let configured = self.configured.iter().map(|it| (it, BootTime::MAX));
        for (name, until) in stated.chain(configured) {
            // Without recent reports, the last mean is the best guess.
            let last = before.get(name).map(|it| it.means).unwrap_or_default();
            let means = means.get(name).copied().unwrap_or(last);
            self.services.insert(name.clone(), Shared { until, means });
        }
    }
}
