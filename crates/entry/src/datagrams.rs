//! Datagrams between nodes: membership, queries about the store's topics, notices about releases, statements and loads
//! of engines, and permits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use membership::{Action, Event, Readiness, Seed, State, Status};
use prost::Message as _;
use rand::seq::SliceRandom;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval, sleep};
use wire::peer;

use crate::clock;
use crate::host_agreement;
use crate::load_exchange;
use crate::notice::{self, Notice};
use crate::occupancy;
use crate::path::{self, PathQuery, PathReply};
use crate::permit::{self, PermitQuery};
use crate::quarantine::{self, QuarantineNotice};
use crate::relay::{self, QueryMessage};
use crate::retry_query::{self, RetryQuery};
use crate::shared::{Shared, lock};
use crate::statement::{self, StatementNotice};

mod kind;
mod rejections;
#[cfg(test)]
mod tests;

pub(crate) use kind::Kind;
pub(crate) use rejections::Rejections;

/// Tick interval of the failure detector; a fraction of its acknowledgement timeout.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between two updates of the node's own status.
const STATUS_TICKS: u32 = 5;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Load of a member without spare capacity.
const FULL_LOAD: u16 = 1000;

/// Datagrams that are sent at once to many nodes, and the pause after them. The slowest links have 10 Mbit/s and
/// short queues; a burst to the whole fleet would always lose its end.
const BURST_SIZE: usize = 8;
const BURST_PAUSE: Duration = Duration::from_millis(20);

/// Sends and receives datagrams until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let seeds = shared
        .settings()
        .seeds
        .iter()
        .copied()
        .map(Seed::from_address)
        .collect();
    handle(&shared, Event::Hosts(seeds));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u32;
    let mut leaving = shared.leaving.subscribe();
    let mut is_leaving = false;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                if count.is_multiple_of(STATUS_TICKS) {
                    handle(&shared, Event::Status(status(&shared)));
                    shared.update_host_counts(clock::now());
                }
                count = count.wrapping_add(1);
                handle(&shared, Event::Tick);
                quarantine::tick(&shared);
                path::tick(&shared);
                occupancy::tick(&shared);
                host_agreement::tick(&shared);
            }
            received = shared.socket.recv_from(&mut buffer) => match received {
                Ok((len, from)) => receive(&shared, &buffer[..len], from),
                // The error of an earlier datagram to a closed port is reported here; it concerns only that
                // peer.
                Err(err) => log::debug!("gossip socket: {err}"),
            },
            _ = leaving.changed(), if !is_leaving => {
                is_leaving = true;
                handle(&shared, Event::Leave);
            }
        }
    }
}

fn status(shared: &Shared) -> Status {
    let now = clock::now();
    let cached = lock(&shared.configuration);
    let status = Status {
        revision: cached.value().map_or(0, |it| it.version),
        revision_age: cached.age(now).unwrap_or(Duration::MAX),
        // Callers of a node without a path cost other nodes a hop.
        load: match shared.paths.is_lost() {
            true => FULL_LOAD,
            false => 0,
        },
        readiness: Readiness::NotReady,
        observed_hosts: u32::try_from(shared.observed_hosts()).unwrap_or(u32::MAX),
    };
    drop(cached);
    let readiness = if shared.is_ready() {
        Readiness::Ready
    } else {
        Readiness::NotReady
    };
    Status { readiness, ..status }
}

fn receive(shared: &Arc<Shared>, bytes: &[u8], from: SocketAddr) {
    let Some((byte, content)) = bytes.split_first() else {
        return rejections::record(shared, None, from, &"empty");
    };
    let Some(kind) = Kind::of_byte(*byte) else {
        return rejections::record(shared, None, from, &format_args!("first byte {byte}"));
    };
    if let Err(err) = deliver(shared, kind, content, from) {
        rejections::record(shared, Some(kind), from, &err);
    }
}

