//! Memory of engines: what requests need of it, and what this node reports about it.

use forward::BootTime;
use forward::directory::Engine;
use forward::engine_memory::{Demand, Footprint, Room};
use forward::load::Loads;
use forward::placement::Choice;
use model::Name;

use crate::protocol::RequestMetadata;
use crate::request::RequestContext;
use crate::response::Refusal;
use crate::shared::{Shared, lock};

/// What a request needs of the memory of each engine of its service.
#[derive(Debug)]
pub(crate) struct Need {
    pub footprint: Footprint,
    pub capacity: u64,
}

impl Need {
    /// The need of a request; `None` if it does not state its size, or the configuration not that of the engines' memory.
    pub(crate) fn of(context: &RequestContext) -> Option<Self> {
        let capacity = capacity(&context.shared, &context.service)?;
        let footprint = context.metadata.footprint(context.model.as_ref())?;
        Some(Self { footprint, capacity })
    }

    pub(crate) fn demand(&self) -> Demand<'_> {
        Demand {
            footprint: &self.footprint,
            capacity: self.capacity,
        }
    }
}

/// Tokens that requests may hold at one engine of a service, if the configuration states it.
pub(crate) fn capacity(shared: &Shared, service: &Name) -> Option<u64> {
    let cached = lock(&shared.configuration);
    cached.value()?.service(service)?.engine_tokens
}

/// Refuses a request that is larger than the memory of any engine: they would turn it away like full ones, and each retry
/// as well.
pub(crate) fn check_size(
    shared: &Shared,
    service: &Name,
    metadata: &RequestMetadata,
    now: BootTime,
) -> Result<(), Refusal> {
    let Some((prompt, output)) = metadata.tokens else {
        return Ok(());
    };
    match is_too_large(shared, service, prompt.saturating_add(output), now) {
        true => Err(Refusal::TooLarge),
        false => Ok(()),
    }
}

/// Whether a request of some tokens is larger than the memory of any engine of a service with shared loads.
pub(crate) fn is_too_large(shared: &Shared, service: &Name, tokens: u64, now: BootTime) -> bool {
    capacity(shared, service).is_some_and(|it| tokens > it) && lock(&shared.loads).is_shared(service, now)
}

/// Logs and counts a choice for which the memory of engines was a reason.
pub(crate) fn record_choice(context: &RequestContext, need: &Need, choice: &Choice) {
    if choice.without_room == 0 {
        return;
    }
    let result = if choice.is_over { "all_full" } else { "left_out" };
    let label = [("result", result)];
    let metrics = &context.shared.metrics;
    metrics.engine_memory_choices.get_or_create(&label).inc();
    let (engine, without_room, is_over) = (&*choice.engine.id, choice.without_room, choice.is_over);
    let tokens = need.footprint.tokens();
    log::info!(
        id = context.id, service = *context.service, engine, tokens, without_room, is_over;
        "engines have no room in their memory"
    );
}

/// Estimated tokens that requests hold at an engine, in `loads`, of a service with shared loads whose engines hold
/// `capacity`.
pub(crate) fn held(loads: &Loads, engine: &Engine, capacity: Option<u64>, now: BootTime) -> Option<u64> {
    let capacity = capacity.filter(|_| loads.is_shared(&engine.service, now))?;
    let footprint = &Footprint::default();
    let room = Room::new(loads, &engine.service, Demand { footprint, capacity }, now);
    Some(room.held(loads.get(engine)).round() as u64)
}
