use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use crate::BootTime;

use super::{EARLIER_WEIGHT, OWN_WEIGHT};

/// Resolution of times. Requests and retries whose side of an edge of a window is unknown count against the budget.
const BUCKET: Duration = Duration::from_millis(50);

/// Index of a [`BUCKET`] since the start of the clock.
type Index = u64;

/// Requests, and spans in which retries may arrive, of the last two windows.
#[derive(Debug, Clone)]
pub(super) struct Ledger {
    window: Duration,
    /// Index of the first bucket.
    first: Index,
    buckets: VecDeque<Bucket>,
    /// Retries whose span began, and ended, before the first bucket.
    expired: Retries,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    requests: u32,
    retries: Retries,
}

/// Retries by the begin and the end of the spans in which they may arrive.
#[derive(Debug, Clone, Copy, Default)]
struct Retries {
    begun: u64,
    ended: u64,
}

/// What lies in one window.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usage {
    /// Begin of the window.
    pub begin: BootTime,
    /// Retries that may arrive in it.
    pub spent: u64,
    /// Requests in it and in the half window before.
    pub requests: u64,
    /// Mean of the requests in it and half a window earlier, with their weights.
    pub weighted_requests: f64,
}

impl Ledger {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            first: 0,
            buckets: VecDeque::new(),
            expired: Retries::default(),
        }
    }

    pub(super) fn record_request(&mut self, at: BootTime, now: BootTime) {
        self.expire(now);
        if let Some(bucket) = self.bucket(index(at)) {
            bucket.requests += 1;
        }
    }

    /// Adds a retry that may arrive within a span.
    pub(super) fn add(&mut self, span: Range<BootTime>) {
        self.update(index(span.start), |it| it.begun += 1);
        self.update(index(span.end), |it| it.ended += 1);
    }

    /// Removes a retry that was added with the same span.
    pub(super) fn remove(&mut self, span: Range<BootTime>) {
        self.update(index(span.start), |it| it.begun -= 1);
        self.update(index(span.end), |it| it.ended -= 1);
    }

    /// The windows that a retry may lie in which arrives within `span`, from now on.
    pub(super) fn usages(&mut self, span: Range<BootTime>, now: BootTime) -> impl Iterator<Item = Usage> {
        self.expire(now);
        let sums = Sums::of(self);
        let window = self.window;
        let begins = index(span.start.saturating_sub(window))..=index(span.end);
        begins.map(move |it| sums.usage(it, window))
    }

    /// What lies in the window that ends now.
    pub(super) fn current(&self, now: BootTime) -> Usage {
        let begin = index(now.saturating_sub(self.window));
        Sums::of(self).usage(begin, self.window)
    }

    /// Replaces the length of a window.
    pub(super) fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// The bucket with an index; `None` if it has expired.
    fn bucket(&mut self, index: Index) -> Option<&mut Bucket> {
        if self.buckets.is_empty() {
            self.first = self.first.max(index);
        }
        let offset = index.checked_sub(self.first)? as usize;
        if offset >= self.buckets.len() {
            self.buckets.resize(offset + 1, Bucket::default());
        }
        self.buckets.get_mut(offset)
    }

    fn update(&mut self, index: Index, f: impl FnOnce(&mut Retries)) {
        match self.bucket(index) {
            Some(bucket) => f(&mut bucket.retries),
            None => f(&mut self.expired),
        }
    }

    /// Forgets what no window can reach that ends now or later.
    fn expire(&mut self, now: BootTime) {
        let first = index(now.saturating_sub(self.window * 2));
        while self.first < first {
            let Some(bucket) = self.buckets.pop_front() else {
                self.first = first;
                return;
            };
            self.expired.begun += bucket.retries.begun;
            self.expired.ended += bucket.retries.ended;
            self.first += 1;
        }
    }
}

/// Sums over all buckets before each index.
#[derive(Debug)]
struct Sums {
    first: Index,
    requests: Vec<u64>,
    retries: Vec<Retries>,
}

impl Sums {
    fn of(ledger: &Ledger) -> Self {
        let (mut requests, mut retries) = (vec![0], vec![ledger.expired]);
        let (mut request_sum, mut retry_sum) = (0, ledger.expired);
        for bucket in &ledger.buckets {
            request_sum += u64::from(bucket.requests);
            retry_sum.begun += bucket.retries.begun;
            retry_sum.ended += bucket.retries.ended;
            requests.push(request_sum);
            retries.push(retry_sum);
        }
        Self {
            first: ledger.first,
            requests,
            retries,
        }
    }

    /// The window that begins anywhere within a bucket.
    fn usage(&self, begin: Index, window: Duration) -> Usage {
        // Spans reach over parts of their outer buckets only.
        let (whole, half) = (index(window), index(window / 2));
        let own = self.requests(begin + 1..begin + whole);
        let earlier = self.requests((begin + 1).saturating_sub(half)..begin + half);
        let either = self.requests((begin + 1).saturating_sub(half)..begin + whole);
        let end = begin + window.as_nanos().div_ceil(BUCKET.as_nanos()) as Index;
        Usage {
            begin: BUCKET * u32::try_from(begin).unwrap_or(u32::MAX),
            spent: self.retries_before(end + 1).begun - self.retries_before(begin).ended,
            requests: either,
            weighted_requests: OWN_WEIGHT * own as f64 + EARLIER_WEIGHT * earlier as f64,
        }
    }

    fn requests(&self, range: Range<Index>) -> u64 {
        self.requests[self.position(range.end)] - self.requests[self.position(range.start)]
    }

    fn retries_before(&self, index: Index) -> Retries {
        self.retries[self.position(index)]
    }

    fn position(&self, index: Index) -> usize {
        (index.saturating_sub(self.first) as usize).min(self.requests.len() - 1)
    }
}

fn index(at: BootTime) -> Index {
    (at.as_nanos() / BUCKET.as_nanos()) as Index
}
