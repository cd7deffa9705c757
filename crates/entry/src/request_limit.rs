//! Request limits that engines state in their responses, as nodes pass them on.

use std::time::Duration;

use forward::directory::Engine;
use forward::request_limit::{Change, Rate, Report};
use model::Upstream;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::shared::{Shared, lock};

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

    /// The report that an engine states no limit, of a node that knows none.
    pub(crate) fn none(engine: &Engine) -> Self {
        Self {
            engine: engine.id.to_string(),
            started_ms: engine.started_ms,
            rate: None,
            since_ms: 0,
            // Older than any other report.
            age_ms: u64::from(u32::MAX),
        }
    }

    pub(crate) fn is_stated(&self) -> bool {
        self.rate.is_some()
    }

    /// The report some time after it was made.
    pub(crate) fn aged(&self, time: Duration) -> Self {
        let millis = time.as_millis() as u64;
        Self {
            since_ms: self.since_ms.saturating_add(millis),
            age_ms: self.age_ms.saturating_add(millis),
            ..self.clone()
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

/// Applies a report; `source` is the node that sent it.
pub(crate) fn apply(shared: &Shared, report: &LimitReport, source: &str) {
    let Some(report) = report.decode() else {
        return log::warn!(source, engine = report.engine; "another node reports a limit that is not a rate");
    };
    let change = lock(&shared.statements).limits.apply(&report, clock::now());
    if let Some(change) = change {
        log_change(shared, &report.engine, change, source);
    }
}

/// Logs and counts a change of an engine's limit; `source` is the request or the node that showed it.
pub(crate) fn log_change(shared: &Shared, engine: &str, change: Change, source: &str) {
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
