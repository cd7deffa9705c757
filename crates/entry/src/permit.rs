//! Permits for requests to engines that limit the requests of all nodes together.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use forward::BootTime;
use forward::directory::Engine;
use forward::permit::{Decision, Fleet, Issuer, Permits as NodePermits};
use forward::request_limit::{Rate, Report};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::owner::{self, Owner};
use crate::pending::PendingReplies;
use crate::request_limit::{self, LimitReport};
use crate::shared::{HostCounts, Shared, lock};
use crate::{clock, datagrams};

/// Range of the time for which a request waits for a reply: at least some times the round trip between two failure
/// domains, and more if it also waits for the permit itself.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(50);
const MAX_REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// State of the exchange of permits.
#[derive(Debug)]
pub(crate) struct Permits {
    issuer: Mutex<Issuer>,
    fleet: Mutex<Fleet>,
    /// Times that this node had refuted its death when it last issued a permit.
    refutations: AtomicU32,
    pending: PendingReplies<PermitReply>,
}

impl Permits {
    pub(crate) fn new(started_at: BootTime) -> Self {
        Self {
            issuer: Mutex::new(Issuer::new(started_at)),
            fleet: Mutex::default(),
            refutations: AtomicU32::new(0),
            pending: PendingReplies::default(),
        }
    }
}

/// Asks the issuer of an engine's permits for one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PermitQuery {
    number: u64,
    /// What the asking node knows about the limit.
    limit: LimitReport,
    max_wait_ms: u64,
    /// Hosts that the asking node knows.
    hosts: usize,
}

/// The reply to a [`PermitQuery`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PermitReply {
    number: u64,
    granted: bool,
    wait_ms: u64,
    /// What the issuer knows about the limit.
    limit: Option<LimitReport>,
}

/// Gets a permit for a request to an engine, which may wait for up to `max_wait`.
///
/// After a denial, this node asks for no permit for the engine for a while.
pub(crate) async fn acquire(shared: &Arc<Shared>, engine: &Engine, max_wait: Duration) -> Decision {
    if let Some(decision) = use_permit(shared, engine, max_wait) {
        return decision;
    }
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(ask(shared.clone(), engine.clone(), max_wait, sender));
    let reply_timeout = max_wait.clamp(MIN_REPLY_TIMEOUT, MAX_REPLY_TIMEOUT);
    let Ok(Ok(decision)) = timeout(reply_timeout, receiver).await else {
        log::info!(engine = *engine.id; "no reply to a permit query in time");
        shared.metrics.permits.get_or_create(&[("result", "late")]).inc();
        if let Some(permits) = lock(&shared.statements).limits.permits(engine) {
            permits.record_silence(clock::now());
        }
        return Decision::Denied(NodePermits::NO_ISSUER_BACKOFF);
    };
    decision
}

/// Uses a permit that this node has; `None` if it has none.
fn use_permit(shared: &Shared, engine: &Engine, max_wait: Duration) -> Option<Decision> {
    let mut statements = lock(&shared.statements);
    let Some(permits) = statements.limits.permits(engine) else {
        return Some(Decision::Granted(Duration::ZERO));
    };
    permits.take(max_wait, clock::now()).map(Decision::Granted)
}

/// Asks for a permit and passes the decision on to a request. If that has gone on, this node keeps the permit.
async fn ask(shared: Arc<Shared>, engine: Engine, max_wait: Duration, request: oneshot::Sender<Decision>) {
    let asked_at = clock::now();
    let report = lock(&shared.statements).limits.report(&engine.id, asked_at);
    let Some((report, rate)) = report.and_then(|it| Some((it.clone(), it.rate?))) else {
        // The limit ended at this moment; the request may have as well.
        let _ = request.send(Decision::Granted(Duration::ZERO));
        return;
    };
    let decision = match owner::of(&shared, &engine.id) {
        Owner::Local => Some(issue(&shared, &report, rate, max_wait)),
        Owner::Remote(address) => query(&shared, &report, max_wait, address).await,
    };
    let label = match decision {
        Some(Decision::Granted(_)) => "granted",
        Some(Decision::Denied(_)) => "denied",
        None => "no_reply",
    };
    shared.metrics.permits.get_or_create(&[("result", label)]).inc();
    let Some(decision) = decision else {
        return;
    };
    // Recorded first, as the request that learns of it may ask again.
    if let Decision::Denied(wait) = decision
        && let Some(permits) = lock(&shared.statements).limits.permits(&engine)
    {
        let hosts = shared.host_counts().reachable;
        permits.record_denial(wait, rate, hosts, clock::now(), &mut rand::rng());
    }
    if let Err(Decision::Granted(wait)) = request.send(decision)
        && let Some(permits) = lock(&shared.statements).limits.permits(&engine)
    {
        permits.record_grant(wait, asked_at, clock::now());
    }
}

