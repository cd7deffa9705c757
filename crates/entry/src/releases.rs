//! Drives releases through the platform's store, and exchanges what nodes saw of the new version.
//!
//! Every transition is an append that stands only if the topic still ends where it was read. So of two drivers
//! exactly one prevails at each step, and a driver that was suspended cannot undo what another one recorded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use forward::release::{Counters, Decision, Release, Status, Tally};
use model::{Incarnation, Name, hash};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::dialect::{Append, Topic};
use crate::shared::{Shared, lock};
use crate::store::{self, Error};
use crate::{clock, follow, members};

/// Interval of the exchange and of the driver's decisions while a release is under way.
const PACE: Duration = Duration::from_millis(500);

/// Rounds after which a node that does not drive reads the recorded state, in case it missed the driver's notice.
const READ_ROUNDS: u32 = 6;

/// Age up to which a held session is told; a receiver keeps what it heard, and requests of a session renew it.
const NEWS: Duration = Duration::from_millis(1200);

/// Sessions in one notice; a datagram of a few kilobytes still arrives.
const MAX_HELD: usize = 100;

/// Nodes that collect evidence; the first of them drives.
const JUDGES: usize = 2;

/// What nodes tell each other about a release.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Notice {
    service: String,
    order: u64,
    sender: String,
    /// Answers by route: old, bad old, new, bad new.
    counters: BTreeMap<String, [u64; 4]>,
    halted: bool,
    /// Sessions that stay on the old version, with the milliseconds since their last request.
    held: Vec<(u64, u64)>,
    /// The recorded state, as the sender knows it.
    status: Option<Recorded>,
}

/// A recorded state.
#[derive(Debug, Serialize, Deserialize)]
struct Recorded {
    stage: u8,
    elapsed_ms: u64,
    effective_ms: u64,
}

/// Exchanges evidence and drives releases until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut round = 0_u32;
    loop {
        sleep(PACE).await;
        let under_way: Vec<_> = {
            let releases = lock(&shared.releases);
            let open = releases.values().filter(|it| !it.has_ended());
            open.cloned().collect()
        };
        round = round.wrapping_add(1);
        for release in under_way {
            advance(&shared, &socket, &release, round).await;
        }
    }
}

async fn advance(shared: &Shared, socket: &UdpSocket, release: &Release, round: u32) {
    let judges = judges(shared, &release.order().service);
    let rank = judges.iter().position(Option::is_none);
    let notice = notice(shared, release);
    match rank {
        Some(_) => members::notify(socket, &notice, others(shared)),
        None => members::notify(socket, &notice, judges.into_iter().flatten()),
    }
    if rank == Some(0) {
        if let Decision::Record(stage) = release.decide(clock::now()) {
            let result = record(shared, release, stage).await;
            log_record(release, &result);
        }
    } else if round.is_multiple_of(READ_ROUNDS)
        && let Err(err) = read_statuses(shared).await
    {
        log::warn!(error:% = err; "states of releases not read");
    }
}

fn log_record(release: &Release, result: &Result<Append, Error>) {
    let (service, target) = (&*release.order().service, &*release.order().target);
    match result {
        Ok(Append::Done) => log::info!(service, target; "release state recorded"),
        Ok(Append::Conflict) => log::info!(service, target; "another node recorded a release state first"),
        Err(err) => log::warn!(service, target, error:% = err; "release state not recorded"),
    }
}

/// Records a stage if no other state was recorded since the topic was read.
async fn record(shared: &Shared, release: &Release, stage: forward::release::Stage) -> Result<Append, Error> {
    let end = read_statuses(shared).await?;
    let service = &release.order().service;
    // What was just read may have ended the release, or be further.
    let current = lock(&shared.releases)
        .get(service)
        .map(|it| (it.stage(), it.has_ended()));
    if current.is_none_or(|(known, ended)| ended || known > stage) {
        return Ok(Append::Conflict);
    }
    let status = release.status(stage, clock::now());
    let result = store::record_status(shared, service, &status, end).await?;
    if result == Append::Done {
        follow::apply_status(shared, service, &status);
    }
    Ok(result)
}

