//! Exchanges with other nodes who reaches the engines of a service, and probes paths that are lost.

use std::collections::HashMap;
use std::iter;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use forward::BootTime;
use forward::directory::Engine;
use forward::path::{Answer, Change, Path, Task, Way};
use membership::{Member, State};
use model::{Host, Name};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::timeout;

use crate::pending::PendingReplies;
use crate::shared::{Shared, lock};
use crate::{clock, datagrams};

/// Timeout for connecting to an engine. The failure domains of a region are a few milliseconds apart; a lost
/// packet costs about 200 ms.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Part of the peers that are asked who reaches a service which may be of the own failure domain. A cut may take most
/// of a domain.
const LOCAL_FRACTION: f64 = 0.5;

/// Probes for other nodes that may be under way at the same time.
const MAX_PROBES_FOR_PEERS: usize = 4;

/// The paths of this node to the engines of each service.
#[derive(Debug)]
pub(crate) struct Paths {
    services: Mutex<HashMap<Name, Path>>,
    /// Wakes requests that wait for an offer of a peer.
    changed: Notify,
    pending: PendingReplies<PathReply>,
    probes_for_peers: Arc<Semaphore>,
}

impl Default for Paths {
    fn default() -> Self {
        Self {
            services: Mutex::default(),
            changed: Notify::new(),
            pending: PendingReplies::default(),
            probes_for_peers: Arc::new(Semaphore::new(MAX_PROBES_FOR_PEERS)),
        }
    }
}

impl Paths {
    /// Uses the path to a service.
    fn with<T>(&self, service: &Name, f: impl FnOnce(&mut Path) -> T) -> T {
        let mut services = lock(&self.services);
        if let Some(path) = services.get_mut(service) {
            return f(path);
        }
        f(services.entry(service.clone()).or_default())
    }

    /// Whether this node reaches no engine of some service.
    pub(crate) fn is_lost(&self) -> bool {
        lock(&self.services).values().any(Path::is_lost)
    }

    /// Services with a lost path; the value says whether peers reach it.
    pub(crate) fn lost(&self) -> Vec<(Name, bool)> {
        let services = lock(&self.services);
        let lost = services.iter().filter(|it| it.1.is_lost());
        lost.map(|(service, path)| (service.clone(), path.needs_peers()))
            .collect()
    }

    /// Drops the paths to services that are not listed.
    pub(crate) fn retain(&self, is_listed: impl Fn(&Name) -> bool) {
        lock(&self.services).retain(|service, _| is_listed(service));
    }
}

/// Asks a node whether it reaches a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PathQuery {
    number: u64,
    service: String,
}

/// The reply to a [`PathQuery`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PathReply {
    number: u64,
    reaches: bool,
}

/// How a request to a service gets to its engines; asks peers if that is unknown.
pub(crate) async fn way(shared: &Arc<Shared>, service: &Name) -> Way {
    loop {
        let mut changed = pin!(shared.paths.changed.notified());
        changed.as_mut().enable();
        let (engines, now) = (engine_count(shared, service), clock::now());
        let way = shared
            .paths
            .with(service, |it| it.way(engines, now, &mut rand::rng()));
        match way {
            Way::Inquire => inquire(shared, service),
            Way::Wait => {}
            Way::Direct | Way::Peer | Way::None => return way,
        }
        // The state is looked at again in either case.
        let _ = timeout(Path::INQUIRY_TIME, changed).await;
    }
}

/// Time until the next probe of a lost path.
pub(crate) fn time_to_probe(shared: &Shared, service: &Name) -> Duration {
    shared.paths.with(service, |it| it.time_to_probe(clock::now()))
}

/// Records a direct connection to an engine.
pub(crate) fn record_reached(shared: &Arc<Shared>, engine: &Engine) {
    let change = shared
        .paths
        .with(&engine.service, |it| it.record_reached(clock::now()));
    log_change(shared, &engine.service, change);
}

/// What this node says to others about its path to a service.
pub(crate) fn answer(shared: &Shared, service: &Name) -> Answer {
    shared.paths.with(service, |it| it.answer(clock::now()))
}

