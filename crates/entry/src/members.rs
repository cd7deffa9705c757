//! Datagrams between nodes: membership, readings of the store, and the evidence of releases.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use membership::{Action, Event, Readiness, Seed, State, Status};
use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};
use wire::peer;

use crate::clock;
use crate::notice::{self, Notice};
use crate::relay::{self, Answer, Question};
use crate::shared::{Shared, lock};

/// Interval of the failure detector's clock; a fraction of its acknowledgement time-out.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between two updates of the node's own status.
const STATUS_TICKS: u32 = 5;

/// Buffer for one datagram.
const MAX_DATAGRAM: usize = 65_507;

/// First byte of a datagram, which tells what follows.
const MEMBERSHIP: u8 = b'm';
const NOTICE: u8 = b'n';
const QUESTION: u8 = b'q';
const ANSWER: u8 = b'a';

/// Sends and receives datagrams until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let seeds = shared
        .settings()
        .seeds
        .iter()
        .copied()
        .map(Seed::from_address)
        .collect();
    handle(&shared, &socket, Event::Hosts(seeds));
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u32;
    let mut leaving = shared.leaving.subscribe();
    let mut left = false;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                if count.is_multiple_of(STATUS_TICKS) {
                    handle(&shared, &socket, Event::Status(status(&shared)));
                }
                count = count.wrapping_add(1);
                handle(&shared, &socket, Event::Tick);
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((len, from)) => receive(&shared, &socket, &buffer[..len], from),
                // A datagram to a closed port is reported here; it concerns one peer only.
                Err(err) => log::debug!("gossip socket: {err}"),
            },
            _ = leaving.changed(), if !left => {
                left = true;
                handle(&shared, &socket, Event::Leave);
            }
        }
    }
}

fn status(shared: &Shared) -> Status {
    let now = clock::now();
    let catalog = lock(&shared.catalog);
    let status = Status {
        revision: catalog.value().map_or(0, |it| it.version),
        revision_age: catalog.age(now).unwrap_or(Duration::MAX),
        load: 0,
        readiness: Readiness::NotReady,
    };
    drop(catalog);
    let readiness = if shared.is_ready() {
        Readiness::Ready
    } else {
        Readiness::NotReady
    };
    Status { readiness, ..status }
}

fn receive(shared: &Shared, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    let Some((kind, content)) = bytes.split_first() else {
        return;
    };
    match *kind {
        MEMBERSHIP => {
            let message = peer::Datagram::decode(content).ok();
            match message.and_then(gossip::parse_datagram) {
                Some(it) => handle(shared, socket, Event::Received(Box::new(it))),
                None => log::debug!("a membership datagram does not decode"),
            }
        }
        NOTICE => match serde_json::from_slice::<Notice>(content) {
            Ok(notice) => notice::noticed(shared, notice),
            Err(err) => log::debug!("a notice does not decode: {err}"),
        },
        QUESTION => match serde_json::from_slice::<Question>(content) {
            Ok(question) => {
                if let Some(answer) = relay::answer(shared, &question) {
                    send_content(socket, ANSWER, &answer, from);
                }
            }
            Err(err) => log::debug!("a question does not decode: {err}"),
        },
        ANSWER => match serde_json::from_slice::<Answer>(content) {
            Ok(answer) => relay::answered(shared, answer),
            Err(err) => log::debug!("an answer does not decode: {err}"),
        },
        _ => log::debug!("a datagram of an unknown kind"),
    }
}

fn handle(shared: &Shared, socket: &UdpSocket, event: Event) {
    let now = clock::now();
    let actions = lock(&shared.members).handle(event, now, &mut rand::rng());
    for action in actions {
        match action {
            Action::Send { to, datagram } => {
                let message = gossip::datagram_message(&datagram, 0);
                send_content(socket, MEMBERSHIP, &message.encode_to_vec(), to);
            }
            Action::Changed(member) if member.state == State::Dead => {
                log::warn!(host = *member.host; "host taken for dead");
            }
            Action::Changed(member) => {
                let (ready, state) = (member.readiness == Readiness::Ready, member.state);
                log::info!(host = *member.host, state:?, ready; "host changed");
            }
        }
    }
}

/// Sends a notice about a release to some members.
pub(crate) fn notify(socket: &UdpSocket, notice: &Notice, to: impl Iterator<Item = SocketAddr>) {
    match serde_json::to_vec(notice) {
        Ok(content) => to.for_each(|it| send_content(socket, NOTICE, &content, it)),
        Err(err) => log::error!("a notice does not encode: {err}"),
    }
}

/// Sends a question about the store's topics to a node.
pub(crate) fn send_question(socket: &UdpSocket, question: &Question, to: SocketAddr) {
    match serde_json::to_vec(question) {
        Ok(content) => send_content(socket, QUESTION, &content, to),
        Err(err) => log::error!("a question does not encode: {err}"),
    }
}

fn send_content(socket: &UdpSocket, kind: u8, content: &[u8], to: SocketAddr) {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(content);
    send(socket, &bytes, to);
}

fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    // A lost datagram is what the failure detector is made for, and notices are repeated.
    if let Err(err) = socket.try_send_to(bytes, to) {
        log::debug!("datagram to {to}: {err}");
    }
}