/// The reply to a query of another node.
pub(crate) fn reply_to(shared: &Shared, query: &PermitQuery) -> PermitReply {
    let engine = query.limit.engine();
    request_limit::apply(shared, &query.limit, "permit query");
    record_hosts(shared, query.hosts);
    let report = lock(&shared.statements).limits.report(engine, clock::now());
    let max_wait = Duration::from_millis(query.max_wait_ms);
    let decision = match report.as_ref().map(|it| (it, it.rate)) {
        _ if owner::of(shared, engine) != Owner::Local => Decision::Denied(NodePermits::NO_ISSUER_BACKOFF),
        Some((report, Some(rate))) => issue(shared, report, rate, max_wait),
        Some((_, None)) => Decision::Granted(Duration::ZERO),
        None => Decision::Denied(NodePermits::NO_ISSUER_BACKOFF),
    };
    let (granted, wait) = match decision {
        Decision::Granted(wait) => (true, wait),
        Decision::Denied(wait) => (false, wait),
    };
    PermitReply {
        number: query.number,
        granted,
        // Rounded up, so that no permit is used early.
        wait_ms: wait.as_micros().div_ceil(1000) as u64,
        limit: report.as_ref().map(LimitReport::new),
    }
}

/// Passes a reply to the query that it answers; one that is too late for its permit to be valid is dropped.
pub(crate) fn deliver_reply(shared: &Shared, reply: PermitReply) {
    shared.permits.pending.deliver(reply.number, reply);
}

/// Forgets engines for which another node has become the issuer.
pub(crate) fn forget_others(shared: &Shared) {
    lock(&shared.permits.issuer).retain(|it| owner::of(shared, it) == Owner::Local);
}

fn issue(shared: &Shared, report: &Report, rate: Rate, max_wait: Duration) -> Decision {
    let now = clock::now();
    let rate = rate * fleet_share(shared);
    let refutations = lock(&shared.members).local().version.refutations();
    let was_alive = shared.permits.refutations.swap(refutations, Ordering::SeqCst) == refutations;
    let mut issuer = lock(&shared.permits.issuer);
    // Other nodes took this one for dead, and another one has issued permits.
    issuer.retain(|_| was_alive);
    issuer.request(&report.engine, rate, report.since, max_wait, now)
}

/// Share of the fleet that this node reaches.
pub(crate) fn fleet_share(shared: &Shared) -> f64 {
    let HostCounts { reachable, known } = shared.host_counts();
    lock(&shared.permits.fleet).share(reachable, known, clock::now())
}

/// Records the number of hosts that another node knows.
pub(crate) fn record_hosts(shared: &Shared, hosts: usize) {
    lock(&shared.permits.fleet).record(hosts, clock::now());
}

async fn query(shared: &Shared, report: &Report, max_wait: Duration, issuer: SocketAddr) -> Option<Decision> {
    let pending = shared.permits.pending.begin();
    let message = PermitQuery {
        number: pending.number(),
        limit: LimitReport::new(report),
        max_wait_ms: max_wait.as_millis() as u64,
        hosts: shared.host_counts().known,
    };
    datagrams::send_permit_query(&shared.socket, &message, issuer);
    let Some(reply) = pending.reply(max_wait + NodePermits::RETENTION).await else {
        log::info!(engine = *report.engine, issuer:%; "no reply to a permit query");
        return None;
    };
    if let Some(limit) = &reply.limit {
        request_limit::apply(shared, limit, "permit reply");
    }
    let wait = Duration::from_millis(reply.wait_ms);
    Some(match reply.granted {
        true => Decision::Granted(wait),
        false => Decision::Denied(wait),
    })
}
