//! Communication with other nodes: membership, outgoing calls and the server for incoming calls.
//!
//! A dedicated thread handles membership datagrams. Calls run on one small asynchronous runtime; request
//! threads wait for the results, each with a deadline.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::settings::Settings;
use ledger::idempotency::EPOCH_DURATION;
use membership::{Addresses, Event, ListedState, Member, Readiness, Seed, State, Table, Version};
use model::{Incarnation, hash};
use ports::hosts::{Entry, State as HostState};
use rand::rngs::SmallRng;

pub(crate) mod auth;
mod authenticate;
pub(crate) mod client;
pub(crate) mod convert;
pub(crate) mod evidence_exchange;
pub(crate) mod gossip;
pub(crate) mod metrics;
pub(crate) mod server;

use client::Target;

/// Name of the pool of entry hosts in the host list.
const ENTRY_POOL: &str = "entry";

/// Maximum number of stored epochs. Entry answers give further members the answering node's own key prefix.
const MAX_EPOCHS: usize = 1_024;

/// This node's view of the other nodes.
#[derive(Debug)]
pub(crate) struct Peers {
    table: Mutex<Table>,
    /// Last known epoch of each member's keys, and the time at which it was received.
    epochs: Mutex<BTreeMap<Incarnation, (u32, Duration)>>,
    seeds: Vec<Seed>,
}

impl Peers {
    /// Creates the view of a starting node, which contains only the seeds from the settings.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation, rng: &mut SmallRng) -> Self {
        let node = &settings.node;
        let local = Member {
            host: node.host.clone(),
            incarnation,
            version: Version::default(),
            state: State::Alive,
            domain: node.failure_domain.clone(),
            addresses: Addresses {
                gossip: node.gossip,
                peer: node.peer,
                entry: node.entry,
            },
            revision: 0,
            revision_age: Duration::MAX,
            load: 0,
            readiness: Readiness::NotReady,
            observed_hosts: 0,
        };
        let times = membership::Settings {
            entry_lifetime: settings.stop.entry_lifetime,
            ..membership::Settings::default()
        };
        let peers = Self {
            table: Mutex::new(Table::new(times, local, Duration::ZERO, rng)),
            epochs: Mutex::default(),
            seeds: node.seeds.iter().copied().map(Seed::from_address).collect(),
        };
        peers
            .table()
            .handle(Event::Hosts(peers.seeds.clone()), Duration::ZERO, rng);
        peers
    }

    /// Locks the membership table. The lock must not be held during I/O.
    pub(crate) fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the membership table from a new host list.
    pub(crate) fn update(&self, entries: &[Entry], now: Duration, rng: &mut SmallRng) {
        let listed = entries.iter().filter(|it| &*it.pool == ENTRY_POOL).map(seed);
        let seeds = listed.chain(self.seeds.iter().cloned()).collect();
        self.table().handle(Event::Hosts(seeds), now, rng);
    }

    /// Records the epoch that a member reported.
    pub(crate) fn record_epoch(&self, incarnation: Incarnation, epoch: u32, now: Duration) {
        let mut epochs = lock(&self.epochs);
        let oldest = epochs.iter().min_by_key(|it| it.1.1).map(|it| *it.0);
        if epochs.len() >= MAX_EPOCHS
            && !epochs.contains_key(&incarnation)
            && let Some(oldest) = oldest
        {
            epochs.remove(&oldest);
        }
        epochs.insert(incarnation, (epoch, now));
    }

    /// Estimates the epoch of a member's keys; never later than the actual epoch.
    pub(crate) fn epoch(&self, incarnation: Incarnation, now: Duration) -> Option<u32> {
        let (epoch, reported) = *lock(&self.epochs).get(&incarnation)?;
        let elapsed_epochs = now.saturating_sub(reported).as_secs() / EPOCH_DURATION.as_secs();
        Some(epoch.saturating_add(u32::try_from(elapsed_epochs).ok()?))
    }

    /// Returns the target for calls to a member, unless it is dead; a suspected member may still be alive.
    pub(crate) fn target(&self, incarnation: Incarnation) -> Option<Target> {
        let table = self.table();
        let member = table.members().find(|it| it.incarnation == incarnation)?;
        (member.state != State::Dead).then(|| target(member))
    }

    /// Live members except `issuer`, in the order in which they are chosen to store its sealed table.
    pub(crate) fn table_holders(&self, issuer: Incarnation) -> Vec<Target> {
        let key = issuer.to_string();
        let table = self.table();
        let mut members: Vec<_> = table
            .members()
            .filter(|it| it.is_live() && it.incarnation != issuer)
            .collect();
        members.sort_by_cached_key(|it| {
            let rank = hash::rendezvous(&key, &it.incarnation.to_string());
            // A leaving member would lose the table when it stops, so it is chosen last.
            (it.state != State::Alive, std::cmp::Reverse(rank))
        });
        members.into_iter().map(target).collect()
    }

    /// Live members other than this node, with the ages of their revisions at `now`.
    pub(crate) fn live(&self, now: Duration) -> Vec<Member> {
        let table = self.table();
        let own = table.local().incarnation;
        let mut live = table.live(now);
        live.retain(|it| it.incarnation != own);
        live
    }

    /// Time since the last message from any other node.
    pub(crate) fn silence(&self, now: Duration) -> Option<Duration> {
        self.table().time_since_last_datagram(now)
    }
}

/// Target for calls to a member.
pub(crate) fn target(member: &Member) -> Target {
    Target {
        incarnation: member.incarnation,
        address: member.addresses.peer,
    }
}

fn seed(entry: &Entry) -> Seed {
    Seed {
        host: Some(entry.name.clone()),
        gossip: entry.address,
        listed: match entry.state {
            HostState::Live => ListedState::Live,
            HostState::Leaving => ListedState::Leaving,
        },
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
