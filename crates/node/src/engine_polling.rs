//! Polling of load reports and cache events from the engines in this node's subset.
//!
//! The number of threads and the rate of reads are bounded and do not depend on the size of the fleet. An
//! engine that does not answer is polled less often and blocks at most one thread.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use model::object::pool::Role;
use model::{Name, Upstream};

use crate::phase::Phase;
use crate::shared::Shared;
use crate::upstreams::pool::UpstreamPool;

/// Number of reader threads.
const WORKER_COUNT: usize = 4;

/// Minimum interval between two reads of an engine.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between the starts of two reads of any engines, which limits the rate to 20 reads a second.
const MIN_SPACING: Duration = Duration::from_millis(50);

/// Interval until the next read of an engine that did not answer.
const RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// Polling state of an engine.
#[derive(Debug)]
struct PolledEngine {
    group: Arc<UpstreamPool>,
    upstream: Upstream,
    address: SocketAddr,
    busy: AtomicBool,
    /// Time of the next read, in milliseconds since the node's start.
    due: AtomicU64,
    /// Sequence number of the next cache event to read.
    next_event: AtomicU64,
}

type PolledEngines = HashMap<(Name, Upstream), Arc<PolledEngine>>;

/// Polls the engines until the node stops.
pub(crate) fn run(shared: &Shared) {
    let (tasks, queue) = bounded(WORKER_COUNT);
    std::thread::scope(|scope| {
        for _ in 0..WORKER_COUNT {
            let queue = queue.clone();
            scope.spawn(move || run_worker(shared, &queue));
        }
        drop(queue);
        schedule(shared, &tasks);
        drop(tasks);
    });
}

fn schedule(shared: &Shared, tasks: &Sender<Arc<PolledEngine>>) {
    let mut engines = PolledEngines::new();
    while shared.phase.get() < Phase::Stopped {
        let sweep_start = Instant::now();
        refresh(shared, &mut engines);
        for engine in engines.values() {
            let due = engine.due.load(Ordering::Relaxed) <= millis(shared.now());
            if due && !engine.busy.swap(true, Ordering::AcqRel) {
                if tasks.try_send(Arc::clone(engine)).is_err() {
                    engine.busy.store(false, Ordering::Release);
                }
                std::thread::sleep(MIN_SPACING);
            }
            if shared.phase.get() >= Phase::Stopped {
                return;
            }
        }
        shared.sleep(
            MIN_INTERVAL
                .saturating_sub(sweep_start.elapsed())
                .max(MIN_SPACING),
        );
    }
}

/// Updates `engines` to the current subset of each pool of engines, keeping the state of unchanged ones.
fn refresh(shared: &Shared, engines: &mut PolledEngines) {
    let view = shared.config.view();
    let mut current = PolledEngines::new();
    for (pool, group) in shared.upstreams.pools().iter() {
        if view.pool(pool).is_none_or(|it| it.role != Role::Engine) {
            continue;
        }
        for engine in group.status().engines {
            let Some(address) = group.address(&engine.name) else {
                continue;
            };
            let key = (pool.clone(), engine.name.clone());
            let known = engines.remove(&key).filter(|it| it.address == address);
            let engine = known.unwrap_or_else(|| Arc::new(PolledEngine::new(group, engine.name, address)));
            current.insert(key, engine);
        }
    }
    *engines = current;
}

fn run_worker(shared: &Shared, queue: &Receiver<Arc<PolledEngine>>) {
    while let Ok(engine) = queue.recv() {
        let interval = match engine.read(shared) {
            Ok(()) => MIN_INTERVAL,
            Err(_) => {
                shared.metrics.report_failures.inc();
                RETRY_INTERVAL
            }
        };
        // 10% less than the interval, so that the next sweep does not start just before the engine is due.
        let due = shared.now() + interval.mul_f64(0.9);
        engine.due.store(millis(due), Ordering::Relaxed);
        engine.busy.store(false, Ordering::Release);
    }
}

impl PolledEngine {
    fn new(group: &Arc<UpstreamPool>, upstream: Upstream, address: SocketAddr) -> Self {
        Self {
            group: Arc::clone(group),
            upstream,
            address,
            busy: AtomicBool::new(false),
            due: AtomicU64::new(0),
            next_event: AtomicU64::new(0),
        }
    }

    fn read(&self, shared: &Shared) -> Result<(), ports::engine::Error> {
        let engines = &shared.ports.engines;
        let report = engines.load_report(self.address)?;
        self.group.report_load(&self.upstream, &report);
        if !self.group.has_prefixes() {
            return Ok(());
        }
        let next = self.next_event.load(Ordering::Relaxed);
        let events = engines.cache_events(self.address, next)?;
        if let Some(last) = events.last() {
            self.next_event.store(last.sequence + 1, Ordering::Relaxed);
            self.group.apply_cache_events(&self.upstream, &events);
        }
        Ok(())
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
