//! Records what engines state in their responses, and exchanges it between nodes.
//!
//! A node tells all others at once when it learns that a limit changed or that an engine leaves. In addition, each node
//! that knows of any sends some to a random node in each round, for nodes that started later and for datagrams that
//! were lost. An engine closes for one node only, which tells nobody.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use forward::BootTime;
use forward::brittle::{self, Tolerance};
use forward::directory::Engine;
use forward::request_limit::Report;
use forward::statement::{ClosingChange, Run, Stated};
use hyper::StatusCode;
use membership::State;
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::protocol::ResponseMetadata;
use crate::request_limit::{self, LimitReport};
use crate::shared::{Shared, lock};
use crate::warm_up::{self, WarmUpNotice};
use crate::{clock, datagrams, permit};

/// Interval at which known statements are sent to a random node.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of reports of each kind in a datagram. With about 90 bytes for a limit and 50 for a leaving engine, a
/// node sends less than 2 KB a second.
const MAX_LIMITS: usize = 4;
const MAX_LEAVING: usize = 8;

/// Statements of engines that one node passes on to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StatementNotice {
    sender: String,
    /// Hosts that the sender knows.
    hosts: usize,
    limits: Vec<LimitReport>,
    /// Runs of engines that leave; nodes of earlier versions do not send it.
    #[serde(default)]
    leaving: Vec<RunReport>,
    /// Brittle services; nodes of earlier versions do not send it.
    #[serde(default)]
    brittle: Vec<BrittleReport>,
    /// Engines that are not warm; nodes of earlier versions do not send it.
    #[serde(default, skip_serializing_if = "WarmUpNotice::is_empty")]
    warm_up: WarmUpNotice,
}

/// Encoded [`brittle::Report`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct BrittleReport {
    service: String,
    tolerance: Tolerance,
    since_ms: u64,
    age_ms: u64,
}

impl BrittleReport {
    fn new(report: &brittle::Report) -> Self {
        Self {
            service: report.service.to_string(),
            tolerance: report.tolerance,
            since_ms: report.since.as_millis() as u64,
            age_ms: report.age.as_millis() as u64,
        }
    }

    fn aged(&self, time: Duration) -> Self {
        let millis = time.as_millis() as u64;
        Self {
            since_ms: self.since_ms.saturating_add(millis),
            age_ms: self.age_ms.saturating_add(millis),
            ..self.clone()
        }
    }

    fn into_report(self) -> brittle::Report {
        brittle::Report {
            service: self.service.into(),
            tolerance: self.tolerance,
            since: Duration::from_millis(self.since_ms),
            age: Duration::from_millis(self.age_ms),
        }
    }
}

impl StatementNotice {
    /// The notice some time after it was made.
    fn aged(&self, time: Duration) -> Self {
        Self {
            limits: self.limits.iter().map(|it| it.aged(time)).collect(),
            brittle: self.brittle.iter().map(|it| it.aged(time)).collect(),
            warm_up: self.warm_up.aged(time),
            ..self.clone()
        }
    }
}

/// Encoded [`Run`] of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RunReport {
    engine: String,
    started_ms: u64,
}

impl RunReport {
    pub(crate) fn new(run: &Run) -> Self {
        Self {
            engine: run.engine.to_string(),
            started_ms: run.started_ms,
        }
    }

    pub(crate) fn into_run(self) -> Run {
        Run {
            engine: self.engine.into(),
            started_ms: self.started_ms,
        }
    }
}

