//! Publishing a proposal and learning its verdict.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use config::fold::Verdict;
use config::record::{Change, Id, Outcome, Proposal, Record, parse_key};
use model::object::Key;
use model::{Offset, Revision};
use platform::log;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::args::{Args, Publish};
use crate::failure::Failure;
use crate::input;
use crate::journal::Journal;
use crate::output::{self, Format};

const READ_BACK_INTERVAL: Duration = Duration::from_millis(200);
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
        id: Id::from_bits(StdRng::from_os_rng().random()),
        author: args.author.clone(),
        base,
        changes,
    }
}

fn submit(journal: &mut Journal, proposal: Proposal, wait: Duration, format: Format) -> Result<(), Failure> {
    judge(journal.state().preview(&proposal))?;
    let id = proposal.id;
    let payload = Record::Proposal(proposal).to_bytes();
    let deadline = Instant::now() + wait;
    let mut appended = Appended::No;
    loop {
        // Reading before each append finds a proposal of which only the reply was lost.
        if let Some((offset, verdict)) = find(journal, id, &appended)? {
            judge(verdict)?;
            let result = json!({"published": true, "revision": offset + 1, "proposal": id.to_string()});
            output::print(&result, format, |_| {
                vec![format!("in force from revision {}", offset + 1)]
            });
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(appended.expired());
        }
        if appended != Appended::Yes {
            appended = appended.after(journal.append(payload.clone()));
        }
        thread::sleep(READ_BACK_INTERVAL);
    }
}

/// What is known about the proposal's place in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Appended {
    No,
    Unknown,
    Yes,
}

impl Appended {
    /// A failed append does not undo an earlier one whose reply was lost.
    fn after(self, reply: Result<Offset, log::Error>) -> Self {
        match (self, reply) {
            (_, Ok(_)) => Self::Yes,
            (Self::No, Err(log::Error::Unavailable)) => Self::No,
            _ => Self::Unknown,
        }
    }

    fn expired(self) -> Failure {
        match self {
            Self::No => Failure::Append,
            Self::Unknown | Self::Yes => Failure::Unknown,
        }
    }
}

/// Folds new records and looks for the proposal; the log may be away while the append's fate is open.
fn find(journal: &mut Journal, id: Id, appended: &Appended) -> Result<Option<(Offset, Verdict)>, Failure> {
    let steps = match journal.advance() {
        Ok(steps) => steps,
        Err(Failure::Read(_)) if *appended != Appended::No => return Ok(None),
        Err(failure) => return Err(failure),
    };
    let own = |record: &Option<Record>| matches!(record, Some(Record::Proposal(it)) if it.id == id);
    Ok(steps
        .into_iter()
        .find(|it| own(&it.record))
        .map(|it| (it.offset, it.verdict)))
}

fn judge(verdict: Verdict) -> Result<(), Failure> {
    match verdict {
        Verdict::Accepted | Verdict::Repeated(Outcome::Accepted) => Ok(()),
        Verdict::Conflict(keys) => Err(Failure::Conflict(keys)),
        Verdict::Invalid(faults) => Err(Failure::Faults(faults)),
        Verdict::Repeated(outcome) => Err(Failure::Refused(outcome)),
        Verdict::Snapshot | Verdict::Malformed | Verdict::Skipped | Verdict::Gap => Err(Failure::Unknown),
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
