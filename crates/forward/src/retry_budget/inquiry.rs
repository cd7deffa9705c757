use std::ops::RangeInclusive;
use std::time::Duration;

use rand::Rng;

use crate::BootTime;

/// Questions of a node whose part of a budget is used up to other nodes.
#[derive(Debug, Clone, Default)]
pub struct Inquiry {
    open: u32,
    denied_until: BootTime,
}

impl Inquiry {
    /// Questions at the same time.
    const MAX_OPEN: u32 = 4;

    /// Time without a question after a denial. If the whole fleet is short, each node asks in vain a few times a second.
    const PAUSE_MS: RangeInclusive<u64> = 100..=300;

    /// Begins a question if it is worth one.
    pub fn try_begin(&mut self, now: BootTime) -> bool {
        let may_ask = self.open < Self::MAX_OPEN && now >= self.denied_until;
        self.open += u32::from(may_ask);
        may_ask
    }

    /// Ends a question.
    pub fn end(&mut self, is_granted: bool, now: BootTime, rng: &mut impl Rng) {
        self.open = self.open.saturating_sub(1);
        if !is_granted {
            let pause = rng.random_range(Self::PAUSE_MS);
            self.denied_until = now + Duration::from_millis(pause);
        }
    }
}
