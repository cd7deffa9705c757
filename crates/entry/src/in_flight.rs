//! Requests that engines process.

use std::sync::Arc;

use forward::BootTime;
use forward::directory::Engine;
use forward::engine_memory::Footprint;
use forward::work::Work;

use crate::occupancy::Place;
use crate::shared::{Shared, lock};
use crate::{admission, clock};

/// Estimated number of requests from which on some wait at an engine. Estimates without a new report are fractions.
const MIN_WAITING: f64 = 1.0;

/// Counts a request in the load of an engine until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    pub engine: Arc<Engine>,
    /// Work that is pending until the response starts.
    pending: Option<Work>,
    /// What it holds of the engine's memory, if that is known.
    footprint: Option<Footprint>,
    /// Its place, if the engine is brittle.
    place: Option<Place>,
    /// Whether requests waited at the engine when this one was sent.
    pub was_queued: bool,
    /// When the engine began to answer it.
    began_at: Option<BootTime>,
}

impl InFlight {
    /// Counts a request that is about to be sent.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        engine: &Arc<Engine>,
        work: Work,
        footprint: Option<Footprint>,
        place: Option<Place>,
    ) -> Self {
        let now = clock::now();
        let mut loads = lock(&shared.loads);
        let waiting = loads
            .get(engine)
            .map_or(0.0, |it| it.estimated_waiting(engine.slots, now));
        loads.record_sent(engine, work, now);
        if let Some(footprint) = &footprint {
            loads.record_held(engine, footprint, now);
        }
        drop(loads);
        Self {
            shared: shared.clone(),
            engine: engine.clone(),
            pending: Some(work),
            footprint,
            place,
            was_queued: waiting >= MIN_WAITING,
            began_at: None,
        }
    }

    /// Records that the engine turned the request away.
    pub(crate) fn record_refusal(&mut self) {
        if let Some(place) = &mut self.place {
            place.record_refusal();
        }
    }

    /// Records that the engine has begun to answer the request.
    pub(crate) fn record_begin(&mut self) {
        self.began_at = Some(clock::now());
    }

    /// Records that the response has started.
    pub(crate) fn record_response_start(&mut self) {
        if let Some(work) = self.pending.take() {
            lock(&self.shared.loads).record_response_start(&self.engine, work);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.record_response_start();
        if let Some(began_at) = self.began_at {
            let time = clock::now().saturating_sub(began_at);
            admission::record_rest(&self.shared, &self.engine.service, time);
        }
        let mut loads = lock(&self.shared.loads);
        loads.record_end(&self.engine);
        if let Some(footprint) = &self.footprint {
            loads.record_released(&self.engine, footprint, clock::now());
        }
    }
}
