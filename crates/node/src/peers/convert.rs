//! Conversion between messages and the types of the libraries.

use std::sync::Arc;
use std::time::Duration;

use ledger::billing::Id;
use ledger::once::{HandOver, KeyOutcome, Response, Settled};
use membership::{Addresses, Body, Datagram, Member, Readiness, State, Version};
use model::refusal::Reason;
use model::{Incarnation, Ran, Refusal};
use prost::Message;
use wire::peer;

use super::auth::TAG_LEN;

/// Bytes of an incarnation.
pub(crate) fn incarnation_bytes(incarnation: Incarnation) -> Vec<u8> {
    incarnation.bits().to_be_bytes().to_vec()
}

/// Reads an incarnation.
pub(crate) fn incarnation(bytes: &[u8]) -> Option<Incarnation> {
    let bits = u128::from_be_bytes(bytes.try_into().ok()?);
    Some(Incarnation::from_bits(bits))
}

/// Length of a datagram as it is sent, the authentication tag included, the headers of IP and UDP not.
pub fn datagram_bytes(datagram: &Datagram) -> usize {
    datagram_message(datagram, u32::MAX >> 16).encoded_len() + TAG_LEN
}

/// Message of a datagram; `epoch` is the sender's.
pub(crate) fn datagram_message(datagram: &Datagram, epoch: u32) -> peer::Datagram {
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

/// Reads a datagram; updates that do not parse are left out.
pub(crate) fn datagram(message: peer::Datagram) -> Option<Datagram> {
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
        from: member(message.from?)?,
        updates: message.updates.into_iter().filter_map(member).collect(),
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
        revision_age_ms: millis(member.age),
        load_permille: u32::from(member.load),
        ready: member.readiness == Readiness::Ready,
    }
}

fn member(message: peer::Member) -> Option<Member> {
    let state = match message.state() {
        peer::MemberState::Alive => State::Alive,
        peer::MemberState::Suspect => State::Suspect,
        peer::MemberState::Leaving => State::Leaving,
        peer::MemberState::Dead => State::Dead,
    };
    Some(Member {
        incarnation: incarnation(&message.incarnation)?,
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
        age: age(message.revision_age_ms),
        load: u16::try_from(message.load_permille).unwrap_or(u16::MAX),
        readiness: match message.ready {
            true => Readiness::Ready,
            false => Readiness::NotReady,
        },
    })
}

/// Milliseconds of a message; the greatest number stands for "unknown".
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Age of a revision.
pub(crate) fn age(millis: u32) -> Duration {
    match millis {
        u32::MAX => Duration::MAX,
        millis => Duration::from_millis(millis.into()),
    }
}

/// Message of a batch id.
pub(crate) fn id_message(id: Id) -> peer::BatchId {
    peer::BatchId {
        incarnation: incarnation_bytes(id.incarnation),
        sequence: id.sequence,
    }
}

/// Reads a batch id.
pub(crate) fn id(message: &peer::BatchId) -> Option<Id> {
    Some(Id {
        incarnation: incarnation(&message.incarnation)?,
        sequence: message.sequence,
    })
}

/// Message of a refusal.
pub(crate) fn refusal_message(refusal: &Refusal) -> peer::PeerRefusal {
    peer::PeerRefusal {
        code: refusal.reason.code().to_owned(),
        ran: refusal.ran.as_str().to_owned(),
        retry_after_ms: refusal.retry_after.map_or(0, millis),
    }
}

/// Reads a refusal; of an unknown reason nothing is known about execution.
pub(crate) fn refusal(message: &peer::PeerRefusal) -> Refusal {
    let reason = Reason::ALL.into_iter().find(|it| it.code() == message.code);
    let ran = match (reason, message.ran.as_str()) {
        (Some(_), "no") => Ran::No,
        _ => Ran::Unknown,
    };
    let after = Duration::from_millis(message.retry_after_ms.into());
    Refusal {
        reason: reason.unwrap_or(Reason::OutcomeUnknown),
        ran,
        retry_after: (!after.is_zero()).then_some(after),
    }
}

/// Message of a response.
pub(crate) fn reply_message(response: &Response) -> peer::ServiceReply {
    peer::ServiceReply {
        status: response.status.into(),
        content_type: response.content_type.clone(),
        body: response.body.clone(),
    }
}

/// Reads a response.
pub(crate) fn reply(message: peer::ServiceReply) -> Option<Response> {
    Some(Response {
        status: u16::try_from(message.status).ok()?,
        content_type: message.content_type,
        body: message.body,
    })
}

/// Message of a sealed table.
pub(crate) fn hand_over_message(table: &HandOver) -> peer::HandOverRequest {
    let outcome = |it: &KeyOutcome| {
        let outcome = match &it.settled {
            Settled::Done(response) => peer::key_outcome::Outcome::Reply(reply_message(response)),
            Settled::Unknown => {
                let refusal = Refusal::unknown(Reason::OutcomeUnknown);
                peer::key_outcome::Outcome::Refusal(refusal_message(&refusal))
            }
        };
        peer::KeyOutcome {
            organisation: it.organisation.to_string(),
            idempotency_key: it.key.to_string(),
            digest: it.digest,
            outcome: Some(outcome),
        }
    };
    peer::HandOverRequest {
        incarnation: incarnation_bytes(table.incarnation),
        first_epoch: table.first_epoch,
        last_epoch: table.last_epoch,
        outcomes: table.outcomes.iter().map(outcome).collect(),
    }
}

/// Reads a sealed table. It is refused as a whole if a part does not parse, because an absent key proves that the
/// key never ran.
pub(crate) fn hand_over(message: peer::HandOverRequest) -> Option<HandOver> {
    let outcome = |it: peer::KeyOutcome| {
        let settled = match it.outcome? {
            peer::key_outcome::Outcome::Reply(it) => Settled::Done(Arc::new(reply(it)?)),
            peer::key_outcome::Outcome::Refusal(_) => Settled::Unknown,
        };
        Some(KeyOutcome {
            organisation: it.organisation.into(),
            key: it.idempotency_key.parse().ok()?,
            digest: it.digest,
            settled,
        })
    };
    Some(HandOver {
        incarnation: incarnation(&message.incarnation)?,
        first_epoch: message.first_epoch,
        last_epoch: message.last_epoch,
        outcomes: message.outcomes.into_iter().map(outcome).collect::<Option<_>>()?,
    })
}