/// Why the content of a datagram cannot be decoded.
#[derive(Debug, thiserror::Error)]
enum Malformed {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Protobuf(#[from] prost::DecodeError),
    #[error("the sender or its state is missing or unknown")]
    Member,
    #[error("the columns have different lengths")]
    Columns,
}

/// Decodes the content of a datagram and passes it to the part of the node that it is for.
fn deliver(shared: &Arc<Shared>, kind: Kind, content: &[u8], from: SocketAddr) -> Result<(), Malformed> {
    match kind {
        Kind::Membership => {
            let message = peer::Datagram::decode(content)?;
            let datagram = gossip::parse_datagram(message).ok_or(Malformed::Member)?;
            handle(shared, Event::Received(Box::new(datagram)));
        }
        Kind::Notice => notice::apply(shared, parse(content)?, from),
        Kind::Query => {
            let query: QueryMessage = parse(content)?;
            if let Some(reply) = relay::reply_to(shared, &query, from) {
                send_content(&shared.socket, Kind::Reply, &reply, from);
            }
        }
        Kind::Reply => relay::deliver_reply(shared, parse(content)?),
        Kind::Statements => statement::apply_notice(shared, parse(content)?),
        Kind::PermitQuery => {
            let reply = permit::reply_to(shared, &parse(content)?);
            send_json(&shared.socket, Kind::PermitReply, &reply, [from]);
        }
        Kind::PermitReply => permit::deliver_reply(shared, parse(content)?),
        Kind::Quarantine => quarantine::apply_notice(shared, parse(content)?),
        Kind::PathQuery => path::reply_to(shared, parse(content)?, from),
        Kind::PathReply => path::deliver_reply(shared, parse(content)?),
        Kind::Place => occupancy::receive(shared, parse(content)?, from),
        Kind::RetryQuery => {
            let reply = retry_query::reply_to(shared, &parse(content)?);
            send_json(&shared.socket, Kind::RetryReply, &reply, [from]);
        }
        Kind::RetryReply => retry_query::deliver_reply(shared, parse(content)?),
        Kind::Loads => {
            let reports = load_exchange::parse_message(&peer::LoadReports::decode(content)?);
            load_exchange::apply(shared, &reports.ok_or(Malformed::Columns)?);
        }
        Kind::HostCount => host_agreement::receive(shared, &parse(content)?, from),
    }
    Ok(())
}

fn parse<T: DeserializeOwned>(content: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(content)
}

/// Passes an event to the membership protocol and carries out what it asks for.
pub(crate) fn handle(shared: &Shared, event: Event) {
    let now = clock::now();
    let actions = lock(&shared.members).handle(event, now, &mut rand::rng());
    if actions.iter().any(|it| matches!(it, Action::Changed(_))) {
        shared.update_host_counts(now);
    }
    for action in actions {
        match action {
            Action::Send { to, datagram } => {
                let message = gossip::datagram_message(&datagram, 0);
                send_content(&shared.socket, Kind::Membership, &message.encode_to_vec(), to);
            }
            Action::Changed(member) if member.state == State::Dead => {
                log::warn!(host = *member.host; "host declared dead");
            }
            Action::Changed(member) => {
                let (ready, state) = (member.readiness == Readiness::Ready, member.state);
                log::info!(host = *member.host, state:?, ready; "host changed");
            }
        }
    }
}

/// Sends a notice about a release to nodes.
pub(crate) fn send_notice(socket: &UdpSocket, notice: &Notice, to: impl Iterator<Item = SocketAddr>) {
    send_json(socket, Kind::Notice, notice, to);
}

/// Sends a query about a topic to a node.
pub(crate) fn send_query(socket: &UdpSocket, query: &QueryMessage, to: SocketAddr) {
    send_json(socket, Kind::Query, query, [to]);
}

/// Sends statements of engines to nodes.
pub(crate) fn send_statements(
    socket: &UdpSocket,
    notice: &StatementNotice,
    to: impl IntoIterator<Item = SocketAddr>,
) {
    send_json(socket, Kind::Statements, notice, to);
}

/// Sends what is known about requests that end engines to nodes.
pub(crate) fn send_quarantine(
    socket: &UdpSocket,
    notice: &QuarantineNotice,
    to: impl IntoIterator<Item = SocketAddr>,
) {
    send_json(socket, Kind::Quarantine, notice, to);
}

/// Asks a node for a permit.
pub(crate) fn send_permit_query(socket: &UdpSocket, query: &PermitQuery, to: SocketAddr) {
    send_json(socket, Kind::PermitQuery, query, [to]);
}

/// Sends a message about places at an engine.
pub(crate) fn send_place(socket: &UdpSocket, message: &occupancy::Message, to: SocketAddr) {
    send_json(socket, Kind::Place, message, [to]);
}

/// Asks a node for a retry.
pub(crate) fn send_retry_query(socket: &UdpSocket, query: &RetryQuery, to: SocketAddr) {
    send_json(socket, Kind::RetryQuery, query, [to]);
}

/// Sends load reports of engines to nodes; returns the size of the datagram.
pub(crate) fn send_loads(
    socket: &UdpSocket,
    message: &peer::LoadReports,
    to: impl IntoIterator<Item = SocketAddr>,
) -> usize {
    let content = message.encode_to_vec();
    to.into_iter()
        .for_each(|it| send_content(socket, Kind::Loads, &content, it));
    1 + content.len()
}

/// Tells a node how many hosts this one counts.
pub(crate) fn send_host_count(socket: &UdpSocket, message: &host_agreement::Message, to: SocketAddr) {
    send_json(socket, Kind::HostCount, message, [to]);
}

/// Asks a node whether it reaches a service.
pub(crate) fn send_path_query(socket: &UdpSocket, query: &PathQuery, to: SocketAddr) {
    send_json(socket, Kind::PathQuery, query, [to]);
}

/// Replies to a query about a path.
pub(crate) fn send_path_reply(socket: &UdpSocket, reply: &PathReply, to: SocketAddr) {
    send_json(socket, Kind::PathReply, reply, [to]);
}

/// Calls `send` for nodes in random order, in bursts with pauses between them, with the time since the call of this
/// function.
///
/// In a fleet of some hundred nodes the last burst leaves about a second after the first, so ages in a message
/// have to be counted until it is sent.
pub(crate) async fn in_bursts(mut to: Vec<SocketAddr>, send: impl Fn(&[SocketAddr], Duration)) {
    let begin = clock::now();
    to.shuffle(&mut rand::rng());
    for (index, chunk) in to.chunks(BURST_SIZE).enumerate() {
        if index > 0 {
            sleep(BURST_PAUSE).await;
        }
        send(chunk, clock::now().saturating_sub(begin));
    }
}

fn send_json(
    socket: &UdpSocket,
    kind: Kind,
    content: &impl Serialize,
    to: impl IntoIterator<Item = SocketAddr>,
) {
    match serde_json::to_vec(content) {
        Ok(content) => to
            .into_iter()
            .for_each(|it| send_content(socket, kind, &content, it)),
        Err(err) => log::error!("cannot encode a datagram: {err}"),
    }
}

fn send_content(socket: &UdpSocket, kind: Kind, content: &[u8], to: SocketAddr) {
    let mut bytes = vec![kind.byte()];
    bytes.extend_from_slice(content);
    send(socket, &bytes, to);
}

fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    // The failure detector tolerates lost datagrams, and notices are repeated.
    if let Err(err) = socket.try_send_to(bytes, to) {
        log::debug!("datagram to {to}: {err}");
    }
}
