//! Whether this node reaches the engines of a service, and how its requests get there if it does not.
//!
//! A node whose own path is cut sees what a node sees whose engines are all down. Its peers can tell them apart: as
//! soon as several engines in a row cannot be reached, it asks some of them, and probes others itself. If a peer reaches
//! the service, requests go through such peers. If none does, they go directly until so many engines have failed that no
//! other can be expected to be reached, and are refused at once from then on. Probes find the end of a cut without a request
//! that would have to wait for them; then the share of requests that go directly grows over [`Path::RETURN_TIME`].
//!
//! An offer of a peer is a hint only. A peer that cannot take a request says so, and passes none on to others.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Host, Upstream};
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::BootTime;

/// How a request gets to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// By a connection of this node.
    Direct,
    /// Through a peer.
    Peer,
    /// Unknown until the peers have been asked; the caller has to begin an inquiry.
    Inquire,
    /// Unknown until the inquiry that is under way has an offer or ends.
    Wait,
    /// There is none: neither this node nor a peer reaches an engine.
    None,
}

/// A change that operators want to know of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Requests go through peers from now on.
    Lost,
    /// No engine can be reached; requests are refused from now on.
    Down,
    /// An engine was reached again.
    Regained,
}

/// What a node that is asked says about a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It reaches the service.
    Reached,
    /// It does not, or would have to pass requests on itself.
    NotReached,
    /// It has not tried lately.
    Unknown,
}

/// What has to be done in the background.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    /// Connect to an engine and close the connection.
    Probe,
    /// Ask peers.
    Inquire,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Sound,
    /// Peers reach the service, this node does not since this time.
    Lost(BootTime),
    /// Nobody is known to reach the service.
    Down,
    /// An engine was reached again at this time.
    Returning(BootTime),
}

/// The path of this node to the engines of one service.
#[derive(Debug, Clone)]
pub struct Path {
    state: State,
    /// Engines that could not be reached, with the time, since one was reached last.
    failed: BTreeMap<Upstream, BootTime>,
    reached_at: Option<BootTime>,
    /// Peers that reach the service, with the time at which this was last known.
    offers: BTreeMap<Host, BootTime>,
    /// Inquiries without an offer since the last one that had some.
    fruitless: u32,
    /// Begin of the last inquiry, and whether it has ended.
    inquiry: Option<(BootTime, bool)>,
    next_probe: BootTime,
    next_inquiry: BootTime,
    interval: Duration,
    /// Engines to connect to since there is reason to doubt the path.
    probes: usize,
    /// Number of failed engines from which on the path is down; set if the last inquiry had no offer.
    down_from: Option<usize>,
}

impl Default for Path {
    fn default() -> Self {
        Self {
            state: State::Sound,
            failed: BTreeMap::new(),
            reached_at: None,
            offers: BTreeMap::new(),
            fruitless: 0,
            inquiry: None,
            next_probe: Duration::ZERO,
            next_inquiry: Duration::ZERO,
            interval: Self::MIN_INTERVAL,
            probes: 0,
            down_from: None,
        }
    }
}

impl Path {
    /// Engines that cannot be reached in a row before peers are asked. A single one may be down itself.
    pub const MIN_FAILED: usize = 2;

    /// Range of the number of engines that cannot be reached in a row before requests are refused, if no peer reaches the
    /// service either. If half of the engines have ended, 3 in a row are common and 8 are 1 in 256.
    const MIN_FAILED_DOWN: usize = 3;
    const MAX_FAILED_DOWN: usize = 8;

    /// Share of the engines that cannot be reached in a row before requests are refused, within that range.
    const FAILED_DOWN_SHARE: f64 = 0.5;

    /// Time for which a failed connection counts.
    const FAILURE_RETENTION: Duration = Duration::from_secs(10);

    /// Time for which a connection shows that a path is sound.
    const REACHED_MAX_AGE: Duration = Duration::from_secs(2);

    /// Time for which an offer is used that no request has confirmed.
    const OFFER_LIFETIME: Duration = Duration::from_secs(3);

    /// Peers that the first inquiry asks, and how often the number doubles while nobody reaches the service: if most nodes
    /// are cut off, few others do.
    const MIN_ASKED: usize = 6;
    const MAX_DOUBLINGS: u32 = 2;

    /// Inquiries without an offer after which the node asks fewer peers, and less often.
    const EAGER_INQUIRIES: u32 = 6;

    /// Maximum time of an inquiry, which includes a peer's connection to an engine.
    pub const INQUIRY_TIME: Duration = Duration::from_millis(100);

    /// Pause after an inquiry without an offer.
    const INQUIRY_PAUSE: Duration = Duration::from_millis(250);

    /// Range of the interval between probes, and between inquiries while requests are refused; it doubles.
    const MIN_INTERVAL: Duration = Duration::from_millis(250);
    const MAX_INTERVAL: Duration = Duration::from_secs(2);

    /// Maximum interval between probes while requests are refused, which wait for engines that may start.
    const MAX_DOWN_INTERVAL: Duration = Duration::from_millis(500);

