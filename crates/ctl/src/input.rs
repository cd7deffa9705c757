//! Reading of objects from files, and the command `check`.

use std::fs;
use std::path::{Path, PathBuf};

use model::{Object, Revision};
use serde::Deserialize;
use serde_json::json;

use crate::args::Check;
use crate::failure::Failure;
use crate::output::{self, Format};

/// An object from a file, with the revision that the edit is based on if the file contains it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputObject {
    /// The object.
    pub object: Object,
    /// Revision that the edit is based on; `None` means the published revision.
    pub revision: Option<Revision>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Entry {
    Held { revision: Revision, object: Object },
    Bare(Object),
}

/// Reads objects from files.
pub fn read(files: &[PathBuf]) -> Result<Vec<InputObject>, Failure> {
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
        return Err(Failure::NoObjects);
    }
    let errors = config::check::check(items.iter().map(|it| &it.object));
    if !errors.is_empty() {
        return Err(Failure::Invalid(errors));
    }
    let result = json!({"objects": items.len(), "valid": true});
    output::print(&result, format, |_| {
        vec![format!("{} objects, no errors", items.len())]
    });
    Ok(())
}

fn read_file(file: &Path) -> Result<Vec<InputObject>, Failure> {
    let text = fs::read(file).map_err(|err| Failure::File(file.to_path_buf(), err))?;
    parse(&text).map_err(|err| Failure::Json(file.to_path_buf(), err))
}

fn parse(text: &[u8]) -> serde_json::Result<Vec<InputObject>> {
    let values: Vec<serde_json::Value> = serde_json::from_slice(text)?;
    values.into_iter().map(item).collect()
}

/// Parses an object without a revision directly, because the error of an untagged enum would not name the
/// invalid field.
fn item(value: serde_json::Value) -> serde_json::Result<InputObject> {
    if value.get("kind").is_some() {
        return Ok(InputObject {
            object: serde_json::from_value(value)?,
            revision: None,
        });
    }
    match serde_json::from_value(value)? {
        Entry::Held { revision, object } => Ok(InputObject {
            object,
            revision: Some(revision),
        }),
        Entry::Bare(object) => Ok(InputObject {
            object,
            revision: None,
        }),
    }
}
