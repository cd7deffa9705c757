//! Transfer of configuration records between nodes, for a node that cannot reach the log.

use std::sync::Arc;
use std::time::Duration;

use config::follow::{Delta, Event, RequestId};
use model::Revision;
use wire::peer::{FetchConfigReply, FetchConfigRequest, LogRecord};

use crate::peers::{convert, target};
use crate::shared::Shared;

/// Builds the reply with the records or the snapshot that a peer at `revision` is missing.
pub(crate) fn reply(shared: &Shared, revision: Revision) -> FetchConfigReply {
    let delta = shared.config.delta(revision, shared.now());
    let records = delta.records.into_iter();
    FetchConfigReply {
        snapshot: delta.snapshot.unwrap_or_default(),
        records: records
            .map(|(offset, payload)| LogRecord { offset, payload })
            .collect(),
        revision: delta.revision,
        revision_age_ms: convert::saturating_millis(delta.age.unwrap_or(Duration::MAX)),
    }
}

/// Fetches the configuration from a host; the result is passed to the follower as an event.
pub(super) fn start(shared: &Arc<Shared>, request: RequestId, host: &str, revision: Revision) {
    let peer = shared.peers.table().find_live_by_host(host).map(target);
    let events = shared.config_channels.events.0.clone();
    let runtime = shared.client.runtime().clone();
    let shared = Arc::clone(shared);
    runtime.spawn(async move {
        let reply = match peer {
            Some(target) => {
                let message = FetchConfigRequest { revision };
                shared.client.fetch_config(target, message).await.ok()
            }
            None => None,
        };
        let event = match reply {
            Some(reply) => {
                shared.metrics.peers.config_fetched.inc();
                Event::Fetched(request, delta(reply))
            }
            None => {
                shared.metrics.peers.config_fetch_failures.inc();
                Event::FetchFailed(request)
            }
        };
        // The receiver lives as long as the node.
        events.send(event).ok();
    });
}

fn delta(reply: FetchConfigReply) -> Delta {
    let age = convert::age_from_millis(reply.revision_age_ms);
    Delta {
        snapshot: Some(reply.snapshot).filter(|it| !it.is_empty()),
        records: reply
            .records
            .into_iter()
            .map(|it| (it.offset, it.payload))
            .collect(),
        revision: reply.revision,
        age: Some(age).filter(|it| *it != Duration::MAX),
    }
}
