//! Drives releases through the platform's store, and exchanges what nodes saw of the new version.
//!
//! Every transition is an append that stands only if the topic still ends where it was read. So of two drivers
//! exactly one prevails at each step, and a driver that was suspended cannot undo what another one recorded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use forward::release::{Decision, Release, Stage};
use model::{Name, hash};
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::dialect::{Append, Topic};
use crate::notice::{Notice, notices};
use crate::shared::{Shared, lock};
use crate::store::{self, Error};
use crate::{clock, follow, members};

/// Interval of the exchange and of the driver's decisions while a release is under way.
const PACE: Duration = Duration::from_millis(500);

/// Rounds without a judge's notice after which a node reads the recorded state itself.
const SILENT_ROUNDS: u32 = 6;

/// Rounds for which a decision must be due before the next judge takes it: the first one may be cut off from the store
/// while other nodes still hear it.
const TAKE_OVER_ROUNDS: u32 = 4;

/// Notices that a judge sends at once, and the pause after them. The slowest links take 10 Mbit/s and queue little;
/// a burst to the whole fleet would always lose its end.
const BURST: usize = 8;
const BURST_PAUSE: Duration = Duration::from_millis(20);

/// Nodes that collect evidence; the first of them drives, and the next one if it does not.
const JUDGES: usize = 2;

/// What a node remembers between the rounds of one release.
#[derive(Debug, Default)]
struct Watch {
    /// Rounds for which a decision has been due.
    due: u32,
    /// Rounds since a judge was heard or the recorded state was read.
    silent: u32,
}

/// Exchanges evidence and drives releases until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut watches: BTreeMap<Name, Watch> = BTreeMap::new();
    loop {
        sleep(PACE).await;
        let under_way: Vec<_> = {
            let releases = lock(&shared.releases);
            let open = releases.values().filter(|it| !it.has_ended());
            open.cloned().collect()
        };
        let is_open = |service: &Name| under_way.iter().any(|it| it.order().service == *service);
        watches.retain(|service, _| is_open(service));
        for release in under_way {
            let watch = watches.entry(release.order().service.clone()).or_default();
            advance(&shared, &socket, &release, watch).await;
        }
    }
}

async fn advance(shared: &Shared, socket: &Arc<UdpSocket>, release: &Release, watch: &mut Watch) {
    let judges = judges(shared, &release.order().service);
    let rank = judges.iter().position(Option::is_none);
    let notices = notices(shared, release, rank.is_some());
    match rank {
        Some(_) => _ = tokio::spawn(tell(socket.clone(), notices, others(shared))),
        None => tell(socket.clone(), notices, judges.into_iter().flatten().collect()).await,
    }
    let decision = release.decide(clock::now());
    watch.due = if decision == Decision::Hold {
        0
    } else {
        watch.due + 1
    };
    let is_turn = rank.is_some_and(|it| watch.due > it as u32 * TAKE_OVER_ROUNDS);
    if let Decision::Record(stage) = decision
        && is_turn
    {
        let result = record(shared, release, stage).await;
        return log_record(release, &result);
    }
    watch.silent = if release.has_collector_notice_within(clock::now(), PACE * 2) {
        0
    } else {
        watch.silent + 1
    };
    if watch.silent >= SILENT_ROUNDS && rank != Some(0) {
        watch.silent = 0;
        if let Err(err) = read_statuses(shared).await {
            log::warn!(error:% = err; "states of releases not read");
        }
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
async fn record(shared: &Shared, release: &Release, stage: Stage) -> Result<Append, Error> {
    let end = read_statuses(shared).await?;
    let service = &release.order().service;
    // What was just read may have ended the release, or be further.
    let current = lock(&shared.releases)
        .get(service)
        .map(|it| (it.stage(), it.has_ended()));
    if current.is_none_or(|(known, ended)| ended || known > stage) {
        return Ok(Append::Conflict);
    }
    let status = release.status_for(stage, clock::now());
    let result = store::record_status(shared, service, &status, end).await?;
    if result == Append::Done {
        follow::operators::apply_status(shared, service, &status);
    }
    Ok(result)
}

/// Reads and applies all recorded states; returns the end of their topic.
async fn read_statuses(shared: &Shared) -> Result<u64, Error> {
    let page = store::newest(shared, Topic::Status, None).await?;
    follow::operators::apply_statuses(shared, page.facts);
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

fn others(shared: &Shared) -> Vec<SocketAddr> {
    let table = lock(&shared.members);
    let live = table.members().filter(|it| it.is_live());
    live.map(|it| it.addresses.gossip).collect()
}

/// Sends notices to nodes, in another order each time and not all at once.
async fn tell(socket: Arc<UdpSocket>, notices: Vec<Notice>, mut to: Vec<SocketAddr>) {
    to.shuffle(&mut rand::rng());
    for notice in &notices {
        for (index, part) in to.chunks(BURST).enumerate() {
            if index > 0 {
                sleep(BURST_PAUSE).await;
            }
            members::notify(&socket, notice, part.iter().copied());
        }
    }
}
