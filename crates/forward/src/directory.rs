//! Engines as the platform's registry lists them.
//!
//! An entry that disappears normally ends the use of its engine at once. While the registry cannot be read, entries
//! lapse because engines cannot renew them; such an entry counts as removed only if it is still missing
//! [`SETTLE`] after the registry returned.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::{Domain, Name, Upstream};

use crate::Moment;

/// Time after the return of the registry within which living engines renew lapsed entries; stated by the platform.
pub const SETTLE: Duration = Duration::from_secs(2);

/// One run of an engine or an instance of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Name, which may be used again by a later run.
    pub id: Upstream,
    /// Start of the run in milliseconds of the engine's clock; together with the name it identifies the run.
    pub born: u64,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it takes requests; may be used again by an engine of another service.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Version of its software or weights.
    pub version: Name,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Whether it is about to stop.
    pub draining: bool,
}

#[derive(Debug, Clone)]
struct Listed {
    engine: Arc<Engine>,
    /// Set while the entry is missing and may still return.
    missing: bool,
}

/// All engines that the node knows.
#[derive(Debug, Clone)]
pub struct Directory {
    listed: BTreeMap<Upstream, Listed>,
    /// Time without a reading after which entries may have lapsed because engines could not renew them.
    outage: Duration,
    last_read: Option<Moment>,
    /// Until when entries that lapsed during an interruption may return.
    settling: Option<Moment>,
    /// When an engine was last taken for gone before the registry said so.
    forgotten: Option<Moment>,
}

impl Directory {
    /// An empty directory; `outage` is the time without a reading after which entries may have lapsed only because
    /// engines could not renew them.
    pub fn new(outage: Duration) -> Self {
        Self {
            listed: BTreeMap::new(),
            outage,
            last_read: None,
            settling: None,
            forgotten: None,
        }
    }

    /// Applies a change of one entry; `None` if it was removed or cannot be read.
    ///
    /// Returns whether the entry's engine changed in more than its sequence number.
    pub fn apply(&mut self, id: &Upstream, engine: Option<Engine>, now: Moment) -> bool {
        match engine {
            Some(engine) => self.insert(id, engine),
            None => self.remove(id, now),
        }
    }

    /// Replaces everything by a complete list.
    pub fn replace(&mut self, engines: Vec<Engine>, now: Moment) {
        let gone: Vec<_> = self.listed.keys().cloned().collect();
        let kept: Vec<_> = engines.iter().map(|it| it.id.clone()).collect();
        for id in gone.iter().filter(|it| !kept.contains(it)) {
            self.remove(id, now);
        }
        for engine in engines {
            let id = engine.id.clone();
            self.insert(&id, engine);
        }
    }

    /// Notes that the registry was read, before the changes of that reading are applied.
    pub fn resume(&mut self, now: Moment) {
        let gap = self.last_read.map(|it| now.saturating_sub(it));
        // A reading that another node passes on may be older than the own one before it.
        self.last_read = self.last_read.max(Some(now));
        if gap.is_some_and(|it| it > self.outage) {
            self.settling = Some(now + SETTLE);
        }
        if self.settling.is_some_and(|it| it <= now) {
            self.settling = None;
            self.listed.retain(|_, it| !it.missing);
        }
    }

    /// Engines of a service that may get new work.
    pub fn available(&self, service: &str, now: Moment) -> impl Iterator<Item = &Arc<Engine>> {
        let settled = self.settling.is_none_or(|it| it <= now);
        self.listed
            .values()
            .filter(move |it| !(it.engine.draining || settled && it.missing))
            .map(|it| &it.engine)
            .filter(move |it| *it.service == *service)
    }

    /// An engine by its name.
    pub fn engine(&self, id: &str) -> Option<&Arc<Engine>> {
        self.listed.get(id).map(|it| &it.engine)
    }

    /// All engines, those that drain or are missing included.
    pub fn engines(&self) -> impl Iterator<Item = &Arc<Engine>> {
        self.listed.values().map(|it| &it.engine)
    }

    /// Ends the use of one run of an engine, which proved to be gone.
    pub fn forget(&mut self, id: &str, born: u64, now: Moment) {
        if self.listed.get(id).is_some_and(|it| it.engine.born == born) {
            self.listed.remove(id);
            self.forgotten = Some(now);
        }
    }

    /// Whether an engine was taken for gone less than `time` ago.
    pub fn has_forgotten(&self, now: Moment, time: Duration) -> bool {
        self.forgotten.is_some_and(|it| now.saturating_sub(it) < time)
    }

    fn insert(&mut self, id: &Upstream, engine: Engine) -> bool {
        let before = self.listed.get(id);
        // A late record of an earlier run must not replace the present one, nor take back that it drains.
        if before.is_some_and(|it| engine.born < it.engine.born) {
            return false;
        }
        let changed = before.is_none_or(|it| it.missing || *it.engine != engine);
        if changed {
            let listed = Listed {
                engine: Arc::new(engine),
                missing: false,
            };
            self.listed.insert(id.clone(), listed);
        }
        changed
    }

    fn remove(&mut self, id: &Upstream, now: Moment) -> bool {
        let may_return = self.settling.is_some_and(|it| now < it);
        match self.listed.get_mut(id) {
            Some(it) if may_return && !it.engine.draining => {
                it.missing = true;
                true
            }
            Some(_) => self.listed.remove(id).is_some(),
            None => false,
        }
    }
}
