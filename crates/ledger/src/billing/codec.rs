//! Compact binary encoding of the batches of one incarnation, used on the wire, in memory and in the log.
//!
//! Layout: format byte, incarnation (16 bytes), name table, number of batches, batches, checksum (4 bytes).
//! Integers are encoded as LEB128; sequence and request numbers are delta-encoded.

use std::collections::HashMap;
use std::sync::Arc;

use model::{Incarnation, Name, Usage};
use xxhash_rust::xxh3::xxh3_64;

use super::{Batch, BatchId, Key, Record};

/// Version of the layout, written as the first byte.
const FORMAT_VERSION: u8 = 1;

const CHECKSUM_BYTES: usize = 4;

const TAG_OWN_REQUEST: u8 = 0;
const TAG_REQUEST: u8 = 1;
const TAG_OWN_KEY: u8 = 2;
const TAG_KEY: u8 = 3;

/// The bytes are not a valid encoding, or the batches cannot be encoded together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed billing batches")]
pub struct Malformed;

/// Encodes batches of one incarnation.
///
/// # Errors
/// [`Malformed`] if a batch belongs to another incarnation.
pub fn encode(incarnation: Incarnation, batches: &[Batch]) -> Result<Vec<u8>, Malformed> {
    if batches.iter().any(|it| it.id.incarnation != incarnation) {
        return Err(Malformed);
    }
    let mut writer = Writer::new(incarnation);
    let names = writer.names(batches);
    writer.number(batches.len() as u64);
    let mut sequence = 0;
    for batch in batches {
        writer.delta(&mut sequence, batch.id.sequence);
        writer.number(batch.records.len() as u64);
        for record in &batch.records {
            writer.record(record, &names);
        }
    }
    let checksum = checksum(&writer.bytes);
    writer.bytes.extend_from_slice(&checksum);
    Ok(writer.bytes)
}

/// Decodes the batches in a payload.
///
/// # Errors
/// [`Malformed`] if the payload is not exactly one complete encoding.
pub fn decode(payload: &[u8]) -> Result<Vec<Batch>, Malformed> {
    let length = payload.len().checked_sub(CHECKSUM_BYTES).ok_or(Malformed)?;
    let (bytes, expected) = payload.split_at(length);
    if checksum(bytes) != expected {
        return Err(Malformed);
    }
    let mut reader = Reader::new(bytes)?;
    let names = reader.names()?;
    let mut sequence = 0;
    let batches = (0..reader.count()?)
        .map(|_| {
            let id = BatchId {
                incarnation: reader.incarnation,
                sequence: reader.delta(&mut sequence)?,
            };
            let records = (0..reader.count()?)
                .map(|_| reader.record(&names))
                .collect::<Result<_, _>>()?;
            Ok(Batch { id, records })
        })
        .collect::<Result<_, _>>()?;
    if !reader.bytes.is_empty() {
        return Err(Malformed);
    }
    Ok(batches)
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let [a, b, c, d, ..] = xxh3_64(bytes).to_le_bytes();
    [a, b, c, d]
}

struct Writer {
    bytes: Vec<u8>,
    incarnation: Incarnation,
    prefix: String,
    request: u64,
}

impl Writer {
    fn new(incarnation: Incarnation) -> Self {
        let mut bytes = vec![FORMAT_VERSION];
        bytes.extend_from_slice(&incarnation.bits().to_be_bytes());
        Self {
            bytes,
            incarnation,
            prefix: format!("{incarnation}."),
            request: 0,
        }
    }

    fn names<'a>(&mut self, batches: &'a [Batch]) -> HashMap<&'a Name, u64> {
        let mut table = HashMap::new();
        let mut order = Vec::new();
        let records = batches.iter().flat_map(|it| &it.records);
        for name in records.flat_map(|it| [&it.organisation, &it.version]) {
            table.entry(name).or_insert_with(|| {
                order.push(name);
                order.len() as u64 - 1
            });
        }
        self.number(order.len() as u64);
        for name in order {
            self.text(name);
        }
        table
    }

    fn record(&mut self, record: &Record, names: &HashMap<&Name, u64>) {
        self.number(names[&record.organisation]);
        self.number(names[&record.version]);
        self.key(&record.key);
        self.number(u64::from(record.usage.input));
        self.number(u64::from(record.usage.cached));
        self.number(u64::from(record.usage.output));
        self.number(record.cost);
        self.number(record.rejected);
    }

    fn key(&mut self, key: &Key) {
        match key {
            Key::Request { incarnation, number } if *incarnation == self.incarnation => {
                self.bytes.push(TAG_OWN_REQUEST);
                let mut request = self.request;
                self.delta(&mut request, *number);
                self.request = request;
            }
            Key::Request { incarnation, number } => {
                self.bytes.push(TAG_REQUEST);
                self.bytes.extend_from_slice(&incarnation.bits().to_be_bytes());
                self.number(*number);
            }
            Key::Idempotency(text) => match text.strip_prefix(self.prefix.as_str()) {
                Some(rest) => {
                    self.bytes.push(TAG_OWN_KEY);
                    self.text(rest);
                }
                None => {
                    self.bytes.push(TAG_KEY);
                    self.text(text);
                }
            },
        }
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes.extend_from_slice(text.as_bytes());
    }

    /// Writes the wrapping difference in zigzag encoding, so that the numbers may be in any order.
    fn delta(&mut self, previous: &mut u64, number: u64) {
        let delta = number.wrapping_sub(*previous).cast_signed();
        *previous = number;
        self.number((delta << 1 ^ delta >> 63).cast_unsigned());
    }

    fn number(&mut self, mut number: u64) {
        while number >= 0x80 {
            self.bytes.push(number.to_le_bytes()[0] | 0x80);
            number >>= 7;
        }
        self.bytes.push(number.to_le_bytes()[0]);
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    incarnation: Incarnation,
    request: u64,
}

