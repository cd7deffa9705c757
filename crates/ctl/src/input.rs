//! Objects from files.

use std::fs;
use std::path::{Path, PathBuf};

use model::{Object, Revision};
use serde::Deserialize;
use serde_json::json;

use crate::args::Check;
use crate::failure::Failure;
use crate::output::{self, Format};

/// An object of a file, with the revision that its author saw if the file states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The object.
    pub object: Object,
    /// Revision that the author saw; `None` stands for the published one.
    pub revision: Option<Revision>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Entry {
    Held { revision: Revision, object: Object },
    Bare(Object),
}

/// Reads objects from files.
pub fn read(files: &[PathBuf]) -> Result<Vec<Item>, Failure> {
    let mut items = Vec::new();
    for file in files {
        items.extend(read_file(file)?);
    }
    Ok(items)
}

/// The command `check`.
pub fn check(args: &Check, format: Format) -> Result<(), Failure> {
    let items = read(&args.files)?;
    if items.is_empty() {
        return Err(Failure::NothingToDo);
    }
    let faults = config::check::check(items.iter().map(|it| &it.object));
    if !faults.is_empty() {
        return Err(Failure::Faults(faults));
    }
    let result = json!({"objects": items.len(), "valid": true});
    output::print(&result, format, |_| {
        vec![format!("{} objects, no faults", items.len())]
    });
    Ok(())
}

fn read_file(file: &Path) -> Result<Vec<Item>, Failure> {
    let text = fs::read(file).map_err(|err| Failure::File(file.to_path_buf(), err))?;
    parse(&text).map_err(|err| Failure::Json(file.to_path_buf(), err))
}

fn parse(text: &[u8]) -> serde_json::Result<Vec<Item>> {
    let values: Vec<serde_json::Value> = serde_json::from_slice(text)?;
    values.into_iter().map(item).collect()
}

/// Parses a bare object directly, because an untagged enum would hide the name of a faulty field.
fn item(value: serde_json::Value) -> serde_json::Result<Item> {
    if value.get("kind").is_some() {
        return Ok(Item {
            object: serde_json::from_value(value)?,
            revision: None,
        });
    }
    match serde_json::from_value(value)? {
        Entry::Held { revision, object } => Ok(Item {
            object,
            revision: Some(revision),
        }),
        Entry::Bare(object) => Ok(Item {
            object,
            revision: None,
        }),
    }
}
