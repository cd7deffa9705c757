//! Permits for requests to engines that limit the requests of all nodes together.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use forward::BootTime;
use forward::directory::Engine;
use forward::permit::{Decision, Fleet, Issuer, Permits as NodePermits};
use forward::request_limit::{Rate, Report};
use forward::warm_up::Allowance;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::owner::{self, Owner};
use crate::pending::PendingReplies;
use crate::request_limit::{self, LimitReport};
use crate::shared::{HostCounts, Shared, lock};
use crate::warm_up::{self, OutcomeReport, WarmUpReport};
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
    /// What the asking node knows about the warm-up, if the engine is not warm. Nodes of earlier versions do not send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    warm_up: Option<WarmUpReport>,
    /// Responses of the engine since the last query, which nodes of earlier versions send if its rate grows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    outcomes: Option<OutcomeReport>,
}

/// The reply to a [`PermitQuery`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PermitReply {
    number: u64,
    granted: bool,
    wait_ms: u64,
    /// What the issuer knows about the limit.
    limit: Option<LimitReport>,
    /// The warm-up, if the query was about one. Nodes of earlier versions do not send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    warm_up: Option<WarmUpReply>,
}

/// What the issuer knows about the warm-up of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct WarmUpReply {
    /// Rate of all permits for the engine.
    rate: Option<Rate>,
    is_over: bool,
    report: Option<WarmUpReport>,
}

/// What came of asking for a permit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Acquired {
    pub decision: Decision,
    /// Until when the permit may be used; `None` without one, also if the engine had no limit at this moment.
    pub valid_until: Option<BootTime>,
}

impl Acquired {
    fn without_permit(decision: Decision) -> Self {
        Self {
            decision,
            valid_until: None,
        }
    }
}

/// Gets a permit for a request to an engine, which may wait for up to `max_wait`.
///
/// After a denial, this node asks for no permit for the engine for a while.
pub(crate) async fn acquire(shared: &Arc<Shared>, engine: &Engine, max_wait: Duration) -> Acquired {
    if let Some(acquired) = use_permit(shared, engine, max_wait) {
        return acquired;
    }
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(ask(shared.clone(), engine.clone(), max_wait, sender));
    let reply_timeout = max_wait.clamp(MIN_REPLY_TIMEOUT, MAX_REPLY_TIMEOUT);
    let asked_at = clock::now();
    let Ok(Ok(decision)) = timeout(reply_timeout, receiver).await else {
        log::info!(engine = *engine.id; "no reply to a permit query in time");
        shared.metrics.permits.get_or_create(&[("result", "late")]).inc();
        if let Some(permits) = lock(&shared.statements).permits(engine, clock::now()) {
            permits.record_silence(clock::now());
        }
        return Acquired::without_permit(Decision::Denied(NodePermits::NO_ISSUER_BACKOFF));
    };
    let valid_until = match decision {
        Decision::Granted(wait) => Some(asked_at + wait + NodePermits::RETENTION),
        Decision::Denied(_) => None,
    };
    Acquired {
        decision,
        valid_until,
    }
}

/// Uses a permit that this node has; `None` if it has none.
fn use_permit(shared: &Shared, engine: &Engine, max_wait: Duration) -> Option<Acquired> {
    let now = clock::now();
    let mut statements = lock(&shared.statements);
    let Some(permits) = statements.permits(engine, now) else {
        return Some(Acquired::without_permit(Decision::Granted(Duration::ZERO)));
    };
    let permit = permits.take_permit(max_wait, now)?;
    Some(Acquired {
        decision: Decision::Granted(permit.start.saturating_sub(now)),
        valid_until: Some(permit.end),
    })
}

/// Asks for a permit and passes the decision on to a request. If that has gone on, this node keeps the permit.
async fn ask(shared: Arc<Shared>, engine: Engine, max_wait: Duration, request: oneshot::Sender<Decision>) {
    let asked_at = clock::now();
    let Some(question) = Question::about(&shared, &engine, asked_at) else {
        // The limit ended at this moment; the request may have as well.
        let _ = request.send(Decision::Granted(Duration::ZERO));
        return;
    };
    let issued = match owner::of(&shared, &engine.id) {
        Owner::Local => Some(issue(&shared, &engine.id, max_wait)),
        Owner::Remote(address) => query(&shared, &engine, &question, max_wait, address).await,
    };
    let decision = issued.map(|it| it.decision);
    let rate = issued.and_then(|it| it.rate).unwrap_or(question.rate);
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
        && let Some(permits) = lock(&shared.statements).permits(&engine, clock::now())
    {
        let hosts = shared.host_counts().reachable;
        permits.record_denial(wait, rate, hosts, clock::now(), &mut rand::rng());
    }
    if let Err(Decision::Granted(wait)) = request.send(decision)
        && let Some(permits) = lock(&shared.statements).permits(&engine, clock::now())
    {
        permits.record_grant(wait, asked_at, clock::now());
    }
}

