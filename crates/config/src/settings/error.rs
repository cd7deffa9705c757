//! Errors in settings.

use std::fmt;

/// Kind of an error in settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ErrorCause {
    /// The text is not valid INI.
    #[error("line {line}, column {column}: {message}")]
    Syntax {
        /// Line, counted from one.
        line: usize,
        /// Column, counted from one.
        column: usize,
        /// The parser's message.
        message: String,
    },
    /// The section is not known.
    #[error("unknown section")]
    UnknownSection,
    /// The key is not known in its section.
    #[error("unknown key")]
    UnknownKey,
    /// The key is set more than once.
    #[error("the key is set more than once")]
    DuplicateKey,
    /// A required key is missing.
    #[error("the key is missing")]
    MissingKey,
    /// The value does not have the expected form.
    #[error("{value:?} is not {expected}")]
    MalformedValue {
        /// The value.
        value: String,
        /// The expected form.
        expected: &'static str,
    },
    /// The value is out of range.
    #[error("{value} is not between {low} and {high}")]
    OutOfRange {
        /// The value.
        value: u64,
        /// Minimum.
        low: u64,
        /// Maximum.
        high: u64,
    },
    /// The value conflicts with that of another key.
    #[error("the value conflicts with {other}")]
    Conflict {
        /// Section and key of the other value.
        other: &'static str,
    },
}

/// An error in settings with its location.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}: [{section}] {key}: {cause}")]
pub struct SettingsError {
    /// Name of the file.
    pub file: String,
    /// Section.
    pub section: String,
    /// Key; empty if the error concerns the whole section or the syntax.
    pub key: String,
    /// Kind of the error.
    pub cause: ErrorCause,
}

/// All errors of a text.
#[derive(Debug, Clone, Default, PartialEq, Eq, thiserror::Error)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl SettingsErrors {
    /// Whether there are no errors.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn syntax(file: &str, err: &ini::ParseError) -> Self {
        let cause = ErrorCause::Syntax {
            line: err.line,
            column: err.col,
            message: err.msg.to_string(),
        };
        Self(vec![SettingsError {
            file: file.to_owned(),
            section: String::new(),
            key: String::new(),
            cause,
        }])
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (idx, error) in self.0.iter().enumerate() {
            if idx > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}
