//! Follows topics of the platform's store.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use crate::dialect::{Fact, Page, Topic};
use crate::shared::Shared;
use crate::store::{self, Error};

pub(crate) mod engines;
pub(crate) mod operators;

/// Pause after a failed call, at random up to this time more, so that nodes do not return together.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Logs the loss and the return of a part of the store.
fn note_connection(connected: &mut bool, what: &'static str, err: Option<&Error>) {
    match err {
        Some(err) if *connected => log::warn!(what, error:% = err; "store lost"),
        None if !*connected => log::info!(what; "store regained"),
        _ => {}
    }
    *connected = err.is_none();
}

async fn pause() {
    let more = rand::rng().random_range(0.0..1.0);
    sleep(FAILURE_PAUSE + FAILURE_PAUSE.mul_f64(more)).await;
}

/// Reads all pages of a topic; records that change meanwhile are read again behind the end of the first page.
async fn read_all(shared: &Shared, topic: Topic) -> Result<(Vec<Fact>, u64), Error> {
    let Page {
        mut facts,
        mut after,
        end,
    } = store::newest(shared, topic, None).await?;
    while let Some(key) = after {
        let page = store::newest(shared, topic, Some(&key)).await?;
        facts.extend(page.facts);
        after = page.after;
    }
    Ok((facts, end))
}
