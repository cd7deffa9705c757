//! Requests of a service, and how its engines respond to them.

use std::time::Duration;

use forward::release::Arm;
use rand::Rng;
use rand::rngs::SmallRng;

/// What is wrong with the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Quality {
    /// Nothing.
    Good,
    /// Nothing, but one of its engines fails a share of its requests.
    GreyEngine,
    /// A share of all responses are failures.
    Failing(f64),
    /// A share of all responses take longer by a factor.
    Slow(f64),
    /// As [`Self::Slow`], only in the last third of each [`LOAD_PERIOD`].
    SlowUnderLoad(f64),
    /// Half of the responses on the last route are failures.
    OneRoute,
    /// Half of the responses are failures from [`LATE_START`] on.
    Late,
}

/// Time between two peaks of the load.
const LOAD_PERIOD: f64 = 10.0;

/// Time from the order to the first failure of a version that is bad late.
const LATE_START: Duration = Duration::from_secs(10);

/// Share of the responses that a slow version delays, and of the failures of one that is bad late or on one route.
const BAD_SHARE: f64 = 0.5;

/// Share of the requests that a grey engine fails.
const GREY_FAILURES: f64 = 0.4;

/// Engines of each version.
const ENGINES: u32 = 6;

impl Quality {
    pub(super) fn is_good(self) -> bool {
        matches!(self, Self::Good | Self::GreyEngine)
    }

    pub(super) fn label(self) -> String {
        match self {
            Self::Good => "good".into(),
            Self::GreyEngine => "good, an engine grey".into(),
            Self::Failing(share) => format!("errors {:.0}%", share * 100.0),
            Self::Slow(factor) => format!("slow x{factor}"),
            Self::SlowUnderLoad(factor) => format!("slow x{factor} under load"),
            Self::OneRoute => "errors on one route".into(),
            Self::Late => "errors after 10 s".into(),
        }
    }
}

/// A kind of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Service {
    /// A plain service.
    Plain,
    /// Model engines.
    Model,
}

/// A request.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub id: u64,
    /// Requests of one session must stay on one version.
    pub session: Option<u64>,
    /// Index in [`Service::routes`].
    pub route: usize,
    pub prompt_tokens: u64,
}

impl Request {
    /// What the share of a version is drawn by.
    pub(super) fn key(&self) -> Vec<u8> {
        match self.session {
            Some(session) => format!("session-{session}").into_bytes(),
            None => format!("request-{}", self.id).into_bytes(),
        }
    }
}

/// Response of an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Response {
    /// Time to the first byte.
    pub time: Duration,
    pub failed: bool,
    /// Whether the new version's fault delayed it.
    pub slowed: bool,
}

/// Requests that a session sends on average.
const SESSION_REQUESTS: f64 = 10.0;

/// Sessions that are live at once, per request a second: each sends a request every two seconds on average.
const SESSIONS_PER_RATE: f64 = 2.0;

/// Sessions of a service.
#[derive(Debug)]
pub(super) struct Sessions {
    live: Vec<u64>,
    next: u64,
}

impl Sessions {
    pub(super) fn new(rate: f64) -> Self {
        let next = ((rate * SESSIONS_PER_RATE) as u64).max(1);
        Self {
            live: (0..next).collect(),
            next,
        }
    }

    /// The session of the next request.
    fn draw(&mut self, rng: &mut SmallRng) -> u64 {
        let idx = rng.random_range(0..self.live.len());
        let session = self.live[idx];
        if rng.random::<f64>() < 1.0 / SESSION_REQUESTS {
            self.live[idx] = self.next;
            self.next += 1;
        }
        session
    }
}

impl Service {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Model => "model",
        }
    }

    /// Names of the routes.
    pub(super) fn routes(self) -> &'static [&'static str] {
        match self {
            Self::Plain => &["orders", "stock"],
            Self::Model => &["chat", "summary", "code"],
        }
    }

    pub(super) fn request(self, id: u64, sessions: &mut Sessions, rng: &mut SmallRng) -> Request {
        let route = rng.random_range(0..self.routes().len());
        match self {
            Self::Plain => Request {
                id,
                session: None,
                route,
                prompt_tokens: 0,
            },
            Self::Model => Request {
                id,
                session: Some(sessions.draw(rng)),
                route,
                prompt_tokens: (600.0 * log_normal(1.0, rng)) as u64,
            },
        }
    }

    /// The response to a request that is sent `since_order` after the order.
    pub(super) fn respond(
        self,
        request: &Request,
        arm: Arm,
        quality: Quality,
        since_order: Duration,
        rng: &mut SmallRng,
    ) -> Response {
        let mut time = self.usual_time(request, rng);
        let own_failures = match (self, request.route) {
            (Self::Plain, 0) => 0.14,
            (Self::Plain, _) => 0.004,
            (Self::Model, _) => 0.005,
        };
        // Drawn for both versions, so that a seed has the same requests whatever they are assigned.
        let [own, grey, fault]: [f64; 3] = std::array::from_fn(|_| rng.random());
        let engine = rng.random_range(0..ENGINES);
        let mut failed = own < own_failures;
        let mut slowed = false;
        if arm == Arm::New {
            let is_last_route = request.route + 1 == self.routes().len();
            let is_peak = since_order.as_secs_f64() % LOAD_PERIOD >= LOAD_PERIOD * 2.0 / 3.0;
            let (failing, slow_factor) = match quality {
                Quality::Good => (0.0, None),
                Quality::GreyEngine => (
                    if engine == 0 && grey < GREY_FAILURES {
                        1.0
                    } else {
                        0.0
                    },
                    None,
                ),
                Quality::Failing(share) => (share, None),
                Quality::OneRoute => (if is_last_route { BAD_SHARE } else { 0.0 }, None),
                Quality::Late => (if since_order >= LATE_START { BAD_SHARE } else { 0.0 }, None),
                Quality::Slow(factor) => (0.0, Some(factor)),
                Quality::SlowUnderLoad(factor) => (0.0, is_peak.then_some(factor)),
            };
            failed |= fault < failing;
            if let Some(factor) = slow_factor
                && fault < BAD_SHARE
            {
                slowed = true;
                time *= factor;
            }
        }
        Response {
            time: Duration::from_secs_f64(time),
            failed,
            slowed,
        }
    }

    /// Seconds to the first byte of a version without a fault.
    fn usual_time(self, request: &Request, rng: &mut SmallRng) -> f64 {
        match self {
            Self::Plain => {
                let tail = if rng.random::<f64>() < 0.01 { 5.0 } else { 1.0 };
                0.03 * log_normal(0.5, rng) * tail
            }
            Self::Model => {
                let prefill = 0.04 + request.prompt_tokens as f64 / 8000.0;
                let queue = if rng.random::<f64>() < 0.4 {
                    exponential(0.25, rng)
                } else {
                    0.0
                };
                prefill * log_normal(0.25, rng) + queue
            }
        }
    }
}

/// A log-normal value with median 1.
fn log_normal(spread: f64, rng: &mut SmallRng) -> f64 {
    let (radius, angle): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - radius).ln()).sqrt() * (std::f64::consts::TAU * angle).cos();
    (spread * normal).exp()
}

/// An exponential value.
pub(super) fn exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() * mean
}
