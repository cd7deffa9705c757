//! Records what shows that engines are cold, and exchanges it between nodes with the statements of engines.
//!
//! The node that first learns that an engine is cold tells all others at once, and each node repeats some of what it knows
//! to random nodes.

use std::time::Duration;

use forward::BootTime;
use forward::configuration::Configuration;
use forward::directory::Engine;
use forward::request_limit::Rate;
use forward::retry::Failure;
use forward::statement::Stated;
use forward::warm_up::{Outcomes, Phase, Report, Terms};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::owner::{self, Owner};
use crate::shared::{Shared, lock};
use crate::{clock, statement};

/// Maximum number of engines in a notice. With about 140 bytes for each, one fits into two packets.
const MAX_ENGINES: usize = 16;

/// Engines that are repeated to a random node in each round.
const REPEATED_ENGINES: usize = 4;

/// Factor by which the requests with permits of a second may exceed the rate: a permit is kept for half a second.
const PERMIT_OVERAGE: f64 = 1.5;

/// What one node tells another about engines that are not warm.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct WarmUpNotice {
    engines: Vec<WarmUpReport>,
    /// Responses of engines whose rate the receiver keeps.
    outcomes: Vec<OutcomeReport>,
}

impl WarmUpNotice {
    pub(crate) fn is_empty(&self) -> bool {
        self.engines.is_empty() && self.outcomes.is_empty()
    }

    /// The notice some time after it was made.
    pub(crate) fn aged(&self, time: Duration) -> Self {
        Self {
            engines: self.engines.iter().map(|it| it.aged(time)).collect(),
            ..self.clone()
        }
    }
}

/// Encoded [`Report`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WarmUpReport {
    engine: String,
    started_ms: u64,
    service: String,
    phase: String,
    left_ms: u64,
    since_ms: u64,
}

impl WarmUpReport {
    pub(crate) fn new(report: &Report) -> Self {
        Self {
            engine: report.engine.to_string(),
            started_ms: report.started_ms,
            service: report.service.to_string(),
            phase: report.phase.as_str().to_owned(),
            left_ms: report.left.as_millis() as u64,
            since_ms: report.since.as_millis() as u64,
        }
    }

    fn aged(&self, time: Duration) -> Self {
        let millis = time.as_millis() as u64;
        Self {
            left_ms: self.left_ms.saturating_sub(millis),
            since_ms: self.since_ms.saturating_add(millis),
            ..self.clone()
        }
    }

    /// The report; `None` if it has a phase of a later build.
    fn decode(&self) -> Option<Report> {
        let phases = [Phase::Suspected, Phase::Cold, Phase::Warming];
        Some(Report {
            engine: self.engine.as_str().into(),
            started_ms: self.started_ms,
            service: self.service.as_str().into(),
            phase: phases.into_iter().find(|it| it.as_str() == self.phase)?,
            left: Duration::from_millis(self.left_ms),
            since: Duration::from_millis(self.since_ms),
        })
    }
}

/// Responses of an engine, for the issuer of its permits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct OutcomeReport {
    engine: String,
    started_ms: u64,
    good: u32,
    slow: u32,
    refused: u32,
}

impl OutcomeReport {
    pub(crate) fn new(engine: &str, started_ms: u64, outcomes: Outcomes) -> Self {
        Self {
            engine: engine.to_owned(),
            started_ms,
            good: outcomes.good,
            slow: outcomes.slow,
            refused: outcomes.refused,
        }
    }

    pub(crate) fn apply(&self, shared: &Shared) {
        let outcomes = Outcomes {
            good: self.good,
            slow: self.slow,
            refused: self.refused,
        };
        let mut statements = lock(&shared.statements);
        statements
            .warm_ups
            .apply_outcomes(&self.engine, self.started_ms, outcomes, clock::now());
    }
}

/// Follows the terms of the services in a configuration.
pub(crate) fn configure(shared: &Shared, configuration: &Configuration) {
    let settings = shared.settings();
    let bounds = &settings.bounds;
    let for_all = settings.warm_up.enabled.then(Terms::default);
    // Requests with permits must stay within the bound that the operators set.
    let limited = |rate: Rate| match bounds.cold_overage {
        Some(overage) => rate.min((rate * overage + bounds.cold_slack.unwrap_or_default()) / PERMIT_OVERAGE),
        None => rate,
    };
    let terms = configuration.services().filter_map(|it| {
        let terms = it.warm_up.or(for_all)?;
        let cold_rate = terms.cold_rate.map(limited);
        Some((it.name.clone(), Terms { cold_rate, ..terms }))
    });
    lock(&shared.statements).warm_ups.configure(terms.collect());
}

/// Records registry entries, with whether each engine appeared while the node ran. A node that reads the store itself
/// (`is_direct`) tells the others.
pub(crate) fn record_listed(shared: &Shared, entries: &[(Engine, bool)], is_direct: bool) {
    let now = clock::now();
    let mut reports = vec![];
    let mut statements = lock(&shared.statements);
    for (engine, is_start) in entries {
        reports.extend(statements.warm_ups.record_listed(engine, *is_start, now));
    }
    drop(statements);
    for report in &reports {
        log_change(shared, report, "listed");
    }
    if is_direct {
        announce(shared, &reports);
    }
}

