//! The record of a case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    pub begin: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(Path::new(folder).join("record.txt"));
        Self {
            file: Mutex::new(file.expect("record.txt")),
            begin: Instant::now(),
        }
    }

    /// Seconds from the begin of the case to a time.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begin).as_secs_f64()
    }

    /// Writes a line with a time.
    pub fn line_at(&self, at: Instant, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:9.3} {text}", self.seconds(at));
    }

    /// Writes a line that is also shown.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line_at(Instant::now(), text);
    }
}
