//! Measures memory and time per billed request for one hour of outage at the target rate, and memory per key.
//!
//! Run with `cargo run --release -p ledger --example memory`. Memory is the growth of the resident set.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ledger::billing::{Action, Append, Held, Limits, Member, Origin, Record};
use ledger::once;
use model::{Incarnation, Name, Usage};

/// Requests of one hour at 28.5 a second.
const REQUESTS: usize = 102_600;

/// Keys in a full table.
const KEYS: usize = 10_000;

/// Size of a page of memory, which `/proc/self/statm` counts in.
const PAGE: usize = 4096;

const START: Duration = Duration::from_secs(1);

fn main() {
    // Memory that an earlier part gave back would hide what a later part takes, so the smallest part comes first.
    keys();
    bill();
}

fn bill() {
    let members: Vec<_> = (1..=8).map(member).collect();
    let mut origin = Origin::new(members[0].clone(), Limits::default(), START);
    origin.set_peers(&members, 340, START);
    let names: Vec<Name> = (0..10).map(|it| format!("organisation-{it}").into()).collect();
    let version: Name = "model-1-v3".into();

    let before = resident();
    let start = Instant::now();
    // The holders' copies are kept apart, so that the memory of the origin is measured alone.
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
        drive(&mut origin, now);
    }
    let elapsed = start.elapsed();
    report("origin, unsettled", resident().saturating_sub(before), REQUESTS);
    println!(
        "origin, time per request: {:.2} us",
        elapsed.as_secs_f64() * 1e6 / REQUESTS as f64
    );
    hold();
    drop(origin);
}

/// Confirms all copies, and fails all appends.
fn drive(origin: &mut Origin, now: Duration) {
    for action in origin.poll(now) {
        match action {
            Action::Hold { peer, id, .. } => origin.held(peer, id, now),
            Action::Append { number, .. } => drop(origin.appended(number, Append::Unconfirmed, now)),
            Action::Settle { .. } | Action::Release { .. } => (),
        }
    }
}

/// Copies of two other origins, as each node holds them.
fn hold() {
    let members: Vec<_> = (1..=8).map(member).collect();
    let mut held = Held::new(usize::MAX, START);
    held.set_live(members.iter().map(|it| it.incarnation), START);
    let before = resident();
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
            take(&mut held, &mut origin);
        }
    }
    report("holder, copies", resident().saturating_sub(before), 2 * REQUESTS);
    println!(
        "holder, payload bytes per request: {:.1}",
        held.bytes() as f64 / (2 * REQUESTS) as f64
    );
}

/// Moves the first copy to the holder; the log takes the batch, so that the origin keeps nothing.
fn take(held: &mut Held, origin: &mut Origin) {
    // The append interval has passed at each step.
    let now = START + Duration::from_secs(3) * u32::try_from(held.len() + 1).unwrap_or(u32::MAX);
    for action in origin.poll(now) {
        match action {
            Action::Hold {
                id,
                payload,
                rank: 0,
                other,
                ..
            } => {
                // A copy that came over the network shares no memory with the origin.
                let payload = Box::from(&payload[..]);
                held.hold(id, payload, 0, other, START)
                    .expect("the payload is valid");
            }
            Action::Append { number, .. } => {
                for settle in origin.appended(number, Append::Confirmed, now) {
                    if let Action::Settle { peer, number, .. } = settle {
                        origin.settled(peer, number);
                    }
                }
            }
            Action::Hold { .. } | Action::Settle { .. } | Action::Release { .. } => (),
        }
    }
}

fn keys() {
    let organisation: Name = "organisation-1".into();
    let before = resident();
    let mut table = once::Table::new(Incarnation::from_bits(1), once::Limits::default(), START);
    let prefix = table.prefix(START);
    for number in 0..KEYS {
        let key = format!("{prefix}.{number:032x}")
            .parse()
            .expect("the key is canonical");
        let call = once::Call {
            organisation: &organisation,
            key: &key,
            digest: 1,
        };
        assert_eq!(table.begin(call, START), once::Answer::Execute);
        let response = once::Response {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![b'x'; 200],
        };
        table.finish(&organisation, &key, once::Outcome::Done(response));
    }
    report(
        "key with a response of 200 bytes",
        resident().saturating_sub(before),
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
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    pages * PAGE
}
