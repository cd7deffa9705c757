//! Follows topics of the platform's store.

use std::time::Duration;

use forward::BootTime;
use rand::Rng;
use tokio::time::sleep;

use crate::clock;
use crate::dialect::{Fact, Page, Topic};
use crate::shared::Shared;
use crate::store::{self, Error};

pub(crate) mod engines;
pub(crate) mod operators;

/// Shortest pause after a failed call, which doubles up to the longest one; at random up to as much more, so that nodes
/// do not return together. Calls that the store refuses are priced as well; after its return, the longest pause
/// leaves half of the time in which entries that lapsed come back.
const MIN_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_millis(700);

/// Time after which a node that learns from others tries a store again that failed it.
const RETRY: Duration = Duration::from_secs(2);

/// Whether a part of the store can be read, for the log and the pace of further calls.
#[derive(Debug)]
struct Access {
    what: &'static str,
    failures: u32,
    /// When the store last failed.
    failed: BootTime,
}

impl Access {
    fn new(what: &'static str) -> Self {
        Self {
            what,
            failures: 0,
            failed: BootTime::ZERO,
        }
    }

    /// Whether the last call failed.
    fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Whether a lost store should be tried again although other nodes tell what is new.
    fn is_due(&self) -> bool {
        self.is_lost() && clock::now().saturating_sub(self.failed) >= RETRY
    }

    /// Notes the result of a call and keeps its value; `pauses` after a failure.
    async fn take<T>(&mut self, result: Result<T, Error>, pauses: bool) -> Option<T> {
        self.note(result.as_ref().err());
        if result.is_err() && pauses {
            self.pause().await;
        }
        result.ok()
    }

    fn note(&mut self, err: Option<&Error>) {
        let what = self.what;
        match err {
            Some(err) if !self.is_lost() => log::warn!(what, error:% = err; "store lost"),
            None if self.is_lost() => log::info!(what, failures = self.failures; "store regained"),
            _ => {}
        }
        self.failures = err.map_or(0, |_| self.failures.saturating_add(1));
        self.failed = clock::now();
    }

    async fn pause(&self) {
        let doublings = self.failures.saturating_sub(1).min(4);
        let pause = MIN_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE);
        let more = rand::rng().random_range(0.0..1.0);
        sleep(pause + pause.mul_f64(more)).await;
    }
}

/// Reads all pages of a topic; records that change meanwhile are read again behind the end of the first page.
async fn read_all(shared: &Shared, topic: Topic) -> Result<(Vec<Fact>, u64), Error> {
    let Page {
        mut facts,
        mut after,
        end,
    } = store::newest(shared, topic, None).await?;
    while let Some(key) = after {
        let page = store::newest(shared, topic, Some(&key)).await?;
        facts.extend(page.facts);
        after = page.after;
    }
    Ok((facts, end))
}
