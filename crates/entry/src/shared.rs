//! State that the tasks of a node share, in parts with a lock each.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use config::settings::entry::Settings;
use forward::BootTime;
use forward::cached::Cached;
use forward::configuration::Configuration;
use forward::directory::{Directory, Engine};
use forward::load::Loads;
use forward::placement::Size;
use forward::release::{Arm, Release, ResponseGrade, Stage};
use forward::retry_budget::{RetryBudget, RetryLimit, RetryReason};
use forward::work::{Work, WorkDistribution};
use membership::Table;
use model::{Incarnation, Name};
use tokio::sync::watch;

use crate::clock;
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::relay::Relay;

/// Smoothed times to the first byte for each token of the prompt, by route and model.
type Usual = HashMap<(Name, Option<Name>), Duration>;

/// State of a node.
#[derive(Debug)]
pub(crate) struct Shared {
    settings: RwLock<Arc<Settings>>,
    pub dialect: Arc<dyn Dialect>,
    pub incarnation: Incarnation,
    pub catalog: Mutex<Cached<Configuration>>,
    pub directory: Mutex<Directory>,
    pub loads: Mutex<Loads>,
    pub releases: Mutex<BTreeMap<Name, Release>>,
    pub members: Mutex<Table>,
    allowances: Mutex<HashMap<Name, RetryBudget>>,
    usual: Mutex<Usual>,
    lanes: Mutex<HashMap<Name, WorkDistribution>>,
    pub relay: Relay,
    pub metrics: Metrics,
    /// Whether the list of engines was read since the start.
    pub engines_known: AtomicBool,
    /// Requests of callers that were read and have no final answer.
    pub active: AtomicUsize,
    /// When a planned stop began.
    pub leaving: watch::Sender<Option<BootTime>>,
}

