//! Exchange of roll-out evidence and adequacy counters.

use prost::Message;
use wire::peer::{EvidenceCounters, MergeEvidenceRequest, PosteriorCounters};

use super::{Line, Resource, Sample, Scope};

/// Nodes that send trial traffic of one roll-out.
const TRIAL_NODES: usize = 3;

/// Roll-outs under way at once.
const ROLLOUTS: usize = 2;

/// Seconds between two exchanges of a node with a peer.
const INTERVAL_SECONDS: f64 = 2.0;

/// Adequacy counters in one exchange: those that changed, up to this bound.
const POSTERIORS: usize = 10;

/// HTTP/2 and gRPC framing of one call.
const CALL_BYTES: usize = 63;

/// Cost of the exchange, which does not depend on the size of the fleet.
pub fn lines() -> Vec<Line> {
    let exchange = MergeEvidenceRequest {
        evidence: vec![evidence(); ROLLOUTS * TRIAL_NODES * 2],
        posteriors: vec![posterior(); POSTERIORS],
    };
    // A node is the caller of one exchange and, on average, the callee of another one in each interval.
    let bytes = 2 * (exchange.encoded_len() + CALL_BYTES);
    vec![Line {
        mechanism: "evidence exchange",
        scope: Scope::Control,
        resource: Resource::Bytes,
        slope: Sample::exact(bytes as f64),
        per: "exchange, both ways",
        units: 1.0 / INTERVAL_SECONDS,
    }]
}

fn evidence() -> EvidenceCounters {
    EvidenceCounters {
        rollout: "rollout-1".to_owned(),
        version: "version-1".to_owned(),
        incarnation: vec![0; 16],
        started: 10_000,
        adequate: 9_000,
        inadequate: 900,
        failed: 100,
    }
}

fn posterior() -> PosteriorCounters {
    PosteriorCounters {
        organisation: "organisation-123".to_owned(),
        class: "standard".to_owned(),
        version: "version-12".to_owned(),
        incarnation: vec![0; 16],
        adequate: 10_000,
        inadequate: 1_000,
    }
}
