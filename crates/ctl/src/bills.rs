//! Command `bills`: aggregates the bills of organisations from the billing stream.

use std::collections::BTreeMap;

use ledger::BILLING_STREAM;
use ledger::bill::{Bill, Counts, Reader};
use model::{Cost, Name, Offset};
use ports::log::Log;
use serde::Serialize;

use crate::args::{Args, Bills};
use crate::config_log::{PAGE_RECORDS, client};
use crate::failure::Failure;
use crate::output::{self, Format};

#[derive(Debug, Serialize)]
struct Output {
    organisations: BTreeMap<Name, Line>,
    batches: u64,
    duplicate_batches: u64,
    duplicate_records: u64,
    missing_batches: u64,
    malformed_payloads: u64,
    /// Oldest offset in the log. If it is greater than zero, older records were deleted and are not included.
    first_offset: Offset,
}

#[derive(Debug, Serialize)]
struct Line {
    requests: u64,
    input_tokens: u64,
    cached_tokens: u64,
    output_tokens: u64,
    cost: Cost,
    rejected_cost: Cost,
}

#[derive(Debug, Default)]
struct BillingLog {
    reader: Reader,
    malformed: u64,
    first: Offset,
}

/// The command `bills`.
pub fn run(cmd: &Bills, args: &Args, format: Format) -> Result<(), Failure> {
    let read = read(args)?;
    let wanted = |name: &Name| cmd.organisation.as_deref().is_none_or(|it| it == &**name);
    let bills = read.reader.bills().iter().filter(|(name, _)| wanted(name));
    let organisations = bills
        .map(|(name, bill)| (name.clone(), Line::from(bill)))
        .collect();
    let Counts {
        batches,
        duplicate_batches,
        duplicate_records,
    } = read.reader.counts();
    let output = Output {
        organisations,
        batches,
        duplicate_batches,
        duplicate_records,
        missing_batches: read.reader.missing_batches(),
        malformed_payloads: read.malformed,
        first_offset: read.first,
    };
    output::print(&output, format, lines);
    Ok(())
}

fn read(args: &Args) -> Result<BillingLog, Failure> {
    let client = client(args)?;
    let mut read = BillingLog::default();
    let mut from = 0;
    loop {
        let page = client
            .read(BILLING_STREAM, from, PAGE_RECORDS)
            .map_err(Failure::Read)?;
        if from == 0 {
            read.first = page.first;
        }
        for record in &page.records {
            if read.reader.read(&record.payload).is_err() {
                read.malformed += 1;
            }
        }
        match page.records.last() {
            Some(last) if last.offset + 1 < page.end => from = last.offset + 1,
            _ => return Ok(read),
        }
    }
}

impl From<&Bill> for Line {
    fn from(bill: &Bill) -> Self {
        Self {
            requests: bill.requests,
            input_tokens: bill.input,
            cached_tokens: bill.cached,
            output_tokens: bill.output,
            cost: bill.cost,
            rejected_cost: bill.rejected,
        }
    }
}

fn lines(output: &Output) -> Vec<String> {
    let mut lines: Vec<_> = output
        .organisations
        .iter()
        .map(|(name, it)| {
            let Line {
                requests,
                input_tokens,
                output_tokens,
                cost,
                rejected_cost,
                ..
            } = it;
            format!(
                "{name}: {requests} requests, {input_tokens} tokens in, {output_tokens} out, cost {cost}, \
                 rejected steps {rejected_cost}"
            )
        })
        .collect();
    lines.push(format!(
        "{} batches; discarded {} duplicate batches and {} duplicate records; {} batches missing; \
         {} malformed payloads",
        output.batches,
        output.duplicate_batches,
        output.duplicate_records,
        output.missing_batches,
        output.malformed_payloads
    ));
    if output.first_offset > 0 {
        lines.push(format!(
            "bills before offset {} are no longer in the log",
            output.first_offset
        ));
    }
    lines
}
