//! A fleet of nodes before engines, of which some requests end the process. Virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::ops::Range;
use std::time::Duration;

use forward::BootTime;
use forward::crash::Fingerprint;
use forward::hold::Admission;
use forward::quarantine::{Message, Quarantine};
use forward::statement::Run;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::event::Event;
use super::flight::Flight;
use super::outcome::Outcome;
use super::scenario::{Rule, Service, Trial, Trouble};
use super::traffic::is_long;

const TICK: Duration = Duration::from_millis(100);

const NODE_DOWN: Duration = Duration::from_millis(500);
const MAX_ATTEMPTS: u32 = 3;
const REPEAT_DELAY: Duration = Duration::from_millis(300);
const BROKEN_CONNECTIONS: f64 = 0.2;

/// When half of the nodes are cut off.
const CUT: Range<BootTime> = Duration::from_secs(8)..Duration::from_secs(18);

mod messages;

#[derive(Debug, Default)]
struct Node {
    quarantine: Quarantine,
    /// Number of its starts.
    started: u32,
    up_since: Option<BootTime>,
}

#[derive(Debug, Clone, Copy)]
struct Engine {
    run: u64,
    is_up: bool,
}

#[derive(Debug)]
pub(super) struct World {
    trial: Trial,
    rng: SmallRng,
    now: BootTime,
    events: BinaryHeap<Reverse<(BootTime, u64, Event)>>,
    sequence: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    flights: HashMap<u64, Flight>,
    /// Requests that callers will send again.
    repeats: HashMap<u64, Flight>,
    /// Messages on their way, and the number of their receivers.
    messages: HashMap<usize, (Message, usize)>,
    by_first: HashMap<Fingerprint, (usize, usize)>,
    outcome: Outcome,
}

impl World {
    pub(super) fn run(trial: Trial, seed: u64) -> Outcome {
        let mut world = Self {
            trial,
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            nodes: (0..trial.scale.nodes).map(|_| Node::default()).collect(),
            engines: vec![Engine { run: 0, is_up: true }; trial.scale.engines],
            flights: HashMap::new(),
            repeats: HashMap::new(),
            messages: HashMap::new(),
            by_first: HashMap::new(),
            outcome: Outcome::default(),
        };
        world.begin();
        while let Some(Reverse((at, _, event))) = world.events.pop() {
            if at > Trial::LENGTH {
                break;
            }
            world.now = at;
            world.handle(event);
        }
        world.finish()
    }

    fn begin(&mut self) {
        for node in 0..self.nodes.len() {
            self.nodes[node].up_since = Some(Duration::ZERO);
            let offset = TICK.mul_f64(self.rng.random_range(0.0..1.0));
            self.schedule(offset, Event::Tick(node));
        }
        self.schedule(Duration::ZERO, Event::Arrival { is_fatal: false });
        if self.trial.fatal_rate > 0.0 {
            let from = match self.trial.trouble {
                Trouble::ServedBefore => Duration::ZERO,
                _ => Trial::FATAL_FROM,
            };
            self.schedule(from, Event::Arrival { is_fatal: true });
        }
        match self.trial.trouble {
            Trouble::Restarts => self.schedule(Duration::from_secs(5), Event::NodeStops(0)),
            Trouble::PowerLosses => {
                for at in [12, 16, 20, 24, 30, 36] {
                    let count = self.engines.len();
                    self.schedule(Duration::from_secs(at), Event::EnginesEnd { count });
                }
            }
            Trouble::PartialPowerLosses => {
                // The first time soon after the start, when little was served.
                for (at, part) in [(1, 8), (4, 4), (12, 8), (16, 4), (20, 8), (24, 4)] {
                    let count = self.engines.len() / part;
                    self.schedule(Duration::from_secs(at), Event::EnginesEnd { count });
                }
            }
            Trouble::CrashLoops => {
                for engine in 0..self.engines.len() / 3 {
                    let at = Duration::from_secs_f64(self.rng.random_range(5.0..10.0));
                    self.schedule(at, Event::EngineEnds(engine));
                }
            }
            Trouble::None
            | Trouble::LostMessages
            | Trouble::Cut
            | Trouble::BrokenConnections
            | Trouble::ServedBefore => {}
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { is_fatal } => self.arrive(is_fatal),
            Event::Repeat { flight } => self.repeat(flight),
            Event::Tick(node) => {
                self.schedule(TICK, Event::Tick(node));
                self.tick(node);
            }
            Event::Tell(node) => self.tick(node),
            Event::Deliver { to, started, message } => self.deliver(to, started, message),
            Event::Progress { flight } => self.progress(flight),
            Event::End { flight } => self.end(flight),
            Event::EngineEnds(engine) => {
                self.end_engine(engine);
                let next = Duration::from_secs_f64(self.rng.random_range(4.0..7.0));
                self.schedule(next, Event::EngineEnds(engine));
            }
            Event::EngineStarts(engine) => self.engines[engine].is_up = true,
            Event::NodeStops(node) => {
                self.nodes[node] = Node {
                    started: self.nodes[node].started + 1,
                    ..Node::default()
                };
                self.flights.retain(|_, it| it.node != node);
                self.schedule(NODE_DOWN, Event::NodeStarts(node));
                let next = (node + 1) % self.nodes.len();
                self.schedule(Duration::from_secs(1), Event::NodeStops(next));
            }
            Event::NodeStarts(node) => self.nodes[node].up_since = Some(self.now),
            Event::EnginesEnd { count } => (0..count).for_each(|it| self.end_engine(it)),
        }
    }