/// Records the response of an engine, and whether it states that it is cold; `id` is that of the request.
pub(crate) fn record_response(shared: &Shared, engine: &Engine, stated: Stated<Duration>, id: &str) {
    let stated = match stated {
        Stated::Value(left) => Some(left),
        Stated::Nothing => None,
        Stated::Unreadable => {
            log::warn!(id, engine = *engine.id; "cold time cannot be parsed");
            None
        }
    };
    let now = clock::now();
    let report = lock(&shared.statements)
        .warm_ups
        .record_response(engine, stated, now);
    if let Some(report) = report {
        log_change(shared, &report, id);
        announce(shared, &[report]);
    }
}

/// Records the failure of an attempt that began at `began_at`.
pub(crate) fn record_failure(shared: &Shared, engine: &Engine, failure: Failure, began_at: BootTime) {
    let now = clock::now();
    let mut statements = lock(&shared.statements);
    let was_warm = statements.warm_ups.phase(engine, now).is_none();
    statements.warm_ups.record_failure(engine, failure, began_at, now);
    let report = statements.warm_ups.report(&engine.id, now).filter(|_| was_warm);
    drop(statements);
    if let Some(report) = report {
        log_change(shared, &report, failure.as_str());
    }
}

/// Marks all engines of a failure domain as cold for the cold time of their service from a moment on.
pub(crate) fn mark_domain(shared: &Shared, domain: &str, from: BootTime) {
    let directory = lock(&shared.directory);
    let mut statements = lock(&shared.statements);
    let now = clock::now();
    let engines = statements
        .warm_ups
        .mark_domain(directory.engines(), domain, from, now);
    drop(statements);
    drop(directory);
    if engines > 0 {
        count(shared, "domain_cold");
        log::info!(domain, engines; "engines of a failure domain count as cold");
    }
}

/// Reports a response of an engine whose rate grows to its issuer, at once: if good ones came later than slow ones, the rate
/// would fall in between.
pub(crate) fn record_outcomes(shared: &Shared, engine: &Engine, outcomes: Outcomes) {
    let phase = lock(&shared.statements).warm_ups.phase(engine, clock::now());
    if phase != Some(Phase::Warming) {
        return;
    }
    let report = OutcomeReport::new(&engine.id, engine.started_ms, outcomes);
    match owner::of(shared, &engine.id) {
        Owner::Local => report.apply(shared),
        Owner::Remote(address) => {
            let notice = WarmUpNotice {
                outcomes: vec![report],
                ..WarmUpNotice::default()
            };
            statement::send_warm_ups(shared, notice, address);
        }
    }
}

/// Applies a notice of another node.
pub(crate) fn apply_notice(shared: &Shared, notice: &WarmUpNotice, source: &str) {
    for report in &notice.engines {
        apply(shared, report, source);
    }
    for report in &notice.outcomes {
        report.apply(shared);
    }
}

/// Applies a report; `source` is the node that sent it.
pub(crate) fn apply(shared: &Shared, report: &WarmUpReport, source: &str) {
    let Some(report) = report.decode() else {
        return log::warn!(source, engine = report.engine, phase = report.phase; "unknown phase of a warm-up");
    };
    let is_new = lock(&shared.statements).warm_ups.apply(&report, clock::now());
    if is_new {
        log_change(shared, &report, source);
    }
}

/// Records that the issuer of an engine's permits has ended its warm-up.
pub(crate) fn record_over(shared: &Shared, engine: &Engine) {
    let mut statements = lock(&shared.statements);
    let ends = statements
        .warm_ups
        .record_over(&engine.id, engine.started_ms, clock::now());
    drop(statements);
    if ends {
        count(shared, "over");
        log::info!(engine = *engine.id; "engine is warm");
    }
}

/// Some of what this node knows about cold engines, for a random node.
pub(crate) fn repeated(shared: &Shared) -> WarmUpNotice {
    let mut reports = lock(&shared.statements).warm_ups.reports(clock::now());
    reports.retain(|it| it.phase == Phase::Cold);
    reports.shuffle(&mut rand::rng());
    reports.truncate(REPEATED_ENGINES);
    notice(&reports)
}

fn announce(shared: &Shared, reports: &[Report]) {
    for chunk in reports.chunks(MAX_ENGINES) {
        statement::announce_warm_ups(shared, notice(chunk));
    }
}

fn notice(reports: &[Report]) -> WarmUpNotice {
    WarmUpNotice {
        engines: reports.iter().map(WarmUpReport::new).collect(),
        ..WarmUpNotice::default()
    }
}

/// Logs and counts a change of an engine; `source` is the request, the failure or the node that showed it.
fn log_change(shared: &Shared, report: &Report, source: &str) {
    let (engine, left_ms) = (&*report.engine, report.left.as_millis() as u64);
    count(shared, report.phase.as_str());
    log::info!(engine, started_ms = report.started_ms, phase = report.phase.as_str(), left_ms, source; "engine is not warm");
}

fn count(shared: &Shared, change: &'static str) {
    let label = [("change", change)];
    shared.metrics.warm_up_changes.get_or_create(&label).inc();
}
