//! Sending and receiving of membership datagrams.

use std::io::ErrorKind;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

use membership::{Action, Event, Readiness, State, Status};
use prost::Message;
use wire::peer;

use super::convert;
use crate::phase::Phase;
use crate::shared::Shared;

/// Interval of ticks; several ticks must fit into an acknowledgement time-out.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of status updates, which carry the age of the configuration.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum UDP payload.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Sends and receives datagrams until the node stops.
pub(crate) fn run(shared: &Shared, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut next_tick = Instant::now();
    let mut next_status = Instant::now();
    let mut ready = false;
    let mut leave_announced = false;
    while shared.phase.get() < Phase::Stopped {
        let now = Instant::now();
        // A change of the readiness is announced immediately.
        if now >= next_status || shared.is_ready() != ready {
            next_status = now + STATUS_INTERVAL;
            ready = shared.is_ready();
            handle(shared, socket, Event::Status(status(shared)));
        }
        if !leave_announced && shared.phase.get() >= Phase::Leaving {
            leave_announced = true;
            handle(shared, socket, Event::Leave);
        }
        if now >= next_tick {
            next_tick = now + TICK_INTERVAL;
            handle(shared, socket, Event::Tick);
        }
        let wait = next_tick.saturating_duration_since(Instant::now());
        if socket
            .set_read_timeout(Some(wait.max(Duration::from_millis(1))))
            .is_err()
        {
            continue;
        }
        match socket.recv_from(&mut buffer) {
            Ok((len, _)) => receive(shared, socket, &buffer[..len]),
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // An earlier datagram to a closed port is reported here; this affects a single peer only.
            Err(_) => {
                shared.metrics.peers.gossip_failures.inc();
            }
        }
    }
}

fn receive(shared: &Shared, socket: &UdpSocket, bytes: &[u8]) {
    let message = shared
        .cluster_key
        .verify_datagram(bytes)
        .and_then(|it| peer::Datagram::decode(it).ok());
    let epoch = message.as_ref().map_or(0, |it| it.epoch);
    let Some(datagram) = message.and_then(convert::parse_datagram) else {
        shared.metrics.peers.gossip_rejected.inc();
        return;
    };
    shared
        .peers
        .record_epoch(datagram.from.incarnation, epoch, shared.now());
    handle(shared, socket, Event::Received(Box::new(datagram)));
}

fn handle(shared: &Shared, socket: &UdpSocket, event: Event) {
    let now = shared.now();
    let actions = shared.peers.table().handle(event, now, &mut shared.rng());
    let mut changed = false;
    for action in actions {
        match action {
            Action::Send { to, datagram } => {
                let message = convert::datagram_message(&datagram, shared.idempotency.epoch(now));
                let bytes = shared.cluster_key.sign_datagram(message.encode_to_vec());
                // The failure detector tolerates lost datagrams.
                socket.send_to(&bytes, to).ok();
            }
            Action::Changed(member) => {
                changed = true;
                if member.state == State::Dead {
                    shared.metrics.peers.deaths.inc();
                    log::warn!("host {} was declared dead", member.host);
                }
            }
        }
    }
    if changed {
        shared.members_changed();
    }
}

fn status(shared: &Shared) -> Status {
    let open = shared.open_requests.load(std::sync::atomic::Ordering::Relaxed);
    let load = open * 1000 / shared.settings.http.max_open_requests.max(1);
    Status {
        revision: shared.config.revision(),
        revision_age: shared.config.age(shared.now()).unwrap_or(Duration::MAX),
        load: u16::try_from(load).unwrap_or(u16::MAX),
        readiness: match shared.is_ready() {
            true => Readiness::Ready,
            false => Readiness::NotReady,
        },
        observed_hosts: 0,
    }
}
