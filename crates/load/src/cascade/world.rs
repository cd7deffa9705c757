//! Versions, requests and ratings of the cascade experiment.

use std::time::Duration;

use model::Class;
use model::object::version::State;
use model::object::{Organisation, Version};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const CLASSES: [Class; 3] = [Class::Interactive, Class::Standard, Class::Batch];
pub const VERSIONS: usize = 5;
/// Quality target of the organisation.
pub const QUALITY: f64 = 0.9;
pub const RATING_TIMEOUT: Duration = Duration::from_millis(1000);

/// Cost of one answer, the cheapest first.
pub const COSTS: [u64; VERSIONS] = [1_000_000, 3_000_000, 8_000_000, 20_000_000, 45_000_000];
/// Cost of one rating: a tenth of the cheapest answer.
pub const RATING_COST: u64 = 100_000;

const LATENCIES_MS: [u64; VERSIONS] = [300, 400, 600, 900, 1200];
/// Adequacy in log-odds: 0.60, 0.77, 0.88, 0.94 and 0.96 before the spread over seeds and classes.
const SKILLS: [f64; VERSIONS] = [0.4, 1.2, 2.0, 2.7, 3.3];
const SKILL_SPREAD: f64 = 0.5;
/// The dearest version always meets the target with this margin, so that the oracle can.
const BEST_MIN: f64 = 0.93;
/// Share of requests whose difficulty is common to all versions; on the others versions fail independently.
pub const COMMON: f64 = 0.5;
const CHANGE_POINTS: f64 = 0.25;
const DEADLINES_MS: [u64; 3] = [1500, 8000, 60_000];
const CLASS_SHARES: [f64; 3] = [0.3, 0.4, 0.3];
/// Mean delay of a rating; one in 28 takes longer than the time-out.
const RATING_DELAY_MEAN: f64 = 0.3;

/// What happens to a version halfway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    None,
    /// The version that serves most first steps of the oracle loses 25 points.
    Degrades,
    /// The cheapest version gains 25 points.
    Improves,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub missing: f64,
    pub change: Change,
}

impl Scenario {
    pub const STEADY: Self = Self {
        missing: 0.0,
        change: Change::None,
    };

    pub const fn missing(self, missing: f64) -> Self {
        Self { missing, ..self }
    }

    pub const fn change(self, change: Change) -> Self {
        Self { change, ..self }
    }

    /// Probability that a rating arrives within its time-out.
    pub fn arrival(self) -> f64 {
        (1.0 - self.missing) * (1.0 - (-RATING_TIMEOUT.as_secs_f64() / RATING_DELAY_MEAN).exp())
    }
}

/// True adequacy per class and version.
pub type Truth = [[f64; VERSIONS]; CLASSES.len()];

/// One request with all draws that any variant may need.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub node: usize,
    pub class: usize,
    /// Difficulty for each version; a version is adequate if it is below its adequacy.
    difficulty: [f64; VERSIONS],
    /// Delay of the rating of each version's answer.
    pub ratings: [Option<Duration>; VERSIONS],
}

impl Arrival {
    pub fn draw(at: Duration, nodes: usize, scenario: Scenario, rng: &mut SmallRng) -> Self {
        let common = rng.random_bool(COMMON);
        let shared: f64 = rng.random();
        let share: f64 = rng.random();
        let class = if share < CLASS_SHARES[0] {
            0
        } else {
            1 + usize::from(share >= CLASS_SHARES[0] + CLASS_SHARES[1])
        };
        let mut difficulty = [shared; VERSIONS];
        let mut ratings = [None; VERSIONS];
        for idx in 0..VERSIONS {
            let own: f64 = rng.random();
            if !common {
                difficulty[idx] = own;
            }
            let delay = -RATING_DELAY_MEAN * (1.0 - rng.random::<f64>()).ln();
            let missing = rng.random::<f64>() < scenario.missing;
            ratings[idx] = (!missing).then(|| Duration::from_secs_f64(delay));
        }
        Self {
            at,
            node: rng.random_range(0..nodes),
            class,
            difficulty,
            ratings,
        }
    }

    pub fn adequate(&self, version: usize, truth: &Truth) -> bool {
        self.difficulty[version] < truth[self.class][version]
    }
}

/// Versions and organisation.
#[derive(Debug)]
pub struct World {
    pub organisation: Organisation,
    pub versions: Vec<Version>,
    pub truth: Truth,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut truth = [[0.0; VERSIONS]; CLASSES.len()];
        for it in truth.iter_mut().flat_map(|it| it.iter_mut().zip(SKILLS)) {
            // The sum of four uniform draws is close to a normal one with variance 1/3.
            let spread: f64 = (0..4).map(|_| rng.random::<f64>() - 0.5).sum::<f64>() * 3f64.sqrt();
            *it.0 = 1.0 / (1.0 + (-(it.1 + SKILL_SPREAD * spread)).exp());
        }
        for it in &mut truth {
            it[VERSIONS - 1] = it[VERSIONS - 1].max(BEST_MIN);
        }
        let version = |idx| Version {
            name: format!("v{idx}").into(),
            model: "model".into(),
            pool: "pool".into(),
            state: State::Live,
            input_price: 1,
            output_price: 1,
        };
        Self {
            organisation: Organisation {
                name: "org".into(),
                key_hashes: vec![],
                models: vec!["model".into()],
                versions: vec![],
                cascades: vec![],
                services: vec![],
                weight: 1,
                quality_permille: (QUALITY * 1000.0) as u16,
            },
            versions: (0..VERSIONS).map(version).collect(),
            truth,
        }
    }

    /// Changes the adequacy of `version` in every class.
    pub fn shift(&mut self, change: Change, version: usize) {
        let points = match change {
            Change::None => return,
            Change::Degrades => -CHANGE_POINTS,
            Change::Improves => CHANGE_POINTS,
        };
        for it in &mut self.truth {
            it[version] = (it[version] + points).clamp(0.02, 0.98);
        }
    }
}

pub fn latency(version: usize) -> Duration {
    Duration::from_millis(LATENCIES_MS[version])
}

pub fn deadline(class: usize) -> Duration {
    Duration::from_millis(DEADLINES_MS[class])
}