/// Reads and applies all recorded states; returns the end of their topic.
async fn read_statuses(shared: &Shared) -> Result<u64, Error> {
    let page = store::newest(shared, Topic::Status, None).await?;
    follow::apply_statuses(shared, page.facts);
    Ok(page.end)
}

/// The nodes that collect evidence: their addresses, or `None` for this node.
fn judges(shared: &Shared, service: &Name) -> Vec<Option<SocketAddr>> {
    let table = lock(&shared.members);
    let live = table.live(clock::now());
    let hosts = live.iter().map(|it| &*it.host);
    let chosen = hash::highest(service, hosts, JUDGES);
    let own = &*table.local().host;
    let address = |host: &str| {
        live.iter()
            .find(|it| *it.host == *host)
            .map(|it| it.addresses.gossip)
    };
    chosen
        .into_iter()
        .map(|it| if *it == *own { None } else { address(it) })
        .collect()
}

fn others(shared: &Shared) -> impl Iterator<Item = SocketAddr> + use<> {
    let table = lock(&shared.members);
    let live: Vec<_> = table
        .members()
        .filter(|it| it.is_live())
        .map(|it| it.addresses.gossip)
        .collect();
    live.into_iter()
}

fn notice(shared: &Shared, release: &Release) -> Notice {
    let now = clock::now();
    let counters = release.counters(shared.incarnation).into_iter().flatten();
    let row = |(route, it): (&Name, &Tally)| (route.to_string(), [it.old, it.old_bad, it.new, it.new_bad]);
    Notice {
        service: release.order().service.to_string(),
        order: release.order().offset,
        sender: shared.incarnation.to_string(),
        counters: counters.map(row).collect(),
        halted: release.is_halted(),
        held: release
            .held(now)
            .filter(|(_, age)| *age <= NEWS)
            .map(|(session, age)| (session, age.as_millis() as u64))
            .take(MAX_HELD)
            .collect(),
        status: release.newest_status(now).map(|it| Recorded {
            stage: it.stage.code(),
            elapsed_ms: it.elapsed.as_millis() as u64,
            effective_ms: it.effective.as_millis() as u64,
        }),
    }
}

/// Takes over what another node tells.
pub(crate) fn noticed(shared: &Shared, notice: Notice) {
    let mut releases = lock(&shared.releases);
    let Some(release) = releases.get_mut(&*notice.service) else {
        return;
    };
    if release.order().offset != notice.order {
        return;
    }
    if notice.halted && !release.is_halted() {
        log::warn!(service = notice.service, sender = notice.sender; "release halted by another node");
        release.halt();
    }
    if let Ok(sender) = notice.sender.parse::<Incarnation>() {
        release.merge(sender, counters(notice.counters));
    }
    let now = clock::now();
    for (session, age_ms) in notice.held {
        release.hold(session, Duration::from_millis(age_ms), now);
    }
    if let Some(recorded) = notice.status {
        let status = Status {
            order: notice.order,
            target: release.order().target.clone(),
            stage: forward::release::Stage::from_code(recorded.stage),
            elapsed: Duration::from_millis(recorded.elapsed_ms),
            effective: Duration::from_millis(recorded.effective_ms),
        };
        let before = release.stage();
        release.recorded(&status, now);
        if release.stage() != before {
            log::info!(service = notice.service, before:?, stage:? = release.stage(), sender = notice.sender; "release moved");
        }
    }
}

fn counters(rows: BTreeMap<String, [u64; 4]>) -> Counters {
    let tally = |[old, old_bad, new, new_bad]: [u64; 4]| Tally {
        old,
        old_bad,
        new,
        new_bad,
    };
    rows.into_iter()
        .map(|(route, it)| (route.into(), tally(it)))
        .collect()
}
