//! What passes between nodes of different builds: fields of messages and values of enumerations, as one line each.

use std::collections::BTreeSet;

use eyre::{Context, Result};

use crate::codegen::workspace_root;

/// Recorded fields, values and kinds of datagrams of all builds, relative to the workspace root.
pub const RECORD: &str = "crates/wire/proto/recorded.txt";

/// The definitions of `peer.proto`.
#[derive(Debug, Default)]
pub struct Definitions {
    /// Lines `field MESSAGE NUMBER NAME TYPE` and `value ENUMERATION NUMBER NAME`.
    pub lines: BTreeSet<String>,
    /// Begins of such lines, up to the number, that no definition may use any more.
    pub reserved: BTreeSet<String>,
}

impl Definitions {
    /// Reads the definitions.
    ///
    /// # Errors
    /// `peer.proto` does not compile.
    pub fn read() -> Result<Self> {
        let proto = workspace_root().join("crates/wire/proto");
        let files = protox::compile(["peer.proto"], [&proto]).wrap_err("cannot compile peer.proto")?;
        let mut definitions = Self::default();
        for file in &files.file {
            for message in &file.message_type {
                let of = format!("field {}", message.name());
                for field in &message.field {
                    let kind = match field.type_name() {
                        "" => format!("{:?}", field.r#type()).to_lowercase(),
                        name => name.rsplit('.').next().unwrap_or(name).to_owned(),
                    };
                    let label = format!("{:?}", field.label()).to_lowercase();
                    definitions.lines.insert(format!(
                        "{of} {} {} {label} {kind}",
                        field.number(),
                        field.name()
                    ));
                }
                let ranges = message.reserved_range.iter().map(|it| it.start()..it.end());
                definitions.reserve(&of, ranges.flatten());
            }
            for enumeration in &file.enum_type {
                let of = format!("value {}", enumeration.name());
                for value in &enumeration.value {
                    definitions
                        .lines
                        .insert(format!("{of} {} {}", value.number(), value.name()));
                }
                // Ends of reserved ranges of enumerations are inclusive.
                let ranges = enumeration.reserved_range.iter().map(|it| it.start()..=it.end());
                definitions.reserve(&of, ranges.flatten());
            }
        }
        Ok(definitions)
    }

    fn reserve(&mut self, of: &str, numbers: impl Iterator<Item = i32>) {
        self.reserved.extend(numbers.map(|it| format!("{of} {it} ")));
    }

    /// What is wrong with the definitions beside those of earlier builds.
    pub fn faults(&self, recorded: &str) -> Vec<String> {
        let recorded: BTreeSet<_> = recorded
            .lines()
            .filter(|it| it.starts_with("field ") || it.starts_with("value "))
            .collect();
        let missing = self.lines.iter().filter(|it| !recorded.contains(&***it));
        let missing = missing.map(|it| format!("not recorded: {it}"));
        let is_reserved = |line: &str| self.reserved.iter().any(|it| line.starts_with(it));
        let removed = recorded
            .iter()
            .filter(|it| !self.lines.contains(**it) && !is_reserved(it));
        let removed = removed.map(|it| format!("neither kept nor reserved: {it}"));
        missing.chain(removed).collect()
    }
}
