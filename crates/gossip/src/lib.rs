//! Conversion between the types of [`membership`] and the generated Protocol Buffers messages.
//!
//! A datagram with an invalid body or sender is rejected as a whole; an invalid update inside it is skipped.

use std::time::Duration;

use membership::{Addresses, Body, Datagram, Member, Readiness, State, Version};
use model::Incarnation;
use wire::peer;

/// Encodes an incarnation in big-endian order.
pub fn incarnation_bytes(incarnation: Incarnation) -> Vec<u8> {
    incarnation.bits().to_be_bytes().to_vec()
}

/// Parses an incarnation.
pub fn parse_incarnation(bytes: &[u8]) -> Option<Incarnation> {
    let bits = u128::from_be_bytes(bytes.try_into().ok()?);
    Some(Incarnation::from_bits(bits))
}

/// Converts a datagram to its message; `epoch` is that of the sender.
pub fn datagram_message(datagram: &Datagram, epoch: u32) -> peer::Datagram {
    let body = match datagram.body.clone() {
        Body::Ping { sequence } => peer::datagram::Body::Ping(peer::Ping { sequence }),
        Body::Ack { sequence } => peer::datagram::Body::Ack(peer::Ack { sequence }),
        Body::PingRequest { sequence, target } => peer::datagram::Body::PingRequest(peer::PingRequest {
            sequence,
            target_host: target.to_string(),
        }),
    };
    peer::Datagram {
        body: Some(body),
        from: Some(member_message(&datagram.from)),
        updates: datagram.updates.iter().map(member_message).collect(),
        epoch,
    }
}

/// Parses a datagram; invalid updates are skipped.
pub fn parse_datagram(message: peer::Datagram) -> Option<Datagram> {
    let body = match message.body? {
        peer::datagram::Body::Ping(it) => Body::Ping {
            sequence: it.sequence,
        },
        peer::datagram::Body::Ack(it) => Body::Ack {
            sequence: it.sequence,
        },
        peer::datagram::Body::PingRequest(it) => Body::PingRequest {
            sequence: it.sequence,
            target: it.target_host.into(),
        },
    };
    Some(Datagram {
        body,
        from: parse_member(message.from?)?,
        updates: message.updates.into_iter().filter_map(parse_member).collect(),
    })
}

fn member_message(member: &Member) -> peer::Member {
    let state = match member.state {
        State::Alive => peer::MemberState::Alive,
        State::Suspect => peer::MemberState::Suspect,
        State::Leaving => peer::MemberState::Leaving,
        State::Dead => peer::MemberState::Dead,
    };
    peer::Member {
        host: member.host.to_string(),
        incarnation: incarnation_bytes(member.incarnation),
        counter: member.version.counter(),
        state: state.into(),
        failure_domain: member.domain.to_string(),
        gossip_address: member.addresses.gossip.to_string(),
        peer_address: member.addresses.peer.to_string(),
        entry_address: member.addresses.entry.to_string(),
        revision: member.revision,
        revision_age_ms: saturating_millis(member.revision_age),
        load_permille: u32::from(member.load),
        ready: member.readiness == Readiness::Ready,
        observed_hosts: member.observed_hosts,
    }
}

fn parse_member(message: peer::Member) -> Option<Member> {
    let state = match message.state() {
        peer::MemberState::Alive => State::Alive,
        peer::MemberState::Suspect => State::Suspect,
        peer::MemberState::Leaving => State::Leaving,
        peer::MemberState::Dead => State::Dead,
    };
    Some(Member {
        incarnation: parse_incarnation(&message.incarnation)?,
        version: Version::from_counter(message.counter),
        state,
        addresses: Addresses {
            gossip: message.gossip_address.parse().ok()?,
            peer: message.peer_address.parse().ok()?,
            entry: message.entry_address.parse().ok()?,
        },
        host: message.host.into(),
        domain: message.failure_domain.into(),
        revision: message.revision,
        revision_age: age_from_millis(message.revision_age_ms),
        load: u16::try_from(message.load_permille).unwrap_or(u16::MAX),
        readiness: match message.ready {
            true => Readiness::Ready,
            false => Readiness::NotReady,
        },
        observed_hosts: message.observed_hosts,
    })
}

/// Milliseconds for a message field, saturating at `u32::MAX`. In an age, `u32::MAX` stands for "unknown".
pub fn saturating_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Parses the age of a revision; `u32::MAX`, which stands for "unknown", becomes [`Duration::MAX`].
pub fn age_from_millis(millis: u32) -> Duration {
    match millis {
        u32::MAX => Duration::MAX,
        millis => Duration::from_millis(millis.into()),
    }
}
