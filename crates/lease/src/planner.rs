//! Planning of the orders that bring the engines of a pool to their wanted state.
//!
//! An order states the desired end state of one engine, so that repeated, lost or reordered orders do no
//! harm. The planner compares the reported state of each engine with the wanted one, reserves a load at the
//! weight store for each missing version, sends the order, and reads the state back. A later difference, for
//! example due to a delayed order of an earlier holder, is corrected by a new order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{Name, Upstream};

use crate::placement::Placement;

/// Timing of orders and reservations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Time after which an order that was not carried out is repeated; loading takes up to this long.
    pub completion_timeout: Duration,
    /// Minimum interval between reservations at the weight store.
    pub reservation_interval: Duration,
    /// Time for which a reservation is valid.
    pub reservation_validity: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            completion_timeout: Duration::from_secs(60),
            reservation_interval: Duration::from_secs(1),
            reservation_validity: Duration::from_secs(300),
        }
    }
}

/// Action for the caller to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Reserve a load at the weight store, and report the outcome with [`Planner::reservation_finished`].
    Reserve {
        /// Engine that will load.
        engine: Upstream,
        /// Version to load.
        version: Name,
    },
    /// Send an order with the current fencing token.
    Order {
        /// Engine to send it to.
        engine: Upstream,
        /// Versions that the engine should have loaded.
        versions: BTreeSet<Name>,
    },
}

/// Outcome of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The load may start.
    Granted,
    /// The rate limit of the weight store is reached; retry after this time.
    Busy(Duration),
}

/// State of the engines of one pool, as known to the lease holder.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: Settings,
    wanted: Placement,
    engines: BTreeMap<Upstream, Engine>,
    next_reservation: Duration,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    /// Loaded versions in the last report, and the time of that report.
    loaded: Option<(BTreeSet<Name>, Duration)>,
    /// Last order that is not known to be carried out, and when it was sent.
    ordered: Option<(BTreeSet<Name>, Duration)>,
    /// Reserved loads, and when they were reserved.
    reserved: BTreeMap<Name, Duration>,
}

impl Planner {
    /// Creates a planner without engines.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            wanted: Placement::new(),
            engines: BTreeMap::new(),
            next_reservation: Duration::ZERO,
        }
    }

    /// Sets the wanted state. Engines missing from it get no orders.
    pub fn set_wanted(&mut self, wanted: Placement) {
        self.engines.retain(|it, _| wanted.contains_key(it));
        for engine in wanted.keys() {
            self.engines.entry(engine.clone()).or_default();
        }
        self.wanted = wanted;
    }

    /// Processes a state report of an engine that was taken at `at`. A report older than the last one is
    /// ignored.
    pub fn observe(&mut self, engine: &str, versions: BTreeSet<Name>, at: Duration) {
        let Some(engine) = self.engines.get_mut(engine) else {
            return;
        };
        if engine.loaded.as_ref().is_some_and(|it| it.1 > at) {
            return;
        }
        engine.reserved.retain(|it, _| !versions.contains(it));
        // The order was carried out; any later difference has another cause.
        engine
            .ordered
            .take_if(|(ordered, sent)| *ordered == versions && at > *sent);
        engine.loaded = Some((versions, at));
    }

    /// Processes the outcome of a reservation.
    pub fn reservation_finished(
        &mut self,
        engine: &str,
        version: &Name,
        reservation: Reservation,
        now: Duration,
    ) {
        match reservation {
            Reservation::Granted => {
                if let Some(engine) = self.engines.get_mut(engine) {
                    engine.reserved.insert(version.clone(), now);
                }
            }
            Reservation::Busy(wait) => self.next_reservation = self.next_reservation.max(now + wait),
        }
    }

    /// Returns the steps that are due. Each returned order counts as sent; one that the caller could not send
    /// is repeated after the completion timeout.
    pub fn steps(&mut self, now: Duration) -> Vec<Step> {
        let mut steps = Vec::new();
        for (name, wanted) in &self.wanted {
            let Some(engine) = self.engines.get_mut(name) else {
                continue;
            };
            engine.expire_reservations(now, self.settings.reservation_validity);
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
            if engine.is_due(wanted, now, self.settings.completion_timeout) {
                engine.ordered = Some((wanted.clone(), now));
                steps.push(Step::Order {
                    engine: name.clone(),
                    versions: wanted.clone(),
                });
            }
        }
        steps
    }

    /// Engines that have not reported, or whose reported state differs from the wanted one.
    pub fn differing_engines(&self) -> Vec<&Upstream> {
        let differs = |it: &(&Upstream, &BTreeSet<Name>)| {
            let loaded = self.engines.get(it.0).and_then(|it| it.loaded.as_ref());
            loaded.is_none_or(|loaded| loaded.0 != *it.1)
        };
        self.wanted.iter().filter(differs).map(|it| it.0).collect()
    }
}

impl Engine {
    fn expire_reservations(&mut self, now: Duration, validity: Duration) {
        self.reserved.retain(|_, reserved| now < *reserved + validity);
    }

    /// Versions to load; `None` if the engine has not reported or has exactly the wanted versions.
    fn missing(&self, wanted: &BTreeSet<Name>) -> Option<BTreeSet<Name>> {
        let (loaded, _) = self.loaded.as_ref()?;
        (loaded != wanted).then(|| wanted.difference(loaded).cloned().collect())
    }

    /// Whether an order is due: the last one was for another state or has timed out.
    fn is_due(&self, wanted: &BTreeSet<Name>, now: Duration, completion: Duration) -> bool {
        let Some((ordered, sent)) = &self.ordered else {
            return true;
        };
        ordered != wanted || now >= *sent + completion
    }
}
