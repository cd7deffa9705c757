//! Applies orders to evacuate failure domains, and tells operators what came of them.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use forward::BootTime;
use forward::evacuation::{Change, Evacuations};
use forward::relay::Position;
use model::Name;
use serde_json::json;

use crate::protocol::Record;
use crate::shared::{Shared, lock};
use crate::{clock, warm_up};

/// Applies the orders among the records of a read of changes.
pub(crate) fn apply(shared: &Shared, records: &[Record]) {
    let now = clock::now();
    let mut evacuations = lock(&shared.evacuations);
    let orders = records.iter().filter_map(|it| match it {
        Record::Evacuation(order) => Some(order),
        _ => None,
    });
    let changes: Vec<_> = orders.filter_map(|it| evacuations.apply(it, now)).collect();
    report(shared, &evacuations, &changes);
}

/// Replaces the orders by those of a complete read, at which the topic ended at `end`.
pub(crate) fn replace(shared: &Shared, records: &[Record], end: Position) {
    let orders = records.iter().filter_map(|it| match it {
        Record::Evacuation(order) => Some(order.clone()),
        _ => None,
    });
    let orders: Vec<_> = orders.collect();
    let mut evacuations = lock(&shared.evacuations);
    let changes = evacuations.replace(&orders, end, clock::now());
    report(shared, &evacuations, &changes);
}

/// Records that everything was applied that the operators' topic had at the time `current_at`, and compares the orders
/// with the engines.
pub(crate) fn confirm(shared: &Shared, current_at: BootTime) {
    let listed: Option<BTreeSet<_>> = match shared.engines_known.load(Ordering::Relaxed) {
        true => Some(
            lock(&shared.directory)
                .engines()
                .map(|it| it.domain.clone())
                .collect(),
        ),
        false => None,
    };
    let mut evacuations = lock(&shared.evacuations);
    let mut changes = evacuations.confirm(current_at, clock::now());
    if let Some(listed) = listed {
        changes.extend(evacuations.compare(&listed));
    }
    report(shared, &evacuations, &changes);
}

/// Logs that all engines of a service are evacuated, once after each change of the orders.
pub(crate) fn record_refusal(shared: &Shared, service: &Name) {
    let mut evacuations = lock(&shared.evacuations);
    if evacuations.record_refusal(service) {
        let domains = domains(&evacuations);
        log::error!(service = **service, domains; "all engines of a service are evacuated, its requests are refused");
    }
}

/// The domains under an order, for operators.
pub(crate) fn state(shared: &Shared, now: BootTime) -> Vec<serde_json::Value> {
    let evacuations = lock(&shared.evacuations);
    let domains = evacuations.iter().map(|(domain, it)| {
        json!({
            "domain": **domain,
            "age_ms": now.saturating_sub(it.since).as_millis() as u64,
            "era": it.position.era,
            "offset": it.position.offset,
            "missing": it.is_missing(),
        })
    });
    domains.collect()
}

fn domains(evacuations: &Evacuations) -> String {
    let domains: Vec<_> = evacuations.iter().map(|(domain, _)| &**domain).collect();
    domains.join(",")
}

/// Logs and counts changes.
fn report(shared: &Shared, evacuations: &Evacuations, changes: &[Change]) {
    for change in changes {
        let label = match change {
            Change::Began(domain, Position { era, offset }) => {
                log::warn!(domain = **domain, era, offset; "evacuation ordered, no more requests to its engines");
                "began"
            }
            Change::Missing(domain) => {
                log::warn!(domain = **domain; "evacuation kept that the restored store lacks");
                "missing"
            }
            Change::Ended(domain) => {
                log::warn!(domain = **domain; "evacuation ended");
                // The registry entries of its engines may be older than the time at which they became cold. Requests wait
                // for the lock of the orders meanwhile, so none is sent to a domain that is not marked yet.
                warm_up::mark_domain(shared, domain, clock::now());
                "ended"
            }
            Change::Unknown(domain) => {
                log::warn!(domain = **domain; "evacuation of a failure domain without engines");
                "unknown"
            }
            Change::Known(domain) => {
                log::warn!(domain = **domain; "engines listed in an evacuated failure domain");
                "known"
            }
            Change::AllBegan => {
                let domains = domains(evacuations);
                log::error!(domains; "all failure domains with engines are evacuated");
                "all_began"
            }
            Change::AllEnded => {
                log::warn!("not all failure domains with engines are evacuated any more");
                "all_ended"
            }
        };
        let label = [("change", label)];
        shared.metrics.evacuation_changes.get_or_create(&label).inc();
    }
    if !changes.is_empty() {
        let count = evacuations.iter().count();
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        shared.metrics.evacuated_domains.set(count);
    }
}
