//! Tells other nodes the loads that engines report, and applies what they tell.
//!
//! Nodes send the newest reports that they know to random nodes, most in their own failure domain, for services whose loads are shared
//! only. Nothing depends on a reply: lost datagrams make estimates older.

use std::net::SocketAddr;
use std::sync::Arc;

use forward::BootTime;
use forward::directory::Engine;
use forward::load::LoadReport;
use forward::load_exchange::{Dropped, Pace, Report};
use membership::{Member, State};
use model::Name;
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::time::sleep;
use wire::peer;

use crate::shared::{Shared, lock};
use crate::{clock, datagrams};

#[cfg(test)]
mod tests;

/// Bounds of the factor by which an interval is shortened or prolonged, so that nodes do not send at the same times.
const MIN_JITTER: f64 = 0.8;
const MAX_JITTER: f64 = 1.2;

/// Sends load reports to random nodes until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let pace = Pace::of(shared.host_counts().reachable);
        let jitter = rand::rng().random_range(MIN_JITTER..MAX_JITTER);
        sleep(pace.interval.mul_f64(jitter)).await;
        let now = clock::now();
        follow_configuration(&shared, now);
        let reports = lock(&shared.load_exchange).choose(&pace, now);
        if reports.is_empty() {
            continue;
        }
        let receivers = choose_receivers(&shared, pace.receivers);
        let count = receivers.len();
        let size = datagrams::send_loads(&shared.socket, &message(&reports), receivers);
        shared.metrics.load_report_bytes.inc_by((size * count) as u64);
    }
}

/// Takes over which services are shared by the configuration.
fn follow_configuration(shared: &Shared, now: BootTime) {
    let cached = lock(&shared.configuration);
    let services = cached.value().into_iter().flat_map(|it| it.services());
    let sharing: Vec<Name> = services
        .filter(|it| it.shares_load())
        .map(|it| it.name.clone())
        .collect();
    drop(cached);
    lock(&shared.loads).configure_sharing(sharing, now);
}

/// Nodes to send reports to: one anywhere, the others in this node's failure domain if it has some, as traffic between
/// domains is billed.
fn choose_receivers(shared: &Shared, count: usize) -> Vec<SocketAddr> {
    let domain = &shared.settings().node.failure_domain;
    let members = lock(&shared.members);
    let others = || members.members().filter(|it| it.state != State::Dead);
    let anywhere = others().choose(&mut rand::rng());
    let is_new = |it: &&Member| anywhere.is_none_or(|other| other.incarnation != it.incarnation);
    let near = others().filter(|it| it.domain == *domain).filter(is_new);
    let mut receivers = near.choose_multiple(&mut rand::rng(), count.saturating_sub(1));
    receivers.extend(anywhere);
    receivers.iter().map(|it| it.addresses.gossip).collect()
}

/// Records a load report in a response, and keeps it for other nodes if the loads of the service are shared.
pub(crate) fn record_report(shared: &Shared, engine: &Engine, report: LoadReport, now: BootTime) {
    let mut loads = lock(&shared.loads);
    let observation = loads.record_report(engine, report, now);
    let is_shared = loads.is_shared(&engine.service, now);
    drop(loads);
    if is_shared {
        lock(&shared.load_exchange).record(engine, observation);
    }
}

/// Applies the reports of another node.
pub(crate) fn apply(shared: &Shared, reports: &[Report]) {
    let now = clock::now();
    let mut exchange = lock(&shared.load_exchange);
    let mut loads = lock(&shared.loads);
    for report in reports {
        let result = match exchange.apply(report, now) {
            Ok((engine, observation)) => {
                loads.apply_observation(&engine, observation, now);
                "applied"
            }
            Err(Dropped::Known) => "known",
            Err(Dropped::Expired) => "expired",
            Err(Dropped::Unknown) => "unknown_engine",
        };
        let label = [("result", result)];
        shared.metrics.load_reports.get_or_create(&label).inc();
    }
}

/// The message with some reports.
fn message(reports: &[Report]) -> peer::LoadReports {
    let column = |figure: fn(&Report) -> u32| reports.iter().map(figure).collect();
    peer::LoadReports {
        runs: column(|it| it.run),
        requests: column(|it| it.requests),
        work_percent: column(|it| it.work_percent),
        age_units: column(Report::age_units),
        waiting: column(|it| it.waiting.unwrap_or_default()),
    }
}

/// The reports in a message; `None` if its columns have different lengths. Builds before the column of waiting requests
/// send none.
pub(crate) fn parse_message(message: &peer::LoadReports) -> Option<Vec<Report>> {
    let count = message.runs.len();
    let columns = [&message.requests, &message.work_percent, &message.age_units];
    let waiting = &message.waiting;
    let is_complete = waiting.is_empty() || waiting.len() == count;
    if !is_complete || columns.iter().any(|it| it.len() != count) {
        return None;
    }
    let report = |index: usize| {
        let [requests, work_percent, age_units] = columns.map(|it| it[index]);
        Report {
            waiting: waiting.get(index).copied(),
            ..Report::from_figures(message.runs[index], requests, work_percent, age_units)
        }
    };
    Some((0..count).map(report).collect())
}
