//! Log lines about what a node knows of a topic, and from whom.

use std::time::Duration;

use forward::BootTime;
use forward::relay::Position;
use model::Host;

use crate::clock;
use crate::relay::{DirectRead, QueryFailures, RelayedTopic};
use crate::shared::Shared;
use crate::store::Error;

/// Where the records of a read come from.
#[derive(Debug)]
pub(super) enum Source {
    /// Another node.
    Node(Host),
    /// The store, and why this node read it itself.
    Store(DirectRead),
    /// The store, which was not read; why, and the error.
    Failed(DirectRead, String),
    /// Nowhere: no other node had a recent read, and this one did not read the store.
    None,
}

impl Source {
    /// The store, with the result of the read.
    pub(super) fn store<T>(reason: DirectRead, result: &Result<T, Error>) -> Self {
        match result {
            Ok(_) => Self::Store(reason),
            Err(err) => Self::Failed(reason, err.to_string()),
        }
    }
}

/// State of a topic before a read.
#[derive(Debug)]
pub(super) struct ReadLog {
    topic: RelayedTopic,
    begin: BootTime,
    before: Option<(Position, Duration)>,
}

impl ReadLog {
    /// Notes what is known of a topic.
    pub(super) fn begin(shared: &Shared, topic: RelayedTopic) -> Self {
        let begin = clock::now();
        Self {
            topic,
            begin,
            before: topic.newest(&shared.relay, begin),
        }
    }

    /// Writes a line with what is known now. An age is that of the time at which the topic is known to have been current.
    pub(super) fn write(&self, shared: &Shared, source: &Source, failures: &QueryFailures) {
        let now = clock::now();
        let after = self.topic.newest(&shared.relay, now);
        let (source, reason, error) = match source {
            Source::Node(host) => (&**host, "", ""),
            Source::Store(reason) => ("store", reason.name(), ""),
            Source::Failed(reason, error) => ("none", reason.name(), &**error),
            Source::None => ("none", "", ""),
        };
        let age_ms = |it: Option<(Position, Duration)>| it.map(|it| it.1.as_millis() as u64);
        log::info!(
            subject = self.topic.name(),
            source,
            reason,
            error,
            failures:% = failures,
            from = self.before.map(|it| it.0.offset),
            offset = after.map(|it| it.0.offset),
            age_before_ms = age_ms(self.before),
            age_ms = age_ms(after),
            elapsed_ms = now.saturating_sub(self.begin).as_millis() as u64;
            "topic read"
        );
    }
}