    /// Time after which a path that is reached again was not cut: single engines were down.
    const SHORT_LOSS: Duration = Duration::from_secs(1);

    /// Time over which requests go back to direct connections after a cut.
    pub const RETURN_TIME: Duration = Duration::from_secs(2);

    /// Share of the requests that go directly at the begin of this time.
    const MIN_DIRECT_SHARE: f64 = 0.2;

    /// Maximum number of offers that are kept.
    const MAX_OFFERS: usize = 16;

    /// Whether requests go through peers, or find none.
    pub fn is_lost(&self) -> bool {
        matches!(self.state, State::Lost(_) | State::Down)
    }

    /// Whether peers reach the service and this node does not.
    pub fn needs_peers(&self) -> bool {
        matches!(self.state, State::Lost(_))
    }

    /// Records a direct connection to an engine.
    pub fn record_reached(&mut self, now: BootTime) -> Option<Change> {
        self.failed.clear();
        self.reached_at = Some(now);
        self.probes = 0;
        self.down_from = None;
        let was_lost = self.is_lost();
        self.state = match self.state {
            State::Lost(since) if now.saturating_sub(since) >= Self::SHORT_LOSS => State::Returning(now),
            State::Returning(since) if now.saturating_sub(since) < Self::RETURN_TIME => return None,
            _ => {
                self.interval = Self::MIN_INTERVAL;
                State::Sound
            }
        };
        was_lost.then_some(Change::Regained)
    }

    /// Records that a direct connection to an engine was not established.
    pub fn record_unreached(&mut self, engine: &Upstream, now: BootTime) -> Option<Change> {
        self.failed
            .retain(|_, it| now.saturating_sub(*it) < Self::FAILURE_RETENTION);
        self.failed.insert(engine.clone(), now);
        match self.state {
            // Without this, a path that comes and goes would be tried with a growing share of the requests each time.
            State::Returning(_) => Some(self.lose(now)),
            State::Sound | State::Lost(_) if self.down_from.is_some_and(|it| self.failed.len() >= it) => {
                Some(self.end(now))
            }
            State::Sound | State::Lost(_) | State::Down => None,
        }
    }

    /// Records that the path to another service was lost.
    pub fn doubt(&mut self) {
        if self.state == State::Sound {
            self.probes = self.probes.max(1);
        }
    }

    /// How a request gets to one of `engines` engines.
    pub fn way(&mut self, engines: usize, now: BootTime, rng: &mut impl Rng) -> Way {
        match self.state {
            State::Sound if !self.is_suspect(engines, now) => Way::Direct,
            State::Sound => {
                let way = self.inquire(now).unwrap_or(Way::Direct);
                if way == Way::Inquire {
                    // Otherwise requests would have to wait for as many failures if no peer has an offer.
                    self.probes = Self::failed_when_down(engines).saturating_sub(self.failed.len());
                }
                way
            }
            State::Lost(_) if self.has_offer(now) => Way::Peer,
            // Offers ended, which may be due to engines that have ended. An inquiry finds out whether the path is down.
            State::Lost(_) => self.inquire(now).unwrap_or(Way::Direct),
            State::Down => Way::None,
            State::Returning(since) => {
                let elapsed = now.saturating_sub(since).as_secs_f64();
                let share = (elapsed / Self::RETURN_TIME.as_secs_f64()).clamp(Self::MIN_DIRECT_SHARE, 1.0);
                match self.has_offer(now) && !rng.random_bool(share) {
                    true => Way::Peer,
                    false => Way::Direct,
                }
            }
        }
    }

    /// Number of peers for the next inquiry.
    pub fn peers_to_ask(&self) -> usize {
        match self.fruitless < Self::EAGER_INQUIRIES {
            true => Self::MIN_ASKED << self.fruitless.min(Self::MAX_DOUBLINGS),
            false => Self::MIN_ASKED * 2,
        }
    }

    /// Records the begin of an inquiry.
    pub fn begin_inquiry(&mut self, now: BootTime) {
        self.inquiry = Some((now, false));
    }

    /// Records that a peer reaches the service, or has just passed a request on.
    pub fn record_offer(&mut self, peer: &Host, now: BootTime) -> Option<Change> {
        self.offers
            .retain(|_, it| now.saturating_sub(*it) < Self::OFFER_LIFETIME);
        if self.offers.len() < Self::MAX_OFFERS || self.offers.contains_key(peer) {
            self.offers.insert(peer.clone(), now);
        }
        self.down_from = None;
        match self.state {
            // An engine was reached while the peers were asked.
            State::Sound if self.failed.is_empty() => None,
            State::Sound | State::Down => Some(self.lose(now)),
            State::Lost(_) | State::Returning(_) => None,
        }
    }

    /// Records that a peer does not take requests for the service now.
    pub fn record_refusal(&mut self, peer: &Host) {
        self.offers.remove(peer);
    }

