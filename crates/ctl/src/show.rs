//! Printing of published objects.

use config::record::ObjectWithRevision;
use model::Object;
use model::object::Key;

use crate::args::{Args, Show};
use crate::failure::Failure;
use crate::journal::Journal;
use crate::output::{self, Format};

/// The command `show`.
pub fn run(cmd: &Show, args: &Args, format: Format) -> Result<(), Failure> {
    let journal = Journal::open(args)?;
    let objects = journal
        .state()
        .objects()
        .iter()
        .filter(|(key, _)| matches(key, cmd.filter.as_deref()));
    let held: Vec<_> = objects
        .map(|(_, entry)| ObjectWithRevision {
            revision: entry.revision,
            object: Object::clone(&entry.object),
        })
        .collect();
    output::print(&held, format, |held| held.iter().map(line).collect());
    Ok(())
}

fn matches(key: &Key, filter: Option<&str>) -> bool {
    filter.is_none_or(|it| it == key.kind.as_str() || it == key.to_string())
}

fn line(held: &ObjectWithRevision) -> String {
    let object = serde_json::to_string(&held.object).unwrap_or_default();
    format!("{:>8}  {}  {object}", held.revision, held.object.key())
}