/// Whether this node has reached an engine of a service since a time.
pub(crate) fn has_reached_since(shared: &Shared, service: &Name, time: BootTime) -> bool {
    shared.paths.with(service, |it| it.has_reached_since(time))
}

/// Records that a direct connection to an engine was not established.
pub(crate) fn record_unreached(shared: &Arc<Shared>, engine: &Engine) {
    let now = clock::now();
    let change = shared
        .paths
        .with(&engine.service, |it| it.record_unreached(&engine.id, now));
    log_change(shared, &engine.service, change);
}

/// Records that a peer passes a request to a service on.
pub(crate) fn record_offer(shared: &Arc<Shared>, service: &Name, peer: &Host) {
    let change = shared
        .paths
        .with(service, |it| it.record_offer(peer, clock::now()));
    log_change(shared, service, change);
    shared.paths.changed.notify_waiters();
}

/// Records that a peer does not take requests to a service now.
pub(crate) fn record_refusal(shared: &Shared, service: &Name, peer: &Host) {
    shared.paths.with(service, |it| it.record_refusal(peer));
}

/// A peer for a request to a service, other than those in `asked`, with its address for calls of nodes.
pub(crate) fn choose_peer(shared: &Shared, service: &Name, asked: &[Host]) -> Option<(Host, SocketAddr)> {
    loop {
        let now = clock::now();
        let host = shared
            .paths
            .with(service, |it| it.choose_peer(asked, now, &mut rand::rng()))?;
        let address = lock(&shared.members)
            .find_live_by_host(&host)
            .map(|it| it.addresses.peer);
        match address {
            Some(address) => return Some((host, address)),
            None => record_refusal(shared, service, &host),
        }
    }
}

/// Records that an engine was listed which may be reached.
pub(crate) fn record_start(shared: &Shared, service: &Name) {
    let mut services = lock(&shared.paths.services);
    if let Some(path) = services.get_mut(service) {
        path.record_start(clock::now());
    }
}

/// Does what is due for paths that are lost.
pub(crate) fn tick(shared: &Arc<Shared>) {
    let now = clock::now();
    let mut services = lock(&shared.paths.services);
    let due = services.iter_mut().flat_map(|(service, path)| {
        let tasks = iter::from_fn(move || path.take_due(now));
        tasks.map(|task| (service.clone(), task))
    });
    let due: Vec<_> = due.collect();
    drop(services);
    for (service, task) in due {
        match task {
            Task::Inquire => inquire(shared, &service),
            Task::Probe => {
                let shared = shared.clone();
                tokio::spawn(async move { probe(&shared, &service).await });
            }
        }
    }
}

/// Connects to an engine of a service, preferably one that was not tried; returns whether it was reached.
async fn probe(shared: &Arc<Shared>, service: &Name) -> bool {
    let now = clock::now();
    let mut engines = shared.available(service, now);
    engines.shuffle(&mut rand::rng());
    let failed = |it: &Arc<Engine>| shared.paths.with(service, |path| path.has_failed(&it.id));
    let Some(engine) = engines.iter().find(|it| !failed(it)).or(engines.first()) else {
        return false;
    };
    let result = shared.client.connect(engine.address, CONNECT_TIMEOUT).await;
    match &result {
        Ok(_) => record_reached(shared, engine),
        Err(_) => record_unreached(shared, engine),
    }
    result.is_ok()
}

/// Asks peers whether they reach a service.
fn inquire(shared: &Arc<Shared>, service: &Name) {
    shared.paths.with(service, |it| it.begin_inquiry(clock::now()));
    let (shared, service) = (shared.clone(), service.clone());
    tokio::spawn(async move {
        let count = shared.paths.with(&service, |it| it.peers_to_ask());
        let peers = choose_peers(&shared, count);
        let (sender, mut replies) = mpsc::channel(count);
        for (host, address) in peers {
            let (shared, service, sender) = (shared.clone(), service.clone(), sender.clone());
            tokio::spawn(async move {
                let reaches = ask(&shared, &service, address).await;
                // The inquiry may have ended.
                let _ = sender.send((host, reaches)).await;
            });
        }
        drop(sender);
        while let Some((host, reaches)) = replies.recv().await {
            if reaches {
                record_offer(&shared, &service, &host);
            }
        }
        let (engines, now) = (engine_count(&shared, &service), clock::now());
        let change = shared.paths.with(&service, |it| it.end_inquiry(engines, now));
        log_change(&shared, &service, change);
        shared.paths.changed.notify_waiters();
    });
}

