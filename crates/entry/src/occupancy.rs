//! Places for requests at brittle engines: asks their owners, and gives out those that this node owns.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use forward::BootTime;
use forward::directory::Engine;
use forward::occupancy::{Answer, Granted, Places, Question};
use forward::statement::Run;
use model::{Host, Upstream};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::owner::{self, Owner};
use crate::pending::PendingReplies;
use crate::shared::{Shared, lock};
use crate::{clock, datagrams, permit};

/// Time that a request waits for the reply to a question: some times the round trip between two failure domains.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// Bounds on what another node may claim.
const MAX_HOLD: Duration = Duration::from_secs(600);
const MAX_OTHERS: usize = 1 << 16;

/// Maximum number of engines in a report, so that it fits into one packet.
const MAX_ENGINES: usize = 8;

/// Maximum number of places in the report about an engine.
const MAX_PLACES: usize = 64;

/// Places that this node owns, and those that it holds.
#[derive(Debug)]
pub(crate) struct Occupancy {
    places: Mutex<Places>,
    held: Mutex<HashMap<Run, HashSet<u64>>>,
    pending: PendingReplies<Reply>,
    reported_at: Mutex<BootTime>,
}

impl Occupancy {
    pub(crate) fn new(started_at: BootTime) -> Self {
        Self {
            places: Mutex::new(Places::new(started_at)),
            held: Mutex::default(),
            pending: PendingReplies::default(),
            reported_at: Mutex::default(),
        }
    }
}

/// A place at an engine, returned when this is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    shared: Arc<Shared>,
    run: Run,
    number: u64,
    was_refused: bool,
}

impl Place {
    /// Records that the engine turned the request away.
    pub(crate) fn record_refusal(&mut self) {
        self.was_refused = true;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let shared = &self.shared;
        let mut held = lock(&shared.occupancy.held);
        if let Some(numbers) = held.get_mut(&self.run) {
            numbers.remove(&self.number);
            if numbers.is_empty() {
                held.remove(&self.run);
            }
        }
        drop(held);
        match owner::of(shared, &self.run.engine) {
            Owner::Local => {
                let node = host(shared);
                let mut places = lock(&shared.occupancy.places);
                places.release(&self.run, &node, self.number, self.was_refused, clock::now());
                drop(places);
                send_granted(shared);
            }
            Owner::Remote(address) => {
                let message = Message::Release {
                    node: host(shared).to_string(),
                    engine: self.run.engine.to_string(),
                    started_ms: self.run.started_ms,
                    number: self.number,
                    refused: self.was_refused,
                };
                datagrams::send_place(&shared.socket, &message, address);
            }
        }
    }
}

/// What an owner replies.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Reply {
    number: u64,
    granted: bool,
    wait_ms: u64,
}

/// What nodes tell each other about places.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Asks for a place.
    Ask {
        node: String,
        engine: String,
        started_ms: u64,
        number: u64,
        hold_ms: u64,
        max_wait_ms: u64,
        since_ms: u64,
    },
    /// Replies to a question.
    Reply(Reply),
    /// Returns a place.
    Release {
        node: String,
        engine: String,
        started_ms: u64,
        number: u64,
        refused: bool,
    },
    /// Repeats what a node has at engines.
    Report {
        node: String,
        since_ms: u64,
        engines: Vec<EngineReport>,
    },
}

/// What a node has at one engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EngineReport {
    engine: String,
    started_ms: u64,
    places: Vec<u64>,
    /// Requests without a place.
    others: usize,
}

/// Gets a place at a brittle engine, for at most `hold`; waits for up to `max_wait` if none is free.
///
/// # Errors
/// There is none in time; this node may ask again after the returned time.
pub(crate) async fn acquire(
    shared: &Arc<Shared>,
    engine: &Engine,
    hold: Duration,
    max_wait: Duration,
) -> Result<Place, Duration> {
    let denied_for = lock(&shared.statements)
        .brittle
        .denied_for(&engine.id, clock::now());
    if denied_for > max_wait {
        return Err(denied_for);
    }
    sleep(denied_for).await;
    // Returned also if this request goes on before the answer.
    let place = Place {
        shared: shared.clone(),
        run: Run::of(engine),
        number: rand::rng().random(),
        was_refused: false,
    };
    let answer = ask(shared, engine, place.number, hold, max_wait - denied_for).await;
    let label = if answer.is_ok() { "granted" } else { "denied" };
    shared.metrics.places.get_or_create(&[("result", label)]).inc();
    match answer {
        Ok(()) => {
            let mut held = lock(&shared.occupancy.held);
            held.entry(place.run.clone()).or_default().insert(place.number);
            drop(held);
            Ok(place)
        }
        Err(wait) => {
            // Nodes that were denied together don't ask together.
            let wait = wait.mul_f64(rand::rng().random_range(1.0..2.0));
            let mut statements = lock(&shared.statements);
            statements.brittle.record_denial(&engine.id, wait, clock::now());
            Err(wait)
        }
    }
}