/// Sends statements to random nodes until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        sleep(ROUND_INTERVAL).await;
        let now = clock::now();
        permit::forget_others(&shared);
        permit::prepare(&shared);
        let warm_up = warm_up::repeated(&shared);
        let mut statements = lock(&shared.statements);
        let opened = statements.expire(now);
        let mut limits = statements.limits.reports(now);
        let mut leaving: Vec<_> = statements.leaving().map(RunReport::new).collect();
        drop(statements);
        for run in opened {
            count(&shared, "opened");
            log::info!(engine = *run.engine, started_ms = run.started_ms; "engine open again");
        }
        let is_brittle = !lock(&shared.statements).brittle.reports(now).is_empty();
        if limits.is_empty() && leaving.is_empty() && !is_brittle && warm_up.is_empty() {
            continue;
        }
        limits.shuffle(&mut rand::rng());
        limits.truncate(MAX_LIMITS);
        leaving.shuffle(&mut rand::rng());
        leaving.truncate(MAX_LEAVING);
        let receiver = other_nodes(&shared).into_iter().choose(&mut rand::rng());
        let notice = StatementNotice {
            warm_up,
            ..notice(&shared, &limits, leaving)
        };
        datagrams::send_statements(&shared.socket, &notice, receiver);
    }
}

/// Records what the response to a request states that was sent at `sent_at`; `id` is that of the request.
pub(crate) fn record_response(
    shared: &Arc<Shared>,
    engine: &Engine,
    status: StatusCode,
    metadata: &ResponseMetadata,
    sent_at: BootTime,
    id: &str,
) {
    // Another engine sent the response.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    record_limit(shared, engine, metadata, sent_at, id);
    warm_up::record_response(shared, engine, metadata.cold_left, id);
    if metadata.leaving && lock(&shared.statements).record_leaving(engine) {
        log_leaving(shared, &engine.id, engine.started_ms, id);
        let report = RunReport {
            engine: engine.id.to_string(),
            started_ms: engine.started_ms,
        };
        announce(shared, notice(shared, &[], vec![report]));
    }
    record_brittle(shared, engine, metadata, sent_at, id);
    record_closing(shared, engine, metadata.retry_after, id);
}

/// Records whether a response states that the engines of its service are brittle.
fn record_brittle(
    shared: &Arc<Shared>,
    engine: &Engine,
    metadata: &ResponseMetadata,
    sent_at: BootTime,
    id: &str,
) {
    let tolerance = match metadata.brittle {
        Stated::Value(tolerance) => Some(tolerance),
        // Only a response of the engine itself shows that it is not brittle.
        Stated::Nothing if metadata.is_signed => None,
        Stated::Nothing => return,
        Stated::Unreadable => {
            count(shared, "unreadable");
            log::warn!(id, engine = *engine.id; "tolerance of a brittle engine cannot be parsed");
            // The careful reading: it tolerates nothing.
            Some(0)
        }
    };
    let mut statements = lock(&shared.statements);
    let brittle = &mut statements.brittle;
    let change = brittle.record_response(&engine.service, tolerance, sent_at, clock::now());
    drop(statements);
    if let Some(change) = change {
        log_brittle(shared, &engine.service, change, id);
        if change.after.is_some() {
            announce(shared, notice(shared, &[], vec![]));
        }
    }
}

/// Logs a change of a brittle service; `source` is the request or the node that showed it.
fn log_brittle(shared: &Shared, service: &str, change: brittle::Change, source: &str) {
    let brittle::Change { before, after } = change;
    count(shared, if after.is_some() { "brittle" } else { "not_brittle" });
    log::info!(service, before, after, source; "tolerance of brittle engines changed");
}

/// Records the request limit that a response states, or that it ended.
fn record_limit(
    shared: &Arc<Shared>,
    engine: &Engine,
    metadata: &ResponseMetadata,
    sent_at: BootTime,
    id: &str,
) {
    let rate = match metadata.request_limit {
        Stated::Value(rate) => Some(rate),
        // Only a response of the engine itself shows that it states no limit.
        Stated::Nothing if metadata.is_signed => None,
        Stated::Nothing => return,
        Stated::Unreadable => {
            count(shared, "unreadable");
            return log::warn!(id, engine = *engine.id; "request limit cannot be parsed");
        }
    };
    let now = clock::now();
    let mut statements = lock(&shared.statements);
    let change = statements.limits.record_response(engine, rate, sent_at, now);
    let report = statements.limits.report(&engine.id, now);
    drop(statements);
    if let Some((change, report)) = change.zip(report) {
        request_limit::log_change(shared, &engine.id, change, id);
        announce(shared, notice(shared, &[report], vec![]));
    }
}

