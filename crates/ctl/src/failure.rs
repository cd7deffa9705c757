//! Failures of commands and their exit codes.

use std::io;
use std::path::PathBuf;

use config::check::ValidationError;
use config::state::SnapshotError;
use model::Offset;
use model::object::Key;

/// Exit code for invalid arguments or input.
pub const EXIT_USAGE: u8 = 2;
const EXIT_REFUSED: u8 = 1;
const EXIT_UNREACHABLE: u8 = 3;
const EXIT_UNKNOWN: u8 = 4;

/// Failure of a command.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The command needs the log service, and its address is missing.
    #[error("this command needs --log IP:PORT")]
    NoLogAddress,
    /// The command needs objects, and none are given.
    #[error("nothing to do: name a file or an object")]
    NoObjects,
    /// A file cannot be read.
    #[error("cannot read {0}: {1}")]
    File(PathBuf, io::Error),
    /// A file does not contain an array of objects.
    #[error("{0} does not hold a JSON array of objects: {1}")]
    Json(PathBuf, serde_json::Error),
    /// A key is not of the form `KIND/NAME`.
    #[error("{0:?} is not of the form KIND/NAME")]
    Key(String),
    /// The stages are not a list of numbers.
    #[error("{0:?} is not a list of thousandths such as 10,100,1000")]
    Stages(String),
    /// The objects are not a valid configuration.
    #[error("the configuration has {} faults", .0.len())]
    Invalid(Vec<ValidationError>),
    /// The object does not exist.
    #[error("{0} does not exist")]
    NotFound(Key),
    /// Objects changed after the revisions that the changes are based on.
    #[error("not published: {} objects changed since they were read", .0.len())]
    Conflict(Vec<Key>),
    /// The log could not be read.
    #[error("cannot read the log: {0}")]
    Read(ports::log::Error),
    /// The append failed, and nothing was appended.
    #[error("not published: the log service is unavailable")]
    Append,
    /// It is unknown whether the proposal was published.
    #[error("the outcome is unknown: the log service did not reply; `watch` or `show` will tell")]
    Unknown,
    /// The oldest records were deleted, and the log contains no snapshot to start from.
    #[error("records before offset {0} are gone and there is no snapshot")]
    Truncated(Offset),
    /// A snapshot cannot be used.
    #[error("the snapshot at offset {0} cannot be used: {1}")]
    Snapshot(Offset, SnapshotError),
    /// A node is unreachable.
    #[error("cannot reach {0}")]
    Node(String),
    /// A node responded with an error status.
    #[error("{0} answered with status {1}: {2}")]
    Status(String, u16, String),
    /// A node responded that the arguments are wrong.
    #[error("{0}")]
    Arguments(String),
    /// A node responded that what the arguments name does not exist, or that it cannot tell.
    #[error("{0}")]
    Refused(String),
    /// No node is given.
    #[error("name at least one node with --node IP:PORT")]
    NoNode,
}

impl Failure {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::NoLogAddress
            | Self::NoObjects
            | Self::File(..)
            | Self::Json(..)
            | Self::Key(_)
            | Self::Stages(_)
            | Self::Invalid(_)
            | Self::Arguments(_)
            | Self::NoNode => EXIT_USAGE,
            Self::NotFound(_)
            | Self::Conflict(_)
            | Self::Truncated(_)
            | Self::Snapshot(..)
            | Self::Refused(_)
            | Self::Status(..) => EXIT_REFUSED,
            Self::Read(_) | Self::Append | Self::Node(_) => EXIT_UNREACHABLE,
            Self::Unknown => EXIT_UNKNOWN,
        }
    }

    /// Details of the failure, one per line.
    pub fn details(&self) -> Vec<String> {
        match self {
            Self::Invalid(errors) => errors.iter().map(ToString::to_string).collect(),
            Self::Conflict(keys) => keys.iter().map(ToString::to_string).collect(),
            _ => Vec::new(),
        }
    }
}
