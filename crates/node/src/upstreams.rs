//! Pools of upstreams: one [`Group`] for each pool of the configuration, fed from the host list.
//!
//! The table of groups is replaced as a whole, so that a request takes the lock only to copy a pointer.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use config::view::View;
use model::object::pool::Role;
use model::{Name, Tokens};
use policy::pool::{Host, HostState, Settings};
use policy::subsetting::DomainMember;
use ports::hosts::{Entry, State};

pub(crate) mod call;
pub(crate) mod group;
pub(crate) mod outcome;

use group::Group;

/// Pool of the entry hosts in the host list.
const ENTRY_POOL: &str = "entry";

/// Interval at which an unchanged list is applied again, because a leaving sign that the list contradicts expires.
/// The choice of the subset takes time in proportion to the fleet, so it is not repeated at each read of the list.
const REFRESH: Duration = Duration::from_secs(20);

/// Prefix blocks that all pools of engines index together. A block takes about 75 bytes, so these take 30 MB of the
/// 128 MB that a node may use for control.
pub const INDEX_BLOCKS: usize = 400_000;

type Groups = HashMap<Name, Arc<Group>>;

/// Groups and the host list that they were built from.
#[derive(Debug, Default)]
struct Known {
    groups: Arc<Groups>,
    entries: Arc<Vec<Entry>>,
    applied: Option<Instant>,
}

/// All pools that the configuration names.
#[derive(Debug)]
pub(crate) struct Directory {
    node: DomainMember<Name>,
    block_tokens: Tokens,
    start: Instant,
    known: Mutex<Known>,
}

impl Directory {
    /// An empty directory; `start` is the zero of the node's clock.
    pub(crate) fn new(node: DomainMember<Name>, block_tokens: Tokens, start: Instant) -> Self {
        Self {
            node,
            block_tokens,
            start,
            known: Mutex::default(),
        }
    }

    /// Takes over a new host list and the pools of a configuration.
    ///
    /// A group whose pool left the configuration goes on until its last request has ended.
    pub(crate) fn update(&self, entries: Vec<Entry>, view: &View) {
        let mut known = self.lock();
        let recent = known.applied.is_some_and(|it| it.elapsed() < REFRESH);
        let complete = view.pools().all(|it| known.groups.contains_key(&it.name));
        if recent && complete && *known.entries == entries {
            return;
        }
        known.applied = Some(Instant::now());
        known.entries = Arc::new(entries);
        let mut groups = Groups::clone(&known.groups);
        groups.retain(|name, group| view.pool(name).is_some() || group.open() > 0);
        for pool in view.pools() {
            let group = groups
                .entry(pool.name.clone())
                .or_insert_with(|| self.create(view, &pool.name));
            self.feed(&pool.name, group, &known.entries);
        }
        known.groups = Arc::new(groups);
    }

    /// The group of a pool; created on first use, because the configuration may be newer than the host list.
    pub(crate) fn group(&self, view: &View, pool: &Name) -> Option<Arc<Group>> {
        if let Some(group) = self.groups().get(pool) {
            return Some(Arc::clone(group));
        }
        view.pool(pool)?;
        let mut known = self.lock();
        if let Some(group) = known.groups.get(pool) {
            return Some(Arc::clone(group));
        }
        let group = self.create(view, pool);
        self.feed(pool, &group, &known.entries);
        let mut groups = Groups::clone(&known.groups);
        groups.insert(pool.clone(), Arc::clone(&group));
        known.groups = Arc::new(groups);
        Some(group)
    }

    /// All groups.
    pub(crate) fn groups(&self) -> Arc<Groups> {
        Arc::clone(&self.lock().groups)
    }

    /// Whether a host list was ever read.
    pub(crate) fn is_known(&self) -> bool {
        !self.lock().entries.is_empty()
    }

    /// Number of available upstreams of each pool.
    pub(crate) fn available(&self) -> BTreeMap<Name, usize> {
        self.groups()
            .iter()
            .map(|(name, group)| (name.clone(), group.status().engines.len()))
            .collect()
    }

    fn create(&self, view: &View, pool: &Name) -> Arc<Group> {
        let mut settings = Settings {
            block_tokens: self.block_tokens,
            ..Settings::default()
        };
        if let Some(pool) = view.pool(pool) {
            settings.initial_concurrency = pool.concurrency;
        }
        let indexed = view.pools().filter(|it| it.role == Role::Engine).count();
        settings.max_blocks = settings.max_blocks.min(INDEX_BLOCKS / indexed.max(1));
        Arc::new(Group::new(settings, self.node.clone(), self.start))
    }

    /// Hands a group its hosts and the nodes that share them.
    fn feed(&self, pool: &Name, group: &Group, entries: &[Entry]) {
        let listed = entries.iter().filter(|it| it.pool == *pool);
        let mut nodes: Vec<_> = entries
            .iter()
            .filter(|it| &*it.pool == ENTRY_POOL)
            .map(place)
            .collect();
        if !nodes.iter().any(|it| it.name == self.node.name) {
            nodes.push(self.node.clone());
        }
        let addresses = listed.clone().map(|it| (it.name.clone(), it.address));
        let hosts: Vec<_> = listed.clone().map(host).collect();
        group.hosts(addresses, &hosts, &nodes);
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn place(entry: &Entry) -> DomainMember<Name> {
    DomainMember {
        name: entry.name.clone(),
        domain: entry.domain.clone(),
    }
}

fn host(entry: &Entry) -> Host {
    Host {
        name: entry.name.clone(),
        domain: entry.domain.clone(),
        state: match entry.state {
            State::Live => HostState::Live,
            State::Leaving => HostState::Leaving,
        },
    }
}
