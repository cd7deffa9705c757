//! State shared by the tasks of a node; each part has its own lock.

use std::collections::{BTreeMap, HashMap};
use std::future::pending;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use config::settings::entry::Settings;
use forward::BootTime;
use forward::admission::Admission;
use forward::cached::Cached;
use forward::configuration::{Configuration, Route};
use forward::congestion::Congestion;
use forward::directory::{Directory, Engine};
use forward::drain::{Arrival, Drain};
use forward::evacuation::Evacuations;
use forward::first_byte::FirstByteTimes;
use forward::fleet_part::Start;
use forward::load::Loads;
use forward::load_exchange::Exchange;
use forward::pace::UsualGaps;
use forward::permit::Fleet;
use forward::quarantine::Quarantine;
use forward::release::{Arm, Release, ResponseGrade, Stage, Subject};
use forward::response_time::ResponseTimes;
use forward::statement::{Access, Statements};
use forward::successor::Successor;
use forward::work::{Work, WorkDistribution};
use membership::Table;
use model::{Incarnation, Name};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::client::Client;
use crate::clock;
use crate::datagrams::Rejections;
use crate::detour::Room;
use crate::engine_end::EndChecks;
use crate::memory::{self, Budget};
use crate::metrics::Metrics;
use crate::model_choice::RouteModels;
use crate::network::Network;
use crate::occupancy::Occupancy;
use crate::open_requests::OpenRequests;
use crate::path::Paths;
use crate::permit::Permits;
use crate::protocol::{Protocol, RequestMetadata};
use crate::relay::Relay;
use crate::retry::Retries;

/// State of a node.
#[derive(Debug)]
pub(crate) struct Shared {
    settings: RwLock<Arc<Settings>>,
    pub protocol: Arc<dyn Protocol>,
    /// Connections to engines, the store and other nodes.
    pub client: Client,
    pub incarnation: Incarnation,
    /// Socket for datagrams to other nodes.
    pub socket: Arc<UdpSocket>,
    pub configuration: Mutex<Cached<Configuration>>,
    /// A newer configuration that other nodes state.
    pub successor: Mutex<Successor>,
    pub directory: Mutex<Directory>,
    pub loads: Mutex<Loads>,
    /// Loads that nodes tell each other.
    pub load_exchange: Mutex<Exchange>,
    /// Queues of the engines of services with shared loads.
    pub admissions: Mutex<HashMap<Name, Admission>>,
    /// What engines state about the requests that they take.
    pub statements: Mutex<Statements>,
    /// Failure domains that operators have ordered to evacuate.
    pub evacuations: Mutex<Evacuations>,
    pub permits: Permits,
    /// Requests that end engines.
    pub quarantine: Mutex<Quarantine>,
    pub releases: Mutex<BTreeMap<Name, Release>>,
    /// Wakes the exchange of notices about releases, if something must not wait for its next round.
    pub release_changed: Notify,
    pub members: Mutex<Table>,
    host_counts: Mutex<HostCounts>,
    pub retries: Retries,
    pub rejections: Rejections,
    pub first_byte_times: Mutex<FirstByteTimes>,
    pub response_times: Mutex<ResponseTimes>,
    pub usual_gaps: Mutex<UsualGaps>,
    route_models: Mutex<HashMap<Name, RouteModels>>,
    congestions: Mutex<HashMap<Name, Congestion>>,
    work_distributions: Mutex<HashMap<Name, WorkDistribution>>,
    pub relay: Relay,
    /// When the store last failed this node; `None` if the newest call has succeeded.
    pub store_failed_at: Mutex<Option<BootTime>>,
    pub occupancy: Occupancy,
    pub paths: Paths,
    pub end_checks: EndChecks,
    /// Room for requests of other nodes.
    pub room: Room,
    pub metrics: Metrics,
    /// Memory for requests under way and all bodies.
    pub memory: Arc<memory::Room>,
    /// Memory for the bodies of requests.
    pub request_memory: Arc<Budget>,
    /// Memory for the bodies of responses and for events on their way to callers.
    pub response_memory: Arc<Budget>,
    /// Whether the list of engines was read since the start.
    pub engines_known: AtomicBool,
    pub open_requests: OpenRequests,
    /// When the planned stop began.
    pub leaving: watch::Sender<Option<BootTime>>,
    /// Whether a stopping node takes no further connections.
    pub closing: watch::Sender<bool>,
}

