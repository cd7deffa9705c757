//! Follows the list of engines.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use forward::directory::{Directory, Engine};
use forward::relay::{Extent, Position};
use model::Upstream;
use tokio::time::sleep;

use super::{ReadLog, Source, TopicAccess, pause_after_full_read, read_all};
use crate::protocol::{Record, Tail, Topic};
use crate::relay::{self, DirectRead, EngineChange, Inquiry, Plan, Relayed, RelayedTopic};
use crate::shared::{Shared, lock};
use crate::store::{self, Error};
use crate::{clock, path, warm_up};

mod changes;

use changes::Changes;

/// Heartbeats after an eviction within which an engine that still runs has renewed its entry.
const EVICTION_HEARTBEATS: u32 = 3;

/// An engine's id, and its entry; `None` if it was removed or cannot be decoded.
type Entry = (Upstream, Option<Engine>);

/// Follows the list of engines: reads all entries, then polls for changes.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut next = None;
    let mut access = TopicAccess::new("list of engines");
    loop {
        next = match next {
            Some(from) => follow(&shared, from, &mut access).await,
            None => {
                let read = access
                    .request(&shared, Duration::ZERO, read_engines(&shared))
                    .await;
                match read {
                    Ok(_) => pause_after_full_read(&shared, RelayedTopic::Engines).await,
                    Err(_) => sleep(access.backoff()).await,
                }
                read.ok()
            }
        };
    }
}

/// Gets changes from another node or reads them from the store, then waits until the next ones are due.
///
/// Returns the next position; `None` if records are missing and all entries must be read again.
async fn follow(shared: &Shared, from: Position, access: &mut TopicAccess) -> Option<Position> {
    let topic = RelayedTopic::Engines;
    let log = ReadLog::begin(shared, topic);
    let plan = Plan::draw(shared, topic);
    let has_evicted = has_evicted(shared);
    let inquiry = match has_evicted && !access.is_lost() {
        true => Inquiry::none(),
        false => relay::query(shared, plan, from, access.is_lost()).await,
    };
    let (round, failures) = (inquiry.round(), inquiry.failures);
    let is_relayed = inquiry.relayed.is_some();
    let mut from = from;
    if let Some(Relayed { reply, host, .. }) = inquiry.relayed {
        let changes = reply.changes.into_iter().map(EngineChange::into_entry);
        from = reply.next;
        apply(
            shared,
            changes,
            Extent::to_end(reply.next, reply.current_at),
            false,
        );
        log.write(shared, &Source::Node(host), &failures);
    }
    let next = match has_evicted && (!access.is_lost() || is_relayed && access.has_backed_off()) {
        true => Ok(DirectRead::Evicted),
        false => access.after_round(shared, plan, round, inquiry.reason),
    };
    let reason = match next {
        Ok(reason) => reason,
        Err(pause) => {
            if !is_relayed {
                log.write(shared, &Source::None, &failures);
            }
            sleep(pause).await;
            return Some(from);
        }
    };
    reason.count(shared);
    loop {
        let timeout = access.timeout(plan.budget);
        let read = read_changes(shared, from, timeout);
        let result = access.request(shared, Duration::ZERO, read).await;
        log.write(shared, &Source::store(reason, &result), &failures);
        let Ok(read) = result else {
            sleep(plan.budget.reply_timeout()).await;
            return Some(from);
        };
        from = read?.next;
        if !read?.is_cut_off() {
            sleep(plan.budget.reader_wait(topic.age(shared))).await;
            return Some(from);
        }
    }
}

/// Whether an engine was evicted lately. If it still runs, it renews its entry with the next heartbeat, which other nodes do
/// not pass on.
fn has_evicted(shared: &Shared) -> bool {
    let time = shared.settings().store.heartbeat * EVICTION_HEARTBEATS;
    lock(&shared.directory).has_evicted_within(clock::now(), time)
}

