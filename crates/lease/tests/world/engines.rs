//! Engines, and the orders in flight to them.

use std::collections::BTreeSet;
use std::time::Duration;

use lease::Token;
use model::Name;
use rand::Rng;

use super::schedule::Kind;
use super::{Engine, FAULT_PERIOD, Mutant, Order, Violation, WANTED_CHANGE_INTERVAL, World};

impl World {
    pub(super) fn send(&mut self, node: usize, engine: &str, lease: Token, versions: BTreeSet<Name>) {
        let late = self.active(Kind::LateOrders, None);
        let max_delay_ms = if late { 30_000 } else { 1900 };
        let at = self.now + Duration::from_millis(self.rng.random_range(10..max_delay_ms));
        let newest = self.nodes[node].table.grant("gpu").map_or(0, |it| it.token);
        let order = Order {
            node,
            engine: self
                .engines
                .iter()
                .position(|it| *it.name == *engine)
                .unwrap_or_default(),
            lease,
            token: if self.mutant == Mutant::NewestToken {
                newest
            } else {
                lease
            },
            versions,
            late,
        };
        self.nodes[node]
            .ordered
            .insert(engine.into(), order.versions.clone());
        self.serial += 1;
        self.orders.insert((at, self.serial), order);
    }

    pub(super) fn deliver_orders(&mut self) -> Result<(), Violation> {
        let later = self.orders.split_off(&(self.now, u64::MAX));
        for order in std::mem::replace(&mut self.orders, later).into_values() {
            self.check_delivery(&order)?;
            let engine = &mut self.engines[order.engine];
            if engine.checks_tokens && order.token < engine.newest_token {
                self.nodes[order.node].holder.fenced(order.token);
                continue;
            }
            if engine.checks_tokens && order.lease < engine.executed_lease {
                return Err(Violation::Fencing);
            }
            engine.newest_token = engine.newest_token.max(order.token);
            engine.executed_lease = order.lease;
            engine.versions = order.versions;
            if order.late {
                engine.wrong_since = None;
            }
        }
        Ok(())
    }

    pub(super) fn wanted(&self) -> BTreeSet<Name> {
        // The last change is at 90 s, near the end of the faults, so that the correction of all their effects
        // is checked.
        let generation = self.now.min(FAULT_PERIOD).as_secs() / WANTED_CHANGE_INTERVAL.as_secs();
        BTreeSet::from([format!("v{generation}").into()])
    }
}

pub fn engine(number: usize) -> Engine {
    Engine {
        name: format!("e{number}").into(),
        checks_tokens: number < 2,
        newest_token: 0,
        versions: BTreeSet::new(),
        executed_lease: 0,
        wrong_since: None,
    }
}
