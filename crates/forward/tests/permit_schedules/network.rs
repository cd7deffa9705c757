//! Exchange of permits between the nodes of a simulation.

use std::time::Duration;

use forward::BootTime;
use forward::permit::{Decision, Issuer, Permits};
use proptest::prelude::*;
use rand::Rng;

use super::{Fault, NODES, RATES, REQUEST_INTERVAL, Simulation, Violation, WINDOW};

/// Share of the datagrams that are lost, share of the others that are delayed, and the range of their delay.
const LOSS: f64 = 0.1;
const DELAYED: f64 = 0.5;
const DELAY: std::ops::Range<u64> = 20..300;

/// Time that a request waits for a reply, and for a permit that is not valid yet.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);
const SHORT_WAIT: Duration = Duration::from_millis(20);

/// Share of its limit that an engine gets at least, the permits over which it is counted, and the time in which a
/// new issuer waits.
const MIN_SHARE: f64 = 0.5;
const COUNTED_PERMITS: f64 = 20.0;
const BEGIN: Duration = Duration::from_secs(4);

/// Exchange of permits between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Network {
    /// Each request gets the reply at once.
    Immediate,
    /// Datagrams are delayed and lost.
    Impaired,
}

/// An event that is due later.
#[derive(Debug, Clone, Copy)]
pub(super) enum Event {
    Query(Query),
    Reply(Query, Decision),
    /// The request that asked goes on without a reply.
    Timeout(Query),
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Query {
    number: u64,
    node: usize,
    issuer: usize,
    asked_at: BootTime,
    known_hosts: usize,
}

impl Simulation {
    /// Whether a request of a node may be sent to the engine.
    pub(super) fn may_send(&mut self, node: usize) -> bool {
        let query = Query {
            number: self.next_number(),
            node,
            issuer: self.issuer_of(node),
            asked_at: self.now,
            known_hosts: self.nodes[node].known_hosts(),
        };
        if self.network == Network::Immediate {
            let decision = self.reaches(node, query.issuer).then(|| self.issue(&query));
            return matches!(decision, Some(Decision::Granted(_)));
        }
        let permits = &mut self.nodes[node].permits;
        if permits.take(SHORT_WAIT, self.now).is_some() {
            return true;
        }
        if permits.denied_for(self.now).is_zero() {
            self.nodes[node].waiting.insert(query.number);
            self.schedule(self.now + REPLY_TIMEOUT, Event::Timeout(query));
            self.send(node, Event::Query(query));
        }
        false
    }

    fn next_number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn schedule(&mut self, at: BootTime, event: Event) {
        let number = self.next_number();
        self.events.insert((at, number), event);
    }

    /// Sends a datagram of a node, which may be delayed or lost.
    fn send(&mut self, from: usize, event: Event) {
        let (Event::Query(query) | Event::Reply(query, _) | Event::Timeout(query)) = event;
        if query.node == query.issuer {
            return self.schedule(self.now, event);
        }
        if self.rng.random_bool(LOSS) {
            return;
        }
        let delay = match self.rng.random_bool(DELAYED) {
            true => self.rng.random_range(DELAY),
            false => 1,
        };
        let at = self.now.max(self.nodes[from].stalled_until) + Duration::from_millis(delay);
        self.schedule(at, event);
    }

    /// Handles the events that are due.
    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry().filter(|it| it.key().0 <= self.now) {
            match entry.remove() {
                Event::Query(query) if self.reaches(query.node, query.issuer) => {
                    let decision = self.issue(&query);
                    self.send(query.issuer, Event::Reply(query, decision));
                }
                Event::Reply(query, decision) if self.reaches(query.node, query.issuer) => {
                    self.record_reply(&query, decision);
                }
                Event::Timeout(query) => {
                    let node = &mut self.nodes[query.node];
                    if node.waiting.remove(&query.number) {
                        node.permits.record_silence(self.now);
                    }
                }
                Event::Query(_) | Event::Reply(..) => {}
            }
        }
    }

    fn record_reply(&mut self, query: &Query, decision: Decision) {
        let node = &mut self.nodes[query.node];
        let is_waiting = node.waiting.remove(&query.number);
        let is_dropped = !is_waiting && self.fault == Some(Fault::LatePermitsDropped);
        if query.asked_at < node.started_at || is_dropped {
            return;
        }
        let asked_at = match self.fault {
            Some(Fault::PermitsKept) => self.now,
            _ => query.asked_at,
        };
        match decision {
            Decision::Granted(wait) => node.permits.record_grant(wait, asked_at, self.now),
            Decision::Denied(wait) => {
                node.permits
                    .record_denial(wait, self.rate, NODES, self.now, &mut self.rng);
            }
        }
    }

    /// The decision of the node that is asked.
    fn issue(&mut self, query: &Query) -> Decision {
        if self.issuer_of(query.issuer) != query.issuer {
            return Decision::Denied(Permits::NO_ISSUER_BACKOFF);
        }
        let view = &mut self.nodes[query.issuer];
        view.fleet.record(query.known_hosts, self.now);
        let present = view.present.iter().filter(|it| **it).count();
        let share = match self.fault {
            Some(Fault::NoShare) => 1.0,
            _ => view.fleet.share(present, view.known_hosts(), self.now),
        };
        let since = match self.fault {
            Some(Fault::NoTakeOver) => Issuer::PROPAGATION,
            _ => Duration::from_secs(60),
        };
        let max_wait = match self.network {
            Network::Immediate => Duration::ZERO,
            Network::Impaired => SHORT_WAIT,
        };
        view.issuer
            .request(&self.engine, self.rate * share, since, max_wait, self.now)
    }
}

/// Checks that an engine gets the minimum share of its limit while nothing but datagrams fails.
pub(super) fn run_undisturbed(fault: Option<Fault>, (rate, seed): (usize, u64)) -> Result<(), Violation> {
    let mut simulation = Simulation::new(fault, Network::Impaired, RATES[rate], seed);
    simulation.wait(BEGIN)?;
    let time = WINDOW.max(Duration::from_secs_f64(COUNTED_PERMITS / RATES[rate]));
    let begin = simulation.now;
    let mut sent = 0;
    while simulation.now < begin + time {
        let before = simulation.now;
        simulation.wait(REQUEST_INTERVAL)?;
        sent += simulation.requests.iter().filter(|it| it.0 > before).count();
    }
    match sent as f64 >= MIN_SHARE * RATES[rate] * time.as_secs_f64() {
        true => Ok(()),
        false => Err(Violation::Starved),
    }
}

pub(super) fn undisturbed() -> impl Strategy<Value = (usize, u64)> {
    (0..RATES.len(), any::<u64>())
}
