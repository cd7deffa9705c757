//! Load and health of engines as seen by this node.
//!
//! The load of an engine is estimated in one of two ways. Usually, it is what the engine reported to this node, and
//! the part of the other nodes' requests fades as the report ages. For a service with shared loads, it is the newest
//! report that any node received (see [`crate::load_exchange`]), which fades towards the mean of the service's
//! engines.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use model::{Name, Upstream};

use crate::directory::Engine;
use crate::engine_memory::{Footprint, Held, Size, Usage};
use crate::retry::Failure;
use crate::work::Work;
use crate::{BootTime, decay};

mod latency;
mod observation;
mod report;
mod sharing;
mod weighted_mean;

pub use latency::Trial;
pub use observation::Observation;
pub use report::LoadReport;

use latency::{Latency, Usual};
use sharing::{Shared, Sharing};
use weighted_mean::WeightedMean;

/// Load and health of one run of an engine.
#[derive(Debug, Clone)]
pub struct Load {
    service: Name,
    started_ms: u64,
    /// Requests of this node in progress.
    pub in_flight: u32,
    /// Work of this node's requests without a response so far, whose prompts the engine may still have to
    /// read.
    pub pending_work: Work,
    /// Memory that this node's requests hold.
    pub(crate) held: Held,
    /// Requests of other nodes according to the last report.
    other_requests: f64,
    reported_at: Option<BootTime>,
    /// The newest report, whichever node received it.
    observation: Option<Observation>,
    /// When this node sent its requests in progress, oldest first. Which of them ended is not known; it counts as
    /// the oldest one.
    sent: VecDeque<BootTime>,
    /// Set if the loads of the service are shared.
    shared: Option<Shared>,
    consecutive_failures: u32,
    avoided_until: Option<BootTime>,
    /// Smoothed share of failures among the responses.
    error_rate: f64,
    error_at: Option<BootTime>,
    success_at: Option<BootTime>,
    latency: Latency,
}

impl Load {
    /// Time after which half of a report counts as outdated.
    const REPORT_HALF_LIFE: Duration = Duration::from_millis(1500);

    /// Smoothing factor of the error rate: one failure among successes costs little, two in a row cost much.
    const ERROR_GAIN: f64 = 0.4;

    /// Time after which the error rate counts half; an engine that gets no requests cannot lower it by
    /// successes.
    const ERROR_HALF_LIFE: Duration = Duration::from_secs(15);

    /// Age up to which a success shows that an engine works.
    const SUCCESS_MAX_AGE: Duration = Duration::from_secs(10);

    /// Age up to which a work factor holds; engines change theirs about that often.
    const FACTOR_MAX_AGE: Duration = Duration::from_millis(600);

    fn new(engine: &Engine, shared: Option<Shared>, usual: &Usual) -> Self {
        Self {
            service: engine.service.clone(),
            started_ms: engine.started_ms,
            in_flight: 0,
            pending_work: 0.0,
            held: Held::default(),
            other_requests: 0.0,
            reported_at: None,
            observation: None,
            sent: VecDeque::new(),
            shared,
            consecutive_failures: 0,
            avoided_until: None,
            error_rate: 0.0,
            error_at: None,
            success_at: None,
            latency: Latency::new(usual),
        }
    }

    /// Estimated number of requests at the engine, including waiting ones.
    ///
    /// For a service with shared loads, it is the newest report and what this node has sent since, and relaxes
    /// towards the mean of the service's engines as the report ages.
    pub fn estimated_requests(&self, now: BootTime) -> f64 {
        if let Some(shared) = self.shared.filter(|it| now < it.until) {
            return self.shared_estimate(shared.means.requests, now);
        }
        let age = self.reported_at.map(|it| now.saturating_sub(it));
        f64::from(self.in_flight) + self.other_requests * decay(age, Self::REPORT_HALF_LIFE)
    }

    fn shared_estimate(&self, mean: f64, now: BootTime) -> f64 {
        let (excess, sent_since) = match &self.observation {
            Some(it) => {
                let excess = f64::from(it.requests) - mean;
                let seen = self.sent.partition_point(|sent_at| *sent_at <= it.observed_at);
                (excess * self.observation_weight(now), self.sent.len() - seen)
            }
            None => (0.0, self.sent.len()),
        };
        (mean + excess + sent_since as f64).max(f64::from(self.in_flight))
    }

