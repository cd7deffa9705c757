//! Follows topics of the platform's store.

use std::time::Duration;

use forward::BootTime;
use forward::freshness::{Budget, Duty, Next, Round};
use forward::relay::Position;
use rand::Rng;
use tokio::time::sleep;

use crate::clock;
use crate::protocol::{Page, Record, Topic};
use crate::relay::{self, DirectRead, Plan, RelayedTopic};
use crate::shared::{Shared, lock};
use crate::store::{self, Error};

pub(crate) mod engines;
pub(crate) mod operators;
mod read_log;

use read_log::{ReadLog, Source};

/// Range of the backoff after failed requests, which doubles each time; other nodes are queried meanwhile. A random time of
/// up to the same length is added so that nodes do not return together. Requests that the store rejects are billed as well.
/// Once the store is available again, the longest backoff leaves half of the time in which engines renew
/// expired entries.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_millis(700);

/// Time after which a node that is no reader retries a store that failed.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Calls a second of the whole fleet, besides the readers and their deputies, that try a store which failed them although
/// other nodes have recent reads.
const TRIALS_PER_SECOND: f64 = 2.0;

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
    /// Random part of the backoff, from 0 to 1.
    jitter: f64,
    /// Time that the last successful request took, beyond its wait.
    last_duration: Duration,
}

impl TopicAccess {
    fn new(what: &'static str) -> Self {
        Self {
            what,
            failures: 0,
            last_request: BootTime::ZERO,
            jitter: 0.0,
            last_duration: Duration::ZERO,
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

    /// What to do after a round of queries: to read the store, and why, or to wait for this time.
    fn after_round(
        &self,
        shared: &Shared,
        plan: Plan,
        round: Round,
        reason: DirectRead,
    ) -> Result<DirectRead, Duration> {
        let next = plan.budget.after_round(round, plan.topic.age(shared), plan.due);
        match (self.is_lost(), next) {
            // Its calls wait for changes, or it waits between them.
            (false, _) if plan.duty == Duty::Reader => Ok(DirectRead::Reader),
            (false, Next::Pause(pause)) => Err(pause),
            (false, Next::Read) => Ok(reason),
            (true, next) if self.is_retry(shared, plan, next) => Ok(DirectRead::Retry),
            (true, _) => Err(plan.budget.query_interval()),
        }
    }

    /// Whether to try the store again that has failed this node.
    fn is_retry(&self, shared: &Shared, plan: Plan, next: Next) -> bool {
        let elapsed = clock::now().saturating_sub(self.last_request);
        match (plan.duty, next) {
            // Others wait for it.
            (Duty::Reader | Duty::Deputy, _) => elapsed >= self.backoff(),
            (Duty::Other, Next::Read) if self.failures == 1 => elapsed >= self.backoff(),
            // The store may be away for all, which the other topic of this node may have found out.
            (Duty::Other, Next::Read) => {
                let failed_at = *lock(&shared.store_failed_at);
                failed_at.is_none_or(|it| clock::now().saturating_sub(it) >= RETRY_INTERVAL)
            }
            // Others have recent reads, but this node may have to replace them.
            (Duty::Other, Next::Pause(pause)) => elapsed >= RETRY_INTERVAL && is_trial(shared, pause),
        }
    }

    /// Time to wait for the response to the next request. A store that is slow for all would otherwise never respond in time.
    fn timeout(&self, budget: Budget) -> Duration {
        match self.is_lost() {
            true => store::RESPONSE_TIMEOUT,
            false => (self.last_duration * 2)
                .max(budget.call_timeout())
                .min(store::RESPONSE_TIMEOUT),
        }
    }

    /// Makes a request that waits for `wait` if there is nothing to read, and records its result.
    async fn request<T>(
        &mut self,
        shared: &Shared,
        wait: Duration,
        request: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let begin = clock::now();
        let result = request.await;
        let what = self.what;
        self.last_request = clock::now();
        match &result {
            Ok(_) => {
                if self.is_lost() {
                    log::info!(what, failures = self.failures; "store regained");
                }
                self.failures = 0;
                self.last_duration = self.last_request.saturating_sub(begin + wait);
            }
            Err(err) => {
                if !self.is_lost() {
                    log::warn!(what, error:% = err; "store lost");
                }
                self.failures = self.failures.saturating_add(1);
                self.jitter = rand::rng().random_range(0.0..1.0);
            }
        }
        *lock(&shared.store_failed_at) = result.as_ref().err().map(|_| self.last_request);
        result
    }

    /// Time after the last request at which the store that has failed this node may be tried again.
    fn backoff(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(4);
        let backoff = MIN_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        backoff + backoff.mul_f64(self.jitter)
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
