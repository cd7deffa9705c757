//! Upstreams by pool, read from the host list, and the choice among them.
//!
//! The set of pools is replaced as a whole, so that a request takes the lock only to copy a pointer. What a node
//! learns itself about an upstream (work under way, failures, its own leaving refusal) survives a replacement.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use model::{Domain, Name};
use platform::hosts::{Entry, State};
use rand::Rng;
use rand::rngs::SmallRng;

/// Time for which a failing upstream receives no work while others are available.
const EJECTION: Duration = Duration::from_secs(2);

type Pools = BTreeMap<Name, Vec<Arc<Upstream>>>;

/// An upstream as this node sees it.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Name.
    pub name: model::Upstream,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    leaving: AtomicBool,
    under_way: AtomicU32,
    /// End of its ejection in milliseconds since the node's start.
    ejected_until: AtomicU64,
}

impl Upstream {
    fn new(entry: &Entry) -> Self {
        Self {
            name: entry.name.clone(),
            address: entry.address,
            domain: entry.domain.clone(),
            leaving: AtomicBool::new(false),
            under_way: AtomicU32::new(0),
            ejected_until: AtomicU64::new(0),
        }
    }

    /// Excludes the upstream from now on; its own refusal is a sign that counts before the host list's.
    pub(crate) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Avoids the upstream for [`EJECTION`].
    pub(crate) fn eject(&self, now: Duration) {
        self.ejected_until
            .store(millis(now + EJECTION), Ordering::Relaxed);
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    fn is_ejected(&self, now: Duration) -> bool {
        millis(now) < self.ejected_until.load(Ordering::Relaxed)
    }
}

/// Counts one request as under way on an upstream until it is dropped.
#[derive(Debug)]
pub(crate) struct Assignment {
    /// The chosen upstream.
    pub upstream: Arc<Upstream>,
}

impl Assignment {
    fn new(upstream: Arc<Upstream>) -> Self {
        upstream.under_way.fetch_add(1, Ordering::Relaxed);
        Self { upstream }
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        self.upstream.under_way.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All upstreams that the host list names.
#[derive(Debug)]
pub(crate) struct Directory {
    domain: Domain,
    pools: Mutex<Arc<Pools>>,
}

impl Directory {
    /// An empty directory of a node in `domain`.
    pub(crate) fn new(domain: Domain) -> Self {
        Self {
            domain,
            pools: Mutex::default(),
        }
    }

    /// Takes over a new host list.
    pub(crate) fn update(&self, entries: &[Entry]) {
        let old = self.pools();
        let mut new = Pools::new();
        for entry in entries {
            let known = old.get(&entry.pool).and_then(|pool| {
                pool.iter()
                    .find(|it| it.name == entry.name && it.address == entry.address)
            });
            let upstream = known.cloned().unwrap_or_else(|| Arc::new(Upstream::new(entry)));
            if entry.state == State::Leaving {
                upstream.set_leaving();
            }
            new.entry(entry.pool.clone()).or_default().push(upstream);
        }
        *self.pools.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(new);
    }

    /// The available upstream of `pool` with the least work, except those in `tried`.
    ///
    /// Ejected ones come last; of equally loaded ones, those in the node's own failure domain come first.
    pub(crate) fn choose(
        &self,
        pool: &Name,
        tried: &[model::Upstream],
        now: Duration,
        rng: &mut SmallRng,
    ) -> Option<Assignment> {
        let pools = self.pools();
        pools
            .get(pool)?
            .iter()
            .filter(|it| !it.is_leaving() && !tried.contains(&it.name))
            .min_by_key(|it| {
                let under_way = it.under_way.load(Ordering::Relaxed);
                let remote = it.domain != self.domain;
                (it.is_ejected(now), under_way, remote, rng.random::<u32>())
            })
            .cloned()
            .map(Assignment::new)
    }

    /// Whether a host list was ever read.
    pub(crate) fn is_known(&self) -> bool {
        !self.pools().is_empty()
    }

    /// Number of available upstreams of each pool.
    pub(crate) fn available(&self) -> BTreeMap<Name, usize> {
        let count = |pool: &Vec<Arc<Upstream>>| pool.iter().filter(|it| !it.is_leaving()).count();
        self.pools()
            .iter()
            .map(|(name, pool)| (name.clone(), count(pool)))
            .collect()
    }

    fn pools(&self) -> Arc<Pools> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