impl<'a> Reader<'a> {
    fn new(bytes: &'a [u8]) -> Result<Self, Malformed> {
        let mut reader = Self {
            bytes,
            incarnation: Incarnation::from_bits(0),
            request: 0,
        };
        if reader.byte()? != FORMAT_VERSION {
            return Err(Malformed);
        }
        reader.incarnation = reader.incarnation()?;
        Ok(reader)
    }

    fn names(&mut self) -> Result<Vec<Name>, Malformed> {
        let count = self.count()?;
        (0..count).map(|_| Ok(Name::from(self.text()?))).collect()
    }

    fn record(&mut self, names: &[Name]) -> Result<Record, Malformed> {
        Ok(Record {
            organisation: self.name(names)?,
            version: self.name(names)?,
            key: self.key()?,
            usage: Usage {
                input: self.tokens()?,
                cached: self.tokens()?,
                output: self.tokens()?,
            },
            cost: self.number()?,
            rejected: self.number()?,
        })
    }

    fn key(&mut self) -> Result<Key, Malformed> {
        match self.byte()? {
            TAG_OWN_REQUEST => {
                let mut request = self.request;
                let number = self.delta(&mut request)?;
                self.request = request;
                Ok(Key::Request {
                    incarnation: self.incarnation,
                    number,
                })
            }
            TAG_REQUEST => Ok(Key::Request {
                incarnation: self.incarnation()?,
                number: self.number()?,
            }),
            TAG_OWN_KEY => {
                let rest = self.text()?;
                let text = format!("{}.{rest}", self.incarnation);
                Ok(Key::Idempotency(Arc::from(text)))
            }
            TAG_KEY => Ok(Key::Idempotency(Arc::from(self.text()?))),
            _ => Err(Malformed),
        }
    }

    fn name(&mut self, names: &[Name]) -> Result<Name, Malformed> {
        let index = usize::try_from(self.number()?).map_err(|_| Malformed)?;
        names.get(index).cloned().ok_or(Malformed)
    }

    fn tokens(&mut self) -> Result<u32, Malformed> {
        self.number()?.try_into().map_err(|_| Malformed)
    }

    /// Reads the number of items that follow. Each item takes at least one byte, so that a forged count
    /// cannot cause an allocation larger than the payload warrants.
    fn count(&mut self) -> Result<usize, Malformed> {
        let count = usize::try_from(self.number()?).map_err(|_| Malformed)?;
        if count > self.bytes.len() {
            return Err(Malformed);
        }
        Ok(count)
    }

    fn text(&mut self) -> Result<&'a str, Malformed> {
        let length = self.count()?;
        std::str::from_utf8(self.take(length)?).map_err(|_| Malformed)
    }

    fn incarnation(&mut self) -> Result<Incarnation, Malformed> {
        let bytes = self.take(16)?.try_into().map_err(|_| Malformed)?;
        Ok(Incarnation::from_bits(u128::from_be_bytes(bytes)))
    }

    fn delta(&mut self, previous: &mut u64) -> Result<u64, Malformed> {
        let zigzag = self.number()?;
        let delta = (zigzag >> 1) ^ (zigzag & 1).wrapping_neg();
        *previous = previous.wrapping_add(delta);
        Ok(*previous)
    }

    fn number(&mut self) -> Result<u64, Malformed> {
        let mut number = 0;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            // The tenth byte can contribute only one bit to a 64-bit number.
            if shift == 63 && byte > 1 {
                return Err(Malformed);
            }
            number |= u64::from(byte & 0x7f) << shift;
            if byte < 0x80 {
                return Ok(number);
            }
        }
        Err(Malformed)
    }

    fn byte(&mut self) -> Result<u8, Malformed> {
        let (first, rest) = self.bytes.split_first().ok_or(Malformed)?;
        self.bytes = rest;
        Ok(*first)
    }

    fn take(&mut self, length: usize) -> Result<&'a [u8], Malformed> {
        let (head, rest) = self.bytes.split_at_checked(length).ok_or(Malformed)?;
        self.bytes = rest;
        Ok(head)
    }
}
