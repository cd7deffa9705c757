//! Guards against growth of the encoding, which is used on the wire, in memory and in the log. The limits are
//! the sizes that format version 1 produces.

use model::{Incarnation, Usage};

use crate::billing::{Batch, BatchId, Key, Record, encode};

const OWN: u128 = 0x9f86_d081_884c_7d65_9a2f_eaa0_c55a_d015;

fn batch(number: u64, key: Key) -> Batch {
    let id = BatchId {
        incarnation: Incarnation::from_bits(OWN),
        sequence: number,
    };
    let record = Record {
        organisation: format!("organisation-{}", number % 10).into(),
        key,
        version: format!("model-{}-v3", number % 6).into(),
        usage: Usage {
            input: 900,
            cached: 640,
            output: 280,
        },
        cost: 4_250_000,
        rejected: 120_000,
    };
    let records = vec![record];
    Batch { id, records }
}

fn by_request(number: u64) -> Batch {
    let incarnation = Incarnation::from_bits(OWN);
    batch(number, Key::Request { incarnation, number })
}

fn by_key(number: u64) -> Batch {
    let incarnation = Incarnation::from_bits(OWN);
    // The caller part is a UUID without hyphens.
    batch(
        number,
        Key::Idempotency(format!("{incarnation}.59.{number:032x}").into()),
    )
}

/// Size in bytes of the payload of `count` batches with one record each.
fn bytes(count: u64, make: impl Fn(u64) -> Batch) -> usize {
    let batches: Vec<_> = (100_000..100_000 + count).map(make).collect();
    encode(Incarnation::from_bits(OWN), &batches).unwrap().len()
}

/// One batch is the payload of a hold call; 65 is the number of requests per append interval with 340 nodes.
#[test]
fn encoded_size_does_not_grow() {
    let sizes = [
        bytes(1, by_request),
        bytes(65, by_request),
        bytes(1, by_key),
        bytes(65, by_key),
    ];
    println!(
        "1 and 65 batches by request: {:?}, by key: {:?}",
        &sizes[..2],
        &sizes[2..]
    );
    assert!(
        sizes
            .into_iter()
            .zip([72, 1478, 105, 3751])
            .all(|(size, bound)| size <= bound),
        "{sizes:?}"
    );
}