/// Number of hosts of the fleet, as known to this node.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HostCounts {
    /// Hosts that are not declared dead, including the node's own.
    pub reachable: usize,
    /// These, and those that were lost recently and may only be cut off.
    pub known: usize,
}

impl HostCounts {
    fn of(members: &Table, now: BootTime) -> Self {
        let reachable = members.reachable_hosts().len();
        Self {
            reachable,
            known: reachable + members.lost_hosts(Fleet::LOST_RETENTION, now),
        }
    }
}

/// Locks a mutex; a panic in another task does not make the state unusable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Number of heartbeats without a read of the engines after which entries may have expired: an entry
    /// expires after three, and its last renewal may be one heartbeat old when the outage begins.
    const OUTAGE_HEARTBEATS: u32 = 2;

    /// Number of entry lifetimes for which some callers cache entry addresses, as specified by the platform.
    const CACHED_LIFETIMES: u32 = 3;

    /// Margin before the end of the grace period, for the exit of the process.
    const EXIT_MARGIN: Duration = Duration::from_millis(400);

    pub(crate) fn new(
        settings: Settings,
        protocol: Arc<dyn Protocol>,
        network: Arc<dyn Network>,
        members: Table,
        incarnation: Incarnation,
        socket: UdpSocket,
    ) -> Self {
        let outage = settings.store.heartbeat * Self::OUTAGE_HEARTBEATS;
        let (memory, descriptors) = (settings.node.memory, settings.node.descriptors);
        let link = settings.node.link;
        let memory_room = memory::Room::of_process(memory);
        let start = match settings.node.first_start {
            true => Start::Fleet,
            false => Start::Process,
        };
        Self {
            settings: RwLock::new(Arc::new(settings)),
            protocol,
            client: Client::new(network, memory),
            incarnation,
            socket: Arc::new(socket),
            configuration: Mutex::new(Cached::empty()),
            successor: Mutex::default(),
            directory: Mutex::new(Directory::new(outage)),
            loads: Mutex::default(),
            load_exchange: Mutex::default(),
            admissions: Mutex::default(),
            statements: Mutex::default(),
            evacuations: Mutex::default(),
            permits: Permits::new(clock::now()),
            quarantine: Mutex::default(),
            releases: Mutex::default(),
            release_changed: Notify::new(),
            host_counts: Mutex::new(HostCounts::of(&members, clock::now())),
            members: Mutex::new(members),
            retries: Retries::new(start, clock::now()),
            rejections: Rejections::default(),
            first_byte_times: Mutex::default(),
            response_times: Mutex::default(),
            usual_gaps: Mutex::default(),
            route_models: Mutex::default(),
            congestions: Mutex::default(),
            work_distributions: Mutex::default(),
            relay: Relay::new(link, clock::now()),
            store_failed_at: Mutex::default(),
            occupancy: Occupancy::new(clock::now()),
            paths: Paths::default(),
            end_checks: EndChecks::default(),
            room: Room::of_process(descriptors),
            metrics: Metrics::new(),
            request_memory: Budget::of_process(memory, &memory_room),
            response_memory: Budget::of_process(memory, &memory_room),
            memory: memory_room,
            engines_known: AtomicBool::new(false),
            open_requests: OpenRequests::default(),
            leaving: watch::Sender::new(None),
            closing: watch::Sender::new(false),
        }
    }

    /// The current settings.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        let settings = self.settings.read().unwrap_or_else(PoisonError::into_inner);
        settings.clone()
    }

    /// Replaces the settings; the sockets keep their addresses.
    pub(crate) fn reload(&self, settings: Settings) {
        let mut current = self.settings.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(settings);
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.borrow().is_some()
    }

    /// Course of a planned stop.
    pub(crate) fn drain(&self) -> Drain {
        let bounds = &self.settings().bounds;
        Drain::new(
            bounds.entry_lifetime * Self::CACHED_LIFETIMES,
            bounds.grace.saturating_sub(Self::EXIT_MARGIN),
        )
    }

    /// Whether a new request is served, or refused because the node is about to stop.
    pub(crate) fn accepts(
        &self,
        route: &Route,
        metadata: &RequestMetadata,
        deadline: BootTime,
        now: BootTime,
    ) -> bool {
        let Some(began) = *self.leaving.borrow() else {
            return true;
        };
        let arrival = Arrival {
            repeat: route.kind.repeat(),
            time_left: deadline.saturating_sub(now),
            expected: lock(&self.response_times).expected(&route.name, metadata.output_tokens(), now),
        };
        self.drain().accepts(&arrival, now.saturating_sub(began))
    }

    /// Completes at a time of the planned stop.
    pub(crate) async fn stop_reaches(&self, time: impl Fn(&Drain) -> Duration) {
        let mut leaving = self.leaving.subscribe();
        let began = leaving.wait_for(Option::is_some).await.map(|it| *it);
        // The sender is dropped with the node only.
        let Ok(Some(began)) = began else {
            return pending().await;
        };
        let elapsed = clock::now().saturating_sub(began);
        sleep(time(&self.drain()).saturating_sub(elapsed)).await;
    }

    /// Completes when a stopping node takes no further connections.
    pub(crate) async fn closes(&self) {
        let mut closing = self.closing.subscribe();
        if closing.wait_for(|it| *it).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Whether callers may be directed to this node.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.engines_known.load(Ordering::Relaxed) && self.is_current(clock::now())
    }

    /// Whether the configuration is recent enough to accept keys.
    pub(crate) fn is_current(&self, now: BootTime) -> bool {
        let cached = lock(&self.configuration);
        match cached.value() {
            Some(it) if it.needs_keys() => cached.is_fresh(now, self.settings().bounds.revocation),
            Some(_) => true,
            None => false,
        }
    }

    /// Hosts of the fleet, as of the last change of a member or the last status update.
    pub(crate) fn host_counts(&self) -> HostCounts {
        *lock(&self.host_counts)
    }

    /// Counts the hosts again.
    pub(crate) fn update_host_counts(&self, now: BootTime) {
        let counts = HostCounts::of(&lock(&self.members), now);
        *lock(&self.host_counts) = counts;
        self.update_fleet_part(now);
    }

    /// Whether a new request may be sent to an engine, by what operators have ordered and what the engine has stated.
    pub(crate) fn access(&self, engine: &Engine, now: BootTime) -> Access {
        match self.is_evacuated(engine) {
            true => Access::Evacuated,
            false => lock(&self.statements).access(engine, now),
        }
    }

    /// Whether an engine is not warm.
    pub(crate) fn is_cold(&self, engine: &Engine, now: BootTime) -> bool {
        lock(&self.statements).warm_ups.phase(engine, now).is_some()
    }

    /// Whether operators have ordered to evacuate an engine's failure domain.
    pub(crate) fn is_evacuated(&self, engine: &Engine) -> bool {
        lock(&self.evacuations).contains(&engine.domain)
    }

    /// Whether new requests may be sent to the engines of a service that the registry lists as usable.
    pub(crate) fn listed_access(&self, service: &Name, now: BootTime) -> Vec<Access> {
        let listed: Vec<_> = lock(&self.directory).available(service, now).cloned().collect();
        listed.iter().map(|it| self.access(it, now)).collect()
    }

    /// Engines of a service that are listed as usable and not evacuated.
    pub(crate) fn available(&self, service: &Name, now: BootTime) -> Vec<Arc<Engine>> {
        let mut all: Vec<_> = lock(&self.directory).available(service, now).cloned().collect();
        let evacuations = lock(&self.evacuations);
        all.retain(|it| !evacuations.contains(&it.domain));
        all
    }

    /// Engines of a service that may serve a request, and the version of the release that they belong to.
    ///
    /// The registry may list an engine that has stated that it leaves for some time.
    pub(crate) fn engines(
        &self,
        service: &Name,
        subject: Subject<'_>,
        now: BootTime,
    ) -> (Vec<Arc<Engine>>, Arm) {
        let mut all = self.available(service, now);
        {
            let statements = lock(&self.statements);
            all.retain(|it| statements.access(it, now) != Access::Leaving);
        }
        let mut releases = lock(&self.releases);
        let Some(release) = releases.get_mut(service) else {
            return (all, Arm::Old);
        };
        let target = release.order().target.clone();
        let (new, old): (Vec<_>, Vec<_>) = all.into_iter().partition(|it| it.version == target);
        match release.assign_arm(subject, now) {
            Arm::New if !new.is_empty() => (new, Arm::New),
            // Without old engines, the new ones serve all requests unless the new version was detected to be
            // bad.
            Arm::Old if old.is_empty() && !release.is_halted() && release.stage() != Stage::Reverted => {
                (new, Arm::New)
            }
            _ => (old, Arm::Old),
        }
    }

    /// Records the end of a request that the old version served.
    pub(crate) fn record_request_end(&self, service: &Name, session: &[u8]) {
        if let Some(release) = lock(&self.releases).get_mut(service) {
            release.record_request_end(session, clock::now());
        }
    }

    /// Counts a run of a request towards the mean work of the service.
    pub(crate) fn record_work(&self, service: &Name, work: Work) {
        let mut distributions = lock(&self.work_distributions);
        distributions.entry(service.clone()).or_default().record(work);
    }

    /// Mean work of a request; `None` if the requests of the service do not state their size.
    pub(crate) fn mean_work(&self, service: &Name) -> Option<Work> {
        lock(&self.work_distributions)
            .get(service)
            .map(WorkDistribution::mean)
    }

    /// Position of a request among the others of its service, from 0 for the shortest to 1.
    pub(crate) fn work_position(&self, service: &Name, work: Work) -> f64 {
        let distributions = lock(&self.work_distributions);
        distributions.get(service).map_or(0.0, |it| it.position(work))
    }

    /// Uses what is known about the models of a route.
    pub(crate) fn with_route_models<T>(&self, route: &Route, f: impl FnOnce(&mut RouteModels) -> T) -> T {
        let mut route_models = lock(&self.route_models);
        let known = route_models
            .entry(route.name.clone())
            .or_insert_with(|| RouteModels::new(&route.models));
        known.follow(&route.models);
        f(known)
    }

    /// Like [`Self::with_route_models`], without changing it.
    pub(crate) fn read_route_models<T>(&self, route: &Route, f: impl FnOnce(&RouteModels) -> T) -> T {
        let route_models = lock(&self.route_models);
        match route_models.get(&route.name).filter(|it| it.is_of(&route.models)) {
            Some(known) => f(known),
            None => f(&RouteModels::new(&route.models)),
        }
    }

    /// Records the number of requests that wait at an engine of a service.
    pub(crate) fn record_waiting(&self, service: &Name, waiting: u32, now: BootTime) {
        let mut congestions = lock(&self.congestions);
        congestions
            .entry(service.clone())
            .or_default()
            .record(waiting, now);
    }

    /// Factor by which the use of a service's engines is dearer than its price.
    pub(crate) fn price_factor(&self, service: &Name, now: BootTime) -> f64 {
        let congestions = lock(&self.congestions);
        congestions.get(service).map_or(1.0, |it| it.price_factor(now))
    }

    /// Counts a response for the release of a service, if there is one.
    pub(crate) fn record_response(&self, service: &Name, route: &Name, arm: Arm, grade: ResponseGrade) {
        if let Some(release) = lock(&self.releases).get_mut(service) {
            let was_halted = release.is_halted();
            release.record_response(self.incarnation, route, arm, grade);
            if release.is_halted() && !was_halted {
                log_halt(release);
                self.release_changed.notify_one();
            }
        }
    }
}

/// Logs that a version was detected to be bad, with the counts of responses that show it.
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
