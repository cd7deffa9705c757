//! Conversion of counters about the quality of versions.

use model::Class;
use policy::rollout::{Arm, RolloutRevision};
use policy::{cascade, rollout};
use wire::peer::{EvidenceArm, EvidenceCounters, PosteriorCounters};

use super::{incarnation_bytes, parse_incarnation};
use crate::evidence::Counters;

/// Decodes counters; malformed ones are skipped.
pub(crate) fn counters(evidence: &[EvidenceCounters], posteriors: &[PosteriorCounters]) -> Counters {
    Counters {
        adequacy: posteriors.iter().filter_map(posterior).collect(),
        rollouts: evidence.iter().filter_map(rollout_record).collect(),
    }
}

/// Encodes roll-out evidence.
pub(crate) fn evidence_message(record: &rollout::Record) -> EvidenceCounters {
    let arm = match record.arm {
        Arm::Old => EvidenceArm::Old,
        Arm::New => EvidenceArm::New,
    };
    let counter = &record.counter;
    EvidenceCounters {
        rollout: record.rollout.name.to_string(),
        revision: record.rollout.revision,
        arm: arm.into(),
        incarnation: incarnation_bytes(record.incarnation),
        started: counter.started,
        failed: counter.failed,
        answered: counter.answered,
        slow: counter.slow,
        latency_ms: counter.latency_ms,
        adequate: counter.adequate,
        inadequate: counter.inadequate,
        lost: counter.lost,
    }
}

/// Encodes adequacy counters.
pub(crate) fn posterior_message(record: &cascade::Record) -> PosteriorCounters {
    let counter = &record.counter;
    PosteriorCounters {
        organisation: record.organisation.to_string(),
        class: record.class.as_str().to_owned(),
        version: record.version.to_string(),
        incarnation: incarnation_bytes(record.incarnation),
        adequate: counter.adequate,
        inadequate: counter.inadequate,
        escalated_adequate: counter.escalated_adequate,
        escalated_inadequate: counter.escalated_inadequate,
    }
}

fn rollout_record(message: &EvidenceCounters) -> Option<rollout::Record> {
    let arm = match EvidenceArm::try_from(message.arm).ok()? {
        EvidenceArm::Old => Arm::Old,
        EvidenceArm::New => Arm::New,
    };
    Some(rollout::Record {
        rollout: RolloutRevision {
            name: message.rollout.as_str().into(),
            revision: message.revision,
        },
        arm,
        incarnation: parse_incarnation(&message.incarnation)?,
        counter: rollout::Counter {
            started: message.started,
            failed: message.failed,
            answered: message.answered,
            slow: message.slow,
            latency_ms: message.latency_ms,
            adequate: message.adequate,
            inadequate: message.inadequate,
            lost: message.lost,
        },
    })
}

fn posterior(message: &PosteriorCounters) -> Option<cascade::Record> {
    Some(cascade::Record {
        organisation: message.organisation.as_str().into(),
        class: Class::parse(&message.class)?,
        version: message.version.as_str().into(),
        incarnation: parse_incarnation(&message.incarnation)?,
        counter: cascade::Counter {
            adequate: message.adequate,
            inadequate: message.inadequate,
            escalated_adequate: message.escalated_adequate,
            escalated_inadequate: message.escalated_inadequate,
        },
    })
}
