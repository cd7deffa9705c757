//! Billing batches: replication to two peers, the log, and an outage of one hour.

use std::sync::Arc;
use std::time::Duration;

use ledger::billing::{Action, AppendOutcome, Holder, Limits, Member, Origin, Record, append_interval};
use model::{Incarnation, Usage};
use prost::Message;
use wire::peer::{BatchId, HoldBatchRequest, SettleBatchRequest};

use super::measure::{bytes_per_unit, seconds_per_unit};
use super::{
    Line, NODES, ORGANISATIONS, OUTAGE_SECONDS, REQUESTS_PER_SECOND, Resource, Sample, Scope, VERSIONS,
};

const MECHANISM: &str = "billing";

/// Records in a measurement of time: ten minutes of one node.
const RECORDS: usize = (REQUESTS_PER_SECOND * 600.0) as usize;

/// Records of one hour without the log.
const OUTAGE_RECORDS: usize = (REQUESTS_PER_SECOND * OUTAGE_SECONDS) as usize;

/// HTTP/2 and gRPC framing of one call: a headers frame with indexed fields and a data frame with its length prefix.
const CALL_BYTES: usize = 9 + 40 + 9 + 5;

const HELD_LIMIT_BYTES: usize = 64 << 20;

/// Memory of an outage of one hour.
pub fn memory() -> Line {
    let outage = bytes_per_unit(OUTAGE_RECORDS, || {
        simulate(OUTAGE_RECORDS, AppendOutcome::Unconfirmed)
    });
    let per = "record in an outage, own and two held";
    line(
        Scope::Control,
        Resource::Memory,
        outage,
        per,
        OUTAGE_RECORDS as f64,
    )
}

/// Time, bytes and appends with the log up.
pub fn rates() -> [Line; 3] {
    let seconds = seconds_per_unit(
        RECORDS,
        || (),
        |()| drop(simulate(RECORDS, AppendOutcome::Confirmed)),
    );
    let bytes = Sample::exact(simulate(RECORDS, AppendOutcome::Confirmed).bytes as f64 / RECORDS as f64);
    let appends = Sample::exact(1.0 / append_interval(NODES).as_secs_f64());
    let per = "request, origin and two holders";
    [
        line(Scope::Request, Resource::Cpu, seconds, per, REQUESTS_PER_SECOND),
        line(
            Scope::Request,
            Resource::Bytes,
            bytes,
            "request",
            REQUESTS_PER_SECOND,
        ),
        line(Scope::Control, Resource::Appends, appends, "node", NODES as f64),
    ]
}

fn line(scope: Scope, resource: Resource, slope: Sample, per: &'static str, units: f64) -> Line {
    Line {
        mechanism: MECHANISM,
        scope,
        resource,
        slope,
        per,
        units,
    }
}

/// One origin with two holders.
#[derive(Debug)]
struct Simulation {
    origin: Origin,
    holders: Vec<(Incarnation, Holder)>,
    bytes: usize,
    log: AppendOutcome,
}

fn simulate(records: usize, log: AppendOutcome) -> Simulation {
    let mut simulation = Simulation::new(log);
    let gap = Duration::from_secs_f64(1.0 / REQUESTS_PER_SECOND);
    for idx in 0..records {
        simulation.request(idx, gap * u32::try_from(idx).unwrap_or(u32::MAX));
    }
    simulation
}

impl Simulation {
    fn new(log: AppendOutcome) -> Self {
        let member = |number: u128| Member {
            incarnation: Incarnation::from_bits(number),
            domain: format!("domain-{number}").into(),
        };
        let limits = Limits {
            records: 2 * OUTAGE_RECORDS,
            ..Limits::default()
        };
        let mut origin = Origin::new(member(0), limits, Duration::ZERO);
        let peers = [member(1), member(2)];
        origin.set_peers(&peers, NODES, Duration::ZERO);
        let live: Vec<_> = (0..3).map(Incarnation::from_bits).collect();
        let holders = peers.map(|it| {
            let mut held = Holder::new(HELD_LIMIT_BYTES, Duration::ZERO);
            held.set_live(live.iter().copied(), Duration::ZERO);
            (it.incarnation, held)
        });
        Self {
            origin,
            holders: holders.into(),
            bytes: 0,
            log,
        }
    }

    fn request(&mut self, idx: usize, now: Duration) {
        let Ok(permit) = self.origin.admit() else {
            return;
        };
        let key = self.origin.next_key();
        let record = Record {
            organisation: format!("organisation-{}", idx % ORGANISATIONS).into(),
            key,
            version: format!("version-{}", idx % VERSIONS).into(),
            usage: Usage {
                input: 900,
                cached: 400,
                output: 300,
            },
            cost: 210_000,
            rejected: 0,
        };
        self.origin.record(permit, record, now);
        let closed = now + Limits::default().linger;
        let actions = self.origin.poll(closed);
        self.execute(actions, closed);
    }

    fn execute(&mut self, actions: Vec<Action>, now: Duration) {
        for action in actions {
            match action {
                Action::Hold {
                    peer,
                    id,
                    payload,
                    rank,
                    other,
                } => {
                    self.bytes += hold_bytes(&payload, other.is_some());
                    self.hold(peer, id, &payload, rank, other, now);
                }
                Action::Append { number, .. } => {
                    let next = self.origin.append_finished(number, self.log, now);
                    self.execute(next, now);
                }
                Action::Settle { peer, number, ids } => self.settle(peer, number, &ids),
                Action::Release { .. } => {}
            }
        }
    }

    fn hold(
        &mut self,
        peer: Incarnation,
        id: ledger::billing::BatchId,
        payload: &Arc<[u8]>,
        rank: u8,
        other: Option<Incarnation>,
        now: Duration,
    ) {
        for (incarnation, held) in &mut self.holders {
            if *incarnation == peer && held.hold(id, Box::from(&payload[..]), rank, other, now).is_ok() {
                self.origin.hold_confirmed(peer, id, now);
            }
        }
    }

    fn settle(&mut self, peer: Incarnation, number: u64, ids: &[ledger::billing::BatchId]) {
        let message = SettleBatchRequest {
            ids: ids.iter().map(|_| batch_id()).collect(),
        };
        self.bytes += message.encoded_len() + CALL_BYTES;
        for (incarnation, held) in &mut self.holders {
            if *incarnation == peer {
                held.settle(ids);
            }
        }
        self.origin.settle_confirmed(peer, number);
    }
}

fn hold_bytes(payload: &[u8], has_other: bool) -> usize {
    let message = HoldBatchRequest {
        id: Some(batch_id()),
        payload: payload.to_vec(),
        rank: 1,
        // An incarnation.
        other_holder: if has_other { vec![0; 16] } else { Vec::new() },
        origin_host: "region-1-entry-123".to_owned(),
    };
    message.encoded_len() + CALL_BYTES
}

fn batch_id() -> BatchId {
    BatchId {
        incarnation: vec![0; 16],
        sequence: 1_000_000,
    }
}
