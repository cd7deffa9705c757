//! The operators' configuration as the request path reads it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use model::Name;
use model::object::service::Repeat;
use rand::Rng;

/// How a route's requests are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// One answer with a bounded body.
    Call(Repeat),
    /// A series of events; one that is not resumable must not run twice.
    Stream {
        /// Whether another engine can continue the stream after a given event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may be sent again after it may have run.
    pub fn repeat(self) -> Repeat {
        match self {
            Self::Call(repeat) => repeat,
            Self::Stream { resumable: true } => Repeat::Idempotent,
            Self::Stream { resumable: false } => Repeat::NonIdempotent,
        }
    }
}

/// Where requests with a common host and path prefix go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Host name that callers ask for.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// How requests are answered.
    pub kind: Kind,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, has its full worth.
    pub goal: Duration,
    /// Longest pause between two events for which a stream is on time.
    pub pause: Option<Duration>,
    /// Greatest number of engines on which one request may run.
    pub attempts: u32,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Models that may answer, the smallest first; empty if the caller names the model.
    pub models: Vec<Name>,
    /// Services with their shares.
    pub split: Vec<(Name, u32)>,
}

impl Route {
    /// Draws the service for one request by the shares of the split.
    pub fn service(&self, rng: &mut impl Rng) -> Option<&Name> {
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
    /// Greatest number of connections that one engine accepts from all nodes together.
    pub max_connections: u32,
    /// Price of each model per 1,000 generated tokens.
    pub model_costs: HashMap<Name, f64>,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time to send a head.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// An organisation that holds keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Unique name.
    pub name: Name,
    /// Rank that takes precedence over the route's.
    pub priority: Option<u8>,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Increases with each change, in uneven steps.
    pub version: u64,
    /// Limits towards callers.
    pub limits: Limits,
    services: BTreeMap<Name, Service>,
    /// Routes of each host, those with the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Holder of each key; absent if requests carry no keys.
    keys: Option<HashMap<String, Arc<Organisation>>>,
}

impl Configuration {
    /// Indexes a configuration.
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
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        Self {
            version,
            limits,
            services: services.into_iter().map(|it| (it.name.clone(), it)).collect(),
            routes: by_host,
            keys,
        }
    }

    /// The route of the longest prefix that begins `path`, among those of `host`, a host name without a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.routes.get(host) {
            Some(it) => it,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|it| path.starts_with(&it.prefix))
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

    /// A service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}
