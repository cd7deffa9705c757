//! Follows topics of the platform's store.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

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

/// Whether a part of the store can be read, for the log and the pace of further calls.
#[derive(Debug)]
struct Access {
    what: &'static str,
    failures: u32,
}

impl Access {
    fn new(what: &'static str) -> Self {
        Self { what, failures: 0 }
    }

    /// Logs the loss and the return; pauses after a failure.
    async fn note(&mut self, err: Option<&Error>) {
        let what = self.what;
        let Some(err) = err else {
            if self.failures > 0 {
                log::info!(what, failures = self.failures; "store regained");
            }
            self.failures = 0;
            return;
        };
        if self.failures == 0 {
            log::warn!(what, error:% = err; "store lost");
        }
        let pause = MIN_PAUSE.saturating_mul(1 << self.failures.min(4)).min(MAX_PAUSE);
        self.failures = self.failures.saturating_add(1);
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