    /// Records the end of an inquiry about a service with `engines` engines.
    pub fn end_inquiry(&mut self, engines: usize, now: BootTime) -> Option<Change> {
        if let Some((_, ended)) = &mut self.inquiry {
            *ended = true;
        }
        if self.has_offer(now) {
            self.fruitless = 0;
            self.down_from = None;
            return None;
        }
        self.fruitless = self.fruitless.saturating_add(1);
        if matches!(self.state, State::Down | State::Returning(_)) {
            return None;
        }
        let needed = Self::failed_when_down(engines);
        self.down_from = Some(needed);
        if self.failed.len() >= needed {
            return Some(self.end(now));
        }
        None
    }

    /// A peer for the next request, other than those that were asked already.
    pub fn choose_peer(&self, asked: &[Host], now: BootTime, rng: &mut impl Rng) -> Option<Host> {
        let offers = self.offers.iter().filter(|it| self.is_valid(*it.1, now));
        let hosts = offers.map(|it| it.0).filter(|it| !asked.contains(it));
        hosts.choose(rng).cloned()
    }

    /// What this node says to a peer that asks.
    pub fn answer(&self, now: BootTime) -> Answer {
        let reached_lately = self
            .reached_at
            .is_some_and(|it| now.saturating_sub(it) < Self::REACHED_MAX_AGE);
        match self.state {
            State::Lost(_) | State::Down => Answer::NotReached,
            State::Sound | State::Returning(_) if self.failed.is_empty() && reached_lately => Answer::Reached,
            State::Sound | State::Returning(_) => Answer::Unknown,
        }
    }

    /// What is due in the background; each task is returned once.
    pub fn take_due(&mut self, now: BootTime) -> Option<Task> {
        if self.probes > 0 {
            self.probes -= 1;
            return Some(Task::Probe);
        }
        if !self.is_lost() {
            return None;
        }
        if now >= self.next_probe {
            self.next_probe = now + self.interval;
            let max_interval = match self.state {
                State::Down => Self::MAX_DOWN_INTERVAL,
                _ => Self::MAX_INTERVAL,
            };
            self.interval = (self.interval * 2).min(max_interval);
            return Some(Task::Probe);
        }
        if self.state == State::Down && now >= self.next_inquiry {
            let interval = match self.fruitless < Self::EAGER_INQUIRIES {
                true => Self::MAX_DOWN_INTERVAL,
                false => Self::MAX_INTERVAL,
            };
            self.next_inquiry = now + interval;
            return Some(Task::Inquire);
        }
        None
    }

    /// Records that an engine has started, which may be reached.
    pub fn record_start(&mut self, now: BootTime) {
        self.next_probe = now;
    }

    /// Whether an engine was reached after a time.
    pub fn has_reached_since(&self, time: BootTime) -> bool {
        self.reached_at.is_some_and(|it| it > time)
    }

    /// Whether an engine could not be reached since one was reached last.
    pub fn has_failed(&self, engine: &Upstream) -> bool {
        self.failed.contains_key(engine)
    }

    /// Numbers of engines that could not be reached since one was reached last, and of peers that reach the service.
    pub fn evidence(&self, now: BootTime) -> (usize, usize) {
        let peers = self.offers.values().filter(|it| self.is_valid(**it, now));
        (self.failed.len(), peers.count())
    }

    /// Time until the next probe, which may find the way back.
    pub fn time_to_probe(&self, now: BootTime) -> Duration {
        self.next_probe.saturating_sub(now)
    }

    fn lose(&mut self, now: BootTime) -> Change {
        self.state = State::Lost(now);
        self.next_probe = now;
        Change::Lost
    }

    fn end(&mut self, now: BootTime) -> Change {
        self.state = State::Down;
        self.down_from = None;
        self.next_probe = now;
        self.next_inquiry = now + Self::MIN_INTERVAL;
        Change::Down
    }

    fn is_suspect(&self, engines: usize, now: BootTime) -> bool {
        let recent = self
            .failed
            .values()
            .filter(|it| now.saturating_sub(**it) < Self::FAILURE_RETENTION);
        recent.count() >= Self::MIN_FAILED.min(engines.max(1))
    }

    /// Number of failures in a row from which on none of `engines` engines can be expected to be reached.
    fn failed_when_down(engines: usize) -> usize {
        let share = (engines as f64 * Self::FAILED_DOWN_SHARE).ceil() as usize;
        let needed = share.clamp(Self::MIN_FAILED_DOWN, Self::MAX_FAILED_DOWN);
        needed.min(engines.max(1))
    }

    /// The way if it is unknown; `None` if an inquiry has just ended without an offer.
    fn inquire(&self, now: BootTime) -> Option<Way> {
        match self.inquiry {
            Some((began, false)) if now.saturating_sub(began) < Self::INQUIRY_TIME => Some(Way::Wait),
            Some((began, true)) if now.saturating_sub(began) < Self::INQUIRY_PAUSE => None,
            _ => Some(Way::Inquire),
        }
    }

    fn has_offer(&self, now: BootTime) -> bool {
        self.offers.values().any(|it| self.is_valid(*it, now))
    }

    fn is_valid(&self, offered_at: BootTime, now: BootTime) -> bool {
        now.saturating_sub(offered_at) < Self::OFFER_LIFETIME
    }
}
