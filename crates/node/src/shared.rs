//! State that all threads of a node share.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use config::settings::Settings;
use config::view::{KeyHash, hash_key};
use model::Incarnation;
use policy::balance::Place;
use policy::cascade::Planner;
use rand::rngs::{OsRng, SmallRng};
use rand::{Rng, SeedableRng, TryRngCore};

use crate::billing::Biller;
use crate::catalog::Catalog;
use crate::http::gate;
use crate::latencies::Latencies;
use crate::metrics::Metrics;
use crate::phase::{Cell, Phase};
use crate::ports::Ports;
use crate::ratings::Ratings;
use crate::secrets::Secrets;
use crate::session::Keys;
use crate::upstreams::Directory;

/// Interval at which a sleeping thread checks whether the node stops.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// State that all threads of a node share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub settings: Settings,
    pub ports: Ports,
    pub incarnation: Incarnation,
    pub metrics: Metrics,
    pub catalog: Catalog,
    pub upstreams: Directory,
    pub biller: Biller,
    pub planner: Planner,
    pub ratings: Ratings,
    pub latencies: Latencies,
    pub phase: Cell,
    pub sessions: Keys,
    pub admin_key: Option<KeyHash>,
    /// Requests under way.
    pub open: AtomicUsize,
    /// When an entry answer last named this node.
    pub named_at: Mutex<Option<Instant>>,
    start: Instant,
    next_request: AtomicU64,
    next_seed: AtomicU64,
}

impl Shared {
    /// State of a node that starts now.
    pub(crate) fn new(settings: Settings, secrets: Secrets, ports: Ports) -> Self {
        let session_keys = [Some(secrets.session), secrets.previous_session];
        let session_keys = session_keys.into_iter().flatten().collect();
        let incarnation = Incarnation::from_bits(OsRng.unwrap_err().random());
        let start = Instant::now();
        let place = Place {
            name: settings.node.host.clone(),
            domain: settings.node.failure_domain.clone(),
        };
        Self {
            sessions: Keys::new(session_keys),
            admin_key: secrets.admin.as_deref().map(hash_key),
            planner: Planner::new(incarnation),
            ratings: Ratings::default(),
            latencies: Latencies::default(),
            biller: Biller::new(incarnation, &settings.billing),
            upstreams: Directory::new(place, ports.engines.block_tokens(), start),
            settings,
            ports,
            incarnation,
            metrics: Metrics::new(),
            catalog: Catalog::default(),
            phase: Cell::default(),
            open: AtomicUsize::new(0),
            named_at: Mutex::new(None),
            start,
            next_request: AtomicU64::new(0),
            next_seed: AtomicU64::new(OsRng.unwrap_err().random()),
        }
    }

    /// Time since the node started.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Whether callers may be sent to this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.upstreams.is_known() && !gate::is_stale(self)
    }

    /// Sleeps for `time`, or less if the node stops.
    pub(crate) fn pause(&self, time: Duration) {
        let end = Instant::now() + time;
        while self.phase.get() < Phase::Stopped {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left.min(STOP_CHECK));
        }
    }

    /// A generator for the choices of one request; it needs no lock and no system call.
    pub(crate) fn rng(&self) -> SmallRng {
        SmallRng::seed_from_u64(self.next_seed.fetch_add(1, Ordering::Relaxed))
    }

    /// Identity of a new request, unique over all nodes and restarts.
    pub(crate) fn request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.incarnation)
    }
}