/// What this node knows about the limit of an engine.
#[derive(Debug)]
struct Question {
    limit: Option<Report>,
    warm_up: Option<forward::warm_up::Report>,
    rate: Rate,
}

impl Question {
    /// `None` if the engine has no limit.
    fn about(shared: &Shared, engine: &Engine, now: BootTime) -> Option<Self> {
        let statements = lock(&shared.statements);
        Some(Self {
            limit: statements.limits.report(&engine.id, now),
            warm_up: statements.warm_ups.report(&engine.id, now),
            rate: statements.rate(engine, now)?,
        })
    }
}

/// The issuer's answer to a question.
#[derive(Debug, Clone, Copy)]
struct Issued {
    decision: Decision,
    /// Rate of all permits for the engine.
    rate: Option<Rate>,
    /// Whether the warm-up of the engine has ended.
    is_over: bool,
}

impl Issued {
    fn without_rate(decision: Decision) -> Self {
        Self {
            decision,
            rate: None,
            is_over: false,
        }
    }
}

/// The reply to a query of another node.
pub(crate) fn reply_to(shared: &Shared, query: &PermitQuery) -> PermitReply {
    let engine = query.limit.engine();
    // A query about a warm-up alone states no limit.
    if query.limit.is_stated() || query.warm_up.is_none() {
        request_limit::apply(shared, &query.limit, "permit query");
    }
    if let Some(report) = &query.warm_up {
        warm_up::apply(shared, report, "permit query");
    }
    if let Some(outcomes) = &query.outcomes {
        outcomes.apply(shared);
    }
    record_hosts(shared, query.hosts);
    let max_wait = Duration::from_millis(query.max_wait_ms);
    let issued = match owner::of(shared, engine) {
        Owner::Local => issue(shared, engine, max_wait),
        Owner::Remote(_) => Issued::without_rate(Decision::Denied(NodePermits::NO_ISSUER_BACKOFF)),
    };
    let statements = lock(&shared.statements);
    let report = statements.limits.report(engine, clock::now());
    let warm_up = statements.warm_ups.report(engine, clock::now());
    drop(statements);
    let decision = issued.decision;
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
        warm_up: query.warm_up.as_ref().map(|_| WarmUpReply {
            rate: issued.rate,
            is_over: issued.is_over,
            report: warm_up.as_ref().map(WarmUpReport::new),
        }),
    }
}

/// Passes a reply to the query that it answers; one that is too late for its permit to be valid is dropped.
pub(crate) fn deliver_reply(shared: &Shared, reply: PermitReply) {
    shared.permits.pending.deliver(reply.number, reply);
}

/// Forgets engines for which another node has become the issuer.
pub(crate) fn forget_others(shared: &Shared) {
    lock(&shared.permits.issuer).retain(|it| owner::of(shared, it) == Owner::Local);
    let mut statements = lock(&shared.statements);
    statements
        .warm_ups
        .retain_paces(|it| owner::of(shared, it) == Owner::Local);
}

/// Begins the wait before the first permit of engines of which this node is the issuer, before anybody asks.
pub(crate) fn prepare(shared: &Shared) {
    let now = clock::now();
    let reports = lock(&shared.statements).warm_ups.reports(now);
    for report in reports {
        if owner::of(shared, &report.engine) == Owner::Local {
            lock(&shared.permits.issuer).prepare(&report.engine, report.since, now);
        }
    }
}

