//! Time from the arrival of a request to the end of its response, by route.
//!
//! A long response takes a time that grows with its number of tokens, after a time until its begin that does not. Both are
//! taken as high quantiles of the latest responses, so most responses end within the expected time.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use model::Name;

use crate::BootTime;

/// Maximum number of responses of a route that are kept.
const MAX_KEPT: usize = 64;

/// Time for which a response counts.
const RETENTION: Duration = Duration::from_secs(60);

/// Number of responses below which nothing is expected.
const MIN_KEPT: usize = 8;

/// Fraction of the responses that do not take longer than expected.
const QUANTILE: f64 = 0.9;

/// A response that is complete.
#[derive(Debug, Clone, Copy)]
struct Observation {
    at: BootTime,
    /// Time until it began.
    begin: Duration,
    /// Time from its begin to its end for each token that was expected.
    per_token: Duration,
}

/// Times of the latest responses.
#[derive(Debug, Clone, Default)]
pub struct ResponseTimes {
    routes: HashMap<Name, VecDeque<Observation>>,
}

impl ResponseTimes {
    /// Records a complete response, for which `tokens` were expected.
    pub fn record(&mut self, route: &Name, begin: Duration, total: Duration, tokens: u64, now: BootTime) {
        let is_recent = |it: &Observation| now.saturating_sub(it.at) < RETENTION;
        // Routes that operators have removed get no more responses.
        self.routes.retain(|_, it| it.back().is_some_and(is_recent));
        let kept = self.routes.entry(route.clone()).or_default();
        if kept.len() == MAX_KEPT {
            kept.pop_front();
        }
        kept.push_back(Observation {
            at: now,
            begin,
            per_token: total.saturating_sub(begin).div_f64(tokens.max(1) as f64),
        });
    }

    /// Time until the end of a response for which `tokens` are expected; `None` if too few are known.
    pub fn expected(&self, route: &Name, tokens: u64, now: BootTime) -> Option<Duration> {
        let kept = self.routes.get(route)?;
        let recent: Vec<_> = kept
            .iter()
            .filter(|it| now.saturating_sub(it.at) < RETENTION)
            .collect();
        if recent.len() < MIN_KEPT {
            return None;
        }
        let begin = quantile(recent.iter().map(|it| it.begin));
        let per_token = quantile(recent.iter().map(|it| it.per_token));
        // Callers state the number of tokens, which may be any.
        let rest = Duration::try_from_secs_f64(per_token.as_secs_f64() * tokens.max(1) as f64);
        Some(begin.saturating_add(rest.unwrap_or(Duration::MAX)))
    }
}

fn quantile(times: impl Iterator<Item = Duration>) -> Duration {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    let index = (times.len() as f64 * QUANTILE) as usize;
    times.get(index).or(times.last()).copied().unwrap_or_default()
}
