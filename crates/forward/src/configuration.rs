//! The operators' configuration, indexed for the request path.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use model::Name;
use model::object::service::Repeat;
use rand::Rng;

use crate::warm_up::Terms;

/// How the requests of a route are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// One response with a bounded body.
    Call(Repeat),
    /// A stream of events; one that is not resumable must not run twice.
    Stream {
        /// Whether another engine can resume the stream after a given event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub fn repeat(self) -> Repeat {
        match self {
            Self::Call(repeat) => repeat,
            Self::Stream { resumable: true } => Repeat::Idempotent,
            Self::Stream { resumable: false } => Repeat::NonIdempotent,
        }
    }
}

/// Target of the requests with a common host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Host name in the requests.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// How requests are answered.
    pub kind: RouteKind,
    /// Maximum time until a caller gets a response.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, has its full value to the caller.
    pub latency_goal: Duration,
    /// Maximum time between two events for which a stream counts as on time.
    pub max_event_gap: Option<Duration>,
    /// Maximum number of engines on which one request may run.
    pub max_attempts: u32,
    /// Priority among routes; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Models that may serve requests, the smallest first; empty if the caller names the model.
    pub models: Vec<Name>,
    /// Services with their shares of the requests.
    pub split: Vec<(Name, u32)>,
}

impl Route {
    /// Picks the service for one request at random, weighted by the shares of the split.
    pub fn choose_service(&self, rng: &mut impl Rng) -> Option<&Name> {
        let total: u32 = self.split.iter().map(|it| it.1).sum();
        let [first, rest @ ..] = &self.split[..] else {
            return None;
        };
        if rest.is_empty() || total == 0 {
            return Some(&first.0);
        }
        let mut drawn = rng.random_range(0..total);
        for (service, share) in &self.split {
            if drawn < *share {
                return Some(service);
            }
            drawn -= share;
        }
        None
    }
}

/// A service that engines belong to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: Name,
    /// Maximum number of connections that one engine accepts from all nodes together.
    pub max_connections: u32,
    /// Price of each model per 1,000 generated tokens.
    pub model_costs: HashMap<Name, f64>,
    /// What its engines tolerate while they are cold; `None` if they never are.
    pub warm_up: Option<Terms>,
    /// Tokens that requests may hold at one engine; `None` if the configuration does not state it.
    pub engine_tokens: Option<u64>,
}

impl Service {
    /// Whether nodes tell each other the loads of its engines even if these state no work factor: engines that start cold
    /// must not get the requests of all nodes that take them for idle.
    pub fn shares_load(&self) -> bool {
        self.warm_up.is_some()
    }
}

/// Limits on the size and the duration of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the request line and headers.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Time within which the request line and headers must arrive.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

/// An organisation that holds keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Unique name.
    pub name: Name,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Increases with each change, not necessarily by one.
    pub version: u64,
    /// Limits for callers.
    pub limits: Limits,
    services: BTreeMap<Name, Service>,
    /// Routes of each host, the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Organisation of each key; absent if requests carry no keys.
    keys: Option<HashMap<String, Arc<Organisation>>>,
}

impl Configuration {
    /// Builds the indexes of a configuration.
    pub fn new(
        version: u64,
        limits: Limits,
        services: Vec<Service>,
        routes: Vec<Route>,
        keys: Option<HashMap<String, Arc<Organisation>>>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
        }
        Self {
            version,
            limits,
            services: services.into_iter().map(|it| (it.name.clone(), it)).collect(),
            routes: by_host,
            keys,
        }
    }

    /// The route of `host`, a host name without a port, with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.routes.get(host) {
            Some(it) => it,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|it| path.starts_with(&it.path_prefix))
    }

    /// Path prefixes of the routes of `host`, the longest first; empty if there are none.
    pub fn path_prefixes(&self, host: &str) -> impl Iterator<Item = &str> {
        let routes = self.routes.get(&host.to_ascii_lowercase());
        routes.into_iter().flatten().map(|it| &*it.path_prefix)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether requests on routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.as_ref()?.get(key)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// A service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}
