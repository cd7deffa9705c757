//! Virtual-time simulation of one variant.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use model::{Incarnation, Name};
use policy::cascade::{
    Action, Candidate, Observation, Plan, PlanProgress, Planner, Position, RatingMode, RatingOutcome,
    Request, Verdict,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::world::{
    self, Arrival, CLASSES, COSTS, Change, RATING_COST, RATING_TIMEOUT, Scenario, VERSIONS, World,
};
use super::{Variant, oracle};

const NODES: usize = 4;
/// Requests per second of the organisation.
const RATE: f64 = 20.0;
const GOSSIP_PERIOD: Duration = Duration::from_secs(1);

/// Outcome of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    class: usize,
    cost: f64,
    rejected: f64,
    adequate: bool,
}

/// Sums over requests.
#[derive(Debug)]
pub struct Totals {
    pub cost: f64,
    pub rejected: f64,
    pub adequate: f64,
    pub adequacy: [f64; CLASSES.len()],
    pub costs: [f64; CLASSES.len()],
}

impl Totals {
    pub fn new(served: &[Served]) -> Self {
        let share = |it: &mut dyn Iterator<Item = &Served>| {
            let (adequate, all) = it.fold((0.0, 0.0), |sum, it| {
                (sum.0 + f64::from(u8::from(it.adequate)), sum.1 + 1.0)
            });
            adequate / f64::max(all, 1.0)
        };
        Self {
            cost: served.iter().map(|it| it.cost).sum(),
            rejected: served.iter().map(|it| it.rejected).sum(),
            costs: std::array::from_fn(|class| {
                let of_class = served.iter().filter(|it| it.class == class);
                of_class.map(|it| it.cost).sum()
            }),
            adequate: share(&mut served.iter()),
            adequacy: std::array::from_fn(|class| share(&mut served.iter().filter(|it| it.class == class))),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Answer { req: usize, step: usize },
    Rating { req: usize, step: usize },
    Expiry { req: usize, step: usize },
}

struct Active {
    arrival: Arrival,
    progress: PlanProgress,
    versions: Vec<usize>,
    adequate: Vec<bool>,
    awaited: Vec<Wait>,
    rejected: bool,
    ratings: u32,
}

/// State of the rating of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    No,
    Yes,
    Expired,
}

pub struct Simulation {
    scenario: Scenario,
    variant: Variant,
    world: World,
    single: [Vec<usize>; 3],
    mixed: [oracle::Mix; 3],
    planners: Vec<Planner>,
    requests: SmallRng,
    choices: SmallRng,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    active: BTreeMap<usize, Active>,
    served: Vec<Served>,
    gossiped: Duration,
}

impl Simulation {
    pub fn new(scenario: Scenario, variant: Variant, seed: u64) -> Self {
        let world = World::new(seed);
        Self {
            scenario,
            variant,
            single: oracle::single(&world, scenario),
            mixed: oracle::mixed(&world, scenario),
            world,
            planners: (0..NODES as u128)
                .map(|it| Planner::new(Incarnation::from_bits(it)))
                .collect(),
            requests: SmallRng::seed_from_u64(seed ^ 0x5eed),
            choices: SmallRng::seed_from_u64(seed ^ 0xc401ce),
            events: BinaryHeap::new(),
            active: BTreeMap::new(),
            served: vec![],
            gossiped: Duration::ZERO,
        }
    }

    /// Serves `requests`; the change happens before request `change_at`.
    pub fn run(mut self, requests: usize, change_at: usize) -> Vec<Served> {
        self.served = vec![Served::default(); requests];
        let mut now = Duration::ZERO;
        for idx in 0..requests {
            if idx == change_at {
                self.change();
            }
            let gap = -(1.0 - self.requests.random::<f64>()).ln() / RATE;
            now += Duration::from_secs_f64(gap);
            self.drain(now);
            let arrival = Arrival::draw(now, NODES, self.scenario, &mut self.requests);
            self.begin(idx, arrival);
        }
        self.drain(Duration::MAX);
        self.served
    }

    fn change(&mut self) {
        let used = match self.scenario.change {
            Change::Improves => 0,
            _ => (0..VERSIONS - 1)
                .max_by_key(|it| self.single.iter().filter(|plan| plan[0] == *it).count())
                .unwrap_or_default(),
        };
        self.world.shift(self.scenario.change, used);
        self.single = oracle::single(&self.world, self.scenario);
        self.mixed = oracle::mixed(&self.world, self.scenario);
    }

    fn drain(&mut self, until: Duration) {
        while let Some(Reverse((at, event))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.gossip(at);
            self.handle(event, at);
        }
    }

    fn gossip(&mut self, now: Duration) {
        if self.variant != Variant::Planner || now < self.gossiped + GOSSIP_PERIOD {
            return;
        }
        // Each node sends to the next one only, so that a rating takes up to three periods to reach all.
        for idx in 0..NODES {
            let records = self.planners[idx].export(self.gossiped.saturating_sub(GOSSIP_PERIOD * 2));
            self.planners[(idx + 1) % NODES].merge(&records, now);
        }
        self.gossiped = now;
    }

    fn begin(&mut self, idx: usize, arrival: Arrival) {
        let now = arrival.at;
        let plan = self.plan(&arrival);
        let versions: Vec<_> = plan.steps.iter().map(|it| self.version(&it.version)).collect();
        let adequate: Vec<_> = versions
            .iter()
            .map(|it| arrival.adequate(*it, &self.world.truth))
            .collect();
        let (progress, action) = PlanProgress::new(plan, now + world::deadline(arrival.class));
        let active = Active {
            awaited: vec![Wait::No; versions.len()],
            arrival,
            progress,
            versions,
            adequate,
            rejected: false,
            ratings: 0,
        };
        self.active.insert(idx, active);
        self.act(idx, action, now);
    }

