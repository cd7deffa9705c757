//! Places for requests at engines that must not be sent more than they have room for.
//!
//! What is at an engine is the sum over all nodes, so for each such engine one node, chosen by rendezvous hashing, gives
//! out its places, and every other node asks it. A place is held until it is returned or its time is over. Each node
//! repeats from time to time what it holds, and what it had sent before places were needed: a new owner, and an owner
//! that a datagram didn't reach, learn it that way, and the places of a node that is gone are free.
//!
//! An engine may have less room than its slots. One that turns a request away gets no more for a while, and then
//! fewer; one that has just started gets few at first.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use model::{Host, Upstream};

use crate::BootTime;
use crate::directory::Engine;
use crate::statement::Run;

/// A place that a node holds.
#[derive(Debug, Clone, Copy)]
struct Place {
    given_at: BootTime,
    /// When it is free at the latest.
    until: BootTime,
}

/// What one node has at an engine.
#[derive(Debug, Clone, Default)]
struct Held {
    /// Places by number.
    places: HashMap<u64, Place>,
    /// Requests without a place.
    others: usize,
    reported_at: BootTime,
}

/// A request that waits for a place.
#[derive(Debug, Clone)]
struct Waiter {
    node: Host,
    number: u64,
    hold: Duration,
    until: BootTime,
}

/// The places of one run of an engine.
#[derive(Debug, Clone)]
struct Room {
    started_ms: u64,
    slots: f64,
    nodes: HashMap<Host, Held>,
    /// Number of places.
    limit: f64,
    limited_at: BootTime,
    /// Share of the places that this part of the fleet may give out.
    share: f64,
    waiters: VecDeque<Waiter>,
    /// When the first place is given out, or the first one after a request was turned away.
    opens_at: BootTime,
}

/// The places that this node gives out.
#[derive(Debug, Clone)]
pub struct Places {
    engines: HashMap<Upstream, Room>,
    started_at: BootTime,
}

/// A question for a place.
#[derive(Debug, Clone, Copy)]
pub struct Question<'a> {
    /// Node that asks.
    pub node: &'a Host,
    /// Number of the place, unique for the node.
    pub number: u64,
    /// Time for which the place is held at the most.
    pub hold: Duration,
    /// Time for which the node waits for it.
    pub max_wait: Duration,
    /// Time since places are needed at the engine.
    pub since: Duration,
    /// Share of the fleet that this node reaches, see [`crate::permit::Fleet::share`]; each part of a fleet that was split
    /// gives out its share only.
    pub share: f64,
}

/// Answer to a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The node has the place.
    Granted,
    /// The node gets the place later, see [`Places::take_granted`], or hears nothing.
    Queued,
    /// There is no place; the node may ask again after this time.
    Denied(Duration),
}

/// A place that a node waited for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    /// Node that waits.
    pub node: Host,
    /// Number of the place.
    pub number: u64,
}

impl Places {
    /// Maximum number of requests that wait for an engine's places, for each slot.
    const WAITERS_PER_SLOT: f64 = 4.0;

    /// Interval at which nodes repeat what they hold.
    pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

    /// Time after which the places of a node that reports nothing are free.
    const REPORT_RETENTION: Duration = Duration::from_millis(3500);

    /// Wait of a new owner, in which the nodes report to it and the one before learns of the change.
    const TAKE_OVER: Duration = Duration::from_millis(1500);

    /// Time after the start of a node within which another one may have been the owner.
    const START_UP: Duration = Duration::from_secs(10);

    /// Part of the slots that a run has at first whose engine was not there before.
    const FIRST_FRACTION: f64 = 0.25;

    /// Time in which a limit grows by a tenth of the slots.
    const GROWTH_TIME: Duration = Duration::from_secs(1);
    const GROWTH_FRACTION: f64 = 0.1;

    /// Time without a new place after an engine turned a request away: what it tolerates counts for a second.
    const PAUSE: Duration = Duration::from_secs(1);

    /// Part of what was at an engine that remains after it turned a request away.
    const REDUCTION: f64 = 0.8;

    /// Time for which a place that was given out may be missing from a report that was under way.
    const IN_TRANSIT: Duration = Duration::from_millis(300);

    /// Range of the wait after which a node may ask again, and its part for each node that asks.
    const MIN_RETRY: Duration = Duration::from_millis(20);
    const MAX_RETRY: Duration = Duration::from_secs(1);
    const RETRY_PER_NODE: Duration = Duration::from_millis(3);

    /// The places of a node that started at a time.
    pub fn new(started_at: BootTime) -> Self {
        Self {
            engines: HashMap::new(),
            started_at,
        }
    }

    /// Asks for a place at an engine.
    pub fn request(&mut self, engine: &Engine, question: Question<'_>, now: BootTime) -> Answer {
        let since = question.since;
        let room = self.room(engine, since, now);
        room.expire(now);
        room.grow(now);
        room.share = question.share;
        room.held(question.node, now);
        let retry = Self::RETRY_PER_NODE * u32::try_from(room.nodes.len()).unwrap_or(u32::MAX);
        let retry = retry.clamp(Self::MIN_RETRY, Self::MAX_RETRY);
        let waiter = Waiter {
            node: question.node.clone(),
            number: question.number,
            hold: question.hold,
            until: now + question.max_wait,
        };
        if room.waiters.is_empty() && room.has_place(now) {
            room.give(&waiter, now);
            return Answer::Granted;
        }
        let opens_in = room.opens_at.saturating_sub(now);
        let has_room = (room.waiters.len() as f64) < room.slots * Self::WAITERS_PER_SLOT;
        if question.max_wait <= opens_in || !has_room {
            return Answer::Denied(opens_in.max(retry));
        }
        room.waiters.push_back(waiter);
        Answer::Queued
    }