async fn ask(
    shared: &Arc<Shared>,
    engine: &Engine,
    number: u64,
    hold: Duration,
    max_wait: Duration,
) -> Result<(), Duration> {
    let since = since(shared, engine);
    let node = host(shared);
    let pending = shared.occupancy.pending.begin_with(number);
    match owner::of(shared, &engine.id) {
        Owner::Local => {
            let question = Question {
                node: &node,
                number,
                hold,
                max_wait,
                since,
                share: permit::fleet_share(shared),
            };
            let answer = lock(&shared.occupancy.places).request(engine, question, clock::now());
            match answer {
                Answer::Granted => return Ok(()),
                Answer::Denied(wait) => return Err(wait),
                Answer::Queued => {}
            }
        }
        Owner::Remote(address) => {
            let message = Message::Ask {
                node: node.to_string(),
                engine: engine.id.to_string(),
                started_ms: engine.started_ms,
                number,
                hold_ms: hold.as_millis() as u64,
                max_wait_ms: max_wait.as_millis() as u64,
                since_ms: since.as_millis() as u64,
            };
            datagrams::send_place(&shared.socket, &message, address);
        }
    }
    match pending.reply(max_wait + REPLY_TIMEOUT).await {
        Some(Reply { granted: true, .. }) => Ok(()),
        Some(Reply { wait_ms, .. }) => Err(Duration::from_millis(wait_ms)),
        None => Err(REPLY_TIMEOUT),
    }
}

/// Tells nodes that have waited about their places.
fn send_granted(shared: &Shared) {
    let granted = lock(&shared.occupancy.places).take_granted(clock::now());
    if granted.is_empty() {
        return;
    }
    let own = host(shared);
    for Granted { node, number } in granted {
        let reply = Reply {
            number,
            granted: true,
            wait_ms: 0,
        };
        if node == own {
            shared.occupancy.pending.deliver(number, reply);
            continue;
        }
        let address = lock(&shared.members)
            .find_live_by_host(&node)
            .map(|it| it.addresses.gossip);
        if let Some(address) = address {
            datagrams::send_place(&shared.socket, &Message::Reply(reply), address);
        }
    }
}

/// Handles a message of another node.
pub(crate) fn receive(shared: &Shared, message: Message, from: SocketAddr) {
    let now = clock::now();
    match message {
        Message::Ask {
            node,
            engine,
            started_ms,
            number,
            hold_ms,
            max_wait_ms,
            since_ms,
        } => {
            let question = Question {
                node: &Host::from(node),
                number,
                hold: Duration::from_millis(hold_ms).min(MAX_HOLD),
                max_wait: Duration::from_millis(max_wait_ms).min(MAX_HOLD),
                since: Duration::from_millis(since_ms),
                share: permit::fleet_share(shared),
            };
            let answer = match owned_engine(shared, &engine, started_ms) {
                Some(engine) => lock(&shared.occupancy.places).request(&engine, question, now),
                // The lists of members or of engines differ for a moment.
                None => Answer::Denied(REPLY_TIMEOUT),
            };
            let (granted, wait) = match answer {
                Answer::Granted => (true, Duration::ZERO),
                Answer::Denied(wait) => (false, wait),
                Answer::Queued => return,
            };
            let reply = Reply {
                number,
                granted,
                wait_ms: wait.as_millis() as u64,
            };
            datagrams::send_place(&shared.socket, &Message::Reply(reply), from);
        }
        Message::Reply(reply) => shared.occupancy.pending.deliver(reply.number, reply),
        Message::Release {
            node,
            engine,
            started_ms,
            number,
            refused,
        } => {
            let run = Run {
                engine: engine.into(),
                started_ms,
            };
            lock(&shared.occupancy.places).release(&run, &node.into(), number, refused, now);
            send_granted(shared);
        }
        Message::Report {
            node,
            since_ms,
            engines,
        } => {
            let (node, since) = (Host::from(node), Duration::from_millis(since_ms));
            for it in engines {
                apply_report(shared, &node, since, &it);
            }
        }
    }
}