/// Issues a permit for an engine, of which this node is the issuer.
fn issue(shared: &Shared, engine: &str, max_wait: Duration) -> Issued {
    let now = clock::now();
    let (rate, since) = match limit_of(shared, engine, now) {
        Some(Limit::Rate(rate, since)) => (rate, since),
        Some(Limit::None { is_over }) => {
            return Issued {
                is_over,
                ..Issued::without_rate(Decision::Granted(Duration::ZERO))
            };
        }
        None => return Issued::without_rate(Decision::Denied(NodePermits::NO_ISSUER_BACKOFF)),
    };
    let own_rate = rate * fleet_share(shared);
    let refutations = lock(&shared.members).local().version.refutations();
    let was_alive = shared.permits.refutations.swap(refutations, Ordering::SeqCst) == refutations;
    let mut issuer = lock(&shared.permits.issuer);
    // Other nodes took this one for dead, and another one has issued permits.
    issuer.retain(|_| was_alive);
    Issued {
        decision: issuer.request(&engine.into(), own_rate, since, max_wait, now),
        rate: Some(rate),
        is_over: false,
    }
}

/// How the issuer of an engine's permits limits it.
#[derive(Debug, Clone, Copy)]
enum Limit {
    /// To a rate, which has been limited for a time.
    Rate(Rate, Duration),
    None {
        is_over: bool,
    },
}

/// The limit of an engine; `None` if this node knows nothing about it.
fn limit_of(shared: &Shared, engine: &str, now: BootTime) -> Option<Limit> {
    let engine_share = engine_share(shared, engine, now);
    let mut statements = lock(&shared.statements);
    let warm_up = statements.warm_ups.report(engine, now);
    let allowance = statements
        .warm_ups
        .allowance(engine, |own| own * engine_share, now);
    let report = statements.limits.report(engine, now);
    let stated = report.as_ref().and_then(|it| Some((it.rate?, it.since)));
    let allowed = match allowance {
        Some(Allowance::Rate(rate)) => Some((rate, warm_up.map_or(Duration::ZERO, |it| it.since))),
        Some(Allowance::Over) | None => None,
    };
    let both = [stated, allowed].into_iter().flatten();
    let is_over = allowance == Some(Allowance::Over);
    // Another node may have issued permits since the older of the two.
    match both.reduce(|a, b| (a.0.min(b.0), a.1.max(b.1))) {
        Some((rate, since)) => Some(Limit::Rate(rate, since)),
        None if is_over || report.is_some() => Some(Limit::None { is_over }),
        None => None,
    }
}

/// Mean requests of all nodes to each engine of a service, for one request of this node.
fn engine_share(shared: &Shared, engine: &str, now: BootTime) -> f64 {
    let directory = lock(&shared.directory);
    let service = directory.engine(engine).map(|it| it.service.clone());
    let engines = service.map_or(1, |it| directory.available(&it, now).count().max(1));
    drop(directory);
    shared.host_counts().reachable as f64 / engines as f64
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

async fn query(
    shared: &Shared,
    engine: &Engine,
    question: &Question,
    max_wait: Duration,
    issuer: SocketAddr,
) -> Option<Issued> {
    let pending = shared.permits.pending.begin();
    let limit = question.limit.as_ref().map(LimitReport::new);
    let message = PermitQuery {
        number: pending.number(),
        limit: limit.unwrap_or_else(|| LimitReport::none(engine)),
        max_wait_ms: max_wait.as_millis() as u64,
        hosts: shared.host_counts().known,
        warm_up: question.warm_up.as_ref().map(WarmUpReport::new),
        outcomes: None,
    };
    datagrams::send_permit_query(&shared.socket, &message, issuer);
    let Some(reply) = pending.reply(max_wait + NodePermits::RETENTION).await else {
        log::info!(engine = *engine.id, issuer:%; "no reply to a permit query");
        return None;
    };
    if let Some(limit) = &reply.limit {
        request_limit::apply(shared, limit, "permit reply");
    }
    let wait = Duration::from_millis(reply.wait_ms);
    let decision = match reply.granted {
        true => Decision::Granted(wait),
        false => Decision::Denied(wait),
    };
    let Some(warm_up) = reply.warm_up else {
        // An issuer of an earlier build knows nothing about cold engines.
        return Some(Issued::without_rate(match question.warm_up {
            Some(_) => Decision::Denied(NodePermits::NO_ISSUER_BACKOFF),
            None => decision,
        }));
    };
    if let Some(report) = &warm_up.report {
        warm_up::apply(shared, report, "permit reply");
    }
    if warm_up.is_over {
        warm_up::record_over(shared, engine);
    }
    Some(Issued {
        decision,
        rate: warm_up.rate.filter(|it| it.is_finite()),
        is_over: warm_up.is_over,
    })
}
