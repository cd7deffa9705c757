//! Configuration from other nodes, for a node that cannot reach the log.

use std::time::Duration;

use config::fold::State;
use model::Revision;
use wire::peer::{FetchConfigReply, FetchConfigRequest, LogRecord};

use super::apply;
use crate::peers::{convert, target};
use crate::shared::Shared;

/// What this node has beyond a revision.
pub(crate) fn reply(shared: &Shared, revision: Revision) -> FetchConfigReply {
    // The age is read first, so that the records are at least as new as it says.
    let age = shared.catalog.age(shared.now()).unwrap_or(Duration::MAX);
    let records = shared.catalog.records_after(revision);
    let (records, snapshot) = match records {
        Some(records) => (records, Vec::new()),
        None => (Vec::new(), shared.catalog.snapshot()),
    };
    let records = records.into_iter();
    FetchConfigReply {
        snapshot,
        records: records
            .map(|(offset, payload)| LogRecord { offset, payload })
            .collect(),
        revision: shared.catalog.revision(),
        revision_age_ms: convert::millis(age),
    }
}

/// Takes over what the other nodes know.
pub(super) fn run(shared: &Shared) {
    let now = shared.now();
    let members = shared.peers.live(now);
    let own = shared.catalog.revision();
    // A member that holds no more than this node knew the end of the log at its time.
    let known = members.iter().filter(|it| it.revision <= own);
    if let Some(age) = known.map(|it| it.age).min() {
        confirm(shared, now, age);
    }
    let ahead = members
        .iter()
        .filter(|it| it.revision > own)
        .max_by_key(|it| it.revision);
    let Some(member) = ahead else {
        return;
    };
    let request = FetchConfigRequest { revision: own };
    match shared.client.fetch_config(target(member), request) {
        Ok(reply) => take(shared, &reply, now),
        Err(_) => {
            shared.metrics.peers.config_fetch_failures.inc();
        }
    }
}

/// Folds a reply to a request that was sent at `sent`.
fn take(shared: &Shared, reply: &FetchConfigReply, sent: Duration) {
    if !reply.snapshot.is_empty() {
        match State::from_snapshot(&reply.snapshot) {
            Ok(state) => shared.catalog.restore(state),
            Err(_) => {
                shared.metrics.peers.config_fetch_failures.inc();
                return;
            }
        }
        shared.metrics.peers.config_fetched.inc();
    }
    for record in &reply.records {
        apply(shared, record.offset, &record.payload);
        shared.metrics.peers.config_fetched.inc();
    }
    let revision = shared.catalog.revision();
    shared
        .metrics
        .config_revision
        .set(i64::try_from(revision).unwrap_or(i64::MAX));
    if revision >= reply.revision {
        confirm(shared, sent, convert::age(reply.revision_age_ms));
    }
}

fn confirm(shared: &Shared, now: Duration, age: Duration) {
    // A member that is older than this process can be a little older than its clock.
    if age != Duration::MAX {
        shared.catalog.confirm(now.saturating_sub(age));
    }
}