fn apply_report(shared: &Shared, node: &Host, since: Duration, report: &EngineReport) {
    if let Some(engine) = owned_engine(shared, &report.engine, report.started_ms) {
        let mut places = lock(&shared.occupancy.places);
        let others = report.others.min(MAX_OTHERS);
        places.report(&engine, node, &report.places, others, since, clock::now());
    }
}

/// An engine that this node owns, if it knows the run.
fn owned_engine(shared: &Shared, id: &str, started_ms: u64) -> Option<Arc<Engine>> {
    let engine = lock(&shared.directory).engine(id).cloned();
    let engine = engine.filter(|it| it.started_ms == started_ms)?;
    (owner::of(shared, id) == Owner::Local).then_some(engine)
}

/// Repeats to the owners what this node has at brittle engines; called several times a second.
pub(crate) fn tick(shared: &Shared) {
    send_granted(shared);
    let now = clock::now();
    let mut reported_at = lock(&shared.occupancy.reported_at);
    if now.saturating_sub(*reported_at) < Places::REPORT_INTERVAL {
        return;
    }
    *reported_at = now;
    drop(reported_at);
    let mut owned = lock(&shared.occupancy.places);
    owned.retain(|it| owner::of(shared, it) == Owner::Local);
    drop(owned);
    let node = host(shared);
    let mut messages: HashMap<SocketAddr, Vec<EngineReport>> = HashMap::new();
    let mut longest = Duration::ZERO;
    for (engine, since) in brittle_engines(shared, now) {
        longest = longest.max(since);
        let Some(report) = report_about(shared, &engine) else {
            continue;
        };
        match owner::of(shared, &engine.id) {
            Owner::Local => apply_report(shared, &node, since, &report),
            Owner::Remote(address) => messages.entry(address).or_default().push(report),
        }
    }
    for (address, reports) in messages {
        for engines in reports.chunks(MAX_ENGINES) {
            let message = Message::Report {
                node: node.to_string(),
                since_ms: longest.as_millis() as u64,
                engines: engines.to_vec(),
            };
            datagrams::send_place(&shared.socket, &message, address);
        }
    }
}

/// Engines of brittle services, with the time since they stated that.
fn brittle_engines(shared: &Shared, now: BootTime) -> Vec<(Arc<Engine>, Duration)> {
    let reports = lock(&shared.statements).brittle.reports(now);
    let directory = lock(&shared.directory);
    let engines = reports.iter().flat_map(|report| {
        let engines = directory.engines().filter(|it| it.service == report.service);
        engines.map(|it| (it.clone(), report.since))
    });
    engines.collect()
}

/// What this node has at an engine; `None` if nothing.
fn report_about(shared: &Shared, engine: &Engine) -> Option<EngineReport> {
    let in_flight = lock(&shared.loads)
        .get(engine)
        .map_or(0, |it| it.in_flight as usize);
    let held = lock(&shared.occupancy.held);
    let places: Vec<u64> = held
        .get(&Run::of(engine))
        .map(|it| it.iter().copied().take(MAX_PLACES).collect())
        .unwrap_or_default();
    drop(held);
    let others = in_flight.saturating_sub(places.len());
    let is_something = in_flight > 0 || !places.is_empty();
    is_something.then(|| EngineReport {
        engine: engine.id.to_string(),
        started_ms: engine.started_ms,
        places,
        others,
    })
}

fn since(shared: &Shared, engine: &Engine) -> Duration {
    let since = lock(&shared.statements)
        .brittle
        .since(&engine.service, clock::now());
    since.unwrap_or_default()
}

fn host(shared: &Shared) -> Host {
    shared.settings().node.host.clone()
}

/// Number of requests that all nodes have at an engine that this node owns, for operators.
pub(crate) fn taken(shared: &Shared, engine: &Upstream) -> Option<usize> {
    lock(&shared.occupancy.places).taken(engine)
}
