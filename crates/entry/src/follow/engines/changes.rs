//! Changed engines of one read, for the log.
//!
//! They are written in a few lines, those of engines that take no more requests first: all engines of a service may change
//! at once, and a line for each would push others out.

use std::collections::BTreeMap;

use forward::directory::Engine;
use model::{Name, Upstream};

#[cfg(test)]
mod tests;

/// Maximum number of engines that a line names.
const ENGINES_PER_LINE: usize = 64;

/// State of an engine after a read, in the order of the lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    Draining,
    Removed,
    Listed,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Removed => "removed",
            Self::Listed => "listed",
        }
    }
}

/// Engines that a read has changed, by their state and version.
#[derive(Debug, Default)]
pub(super) struct Changes {
    engines: BTreeMap<(State, Name), Vec<Upstream>>,
}

impl Changes {
    /// Records a changed engine; `None` if it was removed.
    pub(super) fn record(&mut self, id: &Upstream, engine: Option<&Engine>) {
        let state = match engine {
            Some(it) if it.draining => State::Draining,
            Some(_) => State::Listed,
            None => State::Removed,
        };
        let version = engine.map_or_else(|| "".into(), |it| it.version.clone());
        self.engines.entry((state, version)).or_default().push(id.clone());
    }

    /// Whether no engine has changed.
    pub(super) fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Writes the lines.
    pub(super) fn log(&self) {
        for (state, version, engines) in self.lines() {
            log::info!(state = state.name(), version = **version, engines; "engines changed");
        }
    }

    /// State, version and ids of the engines of each line.
    fn lines(&self) -> impl Iterator<Item = (State, &Name, String)> {
        self.engines.iter().flat_map(|((state, version), ids)| {
            let lines = ids.chunks(ENGINES_PER_LINE);
            lines.map(move |it| (*state, version, it.join(",")))
        })
    }
}
