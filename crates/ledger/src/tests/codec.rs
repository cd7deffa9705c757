//! Guards against records that change when encoded and decoded, and against panics on invalid payloads.

use std::sync::Arc;

use model::{Incarnation, Usage};
use proptest::collection::vec;
use proptest::prelude::*;

use super::check;
use crate::billing::{Batch, BatchId, Key, Malformed, Record, decode, encode};

const OWN: u128 = 0x00ff_0000_0000_0000_0000_0000_0000_0001;

fn incarnation() -> impl Strategy<Value = Incarnation> {
    prop_oneof![Just(OWN), any::<u128>()].prop_map(Incarnation::from_bits)
}

fn key() -> impl Strategy<Value = Key> {
    prop_oneof![
        (incarnation(), any::<u64>()).prop_map(|(incarnation, number)| Key::Request { incarnation, number }),
        (incarnation(), "[0-9]{1,3}\\.[a-z]{1,9}")
            .prop_map(|(incarnation, rest)| Key::Idempotency(Arc::from(format!("{incarnation}.{rest}")))),
        any::<String>().prop_map(|it| Key::Idempotency(Arc::from(it))),
    ]
}

fn record() -> impl Strategy<Value = Record> {
    let usage = any::<[u32; 3]>().prop_map(|[input, cached, output]| Usage {
        input,
        cached,
        output,
    });
    ("[a-c]{0,3}", key(), any::<String>(), usage, any::<[u64; 2]>()).prop_map(
        |(organisation, key, version, usage, [cost, rejected])| Record {
            organisation: organisation.into(),
            key,
            version: version.into(),
            usage,
            cost,
            rejected,
        },
    )
}

fn batches() -> impl Strategy<Value = Vec<Batch>> {
    let batch = (any::<u64>(), vec(record(), 0..4)).prop_map(|(sequence, records)| Batch {
        id: BatchId {
            incarnation: Incarnation::from_bits(OWN),
            sequence,
        },
        records,
    });
    vec(batch, 0..4)
}

#[test]
fn decoded_batches_equal_encoded_batches() {
    check(batches(), |batches| {
        let payload = encode(Incarnation::from_bits(OWN), batches).map_err(|it| it.to_string())?;
        let decoded = decode(&payload).map_err(|it| it.to_string())?;
        if decoded == *batches {
            Ok(())
        } else {
            Err(format!("decoded batches differ: {decoded:?}"))
        }
    });
}

#[test]
fn corrupted_and_truncated_payloads_are_refused() {
    check(
        (batches(), any::<prop::sample::Index>(), 1..=255_u8),
        |(batches, position, change)| {
            let payload = encode(Incarnation::from_bits(OWN), batches).map_err(|it| it.to_string())?;
            let position = position.index(payload.len());
            let mut corrupted = payload.clone();
            corrupted[position] ^= change;
            if decode(&corrupted) != Err(Malformed) || decode(&payload[..position]) != Err(Malformed) {
                return Err("corrupted or truncated payload decoded".to_owned());
            }
            Ok(())
        },
    );
}

#[test]
fn arbitrary_bytes_with_a_valid_checksum_do_not_panic() {
    check(vec(any::<u8>(), 0..200), |bytes| {
        let mut bytes = [&[1], &bytes[..]].concat();
        let sum = xxhash_rust::xxh3::xxh3_64(&bytes).to_le_bytes();
        bytes.extend_from_slice(&sum[..4]);
        let _ = decode(&bytes);
        Ok(())
    });
}

#[test]
fn batches_of_another_incarnation_are_refused() {
    let batch = Batch {
        id: BatchId {
            incarnation: Incarnation::from_bits(2),
            sequence: 0,
        },
        records: Vec::new(),
    };
    assert_eq!(encode(Incarnation::from_bits(1), &[batch]), Err(Malformed));
}
