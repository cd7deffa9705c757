//! Changes of the list of engines as nodes pass them on.

use std::net::SocketAddr;
use std::time::Duration;

use forward::BootTime;
use forward::directory::Engine;
use model::Upstream;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// A change of an engine's registry entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EngineChange {
    id: String,
    engine: Option<EngineEntry>,
}

/// Registry entry of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct EngineEntry {
    #[serde(rename = "born")]
    started_ms: u64,
    service: String,
    address: SocketAddr,
    domain: String,
    version: String,
    slots: u32,
    draining: bool,
    /// Remaining cold time; nodes of earlier builds do not send it.
    #[serde(default, skip_serializing_if = "is_zero")]
    cold_left_ms: u64,
    /// When the cold time ends.
    #[serde(skip)]
    cold_until: Option<BootTime>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl EngineChange {
    /// A change that was read at `read_at`.
    pub(crate) fn new(id: &Upstream, engine: Option<&Engine>, read_at: BootTime) -> Self {
        Self {
            id: id.to_string(),
            engine: engine.map(|it| EngineEntry {
                started_ms: it.started_ms,
                service: it.service.to_string(),
                address: it.address,
                domain: it.domain.to_string(),
                version: it.version.to_string(),
                slots: it.slots,
                draining: it.draining,
                cold_left_ms: u64::try_from(it.cold_left.as_millis()).unwrap_or(u64::MAX),
                cold_until: Some(read_at.saturating_add(it.cold_left)),
            }),
        }
    }

    /// The change as it is passed on at a later time.
    pub(super) fn at(mut self, now: BootTime) -> Self {
        if let Some(engine) = &mut self.engine
            && let Some(end) = engine.cold_until
        {
            engine.cold_left_ms = u64::try_from(end.saturating_sub(now).as_millis()).unwrap_or(u64::MAX);
        }
        self
    }

    /// Upper limit of the size of its JSON, whose names and numbers take less than 240 bytes, or 40 without an entry.
    pub(super) fn max_encoded_len(&self) -> usize {
        let entry = self.engine.as_ref();
        let entry = entry.map_or(40, |it| {
            240 + it.service.len() + it.domain.len() + it.version.len()
        });
        entry + self.id.len()
    }

    /// The engine's id, and its entry; `None` if it was removed.
    pub(crate) fn into_entry(self) -> (Upstream, Option<Engine>) {
        let id: Upstream = self.id.into();
        let engine = self.engine.map(|it| Engine {
            id: id.clone(),
            started_ms: it.started_ms,
            service: it.service.into(),
            address: it.address,
            domain: it.domain.into(),
            version: it.version.into(),
            slots: it.slots,
            draining: it.draining,
            cold_left: Duration::from_millis(it.cold_left_ms),
        });
        (id, engine)
    }
}