    /// Records that a place is free; `refused` says whether the engine turned the request away.
    pub fn release(&mut self, run: &Run, node: &Host, number: u64, refused: bool, now: BootTime) {
        let Some(room) = self.engines.get_mut(&run.engine) else {
            return;
        };
        if room.started_ms != run.started_ms {
            return;
        }
        if refused {
            let left = room.taken() as f64 * Self::REDUCTION;
            room.limit = left.clamp(1.0, room.limit.max(1.0));
            room.limited_at = now;
            room.opens_at = room.opens_at.max(now + Self::PAUSE);
        }
        room.waiters.retain(|it| it.number != number || it.node != *node);
        if let Some(held) = room.nodes.get_mut(node) {
            held.places.remove(&number);
        }
    }

    /// Gives places that are free to those that have waited longest; called after each release, and several times a
    /// second.
    pub fn take_granted(&mut self, now: BootTime) -> Vec<Granted> {
        let mut granted = vec![];
        for room in self.engines.values_mut().filter(|it| !it.waiters.is_empty()) {
            room.expire(now);
            room.grow(now);
            while room.has_place(now)
                && let Some(waiter) = room.waiters.pop_front()
            {
                room.give(&waiter, now);
                granted.push(Granted {
                    node: waiter.node,
                    number: waiter.number,
                });
            }
        }
        granted
    }

    /// Records what a node has at an engine: the numbers of its places, and requests without one.
    pub fn report(
        &mut self,
        engine: &Engine,
        node: &Host,
        numbers: &[u64],
        others: usize,
        since: Duration,
        now: BootTime,
    ) {
        let room = self.room(engine, since, now);
        room.expire(now);
        let held = room.held(node, now);
        let is_new = |it: &Place| now.saturating_sub(it.given_at) < Self::IN_TRANSIT;
        held.places
            .retain(|number, it| numbers.contains(number) || is_new(it));
        let until = now + Self::REPORT_RETENTION;
        for number in numbers {
            let place = held
                .places
                .entry(*number)
                .or_insert(Place { given_at: now, until });
            place.until = place.until.max(until);
        }
        held.others = others;
    }

    /// Forgets engines of which this node is no longer the owner.
    pub fn retain(&mut self, mut is_owner: impl FnMut(&str) -> bool) {
        self.engines.retain(|engine, _| is_owner(engine));
    }

    /// Number of requests that all nodes have at an engine, as known to this owner.
    pub fn taken(&self, engine: &str) -> Option<usize> {
        self.engines.get(engine).map(Room::taken)
    }

    fn room(&mut self, engine: &Engine, since: Duration, now: BootTime) -> &mut Room {
        let is_started = now.saturating_sub(self.started_at) >= Self::START_UP;
        let slots = f64::from(engine.slots.max(1));
        // No other node can have been the owner if places have been needed for a short time only.
        let take_over = match is_started && since < Self::TAKE_OVER {
            true => Duration::ZERO,
            false => Self::TAKE_OVER,
        };
        let empty = |limit: f64, opens_at: BootTime| Room {
            started_ms: engine.started_ms,
            slots,
            nodes: HashMap::new(),
            limit,
            limited_at: now,
            share: 1.0,
            waiters: VecDeque::new(),
            opens_at,
        };
        let room = self
            .engines
            .entry(engine.id.clone())
            .or_insert_with(|| empty(slots, now + take_over));
        if room.started_ms < engine.started_ms {
            *room = empty(slots * Self::FIRST_FRACTION, now);
        }
        room
    }
}

impl Room {
    fn held(&mut self, node: &Host, now: BootTime) -> &mut Held {
        let held = self.nodes.entry(node.clone()).or_default();
        held.reported_at = now;
        held
    }

    fn has_place(&self, now: BootTime) -> bool {
        now >= self.opens_at && self.taken() as f64 + 1.0 <= (self.limit * self.share).max(1.0)
    }

    fn give(&mut self, waiter: &Waiter, now: BootTime) {
        let place = Place {
            given_at: now,
            until: now + waiter.hold,
        };
        self.held(&waiter.node, now).places.insert(waiter.number, place);
    }

    fn taken(&self) -> usize {
        self.nodes.values().map(|it| it.places.len() + it.others).sum()
    }

    fn expire(&mut self, now: BootTime) {
        self.nodes
            .retain(|_, it| now.saturating_sub(it.reported_at) < Places::REPORT_RETENTION);
        for held in self.nodes.values_mut() {
            held.places.retain(|_, it| now < it.until);
        }
        self.waiters.retain(|it| now < it.until);
    }

    fn grow(&mut self, now: BootTime) {
        let steps = now.saturating_sub(self.limited_at).as_secs_f64() / Places::GROWTH_TIME.as_secs_f64();
        self.limit = (self.limit + self.slots * Places::GROWTH_FRACTION * steps).min(self.slots);
        self.limited_at = now;
    }
}