/// Locks a part of the state; a panic of another task does not make it unusable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Time without a reading of the engines after which entries may have lapsed, in heartbeats: an engine's entry
    /// lapses after three, and its last renewal may be one old when the outage begins.
    const OUTAGE_HEARTBEATS: u32 = 2;

    /// Lifetimes for which some callers keep an answer with entry addresses; stated by the platform.
    pub(crate) const LIFETIMES: u32 = 3;

    /// Prompt tokens that take about as long to read as a request usually waits in an engine's queue.
    const QUEUE_TOKENS: f64 = 2000.0;

    /// Smoothing factor of the usual times.
    const GAIN: f64 = 0.1;

    pub(crate) fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        members: Table,
        incarnation: Incarnation,
    ) -> Self {
        let outage = settings.store.heartbeat * Self::OUTAGE_HEARTBEATS;
        Self {
            settings: RwLock::new(Arc::new(settings)),
            dialect,
            incarnation,
            catalog: Mutex::new(Cached::empty()),
            directory: Mutex::new(Directory::new(outage)),
            loads: Mutex::default(),
            releases: Mutex::default(),
            members: Mutex::new(members),
            allowances: Mutex::default(),
            usual: Mutex::default(),
            lanes: Mutex::default(),
            relay: Relay::default(),
            metrics: Metrics::new(),
            engines_known: AtomicBool::new(false),
            active: AtomicUsize::new(0),
            leaving: watch::Sender::new(None),
        }
    }

    /// The present settings.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        let settings = self.settings.read().unwrap_or_else(PoisonError::into_inner);
        settings.clone()
    }

    /// Replaces the settings; the addresses in use stay those of the start.
    pub(crate) fn reload(&self, settings: Settings) {
        let mut present = self.settings.write().unwrap_or_else(PoisonError::into_inner);
        *present = Arc::new(settings);
    }

    /// Whether the node is about to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.borrow().is_some()
    }

    /// Whether no caller that asked for entry addresses before the planned stop still uses this node's.
    pub(crate) fn has_left(&self, now: BootTime) -> bool {
        let lifetime = self.settings().bounds.entry_lifetime * Self::LIFETIMES;
        let begin = *self.leaving.borrow();
        begin.is_some_and(|it| now.saturating_sub(it) >= lifetime)
    }

    /// Whether callers may be sent to this node.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.engines_known.load(Ordering::Relaxed) && self.is_current(clock::now())
    }

    /// Whether the configuration is recent enough for all requests.
    pub(crate) fn is_current(&self, now: BootTime) -> bool {
        let catalog = lock(&self.catalog);
        match catalog.value() {
            Some(it) if it.needs_keys() => catalog.is_fresh(now, self.settings().bounds.revocation),
            Some(_) => true,
            None => false,
        }
    }

    /// Number of live nodes, this one included.
    pub(crate) fn node_count(&self) -> usize {
        let members = lock(&self.members);
        1 + members.members().filter(|it| it.is_live()).count()
    }

    /// Counts a request to a service.
    pub(crate) fn count_request(&self, service: &Name, now: BootTime) {
        self.with_allowance(service, |it| it.record_request(now));
    }

    /// Takes the allowance for one further arrival at a service, if there is any.
    pub(crate) fn take_allowance(&self, service: &Name, need: RetryReason, now: BootTime) -> bool {
        let nodes = self.node_count();
        let taken = self.with_allowance(service, |it| it.try_acquire(need, nodes, now));
        if !taken {
            self.metrics.retries_denied.inc();
        }
        taken
    }

    fn with_allowance<T>(&self, service: &Name, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut allowances = lock(&self.allowances);
        let allowance = allowances.entry(service.clone()).or_insert_with(|| {
            let bounds = &self.settings().bounds;
            RetryBudget::new(RetryLimit {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                window: bounds.retry_window,
            })
        });
        f(allowance)
    }

    /// Engines of a service that may get a request, and whether they belong to the version that is brought in.
    ///
    /// `key` is the same for requests that should stay on one version.
    pub(crate) fn engines(&self, service: &Name, key: &[u8], now: BootTime) -> (Vec<Arc<Engine>>, Arm) {
        let all: Vec<_> = lock(&self.directory).available(service, now).cloned().collect();
        let mut releases = lock(&self.releases);
        let Some(release) = releases.get_mut(service) else {
            return (all, Arm::Old);
        };
        let target = release.order().target.clone();
        let (new, old): (Vec<_>, Vec<_>) = all.into_iter().partition(|it| it.version == target);
        match release.assign_arm(key, now) {
            Arm::New if !new.is_empty() => (new, Arm::New),
            // Without an old engine, the new ones are all that is left, unless they were found to be bad.
            Arm::Old if old.is_empty() && !release.is_halted() && release.stage() != Stage::Reverted => {
                (new, Arm::New)
            }
            _ => (old, Arm::Old),
        }
    }

    /// Notes the end of a request that ran on the old version of a release.
    pub(crate) fn note_end(&self, service: &Name, session: &[u8]) {
        if let Some(release) = lock(&self.releases).get_mut(service) {
            release.record_request_end(session, clock::now());
        }
    }

    /// Size of a request among those of its service; a new one is counted.
    pub(crate) fn size(&self, service: &Name, work: Option<Work>, is_new: bool) -> Option<Size> {
        let work = work?;
        let mut lanes = lock(&self.lanes);
        let lanes = lanes.entry(service.clone()).or_default();
        if is_new {
            lanes.record(work);
        }
        Some(Size {
            position: lanes.position(work),
            mean_work: lanes.mean(),
        })
    }

    /// Usual time to the first byte for a prompt of `tokens`, if it is known.
    pub(crate) fn usual(&self, route: &Name, model: Option<&Name>, tokens: u64) -> Option<Duration> {
        let key = (route.clone(), model.cloned());
        let per_token = lock(&self.usual).get(&key).copied()?;
        Some(per_token.mul_f64(Self::weight(tokens)))
    }

    /// Adds a measured time to the first byte for a prompt of `tokens`.
    pub(crate) fn note_first_byte(&self, route: &Name, model: Option<&Name>, tokens: u64, time: Duration) {
        let per_token = time.div_f64(Self::weight(tokens));
        let mut usual = lock(&self.usual);
        let known = usual.entry((route.clone(), model.cloned())).or_insert(per_token);
        *known = known.mul_f64(1.0 - Self::GAIN) + per_token.mul_f64(Self::GAIN);
    }

    /// What the time to the first byte grows with; the constant part stands for the wait in the engine's queue.
    fn weight(tokens: u64) -> f64 {
        tokens as f64 + Self::QUEUE_TOKENS
    }

    /// Counts an answer for the release under way on a service, if there is one.
    pub(crate) fn note_answer(&self, service: &Name, route: &Name, arm: Arm, grade: ResponseGrade) {
        if let Some(release) = lock(&self.releases).get_mut(service) {
            let halted = release.is_halted();
            release.record_response(self.incarnation, route, arm, grade);
            if release.is_halted() && !halted {
                log_halt(release);
            }
        }
    }
}

/// One line for a version that was found to be bad, with the answers that decided it.
pub(crate) fn log_halt(release: &Release) {
    let Some((route, answers)) = release.bad_route() else {
        return;
    };
    let order = release.order();
    log::warn!(
        service = *order.service, target = *order.target, route = **route, answers:?;
        "release halted: bad answers"
    );
}