async fn ask(shared: &Shared, service: &Name, peer: SocketAddr) -> bool {
    let pending = shared.paths.pending.begin();
    let query = PathQuery {
        number: pending.number(),
        service: service.to_string(),
    };
    datagrams::send_path_query(&shared.socket, &query, peer);
    let reply = pending.reply(Path::INQUIRY_TIME).await;
    reply.is_some_and(|it| it.reaches)
}

/// Some nodes, those with a path of their own and of the own failure domain first: data that leaves it is billed.
fn choose_peers(shared: &Shared, count: usize) -> Vec<(Host, SocketAddr)> {
    let table = lock(&shared.members);
    let mut peers: Vec<&Member> = table.members().filter(|it| it.state == State::Alive).collect();
    peers.shuffle(&mut rand::rng());
    let own_domain = &table.local().domain;
    let (spare, full): (Vec<_>, Vec<_>) = peers.into_iter().partition(|it| it.spare_capacity() > 0);
    let (local, other): (Vec<_>, Vec<_>) = spare.into_iter().partition(|it| it.domain == *own_domain);
    let max_local = (count as f64 * LOCAL_FRACTION) as usize;
    let (first, rest) = local.split_at(local.len().min(max_local));
    let ranked = first.iter().chain(&other).chain(rest).chain(&full);
    let chosen = ranked.take(count);
    chosen.map(|it| (it.host.clone(), it.addresses.gossip)).collect()
}

/// Replies to a query of another node, after a probe if this node has not used its path lately.
pub(crate) fn reply_to(shared: &Arc<Shared>, query: PathQuery, from: SocketAddr) {
    let service = Name::from(query.service);
    let is_known = engine_count(shared, &service) > 0;
    let answer = match is_known && !shared.is_leaving() {
        true => answer(shared, &service),
        false => Answer::NotReached,
    };
    let number = query.number;
    let reply = move |reaches| PathReply { number, reaches };
    let reaches = match answer {
        Answer::Reached => true,
        Answer::NotReached => false,
        Answer::Unknown => {
            // Without a reply, the asking node goes by those of others.
            let Ok(permit) = shared.paths.probes_for_peers.clone().try_acquire_owned() else {
                return log::debug!("too many probes for other nodes");
            };
            let shared = shared.clone();
            tokio::spawn(async move {
                let reply = reply(probe(&shared, &service).await);
                datagrams::send_path_reply(&shared.socket, &reply, from);
                drop(permit);
            });
            return;
        }
    };
    datagrams::send_path_reply(&shared.socket, &reply(reaches), from);
}

/// Passes a reply to the query that it answers; one that is late is dropped.
pub(crate) fn deliver_reply(shared: &Shared, reply: PathReply) {
    shared.paths.pending.deliver(reply.number, reply);
}

fn engine_count(shared: &Shared, service: &Name) -> usize {
    shared.available(service, clock::now()).len()
}

/// Logs and counts a change of a path; a lost path makes those to other services doubtful.
fn log_change(shared: &Arc<Shared>, service: &Name, change: Option<Change>) {
    let Some(change) = change else { return };
    let label = match change {
        Change::Lost => "lost",
        Change::Down => "down",
        Change::Regained => "regained",
    };
    shared
        .metrics
        .path_changes
        .get_or_create(&[("change", label)])
        .inc();
    let service_name = &**service;
    let (failed, peers) = shared.paths.with(service, |it| it.evidence(clock::now()));
    match change {
        Change::Lost => {
            log::warn!(service = service_name, failed, peers; "path to engines lost, requests go through other nodes");
        }
        Change::Down => {
            log::warn!(service = service_name, failed; "no node reaches the engines, requests are refused");
        }
        Change::Regained => log::info!(service = service_name; "path to engines regained"),
    }
    if change == Change::Lost {
        let mut services = lock(&shared.paths.services);
        let others = services.iter_mut().filter(|it| it.0 != service);
        others.for_each(|it| it.1.doubt());
        drop(services);
        tick(shared);
    }
}
