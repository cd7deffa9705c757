//! Request limits that engines state in their responses, and their exchange between nodes.
//!
//! A node tells all others at once when it learns of a change. In addition, each node that knows of limits sends
//! some of them to a random node in each round, for nodes that started later and for datagrams that were lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use forward::request_limit::{Change, Rate, Report};
use membership::State;
use model::Upstream;
use rand::seq::{IteratorRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::shared::{Shared, lock};
use crate::{clock, datagrams, permit};

/// Interval at which known limits are sent to a random node.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of reports in a datagram. With about 90 bytes each, a node sends less than 1 KB a second.
const MAX_REPORTS: usize = 4;

/// Reports of limits from one node to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LimitNotice {
    sender: String,
    /// Hosts that the sender knows.
    hosts: usize,
    limits: Vec<LimitReport>,
}

/// Encoded [`Report`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LimitReport {
    engine: String,
    started_ms: u64,
    rate: Option<Rate>,
    since_ms: u64,
    age_ms: u64,
}

impl LimitReport {
    pub(crate) fn new(report: &Report) -> Self {
        Self {
            engine: report.engine.to_string(),
            started_ms: report.started_ms,
            rate: report.rate,
            since_ms: report.since.as_millis() as u64,
            age_ms: report.age.as_millis() as u64,
        }
    }

    pub(crate) fn engine(&self) -> &str {
        &self.engine
    }

    fn decode(&self) -> Option<Report> {
        let is_valid = self.rate.is_none_or(|it| it.is_finite() && it >= 0.0);
        is_valid.then(|| Report {
            engine: Upstream::from(&*self.engine),
            started_ms: self.started_ms,
            rate: self.rate,
            since: Duration::from_millis(self.since_ms),
            age: Duration::from_millis(self.age_ms),
        })
    }
}

/// Sends limits to random nodes until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        sleep(ROUND_INTERVAL).await;
        let now = clock::now();
        permit::forget_others(&shared);
        let mut limits = lock(&shared.request_limits);
        limits.expire(now);
        let mut reports = limits.reports(now);
        drop(limits);
        if reports.is_empty() {
            continue;
        }
        reports.shuffle(&mut rand::rng());
        reports.truncate(MAX_REPORTS);
        let receiver = other_nodes(&shared).into_iter().choose(&mut rand::rng());
        datagrams::send_limits(&shared.socket, &notice(&shared, &reports), receiver);
    }
}

/// Applies reports of another node.
pub(crate) fn apply_notice(shared: &Shared, notice: &LimitNotice) {
    permit::record_hosts(shared, notice.hosts);
    for report in &notice.limits {
        apply(shared, report, &notice.sender);
    }
}

/// Applies a report; `source` is the node that sent it.
pub(crate) fn apply(shared: &Shared, report: &LimitReport, source: &str) {
    let Some(report) = report.decode() else {
        return log::warn!(source, engine = report.engine; "another node reports a limit that is not a rate");
    };
    let change = lock(&shared.request_limits).apply(&report, clock::now());
    if let Some(change) = change {
        log_change(shared, &report.engine, change, source);
    }
}

/// Logs a change that a response to the request `id` showed, and tells all other nodes.
pub(crate) fn announce(shared: &Arc<Shared>, engine: &str, change: Change, id: &str) {
    log_change(shared, engine, change, id);
    let report = lock(&shared.request_limits).report(engine, clock::now());
    if let Some(report) = report {
        let notice = notice(shared, &[report]);
        let (socket, to) = (shared.socket.clone(), other_nodes(shared));
        tokio::spawn(async move {
            datagrams::in_bursts(to, |it| {
                datagrams::send_limits(&socket, &notice, it.iter().copied());
            })
            .await;
        });
    }
}

fn notice(shared: &Shared, reports: &[Report]) -> LimitNotice {
    LimitNotice {
        sender: shared.settings().node.host.to_string(),
        hosts: shared.host_counts().known,
        limits: reports.iter().map(LimitReport::new).collect(),
    }
}

fn other_nodes(shared: &Shared) -> Vec<SocketAddr> {
    let table = lock(&shared.members);
    let others = table.members().filter(|it| it.state != State::Dead);
    others.map(|it| it.addresses.gossip).collect()
}

/// Logs and counts a change of an engine's limit; `source` is the request or the node that showed it.
fn log_change(shared: &Shared, engine: &str, change: Change, source: &str) {
    let Change { before, after } = change;
    let label = match (before, after) {
        (None, _) => "stated",
        (_, None) => "ended",
        _ => "changed",
    };
    shared
        .metrics
        .request_limit_changes
        .get_or_create(&[("change", label)])
        .inc();
    log::info!(engine, before, after, change = label, source; "request limit changed");
}