    /// Estimated number of requests that wait at the engine of a service with shared loads; 0 for other services.
    ///
    /// Relaxes towards the mean like the requests; those in excess of the slots wait in any case.
    pub fn estimated_waiting(&self, slots: u32, now: BootTime) -> f64 {
        let Some(shared) = self.shared.filter(|it| now < it.until) else {
            return 0.0;
        };
        let mean = shared.means.waiting;
        let stated = self.observation.map_or(mean, |it| f64::from(it.waiting));
        let reported = mean + (stated - mean) * self.observation_weight(now);
        let excess = self.shared_estimate(shared.means.requests, now) - f64::from(slots.max(1));
        reported.max(excess)
    }

    /// Weight of the newest report against the mean.
    fn observation_weight(&self, now: BootTime) -> f64 {
        decay(self.report_age(now), Self::REPORT_HALF_LIFE)
    }

    /// Time that work takes at the engine relative to the normal time; 1 if no recent report states it.
    pub fn work_factor(&self, now: BootTime) -> f64 {
        let recent = self.observation.filter(|it| it.age(now) < Self::FACTOR_MAX_AGE);
        recent.and_then(|it| it.work_factor).unwrap_or(1.0)
    }

    /// Age of the newest report, whichever node received it.
    pub fn report_age(&self, now: BootTime) -> Option<Duration> {
        self.observation.map(|it| it.age(now))
    }

    /// Records an observation unless a newer one is known; returns whether it is the newest.
    fn observe(&mut self, observation: Observation) -> bool {
        let is_newest = self.observation.is_none_or(|it| observation.replaces(&it));
        if is_newest {
            self.observation = Some(observation);
        }
        is_newest
    }

    /// Estimated share of failures among the responses.
    pub fn error_rate(&self, now: BootTime) -> f64 {
        let age = self.error_at.map(|it| now.saturating_sub(it));
        self.error_rate * decay(age, Self::ERROR_HALF_LIFE)
    }

    /// Whether it recently served a request of this node successfully.
    pub fn has_recent_success(&self, now: BootTime) -> bool {
        self.success_at
            .is_some_and(|it| now.saturating_sub(it) <= Self::SUCCESS_MAX_AGE)
    }

    /// Whether the engine failed recently and should get no requests while others can take them.
    pub fn is_avoided(&self, now: BootTime) -> bool {
        self.avoided_until.is_some_and(|it| now < it)
    }
}

/// The loads of all engines to which this node sent requests, or of which other nodes told it.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    engines: HashMap<Upstream, Load>,
    /// Latencies by service.
    usual: HashMap<Name, Usual>,
    sharing: Sharing,
    /// Tokens of requests by service.
    usages: HashMap<Name, Usage>,
}

impl Loads {
    /// Time for which an engine is avoided after a failure; doubled with each consecutive one.
    const FAILURE_BACKOFF: Duration = Duration::from_millis(500);

    /// Maximum number of doublings, which limits the backoff to 8 s.
    const MAX_DOUBLINGS: u32 = 4;

