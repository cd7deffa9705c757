//! Registry of upstream pools: one [`UpstreamPool`] per configured pool, updated from the host list.
//!
//! The pool map is copy-on-write: it is replaced as a whole, so that a request holds the lock only to clone
//! an `Arc`.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use config::view::View;
use model::object::pool::Role;
use model::{Name, Tokens};
use policy::pool::{Host, HostState, Settings};
use policy::subsetting::DomainMember;
use ports::hosts::{self, Entry};

pub(crate) mod outcome;
pub(crate) mod pending;
pub(crate) mod pool;

use pool::UpstreamPool;

/// Name under which the host list contains the entry nodes.
const ENTRY_POOL: &str = "entry";

/// Interval at which an unchanged host list is applied again, because a leaving mark that the list
/// contradicts expires. Subset selection takes time proportional to the fleet size, so it does not run at
/// every read of the list.
const REAPPLY_INTERVAL: Duration = Duration::from_secs(20);

/// Maximum number of prefix blocks indexed over all engine pools. A block takes about 75 bytes, so the index
/// takes up to 30 MB of a node's 128 MB memory budget for control data.
pub const INDEX_BLOCKS: usize = 400_000;

type Pools = HashMap<Name, Arc<UpstreamPool>>;

/// Pools and the host list that they were built from.
#[derive(Debug, Default)]
struct State {
    pools: Arc<Pools>,
    entries: Arc<Vec<Entry>>,
    applied_at: Option<Instant>,
}

/// Runtime state of all configured pools.
#[derive(Debug)]
pub(crate) struct PoolRegistry {
    node: DomainMember<Name>,
    block_tokens: Tokens,
    start: Instant,
    state: Mutex<State>,
}

impl PoolRegistry {
    /// Creates a registry without pools; `start` is the origin of the node's monotonic clock.
    pub(crate) fn new(node: DomainMember<Name>, block_tokens: Tokens, start: Instant) -> Self {
        Self {
            node,
            block_tokens,
            start,
            state: Mutex::default(),
        }
    }

    /// Applies a new host list and the pools of a configuration.
    ///
    /// A pool that was removed from the configuration stays until its last request has ended.
    pub(crate) fn update(&self, entries: Vec<Entry>, view: &View) {
        let mut state = self.lock();
        let recent = state.applied_at.is_some_and(|it| it.elapsed() < REAPPLY_INTERVAL);
        let complete = view.pools().all(|it| state.pools.contains_key(&it.name));
        if recent && complete && *state.entries == entries {
            return;
        }
        state.applied_at = Some(Instant::now());
        state.entries = Arc::new(entries);
        let mut pools = Pools::clone(&state.pools);
        pools.retain(|name, pool| view.pool(name).is_some() || pool.open_requests() > 0);
        for configured in view.pools() {
            let pool = pools
                .entry(configured.name.clone())
                .or_insert_with(|| self.create_pool(view, &configured.name));
            self.update_hosts(&configured.name, pool, &state.entries);
        }
        state.pools = Arc::new(pools);
    }

    /// Returns a configured pool, created on first use because the configuration may be newer than the host
    /// list.
    pub(crate) fn pool(&self, view: &View, name: &Name) -> Option<Arc<UpstreamPool>> {
        if let Some(pool) = self.pools().get(name) {
            return Some(Arc::clone(pool));
        }
        view.pool(name)?;
        let mut state = self.lock();
        if let Some(pool) = state.pools.get(name) {
            return Some(Arc::clone(pool));
        }
        let pool = self.create_pool(view, name);
        self.update_hosts(name, &pool, &state.entries);
        let mut pools = Pools::clone(&state.pools);
        pools.insert(name.clone(), Arc::clone(&pool));
        state.pools = Arc::new(pools);
        Some(pool)
    }

    /// Returns all pools by name.
    pub(crate) fn pools(&self) -> Arc<Pools> {
        Arc::clone(&self.lock().pools)
    }

    /// Whether the last host list read has entries; false before the first read.
    pub(crate) fn has_hosts(&self) -> bool {
        !self.lock().entries.is_empty()
    }

    /// Number of available upstreams per pool.
    pub(crate) fn available(&self) -> BTreeMap<Name, usize> {
        self.pools()
            .iter()
            .map(|(name, pool)| (name.clone(), pool.status().engines.len()))
            .collect()
    }

    fn create_pool(&self, view: &View, name: &Name) -> Arc<UpstreamPool> {
        let mut settings = Settings {
            block_tokens: self.block_tokens,
            ..Settings::default()
        };
        if let Some(pool) = view.pool(name) {
            settings.initial_concurrency = pool.concurrency;
        }
        let indexed = view.pools().filter(|it| it.role == Role::Engine).count();
        settings.max_blocks = settings.max_blocks.min(INDEX_BLOCKS / indexed.max(1));
        Arc::new(UpstreamPool::new(settings, self.node.clone(), self.start))
    }

    /// Updates a pool with its hosts and the entry nodes that share them.
    fn update_hosts(&self, name: &Name, pool: &UpstreamPool, entries: &[Entry]) {
        let listed = entries.iter().filter(|it| it.pool == *name);
        let mut nodes: Vec<_> = entries
            .iter()
            .filter(|it| &*it.pool == ENTRY_POOL)
            .map(domain_member)
            .collect();
        if !nodes.iter().any(|it| it.name == self.node.name) {
            nodes.push(self.node.clone());
        }
        let addresses = listed.clone().map(|it| (it.name.clone(), it.address));
        let hosts: Vec<_> = listed.clone().map(policy_host).collect();
        pool.update_hosts(addresses, &hosts, &nodes);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn domain_member(entry: &Entry) -> DomainMember<Name> {
    DomainMember {
        name: entry.name.clone(),
        domain: entry.domain.clone(),
    }
}

fn policy_host(entry: &Entry) -> Host {
    Host {
        name: entry.name.clone(),
        domain: entry.domain.clone(),
        state: match entry.state {
            hosts::State::Live => HostState::Live,
            hosts::State::Leaving => HostState::Leaving,
        },
    }
}
