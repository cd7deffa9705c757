//! Engines with slots, which are cold or slow after they return and crash if they get too many requests then.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use forward::BootTime;
use forward::directory;
use rand::Rng;
use rand::rngs::SmallRng;

use super::{COLD_RATE, COLD_TIME};

pub(super) const SLOTS: usize = 64;

/// Time for which a request occupies a slot, and the time until its first event.
pub(super) const STAY: Duration = Duration::from_secs(2);
pub(super) const FIRST_EVENT: Duration = Duration::from_millis(300);

/// Requests in a second at which a cold engine crashes.
const CRASH_RATE: usize = COLD_RATE as usize * 3;

/// Time until a crashed engine runs again.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// Multiple of the usual service time at the return of a slow engine, and the time in which it falls to 1.
const SLOW_FACTOR: f64 = 4.0;
const SLOW_TIME: Duration = Duration::from_secs(8);

const SECOND: Duration = Duration::from_secs(1);

/// How an engine returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Return {
    /// A new run, which is cold.
    Cold,
    /// A new run, which is cold and slow.
    Slow,
    /// The same run becomes cold and slow. Its responses do not say so, and its entry does with the next heartbeat.
    Again,
}

/// An engine.
#[derive(Debug)]
pub(super) struct Engine {
    id: String,
    kind: Return,
    /// Start of its run.
    pub run: u64,
    /// When it returns; `None` if it runs from the beginning to the end.
    pub returns_at: Option<BootTime>,
    up_at: BootTime,
    cold_until: BootTime,
    /// Ends of the requests in its slots.
    slots: BinaryHeap<Reverse<BootTime>>,
    recent: VecDeque<BootTime>,
    pub crashes: usize,
}

/// What becomes of a request that reaches an engine.
#[derive(Debug, Clone, Copy)]
pub(super) enum Arrival {
    Unreachable,
    /// The engine crashes by it.
    Crash,
    /// Its response begins at this time.
    Response(BootTime),
}

impl Engine {
    pub(super) fn new(index: usize, kind: Return, returns_at: Option<BootTime>) -> Self {
        let is_absent = returns_at.is_some() && kind != Return::Again;
        Self {
            id: format!("engine-{index}"),
            kind,
            run: 1,
            returns_at,
            up_at: if is_absent { BootTime::MAX } else { BootTime::ZERO },
            cold_until: BootTime::ZERO,
            slots: BinaryHeap::new(),
            recent: VecDeque::new(),
            crashes: 0,
        }
    }

    /// Its registry entry.
    pub(super) fn entry(&self, now: BootTime) -> directory::Engine {
        directory::Engine {
            id: self.id.as_str().into(),
            started_ms: self.run,
            service: "pool".into(),
            address: ([127, 0, 0, 1], 9000).into(),
            domain: "a".into(),
            version: "v1".into(),
            slots: SLOTS as u32,
            draining: false,
            cold_left: self.cold_until.saturating_sub(now),
        }
    }

    pub(super) fn is_up(&self, now: BootTime) -> bool {
        self.up_at <= now
    }

    pub(super) fn is_cold(&self, now: BootTime) -> bool {
        now < self.cold_until
    }

    pub(super) fn come_back(&mut self, now: BootTime) {
        if self.kind != Return::Again || !self.is_up(now) {
            self.run += 1;
        }
        self.returns_at = Some(now);
        self.up_at = now;
        self.cold_until = now + COLD_TIME;
        self.recent.clear();
    }

    /// Time after which it returns from a crash.
    pub(super) fn crash(&mut self) -> Duration {
        self.up_at = BootTime::MAX;
        self.slots.clear();
        self.crashes += 1;
        DOWN_TIME
    }

    /// Requests in its slots.
    pub(super) fn requests(&self, now: BootTime) -> usize {
        self.slots.iter().filter(|it| now < it.0).count()
    }

    /// A request that takes `size` times the usual one.
    pub(super) fn accept(&mut self, size: f64, now: BootTime) -> Arrival {
        if !self.is_up(now) {
            return Arrival::Unreachable;
        }
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|it| *it + SECOND <= now) {
            self.recent.pop_front();
        }
        if self.is_cold(now) && self.recent.len() > CRASH_RATE {
            return Arrival::Crash;
        }
        let free_at = match self.slots.len() < SLOTS {
            true => now,
            false => self.slots.pop().map_or(now, |it| it.0.max(now)),
        };
        let factor = size * self.slowness(now);
        self.slots.push(Reverse(free_at + STAY.mul_f64(factor)));
        Arrival::Response(free_at + FIRST_EVENT.mul_f64(factor))
    }

    /// Multiple of the usual service time.
    fn slowness(&self, now: BootTime) -> f64 {
        let age = self.returns_at.and_then(|it| now.checked_sub(it));
        match age {
            Some(age) if self.kind != Return::Cold => {
                let left = 1.0 - age.as_secs_f64() / SLOW_TIME.as_secs_f64();
                1.0 + (SLOW_FACTOR - 1.0) * left.max(0.0)
            }
            _ => 1.0,
        }
    }
}

/// A log-normal value with median 1.
pub(super) fn log_normal(spread: f64, rng: &mut SmallRng) -> f64 {
    let (radius, angle): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - radius).ln()).sqrt() * (std::f64::consts::TAU * angle).cos();
    (spread * normal).exp()
}
