//! Faults in settings.

use std::fmt;

/// What is wrong with a value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// The text is not INI.
    #[error("line {line}, column {column}: {message}")]
    Syntax {
        /// Line, from one.
        line: usize,
        /// Column, from one.
        column: usize,
        /// The parser's message.
        message: String,
    },
    /// No such section exists.
    #[error("unknown section")]
    UnknownSection,
    /// No such key exists in the section.
    #[error("unknown key")]
    UnknownKey,
    /// The key stands more than once.
    #[error("the key is repeated")]
    Repeated,
    /// A key without a default is missing.
    #[error("the key is missing")]
    Missing,
    /// The value is not of the expected form.
    #[error("{value:?} is not {expected}")]
    Malformed {
        /// The value.
        value: String,
        /// The expected form.
        expected: &'static str,
    },
    /// The value is out of range.
    #[error("{value} is not between {low} and {high}")]
    Range {
        /// The value.
        value: u64,
        /// Least value.
        low: u64,
        /// Greatest value.
        high: u64,
    },
    /// The value contradicts that of another key.
    #[error("the value contradicts {other}")]
    Contradiction {
        /// Section and key of the other value.
        other: &'static str,
    },
}

/// A fault and where it is.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}: [{section}] {key}: {cause}")]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// Section.
    pub section: String,
    /// Key; empty if the fault concerns the section.
    pub key: String,
    /// What is wrong.
    pub cause: Cause,
}

/// All faults of a text.
#[derive(Debug, Clone, Default, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn syntax(file: &str, err: &ini::ParseError) -> Self {
        let cause = Cause::Syntax {
            line: err.line,
            column: err.col,
            message: err.msg.to_string(),
        };
        Self(vec![Fault {
            file: file.to_owned(),
            section: String::new(),
            key: String::new(),
            cause,
        }])
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (idx, fault) in self.0.iter().enumerate() {
            if idx > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
