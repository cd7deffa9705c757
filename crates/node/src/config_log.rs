//! Follows the configuration log.

use config::STREAM;
use config::fold::{State, Verdict};
use model::Offset;
use platform::log::{Error, Page};

use crate::phase::Phase;
use crate::shared::Shared;

pub(crate) mod catch_up;
mod snapshot;

/// Greatest number of records in one read.
const PAGE: usize = 256;

/// Reads the log until the node stops.
pub(crate) fn run(shared: &Shared) {
    let mut snapshots = snapshot::Schedule::default();
    while shared.phase.get() < Phase::Stopped {
        match follow(shared, &mut snapshots) {
            Ok(()) => snapshots.write(shared),
            Err(_) => {
                shared.metrics.config_read_failures.inc();
                catch_up::run(shared);
            }
        }
        shared.pause(shared.settings.config.poll);
    }
}

/// Folds all records that the log has beyond the revision held.
fn follow(shared: &Shared, snapshots: &mut snapshot::Schedule) -> Result<(), Error> {
    loop {
        // The end of the log is confirmed as of the moment before the read.
        let now = shared.now();
        let from = shared.catalog.revision();
        let page = shared.ports.log.read(STREAM, from, PAGE)?;
        shared.note_log_read();
        snapshots.note_first(page.first, shared.now());
        if page.end < from {
            shared.metrics.config_log_behind.inc();
            return Ok(());
        }
        if page.first > from {
            restore(shared, &page)?;
        }
        for record in &page.records {
            if apply(shared, record.offset, &record.payload) == Verdict::Snapshot {
                snapshots.note_snapshot(record, shared.now());
            }
        }
        let revision = shared.catalog.revision();
        shared
            .metrics
            .config_revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        if revision >= page.end {
            shared.catalog.confirm(now);
            return Ok(());
        }
        if revision == from {
            // Records are missing, so the rest cannot be folded until a snapshot appears.
            return Ok(());
        }
    }
}

fn apply(shared: &Shared, offset: Offset, payload: &[u8]) -> Verdict {
    let verdict = shared.catalog.apply(offset, payload);
    match verdict {
        Verdict::Accepted => log::info!("configuration revision {}", offset + 1),
        Verdict::Conflict(_) | Verdict::Invalid(_) | Verdict::Malformed => {
            shared.metrics.config_rejected.inc();
        }
        Verdict::Repeated(_) | Verdict::Snapshot | Verdict::Skipped | Verdict::Gap => {}
    }
    verdict
}

/// Takes over the newest retained snapshot that the retained records continue.
fn restore(shared: &Shared, start: &Page) -> Result<(), Error> {
    let mut from = start.first;
    let mut newest: Option<State> = None;
    while from < start.end {
        let page = shared.ports.log.read(STREAM, from, PAGE)?;
        let Some(last) = page.records.last() else {
            break;
        };
        from = last.offset + 1;
        let usable = |state: &State| state.revision() >= page.first;
        let mut snapshots = page
            .records
            .iter()
            .filter_map(|it| State::from_snapshot(&it.payload).ok());
        newest = snapshots.rfind(usable).or(newest);
    }
    if let Some(state) = newest {
        log::info!(
            "configuration restored from the snapshot of revision {}",
            state.revision()
        );
        shared.catalog.restore(state);
    }
    Ok(())
}
