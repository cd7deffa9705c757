//! Structured log on standard output, bounded in volume and never blocking the node.
//!
//! Each line is a JSON object. Lines are queued for a writer thread; when the bounded queue is full, a line
//! is dropped and counted, and the count is written with the next line that fits.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, Sender, bounded};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::Map;

/// Maximum number of queued lines: about one second of a node's log at ten times its share of the peak load.
const QUEUE_LINES: usize = 4096;

/// Maximum size of a write of several lines: `PIPE_BUF` of Linux. A larger write to a pipe is not atomic, and its reader may
/// get only a part of the lines at once.
const MAX_WRITE_BYTES: usize = 4096;

/// Time for which lines are collected before they are written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time to wait for the queue to drain at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Sink {
    lines: Sender<String>,
    dropped: AtomicU64,
}

/// Installs the logger for lines of level info and above.
pub fn install() {
    let (sender, receiver) = bounded(QUEUE_LINES);
    let sink = Sink {
        lines: sender,
        dropped: AtomicU64::new(0),
    };
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write(&receiver));
    if let Err(err) = writer {
        eprintln!("cannot start the log thread: {err}");
        return;
    }
    if log::set_boxed_logger(Box::new(sink)).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

fn write(lines: &Receiver<String>) {
    let mut out = io::stdout();
    while let Ok(first) = lines.recv() {
        thread::sleep(BATCH_INTERVAL);
        let mut text = first;
        for line in lines.try_iter() {
            if text.len() + line.len() > MAX_WRITE_BYTES {
                write_lines(&mut out, &text);
                text.clear();
            }
            text.push_str(&line);
        }
        write_lines(&mut out, &text);
    }
}

/// Writes lines. If nobody reads the log, there is nowhere to report the error.
fn write_lines(out: &mut impl Write, text: &str) {
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

impl Log for Sink {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let dropped = self.dropped.load(Ordering::Relaxed);
        let line = line(record, dropped);
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else if dropped > 0 {
            self.dropped.fetch_sub(dropped, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let step = Duration::from_millis(10);
        for _ in 0..FLUSH_TIMEOUT.as_millis() / step.as_millis() {
            thread::sleep(step);
            if self.lines.is_empty() {
                break;
            }
        }
        thread::sleep(BATCH_INTERVAL + step);
    }
}

/// Fields of a line.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_i64(), value.to_f64(), value.to_bool()) {
            (Some(it), ..) => it.into(),
            (_, Some(it), ..) => it.into(),
            (_, _, Some(it), _) => it.into(),
            (.., Some(it)) => it.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn line(record: &Record<'_>, dropped: u64) -> String {
    let mut fields = Fields(Map::new());
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    fields
        .0
        .insert("at_ms".to_owned(), (time.as_millis() as u64).into());
    fields
        .0
        .insert("level".to_owned(), record.level().as_str().into());
    fields
        .0
        .insert("event".to_owned(), record.args().to_string().into());
    if dropped > 0 {
        fields.0.insert("dropped_before".to_owned(), dropped.into());
    }
    if let Err(err) = record.key_values().visit(&mut fields) {
        fields.0.insert("fields_error".to_owned(), err.to_string().into());
    }
    let mut text = serde_json::Value::Object(fields.0).to_string();
    text.push('\n');
    text
}
