//! Exchange of roll-out evidence and adequacy counters.

use prost::Message;
use wire::peer::{EvidenceCounters, MergeEvidenceRequest, PosteriorCounters};

use super::{Line, Resource, Sample, Scope};

/// Counters of one roll-out: two trial nodes with both arms, and eight observers of the old version.
const ROLLOUT_COUNTERS: usize = 2 * 2 + 8;

/// Roll-outs under way at once.
const ROLLOUTS: usize = 2;

/// Seconds between two exchanges of a node with a peer.
const INTERVAL_SECONDS: f64 = 5.0;

/// Greatest number of adequacy counters in one exchange.
const POSTERIORS: usize = 16;

/// HTTP/2 and gRPC framing of one call.
const CALL_BYTES: usize = 63;

/// Cost of the exchange, which does not depend on the size of the fleet.
pub fn lines() -> Vec<Line> {
    let exchange = MergeEvidenceRequest {
        evidence: vec![evidence(); ROLLOUTS * ROLLOUT_COUNTERS],
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
        revision: 1_000_000,
        arm: 1,
        incarnation: vec![0; 16],
        started: 10_000,
        failed: 100,
        answered: 9_900,
        slow: 500,
        latency_ms: 20_000_000,
        adequate: 9_000,
        inadequate: 900,
        lost: 100,
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
        escalated_adequate: 1_000,
        escalated_inadequate: 100,
    }
}
