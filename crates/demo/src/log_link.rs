//! Connection of one node to the log service, which can be cut.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use model::Offset;
use ports::log::{Error, Log, Page};

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Calls reach the log.
    Up,
    /// Calls fail without effect.
    Cut,
}

/// Connection of one node to the log service.
#[derive(Debug)]
pub struct Link {
    log: Arc<dyn Log>,
    cut: AtomicBool,
}

impl Link {
    /// A connection that is up.
    pub fn new(log: Arc<dyn Log>) -> Self {
        Self {
            log,
            cut: AtomicBool::new(false),
        }
    }

    /// Cuts or restores the connection.
    pub fn set(&self, state: State) {
        self.cut.store(state == State::Cut, Ordering::SeqCst);
    }

    fn check(&self) -> Result<(), Error> {
        if self.cut.load(Ordering::SeqCst) {
            return Err(Error::Unavailable);
        }
        Ok(())
    }
}

impl Log for Link {
    fn append(&self, stream: &str, payloads: &[Vec<u8>]) -> Result<Offset, Error> {
        self.check()?;
        self.log.append(stream, payloads)
    }

    fn read(&self, stream: &str, from: Offset, limit: usize) -> Result<Page, Error> {
        self.check()?;
        self.log.read(stream, from, limit)
    }
}
