//! Why a command did not do what was asked.

use std::io;
use std::path::PathBuf;

use config::check::ValidationError;
use config::state::SnapshotError;
use model::Offset;
use model::object::Key;

/// Exit code for bad arguments or input.
pub const EXIT_USAGE: u8 = 2;
const EXIT_REFUSED: u8 = 1;
const EXIT_UNREACHABLE: u8 = 3;
const EXIT_UNKNOWN: u8 = 4;

/// Failure of a command.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The command needs the log.
    #[error("this command needs --log IP:PORT")]
    NoLogAddress,
    /// The command needs files.
    #[error("nothing to do: name a file or an object")]
    NothingToDo,
    /// A file cannot be read.
    #[error("cannot read {0}: {1}")]
    File(PathBuf, io::Error),
    /// A file does not hold objects.
    #[error("{0} does not hold a JSON array of objects: {1}")]
    Json(PathBuf, serde_json::Error),
    /// Not of the form `KIND/NAME`.
    #[error("{0:?} is not of the form KIND/NAME")]
    Key(String),
    /// Stages that are not numbers.
    #[error("{0:?} is not a list of thousandths such as 10,100,1000")]
    Stages(String),
    /// The objects are no valid configuration.
    #[error("the configuration has {} faults", .0.len())]
    Faults(Vec<ValidationError>),
    /// The object does not exist.
    #[error("{0} does not exist")]
    Absent(Key),
    /// Objects changed meanwhile.
    #[error("not published: {} objects changed since they were read", .0.len())]
    Conflict(Vec<Key>),
    /// The log could not be read.
    #[error("cannot read the log: {0}")]
    Read(ports::log::Error),
    /// The log could not be appended to, and nothing was appended.
    #[error("not published: the log service is unavailable")]
    Append,
    /// Whether the proposal is in the log is not known.
    #[error("the outcome is unknown: the log service did not reply; `watch` or `show` will tell")]
    Unknown,
    /// The log does not reach back far enough and holds no snapshot.
    #[error("records before offset {0} are gone and there is no snapshot")]
    Truncated(Offset),
    /// A snapshot cannot be used.
    #[error("the snapshot at offset {0} cannot be used: {1}")]
    Snapshot(Offset, SnapshotError),
    /// A node could not be asked.
    #[error("cannot reach {0}")]
    Node(String),
    /// A node refused.
    #[error("{0} answered with status {1}: {2}")]
    Status(String, u16, String),
    /// No node was named.
    #[error("name at least one node with --node IP:PORT")]
    NoNode,
}

impl Failure {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::NoLogAddress
            | Self::NothingToDo
            | Self::File(..)
            | Self::Json(..)
            | Self::Key(_)
            | Self::Stages(_)
            | Self::Faults(_)
            | Self::NoNode => EXIT_USAGE,
            Self::Absent(_)
            | Self::Conflict(_)
            | Self::Truncated(_)
            | Self::Snapshot(..)
            | Self::Status(..) => EXIT_REFUSED,
            Self::Read(_) | Self::Append | Self::Node(_) => EXIT_UNREACHABLE,
            Self::Unknown => EXIT_UNKNOWN,
        }
    }

    /// Single findings, one a line.
    pub fn details(&self) -> Vec<String> {
        match self {
            Self::Faults(faults) => faults.iter().map(ToString::to_string).collect(),
            Self::Conflict(keys) => keys.iter().map(ToString::to_string).collect(),
            _ => Vec::new(),
        }
    }
}
