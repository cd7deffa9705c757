//! Orders that bring the engines of a pool to their wanted state.
//!
//! An order names the end state of one engine, so that a repeated, lost or reordered one does no harm. The planner
//! compares what each engine reports with what it should have, reserves a load at the weight store for each version
//! that is missing, orders, and reads the state back. Whatever differs later, for example because of a late order of
//! an earlier holder, is ordered again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{Name, Upstream};

use crate::placement::Placement;

/// Times and bounds of the orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Time that an engine has to carry out an order before the order is repeated; loads take this long.
    pub completion: Duration,
    /// Time between two reservations at the weight store.
    pub reservation_interval: Duration,
    /// Time for which a reservation may be used.
    pub reservation_validity: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            completion: Duration::from_secs(60),
            reservation_interval: Duration::from_secs(1),
            reservation_validity: Duration::from_secs(300),
        }
    }
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Reserve a load at the weight store and report the outcome with [`Planner::reserved`].
    Reserve {
        /// Engine that will load.
        engine: Upstream,
        /// Version to load.
        version: Name,
    },
    /// Send an order under the present fencing token.
    Order {
        /// Engine.
        engine: Upstream,
        /// Versions that it should have loaded.
        versions: BTreeSet<Name>,
    },
}

/// Outcome of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The load may start.
    Granted,
    /// The rate limit is reached; ask again after this time.
    Busy(Duration),
}

/// State of the engines of one pool, as the holder of its lease knows it.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: Settings,
    wanted: Placement,
    engines: BTreeMap<Upstream, Engine>,
    next_reservation: Duration,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    /// Versions by the last report, and when they were true.
    loaded: Option<(BTreeSet<Name>, Duration)>,
    /// The last order and when it was sent.
    ordered: Option<(BTreeSet<Name>, Duration)>,
    /// Loads that are reserved, and when they were.
    reserved: BTreeMap<Name, Duration>,
}

impl Planner {
    /// A planner without engines.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            wanted: Placement::new(),
            engines: BTreeMap::new(),
            next_reservation: Duration::ZERO,
        }
    }

    /// Sets the wanted state; engines that it does not name get no orders.
    pub fn want(&mut self, wanted: Placement) {
        self.engines.retain(|it, _| wanted.contains_key(it));
        for engine in wanted.keys() {
            self.engines.entry(engine.clone()).or_default();
        }
        self.wanted = wanted;
    }

    /// Takes a report of an engine that was true at `at`; an older one than the last is ignored.
    pub fn observe(&mut self, engine: &str, versions: BTreeSet<Name>, at: Duration) {
        let Some(engine) = self.engines.get_mut(engine) else {
            return;
        };
        if engine.loaded.as_ref().is_some_and(|it| it.1 > at) {
            return;
        }
        engine.reserved.retain(|it, _| !versions.contains(it));
        // The order is carried out; whatever differs from now on was changed by something else.
        engine
            .ordered
            .take_if(|(ordered, sent)| *ordered == versions && at > *sent);
        engine.loaded = Some((versions, at));
    }

    /// Takes the outcome of a reservation.
    pub fn reserved(&mut self, engine: &str, version: &Name, reservation: Reservation, now: Duration) {
        match reservation {
            Reservation::Granted => {
                if let Some(engine) = self.engines.get_mut(engine) {
                    engine.reserved.insert(version.clone(), now);
                }
            }
            Reservation::Busy(wait) => self.next_reservation = self.next_reservation.max(now + wait),
        }
    }

    /// Steps that are due. Each returned order counts as sent, and one that the caller could not send is repeated
    /// after the completion time.
    pub fn steps(&mut self, now: Duration) -> Vec<Step> {
        let mut steps = Vec::new();
        for (name, wanted) in &self.wanted {
            let Some(engine) = self.engines.get_mut(name) else {
                continue;
            };
            engine.expire(now, self.settings.reservation_validity);
            let Some(missing) = engine.missing(wanted) else {
                continue;
            };
            let unreserved = missing.iter().find(|it| !engine.reserved.contains_key(*it));
            if let Some(version) = unreserved {
                if now >= self.next_reservation {
                    self.next_reservation = now + self.settings.reservation_interval;
                    steps.push(Step::Reserve {
                        engine: name.clone(),
                        version: version.clone(),
                    });
                }
                continue;
            }
            if engine.is_due(wanted, now, self.settings.completion) {
                engine.ordered = Some((wanted.clone(), now));
                steps.push(Step::Order {
                    engine: name.clone(),
                    versions: wanted.clone(),
                });
            }
        }
        steps
    }

    /// Engines whose reported state differs from the wanted one, or that have not reported.
    pub fn differing(&self) -> Vec<&Upstream> {
        let differs = |it: &(&Upstream, &BTreeSet<Name>)| {
            let loaded = self.engines.get(it.0).and_then(|it| it.loaded.as_ref());
            loaded.is_none_or(|loaded| loaded.0 != *it.1)
        };
        self.wanted.iter().filter(differs).map(|it| it.0).collect()
    }
}

impl Engine {
    fn expire(&mut self, now: Duration, validity: Duration) {
        self.reserved.retain(|_, reserved| now < *reserved + validity);
    }

    /// Versions to load, or `None` if the engine has not reported or has exactly the wanted ones.
    fn missing(&self, wanted: &BTreeSet<Name>) -> Option<BTreeSet<Name>> {
        let (loaded, _) = self.loaded.as_ref()?;
        (loaded != wanted).then(|| wanted.difference(loaded).cloned().collect())
    }

    /// Whether an order is due: there was none for this state, or it had its time.
    fn is_due(&self, wanted: &BTreeSet<Name>, now: Duration, completion: Duration) -> bool {
        let Some((ordered, sent)) = &self.ordered else {
            return true;
        };
        ordered != wanted || now >= *sent + completion
    }
}
