//! The configuration log as this client has read it.

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
/// Records asked for in one read.
pub const PAGE_RECORDS: usize = 500;

/// A folded state that follows the log.
#[derive(Debug)]
pub struct Journal {
    client: Client,
    state: State,
}

/// A record that was folded, and its effect.
#[derive(Debug)]
pub struct Step {
    /// Offset of the record.
    pub offset: Offset,
    /// The record, if it parses.
    pub record: Option<Record>,
    /// Its effect.
    pub verdict: ApplyResult,
}

impl Journal {
    /// Connects and folds the whole log.
    pub fn open(args: &Args) -> Result<Self, Failure> {
        let client = client(args)?;
        let mut journal = Self {
            client,
            state: State::new(),
        };
        journal.start()?;
        journal.advance()?;
        Ok(journal)
    }

    /// The state folded so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Folds the records that are new, and returns them with their effects.
    pub fn advance(&mut self) -> Result<Vec<Step>, Failure> {
        let mut steps = Vec::new();
        loop {
            let page = self.read(self.state.revision())?;
            for record in &page.records {
                let verdict = self.state.apply(record.offset, &record.payload);
                let parsed = Record::parse(&record.payload).ok();
                steps.push(Step {
                    offset: record.offset,
                    record: parsed,
                    verdict,
                });
            }
            if page.records.is_empty() || self.state.revision() >= page.end {
                return Ok(steps);
            }
        }
    }

    /// Appends a payload.
    pub fn append(&self, payload: Vec<u8>) -> Result<Offset, log::Error> {
        self.client.append(STREAM, &[payload])
    }

    /// Uses the first snapshot that is kept when the oldest records are gone.
    fn start(&mut self) -> Result<(), Failure> {
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

/// Connection to the log service.
pub fn client(args: &Args) -> Result<Client, Failure> {
    Ok(Client::new(args.log()?, CONNECT_TIMEOUT, CALL_TIMEOUT))
}

fn is_snapshot(payload: &[u8]) -> bool {
    matches!(Record::parse(payload), Ok(Record::Snapshot(_)))
}