async fn read_engines(shared: &Shared) -> Result<Position, Error> {
    let requested_at = clock::now();
    let (records, end) = read_all(shared, Topic::Engines).await?;
    let present = records.into_iter().filter_map(|it| match it {
        Record::Engine(_, engine) => engine,
        _ => None,
    });
    let present: Vec<Engine> = present.collect();
    let mut directory = lock(&shared.directory);
    let mut journal = lock(&shared.relay.engines);
    // The first read shows no start.
    let ran = shared.engines_known.load(Ordering::Relaxed);
    let entry = |it: &Engine| (it.clone(), ran && is_start(&directory, it));
    let listed: Vec<_> = present.iter().map(entry).collect();
    directory.record_read(requested_at);
    match journal.newest(requested_at) {
        Some((known, _)) if known.era < end.era => {
            log::warn!(era = end.era, before = known.era, offset = end.offset; "list of engines restored from a copy");
            directory.restore(present, requested_at);
            journal.reset(end, requested_at);
        }
        Some((known, _)) if known <= end => {
            // Other nodes would have to read the whole list too if they could not follow from here.
            let changed = directory.replace(present, requested_at);
            let listed = |id: &Upstream| directory.listed(id).map(|it| &**it);
            let mut log = Changes::default();
            changed.iter().for_each(|it| log.record(it, listed(it)));
            log.log();
            let change = |id: &Upstream| EngineChange::new(id, listed(id), requested_at);
            let changes = changed.iter().map(change).collect();
            journal.extend_by_difference(end, changes, requested_at);
        }
        _ => {
            directory.replace(present, requested_at);
            journal.reset(end, requested_at);
        }
    }
    drop(journal);
    forget_removed(shared, &directory);
    if !shared.engines_known.swap(true, Ordering::Relaxed) {
        log::info!(engines = directory.engines().count(); "engines known");
    }
    drop(directory);
    warm_up::record_listed(shared, &listed, true);
    Ok(end)
}

/// Reads changes from the store; `None` if records are missing and all entries must be read again.
async fn read_changes(shared: &Shared, from: Position, timeout: Duration) -> Result<Option<Extent>, Error> {
    let requested_at = clock::now();
    let (tail, _) = store::tail(shared, Topic::Engines, from, Duration::ZERO, timeout).await?;
    match tail {
        Tail::Expired => Ok(None),
        Tail::Records { records, next, end } => {
            let entries = records.into_iter().filter_map(|it| match it {
                Record::Engine(id, engine) => Some((id, engine)),
                _ => None,
            });
            let at = requested_at;
            let read = Extent { next, end, at };
            apply(shared, entries, read, true);
            Ok(Some(read))
        }
    }
}

/// Whether an entry is the first one of its run.
fn is_start(directory: &Directory, entry: &Engine) -> bool {
    let known = directory.engine(&entry.id);
    known.is_none_or(|it| it.started_ms < entry.started_ms)
}

/// Applies the entries of a read, of the store itself (`is_direct`) or of another node.
fn apply(shared: &Shared, entries: impl Iterator<Item = Entry>, read: Extent, is_direct: bool) {
    let at = read.at;
    let read_at = clock::now();
    let mut directory = lock(&shared.directory);
    directory.record_read(at);
    let mut relayed = vec![];
    let mut present = vec![];
    let mut changes = Changes::default();
    for (id, engine) in entries {
        let listed = engine.is_some();
        present.extend(engine.iter().map(|it| (it.clone(), is_start(&directory, it))));
        let is_new = directory.apply(&id, engine, at);
        if is_new && let Some(engine) = directory.engine(&id) {
            path::record_start(shared, &engine.service);
        }
        let engine = directory.engine(&id).filter(|_| listed).map(|it| &**it);
        if is_new {
            changes.record(&id, engine);
        }
        // Other nodes may still list an engine that was removed and that this node no longer knows.
        if is_new || !listed {
            relayed.push(EngineChange::new(&id, engine, read_at));
        }
    }
    lock(&shared.relay.engines).extend(read, relayed);
    changes.log();
    if !changes.is_empty() {
        forget_removed(shared, &directory);
    }
    drop(directory);
    warm_up::record_listed(shared, &present, is_direct);
}

/// Drops the state of engines that are no longer listed.
fn forget_removed(shared: &Shared, directory: &Directory) {
    lock(&shared.loads).retain(directory.engines());
    lock(&shared.load_exchange).follow(directory.engines());
    lock(&shared.statements).retain(directory.engines(), clock::now());
    shared
        .paths
        .retain(|service| directory.engines().any(|it| it.service == *service));
}

/// Listed engines, for operators.
pub(crate) fn listed(shared: &Shared) -> Vec<Arc<Engine>> {
    lock(&shared.directory).engines().cloned().collect()
}
