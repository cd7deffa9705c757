//! Reader of the configuration log, and the state built from its records.

use std::time::Duration;

use config::STREAM;
use config::record::Record;
use config::state::{ApplyResult, State};
use model::Offset;
use ports::http::log::Client;
use ports::log::{self, Log};

use crate::args::Args;
use crate::failure::Failure;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of records per read.
pub const PAGE_RECORDS: usize = 500;

/// Client of the configuration log, with the state after the records read so far.
#[derive(Debug)]
pub struct ConfigLog {
    client: Client,
    state: State,
}

/// A record that was applied to the state, and the result.
#[derive(Debug)]
pub struct AppliedRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// The record; `None` if it is malformed.
    pub record: Option<Record>,
    /// Result of applying the record.
    pub result: ApplyResult,
}

impl ConfigLog {
    /// Connects and applies all records of the log.
    pub fn open(args: &Args) -> Result<Self, Failure> {
        let client = client(args)?;
        let mut log = Self {
            client,
            state: State::new(),
        };
        log.load_snapshot()?;
        log.advance()?;
        Ok(log)
    }

    /// State after the records read so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Applies the new records, and returns them with their results.
    pub fn advance(&mut self) -> Result<Vec<AppliedRecord>, Failure> {
        let mut applied = Vec::new();
        loop {
            let page = self.read(self.state.revision())?;
            for record in &page.records {
                let result = self.state.apply(record.offset, &record.payload);
                let parsed = Record::parse(&record.payload).ok();
                applied.push(AppliedRecord {
                    offset: record.offset,
                    record: parsed,
                    result,
                });
            }
            if page.records.is_empty() || self.state.revision() >= page.end {
                return Ok(applied);
            }
        }
    }

    /// Appends a payload.
    pub fn append(&self, payload: Vec<u8>) -> Result<Offset, log::Error> {
        self.client.append(STREAM, &[payload])
    }

    /// If the oldest records were deleted, starts from the first snapshot that is still in the log.
    fn load_snapshot(&mut self) -> Result<(), Failure> {
        let mut from = 0;
        loop {
            let page = self.read(from)?;
            if page.first == 0 {
                return Ok(());
            }
            let found = page.records.iter().find(|it| is_snapshot(&it.payload));
            if let Some(record) = found {
                self.state = State::from_snapshot(&record.payload)
                    .map_err(|err| Failure::Snapshot(record.offset, err))?;
                return Ok(());
            }
            let Some(last) = page.records.last() else {
                return Err(Failure::Truncated(page.first));
            };
            from = last.offset + 1;
        }
    }

    fn read(&self, from: Offset) -> Result<log::Page, Failure> {
        self.client
            .read(STREAM, from, PAGE_RECORDS)
            .map_err(Failure::Read)
    }
}

/// Creates a client for the log service.
pub fn client(args: &Args) -> Result<Client, Failure> {
    Ok(Client::new(args.log()?, CONNECT_TIMEOUT, CALL_TIMEOUT))
}

fn is_snapshot(payload: &[u8]) -> bool {
    matches!(Record::parse(payload), Ok(Record::Snapshot(_)))
}
