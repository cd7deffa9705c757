//! Drives releases through the platform's store, and exchanges evidence about the new version between nodes.
//!
//! Each transition is an append that succeeds only if the topic still ends where it was read. So at each step
//! exactly one of two drivers succeeds, and a driver that was suspended cannot undo what another one
//! recorded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use forward::relay::Position;
use forward::release::{Decision, Release, Stage};
use model::{Name, hash};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::notice::{Notice, notices};
use crate::protocol::{AppendOutcome, Topic};
use crate::shared::{Shared, lock};
use crate::store::{self, Error};
use crate::{clock, datagrams, follow};

/// Interval of the exchange and of the driver's decisions while a release is in progress.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Rounds without a notice of an evaluator after which a node reads the recorded status itself.
const SILENT_ROUNDS: u32 = 6;

/// Rounds for which a decision must be due before the next node takes over: the store may turn away those before it
/// while other nodes still receive their notices.
const TAKE_OVER_ROUNDS: u32 = 2;

/// Nodes that get the evidence of all others. The first drives the release, and the next ones take over if it does
/// not; after them the other nodes, which know at least whether the release is halted.
const EVALUATORS_PER_RELEASE: usize = 3;

/// Time for which evaluators tell other nodes the end of a release. Later, a node that still sends notices gets
/// the end in reply.
const END_NOTICE_TIME: Duration = Duration::from_secs(10);

/// State of a release between rounds.
#[derive(Debug, Default)]
struct RoundState {
    /// Rounds for which a decision has been due.
    due_rounds: u32,
    /// Rounds since a notice of an evaluator arrived or the recorded status was read.
    silent_rounds: u32,
}

/// Exchanges notices with other nodes in rounds, and tells all of them at once what must not wait for the next one,
/// until the process ends. It does not wait for the store.
pub(crate) async fn exchange(shared: Arc<Shared>) {
    let mut rounds = interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let is_round = tokio::select! {
            _ = rounds.tick() => true,
            () = shared.release_changed.notified() => false,
        };
        let now = clock::now();
        let hosts = shared.host_counts().known;
        let current: Vec<_> = {
            let mut releases = lock(&shared.releases);
            releases.values_mut().for_each(|it| it.tick(hosts, now));
            let current = releases
                .values()
                .filter(|it| !it.has_ended() || it.has_ended_within(now, END_NOTICE_TIME));
            current.cloned().collect()
        };
        for release in current {
            let evaluators = ranking(&shared, &release.order().service, EVALUATORS_PER_RELEASE);
            let is_evaluator = evaluators.contains(&None);
            let to = match is_evaluator || !is_round {
                true => other_nodes(&shared),
                false => evaluators.into_iter().flatten().collect(),
            };
            let notices = notices(&shared, &release, is_evaluator);
            tokio::spawn(send_notices(shared.socket.clone(), notices, to));
        }
    }
}

/// Decides about releases in progress and records the decisions until the process ends.
pub(crate) async fn drive(shared: Arc<Shared>) {
    let mut round_states: BTreeMap<Name, RoundState> = BTreeMap::new();
    loop {
        sleep(ROUND_INTERVAL).await;
        let in_progress: Vec<_> = {
            let releases = lock(&shared.releases);
            let open = releases.values().filter(|it| !it.has_ended());
            open.cloned().collect()
        };
        let is_open = |service: &Name| in_progress.iter().any(|it| it.order().service == *service);
        round_states.retain(|service, _| is_open(service));
        for release in in_progress {
            let round_state = round_states.entry(release.order().service.clone()).or_default();
            advance(&shared, &release, round_state).await;
        }
    }
}

async fn advance(shared: &Shared, release: &Release, round_state: &mut RoundState) {
    let nodes = ranking(shared, &release.order().service, usize::MAX);
    let position = nodes.iter().position(Option::is_none);
    let decision = release.decide(clock::now());
    round_state.due_rounds = if decision == Decision::Hold {
        0
    } else {
        round_state.due_rounds + 1
    };
    let is_driver = position.is_some_and(|it| round_state.due_rounds > it as u32 * TAKE_OVER_ROUNDS);
    if let Decision::Record(stage) = decision
        && is_driver
    {
        let result = record(shared, release, stage).await;
        return log_record(release, stage, &result);
    }
    round_state.silent_rounds = if release.has_evaluator_notice_within(clock::now(), ROUND_INTERVAL * 2) {
        0
    } else {
        round_state.silent_rounds + 1
    };
    if round_state.silent_rounds >= SILENT_ROUNDS && position != Some(0) {
        round_state.silent_rounds = 0;
        if let Err(err) = read_statuses(shared).await {
            log::warn!(error:% = err; "release statuses not read");
        }
    }
}

/// Logs a decision with the responses that it is based on.
fn log_record(release: &Release, stage: Stage, result: &Result<AppendOutcome, Error>) {
    let (service, target) = (&*release.order().service, &*release.order().target);
    let elapsed_ms = release.elapsed(clock::now()).as_millis() as u64;
    let evidence = release.evidence();
    match result {
        Ok(AppendOutcome::Appended) => {
            log::info!(service, target, stage:?, elapsed_ms, evidence:?; "release status recorded");
        }
        Ok(AppendOutcome::Conflict) => {
            log::info!(service, target, stage:?; "release status not recorded: the decision no longer holds");
        }
        Err(err) => {
            log::warn!(service, target, stage:?, error:% = err; "release status not recorded");
        }
    }
}

/// Records a stage unless another status was recorded since the topic was read.
async fn record(shared: &Shared, release: &Release, stage: Stage) -> Result<AppendOutcome, Error> {
    let end = read_statuses(shared).await?;
    let service = &release.order().service;
    // The status just read may have ended the release or be a later stage, and the release may have been halted while
    // the store was waited for.
    let decision = lock(&shared.releases)
        .get(service)
        .map(|it| it.decide(clock::now()));
    if decision != Some(Decision::Record(stage)) {
        return Ok(AppendOutcome::Conflict);
    }
    let status = release.status_for(stage, clock::now());
    let result = store::append_status(shared, service, &status, end).await?;
    if result == AppendOutcome::Appended {
        follow::operators::apply_status(shared, service, &status);
        shared.release_changed.notify_one();
    }
    Ok(result)
}

/// Reads and applies all recorded statuses; returns the end of their topic.
async fn read_statuses(shared: &Shared) -> Result<Position, Error> {
    let (statuses, end) = follow::read_all(shared, Topic::Status).await?;
    follow::operators::apply_statuses(shared, statuses);
    Ok(end)
}

/// Addresses of the first `count` nodes in the order in which they drive the releases of a service; `None` for this node.
fn ranking(shared: &Shared, service: &Name, count: usize) -> Vec<Option<SocketAddr>> {
    let table = lock(&shared.members);
    let live = table.live(clock::now());
    let hosts = live.iter().map(|it| &*it.host);
    let chosen = hash::highest(service, hosts, count);
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

fn other_nodes(shared: &Shared) -> Vec<SocketAddr> {
    let table = lock(&shared.members);
    let live = table.members().filter(|it| it.is_live());
    live.map(|it| it.addresses.gossip).collect()
}

/// Sends notices to nodes.
async fn send_notices(socket: Arc<UdpSocket>, notices: Vec<Notice>, to: Vec<SocketAddr>) {
    let made_at = clock::now();
    for notice in notices {
        let send = |chunk: &[SocketAddr], _| {
            let aged = notice.clone().aged(clock::now().saturating_sub(made_at));
            datagrams::send_notice(&socket, &aged, chunk.iter().copied());
        };
        datagrams::in_bursts(to.clone(), send).await;
    }
}
