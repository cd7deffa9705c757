//! What this node's requests hold at one engine.

use std::collections::HashMap;

use super::Footprint;

/// Tokens that this node's requests hold at one run of an engine.
#[derive(Debug, Clone, Default)]
pub(crate) struct Held {
    pub requests: u32,
    pub tokens: u64,
    /// Shared prompt parts by key, with the number of requests that hold them and the tokens that they count.
    parts: HashMap<u64, (u32, u64)>,
}

impl Held {
    /// Counts a request.
    pub(crate) fn add(&mut self, footprint: &Footprint) {
        self.requests += 1;
        self.tokens = self.tokens.saturating_add(footprint.own);
        for (key, tokens) in &footprint.parts {
            // Another request may have stated another number of tokens for the part; the first one counts.
            let part = self.parts.entry(*key).or_insert((0, *tokens));
            part.0 += 1;
            if part.0 == 1 {
                self.tokens = self.tokens.saturating_add(part.1);
            }
        }
    }

    /// Counts the end of a request that was added.
    pub(crate) fn remove(&mut self, footprint: &Footprint) {
        self.requests = self.requests.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(footprint.own);
        for (key, _) in &footprint.parts {
            let Some(part) = self.parts.get_mut(key) else {
                continue;
            };
            part.0 -= 1;
            if part.0 == 0 {
                self.tokens = self.tokens.saturating_sub(part.1);
                self.parts.remove(key);
            }
        }
    }

    /// Tokens of a request's prompt parts that requests of this node hold already.
    pub(crate) fn shared_with(&self, footprint: &Footprint) -> u64 {
        if self.parts.is_empty() {
            return 0;
        }
        let held = footprint.parts.iter().filter_map(|it| self.parts.get(&it.0));
        held.map(|it| it.1).sum::<u64>().min(footprint.tokens())
    }
}
