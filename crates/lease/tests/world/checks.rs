//! Invariants that are checked after every step.

use std::time::Duration;

use super::{Order, Violation, WANTED_CHANGE_INTERVAL, World};

/// Time within which a holder brings an engine to the wanted state: a repeated order, its delivery and
/// reservations.
const REPAIR_BOUND: Duration = Duration::from_secs(16);

impl World {
    fn holders(&self) -> Vec<usize> {
        let is_running = |it: &usize| self.nodes[*it].running && self.nodes[*it].paused_since.is_none();
        let holds_lease = |it: &usize| match self.mutant {
            super::Mutant::CachedToken => {
                let cached = self.nodes[*it].cached;
                cached.is_some_and(|cached| self.local_time(*it) < cached.1 + Duration::from_secs(20))
            }
            _ => self.nodes[*it].holder.token(self.local_time(*it)).is_some(),
        };
        (0..self.nodes.len())
            .filter(is_running)
            .filter(holds_lease)
            .collect()
    }

    pub(super) fn check_exclusivity(&self) -> Result<(), Violation> {
        if self.holders().len() > 1 {
            return Err(Violation::Exclusivity);
        }
        Ok(())
    }

    pub(super) fn check_delivery(&self, order: &Order) -> Result<(), Violation> {
        let other = self.holders().iter().any(|it| *it != order.node);
        if other && !order.late {
            return Err(Violation::Delivery);
        }
        Ok(())
    }

    /// While a node holds the lease, the effect of a late order is corrected within a bounded time.
    pub(super) fn check_repair(&mut self) -> Result<(), Violation> {
        let is_held = !self.holders().is_empty();
        let wanted = self.wanted();
        let wanted_is_stable =
            self.now.as_millis() % WANTED_CHANGE_INTERVAL.as_millis() >= REPAIR_BOUND.as_millis();
        let late = self.orders.values().any(|it| it.late);
        for engine in &mut self.engines {
            let wrong = is_held && !late && engine.versions != wanted;
            engine.wrong_since = wrong.then(|| engine.wrong_since.unwrap_or(self.now));
            let since = engine.wrong_since.unwrap_or(self.now);
            if wanted_is_stable && self.now > since + REPAIR_BOUND {
                return Err(Violation::Repair);
            }
        }
        Ok(())
    }

    pub(super) fn check_converged(&self) -> Result<(), Violation> {
        if self.holders().is_empty() {
            return Err(Violation::Liveness);
        }
        let wanted = self.wanted();
        if self.engines.iter().any(|it| it.versions != wanted) {
            return Err(Violation::Repair);
        }
        Ok(())
    }
}
