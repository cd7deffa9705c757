//! Newer versions of the configuration that other nodes state.
//!
//! While a version spreads, some nodes have it before others, which find it with their next read. A store that came back
//! from an older copy may lack it. That shows when a read that was made after another node has stated the version does
//! not have it.

use crate::BootTime;

/// How the version of this node compares with those that others state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// No other node states a newer one.
    Newest,
    /// Others have a newer one, which the next read should have.
    Behind,
    /// The store lacks a version that others have.
    Lost,
}

/// A newer version that this node has not read yet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Successor {
    /// The version, and when this node learned of it.
    awaited: Option<(u64, BootTime)>,
}

impl Successor {
    /// Compares this node's `own` version, all that the store had at the time `read_at`, with the newest that others
    /// state.
    pub fn standing(&mut self, own: u64, stated: u64, read_at: BootTime, now: BootTime) -> Standing {
        if stated <= own {
            self.awaited = None;
            return Standing::Newest;
        }
        let awaited = self.awaited.filter(|it| own < it.0);
        let (_, known_since) = *self.awaited.insert(awaited.unwrap_or((stated, now)));
        match known_since < read_at {
            true => Standing::Lost,
            false => Standing::Behind,
        }
    }
}
