//! Idempotency keys of one incarnation.

use std::time::Duration;

use ledger::idempotency::{Call, Key, Limits, Outcome, Response, Table};
use model::{Incarnation, Name};

use super::measure::{bytes_per_unit, seconds_per_unit};
use super::{Line, REQUESTS_PER_SECOND, Resource, Sample, Scope};

const MECHANISM: &str = "idempotency keys";
const KEYS: usize = 10_000;

/// Share of the requests that are non-idempotent calls, so that the table of 10,000 keys just lasts for the validity
/// of one hour.
const KEYED_SHARE: f64 = 0.097;

const RESPONSE_BYTES: usize = 300;

/// Memory of a full table.
pub fn memory() -> Line {
    let memory = bytes_per_unit(KEYS, full_table);
    line(Scope::Control, Resource::Memory, memory, "key kept", KEYS as f64)
}

/// Time of a keyed call.
pub fn time() -> Line {
    let seconds = seconds_per_unit(KEYS, || (), |()| drop(full_table()));
    line(
        Scope::Request,
        Resource::Cpu,
        seconds,
        "keyed call",
        REQUESTS_PER_SECOND * KEYED_SHARE,
    )
}

fn line(scope: Scope, resource: Resource, slope: Sample, per: &'static str, units: f64) -> Line {
    Line {
        mechanism: MECHANISM,
        scope,
        resource,
        slope,
        per,
        units,
    }
}

fn full_table() -> Table {
    let now = Duration::from_secs(1);
    let mut table = Table::new(Incarnation::from_bits(1), Limits::default(), now);
    let prefix = table.prefix(now);
    let organisation: Name = "organisation-1".into();
    for idx in 0..KEYS {
        let Ok(key) = format!("{prefix}.booking-{idx:012}").parse::<Key>() else {
            continue;
        };
        let call = Call {
            organisation: &organisation,
            key: &key,
            digest: idx as u64,
        };
        table.begin(call, now);
        let response = Response {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![b'x'; RESPONSE_BYTES],
        };
        table.finish(&organisation, &key, Outcome::Done(response));
    }
    table
}
