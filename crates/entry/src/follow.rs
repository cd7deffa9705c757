//! Follows topics of the platform's store.

use std::time::Duration;

use forward::BootTime;
use forward::freshness::{Budget, Duty, Next, Round};
use forward::relay::Position;
use rand::Rng;
use tokio::time::sleep;

use crate::clock;
use crate::protocol::{Page, Record, Topic};
use crate::relay::{self, DirectRead, RelayedTopic};
use crate::shared::Shared;
use crate::store::{self, Error};

pub(crate) mod engines;
pub(crate) mod operators;
mod read_log;

use read_log::{ReadLog, Source};

/// Range of the backoff after failed requests, which doubles each time. A random time of up to the same
/// length is added so that nodes do not return together. Requests that the store rejects are billed as well.
/// Once the store is available again, the longest backoff leaves half of the time in which engines renew
/// expired entries.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_millis(700);

/// Time after which a node that gets changes from others retries a store that failed.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Calls a second of the whole fleet, besides the readers and their deputies, that try the store while no read is recent: it
/// may serve only some of the nodes.
const TRIALS_PER_SECOND: f64 = 2.0;

/// What a node has to do about a topic in one round.
#[derive(Debug, Clone, Copy)]
struct Plan {
    topic: RelayedTopic,
    budget: Budget,
    duty: Duty,
    /// Age from which on this node reads the store.
    due: Duration,
}

impl Plan {
    fn draw(shared: &Shared, topic: RelayedTopic) -> Self {
        let budget = topic.budget(shared);
        let duty = relay::duty(shared, topic);
        Self {
            topic,
            budget,
            duty,
            due: budget.due_age(duty, rand::rng().random_range(0.0..1.0)),
        }
    }
}

/// Whether it is up to this node to try the store, although others do; to be asked once in each interval.
fn is_trial(shared: &Shared, interval: Duration) -> bool {
    let hosts = shared.host_counts().reachable.max(1) as f64;
    let probability = TRIALS_PER_SECOND * interval.as_secs_f64() / hosts;
    rand::rng().random_bool(probability.min(1.0))
}

/// Whether a topic can be read from the store, for the log and for the backoff.
#[derive(Debug)]
struct TopicAccess {
    what: &'static str,
    failures: u32,
    /// Time of the last request.
    last_request: BootTime,
}

impl TopicAccess {
    fn new(what: &'static str) -> Self {
        Self {
            what,
            failures: 0,
            last_request: BootTime::ZERO,
        }
    }

    /// Whether the last request failed.
    fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Whether the last request was made so long ago that the store may be tried again.
    fn has_backed_off(&self) -> bool {
        clock::now().saturating_sub(self.last_request) >= MAX_BACKOFF
    }

    /// What to do after a round of queries about a topic: to read the store, and why, or to wait for this time.
    fn after_round(&self, shared: &Shared, round: Round, plan: Plan) -> Result<DirectRead, Duration> {
        let Plan {
            topic,
            budget,
            duty,
            due,
        } = plan;
        let next = budget.after_round(round, duty, topic.age(shared), due);
        let pause = match next {
            Next::Pause(pause) => pause,
            Next::Read => budget.query_interval(),
        };
        let is_read = match round {
            // It may serve this node again, for which others wait if it should read the topic for them.
            Round::Accepted => self.is_lost() && (duty != Duty::Other || self.is_retry(shared, pause)),
            // The store may be away for some nodes only, but has failed this one if it has just tried.
            Round::Stale if self.is_lost() && duty == Duty::Other => is_trial(shared, pause),
            Round::Stale if duty == Duty::Other => is_trial(shared, pause) || next == Next::Read,
            Round::Stale | Round::NoReply => next == Next::Read,
        };
        match (is_read, round) {
            (false, _) => Err(pause),
            (true, Round::Accepted) => Ok(DirectRead::Retry),
            (true, _) if duty == Duty::Reader && !self.is_lost() => Ok(DirectRead::Reader),
            (true, Round::Stale) if duty == Duty::Other => Ok(DirectRead::Stale),
            (true, Round::Stale | Round::NoReply) => Ok(DirectRead::NoReply),
        }
    }

    /// Whether it is up to this node to try the store that has failed it, although others have recent reads.
    fn is_retry(&self, shared: &Shared, pause: Duration) -> bool {
        let elapsed = clock::now().saturating_sub(self.last_request);
        elapsed >= RETRY_INTERVAL && is_trial(shared, pause)
    }

    /// Records the result of a request and returns its value; waits for the backoff after a failure if
    /// `pauses`.
    async fn complete<T>(&mut self, result: Result<T, Error>, pauses: bool) -> Option<T> {
        self.record(result.as_ref().err());
        if result.is_err() && pauses {
            self.back_off().await;
        }
        result.ok()
    }

    fn record(&mut self, err: Option<&Error>) {
        let what = self.what;
        match err {
            Some(err) if !self.is_lost() => log::warn!(what, error:% = err; "store lost"),
            None if self.is_lost() => log::info!(what, failures = self.failures; "store regained"),
            _ => {}
        }
        self.failures = err.map_or(0, |_| self.failures.saturating_add(1));
        self.last_request = clock::now();
    }

    async fn back_off(&self) {
        let doublings = self.failures.saturating_sub(1).min(4);
        let backoff = MIN_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        let jitter = rand::rng().random_range(0.0..1.0);
        sleep(backoff + backoff.mul_f64(jitter)).await;
    }
}

/// Waits after a read of a whole topic, as long as after a reply, unless other nodes wait for the next read of this one.
///
/// That gives a node that has started the time to find the others.
async fn pause_after_full_read(shared: &Shared, topic: RelayedTopic) {
    if !relay::is_reader_for_others(shared, topic) {
        sleep(topic.budget(shared).query_interval()).await;
    }
}

/// Reads all pages of a topic. Records that change meanwhile are read again from the end that the first page
/// states.
pub(crate) async fn read_all(shared: &Shared, topic: Topic) -> Result<(Vec<Record>, Position), Error> {
    let Page {
        mut records,
        mut after,
        end,
    } = store::newest(shared, topic, None).await?;
    while let Some(key) = after {
        let page = store::newest(shared, topic, Some(&key)).await?;
        if page.end.era != end.era {
            return Err(Error::HistoryChanged);
        }
        records.extend(page.records);
        after = page.after;
    }
    Ok((records, end))
}
