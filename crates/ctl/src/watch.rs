//! Following of the configuration log.

use std::thread;
use std::time::{Duration, Instant};

use config::record::{Change, Record};
use config::state::ApplyResult;
use serde::Serialize;

use crate::args::{Args, Watch};
use crate::failure::Failure;
use crate::journal::{Journal, Step};
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
    let mut journal = Journal::open(args)?;
    let mut left = cmd.count.unwrap_or(u64::MAX);
    loop {
        for step in journal.advance()? {
            output::print(&line(&step), format, |it| vec![text(it)]);
            left -= 1;
            if left == 0 {
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

fn line(step: &Step) -> Line {
    let (author, objects) = match &step.record {
        Some(Record::Proposal(it)) => (it.author.clone(), it.changes.iter().map(describe).collect()),
        _ => (String::new(), Vec::new()),
    };
    Line {
        offset: step.offset,
        verdict: verdict(&step.verdict),
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

fn verdict(verdict: &ApplyResult) -> &'static str {
    match verdict {
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
