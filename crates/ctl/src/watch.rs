//! Command `watch`: prints the records of the configuration log as they are appended.

use std::thread;
use std::time::{Duration, Instant};

use config::record::{Change, Record};
use config::state::ApplyResult;
use serde::Serialize;

use crate::args::{Args, Watch};
use crate::config_log::{AppliedRecord, ConfigLog};
use crate::failure::Failure;
use crate::output::{self, Format};

const POLL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Serialize)]
struct Line {
    offset: u64,
    verdict: &'static str,
    author: String,
    objects: Vec<String>,
}

/// The command `watch`.
pub fn run(cmd: &Watch, args: &Args, format: Format) -> Result<(), Failure> {
    let started = Instant::now();
    let mut log = ConfigLog::open(args)?;
    let mut remaining = cmd.count.unwrap_or(u64::MAX);
    loop {
        for applied in log.advance()? {
            output::print(&line(&applied), format, |it| vec![text(it)]);
            remaining -= 1;
            if remaining == 0 {
                return Ok(());
            }
        }
        if cmd
            .seconds
            .is_some_and(|it| started.elapsed() >= Duration::from_secs(it))
        {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn line(applied: &AppliedRecord) -> Line {
    let (author, objects) = match &applied.record {
        Some(Record::Proposal(it)) => (it.author.clone(), it.changes.iter().map(describe).collect()),
        _ => (String::new(), Vec::new()),
    };
    Line {
        offset: applied.offset,
        verdict: verdict(&applied.result),
        author,
        objects,
    }
}

fn describe(change: &Change) -> String {
    match change {
        Change::Put(it) => it.key().to_string(),
        Change::Delete(key) => format!("-{key}"),
    }
}

fn verdict(result: &ApplyResult) -> &'static str {
    match result {
        ApplyResult::Accepted => "accepted",
        ApplyResult::Conflict(_) => "conflict",
        ApplyResult::Invalid(_) => "invalid",
        ApplyResult::Repeated(_) => "repeated",
        ApplyResult::Snapshot => "snapshot",
        ApplyResult::Malformed => "malformed",
        ApplyResult::Skipped => "skipped",
        ApplyResult::Gap => "gap",
    }
}

fn text(line: &Line) -> String {
    format!(
        "{:>8}  {:9}  {}  {}",
        line.offset,
        line.verdict,
        line.author,
        line.objects.join(" ")
    )
}