    fn arrive(&mut self, is_fatal: bool) {
        let rate = match is_fatal {
            true => self.trial.fatal_rate,
            false => self.trial.scale.rate,
        };
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        self.schedule(Duration::from_secs_f64(pause), Event::Arrival { is_fatal });
        let traits = self.trial.scale.traits(is_fatal, &mut self.rng);
        if !is_fatal {
            self.outcome.sound += 1;
            self.outcome.sound_arrivals.push(self.now);
            let first = self.trial.scale.first_part(&traits);
            self.by_first.entry(first).or_default().0 += 1;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        self.send(Flight {
            traits,
            is_fatal: false,
            attempts: MAX_ATTEMPTS,
            repeats: 1,
            arrived: self.now,
            was_held: false,
            node,
            engine: 0,
            run: 0,
            sent_at: self.now,
            breaks: false,
        });
    }

    fn repeat(&mut self, flight: u64) {
        if let Some(mut it) = self.repeats.remove(&flight) {
            it.node = self.rng.random_range(0..self.nodes.len());
            self.send(it);
        }
    }

    /// Sends a request on from its node, or back to its caller.
    fn send(&mut self, mut flight: Flight) {
        if self.nodes[flight.node].up_since.is_none() {
            return self.return_to_caller(flight);
        }
        let fatal = self.trial.scale.service.fatal_fingerprint();
        let may_probe = self.may_probe(flight.node);
        let admission = match self.trial.rule {
            Rule::None => Admission::Open,
            Rule::Alone | Rule::Fleet => {
                let quarantine = &mut self.nodes[flight.node].quarantine;
                quarantine.admit(&flight.traits, |_| may_probe, self.now)
            }
        };
        let is_held = matches!(admission, Admission::Held(_));
        if is_held && !flight.traits.contains(&fatal) && !flight.was_held {
            flight.was_held = true;
            self.outcome.held += 1;
            let first = self.trial.scale.first_part(&flight.traits);
            self.by_first.entry(first).or_default().1 += 1;
        }
        let up: Vec<_> = (0..self.engines.len())
            .filter(|it| self.engines[*it].is_up)
            .collect();
        if is_held || up.is_empty() {
            return self.return_to_caller(flight);
        }
        flight.is_fatal = flight.traits.contains(&fatal) && self.now >= Trial::FATAL_FROM;
        if flight.is_fatal && self.is_in_touch(flight.node) && self.is_late() {
            self.outcome.late += 1;
        }
        flight.engine = up[self.rng.random_range(0..up.len())];
        flight.run = self.engines[flight.engine].run;
        flight.sent_at = self.now;
        flight.attempts -= 1;
        flight.breaks = !flight.is_fatal
            && self.trial.trouble == Trouble::BrokenConnections
            && self.rng.random_bool(BROKEN_CONNECTIONS);
        let time = match (flight.is_fatal, self.trial.scale.service) {
            (true, _) => self.rng.random_range(0.01..0.25),
            (false, Service::Model) if is_long(&flight.traits) => self.rng.random_range(3.0..12.0),
            (false, Service::Model) => self.rng.random_range(0.3..4.0),
            (false, Service::Plain) => self.rng.random_range(0.01..0.1),
        };
        let id = self.sequence;
        self.flights.insert(id, flight);
        self.schedule(Quarantine::PROGRESS_TIME, Event::Progress { flight: id });
        self.schedule(Duration::from_secs_f64(time), Event::End { flight: id });
    }

    fn progress(&mut self, flight: u64) {
        let Some(it) = self.flights.get(&flight) else {
            return;
        };
        let run = run_of(it);
        let quarantine = &mut self.nodes[it.node].quarantine;
        quarantine.record_progress(&run, &it.traits, it.sent_at, self.now);
        self.schedule(Quarantine::PROGRESS_TIME, Event::Progress { flight });
    }

    fn return_to_caller(&mut self, mut flight: Flight) {
        if flight.repeats == 0 {
            return;
        }
        flight.repeats -= 1;
        flight.attempts = MAX_ATTEMPTS;
        let id = self.sequence;
        self.repeats.insert(id, flight);
        self.schedule(REPEAT_DELAY, Event::Repeat { flight: id });
    }

    fn end(&mut self, flight: u64) {
        let Some(it) = self.flights.remove(&flight) else {
            return;
        };
        if it.is_fatal {
            self.outcome.fatal_ends.push(self.now);
            let engine = it.engine;
            self.flights.insert(flight, it);
            self.end_engine(engine);
        } else if it.breaks {
            self.break_off(it);
        } else {
            let run = run_of(&it);
            let quarantine = &mut self.nodes[it.node].quarantine;
            quarantine.record_served(&run, &it.traits, it.sent_at, self.now);
            if !it.traits.contains(&self.trial.scale.service.fatal_fingerprint()) {
                self.outcome.sound_served.push(it.arrived);
            }
        }
    }

    fn end_engine(&mut self, engine: usize) {
        if !self.engines[engine].is_up {
            return;
        }
        self.engines[engine] = Engine {
            run: self.engines[engine].run + 1,
            is_up: false,
        };
        self.schedule(Trial::ENGINE_DOWN, Event::EngineStarts(engine));
        let mut broken: Vec<_> = self
            .flights
            .iter()
            .filter(|it| it.1.engine == engine)
            .map(|it| *it.0)
            .collect();
        broken.sort_unstable();
        for flight in broken {
            if let Some(it) = self.flights.remove(&flight) {
                self.break_off(it);
            }
        }
    }

    fn break_off(&mut self, flight: Flight) {
        let run = run_of(&flight);
        let quarantine = &mut self.nodes[flight.node].quarantine;
        // A node finds out that an engine which goes on still accepts connections.
        let has_ended = self.engines[flight.engine].run != flight.run;
        if has_ended && quarantine.record_broken(&run, &flight.traits, self.now) {
            self.schedule(Quarantine::TELL_DELAY, Event::Tell(flight.node));
        }
        match flight.attempts {
            0 => self.return_to_caller(flight),
            _ => self.send(flight),
        }
    }

    fn tick(&mut self, node: usize) {
        if self.nodes[node].up_since.is_none() {
            return;
        }
        let hosts = self.nodes.len();
        let fatal = self.trial.scale.service.fatal_fingerprint();
        let quarantine = &mut self.nodes[node].quarantine;
        let begun = quarantine.judge(self.now).begun;
        let due = quarantine.due(hosts, self.now, &mut self.rng);
        self.outcome.false_holds += begun.iter().filter(|it| !it.contains(&fatal)).count();
        self.note_held(node);
        if self.trial.rule != Rule::Fleet {
            return;
        }
        let mut others: Vec<_> = (0..hosts).filter(|it| *it != node).collect();
        others.shuffle(&mut self.rng);
        for message in due.to_all {
            self.post(node, &others, &message);
        }
        for message in due.to_some {
            let some: Vec<_> = (0..Quarantine::FANOUT)
                .map(|_| others[self.rng.random_range(0..others.len())])
                .collect();
            self.post(node, &some, &message);
        }
    }

    fn note_held(&mut self, node: usize) {
        let fatal = self.trial.scale.service.fatal_fingerprint();
        let is_held = |it: &Node| it.quarantine.is_held(&[fatal]);
        if self.outcome.held_by_all_at.is_none()
            && is_held(&self.nodes[node])
            && self.nodes.iter().all(is_held)
        {
            self.outcome.held_by_all_at = Some(self.now);
        }
    }

    fn side(&self, node: usize) -> bool {
        node < self.nodes.len() / 2
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.trial.trouble == Trouble::Cut && CUT.contains(&self.now) && self.side(a) != self.side(b)
    }

    /// Whether a node owns the probes: the first one, or the first one of the larger side of a cut.
    fn may_probe(&self, node: usize) -> bool {
        let is_cut_off = self.trial.trouble == Trouble::Cut && CUT.contains(&self.now);
        let first = match is_cut_off {
            true => self.nodes.len() / 2,
            false => 0,
        };
        self.trial.rule == Rule::Alone || node == first
    }

    fn is_in_touch(&self, node: usize) -> bool {
        let is_up = self.nodes[node].up_since;
        let is_calm = is_up.is_some_and(|it| it.is_zero() || it + Trial::STABILITY_WINDOW <= self.now);
        let is_cut = self.trial.trouble == Trouble::Cut
            && (CUT.start..CUT.end + Trial::STABILITY_WINDOW).contains(&self.now);
        is_calm && !is_cut
    }

    fn is_late(&self) -> bool {
        let known = self.outcome.fatal_ends.get(self.trial.fatal_ends() - 1);
        known.is_some_and(|it| *it + Trial::STABILITY_WINDOW < self.now)
    }

    fn finish(mut self) -> Outcome {
        let shares = self
            .by_first
            .values()
            .map(|(all, held)| *held as f64 / (*all).max(1) as f64);
        self.outcome.worst_held_share = shares.fold(0.0, f64::max);
        let known = self.outcome.fatal_ends.get(self.trial.fatal_ends() - 1);
        self.outcome.settled_at = known.map_or(Trial::FATAL_FROM, |it| *it + Trial::STABILITY_WINDOW)
            + Trial::ENGINE_DOWN
            + Trial::STABILITY_WINDOW;
        self.outcome
    }
}

fn run_of(flight: &Flight) -> Run {
    Run {
        engine: format!("e{}", flight.engine).into(),
        started_ms: flight.run,
    }
}
