//! Rates to which engines limit the requests that they take from all nodes together.
//!
//! An engine states its limit in its responses for as long as the limit holds. Responses overtake each other, so
//! one without a limit ends the limit only if its request was sent after the limit was last stated.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use model::Upstream;

use crate::BootTime;
use crate::directory::Engine;

/// Requests per second.
pub type Rate = f64;

/// The limit of one run of an engine.
#[derive(Debug, Clone)]
struct Statement {
    started_ms: u64,
    /// `None` after the limit ended.
    rate: Option<Rate>,
    /// When a response last stated this.
    stated_at: BootTime,
}

/// A change of what is known about an engine's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Limit before the change; `None` if there was none.
    pub before: Option<Rate>,
    /// Limit after it; `None` if it ended.
    pub after: Option<Rate>,
}

/// The limits of all engines, as known to this node.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    engines: HashMap<Upstream, Statement>,
}

impl Limits {
    /// The limit in force at an engine.
    pub fn rate(&self, engine: &Engine) -> Option<Rate> {
        self.statement(engine)?.rate
    }

    /// Records the limit that a response states, if any, to a request that was sent at `sent_at`.
    ///
    /// Returns what it changes.
    pub fn record_response(
        &mut self,
        engine: &Engine,
        stated: Option<Rate>,
        sent_at: BootTime,
        now: BootTime,
    ) -> Option<Change> {
        let known = self.statement(engine);
        let ends = known.is_some_and(|it| it.rate.is_some() && it.stated_at < sent_at);
        if stated.is_none() && !ends {
            return None;
        }
        let before = known.and_then(|it| it.rate);
        let statement = Statement {
            started_ms: engine.started_ms,
            rate: stated,
            stated_at: now,
        };
        self.engines.insert(engine.id.clone(), statement);
        (before != stated).then_some(Change {
            before,
            after: stated,
        })
    }

    /// Drops the limits of engines that are no longer listed.
    pub fn retain<'a>(&mut self, listed: impl Iterator<Item = &'a Arc<Engine>>) {
        let listed: HashSet<_> = listed.map(|it| it.id.clone()).collect();
        self.engines.retain(|id, _| listed.contains(id));
    }

    fn statement(&self, engine: &Engine) -> Option<&Statement> {
        self.engines
            .get(&engine.id)
            .filter(|it| it.started_ms == engine.started_ms)
    }
}
