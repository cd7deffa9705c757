//! Command `show`: prints published objects.

use config::record::ObjectWithRevision;
use model::Object;
use model::object::Key;

use crate::args::{Args, Show};
use crate::config_log::ConfigLog;
use crate::failure::Failure;
use crate::output::{self, Format};

/// The command `show`.
pub fn run(cmd: &Show, args: &Args, format: Format) -> Result<(), Failure> {
    let log = ConfigLog::open(args)?;
    let matching = log
        .state()
        .objects()
        .iter()
        .filter(|(key, _)| matches(key, cmd.filter.as_deref()));
    let objects_with_revisions: Vec<_> = matching
        .map(|(_, entry)| ObjectWithRevision {
            revision: entry.revision,
            object: Object::clone(&entry.object),
        })
        .collect();
    output::print(&objects_with_revisions, format, |items| {
        items.iter().map(line).collect()
    });
    Ok(())
}

fn matches(key: &Key, filter: Option<&str>) -> bool {
    filter.is_none_or(|it| it == key.kind.as_str() || it == key.to_string())
}

fn line(item: &ObjectWithRevision) -> String {
    let object = serde_json::to_string(&item.object).unwrap_or_default();
    format!("{:>8}  {}  {object}", item.revision, item.object.key())
}
