//! Bills aggregated from the batches in the log.

mod range_set;

use std::collections::{BTreeMap, HashSet};

use model::{Cost, Incarnation, Name};
use xxhash_rust::xxh3::xxh3_128;

use crate::billing::{Batch, Key, Malformed, Record, decode};
use crate::fault::{self, Fault};
use range_set::RangeSet;

/// Bill of an organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bill {
    /// Billed requests.
    pub requests: u64,
    /// Prompt tokens, including cached ones.
    pub input: u64,
    /// Prompt tokens served from a prefix cache.
    pub cached: u64,
    /// Generated tokens.
    pub output: u64,
    /// Cost of the returned answers, charged to the organisation.
    pub cost: Cost,
    /// Cost of rejected answers, not charged to the organisation.
    pub rejected: Cost,
}

/// Numbers of batches counted and of duplicates discarded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Distinct batches.
    pub batches: u64,
    /// Batches discarded because the log already contained them.
    pub duplicate_batches: u64,
    /// Records discarded because their billing key was already counted.
    pub duplicate_records: u64,
}

/// Aggregates the payloads of the billing stream, which may be read in any order.
#[derive(Debug, Default)]
pub struct Reader {
    bills: BTreeMap<Name, Bill>,
    batches: BTreeMap<Incarnation, RangeSet>,
    requests: BTreeMap<Incarnation, RangeSet>,
    /// Hashes of organisation and idempotency key.
    keys: HashSet<u128>,
    counts: Counts,
}

impl Reader {
    /// Adds the records of a payload to the bills.
    ///
    /// # Errors
    /// [`Malformed`] if the payload cannot be decoded; none of its records is counted.
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

    /// Counts of the payloads read so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of batches that are missing although a later batch of the same incarnation is in the log.
    ///
    /// These batches are lost once no node holds batches of the incarnation any more. Lost batches after the
    /// last logged one of an incarnation are not detected.
    pub fn missing_batches(&self) -> u64 {
        if fault::active(Fault::IgnoreGaps) {
            return 0;
        }
        self.batches.values().map(RangeSet::gaps).sum()
    }

    fn add(&mut self, batch: &Batch) {
        let is_new = self
            .batches
            .entry(batch.id.incarnation)
            .or_default()
            .insert(batch.id.sequence);
        if !is_new && !fault::active(Fault::CountDuplicates) {
            self.counts.duplicate_batches += 1;
            return;
        }
        self.counts.batches += 1;
        for record in &batch.records {
            self.add_record(record);
        }
    }

    fn add_record(&mut self, record: &Record) {
        if !self.is_first(record) && !fault::active(Fault::CountDuplicates) {
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
            // Request numbers of an incarnation are unique across organisations.
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
