//! Configuration and orders of releases, as the operators write them.

use std::sync::Arc;

use forward::BootTime;
use forward::configuration::Configuration;
use forward::release::{Release, ReleaseOrder, ReleaseStatus};
use model::Name;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::{Access, read_all};
use crate::clock;
use crate::dialect::{Fact, Tail, Topic};
use crate::relay::{self, Subject};
use crate::shared::{Shared, lock};
use crate::store::{self, Error};

/// Follows what operators write: reads everything, then waits for changes.
pub(crate) async fn run(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut next = None;
    let mut access = Access::new("operators' records");
    loop {
        next = match next {
            Some(from) => follow(&shared, &socket, from, &mut access).await,
            None => access.take(read_operators(&shared).await, true).await,
        };
    }
}

/// Learns from another node whether there is something new, or reads it from the store.
///
/// Returns the offset to go on from; `None` if records are missing and everything must be read again.
async fn follow(shared: &Shared, socket: &UdpSocket, from: u64, access: &mut Access) -> Option<u64> {
    let taken = relay::ask(shared, socket, Subject::Operators, from, access.is_lost()).await;
    let is_confirmed = taken.as_ref().is_some_and(|it| it.next_offset == from);
    if let Some(taken) = taken.filter(|it| it.next_offset == from) {
        confirm(shared, from, taken.current_at);
    }
    if is_confirmed && !access.is_due() {
        let wait = shared.settings().store.config_wait;
        sleep(wait.div_f64(relay::ASKS)).await;
        return Some(from);
    }
    let result = wait_for_operators(shared, from).await;
    access.take(result, !is_confirmed).await.unwrap_or(Some(from))
}

async fn read_operators(shared: &Shared) -> Result<u64, Error> {
    let asked = clock::now();
    // The states of releases go first, so that no order is taken for one that has not begun.
    let (statuses, _) = read_all(shared, Topic::Status).await?;
    let (facts, end) = read_all(shared, Topic::Operators).await?;
    apply_operators(shared, facts)?;
    confirm(shared, end, asked);
    apply_statuses(shared, statuses);
    Ok(end)
}

/// Waits for a change; `None` if records are missing and everything must be read again.
async fn wait_for_operators(shared: &Shared, from: u64) -> Result<Option<u64>, Error> {
    let wait = shared.settings().store.config_wait;
    let asked = clock::now();
    match store::tail(shared, Topic::Operators, from, wait).await? {
        Tail::Expired => Ok(None),
        Tail::Records { facts, next } => {
            // Without a record the store held the call for the whole wait, and nothing changed in that time.
            let confirmed = match facts.is_empty() {
                true => clock::now().min(asked + wait),
                false => asked,
            };
            apply_operators(shared, facts)?;
            confirm(shared, next, confirmed);
            Ok(Some(next))
        }
    }
}

/// Notes that the configuration was known to be current, and the topic to end at `next`, at the time `at`.
fn confirm(shared: &Shared, next: u64, at: BootTime) {
    lock(&shared.catalog).confirm(at);
    lock(&shared.relay.operators).reset(next, at);
}

/// Applies records.
///
/// # Errors
/// The newest configuration cannot be read. It may have taken keys away, so nothing may be confirmed.
fn apply_operators(shared: &Shared, facts: Vec<Fact>) -> Result<(), Error> {
    let mut unreadable = None;
    for fact in facts {
        match fact {
            Fact::Configuration(it) => {
                unreadable = None;
                adopt(shared, it);
            }
            Fact::UnreadableConfiguration { reason } => unreadable = Some(reason),
            Fact::Release(order) => begin_release(shared, order),
            Fact::Unreadable { key, reason } => log::error!(key, reason; "record cannot be read"),
            _ => {}
        }
    }
    unreadable.map_or(Ok(()), |it| Err(Error::Configuration(it)))
}

/// Adopts a configuration unless a newer one is known.
fn adopt(shared: &Shared, configuration: Arc<Configuration>) {
    let mut catalog = lock(&shared.catalog);
    let known = catalog.value().map_or(0, |it| it.version);
    if configuration.version <= known && known > 0 {
        return;
    }
    let (version, routes) = (configuration.version, configuration.route_count());
    log::info!(version, routes, before = known; "configuration adopted");
    catalog.replace(configuration);
}

fn begin_release(shared: &Shared, order: ReleaseOrder) {
    let mut releases = lock(&shared.releases);
    let known = releases.get(&order.service).map(|it| it.order().offset);
    if known.is_some_and(|it| it >= order.offset) {
        return;
    }
    let (service, target) = (order.service.clone(), order.target.clone());
    let duration_ms = order.duration.as_millis() as u64;
    log::info!(service = *service, target = *target, duration_ms; "release ordered");
    let session = shared.settings().bounds.session;
    releases.insert(service, Release::new(order, session, clock::now()));
}

/// Applies recorded states of releases.
pub(crate) fn apply_statuses(shared: &Shared, facts: Vec<Fact>) {
    for fact in facts {
        if let Fact::ReleaseStatus(service, status) = fact {
            apply_status(shared, &service, &status);
        }
    }
}

/// Applies the recorded state of one release.
pub(crate) fn apply_status(shared: &Shared, service: &Name, status: &ReleaseStatus) {
    let mut releases = lock(&shared.releases);
    let Some(release) = releases.get_mut(service) else {
        return;
    };
    let before = release.stage();
    release.apply_status(status, clock::now());
    if release.stage() != before {
        log::info!(service = **service, before:? = before, stage:? = release.stage(); "release moved");
    }
}
