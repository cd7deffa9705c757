//! Changes of the list of engines as nodes pass them on.

use std::net::SocketAddr;

use forward::directory::Engine;
use model::Upstream;
use serde::{Deserialize, Serialize};

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
}

impl EngineChange {
    pub(crate) fn new(id: &Upstream, engine: Option<&Engine>) -> Self {
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
            }),
        }
    }

    /// Upper limit of the size of its JSON, whose names and numbers take less than 200 bytes.
    pub(super) fn max_encoded_len(&self) -> usize {
        let texts = self
            .engine
            .as_ref()
            .map_or(0, |it| it.service.len() + it.domain.len() + it.version.len());
        200 + self.id.len() + texts
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
        });
        (id, engine)
    }
}
