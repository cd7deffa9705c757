//! Bills, added up from the batches in the log.

mod ranges;

use std::collections::{BTreeMap, HashSet};

use model::{Cost, Incarnation, Name};
use xxhash_rust::xxh3::xxh3_128;

use crate::billing::{Batch, Key, Malformed, Record, decode};
use crate::fault::{self, Fault};
use ranges::Ranges;

/// Bill of an organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bill {
    /// Billed requests.
    pub requests: u64,
    /// Prompt tokens, cached ones included.
    pub input: u64,
    /// Prompt tokens served from a prefix cache.
    pub cached: u64,
    /// Generated tokens.
    pub output: u64,
    /// Cost of the answers, which the organisation pays.
    pub cost: Cost,
    /// Cost of rejected steps, which it does not pay.
    pub rejected: Cost,
}

/// What the reader discarded and missed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Batches counted.
    pub batches: u64,
    /// Batches that the log holds more than once.
    pub duplicate_batches: u64,
    /// Records whose billing key was already counted.
    pub duplicate_records: u64,
}

/// Reader of the billing stream, to be fed with all payloads in any order.
#[derive(Debug, Default)]
pub struct Reader {
    bills: BTreeMap<Name, Bill>,
    batches: BTreeMap<Incarnation, Ranges>,
    requests: BTreeMap<Incarnation, Ranges>,
    /// Hashes of organisation and idempotency key.
    keys: HashSet<u128>,
    counts: Counts,
}

impl Reader {
    /// Adds up a payload of the log.
    ///
    /// # Errors
    /// [`Malformed`]; nothing of the payload is counted.
    pub fn read(&mut self, payload: &[u8]) -> Result<(), Malformed> {
        for batch in decode(payload)? {
            self.add(&batch);
        }
        Ok(())
    }

    /// Bills by organisation.
    pub fn bills(&self) -> &BTreeMap<Name, Bill> {
        &self.bills
    }

    /// What was discarded.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Batches that are missing although a later one of the same incarnation is in the log.
    ///
    /// Once nothing is held for the incarnation any more, these are lost. Batches lost at the end of an incarnation's
    /// sequence are not seen here.
    pub fn missing(&self) -> u64 {
        if fault::active(Fault::HideGaps) {
            return 0;
        }
        self.batches.values().map(Ranges::missing).sum()
    }

    fn add(&mut self, batch: &Batch) {
        let fresh = self
            .batches
            .entry(batch.id.incarnation)
            .or_default()
            .insert(batch.id.sequence);
        if !fresh && !fault::active(Fault::CountTwice) {
            self.counts.duplicate_batches += 1;
            return;
        }
        self.counts.batches += 1;
        for record in &batch.records {
            self.add_record(record);
        }
    }

    fn add_record(&mut self, record: &Record) {
        if !self.is_first(record) && !fault::active(Fault::CountTwice) {
            self.counts.duplicate_records += 1;
            return;
        }
        let bill = self.bills.entry(record.organisation.clone()).or_default();
        bill.requests += 1;
        bill.input += u64::from(record.usage.input);
        bill.cached += u64::from(record.usage.cached);
        bill.output += u64::from(record.usage.output);
        bill.cost = bill.cost.saturating_add(record.cost);
        bill.rejected = bill.rejected.saturating_add(record.rejected);
    }

    fn is_first(&mut self, record: &Record) -> bool {
        match &record.key {
            // The numbers of an incarnation are unique over all organisations.
            Key::Request { incarnation, number } => {
                self.requests.entry(*incarnation).or_default().insert(*number)
            }
            Key::Idempotency(text) => {
                let text = format!("{}\n{text}", record.organisation);
                self.keys.insert(xxh3_128(text.as_bytes()))
            }
        }
    }
}
