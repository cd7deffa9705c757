//! Follows the configuration and the orders written by operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use forward::BootTime;
use forward::configuration::Configuration;
use forward::relay::{Extent, Position};
use forward::release::{Exposure, Release, ReleaseOrder, ReleaseStatus};
use forward::successor::Standing;
use model::Name;
use tokio::time::sleep;

use super::{ReadLog, Source, TopicAccess, pause_after_full_read, read_all};
use crate::protocol::{Record, Tail, Topic};
use crate::relay::operators::OperatorsRead;
use crate::relay::{self, DirectRead, Plan, Relayed, RelayedTopic};
use crate::shared::{Shared, lock};
use crate::store::{self, Error};
use crate::{clock, evacuation, warm_up};

/// Maximum time for which a node that starts waits for the first datagram of another one; as datagrams may be lost, that
/// takes some attempts.
const MEETING_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which it looks for one.
const MEETING_POLL: Duration = Duration::from_millis(10);

/// Follows the operators' records: reads all, then waits for changes.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut next = None;
    let mut access = TopicAccess::new("operators' records");
    loop {
        next = match next {
            Some(from) => follow(&shared, from, &mut access).await,
            None => {
                let read = access
                    .request(&shared, Duration::ZERO, read_operators(&shared))
                    .await;
                match read {
                    Ok(_) => pause_after_full_read(&shared, RelayedTopic::Operators).await,
                    Err(_) => sleep(access.backoff()).await,
                }
                read.ok()
            }
        };
    }
}

/// Learns from another node whether there are new records, or reads them from the store.
///
/// Returns the next position; `None` if records are missing and all must be read again.
async fn follow(shared: &Shared, from: Position, access: &mut TopicAccess) -> Option<Position> {
    let topic = RelayedTopic::Operators;
    let log = ReadLog::begin(shared, topic);
    let plan = Plan::draw(shared, topic);
    let is_lost = access.is_lost();
    let inquiry = relay::query(shared, plan, from, is_lost).await;
    let (round, failures) = (inquiry.round(), inquiry.failures);
    let (mut known, mut has_records) = (from, false);
    if let Some(relayed) = &inquiry.relayed {
        let followed = follow_peer(shared, from, relayed, plan, is_lost).await;
        has_records = followed.is_ok();
        known = followed.unwrap_or_else(|known| known);
        log.write(shared, &Source::Node(relayed.host.clone()), &failures);
    }
    let is_behind = inquiry.relayed.is_some() && !has_records;
    let next = match is_behind && !is_lost {
        true => Ok(DirectRead::RecordsUnknown),
        false => access.after_round(shared, plan, round, inquiry.reason),
    };
    let reason = match next {
        Ok(reason) => reason,
        Err(pause) => {
            if !has_records {
                log.write(shared, &Source::None, &failures);
            }
            sleep(pause).await;
            return Some(known);
        }
    };
    reason.count(shared);
    // A call that waits confirms only at its end, which would be late for what is old already.
    let mut wait = match reason {
        DirectRead::Reader => plan.budget.reader_wait(topic.age(shared)),
        _ => Duration::ZERO,
    };
    loop {
        let timeout = access.timeout(plan.budget);
        let read = wait_for_operators(shared, known, wait, timeout);
        let result = access.request(shared, wait, read).await;
        log.write(shared, &Source::store(reason, &result), &failures);
        let Ok(read) = result else {
            sleep(plan.budget.reply_timeout()).await;
            return Some(known);
        };
        known = read?.next;
        if !read?.is_cut_off() {
            if reason != DirectRead::Reader {
                sleep(plan.budget.query_interval()).await;
            }
            return Some(known);
        }
        wait = Duration::ZERO;
    }
}

