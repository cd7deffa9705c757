//! The list of engines.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use forward::BootTime;
use forward::directory::Engine;
use forward::relay::AcceptedReply;
use model::Upstream;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::{Access, read_all};
use crate::clock;
use crate::dialect::{Fact, Tail, Topic};
use crate::relay::{self, Change, Subject};
use crate::shared::{Shared, lock};
use crate::store::{self, Error};

/// Heartbeats after an engine was taken for gone in which one that lives has shown it.
const DOUBT_HEARTBEATS: u32 = 3;

/// An engine's name, and its entry unless it is gone or cannot be read.
type Entry = (Upstream, Option<Engine>);

/// Follows the list of engines: reads everything, then changes at a steady pace.
pub(crate) async fn run(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut next = None;
    let mut access = Access::new("list of engines");
    loop {
        next = match next {
            Some(from) => follow(&shared, &socket, from, &mut access).await,
            None => access.take(read_engines(&shared).await, true).await,
        };
    }
}

/// Learns changes from another node or reads them from the store, and waits until the next ones are due.
///
/// Returns the offset to go on from; `None` if records are missing and everything must be read again.
async fn follow(shared: &Shared, socket: &UdpSocket, from: u64, access: &mut Access) -> Option<u64> {
    let poll = shared.settings().store.engine_poll;
    let taken = ask(shared, socket, from, access.is_lost()).await;
    let from = taken.as_ref().map_or(from, |it| it.next_offset);
    let is_relayed = taken.is_some();
    if let Some(taken) = taken {
        let changes = taken.changes.into_iter().map(Change::into_entry);
        apply(shared, changes, taken.next_offset, taken.current_at);
    }
    if is_relayed && !access.is_due() {
        sleep(poll.div_f64(relay::ASKS)).await;
        return Some(from);
    }
    let result = read_changes(shared, from).await;
    let Some(next) = access.take(result, !is_relayed).await else {
        return Some(from);
    };
    if next.is_some() {
        sleep(poll).await;
    }
    next
}

async fn ask(shared: &Shared, socket: &UdpSocket, from: u64, is_lost: bool) -> Option<AcceptedReply<Change>> {
    let store = &shared.settings().store;
    // An engine that was taken for gone and lives shows it by its next heartbeat, which other nodes do not pass on.
    if lock(&shared.directory).has_evicted_within(clock::now(), store.heartbeat * DOUBT_HEARTBEATS) {
        return None;
    }
    relay::ask(shared, socket, Subject::Engines, from, is_lost).await
}

async fn read_engines(shared: &Shared) -> Result<u64, Error> {
    let asked = clock::now();
    let (facts, end) = read_all(shared, Topic::Engines).await?;
    let present = facts.into_iter().filter_map(|it| match it {
        Fact::Engine(_, engine) => engine,
        _ => None,
    });
    let mut directory = lock(&shared.directory);
    directory.record_read(asked);
    directory.replace(present.collect(), asked);
    lock(&shared.relay.engines).reset(end, asked);
    lock(&shared.loads).retain(directory.engines());
    if !shared.engines_known.swap(true, Ordering::Relaxed) {
        log::info!(engines = directory.engines().count(); "engines known");
    }
    Ok(end)
}

/// Reads changes from the store; `None` if records are missing and everything must be read again.
async fn read_changes(shared: &Shared, from: u64) -> Result<Option<u64>, Error> {
    let asked = clock::now();
    match store::tail(shared, Topic::Engines, from, Duration::ZERO).await? {
        Tail::Expired => Ok(None),
        Tail::Records { facts, next } => {
            let entries = facts.into_iter().filter_map(|it| match it {
                Fact::Engine(id, engine) => Some((id, engine)),
                _ => None,
            });
            apply(shared, entries, next, asked);
            Ok(Some(next))
        }
    }
}

/// Applies entries of a reading that was made at the time `at` and ends before `next`.
fn apply(shared: &Shared, entries: impl Iterator<Item = Entry>, next: u64, at: BootTime) {
    let mut directory = lock(&shared.directory);
    directory.record_read(at);
    let mut news = vec![];
    let mut changed = false;
    for (id, engine) in entries {
        let draining = engine.as_ref().is_some_and(|it| it.draining);
        let listed = engine.is_some();
        let is_new = directory.apply(&id, engine, at);
        if is_new {
            changed = true;
            log_engine(&id, listed, draining);
        }
        // Other nodes may still hold an engine that is gone and that this one has forgotten.
        if is_new || !listed {
            let engine = directory.engine(&id).filter(|_| listed);
            news.push(Change::new(&id, engine.map(|it| &**it)));
        }
    }
    lock(&shared.relay.engines).extend(next, news, at);
    if changed {
        lock(&shared.loads).retain(directory.engines());
    }
}

fn log_engine(id: &Upstream, listed: bool, draining: bool) {
    log::info!(engine = **id, listed, draining; "engine changed");
}

/// Engines that are listed, for operators.
pub(crate) fn listed(shared: &Shared) -> Vec<Arc<Engine>> {
    lock(&shared.directory).engines().cloned().collect()
}
