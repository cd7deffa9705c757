//! Nodes that were queried about a topic in vain, for the log.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::time::Duration;

use model::Host;

/// Why the reply of a node could not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryFailure {
    /// None arrived in time.
    NoReply,
    /// The node does not pass on the changes that are missing here.
    Unknown,
    /// The node has passed on as much as it may; a node that has got the changes from it.
    Busy(Option<SocketAddr>),
    /// What the node knows is too old; its age.
    Old(Duration),
}

/// The nodes that were queried in vain, in order.
#[derive(Debug, Default)]
pub(crate) struct QueryFailures(Vec<(Host, QueryFailure)>);

impl QueryFailures {
    /// Whether all nodes that were queried provided what was asked for.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn push(&mut self, host: Host, failure: QueryFailure) {
        self.0.push((host, failure));
    }
}

impl Display for QueryFailures {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, (host, failure)) in self.0.iter().enumerate() {
            let separator = if index > 0 { ", " } else { "" };
            write!(f, "{separator}{host} ")?;
            match failure {
                QueryFailure::NoReply => f.write_str("no_reply")?,
                QueryFailure::Unknown => f.write_str("unknown")?,
                QueryFailure::Busy(_) => f.write_str("busy")?,
                QueryFailure::Old(age) => write!(f, "old_{}_ms", age.as_millis())?,
            }
        }
        Ok(())
    }
}
