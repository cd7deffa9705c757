//! Conversion between messages and the types of the libraries.

use std::sync::Arc;
use std::time::Duration;

pub(crate) use gossip::{
    age_from_millis, datagram_message, incarnation_bytes, parse_datagram, parse_incarnation,
    saturating_millis,
};
use ledger::billing::Id;
use ledger::once::{HandOver, KeyOutcome, Response, Settled};
use membership::Datagram;
use model::refusal::Reason;
use model::{Ran, Refusal};
use prost::Message;
use wire::peer;

use super::auth::TAG_LEN;

/// Length of a datagram as it is sent, the authentication tag included, the headers of IP and UDP not.
pub fn datagram_bytes(datagram: &Datagram) -> usize {
    datagram_message(datagram, u32::MAX >> 16).encoded_len() + TAG_LEN
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
        incarnation: parse_incarnation(&message.incarnation)?,
        sequence: message.sequence,
    })
}

/// Message of a refusal.
pub(crate) fn refusal_message(refusal: &Refusal) -> peer::PeerRefusal {
    peer::PeerRefusal {
        code: refusal.reason.code().to_owned(),
        ran: refusal.ran.as_str().to_owned(),
        retry_after_ms: refusal.retry_after.map_or(0, saturating_millis),
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
        incarnation: parse_incarnation(&message.incarnation)?,
        first_epoch: message.first_epoch,
        last_epoch: message.last_epoch,
        outcomes: message.outcomes.into_iter().map(outcome).collect::<Option<_>>()?,
    })
}