/// Gets the records from another node that it knows of, before the store is due. A node that cannot reach the store
/// (`is_lost`) takes longer.
///
/// Returns the position up to which the records are known.
///
/// # Errors
/// Further ones were not received; the position up to which they are known.
async fn follow_peer(
    shared: &Shared,
    from: Position,
    relayed: &Relayed,
    plan: Plan,
    is_lost: bool,
) -> Result<Position, Position> {
    let end = relayed.reply.next;
    let mut known = from;
    while known < end {
        let time_left = match is_lost {
            true => Duration::MAX,
            false => plan.time_left(shared),
        };
        match get_operators(shared, relayed.peer, known, time_left).await {
            Ok(next) => known = next,
            Err(err) => {
                log::info!(peer:% = relayed.peer, error:% = err; "operators' records not received from another node");
                return Err(known);
            }
        }
    }
    let mut journal = lock(&shared.relay.operators);
    if journal.is_credible(known, relayed.counts_to_end) {
        journal.extend(Extent::to_end(known, relayed.reply.current_at), vec![]);
    }
    drop(journal);
    confirm(shared);
    Ok(known)
}

/// Gets and applies records from another node; returns the position after them.
async fn get_operators(
    shared: &Shared,
    peer: SocketAddr,
    from: Position,
    time_left: Duration,
) -> Result<Position, Error> {
    let read = relay::operators::get(shared, peer, from, time_left).await?;
    let tail = store::parse_tail(shared, Topic::Operators, read.from, &read.reply)?;
    let Tail::Records { records, next, end } = tail else {
        return Err(Error::HistoryChanged);
    };
    if next <= from {
        return Err(Error::RecordsUnknown);
    }
    apply_operators(shared, records)?;
    let at = BootTime::ZERO;
    relay::operators::keep(shared, read, Extent { next, end, at });
    Ok(next)
}

async fn read_operators(shared: &Shared) -> Result<Position, Error> {
    let requested_at = clock::now();
    // Statuses are read first, so that an order whose release has begun is not taken for a new one.
    let (statuses, _) = read_all(shared, Topic::Status).await?;
    let (records, end) = read_all(shared, Topic::Operators).await?;
    let known = lock(&shared.relay.operators).newest(requested_at);
    if let Some((known, _)) = known.filter(|it| it.0.era < end.era) {
        log::warn!(era = end.era, before = known.era, offset = end.offset; "operators' records restored from a copy");
        lock(&shared.releases)
            .values_mut()
            .for_each(Release::expect_rewrite);
    }
    evacuation::replace(shared, &records, end);
    apply_operators(shared, records)?;
    lock(&shared.relay.operators).reset(end, requested_at);
    meet_others(shared).await;
    confirm(shared);
    apply_statuses(shared, statuses);
    Ok(end)
}

/// Waits for a change; `None` if records are missing and all must be read again.
async fn wait_for_operators(
    shared: &Shared,
    from: Position,
    wait: Duration,
    timeout: Duration,
) -> Result<Option<Extent>, Error> {
    let requested_at = clock::now();
    let (tail, reply) = store::tail(shared, Topic::Operators, from, wait, timeout).await?;
    match tail {
        Tail::Expired => Ok(None),
        Tail::Records { records, next, .. } if records.is_empty() => {
            let extent = Extent::without_records(next, requested_at, wait, clock::now());
            lock(&shared.relay.operators).extend(extent, vec![]);
            confirm(shared);
            Ok(Some(extent))
        }
        Tail::Records { records, next, end } => {
            apply_operators(shared, records)?;
            let at = requested_at;
            let extent = Extent { next, end, at };
            relay::operators::keep(shared, OperatorsRead { from, reply }, extent);
            confirm(shared);
            Ok(Some(extent))
        }
    }
}

