//! Publishing of proposals: appends a proposal to the configuration log and waits for its result.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use config::publish::{AppendResult, Outcome, Publisher, Step};
use config::record::{Change, Proposal, ProposalId, Record, parse_key};
use config::state::ApplyResult;
use model::object::Key;
use model::{Offset, Revision};
use ports::log;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::args::{Args, Publish};
use crate::config_log::ConfigLog;
use crate::failure::Failure;
use crate::input;
use crate::output::{self, Format};

const READ_BACK_INTERVAL: Duration = Duration::from_millis(100);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// The command `publish`.
pub fn run(cmd: &Publish, args: &Args, format: Format) -> Result<(), Failure> {
    let items = input::read(&cmd.files)?;
    let deletions = deletions(&cmd.delete)?;
    let mut config_log = ConfigLog::open(args)?;
    let mut base = BTreeMap::new();
    let mut changes = Vec::new();
    for item in items {
        let key = item.object.key();
        let published = config_log.state().revision_of(&key);
        base.insert(key, item.revision.unwrap_or(published));
        changes.push(Change::Put(item.object));
    }
    for key in deletions {
        base.insert(key.clone(), existing_revision(&config_log, &key)?);
        changes.push(Change::Delete(key));
    }
    if changes.is_empty() {
        return Err(Failure::NoObjects);
    }
    submit(
        &mut config_log,
        proposal(args, base, changes),
        Duration::from_secs(cmd.wait),
        format,
    )
}

/// Publishes changes that are based on the current state of `config_log`.
pub fn changes(
    config_log: &mut ConfigLog,
    args: &Args,
    changes: Vec<Change>,
    format: Format,
) -> Result<(), Failure> {
    let base = changes
        .iter()
        .map(|it| (it.key(), config_log.state().revision_of(&it.key())))
        .collect();
    submit(config_log, proposal(args, base, changes), DEFAULT_WAIT, format)
}

fn proposal(args: &Args, base: BTreeMap<Key, Revision>, changes: Vec<Change>) -> Proposal {
    Proposal {
        id: ProposalId::from_bits(StdRng::from_os_rng().random()),
        author: args.author.clone(),
        base,
        changes,
    }
}

fn submit(
    config_log: &mut ConfigLog,
    proposal: Proposal,
    wait: Duration,
    format: Format,
) -> Result<(), Failure> {
    check_preview(config_log.state().preview(&proposal))?;
    let id = proposal.id;
    let mut publisher = Publisher::new(proposal, Duration::ZERO, wait, RETRY_INTERVAL);
    let revision = run_publisher(config_log, &mut publisher, id)?;
    let result = json!({"published": true, "revision": revision, "proposal": id.to_string()});
    output::print(&result, format, |_| {
        vec![format!("in force from revision {revision}")]
    });
    Ok(())
}

/// Executes the publisher's steps; returns the revision from which the proposal is in force.
fn run_publisher(
    config_log: &mut ConfigLog,
    publisher: &mut Publisher,
    id: ProposalId,
) -> Result<Revision, Failure> {
    let start = Instant::now();
    let mut confirmed = None;
    let mut revision = config_log.state().revision();
    loop {
        match publisher.step(config_log.state(), confirmed, start.elapsed()) {
            Step::Append(payload) => {
                publisher.on_append_result(append_result(&config_log.append(payload)), start.elapsed());
            }
            Step::Wait => thread::sleep(READ_BACK_INTERVAL),
            Step::Done(Outcome::Accepted) => return Ok(revision),
            Step::Done(outcome) => return Err(failure(outcome)),
        }
        let read_started = start.elapsed();
        // A failed read gives no information about the proposal; the publisher's deadline ends the wait.
        let Ok(applied) = config_log.advance() else {
            continue;
        };
        confirmed = Some(read_started);
        for it in applied {
            if matches!(&it.record, Some(Record::Proposal(proposal)) if proposal.id == id) {
                revision = it.offset + 1;
                publisher.on_applied(id, &it.result);
            }
        }
    }
}

fn append_result(result: &Result<Offset, log::Error>) -> AppendResult {
    match result {
        Ok(_) => AppendResult::Appended,
        Err(log::Error::Unavailable) => AppendResult::NotAppended,
        Err(log::Error::NoReply | log::Error::Malformed) => AppendResult::Unknown,
    }
}

fn failure(outcome: Outcome) -> Failure {
    match outcome {
        Outcome::Conflict(keys) => Failure::Conflict(keys),
        Outcome::Invalid(errors) => Failure::Invalid(errors),
        Outcome::NotPublished => Failure::Append,
        Outcome::Accepted | Outcome::Unknown => Failure::Unknown,
    }
}

/// Refuses a proposal that would be rejected when it is applied, before anything is appended.
fn check_preview(result: ApplyResult) -> Result<(), Failure> {
    match result {
        ApplyResult::Conflict(keys) => Err(Failure::Conflict(keys)),
        ApplyResult::Invalid(errors) => Err(Failure::Invalid(errors)),
        _ => Ok(()),
    }
}

fn deletions(texts: &[String]) -> Result<Vec<Key>, Failure> {
    texts
        .iter()
        .map(|it| parse_key(it).ok_or_else(|| Failure::Key(it.clone())))
        .collect()
}

fn existing_revision(config_log: &ConfigLog, key: &Key) -> Result<Revision, Failure> {
    match config_log.state().revision_of(key) {
        0 => Err(Failure::NotFound(key.clone())),
        revision => Ok(revision),
    }
}
