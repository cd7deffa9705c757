//! What a node knows about the load and the health of engines.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::Upstream;

use crate::Moment;
use crate::directory::Engine;
use crate::flow::Failure;
use crate::lane::Work;

/// Load that an engine reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that it processes.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can process at the same time.
    pub slots: u32,
}

/// One engine as this node sees it.
#[derive(Debug, Clone)]
pub struct Load {
    born: u64,
    /// Requests of this node under way.
    pub in_flight: u32,
    /// Work of this node's requests that have no answer yet, whose prompts the engine may still have to read.
    pub pending: Work,
    /// Requests of other nodes by the last report.
    others: f64,
    reported: Option<Moment>,
    failures: u32,
    avoided: Option<Moment>,
    /// Smoothed share of failures among its answers.
    errors: f64,
    failed: Option<Moment>,
    succeeded: Option<Moment>,
    /// Smoothed time to the first byte relative to that of the whole service.
    slowness: f64,
    samples: u32,
}

impl Load {
    /// Time after which half of a report is taken to be out of date.
    const HALF_LIFE: Duration = Duration::from_millis(1500);

    /// Smoothing factor of the slowness.
    const GAIN: f64 = 0.15;

    /// Smoothing factor of the errors: one failure among good answers costs little, two in a row much.
    const ERROR_GAIN: f64 = 0.4;

    /// Time after which half of the errors are taken to be over; an engine that gets no requests cannot show it.
    const ERROR_HALF_LIFE: Duration = Duration::from_secs(15);

    /// Age up to which an answer proves that an engine works.
    const PROOF: Duration = Duration::from_secs(10);

    /// Samples before the slowness counts.
    const MIN_SAMPLES: u32 = 4;

    fn new(born: u64) -> Self {
        Self {
            born,
            in_flight: 0,
            pending: 0.0,
            others: 0.0,
            reported: None,
            failures: 0,
            avoided: None,
            errors: 0.0,
            failed: None,
            succeeded: None,
            slowness: 1.0,
            samples: 0,
        }
    }

    /// Estimated number of requests at the engine, those that wait included.
    pub fn requests(&self, now: Moment) -> f64 {
        let age = self.reported.map(|it| now.saturating_sub(it));
        f64::from(self.in_flight) + self.others * decay(age, Self::HALF_LIFE)
    }

    /// Estimated share of failures among its answers.
    pub fn errors(&self, now: Moment) -> f64 {
        let age = self.failed.map(|it| now.saturating_sub(it));
        self.errors * decay(age, Self::ERROR_HALF_LIFE)
    }

    /// Whether it answered a request of this node well lately.
    pub fn is_proven(&self, now: Moment) -> bool {
        self.succeeded
            .is_some_and(|it| now.saturating_sub(it) <= Self::PROOF)
    }

    /// Whether the engine failed lately and should get no work while others can take it.
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.avoided.is_some_and(|it| now < it)
    }

    /// Time to the first byte relative to that of the whole service; 1 while too little is known.
    pub fn slowness(&self) -> f64 {
        if self.samples < Self::MIN_SAMPLES {
            return 1.0;
        }
        self.slowness.max(0.5)
    }
}

/// Weight of something that is `age` old, of which half is over after `half_life`; none if it never was.
fn decay(age: Option<Duration>, half_life: Duration) -> f64 {
    age.map_or(0.0, |it| 0.5_f64.powf(it.as_secs_f64() / half_life.as_secs_f64()))
}

/// The loads of all engines that this node sent requests to.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    engines: HashMap<Upstream, Load>,
}

impl Loads {
    /// First time for which an engine is avoided after a failure; doubled with each further one in a row.
    const AVOID: Duration = Duration::from_millis(500);

    /// Greatest exponent of the doubling: 8 s.
    const MAX_DOUBLINGS: u32 = 4;

    /// Time for which an engine that refused for being full is avoided: about the lag of its reports.
    const FULL: Duration = Duration::from_millis(150);

    /// The load of an engine; `None` if nothing was sent to this run of it.
    pub fn get(&self, engine: &Engine) -> Option<&Load> {
        self.engines.get(&engine.id).filter(|it| it.born == engine.born)
    }

    /// Notes a request on its way.
    pub fn sent(&mut self, engine: &Engine, work: Work) {
        let load = self.entry(engine);
        load.in_flight += 1;
        load.pending += work;
    }

    /// Notes that the answer to a request has begun, or that there is none.
    pub fn begun(&mut self, engine: &Engine, work: Work) {
        let load = self.entry(engine);
        load.pending = (load.pending - work).max(0.0);
    }

    /// Notes the end of a request.
    pub fn ended(&mut self, engine: &Engine) {
        let load = self.entry(engine);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Notes a report.
    pub fn reported(&mut self, engine: &Engine, report: Report, now: Moment) {
        let load = self.entry(engine);
        let total = f64::from(report.running + report.waiting);
        load.others = (total - f64::from(load.in_flight)).max(0.0);
        load.reported = Some(now);
    }

    /// Notes an answer whose first byte took `ratio` times as long as usual for the service.
    pub fn answered(&mut self, engine: &Engine, ratio: f64, now: Moment) {
        let load = self.entry(engine);
        load.failures = 0;
        load.avoided = None;
        load.errors -= Load::ERROR_GAIN * load.errors;
        load.succeeded = Some(now);
        load.samples += 1;
        load.slowness += Load::GAIN * (ratio.clamp(0.1, 10.0) - load.slowness);
    }

    /// Notes a failed attempt.
    pub fn failed(&mut self, engine: &Engine, failure: Failure, now: Moment) {
        let load = self.entry(engine);
        let pause = match failure {
            Failure::Refused => Self::FULL,
            Failure::Failed => {
                load.errors = load.errors(now);
                load.errors += Load::ERROR_GAIN * (1.0 - load.errors);
                load.failed = Some(now);
                return;
            }
            _ => {
                load.failures += 1;
                Self::AVOID * 2_u32.pow((load.failures - 1).min(Self::MAX_DOUBLINGS))
            }
        };
        load.avoided = load.avoided.max(Some(now + pause));
    }

    /// Drops what is known about engines that are not listed any more and have no request under way.
    pub fn retain<'a>(&mut self, listed: impl Iterator<Item = &'a Arc<Engine>>) {
        let listed: std::collections::HashSet<_> = listed.map(|it| it.id.clone()).collect();
        self.engines
            .retain(|id, it| it.in_flight > 0 || listed.contains(id));
    }

    fn entry(&mut self, engine: &Engine) -> &mut Load {
        let load = self
            .engines
            .entry(engine.id.clone())
            .or_insert_with(|| Load::new(engine.born));
        if load.born != engine.born {
            *load = Load::new(engine.born);
        }
        load
    }
}