/// Confirms the configuration at the time at which the operators' topic is known to have been current. All records
/// that were read must have been applied.
///
/// A store that came back from an older copy may lack a configuration that other nodes have.
fn confirm(shared: &Shared) {
    let current_at = lock(&shared.relay.operators).current_at();
    evacuation::confirm(shared, current_at);
    let stated = lock(&shared.members).newest_revision();
    let now = clock::now();
    let mut cached = lock(&shared.configuration);
    let own = cached.value().map_or(0, |it| it.version);
    let standing = lock(&shared.successor).standing(own, stated, current_at, now);
    match standing {
        Standing::Newest => cached.confirm(current_at),
        // One that is in use stays so until a read decides; one that is not must not be used before.
        Standing::Behind if cached.is_fresh(now, shared.settings().bounds.revocation) => {
            cached.confirm(current_at);
        }
        Standing::Behind => {}
        Standing::Lost => {
            if cached.withdraw() {
                log::warn!(version = own, stated; "configuration withdrawn: the store lacks one that other nodes have");
            }
        }
    }
}

/// Waits until another node has stated its configuration, which the store may lack, or does not answer in time.
async fn meet_others(shared: &Shared) {
    let settings = shared.settings();
    let is_alone = settings.node.first_start || settings.seeds.iter().all(|it| *it == settings.listen.gossip);
    let has_met = || {
        lock(&shared.members)
            .time_since_last_datagram(clock::now())
            .is_some()
    };
    let begin = clock::now();
    while !is_alone && !has_met() && clock::now().saturating_sub(begin) < MEETING_TIMEOUT {
        sleep(MEETING_POLL).await;
    }
}

/// Applies the operators' records.
///
/// # Errors
/// The newest configuration cannot be decoded. It may revoke keys, so the current one must not be confirmed.
fn apply_operators(shared: &Shared, records: Vec<Record>) -> Result<(), Error> {
    // A configuration that is adopted may make this node accept requests, so the orders come first.
    evacuation::apply(shared, &records);
    let mut undecodable = None;
    for record in records {
        match record {
            Record::Configuration(it) => {
                undecodable = None;
                adopt(shared, it);
            }
            Record::UnreadableConfiguration { reason } => undecodable = Some(reason),
            Record::Release(order) => begin_release(shared, order),
            Record::Unreadable { key, reason } => log::error!(key, reason; "record cannot be decoded"),
            _ => {}
        }
    }
    undecodable.map_or(Ok(()), |it| Err(Error::Configuration(it)))
}

/// Replaces the configuration unless a newer one is known.
fn adopt(shared: &Shared, configuration: Arc<Configuration>) {
    let mut cached = lock(&shared.configuration);
    let known = cached.value().map_or(0, |it| it.version);
    if configuration.version <= known && known > 0 {
        return;
    }
    let (version, routes) = (configuration.version, configuration.route_count());
    log::info!(version, routes, before = known; "configuration adopted");
    warm_up::configure(shared, &configuration);
    cached.replace(configuration);
}

/// Begins a release unless its order or a later one is known.
pub(crate) fn begin_release(shared: &Shared, order: ReleaseOrder) {
    let mut releases = lock(&shared.releases);
    if let Some(known) = releases.get_mut(&order.service) {
        known.follow_rewrite(&order);
        if !known.is_replaced_by(&order) {
            return;
        }
    }
    let (service, target) = (order.service.clone(), order.target.clone());
    let duration_ms = order.duration.as_millis() as u64;
    log::info!(service = *service, target = *target, duration_ms; "release ordered");
    let bounds = &shared.settings().bounds;
    let exposure = Exposure {
        share: bounds.exposure_share,
        slack: bounds.exposure_slack,
    };
    let release = Release::new(order, bounds.session, exposure, clock::now());
    releases.insert(service, release);
}

/// Applies recorded release statuses.
pub(crate) fn apply_statuses(shared: &Shared, records: Vec<Record>) {
    for record in records {
        if let Record::ReleaseStatus(service, status) = record {
            apply_status(shared, &service, &status);
        }
    }
}

/// Applies the recorded status of one release.
pub(crate) fn apply_status(shared: &Shared, service: &Name, status: &ReleaseStatus) {
    let mut releases = lock(&shared.releases);
    let Some(release) = releases.get_mut(service) else {
        return;
    };
    let before = release.stage();
    release.apply_recorded_status(status, clock::now());
    if release.stage() != before {
        log::info!(service = **service, before:? = before, stage:? = release.stage(); "release moved");
    }
}