    /// Time for which an engine that refused because it is full is avoided: about the delay of its reports.
    const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);

    /// Time for which an engine is avoided after a response without end: the longest one, because its head
    /// counts as a success each time, and each such response costs the node as much as its limits allow.
    const OVERLONG_BACKOFF: Duration = Duration::from_secs(8);

    /// The load of an engine; `None` if nothing was sent to this run of it and no other node told of it.
    pub fn get(&self, engine: &Engine) -> Option<&Load> {
        self.engines
            .get(&engine.id)
            .filter(|it| it.started_ms == engine.started_ms)
    }

    /// Time to the first byte of an engine relative to that of the whole service, for the next request; 1 while too little is
    /// known.
    pub fn latency_ratio(&self, load: &Load) -> f64 {
        load.latency.ratio(&self.usual(&load.service))
    }

    /// Whether nodes tell each other the loads of a service's engines: one of them stated a work factor within the
    /// last minute, or the configuration says so.
    pub fn is_shared(&self, service: &str, now: BootTime) -> bool {
        self.sharing.get(service).is_some_and(|it| now < it.until)
    }

    /// Mean of the reported requests at the engines of a service with shared loads, weighted by the reports' ages;
    /// `None` if its loads are not shared, or there is no recent report.
    pub fn mean_requests(&self, service: &str, now: BootTime) -> Option<f64> {
        if !self.is_shared(service, now) {
            return None;
        }
        let mut mean = WeightedMean::default();
        let loads = self.engines.values().filter(|it| *it.service == *service);
        loads.for_each(|it| mean.add(it, now));
        mean.value().map(|it| it.requests)
    }

    /// The services whose loads nodes tell each other, with the mean numbers of requests that wait at their engines.
    pub fn shared_services(&self, now: BootTime) -> Vec<(Name, f64)> {
        self.sharing
            .services(now)
            .map(|(name, means)| (name.clone(), means.waiting))
            .collect()
    }

    /// The mean towards which the estimates of a service with shared loads relax; 0 if none is known.
    pub(crate) fn shared_mean(&self, service: &str) -> f64 {
        self.sharing.get(service).map_or(0.0, |it| it.means.requests)
    }

    /// Sizes of this node's recent requests to a service; 0 if none is known.
    pub fn request_size(&self, service: &str, now: BootTime) -> Size {
        self.usages
            .get(service)
            .map_or(Size::default(), |it| it.size(now))
    }

    /// Replaces the services whose loads are shared by the configuration.
    pub fn configure_sharing(&mut self, services: impl IntoIterator<Item = Name>, now: BootTime) {
        if self.sharing.configure(HashSet::from_iter(services)) {
            self.refresh(now);
        }
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, engine: &Engine, work: Work, now: BootTime) {
        self.usual
            .entry(engine.service.clone())
            .or_default()
            .record_request();
        let usual = self.usual(&engine.service);
        let Some(load) = self.entry(engine) else { return };
        load.latency.record_sent(&usual);
        load.in_flight += 1;
        load.sent.push_back(now);
        load.pending_work += work;
    }

    /// Records that the response to a request has begun, or that there will be none.
    pub fn record_response_start(&mut self, engine: &Engine, work: Work) {
        let Some(load) = self.current(engine) else { return };
        load.pending_work = (load.pending_work - work).max(0.0);
        load.latency.record_response_start();
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, engine: &Engine) {
        let Some(load) = self.current(engine) else { return };
        load.in_flight = load.in_flight.saturating_sub(1);
        load.sent.pop_front();
        load.latency.limit_awaited(load.in_flight);
    }

    /// Records the memory that a request holds from now on, which is about to be sent.
    pub fn record_held(&mut self, engine: &Engine, footprint: &Footprint, now: BootTime) {
        if let Some(load) = self.entry(engine) {
            load.held.add(footprint);
        }
        let usage = self.usages.entry(engine.service.clone()).or_default();
        usage.add(footprint, now);
    }

    /// Records that a request holds no memory any longer.
    pub fn record_released(&mut self, engine: &Engine, footprint: &Footprint, now: BootTime) {
        if let Some(load) = self.current(engine) {
            load.held.remove(footprint);
        }
        if let Some(usage) = self.usages.get_mut(&engine.service) {
            usage.remove(footprint, now);
        }
    }

    /// Records a load report that this node received; returns the observation to be passed on to other nodes.
    pub fn record_report(&mut self, engine: &Engine, report: LoadReport, now: BootTime) -> Observation {
        if let Some(load) = self.entry(engine) {
            let total = f64::from(report.requests());
            load.other_requests = (total - f64::from(load.in_flight)).max(0.0);
            load.reported_at = Some(now);
        }
        let observation = Observation::of_report(engine, &report, now);
        self.apply_observation(engine, observation, now);
        observation
    }

    /// Applies an observation of any node. Returns whether it is the newest one; others change nothing, nor do those
    /// that are too old.
    pub fn apply_observation(&mut self, engine: &Engine, observation: Observation, now: BootTime) -> bool {
        if observation.age(now) >= Observation::MAX_AGE {
            return false;
        }
        if !self.entry(engine).is_some_and(|it| it.observe(observation)) {
            return false;
        }
        let begins = observation.work_factor.is_some()
            && self
                .sharing
                .record_factor(&engine.service, observation.observed_at, now);
        if begins || self.sharing.is_due(now) {
            self.refresh(now);
        }
        true
    }

    /// Computes the means of the shared services again.
    fn refresh(&mut self, now: BootTime) {
        let mut means: HashMap<Name, WeightedMean> = HashMap::new();
        for load in self.engines.values() {
            means.entry(load.service.clone()).or_default().add(load, now);
        }
        let values = means
            .into_iter()
            .filter_map(|(name, it)| Some((name, it.value()?)));
        self.sharing.refresh(&values.collect(), now);
        for load in self.engines.values_mut() {
            load.shared = self.sharing.get(&load.service);
        }
    }

    /// Records a response whose first byte took `ratio` times as long as usual for the service.
    ///
    /// Returns the result if the engine got the request to show whether it is still slow.
    pub fn record_success(&mut self, engine: &Engine, ratio: f64, now: BootTime) -> Option<Trial> {
        let load = self.entry(engine)?;
        load.consecutive_failures = 0;
        load.avoided_until = None;
        load.error_rate -= Load::ERROR_GAIN * load.error_rate;
        load.success_at = Some(now);
        let trial = load.latency.record_sample(ratio);
        let others = self.engines.values().filter(|it| it.service == engine.service);
        let usual = self.usual.entry(engine.service.clone()).or_default();
        usual.refresh(others.map(|it| &it.latency));
        trial
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, engine: &Engine, failure: Failure, now: BootTime) {
        let Some(load) = self.entry(engine) else { return };
        load.latency.record_failure();
        let backoff = match failure {
            Failure::Refused => Self::REFUSAL_BACKOFF,
            Failure::Overlong => Self::OVERLONG_BACKOFF,
            // The caller is to blame, or this node.
            Failure::Unread => return,
            Failure::Failed => {
                load.error_rate = load.error_rate(now);
                load.error_rate += Load::ERROR_GAIN * (1.0 - load.error_rate);
                load.error_at = Some(now);
                return;
            }
            _ => {
                load.consecutive_failures += 1;
                Self::FAILURE_BACKOFF * 2_u32.pow((load.consecutive_failures - 1).min(Self::MAX_DOUBLINGS))
            }
        };
        load.avoided_until = load.avoided_until.max(Some(now + backoff));
    }

    /// Drops the state of engines that are no longer listed and have no request in progress.
    pub fn retain<'a>(&mut self, listed: impl Iterator<Item = &'a Arc<Engine>>) {
        let listed: HashMap<_, _> = listed.map(|it| (it.id.clone(), it)).collect();
        self.engines.retain(|id, it| {
            it.in_flight > 0
                || listed
                    .get(id)
                    .is_some_and(|listed| listed.started_ms == it.started_ms)
        });
        let services: HashSet<_> = listed.values().map(|it| &it.service).collect();
        self.usages
            .retain(|service, it| it.has_requests() || services.contains(service));
        let services: HashSet<_> = self.engines.values().map(|it| &it.service).collect();
        self.usual.retain(|service, _| services.contains(service));
    }

    fn usual(&self, service: &str) -> Usual {
        self.usual.get(service).copied().unwrap_or_default()
    }

    /// The state of a run; `None` if a later run of the engine is known. Its requests to the earlier run may end after that.
    fn entry(&mut self, engine: &Engine) -> Option<&mut Load> {
        let (shared, usual) = (self.sharing.get(&engine.service), self.usual(&engine.service));
        let load = self
            .engines
            .entry(engine.id.clone())
            .or_insert_with(|| Load::new(engine, shared, &usual));
        if load.started_ms < engine.started_ms {
            *load = Load::new(engine, shared, &usual);
        }
        (load.started_ms == engine.started_ms).then_some(load)
    }

    /// The state of a run that has requests.
    fn current(&mut self, engine: &Engine) -> Option<&mut Load> {
        let load = self.engines.get_mut(&engine.id);
        load.filter(|it| it.started_ms == engine.started_ms)
    }
}