    fn plan(&mut self, arrival: &Arrival) -> Plan {
        let fixed = |versions: &[usize]| oracle::plan(&self.world, versions);
        match self.variant {
            Variant::Oracle => {
                let mix = &self.mixed[arrival.class];
                let low = self.choices.random::<f64>() < mix.share;
                fixed(if low { &mix.low } else { &mix.high })
            }
            Variant::SinglePlan => fixed(&self.single[arrival.class]),
            Variant::AlwaysBest => fixed(&[VERSIONS - 1]),
            Variant::AlwaysCheapest => fixed(&[0]),
            Variant::FixedCascade if arrival.class == 0 => fixed(&[VERSIONS / 2]),
            Variant::FixedCascade => fixed(&[0, VERSIONS - 1]),
            Variant::Planner => self.learnt(arrival),
        }
    }

    fn learnt(&mut self, arrival: &Arrival) -> Plan {
        let candidates: Vec<_> = self
            .world
            .versions
            .iter()
            .enumerate()
            .map(|(idx, version)| Candidate {
                version,
                cost: COSTS[idx],
                latency: world::latency(idx),
            })
            .collect();
        let req = Request {
            organisation: &self.world.organisation,
            class: CLASSES[arrival.class],
            deadline: world::deadline(arrival.class),
            rating_timeout: RATING_TIMEOUT,
            rating_cost: RATING_COST,
        };
        self.planners[arrival.node]
            .plan(&req, &candidates, &mut self.choices)
            .expect("the deadline admits every version")
    }

    fn version(&self, name: &Name) -> usize {
        let found = self.world.versions.iter().position(|it| it.name == *name);
        found.expect("plans consist of candidates")
    }

    fn act(&mut self, req: usize, action: Action, now: Duration) {
        let Some(active) = self.active.get_mut(&req) else {
            return;
        };
        match action {
            Action::Start(step) => {
                let at = now + world::latency(active.versions[step]);
                self.events.push(Reverse((at, Event::Answer { req, step })));
            }
            Action::AwaitRating { step, until } => {
                self.events.push(Reverse((until, Event::Expiry { req, step })));
                self.rate(req, step, now);
            }
            Action::Deliver(step) => {
                if active.progress.plan().steps[step].rating_mode == RatingMode::AfterDelivery {
                    self.rate(req, step, now);
                }
            }
            Action::Wait | Action::Fail => {}
        }
        self.settle(req);
    }

    fn rate(&mut self, req: usize, step: usize, now: Duration) {
        let Some(active) = self.active.get_mut(&req) else {
            return;
        };
        active.ratings += 1;
        active.awaited[step] = Wait::Yes;
        if let Some(delay) = active.arrival.ratings[active.versions[step]] {
            self.events
                .push(Reverse((now + delay, Event::Rating { req, step })));
        }
    }

    fn handle(&mut self, event: Event, now: Duration) {
        let (Event::Answer { req, step } | Event::Rating { req, step } | Event::Expiry { req, step }) = event;
        let Some(active) = self.active.get_mut(&req) else {
            return;
        };
        let action = match event {
            Event::Answer { .. } => active.progress.answered(step, COSTS[active.versions[step]], now),
            Event::Expiry { .. } if active.awaited[step] == Wait::Yes => {
                active.awaited[step] = Wait::Expired;
                self.observe(req, step, RatingOutcome::Missing, now);
                self.active
                    .get_mut(&req)
                    .map_or(Action::Wait, |it| it.progress.rating_timed_out(step, now))
            }
            Event::Expiry { .. } => Action::Wait,
            Event::Rating { .. } => {
                let verdict = if active.adequate[step] {
                    Verdict::Adequate
                } else {
                    Verdict::Inadequate
                };
                let late = std::mem::replace(&mut active.awaited[step], Wait::No) == Wait::Expired;
                let outcome = if late {
                    RatingOutcome::Late(verdict)
                } else {
                    RatingOutcome::InTime(verdict)
                };
                self.observe(req, step, outcome, now);
                self.active
                    .get_mut(&req)
                    .map_or(Action::Wait, |it| it.progress.rated(step, verdict, now))
            }
        };
        self.act(req, action, now);
    }

    fn observe(&mut self, req: usize, step: usize, outcome: RatingOutcome, now: Duration) {
        let Some(active) = self.active.get_mut(&req) else {
            return;
        };
        let position = if active.rejected {
            Position::AfterRejection
        } else {
            Position::First
        };
        active.rejected |= matches!(outcome, RatingOutcome::InTime(Verdict::Inadequate));
        if self.variant == Variant::Planner {
            let observation = Observation {
                class: CLASSES[active.arrival.class],
                version: &self.world.versions[active.versions[step]].name,
                position,
                outcome,
            };
            self.planners[active.arrival.node].observe(&self.world.organisation.name, &observation, now);
        }
    }

    /// Records the request's figures, which later events may still raise.
    fn settle(&mut self, req: usize) {
        let Some(active) = self.active.get(&req) else {
            return;
        };
        let Some(step) = active.progress.delivered() else {
            return;
        };
        let spend = active.progress.spend();
        self.served[req] = Served {
            class: active.arrival.class,
            cost: (spend.charged + spend.rejected) as f64 + f64::from(active.ratings) * RATING_COST as f64,
            rejected: spend.rejected as f64,
            adequate: active.adequate[step],
        };
    }
}
