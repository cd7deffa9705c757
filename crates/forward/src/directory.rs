//! Engines listed in the platform's registry.
//!
//! Normally an engine is no longer used as soon as its entry disappears. During an outage of the registry,
//! entries expire because engines cannot renew them; such an entry counts as removed only if it is still
//! missing [`RENEWAL_GRACE`] after the registry is available again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::{Domain, Name, Upstream};

use crate::BootTime;

/// Time after an outage of the registry within which running engines renew expired entries; specified by the
/// platform.
pub const RENEWAL_GRACE: Duration = Duration::from_secs(2);

/// Time for which engines that left are remembered; a registry comes back from a copy that is some seconds old.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// One run of an engine or of an instance of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Name, which a later run may reuse.
    pub id: Upstream,
    /// Start of the run in milliseconds of the engine's clock; identifies the run together with the name.
    pub started_ms: u64,
    /// Service that it belongs to.
    pub service: Name,
    /// Address for requests; an engine of another service may reuse it.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Version of the software or the model weights.
    pub version: Name,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is about to stop and takes no new requests.
    pub draining: bool,
    /// Time for which it was still cold when its entry was read; zero if it was not.
    pub cold_left: Duration,
}

#[derive(Debug, Clone)]
struct Entry {
    engine: Arc<Engine>,
    /// Whether the entry is missing from the registry but may still be renewed.
    missing: bool,
}

/// All engines known to the node.
#[derive(Debug, Clone)]
pub struct Directory {
    entries: BTreeMap<Upstream, Entry>,
    /// Time without a read of the registry after which entries may have expired because engines could not
    /// renew them.
    outage_threshold: Duration,
    last_read: Option<BootTime>,
    /// End of the time in which entries that expired during an outage may be renewed.
    grace_end: Option<BootTime>,
    /// When an engine was last evicted before the registry removed its entry.
    last_eviction: Option<BootTime>,
    /// Runs of engines that left, with the time.
    departed: BTreeMap<Upstream, (u64, BootTime)>,
}

impl Directory {
    /// An empty directory; `outage_threshold` is the time without a read of the registry after which entries
    /// may have expired only because engines could not renew them.
    pub fn new(outage_threshold: Duration) -> Self {
        Self {
            entries: BTreeMap::new(),
            outage_threshold,
            last_read: None,
            grace_end: None,
            last_eviction: None,
            departed: BTreeMap::new(),
        }
    }

    /// Applies a change of one entry; `None` if it was removed or cannot be decoded.
    ///
    /// Returns whether anything about the engine changed other than the sequence number of its entry.
    pub fn apply(&mut self, id: &Upstream, engine: Option<Engine>, now: BootTime) -> bool {
        match engine {
            Some(engine) => self.insert(id, engine),
            None => self.remove(id, now),
        }
    }

