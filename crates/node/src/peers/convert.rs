//! Conversion between wire messages and the types of the other crates.

use std::sync::Arc;
use std::time::Duration;

pub(crate) use gossip::{
    age_from_millis, datagram_message, incarnation_bytes, parse_datagram, parse_incarnation,
    saturating_millis,
};
use ledger::billing::BatchId;
use ledger::idempotency::{HandOver, KeyOutcome, RecordedOutcome, Response};
use membership::Datagram;
use model::refusal::Reason;
use model::{Ran, Refusal};
use prost::Message;
use wire::peer;

use super::auth::TAG_BYTES;

pub(super) mod evidence;

/// Length of a datagram on the wire, including the authentication tag but not the IP and UDP headers.
pub fn datagram_bytes(datagram: &Datagram) -> usize {
    datagram_message(datagram, u32::MAX >> 16).encoded_len() + TAG_BYTES
}

/// Encodes a batch id.
pub(crate) fn batch_id_message(id: BatchId) -> peer::BatchId {
    peer::BatchId {
        incarnation: incarnation_bytes(id.incarnation),
        sequence: id.sequence,
    }
}

/// Decodes a batch id.
pub(crate) fn batch_id(message: &peer::BatchId) -> Option<BatchId> {
    Some(BatchId {
        incarnation: parse_incarnation(&message.incarnation)?,
        sequence: message.sequence,
    })
}

/// Encodes a refusal.
pub(crate) fn refusal_message(refusal: &Refusal) -> peer::PeerRefusal {
    peer::PeerRefusal {
        code: refusal.reason.code().to_owned(),
        ran: refusal.ran.as_str().to_owned(),
        retry_after_ms: refusal.retry_after.map_or(0, saturating_millis),
    }
}

/// Decodes a refusal. If its reason is unknown to this version, the call may have been executed.
pub(crate) fn refusal(message: &peer::PeerRefusal) -> Refusal {
    let reason = Reason::ALL.into_iter().find(|it| it.code() == message.code);
    let ran = match (reason, message.ran.as_str()) {
        (Some(_), "no") => Ran::No,
        _ => Ran::Unknown,
    };
    let retry_after = Duration::from_millis(message.retry_after_ms.into());
    Refusal {
        reason: reason.unwrap_or(Reason::OutcomeUnknown),
        ran,
        retry_after: (!retry_after.is_zero()).then_some(retry_after),
    }
}

/// Encodes a response.
pub(crate) fn reply_message(response: &Response) -> peer::ServiceReply {
    peer::ServiceReply {
        status: response.status.into(),
        content_type: response.content_type.clone(),
        body: response.body.clone(),
    }
}

/// Decodes a response.
pub(crate) fn reply(message: peer::ServiceReply) -> Option<Response> {
    Some(Response {
        status: u16::try_from(message.status).ok()?,
        content_type: message.content_type,
        body: message.body,
    })
}

/// Encodes a sealed table.
pub(crate) fn hand_over_message(table: &HandOver) -> peer::HandOverRequest {
    let outcome = |it: &KeyOutcome| {
        let outcome = match &it.outcome {
            RecordedOutcome::Done(response) => peer::key_outcome::Outcome::Reply(reply_message(response)),
            RecordedOutcome::Unknown => {
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

/// Decodes a sealed table. A table with an invalid part is rejected as a whole, because the absence of a key
/// from a table proves that the call was never executed.
pub(crate) fn hand_over(message: peer::HandOverRequest) -> Option<HandOver> {
    let outcome = |it: peer::KeyOutcome| {
        let outcome = match it.outcome? {
            peer::key_outcome::Outcome::Reply(it) => RecordedOutcome::Done(Arc::new(reply(it)?)),
            peer::key_outcome::Outcome::Refusal(_) => RecordedOutcome::Unknown,
        };
        Some(KeyOutcome {
            organisation: it.organisation.into(),
            key: it.idempotency_key.parse().ok()?,
            digest: it.digest,
            outcome,
        })
    };
    Some(HandOver {
        incarnation: parse_incarnation(&message.incarnation)?,
        first_epoch: message.first_epoch,
        last_epoch: message.last_epoch,
        outcomes: message.outcomes.into_iter().map(outcome).collect::<Option<_>>()?,
    })
}
