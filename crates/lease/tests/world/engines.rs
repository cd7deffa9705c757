//! Engines, and the orders on their way to them.

use std::collections::BTreeSet;
use std::time::Duration;

use lease::Token;
use model::Name;
use rand::Rng;

use super::schedule::Kind;
use super::{ACTIVE, Engine, GENERATION, Mutant, Order, Violation, World};

impl World {
    pub(super) fn send(&mut self, node: usize, engine: &str, lease: Token, versions: BTreeSet<Name>) {
        let late = self.active(Kind::LateOrders, None);
        let greatest = if late { 30_000 } else { 1900 };
        let at = self.now + Duration::from_millis(self.rng.random_range(10..greatest));
        let newest = self.nodes[node].table.grant("gpu").map_or(0, |it| it.token);
        let order = Order {
            node,
            engine: self
                .engines
                .iter()
                .position(|it| *it.name == *engine)
                .unwrap_or_default(),
            lease,
            token: if self.mutant == Mutant::ForeignToken {
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
            if engine.checks && order.token < engine.newest {
                self.nodes[order.node].holder.fenced(order.token);
                continue;
            }
            if engine.checks && order.lease < engine.applied {
                return Err(Violation::Fencing);
            }
            engine.newest = engine.newest.max(order.token);
            engine.applied = order.lease;
            engine.versions = order.versions;
            if order.late {
                engine.wrong_since = None;
            }
        }
        Ok(())
    }

    pub(super) fn wanted(&self) -> BTreeSet<Name> {
        // The faults end before the last change, so that the repair of all of them is seen.
        let generation = self.now.min(ACTIVE).as_secs() / GENERATION.as_secs();
        BTreeSet::from([format!("v{generation}").into()])
    }
}

pub fn engine(number: usize) -> Engine {
    Engine {
        name: format!("e{number}").into(),
        checks: number < 2,
        newest: 0,
        versions: BTreeSet::new(),
        applied: 0,
        wrong_since: None,
    }
}
