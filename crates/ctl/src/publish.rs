//! Publishing a proposal and learning its verdict.

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
use crate::failure::Failure;
use crate::input;
use crate::journal::Journal;
use crate::output::{self, Format};

const READ_BACK_INTERVAL: Duration = Duration::from_millis(100);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// The command `publish`.
pub fn run(cmd: &Publish, args: &Args, format: Format) -> Result<(), Failure> {
    let items = input::read(&cmd.files)?;
    let deletions = deletions(&cmd.delete)?;
    let mut journal = Journal::open(args)?;
    let mut base = BTreeMap::new();
    let mut changes = Vec::new();
    for item in items {
        let key = item.object.key();
        let published = journal.state().revision_of(&key);
        base.insert(key, item.revision.unwrap_or(published));
        changes.push(Change::Put(item.object));
    }
    for key in deletions {
        base.insert(key.clone(), present(&journal, &key)?);
        changes.push(Change::Delete(key));
    }
    if changes.is_empty() {
        return Err(Failure::NothingToDo);
    }
    submit(
        &mut journal,
        proposal(args, base, changes),
        Duration::from_secs(cmd.wait),
        format,
    )
}

/// Publishes changes that were made against the journal's state.
pub fn changes(
    journal: &mut Journal,
    args: &Args,
    changes: Vec<Change>,
    format: Format,
) -> Result<(), Failure> {
    let base = changes
        .iter()
        .map(|it| (it.key(), journal.state().revision_of(&it.key())))
        .collect();
    submit(journal, proposal(args, base, changes), DEFAULT_WAIT, format)
}

fn proposal(args: &Args, base: BTreeMap<Key, Revision>, changes: Vec<Change>) -> Proposal {
    Proposal {
        id: ProposalId::from_bits(StdRng::from_os_rng().random()),
        author: args.author.clone(),
        base,
        changes,
    }
}

fn submit(journal: &mut Journal, proposal: Proposal, wait: Duration, format: Format) -> Result<(), Failure> {
    judge(journal.state().preview(&proposal))?;
    let id = proposal.id;
    let mut publisher = Publisher::new(proposal, Duration::ZERO, wait, RETRY_INTERVAL);
    let revision = run_publisher(journal, &mut publisher, id)?;
    let result = json!({"published": true, "revision": revision, "proposal": id.to_string()});
    output::print(&result, format, |_| {
        vec![format!("in force from revision {revision}")]
    });
    Ok(())
}

/// Carries out the publisher's steps; returns the revision from which the proposal is in force.
fn run_publisher(
    journal: &mut Journal,
    publisher: &mut Publisher,
    id: ProposalId,
) -> Result<Revision, Failure> {
    let start = Instant::now();
    let mut confirmed = None;
    let mut revision = journal.state().revision();
    loop {
        match publisher.step(journal.state(), confirmed, start.elapsed()) {
            Step::Append(payload) => {
                publisher.on_append_result(reply(&journal.append(payload)), start.elapsed());
            }
            Step::Wait => thread::sleep(READ_BACK_INTERVAL),
            Step::Done(Outcome::Accepted) => return Ok(revision),
            Step::Done(outcome) => return Err(refused(outcome)),
        }
        let asked = start.elapsed();
        // A failed read tells nothing; the publisher's deadline ends the wait.
        let Ok(steps) = journal.advance() else {
            continue;
        };
        confirmed = Some(asked);
        for step in steps {
            if matches!(&step.record, Some(Record::Proposal(it)) if it.id == id) {
                revision = step.offset + 1;
                publisher.on_applied(id, &step.verdict);
            }
        }
    }
}

fn reply(result: &Result<Offset, log::Error>) -> AppendResult {
    match result {
        Ok(_) => AppendResult::Appended,
        Err(log::Error::Unavailable) => AppendResult::NotAppended,
        Err(log::Error::NoReply | log::Error::Malformed) => AppendResult::Unknown,
    }
}

fn refused(outcome: Outcome) -> Failure {
    match outcome {
        Outcome::Conflict(keys) => Failure::Conflict(keys),
        Outcome::Invalid(faults) => Failure::Faults(faults),
        Outcome::NotPublished => Failure::Append,
        Outcome::Accepted | Outcome::Unknown => Failure::Unknown,
    }
}

/// Refuses a proposal that the fold would refuse, before anything is appended.
fn judge(verdict: ApplyResult) -> Result<(), Failure> {
    match verdict {
        ApplyResult::Conflict(keys) => Err(Failure::Conflict(keys)),
        ApplyResult::Invalid(faults) => Err(Failure::Faults(faults)),
        _ => Ok(()),
    }
}

fn deletions(texts: &[String]) -> Result<Vec<Key>, Failure> {
    texts
        .iter()
        .map(|it| parse_key(it).ok_or_else(|| Failure::Key(it.clone())))
        .collect()
}

fn present(journal: &Journal, key: &Key) -> Result<Revision, Failure> {
    match journal.state().revision_of(key) {
        0 => Err(Failure::Absent(key.clone())),
        revision => Ok(revision),
    }
}