    /// Replaces all entries by a complete list.
    ///
    /// Returns the engines of which another node that knew the same may have something else now: those that changed, and
    /// those that left and are not listed.
    pub fn replace(&mut self, engines: Vec<Engine>, now: BootTime) -> Vec<Upstream> {
        let known: Vec<_> = self.entries.keys().cloned().collect();
        let listed: Vec<_> = engines.iter().map(|it| it.id.clone()).collect();
        for id in known.iter().filter(|it| !listed.contains(it)) {
            self.remove(id, now);
        }
        let mut changed: Vec<_> = self.departed.keys().cloned().collect();
        changed.extend(known);
        changed.retain(|it| !listed.contains(it));
        for engine in engines {
            let id = engine.id.clone();
            if self.insert(&id, engine) {
                changed.push(id);
            }
        }
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// Replaces all entries by a list from a registry that came back from an older copy.
    ///
    /// Engines that the copy lacks renew their entries as after an outage. Entries of engines that have left since the
    /// copy was made are ignored; one that runs after all writes its entry again.
    pub fn restore(&mut self, engines: Vec<Engine>, now: BootTime) {
        self.grace_end = Some(now + RENEWAL_GRACE);
        let departed = std::mem::take(&mut self.departed);
        let has_departed = |it: &Engine| departed.get(&it.id).is_some_and(|left| left.0 == it.started_ms);
        let present = engines.into_iter().filter(|it| !has_departed(it));
        self.replace(present.collect(), now);
        self.departed.extend(departed);
    }

    /// Records that the registry was read; called before the changes of that read are applied.
    pub fn record_read(&mut self, now: BootTime) {
        let gap = self.last_read.map(|it| now.saturating_sub(it));
        // Data relayed by another node may be older than the last read of this node.
        self.last_read = self.last_read.max(Some(now));
        if gap.is_some_and(|it| it > self.outage_threshold) {
            self.grace_end = Some(now + RENEWAL_GRACE);
        }
        if self.grace_end.is_some_and(|it| it <= now) {
            self.grace_end = None;
            self.entries.retain(|_, it| !it.missing);
        }
    }

    /// Engines of a service that may get new requests.
    pub fn available(&self, service: &str, now: BootTime) -> impl Iterator<Item = &Arc<Engine>> {
        self.entries
            .values()
            .filter(move |it| self.takes_requests(it, now))
            .map(|it| &it.engine)
            .filter(move |it| *it.service == *service)
    }

    /// Whether the run of an engine may get new requests.
    pub fn is_available(&self, engine: &Engine, now: BootTime) -> bool {
        let entry = self.entries.get(&engine.id);
        let entry = entry.filter(|it| it.engine.started_ms == engine.started_ms);
        entry.is_some_and(|it| self.takes_requests(it, now))
    }

    fn takes_requests(&self, entry: &Entry, now: BootTime) -> bool {
        let grace_is_over = self.grace_end.is_none_or(|it| it <= now);
        !(entry.engine.draining || grace_is_over && entry.missing)
    }

    /// An engine by its name.
    pub fn engine(&self, id: &str) -> Option<&Arc<Engine>> {
        self.entries.get(id).map(|it| &it.engine)
    }

    /// An engine by its name unless its entry is missing from the registry.
    pub fn listed(&self, id: &str) -> Option<&Arc<Engine>> {
        let entry = self.entries.get(id).filter(|it| !it.missing);
        entry.map(|it| &it.engine)
    }

    /// All engines, including those that drain or are missing.
    pub fn engines(&self) -> impl Iterator<Item = &Arc<Engine>> {
        self.entries.values().map(|it| &it.engine)
    }

    /// Removes one run of an engine that proved to be gone, before the registry does.
    pub fn evict(&mut self, id: &str, started_ms: u64, now: BootTime) {
        if self
            .entries
            .get(id)
            .is_some_and(|it| it.engine.started_ms == started_ms)
        {
            self.entries.remove(id);
            self.last_eviction = Some(now);
            self.record_departure(id.into(), started_ms, now);
        }
    }

    /// Whether an engine was evicted less than `time` ago.
    pub fn has_evicted_within(&self, now: BootTime, time: Duration) -> bool {
        self.last_eviction.is_some_and(|it| now.saturating_sub(it) < time)
    }

    fn insert(&mut self, id: &Upstream, engine: Engine) -> bool {
        let known = self.entries.get(id);
        // A late record of an earlier run must not replace the current one, nor undo its draining.
        if known.is_some_and(|it| engine.started_ms < it.engine.started_ms) {
            return false;
        }
        // An engine that drains does not return; only an older copy of its entry says so.
        let drains = known.is_some_and(|it| it.engine.draining && it.engine.started_ms == engine.started_ms);
        let engine = Engine {
            draining: engine.draining || drains,
            ..engine
        };
        let changed = known.is_none_or(|it| it.missing || *it.engine != engine);
        if changed {
            let entry = Entry {
                engine: Arc::new(engine),
                missing: false,
            };
            self.entries.insert(id.clone(), entry);
        }
        changed
    }

    fn remove(&mut self, id: &Upstream, now: BootTime) -> bool {
        let may_be_renewed = self.grace_end.is_some_and(|it| now < it);
        match self.entries.get_mut(id) {
            Some(it) if may_be_renewed && !it.engine.draining => {
                it.missing = true;
                true
            }
            Some(it) => {
                let started_ms = it.engine.started_ms;
                self.entries.remove(id);
                self.record_departure(id.clone(), started_ms, now);
                true
            }
            None => false,
        }
    }

    fn record_departure(&mut self, id: Upstream, started_ms: u64, now: BootTime) {
        self.departed
            .retain(|_, it| now.saturating_sub(it.1) < DEPARTURE_RETENTION);
        self.departed.insert(id, (started_ms, now));
    }
}
