//! Follows the operators' records and the list of engines in the platform's store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use forward::Moment;
use forward::catalog::Configuration;
use forward::directory::Engine;
use forward::release::{Order, Release, Status};
use model::{Name, Upstream};
use rand::Rng;
use tokio::time::sleep;

use crate::clock;
use crate::dialect::{Fact, Page, Tail, Topic};
use crate::shared::{Shared, lock};
use crate::store::{self, Error};

/// Pause after a failed call, at random up to this time more, so that nodes do not return together.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Follows what operators write: reads everything, then waits for changes.
pub(crate) async fn operators(shared: Arc<Shared>) {
    let mut next = None;
    let mut connected = true;
    loop {
        let result = match next {
            None => read_operators(&shared).await.map(Some),
            Some(from) => wait_for_operators(&shared, from).await,
        };
        note_connection(&mut connected, "operators' records", result.as_ref().err());
        match result {
            Ok(it) => next = it,
            Err(_) => pause().await,
        }
    }
}

/// Follows the list of engines: reads everything, then changes at a steady pace.
pub(crate) async fn engines(shared: Arc<Shared>) {
    let mut next = None;
    let mut connected = true;
    loop {
        let result = match next {
            None => read_engines(&shared).await.map(Some),
            Some(from) => read_engine_changes(&shared, from).await,
        };
        note_connection(&mut connected, "list of engines", result.as_ref().err());
        match result {
            Ok(it) => next = it,
            Err(_) => {
                pause().await;
                continue;
            }
        }
        if next.is_some() {
            sleep(shared.settings().store.engine_poll).await;
        }
    }
}

/// Logs the loss and the return of a part of the store.
fn note_connection(connected: &mut bool, what: &'static str, err: Option<&Error>) {
    match err {
        Some(err) if *connected => log::warn!(what, error:% = err; "store lost"),
        None if !*connected => log::info!(what; "store regained"),
        _ => {}
    }
    *connected = err.is_none();
}

async fn pause() {
    let more = rand::rng().random_range(0.0..1.0);
    sleep(FAILURE_PAUSE + FAILURE_PAUSE.mul_f64(more)).await;
}

/// Reads all pages of a topic; records that change meanwhile are read again behind the end of the first page.
async fn read_all(shared: &Shared, topic: Topic) -> Result<(Vec<Fact>, u64), Error> {
    let Page {
        mut facts,
        mut after,
        end,
    } = store::newest(shared, topic, None).await?;
    while let Some(key) = after {
        let page = store::newest(shared, topic, Some(&key)).await?;
        facts.extend(page.facts);
        after = page.after;
    }
    Ok((facts, end))
}

async fn read_operators(shared: &Shared) -> Result<u64, Error> {
    let asked = clock::now();
    // The states of releases go first, so that no order is taken for one that has not begun.
    let (statuses, _) = read_all(shared, Topic::Status).await?;
    let (facts, end) = read_all(shared, Topic::Operators).await?;
    apply_operators(shared, facts, asked)?;
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
            apply_operators(shared, facts, confirmed)?;
            Ok(Some(next))
        }
    }
}

/// Applies records, and notes that the configuration was known to be current at `confirmed`.
///
/// # Errors
/// The newest configuration cannot be read. It may have taken keys away, so nothing is confirmed.
fn apply_operators(shared: &Shared, facts: Vec<Fact>, confirmed: Moment) -> Result<(), Error> {
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
    if let Some(reason) = unreadable {
        return Err(Error::Configuration(reason));
    }
    lock(&shared.catalog).confirm(confirmed);
    Ok(())
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

fn begin_release(shared: &Shared, order: Order) {
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
pub(crate) fn apply_status(shared: &Shared, service: &Name, status: &Status) {
    let mut releases = lock(&shared.releases);
    let Some(release) = releases.get_mut(service) else {
        return;
    };
    let before = release.stage();
    release.recorded(status, clock::now());
    if release.stage() != before {
        log::info!(service = **service, before:? = before, stage:? = release.stage(); "release moved");
    }
}

async fn read_engines(shared: &Shared) -> Result<u64, Error> {
    let (facts, end) = read_all(shared, Topic::Engines).await?;
    let present = facts.into_iter().filter_map(|it| match it {
        Fact::Engine(_, engine) => engine,
        _ => None,
    });
    let now = clock::now();
    let mut directory = lock(&shared.directory);
    directory.resume(now);
    directory.replace(present.collect(), now);
    lock(&shared.loads).retain(directory.engines());
    if !shared.engines_known.swap(true, Ordering::Relaxed) {
        log::info!(engines = directory.engines().count(); "engines known");
    }
    Ok(end)
}

/// Reads changes; `None` if records are missing and everything must be read again.
async fn read_engine_changes(shared: &Shared, from: u64) -> Result<Option<u64>, Error> {
    match store::tail(shared, Topic::Engines, from, Duration::ZERO).await? {
        Tail::Expired => Ok(None),
        Tail::Records { facts, next } => {
            apply_engines(shared, facts);
            Ok(Some(next))
        }
    }
}

fn apply_engines(shared: &Shared, facts: Vec<Fact>) {
    let now = clock::now();
    let mut directory = lock(&shared.directory);
    directory.resume(now);
    let mut changed = false;
    for fact in facts {
        if let Fact::Engine(id, engine) = fact {
            let draining = engine.as_ref().is_some_and(|it| it.draining);
            let listed = engine.is_some();
            if directory.apply(&id, engine, now) {
                changed = true;
                log_engine(&id, listed, draining);
            }
        }
    }
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
