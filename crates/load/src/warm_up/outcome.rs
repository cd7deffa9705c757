//! Figures of a trial.

use std::collections::BTreeMap;
use std::time::Duration;

use forward::BootTime;

use super::COLD_TIME;

const SECOND: Duration = Duration::from_secs(1);

/// Time over which an engine must get a part of its share to carry it.
const SHARE_TIME: Duration = Duration::from_secs(2);

/// Time after the return of an engine for which first events are compared.
const COMPARED: Duration = Duration::from_secs(10);

/// An engine that returned.
#[derive(Debug, Default)]
struct Returned {
    at: BootTime,
    /// Requests that reached it, and whether it was cold.
    arrivals: Vec<(BootTime, bool)>,
}

impl Returned {
    fn count(&self, from: BootTime, to: BootTime) -> usize {
        let times = self.arrivals.iter().map(|it| it.0);
        times.filter(|it| (from..to).contains(it)).count()
    }

    fn worst_cold_second(&self) -> usize {
        let cold: Vec<_> = self.arrivals.iter().filter(|it| it.1).map(|it| it.0).collect();
        let within = |from: BootTime| {
            cold.iter()
                .filter(|it| (from..from + SECOND).contains(*it))
                .count()
        };
        cold.iter().map(|it| within(*it)).max().unwrap_or_default()
    }

    fn cold_until(&self) -> BootTime {
        self.at + COLD_TIME
    }

    /// Time after the cold time until a number of requests arrive within [`SHARE_TIME`].
    fn time_to(&self, requests: f64) -> Option<Duration> {
        let since = self.arrivals.iter().map(|it| it.0).filter(|it| *it >= self.at);
        let mut ends = since.filter(|it| {
            let from = it.saturating_sub(SHARE_TIME).max(self.at);
            self.count(from, *it + Duration::from_nanos(1)) as f64 >= requests
        });
        ends.next().map(|it| it.saturating_sub(self.cold_until()))
    }
}

/// Sum and number of times to the first event.
#[derive(Debug, Default)]
struct Times {
    sum: Duration,
    count: u32,
}

impl Times {
    fn add(&mut self, time: Duration) {
        self.sum += time;
        self.count += 1;
    }

    fn mean(&self) -> Duration {
        self.sum / self.count.max(1)
    }
}

/// Figures of a trial.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    /// Requests per second at a mean engine.
    share: f64,
    /// Engines that returned.
    returned: BTreeMap<usize, Returned>,
    returning_times: Times,
    other_times: Times,
    first_return: Option<BootTime>,
    /// Requests for which no engine was found.
    pub unserved: usize,
    pub crashes: usize,
}

impl Outcome {
    /// No figures yet; `share` is the number of requests per second at a mean engine.
    pub(super) fn new(share: f64) -> Self {
        Self {
            share,
            ..Self::default()
        }
    }

    /// Records that an engine returns. One that crashes and returns again has to get its share anew.
    pub(super) fn record_return(&mut self, engine: usize, now: BootTime) {
        self.returned.entry(engine).or_default().at = now;
        self.first_return.get_or_insert(now);
    }

    pub(super) fn record_arrival(&mut self, engine: usize, was_cold: bool, now: BootTime) {
        if let Some(it) = self.returned.get_mut(&engine) {
            it.arrivals.push((now, was_cold));
        }
    }

    pub(super) fn record_response(&mut self, engine: usize, time: Duration, now: BootTime) {
        let Some(first) = self.first_return else { return };
        if now.saturating_sub(first) > COMPARED {
            return;
        }
        match self.returned.contains_key(&engine) {
            true => self.returning_times.add(time),
            false => self.other_times.add(time),
        }
    }

    /// Requests that reached a returning engine while it was cold, in the worst second.
    pub(super) fn worst_second(&self) -> usize {
        let worst = self.returned.values().map(Returned::worst_cold_second);
        worst.max().unwrap_or_default()
    }

    /// Time after its cold time until a returning engine carries a part of its share: the mean, and the longest.
    pub(super) fn time_to_share(&self, part: f64, end: BootTime) -> (Duration, Duration) {
        let requests = self.share * SHARE_TIME.as_secs_f64() * part;
        let time = |it: &Returned| {
            it.time_to(requests)
                .unwrap_or(end.saturating_sub(it.cold_until()))
        };
        let times: Vec<_> = self.returned.values().map(time).collect();
        let sum: Duration = times.iter().sum();
        (
            sum / times.len().max(1) as u32,
            times.into_iter().max().unwrap_or_default(),
        )
    }

    /// Mean part of its share that a returning engine gets in a period after its cold time.
    pub(super) fn part(&self, from: Duration, to: Duration) -> f64 {
        let counts = self.returned.values().map(|it| {
            let cold_until = it.cold_until();
            it.count(cold_until + from, cold_until + to)
        });
        let expected = self.share * (to - from).as_secs_f64() * self.returned.len() as f64;
        counts.sum::<usize>() as f64 / expected
    }

    /// Mean time to the first event at returning engines.
    pub(super) fn returning_first_event(&self) -> Duration {
        self.returning_times.mean()
    }

    /// Mean time to the first event at other engines.
    pub(super) fn other_first_event(&self) -> Duration {
        self.other_times.mean()
    }
}
