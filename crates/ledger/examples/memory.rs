//! Measures memory and time per billed request during a one-hour outage of the log at the target rate, and
//! memory per idempotency key.
//!
//! Run with `cargo run --release -p ledger --example memory`. Memory is measured as growth of the resident
//! set.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ledger::billing::{Action, AppendOutcome, Holder, Limits, Member, Origin, Record};
use ledger::idempotency;
use model::{Incarnation, Name, Usage};

/// Requests in one hour at 28.5 requests/s.
const REQUESTS: usize = 102_600;

/// Keys in a full table.
const KEYS: usize = 10_000;

/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: usize = 4096;

const START: Duration = Duration::from_secs(1);

fn main() {
    // Memory freed by an earlier measurement would hide allocations of a later one, so the smallest comes
    // first.
    measure_keys();
    measure_origin();
}

fn measure_origin() {
    let members: Vec<_> = (1..=8).map(member).collect();
    let mut origin = Origin::new(members[0].clone(), Limits::default(), START);
    origin.set_peers(&members, 340, START);
    let names: Vec<Name> = (0..10).map(|it| format!("organisation-{it}").into()).collect();
    let version: Name = "model-1-v3".into();

    let before = resident_bytes();
    let start = Instant::now();
    // Replicas are measured separately, so that this is the memory of the origin alone.
    let mut now = START;
    for number in 0..REQUESTS {
        let permit = origin.admit().expect("the limit covers an hour");
        let record = Record {
            organisation: Arc::clone(&names[number % names.len()]),
            key: origin.next_key(),
            version: Arc::clone(&version),
            usage: Usage {
                input: 900,
                cached: 640,
                output: 280,
            },
            cost: 4_250_000,
            rejected: 120_000,
        };
        origin.record(permit, record, now);
        now += Duration::from_millis(35);
        execute_actions(&mut origin, now);
    }
    let elapsed = start.elapsed();
    report(
        "origin, unsettled",
        resident_bytes().saturating_sub(before),
        REQUESTS,
    );
    println!(
        "origin, time per request: {:.2} us",
        elapsed.as_secs_f64() * 1e6 / REQUESTS as f64
    );
    measure_holder();
    drop(origin);
}

/// Confirms all hold calls and fails all appends.
fn execute_actions(origin: &mut Origin, now: Duration) {
    for action in origin.poll(now) {
        match action {
            Action::Hold { peer, id, .. } => origin.hold_confirmed(peer, id, now),
            Action::Append { number, .. } => {
                drop(origin.append_finished(number, AppendOutcome::Unconfirmed, now));
            }
            Action::Settle { .. } | Action::Release { .. } => (),
        }
    }
}

/// Measures the replicas of two origins, the number that each node holds on average.
fn measure_holder() {
    let members: Vec<_> = (1..=8).map(member).collect();
    let mut holder = Holder::new(usize::MAX, START);
    holder.set_live(members.iter().map(|it| it.incarnation), START);
    let before = resident_bytes();
    for own in [&members[0], &members[1]] {
        let mut origin = Origin::new(own.clone(), Limits::default(), START);
        origin.set_peers(&members, 340, START);
        for number in 0..REQUESTS {
            let permit = origin.admit().expect("the limit covers an hour");
            let record = Record {
                organisation: format!("organisation-{}", number % 10).into(),
                key: origin.next_key(),
                version: "model-1-v3".into(),
                usage: Usage {
                    input: 900,
                    cached: 640,
                    output: 280,
                },
                cost: 4_250_000,
                rejected: 120_000,
            };
            origin.record(permit, record, START);
            transfer(&mut holder, &mut origin);
        }
    }
    report(
        "holder, replicas",
        resident_bytes().saturating_sub(before),
        2 * REQUESTS,
    );
    println!(
        "holder, payload bytes per request: {:.1}",
        holder.bytes() as f64 / (2 * REQUESTS) as f64
    );
}

/// Sends the first replica to the holder and confirms the append, so that the origin keeps nothing.
fn transfer(holder: &mut Holder, origin: &mut Origin) {
    // Each call is later than the previous one by more than the append interval.
    let now = START + Duration::from_secs(3) * u32::try_from(holder.len() + 1).unwrap_or(u32::MAX);
    for action in origin.poll(now) {
        match action {
            Action::Hold {
                id,
                payload,
                rank: 0,
                other,
                ..
            } => {
                // A replica received over the network shares no memory with the origin.
                let payload = Box::from(&payload[..]);
                holder
                    .hold(id, payload, 0, other, START)
                    .expect("the payload is valid");
            }
            Action::Append { number, .. } => {
                for settle in origin.append_finished(number, AppendOutcome::Confirmed, now) {
                    if let Action::Settle { peer, number, .. } = settle {
                        origin.settle_confirmed(peer, number);
                    }
                }
            }
            Action::Hold { .. } | Action::Settle { .. } | Action::Release { .. } => (),
        }
    }
}

fn measure_keys() {
    let organisation: Name = "organisation-1".into();
    let before = resident_bytes();
    let mut table = idempotency::Table::new(Incarnation::from_bits(1), idempotency::Limits::default(), START);
    let prefix = table.prefix(START);
    for number in 0..KEYS {
        let key = format!("{prefix}.{number:032x}")
            .parse()
            .expect("the key is canonical");
        let call = idempotency::Call {
            organisation: &organisation,
            key: &key,
            digest: 1,
        };
        assert_eq!(table.begin(call, START), idempotency::Decision::Execute);
        let response = idempotency::Response {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![b'x'; 200],
        };
        table.finish(&organisation, &key, idempotency::Outcome::Done(response));
    }
    report(
        "key with a response of 200 bytes",
        resident_bytes().saturating_sub(before),
        table.len(),
    );
}

fn member(number: u128) -> Member {
    Member {
        incarnation: Incarnation::from_bits(number << 64),
        domain: format!("domain-{}", number % 3).into(),
    }
}

fn report(what: &str, bytes: usize, count: usize) {
    let each = bytes as f64 / count as f64;
    println!(
        "{what}: {each:.0} bytes each, {:.1} MB for {count}",
        bytes as f64 / 1e6
    );
}

/// Resident set in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
