//! Work that organisations ask for, and the share of it that they get while engines are overloaded.

use std::collections::HashMap;
use std::time::Duration;

use model::Name;

use crate::work::Work;
use crate::{BootTime, decay};

/// Time after which work counts half. A node of a large fleet gets a request of an organisation about every four seconds.
const HALF_LIFE: Duration = Duration::from_secs(6);

/// Number of priorities that are told apart; lower ones count as the last.
const PRIORITIES: usize = 4;

/// Recent requests of an organisation up to which none is refused: a large one now and then is no excess.
const MAX_FEW_REQUESTS: f64 = 3.0;

/// Share of the organisations that must get all that they ask for, so that the others take from them. If fewer do, refusing
/// some would serve nobody better while queues can hold all until their deadlines.
const MIN_WITHIN: f64 = 0.5;

/// Recent requests below which an organisation is forgotten.
const MIN_KEPT_REQUESTS: f64 = 0.05;

/// Work that arrived or was served lately, weighted by its age.
#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    sum: f64,
    at: BootTime,
}

impl Recent {
    fn add(&mut self, work: Work, now: BootTime) {
        *self = Self {
            sum: self.get(now) + work,
            at: now,
        };
    }

    fn get(&self, now: BootTime) -> f64 {
        self.sum * decay(Some(now.saturating_sub(self.at)), HALF_LIFE)
    }
}

/// What an organisation asks for.
#[derive(Debug, Clone, Copy, Default)]
struct Organisation {
    /// Work by priority.
    work: [Recent; PRIORITIES],
    requests: Recent,
}

impl Organisation {
    fn total(&self, now: BootTime) -> f64 {
        self.work.iter().map(|it| it.get(now)).sum()
    }
}

/// Work of one service that this node's callers ask for and that its engines begin.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    organisations: HashMap<Name, Organisation>,
    served: Recent,
    fair: Option<f64>,
}

impl Demand {
    pub(super) fn record_arrival(&mut self, organisation: &Name, priority: u8, work: Work, now: BootTime) {
        let known = self.organisations.entry(organisation.clone()).or_default();
        known.work[level(priority)].add(work, now);
        known.requests.add(1.0, now);
    }

    pub(super) fn record_served(&mut self, work: Work, now: BootTime) {
        self.served.add(work, now);
    }

    /// Computes the fair share again, and drops organisations that send nothing any more.
    pub(super) fn refresh(&mut self, now: BootTime) {
        let served = self.served.get(now);
        self.organisations
            .retain(|_, it| it.requests.get(now) > MIN_KEPT_REQUESTS);
        let demands = self.organisations.values().map(|it| it.total(now));
        self.fair = fair_share(demands.collect(), served);
    }

    /// Share of an organisation's requests of a priority that is admitted; 1 unless the organisation asks for more than its
    /// fair share, which its highest priorities get.
    pub(super) fn admitted_share(&self, organisation: &Name, priority: u8, now: BootTime) -> f64 {
        let Some((fair, demand)) = self.fair.zip(self.organisations.get(organisation)) else {
            return 1.0;
        };
        if demand.requests.get(now) <= MAX_FEW_REQUESTS {
            return 1.0;
        }
        let (before, own) = demand.work[..=level(priority)].split_at(level(priority));
        let before: f64 = before.iter().map(|it| it.get(now)).sum();
        let own: f64 = own.iter().map(|it| it.get(now)).sum();
        match own > 0.0 {
            true => ((fair - before) / own).clamp(0.0, 1.0),
            false => 1.0,
        }
    }
}

fn level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

/// The max-min fair share of what is served: no organisation gets more, and those that ask for less get all of it. `None`
/// if many ask for more than that, as when all send more than usual, or if all can be served.
fn fair_share(mut demands: Vec<f64>, served: f64) -> Option<f64> {
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = served;
    let count = demands.len();
    for (index, demand) in demands.into_iter().enumerate() {
        let share = left / (count - index) as f64;
        if demand > share {
            return (index as f64 >= MIN_WITHIN * count as f64).then_some(share);
        }
        left -= demand;
    }
    None
}