fn record_closing(shared: &Shared, engine: &Engine, stated: Stated<Duration>, id: &str) {
    if stated == Stated::Unreadable {
        count(shared, "unreadable");
        log::warn!(id, engine = *engine.id; "time until the engine takes requests cannot be parsed");
    }
    let position = rand::rng().random_range(0.0..1.0);
    let change = lock(&shared.statements).record_closing(engine, stated, position, clock::now());
    let Some(ClosingChange { began, wait, capped }) = change else {
        return;
    };
    // Each request under way may be turned away and extend the closing a little.
    if began {
        count(shared, "closed");
        let wait_ms = wait.as_millis() as u64;
        log::info!(id, engine = *engine.id, started_ms = engine.started_ms, wait_ms, capped; "engine closed");
    }
}

/// Applies a notice of another node.
pub(crate) fn apply_notice(shared: &Shared, notice: StatementNotice) {
    permit::record_hosts(shared, notice.hosts);
    warm_up::apply_notice(shared, &notice.warm_up, &notice.sender);
    for report in &notice.limits {
        request_limit::apply(shared, report, &notice.sender);
    }
    for report in notice.brittle {
        let report = report.into_report();
        let change = lock(&shared.statements).brittle.apply(&report, clock::now());
        if let Some(change) = change {
            log_brittle(shared, &report.service, change, &notice.sender);
        }
    }
    for run in notice.leaving.into_iter().map(RunReport::into_run) {
        if lock(&shared.statements).apply_leaving(run.clone()) {
            log_leaving(shared, &run.engine, run.started_ms, &notice.sender);
        }
    }
}

/// Sends what is known about engines that are not warm to all other nodes.
pub(crate) fn announce_warm_ups(shared: &Shared, warm_up: WarmUpNotice) {
    let notice = notice(shared, &[], vec![]);
    announce(shared, StatementNotice { warm_up, ..notice });
}

/// Sends what is known about engines that are not warm to one node.
pub(crate) fn send_warm_ups(shared: &Shared, warm_up: WarmUpNotice, to: SocketAddr) {
    let notice = notice(shared, &[], vec![]);
    datagrams::send_statements(&shared.socket, &StatementNotice { warm_up, ..notice }, [to]);
}

/// Sends a notice to all other nodes.
fn announce(shared: &Shared, notice: StatementNotice) {
    let (socket, to) = (shared.socket.clone(), other_nodes(shared));
    tokio::spawn(async move {
        datagrams::in_bursts(to, |it, delay| {
            datagrams::send_statements(&socket, &notice.aged(delay), it.iter().copied());
        })
        .await;
    });
}

fn notice(shared: &Shared, limits: &[Report], leaving: Vec<RunReport>) -> StatementNotice {
    let brittle = lock(&shared.statements).brittle.reports(clock::now());
    StatementNotice {
        sender: shared.settings().node.host.to_string(),
        hosts: shared.host_counts().known,
        limits: limits.iter().map(LimitReport::new).collect(),
        leaving,
        brittle: brittle.iter().map(BrittleReport::new).collect(),
        warm_up: WarmUpNotice::default(),
    }
}

pub(crate) fn other_nodes(shared: &Shared) -> Vec<SocketAddr> {
    let table = lock(&shared.members);
    let others = table.members().filter(|it| it.state != State::Dead);
    others.map(|it| it.addresses.gossip).collect()
}

/// Logs and counts an engine that leaves; `source` is the request or the node that showed it.
fn log_leaving(shared: &Shared, engine: &str, started_ms: u64, source: &str) {
    count(shared, "leaving");
    log::info!(engine, started_ms, source; "engine leaves");
}

fn count(shared: &Shared, statement: &'static str) {
    let label = [("statement", statement)];
    shared.metrics.engine_statements.get_or_create(&label).inc();
}
