//! What a node has to do about a topic in one round.

use std::time::Duration;

use forward::freshness::{Budget, Duty};
use rand::Rng;

use super::{RelayedTopic, duty};
use crate::shared::Shared;

/// What a node has to do about a topic in one round.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    pub topic: RelayedTopic,
    pub budget: Budget,
    pub duty: Duty,
    /// Age of its knowledge from which on the node reads the store.
    pub due: Duration,
}

impl Plan {
    /// Draws the age at which the node reads the store.
    pub(crate) fn draw(shared: &Shared, topic: RelayedTopic) -> Self {
        let budget = topic.budget(shared);
        let duty = duty(shared, topic);
        Self {
            topic,
            budget,
            duty,
            due: budget.due_age(duty, rand::rng().random_range(0.0..1.0)),
        }
    }

    /// Time until the store is due.
    pub(crate) fn time_left(&self, shared: &Shared) -> Duration {
        self.due.saturating_sub(self.topic.age(shared))
    }
}
