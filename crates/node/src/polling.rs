//! Reads load reports and cache events of the engines in this node's subset.
//!
//! The number of threads and the rate of reads are bounded and do not depend on the size of the fleet. An engine that
//! does not answer is read less often and holds up at most one thread.

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

/// Threads that read.
const WORKERS: usize = 4;

/// Least interval between two reads of an engine.
const INTERVAL: Duration = Duration::from_secs(1);

/// Least time between the starts of two reads of any engines: at most 20 reads a second.
const SPACING: Duration = Duration::from_millis(50);

/// Interval between two reads of an engine that did not answer.
const FAILED_INTERVAL: Duration = Duration::from_secs(4);

/// Engine as the reader sees it.
#[derive(Debug)]
struct Source {
    group: Arc<UpstreamPool>,
    upstream: Upstream,
    address: SocketAddr,
    busy: AtomicBool,
    /// Time of the next read in milliseconds since the node's start.
    due: AtomicU64,
    /// Sequence number of the next cache event.
    next_event: AtomicU64,
}

type Sources = HashMap<(Name, Upstream), Arc<Source>>;

/// Reads until the node stops.
pub(crate) fn run(shared: &Shared) {
    let (tasks, queue) = bounded(WORKERS);
    std::thread::scope(|scope| {
        for _ in 0..WORKERS {
            let queue = queue.clone();
            scope.spawn(move || work(shared, &queue));
        }
        drop(queue);
        schedule(shared, &tasks);
        drop(tasks);
    });
}

fn schedule(shared: &Shared, tasks: &Sender<Arc<Source>>) {
    let mut sources = Sources::new();
    while shared.phase.get() < Phase::Stopped {
        let sweep = Instant::now();
        refresh(shared, &mut sources);
        for source in sources.values() {
            let due = source.due.load(Ordering::Relaxed) <= millis(shared.now());
            if due && !source.busy.swap(true, Ordering::AcqRel) {
                if tasks.try_send(Arc::clone(source)).is_err() {
                    source.busy.store(false, Ordering::Release);
                }
                std::thread::sleep(SPACING);
            }
            if shared.phase.get() >= Phase::Stopped {
                return;
            }
        }
        shared.pause(INTERVAL.saturating_sub(sweep.elapsed()).max(SPACING));
    }
}

/// Takes over the current subset of each pool of engines.
fn refresh(shared: &Shared, sources: &mut Sources) {
    let view = shared.catalog.view();
    let mut current = Sources::new();
    for (pool, group) in shared.upstreams.pools().iter() {
        if view.pool(pool).is_none_or(|it| it.role != Role::Engine) {
            continue;
        }
        for engine in group.status().engines {
            let Some(address) = group.address(&engine.name) else {
                continue;
            };
            let key = (pool.clone(), engine.name.clone());
            let known = sources.remove(&key).filter(|it| it.address == address);
            let source = known.unwrap_or_else(|| Arc::new(Source::new(group, engine.name, address)));
            current.insert(key, source);
        }
    }
    *sources = current;
}

fn work(shared: &Shared, queue: &Receiver<Arc<Source>>) {
    while let Ok(source) = queue.recv() {
        let interval = match source.read(shared) {
            Ok(()) => INTERVAL,
            Err(_) => {
                shared.metrics.report_failures.inc();
                FAILED_INTERVAL
            }
        };
        // A tenth less, so that the next sweep does not come just before.
        let due = shared.now() + interval.mul_f64(0.9);
        source.due.store(millis(due), Ordering::Relaxed);
        source.busy.store(false, Ordering::Release);
    }
}

impl Source {
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
        let report = engines.report(self.address)?;
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
